"""Interface to the platform's object API.

Values are bytes of at most 1 MB. A version is a positive integer that grows with each write of a
key; version 0 means that the key does not exist.
"""

from __future__ import annotations

import dataclasses
import typing

VALUE_LIMIT_BYTES = 1_000_000
"""Largest value that the object API holds."""

ABSENT_VERSION = 0
"""Expected version of a write that must create the key."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """One object as the object API holds it."""

    key: str
    """Full key."""
    value: bytes
    """Content."""
    version: int
    """Version of this content, 1 or more."""


@dataclasses.dataclass(frozen=True, slots=True)
class Absent:
    """The key does not exist."""

    key: str
    """Key that was asked for."""


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """The write took effect."""

    version: int
    """New version of the object."""


@dataclasses.dataclass(frozen=True, slots=True)
class VersionConflict:
    """The write did not take effect: the object has another version than expected."""

    current_version: int
    """Version that the object has, 0 when it does not exist."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The object API did not serve the call; a write did not take effect."""

    message: str
    """What went wrong."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerLost:
    """The call may have taken effect; its answer did not arrive."""

    message: str
    """What went wrong."""


GetResult: typing.TypeAlias = StoredObject | Absent | StoreUnavailable
"""Result of a read."""

PutResult: typing.TypeAlias = Written | VersionConflict | StoreUnavailable | AnswerLost
"""Result of a conditional write."""

ListResult: typing.TypeAlias = tuple[StoredObject, ...] | StoreUnavailable
"""Result of a range read."""


class ObjectApi(typing.Protocol):
    """Blocking calls of the object API; implementations are safe to call from any thread."""

    def get(self, key: str) -> GetResult:
        """Read one object.

        Args:
            key: Full key.

        Returns:
            The object, or why there is none.
        """

    def put(self, key: str, value: bytes, expected_version: int) -> PutResult:
        """Write one object if it has the expected version.

        Args:
            key: Full key.
            value: New content, at most `VALUE_LIMIT_BYTES`.
            expected_version: Version the object must have; `ABSENT_VERSION` to create it.

        Returns:
            The new version, or why the write did not or may not have taken effect.
        """

    def list_after(self, prefix: str, after_key: str, limit: int) -> ListResult:
        """Read objects in key order.

        Args:
            prefix: Only keys with this prefix.
            after_key: Only keys greater than this one; empty for all.
            limit: Largest number of objects to return.

        Returns:
            Objects in key order, possibly none.
        """

    def watch(self, key: str, known_version: int, wait_s: float) -> GetResult:
        """Wait until an object has a version above the known one.

        Args:
            key: Full key.
            known_version: Version that the caller has.
            wait_s: Longest wait in seconds.

        Returns:
            The newer object, or the present one after the wait.
        """
