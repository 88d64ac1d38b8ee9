"""Expected time to first token and between tokens of a request at one backend server.

Load reports lag and arrive twice a second. What this entry itself sent or saw finish since then is
known exactly and is counted on top of the report.
"""

from __future__ import annotations

import collections
import dataclasses
import math

from gentianpaddle_core import ids

REPORT_LAG_S = 0.05
"""Assumed age of a report on arrival. Own events in this span are taken as not yet reported."""
RECENT_EVENTS_LIMIT = 4_096
"""Own events kept for matching with a report."""
OTHERS_WEIGHT = 0.1
"""Weight of a new report in what others have there. All entries see the same report, and without
smoothing all of them would send to the server that was emptiest half a second ago."""
BARRED_S = (0.5, 8.0)
"""Shortest and longest time without new work after a server failed; doubles with each failure. A
failing server ends its requests fast and looks idle, so it would attract all retries."""
GRANT_LIFETIME_S = 2.0
"""A grant ends this long after the load report that carried it."""
RATIO_LIMITS = (0.25, 8.0)
"""Bounds of a learned ratio, so that one wild observation cannot ban a server."""
RATIO_WEIGHT = 0.2
"""Weight of a new observation in a learned ratio."""
RATIO_HALF_LIFE_S = 30.0
"""Without observations a learned ratio returns to 1, so that an avoided server is tried again."""
LINE_DECAY = 0.998
"""Factor on old observations per new one; keeps about the last 500."""


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load report of an agent."""

    limit: int
    """Requests that the backend server may run at once; low while it ramps up."""
    running: int
    """Requests running or waiting there, of all entries."""
    waiting_tokens: int
    """Prompt tokens that wait for their first step."""
    grant: int
    """Requests that this entry may have outstanding there."""
    step_time_s: float
    """Recent time of a step of the slowest rank, 0 when unknown."""
    leaving: bool = False
    """The backend server takes no new work because it stops."""
    out: bool = False
    """Operators took the backend server or its data centre out of service."""
    engine_incarnation: int = 0
    """Changes when the engine restarted and lost its cache."""


class Line:
    """Straight line through recent observations, with prior observations as a start."""

    __slots__ = ("_count", "_sum_x", "_sum_xx", "_sum_xy", "_sum_y", "intercept", "slope")

    def __init__(self, intercept: float, slope: float, typical_x: float) -> None:
        """Create a line; use `new_model_lines`."""
        self.intercept = intercept
        self.slope = slope
        self._count = self._sum_x = self._sum_xx = self._sum_y = self._sum_xy = 0.0
        for x in (0.0, typical_x, 2 * typical_x):
            self.observe(x, intercept + slope * x)

    def at(self, x: float) -> float:
        """Value of the line."""
        return self.intercept + self.slope * x

    def observe(self, x: float, y: float) -> None:
        """Take an observation into account; intercept and slope stay non-negative."""
        self._count = self._count * LINE_DECAY + 1.0
        self._sum_x = self._sum_x * LINE_DECAY + x
        self._sum_y = self._sum_y * LINE_DECAY + y
        self._sum_xx = self._sum_xx * LINE_DECAY + x * x
        self._sum_xy = self._sum_xy * LINE_DECAY + x * y
        spread = self._count * self._sum_xx - self._sum_x * self._sum_x
        if spread <= 1e-9:
            return
        slope = (self._count * self._sum_xy - self._sum_x * self._sum_y) / spread
        intercept = (self._sum_y - slope * self._sum_x) / self._count
        if slope < 0.0:
            slope, intercept = 0.0, self._sum_y / self._count
        elif intercept < 0.0:
            slope, intercept = self._sum_xy / self._sum_xx, 0.0
        self.slope, self.intercept = slope, intercept


@dataclasses.dataclass(frozen=True, slots=True)
class ModelLines:
    """What all backend servers of one model have in common."""

    first_token: Line
    """Seconds to first token by prompt tokens ahead."""
    gap: Line
    """Seconds of a step by running requests."""


def new_model_lines() -> ModelLines:
    """Create lines with start values of a middling accelerator: 8,000 prompt tokens a second."""
    return ModelLines(
        first_token=Line(intercept=0.02, slope=1 / 8_000, typical_x=1_000.0),
        gap=Line(intercept=0.012, slope=0.0003, typical_x=16.0),
    )


class _Ratio:
    """Smoothed ratio of observed to expected, which returns to 1 without observations."""

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
class _Sent:
    sent_s: float
    tokens_ahead: float
    own_tokens: float
    running: float
    waiting: bool = True


class ServerScore:
    """Prediction for one backend server and what it is learned from."""

    __slots__ = (
        "_barred_until_s",
        "_events",
        "_failed_s",
        "_failures",
        "_first_factor",
        "_first_ratio",
        "_gap_factor",
        "_gap_ratio",
        "_lines",
        "_other_running",
        "_other_running_then",
        "_other_tokens",
        "_own_tokens",
        "_round_trip_s",
        "_sent_by_attempt",
        "_service_s",
        "load",
        "reported_s",
        "room",
    )

    def __init__(self, lines: ModelLines, one_way_s: float) -> None:
        """Create a score; use `new_server_score`."""
        self._lines = lines
        self._round_trip_s = 2 * one_way_s
        self._first_ratio = _Ratio()
        self._gap_ratio = _Ratio()
        self._first_factor = self._gap_factor = 1.0
        self._sent_by_attempt: dict[tuple[ids.RequestKey, int], _Sent] = {}
        self._own_tokens = 0.0
        self._other_running = 0.0
        self._other_running_then = 0.0
        self._other_tokens = 0.0
        self._service_s = 1.0
        self._events: collections.deque[tuple[float, int, float]] = collections.deque(
            maxlen=RECENT_EVENTS_LIMIT
        )
        self.load = Load(0, 0, 0, 0, 0.0)
        self.reported_s = -1.0
        self._failures = 0
        self._failed_s = self._barred_until_s = -math.inf
        self.room = 0
        """Further requests that the grant allows now."""

    @property
    def outstanding(self) -> int:
        """Own requests sent and not finished."""
        return len(self._sent_by_attempt)

    def report(self, load: Load, now_s: float) -> bool:
        """Take a load report.

        Args:
            load: The report.
            now_s: Time of arrival.

        Returns:
            True when the engine restarted and lost its cache.
        """
        lost = self.reported_s >= 0 and load.engine_incarnation != self.load.engine_incarnation
        if lost:
            self._first_ratio, self._gap_ratio = _Ratio(), _Ratio()
        taken_s = now_s - REPORT_LAG_S
        while self._events and self._events[0][0] <= taken_s:
            self._events.popleft()
        later_running = sum(event[1] for event in self._events)
        later_tokens = sum(event[2] for event in self._events)
        weight = OTHERS_WEIGHT if self.reported_s >= 0 else 1.0
        running = load.running - (self.outstanding - later_running)
        self._other_running_then = float(running)
        self._other_running += weight * (running - self._other_running)
        tokens = load.waiting_tokens - (self._own_tokens - later_tokens)
        self._other_tokens += weight * (tokens - self._other_tokens)
        self.load = load
        self.reported_s = now_s
        self.room = load.grant - self.outstanding
        if load.step_time_s > 0.0:
            expected_s = self._lines.gap.at(load.running)
            self._gap_ratio.observe(load.step_time_s, expected_s, now_s)
            self._lines.gap.observe(load.running, load.step_time_s)
        # Decisions use the ratios of the last report or answer, which saves their decay there.
        self._first_factor = self._first_ratio.at(now_s)
        self._gap_factor = self._gap_ratio.at(now_s)
        return lost

    def first_token_s(self, uncached_tokens: float) -> float:
        """Expected time to first token of a request that would be sent now.

        Args:
            uncached_tokens: Prompt tokens expected not to be in the cache of this server.

        Returns:
            Seconds, the way there and back included.
        """
        ahead = max(0.0, self._other_tokens) + self._own_tokens + uncached_tokens
        line = self._lines.first_token
        local_s = (line.intercept + line.slope * ahead) * self._first_factor
        excess = max(0.0, self._other_running) + len(self._sent_by_attempt) + 1 - self.load.limit
        if excess > 0:
            local_s += excess * self._service_s / max(1, self.load.limit)
        return self._round_trip_s + local_s

    def gap_s(self, *, cautious: bool = False) -> float:
        """Expected seconds between tokens of a request that would be sent now.

        Args:
            cautious: Count the larger of the smoothed and the last reported load of others. Good
                for a check against a target; for a comparison of servers it follows the last
                report too closely.

        Returns:
            Seconds.
        """
        others = max(0.0, self._other_running, self._other_running_then if cautious else 0.0)
        running = others + len(self._sent_by_attempt) + 1
        line = self._lines.gap
        return (line.intercept + line.slope * running) * self._gap_factor

    def work_s(self, uncached_tokens: float) -> float:
        """Seconds for which the prompt of a request occupies the server."""
        return self._lines.first_token.slope * uncached_tokens

    def sent(self, attempt: tuple[ids.RequestKey, int], own_tokens: float, now_s: float) -> None:
        """Count a request that was sent to this server.

        Args:
            attempt: Request key and attempt number.
            own_tokens: Prompt tokens that are expected not to be cached.
            now_s: Monotonic time.
        """
        ahead = max(0.0, self._other_tokens) + self._own_tokens + own_tokens
        running = max(0.0, self._other_running) + self.outstanding + 1
        self._sent_by_attempt[attempt] = _Sent(now_s, ahead, own_tokens, running)
        self.room -= 1
        self._own_tokens += own_tokens
        self._events.append((now_s, 1, own_tokens))

    def first_token(self, attempt: tuple[ids.RequestKey, int], now_s: float) -> None:
        """Learn from the first token of an attempt."""
        sent = self._sent_by_attempt.get(attempt)
        if sent is None or not sent.waiting:
            return
        self._stop_waiting(sent, now_s)
        self._failures = 0
        local_s = max(0.0, now_s - sent.sent_s - self._round_trip_s)
        line = self._lines.first_token
        self._first_ratio.observe(local_s, line.at(sent.tokens_ahead), now_s)
        self._first_factor = self._first_ratio.at(now_s)
        line.observe(sent.tokens_ahead, local_s)

    def finished(
        self, attempt: tuple[ids.RequestKey, int], gap_s: float | None, now_s: float
    ) -> None:
        """Count an attempt as over, whatever its end.

        Args:
            attempt: Request key and attempt number.
            gap_s: Mean time between its tokens, None when there is none to learn from.
            now_s: Monotonic time.
        """
        sent = self._sent_by_attempt.pop(attempt, None)
        if sent is None:
            return
        self.room += 1
        if sent.waiting:
            self._stop_waiting(sent, now_s)
        self._events.append((now_s, -1, 0.0))
        if gap_s is not None:
            self._service_s += 0.05 * (now_s - sent.sent_s - self._service_s)
            self._gap_ratio.observe(gap_s, self._lines.gap.at(sent.running), now_s)
            self._gap_factor = self._gap_ratio.at(now_s)

    def declined(self, attempt: tuple[ids.RequestKey, int], now_s: float) -> None:
        """Count an attempt as over that the agent declined; its grant is used up for now."""
        self.finished(attempt, None, now_s)
        self.room = min(self.room, 0)

    def failed(self, attempt: tuple[ids.RequestKey, int], now_s: float) -> None:
        """Count an attempt as over because the server or the link to it failed."""
        self.finished(attempt, None, now_s)
        self._failed_s = now_s
        if now_s >= self._barred_until_s:
            shortest_s, longest_s = BARRED_S
            self._barred_until_s = now_s + min(longest_s, shortest_s * 2**self._failures)
            self._failures = min(self._failures + 1, 8)

    def usable(self, now_s: float) -> bool:
        """Whether the grant is fresh and a report has come since the last failure."""
        fresh = now_s - self.reported_s <= GRANT_LIFETIME_S
        return fresh and self._barred_until_s <= now_s and self.reported_s > self._failed_s

    def _stop_waiting(self, sent: _Sent, now_s: float) -> None:
        sent.waiting = False
        self._own_tokens = max(0.0, self._own_tokens - sent.own_tokens)
        self._events.append((now_s, 0, -sent.own_tokens))


def new_server_score(lines: ModelLines, one_way_s: float) -> ServerScore:
    """Create a score without any report, so without a grant.

    Args:
        lines: Lines of the model that the server runs.
        one_way_s: Delay from this entry to the server.
    """
    return ServerScore(lines, one_way_s)
