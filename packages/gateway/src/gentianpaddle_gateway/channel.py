"""Byte channel over TCP for both directions, with flow control and news of its end."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

READ_BUFFER_BYTES = 262_144
"""Received and unread bytes at which reading pauses; memory of a VM counts them."""

KEEP_ALIVE_IDLE_S = 5
"""Silence after which the kernel probes a peer. Requests have time-outs of their own; this frees
the descriptors of callers that vanished."""

KEEP_ALIVE_INTERVAL_S = 1
"""Pause between probes; a connection that went silent is found about 1 s after the time-out below,
before a watch of the store would end by itself."""

UNACKNOWLEDGED_TIMEOUT_MS = 5_000
"""Time after which unacknowledged bytes end a connection whose peer has gone silent."""


class ChannelClosedError(Exception):
    """The peer reset or closed the connection, or it was closed here."""


class Channel(asyncio.Protocol):
    """One TCP connection.

    Args:
        accepted: Called once a connection is accepted; None for connections made from here.
    """

    def __init__(self, accepted: Callable[[Channel], None] | None = None) -> None:
        self._accepted = accepted
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._waiter: asyncio.Future[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._reading = True
        self.ended = False
        """Whether the peer has sent its last byte in an orderly way."""
        self.closed = False
        """Whether the connection is gone."""
        self.on_closed: Callable[[], None] | None = None
        """Called when the peer is gone."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.Protocol`."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        connection: socket.socket = transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
        connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
        )
        if self._accepted is not None:
            self._accepted(self)

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        self._buffer += data
        if len(self._buffer) > READ_BUFFER_BYTES and self._reading and self._transport:
            self._reading = False
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """See `asyncio.Protocol`."""
        self.ended = True
        self._wake()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """See `asyncio.Protocol`."""
        self.closed = True
        self._writable.set()
        self._wake()
        if self.on_closed is not None:
            self.on_closed()

    def pause_writing(self) -> None:
        """See `asyncio.Protocol`."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """See `asyncio.Protocol`."""
        self._writable.set()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    @property
    def pending(self) -> bool:
        """Whether received bytes wait to be read."""
        return bool(self._buffer)

    async def read(self) -> bytes:
        """Wait for bytes.

        Returns:
            What has arrived; empty at an orderly end.

        Raises:
            ChannelClosedError: The connection ended in any other way.
        """
        while not self._buffer:
            if self.ended:
                return b""
            if self.closed:
                raise ChannelClosedError
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        data = bytes(self._buffer)
        self._buffer.clear()
        if not self._reading and self._transport is not None and not self.closed:
            self._reading = True
            self._transport.resume_reading()
        return data

    async def write(self, data: bytes) -> None:
        """Send bytes; waits while the peer does not read.

        Args:
            data: Bytes to send.

        Raises:
            ChannelClosedError: The connection is gone.
        """
        if self.closed or self._transport is None:
            raise ChannelClosedError
        if data:
            self._transport.write(data)
        if not self._writable.is_set():
            await self._writable.wait()
            if self.closed:
                raise ChannelClosedError

    def close(self) -> None:
        """Close in an orderly way after what was written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()


async def connect(address: str, timeout_s: float) -> Channel | None:
    """Connect to an address.

    Args:
        address: Host and port.
        timeout_s: Longest wait.

    Returns:
        The connection, or None when there is none within that time.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, channel = await loop.create_connection(Channel, host, int(port))
    except (OSError, TimeoutError, ValueError):
        return None
    return channel
