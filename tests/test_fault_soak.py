"""The soak finds broken promises, and the processes keep them on seeds that are kept."""

from __future__ import annotations

import asyncio
import pathlib

import pytest
from gentianpaddle_platform_standins import documents, replica

from fault_soak import callers, promises, run, system
from gentianpaddle_platform import headers

ADDRESSES = 50
"""Loopback addresses of its own, so that a soak by hand may run at the same time."""

SEEDS = [(1, "first seed of the soak; found nothing")]
"""Seeds that are played on each change, with what they found."""


@pytest.mark.parametrize(("seed", "found"), SEEDS)
def test_promises_hold_under_faults(tmp_path: pathlib.Path, seed: int, found: str) -> None:
    """Guards against faults of the processes that only overlapping trouble brings out."""
    verdict = asyncio.run(run.play(seed, 5.0, tmp_path, ADDRESSES))
    assert verdict.broken == [], found
    assert verdict.served > 0.5 * verdict.requests


def sent(path: str, status: int | None, answer: bytes = b"", **more: object) -> callers.Sent:
    fields = {headers.SEAL.decode(): "seal-i-1"} if status == 200 else {}
    found = callers.Sent("7", "POST", path, b"", "f", 0.0, status, fields, answer, True)
    for name, value in more.items():
        setattr(found, name, value)
    return found


def ran(times: int, path: str, **more: str) -> system.Server:
    runs = system.TimedRuns()
    fields = {headers.ORGANISATION.decode(): documents.ORGANISATION, **more}
    for _ in range(times):
        runs.append(replica.Run("7", fields, path, b""))
    standin = replica.ReplicaStandin("i-1")
    return system.Server(standin, None, runs)  # type: ignore[arg-type]


PLAIN = b'{"server": "i-1", "echo": 0}'
CUT_STREAM = callers.WHOLE_STREAM[:40]


@pytest.mark.parametrize(
    ("item", "server", "expected"),
    [
        (sent("/book/7", 200, PLAIN), ran(1, "/book/7"), ""),
        (sent("/book/7", 200, PLAIN), ran(2, "/book/7"), "ran 2 times"),
        (sent("/look/7", 200, PLAIN), ran(2, "/look/7"), ""),
        (sent("/book/7", 503), ran(1, "/book/7"), "answered 503"),
        (sent("/book/7", 503), ran(0, "/book/7"), ""),
        (sent("/book/7", 502), ran(1, "/book/7"), ""),
        (sent("/look/7", 404), ran(0, "/look/7"), "denied with 404"),
        (sent("/look/7", 200, PLAIN), ran(0, "/look/7"), "success with the seal"),
        (sent("/look/7", 200, b'{"server": "i-2"}'), ran(1, "/look/7"), "another body"),
        (sent("/look/7", 200, PLAIN), ran(1, "/look/8"), "another path"),
        (sent("/look/7", 200, PLAIN), ran(1, "/look/7", authorization="x"), "the caller's key"),
        (sent("/stream/7", 200, callers.WHOLE_STREAM), ran(1, "/stream/7"), ""),
        (sent("/stream/7", 200, CUT_STREAM), ran(1, "/stream/7"), "looks complete"),
        (sent("/stream/7", 200, CUT_STREAM, complete=False), ran(1, "/stream/7"), ""),
        (sent("/stream/7", 200, CUT_STREAM[9:]), ran(1, "/stream/7"), "out of order"),
        (sent("/look/8", 200, PLAIN, id="8"), ran(1, "/look/7"), "no caller sent it"),
    ],
)
def test_broken_promises_are_found(
    tmp_path: pathlib.Path, item: callers.Sent, server: system.Server, expected: str
) -> None:
    """Guards against a soak that passes because it does not look."""
    running = system.System(tmp_path, 0)
    running.servers.append(server)
    found = promises.broken_promises(running, [item])
    if expected:
        assert any(expected in line for line in found)
    else:
        assert found == []
