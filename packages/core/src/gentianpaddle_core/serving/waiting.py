"""How requests wait for a server, and when they are turned away.

The load pattern this answers: more work than the engines take for some seconds. First in, first
out would make every answer late. Those that can still be in time go first, by the time that they
have left; late ones use what is left over, oldest first, so that none starves; and what cannot be
served before its end is refused at once.
"""

from __future__ import annotations

import dataclasses
import typing

T = typing.TypeVar("T")

DURATION_WEIGHT = 0.05
"""Weight of the last request in the mean duration; about twenty are remembered."""

FIRST_DURATION_S = 1.0
"""Duration that is assumed before the first request has ended; a stream takes about 1.3 s."""

FINISH_SHARE = 0.7
"""Part of the mean duration that must be left for a request to be worth starting."""

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
        self._duration_s: float | None = None
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

    def ended(self, duration_s: float) -> None:
        """Note that a request of this service has ended and left its place.

        Args:
            duration_s: How long it had the place.
        """
        known = self._duration_s
        self._duration_s = (
            duration_s if known is None else known + DURATION_WEIGHT * (duration_s - known)
        )

    @property
    def duration_s(self) -> float:
        """Mean time for which a request has its place."""
        return self._duration_s if self._duration_s is not None else FIRST_DURATION_S

    def latest_start_s(self, end_s: float) -> float:
        """Return the time after which a request is not worth starting.

        Args:
            end_s: Monotonic time at which it is given up.
        """
        return end_s - FINISH_SHARE * self.duration_s

    def expected_wait_s(self, places: float) -> float:
        """Return how long a request that comes now would wait behind all others.

        The places count rather than what has ended lately: nothing ends while a group of engines
        is down, and what waits then is served when it is back.

        Args:
            places: Requests of this process that the servers take at once.
        """
        return len(self._waiting) * self.duration_s / max(places, 0.01)

    def retry_after_s(self, places: float, draw: float) -> float:
        """Return when a refused caller may come back.

        Args:
            places: Requests of this process that the servers take at once.
            draw: Random number from 0 to 1 that spreads the returns.
        """
        shortest, longest = RETRY_AFTER_LIMITS_S
        latest_s = min(longest, max(2.0 * shortest, self.expected_wait_s(places)))
        return latest_s * (0.5 + 0.5 * draw)
