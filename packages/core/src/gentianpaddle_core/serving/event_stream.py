"""Splits a `text/event-stream` body into complete events and detects gaps and duplicates."""

from __future__ import annotations

import dataclasses
import re

MAX_EVENT_BYTES = 262_144
"""Maximum size of an event. A body with a longer unterminated event is not an event stream."""

MAX_UNNUMBERED_BYTES = 65_536
"""Maximum size of all events without an id between two events with one. A body with more of them is
not a stream of events that can be resumed or checked for gaps."""

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_FIELD = re.compile(rb"(?:^|[\r\n])[^:\r\n]")
"""Matches a line that is no comment."""
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One complete event."""

    data: bytes
    """Raw bytes, including the blank line that ends the event."""
    id: str | None
    """Value of the event's id field, or None without one."""


class EventReader:
    """Parses a body into events and drops those that the caller already has.

    Args:
        last_id: Id of the last event that the caller received, or None for a new stream.
    """

    def __init__(self, last_id: str | None) -> None:
        self._buffer = bytearray()
        self._searched_bytes = 0
        """Number of buffered bytes that contain no end of an event."""
        self._unnumbered_bytes = 0
        self._last_id = last_id
        self._previous_id: str | None = None
        """Id of the previous event of the present body, also of one that was dropped."""
        self._last_id_confirmed = True
        """Whether `last_id` is the caller's or followed on another id."""
        self._last_id_stated = True
        """Whether `last_id` is what the caller stated."""
        self._ends_unnumbered = False
        """Whether the last event returned by `feed` has no id."""
        self._violation: str | None = None
        self._last_id_doubtful = False

    @property
    def last_id(self) -> str | None:
        """Id of the last event returned by `feed`, or the initial one."""
        return self._last_id

    @property
    def partial(self) -> bool:
        """Whether bytes of an incomplete event are buffered."""
        return bool(self._buffer)

    @property
    def violation(self) -> str | None:
        """Why the rest of the body cannot be used, or None if it can.

        The ids of two events do not follow on each other, an event exceeds `MAX_EVENT_BYTES`, or
        events without an id exceed `MAX_UNNUMBERED_BYTES`.
        """
        return self._violation

    @property
    def resumable(self) -> bool:
        """Whether another server can continue after the events returned by `feed`.

        Otherwise an event could be missing or come twice: the last event has no id, or its id may
        be wrong.
        """
        return not self._ends_unnumbered and not self._last_id_doubtful

    def feed(self, data: bytes) -> list[Event]:
        """Parse the next bytes of the body.

        Args:
            data: The next bytes.

        Returns:
            Complete events that the caller does not have yet, in order, up to the first violation.
            Comments are dropped.
        """
        if self._violation is not None:
            return []
        self._buffer += data
        events = []
        start = 0
        # The end of an event may have begun in the bytes that were searched before.
        for end in _EVENT_END.finditer(self._buffer, max(0, self._searched_bytes - 3)):
            event = self._parse_event(bytes(self._buffer[start : end.end()]))
            start = end.end()
            if self._violation is not None:
                # The events before this one are still passed on, as `last_id` counts them.
                break
            if event is not None:
                events.append(event)
        del self._buffer[:start]
        self._searched_bytes = len(self._buffer)
        if self._violation is None and len(self._buffer) > MAX_EVENT_BYTES:
            self._violation = f"event not terminated within {MAX_EVENT_BYTES} bytes"
        return events

    def start_body(self) -> None:
        """Prepare for the body of another server, which continues after `last_id`."""
        self._buffer.clear()
        self._searched_bytes = 0
        self._unnumbered_bytes = 0
        self._previous_id = None
        self._violation = None

    def _parse_event(self, data: bytes) -> Event | None:
        """Return an event that the caller does not have yet, or None; may set the violation."""
        id_match = _EVENT_ID.search(data)
        if id_match is None:
            self._unnumbered_bytes += len(data)
            if self._unnumbered_bytes > MAX_UNNUMBERED_BYTES:
                self._violation = f"no event id within {MAX_UNNUMBERED_BYTES} bytes"
                return None
            if _EVENT_FIELD.search(data) is None:
                return None
            self._ends_unnumbered = True
            return Event(data, None)
        self._unnumbered_bytes = 0
        event_id = id_match[1].decode("latin-1")
        previous_id = self._previous_id if self._previous_id is not None else self._resumed_after()
        is_first = self._previous_id is None
        self._previous_id = event_id
        if is_first and _is_repeated(event_id, self._last_id):
            # A server may send events once more that precede the point of resumption.
            return None
        if previous_id is not None and not _follows(event_id, previous_id):
            self._violation = f"event {event_id[:20]} follows {previous_id[:20]}"
            # Either id may be the wrong one.
            self._last_id_doubtful = not self._last_id_confirmed
            return None
        if _is_repeated(event_id, self._last_id):
            return None
        self._last_id_confirmed = previous_id is not None
        self._ends_unnumbered = False
        self._last_id = event_id
        self._last_id_stated = False
        return Event(data, event_id)

    def _resumed_after(self) -> str | None:
        """Return the id that the first event of a body must follow, or None for any."""
        if self._last_id_stated and _event_number(self._last_id) is None:
            # Callers may state an id that no server has sent.
            return None
        return self._last_id


def _follows(event_id: str, previous_id: str) -> bool:
    """Return whether ids may follow on each other; only numbers can be compared."""
    number, previous = _event_number(event_id), _event_number(previous_id)
    if number is None or previous is None:
        return number is previous
    return number == previous + 1


def _is_repeated(event_id: str, last_id: str | None) -> bool:
    number, last = _event_number(event_id), _event_number(last_id)
    return number is not None and last is not None and number <= last


def _event_number(event_id: str | None) -> int | None:
    return int(event_id) if event_id is not None and event_id.isdecimal() else None
