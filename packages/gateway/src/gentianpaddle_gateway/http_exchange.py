"""Request of a caller, and what its handler uses to answer it."""

from __future__ import annotations

import dataclasses
import typing
from collections.abc import Awaitable, Callable

import h11

from gentianpaddle_platform import headers

_RequestHead = headers.RequestHead
# Annotations below a field named `headers` would take the field for the module.


@dataclasses.dataclass(slots=True)
class Request:
    """A request with its complete body, or without a body that is not needed."""

    method: str
    target: str
    headers: list[headers.Header]
    body: bytes | bytearray
    has_body: bool
    """Whether the request has a body, possibly an empty one, according to its headers."""
    arrived_s: float
    """Monotonic time in seconds at which the first byte of the request was read."""
    body_omitted: bool = False
    """Whether there is a body that was not read, because its handler said that it needs none."""
    _head: _RequestHead | None = None

    @property
    def path(self) -> str:
        """Path of the target, without the query."""
        return self.target.partition("?")[0]

    @property
    def head(self) -> _RequestHead:
        """Decoded headers. They are decoded once."""
        if self._head is None:
            self._head = headers.decode_request(self.headers)
        return self._head


class ResponseAbortedError(Exception):
    """A handler cannot complete a response that it has started, so the connection is reset."""


class Sender(typing.Protocol):
    """Connection to which a response is sent."""

    def with_connection_header(self, fields: list[headers.Header]) -> list[headers.Header]:
        """Return headers of a response, with `Connection: close` if it is to be closed."""

    async def send(self, *events: h11.Event) -> None:
        """Send parts of a response."""

    async def send_complete(self, head: h11.Response, body: bytes) -> None:
        """Send a complete response."""

    def try_acquire(self, size_bytes: int) -> bool:
        """Reserve memory for a response that is read from a server."""

    def release_response(self) -> None:
        """Return the memory that `try_acquire` has reserved."""


class Responder:
    """Sends the response to one request.

    Args:
        connection: Connection of the caller.
    """

    def __init__(self, connection: Sender) -> None:
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
        await self._connection.send_complete(head, body)

    def try_acquire(self, size_bytes: int) -> bool:
        """Reserve memory for a response that is read from a server; see `http_client.Memory`.

        Args:
            size_bytes: Number of bytes to reserve.
        """
        return self._connection.try_acquire(size_bytes)

    def release_response(self) -> None:
        """Return the memory that `try_acquire` has reserved."""
        self._connection.release_response()


Handler = Callable[[Request, Responder], Awaitable[None]]
NeedsBody = Callable[[Request], bool]
"""Decides by the head of a request, whose body is empty, whether its handler needs the body."""
