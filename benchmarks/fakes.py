"""Small fakes of engines and agents on a virtual clock.

They show what the decisions react to: continuous batching, a prefix cache, cold starts and load
reports that lag. Networks, processes and the platform are not part of them.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterator

from gentianpaddle_core import declarations, ids, scoring

STEP_BASE_S = 0.010
STEP_PER_REQUEST_S = 0.000_25
STEP_PER_PROMPT_TOKEN_S = 0.000_03
PROMPT_TOKENS_PER_STEP = 256
BATCH_LIMIT = 24
CACHED_PREFIXES_LIMIT = 12
SHARED_PREFIXES = 40
SHARED_PREFIX_TOKENS = 1_024
COLD_S = 8.0
COLD_FACTOR = 3.0
REPORT_INTERVAL_S = 0.5


class Clock:
    """Virtual clock with a heap of events."""

    def __init__(self) -> None:
        """Start at 0."""
        self.now_s = 0.0
        self._number = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Call an action at a time."""
        heapq.heappush(self._events, (max(time_s, self.now_s), next(self._number), action))

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call an action after a delay."""
        self.at(self.now_s + delay_s, action)

    def run(self, until_s: float) -> None:
        """Handle all events up to a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = until_s


@dataclasses.dataclass(slots=True)
class Call:
    """A request of a caller with its measured times."""

    number: int
    arrived_s: float
    class_of_work: declarations.ClassOfWork
    organisation: ids.OrganisationId
    prefix: int
    prompt_tokens: int
    answer_tokens: int
    first_s: float = math.inf
    gap_s: float = math.inf
    refused: bool = False
    retry_after_s: float = 0.0
    cut: bool = False

    @property
    def settled(self) -> bool:
        """Whether its outcome is known."""
        return self.refused or self.cut or self.gap_s < math.inf

    @property
    def in_target(self) -> bool:
        """Whether both targets of its class were met."""
        return (
            self.first_s - self.arrived_s <= self.class_of_work.first_token_s
            and self.gap_s <= self.class_of_work.token_gap_ms / 1_000
        )


@dataclasses.dataclass(slots=True)
class Job:
    """An attempt at an engine."""

    call: Call
    entry: int
    on_first: Callable[[], None]
    on_end: Callable[[float | None], None]
    """Takes the mean gap, None when the attempt was cut."""
    tokens_left: int = 0
    first_s: float = 0.0


class Engine:
    """Continuous batching: each step decodes all running requests and one chunk of prompts."""

    def __init__(self, clock: Clock, factor: float = 1.0) -> None:
        """Create an idle engine whose steps take `factor` times the usual time."""
        self._clock = clock
        self.factor = factor
        self.cold_until_s = -1.0
        self.dead = False
        self.step_time_s = STEP_BASE_S * factor
        self.waiting: collections.deque[Job] = collections.deque()
        self.running: list[tuple[int, int, Job]] = []
        self._cache: collections.OrderedDict[int, None] = collections.OrderedDict()
        self._number = 0
        self._stepping = False

    @property
    def waiting_tokens(self) -> int:
        """Prompt tokens not yet computed."""
        return sum(job.tokens_left for job in self.waiting)

    def add(self, job: Job) -> None:
        """Queue an attempt."""
        cached = job.call.prefix in self._cache
        self._cache[job.call.prefix] = None
        self._cache.move_to_end(job.call.prefix)
        if len(self._cache) > CACHED_PREFIXES_LIMIT:
            self._cache.popitem(last=False)
        job.tokens_left = max(1, job.call.prompt_tokens - SHARED_PREFIX_TOKENS * cached)
        self.waiting.append(job)
        if not self._stepping:
            self._step()

    def restart(self) -> None:
        """Become cold with an empty cache."""
        self._cache.clear()
        self.cold_until_s = self._clock.now_s + COLD_S

    def die(self) -> None:
        """Cut everything."""
        self.dead = True
        cut = [*self.waiting, *(job for _, _, job in self.running)]
        self.waiting.clear()
        self.running.clear()
        for job in cut:
            job.on_end(None)

    def _step(self) -> None:
        self._stepping = True
        prompt_tokens = 0
        started: list[Job] = []
        while self.waiting and len(self.running) + len(started) < BATCH_LIMIT:
            job = self.waiting[0]
            tokens = min(job.tokens_left, PROMPT_TOKENS_PER_STEP - prompt_tokens)
            job.tokens_left -= tokens
            prompt_tokens += tokens
            if job.tokens_left:
                break
            started.append(self.waiting.popleft())
        cold = COLD_FACTOR if self._clock.now_s < self.cold_until_s else 1.0
        self.step_time_s = (self.factor * cold) * (
            STEP_BASE_S
            + STEP_PER_REQUEST_S * (len(self.running) + len(started))
            + STEP_PER_PROMPT_TOKEN_S * prompt_tokens
        )
        self._clock.after(self.step_time_s, lambda: self._end_step(started))

    def _end_step(self, started: list[Job]) -> None:
        if self.dead:
            for job in started:
                job.on_end(None)
            return
        self._number += 1
        for job in started:
            job.first_s = self._clock.now_s
            end = self._number + job.call.answer_tokens - 1
            heapq.heappush(self.running, (end, job.call.number, job))
            job.on_first()
        while self.running and self.running[0][0] <= self._number:
            _, _, job = heapq.heappop(self.running)
            passed_s = self._clock.now_s - job.first_s
            job.on_end(passed_s / max(1, job.call.answer_tokens - 1))
        self._stepping = bool(self.waiting or self.running)
        if self._stepping:
            self._step()


class Agent:
    """Takes attempts up to a limit that ramps up, and reports load with a lag."""

    def __init__(self, clock: Clock, engine: Engine, entries: int, lag_s: float) -> None:
        """Create an agent that starts warm."""
        self._clock = clock
        self._lag_s = lag_s
        self.engine = engine
        self.out = False
        self.incarnation = 1
        self.attempts = 0
        self.declined = 0
        self.last_work_s = -1.0
        self._ramp_from_s = -math.inf
        self._outstanding = [0] * entries
        self._past: collections.deque[tuple[float, int, int, float]] = collections.deque()

    @property
    def limit(self) -> int:
        """Attempts taken at once: 1 after a cold start, doubled each second."""
        passed_s = self._clock.now_s - self._ramp_from_s
        return BATCH_LIMIT if passed_s > 10.0 else min(BATCH_LIMIT, int(math.exp2(passed_s * 0.6)))

    def start(self, job: Job) -> bool:
        """Take an attempt, or decline it."""
        if self.out or self.engine.dead or sum(self._outstanding) >= self.limit:
            self.declined += 1
            return False
        self.attempts += 1
        self.last_work_s = self._clock.now_s
        self._outstanding[job.entry] += 1
        inner = job.on_end

        def on_end(gap_s: float | None) -> None:
            self._outstanding[job.entry] -= 1
            inner(gap_s)

        job.on_end = on_end
        self.engine.add(job)
        return True

    def restart(self) -> None:
        """Become cold: empty cache, slow steps and a limit of 1."""
        self.incarnation += 1
        self._ramp_from_s = self._clock.now_s
        self.engine.restart()

    def report(self) -> list[scoring.Load]:
        """One report per entry: grants are current, the engine's figures lag."""
        running = sum(self._outstanding)
        self._past.append(
            (self._clock.now_s, running, self.engine.waiting_tokens, self.engine.step_time_s)
        )
        while len(self._past) > 1 and self._past[1][0] <= self._clock.now_s - self._lag_s:
            self._past.popleft()
        _, running_then, waiting_tokens, step_time_s = self._past[0]
        grants = self._grants(max(0, self.limit - running))
        return [
            scoring.Load(
                limit=self.limit,
                running=running_then,
                waiting_tokens=waiting_tokens,
                grant=grant,
                step_time_s=step_time_s,
                out=self.out,
                engine_incarnation=self.incarnation,
            )
            for grant in grants
        ]

    def _grants(self, free: int) -> list[int]:
        entries = len(self._outstanding)
        first = int(self._clock.now_s / REPORT_INTERVAL_S)
        return [
            outstanding + (free + (number + first) % entries) // entries
            for number, outstanding in enumerate(self._outstanding)
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class Mix:
    """What callers send."""

    share_by_class: dict[declarations.ClassOfWork, float]
    """Share of each class."""
    weight_by_organisation: dict[ids.OrganisationId, float]
    """Share of each organisation."""


def arrivals(
    mix: Mix, rate: Callable[[float], float], peak: float, until_s: float, rng: random.Random
) -> Iterator[Call]:
    """Poisson arrivals with a rate that changes over time, by thinning.

    Args:
        mix: Classes and organisations.
        rate: Arrivals per second at a time.
        peak: Largest value of the rate.
        until_s: End.
        rng: Source of randomness.

    Yields:
        Calls in order of arrival.
    """
    classes, class_weights = zip(*mix.share_by_class.items(), strict=True)
    organisations, weights = zip(*mix.weight_by_organisation.items(), strict=True)
    prefix_weights = [1 / (1 + number) for number in range(SHARED_PREFIXES)]
    now_s = 0.0
    for number in itertools.count():
        now_s += rng.expovariate(peak)
        if now_s >= until_s:
            return
        if rng.random() * peak > rate(now_s):
            continue
        yield Call(
            number=number,
            arrived_s=now_s,
            class_of_work=rng.choices(classes, class_weights)[0],
            organisation=rng.choices(organisations, weights)[0],
            prefix=rng.choices(range(SHARED_PREFIXES), prefix_weights)[0],
            prompt_tokens=SHARED_PREFIX_TOKENS + int(min(4_000.0, rng.lognormvariate(5.5, 0.7))),
            answer_tokens=2 + int(min(600.0, rng.lognormvariate(4.6, 0.5))),
        )
