"""Crash records by request fingerprint, replicated to all processes by the digest exchange."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from gentianpaddle_core import digest_messages, ids

CRASH_RETENTION_S = 3_600.0
"""Time after the last crash for which a record is kept."""
CRASH_LIMIT = 1_000
"""Maximum number of records; beyond it the record with the oldest crash is dropped."""
CRASHES_PER_MESSAGE = 16
"""Maximum number of crash records in a message."""
REPAIR_CRASHES_PER_MESSAGE = 1
"""Unchanged records that each message carries in rotation, to repair lost messages."""
CRASH_TRANSMISSIONS = 12
"""Number of messages that carry a record after it changed."""

MergeCrash = Callable[
    [digest_messages.CrashRecord, digest_messages.CrashRecord], digest_messages.CrashRecord
]
"""Merges two records of one fingerprint, whose ages are relative to the same time."""


@dataclasses.dataclass(slots=True)
class _TrackedCrash:
    record: digest_messages.CrashRecord
    last_crash_s: float
    transmissions_left: int


class CrashExchange:
    """Crash records known to one process."""

    def __init__(self, merge_crash: MergeCrash) -> None:
        """Create an empty set of records; use `new_crash_exchange`.

        Args:
            merge_crash: Merge function for two records of one fingerprint.
        """
        self._merge_crash = merge_crash
        self._tracked_crashes: dict[ids.Fingerprint, _TrackedCrash] = {}
        self._changed_fingerprints: set[ids.Fingerprint] = set()
        self._repair_queue: list[ids.Fingerprint] = []

    def merge(self, record: digest_messages.CrashRecord, now_s: float) -> bool:
        """Merge a record.

        Args:
            record: Record of this process or of a peer.
            now_s: Monotonic time in seconds.

        Returns:
            True if the record is new or changed a known record other than in its age.
        """
        if record.age_s > CRASH_RETENTION_S:
            return False
        tracked = self._tracked_crashes.get(record.fingerprint)
        merged = record
        if tracked:
            merged = self._merge_crash(self._with_current_age(tracked, now_s), record)
            last_crash_s = now_s - merged.age_s
            is_unchanged = dataclasses.replace(merged, age_s=0.0) == dataclasses.replace(
                tracked.record, age_s=0.0
            )
            if is_unchanged:
                tracked.last_crash_s = max(tracked.last_crash_s, last_crash_s)
                return False
        tracked = _TrackedCrash(merged, now_s - merged.age_s, CRASH_TRANSMISSIONS)
        self._tracked_crashes[record.fingerprint] = tracked
        self._changed_fingerprints.add(record.fingerprint)
        while len(self._tracked_crashes) > CRASH_LIMIT:
            oldest = min(self._tracked_crashes.items(), key=lambda item: item[1].last_crash_s)[0]
            del self._tracked_crashes[oldest]
            self._changed_fingerprints.discard(oldest)
        return True

    def records(self, now_s: float) -> tuple[digest_messages.CrashRecord, ...]:
        """Return all records.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            Records with their current age.
        """
        self._expire(now_s)
        return tuple(
            self._with_current_age(tracked, now_s) for tracked in self._tracked_crashes.values()
        )

    def select_for_message(self, now_s: float) -> tuple[digest_messages.CrashRecord, ...]:
        """Select the records for a message: changed ones, then others in rotation.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            At most `CRASHES_PER_MESSAGE` records.
        """
        chosen: list[ids.Fingerprint] = []
        for fingerprint in list(self._changed_fingerprints)[:CRASHES_PER_MESSAGE]:
            tracked = self._tracked_crashes[fingerprint]
            tracked.transmissions_left -= 1
            if tracked.transmissions_left <= 0:
                self._changed_fingerprints.discard(fingerprint)
            chosen.append(fingerprint)
        for _ in range(REPAIR_CRASHES_PER_MESSAGE):
            if not self._repair_queue:
                self._expire(now_s)
                self._repair_queue = list(self._tracked_crashes)
            if self._repair_queue and len(chosen) < CRASHES_PER_MESSAGE:
                fingerprint = self._repair_queue.pop()
                if fingerprint in self._tracked_crashes and fingerprint not in chosen:
                    chosen.append(fingerprint)
        return tuple(
            self._with_current_age(self._tracked_crashes[fingerprint], now_s)
            for fingerprint in chosen
        )

    def _with_current_age(
        self, tracked: _TrackedCrash, now_s: float
    ) -> digest_messages.CrashRecord:
        return dataclasses.replace(tracked.record, age_s=max(0.0, now_s - tracked.last_crash_s))

    def _expire(self, now_s: float) -> None:
        for fingerprint, tracked in list(self._tracked_crashes.items()):
            if now_s - tracked.last_crash_s > CRASH_RETENTION_S:
                del self._tracked_crashes[fingerprint]
                self._changed_fingerprints.discard(fingerprint)


def merge_by_maximum(
    known: digest_messages.CrashRecord, other: digest_messages.CrashRecord
) -> digest_messages.CrashRecord:
    """Merge two records: highest count, lowest age, and cleared if either is cleared.

    Args:
        known: One record.
        other: Another record of the same fingerprint.

    Returns:
        The merged record.
    """
    return dataclasses.replace(
        known,
        crashes=max(known.crashes, other.crashes),
        age_s=min(known.age_s, other.age_s),
        cleared=known.cleared or other.cleared,
    )


def new_crash_exchange(merge_crash: MergeCrash = merge_by_maximum) -> CrashExchange:
    """Create the crash exchange of a process.

    Args:
        merge_crash: Merge function for two records of one fingerprint.

    Returns:
        An empty set of records.
    """
    return CrashExchange(merge_crash)
