"""Fronts in front of engines whose VM stops, while all engines are slow."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import pathlib
import re
import socket
from collections.abc import AsyncIterator

import pytest
from gentianpaddle_platform_standins import documents, front_system, replica

from gentianpaddle_gateway import distribution, peers

CALLER_PATIENCE_S = 2.0
"""Time without an event after which callers of streams leave."""

EVENT_GAP_S = 0.6
"""Time between the events of a stream of a slow engine; its first event takes as long."""

LOAD_INTERVAL_S = 0.1


class SideProcess:
    """Sends the load of an engine to the front until the VM or the side process stops.

    Args:
        engine: Engine on the same VM.
        front: Loopback address of the front.
    """

    def __init__(self, engine: replica.ReplicaStandin, front: str) -> None:
        self.stopped = False
        self._engine = engine
        self._front = front

    async def run(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            number = 0
            while True:
                number += 1
                if not self.stopped and not self._engine.vm_stopped:
                    load = peers.EngineLoad(self._engine.http.address, number % 2, True, 1.0, 0)
                    for datagram in distribution.encode_batches(
                        distribution.Step.SUBMIT, [peers.encode_load(load)]
                    ):
                        sender.sendto(datagram, (self._front, front_system.PORT))
                await asyncio.sleep(LOAD_INTERVAL_S)


@dataclasses.dataclass
class SlowGroup:
    """System with a group of slow engines."""

    system: front_system.System
    side_process_by_server: dict[str, SideProcess]

    def engine_of(self, path: str) -> replica.ReplicaStandin | None:
        """Return the engine that runs a request, or None."""
        return next(
            (
                engine
                for engine in self.system.replicas
                if any(run.path == path for run in engine.runs)
            ),
            None,
        )

    async def wait_for_run(self, path: str) -> replica.ReplicaStandin:
        """Wait until an engine runs a request and return the engine."""
        while (engine := self.engine_of(path)) is None:
            await asyncio.sleep(0.01)
        return engine

    async def warm_up(self) -> None:
        """Let the front measure the times of the engines."""
        calls = [
            front_system.call(
                self.system.host,
                front_system.PORT + 1,
                front_system.request("/stream/warm", name=f"warm-{number}").replace(
                    b": 3000", b": 20000"
                ),
                time_limit_s=15.0,
            )
            for number in range(6)
        ]
        await asyncio.gather(*calls)


@contextlib.asynccontextmanager
async def slow_group(directory: pathlib.Path) -> AsyncIterator[SlowGroup]:
    """Run a front and two slow engines with their side processes."""
    async with front_system.system(directory) as running:
        running.store.put("config", "main", documents.configuration(2, timeout_ms=20_000))
        sides = {item.server: SideProcess(item, running.host) for item in running.replicas}
        tasks = [asyncio.create_task(side.run()) for side in sides.values()]
        for engine in running.replicas:
            engine.response_delay_s = EVENT_GAP_S
        await asyncio.sleep(0.5)
        try:
            group = SlowGroup(running, sides)
            await group.warm_up()
            yield group
        finally:
            for task in tasks:
                task.cancel()
            for engine in running.replicas:
                engine.http.abort_connections()


@dataclasses.dataclass
class SeenStream:
    """What an impatient caller has seen of its stream."""

    status: int = 0
    """Status of the answer, 0 for none."""
    event_ids: tuple[int, ...] = ()
    complete: bool = False
    left: bool = False
    """Whether the caller left because it got nothing for `CALLER_PATIENCE_S`."""


async def read_stream(host: str, path: str) -> SeenStream:
    """Send a request and read its answer until its end, or as long as callers wait."""
    reader, writer = await asyncio.open_connection(host, front_system.PORT + 1)
    writer.write(front_system.request(path, name=path).replace(b": 3000", b": 20000"))
    received, left = b"", False
    try:
        while not received.endswith((b"0\r\n\r\n", b"content-length: 0\r\n\r\n")):
            part = await asyncio.wait_for(reader.read(65_536), CALLER_PATIENCE_S)
            if not part:
                break
            received += part
    except TimeoutError:
        left = True
    except ConnectionError:
        pass
    writer.close()
    return SeenStream(
        int(received.split(b" ")[1]) if received else 0,
        tuple(int(number) for number in re.findall(rb"id: (\d+)\n", received)),
        received.endswith(b"\r\n0\r\n\r\n"),
        left,
    )


WHOLE_STREAM = SeenStream(200, tuple(range(1, replica.EVENT_COUNT + 1)), complete=True)


@pytest.mark.parametrize(
    ("stopped_after_s", "kernel_runs"),
    [(0.1, False), (0.1, True), (2.5 * EVENT_GAP_S, False), (2.5 * EVENT_GAP_S, True)],
)
def test_stream_leaves_an_engine_whose_vm_has_stopped(
    tmp_path: pathlib.Path, stopped_after_s: float, kernel_runs: bool
) -> None:
    """Guards against callers that leave while their requests stay at the engine of a stopped VM.

    All engines are slow, so that the time without an event alone tells nothing.
    """

    async def scenario() -> None:
        async with slow_group(tmp_path) as group:
            call = asyncio.create_task(read_stream(group.system.host, "/stream/moved"))
            engine = await group.wait_for_run("/stream/moved")
            await asyncio.sleep(stopped_after_s)
            engine.stop_vm(kernel_runs)
            assert await call == WHOLE_STREAM

    asyncio.run(scenario())


def test_caller_is_answered_before_it_leaves_if_no_other_engine_is_left(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against callers that wait in vain and leave, instead of coming back at once."""

    async def scenario() -> None:
        async with slow_group(tmp_path) as group:
            call = asyncio.create_task(read_stream(group.system.host, "/stream/lost"))
            engine = await group.wait_for_run("/stream/lost")
            for other in group.system.replicas:
                if other is not engine:
                    entry = {**other.entry("app", "north"), "state": "draining"}
                    group.system.store.put("servers", other.server, entry)
            engine.stop_vm()
            # The request may have run, so that nothing else may be said of it.
            assert await call == SeenStream(status=502)

    asyncio.run(scenario())


@pytest.mark.parametrize(("vm_stops"), [False, True])
def test_caller_without_an_event_is_answered_before_it_leaves(
    tmp_path: pathlib.Path, vm_stops: bool
) -> None:
    """Guards against callers that leave an engine just after its VM has stopped unnoticed.

    The first event takes longer than callers wait. The VM stops 0.3 s before the caller would
    leave, which is too short to notice it.
    """

    async def scenario() -> None:
        async with slow_group(tmp_path) as group:
            for engine in group.system.replicas:
                engine.response_delay_s = 2.0 * CALLER_PATIENCE_S
            call = asyncio.create_task(read_stream(group.system.host, "/stream/late"))
            engine = await group.wait_for_run("/stream/late")
            await asyncio.sleep(CALLER_PATIENCE_S - 0.3)
            if vm_stops:
                engine.stop_vm()
            assert await call == SeenStream(status=502)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("path", "vm_stops", "seen"),
    [
        # Only the side process has stopped; the engine answers.
        ("/stream/side-gone", False, WHOLE_STREAM),
        # A booking may have run and is not repeated; its caller waits for its deadline.
        ("/book/1", True, SeenStream(left=True)),
    ],
)
def test_request_stays_at_its_engine(
    tmp_path: pathlib.Path, path: str, vm_stops: bool, seen: SeenStream
) -> None:
    """Guards against repeats of requests at an engine that works, or that may run only once."""

    async def scenario() -> None:
        async with slow_group(tmp_path) as group:
            call = asyncio.create_task(read_stream(group.system.host, path))
            engine = await group.wait_for_run(path)
            group.side_process_by_server[engine.server].stopped = True
            if vm_stops:
                engine.stop_vm()
            assert await call == seen
            assert len([run for run in group.system.runs() if run.path == path]) == 1

    asyncio.run(scenario())
