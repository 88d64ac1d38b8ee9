"""Guards the server of callers: framing, early answers, and callers that give way to others."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest
from gentianpaddle_platform_standins import front_system

from gentianpaddle_core.serving import routes
from gentianpaddle_gateway import caller_limits, gateway_settings, http_server, metrics
from gentianpaddle_platform import settings

MEGABYTE = 1_000_000
LIMITS = routes.ClientLimits(16_384, 4 * MEGABYTE, 1.0, 5.0)
SECTION = gateway_settings.CallerLimits(body_wait_s=0.3, stall_s=0.1, unread_s=1.0)
Dialogue = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Backend:
    """Handler that answers with the size of the body and keeps what it received."""

    def __init__(self) -> None:
        self.received: list[tuple[str, bytes]] = []
        self.answer_bytes = 0
        self.blocked = asyncio.Event()
        self.blocked.set()
        self.limits = caller_limits.CallerLimits(
            SECTION, settings.MachineLimits(20 * MEGABYTE), metrics.new_metrics()
        )
        self.port = 0

    async def handle(self, request: http_server.Request, responder: http_server.Responder) -> None:
        if request.body_omitted:
            await responder.respond(404, [], b"")
            return
        self.received.append((request.path, bytes(request.body)))
        await self.blocked.wait()
        body = bytes(self.answer_bytes) or b"%d" % len(request.body)
        await responder.respond(200, [], body)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)


@contextlib.asynccontextmanager
async def serving() -> AsyncIterator[Backend]:
    errors: list[object] = []
    asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))
    backend = Backend()
    server = http_server.Server(
        backend.handle,
        lambda: LIMITS,
        backend.limits,
        lambda request: request.path.startswith("/known"),
    )
    await server.listen("127.0.0.1:0")
    assert server._server is not None
    backend.port = server._server.sockets[0].getsockname()[1]
    try:
        yield backend
    finally:
        server.stop_listening()
        server.close_idle_connections()
    assert errors == [], "a connection ended with an unexpected error"


def post(path: str, framing: str) -> bytes:
    return f"POST {path} HTTP/1.1\r\nHost: x\r\n{framing}\r\n\r\n".encode()


BODY = bytes(range(256)) * 4_000
CHUNKED = "Transfer-Encoding: chunked"
TINY_CHUNKS = b"".join(b"1\r\n%c\r\n" % byte for byte in BODY[:40_000]) + b"0\r\n\r\n"
LARGE_CHUNKS = b"%x\r\n" % len(BODY) + BODY + b"\r\n0\r\nx-trailer: y\r\n\r\n"
EXPECTED = f"Content-Length: {len(BODY)}\r\nExpect: 100-continue"


@pytest.mark.parametrize("part_bytes", [7_001, 1_000_000_000])
@pytest.mark.parametrize(
    ("head", "body", "content"),
    [
        (post("/known", f"Content-Length: {len(BODY)}"), BODY, BODY),
        (post("/known", "Content-Length: 3"), b"a\n\n", b"a\n\n"),
        (post("/known", "Content-Length: 0"), b"", b""),
        (post("/known", CHUNKED), LARGE_CHUNKS, BODY),
        (post("/known", CHUNKED), TINY_CHUNKS, BODY[:40_000]),
        (post("/known", CHUNKED), b"3\r\nabc\r\n0\r\n\r\n", b"abc"),
        (b"GET /known HTTP/1.1\r\nHost: x\r\n\r\n", b"", b""),
    ],
)
def test_pipelined_requests_are_read_whole(
    head: bytes, body: bytes, content: bytes, part_bytes: int
) -> None:
    """Guards against bytes that are lost or mixed up between slices and requests."""

    async def scenario() -> None:
        async with serving() as backend:
            reader, writer = await backend.connect()
            data = (head + body) * 3
            for start in range(0, len(data), part_bytes):
                writer.write(data[start : start + part_bytes])
                await asyncio.sleep(0)
            for _ in range(3):
                answer = await asyncio.wait_for(front_system.read_answer(reader), 5.0)
                assert (answer.status, answer.body) == (200, b"%d" % len(content))
            assert backend.received == [("/known", content)] * 3
            writer.close()

    asyncio.run(scenario())


def test_expected_continue_is_sent_for_needed_bodies_only() -> None:
    """Guards against callers that wait for a 100, and against bodies invited in vain."""

    async def scenario() -> None:
        async with serving() as backend:
            reader, writer = await backend.connect()
            writer.write(post("/known", EXPECTED))
            assert (await front_system.read_answer(reader)).status == 100
            writer.write(BODY)
            assert (await front_system.read_answer(reader)).status == 200
            writer.write(post("/other", EXPECTED))
            answer = await front_system.read_answer(reader)
            assert (answer.status, answer.headers["connection"]) == (404, "close")
            assert await asyncio.wait_for(reader.read(), 3.0) == b""

    asyncio.run(scenario())


def test_answer_to_an_omitted_body_can_be_read() -> None:
    """Guards against a reset that discards an answer which was sent before the body was read."""

    async def scenario() -> None:
        async with serving() as backend:
            reader, writer = await backend.connect()
            writer.write(post("/other", f"Content-Length: {len(BODY)}"))
            for start in range(0, len(BODY), 8_192):
                writer.write(BODY[start : start + 8_192])
                await writer.drain()
            assert (await front_system.read_answer(reader)).status == 404
            assert backend.limits.memory.held_bytes <= caller_limits.CONNECTION_BYTES
            writer.close()

    asyncio.run(scenario())


def test_large_bodies_give_way_or_are_refused() -> None:
    """Guards against stalled bodies that keep others out, and refusals of requests that run."""

    async def scenario() -> None:
        size = 4 * MEGABYTE
        head = post("/known", f"Content-Length: {size}")
        async with serving() as backend:
            stalled = [await backend.connect() for _ in range(8)]
            for _, writer in stalled:
                writer.write(head + bytes(1_000))
            await asyncio.sleep(0.2)
            backend.blocked.clear()
            running = [await backend.connect() for _ in range(8)]
            for _, writer in running:
                writer.write(head + bytes(size))
            answers = [
                await asyncio.wait_for(front_system.read_answer(reader), 5.0)
                for reader, _ in stalled
            ]
            assert {answer.status for answer in answers} <= {408, 503}
            backend.blocked.set()
            finished = [
                await asyncio.wait_for(front_system.read_answer(reader), 5.0)
                for reader, _ in running
            ]
            statuses = [answer.status for answer in finished]
            assert set(statuses) == {200, 503}
            assert statuses.count(200) == len(backend.received)
            for answer in finished:
                assert answer.status == 200 or float(answer.headers["retry-after"]) > 0.0
            reader, writer = await backend.connect()
            writer.write(post("/known", "Content-Length: 20000") + bytes(20_000))
            assert (await front_system.read_answer(reader)).status == 200

    asyncio.run(scenario())


@pytest.mark.parametrize("answer_bytes", [1_000, 8 * MEGABYTE])
def test_caller_that_does_not_read_is_disconnected(answer_bytes: int) -> None:
    """Guards against responses that are held for a caller that reads nothing."""

    async def scenario() -> None:
        async with serving() as backend:
            backend.answer_bytes = answer_bytes
            _, writer = await backend.connect()
            get = b"GET /known HTTP/1.1\r\nHost: x\r\n\r\n"
            with contextlib.suppress(OSError):
                async with asyncio.timeout(6.0):
                    while backend.limits.memory.connection_count or not backend.received:
                        writer.write(get * 200)
                        await asyncio.sleep(0.05)
            assert backend.limits.memory.connection_count == 0

    asyncio.run(scenario())


def test_rejected_callers_that_stay_give_way_to_others() -> None:
    """Guards against connections of rejected callers that keep others out while they linger."""

    async def scenario() -> None:
        async with serving() as backend:
            writers = []
            for _ in range(250):
                _, writer = await backend.connect()
                writer.write(post("/known", f"Content-Length: {2**33}"))
                writers.append(writer)
            reader, writer = await backend.connect()
            writer.write(post("/known", "Content-Length: 2") + b"ab")
            assert (await front_system.read_answer(reader)).status == 200
            assert backend.limits.memory.connection_count < 250
            await asyncio.sleep(0.1)

    asyncio.run(scenario())
