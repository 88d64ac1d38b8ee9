"""Guards against requests that run twice, and requests that run after a proof of "not run"."""

from __future__ import annotations

import dataclasses
import itertools
import random

import pytest
from hypothesis import stateful
from hypothesis import strategies as st
from pytest_benchmark import fixture

from gentianpaddle_core import capacity, ids, ledger

E1, E2 = ids.VmId("e1"), ids.VmId("e2")
Ledger = ledger.AttemptLedger
OUTCOME = ledger.KeptAnswer(200, "text/plain", b"answer")


def new_places(limit: int) -> capacity.Capacity:
    places = capacity.new_capacity(capacity.CapacitySettings(limit, 1.0, growth=float(limit)))
    places.try_acquire(0.0, E1)
    places.release(0.0, E1, 0.5)
    assert places.limit == limit
    return places


def new_ledger(limit: int = 8, **limits: float) -> ledger.AttemptLedger:
    small = ledger.LedgerLimits(filter_bits=1 << 14, **limits)  # type: ignore[arg-type]
    return ledger.new_ledger(ids.Incarnation(2), new_places(limit), small)


def start(attempt: int = 1, key: str = "k1", **values: object) -> ledger.StartRequest:
    name, fingerprint = ids.RequestKey(key), ids.Fingerprint("f-" + key)
    incarnation, number = ids.Incarnation(2), ids.Attempt(attempt)
    defaults = ledger.StartRequest(
        E1, name, number, fingerprint, incarnation, 1e6, idempotent=False
    )
    return dataclasses.replace(defaults, **values)  # type: ignore[arg-type]


def admit(
    attempt_ledger: Ledger, request: ledger.StartRequest, now_s: float = 0.0, **values: bool
) -> str:
    result = attempt_ledger.admit(now_s, request, ledger.AdmissionConditions(**values))
    if isinstance(result, ledger.Declined):
        return result.reason
    return "repeated" if result.repeated else "admitted"


def run(
    attempt_ledger: Ledger, request: ledger.StartRequest, now_s: float = 0.0
) -> ledger.ReportEffect:
    assert admit(attempt_ledger, request, now_s) == "admitted"
    attempt_ledger.start(now_s, request.key, request.attempt)
    return attempt_ledger.finish(now_s, request.key, request.attempt, OUTCOME, 0.1)


ALL_OUT = {"leaving": True, "data_centre_out": True, "vm_out": True, "quarantined": True}


@pytest.mark.parametrize(
    ("change", "conditions", "reason"),
    [
        ({"expected_incarnation": 1, "deadline_s": 0.0}, ALL_OUT, "incarnation"),
        ({"deadline_s": 0.0}, ALL_OUT, "leaving"),
        ({"deadline_s": 0.0}, {**ALL_OUT, "leaving": False}, "out"),
        ({"deadline_s": 0.0}, {"data_centre_out": True}, "out"),
        ({"deadline_s": 0.0}, {"quarantined": True}, "deadline"),
        ({"fingerprint": "f-running"}, {"quarantined": True}, "quarantined"),
        ({"fingerprint": "f-running", "key": "revoked"}, {}, "fingerprint_running"),
        ({"key": "running", "attempt": 2}, {}, "fingerprint_running"),
        ({"key": "running", "attempt": 2, "fingerprint": "f-x"}, {}, "fingerprint_running"),
        ({"key": "revoked"}, {}, "revoked"),
        ({"key": "revoked", "attempt": 3}, {}, "capacity"),
        ({"key": "declined"}, {}, "declined_before"),
        ({"key": "cancelled"}, {}, "declined_before"),
        ({"key": "cancelled", "entry": E2}, {}, "capacity"),
        ({"key": "done"}, {}, "stale_attempt"),
        ({"key": "done", "attempt": 2}, ALL_OUT, "repeated"),
        ({"key": "done", "attempt": 3}, {}, "key_seen"),
        ({"key": "done", "attempt": 3, "idempotent": True}, {}, "key_seen"),
        ({"attempt": 0}, {}, "stale_attempt"),
        ({"attempt": ledger.MAX_ATTEMPT + 1}, {}, "stale_attempt"),
        ({}, {}, "capacity"),
    ],
)
def test_decline_reason_is_the_first_failing_check(
    change: dict[str, object], conditions: dict[str, bool], reason: str
):
    attempt_ledger = new_ledger(limit=1)
    run(attempt_ledger, start(2, "done"))
    attempt_ledger.revoke(0.0, ids.RequestKey("revoked"), ids.Attempt(2))
    attempt_ledger.cancel(0.0, E1, ids.RequestKey("cancelled"), ids.Attempt(1))
    assert admit(attempt_ledger, start(1, "running")) == "admitted"
    assert admit(attempt_ledger, start(1, "declined")) == "capacity"
    assert admit(attempt_ledger, start(**change), **conditions) == reason  # type: ignore[arg-type]


def test_declined_attempt_stays_declined_after_its_cause_is_gone():
    """Guards against a copy of a start message that runs after the entry was told "not run"."""
    attempt_ledger = new_ledger()
    assert admit(attempt_ledger, start(), leaving=True) == "leaving"
    assert admit(attempt_ledger, start()) == "declined_before"
    assert admit(attempt_ledger, start(2)) == "admitted"


@pytest.mark.parametrize("idempotent", [True, False])
def test_declined_attempt_expires_only_after_its_retention_time(idempotent: bool):
    """Guards against a filter rotation that drops declined attempts too early, or never."""
    attempt_ledger = new_ledger(attempt_retention_s=100.0)
    assert (
        admit(attempt_ledger, start(1, "a", idempotent=idempotent), 0.0, leaving=True) == "leaving"
    )
    assert (
        admit(attempt_ledger, start(1, "b", idempotent=idempotent), 90.0, leaving=True) == "leaving"
    )
    assert admit(attempt_ledger, start(1, "b", idempotent=idempotent), 189.0) == "declined_before"
    assert admit(attempt_ledger, start(1, "a", idempotent=idempotent), 301.0) == "admitted"


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("started", [True, False])
@pytest.mark.parametrize("stop", ["cancel", "revoke", "other_entry"])
def test_cancel_and_revoke_after_admission(stop: str, started: bool, idempotent: bool):
    attempt_ledger = new_ledger()
    request = start(idempotent=idempotent)
    assert admit(attempt_ledger, request) == "admitted"
    if started:
        assert (
            attempt_ledger.start(0.0, request.key, request.attempt) is ledger.ReportEffect.APPLIED
        )
    if stop == "revoke":
        effect = attempt_ledger.revoke(0.0, request.key, request.attempt)
    else:
        entry = E1 if stop == "cancel" else E2
        effect = attempt_ledger.cancel(0.0, entry, request.key, request.attempt)
    if stop == "other_entry":
        assert effect is ledger.StopResult.MAY_HAVE_RUN
        assert attempt_ledger.query(0.0, request.key).status is ledger.KeyStatus.RUNNING
    elif started:
        assert effect is ledger.StopResult.RUNNING
    else:
        assert effect is ledger.StopResult.NOT_RUN
        assert (
            attempt_ledger.start(0.0, request.key, request.attempt) is ledger.ReportEffect.IGNORED
        )
        assert attempt_ledger.query(0.0, request.key).status is ledger.KeyStatus.NOT_RUN
        assert admit(attempt_ledger, start(2, idempotent=idempotent)) == "admitted"


def test_attempt_that_may_have_run_is_never_proven_not_run():
    """Guards against "not run" for a failed attempt after a newer attempt has replaced it."""
    attempt_ledger = new_ledger()
    request = start(1, idempotent=True)
    assert admit(attempt_ledger, request) == "admitted"
    attempt_ledger.start(0.0, request.key, request.attempt)
    attempt_ledger.fail(0.0, request.key, request.attempt, may_have_run=True)
    assert run(attempt_ledger, start(2, idempotent=True)) is ledger.ReportEffect.APPLIED
    assert admit(attempt_ledger, request) == "repeated"
    assert (
        attempt_ledger.cancel(0.0, E1, request.key, request.attempt)
        is ledger.StopResult.MAY_HAVE_RUN
    )
    assert (
        attempt_ledger.revoke(0.0, request.key, request.attempt) is ledger.StopResult.MAY_HAVE_RUN
    )


def test_late_older_attempt_does_not_hide_that_a_newer_one_ran():
    """Guards against "not run" when the record of the newer attempt was already dropped."""
    attempt_ledger = new_ledger(kept_s=5.0)
    run(attempt_ledger, start(2, idempotent=True))
    assert admit(attempt_ledger, start(1, idempotent=True), 6.0) == "admitted"
    assert admit(attempt_ledger, start(2, idempotent=True), 6.0) == "repeated"
    attempt_ledger.fail(6.0, ids.RequestKey("k1"), ids.Attempt(1), may_have_run=False)
    assert attempt_ledger.query(6.0, ids.RequestKey("k1")).status is ledger.KeyStatus.FAILED


def test_dropped_key_never_runs_again_within_the_retention_time():
    attempt_ledger = new_ledger(kept_outcomes=1, retention_s=800.0, attempt_retention_s=800.0)
    for key in ("a", "b", "c"):
        run(attempt_ledger, start(1, key))
    attempt_ledger.admit(1.0, start(1, "i", idempotent=True), ledger.AdmissionConditions())
    attempt_ledger.fail(1.0, ids.RequestKey("i"), ids.Attempt(1), may_have_run=False)
    assert attempt_ledger.query(1.0, ids.RequestKey("a")).status is ledger.KeyStatus.DROPPED
    run(attempt_ledger, start(1, "j", idempotent=True), 1.0)
    run(attempt_ledger, start(1, "d"), 1.0)
    assert admit(attempt_ledger, start(1, "a"), 799.0, leaving=True) == "repeated"
    assert admit(attempt_ledger, start(1, "j", idempotent=True), 799.0) == "repeated"
    assert admit(attempt_ledger, start(2, "a"), 799.0) == "key_seen"
    assert admit(attempt_ledger, start(1, "i", idempotent=True), 799.0) == "declined_before"
    assert admit(attempt_ledger, start(2, "a"), 5_000.0) == "admitted"


@pytest.mark.parametrize("idempotent", [True, False])
def test_new_non_idempotent_keys_are_declined_when_tombstones_are_full(idempotent: bool):
    attempt_ledger = new_ledger(kept_outcomes=1, non_idempotent_keys=3)
    for key in ("a", "b", "c"):
        run(attempt_ledger, start(1, key))
    expected = "admitted" if idempotent else "tombstones_full"
    assert admit(attempt_ledger, start(1, "d", idempotent=idempotent)) == expected
    assert admit(attempt_ledger, start(2, "a")) == "key_seen"


@pytest.mark.parametrize(
    ("limits", "kept"),
    [({"kept_outcomes": 2}, 2), ({"kept_bytes": 18}, 3), ({"kept_bytes": 5}, 6), ({}, 6)],
)
def test_kept_outcomes_are_bounded(limits: dict[str, float], kept: int):
    attempt_ledger = new_ledger(**limits)
    keys = [ids.RequestKey(f"k{n}") for n in range(6)]
    for key in keys:
        assert run(attempt_ledger, start(1, key)) is ledger.ReportEffect.APPLIED
    states = [attempt_ledger.query(0.0, key) for key in keys]
    assert [s.status for s in states].count(ledger.KeyStatus.DONE) == kept
    bodies = [s.outcome.body for s in states if s.outcome and s.outcome.body is not None]
    assert sum(map(len, bodies)) <= limits.get("kept_bytes", 1e9)
    late = attempt_ledger.query(ledger.LedgerLimits().kept_s, keys[-1])
    assert late.status is ledger.KeyStatus.DROPPED


@pytest.mark.parametrize("limit", [64, 1])
def test_admission_cost(benchmark: fixture.BenchmarkFixture, limit: int):
    """Measures the time of one decision; with a limit of 1 nearly all attempts are declined."""
    attempt_ledger, conditions = new_ledger(limit), ledger.AdmissionConditions()
    numbers = itertools.count()

    def prepare() -> tuple[tuple[object, ...], dict[str, object]]:
        for running in attempt_ledger.running_requests()[: limit - 1]:
            attempt_ledger.fail(0.0, running.key, running.attempt, may_have_run=False)
        return (0.0, start(1, f"organisation/{next(numbers):032d}"), conditions), {}

    benchmark.pedantic(attempt_ledger.admit, setup=prepare, rounds=20_000)


KEYS = tuple(ids.RequestKey(f"k{n}") for n in range(4))
IDEMPOTENT = frozenset(KEYS[:2])
STOPS = ("cancel", "revoke")
NEXT_ACTIONS = ("wait", "run", "run", "end", "fail")


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Messages are delayed, lost, duplicated and reordered, and the agent restarts at any step.

    The time that passes stays below the retention times, so every proof must hold to the end.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.incarnation = 1
        self.attempts: dict[tuple[ids.VmId, ids.RequestKey], int] = {}
        self.messages: list[tuple[str, ledger.StartRequest]] = []
        self.restart(2)

    @stateful.rule(limit=st.sampled_from([0, 0, 0, 0, 1, 2]))
    def restart(self, limit: int):
        if limit == 0:
            return
        self.incarnation += 1
        self.places = new_places(limit)
        limits = ledger.LedgerLimits(2, 8, 5.0, non_idempotent_keys=2, filter_bits=1 << 14)
        self.ledger = ledger.new_ledger(ids.Incarnation(self.incarnation), self.places, limits)
        self.ran_attempts: list[tuple[str, str, int]] = []
        self.proven_not_run: set[tuple[str, str, int]] = set()
        self.conditions = ledger.AdmissionConditions()
        self.admitted_requests: list[ledger.StartRequest] = []
        self.running_requests: list[ledger.StartRequest] = []

    @stateful.rule(
        entry=st.sampled_from([E1, E2]),
        key=st.sampled_from(KEYS),
        incarnations_behind=st.sampled_from([0, 0, 0, 1]),
        copies=st.integers(0, 2),
        next_action=st.sampled_from(NEXT_ACTIONS),
    )
    def send_start(
        self,
        entry: ids.VmId,
        key: ids.RequestKey,
        incarnations_behind: int,
        copies: int,
        next_action: str,
    ):
        number = self.attempts[entry, key] = self.attempts.get((entry, key), 0) + 1
        incarnation, idempotent = self.incarnation - incarnations_behind, key in IDEMPOTENT
        request = start(
            number, key, entry=entry, expected_incarnation=incarnation, idempotent=idempotent
        )
        self.messages.append(("start", request))
        for _ in range(copies):
            self.receive("start", request)
            if next_action != "wait":
                self.start_at_backend_server(True)
        while next_action in ("end", "fail") and self.running_requests:
            self.end(next_action == "fail", 3, 1)

    @stateful.precondition(lambda self: self.messages)
    @stateful.rule(kind=st.sampled_from(STOPS), recent=st.integers(1, 9), deliver_now=st.booleans())
    def send_stop(self, kind: str, recent: int, deliver_now: bool):
        request = self.messages[-recent:][0][1]
        self.messages.append((kind, request))
        if deliver_now:
            self.receive(kind, request)

    @stateful.precondition(lambda self: self.messages)
    @stateful.rule(recent=st.integers(1, 9), runs=st.booleans())
    def deliver_late_or_again(self, recent: int, runs: bool):
        self.receive(*self.messages[-recent:][0])
        if runs:
            self.start_at_backend_server(True)

    @stateful.rule(seed=st.integers(0, 2**32), actions=st.integers(1, 60))
    def run_random_actions(self, seed: int, actions: int):
        """Run many random actions in one rule; single rules reach few states with two faults."""
        rng = random.Random(seed)
        for _ in range(actions):
            step, coin = rng.randrange(20), rng.random() < 0.5
            if step < 6:
                entry, key, next_action = (
                    rng.choice([E1, E2]),
                    rng.choice(KEYS),
                    rng.choice(NEXT_ACTIONS),
                )
                self.send_start(entry, key, rng.random() < 0.1, rng.randrange(3), next_action)
            elif step < 12 and self.messages:
                self.deliver_late_or_again(rng.randint(1, 9), rng.random() < 0.7)
            elif step < 15 and self.messages:
                self.send_stop(rng.choice(STOPS), rng.randint(1, 9), coin)
            elif step < 16:
                self.change_conditions(rng.choice(["", "", "leaving", "vm_out"]))
            elif step < 17:
                self.start_at_backend_server(coin)
            elif step < 18 and self.running_requests:
                self.end(coin, rng.randrange(9), rng.randint(1, 2))
            elif step < 19:
                self.pass_time(rng.choice([0.1, 3.0, 6.0]))
            else:
                self.restart(rng.choice([0, 0, 1, 2]))
            self.guarantees_hold()

    @stateful.rule(condition=st.sampled_from(["", "", "leaving", "vm_out"]))
    def change_conditions(self, condition: str):
        self.conditions = ledger.AdmissionConditions(**{condition: True} if condition else {})

    def receive(self, kind: str, request: ledger.StartRequest) -> None:
        entry, key, attempt = request.entry, request.key, request.attempt
        if kind == "start":
            result = self.ledger.admit(self.now_s, request, self.conditions)
            if isinstance(result, ledger.Declined):
                self.proven_not_run.add((entry, key, attempt))
            elif not result.repeated:
                assert request.expected_incarnation == self.incarnation
                assert self.conditions == ledger.AdmissionConditions()
                self.admitted_requests.append(request)
        elif kind == "cancel":
            if self.ledger.cancel(self.now_s, entry, key, attempt) is ledger.StopResult.NOT_RUN:
                self.proven_not_run.add((entry, key, attempt))
        elif self.ledger.revoke(self.now_s, key, attempt) is ledger.StopResult.NOT_RUN:
            numbers = range(1, attempt + 1)
            self.proven_not_run |= {(e, key, n) for e in (E1, E2) for n in numbers}

    @stateful.precondition(lambda self: self.admitted_requests)
    @stateful.rule(accepts=st.sampled_from([True, True, False]))
    def start_at_backend_server(self, accepts: bool):
        while self.admitted_requests:
            request = self.admitted_requests.pop(0)
            key, attempt = request.key, request.attempt
            if self.ledger.start(self.now_s, key, attempt) is not ledger.ReportEffect.APPLIED:
                continue
            assert self.ledger.start(self.now_s, key, attempt) is ledger.ReportEffect.IGNORED
            if accepts:
                self.ran_attempts.append((request.entry, key, attempt))
                self.running_requests.append(request)
            else:
                self.proven_not_run.add((request.entry, key, attempt))
                self.ledger.fail(self.now_s, key, attempt, may_have_run=False)

    @stateful.precondition(lambda self: self.running_requests)
    @stateful.rule(fails=st.booleans(), size=st.integers(0, 9), repeats=st.integers(1, 2))
    def end(self, fails: bool, size: int, repeats: int):
        request = self.running_requests.pop(0)
        key, attempt = request.key, request.attempt
        for repeat in range(repeats):
            if fails:
                effect = self.ledger.fail(self.now_s, key, attempt, may_have_run=True)
            else:
                outcome = ledger.KeptAnswer(200, key, bytes(size))
                effect = self.ledger.finish(self.now_s, key, attempt, outcome, 0.1)
            assert (effect is ledger.ReportEffect.APPLIED) == (repeat == 0)

    @stateful.rule(key=st.sampled_from(KEYS), attempt=st.integers(1, 4))
    def report_about_no_running_attempt(self, key: ids.RequestKey, attempt: int):
        if all(
            (r.key, r.attempt) != (key, attempt)
            for r in [*self.running_requests, *self.admitted_requests]
        ):
            report = (self.now_s, key, ids.Attempt(attempt))
            assert self.ledger.start(*report) is ledger.ReportEffect.IGNORED
            assert self.ledger.finish(*report, OUTCOME, 0.1) is ledger.ReportEffect.IGNORED
            assert self.ledger.fail(*report, may_have_run=False) is ledger.ReportEffect.IGNORED

    @stateful.rule(seconds=st.sampled_from([0.1, 3.0, 6.0]))
    def pass_time(self, seconds: float):
        self.now_s += seconds

    @stateful.invariant()
    def guarantees_hold(self):
        for key in KEYS:
            runs = [run for run in self.ran_attempts if run[1] == key]
            assert key in IDEMPOTENT or len(runs) <= 1, "a non-idempotent key ran twice"
            state = self.ledger.query(self.now_s, key)
            assert state.outcome is None or state.outcome.content_type == key
            assert state.status is not ledger.KeyStatus.NOT_RUN or not runs
        assert not self.proven_not_run & set(self.ran_attempts), (
            "an attempt ran that was proven not run"
        )
        admitted = self.ledger.running_requests()
        assert len(admitted) == self.places.running <= self.places.limit
        assert {(r.key, r.attempt) for r in self.running_requests} <= {
            (a.key, a.attempt) for a in admitted
        }
        assert len({a.fingerprint for a in admitted}) == len(admitted)


TestLedgerMachine = LedgerMachine.TestCase
