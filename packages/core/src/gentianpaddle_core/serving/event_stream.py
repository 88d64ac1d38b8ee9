"""Whole events of a `text/event-stream` body, and the check that none is missing or doubled."""

from __future__ import annotations

import dataclasses
import re

EVENT_LIMIT_BYTES = 1_048_576
"""Longest event; more without an end is no event stream."""

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One whole event."""

    data: bytes
    """Bytes with the empty line that ends it."""
    id: str | None


class OutOfOrderError(Exception):
    """An event is missing, or the stream is no event stream."""


class EventReader:
    """Cuts a body into events and drops those that the caller has.

    Args:
        last_id: Event after which the stream goes on, or None for a new stream.
    """

    def __init__(self, last_id: str | None) -> None:
        self._buffer = b""
        self._last_id = last_id

    @property
    def last_id(self) -> str | None:
        """Id of the last event that was returned."""
        return self._last_id

    @property
    def partial(self) -> bool:
        """Whether bytes of an unfinished event are held."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Take bytes of the body.

        Args:
            data: The next bytes.

        Returns:
            Events that are complete and new, in order.

        Raises:
            OutOfOrderError: An event is missing or never ends.
        """
        self._buffer += data
        events = []
        start = 0
        for end in _END.finditer(self._buffer):
            event = self._event(self._buffer[start : end.end()])
            start = end.end()
            if event is not None:
                events.append(event)
        self._buffer = self._buffer[start:]
        if len(self._buffer) > EVENT_LIMIT_BYTES:
            raise OutOfOrderError(f"no event ends within {EVENT_LIMIT_BYTES} bytes")
        return events

    def resume(self) -> None:
        """Drop an unfinished event; the next bytes come from another server."""
        self._buffer = b""

    def _event(self, data: bytes) -> Event | None:
        found = _ID.search(data)
        if found is None:
            return Event(data, None)
        event_id = found[1].decode("latin-1")
        known, new = _number(self._last_id), _number(event_id)
        if known is not None and new is not None:
            if new <= known:
                return None
            if new != known + 1:
                raise OutOfOrderError(f"event {new} follows {known}")
        self._last_id = event_id
        return Event(data, event_id)


def _number(event_id: str | None) -> int | None:
    return int(event_id) if event_id is not None and event_id.isdecimal() else None
