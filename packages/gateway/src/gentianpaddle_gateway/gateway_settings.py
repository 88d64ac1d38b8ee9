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
class GatewaySettings:
    """All sections of the file."""

    data_centre_traffic: DataCentreTraffic = DataCentreTraffic()


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Failure to read or decode the file."""

    reason: str
    """Names the file, the key and what is allowed."""


SECTIONS: dict[str, type] = {"data_centre_traffic": DataCentreTraffic}
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
            decoded[key] = value
        section_by_name[name] = section(**decoded)
    return GatewaySettings(**section_by_name)
