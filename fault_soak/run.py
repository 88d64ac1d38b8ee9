"""One seeded run: faults, then recovery, then planned work on a calm system."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import typing

from gentianpaddle_platform_standins import documents

from fault_soak import callers, faults, promises, system

CALLERS = 6
START_LIMIT_S = 20.0
"""Time for three processes to start beside other runs."""

RECOVER_S = 12.0
"""Time after the last fault within which all is served again; a bound of the platform."""

CALM_S = 3.0
"""Time without faults after which the bounds on news hold; a bound of the platform."""

NEWS_S = 2.0
"""Time within which a new configuration and a leaving server are known; bounds of the platform."""


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Outcome of a run."""

    seed: int
    requests: int
    served: int
    broken: list[str]


async def play(seed: int, seconds: float, folder: pathlib.Path, number: int = 0) -> Verdict:
    """Play one run.

    Args:
        seed: Seed of all choices.
        seconds: How long new faults begin.
        folder: Takes settings and logs.
        number: Number of this run among those at the same time.

    Returns:
        What was seen.
    """
    asyncio.get_running_loop().set_exception_handler(_without_cancelled)
    draws = random.Random(seed)
    running = system.System(folder, number)
    load = callers.Callers(random.Random(draws.random()))
    tasks: list[asyncio.Task[None]] = []
    try:
        await running.start()
        if not await _all_serve(running, load, "/look/", START_LIMIT_S):
            running.broken.append(f"not all fronts served {START_LIMIT_S} s after the start")
        tasks = [asyncio.create_task(load.call_for_ever(running.fronts)) for _ in range(CALLERS)]
        await faults.inject(running, draws, seconds)
        if not await _all_serve(running, load, "/look/", RECOVER_S):
            running.broken.append(f"not all fronts served {RECOVER_S} s after the last fault")
        await asyncio.sleep(CALM_S)
        await _planned_work(running, load)
        for task in tasks:
            task.cancel()
        for outcome in await asyncio.gather(*tasks, return_exceptions=True):
            if not isinstance(outcome, asyncio.CancelledError):
                running.broken.append(f"a caller of the soak failed: {outcome!r}")
        # What was still on its way may reach a backend server after its caller has left.
        await asyncio.sleep(0.5)
    finally:
        for task in tasks:
            task.cancel()
        await running.close()
    broken = running.broken + promises.broken_promises(running, load.sent)
    served = sum(item.status == 200 and item.complete for item in load.sent)
    return Verdict(seed, len(load.sent), served, broken)


def _without_cancelled(loop: asyncio.AbstractEventLoop, context: dict[str, typing.Any]) -> None:
    # Servers of asyncio report the handlers that are cancelled when a run ends.
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


async def _all_serve(
    running: system.System, load: callers.Callers, path: str, limit_s: float
) -> bool:
    """Wait until each front is ready and serves a request."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(limit_s):
            for front in running.fronts:
                while not await _serves(front, load, path):
                    await asyncio.sleep(0.1)
            return True
    return False


async def _serves(front: system.Front, load: callers.Callers, path: str) -> bool:
    try:
        async with asyncio.timeout(callers.DEADLINE_S):
            ready = await callers.ask(front.host, system.PORT + 2, documents.READINESS_TARGET)
            if ready.status != 200:
                return False
            reader, writer = await asyncio.open_connection(front.host, system.PORT + 1)
            try:
                sent = load.new_request(f"{path}{len(load.sent)}", front.host)
                await load.exchange(reader, writer, sent)
            finally:
                writer.transport.abort()
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return False
    return sent.status == 200 and sent.complete


async def _planned_work(running: system.System, load: callers.Callers) -> None:
    """Let a server leave and a route come on a calm system, and check the bounds on news."""
    await running.add_server()
    leaving = running.live_servers()[0]
    began_s = asyncio.get_running_loop().time()
    drained = asyncio.create_task(faults.drain(running, leaving))
    running.configure()
    await asyncio.sleep(NEWS_S)
    for front in running.fronts:
        if not await _serves(front, load, f"/added-{running.version}/"):
            running.broken.append(f"{front.host} lacks a route {NEWS_S} s after its store has it")
    await drained
    late = [at_s - began_s for at_s in leaving.runs.began_s if at_s > began_s + NEWS_S]
    if late:
        running.broken.append(f"{leaving.standin.server} got {len(late)} requests after draining")
