"""Side processes, run as real processes with a stand-in for a group of engines."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys
from collections.abc import Callable

import pytest
from gentianpaddle_platform_standins import documents, engine, store

from gentianpaddle_platform import settings

ROOT = pathlib.Path(__file__).resolve().parents[3]
PORT = 21_400
RANKS = 4
EXPERTS = 8
WAIT_LIMIT_S = 15.0


class Group:
    """Stand-ins for the engines and the store, and the side processes of the engines."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.directory = directory
        self.store = store.StoreStandin()
        self.engines = engine.GroupStandin(RANKS, EXPERTS, experts_per_rank=3)
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self._pass_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        await self.store.http.listen()
        shape = documents.engine_costs(EXPERTS, experts_per_rank=3)
        self.store.put("config", "main", documents.configuration(1, engine=shape))
        for member in self.engines.engines:
            await member.http.listen()
        self._pass_task = asyncio.create_task(self.engines.run())
        for rank in range(RANKS):
            await self.start_side(rank)

    async def start_side(self, rank: int) -> None:
        file = self.directory / f"side-{rank}.toml"
        address = self.engines.engines[rank].http.address
        file.write_text(
            documents.side_settings_text(
                f"side-{rank}", f"127.0.0.{10 + rank}", PORT, self.store.http.address, address
            )
        )
        self.processes[rank] = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "deploy" / "start.py"),
            env={**os.environ, settings.PATH_VARIABLE: str(file)},
            stdout=(self.directory / f"side-{rank}.log").open("ab"),
        )

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(WAIT_LIMIT_S):
            while not condition():
                await asyncio.sleep(0.02)

    def log(self, rank: int) -> str:
        return (self.directory / f"side-{rank}.log").read_text()

    async def stop(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        if self._pass_task is not None:
            self._pass_task.cancel()


async def run_scenario(directory: pathlib.Path, scenario: Callable[[Group], object]) -> None:
    group = Group(directory)
    try:
        await group.start()
        await scenario(group)  # type: ignore[misc]
    finally:
        await group.stop()


def holder_count(group: Group, expert: int) -> int:
    return sum(expert in member.held_experts for member in group.engines.engines)


def test_expert_replicas_follow_demand(tmp_path: pathlib.Path) -> None:
    """Guards against a highly demanded expert that stays on a single rank."""

    async def scenario(group: Group) -> None:
        await group.until(lambda: holder_count(group, 0) >= 3)
        group.engines.most_chosen_expert = 5
        await group.until(lambda: holder_count(group, 5) >= 3)
        assert group.engines.mixed_map_passes == 0

    asyncio.run(run_scenario(tmp_path, scenario))


@pytest.mark.parametrize("rank", [0, 2])
def test_killed_side_process_leaves_no_group_on_hold(tmp_path: pathlib.Path, rank: int) -> None:
    """Guards against a group that stays on hold or mixes expert maps after a process was killed.

    The side process of rank 0, which coordinates, or of another rank is killed as soon as the group
    is held for a map change, and is started again.
    """

    async def scenario(group: Group) -> None:
        for wanted in (1, 6, 3):
            group.engines.hold_accepted.clear()
            group.engines.most_chosen_expert = wanted
            await asyncio.wait_for(group.engines.hold_accepted.wait(), WAIT_LIMIT_S)
            group.processes[rank].kill()
            await group.processes[rank].wait()
            await group.start_side(rank)
            await group.until(lambda wanted=wanted: holder_count(group, wanted) >= 3)
        assert group.engines.mixed_map_passes == 0
        before = group.engines.last_pass
        await group.until(lambda: group.engines.last_pass > before + 5)

    asyncio.run(run_scenario(tmp_path, scenario))


def test_stopped_coordinator_does_not_hold_the_group(tmp_path: pathlib.Path) -> None:
    """Guards against a group that is held for as long as its coordinator stands still.

    The side process of rank 0 is stopped as soon as the group is held, and continues later.
    """

    async def scenario(group: Group) -> None:
        group.engines.hold_accepted.clear()
        group.engines.most_chosen_expert = 1
        await asyncio.wait_for(group.engines.hold_accepted.wait(), WAIT_LIMIT_S)
        group.processes[0].send_signal(signal.SIGSTOP)
        await group.until(
            lambda: "event=group_rescued" in group.log(1) or holder_count(group, 1) >= 3
        )
        before = group.engines.last_pass
        await group.until(lambda: group.engines.last_pass > before + 5)
        group.processes[0].send_signal(signal.SIGCONT)
        group.engines.most_chosen_expert = 6
        await group.until(lambda: holder_count(group, 6) >= 3)
        assert group.engines.mixed_map_passes == 0

    asyncio.run(run_scenario(tmp_path, scenario))


def test_side_process_handles_sighup_and_sigterm(tmp_path: pathlib.Path) -> None:
    """Guards against a side process that exits on a reload of its settings."""

    async def scenario(group: Group) -> None:
        await group.until(lambda: "event=start" in group.log(1))
        process = group.processes[1]
        process.send_signal(signal.SIGHUP)
        await group.until(lambda: "event=reload" in group.log(1))
        assert process.returncode is None
        process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(process.wait(), 5.0) == 0
        assert "event=stop" in group.log(1)

    asyncio.run(run_scenario(tmp_path, scenario))
