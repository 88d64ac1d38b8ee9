"""Fronts in front of a server that names a limit of requests in its answers."""

from __future__ import annotations

import asyncio
import itertools
import pathlib

from gentianpaddle_platform_standins import front_system, replica

LIMIT_PER_S = 1.0

WINDOW_S = 4.0

MAX_IN_WINDOW = (1.5 * LIMIT_PER_S * WINDOW_S + 5.0) / 2.0
"""Half of the number of requests that the platform allows in a window."""

LEARNING_S = 1.5
"""Time after the first answer with a limit from which the limit must be kept."""

REQUEST_INTERVAL_S = 0.04


async def send_steadily(hosts: list[str], duration_s: float) -> list[front_system.Answer]:
    """Send requests to the fronts in turn at a steady rate and return the answers."""
    calls = []
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_s
    for number, host in enumerate(itertools.cycle(hosts)):
        data = front_system.request("/look/1", name=f"r-{loop.time()}-{number}")
        calls.append(asyncio.create_task(front_system.call(host, front_system.PORT + 1, data)))
        await asyncio.sleep(REQUEST_INTERVAL_S)
        if loop.time() > end_s:
            return await asyncio.gather(*calls)
    raise AssertionError("no front")


def most_in_window(runs: list[replica.RecordedRequest], since_s: float) -> int:
    times_s = [run.arrived_s for run in runs if run.arrived_s >= since_s]
    return max(
        (
            sum(1 for other_s in times_s if 0.0 <= other_s - first_s < WINDOW_S)
            for first_s in times_s
        ),
        default=0,
    )


def test_fronts_keep_the_limit_of_a_server_together(tmp_path: pathlib.Path) -> None:
    """Guards against fronts that overrun a server in need, each for itself or all of them.

    One of the three fronts is killed and starts again meanwhile.
    """

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        async with front_system.system(tmp_path) as running:
            hosts = [running.host, "127.0.0.3", "127.0.0.4"]
            for host in hosts[1:]:
                running.processes.append(await running.start_front(host))
                await running.until(lambda host=host: running.ready(host))
            await asyncio.sleep(2.0)
            needy, sound = running.replicas
            needy.notices = {"Server-Limit": str(LIMIT_PER_S)}
            started_s = loop.time()
            answers = await send_steadily(hosts, 6.0)
            running.processes[1].kill()
            await running.processes[1].wait()
            answers += await send_steadily([hosts[0], hosts[2]], 1.0)
            running.processes.append(await running.start_front(hosts[1]))
            await running.until(lambda: running.ready(hosts[1]))
            restarted_s = loop.time()
            answers += await send_steadily(hosts, 6.0)
            assert {answer.status for answer in answers} == {200}
            assert most_in_window(needy.runs, started_s + LEARNING_S) <= MAX_IN_WINDOW
            used = sum(run.arrived_s > restarted_s + LEARNING_S for run in needy.runs)
            assert used >= 0.7 * LIMIT_PER_S * (loop.time() - restarted_s - LEARNING_S) - 1.0
            needy.notices = {}
            await asyncio.sleep(1.0)
            since_s = loop.time()
            await send_steadily(hosts, 6.0)
            after = sum(run.arrived_s > since_s + 3.0 for run in needy.runs)
            assert after > 2.0 * LIMIT_PER_S * 3.0, "the limit still holds after its end"
            assert sound.runs

    asyncio.run(scenario())
