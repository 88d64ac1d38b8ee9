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

TOKEN_SIZES = (4, 64, 160)
REQUESTS = 32
CALLERS = 16
STEP_S = 0.012
"""Above the 10 ms within which an agent joins tokens, so that each token is one chunk."""
WARM_UP_ROUNDS = 3
RETRIES_LIMIT = 20
WAITING_SIZES = (50, 100, 200, 400)
ORGANISATION_SIZES = (0, 1_000, 2_000, 4_000, 8_800)


@dataclasses.dataclass(frozen=True, slots=True)
class Points:
    """Measured points of one figure."""

    name: str
    """Name with units."""
    pairs: list[tuple[float, float]]
    """Sizes and values."""


def measure_load(directory: pathlib.Path, notes: list[str]) -> Iterator[Points]:
    """Measure requests, waiting requests and organisations on one entry and two agents.

    Args:
        directory: Directory for settings files.
        notes: Where exceptions to the plan are noted.

    Yields:
        Points of each figure.
    """
    with capacity_fleet.Fleet(directory, STEP_S) as fleet:
        fleet.grow(1, 2)
        yield from _requests(fleet, notes)
        yield from _organisations(fleet, notes)
    with capacity_fleet.Fleet(directory, 20.0) as fleet:
        fleet.grow(1, 2)
        yield _waiting(fleet, notes)


def _requests(fleet: capacity_fleet.Fleet, notes: list[str]) -> Iterator[Points]:
    for _ in range(WARM_UP_ROUNDS):
        _send(fleet, 4)
    points: dict[str, list[tuple[float, float]]] = {"entry": [], "agent": []}
    finished = 0
    vms = list(fleet.process_by_vm)
    idle = _idle(fleet, vms)
    for tokens in TOKEN_SIZES * 2:
        began_s, before = time.monotonic(), fleet.usage(vms)
        done = _send(fleet, tokens)
        passed_s, after = time.monotonic() - began_s, fleet.usage(vms)
        finished += done
        for role, found in points.items():
            used_ms = sum(
                after[vm].processor_ms - before[vm].processor_ms - idle[vm] * passed_s
                for vm in fleet.vms(role)
            )
            found.append((tokens, used_ms / max(1, done)))
    notes.append(f"{finished} of {REQUESTS * len(TOKEN_SIZES) * 2} streamed requests ended whole")
    for role, found in points.items():
        yield Points(f"{role} data path: processor ms a streamed request by tokens", found)


def _idle(fleet: capacity_fleet.Fleet, vms: list[str]) -> dict[str, float]:
    began_s, before = time.monotonic(), fleet.usage(vms)
    time.sleep(3.0)
    after, passed_s = fleet.usage(vms), time.monotonic() - began_s
    return {vm: (after[vm].processor_ms - before[vm].processor_ms) / passed_s for vm in vms}


def _send(fleet: capacity_fleet.Fleet, tokens: int) -> int:
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        return sum(pool.map(lambda number: _chat(fleet, number, tokens), range(REQUESTS)))


def _chat(fleet: capacity_fleet.Fleet, number: int, tokens: int) -> bool:
    body = _body(f"{time.monotonic()} {number}", tokens)
    url = f"{fleet.entry_urls[0]}/v1/chat/completions"
    for _ in range(RETRIES_LIMIT):
        response = fleet.pool.request("POST", url, body=body, headers=capacity_fleet.CALLER)
        if response.status != 429:
            return response.status == 200 and b"data: [DONE]" in response.data
        time.sleep(min(2.0, float(response.headers["Retry-After"])))
    return False


def _body(prompt: str, tokens: int) -> bytes:
    document = {
        "model": "drafter",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "stream": True,
    }
    return json.dumps(document).encode()


def _organisations(fleet: capacity_fleet.Fleet, notes: list[str]) -> Iterator[Points]:
    entry: list[tuple[float, float]] = []
    agent: list[tuple[float, float]] = []
    spread: list[tuple[float, float]] = []
    small: list[tuple[float, float]] = []
    for size in ORGANISATION_SIZES:
        text = capacity_fleet.declaration(size, f"{size} organisations")
        began_s = time.monotonic()
        status, body = fleet.apply(text)
        if status != 200:
            notes.append(f"{size} organisations, {len(text)} bytes: {status} {body[:200]!r}")
            break
        try:
            capacity_fleet.wait_until(lambda: all(map(fleet.in_force, fleet.entry_urls)), 0.05)
        except TimeoutError:
            notes.append(f"{size} organisations, {len(text)} bytes: not in force after 30 s")
            break
        spread.append((size / 1_000, time.monotonic() - began_s))
        began_s = time.monotonic()
        fleet.apply(text + f"\n# one line more than {size}")
        passed_s = capacity_fleet.wait_until(lambda: fleet.in_force(fleet.entry_urls[0]), 0.05)
        small.append((size / 1_000, time.monotonic() - began_s))
        notes.append(f"{size} organisations: one line more in force after {passed_s:.2f} s")
        used = fleet.usage(["entry0", "agent0"])
        entry.append((size / 1_000, used["entry0"].resident_mb))
        agent.append((size / 1_000, used["agent0"].resident_mb))
    if len(entry) > 1:
        yield Points("entry: resident MB by 1,000 organisations", entry)
        yield Points("agent: resident MB by 1,000 organisations", agent)
        yield Points("s until in force at 1 entry and 2 agents by 1,000 organisations", spread)
        yield Points("s until one line more is in force by 1,000 organisations", small)


def _waiting(fleet: capacity_fleet.Fleet, notes: list[str]) -> Points:
    address = urllib.parse.urlsplit(fleet.entry_urls[0])
    headers = "".join(f"{name}: {value}\r\n" for name, value in capacity_fleet.CALLER.items())
    open_sockets: list[socket.socket] = []
    points: list[tuple[float, float]] = []
    try:
        for size in WAITING_SIZES:
            while len(open_sockets) < size:
                body = _body(f"waiting {len(open_sockets)}", 4)
                head = f"POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n{headers}"
                head += f"Content-Length: {len(body)}\r\n\r\n"
                caller = socket.create_connection((str(address.hostname), int(address.port or 0)))
                open_sockets.append(caller)
                caller.sendall(head.encode() + body)
            time.sleep(3.0)
            poll = select.poll()
            for caller in open_sockets:
                poll.register(caller, select.POLLIN)
            answered = len(poll.poll(0))
            if answered:
                notes.append(f"{answered} of {size} waiting requests were answered early")
            points.append((size - answered, fleet.usage(["entry0"])["entry0"].resident_mb))
    finally:
        for caller in open_sockets:
            caller.close()
    return Points("entry: resident MB by requests that wait or run", points)
