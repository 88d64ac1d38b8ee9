"""How requests wait for a server, and when they are turned away.

The load pattern this answers: more work than the engines take for some seconds. First in, first
out would make every answer late. Those that can still be in time go first, by the time that they
have left; late ones use what is left over, oldest first, so that none starves; and what cannot be
served before its end is refused at once.
"""

from __future__ import annotations

import collections
import dataclasses
import typing

T = typing.TypeVar("T")

RATE_WINDOW_S = 3.0
"""Time over which ended requests are counted; a stream takes about 1.5 s."""

LATE_SHARE = 4
"""One of so many places goes to a late request while others could still be in time."""

RETRY_AFTER_LIMITS_S = (0.1, 2.0)
"""Shortest and longest time that a refused caller is told to wait; callers honour at most a third
of the time they have left."""


@dataclasses.dataclass(slots=True)
class Waiting(typing.Generic[T]):
    """A request that waits."""

    item: T
    arrived_s: float
    start_by_s: float
    """Latest start with which it can still meet its target."""
    end_s: float
    """Time after which it is not worth starting."""


class WaitingLine(typing.Generic[T]):
    """Requests of one service that wait at one process."""

    def __init__(self) -> None:
        self._waiting: list[Waiting[T]] = []
        self._ended_s: collections.deque[float] = collections.deque()
        self._taken = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, waiting: Waiting[T]) -> None:
        """Let a request wait.

        Args:
            waiting: The request.
        """
        self._waiting.append(waiting)

    def discard(self, item: T) -> None:
        """Remove a request that has left.

        Args:
            item: The request.
        """
        self._waiting = [entry for entry in self._waiting if entry.item is not item]

    def first(self, now_s: float) -> Waiting[T] | None:
        """Return the request that is to start next.

        Args:
            now_s: Monotonic time in seconds.
        """
        late = [entry for entry in self._waiting if entry.start_by_s < now_s]
        timely = [entry for entry in self._waiting if entry.start_by_s >= now_s]
        if late and (not timely or self._taken % LATE_SHARE == LATE_SHARE - 1):
            return min(late, key=lambda entry: entry.arrived_s)
        return min(timely, key=lambda entry: entry.start_by_s) if timely else None

    def take(self, waiting: Waiting[T]) -> None:
        """Remove a request that starts.

        Args:
            waiting: What `first` returned.
        """
        self._taken += 1
        self._waiting.remove(waiting)

    def expired(self, now_s: float) -> list[Waiting[T]]:
        """Remove and return the requests that are no longer worth starting.

        Args:
            now_s: Monotonic time in seconds.
        """
        gone = [entry for entry in self._waiting if entry.end_s <= now_s]
        if gone:
            self._waiting = [entry for entry in self._waiting if entry.end_s > now_s]
        return gone

    def ended(self, now_s: float) -> None:
        """Note that a request of this service has ended and left its place.

        Args:
            now_s: Monotonic time in seconds.
        """
        self._ended_s.append(now_s)
        while self._ended_s[0] < now_s - RATE_WINDOW_S:
            self._ended_s.popleft()

    def expected_wait_s(self, now_s: float) -> float:
        """Return how long a request that comes now would wait behind all others.

        Args:
            now_s: Monotonic time in seconds.
        """
        if not self._waiting:
            return 0.0
        recent = sum(1 for ended_s in self._ended_s if ended_s >= now_s - RATE_WINDOW_S)
        return len(self._waiting) * RATE_WINDOW_S / max(1, recent)

    def retry_after_s(self, now_s: float, draw: float) -> float:
        """Return when a refused caller may come back.

        Args:
            now_s: Monotonic time in seconds.
            draw: Random number from 0 to 1 that spreads the returns.
        """
        shortest, longest = RETRY_AFTER_LIMITS_S
        latest_s = min(longest, max(2.0 * shortest, self.expected_wait_s(now_s)))
        return latest_s * (0.5 + 0.5 * draw)
