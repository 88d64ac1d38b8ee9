"""Bidirectional byte channel over TCP with flow control and a callback on close."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

READ_BUFFER_BYTES = 262_144
"""Number of received, unread bytes above which reading from the socket is paused. Bounds the memory
per connection."""

KEEP_ALIVE_IDLE_S = 5
"""Idle time after which the kernel sends keep-alive probes. Requests have their own time-outs; the
probes free the descriptors of callers that disappeared without closing their connections."""

KEEP_ALIVE_INTERVAL_S = 1
"""Interval between keep-alive probes. `UNACKNOWLEDGED_TIMEOUT_MS` also applies to probes: the
kernel closes a dead idle connection when the first probe is due after that time-out, which is about
1 s after it and before a watch of the store would end by itself."""

UNACKNOWLEDGED_TIMEOUT_MS = 5_000
"""Time after which a connection with unacknowledged bytes or probes is closed
(TCP_USER_TIMEOUT)."""


class ChannelClosedError(Exception):
    """The connection was closed or reset, by the peer or by this process."""


class Channel(asyncio.Protocol):
    """One TCP connection.

    Args:
        on_accepted: Called when an incoming connection is accepted; None for outgoing connections.
    """

    def __init__(self, on_accepted: Callable[[Channel], None] | None = None) -> None:
        self._on_accepted = on_accepted
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._read_waiter: asyncio.Future[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._reading_enabled = True
        self.at_eof = False
        """Whether the peer has closed its sending side (end of file)."""
        self.closed = False
        """Whether the connection has been lost or closed."""
        self.on_closed: Callable[[], None] | None = None
        """Called when the connection has been lost or closed."""

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
        if self._on_accepted is not None:
            self._on_accepted(self)

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        self._buffer += data
        if len(self._buffer) > READ_BUFFER_BYTES and self._reading_enabled and self._transport:
            self._reading_enabled = False
            self._transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """See `asyncio.Protocol`."""
        self.at_eof = True
        self._wake_reader()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """See `asyncio.Protocol`."""
        self.closed = True
        self._writable.set()
        self._wake_reader()
        if self.on_closed is not None:
            self.on_closed()

    def pause_writing(self) -> None:
        """See `asyncio.Protocol`."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """See `asyncio.Protocol`."""
        self._writable.set()

    def _wake_reader(self) -> None:
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)

    @property
    def has_unread_data(self) -> bool:
        """Whether there are received bytes that have not been read."""
        return bool(self._buffer)

    @property
    def has_unsent_data(self) -> bool:
        """Whether there are bytes to be sent that the kernel has not taken yet."""
        return (
            self._transport is not None
            and not self.closed
            and self._transport.get_write_buffer_size() > 0
        )

    async def read(self) -> bytes:
        """Wait for bytes and return all that have been received.

        Returns:
            Received bytes; empty at end of file.

        Raises:
            ChannelClosedError: The connection was lost before the end of file.
        """
        while not self._buffer:
            if self.at_eof:
                return b""
            if self.closed:
                raise ChannelClosedError
            self._read_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._read_waiter
            finally:
                self._read_waiter = None
        data = bytes(self._buffer)
        self._buffer.clear()
        if not self._reading_enabled and self._transport is not None and not self.closed:
            self._reading_enabled = True
            self._transport.resume_reading()
        return data

    async def write(self, data: bytes) -> None:
        """Send bytes, waiting while the write buffer is full.

        Args:
            data: Bytes to send.

        Raises:
            ChannelClosedError: The connection has been lost or closed.
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
        """Close the connection after the buffered bytes have been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once and discard buffered bytes."""
        if self._transport is not None:
            self._transport.abort()


async def connect(address: str, timeout_s: float) -> Channel | None:
    """Connect to an address.

    Args:
        address: Host and port.
        timeout_s: Time after which the attempt is abandoned.

    Returns:
        The connection, or None if it failed or was not established within the time-out.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, channel = await loop.create_connection(Channel, host, int(port))
    except (OSError, TimeoutError, ValueError):
        return None
    return channel
