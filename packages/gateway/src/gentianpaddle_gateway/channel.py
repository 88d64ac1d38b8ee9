"""Bidirectional byte channel over TCP with flow control and a callback on close."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

READ_BUFFER_BYTES = 262_144
"""Number of received, unread bytes above which reading from the socket is paused. Bounds the memory
per connection."""

MAX_READ_BYTES = 65_536
"""Maximum number of bytes of one read from a socket."""

WRITE_PART_BYTES = 16_384
"""Size of the parts in which `Channel.write_large` sends."""

_READ_AREA = memoryview(bytearray(MAX_READ_BYTES))
"""Area for all reads of the process. Bytes are copied from it before the next read, so that no
connection needs an area of its own."""

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


class ReadInterruptedError(Exception):
    """This process has called `Channel.interrupt`."""


class Channel(asyncio.BufferedProtocol):
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
        self._interrupted = False
        self._written_bytes = 0
        self.buffer_limit_bytes = READ_BUFFER_BYTES
        """Number of received, unread bytes from which on nothing is read from the socket."""
        self._discard_limit_bytes: int | None = None
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

    def get_buffer(self, sizehint: int) -> memoryview:
        """See `asyncio.BufferedProtocol`."""
        # Reading is paused when the limit has been reached, so there is space for a byte.
        return _READ_AREA[: max(1, self.buffer_limit_bytes - len(self._buffer))]

    def buffer_updated(self, nbytes: int) -> None:
        """See `asyncio.BufferedProtocol`."""
        if self._discard_limit_bytes is not None:
            self._discard_limit_bytes -= nbytes
            if self._discard_limit_bytes <= 0:
                self._pause_reading()
            return
        self._buffer += _READ_AREA[:nbytes]
        if len(self._buffer) >= self.buffer_limit_bytes:
            self._pause_reading()
        self._wake_reader()

    def _pause_reading(self) -> None:
        if self._reading_enabled and self._transport is not None:
            self._reading_enabled = False
            self._transport.pause_reading()

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
    def unread_bytes(self) -> int:
        """Number of received bytes that have not been read."""
        return len(self._buffer)

    @property
    def has_unsent_data(self) -> bool:
        """Whether there are bytes to be sent that the kernel has not taken yet."""
        return (
            self._transport is not None
            and not self.closed
            and self._transport.get_write_buffer_size() > 0
        )

    @property
    def read_by_peer_bytes(self) -> int:
        """Number of written bytes that the kernel has taken to send them."""
        if self._transport is None or self.closed:
            return self._written_bytes
        return self._written_bytes - self._transport.get_write_buffer_size()

    async def read(self, limit_bytes: int | None = None) -> bytes:
        """Wait for bytes and return those that have been received.

        Args:
            limit_bytes: Maximum number of bytes to return, or None for all.

        Returns:
            Received bytes; empty at end of file.

        Raises:
            ChannelClosedError: The connection was lost before the end of file.
            ReadInterruptedError: `interrupt` was called.
        """
        while not self._buffer or self._interrupted:
            if self._interrupted:
                raise ReadInterruptedError
            if self.at_eof:
                return b""
            if self.closed:
                raise ChannelClosedError
            self._read_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._read_waiter
            finally:
                self._read_waiter = None
        if limit_bytes is None or limit_bytes >= len(self._buffer):
            data = bytes(self._buffer)
            self._buffer.clear()
        else:
            data = bytes(self._buffer[:limit_bytes])
            del self._buffer[:limit_bytes]
        self._resume_reading()
        return data

    def unread(self, data: bytes) -> None:
        """Put bytes back, so that they are read next.

        Args:
            data: The bytes, which were the last ones to be read.
        """
        self._buffer[:0] = data

    def discard_all(self, limit_bytes: int) -> None:
        """Drop the bytes that have been received and those that will be.

        Args:
            limit_bytes: Number of bytes after which nothing is read any more.
        """
        self._discard_limit_bytes = limit_bytes
        self._interrupted = False
        self._buffer.clear()
        self._resume_reading()

    def interrupt(self) -> None:
        """Make the present and all later calls of `read` fail, and drop what has been received."""
        self._interrupted = True
        self._buffer.clear()
        self._wake_reader()

    def _resume_reading(self) -> None:
        if (
            not self._reading_enabled
            and self._transport is not None
            and not self.closed
            and len(self._buffer) < self.buffer_limit_bytes
        ):
            self._reading_enabled = True
            self._transport.resume_reading()

    async def write(self, data: bytes | memoryview) -> None:
        """Send bytes, waiting while the write buffer is full.

        Args:
            data: Bytes to send.

        Raises:
            ChannelClosedError: The connection has been lost or closed.
        """
        self.write_now(data)
        if not self._writable.is_set():
            await self._writable.wait()
            if self.closed:
                raise ChannelClosedError

    def write_now(self, data: bytes | memoryview) -> None:
        """Send bytes without waiting. Only for few bytes.

        Args:
            data: Bytes to send.

        Raises:
            ChannelClosedError: The connection has been lost or closed.
        """
        if self.closed or self._transport is None:
            raise ChannelClosedError
        if data:
            self._written_bytes += len(data)
            self._transport.write(data)

    async def write_large(
        self, data: bytes | bytearray, on_progress: Callable[[], None] | None = None
    ) -> None:
        """Send bytes in parts, so that the write buffer holds no copy of all of them.

        Args:
            data: Bytes to send.
            on_progress: Called after each part for which there was space, or None.

        Raises:
            ChannelClosedError: The connection has been lost or closed.
        """
        view = memoryview(data)
        for start in range(0, len(view), WRITE_PART_BYTES):
            await self.write(view[start : start + WRITE_PART_BYTES])
            if on_progress is not None:
                on_progress()

    def limit_write_buffer(self, limit_bytes: int) -> None:
        """Set the number of unsent bytes from which on `write` waits.

        Args:
            limit_bytes: The number.
        """
        if self._transport is not None:
            self._transport.set_write_buffer_limits(limit_bytes)

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
