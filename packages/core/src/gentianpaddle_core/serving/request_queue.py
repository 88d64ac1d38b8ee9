"""Queue of requests that wait for a server, and its admission control.

Under an overload of some seconds, a first-in, first-out queue would make every answer late.
Requests that can still meet their target therefore start first, by the latest start that meets it.
Late requests use the remaining capacity and a fixed share of the starts, by their deadlines, so
that none starves. A request that cannot be served before it is given up is rejected at once. One
that has waited until its caller is about to leave is rejected too, so that the caller comes back.
"""

from __future__ import annotations

import dataclasses
import math
import typing
from collections.abc import Callable

from gentianpaddle_core.serving import answer_times

T = typing.TypeVar("T")

DURATION_EWMA_WEIGHT = 0.05
"""Weight of the newest request in the moving average of durations; the last 45 requests have about
90 % of the total weight."""

INITIAL_DURATION_S = 1.0
"""Duration in seconds that is assumed until the first request has ended; a stream takes about
1.3 s."""

MIN_REMAINING_RATIO = 0.7
"""Minimum time left for a request to be started, relative to the mean duration."""

FIRST_EVENT_ALLOWANCE_S = 0.2
"""Minimum part of the latency target that an engine needs until the first event: about two passes
and the processing of a prompt."""

LATE_TURN_INTERVAL = 4
"""While both late requests and requests still on time wait, every n-th start goes to a late one."""

RETRY_AFTER_RANGE_S = (0.1, 2.0)
"""Minimum and maximum time in seconds after which a rejected caller is told to retry; callers
honour at most a third of the time they have left."""


@dataclasses.dataclass(slots=True, eq=False)
class QueuedRequest(typing.Generic[T]):
    """Queued request. All times are monotonic, in seconds."""

    item: T
    """The request, as known to the caller of the queue."""
    arrived_s: float
    """Time of arrival."""
    start_by_s: float
    """Latest start with which the request can still meet its target."""
    end_s: float
    """Time from which the request is no longer worth starting."""
    expires_s: float = math.inf
    """Time of its deadline. A caller that was rejected and came back has less time left than a new
    one, so that among late requests the one that expires first has waited longest."""


class RequestQueue(typing.Generic[T]):
    """Queue of the requests of one service at one process."""

    def __init__(self) -> None:
        self._entries: list[QueuedRequest[T]] = []
        self._duration_s: float | None = None
        self._started_count = 0
        self.expected_times: answer_times.AnswerTimes | None = None
        """Times that answers take at the present pace of the engines, or None if not known."""

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, waiting: QueuedRequest[T]) -> None:
        """Queue a request.

        Args:
            waiting: The request.
        """
        self._entries.append(waiting)

    def discard(self, item: T) -> None:
        """Remove a cancelled request.

        Args:
            item: The request.
        """
        self._entries = [entry for entry in self._entries if entry.item is not item]

    def waiting(self) -> list[QueuedRequest[T]]:
        """Return the queued requests in the order of their arrival."""
        return list(self._entries)

    def next_to_start(self, now_s: float) -> QueuedRequest[T] | None:
        """Return the request to start next, or None if the queue is empty.

        Args:
            now_s: Monotonic time in seconds.
        """
        late = [entry for entry in self._entries if entry.start_by_s < now_s]
        on_time = [entry for entry in self._entries if entry.start_by_s >= now_s]
        if late and (
            not on_time or self._started_count % LATE_TURN_INTERVAL == LATE_TURN_INTERVAL - 1
        ):
            return min(late, key=lambda entry: (entry.expires_s, entry.arrived_s))
        return min(on_time, key=lambda entry: entry.start_by_s) if on_time else None

    def remove_started(self, waiting: QueuedRequest[T]) -> None:
        """Remove a request that is started.

        Args:
            waiting: Request returned by `next_to_start`.
        """
        self._started_count += 1
        self._entries.remove(waiting)

    def limit_end(self, end_s: float) -> None:
        """Give up the queued requests that cannot be served until a time.

        Args:
            end_s: Monotonic time in seconds at which all work ends.
        """
        latest_start_s = self.latest_start_s(end_s, None)
        for entry in self._entries:
            entry.end_s = min(entry.end_s, latest_start_s)

    def pop_expired(self, now_s: float) -> list[QueuedRequest[T]]:
        """Remove and return the requests that are no longer worth starting.

        Args:
            now_s: Monotonic time in seconds.
        """
        return self._pop(lambda entry: entry.end_s <= now_s)

    def pop_items(self, condition: Callable[[T], bool]) -> list[QueuedRequest[T]]:
        """Remove and return the requests for which a condition holds.

        Args:
            condition: The condition.
        """
        return self._pop(lambda entry: condition(entry.item))

    def _pop(self, condition: Callable[[QueuedRequest[T]], bool]) -> list[QueuedRequest[T]]:
        popped = [entry for entry in self._entries if condition(entry)]
        if popped:
            self._entries = [entry for entry in self._entries if entry not in popped]
        return popped

    def record_duration(self, duration_s: float) -> None:
        """Record the duration of a request of this service that has ended.

        Args:
            duration_s: Time for which the request occupied a slot, in seconds.
        """
        previous_mean_s = self._duration_s
        self._duration_s = (
            duration_s
            if previous_mean_s is None
            else previous_mean_s + DURATION_EWMA_WEIGHT * (duration_s - previous_mean_s)
        )

    @property
    def duration_s(self) -> float:
        """Mean time for which a request occupies a slot, in seconds."""
        if self.expected_times is not None:
            return self.expected_times.duration_s
        return self._duration_s if self._duration_s is not None else INITIAL_DURATION_S

    @property
    def first_event_allowance_s(self) -> float:
        """Time that is kept for an engine until the first event, in seconds."""
        if self.expected_times is None:
            return FIRST_EVENT_ALLOWANCE_S
        return max(FIRST_EVENT_ALLOWANCE_S, self.expected_times.first_event_s)

    def latest_start_s(self, end_s: float, leaves_s: float | None) -> float:
        """Return the time from which a request is no longer worth starting.

        Args:
            end_s: Monotonic time in seconds at which the request is given up.
            leaves_s: Monotonic time in seconds at which its caller leaves if no event has arrived,
                or None if the caller waits for the end.
        """
        by_duration_s = end_s - MIN_REMAINING_RATIO * self.duration_s
        if leaves_s is None:
            return by_duration_s
        return min(by_duration_s, leaves_s - self.first_event_allowance_s)

    def expected_wait_s(self, available_slots: float, expires_s: float = math.inf) -> float:
        """Return the expected wait in seconds of a request that arrives now.

        The estimate uses the number of slots rather than the recent rate of completions: nothing
        completes while a group of engines is down, and queued requests are served when it is back.

        Args:
            available_slots: Number of slots at the servers available to this process.
            expires_s: Deadline of the request. Those that expire later do not delay it.
        """
        ahead = sum(entry.expires_s <= expires_s for entry in self._entries)
        return ahead * self.duration_s / max(available_slots, 0.01)

    def retry_after_s(self, available_slots: float, any_open: bool, draw: float) -> float:
        """Return the time in seconds after which a rejected caller may retry.

        Args:
            available_slots: Number of slots at the servers available to this process.
            any_open: Whether a server accepts requests at present. If none does, it is not known
                when one will, and an early retry would only be rejected again.
            draw: Random number from 0 to 1 that spreads the retries.
        """
        shortest, longest = RETRY_AFTER_RANGE_S
        wait_s = self.expected_wait_s(available_slots) if any_open else longest
        latest_s = min(longest, max(2.0 * shortest, wait_s))
        return latest_s * (0.5 + 0.5 * draw)
