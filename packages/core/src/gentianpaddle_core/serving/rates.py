"""Rate limits shared by all processes without coordination for each request.

A limit on the total of all processes is divided evenly by the number of processes that this process
knows. A retry ratio is not divided: each process applies it to its own requests. A safety factor
covers processes that know too few peers and would therefore use too large a part.
"""

from __future__ import annotations

import collections
from collections.abc import Callable

from gentianpaddle_core import ids

BUDGET_SAFETY_FACTOR = 0.7
"""Share of the allowed retries, from 0 to 1, that a process uses. It multiplies the sum of the
retries allowed by the ratio and of the process's part of the slack. Processes may know too few
peers and then take too large a part of the slack; the ratio does not depend on the peers."""

COLD_RATE_SAFETY_FACTOR = 0.7
"""Share of the allowed rate to a cold server, from 0 to 1, that the processes use together.
Processes may know too few peers and then take too large a part of the rate."""


class RetryBudget:
    """Limits the retries of requests to one service within a sliding window.

    Args:
        ratio: Number of retries allowed for each request of this process.
        slack: Number of retries in a window beyond the ratio, over all processes; divided evenly
            among them.
        window_s: Length of the window in seconds.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._first_sent_s: collections.deque[float] = collections.deque()
        self._retry_sent_s: collections.deque[float] = collections.deque()

    def record_first_send(self, now_s: float) -> None:
        """Count a new request, to which the ratio applies; called once, before its first attempt.

        Args:
            now_s: Monotonic time in seconds.
        """
        _discard_before(self._first_sent_s, now_s - self._window_s)
        self._first_sent_s.append(now_s)

    def try_acquire(self, processes: int, now_s: float) -> bool:
        """Take one retry from the budget if it allows one.

        Args:
            processes: Number of processes that share the budget, including this one.
            now_s: Monotonic time in seconds.

        Returns:
            Whether the request may be retried.
        """
        _discard_before(self._first_sent_s, now_s - self._window_s)
        _discard_before(self._retry_sent_s, now_s - self._window_s)
        allowed = self._ratio * len(self._first_sent_s) + self._slack / max(1, processes)
        if len(self._retry_sent_s) + 1 > allowed * BUDGET_SAFETY_FACTOR:
            return False
        self._retry_sent_s.append(now_s)
        return True


class ColdStartLimiter:
    """Limits the rate at which this process sends requests to each cold server.

    Args:
        factor: Factor on the rate that a server tolerates.
        slack: Number of requests per second beyond that rate, over all processes.
        rank: Returns the rank of this process among all processes for a key, from 0.
    """

    def __init__(self, factor: float, slack: float, rank: Callable[[str], int]) -> None:
        self._factor = factor
        self._slack = slack
        self._rank = rank
        self._sent_s_by_id: dict[ids.BackendServerId, collections.deque[float]] = {}

    def set_bounds(self, factor: float, slack: float) -> None:
        """Change the bounds.

        Args:
            factor: Factor on the rate that a server tolerates.
            slack: Number of requests per second beyond that rate, over all processes.
        """
        self._factor, self._slack = factor, slack

    def allows(
        self, server: ids.BackendServerId, rate_per_s: float, processes: int, now_s: float
    ) -> bool:
        """Return whether a cold server may get another request now.

        Args:
            server: The server.
            rate_per_s: Number of requests per second that the server tolerates from all processes.
            processes: Number of processes that send to the server, including this one.
            now_s: Monotonic time in seconds.
        """
        sent = self._sent_s_by_id.setdefault(server, collections.deque())
        _discard_before(sent, now_s - 1.0)
        total = max(1, int((rate_per_s * self._factor + self._slack) * COLD_RATE_SAFETY_FACTOR))
        per_process, remainder = divmod(total, max(1, processes))
        if len(sent) < per_process:
            return True
        # The total does not divide evenly: the processes with the lowest ranks get one more each.
        return len(sent) == per_process and self._rank(server) < remainder

    def record_send(self, server: ids.BackendServerId, now_s: float) -> None:
        """Count a request to a server. Servers turn cold without notice, so all requests count.

        Args:
            server: The server.
            now_s: Monotonic time in seconds.
        """
        sent = self._sent_s_by_id.setdefault(server, collections.deque())
        _discard_before(sent, now_s - 1.0)
        sent.append(now_s)


def _discard_before(times: collections.deque[float], limit_s: float) -> None:
    while times and times[0] < limit_s:
        times.popleft()
