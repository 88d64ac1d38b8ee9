"""Processor time and memory of the data path and of large declarations."""

from __future__ import annotations

import concurrent.futures
import dataclasses
import json
import pathlib
import select
import socket
import time
import urllib.parse
from collections.abc import Iterator

from benchmarks import capacity_fleet

TOKEN_COUNTS = (4, 64, 160)
REQUESTS_PER_ROUND = 32
CALLERS = 16
ENGINE_STEP_S = 0.012
"""Longer than the 10 ms within which an agent coalesces tokens, so that each token is one chunk."""
WARM_UP_ROUNDS = 3
ATTEMPTS_LIMIT = 20
WAITING_COUNTS = (50, 100, 200, 400)
ORGANISATION_COUNTS = (0, 1_000, 2_000, 4_000, 8_800)


@dataclasses.dataclass(frozen=True, slots=True)
class PointSeries:
    """Measured points of one figure."""

    name: str
    """Name of the figure, with its unit."""
    pairs: list[tuple[float, float]]
    """Pairs of size and measured value."""


def measure_load(directory: pathlib.Path, notes: list[str]) -> Iterator[PointSeries]:
    """Measure streamed requests, organisations and waiting requests on one entry and two agents.

    Args:
        directory: Directory for settings files.
        notes: List to which remarks on the run, such as failed steps, are appended.

    Yields:
        Points of each figure.
    """
    with capacity_fleet.Fleet(directory, ENGINE_STEP_S) as fleet:
        fleet.grow_to(1, 2)
        yield from _measure_requests(fleet, notes)
        yield from _measure_organisations(fleet, notes)
    with capacity_fleet.Fleet(directory, 20.0) as fleet:
        fleet.grow_to(1, 2)
        yield _measure_waiting(fleet, notes)


def _measure_requests(fleet: capacity_fleet.Fleet, notes: list[str]) -> Iterator[PointSeries]:
    for _ in range(WARM_UP_ROUNDS):
        _send_requests(fleet, 4)
    points: dict[str, list[tuple[float, float]]] = {"entry": [], "agent": []}
    completed_total = 0
    vms = list(fleet.process_by_vm)
    idle_ms_per_s_by_vm = _idle_ms_per_s(fleet, vms)
    for tokens in TOKEN_COUNTS * 2:
        started_s, before = time.monotonic(), fleet.usage(vms)
        completed = _send_requests(fleet, tokens)
        elapsed_s, after = time.monotonic() - started_s, fleet.usage(vms)
        completed_total += completed
        for role, used_points in points.items():
            used_ms = sum(
                after[vm].processor_ms
                - before[vm].processor_ms
                - idle_ms_per_s_by_vm[vm] * elapsed_s
                for vm in fleet.vms(role)
            )
            used_points.append((tokens, used_ms / max(1, completed)))
    notes.append(
        f"{completed_total} of {REQUESTS_PER_ROUND * len(TOKEN_COUNTS) * 2} streamed requests"
        " returned the whole answer"
    )
    for role, used_points in points.items():
        yield PointSeries(
            f"{role} data path: processor ms a streamed request by tokens", used_points
        )


def _idle_ms_per_s(fleet: capacity_fleet.Fleet, vms: list[str]) -> dict[str, float]:
    started_s, before = time.monotonic(), fleet.usage(vms)
    time.sleep(3.0)
    after, elapsed_s = fleet.usage(vms), time.monotonic() - started_s
    return {vm: (after[vm].processor_ms - before[vm].processor_ms) / elapsed_s for vm in vms}


def _send_requests(fleet: capacity_fleet.Fleet, tokens: int) -> int:
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        return sum(
            pool.map(lambda number: _send_chat(fleet, number, tokens), range(REQUESTS_PER_ROUND))
        )


def _send_chat(fleet: capacity_fleet.Fleet, number: int, tokens: int) -> bool:
    body = _chat_body(f"{time.monotonic()} {number}", tokens)
    url = f"{fleet.entry_urls[0]}/v1/chat/completions"
    for _ in range(ATTEMPTS_LIMIT):
        response = fleet.pool.request("POST", url, body=body, headers=capacity_fleet.CALLER_HEADERS)
        if response.status != 429:
            return response.status == 200 and b"data: [DONE]" in response.data
        time.sleep(min(2.0, float(response.headers["Retry-After"])))
    return False


def _chat_body(prompt: str, tokens: int) -> bytes:
    document = {
        "model": "drafter",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "stream": True,
    }
    return json.dumps(document).encode()


def _measure_organisations(fleet: capacity_fleet.Fleet, notes: list[str]) -> Iterator[PointSeries]:
    entry_memory: list[tuple[float, float]] = []
    agent_memory: list[tuple[float, float]] = []
    full_change_times: list[tuple[float, float]] = []
    small_change_times: list[tuple[float, float]] = []
    for count in ORGANISATION_COUNTS:
        text = capacity_fleet.declaration(count, f"{count} organisations")
        started_s = time.monotonic()
        status, body = fleet.put_configuration(text)
        if status != 200:
            notes.append(f"{count} organisations, {len(text)} bytes: {status} {body[:200]!r}")
            break
        try:
            capacity_fleet.wait_until(lambda: all(map(fleet.has_converged, fleet.entry_urls)), 0.05)
        except TimeoutError:
            notes.append(f"{count} organisations, {len(text)} bytes: not in force after 30 s")
            break
        full_change_times.append((count / 1_000, time.monotonic() - started_s))
        started_s = time.monotonic()
        fleet.put_configuration(text + f"\n# one line more than {count}")
        elapsed_s = capacity_fleet.wait_until(
            lambda: fleet.has_converged(fleet.entry_urls[0]), 0.05
        )
        small_change_times.append((count / 1_000, time.monotonic() - started_s))
        notes.append(f"{count} organisations: one line more in force after {elapsed_s:.2f} s")
        usage_by_vm = fleet.usage(["entry0", "agent0"])
        entry_memory.append((count / 1_000, usage_by_vm["entry0"].resident_mb))
        agent_memory.append((count / 1_000, usage_by_vm["agent0"].resident_mb))
    if len(entry_memory) > 1:
        yield PointSeries("entry: resident MB by 1,000 organisations", entry_memory)
        yield PointSeries("agent: resident MB by 1,000 organisations", agent_memory)
        yield PointSeries(
            "s until in force at 1 entry and 2 agents by 1,000 organisations", full_change_times
        )
        yield PointSeries(
            "s until one line more is in force by 1,000 organisations", small_change_times
        )


def _measure_waiting(fleet: capacity_fleet.Fleet, notes: list[str]) -> PointSeries:
    address = urllib.parse.urlsplit(fleet.entry_urls[0])
    headers = "".join(
        f"{name}: {value}\r\n" for name, value in capacity_fleet.CALLER_HEADERS.items()
    )
    open_sockets: list[socket.socket] = []
    points: list[tuple[float, float]] = []
    try:
        for count in WAITING_COUNTS:
            while len(open_sockets) < count:
                body = _chat_body(f"waiting {len(open_sockets)}", 4)
                head = f"POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n{headers}"
                head += f"Content-Length: {len(body)}\r\n\r\n"
                connection = socket.create_connection(
                    (str(address.hostname), int(address.port or 0))
                )
                open_sockets.append(connection)
                connection.sendall(head.encode() + body)
            time.sleep(3.0)
            poll = select.poll()
            for connection in open_sockets:
                poll.register(connection, select.POLLIN)
            answered = len(poll.poll(0))
            if answered:
                notes.append(f"{answered} of {count} waiting requests were answered early")
            points.append((count - answered, fleet.usage(["entry0"])["entry0"].resident_mb))
    finally:
        for connection in open_sockets:
            connection.close()
    return PointSeries("entry: resident MB by requests that wait or run", points)
