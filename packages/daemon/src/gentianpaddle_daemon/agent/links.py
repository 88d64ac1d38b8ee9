"""Streams of entries to this agent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from gentianpaddle_core import ids
from gentianpaddle_daemon.wire import messages_pb2 as pb

OUTGOING_LIMIT = 8_192
"""Messages that wait for one entry; a link that does not drain them is closed."""


class EntryLink:
    """One open stream of an entry."""

    def __init__(self, entry: ids.VmId, data_centre: ids.DataCentreId) -> None:
        self.entry = entry
        self.data_centre = data_centre
        self._closed = False
        self._on_close: Callable[[], object] = lambda: None
        self.demand = 0
        self.grant = 0
        self.crash_version = 0
        self._outgoing: asyncio.Queue[pb.FromAgent] = asyncio.Queue(OUTGOING_LIMIT)

    def send(self, message: pb.FromAgent) -> None:
        """Queue a message; an entry that does not read loses its link.

        Args:
            message: Message for the entry.
        """
        if self._closed:
            return
        try:
            self._outgoing.put_nowait(message)
        except asyncio.QueueFull:
            self.close()

    def on_close(self, callback: Callable[[], object]) -> None:
        """Set what ends the stream when the link is closed from this side."""
        self._on_close = callback

    def close(self) -> None:
        """End the stream; further messages are dropped."""
        if not self._closed:
            self._closed = True
            self._on_close()

    async def next_message(self) -> pb.FromAgent:
        """Wait for the next message to send."""
        return await self._outgoing.get()

    def drained(self) -> bool:
        """Return whether nothing waits to be sent."""
        return self._outgoing.empty()


def new_entry_link(entry: ids.VmId, data_centre: ids.DataCentreId) -> EntryLink:
    """Create the link of a stream that was just opened.

    Args:
        entry: Entry at the other end.
        data_centre: Its data centre.

    Returns:
        An open link.
    """
    return EntryLink(entry, data_centre)
