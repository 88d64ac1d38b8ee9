"""Measures the memory of a front, and its service, while callers send large bodies without end.

Each caller of the crowd sends a body of the largest legal size but its last byte and keeps the
connection open; when it is closed, it begins anew. The settings of the front say 152 MB.

Usage: python -m benchmarks.misbehaving_callers CALLERS {route,no_route,readiness} [SECONDS]
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import pathlib
import sys
import tempfile
import time

from gentianpaddle_platform_standins import documents, front_system

MEMORY_MB = 152
BODY_BYTES = 4_194_304
SETTINGS = f"[limits]\nmemoryMb = {MEMORY_MB}\nmaxFds = 1124\nlinkMbps = 50\n"
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": BODY_BYTES,
    "headerTimeoutMs": 2_000,
    "idleTimeoutMs": 15_000,
}
PLACES = {
    "route": (front_system.PORT + 1, "/book/1"),
    "no_route": (front_system.PORT + 1, "/nowhere"),
    "readiness": (front_system.PORT + 2, documents.READINESS_TARGET),
}
PART = bytes(65_536)


async def misbehave(host: str, port: int, path: str, answers: collections.Counter[str]) -> None:
    """Send bodies without their last byte, one after the other."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {documents.HOST}\r\n"
        f"Authorization: Bearer {documents.KEY}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    )
    while True:
        answer = b""
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(head.encode())
                for start in range(0, BODY_BYTES, len(PART)):
                    writer.write(PART[: min(len(PART), BODY_BYTES - 1 - start)])
                    await writer.drain()
                answer = await reader.read(100)
            finally:
                writer.transport.abort()
        answers[answer[9:12].decode() or "closed"] += 1
        await asyncio.sleep(0.05)


async def ask(running: front_system.System, statuses: collections.Counter[str]) -> float:
    """Send an ordinary request and return the time in seconds until it was answered."""
    began_s = time.monotonic()
    try:
        answer = await running.ask("/look/1")
        statuses[str(answer.status)] += 1
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        statuses[type(error).__name__] += 1
    return time.monotonic() - began_s


def status_mb(process: pathlib.Path, field: str) -> float:
    """Return a figure of the memory of a process in MB."""
    lines = (process / "status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith(field)) * 1024 / 1e6


async def measure(callers: int, place: str, duration_s: float) -> None:
    """Run one load and print the figures."""
    port, path = PLACES[place]
    statuses: collections.Counter[str] = collections.Counter()
    answers: collections.Counter[str] = collections.Counter()
    with tempfile.TemporaryDirectory() as folder:
        async with front_system.system(
            pathlib.Path(folder), extra_tables=SETTINGS, limits=LIMITS
        ) as running:
            process = pathlib.Path("/proc") / str(running.processes[0].pid)
            before_mb = status_mb(process, "VmRSS")
            crowd = [
                asyncio.create_task(misbehave(running.host, port, path, answers))
                for _ in range(callers)
            ]
            durations_s = []
            end_s = time.monotonic() + duration_s
            while time.monotonic() < end_s:
                durations_s.append(await ask(running, statuses))
                await asyncio.sleep(0.1)
            for task in crowd:
                task.cancel()
            await asyncio.wait(crowd)
            after: collections.Counter[str] = collections.Counter()
            for _ in range(20):
                await ask(running, after)
            durations_s.sort()
            print(
                f"{callers} callers, {place}: {before_mb:.0f} MB before, peak "
                f"{status_mb(process, 'VmHWM'):.0f} MB, {status_mb(process, 'VmRSS'):.0f} MB after;"
                f" ordinary requests during {dict(statuses)}, median "
                f"{durations_s[len(durations_s) // 2]:.3f} s, longest {durations_s[-1]:.3f} s;"
                f" after {dict(after)}; answers to the crowd {dict(answers)}"
            )


if __name__ == "__main__":
    seconds = float(sys.argv[3]) if len(sys.argv) > 3 else 8.0
    asyncio.run(measure(int(sys.argv[1]), sys.argv[2], seconds))
