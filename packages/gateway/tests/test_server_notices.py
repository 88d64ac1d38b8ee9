"""Fronts in front of servers that say that they leave, or that they want a pause."""

from __future__ import annotations

import asyncio
import pathlib

import pytest
from gentianpaddle_platform_standins import front_system, replica

REQUESTS = 20


async def ask_often(running: front_system.System, first: int = 0) -> list[front_system.Answer]:
    answers = []
    for number in range(first, first + REQUESTS):
        data = front_system.request("/look/1", name=f"r-{number}")
        answers.append(await front_system.call(running.host, front_system.PORT + 1, data))
    return answers


@pytest.mark.parametrize("store_is_silent", [False, True])
def test_leaving_server_gets_no_further_request(
    tmp_path: pathlib.Path, store_is_silent: bool
) -> None:
    """Guards against requests to a server that has said that it leaves, as long as it is listed."""

    async def scenario() -> None:
        async with front_system.system(tmp_path) as running:
            leaving, sound = running.replicas
            leaving.notices = {"Server-Leaving": "1"}
            if store_is_silent:
                running.store.http.silence_connections()
            first = await ask_often(running)
            assert 1 <= leaving.arrival_count <= 2
            # The directory still lists the server as ready.
            running.store.put("servers", leaving.server, leaving.entry("app", "north"))
            second = await ask_often(running, REQUESTS)
            assert leaving.arrival_count <= 2
            assert {answer.status for answer in (*first, *second)} == {200}
            assert sound.arrival_count >= 2 * REQUESTS - 2
            assert len(running.logged("server_leaving")) == 1

    asyncio.run(scenario())


def test_server_gets_no_request_while_it_wants_a_pause(tmp_path: pathlib.Path) -> None:
    """Guards against requests to a server that is full and has said for how long."""

    async def scenario() -> None:
        async with front_system.system(tmp_path) as running:
            full, sound = running.replicas
            full.pause_s = "1.5"
            full.pending_failures = [replica.InjectedFailure.PAUSE]
            answers = await ask_often(running)
            assert {answer.status for answer in answers} == {200}
            assert full.arrival_count == 1
            await asyncio.sleep(1.6)
            await ask_often(running, REQUESTS)
            assert full.arrival_count > 1
            assert sound.arrival_count

    asyncio.run(scenario())


def test_callers_are_told_how_long_all_servers_want_a_pause(tmp_path: pathlib.Path) -> None:
    """Guards against callers that wait in vain for servers that take nothing for longer."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        async with front_system.system(tmp_path) as running:
            for standin in running.replicas:
                standin.pause_s = "20"
                standin.pending_failures = [replica.InjectedFailure.PAUSE]
            await running.ask("/look/1")
            started_s = loop.time()
            answer = await running.ask("/look/1")
            assert answer.status == 503
            assert loop.time() - started_s < 0.3
            assert 15.0 < float(answer.headers["retry-after"]) <= 20.0
            assert sum(standin.arrival_count for standin in running.replicas) == 2

    asyncio.run(scenario())
