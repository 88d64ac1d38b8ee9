"""Fronts in front of servers that spoil the id of one event of a stream."""

from __future__ import annotations

import asyncio
import pathlib

import pytest
from gentianpaddle_platform_standins import front_system, replica

from gentianpaddle_platform import headers


def answer(
    run: replica.RecordedRequest, spoiled_event: int | None, spoiled_id: str
) -> replica.RawAnswer:
    """Return a stream without a length, from the event after the one that the request names."""
    first = int(run.headers.get(headers.LAST_EVENT_ID.decode(), "0")) + 1
    lines = [
        "HTTP/1.1 200 OK",
        "Content-Type: text/event-stream",
        f"{headers.REQUEST_ID.decode()}: {run.request_id}",
        f"{headers.RESPONSE_SIGNATURE.decode()}: seal-1",
    ]
    data = "\r\n".join(lines) + "\r\n\r\n"
    for number in range(first, replica.EVENT_COUNT + 1):
        event_id = spoiled_id if number == spoiled_event else str(number)
        data += f"id: {event_id}\ndata: piece {number}\n\n"
    return replica.RawAnswer(data.encode(), reset=False)


@pytest.mark.parametrize(
    ("spoiled_event", "spoiled_id", "runs"),
    [
        (4, "84", 2),
        (4, "2", 2),
        (4, "x", 2),
        (replica.EVENT_COUNT, "84", 2),
        (replica.EVENT_COUNT, "2", 2),
        # The caller has got the event before its id is known to be wrong.
        (1, "14", 1),
        (1, "0", 1),
        # The event before the wrong one may be wrong as well.
        (2, "24", 1),
    ],
)
def test_stream_with_a_spoiled_event_is_resumed_or_incomplete(
    tmp_path: pathlib.Path, spoiled_event: int, spoiled_id: str, runs: int
) -> None:
    """Guards against a complete stream that lacks sound events or has one of them twice.

    All events of a stream arrive at the front together.
    """

    async def scenario() -> None:
        async with front_system.system(tmp_path) as running:
            for standin in running.replicas:
                standin.raw_answer = lambda _: answer(
                    running.runs()[-1],
                    spoiled_event if len(running.runs()) == 1 else None,
                    spoiled_id,
                )
            found = await running.ask("/stream/1", "POST", b"x")
            assert len(running.runs()) == runs
            if runs == 2:
                assert (found.status, found.complete) == (200, True)
                assert found.body == front_system.WHOLE_STREAM
            else:
                assert not found.complete

    asyncio.run(scenario())
