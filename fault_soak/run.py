"""One seeded run: fault injection, then recovery, then planned changes without faults."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import typing

from gentianpaddle_platform_standins import documents

from fault_soak import callers, faults, invariants, system

CALLER_COUNT = 6
START_TIMEOUT_S = 20.0
"""Time for three processes to start while other runs use the machine."""

RECOVERY_LIMIT_S = 12.0
"""Time after the last fault within which every front must serve again, set by the platform."""

SETTLE_S = 3.0
"""Time without faults after which the propagation limit holds, set by the platform."""

PROPAGATION_LIMIT_S = 2.0
"""Time within which fronts must apply a new configuration and stop using a draining server.

Set by the platform for both cases.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """Result of a run."""

    seed: int
    requests: int
    served: int
    violations: list[str]


async def run_seed(seed: int, seconds: float, folder: pathlib.Path, slot: int = 0) -> RunResult:
    """Run one seed.

    Args:
        seed: Seed of all random choices.
        seconds: Period in seconds during which new faults are started.
        folder: Folder for settings and log files.
        slot: Index among the concurrent runs; selects the loopback addresses.

    Returns:
        Number of requests and the violations found.
    """
    asyncio.get_running_loop().set_exception_handler(_ignore_cancelled_handlers)
    rng = random.Random(seed)
    sut = system.System(folder, slot)
    load = callers.Callers(random.Random(rng.random()))
    tasks: list[asyncio.Task[None]] = []
    try:
        await sut.start()
        if not await _wait_until_all_serve(sut, load, "/look/", START_TIMEOUT_S):
            sut.violations.append(f"not all fronts served {START_TIMEOUT_S} s after the start")
        tasks = [asyncio.create_task(load.send_requests(sut.fronts)) for _ in range(CALLER_COUNT)]
        await faults.inject(sut, rng, seconds)
        if not await _wait_until_all_serve(sut, load, "/look/", RECOVERY_LIMIT_S):
            sut.violations.append(
                f"not all fronts served {RECOVERY_LIMIT_S} s after the last fault"
            )
        await asyncio.sleep(SETTLE_S)
        await _check_planned_changes(sut, load)
        for task in tasks:
            task.cancel()
        for outcome in await asyncio.gather(*tasks, return_exceptions=True):
            if not isinstance(outcome, asyncio.CancelledError):
                sut.violations.append(f"a caller task of the soak test failed: {outcome!r}")
        # Requests in transit may reach a backend server after their caller was cancelled.
        await asyncio.sleep(0.5)
    finally:
        for task in tasks:
            task.cancel()
        await sut.close()
    violations = sut.violations + invariants.find_violations(sut, load.records)
    served = sum(record.status == 200 and record.complete for record in load.records)
    return RunResult(seed, len(load.records), served, violations)


def _ignore_cancelled_handlers(
    loop: asyncio.AbstractEventLoop, context: dict[str, typing.Any]
) -> None:
    # asyncio servers report connection handlers that are cancelled when a run ends.
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


async def _wait_until_all_serve(
    sut: system.System, load: callers.Callers, path_prefix: str, timeout_s: float
) -> bool:
    """Return whether each front becomes ready and serves a request within the time-out."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            for front in sut.fronts:
                while not await _serves_request(front, load, path_prefix):
                    await asyncio.sleep(0.1)
            return True
    return False


async def _serves_request(front: system.Front, load: callers.Callers, path_prefix: str) -> bool:
    try:
        async with asyncio.timeout(callers.DEADLINE_S):
            ready = await callers.send_get(front.host, system.PORT + 2, documents.READINESS_TARGET)
            if ready.status != 200:
                return False
            reader, writer = await asyncio.open_connection(front.host, system.PORT + 1)
            try:
                record = load.new_request(f"{path_prefix}{len(load.records)}", front.host)
                await load.exchange(reader, writer, record)
            finally:
                writer.transport.abort()
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return False
    return record.status == 200 and record.complete


async def _check_planned_changes(sut: system.System, load: callers.Callers) -> None:
    """Drain a server and add a route without faults, and check the propagation limit."""
    await sut.add_server()
    draining_server = sut.live_servers()[0]
    change_s = asyncio.get_running_loop().time()
    drain_task = asyncio.create_task(faults.drain(sut, draining_server))
    sut.publish_configuration()
    await asyncio.sleep(PROPAGATION_LIMIT_S)
    for front in sut.fronts:
        if not await _serves_request(front, load, f"/added-{sut.configuration_version}/"):
            sut.violations.append(
                f"{front.host} does not serve a route {PROPAGATION_LIMIT_S} s after it was stored"
            )
    await drain_task
    late_starts = [
        at_s - change_s
        for at_s in draining_server.runs.start_times_s
        if at_s > change_s + PROPAGATION_LIMIT_S
    ]
    if late_starts:
        sut.violations.append(
            f"{draining_server.standin.server} got {len(late_starts)} requests past the drain limit"
        )
