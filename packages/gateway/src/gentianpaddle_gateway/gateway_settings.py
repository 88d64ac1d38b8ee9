"""Optional settings of gentianpaddle itself for its processes on a platform.

The settings file of the platform describes the VM. This file, in TOML, holds what an operator may
change in gentianpaddle; each section is a dataclass whose fields are its keys.
"""

from __future__ import annotations

import dataclasses
import math
import os
import tomllib
import typing

PATH_VARIABLE = "GENTIANPADDLE_SETTINGS"
"""Environment variable that holds the path of the file. Without it, all defaults apply."""


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentreTraffic:
    """Section `[data_centre_traffic]`: when requests leave their data centre."""

    enabled: bool = False
    """Whether the expected times and costs decide; otherwise a fixed penalty applies."""
    cost_per_gb: float = 0.0
    """Cost of a gigabyte between data centres, relative to one request served on time."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Section `[caller_limits]`: what the callers of all ports of a process may use together.

    How fast callers send needs no key: heads and bodies have to arrive within `headerTimeoutMs`.
    """

    connections: int = dataclasses.field(default=8_192, metadata={"range": (8, 1_000_000)})
    """Maximum number of connections, if memory and descriptors allow as many. The default is the
    largest number of descriptors of a VM."""
    header_fields: int = dataclasses.field(default=256, metadata={"range": (16, 100_000)})
    """Maximum number of header fields of a request. A field needs about 200 bytes once it is
    parsed, however short it is; browsers and client libraries send fewer than 50."""
    read_ahead_bytes: int = dataclasses.field(default=16_384, metadata={"range": (1_024, 262_144)})
    """Number of bytes of pipelined requests that are read while a request is in progress; as many
    as the head of one request may have."""
    small_body_bytes: int = dataclasses.field(
        default=65_536, metadata={"range": (16_384, 4_194_304)}
    )
    """Size up to which a body may use the reserve. Prompts of chats are a few kilobytes."""
    memory_share: float = dataclasses.field(default=0.75, metadata={"range": (0.1, 1.0)})
    """Share of the memory of the VM beyond that of the process at rest that callers may use. The
    rest covers fragmentation and copies of single parts."""
    body_wait_s: float = dataclasses.field(default=1.0, metadata={"range": (0.0, 60.0)})
    """Time in seconds that a large body waits for memory before it is refused; about as long as
    callers wait for the first byte of an answer."""
    stall_s: float = dataclasses.field(default=0.25, metadata={"range": (0.01, 60.0)})
    """Time in seconds without a byte after which a caller may be evicted if others need its memory.
    A retransmission between two data centres takes less."""
    unread_s: float = dataclasses.field(default=10.0, metadata={"range": (0.1, 3_600.0)})
    """Time in seconds over which a caller for which bytes wait has to read
    `min_read_bytes_per_s`. Longer than callers wait for a pause in an answer."""
    min_read_bytes_per_s: float = dataclasses.field(default=256.0, metadata={"range": (0.0, 1e9)})
    """Mean number of bytes that such a caller has to read per second; below the rate of the
    slowest modem."""


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """All sections of the file."""

    data_centre_traffic: DataCentreTraffic = DataCentreTraffic()
    caller_limits: CallerLimits = CallerLimits()


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Failure to read or decode the file."""

    reason: str
    """Names the file, the key and what is allowed."""


SECTIONS: dict[str, type] = {
    "data_centre_traffic": DataCentreTraffic,
    "caller_limits": CallerLimits,
}
"""Dataclass of each section."""


def load(path: str | None = None) -> GatewaySettings | Rejected:
    """Read the file.

    Args:
        path: File to read; by default the one that `PATH_VARIABLE` names, if any.

    Returns:
        The settings, or the reason why they cannot be used.
    """
    path = path or os.environ.get(PATH_VARIABLE)
    if not path:
        return GatewaySettings()
    try:
        with open(path, "rb") as file:
            document = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        return Rejected(f"{path}: {error}")
    decoded = decode(document)
    return Rejected(f"{path}: {decoded.reason}") if isinstance(decoded, Rejected) else decoded


def decode(document: dict[str, typing.Any]) -> GatewaySettings | Rejected:
    """Decode the content of the file.

    Args:
        document: Parsed TOML.

    Returns:
        The settings, or a rejection that names the first key that is unknown or has a value that is
        not allowed.
    """
    section_by_name: dict[str, typing.Any] = {}
    for name, values in document.items():
        section = SECTIONS.get(name)
        if section is None or not isinstance(values, dict):
            return Rejected(f"{name} is not a section; allowed: {', '.join(SECTIONS)}")
        default_by_key = {field.name: field.default for field in dataclasses.fields(section)}
        range_by_key = {
            field.name: field.metadata.get("range") for field in dataclasses.fields(section)
        }
        decoded: dict[str, typing.Any] = {}
        for key, value in values.items():
            if key not in default_by_key:
                return Rejected(f"{name}.{key} is unknown; allowed: {', '.join(default_by_key)}")
            expected = type(default_by_key[key])
            if expected is float and type(value) is int:
                value = float(value)
            if type(value) is not expected:
                return Rejected(f"{name}.{key} must be of type {expected.__name__}")
            if isinstance(value, int | float) and not 0 <= value < math.inf:
                return Rejected(f"{name}.{key} must be a finite number, 0 or more")
            allowed = range_by_key[key]
            if allowed is not None and not allowed[0] <= value <= allowed[1]:
                return Rejected(f"{name}.{key} must be in {allowed[0]} to {allowed[1]}")
            decoded[key] = value
        section_by_name[name] = section(**decoded)
    return GatewaySettings(**section_by_name)
