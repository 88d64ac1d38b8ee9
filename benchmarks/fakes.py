"""Fake engines and agents that run on a virtual clock.

They model what routing and admission react to: continuous batching, a prefix cache, cold starts and
stale load reports. Networks, processes and the platform are not modelled.
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
"""Time of a step without requests."""
STEP_PER_REQUEST_S = 0.000_25
STEP_PER_PROMPT_TOKEN_S = 0.000_03
PROMPT_TOKENS_PER_STEP = 256
"""Prompt tokens that one step computes at most (chunked prefill)."""
BATCH_LIMIT = 24
"""Requests that an engine runs at once."""
PREFIX_CACHE_LIMIT = 12
"""Prefixes in the cache of an engine; the least recently used one is evicted."""
SHARED_PREFIX_COUNT = 40
"""Number of distinct prompt prefixes that calls share."""
SHARED_PREFIX_TOKENS = 1_024
COLD_START_S = 8.0
"""Time after a cold start during which steps are slower."""
COLD_START_STEP_FACTOR = 3.0
"""Factor by which steps take longer after a cold start."""
REPORT_INTERVAL_S = 0.5


class Clock:
    """Virtual clock with a heap of scheduled callbacks."""

    def __init__(self) -> None:
        """Create a clock at 0 s without callbacks."""
        self.now_s = 0.0
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def call_at(self, time_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback for a virtual time, or for now if that time has passed."""
        heapq.heappush(self._events, (max(time_s, self.now_s), next(self._sequence), callback))

    def call_after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self.call_at(self.now_s + delay_s, callback)

    def run(self, until_s: float) -> None:
        """Run the callbacks due up to a virtual time and advance the clock to it."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, callback = heapq.heappop(self._events)
            callback()
        self.now_s = until_s


@dataclasses.dataclass(slots=True)
class Call:
    """A request of a caller with its measured times."""

    number: int
    """Position in the order of arrival."""
    arrived_s: float
    class_of_work: declarations.ClassOfWork
    organisation: ids.OrganisationId
    prefix: int
    """Number of the shared prompt prefix."""
    prompt_tokens: int
    """Length of the prompt, shared prefix included."""
    answer_tokens: int
    first_token_at_s: float = math.inf
    """Virtual time of the first token; infinite before it."""
    mean_gap_s: float = math.inf
    """Mean time between tokens; infinite before the answer is complete."""
    refused: bool = False
    """Whether admission refused, displaced or expired the call, or no server could take it."""
    retry_after_s: float = 0.0
    """Retry-after time given to the caller of a refused call."""
    cut: bool = False
    """Whether the last attempt failed or was declined and no retry was allowed."""

    @property
    def has_outcome(self) -> bool:
        """Whether the call was answered, refused or cut."""
        return self.refused or self.cut or self.mean_gap_s < math.inf

    @property
    def in_target(self) -> bool:
        """Whether the first-token and token-gap targets of the class of work were met."""
        return (
            self.first_token_at_s - self.arrived_s <= self.class_of_work.first_token_s
            and self.mean_gap_s <= self.class_of_work.token_gap_ms / 1_000
        )


@dataclasses.dataclass(slots=True)
class EngineAttempt:
    """An attempt of a call at one engine."""

    call: Call
    entry: int
    """Number of the entry that sent the attempt."""
    on_first_token: Callable[[], None]
    """Called at the first token."""
    on_end: Callable[[float | None], None]
    """Called at the end with the mean token gap, or None if the engine failed."""
    prompt_tokens_left: int = 0
    """Prompt tokens that are not yet computed."""
    first_token_at_s: float = 0.0
    """Virtual time of the first token."""


class Engine:
    """Engine with continuous batching.

    Each step decodes one token of all running requests and computes one chunk of prompt tokens.
    """

    def __init__(self, clock: Clock, step_factor: float = 1.0) -> None:
        """Create an idle engine whose steps take `step_factor` times the usual time."""
        self._clock = clock
        self.step_factor = step_factor
        self.cold_until_s = -1.0
        self.failed = False
        self.step_time_s = STEP_BASE_S * step_factor
        self.waiting: collections.deque[EngineAttempt] = collections.deque()
        # Heap of the last step of an attempt, the number of its call, and the attempt.
        self.running: list[tuple[int, int, EngineAttempt]] = []
        self._prefix_cache: collections.OrderedDict[int, None] = collections.OrderedDict()
        self._step_number = 0
        self._step_scheduled = False

    @property
    def waiting_tokens(self) -> int:
        """Prompt tokens of waiting attempts that are not yet computed."""
        return sum(attempt.prompt_tokens_left for attempt in self.waiting)

    def add(self, attempt: EngineAttempt) -> None:
        """Queue an attempt."""
        cached = attempt.call.prefix in self._prefix_cache
        self._prefix_cache[attempt.call.prefix] = None
        self._prefix_cache.move_to_end(attempt.call.prefix)
        if len(self._prefix_cache) > PREFIX_CACHE_LIMIT:
            self._prefix_cache.popitem(last=False)
        attempt.prompt_tokens_left = max(
            1, attempt.call.prompt_tokens - SHARED_PREFIX_TOKENS * cached
        )
        self.waiting.append(attempt)
        if not self._step_scheduled:
            self._step()

    def restart(self) -> None:
        """Begin a cold start: clear the prefix cache and slow the steps for `COLD_START_S`."""
        self._prefix_cache.clear()
        self.cold_until_s = self._clock.now_s + COLD_START_S

    def fail(self) -> None:
        """Fail permanently and end all attempts without an answer."""
        self.failed = True
        cut = [*self.waiting, *(attempt for _, _, attempt in self.running)]
        self.waiting.clear()
        self.running.clear()
        for attempt in cut:
            attempt.on_end(None)

    def _step(self) -> None:
        self._step_scheduled = True
        prompt_tokens = 0
        started: list[EngineAttempt] = []
        while self.waiting and len(self.running) + len(started) < BATCH_LIMIT:
            attempt = self.waiting[0]
            tokens = min(attempt.prompt_tokens_left, PROMPT_TOKENS_PER_STEP - prompt_tokens)
            attempt.prompt_tokens_left -= tokens
            prompt_tokens += tokens
            if attempt.prompt_tokens_left:
                break
            started.append(self.waiting.popleft())
        cold = COLD_START_STEP_FACTOR if self._clock.now_s < self.cold_until_s else 1.0
        self.step_time_s = (self.step_factor * cold) * (
            STEP_BASE_S
            + STEP_PER_REQUEST_S * (len(self.running) + len(started))
            + STEP_PER_PROMPT_TOKEN_S * prompt_tokens
        )
        self._clock.call_after(self.step_time_s, lambda: self._end_step(started))

    def _end_step(self, started: list[EngineAttempt]) -> None:
        if self.failed:
            for attempt in started:
                attempt.on_end(None)
            return
        self._step_number += 1
        for attempt in started:
            attempt.first_token_at_s = self._clock.now_s
            last_step = self._step_number + attempt.call.answer_tokens - 1
            heapq.heappush(self.running, (last_step, attempt.call.number, attempt))
            attempt.on_first_token()
        while self.running and self.running[0][0] <= self._step_number:
            _, _, attempt = heapq.heappop(self.running)
            elapsed_s = self._clock.now_s - attempt.first_token_at_s
            attempt.on_end(elapsed_s / max(1, attempt.call.answer_tokens - 1))
        self._step_scheduled = bool(self.waiting or self.running)
        if self._step_scheduled:
            self._step()


class Agent:
    """Agent with a concurrency limit that ramps up after a cold start, and stale load reports."""

    def __init__(self, clock: Clock, engine: Engine, entries: int, report_lag_s: float) -> None:
        """Create an agent of a warm engine.

        Args:
            clock: Virtual clock.
            engine: Engine that runs the attempts.
            entries: Number of entries that send attempts.
            report_lag_s: Age of the engine figures in load reports.
        """
        self._clock = clock
        self._report_lag_s = report_lag_s
        self.engine = engine
        self.out_of_service = False
        self.incarnation = 1
        self.attempts = 0
        self.declined = 0
        self.last_attempt_s = -1.0
        self._ramp_started_s = -math.inf
        self._outstanding = [0] * entries
        # Time, running attempts, waiting prompt tokens and step time of each report.
        self._load_history: collections.deque[tuple[float, int, int, float]] = collections.deque()

    @property
    def limit(self) -> int:
        """Attempts accepted at once: 1 after a cold start, growing 2 ** 0.6-fold each second."""
        elapsed_s = self._clock.now_s - self._ramp_started_s
        # After 10 s the formula gives more than BATCH_LIMIT. Before the first restart the elapsed
        # time is infinite, for which `int` would fail.
        return (
            BATCH_LIMIT if elapsed_s > 10.0 else min(BATCH_LIMIT, int(math.exp2(elapsed_s * 0.6)))
        )

    def start(self, attempt: EngineAttempt) -> bool:
        """Start an attempt on the engine.

        Returns:
            False if the attempt is declined: out of service, failed engine, or limit reached.
        """
        if self.out_of_service or self.engine.failed or sum(self._outstanding) >= self.limit:
            self.declined += 1
            return False
        self.attempts += 1
        self.last_attempt_s = self._clock.now_s
        self._outstanding[attempt.entry] += 1
        original_on_end = attempt.on_end

        def on_end(mean_gap_s: float | None) -> None:
            self._outstanding[attempt.entry] -= 1
            original_on_end(mean_gap_s)

        attempt.on_end = on_end
        self.engine.add(attempt)
        return True

    def restart(self) -> None:
        """Begin a cold start: new incarnation, empty prefix cache, slow steps and a limit of 1."""
        self.incarnation += 1
        self._ramp_started_s = self._clock.now_s
        self.engine.restart()

    def report(self) -> list[scoring.LoadReport]:
        """Return one load report per entry, with current grants and engine figures that lag."""
        running = sum(self._outstanding)
        self._load_history.append(
            (self._clock.now_s, running, self.engine.waiting_tokens, self.engine.step_time_s)
        )
        while (
            len(self._load_history) > 1
            and self._load_history[1][0] <= self._clock.now_s - self._report_lag_s
        ):
            self._load_history.popleft()
        _, reported_running, waiting_tokens, step_time_s = self._load_history[0]
        grants = self._grants(max(0, self.limit - running))
        return [
            scoring.LoadReport(
                limit=self.limit,
                running=reported_running,
                waiting_tokens=waiting_tokens,
                grant=grant,
                step_time_s=step_time_s,
                out=self.out_of_service,
                engine_incarnation=self.incarnation,
            )
            for grant in grants
        ]

    def _grants(self, free_places: int) -> list[int]:
        entries = len(self._outstanding)
        rotation = int(self._clock.now_s / REPORT_INTERVAL_S)
        return [
            outstanding + (free_places + (number + rotation) % entries) // entries
            for number, outstanding in enumerate(self._outstanding)
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMix:
    """Classes of work and organisations of the generated calls."""

    share_by_class: dict[declarations.ClassOfWork, float]
    """Share of the calls by class."""
    weight_by_organisation: dict[ids.OrganisationId, float]
    """Relative number of calls by organisation."""


def poisson_arrivals(
    mix: RequestMix,
    rate_at: Callable[[float], float],
    peak_rate: float,
    until_s: float,
    rng: random.Random,
) -> Iterator[Call]:
    """Generate Poisson arrivals with a rate that changes over time, by thinning.

    Args:
        mix: Classes and organisations of the calls.
        rate_at: Arrivals per second as a function of virtual time.
        peak_rate: Upper bound of `rate_at`.
        until_s: Virtual time of the end.
        rng: Source of randomness.

    Yields:
        Calls in order of arrival.
    """
    classes, class_weights = zip(*mix.share_by_class.items(), strict=True)
    organisations, weights = zip(*mix.weight_by_organisation.items(), strict=True)
    prefix_weights = [1 / (1 + number) for number in range(SHARED_PREFIX_COUNT)]
    now_s = 0.0
    for number in itertools.count():
        now_s += rng.expovariate(peak_rate)
        if now_s >= until_s:
            return
        if rng.random() * peak_rate > rate_at(now_s):
            continue
        yield Call(
            number=number,
            arrived_s=now_s,
            class_of_work=rng.choices(classes, class_weights)[0],
            organisation=rng.choices(organisations, weights)[0],
            prefix=rng.choices(range(SHARED_PREFIX_COUNT), prefix_weights)[0],
            prompt_tokens=SHARED_PREFIX_TOKENS + int(min(4_000.0, rng.lognormvariate(5.5, 0.7))),
            answer_tokens=2 + int(min(600.0, rng.lognormvariate(4.6, 0.5))),
        )
