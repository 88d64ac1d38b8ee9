"""Calls to an engine that sends an answer twice."""

from __future__ import annotations

import asyncio
import json

import pytest

from gentianpaddle_gateway import engine_client
from gentianpaddle_platform import engines

LATE_S = 0.05
"""Time after an answer at which its second copy is sent."""


class DuplicatingEngine:
    """Engine that numbers its reports and sends chosen answers twice."""

    def __init__(self, duplicated: set[int]) -> None:
        self.duplicated = duplicated
        self.call_count = 0
        self.connection_count = 0
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                number, self.call_count = self.call_count, self.call_count + 1
                lowered = head.lower()
                if "content-length:" in lowered:
                    length = int(lowered.split("content-length:")[1].split("\r\n")[0])
                    await reader.readexactly(length)
                    status, body = 409, b"{}"
                else:
                    report = {"group": {"name": "g"}, "running": number, "step": number}
                    status, body = 200, json.dumps(report).encode()
                answer = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (
                    status,
                    len(body),
                    body,
                )
                writer.write(answer)
                if number in self.duplicated:
                    await asyncio.sleep(LATE_S)
                    writer.write(answer)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    def close(self) -> None:
        if self._server is not None:
            self._server.close()


@pytest.mark.parametrize("duplicated", [set(), {0}, {1}, {2}, {0, 1, 2, 3, 4, 5}])
@pytest.mark.parametrize("pause_s", [0.0, 2 * LATE_S])
def test_second_copy_is_not_taken_for_the_answer_of_an_order(
    duplicated: set[int], pause_s: float
) -> None:
    """Guards against orders and reports that get the answer of the call before them.

    The engine declines each order. A report that follows a declined order must be newer than the
    order, since the next order is derived from it.
    """

    async def scenario() -> None:
        engine = DuplicatingEngine(duplicated)
        await engine.start()
        client = engine_client.EngineClient(engine.address)
        for _ in range(4):
            assert await client.send_order(b"{}") in (0, 409)
            calls_before = engine.call_count
            decoded = engines.decode_report(await client.read_report())
            assert decoded is None or decoded.running >= calls_before
            await asyncio.sleep(pause_s)
        engine.close()

    asyncio.run(scenario())


def test_connection_is_kept_while_answers_fit() -> None:
    """Guards against a new connection for each call, which is charged."""

    async def scenario() -> None:
        engine = DuplicatingEngine(set())
        await engine.start()
        client = engine_client.EngineClient(engine.address)
        for _ in range(5):
            assert await client.send_order(b"{}") == 409
            assert await client.read_report()
        assert engine.connection_count == 1
        engine.close()

    asyncio.run(scenario())
