"""Interface to the platform's object API.

Values are bytes of at most 1 MB. A version is a positive integer that grows with each write of a
key; version 0 means that the key does not exist.
"""

from __future__ import annotations

import dataclasses
import typing

VALUE_LIMIT_BYTES = 1_000_000
"""Maximum size of a value."""

ABSENT_VERSION = 0
"""Expected version of a write that must create the key."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """Object as stored by the object API."""

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
    """Full key that was read."""


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """The write took effect."""

    version: int
    """New version of the object."""


@dataclasses.dataclass(frozen=True, slots=True)
class VersionConflict:
    """The write did not take effect: the object does not have the expected version."""

    current_version: int
    """Current version of the object, 0 when it does not exist."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The object API did not process the call; a write did not take effect."""

    message: str
    """Description of the error."""


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseLost:
    """The response did not arrive, so it is unknown whether the write took effect."""

    message: str
    """Description of the error."""


GetResult: typing.TypeAlias = StoredObject | Absent | StoreUnavailable
"""Result of a read."""

PutResult: typing.TypeAlias = Written | VersionConflict | StoreUnavailable | ResponseLost
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
            The object, or the reason why it was not returned.
        """

    def put(self, key: str, value: bytes, expected_version: int) -> PutResult:
        """Write one object if it has the expected version.

        Args:
            key: Full key.
            value: New content, at most `VALUE_LIMIT_BYTES`.
            expected_version: Version the object must have; `ABSENT_VERSION` to create it.

        Returns:
            The new version, or the reason why the write failed or has an unknown outcome.
        """

    def list_after(self, prefix: str, after_key: str, limit: int) -> ListResult:
        """Read objects in key order.

        Args:
            prefix: Prefix of the keys to read.
            after_key: Exclusive lower bound of the keys; empty for all.
            limit: Maximum number of objects to return.

        Returns:
            Objects in key order; empty when no key matches.
        """

    def watch(self, key: str, known_version: int, wait_s: float) -> GetResult:
        """Wait until the version of an object exceeds the known one.

        Args:
            key: Full key.
            known_version: Version that the caller already has.
            wait_s: Maximum time to wait, in seconds.

        Returns:
            The newer object, or the current one once the wait has expired.
        """
