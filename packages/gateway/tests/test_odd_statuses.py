"""Fronts in front of servers whose answers have a status that HTTP does not define."""

from __future__ import annotations

import asyncio
import pathlib

import pytest
from gentianpaddle_platform_standins import front_system, replica

from gentianpaddle_platform import headers

ODD_STATUSES = ["000", "001", "099", "100", "199", "600", "999", "-01", "20", "2000", "0200", "2x0"]


def odd_answer(status: str, path: str, name: str) -> replica.RawAnswer:
    """Return a signed answer with a status."""
    stream = path.startswith("/stream")
    body = front_system.WHOLE_STREAM if stream else b"{}"
    lines = [
        f"HTTP/1.1 {status} Odd",
        f"Content-Type: {'text/event-stream' if stream else 'application/json'}",
        f"{headers.REQUEST_ID.decode()}: {name}",
        f"{headers.RESPONSE_SIGNATURE.decode()}: seal-1",
        f"{headers.NOT_RUN.decode()}: 1",
        f"Content-Length: {len(body)}",
    ]
    return replica.RawAnswer(("\r\n".join(lines) + "\r\n\r\n").encode() + body, reset=False)


@pytest.mark.parametrize(
    ("path", "method", "runs"),
    [("/book/1", "POST", 1), ("/look/1", "GET", 2), ("/stream/1", "POST", 2)],
)
def test_answer_with_an_odd_status_is_not_passed_on(
    tmp_path: pathlib.Path, path: str, method: str, runs: int
) -> None:
    """Guards against an answer whose status no caller understands, and against taking it for proof.

    What the server did is unknown, so the request counts as run.
    """

    async def scenario() -> None:
        async with front_system.system(tmp_path) as running:
            for status in ODD_STATUSES:
                for standin in running.replicas:
                    standin.runs.clear()
                    standin.raw_answer = lambda name, status=status: odd_answer(status, path, name)
                answer = await running.ask(path, method, b"x" if method == "POST" else b"")
                assert answer.status == 502, status
                assert headers.RESPONSE_SIGNATURE.decode() not in answer.headers, status
                assert len(running.runs()) == runs, status

    asyncio.run(scenario())
