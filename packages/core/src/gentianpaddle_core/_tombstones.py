"""Compact records of keys and attempts whose ledger records were dropped, or that must not run."""

from __future__ import annotations

import array
import collections
import dataclasses
import hashlib
import zlib
from collections.abc import Iterable

GENERATION_COUNT = 8
"""Number of generations in the retention time; a key expires up to one generation late, never
early."""
ATTEMPT_BITS = 7
"""Bits of the highest attempt number in a packed summary."""
ATTEMPT_MASK = (1 << ATTEMPT_BITS) - 1
BITS_PER_ATTEMPT = 32
"""Filter bits for each attempt at which a filter that evicts early counts as full. Up to that load,
the false-positive rate of a generation is below 1 in 1,000."""


def digest(key: str) -> int:
    """Return a 64-bit digest of a key."""
    return int.from_bytes(hashlib.blake2b(key.encode(), digest_size=8).digest(), "big")


@dataclasses.dataclass(frozen=True, slots=True)
class KeySummary:
    """Attempts of a key, without their outcomes."""

    highest_attempt: int
    """Number of the highest attempt that was admitted, 0 for none."""
    ran_mask: int
    """Bit n is set when attempt n may have run."""
    is_non_idempotent: bool
    """Whether the key is non-idempotent."""


EMPTY_SUMMARY = KeySummary(0, 0, False)


class KeyTombstones:
    """Non-idempotent keys whose records were dropped; each is kept for at least the retention time.

    Generations expire as a whole, so expiry has no cost for each key.
    """

    def __init__(self, retention_s: float) -> None:
        """Start empty.

        Args:
            retention_s: Time in seconds for which a key is kept at least.
        """
        self._retention_s = retention_s
        self._generation_s = retention_s / GENERATION_COUNT
        self._generations: collections.deque[tuple[float, dict[int, int]]] = collections.deque()
        self._key_count = 0

    def __len__(self) -> int:
        return self._key_count

    def get(self, key_digest: int) -> KeySummary | None:
        """Return the summary of a key, None when the key is not kept."""
        for _, packed_by_digest in self._generations:
            packed = packed_by_digest.get(key_digest)
            if packed is not None:
                return KeySummary(packed & ATTEMPT_MASK, packed >> ATTEMPT_BITS, True)
        return None

    def add(self, now_s: float, key_digest: int, summary: KeySummary) -> None:
        """Add a key that is not in the set."""
        if not self._generations or now_s - self._generations[-1][0] >= self._generation_s:
            self._generations.append((now_s, {}))
        self._generations[-1][1][key_digest] = (
            summary.ran_mask << ATTEMPT_BITS | summary.highest_attempt
        )
        self._key_count += 1

    def discard(self, key_digest: int) -> None:
        """Remove a key if it is present."""
        for _, packed_by_digest in self._generations:
            if packed_by_digest.pop(key_digest, None) is not None:
                self._key_count -= 1

    def expire(self, now_s: float) -> None:
        """Remove the generations in which every key is older than the retention time."""
        generations = self._generations
        while generations and now_s - generations[0][0] >= self._retention_s + self._generation_s:
            self._key_count -= len(generations.popleft()[1])


class AttemptFilter:
    """Bloom filter of attempts, in constant memory.

    It may report an attempt that was never added. An exact set of bounded size would have to drop
    attempts under load instead.
    """

    def __init__(self, bits: int, retention_s: float, evicts_early: bool) -> None:
        """Start empty.

        Args:
            bits: Size of each of the two generations in bits, a power of two and at least 64.
            retention_s: Time in seconds for which an attempt is kept at least, unless it is evicted
                early.
            evicts_early: Whether the older generation is dropped early when the newer one is full;
                otherwise the false-positive rate grows with the number of attempts.
        """
        self._word_count = bits // 64
        self._retention_s = retention_s
        self._max_attempts = bits // BITS_PER_ATTEMPT if evicts_early else None
        self._current = array.array("Q", bytes(bits // 8))
        self._previous = array.array("Q", bytes(bits // 8))
        self._added_count = 0
        self._rotated_s: float | None = None

    def add(self, now_s: float, key_digest: int, attempt: int, entry: str = "") -> None:
        """Add an attempt of one entry; without an entry, the attempt counts for any entry."""
        self._rotate_if_due(now_s)
        attempt_hash = hash((key_digest, attempt, zlib.crc32(entry.encode())))
        word_index = (attempt_hash >> 24) % self._word_count
        self._current[word_index] |= _bit_mask(attempt_hash)
        self._added_count += 1

    def may_contain(self, now_s: float, key_digest: int, attempt: int, entry: str = "") -> bool:
        """Return whether an attempt may have been added."""
        if self._rotated_s is None:
            return False
        self._rotate_if_due(now_s)
        attempt_hash = hash((key_digest, attempt, zlib.crc32(entry.encode())))
        word_index = (attempt_hash >> 24) % self._word_count
        bits = _bit_mask(attempt_hash)
        return self._current[word_index] & bits == bits or self._previous[word_index] & bits == bits

    def _rotate_if_due(self, now_s: float) -> None:
        if self._rotated_s is None:
            self._rotated_s = now_s
            return
        age_s = now_s - self._rotated_s
        is_full = self._max_attempts is not None and self._added_count >= self._max_attempts
        if age_s >= self._retention_s or is_full:
            empty = array.array("Q", bytes(8 * self._word_count))
            self._previous = empty[:] if age_s >= 2 * self._retention_s else self._current
            self._current = empty
            self._added_count = 0
            self._rotated_s = now_s


class TombstoneStore:
    """Facts about keys and attempts that must outlive the records of a ledger."""

    def __init__(self, bits: int, retention_s: float, attempt_retention_s: float) -> None:
        """Start empty.

        Args:
            bits: Size of a generation of each filter in bits.
            retention_s: Time in seconds for which non-idempotent keys and revocations are kept.
            attempt_retention_s: Time in seconds for which other attempts are kept.
        """
        self._key_tombstones = KeyTombstones(retention_s)
        self._ran_filter = AttemptFilter(bits, attempt_retention_s, evicts_early=True)
        self._revoked_filter = AttemptFilter(bits, retention_s, evicts_early=False)
        self._declined_non_idempotent = AttemptFilter(bits, attempt_retention_s, evicts_early=False)
        self._declined_idempotent = AttemptFilter(bits, attempt_retention_s, evicts_early=True)

    @property
    def non_idempotent_key_count(self) -> int:
        """Number of non-idempotent keys that are kept."""
        return len(self._key_tombstones)

    def any_may_have_run(self, now_s: float, key_digest: int, attempts: Iterable[int]) -> bool:
        """Return whether any of the attempts may have run under a dropped idempotent record.

        False positives are possible.
        """
        if not self._ran_filter.may_contain(now_s, key_digest, 0):
            return False
        return any(self._ran_filter.may_contain(now_s, key_digest, attempt) for attempt in attempts)

    def dropped_key_summary(self, key_digest: int) -> KeySummary | None:
        """Return the summary of a dropped non-idempotent key, None when the key is not kept."""
        return self._key_tombstones.get(key_digest)

    def add_dropped_key(self, now_s: float, key_digest: int, summary: KeySummary) -> None:
        """Add a key whose record is being dropped."""
        if summary.is_non_idempotent:
            self._key_tombstones.add(now_s, key_digest, summary)
            return
        # Attempt 0 stands for the key itself. A key that never ran is reported only when the filter
        # gives a false positive both for attempt 0 and for the attempt in question.
        for attempt in range(summary.highest_attempt + 1):
            if (summary.ran_mask | bool(summary.ran_mask)) >> attempt & 1:
                self._ran_filter.add(now_s, key_digest, attempt)

    def discard(self, key_digest: int) -> None:
        """Remove a key that has a ledger record again."""
        self._key_tombstones.discard(key_digest)

    def expire(self, now_s: float) -> None:
        """Remove the keys that are older than the retention time."""
        self._key_tombstones.expire(now_s)

    def add_declined(
        self, now_s: float, key_digest: int, attempt: int, entry: str, is_non_idempotent: bool
    ) -> None:
        """Record that an attempt of one entry was declined and must not run."""
        attempt_filter = (
            self._declined_non_idempotent if is_non_idempotent else self._declined_idempotent
        )
        attempt_filter.add(now_s, key_digest, attempt, entry)

    def is_declined(self, now_s: float, key_digest: int, attempt: int, entry: str) -> bool:
        """Return whether an attempt of one entry was declined; false positives are possible."""
        return self._declined_non_idempotent.may_contain(
            now_s, key_digest, attempt, entry
        ) or self._declined_idempotent.may_contain(now_s, key_digest, attempt, entry)

    def add_revoked(self, now_s: float, key_digest: int, attempt: int) -> None:
        """Record that an attempt was revoked and must not run, whichever entry sends it."""
        self._revoked_filter.add(now_s, key_digest, attempt)

    def is_revoked(self, now_s: float, key_digest: int, attempt: int) -> bool:
        """Return whether an attempt was revoked; false positives are possible."""
        return self._revoked_filter.may_contain(now_s, key_digest, attempt)


def _bit_mask(attempt_hash: int) -> int:
    return (
        1 << (attempt_hash & 63)
        | 1 << (attempt_hash >> 6 & 63)
        | 1 << (attempt_hash >> 12 & 63)
        | 1 << (attempt_hash >> 18 & 63)
    )
