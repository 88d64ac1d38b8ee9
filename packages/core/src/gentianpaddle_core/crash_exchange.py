"""Crash fingerprints of one process, spread to all others by the digest exchange."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from gentianpaddle_core import digest_messages, ids

CRASH_RETENTION_S = 3_600.0
"""Time that a crash is remembered."""
CRASH_LIMIT = 1_000
"""Largest number of fingerprints; the oldest is dropped."""
CRASHES_A_MESSAGE = 16
"""Largest number of crash records in a message."""
ROTATING_CRASHES = 1
"""Records at rest that a message carries in rotation, to repair losses."""
CRASH_SENDS = 12
"""Messages that carry a record after it changed."""

MergeCrash = Callable[
    [digest_messages.CrashRecord, digest_messages.CrashRecord], digest_messages.CrashRecord
]
"""Merges two records of one fingerprint; ages are relative to the same moment."""


@dataclasses.dataclass(slots=True)
class _Held:
    record: digest_messages.CrashRecord
    crashed_s: float
    sends_left: int


class CrashExchange:
    """Crash records that this process knows."""

    def __init__(self, merge_crash: MergeCrash) -> None:
        """Start without records; use `new_crash_exchange`.

        Args:
            merge_crash: Merge function for two records of one fingerprint.
        """
        self._merge_crash = merge_crash
        self._held_by_fingerprint: dict[ids.Fingerprint, _Held] = {}
        self._hot: set[ids.Fingerprint] = set()
        self._rotation: list[ids.Fingerprint] = []

    def put(self, record: digest_messages.CrashRecord, now_s: float) -> bool:
        """Take in a record.

        Args:
            record: Record of this process or of a peer.
            now_s: Monotonic time in seconds.

        Returns:
            True when it changed what is known, other than the age.
        """
        if record.age_s > CRASH_RETENTION_S:
            return False
        held = self._held_by_fingerprint.get(record.fingerprint)
        merged = record
        if held:
            merged = self._merge_crash(self._aged(held, now_s), record)
            crashed_s = now_s - merged.age_s
            same = dataclasses.replace(merged, age_s=0.0) == dataclasses.replace(
                held.record, age_s=0.0
            )
            if same:
                held.crashed_s = max(held.crashed_s, crashed_s)
                return False
        held = _Held(merged, now_s - merged.age_s, CRASH_SENDS)
        self._held_by_fingerprint[record.fingerprint] = held
        self._hot.add(record.fingerprint)
        while len(self._held_by_fingerprint) > CRASH_LIMIT:
            oldest = min(self._held_by_fingerprint.items(), key=lambda item: item[1].crashed_s)[0]
            del self._held_by_fingerprint[oldest]
            self._hot.discard(oldest)
        return True

    def records(self, now_s: float) -> tuple[digest_messages.CrashRecord, ...]:
        """List what is known.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            Records with their present age.
        """
        self._expire(now_s)
        return tuple(self._aged(held, now_s) for held in self._held_by_fingerprint.values())

    def to_send(self, now_s: float) -> tuple[digest_messages.CrashRecord, ...]:
        """Choose records for a message: changed ones, then some in rotation.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            At most `CRASHES_A_MESSAGE` records.
        """
        chosen: list[ids.Fingerprint] = []
        for fingerprint in list(self._hot)[:CRASHES_A_MESSAGE]:
            held = self._held_by_fingerprint[fingerprint]
            held.sends_left -= 1
            if held.sends_left <= 0:
                self._hot.discard(fingerprint)
            chosen.append(fingerprint)
        for _ in range(ROTATING_CRASHES):
            if not self._rotation:
                self._expire(now_s)
                self._rotation = list(self._held_by_fingerprint)
            if self._rotation and len(chosen) < CRASHES_A_MESSAGE:
                fingerprint = self._rotation.pop()
                if fingerprint in self._held_by_fingerprint and fingerprint not in chosen:
                    chosen.append(fingerprint)
        return tuple(self._aged(self._held_by_fingerprint[name], now_s) for name in chosen)

    def _aged(self, held: _Held, now_s: float) -> digest_messages.CrashRecord:
        return dataclasses.replace(held.record, age_s=max(0.0, now_s - held.crashed_s))

    def _expire(self, now_s: float) -> None:
        for fingerprint, held in list(self._held_by_fingerprint.items()):
            if now_s - held.crashed_s > CRASH_RETENTION_S:
                del self._held_by_fingerprint[fingerprint]
                self._hot.discard(fingerprint)


def merge_by_maximum(
    known: digest_messages.CrashRecord, other: digest_messages.CrashRecord
) -> digest_messages.CrashRecord:
    """Merge by the highest count, the lowest age, and cleared if either is.

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
    """Create the crash records of a process.

    Args:
        merge_crash: Merge function for two records of one fingerprint.

    Returns:
        An empty set of records.
    """
    return CrashExchange(merge_crash)
