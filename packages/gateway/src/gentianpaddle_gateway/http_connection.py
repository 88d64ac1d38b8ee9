"""Serves the requests of one caller's connection, one after the other."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable

import h11

from gentianpaddle_core.serving import caller_memory, caller_pace, routes
from gentianpaddle_gateway import caller_limits, channel, http_exchange, http_reader, log
from gentianpaddle_platform import headers

_logger = logging.getLogger("gentianpaddle.http")

LINGER_S = 0.5
"""Maximum time between an answer to a request that was not read to its end and closing the
connection. Closing it at once while bytes of the caller are unread would reset it before the caller
has read the answer. Callers that read it close the connection earlier."""

SINGLE_WRITE_BYTES = channel.WRITE_PART_BYTES
"""Size up to which a response is written at once; a larger one is written in parts, so that there
is no second copy of it."""


class ServerState:
    """What the connections of one server share.

    Args:
        handler: Handles one request; cancelled if the caller disconnects.
        limits: Returns the limits for callers that are currently in force.
        process_limits: Limits for the callers of all servers of the process.
        needs_body: Decides by the head whether the handler needs a body that has not arrived.
    """

    def __init__(
        self,
        handler: http_exchange.Handler,
        limits: Callable[[], routes.ClientLimits],
        process_limits: caller_limits.CallerLimits,
        needs_body: http_exchange.NeedsBody,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.process_limits = process_limits
        self.needs_body = needs_body
        self.draining = False
        """Whether responses ask callers to close their connections."""
        self.keeps_idle = True
        """Whether connections stay open while there is no request on them."""
        self.in_progress = 0
        """Number of requests that have been read and not yet answered."""


class Connection:
    """Connection of one caller.

    Args:
        server: State of the server.
        byte_channel: The connection.
        holder: Holder of the bytes of the connection.
        on_closed: Called when it has been closed.
    """

    def __init__(
        self,
        server: ServerState,
        byte_channel: channel.Channel,
        holder: caller_memory.Holder,
        on_closed: Callable[[Connection], None],
    ) -> None:
        self.holder = holder
        self._server = server
        self._limits = server.process_limits
        self._channel = byte_channel
        self._on_closed = on_closed
        self._in_request = False
        self._body_omitted = False
        self._pace = caller_pace.ReadPace()
        self._reader = http_reader.RequestReader(
            byte_channel, self._limits, holder, server.limits().header_bytes
        )
        self._handler_task: asyncio.Task[None] | None = None
        byte_channel.on_closed = self._handle_close
        byte_channel.limit_write_buffer(SINGLE_WRITE_BYTES)

    @property
    def busy(self) -> bool:
        """Whether a request is being received, is in progress, or its answer is being sent."""
        return self._in_request or self._channel.has_unread_data or self._channel.has_unsent_data

    def close(self) -> None:
        """Close the connection after the buffered bytes have been sent."""
        self._channel.close()

    def abort(self) -> None:
        """Close the connection at once; see `caller_limits.Connection`."""
        self._channel.abort()

    def evict(self, at_once: bool) -> None:
        """End the request, which has not been passed on; see `caller_limits.Connection`."""
        self._reader.drop()
        if not self._in_request or self.holder.stage is not caller_memory.Stage.RECEIVING:
            self._channel.abort()
        elif at_once:
            self._write_rejection(http_reader.RejectedRequestError(408))
            self._channel.close()

    def reads_too_slowly(self, now_s: float) -> bool:
        """Return whether the caller does not read; see `caller_limits.Connection`."""
        section = self._limits.section
        return self._pace.is_too_slow(
            self._channel.has_unsent_data,
            self._channel.read_by_peer_bytes,
            now_s,
            section.unread_s,
            section.min_read_bytes_per_s,
        )

    def _handle_close(self) -> None:
        if self._handler_task is not None:
            self._handler_task.cancel()
        self._limits.remove(self.holder)
        self._on_closed(self)

    def with_connection_header(self, fields: list[headers.Header]) -> list[headers.Header]:
        """Return the headers of a response; see `http_exchange.Sender`."""
        close = self._server.draining or self._body_omitted
        return [*fields, (b"connection", b"close")] if close else fields

    async def send(self, *events: h11.Event) -> None:
        """Send parts of a response; see `http_exchange.Sender`."""
        send = self._reader.parser.send
        await self._channel.write(b"".join(send(event) or b"" for event in events))

    async def send_complete(self, head: h11.Response, body: bytes) -> None:
        """Send a complete response; see `http_exchange.Sender`."""
        self.holder.stage = caller_memory.Stage.SENDING
        self.holder.progress_s = asyncio.get_running_loop().time()
        if not body:
            await self.send(head, h11.EndOfMessage())
        elif len(body) <= SINGLE_WRITE_BYTES:
            await self.send(head, h11.Data(data=body), h11.EndOfMessage())
        else:
            await self._send_large(head, body)

    async def _send_large(self, head: h11.Response, body: bytes) -> None:
        """Send a response that does not fit into the write buffer."""
        missing = len(body) - self.holder.response_bytes
        if missing > 0 and not self.try_acquire(missing):
            self._limits.record("closed", "memory")
            raise http_exchange.ResponseAbortedError
        try:
            await self.send(head)
            # The body has a length, so that the parser passes it on unchanged.
            for part in self._reader.parser.send_with_data_passthrough(h11.Data(data=body)) or ():
                await self._channel.write_large(part, self._record_progress)
            await self.send(h11.EndOfMessage())
        finally:
            self.release_response()

    def _record_progress(self) -> None:
        self.holder.progress_s = asyncio.get_running_loop().time()

    def try_acquire(self, size_bytes: int) -> bool:
        """Reserve memory for a response; see `http_exchange.Sender`."""
        now_s = asyncio.get_running_loop().time()
        grant = self._limits.memory.take(
            self.holder, size_bytes, caller_memory.Pool.RESPONSE, now_s
        )
        return grant is caller_memory.Grant.TAKEN

    def release_response(self) -> None:
        """Return memory that was reserved for a response; see `http_exchange.Sender`."""
        self._limits.memory.release_response(self.holder)

    async def serve(self) -> None:
        """Serve requests until the connection is closed."""
        try:
            while await self._serve_request():
                self._reader.start_next_cycle()
                self._in_request = False
        except channel.ChannelClosedError:
            pass
        except channel.ReadInterruptedError:
            if not self._channel.closed:
                await self._reject(http_reader.RejectedRequestError(408))
        except http_reader.RejectedRequestError as rejection:
            if rejection.reason:
                self._limits.record("refused", rejection.reason)
            await self._reject(rejection)
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
        responder = http_exchange.Responder(self)
        self._server.in_progress += 1
        self.holder.stage = caller_memory.Stage.RUNNING
        self._handler_task = asyncio.get_running_loop().create_task(
            self._call_handler(request, responder)
        )
        try:
            await asyncio.wait((self._handler_task,))
        finally:
            self._server.in_progress -= 1
        task, self._handler_task = self._handler_task, None
        self._limits.memory.release(self.holder)
        if task.cancelled() or self._channel.closed:
            return False
        if (error := task.exception()) is not None:
            if not isinstance(
                error, channel.ChannelClosedError | http_exchange.ResponseAbortedError
            ):
                log.event(_logger, "handler_failed", logging.ERROR, error=repr(error))
            self._channel.abort()
            return False
        parser = self._reader.parser
        if parser.our_state is not h11.DONE or parser.their_state is not h11.DONE:
            # The response is incomplete, or the connection is to be closed after it.
            if parser.our_state is not h11.MUST_CLOSE:
                self._channel.abort()
            elif self._body_omitted:
                await self._linger()
            return False
        self.holder.stage = caller_memory.Stage.RECEIVING
        self._record_progress()
        return True

    async def _call_handler(
        self, request: http_exchange.Request, responder: http_exchange.Responder
    ) -> None:
        await self._server.handler(request, responder)

    async def _read_request(self) -> http_exchange.Request | None:
        limits = self._server.limits()
        try:
            async with asyncio.timeout(limits.idle_timeout_s):
                if not self._server.keeps_idle and not self._channel.has_unread_data:
                    return None
                data = await self._reader.read_first()
        except TimeoutError:
            return None
        self._in_request = True
        self._record_progress()
        arrived_s = self.holder.progress_s
        head = await self._reader.read_head(data, limits)
        if head is None:
            return None
        request = http_exchange.Request(
            method=head.method.decode("ascii"),
            target=head.target.decode("latin-1"),
            headers=list(head.headers),
            body=b"",
            has_body=False,
            arrived_s=arrived_s,
        )
        await self._reader.read_body(request, limits, self._server.needs_body)
        self._body_omitted = request.body_omitted
        if request.body_omitted:
            self._limits.record("refused", "body_not_needed")
        return request

    def _write_rejection(self, rejection: http_reader.RejectedRequestError) -> bool:
        """Send an error response and return whether one may still be sent."""
        parser = self._reader.parser
        if parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE, h11.SEND_BODY):
            return False
        fields = [(b"content-length", b"0"), (b"connection", b"close")]
        if rejection.retry_after_s is not None:
            fields.append(headers.encode_retry_after(rejection.retry_after_s))
        with contextlib.suppress(channel.ChannelClosedError, h11.LocalProtocolError):
            response = h11.Response(status_code=rejection.status, headers=fields)
            data = (parser.send(response) or b"") + (parser.send(h11.EndOfMessage()) or b"")
            self._channel.write_now(data)
        return True

    async def _reject(self, rejection: http_reader.RejectedRequestError) -> None:
        """Send an error response to an invalid request; the connection is closed after it."""
        if self._write_rejection(rejection):
            await self._linger()

    async def _linger(self) -> None:
        """Wait until the caller has closed the connection, dropping what it sends."""
        self._reader.free_body()
        self._limits.memory.release(self.holder)
        self.holder.stage = caller_memory.Stage.CLOSING
        self._channel.discard_all(self._server.limits().body_bytes)
        with contextlib.suppress(
            channel.ChannelClosedError, channel.ReadInterruptedError, TimeoutError
        ):
            async with asyncio.timeout(LINGER_S):
                await self._channel.read()
