"""HTTP/1.1 client based on `h11`, with one request at a time per connection."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

import h11

from gentianpaddle_gateway import channel
from gentianpaddle_platform import headers, objects

CONNECT_TIMEOUT_S = 0.5
"""Time-out for establishing a connection. Round-trip times between VMs are a few milliseconds.
After 0.5 s there is still time to send the request to another server before its caller, which waits
1 s for a front, gives up."""

HEADER_LIMIT_BYTES = 32_768
"""Maximum size of the status line and headers of a response."""

BODY_LIMIT_BYTES = 16 * 1_048_576
"""Maximum size of a response body held in memory. Pages of the store are about 1 MB."""

EVENTS_BETWEEN_YIELDS = 64
"""Number of parts of a response after which other requests get their turn. A server can send very
small parts without end."""

MAX_STATUS = 599
"""Highest status that HTTP defines. The parser itself refuses those below 100."""

MAX_INFORMATIONAL_RESPONSES = 8
"""Maximum number of informational (1xx) responses before the final one."""


class Memory(typing.Protocol):
    """Limits the memory of the response bodies that a process holds at the same time."""

    def try_acquire(self, size_bytes: int) -> bool:
        """Reserve memory and return whether there was enough.

        Args:
            size_bytes: Number of bytes to reserve.
        """


class IncompleteResponseError(Exception):
    """No complete response was received. The server may have processed the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: list[headers.Header]


class ClientConnection:
    """HTTP connection that carries one request at a time."""

    def __init__(self, byte_channel: channel.Channel) -> None:
        self.channel = byte_channel
        self._closed = False
        self._events_since_yield = 0
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEADER_LIMIT_BYTES)

    @property
    def reusable(self) -> bool:
        """Whether another request can be sent on this connection."""
        return (
            not self.channel.closed
            and not self.channel.at_eof
            and not self.channel.has_unread_data
            and self._parser.our_state is h11.IDLE
        )

    @property
    def closed_by_peer(self) -> bool:
        """Whether the peer has closed or reset the connection, and this process has not."""
        return not self._closed and (self.channel.at_eof or self.channel.closed)

    async def send(
        self,
        method: str,
        target: str,
        fields: list[headers.Header],
        body: bytes | bytearray | None,
    ) -> None:
        """Send a request with its complete body.

        Args:
            method: HTTP method.
            target: Path and query.
            fields: Headers, including the content length if there is a body.
            body: Body, or None.

        Raises:
            IncompleteResponseError: The connection was closed.
        """
        request = h11.Request(method=method, target=target, headers=fields)
        data = self._parser.send(request) or b""
        content = typing.cast(bytes, body)  # The parser takes any buffer.
        try:
            if body and len(body) > channel.WRITE_PART_BYTES:
                await self.channel.write(data)
                # The body has a length, so that the parser passes it on unchanged.
                for part in self._parser.send_with_data_passthrough(h11.Data(data=content)) or ():
                    await self.channel.write_large(part)
                data = b""
            elif body:
                data += self._parser.send(h11.Data(data=content)) or b""
            data += self._parser.send(h11.EndOfMessage()) or b""
            await self.channel.write(data)
        except channel.ChannelClosedError:
            raise IncompleteResponseError("closed while the request was sent") from None

    async def read_head(self) -> ResponseHead:
        """Wait for the status and headers of the response.

        Returns:
            Head of the final response; informational (1xx) responses are skipped.

        Raises:
            IncompleteResponseError: The connection ended, the response is malformed or has a status
                above `MAX_STATUS`, or there are more than `MAX_INFORMATIONAL_RESPONSES`
                informational responses.
        """
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    raise IncompleteResponseError(f"status {event.status_code} is not defined")
                return ResponseHead(event.status_code, list(event.headers))
            if not isinstance(event, h11.InformationalResponse):
                raise IncompleteResponseError("no HTTP response received")
        raise IncompleteResponseError("too many informational responses")

    async def read_body_part(self) -> bytes | None:
        """Wait for the next part of the response body.

        Returns:
            Next bytes of the body, or None after the last part.

        Raises:
            IncompleteResponseError: The connection ended before the end of the body.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            if self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE:
                self._parser.start_next_cycle()
            return None
        raise IncompleteResponseError("the connection ended within the body")

    async def read_body(
        self, limit_bytes: int = BODY_LIMIT_BYTES, memory: Memory | None = None
    ) -> bytes:
        """Read the response body to its end.

        Args:
            limit_bytes: Maximum size of the body.
            memory: Limit on this body and the others that are held at the same time, or None. Its
                owner returns the memory when the body is no longer used.

        Returns:
            Complete body.

        Raises:
            IncompleteResponseError: The connection ended before the end of the body, the body is
                too large, or there is no memory for it.
        """
        # One buffer, as a list of very small parts takes many times the memory of their bytes.
        body = bytearray()
        while (part := await self.read_body_part()) is not None:
            if len(body) + len(part) > limit_bytes:
                raise IncompleteResponseError("the body is too large")
            if memory is not None and not memory.try_acquire(len(part)):
                raise IncompleteResponseError("no memory for the body")
            body += part
        return bytes(body)

    async def _next_event(self) -> h11.Event | type[h11.PAUSED] | type[h11.NEED_DATA]:
        self._events_since_yield += 1
        if self._events_since_yield == EVENTS_BETWEEN_YIELDS:
            self._events_since_yield = 0
            await asyncio.sleep(0)
        while True:
            if self._closed:
                raise IncompleteResponseError("closed by this process")
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise IncompleteResponseError(str(error)) from None
            if event is not h11.NEED_DATA:
                return event
            try:
                self._parser.receive_data(await self.channel.read())
            except channel.ChannelClosedError:
                raise IncompleteResponseError("reset") from None

    def close(self) -> None:
        """Abort the connection. A server cancels a request whose connection is closed."""
        self._closed = True
        self.channel.abort()


async def open_connection(
    address: str, timeout_s: float = CONNECT_TIMEOUT_S
) -> ClientConnection | None:
    """Connect to a server.

    Args:
        address: Host and port.
        timeout_s: Time after which the attempt is abandoned.

    Returns:
        The connection, or None if it could not be established. In that case no byte of a request
        has been sent.
    """
    byte_channel = await channel.connect(address, timeout_s)
    return ClientConnection(byte_channel) if byte_channel is not None else None


class PersistentTransport:
    """Sends calls to one address over one persistent connection; implements `objects.Transport`.

    Args:
        address: Host and port.
        body_limit_bytes: Maximum size of the body of an answer.
    """

    def __init__(self, address: str, body_limit_bytes: int = BODY_LIMIT_BYTES) -> None:
        self.address = address
        self._body_limit_bytes = body_limit_bytes
        self._connection: ClientConnection | None = None
        self.call_count = 0
        """Number of calls sent since the start."""

    async def call(
        self, method: str, target: str, body: bytes | None, timeout_s: float
    ) -> objects.Response | objects.Unavailable:
        """Send a call and wait for its answer. See `objects.Transport`."""
        self.call_count += 1
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._reusable_connection()
                if connection is None:
                    return objects.Unavailable("no connection")
                fields: list[headers.Header] = [(b"host", self.address.encode())]
                if body is not None:
                    fields.append((b"content-type", b"application/json"))
                    fields.append((b"content-length", b"%d" % len(body)))
                await connection.send(method, target, fields, body)
                head = await connection.read_head()
                body = await connection.read_body(self._body_limit_bytes)
                return objects.Response(head.status, body, headers.decode_store_era(head.headers))
        except TimeoutError:
            self.close()
            return objects.Unavailable(f"no answer within {timeout_s:.1f} s", timed_out=True)
        except IncompleteResponseError as error:
            self.close()
            return objects.Unavailable(str(error))
        except asyncio.CancelledError:
            self.close()
            raise

    async def _reusable_connection(self) -> ClientConnection | None:
        if self._connection is not None and not self._connection.reusable:
            self.close()
        if self._connection is None:
            self._connection = await open_connection(self.address)
        return self._connection

    def close(self) -> None:
        """Close the connection. The next call opens a new one."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None
