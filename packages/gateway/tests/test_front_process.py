"""Fronts, run as real processes between test callers and stand-ins for the platform."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import signal
import sys

import pytest
from gentianpaddle_platform_standins import documents, front_system, replica

from gentianpaddle_core.serving import servers
from gentianpaddle_platform import headers, settings


@pytest.mark.parametrize(
    ("path", "method", "faults", "status", "runs"),
    [
        ("/look/1", "GET", [], 200, 1),
        ("/look/1", "GET", ["LOST"], 200, 2),
        ("/look/1", "GET", ["ERROR"], 200, 2),
        ("/look/1", "GET", ["ERROR", "ERROR"], 500, 2),
        ("/look/1", "GET", ["UNSEALED"], 200, 2),
        ("/look/1", "GET", ["FOREIGN"], 200, 2),
        ("/look/1", "GET", ["SHORT"], 200, 2),
        ("/look/1", "GET", ["FULL"], 200, 1),
        ("/look/1", "GET", ["STALE_REFUSAL"], 200, 2),
        ("/book/1", "POST", [], 200, 1),
        ("/book/1", "POST", ["FULL"], 200, 1),
        ("/book/1", "POST", ["FULL", "FULL"], 503, 0),
        ("/book/1", "POST", ["LOST"], 502, 1),
        ("/book/1", "POST", ["SHORT"], 502, 1),
        ("/book/1", "POST", ["FOREIGN"], 502, 1),
        ("/book/1", "POST", ["ERROR"], 500, 1),
        ("/book/1", "POST", ["STALE_REFUSAL"], 502, 1),
        ("/stream/1", "POST", [], 200, 1),
        ("/stream/1", "POST", ["TORN"], 200, 2),
        ("/stream/1", "POST", ["LOST"], 200, 2),
    ],
)
async def check_faults(
    running: front_system.System, path: str, method: str, faults: list[str], status: int, runs: int
) -> None:
    for standin in running.replicas:
        standin.runs.clear()
        standin.pending_failures = [replica.InjectedFailure[name] for name in faults]
    # A single fault is shared by both servers, so it does not matter which one is selected first.
    if len(faults) == 1:
        shared = [replica.InjectedFailure[name] for name in faults]
        for standin in running.replicas:
            standin.pending_failures = shared
    answer = await running.ask(path, method, b"body" if method == "POST" else b"")
    assert (answer.status, len(running.runs())) == (status, runs)
    assert answer.complete
    if answer.status == 200 and path.startswith("/stream"):
        assert answer.body == front_system.WHOLE_STREAM
    if answer.status == 503:
        assert float(answer.headers["retry-after"]) >= 0.0
    for run in running.runs():
        assert run.headers[headers.ORGANISATION.decode()] == documents.ORGANISATION
        assert "authorization" not in run.headers
        assert 0 < int(run.headers[headers.DEADLINE_MS.decode()]) <= 3_000


FAULT_CASES = check_faults.pytestmark[0].args[1]  # type: ignore[attr-defined]


def test_server_faults(tmp_path: pathlib.Path) -> None:
    """Guards against bookings that run twice, wrong refusals and incomplete answers.

    Each of the `FAULT_CASES` injects faults into the servers and expects a status and a number of
    runs.
    """

    async def scenario() -> None:
        async with front_system.system(tmp_path) as running:
            for row in FAULT_CASES:
                await check_faults(running, *row)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "second", ["ERROR", "FULL", "UNSEALED", "FOREIGN", "STALE_REFUSAL", "LOST"]
)
def test_broken_stream_is_not_continued_with_an_error(tmp_path: pathlib.Path, second: str) -> None:
    """Guards against the text of an error, or a regular end, in the middle of a broken stream."""

    async def scenario() -> None:
        async with front_system.system(tmp_path) as running:
            failures = [replica.InjectedFailure.TORN] + [replica.InjectedFailure[second]] * 4
            for standin in running.replicas:
                standin.pending_failures = failures
            answer = await running.ask("/stream/1", "POST", b"body")
            assert answer.status == 200
            assert not answer.complete
            assert answer.body
            assert front_system.WHOLE_STREAM.startswith(answer.body)
            assert answer.body != front_system.WHOLE_STREAM

    asyncio.run(scenario())


BOOKING_HEAD = (
    f"POST /book/1 HTTP/1.1\r\nHost: {documents.HOST}\r\nAuthorization: Bearer {documents.KEY}\r\n"
).encode()

BAD_REQUESTS = [
    (b"GET /nowhere HTTP/1.1\r\nHost: bookings.example\r\n\r\n", 404),
    (front_system.request("/look/1", key="wrong"), 401),
    (
        b"POST /book/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    (BOOKING_HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
    (b"POST /book/1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 404),
    (b"GET /look/1 HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", 400),
    (b"GET /look/1 HTTP/1.1\r\nHost: x\r\nX-Long: " + b"y" * 9_000 + b"\r\n\r\n", 431),
    (b"POST /book/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 30000\r\n\r\n", 413),
    (b"GET /look/1 HTTP/1.1\r\nHost: x\r\nX-Slow", 408),
    (BOOKING_HEAD + b"Content-Length: 5\r\n\r\nab", 408),
    (b"POST /book/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nab", 404),
    (BOOKING_HEAD.replace(b"key-1", b"wrong") + b"Content-Length: 5\r\n\r\nab", 401),
    (BOOKING_HEAD + b"a:\r\n" * 300 + b"\r\n", 431),
]


def test_invalid_requests_reach_no_server(tmp_path: pathlib.Path) -> None:
    """Guards against request smuggling and against slow or large requests that occupy memory."""

    async def scenario() -> None:
        async with front_system.system(tmp_path) as running:
            for data, status in BAD_REQUESTS:
                answer = await front_system.call(running.host, front_system.PORT + 1, data)
                assert answer.status == status, data[:60]
            assert running.runs() == []

    asyncio.run(scenario())


def test_disconnect_of_caller_cancels_request(tmp_path: pathlib.Path) -> None:
    """Guards against servers that continue to work for disconnected callers."""

    async def scenario() -> None:
        async with front_system.system(tmp_path) as running:
            for standin in running.replicas:
                standin.response_delay_s = 1.0
            for path in ("/look/1", "/stream/1"):
                _, writer = await asyncio.open_connection(running.host, front_system.PORT + 1)
                writer.write(front_system.request(path, name=path))
                await running.until(lambda path=path: sent(running, path))
                writer.transport.abort()
                await asyncio.sleep(0.3)
                left = [
                    name for standin in running.replicas for name in standin.abandoned_request_ids
                ]
                assert path in left

    async def sent(running: front_system.System, name: str) -> bool:
        return any(run.request_id == name for run in running.runs())

    asyncio.run(scenario())


def test_error_response_is_forwarded_if_no_other_server_exists(tmp_path: pathlib.Path) -> None:
    """Guards against holding a failed request until its deadline if no other server is left."""

    async def scenario() -> None:
        async with front_system.system(tmp_path) as running:
            first, second = running.replicas
            # An entry removed within the grace time after the first contact with the store is kept.
            await asyncio.sleep(servers.REGISTRATION_GRACE_S)
            running.store.remove("servers", second.server)
            await asyncio.sleep(0.3)
            first.pending_failures = [replica.InjectedFailure.ERROR]
            started_s = asyncio.get_running_loop().time()
            answer = await running.ask("/look/1")
            assert (answer.status, answer.body) == (500, b"failed")
            assert asyncio.get_running_loop().time() - started_s < 0.5

    asyncio.run(scenario())


def test_route_timeout_is_answered_promptly(tmp_path: pathlib.Path) -> None:
    """Guards against requests that are answered only after the time-out of their route."""

    async def scenario() -> None:
        async with front_system.system(tmp_path) as running:
            running.store.put("config", "main", documents.configuration(2, timeout_ms=500))
            for standin in running.replicas:
                standin.response_delay_s = 3.0
            await asyncio.sleep(0.3)
            started_s = asyncio.get_running_loop().time()
            answer = await running.ask("/look/1")
            assert answer.status == 504
            assert asyncio.get_running_loop().time() - started_s < 1.0

    asyncio.run(scenario())


def test_store_changes_take_effect_promptly(tmp_path: pathlib.Path) -> None:
    """Guards against old routes and keys, draining servers and evacuated data centres in use."""

    async def scenario() -> None:
        async with front_system.system(tmp_path) as running:
            running.store.put("config", "main", documents.configuration(5, keys=("key-2",)))
            await asyncio.sleep(0.3)
            assert (await running.ask("/look/1")).status == 401
            assert (await running.ask("/look/1", key="key-2")).status == 200
            # An older version of the configuration must not replace a newer one.
            running.store.put("config", "main", documents.configuration(4))
            await asyncio.sleep(0.3)
            assert (await running.ask("/look/1")).status == 401
            first, second = running.replicas
            entry = {**first.entry("app", "north"), "state": "draining"}
            running.store.put("servers", first.server, entry)
            running.store.put("servers", "broken", {"service": 5})
            await asyncio.sleep(0.3)
            first.runs.clear()
            for _ in range(6):
                assert (await running.ask("/look/1", key="key-2")).status == 200
            assert not first.runs
            running.store.put("evacuations", "north", {})
            await asyncio.sleep(0.3)
            second.runs.clear()
            assert (await running.ask("/look/1", key="key-2")).status == 503
            assert not second.runs

    asyncio.run(scenario())


@pytest.mark.parametrize("trouble", ["silent", "busy", "history"])
def test_requests_are_served_during_store_failures(tmp_path: pathlib.Path, trouble: str) -> None:
    """Guards against requests that fail because the store is unavailable or lost its history."""

    async def scenario() -> None:
        async with front_system.system(tmp_path) as running:
            running.store.silent = trouble == "silent"
            running.store.forced_status = 503 if trouble == "busy" else None
            if trouble == "history":
                running.store.discard_history()
            for _ in range(15):
                assert (await running.ask("/look/1")).status == 200
                await asyncio.sleep(0.1)
            running.store.silent, running.store.forced_status = False, None
            running.store.put("config", "main", documents.configuration(9, keys=("key-9",)))
            await asyncio.sleep(2.0)
            assert (await running.ask("/look/1", key="key-9")).status == 200

    asyncio.run(scenario())


def test_front_without_configuration_is_not_ready(tmp_path: pathlib.Path) -> None:
    """Guards against a front that denies requests because it has no configuration yet."""

    async def scenario() -> None:
        async with front_system.system(tmp_path, configured=False) as running:
            await running.until(lambda: answers(running))
            assert not await running.ready(running.host)
            assert (await running.ask("/look/1")).status == 503

    async def answers(running: front_system.System) -> bool:
        try:
            await running.ask("/look/1")
        except OSError:
            return False
        return True

    asyncio.run(scenario())


def test_front_survives_sighup_during_start(tmp_path: pathlib.Path) -> None:
    """Guards against a process that exits on SIGHUP while it starts.

    The settings are read from a named pipe, so that the signal arrives before they are complete.
    """

    async def scenario() -> None:
        running = front_system.System(tmp_path, "127.0.0.2")
        await running.store.http.listen()
        running.store.put("config", "main", documents.configuration(1))
        file = tmp_path / "settings.fifo"
        os.mkfifo(file)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(front_system.ROOT / "deploy" / "start.py"),
            env={**os.environ, settings.PATH_VARIABLE: str(file)},
        )
        running.processes.append(process)
        text = documents.settings_text(
            "front", running.host, front_system.PORT, running.store.http.address
        )
        # Opening the pipe returns when the process opens it, before it has read its settings.
        pipe = await asyncio.to_thread(file.open, "w")
        process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.1)
        file.unlink()
        file.write_text(text)
        pipe.write(text)
        pipe.close()
        try:
            await running.until(lambda: running.ready(running.host))
        finally:
            await running.stop()

    asyncio.run(scenario())


def test_graceful_shutdown_completes_requests(tmp_path: pathlib.Path) -> None:
    """Guards against requests that are aborted by a graceful shutdown."""

    async def scenario() -> None:
        async with front_system.system(tmp_path) as running:
            for standin in running.replicas:
                standin.response_delay_s = 0.3
            stream = asyncio.create_task(running.ask("/stream/1", "POST", b"x"))
            await asyncio.sleep(0.2)
            running.processes[0].send_signal(signal.SIGTERM)
            await asyncio.sleep(0.3)
            assert not await running.ready(running.host)
            late = await running.ask("/look/1")
            assert late.status == 200
            assert late.headers["connection"] == "close"
            answer = await stream
            assert answer.complete
            assert answer.body == front_system.WHOLE_STREAM
            assert await asyncio.wait_for(running.processes[0].wait(), 8.0) == 0
            assert running.logged("stop")

    asyncio.run(scenario())


LOSS_SLACK_S = 0.2
"""Time after its last byte within which a request that was not passed on may be lost."""


def test_planned_stop_under_load_answers_what_was_read(tmp_path: pathlib.Path) -> None:
    """Guards against a planned stop that cuts requests which were just read.

    Callers keep their connections until the process is gone, and send their requests at any moment
    of the stop. A request whose connection ends without an answer must not have run, and must have
    been sent just before.
    """
    lost: list[str] = []

    async def ask_until_stopped(running: front_system.System, caller: int) -> int:
        rng = random.Random(caller)
        answered = 0
        while True:
            try:
                reader, writer = await asyncio.open_connection(running.host, front_system.PORT + 1)
            except OSError:
                return answered
            closed = False
            while not closed:
                await asyncio.sleep(rng.uniform(0.0, 0.3))
                name = f"{caller}-{answered}-{rng.random()}"
                path = rng.choice(["/look/1", "/stream/1"])
                started_s = asyncio.get_running_loop().time()
                try:
                    writer.write(front_system.request(path, name=name))
                    answer = await front_system.read_answer(reader)
                except (OSError, asyncio.IncompleteReadError):
                    elapsed_s = asyncio.get_running_loop().time() - started_s
                    ran = any(run.request_id == name for run in running.runs())
                    if ran or elapsed_s > LOSS_SLACK_S:
                        lost.append(f"{name} after {elapsed_s:.2f} s, ran: {ran}")
                    break
                if not answer.complete:
                    lost.append(f"{name} incomplete")
                answered += 1
                closed = answer.headers.get("connection") == "close"
            writer.close()

    async def scenario() -> None:
        async with front_system.system(tmp_path) as running:
            for standin in running.replicas:
                standin.response_delay_s = 0.02
            callers = [asyncio.create_task(ask_until_stopped(running, n)) for n in range(30)]
            await asyncio.sleep(1.0)
            running.processes[0].send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(running.processes[0].wait(), 8.0) == 0
            answered = await asyncio.gather(*callers)
            assert sum(answered) > 100
            assert lost == []

    asyncio.run(scenario())


def test_front_without_store_fetches_snapshot_from_another(tmp_path: pathlib.Path) -> None:
    """Guards against a front that serves old keys while other fronts know the new ones.

    The second front loses its connection to the store and must fetch a snapshot from the first.
    """

    async def scenario() -> None:
        async with front_system.system(tmp_path) as running:
            other = front_system.System(tmp_path, "127.0.0.3")
            other.store, other.replicas = running.store, running.replicas
            running.processes.append(
                await other.start_front("127.0.0.3", running.store.second_http.address)
            )
            await running.until(lambda: other.ready(other.host))
            await running.until(lambda: lists_both_fronts(running))
            body = (await read_directory(running)).body
            assert len(json.loads(body)["addresses"]) == 2
            running.store.second_http_silent = True
            running.store.second_http.abort_connections()
            running.store.put("config", "main", documents.configuration(7, keys=("key-7",)))
            await running.until(lambda: accepts_key(other))
            assert other.logged("taken_from_peer")

    async def accepts_key(running: front_system.System) -> bool:
        return (await running.ask("/look/1", key="key-7")).status == 200

    async def read_directory(running: front_system.System) -> front_system.Answer:
        return await front_system.call(
            running.host,
            front_system.PORT + 3,
            front_system.plain_request(documents.DIRECTORY_TARGET),
        )

    async def lists_both_fronts(running: front_system.System) -> bool:
        answer = await read_directory(running)
        return answer.status == 200 and len(json.loads(answer.body)["addresses"]) == 2

    asyncio.run(scenario())
