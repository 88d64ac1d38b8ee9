"""Messages about crashes of backend servers between the fronts."""

from __future__ import annotations

import json
import typing
from collections.abc import Iterable

from gentianpaddle_core import ids
from gentianpaddle_core.serving import crash_records
from gentianpaddle_platform import decoding

_TYPE = b"C"
"""First byte of a message about crashes."""

MAX_CAUSE_LENGTH = 64
"""Maximum length of the identifier of a cause; longer ones are ignored."""


class CrashMessage(typing.NamedTuple):
    """Content of a message."""

    crashes: list[crash_records.Crash]
    trials: list[crash_records.Cause]
    """Suspects of which the sender has just sent a request."""


def encode(message: CrashMessage, now_s: float) -> bytes:
    """Encode a message.

    Args:
        message: The message.
        now_s: Monotonic time in seconds. Only ages are sent, as the clocks of VMs differ.
    """
    crashes = [
        [
            crash.server,
            round(now_s - crash.crashed_s, 3),
            sorted(crash.starting),
            sorted(crash.waiting),
            sorted(crash.fingerprints),
            sorted(crash.innocent),
        ]
        for crash in message.crashes
    ]
    return _TYPE + json.dumps([crashes, message.trials], separators=(",", ":")).encode()


def decode(data: bytes, now_s: float) -> CrashMessage | None:
    """Decode a message.

    Args:
        data: The message.
        now_s: Monotonic time in seconds.

    Returns:
        The message, or None if it is of another type or malformed.
    """
    if not data.startswith(_TYPE):
        return None
    try:
        encoded_crashes, trials = decoding.load_json(data[1:])
        crashes = []
        for server, age_s, starting, waiting, fingerprints, innocent in encoded_crashes:
            crash = crash_records.Crash(
                ids.BackendServerId(_text(server)), now_s - max(0.0, decoding.finite_float(age_s))
            )
            crash.starting = {crash_records.Cause(item) for item in _texts(starting)}
            crash.waiting = {crash_records.Cause(item) for item in _texts(waiting)}
            crash.fingerprints = {crash_records.Cause(item) for item in _texts(fingerprints)}
            crash.innocent = {crash_records.Cause(item) for item in _texts(innocent)}
            crashes.append(crash)
        return CrashMessage(crashes, [crash_records.Cause(item) for item in _texts(trials)])
    except decoding.ERRORS:
        return None


def _texts(items: typing.Any) -> Iterable[str]:
    return [_text(item) for item in list(items)[: crash_records.MAX_CAUSES]]


def _text(item: typing.Any) -> str:
    if not isinstance(item, str) or len(item) > MAX_CAUSE_LENGTH:
        raise TypeError(f"{item!r} is no identifier")
    return item
