"""Limits that all processes keep together without asking each other for each request.

Each process takes an equal part, by the number of live ones that it knows of, with a margin for
those that it does not know of yet.
"""

from __future__ import annotations

import collections
from collections.abc import Callable

from gentianpaddle_core import ids

BUDGET_SHARE = 0.7
"""Part of the allowed repeats that is used; the rest covers processes that count too few peers."""

COLD_SHARE = 0.7
"""Same for the requests that a cold server gets."""


class RepeatBudget:
    """Repeats of requests to one service within a window.

    Args:
        ratio: Repeats allowed for each request.
        slack: Repeats in a window beyond the ratio, over all processes.
        window_s: Length of the window.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._first_s: collections.deque[float] = collections.deque()
        self._repeat_s: collections.deque[float] = collections.deque()

    def first(self, now_s: float) -> None:
        """Count a request that is sent for the first time.

        Args:
            now_s: Monotonic time in seconds.
        """
        _drop_before(self._first_s, now_s - self._window_s)
        self._first_s.append(now_s)

    def take(self, processes: int, now_s: float) -> bool:
        """Ask for a repeat, and count it if it is granted.

        Args:
            processes: Live processes that share the budget, this one included.
            now_s: Monotonic time in seconds.

        Returns:
            Whether the request may be sent once more.
        """
        _drop_before(self._first_s, now_s - self._window_s)
        _drop_before(self._repeat_s, now_s - self._window_s)
        allowed = self._ratio * len(self._first_s) + self._slack / max(1, processes)
        if len(self._repeat_s) + 1 > allowed * BUDGET_SHARE:
            return False
        self._repeat_s.append(now_s)
        return True


class ColdLimits:
    """Requests that each cold server gets from this process.

    Args:
        factor: Factor on the tolerated rate.
        slack: Requests in a second beyond it, over all processes.
        rank: Returns this process's place among the live ones for a key, from 0.
    """

    def __init__(self, factor: float, slack: float, rank: Callable[[str], int]) -> None:
        self._factor = factor
        self._slack = slack
        self._rank = rank
        self._sent_s_by_id: dict[ids.BackendServerId, collections.deque[float]] = {}

    def set_bounds(self, factor: float, slack: float) -> None:
        """Take changed bounds.

        Args:
            factor: Factor on the tolerated rate.
            slack: Requests in a second beyond it.
        """
        self._factor, self._slack = factor, slack

    def allows(
        self, server: ids.BackendServerId, rate_per_s: float, processes: int, now_s: float
    ) -> bool:
        """Return whether a cold server may get another request now.

        Args:
            server: The server.
            rate_per_s: Rate that it tolerates from all processes.
            processes: Live processes that send to it, this one included.
            now_s: Monotonic time in seconds.
        """
        sent = self._sent_s_by_id.setdefault(server, collections.deque())
        _drop_before(sent, now_s - 1.0)
        total = max(1, int((rate_per_s * self._factor + self._slack) * COLD_SHARE))
        part, rest = divmod(total, max(1, processes))
        if len(sent) < part:
            return True
        # More processes than requests: one more goes to each of the first places.
        return len(sent) == part and self._rank(server) < rest

    def sent(self, server: ids.BackendServerId, now_s: float) -> None:
        """Count a request to a server; servers turn cold without notice, so all count.

        Args:
            server: The server.
            now_s: Monotonic time in seconds.
        """
        sent = self._sent_s_by_id.setdefault(server, collections.deque())
        _drop_before(sent, now_s - 1.0)
        sent.append(now_s)


def _drop_before(times: collections.deque[float], limit_s: float) -> None:
    while times and times[0] < limit_s:
        times.popleft()
