"""Guards against callers that make a front exceed its memory or descriptors, hang or end.

The crowd and the bounds were set while the code had none of the limits that these tests guard.
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
from collections.abc import Callable, Iterator

import pytest
from gentianpaddle_platform_standins import documents, front_system

MEMORY_MB = 64
MAX_DESCRIPTORS = 280
RESERVED_DESCRIPTORS = 200
SETTINGS = f"[limits]\nmemoryMb = {MEMORY_MB}\nmaxFds = {MAX_DESCRIPTORS}\nlinkMbps = 50\n"

BODY_BYTES = 1_048_576
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": BODY_BYTES,
    "headerTimeoutMs": 2_000,
    "idleTimeoutMs": 15_000,
}

LOAD_S = 4.0
"""Time after which callers that still send or wait are disconnected."""

SAMPLE_INTERVAL_S = 0.02

CALLER_PORT = front_system.PORT + 1
READINESS_PORT = front_system.PORT + 2
PLACES = {
    "route": (CALLER_PORT, "/book/1"),
    "no_route": (CALLER_PORT, "/nowhere"),
    "readiness": (READINESS_PORT, documents.READINESS_TARGET),
}
Load = Callable[[str], Iterator[bytes]]


def head(path: str, framing: str, method: str = "POST") -> bytes:
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {documents.HOST}\r\n"
        f"Authorization: Bearer {documents.KEY}\r\n{framing}\r\n"
    ).encode()


def whole(path: str) -> Iterator[bytes]:
    yield head(path, f"Content-Length: {BODY_BYTES}\r\n") + bytes(BODY_BYTES - 1)


def small_pieces(path: str) -> Iterator[bytes]:
    yield head(path, f"Content-Length: {BODY_BYTES}\r\n")
    for _ in range(BODY_BYTES // 4_096 - 1):
        yield bytes(4_096)


def large_chunks(path: str) -> Iterator[bytes]:
    yield head(path, "Transfer-Encoding: chunked\r\n")
    for _ in range(BODY_BYTES // 16_384):
        yield b"4000\r\n" + bytes(16_384) + b"\r\n"


def small_chunks(path: str) -> Iterator[bytes]:
    yield head(path, "Transfer-Encoding: chunked\r\n")
    for _ in range(40):
        yield b"1\r\nx\r\n" * 1_000


def oversized(path: str) -> Iterator[bytes]:
    yield head(path, f"Content-Length: {2**33}\r\n")
    for _ in range(128):
        yield bytes(65_536)


def oversized_chunks(path: str) -> Iterator[bytes]:
    yield head(path, "Transfer-Encoding: chunked\r\n")
    yield b"10000000\r\n"
    for _ in range(128):
        yield bytes(65_536)


def many_fields(path: str) -> Iterator[bytes]:
    yield head(path, "a:\r\n" * 3_200 + "Content-Length: 5\r\n") + b"abcd"


def pipelined(path: str) -> Iterator[bytes]:
    for _ in range(100):
        yield head(path, "", method="GET") * 64


def slow_head(path: str) -> Iterator[bytes]:
    for byte in head(path, f"X-Long: {'y' * 4_000}\r\n"):
        yield bytes((byte,))


def slow_body(path: str) -> Iterator[bytes]:
    yield head(path, f"Content-Length: {BODY_BYTES}\r\n")
    for _ in range(1_000):
        yield b"x"


@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize(
    ("load", "callers", "pause_s"),
    [
        (whole, 60, 0.0),
        (small_pieces, 60, 0.0),
        (large_chunks, 60, 0.0),
        (small_chunks, 60, 0.0),
        (oversized, 120, 0.0),
        (oversized_chunks, 120, 0.0),
        (many_fields, 120, 0.0),
        (pipelined, 120, 0.0),
        (slow_head, 120, 0.05),
        (slow_body, 120, 0.05),
    ],
)
def test_front_survives_and_serves_afterwards(
    tmp_path: pathlib.Path, load: Load, callers: int, pause_s: float, place: str
) -> None:
    """Guards against memory or descriptors beyond the bounds, a front that ends and one that hangs.

    The responses to the crowd are not read.
    """
    port, path = PLACES[place]

    async def scenario() -> None:
        async with front_system.system(tmp_path, extra_tables=SETTINGS, limits=LIMITS) as running:
            process = pathlib.Path("/proc") / str(running.processes[0].pid)
            sampler = asyncio.create_task(sample_descriptors(process))
            crowd = [
                asyncio.create_task(misbehave(running.host, port, load(path), pause_s))
                for _ in range(callers)
            ]
            await asyncio.wait(crowd, timeout=LOAD_S)
            for task in crowd:
                task.cancel()
            await asyncio.wait(crowd)
            sampler.cancel()
            peak_mb = memory_peak_mb(process)
            descriptors = max(descriptor_counts)
            answer = await running.ask("/look/1")
            print(f"figures {load.__name__} {place}: {peak_mb:.1f} MB, {descriptors} descriptors")
            assert running.processes[0].returncode is None
            assert answer.status == 200
            assert peak_mb <= MEMORY_MB
            assert descriptors <= MAX_DESCRIPTORS - RESERVED_DESCRIPTORS

    descriptor_counts = [0]

    async def sample_descriptors(process: pathlib.Path) -> None:
        while True:
            descriptor_counts.append(len(list((process / "fd").iterdir())))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    asyncio.run(scenario())


async def misbehave(host: str, port: int, pieces: Iterator[bytes], pause_s: float) -> None:
    """Send pieces over one connection and keep it open without reading."""
    with contextlib.suppress(OSError):
        _, writer = await asyncio.open_connection(host, port)
        try:
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(pause_s)
            await asyncio.sleep(LOAD_S)
        finally:
            writer.transport.abort()


def memory_peak_mb(process: pathlib.Path) -> float:
    """Return the highest resident memory of a process so far, in MB."""
    for line in (process / "status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024 / 1_000_000
    raise AssertionError("no figure of the highest resident memory")
