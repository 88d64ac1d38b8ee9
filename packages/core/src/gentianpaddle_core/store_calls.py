"""Calls of the object API as values.

Decision code returns these values instead of doing I/O; the caller performs them.
"""

from __future__ import annotations

import dataclasses
import typing

from gentianpaddle_core import object_api


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Conditional write of one object."""

    key: str
    """Full key."""
    value: bytes
    """New content."""
    expected_version: int
    """Version that the object must have for the write to take effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class Get:
    """Read of one object."""

    key: str
    """Full key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Range:
    """Read of several objects in key order."""

    prefix: str
    """Prefix of the keys to read."""
    after_key: str
    """Exclusive lower bound of the keys."""
    limit: int
    """Maximum number of objects."""


@dataclasses.dataclass(frozen=True, slots=True)
class Idle:
    """No call is due."""

    until_s: float
    """Monotonic time at which to ask again; infinite if only a new input can change that."""


Call: typing.TypeAlias = Put | Get | Range
"""Any call of the object API."""

CallResult: typing.TypeAlias = object_api.GetResult | object_api.PutResult | object_api.ListResult
"""Result of any call."""


def perform(call: Call, api: object_api.ObjectApi) -> CallResult:
    """Perform a call; blocks until the object API returns.

    Args:
        call: Call to perform.
        api: Object API that receives the call.

    Returns:
        Result of the call, to be passed back to the code that requested it.
    """
    match call:
        case Put(key, value, expected_version):
            return api.put(key, value, expected_version)
        case Get(key):
            return api.get(key)
        case Range(prefix, after_key, limit):
            return api.list_after(prefix, after_key, limit)
