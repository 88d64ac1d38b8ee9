"""Predicted time to first token and time between tokens of a request at one backend server.

Load reports arrive twice a second and are already out of date on arrival. Requests that this entry
itself has sent or seen finish since the last report are known exactly and are added to it.
"""

from __future__ import annotations

import collections
import dataclasses
import math

from gentianpaddle_core import ids

REPORT_LAG_S = 0.05
"""Assumed age of a load report on arrival, in seconds. Requests of this entry that were sent or
ended within that time count as not yet contained in the report."""
LOAD_CHANGES_LIMIT = 4_096
"""Largest number of load changes by this entry that are kept to correct the next load report."""
OTHER_LOAD_WEIGHT = 0.1
"""Weight of a new report in the smoothed load from other entries. All entries receive the same
report; without smoothing all of them would send to the server that was least loaded half a second
ago."""
FAILURE_BACKOFF_S = (0.5, 8.0)
"""Shortest and longest time, in seconds, without new work after a server failed; it doubles with
each further back-off until a first token arrives. A failing server ends its requests quickly and
appears idle, so it would otherwise attract all retries."""
GRANT_LIFETIME_S = 2.0
"""Time, in seconds, after which a grant expires without a further load report."""
RATIO_LIMITS = (0.25, 8.0)
"""Bounds of a learned ratio, so that one outlier cannot exclude a server."""
RATIO_WEIGHT = 0.2
"""Weight of a new observation in a learned ratio."""
RATIO_HALF_LIFE_S = 30.0
"""Half-life, in seconds, with which a learned ratio returns to 1 without observations, so that an
avoided server is tried again."""
FIT_DECAY = 0.998
"""Factor by which each new observation reduces the weight of the earlier ones; about the last 500
remain effective."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load report of an agent."""

    limit: int
    """Largest number of concurrent requests of the backend server; low while it ramps up."""
    running: int
    """Number of requests of all entries that run or wait at the backend server."""
    waiting_tokens: int
    """Number of prompt tokens that wait for their first step."""
    grant: int
    """Largest number of requests that this entry may have outstanding at the backend server."""
    step_time_s: float
    """Recent step time of the slowest rank in seconds, 0 when unknown."""
    leaving: bool = False
    """Whether the backend server takes no new work because it is about to stop."""
    out: bool = False
    """Whether operators took the backend server or its data centre out of service."""
    engine_incarnation: int = 0
    """Number that changes when the engine restarts and loses its cache."""


class LinearFit:
    """Linear least-squares fit over recent observations, initialised with synthetic ones."""

    __slots__ = ("_count", "_sum_x", "_sum_xx", "_sum_xy", "_sum_y", "intercept", "slope")

    def __init__(self, intercept: float, slope: float, typical_x: float) -> None:
        """Create a fit; use `new_model_fits`."""
        self.intercept = intercept
        self.slope = slope
        self._count = self._sum_x = self._sum_xx = self._sum_y = self._sum_xy = 0.0
        for x in (0.0, typical_x, 2 * typical_x):
            self.observe(x, intercept + slope * x)

    def at(self, x: float) -> float:
        """Return the fitted value at `x`."""
        return self.intercept + self.slope * x

    def observe(self, x: float, y: float) -> None:
        """Update the fit with an observation; intercept and slope stay non-negative."""
        self._count = self._count * FIT_DECAY + 1.0
        self._sum_x = self._sum_x * FIT_DECAY + x
        self._sum_y = self._sum_y * FIT_DECAY + y
        self._sum_xx = self._sum_xx * FIT_DECAY + x * x
        self._sum_xy = self._sum_xy * FIT_DECAY + x * y
        determinant = self._count * self._sum_xx - self._sum_x * self._sum_x
        if determinant <= 1e-9:
            return
        slope = (self._count * self._sum_xy - self._sum_x * self._sum_y) / determinant
        intercept = (self._sum_y - slope * self._sum_x) / self._count
        if slope < 0.0:
            slope, intercept = 0.0, self._sum_y / self._count
        elif intercept < 0.0:
            slope, intercept = self._sum_xy / self._sum_xx, 0.0
        self.slope, self.intercept = slope, intercept


@dataclasses.dataclass(frozen=True, slots=True)
class ModelFits:
    """Latency fits that all backend servers of one model share."""

    first_token: LinearFit
    """Seconds to first token as a function of the prompt tokens queued up to and including it."""
    gap: LinearFit
    """Step time in seconds as a function of the number of running requests."""


def new_model_fits() -> ModelFits:
    """Create fits that start from a mid-range accelerator: 8,000 prompt tokens per second."""
    return ModelFits(
        first_token=LinearFit(intercept=0.02, slope=1 / 8_000, typical_x=1_000.0),
        gap=LinearFit(intercept=0.012, slope=0.0003, typical_x=16.0),
    )


class _Ratio:
    """Smoothed ratio of observed to expected value, which decays to 1 without observations."""

    __slots__ = ("_updated_s", "_value")

    def __init__(self) -> None:
        self._value = 1.0
        self._updated_s = 0.0

    def at(self, now_s: float) -> float:
        if self._value == 1.0:
            return 1.0
        age_s = max(0.0, now_s - self._updated_s)
        return 1.0 + (self._value - 1.0) * math.exp2(-age_s / RATIO_HALF_LIFE_S)

    def observe(self, observed: float, expected: float, now_s: float) -> None:
        low, high = RATIO_LIMITS
        ratio = min(high, max(low, observed / max(expected, 1e-6)))
        value = self.at(now_s)
        self._value = value + RATIO_WEIGHT * (ratio - value)
        self._updated_s = now_s


@dataclasses.dataclass(slots=True)
class _SentAttempt:
    sent_s: float
    tokens_ahead: float
    own_tokens: float
    running: float
    awaiting_first_token: bool = True


class ServerScore:
    """Latency prediction for one backend server, with the load and corrections it is based on."""

    __slots__ = (
        "_backoff_until_s",
        "_failed_s",
        "_failures",
        "_first_token_factor",
        "_first_token_ratio",
        "_fits",
        "_gap_factor",
        "_gap_ratio",
        "_load_changes",
        "_other_running",
        "_other_running_reported",
        "_other_waiting_tokens",
        "_own_waiting_tokens",
        "_round_trip_s",
        "_sent_by_attempt",
        "_service_s",
        "load",
        "reported_s",
        "room",
    )

    def __init__(self, fits: ModelFits, one_way_s: float) -> None:
        """Create a score; use `new_server_score`."""
        self._fits = fits
        self._round_trip_s = 2 * one_way_s
        self._first_token_ratio = _Ratio()
        self._gap_ratio = _Ratio()
        self._first_token_factor = self._gap_factor = 1.0
        self._sent_by_attempt: dict[tuple[ids.RequestKey, int], _SentAttempt] = {}
        self._own_waiting_tokens = 0.0
        self._other_running = 0.0
        self._other_running_reported = 0.0
        self._other_waiting_tokens = 0.0
        # Smoothed time from sending a request to its end in seconds; 1 s until measured.
        self._service_s = 1.0
        self._load_changes: collections.deque[tuple[float, int, float]] = collections.deque(
            maxlen=LOAD_CHANGES_LIMIT
        )
        self.load = LoadReport(0, 0, 0, 0, 0.0)
        self.reported_s = -1.0
        self._failures = 0
        self._failed_s = self._backoff_until_s = -math.inf
        self.room = 0
        """Number of further requests that the grant allows now."""

    @property
    def outstanding(self) -> int:
        """Number of requests of this entry that were sent and have not finished."""
        return len(self._sent_by_attempt)

    def apply_load_report(self, load: LoadReport, now_s: float) -> bool:
        """Apply a load report.

        Args:
            load: The report.
            now_s: Monotonic time of arrival.

        Returns:
            Whether the engine has restarted since the last report and lost its cache.
        """
        restarted = self.reported_s >= 0 and load.engine_incarnation != self.load.engine_incarnation
        if restarted:
            self._first_token_ratio, self._gap_ratio = _Ratio(), _Ratio()
        measured_s = now_s - REPORT_LAG_S
        while self._load_changes and self._load_changes[0][0] <= measured_s:
            self._load_changes.popleft()
        unreported_running = sum(change[1] for change in self._load_changes)
        unreported_tokens = sum(change[2] for change in self._load_changes)
        weight = OTHER_LOAD_WEIGHT if self.reported_s >= 0 else 1.0
        running = load.running - (self.outstanding - unreported_running)
        self._other_running_reported = float(running)
        self._other_running += weight * (running - self._other_running)
        tokens = load.waiting_tokens - (self._own_waiting_tokens - unreported_tokens)
        self._other_waiting_tokens += weight * (tokens - self._other_waiting_tokens)
        self.load = load
        self.reported_s = now_s
        self.room = load.grant - self.outstanding
        if load.step_time_s > 0.0:
            expected_s = self._fits.gap.at(load.running)
            self._gap_ratio.observe(load.step_time_s, expected_s, now_s)
            self._fits.gap.observe(load.running, load.step_time_s)
        # Decisions use the ratios as of the last report or answer and need not compute the decay.
        self._first_token_factor = self._first_token_ratio.at(now_s)
        self._gap_factor = self._gap_ratio.at(now_s)
        return restarted

    def first_token_s(self, uncached_tokens: float) -> float:
        """Return the predicted time to first token of a request sent now.

        Args:
            uncached_tokens: Prompt tokens expected not to be in the cache of this server.

        Returns:
            Seconds, network round trip included.
        """
        ahead = max(0.0, self._other_waiting_tokens) + self._own_waiting_tokens + uncached_tokens
        fit = self._fits.first_token
        server_s = (fit.intercept + fit.slope * ahead) * self._first_token_factor
        excess_running = (
            max(0.0, self._other_running) + len(self._sent_by_attempt) + 1 - self.load.limit
        )
        if excess_running > 0:
            # Above the limit, a request waits until others end. On average, one of the running
            # requests ends every service time / limit.
            server_s += excess_running * self._service_s / max(1, self.load.limit)
        return self._round_trip_s + server_s

    def gap_s(self, *, pessimistic: bool = False) -> float:
        """Return the predicted time between tokens of a request sent now.

        Args:
            pessimistic: Use the larger of the smoothed and the last reported load from other
                entries. Suitable for a check against a target; for a comparison of servers it
                follows the last report too closely.

        Returns:
            Seconds.
        """
        others = max(0.0, self._other_running, self._other_running_reported if pessimistic else 0.0)
        running = others + len(self._sent_by_attempt) + 1
        fit = self._fits.gap
        return (fit.intercept + fit.slope * running) * self._gap_factor

    def prefill_s(self, uncached_tokens: float) -> float:
        """Return the time in seconds for which the prompt of a request occupies the server."""
        return self._fits.first_token.slope * uncached_tokens

    def record_sent(
        self, attempt: tuple[ids.RequestKey, int], own_tokens: float, now_s: float
    ) -> None:
        """Record a request that was sent to this server.

        Args:
            attempt: Request key and attempt number.
            own_tokens: Prompt tokens of the request that are expected not to be cached.
            now_s: Monotonic time.
        """
        ahead = max(0.0, self._other_waiting_tokens) + self._own_waiting_tokens + own_tokens
        running = max(0.0, self._other_running) + self.outstanding + 1
        self._sent_by_attempt[attempt] = _SentAttempt(now_s, ahead, own_tokens, running)
        self.room -= 1
        self._own_waiting_tokens += own_tokens
        self._load_changes.append((now_s, 1, own_tokens))

    def record_first_token(self, attempt: tuple[ids.RequestKey, int], now_s: float) -> None:
        """Update the latency estimate with the first token of an attempt."""
        sent = self._sent_by_attempt.get(attempt)
        if sent is None or not sent.awaiting_first_token:
            return
        self._remove_waiting_tokens(sent, now_s)
        self._failures = 0
        server_s = max(0.0, now_s - sent.sent_s - self._round_trip_s)
        fit = self._fits.first_token
        self._first_token_ratio.observe(server_s, fit.at(sent.tokens_ahead), now_s)
        self._first_token_factor = self._first_token_ratio.at(now_s)
        fit.observe(sent.tokens_ahead, server_s)

    def record_finished(
        self, attempt: tuple[ids.RequestKey, int], gap_s: float | None, now_s: float
    ) -> None:
        """Record the end of an attempt, whatever its outcome.

        Args:
            attempt: Request key and attempt number.
            gap_s: Mean time between its tokens, None without a usable measurement.
            now_s: Monotonic time.
        """
        sent = self._sent_by_attempt.pop(attempt, None)
        if sent is None:
            return
        self.room += 1
        if sent.awaiting_first_token:
            self._remove_waiting_tokens(sent, now_s)
        self._load_changes.append((now_s, -1, 0.0))
        if gap_s is not None:
            self._service_s += 0.05 * (now_s - sent.sent_s - self._service_s)
            self._gap_ratio.observe(gap_s, self._fits.gap.at(sent.running), now_s)
            self._gap_factor = self._gap_ratio.at(now_s)

    def record_declined(self, attempt: tuple[ids.RequestKey, int], now_s: float) -> None:
        """Record an attempt that the agent declined; the grant counts as exhausted for now."""
        self.record_finished(attempt, None, now_s)
        self.room = min(self.room, 0)

    def record_failed(self, attempt: tuple[ids.RequestKey, int], now_s: float) -> None:
        """Record an attempt that ended because the server or the link to it failed.

        This starts a back-off. Failures during a back-off do not extend it.
        """
        self.record_finished(attempt, None, now_s)
        self._failed_s = now_s
        if now_s >= self._backoff_until_s:
            shortest_s, longest_s = FAILURE_BACKOFF_S
            self._backoff_until_s = now_s + min(longest_s, shortest_s * 2**self._failures)
            # Bounds the power of two; the longest back-off is reached at a lower count.
            self._failures = min(self._failures + 1, 8)

    def usable(self, now_s: float) -> bool:
        """Return whether the grant is valid and the server is not in back-off after a failure.

        After a failure the server stays unusable until a further load report has arrived.
        """
        fresh = now_s - self.reported_s <= GRANT_LIFETIME_S
        return fresh and self._backoff_until_s <= now_s and self.reported_s > self._failed_s

    def _remove_waiting_tokens(self, sent: _SentAttempt, now_s: float) -> None:
        sent.awaiting_first_token = False
        self._own_waiting_tokens = max(0.0, self._own_waiting_tokens - sent.own_tokens)
        self._load_changes.append((now_s, 0, -sent.own_tokens))


def new_server_score(fits: ModelFits, one_way_s: float) -> ServerScore:
    """Create a score without a load report, and thus without a grant.

    Args:
        fits: Latency fits of the model that the server runs.
        one_way_s: One-way network delay from this entry to the server, in seconds.
    """
    return ServerScore(fits, one_way_s)
