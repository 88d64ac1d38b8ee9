"""Splits a `text/event-stream` body into complete events and detects gaps and duplicates."""

from __future__ import annotations

import dataclasses
import re

MAX_EVENT_BYTES = 1_048_576
"""Maximum size of an event. A body with a longer unterminated event is not an event stream."""

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One complete event."""

    data: bytes
    """Raw bytes, including the blank line that ends the event."""
    id: str | None
    """Value of the event's id field, or None without one."""


class InvalidStreamError(Exception):
    """An event is missing, or the body is not an event stream."""


class EventReader:
    """Parses a body into events and drops those that the caller already has.

    Args:
        last_id: Id of the last event that the caller received, or None for a new stream.
    """

    def __init__(self, last_id: str | None) -> None:
        self._buffer = b""
        self._last_id = last_id

    @property
    def last_id(self) -> str | None:
        """Id of the last event returned by `feed`, or the initial one."""
        return self._last_id

    @property
    def partial(self) -> bool:
        """Whether bytes of an incomplete event are buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Parse the next bytes of the body.

        Args:
            data: The next bytes.

        Returns:
            Complete events that the caller does not have yet, in order.

        Raises:
            InvalidStreamError: An event is missing, or an event exceeds `MAX_EVENT_BYTES`.
        """
        self._buffer += data
        events = []
        start = 0
        for end in _EVENT_END.finditer(self._buffer):
            event = self._parse_event(self._buffer[start : end.end()])
            start = end.end()
            if event is not None:
                events.append(event)
        self._buffer = self._buffer[start:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise InvalidStreamError(f"event not terminated within {MAX_EVENT_BYTES} bytes")
        return events

    def discard_partial(self) -> None:
        """Discard an incomplete event, as the next bytes come from another server."""
        self._buffer = b""

    def _parse_event(self, data: bytes) -> Event | None:
        id_match = _EVENT_ID.search(data)
        if id_match is None:
            return Event(data, None)
        event_id = id_match[1].decode("latin-1")
        last_number, new_number = _event_number(self._last_id), _event_number(event_id)
        if last_number is not None and new_number is not None:
            if new_number <= last_number:
                return None
            if new_number != last_number + 1:
                raise InvalidStreamError(f"missing event: {new_number} follows {last_number}")
        self._last_id = event_id
        return Event(data, event_id)


def _event_number(event_id: str | None) -> int | None:
    return int(event_id) if event_id is not None and event_id.isdecimal() else None
