"""Structured logs: one line for each event, as key=value pairs or as JSON.

Fields hold only identifiers, numbers and reasons, never request bodies or tokens.
"""

from __future__ import annotations

import json
import logging
import re
import sys
import typing

Field: typing.TypeAlias = str | int | float | bool | None
"""Type of the value of a log field."""

_UNQUOTED_VALUE = re.compile(r"[^\s\"=\\]+")


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
        return " ".join(f"{key}={_format_value(value)}" for key, value in fields.items())


def _format_value(value: Field) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    return text if _UNQUOTED_VALUE.fullmatch(text) else json.dumps(text)


def new_formatter(vm: str, as_json: bool) -> logging.Formatter:
    """Create the formatter of log lines.

    Args:
        vm: Name of this VM, written on each line.
        as_json: Whether lines are JSON rather than key=value pairs.

    Returns:
        A formatter that writes the event, its fields and the exception, if any.
    """
    return _Formatter(vm, as_json)


def configure_logging(vm: str, log_format: str, level: int = logging.INFO) -> None:
    """Configure the logger `gentianpaddle` to write to standard error.

    Args:
        vm: Name of this VM, written on each line.
        log_format: `key-value` or `json`.
        level: Lowest level to write.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(new_formatter(vm, log_format == "json"))
    root = logging.getLogger("gentianpaddle")
    root.handlers[:] = [handler]
    root.setLevel(level)
    root.propagate = False


def event(logger: logging.Logger, name: str, level: int = logging.INFO, **fields: Field) -> None:
    """Log one event.

    Args:
        logger: Logger of the calling module.
        name: Name of the event.
        level: Logging level.
        fields: Fields of the log line: identifiers, numbers and reasons.
    """
    if logger.isEnabledFor(level):
        logger.log(level, name, extra={"fields": fields})
