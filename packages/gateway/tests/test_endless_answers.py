"""Guards against processes that run out of memory while a server sends bytes without end."""

from __future__ import annotations

import asyncio
import tracemalloc
import typing

import pytest
from gentianpaddle_platform_standins import http

from gentianpaddle_gateway import engine_client, http_client

BODY_BYTES = 65_536
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class ScriptedChannel:
    """Channel from which prepared bytes are read."""

    closed = at_eof = has_unread_data = False

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._position = 0

    async def read(self) -> bytes:
        self._position += 65_536
        return self._data[self._position - 65_536 : self._position]

    async def write(self, data: bytes) -> None:
        """Accept the request."""


@pytest.mark.parametrize("chunk_bytes", [1, 2, 7, 65_536])
def test_body_takes_little_more_memory_than_its_bytes(chunk_bytes: int) -> None:
    """Guards against a limit on bytes that small chunks exceed many times over in memory."""
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"xy" * (chunk_bytes // 2) + b"z" * (chunk_bytes % 2))
    data = CHUNKED_HEAD + chunk * (BODY_BYTES // chunk_bytes) + b"0\r\n\r\n"

    async def read() -> bytes:
        connection = http_client.ClientConnection(typing.cast(typing.Any, ScriptedChannel(data)))
        await connection.send("GET", "/", [(b"host", b"x")], None)
        await connection.read_head()
        tracemalloc.start()
        try:
            body = await connection.read_body()
            peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        assert peak_bytes < 4 * BODY_BYTES
        return body

    assert len(asyncio.run(read())) == BODY_BYTES // chunk_bytes * chunk_bytes


@pytest.mark.parametrize(
    "head",
    [
        b"",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
    ],
)
def test_report_without_end_is_given_up(head: bytes) -> None:
    """Guards against a report of an engine that fills the memory of a small VM."""

    async def answer(_: http.Request, connection: http.Connection) -> None:
        connection.writer.write(head)
        while True:
            connection.writer.write(b"X-A: b\r\n" * 8_192)
            await connection.writer.drain()

    async def scenario() -> int:
        server = http.HttpStandin(answer)
        await server.listen()
        client = engine_client.EngineClient(server.address)
        tracemalloc.start()
        try:
            assert await client.read_report() == b""
            return tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
            server.close()

    assert asyncio.run(scenario()) < 4 * 1_048_576
