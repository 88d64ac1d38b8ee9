"""Transfer of one answer from the event loop to the thread that serves the caller."""

from __future__ import annotations

import dataclasses
import queue
import threading
import typing
from collections.abc import Callable

from gentianpaddle_core import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class Piece:
    """A part of the answer body."""

    data: bytes
    """Bytes that follow those of the previous piece."""


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Outcome of the request; the last event."""

    outcome: outcomes.Outcome
    """Outcome that the caller receives."""


Event: typing.TypeAlias = Piece | Finish
"""Event that the serving thread receives."""


class AnswerSink:
    """Queue of events from the event loop to one serving thread.

    The size of an answer is bounded by the dispatcher, so the queue needs no bound of its own.
    """

    def __init__(self) -> None:
        self._events: queue.SimpleQueue[Event] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._on_abandon: Callable[[], None] | None = None
        self._finished = False
        self._abandoned = False

    def put(self, event: Event) -> None:
        """Append an event; called on the event loop."""
        if isinstance(event, Finish):
            with self._lock:
                self._finished = True
        self._events.put(event)

    def get(self, timeout_s: float) -> Event | None:
        """Wait for the next event; called from the serving thread.

        Args:
            timeout_s: Longest wait in seconds.

        Returns:
            The event, None on a timeout.
        """
        try:
            return self._events.get(timeout=timeout_s)
        except queue.Empty:
            return None

    def on_abandon(self, callback: Callable[[], None]) -> None:
        """Set the callback for a caller that disconnects before the end.

        It is called at once if that has already happened.
        """
        with self._lock:
            self._on_abandon = callback
            abandoned = self._abandoned
        if abandoned:
            callback()

    def abandon(self) -> None:
        """Report that the caller disconnected; has no effect after the end."""
        with self._lock:
            if self._finished or self._abandoned:
                return
            self._abandoned = True
            callback = self._on_abandon
        if callback is not None:
            callback()


def new_sink() -> AnswerSink:
    """Create the sink of one request.

    Returns:
        An empty sink.
    """
    return AnswerSink()
