"""Guards against callers that get the address of an entry that does not serve them."""

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
def test_best_available_entries_are_selected(
    candidates: list[entry_list.Candidate], hint: str | None, expected: list[str]
):
    """Guards against offering a leaving or out-of-service entry while another is in service."""
    data_centre = ids.DataCentreId(hint) if hint else None
    response = entry_list.select_addresses(tuple(candidates), data_centre, random.Random(1))
    assert [address.host for address in response.addresses] == expected


def test_callers_are_distributed_evenly():
    """Guards against an uneven distribution of callers over the entries of a data centre."""
    candidates = tuple(candidate(f"{data_centre}{i}") for data_centre in "ab" for i in range(4))
    rng = random.Random(1)
    responses = [
        entry_list.select_addresses(candidates, ids.DataCentreId("a"), rng) for _ in range(4_000)
    ]
    first = collections.Counter(response.addresses[0].host for response in responses)
    assert set(first) == {"a0", "a1", "a2", "a3"}
    assert max(first.values()) < 1.15 * min(first.values())
    assert all(response.addresses[2].host[0] == "b" for response in responses)


@pytest.mark.parametrize(
    ("after_s", "in_progress", "expected"),
    [
        (0.0, 0, entry_list.ShutdownPhase.DRAINING),
        (19.9, 5, entry_list.ShutdownPhase.DRAINING),
        (20.0, 5, entry_list.ShutdownPhase.REFUSING),
        (900.0, 1, entry_list.ShutdownPhase.REFUSING),
        (20.0, 0, entry_list.ShutdownPhase.STOPPED),
    ],
)
def test_shutdown_phases(after_s: float, in_progress: int, expected: entry_list.ShutdownPhase):
    """Guards against a shutdown that interrupts requests or callers with a cached address."""
    shutdown = entry_list.new_entry_shutdown()
    assert shutdown.phase(5.0, 0) is entry_list.ShutdownPhase.SERVING
    shutdown.start(10.0)
    shutdown.start(15.0)
    assert shutdown.phase(10.0 + after_s, in_progress) is expected
