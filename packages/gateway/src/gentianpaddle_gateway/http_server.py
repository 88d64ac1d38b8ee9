"""HTTP/1.1 server, parsed by `h11`: strict framing, limits, and the end of a caller at once."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
import typing
from collections.abc import Awaitable, Callable

import h11

from gentianpaddle_core.serving import routes
from gentianpaddle_gateway import channel, log
from gentianpaddle_platform import headers

_logger = logging.getLogger("gentianpaddle.http")

LISTEN_BACKLOG = 512
"""Connections that may wait to be accepted; a full queue delays a caller by seconds."""

REFUSED_BODY_WAIT_S = 0.2
"""Time for a caller to read a refusal before its unread bytes reset the connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request with its whole body."""

    method: str
    target: str
    headers: list[headers.Header]
    body: bytes
    has_body: bool
    """Whether the caller framed a body, if only an empty one."""
    began_s: float
    """Monotonic time at which its first byte was read."""

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]


class Responder:
    """Sends one answer."""

    def __init__(self, connection: _Connection) -> None:
        self._connection = connection
        self.started = False
        """Whether the head was sent."""

    async def start(self, status: int, fields: list[headers.Header]) -> None:
        """Send the head of an answer whose length is not known.

        Args:
            status: HTTP status.
            fields: Headers without framing.
        """
        self.started = True
        await self._connection.send(
            h11.Response(status_code=status, headers=self._connection.with_closing(fields))
        )

    async def data(self, data: bytes) -> None:
        """Send a part of the body.

        Args:
            data: Bytes.
        """
        await self._connection.send(h11.Data(data=data))

    async def finish(self) -> None:
        """End the answer as complete."""
        await self._connection.send(h11.EndOfMessage())

    async def answer(self, status: int, fields: list[headers.Header], body: bytes) -> None:
        """Send a whole answer.

        Args:
            status: HTTP status.
            fields: Headers without framing.
            body: Whole body.
        """
        self.started = True
        length = (b"content-length", b"%d" % len(body))
        head = h11.Response(
            status_code=status, headers=self._connection.with_closing([*fields, length])
        )
        events: list[h11.Event] = [head]
        if body:
            events.append(h11.Data(data=body))
        await self._connection.send(*events, h11.EndOfMessage())


Handler = Callable[[Request, Responder], Awaitable[None]]


class Server:
    """Listens at one address.

    Args:
        handler: Serves one request; it is cancelled when its caller goes.
        limits: Returns the limits in force.
    """

    def __init__(self, handler: Handler, limits: Callable[[], routes.ClientLimits]) -> None:
        self.handler = handler
        self.limits = limits
        self.closing = False
        """Whether answers tell callers to close their connections."""
        self.in_progress = 0
        """Requests that were read and not answered yet."""
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Begin to accept connections.

        Args:
            address: Host and port.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: channel.Channel(self._accept), host, int(port), backlog=LISTEN_BACKLOG
        )

    def _accept(self, byte_channel: channel.Channel) -> None:
        connection = _Connection(self, byte_channel)
        task = asyncio.get_running_loop().create_task(connection.serve())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def stop_listening(self) -> None:
        """Accept no more connections."""
        if self._server is not None:
            self._server.close()


class AnswerBrokenError(Exception):
    """A handler cannot complete an answer that it has begun; the connection is reset."""


class _RefusedError(Exception):
    def __init__(self, status: int) -> None:
        self.status = status


class _Connection:
    """One caller's connection."""

    def __init__(self, server: Server, byte_channel: channel.Channel) -> None:
        self._server = server
        self._channel = byte_channel
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits().header_bytes
        )
        self._handling: asyncio.Task[None] | None = None
        byte_channel.on_closed = self._caller_gone

    def _caller_gone(self) -> None:
        if self._handling is not None:
            self._handling.cancel()

    def with_closing(self, fields: list[headers.Header]) -> list[headers.Header]:
        return [*fields, (b"connection", b"close")] if self._server.closing else fields

    async def send(self, *events: h11.Event) -> None:
        await self._channel.write(b"".join(self._parser.send(event) or b"" for event in events))

    async def serve(self) -> None:
        try:
            while await self._serve_one():
                self._parser.start_next_cycle()
        except channel.ChannelClosedError:
            pass
        except _RefusedError as refused:
            await self._refuse(refused.status)
        except Exception:
            # A defect must not take the process down with all its callers.
            _logger.exception("connection_failed")
            self._channel.abort()
        finally:
            self._channel.close()

    async def _serve_one(self) -> bool:
        request = await self._read_request()
        if request is None:
            return False
        responder = Responder(self)
        self._server.in_progress += 1
        self._handling = asyncio.get_running_loop().create_task(self._handle(request, responder))
        try:
            await asyncio.wait((self._handling,))
        finally:
            self._server.in_progress -= 1
        task, self._handling = self._handling, None
        if task.cancelled() or self._channel.closed:
            return False
        if (error := task.exception()) is not None:
            if not isinstance(error, channel.ChannelClosedError | AnswerBrokenError):
                log.event(_logger, "handler_failed", logging.ERROR, error=repr(error))
            self._channel.abort()
            return False
        if self._parser.our_state is not h11.DONE or self._parser.their_state is not h11.DONE:
            # The answer was broken off, or a close was announced.
            if self._parser.our_state is not h11.MUST_CLOSE:
                self._channel.abort()
            return False
        return True

    async def _handle(self, request: Request, responder: Responder) -> None:
        await self._server.handler(request, responder)

    async def _read_request(self) -> Request | None:
        limits = self._server.limits()
        idle = asyncio.timeout(limits.idle_timeout_s)
        try:
            async with idle:
                if not self._parser.trailing_data[0]:
                    self._receive(await self._channel.read())
        except TimeoutError:
            return None
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        try:
            async with asyncio.timeout(limits.header_timeout_s):
                head = await self._next_event()
                if not isinstance(head, h11.Request):
                    return None
        except TimeoutError:
            raise _RefusedError(408) from None
        # The parser limits only heads that are not complete yet.
        if sum(len(name) + len(value) + 4 for name, value in head.headers) > limits.header_bytes:
            raise _RefusedError(431)
        try:
            # The configuration names no time for bodies. Callers send them at once, and a slow one
            # would hold memory, so a body gets as long as a head.
            async with asyncio.timeout(limits.header_timeout_s):
                body, framed = await self._read_body(head, limits.body_bytes)
        except TimeoutError:
            raise _RefusedError(408) from None
        return Request(
            method=head.method.decode("ascii"),
            target=head.target.decode("latin-1"),
            headers=list(head.headers),
            body=body,
            has_body=framed,
            began_s=began_s,
        )

    async def _read_body(self, head: h11.Request, limit: int) -> tuple[bytes, bool]:
        lengths = headers.value_of(head.headers, b"content-length")
        chunked = headers.value_of(head.headers, b"transfer-encoding")
        if lengths is not None and chunked is not None:
            # Two framings are how one request is smuggled inside another.
            raise _RefusedError(400)
        if lengths is not None and int(lengths) > limit:
            raise _RefusedError(413)
        if self._parser.they_are_waiting_for_100_continue:
            await self.send(h11.InformationalResponse(status_code=100, headers=[]))
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts), lengths is not None or chunked is not None
            if not isinstance(event, h11.Data):
                raise channel.ChannelClosedError
            parts.append(bytes(event.data))
            size += len(event.data)
            if size > limit:
                raise _RefusedError(413)

    def _receive(self, data: bytes) -> None:
        try:
            self._parser.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise _RefusedError(error.error_status_hint) from None

    async def _next_event(self) -> typing.Any:
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise _RefusedError(error.error_status_hint) from None
            if event is not h11.NEED_DATA:
                return event
            self._receive(await self._channel.read())

    async def _refuse(self, status: int) -> None:
        """Answer a request that cannot be read and close the connection."""
        if self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE, h11.SEND_BODY):
            return
        fields = [(b"content-length", b"0"), (b"connection", b"close")]
        with contextlib.suppress(channel.ChannelClosedError, h11.LocalProtocolError):
            await self.send(h11.Response(status_code=status, headers=fields), h11.EndOfMessage())
            await asyncio.sleep(REFUSED_BODY_WAIT_S)
