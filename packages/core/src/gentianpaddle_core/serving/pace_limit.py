"""Limits the requests that run on engines at once so that answers are made fast enough.

Load pattern: other experts come into demand, or a rank is slow, while requests fill all slots of a
group of engines. Each pass takes so long that the pause between two events exceeds the target of
every stream of the group: all callers are late although none is refused.

The duration of a pass is a fixed part plus a part for each request that runs. The fixed part is
published, the pause between events is measured, and the difference divided by the number of running
requests gives the part of one request. From that follows how many requests meet the target.
"""

from __future__ import annotations

import collections
import math

from gentianpaddle_core.serving import routes

WINDOW_S = 0.8
"""Length of the window in which pauses are measured; about ten passes."""

MIN_PAUSES = 8
"""Minimum number of pauses in the window for a limit. A front sees at least one stream's pauses of
a window; fewer would make single passes with a large prompt decide."""

PAUSE_QUANTILE = 0.75
"""Quantile of the measured pauses that has to meet the target. One pause over the target makes a
stream late, but the longest pauses come from single large prompts, not from the load."""

TARGET_MARGIN = 0.85
"""Share of the target for the pause that is used, as passes vary around the quantile."""

MIN_REQUESTS = 1.0
"""Minimum mean number of requests per engine."""

MEAN_WEIGHT = 0.1
"""Weight of the newest number of running requests in its moving average, at one value per
`service_queue.DISPATCH_INTERVAL_S`; about the length of the window."""


class PaceLimit:
    """Limit on the mean number of requests that run on an engine, for one service."""

    def __init__(self) -> None:
        self._pauses: collections.deque[tuple[float, float]] = collections.deque()
        self.running: float | None = None
        """Moving average of the running requests per engine, or None before the first value."""

    def record_pause(self, pause_s: float, now_s: float) -> None:
        """Record the time between two events of a stream.

        Args:
            pause_s: The time in seconds.
            now_s: Monotonic time in seconds.
        """
        self._pauses.append((now_s, pause_s))
        self._discard_old(now_s)

    def record_running(self, requests_per_engine: float) -> None:
        """Record how many requests run.

        Args:
            requests_per_engine: Mean number of running requests over the engines of the service.
        """
        if self.running is None:
            self.running = requests_per_engine
        else:
            self.running += MEAN_WEIGHT * (requests_per_engine - self.running)

    def pause_s(self, now_s: float) -> float | None:
        """Return the pause between events that counts, or None without enough measurements.

        Args:
            now_s: Monotonic time in seconds.
        """
        self._discard_old(now_s)
        if len(self._pauses) < MIN_PAUSES:
            return None
        ordered = sorted(pause for _, pause in self._pauses)
        return ordered[int(PAUSE_QUANTILE * (len(ordered) - 1))]

    def requests_per_engine(
        self, engine: routes.EngineCapacity, target_s: float, now_s: float
    ) -> float:
        """Return the mean number of requests per engine that meets the target for the pause.

        Args:
            engine: Published capacity of the engines.
            target_s: Target for the pause between two events, in seconds.
            now_s: Monotonic time in seconds.

        Returns:
            The number, at least `MIN_REQUESTS` and at most the number of slots. It is the number
            of slots if the target is met with all of them, if nothing is measured, and if no
            number meets it, as then only the throughput counts.
        """
        pause_s = self.pause_s(now_s)
        if pause_s is None or not self.running:
            return float(engine.slots)
        fixed_s = engine.steps_per_pass * engine.step_ms / 1000.0
        allowed_s = TARGET_MARGIN * target_s - fixed_s
        per_request_s = (pause_s - fixed_s) / self.running
        if per_request_s <= 0.0:
            return float(engine.slots)
        if per_request_s * MIN_REQUESTS > target_s - fixed_s:
            return float(engine.slots)
        return min(float(engine.slots), max(MIN_REQUESTS, allowed_s / per_request_s))

    def _discard_old(self, now_s: float) -> None:
        while self._pauses and now_s - self._pauses[0][0] > WINDOW_S:
            self._pauses.popleft()


def room(requests_per_engine: float, engines: int) -> int:
    """Return how many requests may run on the engines of a service together.

    Args:
        requests_per_engine: Mean number of requests per engine.
        engines: Number of engines.
    """
    return max(1, math.floor(requests_per_engine * engines))
