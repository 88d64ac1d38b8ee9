"""Recent arrivals, starts and slot time by priority or by organisation.

Load pattern: classes of work or organisations compete for the same servers for some seconds, and
some of them send far more than their usual share. Who has used the servers in the last seconds, and
who has been served least relative to its requests, decides who goes first.
"""

from __future__ import annotations

import dataclasses
import math
import typing
from collections.abc import Hashable

K = typing.TypeVar("K", bound=Hashable)

HALF_LIFE_S = 3.0
"""Half-life of the sums in seconds. Bursts last about 6 s and requests 1.3 s: the sums follow a
burst before it ends, and cover more than the requests that run at present."""

KEY_LIMIT = 128
"""Maximum number of keys. Five times the organisations of the largest known deployment."""

NEGLIGIBLE_ARRIVALS = 0.05
"""Decayed number of arrivals below which a priority no longer counts as present: one arrival does
so for 13 s."""


@dataclasses.dataclass(slots=True)
class _Sums:
    updated_s: float
    arrivals: float = 0.0
    starts: float = 0.0
    slot_time_s: float = 0.0


class RecentLoad(typing.Generic[K]):
    """Decaying sums by key. Adding to a sum and reading it take constant time."""

    def __init__(self) -> None:
        self._sums_by_key: dict[K, _Sums] = {}

    def record_arrival(self, key: K, now_s: float) -> None:
        """Record the arrival of a request.

        Args:
            key: Priority or organisation of the request.
            now_s: Monotonic time in seconds.
        """
        self._sums(key, now_s).arrivals += 1.0

    def record_start(self, key: K, expected_duration_s: float, now_s: float) -> None:
        """Record the start of a request.

        The expected slot time is charged at once: a burst would otherwise be noticed only after
        its first requests have ended.

        Args:
            key: Priority or organisation of the request.
            expected_duration_s: Time for which it is expected to occupy a slot, in seconds.
            now_s: Monotonic time in seconds.
        """
        sums = self._sums(key, now_s)
        sums.starts += 1.0
        sums.slot_time_s += expected_duration_s

    def correct_slot_time(self, key: K, difference_s: float, now_s: float) -> None:
        """Correct the slot time that was charged for a request.

        Args:
            key: Priority or organisation of the request.
            difference_s: Actual less expected time in the slot, in seconds.
            now_s: Monotonic time in seconds.
        """
        sums = self._sums(key, now_s)
        sums.slot_time_s = max(0.0, sums.slot_time_s + difference_s)

    def slot_time_s(self, key: K, now_s: float) -> float:
        """Return the decayed slot time of a key in seconds.

        Args:
            key: Priority or organisation.
            now_s: Monotonic time in seconds.
        """
        sums = self._sums_by_key.get(key)
        return sums.slot_time_s * _decay(sums, now_s) if sums is not None else 0.0

    def arrival_rates_per_s(self, now_s: float) -> dict[K, float]:
        """Return the recent arrival rate of each key with arrivals that still count.

        Args:
            now_s: Monotonic time in seconds.
        """
        arrivals_by_key = {
            key: sums.arrivals * _decay(sums, now_s) for key, sums in self._sums_by_key.items()
        }
        return {
            key: arrivals * math.log(2.0) / HALF_LIFE_S
            for key, arrivals in arrivals_by_key.items()
            if arrivals >= NEGLIGIBLE_ARRIVALS
        }

    def served_ratio(self, key: K, now_s: float) -> float:
        """Return the share of the recent requests of a key that were started.

        One request is added as if it had been served, so that a first request that waits does not
        count as starvation.

        Args:
            key: Priority or organisation.
            now_s: Monotonic time in seconds.
        """
        sums = self._sums_by_key.get(key)
        if sums is None:
            return 1.0
        decay = _decay(sums, now_s)
        return (sums.starts * decay + 1.0) / (sums.arrivals * decay + 1.0)

    def mean_served_ratio(self, now_s: float) -> float:
        """Return the share of all recent requests that were started.

        Args:
            now_s: Monotonic time in seconds.
        """
        starts = arrivals = 1.0
        for sums in self._sums_by_key.values():
            decay = _decay(sums, now_s)
            starts += sums.starts * decay
            arrivals += sums.arrivals * decay
        return starts / arrivals

    def _sums(self, key: K, now_s: float) -> _Sums:
        sums = self._sums_by_key.get(key)
        if sums is None:
            if len(self._sums_by_key) >= KEY_LIMIT:
                self._remove_smallest(now_s)
            sums = self._sums_by_key[key] = _Sums(now_s)
            return sums
        decay = _decay(sums, now_s)
        sums.arrivals *= decay
        sums.starts *= decay
        sums.slot_time_s *= decay
        sums.updated_s = max(sums.updated_s, now_s)
        return sums

    def _remove_smallest(self, now_s: float) -> None:
        def size(item: tuple[K, _Sums]) -> float:
            return (item[1].arrivals + item[1].slot_time_s) * _decay(item[1], now_s)

        key, _ = min(self._sums_by_key.items(), key=size)
        del self._sums_by_key[key]


def _decay(sums: _Sums, now_s: float) -> float:
    return math.pow(0.5, max(0.0, now_s - sums.updated_s) / HALF_LIFE_S)
