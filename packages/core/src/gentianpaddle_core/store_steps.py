"""Calls of the object API as values, so that decisions can ask for them without doing I/O."""

from __future__ import annotations

import dataclasses
import typing

from gentianpaddle_core import object_api


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Conditional write to do."""

    key: str
    """Full key."""
    value: bytes
    """Content."""
    expected_version: int
    """Version that the object must have."""


@dataclasses.dataclass(frozen=True, slots=True)
class Get:
    """Read to do."""

    key: str
    """Full key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Range:
    """Range read to do."""

    prefix: str
    """Only keys with this prefix."""
    after_key: str
    """Only keys greater than this one."""
    limit: int
    """Largest number of objects."""


@dataclasses.dataclass(frozen=True, slots=True)
class Idle:
    """Nothing to do."""

    until_s: float
    """Monotonic time at which to ask again, infinite when only an input changes that."""


Call: typing.TypeAlias = Put | Get | Range
"""A call to do."""

CallResult: typing.TypeAlias = object_api.GetResult | object_api.PutResult | object_api.ListResult
"""Result of a call."""


def perform(call: Call, api: object_api.ObjectApi) -> CallResult:
    """Do a call.

    Args:
        call: What to do.
        api: Object API to do it with; blocks as that does.

    Returns:
        Its result, to be fed back to the decision that asked for it.
    """
    match call:
        case Put(key, value, expected_version):
            return api.put(key, value, expected_version)
        case Get(key):
            return api.get(key)
        case Range(prefix, after_key, limit):
            return api.list_after(prefix, after_key, limit)
