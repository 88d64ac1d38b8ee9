"""Compact memory of keys and attempts for the ledger."""

from __future__ import annotations

import collections
import dataclasses
import hashlib

GENERATIONS = 8
"""Parts of the retention time; expiry is exact to one part and always late, never early."""
ATTEMPT_BITS = 7
ATTEMPT_MASK = (1 << ATTEMPT_BITS) - 1
PROBES = 4
"""Bits set for each item of a filter."""


def digest(text: str) -> int:
    """Return a 64-bit digest of a key."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def item(entry: str, key: str, attempt: int) -> str:
    """Return the text of an attempt for a filter; distinct for distinct attempts."""
    return f"{attempt}/{len(entry)}/{entry}/{key}"


class Tombstones:
    """Digests of keys with a small number each, kept for a retention time.

    Whole generations expire at once, which costs nothing for each entry.
    """

    def __init__(self, retention_s: float, generation_size: int | None = None) -> None:
        """Start empty.

        Args:
            retention_s: Shortest time for which an entry is kept, in seconds.
            generation_size: Largest number of entries in a generation, None for no bound.
        """
        self._retention_s = retention_s
        self._generation_size = generation_size
        self._span_s = retention_s / GENERATIONS
        self._generations: collections.deque[tuple[float, dict[int, int]]] = collections.deque()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def get(self, key_digest: int) -> int | None:
        """Return the number kept for a digest, or None."""
        for _, packed_by_digest in self._generations:
            packed = packed_by_digest.get(key_digest)
            if packed is not None:
                return packed
        return None

    def add(self, now_s: float, key_digest: int, packed: int) -> None:
        """Keep a number for a digest, in place of an earlier one."""
        self.discard(key_digest)
        if not self._generations or self._closed(now_s):
            self._generations.append((now_s, {}))
        self._generations[-1][1][key_digest] = packed
        self._count += 1

    def discard(self, key_digest: int) -> None:
        """Forget a digest."""
        for _, packed_by_digest in self._generations:
            if packed_by_digest.pop(key_digest, None) is not None:
                self._count -= 1

    def expire(self, now_s: float) -> None:
        """Forget what is older than the retention time."""
        while (
            self._generations
            and now_s - self._generations[0][0] >= self._retention_s + self._span_s
        ):
            self.drop_oldest()

    def drop_oldest(self) -> None:
        """Forget the oldest generation."""
        self._count -= len(self._generations.popleft()[1])

    def _closed(self, now_s: float) -> bool:
        since_s, packed_by_digest = self._generations[-1]
        size = self._generation_size
        return now_s - since_s >= self._span_s or (
            size is not None and len(packed_by_digest) >= size
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Past:
    """What is remembered of a key."""

    highest: int
    """Highest attempt that was admitted, 0 for none."""
    mask: int
    """Bits of the attempts that may have run, by attempt number."""
    strict: bool
    """Whether the key is non-idempotent."""


class KeyHistory:
    """Keys whose records were dropped."""

    def __init__(self, strict_s: float, loose_s: float, loose_count: int) -> None:
        """Start empty.

        Args:
            strict_s: Time for which non-idempotent keys are remembered, in seconds; all of them.
            loose_s: Time for which idempotent keys are remembered, in seconds.
            loose_count: Number of idempotent keys above which the oldest are forgotten.
        """
        self._strict = Tombstones(strict_s)
        self._loose = Tombstones(loose_s, max(1, loose_count // GENERATIONS))
        self._loose_count = loose_count

    @property
    def strict_count(self) -> int:
        """Number of non-idempotent keys remembered."""
        return len(self._strict)

    def get(self, key: str) -> Past:
        """Return what is remembered of a key."""
        key_digest = digest(key)
        packed = self._strict.get(key_digest)
        strict = packed is not None
        if packed is None:
            packed = self._loose.get(key_digest) or 0
        return Past(packed & ATTEMPT_MASK, packed >> ATTEMPT_BITS, strict)

    def add(self, now_s: float, key: str, past: Past) -> None:
        """Remember a key."""
        tombstones = self._strict if past.strict else self._loose
        tombstones.add(now_s, digest(key), past.mask << ATTEMPT_BITS | past.highest)
        while len(self._loose) > self._loose_count:
            self._loose.drop_oldest()

    def discard(self, key: str) -> None:
        """Forget a key."""
        key_digest = digest(key)
        self._strict.discard(key_digest)
        self._loose.discard(key_digest)

    def expire(self, now_s: float) -> None:
        """Forget the keys that are older than their retention time."""
        self._strict.expire(now_s)
        self._loose.expire(now_s)


class Filter:
    """Set of items in constant memory that never forgets one within the retention time.

    It may hold an item that was never added, which declines an attempt without need. A set of
    bounded size would have to forget items under load instead.
    """

    def __init__(self, bits: int, retention_s: float) -> None:
        """Start empty.

        Args:
            bits: Size of one generation, a power of two.
            retention_s: Shortest time for which an item is kept, in seconds.
        """
        self._mask = bits - 1
        self._retention_s = retention_s
        self._current = bytearray(bits // 8)
        self._previous = bytearray(bits // 8)
        self._since_s: float | None = None

    def add(self, now_s: float, item: str) -> None:
        """Add an item."""
        self._rotate(now_s)
        for bit in self._bits(item):
            self._current[bit >> 3] |= 1 << (bit & 7)

    def holds(self, now_s: float, item: str) -> bool:
        """Return whether an item may have been added."""
        self._rotate(now_s)
        bits = self._bits(item)
        return all(self._current[bit >> 3] >> (bit & 7) & 1 for bit in bits) or all(
            self._previous[bit >> 3] >> (bit & 7) & 1 for bit in bits
        )

    def _bits(self, item: str) -> tuple[int, ...]:
        value = digest(item)
        first, second = value & 0xFFFFFFFF, value >> 32 | 1
        return tuple((first + n * second) & self._mask for n in range(PROBES))

    def _rotate(self, now_s: float) -> None:
        if self._since_s is None:
            self._since_s = now_s
        elif now_s - self._since_s >= self._retention_s:
            idle = now_s - self._since_s >= 2 * self._retention_s
            size = len(self._current)
            self._previous = bytearray(size) if idle else self._current
            self._current = bytearray(size)
            self._since_s = now_s
