"""Calls to the platform's store by kind and purpose, of real processes and a stand-in store.

Starts fronts in two data centres and the side processes of one group on loopback, and counts what
arrives at the store in each scenario. A call costs 1 and a stale read 0.1, also when it is refused.

Run `python -m benchmarks.store_calls`; `--help` lists the scenarios.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import os
import pathlib
import sys
import tempfile
import time

from gentianpaddle_platform_standins import documents, engine, http, store

from gentianpaddle_platform import settings

ROOT = pathlib.Path(__file__).resolve().parents[1]
FRONT_PORT = 21_500
SIDE_PORT = 21_600
EXPERTS = 8
CHANGE_INTERVAL_S = 5.0
"""Interval between changes of a server entry."""
OUTAGE_S = (6.0, 14.0)
"""Begin and end of the time in which the store refuses calls or does not answer them."""
RESTART_S = 8.0
"""Time at which all side processes are killed and started again."""
STALE_COST = 0.1
"""Cost of a stale read relative to that of any other call."""
SCENARIOS = ("calm", "refusing", "silent", "restart")


class _Fleet:
    def __init__(self, directory: pathlib.Path, side_count: int) -> None:
        self.store = store.StoreStandin()
        self.group = engine.GroupStandin(side_count, EXPERTS, experts_per_rank=EXPERTS)
        self._directory = directory
        self._processes: list[asyncio.subprocess.Process] = []

    async def start(self, front_count: int) -> None:
        await self.store.http.listen()
        shape = documents.engine_costs(EXPERTS, experts_per_rank=EXPERTS)
        self.store.put("config", "main", documents.configuration(1, engine=shape))
        for number in range(front_count):
            ip = f"127.0.1.{10 + number}"
            data_centre = ("north", "south")[number % 2]
            text = documents.settings_text(
                f"front-{number}", ip, FRONT_PORT, self.store.http.address, data_centre
            )
            await self._start(f"front-{number}", text)
        for member in self.group.engines:
            await member.http.listen()

    async def start_sides(self) -> list[asyncio.subprocess.Process]:
        sides = []
        for member in self.group.engines:
            ip = f"127.0.1.{100 + member.rank}"
            text = documents.side_settings_text(
                f"side-{member.rank}", ip, SIDE_PORT, self.store.http.address, member.http.address
            )
            sides.append(await self._start(f"side-{member.rank}", text))
        return sides

    async def _start(self, name: str, text: str) -> asyncio.subprocess.Process:
        file = self._directory / f"{name}.toml"
        file.write_text(text)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "deploy" / "start.py"),
            env={**os.environ, settings.PATH_VARIABLE: str(file)},
            stdout=(self._directory / f"{name}.log").open("ab"),
        )
        self._processes.append(process)
        return process

    async def stop(self) -> None:
        for process in self._processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        self.store.http.close()


async def _disturb(fleet: _Fleet, scenario: str, duration_s: float) -> None:
    sides = await fleet.start_sides()
    loop = asyncio.get_running_loop()
    started_s, restarted, change_count = loop.time(), False, 0
    while (elapsed_s := loop.time() - started_s) < duration_s:
        in_outage = OUTAGE_S[0] <= elapsed_s < OUTAGE_S[1]
        fleet.store.forced_status = 503 if scenario == "refusing" and in_outage else None
        was_silent, fleet.store.silent = fleet.store.silent, scenario == "silent" and in_outage
        if fleet.store.silent and not was_silent:
            fleet.store.http.silence_connections()
        if scenario == "restart" and elapsed_s >= RESTART_S and not restarted:
            restarted = True
            for process in sides:
                process.kill()
            await fleet.start_sides()
        if elapsed_s >= CHANGE_INTERVAL_S * (change_count + 1):
            change_count += 1
            entry = {"number": change_count}
            fleet.store.put("servers", f"i-{change_count}", entry)
        await asyncio.sleep(0.05)


def _label(request: http.Request) -> tuple[str, str]:
    kind = request.path.removeprefix(store.PATH_PREFIX).partition("/")[0]
    if request.method == "GET":
        call = (
            "watch"
            if "watch" in request.query
            else "stale_read"
            if "allowStale" in request.query
            else "read"
        )
    else:
        call = "delete" if request.method == "DELETE" else "write"
    return kind, call


async def _count(
    scenario: str, front_count: int, side_count: int, duration_s: float
) -> collections.Counter[tuple[str, str]]:
    with tempfile.TemporaryDirectory() as directory:
        fleet = _Fleet(pathlib.Path(directory), side_count)
        group_task = asyncio.create_task(fleet.group.run())
        try:
            await fleet.start(front_count)
            await _disturb(fleet, scenario, duration_s)
            return collections.Counter(_label(item) for item in fleet.store.requests)
        finally:
            group_task.cancel()
            await fleet.stop()


def main() -> None:
    """Print the number of calls of each scenario."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenarios", nargs="*", help=f"some of {SCENARIOS}; by default all")
    parser.add_argument("--fronts", type=int, default=12)
    parser.add_argument("--sides", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=20.0)
    arguments = parser.parse_args()
    for scenario in arguments.scenarios or SCENARIOS:
        started_s = time.monotonic()
        counts = asyncio.run(_count(scenario, arguments.fronts, arguments.sides, arguments.seconds))
        cost = sum(
            count * (STALE_COST if call == "stale_read" else 1.0)
            for (_, call), count in counts.items()
        )
        print(
            f"{scenario}: calls={counts.total()} cost={cost:.1f} "
            f"({time.monotonic() - started_s:.0f} s)"
        )
        for (kind, call), count in sorted(counts.items()):
            print(f"  {kind} {call} {count}")


if __name__ == "__main__":
    main()
