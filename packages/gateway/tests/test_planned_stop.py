"""Planned stops of a front whose callers keep their connections and send requests to the end."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import random
import signal

import pytest
from gentianpaddle_platform_standins import documents, front_system, replica

GRACE_S = 8.0
"""Time between SIGTERM and SIGKILL."""

LOSS_SLACK_S = 0.2
"""Time after its last byte within which a request that was not passed on may be lost."""

LONG_WORK_SENT_S = 3.0
"""Time after SIGTERM until which a request may be sent that is cut because its work is too long."""

LONG_WORK_CUT_S = GRACE_S * 5.0 / 6.0
"""Time after SIGTERM from which such a request may be cut."""

DIRECTORY_ANSWER_S = 6.0
"""Longest time for which callers use an answer of the directory: three times its time to live."""

STREAM_DEADLINE_MS = 8_050
"""Time that the callers of streams wait."""

ROUTE_TIMEOUT_S = 8.0
"""Time-out of the routes, at which a request may end without a complete answer."""

SENDING_S = 0.3
"""Time for which a request with a body in chunks is sent."""


@dataclasses.dataclass(slots=True)
class SentRequest:
    """A request and what its caller saw of the answer. All times are monotonic, in seconds."""

    name: str
    path: str
    begun_s: float
    """Time of the first byte."""
    sent_s: float = 0.0
    """Time of the last byte; 0 if it was not sent."""
    ended_s: float = 0.0
    status: int = 0
    complete: bool = False


class Callers:
    """Callers of one front, who send until it is gone.

    Args:
        running: The system.
        host: Loopback address of the front.
        rng: Random source of the callers.
    """

    def __init__(self, running: front_system.System, host: str, rng: random.Random) -> None:
        self.requests: list[SentRequest] = []
        self._running = running
        self._host = host
        self._rng = rng
        self._stopped_s: float | None = None
        self._gone = False

    def process_ended(self) -> None:
        """Note that the front is gone; its successor at the same address has callers of its own."""
        self._gone = True

    def stop_begins(self) -> float:
        """Note that SIGTERM is sent now, and return the time."""
        self._stopped_s = asyncio.get_running_loop().time()
        return self._stopped_s

    async def send(self, paths: tuple[str, ...], idle_s: float) -> None:
        """Send requests on kept connections, and on new ones while the front is known.

        Args:
            paths: Paths to choose from.
            idle_s: Longest time for which a connection is idle.
        """
        loop = asyncio.get_running_loop()
        while not self._gone and (
            self._stopped_s is None or loop.time() - self._stopped_s < DIRECTORY_ANSWER_S
        ):
            try:
                reader, writer = await asyncio.open_connection(self._host, front_system.PORT + 1)
            except OSError:
                return
            kept = True
            while kept:
                await asyncio.sleep(self._rng.uniform(0.0, idle_s))
                # A caller does not use a connection that the front has closed.
                kept = not reader.at_eof() and await self._exchange(
                    reader, writer, self._rng.choice(paths)
                )
            writer.close()

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, path: str
    ) -> bool:
        """Send one request, and return whether the connection may be used again."""
        loop = asyncio.get_running_loop()
        request = SentRequest(f"{path}{self._host}-{len(self.requests)}", path, loop.time())
        self.requests.append(request)
        try:
            await self._write(writer, request)
            request.sent_s = loop.time()
            async with asyncio.timeout(STREAM_DEADLINE_MS / 1000.0):
                answer = await front_system.read_answer(reader)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            request.ended_s = loop.time()
            return False
        request.ended_s, request.status = loop.time(), answer.status
        request.complete = answer.complete
        return answer.complete and answer.headers.get("connection") != "close"

    async def _write(self, writer: asyncio.StreamWriter, request: SentRequest) -> None:
        data = front_system.request(request.path, name=request.name)
        if request.path.startswith("/look"):
            writer.write(data.replace(b": 3000", b": 600"))
            return
        deadline_ms = STREAM_DEADLINE_MS if request.path.startswith("/stream") else 1_500
        head = data.replace(b"GET", b"POST").replace(b": 3000", b": %d" % deadline_ms)
        writer.write(head[:-2] + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n")
        if self._rng.random() < 0.3:
            await asyncio.sleep(SENDING_S)
        writer.write(b"0\r\n\r\n")

    async def send_late(self, path: str, delay_s: float) -> None:
        """Send a request on a connection that was idle since the stop began.

        Args:
            path: Path of the request.
            delay_s: Time after the beginning of the stop.
        """
        try:
            reader, writer = await asyncio.open_connection(self._host, front_system.PORT + 1)
            await asyncio.sleep(delay_s)
        except OSError:
            return
        if not reader.at_eof():
            await self._exchange(reader, writer, path)
        writer.close()

    def lost(self) -> list[str]:
        """Return a line for each request that the stop has lost."""
        assert self._stopped_s is not None
        runs = {run.request_id: run.arrived_s for run in self._running.runs()}
        lines = []
        for request in self.requests:
            if request.complete or not request.sent_s:
                continue
            sent_s = request.sent_s - self._stopped_s
            ended_s = request.ended_s - self._stopped_s
            if request.ended_s - request.begun_s >= ROUTE_TIMEOUT_S:
                continue
            long_work = sent_s <= LONG_WORK_SENT_S and ended_s >= LONG_WORK_CUT_S
            passed_on = request.name in runs
            if (passed_on and not long_work) or (not passed_on and ended_s - sent_s > LOSS_SLACK_S):
                lines.append(
                    f"{request.name} sent {sent_s:.2f} s after SIGTERM, cut at {ended_s:.2f} s, "
                    f"status {request.status}, passed on: {passed_on}"
                )
        return lines


@pytest.mark.parametrize(
    ("response_delay_s", "caller_count"),
    [
        # A few callers whose streams take 4.8 s.
        (0.6, 8),
        # Requests wait for servers, and each stream takes 3.2 s.
        (0.4, 60),
    ],
)
def test_planned_stop_loses_no_late_request(
    tmp_path: pathlib.Path, response_delay_s: float, caller_count: int
) -> None:
    """Guards against late requests on kept connections that are cut when the process ends."""

    async def scenario() -> None:
        async with front_system.system(tmp_path, grace_s=int(GRACE_S)) as running:
            running.store.put("config", "main", documents.configuration(2, timeout_ms=8_000))
            for standin in running.replicas:
                standin.response_delay_s = response_delay_s
            callers = Callers(running, running.host, random.Random(caller_count))
            paths = ("/look/", "/book/", "/stream/", "/stream/")
            tasks = [asyncio.create_task(callers.send(paths, 4.0)) for _ in range(caller_count)]
            await asyncio.sleep(4.0)
            callers.stop_begins()
            running.processes[0].send_signal(signal.SIGTERM)
            late_stream = asyncio.create_task(callers.send_late("/stream/", 6.0))
            assert await asyncio.wait_for(running.processes[0].wait(), GRACE_S) == 0
            await asyncio.gather(*tasks, late_stream)
            assert callers.lost() == []

    asyncio.run(scenario())


HOSTS = ("127.0.0.2", "127.0.0.3", "127.0.0.4")


@pytest.mark.parametrize(("seed", "pause_s"), [(13, 1.0), (5, 4.0)])
def test_stops_in_series_lose_no_request(tmp_path: pathlib.Path, seed: int, pause_s: float) -> None:
    """Guards against streams of any framing that are cut while all fronts are restarted in turn."""

    async def stop_and_start(running: front_system.System, callers: Callers, index: int) -> None:
        callers.stop_begins()
        process = running.processes[index]
        process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(process.wait(), GRACE_S) == 0
        callers.process_ended()
        await running.start_front(HOSTS[index])
        await running.until(lambda: running.ready(HOSTS[index]))

    async def scenario() -> None:
        rng = random.Random(seed)
        async with front_system.system(tmp_path, grace_s=int(GRACE_S)) as running:
            running.store.put("config", "main", documents.configuration(2, timeout_ms=8_000))
            for host in HOSTS[1:]:
                await running.start_front(host)
            for host in HOSTS:
                await running.until(lambda host=host: running.ready(host))
            for standin in running.replicas:
                standin.response_delay_s = 0.08
                standin.framings = tuple(replica.Framing)
                standin.event_counts = [
                    max(1, int(rng.lognormvariate(3.0, 0.8))) for _ in range(50)
                ]
            callers = [Callers(running, host, rng) for host in HOSTS]
            paths = ("/look/", "/book/", "/stream/", "/stream/", "/stream/")
            sending = [asyncio.create_task(item.send(paths, 4.0)) for item in callers * 16]
            await asyncio.sleep(4.0)
            stops = []
            for index, item in enumerate(callers):
                stops.append(asyncio.create_task(stop_and_start(running, item, index)))
                await asyncio.sleep(pause_s)
            await asyncio.gather(*stops, *sending)
            assert [line for item in callers for line in item.lost()] == []

    asyncio.run(scenario())


SHORT_GRACE_S = 3


@pytest.mark.parametrize(
    ("path", "requests_before", "status"),
    [
        ("/book/1", 0, 502),
        ("/look/1", 0, 502),
        ("/stream/1", 0, 502),
        # All servers are full, so the request has not run.
        ("/book/1", 30, 503),
    ],
)
def test_requests_in_progress_are_answered_when_the_work_ends(
    tmp_path: pathlib.Path, path: str, requests_before: int, status: int
) -> None:
    """Guards against a stop that closes connections without an answer to what has been read."""

    async def scenario() -> None:
        async with front_system.system(tmp_path, grace_s=SHORT_GRACE_S) as running:
            running.store.put("config", "main", documents.configuration(2, timeout_ms=20_000))
            for standin in running.replicas:
                standin.response_delay_s = 2.0 * SHORT_GRACE_S
            await asyncio.sleep(0.3)
            before = [
                asyncio.create_task(ask_patiently(running, "/book/0", f"before-{number}"))
                for number in range(requests_before)
            ]
            await asyncio.sleep(0.5)
            call = asyncio.create_task(ask_patiently(running, path, "last"))
            await asyncio.sleep(0.2)
            running.processes[0].send_signal(signal.SIGTERM)
            answer = await call
            assert (answer.status, answer.complete) == (status, True)
            assert any(run.request_id == "last" for run in running.runs()) == (status != 503)
            await asyncio.gather(*before, return_exceptions=True)
            assert await asyncio.wait_for(running.processes[0].wait(), SHORT_GRACE_S) == 0

    asyncio.run(scenario())


async def ask_patiently(running: front_system.System, path: str, name: str) -> front_system.Answer:
    """Send a request whose caller waits longer than the front runs."""
    data = front_system.request(path, name=name).replace(b": 3000", b": 20000")
    return await front_system.call(running.host, front_system.PORT + 1, data)


def test_planned_stop_closes_idle_connections(tmp_path: pathlib.Path) -> None:
    """Guards against callers that learn of a stop only from a request that is refused."""

    async def scenario() -> None:
        async with front_system.system(tmp_path, grace_s=int(GRACE_S)) as running:
            for standin in running.replicas:
                standin.response_delay_s = 0.6
            running.store.put("config", "main", documents.configuration(2, timeout_ms=20_000))
            await asyncio.sleep(0.3)
            idle, _ = await asyncio.open_connection(running.host, front_system.PORT + 1)
            stream = asyncio.create_task(ask_patiently(running, "/stream/1", "stream"))
            await asyncio.sleep(0.2)
            running.processes[0].send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(idle.read(), LONG_WORK_SENT_S + 0.5) == b""
            assert running.processes[0].returncode is None
            assert (await stream).complete

    asyncio.run(scenario())
