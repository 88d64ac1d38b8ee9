"""Structured logs: one line an event, as key=value or as JSON.

Only identifiers, figures and reasons are logged; request bodies and tokens never are.
"""

from __future__ import annotations

import json
import logging
import re
import sys
import typing

Field: typing.TypeAlias = str | int | float | bool | None
"""A value that a log line may carry."""

_PLAIN = re.compile(r"[^\s\"=\\]+")


class _Formatter(logging.Formatter):
    def __init__(self, vm: str, as_json: bool) -> None:
        super().__init__()
        self._vm = vm
        self._as_json = as_json

    def format(self, record: logging.LogRecord) -> str:
        fields: dict[str, Field] = {
            "time": self.formatTime(record, "%Y-%m-%dT%H:%M:%S") + f".{int(record.msecs):03d}",
            "level": record.levelname.lower(),
            "vm": self._vm,
            "event": record.getMessage(),
        }
        fields.update(getattr(record, "fields", {}))
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        if self._as_json:
            return json.dumps(fields)
        return " ".join(f"{key}={_value(value)}" for key, value in fields.items())


def _value(value: Field) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    return text if _PLAIN.fullmatch(text) else json.dumps(text)


def formatter(vm: str, as_json: bool) -> logging.Formatter:
    """Create the formatter of log lines.

    Args:
        vm: Name of this VM, written on each line.
        as_json: Whether lines are JSON rather than key=value pairs.

    Returns:
        The formatter.
    """
    return _Formatter(vm, as_json)


def set_up(vm: str, log_format: str, level: int = logging.INFO) -> None:
    """Send the logs of this process to standard error.

    Args:
        vm: Name of this VM, written on each line.
        log_format: `key-value` or `json`.
        level: Lowest level that is written.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter(vm, log_format == "json"))
    root = logging.getLogger("gentianpaddle")
    root.handlers[:] = [handler]
    root.setLevel(level)
    root.propagate = False


def event(logger: logging.Logger, name: str, level: int = logging.INFO, **fields: Field) -> None:
    """Write one log line.

    Args:
        logger: Logger of the module.
        name: Name of the event.
        level: Logging level.
        fields: Identifiers, figures and reasons.
    """
    if logger.isEnabledFor(level):
        logger.log(level, name, extra={"fields": fields})
