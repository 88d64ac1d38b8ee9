"""Decisions about requests that crash servers: single cases, and a replay with several fronts."""

from __future__ import annotations

import dataclasses
import heapq
import random
import typing

import pytest

from gentianpaddle_core import ids
from gentianpaddle_core.serving import (
    crash_blame,
    crash_records,
    crash_suspects,
    request_crashes,
    silence,
)

SERVER = ids.BackendServerId("s1")


def causes(*parts: str, request: str = "r") -> crash_records.RequestCauses:
    return crash_records.RequestCauses(
        tuple(crash_records.Cause(part) for part in parts), crash_records.Cause(request)
    )


def crash(
    starting: str = "", waiting: str = "", at_s: float = 10.0, server: str = "s1", request: str = ""
) -> crash_records.Crash:
    return crash_records.Crash(
        ids.BackendServerId(server),
        at_s,
        starting={crash_records.Cause(part) for part in starting.split()},
        waiting={crash_records.Cause(part) for part in waiting.split()},
        fingerprints={crash_records.Cause(item) for item in request.split()},
    )


@dataclasses.dataclass(frozen=True)
class Case:
    """Crashes, answers that began after them, and what is held then."""

    name: str
    crashes: list[crash_records.Crash]
    answered: list[str]
    held: list[str]
    free: list[str]
    now_s: float = 14.0
    """Time of the decision: the group is open again."""


CASES = [
    Case("one suspect after one crash", [crash("a x")], ["a"], ["a x", "b x", "x"], ["a", "b"]),
    Case("an answer began before the others", [crash("x", "b")], [], ["x"], ["b"]),
    Case("nothing was about to begin", [crash("", "a x")], ["a"], ["x"], ["a"], now_s=11.0),
    Case("many suspects are not held", [crash("", "a b c d e")], [], [], ["a", "b"], now_s=11.0),
    Case(
        "two crashes have one part in common",
        [crash("", "a b x"), crash("", "c d x", 20.0, "s2")],
        [],
        ["x"],
        ["a", "b", "c"],
        now_s=21.0,
    ),
    Case(
        "a loss of power has another cause",
        [crash("", "x", server=f"s{number}") for number in range(4)],
        [],
        [],
        ["x"],
        now_s=11.0,
    ),
    Case("all suspects are innocent", [crash("a b")], ["a", "b"], [], ["a", "b", "a b"]),
    Case("an old crash is forgotten", [crash("x", at_s=-4_000.0)], [], [], ["x"]),
]


@pytest.mark.parametrize("case", CASES, ids=[case.name for case in CASES])
def test_held_parts(case: Case) -> None:
    """Guards against requests that crash one server after the other, and against holding others."""
    suspects = crash_suspects.CrashSuspects()
    suspects.merge(case.crashes, 10.0)
    suspects.confirm(11.0)
    for part in case.answered:
        suspects.record_answer(causes(part), 12.0)
    for parts in case.held:
        assert suspects.held(causes(*parts.split()), case.now_s) is not None, parts
    for parts in case.free:
        assert suspects.held(causes(*parts.split()), case.now_s) is None, parts


def test_merging_gives_the_same_in_any_order() -> None:
    """Guards against fronts that hold different parts after the same messages."""
    crashes = [
        crash("a x"),
        crash("", "b c", 10.1),
        crash("", "x d", 30.0, "s2"),
        crash("e", "", 50.0, "s3"),
    ]
    expected = None
    for seed in range(20):
        order = random.Random(seed).sample(crashes * 2, len(crashes) * 2)
        suspects = crash_suspects.CrashSuspects()
        for item in order:
            suspects.merge([dataclasses.replace(item)], 60.0)
        suspects.record_answer(causes("a"), 61.0)
        expected = expected or suspects.held_parts()
        assert suspects.held_parts() == expected


def test_part_that_was_held_wrongly_is_free_after_a_trial() -> None:
    """Guards against sound requests that are refused for good after a crash by another cause."""
    suspects = crash_suspects.CrashSuspects()
    suspects.merge([crash("x y")], 10.0)
    suspects.confirm(11.0)
    innocent = causes("x", request="r1")
    assert suspects.held(innocent, 11.0) is not None
    later_s = 10.1 + crash_suspects.UNCERTAIN_TRIAL_INTERVAL_S
    assert suspects.held(innocent, later_s) is None
    assert suspects.start_trial(innocent, later_s) == ["x"]
    # One trial at a time.
    assert suspects.held(causes("x", request="r2"), later_s + 0.1) is not None
    assert suspects.record_answer(innocent, later_s + 0.2)
    assert suspects.held(causes("x", request="r3"), later_s + 0.3) is None
    assert suspects.held(causes("y"), later_s + 5.0) is not None


def test_trials_become_rare_with_each_crash() -> None:
    """Guards against more than three trials of a fatal part after its fifth crash."""
    suspects = crash_suspects.CrashSuspects()
    now_s, crash_times_s = 0.0, [0.0]
    suspects.merge([crash("x", at_s=0.0, server="s0")], 0.0)
    while now_s < 600.0:
        now_s += 0.1
        suspects.confirm(now_s)
        if suspects.held(causes("x"), now_s) is None:
            suspects.start_trial(causes("x"), now_s)
            crash_times_s.append(now_s)
            suspects.merge([crash("x", at_s=now_s, server=f"s{len(crash_times_s)}")], now_s)
    assert len(crash_times_s) <= 5 + 3


def test_repeated_request_is_held_after_three_crashes() -> None:
    """Guards against a request without a prompt that crashes each server to which it is sent."""
    suspects = crash_suspects.CrashSuspects()
    for number in range(3):
        assert suspects.held(causes(request="f"), 10.0 + number) is None
        suspects.merge([crash(at_s=10.0 + number, server=f"s{number}", request="f")], 13.0)
    assert suspects.held(causes(request="f"), 13.0) is not None
    assert suspects.held(causes(request="g"), 13.0) is None


def lose_answers(
    suspects: crash_suspects.CrashSuspects, count: int, parts: str, begin_s: float, end_s: float
) -> None:
    """Record lost answers of other requests, each at another server."""
    for number in range(count):
        at_s = begin_s + (end_s - begin_s) * number / count
        request = f"other-{begin_s}-{number}"
        lost = crash("", parts.replace("*", str(number)), at_s, f"s{number % 40}", request)
        suspects.merge([lost], at_s)


@pytest.mark.parametrize("parts", ["", "shared", "shared-*"], ids=["plain", "one", "many"])
@pytest.mark.parametrize("answered", [True, False])
@pytest.mark.parametrize(("per_s", "gap_s"), [(20, 2.0), (20, 60.0), (200, 10.0)])
def test_repeated_request_is_held_however_many_answers_are_lost(
    parts: str, answered: bool, per_s: int, gap_s: float
) -> None:
    """Guards against a request that crashes servers without end while other answers are lost."""
    suspects = crash_suspects.CrashSuspects()
    suspects.merge([crash("held", at_s=0.0, server="engine")], 0.0)
    now_s = 0.0
    for number in range(3):
        assert suspects.held(causes(request="f"), now_s) is None
        suspects.merge([crash(at_s=now_s, server=f"f{number}", request="f")], now_s)
        lose_answers(suspects, int(per_s * gap_s), parts, now_s, now_s + gap_s)
        now_s += gap_s
        if answered:
            suspects.record_answer(causes("shared", request="other"), now_s)
    held = suspects.held(causes(request="f"), now_s - gap_s + 1.0)
    assert held is not None
    assert held.crashes == 3
    assert suspects.held(causes(request="g"), now_s) is None


def test_fatal_part_is_held_however_many_answers_are_lost() -> None:
    """Guards against a part of a prompt that is free again after answers of sound streams are lost.

    Their parts are innocent, as other answers with them have begun.
    """
    suspects = crash_suspects.CrashSuspects()
    for number in range(300):
        suspects.record_answer(causes(f"sound-{number}", request=f"r{number}"), 9.0)
    suspects.merge([crash("x", at_s=10.0, server="engine")], 10.0)
    suspects.confirm(11.0)
    lose_answers(suspects, 300, "sound-*", 14.1, 20.0)
    held = suspects.held(causes("x"), 20.0)
    assert held is not None
    assert held.blame == crash_blame.CERTAIN_BLAME
    assert len(suspects.crashes(20.0)) <= crash_suspects.MAX_RECORDS
    assert suspects.held(causes("sound-1"), 20.0) is None


@pytest.mark.parametrize("displaced", [0, 200])
def test_request_that_is_answered_is_innocent_at_all_processes(displaced: int) -> None:
    """Guards against sound requests that are refused because their lost answers were counted."""
    here, there = crash_suspects.CrashSuspects(), crash_suspects.CrashSuspects()
    losses = [crash(at_s=10.0 + number, server=f"s{number}", request="f") for number in range(3)]
    for suspects in (here, there):
        suspects.merge(losses, 13.0)
        assert suspects.held(causes(request="f"), 13.0) is not None
        lose_answers(suspects, displaced, "", 13.0, 14.0)
    cleared = here.record_answer(causes(request="f"), 14.0)
    assert here.held(causes(request="f"), 14.0) is None
    there.merge(cleared, 14.1)
    assert there.held(causes(request="f"), 14.1) is None
    assert here.record_answer(causes(request="f"), 14.2) == []


def test_what_is_known_of_requests_is_bounded() -> None:
    """Guards against memory that grows with each lost answer, and with copies of messages."""
    requests = request_crashes.RequestCrashes(crash_suspects.RECORD_AGE_S)
    limit = request_crashes.MAX_LOST_ONCE + request_crashes.MAX_LOST_AGAIN
    for number in range(2 * limit):
        for at_s in range(number % 2 + 1):
            presence = request_crashes.Presence(SERVER, 10.0 * at_s)
            requests.add(crash_records.Cause(f"r{number}"), presence)
    assert len(requests) <= limit
    repeated = crash_records.Cause("f")
    presences = [request_crashes.Presence(SERVER, 10.0 * number) for number in range(20)]
    assert [requests.add(repeated, presence) for presence in presences] == [True] * 20
    assert [requests.add(repeated, presence) for presence in presences] == [False] * 20
    assert len(requests.crashes(repeated, 200.0)) == request_crashes.MAX_CRASHES
    assert len(requests.crashes(repeated, 190.0 + crash_suspects.RECORD_AGE_S)) == 1


@pytest.mark.parametrize(
    ("sent_s", "progress_s", "expected"), [(9.7, 0.0, True), (5.0, 9.8, True), (5.0, 8.4, False)]
)
def test_requests_lost_with_their_group_prove_no_crash(
    sent_s: float, progress_s: float, expected: bool
) -> None:
    """Guards against blaming the requests at sound ranks that break off after a stall."""
    progress = silence.ServiceProgress()
    progress.record_progress(ids.BackendServerId("other"), progress_s)
    assert crash_suspects.proves_crash(progress, SERVER, sent_s, 10.0) is expected


MESSAGE_DELAY_S = 0.06
FIRST_EVENT_S = 0.17
OUTAGE_S = 4.0
REPLAY_S = 30.0


class Replay:
    """Fronts and engines on a day with a fatal prompt part.

    From second 4 on, 25 of 1,000 requests hold the fatal part. They share their first parts with
    sound requests and arrive at any front. When a rank crashes, nothing begins for 4 s.

    Args:
        fronts: Number of fronts.
        engines: Number of engines.
        rate_per_s: Requests per second.
        seed: Seed of the random choices.
    """

    def __init__(self, fronts: int, engines: int, rate_per_s: float, seed: int) -> None:
        self._random = random.Random(seed)
        self._engines, self._rate_per_s = engines, rate_per_s
        self._suspects = [crash_suspects.CrashSuspects() for _ in range(fronts)]
        self._waiting: list[tuple[int, crash_records.RequestCauses]] = []
        self._answered: set[crash_records.Cause] = set()
        self._events: list[tuple[float, int, typing.Callable[[float], None]]] = []
        self._scheduled = 0
        self._open_s = 0.0
        self.crash_times_s: list[float] = []
        self.sound = 0
        """Number of sound requests after second 10."""
        self.refused = 0
        """Number of these that were held."""

    def run(self) -> None:
        """Play the day."""
        self._schedule(0.0, self._arrive)
        while self._events and self._events[0][0] < REPLAY_S:
            now_s, _, event = heapq.heappop(self._events)
            event(now_s)

    def _schedule(self, at_s: float, event: typing.Callable[[float], None]) -> None:
        self._scheduled += 1
        heapq.heappush(self._events, (at_s, self._scheduled, event))

    def _arrive(self, now_s: float) -> None:
        parts = [f"first-{self._random.randrange(90)}"]
        if now_s > 4.0 and self._random.random() < 0.025:
            parts.append("fatal")
        else:
            self.sound += now_s > 10.0
        front = self._random.randrange(len(self._suspects))
        request = causes(*parts, request=f"r{self._scheduled}")
        if now_s < self._open_s:
            self._waiting.append((front, request))
        else:
            self._start(front, request, now_s)
        self._schedule(now_s + self._random.expovariate(self._rate_per_s), self._arrive)

    def _start(self, front: int, request: crash_records.RequestCauses, sent_s: float) -> None:
        if self._suspects[front].held(request, sent_s) is not None:
            self.refused += sent_s > 10.0 and "fatal" not in request.parts
            return
        self._suspects[front].start_trial(request, sent_s)
        self._schedule(
            sent_s + FIRST_EVENT_S, lambda now_s: self._begin(front, request, sent_s, now_s)
        )

    def _begin(
        self, front: int, request: crash_records.RequestCauses, sent_s: float, now_s: float
    ) -> None:
        if self.crash_times_s and sent_s < self.crash_times_s[-1] <= now_s:
            return
        if "fatal" not in request.parts:
            self._suspects[front].record_answer(request, now_s)
            self._answered.update(request.parts)
            return
        self.crash_times_s.append(now_s)
        server = f"e{self._random.randrange(self._engines)}-{len(self.crash_times_s)}"
        for receiver, suspects in enumerate(self._suspects):
            crash = crash_records.Crash(
                ids.BackendServerId(server), now_s, starting=set(request.parts)
            )
            # A front that has seen an answer with the first part tells the others.
            crash.innocent = {part for part in request.parts if part in self._answered}
            delay_s = 0.0 if receiver == front else MESSAGE_DELAY_S
            self._schedule(
                now_s + delay_s,
                lambda heard_s, suspects=suspects, crash=crash: suspects.merge([crash], heard_s),
            )
        self._open_s = now_s + OUTAGE_S
        self._schedule(self._open_s, self._open)

    def _open(self, now_s: float) -> None:
        for suspects in self._suspects:
            suspects.confirm(now_s - 2.0)
        resumed, self._waiting = self._waiting, []
        for front, request in resumed:
            self._start(front, request, now_s)


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize(("fronts", "engines", "rate_per_s"), [(8, 16, 36.0), (31, 72, 134.0)])
def test_replay_of_a_fatal_prompt_part(
    fronts: int, engines: int, rate_per_s: float, seed: int
) -> None:
    """Guards against an outage of the group for each request with a fatal part."""
    replay = Replay(fronts, engines, rate_per_s, seed)
    replay.run()
    # The fatal part must be known after one or two crashes.
    assert 1 <= len(replay.crash_times_s) <= 2
    # Sound requests begin at least half as often as usual, also those with the same first part.
    assert replay.refused <= 0.05 * replay.sound
