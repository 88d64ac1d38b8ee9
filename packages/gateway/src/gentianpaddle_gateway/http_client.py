"""HTTP/1.1 client over one connection, parsed by `h11`."""

from __future__ import annotations

import asyncio
import dataclasses

import h11

from gentianpaddle_gateway import channel
from gentianpaddle_platform import headers, objects

CONNECT_TIMEOUT_S = 0.5
"""VMs are a few ms apart. After 0.5 s a request can still go to another server before its caller,
who waits one second for a front, gives up."""

HEADER_LIMIT_BYTES = 32_768
BODY_LIMIT_BYTES = 16 * 1_048_576
"""Largest body that is kept in memory; the store's pages are about 1 MB."""


class ExchangeBrokenError(Exception):
    """The answer cannot be completed; the request may have been handled."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer."""

    status: int
    headers: list[headers.Header]


class ClientConnection:
    """One connection with one exchange at a time."""

    def __init__(self, byte_channel: channel.Channel) -> None:
        self.channel = byte_channel
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEADER_LIMIT_BYTES)

    @property
    def reusable(self) -> bool:
        """Whether another exchange may follow."""
        return (
            not self.channel.closed
            and not self.channel.ended
            and not self.channel.pending
            and self._parser.our_state is h11.IDLE
        )

    async def send(
        self, method: str, target: str, fields: list[headers.Header], body: bytes | None
    ) -> None:
        """Send a request with its whole body.

        Args:
            method: HTTP method.
            target: Path and query.
            fields: Headers, with a length if there is a body.
            body: Body, or None.

        Raises:
            ExchangeBrokenError: The connection ended.
        """
        request = h11.Request(method=method, target=target, headers=fields)
        data = self._parser.send(request) or b""
        if body:
            data += self._parser.send(h11.Data(data=body)) or b""
        data += self._parser.send(h11.EndOfMessage()) or b""
        try:
            await self.channel.write(data)
        except channel.ChannelClosedError:
            raise ExchangeBrokenError("closed while the request was sent") from None

    async def head(self) -> AnswerHead:
        """Wait for the answer's status and headers.

        Returns:
            The final head; informational ones are skipped.

        Raises:
            ExchangeBrokenError: There is none.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return AnswerHead(event.status_code, list(event.headers))
            if not isinstance(event, h11.InformationalResponse):
                raise ExchangeBrokenError("no answer in the protocol")

    async def read(self) -> bytes | None:
        """Wait for a part of the answer's body.

        Returns:
            Bytes, or None at the end of the complete body.

        Raises:
            ExchangeBrokenError: The body ends early.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            if self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE:
                self._parser.start_next_cycle()
            return None
        raise ExchangeBrokenError("the connection ended within the body")

    async def whole_body(self) -> bytes:
        """Read the rest of the answer's body.

        Returns:
            The body.

        Raises:
            ExchangeBrokenError: The body ends early or is too large.
        """
        parts: list[bytes] = []
        size = 0
        while (part := await self.read()) is not None:
            parts.append(part)
            size += len(part)
            if size > BODY_LIMIT_BYTES:
                raise ExchangeBrokenError("the body is too large")
        return b"".join(parts)

    async def _next_event(self) -> h11.Event | type[h11.PAUSED] | type[h11.NEED_DATA]:
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise ExchangeBrokenError(str(error)) from None
            if event is not h11.NEED_DATA:
                return event
            try:
                self._parser.receive_data(await self.channel.read())
            except channel.ChannelClosedError:
                raise ExchangeBrokenError("reset") from None

    def close(self) -> None:
        """End the connection; a server drops a request whose connection ends."""
        self.channel.abort()


async def open_connection(
    address: str, timeout_s: float = CONNECT_TIMEOUT_S
) -> ClientConnection | None:
    """Connect to a server.

    Args:
        address: Host and port.
        timeout_s: Longest wait.

    Returns:
        The connection, or None; then no byte of a request was sent.
    """
    byte_channel = await channel.connect(address, timeout_s)
    return ClientConnection(byte_channel) if byte_channel is not None else None


class KeptTransport:
    """Calls to one address over one kept connection; implements `objects.Transport`."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._connection: ClientConnection | None = None
        self.calls = 0
        """Calls sent since the start."""

    async def call(
        self, method: str, target: str, body: bytes | None, timeout_s: float
    ) -> objects.Answer | objects.Unavailable:
        """Send a call; see `objects.Transport`."""
        self.calls += 1
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._ready_connection()
                if connection is None:
                    return objects.Unavailable("no connection")
                fields: list[headers.Header] = [(b"host", self.address.encode())]
                if body is not None:
                    fields.append((b"content-type", b"application/json"))
                    fields.append((b"content-length", b"%d" % len(body)))
                await connection.send(method, target, fields, body)
                head = await connection.head()
                return objects.Answer(head.status, await connection.whole_body())
        except TimeoutError:
            self.close()
            return objects.Unavailable(f"no answer within {timeout_s:.1f} s")
        except ExchangeBrokenError as error:
            self.close()
            return objects.Unavailable(str(error))
        except asyncio.CancelledError:
            self.close()
            raise

    async def _ready_connection(self) -> ClientConnection | None:
        if self._connection is not None and not self._connection.reusable:
            self.close()
        if self._connection is None:
            self._connection = await open_connection(self.address)
        return self._connection

    def close(self) -> None:
        """End the connection; the next call makes a new one."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None
