"""Unit tests of the shares of the fronts in the capacity of a service."""

from __future__ import annotations

import collections

import hypothesis
import pytest
from hypothesis import strategies

from gentianpaddle_core import ids
from gentianpaddle_core.serving import free_slots, members, room_share, routes

SERVICE = routes.ServiceName("s")
SERVER = ids.BackendServerId("i-1")


def all_shares(
    demands: list[float], ages_s: list[float] | None = None, now_s: float = 100.0
) -> list[room_share.Shares]:
    """Return the shares that each front computes from announcements of some ages."""
    vms = [ids.VmId(f"f{number}") for number in range(len(demands))]
    found = []
    for own, demand in zip(vms, demands, strict=True):
        table = room_share.DemandTable(own)
        for vm, announced, age_s in zip(vms, demands, ages_s or [0.0] * len(vms), strict=True):
            table.record(vm, {SERVICE: announced}, now_s if vm == own else now_s - age_s)
        others = [vm for vm in vms if vm != own]
        found.append(table.shares(SERVICE, demand, others, len(vms), now_s))
    return found


@hypothesis.given(strategies.lists(strategies.floats(0.0, 1e4), min_size=1, max_size=60))
def test_shares_of_fronts_with_the_same_information(demands: list[float]) -> None:
    """Guards against shares that exceed the capacity together, or leave an idle front without."""
    shares = all_shares(demands)
    assert sum(item.ratio for item in shares) == pytest.approx(1.0)
    assert min(item.ratio for item in shares) >= 0.1 / len(demands)


@pytest.mark.parametrize(
    ("age_s", "expected"),
    [(0.0, 0.7), (0.9, 0.7), (1.8, 0.5), (2.59, 0.252), (2.6, 0.25), (9, 0.25)],
)
def test_shares_become_equal_as_announcements_age(age_s: float, expected: float) -> None:
    """Guards against decisions by demand that is long past while heartbeats are lost."""
    busy = all_shares([14.0, 2.0, 2.0, 2.0], [age_s] * 4)[0]
    assert busy.ratio == pytest.approx(expected, abs=0.06)


def test_share_of_a_dead_front_is_taken_by_the_others() -> None:
    """Guards against capacity that stays reserved for a front that is gone."""
    shares = all_shares([5.0] * 5, [0.0, 0.0, 0.0, 0.0, members.DEAD_AFTER_S + 0.1])
    assert [item.ratio for item in shares[:4]] == pytest.approx([0.25] * 4)


@pytest.mark.parametrize("offer", range(3))
def test_front_that_hears_nobody_takes_an_equal_part(offer: int) -> None:
    """Guards against a front that is cut off and takes itself for the only one."""
    cut_off = all_shares([50.0] + [1.0] * 40, [60.0] * 41)[0]
    assert cut_off.ratio == pytest.approx(1.0 / 41)
    first = sum(cut_off.rank(SERVER, turn) == 0 for turn in range(200))
    assert first <= 0.1 * 200


def test_a_free_slot_is_offered_to_one_front() -> None:
    """Guards against several fronts that take the same free slot, and against unfair turns."""
    demands = [1.0, 2.0, 4.0, 1.0, 8.0]
    shares = all_shares(demands)
    firsts: collections.Counter[int] = collections.Counter()
    for turn in range(1000):
        ranks = [item.rank(SERVER, turn) for item in shares]
        assert sorted(ranks) == list(range(len(demands)))
        firsts[ranks.index(0)] += 1
    for number, demand in enumerate(demands):
        assert firsts[number] / 1000 == pytest.approx(demand / sum(demands), abs=0.06)


@pytest.mark.parametrize(
    ("reports", "ends_s", "now_s", "allowed"),
    [
        # Full; the own request that ended is replaced at once, not after the next report.
        ([(0.0, 5)], [0.05], 0.06, True),
        ([(0.0, 5), (0.1, 5)], [0.05], 0.11, False),
        ([(0.0, 5)], [], 0.05, False),
        # A free slot is not offered at once, and only for a time.
        ([(0.0, 5), (0.1, 4)], [], 0.11, False),
        ([(0.0, 5), (0.1, 4), (0.2, 4)], [], 0.27, True),
        ([(0.0, 5), (0.1, 4), (0.2, 4), (0.3, 4)], [], 0.4, False),
        # More requests than a limit that was lowered.
        ([(0.0, 6)], [0.05], 0.06, False),
    ],
)
def test_what_a_front_may_send_while_a_service_is_contended(
    reports: list[tuple[float, int]], ends_s: list[float], now_s: float, allowed: bool
) -> None:
    """Guards against waiting for the own free slot, and against taking one that others take."""
    history, own_requests = free_slots.ReportHistory(), 2
    history.record(reports[0][1], own_requests, -0.1)
    for reported_s, requests in reports:
        own_requests = 2 - sum(ended_s <= reported_s for ended_s in ends_s)
        history.record(requests, own_requests, reported_s)
    own_requests = 2 - sum(ended_s <= now_s for ended_s in ends_s)
    part = free_slots.new_part(all_shares([1.0])[0], own_requests, 5.0)
    assert part.allows(SERVER, history, own_requests, 5, now_s) == allowed


@pytest.mark.parametrize(
    ("taken", "rejected", "expected"),
    [(84, False, False), (85, False, True), (80, True, True), (70, True, False)],
)
def test_contended_services(taken: int, rejected: bool, expected: bool) -> None:
    """Guards against dividing free slots while there are many, or never."""
    demand = room_share.ServiceDemand()
    if rejected:
        demand.record_rejected(9.5)
    assert demand.is_contended(taken, 100, 10.0) == expected
    assert not demand.is_contended(70, 100, 11.1 + room_share.CONTENDED_MEMORY_S)


def test_refused_requests_are_demand() -> None:
    """Guards against a front whose share stays small because its queue is."""
    demand = room_share.ServiceDemand()
    for number in range(20):
        demand.record_arrival(number * 0.05)
    assert demand.demand(2, 1.0) == 19.0
    assert demand.demand(30, 1.0) == 30.0
    assert demand.demand(2, 5.0) == 2.0
