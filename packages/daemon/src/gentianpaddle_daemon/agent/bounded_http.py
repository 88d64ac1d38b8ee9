"""HTTP connections to the backend server that bound what they read from it.

A faulty server may send bytes without end. `urllib3` and `http.client` bound a line of a head, but
neither the number of interim responses nor the size of a body.
"""

from __future__ import annotations

import http.client
import typing

import urllib3
import urllib3.connection
import urllib3.exceptions

HEAD_LIMIT_BYTES = 65_536
"""Maximum size of the head of a response, with all interim responses before it."""

READ_SIZE_BYTES = 65_536

REPORT_LIMIT_BYTES = 1_048_576
"""Maximum size of a report, which is read as a whole."""


class ResponseTooLargeError(urllib3.exceptions.HTTPError):
    """The response, or a line of it, exceeds its limit."""


class _HeadReader:
    """Reads the lines of a head and counts their bytes."""

    def __init__(self, file: typing.BinaryIO) -> None:
        self._file = file
        self._size = 0

    def readline(self, limit: int = -1) -> bytes:
        line = self._file.readline(limit)
        self._size += len(line)
        if self._size > HEAD_LIMIT_BYTES:
            raise http.client.LineTooLong("head")
        return line

    def close(self) -> None:
        self._file.close()


class _Response(http.client.HTTPResponse):
    def begin(self) -> None:
        file = self.fp
        self.fp = typing.cast(typing.Any, _HeadReader(file))
        try:
            super().begin()
        finally:
            # A response without a body has been closed, and has no file any more.
            if self.fp is not None:
                self.fp = file


class _Connection(urllib3.connection.HTTPConnection):
    response_class = _Response


class _TlsConnection(urllib3.connection.HTTPSConnection):
    response_class = _Response


class _ConnectionPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


class _TlsConnectionPool(urllib3.HTTPSConnectionPool):
    ConnectionCls = _TlsConnection


def new_pool(max_connections: int) -> urllib3.PoolManager:
    """Create a pool of connections that never retries by itself.

    Args:
        max_connections: Number of connections that are kept.
    """
    pool = urllib3.PoolManager(maxsize=max_connections, retries=False)
    pool.pool_classes_by_scheme = {"http": _ConnectionPool, "https": _TlsConnectionPool}
    return pool


def read_report(response: urllib3.BaseHTTPResponse) -> bytes:
    """Read the body of a response that was requested without preloading its content.

    Args:
        response: The response; its connection is released or closed.

    Returns:
        The complete body.

    Raises:
        ResponseTooLargeError: The body exceeds `REPORT_LIMIT_BYTES`.
    """
    body = bytearray()
    try:
        while data := response.read(READ_SIZE_BYTES):
            body += data
            if len(body) > REPORT_LIMIT_BYTES:
                raise ResponseTooLargeError("report")
    except BaseException:
        response.close()
        raise
    response.release_conn()
    return bytes(body)
