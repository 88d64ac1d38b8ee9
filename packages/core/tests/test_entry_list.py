"""Guards against callers that get an entry which does not serve them."""

from __future__ import annotations

import collections
import random

import pytest

from gentianpaddle_core import entry_list, ids, membership, settings

State = membership.State


def candidate(name: str, state: State = State.ALIVE, out: bool = False) -> entry_list.Candidate:
    address = settings.Address(name, 80)
    return entry_list.Candidate(ids.VmId(name), ids.DataCentreId(name[0]), address, state, out)


@pytest.mark.parametrize(
    ("candidates", "hint", "expected"),
    [
        ([candidate("a1"), candidate("b1")], "b", ["b1", "a1"]),
        ([candidate("a1", State.LEAVING), candidate("b1")], "a", ["b1"]),
        ([candidate("a1", State.SUSPECT), candidate("b1", State.DEAD)], "a", ["a1"]),
        ([candidate("a1", out=True), candidate("b1", State.LEAVING)], "a", ["b1"]),
        ([candidate("a1", out=True), candidate("b1", State.PAUSED)], "a", ["b1"]),
        ([candidate("a1", out=True)], None, ["a1"]),
        ([candidate("a1", State.DEAD)], "a", []),
    ],
)
def test_choice(candidates: list[entry_list.Candidate], hint: str | None, expected: list[str]):
    """Guards against an entry that leaves or is out while another one is in service."""
    centre = ids.DataCentreId(hint) if hint else None
    answer = entry_list.choose(tuple(candidates), centre, random.Random(1))
    assert [address.host for address in answer.addresses] == expected


def test_callers_divide_evenly():
    """Guards against one entry that gets all callers of its data centre."""
    candidates = tuple(candidate(f"{centre}{i}") for centre in "ab" for i in range(4))
    rng = random.Random(1)
    answers = [entry_list.choose(candidates, ids.DataCentreId("a"), rng) for _ in range(4_000)]
    first = collections.Counter(answer.addresses[0].host for answer in answers)
    assert set(first) == {"a0", "a1", "a2", "a3"}
    assert max(first.values()) < 1.15 * min(first.values())
    assert all(answer.addresses[2].host[0] == "b" for answer in answers)


@pytest.mark.parametrize(
    ("after_s", "in_progress", "expected"),
    [
        (0.0, 0, entry_list.LeavingPhase.DRAINING),
        (19.9, 5, entry_list.LeavingPhase.DRAINING),
        (20.0, 5, entry_list.LeavingPhase.REFUSING),
        (900.0, 1, entry_list.LeavingPhase.REFUSING),
        (20.0, 0, entry_list.LeavingPhase.STOPPED),
    ],
)
def test_leaving(after_s: float, in_progress: int, expected: entry_list.LeavingPhase):
    """Guards against a planned stop that interrupts a request or a caller with a cached address."""
    leaving = entry_list.new_leaving()
    assert leaving.phase(5.0, 0) is entry_list.LeavingPhase.SERVING
    leaving.start(10.0)
    leaving.start(15.0)
    assert leaving.phase(10.0 + after_s, in_progress) is expected
