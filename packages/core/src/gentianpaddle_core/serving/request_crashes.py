"""Counts for each request the crashes of backend servers at which one of its copies was present.

Answers are also lost without a crash, some dozens a second at times, and each of these first counts
as a crash. A request that does crash servers may come again much later, so what is known of it must
not depend on how many others were lost in the meantime.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
from collections.abc import Sequence

from gentianpaddle_core import ids
from gentianpaddle_core.serving import crash_records

MAX_LOST_ONCE = 8_192
"""Maximum number of requests with one crash; about 400 bytes each."""

MAX_LOST_AGAIN = 1_024
"""Maximum number of requests with several crashes. They have a limit of their own, so that requests
that were lost once do not displace them."""

MAX_CRASHES = 8
"""Maximum number of crashes that are remembered of one request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Presence:
    """One crash of a server at which a copy of the request was present."""

    server: ids.BackendServerId
    crashed_s: float
    """Monotonic time in seconds."""

    def is_same_crash(self, other: Presence) -> bool:
        """Return whether another observation is of the same crash.

        Args:
            other: The other observation.
        """
        return (
            self.server == other.server
            and abs(self.crashed_s - other.crashed_s) < crash_records.SAME_CRASH_S
        )


_CrashesByFingerprint = collections.OrderedDict[crash_records.Cause, tuple[Presence, ...]]


class RequestCrashes:
    """Crashes by fingerprint of the request.

    Args:
        max_age_s: Time in seconds for which a crash is remembered.
    """

    def __init__(self, max_age_s: float) -> None:
        self._max_age_s = max_age_s
        # Both are ordered by the time of the last observation, oldest first.
        self._lost_once: _CrashesByFingerprint = collections.OrderedDict()
        self._lost_again: _CrashesByFingerprint = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._lost_once) + len(self._lost_again)

    def add(self, fingerprint: crash_records.Cause, presence: Presence) -> bool:
        """Record a crash at which a request was present.

        Args:
            fingerprint: Fingerprint of the request.
            presence: The crash.

        Returns:
            Whether it was new.
        """
        known = self._lost_again.get(fingerprint) or self._lost_once.get(fingerprint, ())
        if any(presence.is_same_crash(other) for other in known):
            return False
        # Copies of a message may arrive late, when newer crashes have displaced theirs.
        if len(known) == MAX_CRASHES and presence.crashed_s < known[0].crashed_s:
            return False
        crashes = sorted([*known, presence], key=lambda item: (item.crashed_s, item.server))
        self._lost_once.pop(fingerprint, None)
        self._lost_again.pop(fingerprint, None)
        if len(crashes) == 1:
            self._lost_once[fingerprint] = tuple(crashes)
        else:
            self._lost_again[fingerprint] = tuple(crashes[-MAX_CRASHES:])
        if len(self._lost_once) > MAX_LOST_ONCE:
            self._lost_once.popitem(last=False)
        if len(self._lost_again) > MAX_LOST_AGAIN:
            self._lost_again.popitem(last=False)
        return True

    def remove(self, fingerprint: crash_records.Cause) -> Sequence[Presence]:
        """Forget the crashes of a request that has been answered, so that it caused none of them.

        Args:
            fingerprint: Fingerprint of the request.

        Returns:
            The crashes that were remembered, oldest first.
        """
        crashes = self._lost_again.pop(fingerprint, ())
        return crashes or self._lost_once.pop(fingerprint, ())

    def crashes(self, fingerprint: crash_records.Cause, now_s: float) -> Sequence[Presence]:
        """Return the crashes at which a request was present, oldest first.

        Args:
            fingerprint: Fingerprint of the request.
            now_s: Monotonic time in seconds.
        """
        known = self._lost_again.get(fingerprint) or self._lost_once.get(fingerprint, ())
        if known and now_s - known[0].crashed_s > self._max_age_s:
            return tuple(item for item in known if now_s - item.crashed_s <= self._max_age_s)
        return known

    def lost_last(self, min_crashes: int, limit: int, now_s: float) -> list[crash_records.Cause]:
        """Return the fingerprints of requests with several crashes, the last seen first.

        Args:
            min_crashes: Number of crashes from which on a request is returned, at least two.
            limit: Maximum number of requests.
            now_s: Monotonic time in seconds.
        """
        found = (
            fingerprint
            for fingerprint in reversed(self._lost_again)
            if len(self.crashes(fingerprint, now_s)) >= min_crashes
        )
        return list(itertools.islice(found, limit))
