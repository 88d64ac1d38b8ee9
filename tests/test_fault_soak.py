"""The soak test detects violations, and the processes have none on the recorded seeds."""

from __future__ import annotations

import asyncio
import pathlib

import pytest
from gentianpaddle_platform_standins import documents, replica

from fault_soak import callers, invariants, run, system
from gentianpaddle_platform import headers

SLOT = 50
"""Slot with separate loopback addresses, so that a soak by hand can run at the same time."""

SEEDS = [(1, "first seed of the soak; found nothing")]
"""Seeds run on each change, with the fault that each one found."""


@pytest.mark.parametrize(("seed", "found"), SEEDS)
def test_guarantees_hold_under_injected_faults(
    tmp_path: pathlib.Path, seed: int, found: str
) -> None:
    """Guards against defects of the processes that only overlapping faults expose."""
    result = asyncio.run(run.run_seed(seed, 5.0, tmp_path, SLOT))
    assert result.violations == [], found
    assert result.served > 0.5 * result.requests


def new_record(
    path: str, status: int | None, response_body: bytes = b"", **more: object
) -> callers.RequestRecord:
    fields = {headers.RESPONSE_SIGNATURE.decode(): "seal-i-1"} if status == 200 else {}
    result = callers.RequestRecord(
        "7", "POST", path, b"", "f", 0.0, status, fields, response_body, True
    )
    for name, value in more.items():
        setattr(result, name, value)
    return result


def server_with_runs(times: int, path: str, **more: str) -> system.Server:
    runs = system.TimedRuns()
    fields = {headers.ORGANISATION.decode(): documents.ORGANISATION, **more}
    for _ in range(times):
        runs.append(replica.RecordedRequest("7", fields, path, b"", arrived_s=0.0))
    standin = replica.ReplicaStandin("i-1")
    return system.Server(standin, None, runs)  # type: ignore[arg-type]


PLAIN_BODY = b'{"server": "i-1", "echo": 0}'
TRUNCATED_STREAM = callers.COMPLETE_STREAM[:40]


@pytest.mark.parametrize(
    ("sent_request", "server", "expected"),
    [
        (new_record("/book/7", 200, PLAIN_BODY), server_with_runs(1, "/book/7"), ""),
        (new_record("/book/7", 200, PLAIN_BODY), server_with_runs(2, "/book/7"), "ran 2 times"),
        (new_record("/look/7", 200, PLAIN_BODY), server_with_runs(2, "/look/7"), ""),
        (new_record("/book/7", 503), server_with_runs(1, "/book/7"), "answered 503"),
        (new_record("/book/7", 503), server_with_runs(0, "/book/7"), ""),
        (new_record("/book/7", 502), server_with_runs(1, "/book/7"), ""),
        (new_record("/look/7", 404), server_with_runs(0, "/look/7"), "denied with 404"),
        (
            new_record("/look/7", 200, PLAIN_BODY),
            server_with_runs(0, "/look/7"),
            "success with the seal",
        ),
        (
            new_record("/look/7", 200, b'{"server": "i-2"}'),
            server_with_runs(1, "/look/7"),
            "body differs",
        ),
        (new_record("/look/7", 200, PLAIN_BODY), server_with_runs(1, "/look/8"), "different path"),
        (
            new_record("/look/7", 200, PLAIN_BODY),
            server_with_runs(1, "/look/7", authorization="x"),
            "the caller's key",
        ),
        (
            new_record("/stream/7", 200, callers.COMPLETE_STREAM),
            server_with_runs(1, "/stream/7"),
            "",
        ),
        (
            new_record("/stream/7", 200, TRUNCATED_STREAM),
            server_with_runs(1, "/stream/7"),
            "looks complete",
        ),
        (
            new_record("/stream/7", 200, TRUNCATED_STREAM, complete=False),
            server_with_runs(1, "/stream/7"),
            "",
        ),
        (
            new_record("/stream/7", 200, TRUNCATED_STREAM[9:]),
            server_with_runs(1, "/stream/7"),
            "out of order",
        ),
        (
            new_record("/look/8", 200, PLAIN_BODY, id="8"),
            server_with_runs(1, "/look/7"),
            "no caller sent it",
        ),
    ],
)
def test_violations_are_found(
    tmp_path: pathlib.Path,
    sent_request: callers.RequestRecord,
    server: system.Server,
    expected: str,
) -> None:
    """Guards against a soak test that passes because it misses violations."""
    sut = system.System(tmp_path, 0)
    sut.servers.append(server)
    violations = invariants.find_violations(sut, [sent_request])
    if expected:
        assert any(expected in line for line in violations)
    else:
        assert violations == []
