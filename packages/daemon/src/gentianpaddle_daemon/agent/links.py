"""Links from entries to this agent, with the queue of outgoing messages of each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from gentianpaddle_core import ids
from gentianpaddle_daemon.wire import messages_pb2 as pb

MAX_OUTGOING_MESSAGES = 8_192
"""Highest number of messages queued for one entry; a link whose queue is full is closed."""


class EntryLink:
    """Open stream between one entry and this agent.

    Attributes:
        entry: Entry at the other end.
        data_centre: Data centre of the entry.
        demand: Requests waiting or running at the entry for this backend server, as last reported.
        grant: Amount of the grant last sent to the entry.
        quarantine_version: Version of the crash records last sent to the entry.
    """

    def __init__(self, entry: ids.VmId, data_centre: ids.DataCentreId) -> None:
        self.entry = entry
        self.data_centre = data_centre
        self._closed = False
        self._close_callback: Callable[[], object] = lambda: None
        self.demand = 0
        self.grant = 0
        self.quarantine_version = 0
        self._outgoing: asyncio.Queue[pb.FromAgent] = asyncio.Queue(MAX_OUTGOING_MESSAGES)

    def send(self, message: pb.FromAgent) -> None:
        """Queue a message; closes the link when the queue is full.

        Args:
            message: Message for the entry.
        """
        if self._closed:
            return
        try:
            self._outgoing.put_nowait(message)
        except asyncio.QueueFull:
            self.close()

    def set_close_callback(self, callback: Callable[[], object]) -> None:
        """Set the callback that ends the stream when this side closes the link."""
        self._close_callback = callback

    def close(self) -> None:
        """Close the link and end its stream; later messages are dropped."""
        if not self._closed:
            self._closed = True
            self._close_callback()

    async def next_message(self) -> pb.FromAgent:
        """Wait for the next queued message and return it."""
        return await self._outgoing.get()

    def is_drained(self) -> bool:
        """Return whether the queue of outgoing messages is empty."""
        return self._outgoing.empty()


def new_entry_link(entry: ids.VmId, data_centre: ids.DataCentreId) -> EntryLink:
    """Create the link of a stream that an entry has just opened.

    Args:
        entry: Entry at the other end.
        data_centre: Data centre of the entry.

    Returns:
        An open link.
    """
    return EntryLink(entry, data_centre)
