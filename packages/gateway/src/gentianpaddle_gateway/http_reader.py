"""Reads the requests of one caller in bounded parts."""

from __future__ import annotations

import asyncio
import re
import typing

import h11

from gentianpaddle_core.serving import caller_memory, routes
from gentianpaddle_gateway import caller_limits, channel, http_exchange
from gentianpaddle_platform import headers

FREE_BODY_BYTES = 16_384
"""Size up to which a body is covered by the charge for its connection."""

LARGE_BODY_READ_AHEAD_BYTES = channel.MAX_READ_BYTES
"""Number of bytes that are read ahead while a large body is received."""

CHUNK_SLICE_BYTES = 1_024
"""Number of bytes of a chunked body that are parsed at once."""

EVENTS_PER_TURN = 64
"""Number of parts of a body that are parsed without giving other connections their turn. Each takes
about 8 us."""

_BLANK_LINE = re.compile(rb"\n\r?\n")
_LONGEST_BLANK_LINE = 3


class RejectedRequestError(Exception):
    """A request is answered with an error and its connection closed.

    Args:
        status: Status of the answer.
        reason: Limit that was exceeded, or empty.
        retry_after_s: Time after which the caller may repeat the request, or None.
    """

    def __init__(self, status: int, reason: str = "", retry_after_s: float | None = None) -> None:
        super().__init__(status)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


class RequestReader:
    """Reads and parses requests, and keeps the state of the connection.

    Args:
        byte_channel: Connection of the caller.
        limits: Limits of the process.
        holder: Holder of the bytes of the connection.
        header_bytes: Maximum size of a head.
    """

    def __init__(
        self,
        byte_channel: channel.Channel,
        limits: caller_limits.CallerLimits,
        holder: caller_memory.Holder,
        header_bytes: int,
    ) -> None:
        self._channel = byte_channel
        self._limits = limits
        self._holder = holder
        self._header_bytes = header_bytes
        self._body = bytearray()
        self._set_read_ahead(limits.section.read_ahead_bytes)
        self.parser = self._new_parser()

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(h11.SERVER, max_incomplete_event_size=self._header_bytes)

    def _set_read_ahead(self, limit_bytes: int) -> None:
        self._channel.buffer_limit_bytes = limit_bytes

    def start_next_cycle(self) -> None:
        """Prepare for the next request."""
        self._body = bytearray()
        trailing, _ = self.parser.trailing_data
        if trailing:
            # The bytes of the next request are counted and bounded where they are read.
            self._channel.unread(trailing)
            self.parser = self._new_parser()
        else:
            self.parser.start_next_cycle()

    def drop(self) -> None:
        """Free the body that has been received so far, and end the reading."""
        # A reader that waits has the same buffer in use.
        self._body.clear()
        self._channel.interrupt()

    def free_body(self) -> None:
        """Free the body that has been received so far, which tracebacks may still refer to."""
        self._body.clear()

    async def read_first(self) -> bytes:
        """Wait for the first bytes of a request."""
        return await self._channel.read(self._limits.section.read_ahead_bytes)

    async def read_head(self, data: bytes, limits: routes.ClientLimits) -> h11.Request | None:
        """Read the head of a request.

        Args:
            data: First bytes of the request.
            limits: Limits for callers.

        Returns:
            The head, or None if the caller has closed the connection.

        Raises:
            RejectedRequestError: The head is malformed, too large, or late.
        """
        lines, end_of_last = self._receive_head(data, 0, b"")
        event = self._next_event()
        if event is h11.NEED_DATA:
            try:
                async with asyncio.timeout(limits.header_timeout_s):
                    while event is h11.NEED_DATA:
                        data = await self.read_first()
                        lines, end_of_last = self._receive_head(data, lines, end_of_last)
                        event = self._next_event()
            except TimeoutError:
                raise RejectedRequestError(408) from None
        if not isinstance(event, h11.Request):
            return None
        # The parser enforces its limit only on headers that have not been received completely.
        size = sum(len(name) + len(value) + 4 for name, value in event.headers)
        if size > limits.header_bytes:
            raise RejectedRequestError(431)
        return event

    def _receive_head(self, data: bytes, lines: int, end_of_last: bytes) -> tuple[int, bytes]:
        """Parse a part of a head; bytes that follow the head stay unread.

        Returns:
            Number of lines so far, and the last bytes of this part.
        """
        window = end_of_last + data
        found = _BLANK_LINE.search(window)
        end = len(data) if found is None else found.end() - len(end_of_last)
        lines += data.count(b"\n", 0, end)
        # The request line and the blank line are not fields.
        if lines > self._limits.section.header_fields + 2:
            raise RejectedRequestError(431, "header_fields")
        if end < len(data):
            self._channel.unread(data[end:])
        self._receive(data[:end])
        return lines, window[-_LONGEST_BLANK_LINE:]

    async def read_body(
        self,
        request: http_exchange.Request,
        limits: routes.ClientLimits,
        needs_body: http_exchange.NeedsBody,
    ) -> None:
        """Read the body of a request, unless it is not needed and has not arrived with the head.

        Args:
            request: The request; its body is set, or marked as omitted.
            limits: Limits for callers.
            needs_body: Whether the handler of the request needs the body.

        Raises:
            RejectedRequestError: The body is malformed, too large, late, or there is no memory.
        """
        content_length = headers.first_value(request.headers, b"content-length")
        chunked = headers.first_value(request.headers, b"transfer-encoding")
        if content_length is not None and chunked is not None:
            # Conflicting framing headers allow request smuggling.
            raise RejectedRequestError(400)
        request.has_body = content_length is not None or chunked is not None
        if not request.has_body:
            if not isinstance(self._next_event(), h11.EndOfMessage):
                raise channel.ChannelClosedError
            return
        size = int(content_length) if content_length is not None else None
        if size is not None and size > limits.body_bytes:
            raise RejectedRequestError(413)
        arrived = size is not None and size <= self._channel.unread_bytes
        if not arrived and not needs_body(request):
            request.body_omitted = True
            return
        try:
            # The configuration has no time-out for bodies. Callers send them without a pause, and a
            # slow body would occupy memory, so the time-out for headers applies to bodies as well.
            async with asyncio.timeout(None) as timeout:
                await self._acquire(FREE_BODY_BYTES if size is None else size)
                timeout.reschedule(asyncio.get_running_loop().time() + limits.header_timeout_s)
                if self.parser.they_are_waiting_for_100_continue:
                    event = h11.InformationalResponse(status_code=100, headers=[])
                    await self._channel.write(self.parser.send(event) or b"")
                request.body = await self._read_body(size, limits.body_bytes)
        except TimeoutError:
            raise RejectedRequestError(408) from None
        finally:
            self._set_read_ahead(self._limits.section.read_ahead_bytes)

    async def _acquire(self, size: int) -> None:
        if size <= FREE_BODY_BYTES:
            return
        if not await self._limits.acquire(self._holder, size):
            if self._holder.evicted:
                raise channel.ReadInterruptedError
            raise RejectedRequestError(503, "memory", self._limits.section.body_wait_s)
        self._holder.progress_s = asyncio.get_running_loop().time()
        self._set_read_ahead(LARGE_BODY_READ_AHEAD_BYTES)

    async def _read_body(self, size: int | None, limit_bytes: int) -> bytes | bytearray:
        """Read a body of a known size, or a chunked one."""
        body = self._body
        loop = asyncio.get_running_loop()
        acquired = size is not None
        events = 0
        while True:
            event = self._next_event()
            if event is h11.NEED_DATA:
                part = CHUNK_SLICE_BYTES if size is None else max(1, size - len(body))
                self._receive(await self._channel.read(part))
                continue
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                raise channel.ChannelClosedError
            if len(body) + len(event.data) > limit_bytes:
                raise RejectedRequestError(413)
            if not acquired and len(body) + len(event.data) > FREE_BODY_BYTES:
                acquired = True
                await self._acquire(limit_bytes)
            body += event.data
            if acquired:
                self._holder.progress_s = loop.time()
            events += 1
            if events % EVENTS_PER_TURN == 0:
                async with self._limits.parsing_turns:
                    await asyncio.sleep(0)
        if self._holder.evicted:
            raise channel.ReadInterruptedError
        self._body = bytearray()
        # A large body is not copied once more.
        return bytes(body) if len(body) <= FREE_BODY_BYTES else body

    def _receive(self, data: bytes) -> None:
        try:
            self.parser.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise RejectedRequestError(error.error_status_hint) from None

    def _next_event(self) -> typing.Any:
        try:
            return self.parser.next_event()
        except h11.RemoteProtocolError as error:
            raise RejectedRequestError(error.error_status_hint) from None
