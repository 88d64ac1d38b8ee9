"""HTTP/1.1 server based on `h11`.

Framing is checked strictly, sizes and times are limited, and a request is cancelled as soon as its
caller disconnects.
"""

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
"""Maximum number of connections that wait to be accepted. If this queue is full, a connection
attempt is delayed by seconds."""

REJECTION_LINGER_S = 0.2
"""Time between an error response and closing the connection. Closing it at once while bytes of the
caller are unread would reset it before the caller has read the response."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request with its complete body."""

    method: str
    target: str
    headers: list[headers.Header]
    body: bytes
    has_body: bool
    """Whether the request has a body, possibly an empty one, according to its headers."""
    arrived_s: float
    """Monotonic time in seconds at which the first byte of the request was read."""

    @property
    def path(self) -> str:
        """Path of the target, without the query."""
        return self.target.partition("?")[0]


class Responder:
    """Sends the response to one request."""

    def __init__(self, connection: _Connection) -> None:
        self._connection = connection
        self.started = False
        """Whether the status and headers have been sent."""

    async def start(self, status: int, fields: list[headers.Header]) -> None:
        """Send the status and headers of a response whose length is not known.

        Args:
            status: HTTP status.
            fields: Headers, without those for the length or transfer encoding.
        """
        self.started = True
        await self._connection.send(
            h11.Response(
                status_code=status, headers=self._connection.with_connection_header(fields)
            )
        )

    async def write(self, data: bytes) -> None:
        """Send a part of the response body.

        Args:
            data: Bytes of the body.
        """
        await self._connection.send(h11.Data(data=data))

    async def finish(self) -> None:
        """Mark the end of the complete response."""
        await self._connection.send(h11.EndOfMessage())

    async def respond(self, status: int, fields: list[headers.Header], body: bytes) -> None:
        """Send a complete response.

        Args:
            status: HTTP status.
            fields: Headers, without those for the length or transfer encoding.
            body: Complete body.
        """
        self.started = True
        length = (b"content-length", b"%d" % len(body))
        head = h11.Response(
            status_code=status, headers=self._connection.with_connection_header([*fields, length])
        )
        events: list[h11.Event] = [head]
        if body:
            events.append(h11.Data(data=body))
        await self._connection.send(*events, h11.EndOfMessage())


Handler = Callable[[Request, Responder], Awaitable[None]]


class Server:
    """HTTP server that listens at one address.

    Args:
        handler: Handles one request; cancelled if the caller disconnects.
        limits: Returns the limits for callers that are currently in force.
    """

    def __init__(self, handler: Handler, limits: Callable[[], routes.ClientLimits]) -> None:
        self.handler = handler
        self.limits = limits
        self.draining = False
        """Whether responses ask callers to close their connections."""
        self.keeps_idle = True
        """Whether connections stay open while there is no request on them."""
        self.in_progress = 0
        """Number of requests that have been read and not yet answered."""
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Start accepting connections.

        Args:
            address: Host and port.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: channel.Channel(self._accept), host, int(port), backlog=LISTEN_BACKLOG
        )

    def _accept(self, byte_channel: channel.Channel) -> None:
        connection = _Connection(self, byte_channel, self._connections.discard)
        self._connections.add(connection)
        task = asyncio.get_running_loop().create_task(connection.serve())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @property
    def busy(self) -> bool:
        """Whether a request is being received, is in progress, or its answer is being sent."""
        return any(connection.busy for connection in self._connections)

    def stop_listening(self) -> None:
        """Stop accepting connections. Open connections are not affected."""
        if self._server is not None:
            self._server.close()

    def close_idle_connections(self) -> None:
        """Close connections without a request now, and the others after their requests."""
        self.keeps_idle = False
        for connection in list(self._connections):
            if not connection.busy:
                connection.close()


class ResponseAbortedError(Exception):
    """A handler cannot complete a response that it has started, so the connection is reset."""


class _RejectedRequestError(Exception):
    def __init__(self, status: int) -> None:
        self.status = status


class _Connection:
    """Connection of one caller."""

    def __init__(
        self,
        server: Server,
        byte_channel: channel.Channel,
        on_closed: Callable[[_Connection], None],
    ) -> None:
        self._server = server
        self._channel = byte_channel
        self._on_closed = on_closed
        self._in_request = False
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits().header_bytes
        )
        self._handler_task: asyncio.Task[None] | None = None
        byte_channel.on_closed = self._handle_close

    @property
    def busy(self) -> bool:
        """Whether a request is being received, is in progress, or its answer is being sent."""
        return self._in_request or self._channel.has_unread_data or self._channel.has_unsent_data

    def close(self) -> None:
        self._channel.close()

    def _handle_close(self) -> None:
        if self._handler_task is not None:
            self._handler_task.cancel()
        self._on_closed(self)

    def with_connection_header(self, fields: list[headers.Header]) -> list[headers.Header]:
        return [*fields, (b"connection", b"close")] if self._server.draining else fields

    async def send(self, *events: h11.Event) -> None:
        await self._channel.write(b"".join(self._parser.send(event) or b"" for event in events))

    async def serve(self) -> None:
        try:
            while await self._serve_request():
                self._parser.start_next_cycle()
                self._in_request = False
        except channel.ChannelClosedError:
            pass
        except _RejectedRequestError as rejection:
            await self._reject(rejection.status)
        except Exception:
            # An unexpected error on one connection must not affect the others.
            _logger.exception("connection_failed")
            self._channel.abort()
        finally:
            self._in_request = False
            self._channel.close()

    async def _serve_request(self) -> bool:
        request = await self._read_request()
        if request is None:
            return False
        responder = Responder(self)
        self._server.in_progress += 1
        self._handler_task = asyncio.get_running_loop().create_task(
            self._call_handler(request, responder)
        )
        try:
            await asyncio.wait((self._handler_task,))
        finally:
            self._server.in_progress -= 1
        task, self._handler_task = self._handler_task, None
        if task.cancelled() or self._channel.closed:
            return False
        if (error := task.exception()) is not None:
            if not isinstance(error, channel.ChannelClosedError | ResponseAbortedError):
                log.event(_logger, "handler_failed", logging.ERROR, error=repr(error))
            self._channel.abort()
            return False
        if self._parser.our_state is not h11.DONE or self._parser.their_state is not h11.DONE:
            # The response is incomplete, or the connection is to be closed after it.
            if self._parser.our_state is not h11.MUST_CLOSE:
                self._channel.abort()
            return False
        return True

    async def _call_handler(self, request: Request, responder: Responder) -> None:
        await self._server.handler(request, responder)

    async def _read_request(self) -> Request | None:
        limits = self._server.limits()
        idle_timeout = asyncio.timeout(limits.idle_timeout_s)
        try:
            async with idle_timeout:
                if not self._parser.trailing_data[0]:
                    if not self._server.keeps_idle and not self._channel.has_unread_data:
                        return None
                    data = await self._channel.read()
                    self._in_request = True
                    self._receive(data)
        except TimeoutError:
            return None
        self._in_request = True
        loop = asyncio.get_running_loop()
        arrived_s = loop.time()
        try:
            async with asyncio.timeout(limits.header_timeout_s):
                head = await self._next_event()
                if not isinstance(head, h11.Request):
                    return None
        except TimeoutError:
            raise _RejectedRequestError(408) from None
        # The parser enforces its limit only on headers that have not been received completely.
        if sum(len(name) + len(value) + 4 for name, value in head.headers) > limits.header_bytes:
            raise _RejectedRequestError(431)
        try:
            # The configuration has no time-out for bodies. Callers send them without a pause, and a
            # slow body would occupy memory, so the time-out for headers applies to bodies as well.
            async with asyncio.timeout(limits.header_timeout_s):
                body, has_body = await self._read_body(head, limits.body_bytes)
        except TimeoutError:
            raise _RejectedRequestError(408) from None
        return Request(
            method=head.method.decode("ascii"),
            target=head.target.decode("latin-1"),
            headers=list(head.headers),
            body=body,
            has_body=has_body,
            arrived_s=arrived_s,
        )

    async def _read_body(self, head: h11.Request, limit_bytes: int) -> tuple[bytes, bool]:
        content_length = headers.first_value(head.headers, b"content-length")
        chunked = headers.first_value(head.headers, b"transfer-encoding")
        if content_length is not None and chunked is not None:
            # Conflicting framing headers allow request smuggling.
            raise _RejectedRequestError(400)
        if content_length is not None and int(content_length) > limit_bytes:
            raise _RejectedRequestError(413)
        if self._parser.they_are_waiting_for_100_continue:
            await self.send(h11.InformationalResponse(status_code=100, headers=[]))
        parts: list[bytes] = []
        size_bytes = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts), content_length is not None or chunked is not None
            if not isinstance(event, h11.Data):
                raise channel.ChannelClosedError
            parts.append(bytes(event.data))
            size_bytes += len(event.data)
            if size_bytes > limit_bytes:
                raise _RejectedRequestError(413)

    def _receive(self, data: bytes) -> None:
        try:
            self._parser.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise _RejectedRequestError(error.error_status_hint) from None

    async def _next_event(self) -> typing.Any:
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise _RejectedRequestError(error.error_status_hint) from None
            if event is not h11.NEED_DATA:
                return event
            self._receive(await self._channel.read())

    async def _reject(self, status: int) -> None:
        """Send an error response to an invalid request; the connection is closed after it."""
        if self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE, h11.SEND_BODY):
            return
        fields = [(b"content-length", b"0"), (b"connection", b"close")]
        with contextlib.suppress(channel.ChannelClosedError, h11.LocalProtocolError):
            await self.send(h11.Response(status_code=status, headers=fields), h11.EndOfMessage())
            await asyncio.sleep(REJECTION_LINGER_S)
