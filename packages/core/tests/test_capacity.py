"""Guards against full load on a cold backend server and against grants above its limit."""

from __future__ import annotations

import dataclasses
import random

import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from gentianpaddle_core import capacity, ids

STEP_S = 0.03
E1 = ids.VmId("e1")


def warm(limit: int, running: int = 0, maximum: int = 16) -> capacity.Capacity:
    target = capacity.new_capacity(capacity.CapacitySettings(maximum, STEP_S))
    ramp(target, limit)
    assert all(target.try_acquire(0.0, E1) for _ in range(running))
    return target


def ramp(target: capacity.Capacity, limit: int) -> None:
    """Complete attempts in time until the limit is reached."""
    while target.limit < limit:
        attempts = target.limit
        assert all(target.try_acquire(0.0, E1) for _ in range(attempts))
        for _ in range(attempts):
            target.release(0.0, E1, STEP_S / 2)


def amounts(grants: tuple[capacity.Grant, ...]) -> list[int]:
    return [grant.amount for grant in grants]


def report(incarnation: int = 1, **values: object) -> capacity.EngineReport:
    default = capacity.EngineReport(incarnation, STEP_S / 2, 1_000.0, 8, 50_000)
    return dataclasses.replace(default, **values)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("limit", "attempts", "step_s", "after"),
    [
        (1, 1, STEP_S / 2, 2),
        (8, 8, STEP_S / 2, 9),
        (8, 3, STEP_S / 2, 8),
        (8, 8, STEP_S * 2, 4),
        (8, 8, None, 8),
        (16, 16, STEP_S / 2, 16),
    ],
)
def test_limit_after_four_completions(limit: int, attempts: int, step_s: float | None, after: int):
    target = warm(limit)
    for _ in range(4):
        while target.running < attempts:
            assert target.try_acquire(0.0, E1)
        target.release(0.0, E1, step_s)
        attempts = min(attempts, target.limit)
    assert target.limit == after


def test_slow_steps_halve_once_per_round_of_completions():
    target = warm(16, running=16)
    for _ in range(5):
        target.apply_engine_report(0.0, report(step_s=STEP_S * 3))
    assert target.limit == 8
    for _ in range(16):
        target.release(0.0, E1, STEP_S * 3)
    assert target.limit == 8
    target.apply_engine_report(0.0, report(step_s=STEP_S * 3))
    assert target.limit == 4


@pytest.mark.parametrize(
    ("change", "cause"),
    [
        ({}, None),
        ({"incarnation": 2}, capacity.ColdCause.ENGINE_INCARNATION),
        ({"incarnation": 0, "cached_tokens": 0}, None),
        ({"cached_tokens": 100}, capacity.ColdCause.CACHE_LOST),
        ({"cached_tokens": 20_000}, None),
        ({"tokens_per_s": 300.0}, capacity.ColdCause.RATE_FELL),
        ({"tokens_per_s": 0.0}, capacity.ColdCause.RATE_FELL),
        ({"tokens_per_s": 300.0, "running": 1}, None),
        ({"tokens_per_s": 2_000.0, "running": 60}, None),
        ({"tokens_per_s": 0.0, "running": 0}, None),
    ],
)
def test_report_turns_a_warm_server_cold(
    change: dict[str, object], cause: capacity.ColdCause | None
):
    target = warm(16, running=8)
    for _ in range(4):
        assert target.apply_engine_report(0.0, report()) is None
    assert target.apply_engine_report(0.0, report(**change)) is cause  # type: ignore[arg-type]
    assert target.limit == (16 if cause is None else 1)
    if cause is not None:
        # Attempts admitted before the reset must not raise the limit.
        for _ in range(8):
            assert not target.try_acquire(0.0, E1)
            target.release(0.0, E1, STEP_S / 2)
        assert target.limit == 1


def test_lost_engine_admits_nothing_until_it_reports():
    target = warm(4)
    target.mark_engine_lost(0.0)
    assert not target.try_acquire(0.0, E1)
    target.apply_engine_report(0.0, report())
    assert [target.try_acquire(0.0, E1), target.try_acquire(0.0, E1)] == [True, False]


@pytest.mark.parametrize(
    ("used_share", "limit"), [(0.0, 16), (0.25, 16), (0.9, 8), (1.6, 4), (99.0, 1)]
)
def test_pressure_caps_the_limit_at_the_configured_maximum(used_share: float, limit: int):
    target = warm(16, running=8)
    target.apply_pressure(0.0, used_share)
    assert target.limit == limit


@pytest.mark.parametrize(
    ("limit", "demands", "expected"),
    [
        (0, [1, 2], [0, 0]),
        (5, [], []),
        (1, [3, 3, 3], [1, 0, 0]),
        (8, [0, 0, 0], [3, 3, 2]),
        (8, [1, 20, 20], [1, 4, 3]),
        (10, [2, 2, 1], [4, 4, 2]),
        (9, [2, 2, 1], [4, 3, 2]),
    ],
)
def test_division_is_max_min_fair(limit: int, demands: list[int], expected: list[int]):
    assert [share.amount for share in capacity.divide(limit, demands)] == expected


@pytest.mark.parametrize(("limit", "entries"), [(1, 3), (2, 9), (5, 8)])
def test_every_entry_with_demand_gets_a_grant(limit: int, entries: int):
    target = warm(limit)
    names = [ids.VmId(f"e{n}") for n in range(entries)]
    epochs = dict.fromkeys(names, 0)
    served = set()
    for tick in range(200):
        now_s = tick * 0.1
        # From tick 6 on, e0 sends no more heartbeats although it may still hold a grant.
        for name in names[1:] if tick > 5 else names:
            target.apply_heartbeat(now_s, name, demand=3, acknowledged_epoch=epochs[name])
        for grant in target.issue_grants(now_s):
            epochs[grant.entry] = grant.epoch
            if grant.amount:
                served.add((tick // 100, grant.entry))
        assert target.view(now_s).outstanding <= limit
    assert {name for half, name in served if half == 1} == set(names[1:])


E2 = ids.VmId("e2")


@pytest.mark.parametrize(
    ("acknowledged", "now_s", "second"),
    [(0, 1.9, 0), (1, 1.9, 0), (2, 1.9, 4), (99, 1.9, 0), (0, 2.0, 4)],
)
def test_reduced_grant_frees_units_once_acknowledged_or_expired(
    acknowledged: int, now_s: float, second: int
):
    target = warm(8, maximum=8)
    target.apply_heartbeat(0.0, E1, 9)
    assert target.issue_grants(0.0) == (capacity.Grant(E1, 8, 1),)
    target.apply_heartbeat(0.01, E2, 9)
    assert amounts(target.issue_grants(0.01)) == [4, 0]
    target.apply_heartbeat(now_s, E1, 9, acknowledged)
    target.apply_heartbeat(now_s, E2, 9)
    assert amounts(target.issue_grants(now_s)) == [4, second]


def test_running_attempts_hold_places_after_their_grant_is_reduced():
    target = warm(8, running=6, maximum=8)
    target.apply_heartbeat(0.0, E1, 6)
    target.apply_heartbeat(0.0, E2, 9)
    assert amounts(target.issue_grants(0.0)) == [4, 2]


def test_running_attempts_and_grants_of_one_entry_are_not_counted_twice():
    target = warm(9, maximum=9)
    e3, e4 = ids.VmId("e3"), ids.VmId("e4")
    target.apply_heartbeat(0.0, e3, 8)
    target.apply_heartbeat(0.0, e4, 1)
    target.issue_grants(0.0)
    now_s = capacity.GRANT_LIFETIME_S
    target.apply_heartbeat(1.0, e3, 8)
    target.remove_entry(1.0, e4)
    target.issue_grants(1.0)
    assert all(target.try_acquire(now_s, entry) for entry in [E1] * 4 + [E2] * 4)
    for entry in (E1, E2, e3):
        target.apply_heartbeat(now_s, entry, 8)
    target.issue_grants(now_s)
    assert target.view(now_s).outstanding == 9


def test_renewed_grants_do_not_exceed_a_reduced_limit():
    target = warm(8, maximum=8)
    for now_s, demands in ((0.0, (7, 1)), (0.5, (9, 0)), (1.0, (1, 9))):
        for entry, demand in zip((E1, E2), demands, strict=True):
            target.apply_heartbeat(now_s, entry, demand)
        target.issue_grants(now_s)
        target.set_maximum(now_s, 2)
    assert target.view(capacity.GRANT_LIFETIME_S).outstanding <= 2


def test_entry_stops_using_a_grant_before_the_agent_stops_counting_it():
    held = capacity.new_held_grant()
    held.receive(capacity.GRANT_MARGIN_S, 3, 1)
    assert held.amount(capacity.GRANT_LIFETIME_S - 0.01) == 3
    held.receive(capacity.GRANT_LIFETIME_S - 0.01, 3, 1)
    assert held.amount(capacity.GRANT_LIFETIME_S) == 0


def test_entries_are_bounded():
    target = warm(1)
    for number in range(capacity.MAX_ENTRIES + 5):
        target.apply_heartbeat(0.0, ids.VmId(f"e{number}"), demand=1)
    assert len(target.issue_grants(0.0)) == capacity.MAX_ENTRIES
    assert target.issue_grants(capacity.ENTRY_TIMEOUT_S) == ()


LIFETIME_S = capacity.GRANT_LIFETIME_S
ENTRIES = tuple(ids.VmId(f"e{n}") for n in range(4))


class CapacityMachine(stateful.RuleBasedStateMachine):
    """Lost, late and duplicate grants and acknowledgements, pausing entries and a cold engine."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.target = warm(8, maximum=8)
        self.held = {entry: capacity.new_held_grant() for entry in ENTRIES}
        self.sent: list[tuple[float, capacity.Grant]] = []
        self.acknowledged = dict.fromkeys(ENTRIES, 0)
        self.heartbeats: list[tuple[ids.VmId, int, int]] = []
        self.running = dict.fromkeys(ENTRIES, 0)
        self.limits = [(0.0, 8)]
        self.late_grant_s = dict.fromkeys(ENTRIES, -9.0)

    def outstanding(self, entry: ids.VmId) -> int:
        """Return the largest grant that the entry may still use, from the messages exchanged."""
        live = [grant for sent_s, grant in self.sent if self.now_s < sent_s + LIFETIME_S]
        counted = [
            g.amount for g in live if g.entry == entry and g.epoch >= self.acknowledged[entry]
        ]
        return max(counted, default=0)

    def committed(self) -> int:
        return sum(max(self.outstanding(entry), self.running[entry]) for entry in ENTRIES)

    @stateful.rule(seconds=st.sampled_from([0.05, 0.1, 0.4, 1.0, 2.5]))
    def pass_time(self, seconds: float):
        self.now_s += seconds
        self.sent = [sent for sent in self.sent if self.now_s - sent[0] < 5 * LIFETIME_S]

    @stateful.rule(seed=st.integers(0, 2**32), actions=st.integers(1, 60))
    def step_randomly(self, seed: int, actions: int):
        """Take many steps at once, because single rules rarely reach states with two faults."""
        rng = random.Random(seed)
        for _ in range(actions):
            step, entry = rng.randrange(20), rng.choice(ENTRIES)
            if step < 8:
                demand_by_entry = {e: rng.randrange(10) for e in ENTRIES if rng.random() < 0.6}
                heard = {e for e in ENTRIES if rng.random() < 0.6}
                self.exchange(demand_by_entry, heard, rng.random() < 0.3)
            elif step < 10 and self.heartbeats:
                self.deliver_heartbeat_late_or_again(rng.randint(1, 9), rng.choice([0, 1_000]))
            elif step < 12 and self.sent:
                self.deliver_grant_late_or_again(rng.randint(1, 9))
            elif step < 14:
                self.start(entry, rng.randint(1, 9))
            elif step < 16:
                self.end(entry, rng.choice([0.01, 0.09, None]))
            elif step < 17:
                self.reset_to_cold(capacity.ColdCause.CACHE_LOST, rng.randint(1, 8))
            else:
                self.pass_time(rng.choice([0.1, 0.4, 1.0, 2.5]))
            self.grants_stay_within_the_limit()

    @stateful.rule(
        demand_by_entry=st.dictionaries(st.sampled_from(ENTRIES), st.integers(0, 9), min_size=1),
        heard=st.sets(st.sampled_from(ENTRIES)),
        late=st.booleans(),
    )
    def exchange(self, demand_by_entry: dict[ids.VmId, int], heard: set[ids.VmId], late: bool):
        for entry, demand in demand_by_entry.items():
            heartbeat = (entry, demand, self.held[entry].epoch)
            self.heartbeats.append(heartbeat)
            if not late:
                self.apply_heartbeat(heartbeat)
        committed = self.committed()
        outstanding = sum(map(self.outstanding, ENTRIES))
        grants = self.target.issue_grants(self.now_s)
        self.sent += [(self.now_s, grant) for grant in grants]
        limit = self.target.limit
        assert self.committed() <= max(committed, limit), (
            "grants and running attempts exceed the limit"
        )
        assert sum(map(self.outstanding, ENTRIES)) <= max(outstanding, limit)
        for grant in grants:
            if grant.entry in heard:
                self.receive(self.now_s, grant)

    def apply_heartbeat(self, heartbeat: tuple[ids.VmId, int, int]) -> None:
        entry, demand, epoch = heartbeat
        issued = [grant.epoch for _, grant in self.sent if grant.entry == entry]
        if epoch <= max(issued, default=0):
            self.acknowledged[entry] = max(self.acknowledged[entry], epoch)
        self.target.apply_heartbeat(self.now_s, entry, demand, epoch)

    def receive(self, sent_s: float, grant: capacity.Grant) -> None:
        held = self.held[grant.entry]
        if grant.epoch > held.epoch and self.now_s - sent_s > capacity.GRANT_MARGIN_S:
            self.late_grant_s[grant.entry] = self.now_s
        held.receive(self.now_s, grant.amount, grant.epoch)

    @stateful.precondition(lambda self: self.heartbeats)
    @stateful.rule(recent=st.sampled_from([9, 6, 4, 2, 1]), foreign=st.sampled_from([0, 0, 1_000]))
    def deliver_heartbeat_late_or_again(self, recent: int, foreign: int):
        entry, demand, epoch = self.heartbeats[-recent:][0]
        self.apply_heartbeat((entry, demand, epoch + foreign))

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(recent=st.sampled_from([9, 6, 4, 2, 1]))
    def deliver_grant_late_or_again(self, recent: int):
        self.receive(*self.sent[-recent:][0])

    @stateful.rule(entry=st.sampled_from(ENTRIES), count=st.integers(1, 9))
    def start(self, entry: ids.VmId, count: int):
        for _ in range(count):
            room = sum(self.running.values()) < self.target.limit
            assert self.target.try_acquire(self.now_s, entry) == room, (
                "an attempt is admitted exactly while the limit has room"
            )
            self.running[entry] += room

    @stateful.rule(entry=st.sampled_from(ENTRIES), step_s=st.sampled_from([0.01, 0.09, None]))
    def end(self, entry: ids.VmId, step_s: float | None):
        for _ in range(self.running[entry]):
            self.target.release(self.now_s, entry, step_s)
        self.running[entry] = 0

    @stateful.rule(cause=st.sampled_from(capacity.ColdCause), limit=st.integers(1, 8))
    def reset_to_cold(self, cause: capacity.ColdCause, limit: int):
        self.target.reset_to_cold(self.now_s, cause)
        assert self.target.limit == 1
        for entry in ENTRIES:
            self.end(entry, None)
        ramp(self.target, limit)

    @stateful.invariant()
    def grants_stay_within_the_limit(self):
        # A reduced limit applies to an issued grant only once that grant expires, so the bound is
        # the highest limit in force within the lifetime of a grant.
        self.limits.append((self.now_s, self.target.limit))
        while len(self.limits) > 1 and self.limits[1][0] <= self.now_s - LIFETIME_S:
            del self.limits[0]
        bound = max(limit for _, limit in self.limits)
        view = self.target.view(self.now_s)
        assert view.outstanding == sum(map(self.outstanding, ENTRIES)) <= bound
        assert view.running == sum(self.running.values())
        timely = [entry for entry in ENTRIES if self.now_s - self.late_grant_s[entry] >= LIFETIME_S]
        assert sum(self.held[entry].amount(self.now_s) for entry in timely) <= bound

    @stateful.rule()
    def recover(self):
        """Check that every entry with demand gets a grant once faults and running attempts end."""
        for entry in ENTRIES:
            self.end(entry, None)
        served: set[ids.VmId] = set()
        for _ in range(80):
            self.now_s += 0.1
            for entry, held in self.held.items():
                self.apply_heartbeat((entry, 2, held.epoch))
            for grant in self.target.issue_grants(self.now_s):
                self.sent.append((self.now_s, grant))
                self.receive(self.now_s, grant)
                served |= {grant.entry} if grant.amount else set()
            if served == set(ENTRIES):
                return
        raise AssertionError(f"only {served} received a grant within 8 s")


TestCapacityMachine = CapacityMachine.TestCase
