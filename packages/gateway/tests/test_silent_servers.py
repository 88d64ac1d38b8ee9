"""Fronts in front of servers that say nothing, too little or too much."""

from __future__ import annotations

import asyncio
import pathlib

import pytest
from gentianpaddle_platform_standins import documents, front_system, replica

MOVED_WITHIN_S = 1.5
"""Time within which a request at a silent server is served by another one. Callers of streams leave
after 2 s without an event."""

PEAK_MEMORY_BYTES = 120 * 1_048_576
"""Maximum memory of a front in these tests; the smallest fronts have 200 MB."""


async def keep_streaming(running: front_system.System) -> None:
    """Send streams at a steady rate, so that the front sees other servers make progress."""
    number = 0
    calls: set[asyncio.Task[front_system.Answer]] = set()
    while True:
        number += 1
        data = front_system.request("/stream/background", name=f"background-{number}")
        call = asyncio.create_task(front_system.call(running.host, front_system.PORT + 1, data))
        calls.add(call)
        call.add_done_callback(calls.discard)
        await asyncio.sleep(0.05)


def inject(running: front_system.System, failure: str) -> None:
    """Inject a failure into the next request, whichever server gets it."""
    pending = [replica.InjectedFailure[failure]]
    for standin in running.replicas:
        standin.pending_failures = pending


def peak_memory_bytes(process: asyncio.subprocess.Process) -> int:
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return int(status.split("VmHWM:")[1].split()[0]) * 1_024


@pytest.mark.parametrize(
    "rows",
    [
        [("/look/1", "SILENT"), ("/look/1", "ENDLESS_INFORMATIONAL"), ("/look/1", "ENDLESS_HEAD")],
        [("/stream/1", "SILENT"), ("/stream/1", "STALLED"), ("/stream/1", "TRICKLE")],
        [("/stream/1", "ENDLESS_INFORMATIONAL"), ("/stream/1", "ENDLESS_BODY")],
    ],
)
def test_repeatable_request_leaves_a_silent_server(
    tmp_path: pathlib.Path, rows: list[tuple[str, str]]
) -> None:
    """Guards against callers that wait for their deadline while an idle server could serve them."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        async with front_system.system(tmp_path) as running:
            for standin in running.replicas:
                standin.response_delay_s = 0.05
            background = asyncio.create_task(keep_streaming(running))
            await asyncio.sleep(1.0)
            for path, failure in rows:
                background.cancel()
                await asyncio.sleep(0.6)
                inject(running, failure)
                started_s = loop.time()
                call = asyncio.create_task(running.ask(path))
                await asyncio.sleep(0.03)
                background = asyncio.create_task(keep_streaming(running))
                answer = await call
                assert answer.status == 200, (path, failure)
                assert loop.time() - started_s < MOVED_WITHIN_S, (path, failure)
                if path.startswith("/stream"):
                    assert answer.body == front_system.WHOLE_STREAM
                # The failed server is usable again before the next case.
                await asyncio.sleep(1.2)
            background.cancel()
            assert peak_memory_bytes(running.processes[0]) < PEAK_MEMORY_BYTES

    asyncio.run(scenario())


@pytest.mark.parametrize("failure", ["SILENT", "ENDLESS_BODY", "ENDLESS_INFORMATIONAL"])
def test_booking_is_sent_once_to_a_silent_server(tmp_path: pathlib.Path, failure: str) -> None:
    """Guards against a booking that runs twice because its first server said nothing."""

    async def scenario() -> None:
        async with front_system.system(tmp_path) as running:
            inject(running, failure)
            answer = await running.ask("/book/1", "POST", b"body")
            assert answer.status in (502, 504)
            assert len(running.runs()) == 1
            assert peak_memory_bytes(running.processes[0]) < PEAK_MEMORY_BYTES

    asyncio.run(scenario())


@pytest.mark.parametrize("event_gap_s", [0.3, 1.0])
def test_stalled_group_keeps_its_streams(tmp_path: pathlib.Path, event_gap_s: float) -> None:
    """Guards against cutting slow but sound streams, or moving them within a stalled group.

    All servers are equally slow, so that another server would not be faster.
    """

    async def scenario() -> None:
        async with front_system.system(tmp_path) as running:
            running.store.put("config", "main", documents.configuration(2, timeout_ms=20_000))
            await asyncio.sleep(0.3)
            for standin in running.replicas:
                standin.response_delay_s = event_gap_s
            names = [f"slow-{number}" for number in range(4)]
            answers = await asyncio.gather(
                *(
                    front_system.call(
                        running.host,
                        front_system.PORT + 1,
                        front_system.request("/stream/1", name=name).replace(b": 3000", b": 20000"),
                        time_limit_s=15.0,
                    )
                    for name in names
                )
            )
            assert [answer.body for answer in answers] == [front_system.WHOLE_STREAM] * len(names)
            assert len(running.runs()) == len(names)

    asyncio.run(scenario())


def test_other_requests_are_served_beside_endless_answers(tmp_path: pathlib.Path) -> None:
    """Guards against one server whose endless answers keep a front from its other callers."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        async with front_system.system(tmp_path) as running:
            endless, sound = running.replicas
            endless.pending_failures = [replica.InjectedFailure.ENDLESS_BODY] * 40
            flood = [
                asyncio.create_task(
                    front_system.call(
                        running.host,
                        front_system.PORT + 1,
                        front_system.request("/stream/1", name=f"flood-{number}"),
                    )
                )
                for number in range(8)
            ]
            latencies_s = []
            for number in range(20):
                started_s = loop.time()
                data = front_system.request("/look/1", name=f"look-{number}")
                await front_system.call(running.host, front_system.PORT + 1, data)
                latencies_s.append(loop.time() - started_s)
                await asyncio.sleep(0.02)
            await asyncio.gather(*flood, return_exceptions=True)
            assert sorted(latencies_s)[len(latencies_s) // 2] < 0.4
            assert sound.runs
            assert peak_memory_bytes(running.processes[0]) < PEAK_MEMORY_BYTES

    asyncio.run(scenario())
