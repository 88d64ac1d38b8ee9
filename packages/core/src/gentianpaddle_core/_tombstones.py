"""Compact memory of keys and attempts for the ledger."""

from __future__ import annotations

import array
import collections
import dataclasses
import hashlib
import zlib
from collections.abc import Iterable

GENERATIONS = 8
"""Parts of the retention time; expiry is exact to one part and always late, never early."""
ATTEMPT_BITS = 7
ATTEMPT_MASK = (1 << ATTEMPT_BITS) - 1
ITEM_BITS = 32
"""Bits for each attempt at which a filter that forgets is full; up to there, a generation holds a
foreign attempt in less than 1 of 1,000 cases."""


def digest(key: str) -> int:
    """Return a 64-bit digest of a key."""
    return int.from_bytes(hashlib.blake2b(key.encode(), digest_size=8).digest(), "big")


@dataclasses.dataclass(frozen=True, slots=True)
class Past:
    """What is remembered of a key."""

    highest: int
    """Highest attempt that was admitted, 0 for none."""
    mask: int
    """Bits of the attempts that may have run, by attempt number."""
    strict: bool
    """Whether the key is non-idempotent."""


UNSEEN = Past(0, 0, False)


class KeyHistory:
    """Non-idempotent keys whose records were dropped; none is forgotten before its time.

    Whole generations expire at once, so that expiry costs nothing for each key.
    """

    def __init__(self, retention_s: float) -> None:
        """Start empty.

        Args:
            retention_s: Shortest time for which a key is kept, in seconds.
        """
        self._retention_s = retention_s
        self._span_s = retention_s / GENERATIONS
        self._generations: collections.deque[tuple[float, dict[int, int]]] = collections.deque()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def get(self, key_digest: int) -> Past | None:
        """Return what is remembered of a key, or None."""
        for _, packed_by_digest in self._generations:
            packed = packed_by_digest.get(key_digest)
            if packed is not None:
                return Past(packed & ATTEMPT_MASK, packed >> ATTEMPT_BITS, True)
        return None

    def add(self, now_s: float, key_digest: int, past: Past) -> None:
        """Remember a key that is not remembered yet."""
        if not self._generations or now_s - self._generations[-1][0] >= self._span_s:
            self._generations.append((now_s, {}))
        self._generations[-1][1][key_digest] = past.mask << ATTEMPT_BITS | past.highest
        self._count += 1

    def discard(self, key_digest: int) -> None:
        """Forget a key."""
        for _, packed_by_digest in self._generations:
            if packed_by_digest.pop(key_digest, None) is not None:
                self._count -= 1

    def expire(self, now_s: float) -> None:
        """Forget the keys that are older than the retention time."""
        generations = self._generations
        while generations and now_s - generations[0][0] >= self._retention_s + self._span_s:
            self._count -= len(generations.popleft()[1])


class AttemptFilter:
    """Set of attempts in constant memory.

    It may hold an attempt that was never added. A set of bounded size that is exact would have to
    forget attempts under load instead.
    """

    def __init__(self, bits: int, retention_s: float, forgets: bool) -> None:
        """Start empty.

        Args:
            bits: Size of each of two generations, a power of two and at least 64.
            retention_s: Shortest time for which an attempt is kept, in seconds.
            forgets: Whether the older generation is forgotten early when the newer one is full;
                otherwise the set comes to hold more and more foreign attempts.
        """
        self._words = bits // 64
        self._retention_s = retention_s
        self._capacity = bits // ITEM_BITS if forgets else None
        self._current = array.array("Q", bytes(bits // 8))
        self._previous = array.array("Q", bytes(bits // 8))
        self._count = 0
        self._since_s: float | None = None

    def add(self, now_s: float, key_digest: int, attempt: int, entry: str = "") -> None:
        """Add an attempt of one entry, or of any entry where the entry is left out."""
        self._rotate(now_s)
        value = hash((key_digest, attempt, zlib.crc32(entry.encode())))
        word = (value >> 24) % self._words
        self._current[word] |= _bits(value)
        self._count += 1

    def holds(self, now_s: float, key_digest: int, attempt: int, entry: str = "") -> bool:
        """Return whether an attempt may have been added."""
        if self._since_s is None:
            return False
        self._rotate(now_s)
        value = hash((key_digest, attempt, zlib.crc32(entry.encode())))
        word = (value >> 24) % self._words
        bits = _bits(value)
        return self._current[word] & bits == bits or self._previous[word] & bits == bits

    def _rotate(self, now_s: float) -> None:
        if self._since_s is None:
            self._since_s = now_s
            return
        age_s = now_s - self._since_s
        full = self._capacity is not None and self._count >= self._capacity
        if age_s >= self._retention_s or full:
            empty = array.array("Q", bytes(8 * self._words))
            self._previous = empty[:] if age_s >= 2 * self._retention_s else self._current
            self._current = empty
            self._count = 0
            self._since_s = now_s


class Memory:
    """What must outlive the records of a ledger."""

    def __init__(self, bits: int, retention_s: float, late_s: float) -> None:
        """Start empty.

        Args:
            bits: Size of a generation of each filter.
            retention_s: Time for which non-idempotent keys and revocations are kept, in seconds.
            late_s: Time for which other attempts are kept, in seconds.
        """
        self._history = KeyHistory(retention_s)
        self._ran = AttemptFilter(bits, late_s, forgets=True)
        self._revoked = AttemptFilter(bits, retention_s, forgets=False)
        self._declined_strict = AttemptFilter(bits, late_s, forgets=False)
        self._declined_loose = AttemptFilter(bits, late_s, forgets=True)

    @property
    def strict_keys(self) -> int:
        """Number of non-idempotent keys kept."""
        return len(self._history)

    def ran(self, now_s: float, key_digest: int, attempts: Iterable[int]) -> bool:
        """Return whether one of some attempts ran under an idempotent record that was dropped."""
        if not self._ran.holds(now_s, key_digest, 0):
            return False
        return any(self._ran.holds(now_s, key_digest, attempt) for attempt in attempts)

    def strict_past(self, key_digest: int) -> Past | None:
        """Return what is remembered of a non-idempotent key, or None."""
        return self._history.get(key_digest)

    def remember(self, now_s: float, key_digest: int, past: Past) -> None:
        """Remember a key whose record is dropped."""
        if past.strict:
            self._history.add(now_s, key_digest, past)
            return
        # Attempt 0 stands for the key: a key that never ran is mistaken only when both marks are.
        for attempt in range(past.highest + 1):
            if (past.mask | bool(past.mask)) >> attempt & 1:
                self._ran.add(now_s, key_digest, attempt)

    def discard(self, key_digest: int) -> None:
        """Forget a key that has a record again."""
        self._history.discard(key_digest)

    def expire(self, now_s: float) -> None:
        """Forget what is older than its retention time."""
        self._history.expire(now_s)

    def decline(
        self, now_s: float, key_digest: int, attempt: int, entry: str, strict: bool
    ) -> None:
        """Remember that an attempt must not run."""
        declined = self._declined_strict if strict else self._declined_loose
        declined.add(now_s, key_digest, attempt, entry)

    def declined(self, now_s: float, key_digest: int, attempt: int, entry: str) -> bool:
        """Return whether an attempt must not run."""
        return self._declined_strict.holds(
            now_s, key_digest, attempt, entry
        ) or self._declined_loose.holds(now_s, key_digest, attempt, entry)

    def revoke(self, now_s: float, key_digest: int, attempt: int) -> None:
        """Remember that an attempt of any entry must not run."""
        self._revoked.add(now_s, key_digest, attempt)

    def revoked(self, now_s: float, key_digest: int, attempt: int) -> bool:
        """Return whether an attempt was revoked."""
        return self._revoked.holds(now_s, key_digest, attempt)


def _bits(value: int) -> int:
    return (
        1 << (value & 63)
        | 1 << (value >> 6 & 63)
        | 1 << (value >> 12 & 63)
        | 1 << (value >> 18 & 63)
    )
