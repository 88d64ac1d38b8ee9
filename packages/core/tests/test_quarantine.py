"""Guards against a request that crashes one server after another, and against false refusals."""

from __future__ import annotations

import collections
import heapq
import itertools
import random

import pytest
from hypothesis import given, strategies

from gentianpaddle_core import ids, quarantine

P, X, Y = (ids.Fingerprint(name) for name in "pxy")
ALLOW, ISOLATED, REFUSE = quarantine.Allow(), quarantine.AllowIsolated(), quarantine.Refuse(2)
CANDIDATES = 16
ENTRIES = 8


def decisions(state: quarantine.Quarantine, now_s: float = 0.0) -> list[quarantine.Decision]:
    return [state.decide(fingerprint, now_s) for fingerprint in (P, X, Y)]


@pytest.mark.parametrize(
    ("crashes", "completed", "expected"),
    [
        ([], "", [ALLOW, ALLOW, ALLOW]),
        (["p"], "", [ISOLATED, ALLOW, ALLOW]),
        (["px"], "", [ISOLATED, ISOLATED, ALLOW]),
        (["px"], "x", [ISOLATED, ALLOW, ALLOW]),
        (["px", "py"], "", [REFUSE, ALLOW, ALLOW]),
        (["px", "p", "xy"], "", [REFUSE, ISOLATED, ISOLATED]),
        (["px", "px"], "", [ISOLATED, ISOLATED, ALLOW]),
        (["px", "px", "px"], "", [quarantine.Refuse(3), quarantine.Refuse(3), ALLOW]),
        (["px", "px", "p"], "", [quarantine.Refuse(3), ALLOW, ALLOW]),
        (["px", "px"], "x", [REFUSE, ALLOW, ALLOW]),
        (["p", "p"], "p", [ALLOW, ALLOW, ALLOW]),
    ],
)
def test_decision_follows_from_crashes_and_completions(
    crashes: list[str], completed: str, expected: list[quarantine.Decision]
):
    state = quarantine.new_quarantine()
    for number, in_progress in enumerate(crashes):
        state.record_crash(f"c{number}", map(ids.Fingerprint, in_progress), 0.0)
    for fingerprint in completed:
        state.record_completion(ids.Fingerprint(fingerprint), 0.0)
    assert decisions(state) == expected
    assert decisions(state, quarantine.RECORD_AGE_S) == [ALLOW, ALLOW, ALLOW]


@pytest.mark.parametrize(
    ("fingerprint", "running", "expected"),
    [
        (P, "xz", quarantine.Decline(quarantine.WaitReason.SUSPECT_RUNNING)),
        (P, "z", ISOLATED),
        (P, "pz", quarantine.Decline(quarantine.WaitReason.COPY_RUNNING)),
        (ids.Fingerprint("z"), "px", ALLOW),
        (ids.Fingerprint("z"), "z", quarantine.Decline(quarantine.WaitReason.COPY_RUNNING)),
        (Y, "", REFUSE),
    ],
)
def test_suspects_and_copies_do_not_run_together(
    fingerprint: ids.Fingerprint, running: str, expected: quarantine.Decision
):
    state = quarantine.new_quarantine()
    for crash_id, in_progress in (("1", (P, X)), ("2", (Y,)), ("3", (Y,))):
        state.record_crash(crash_id, in_progress, 0.0)
    assert state.admit(fingerprint, list(map(ids.Fingerprint, running)), 0.0) == expected


def test_records_and_fingerprints_are_bounded():
    state = quarantine.new_quarantine(records_limit=10)
    fingerprints = [ids.Fingerprint(f"f{number:04d}") for number in range(1_000)]
    for number in range(100):
        state.record_crash(f"c{number}", fingerprints, float(number))
    kept = state.records(100.0)
    assert [record.crash_id for record in kept] == [f"c{99 - number}" for number in range(10)]
    assert {len(record.fingerprints) for record in kept} == {quarantine.FINGERPRINTS_LIMIT}


FINGERPRINT_SETS = strategies.frozensets(strategies.sampled_from([P, X, Y]))
RECORDS = strategies.lists(
    strategies.builds(
        quarantine.CrashRecord,
        strategies.sampled_from(["1", "2", "3", "4"]),
        FINGERPRINT_SETS,
        FINGERPRINT_SETS,
        strategies.sampled_from([0.0, 10.0, 3_599.0, 3_600.0]),
    ),
    max_size=8,
)


@given(RECORDS, strategies.randoms(use_true_random=False))
def test_merging_is_commutative_and_idempotent(
    records: list[quarantine.CrashRecord], source: random.Random
):
    # A record never clears a fingerprint that it does not contain.
    records = [
        quarantine.CrashRecord(r.crash_id, r.fingerprints, r.cleared & r.fingerprints, r.age_s)
        for r in records
    ]
    first, second = quarantine.new_quarantine(), quarantine.new_quarantine()
    first.merge(records, 0.0)
    for record in source.sample(records * 2, len(records) * 2):
        second.merge((record,), 0.0)
    assert first.records(0.0) == second.records(0.0)
    assert decisions(first) == decisions(second)
    assert not first.merge(second.records(0.0), 0.0)


class Fleet:
    """Simulated servers and entries, which resend at once and exchange records with a delay."""

    def __init__(self, seed: int, delay_limit_s: float, poisons: int, bystanders: int) -> None:
        self.random = random.Random(seed)
        self.delay_limit_s = delay_limit_s
        self.poisons = {ids.Fingerprint(f"poison{number}") for number in range(poisons)}
        self.requests = [
            *sorted(self.poisons),
            *(ids.Fingerprint(f"good{number}") for number in range(bystanders)),
        ]
        self.quarantine_by_entry = [quarantine.new_quarantine() for _ in range(ENTRIES)]
        self.quarantine_by_server = [quarantine.new_quarantine() for _ in range(64)]
        self.running: list[dict[ids.Fingerprint, int]] = [{} for _ in self.quarantine_by_server]
        self.incarnations = [0] * len(self.quarantine_by_server)
        self.events: list[tuple[float, int, tuple[object, ...]]] = []
        self.event_numbers = itertools.count()
        self.crashed_servers_by_fingerprint: collections.defaultdict[str, set[int]] = (
            collections.defaultdict(set)
        )
        self.refused: set[ids.Fingerprint] = set()
        self.done: set[tuple[int, ids.Fingerprint]] = set()

    def at(self, time_s: float, *event: object) -> None:
        heapq.heappush(self.events, (time_s, next(self.event_numbers), event))

    def run(self) -> None:
        for entry in range(ENTRIES):
            for fingerprint in self.requests:
                self.at(0.0, "send", entry, fingerprint)
        while self.events and self.events[0][0] < 60.0:
            time_s, _, (kind, *rest) = heapq.heappop(self.events)
            getattr(self, f"_{kind}")(time_s, *rest)

    def _send(self, now_s: float, entry: int, fingerprint: ids.Fingerprint) -> None:
        if isinstance(
            self.quarantine_by_entry[entry].decide(fingerprint, now_s), quarantine.Refuse
        ):
            self.refused.add(fingerprint)
            return
        # The sample of servers is seeded by the fingerprint and is the same at every entry.
        servers = range(len(self.quarantine_by_server))
        server = self.random.choice(random.Random(str(fingerprint)).sample(servers, CANDIDATES))
        decision = self.quarantine_by_server[server].admit(fingerprint, self.running[server], now_s)
        if isinstance(decision, quarantine.Refuse):
            self.refused.add(fingerprint)
        elif isinstance(decision, quarantine.Decline):
            self.at(now_s + 0.05, "send", entry, fingerprint)
        else:
            self.running[server][fingerprint] = entry
            duration_s = 0.05 if fingerprint in self.poisons else self.random.uniform(0.1, 0.6)
            self.at(now_s + duration_s, "end", server, fingerprint, self.incarnations[server])

    def _end(
        self, now_s: float, server: int, fingerprint: ids.Fingerprint, incarnation: int
    ) -> None:
        if incarnation != self.incarnations[server]:
            return
        if fingerprint not in self.poisons:
            entry = self.running[server].pop(fingerprint)
            self.done.add((entry, fingerprint))
            if self.quarantine_by_server[server].record_completion(fingerprint, now_s):
                self._send_records(now_s, server)
            return
        self.crashed_servers_by_fingerprint[fingerprint].add(server)
        interrupted, self.running[server] = self.running[server], {}
        self.incarnations[server] += 1
        self.quarantine_by_server[server].record_crash(
            f"{server}/{incarnation}", interrupted, now_s
        )
        self._send_records(now_s, server)
        for other, entry in interrupted.items():
            self.at(now_s + 0.01, "send", entry, other)

    def _send_records(self, now_s: float, server: int) -> None:
        records = self.quarantine_by_server[server].records(now_s)
        for target in (*self.quarantine_by_entry, *self.quarantine_by_server):
            delay_s = self.random.uniform(0.0, self.delay_limit_s)
            self.at(now_s + delay_s, "exchange", target, records)

    def _exchange(
        self,
        now_s: float,
        target: quarantine.Quarantine,
        records: tuple[quarantine.CrashRecord, ...],
    ) -> None:
        target.merge(records, now_s)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("delay_limit_s", [0.0, 0.5, 3.0, 30.0])
def test_crashing_request_reaches_only_its_candidate_servers(delay_limit_s: float, seed: int):
    fleet = Fleet(seed, delay_limit_s, poisons=1, bystanders=0)
    fleet.run()
    (crashed_servers,) = fleet.crashed_servers_by_fingerprint.values()
    assert len(crashed_servers) <= CANDIDATES
    # Without a delay only the copies that are already running crash their servers.
    if not delay_limit_s:
        assert len(crashed_servers) <= ENTRIES
    assert fleet.refused == fleet.poisons


@pytest.mark.parametrize("poisons", [1, 4])
@pytest.mark.parametrize("seed", range(2))
def test_requests_beside_a_crashing_one_complete(seed: int, poisons: int):
    fleet = Fleet(seed, 0.5, poisons, bystanders=24)
    fleet.run()
    harmless = set(fleet.requests) - fleet.poisons
    assert fleet.done >= {(entry, f) for entry in range(ENTRIES) for f in harmless - fleet.refused}
    for state in (*fleet.quarantine_by_entry, *fleet.quarantine_by_server):
        assert all(state.decide(f, 60.0) == ALLOW for f in harmless)
        assert all(isinstance(state.decide(f, 60.0), quarantine.Refuse) for f in fleet.poisons)
