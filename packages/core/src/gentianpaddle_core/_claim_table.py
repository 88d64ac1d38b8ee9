"""Bounded table of the keys in a claim log: 16 bytes a key once a generation is sealed."""

from __future__ import annotations

import array
import bisect
import dataclasses
import enum
import hashlib

from gentianpaddle_core import ids

GENERATION_KEYS = 32_768
"""Keys after which a generation is sealed; sealing 65,536 keys took 130 ms."""
GENERATION_S = 6 * 3_600
"""Age at which a generation is sealed, and so the grain in which keys are forgotten."""
ATTEMPT_LIMIT = 1_023
POSITION_LIMIT = 1_023


class KeyKind(enum.IntEnum):
    """State of a key; a key without an entry is free."""

    HELD = 0
    UNKNOWN = 1
    DONE = 2
    RELEASED = 3


@dataclasses.dataclass(frozen=True, slots=True)
class KeyState:
    """State of a key and the record that gave it."""

    kind: KeyKind
    """State."""
    attempt: ids.Attempt
    """Attempt of the latest claim."""
    sequence: int
    """Batch that holds the latest effective record."""
    position: int
    """Position of that record in the batch."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Sealed:
    digests: array.array[int]
    locators: array.array[int]
    closed_unix_s: int

    def find(self, digest: int) -> int | None:
        index = bisect.bisect_left(self.digests, digest)
        if index < len(self.digests) and self.digests[index] == digest:
            return self.locators[index]
        return None


class KeyTable:
    """States by the 64-bit digest of a key, in generations that are dropped whole."""

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._open: dict[int, int] = {}
        self._opened_unix_s = 0
        self._sealed: list[_Sealed] = []

    def __len__(self) -> int:
        return len(self._open) + sum(len(sealed.digests) for sealed in self._sealed)

    def find(self, key: ids.RequestKey) -> KeyState | None:
        """Return the state of a key, None when it is free."""
        digest = _digest(key)
        locator = self._open.get(digest)
        for sealed in reversed(self._sealed):
            if locator is not None:
                break
            locator = sealed.find(digest)
        return None if locator is None else _unpacked(locator)

    def store(self, key: ids.RequestKey, state: KeyState, unix_s: int) -> None:
        """Set the state of a key at the time of its batch."""
        if not self._open:
            self._opened_unix_s = unix_s
        self._open[_digest(key)] = _packed(state)
        old = unix_s - self._opened_unix_s >= GENERATION_S
        if old or len(self._open) >= GENERATION_KEYS:
            self._seal(unix_s)

    def forget(self, unix_s: float) -> None:
        """Drop the generations whose last key is past the retention."""
        limit = unix_s - self._retention_s
        self._sealed = [sealed for sealed in self._sealed if sealed.closed_unix_s > limit]

    def _seal(self, unix_s: int) -> None:
        ordered = sorted(self._open)
        digests = array.array("Q", ordered)
        locators = array.array("Q", map(self._open.__getitem__, ordered))
        self._sealed.append(_Sealed(digests, locators, unix_s))
        self._open = {}


def _digest(key: ids.RequestKey) -> int:
    return int.from_bytes(hashlib.blake2b(key.encode(), digest_size=8).digest(), "big")


def _packed(state: KeyState) -> int:
    # 40 bits of sequence, 10 of position, 10 of attempt, 2 of kind.
    return (state.sequence << 22) | (state.position << 12) | (state.attempt << 2) | state.kind


def _unpacked(locator: int) -> KeyState:
    return KeyState(
        KeyKind(locator & 3),
        ids.Attempt((locator >> 2) & ATTEMPT_LIMIT),
        locator >> 22,
        (locator >> 12) & POSITION_LIMIT,
    )
