"""Expected wait of queued requests of differing priorities.

Load pattern: more requests of several priorities than the servers take for some seconds. A request
of low priority then waits for those of higher priority that have yet to arrive, too; without them,
the estimate admits requests that cannot start in time.
"""

from __future__ import annotations

from gentianpaddle_core.serving import queued_requests


class WaitEstimate:
    """Expected wait of requests that are added one after the other in the expected order.

    Higher priorities that have yet to arrive will go ahead too and take some of the slots. All
    lower priorities together keep their share of the starts.

    Args:
        available_slots: Number of slots at the servers available to this process.
        duration_s: Mean time for which a request occupies a slot, in seconds.
        lower_share: Minimum share of the starts of all lower priorities together.
        rate_by_level: Recent arrivals per second.
        waiting_levels: Levels of the requests that wait, and of those whose wait is asked for.
    """

    def __init__(
        self,
        available_slots: float,
        duration_s: float,
        lower_share: float,
        rate_by_level: dict[queued_requests.Level, float],
        waiting_levels: set[queued_requests.Level],
    ) -> None:
        self._available_slots = available_slots
        self._duration_s = duration_s
        self._lower_share = lower_share
        # Slots that are left by the requests of higher priorities that have yet to arrive.
        self._free_slots_by_level = {
            level: max(
                available_slots
                - duration_s * sum(rate for each, rate in rate_by_level.items() if each < level),
                0.01,
            )
            for level in waiting_levels
        }
        self._first_level = min([*rate_by_level, *waiting_levels])
        self._ahead = 0
        self._lower_ahead = 0

    def add(self, level: queued_requests.Level, count: int = 1) -> None:
        """Add requests that go ahead of all those that follow.

        Args:
            level: Level of the requests.
            count: Number of requests.
        """
        self._ahead += count
        self._lower_ahead += count if level != self._first_level else 0

    def wait_s(self, level: queued_requests.Level) -> float:
        """Return the expected wait in seconds of a request that follows.

        Args:
            level: Level of the request.
        """
        wait_s = self._ahead * self._duration_s / self._free_slots_by_level[level]
        if level == self._first_level:
            return wait_s
        share = max(self._available_slots * self._lower_share, 0.01)
        return min(wait_s, (self._lower_ahead + 1) * self._duration_s / share)
