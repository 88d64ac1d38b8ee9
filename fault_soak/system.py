"""System under test: fronts as real processes, with a simulated store and backend servers."""

from __future__ import annotations

import asyncio
import dataclasses
import os
import pathlib
import signal
import sys
import time

from gentianpaddle_platform_standins import documents, replica, store

from fault_soak import proxy
from gentianpaddle_platform import settings

ROOT = pathlib.Path(__file__).resolve().parents[1]
PORT = 21_700
FRONT_COUNT = 3
SERVER_COUNT = 4
GRACE_S = 6.0
"""Time between SIGTERM and SIGKILL that the platform gives a front."""

RESTART_DELAY_S = 0.3
"""Delay after which the platform restarts a process that has exited."""


class TimedRuns(list[replica.RecordedRequest]):
    """Runs of a backend server with their start times."""

    def __init__(self) -> None:
        super().__init__()
        self.start_times_s: list[float] = []
        """Start time of each run on the monotonic clock."""

    def append(self, run: replica.RecordedRequest) -> None:
        """Append a run and record its start time."""
        self.start_times_s.append(time.monotonic())
        super().append(run)


@dataclasses.dataclass(slots=True)
class Server:
    """A backend server behind a proxy."""

    standin: replica.ReplicaStandin
    link: proxy.Proxy
    runs: TimedRuns
    draining_since_s: float | None = None
    """Time at which the store marked the server as draining; None before that."""

    def entry(self, draining: bool = False) -> dict[str, object]:
        """Return the directory entry of the server.

        Args:
            draining: Whether the entry marks the server as draining.
        """
        entry = self.standin.entry("app", "north")
        entry["address"] = self.link.address
        entry["state"] = "draining" if draining else "ready"
        return entry


@dataclasses.dataclass(slots=True)
class Front:
    """A front process, which is restarted whenever it exits."""

    host: str
    store_link: proxy.Proxy
    settings_file: pathlib.Path
    log_file: pathlib.Path
    process: asyncio.subprocess.Process | None = None
    exit_expected: bool = False
    """Whether the soak test stops the process; its exit code is then ignored."""
    paused: bool = False
    """Whether the process was sent SIGSTOP since its start."""
    supervisor: asyncio.Task[None] | None = None
    """Task that restarts the process."""

    @property
    def running(self) -> bool:
        """Whether the process has started and not exited."""
        return self.process is not None and self.process.returncode is None

    def handles(self, number: signal.Signals) -> bool:
        """Return whether the process ignores or handles a signal.

        Args:
            number: Signal number.
        """
        if not self.running or self.process is None:
            return False
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except FileNotFoundError:
            return False
        masks = [line.split()[1] for line in text.splitlines() if line[:6] in ("SigIgn", "SigCgt")]
        return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running.

        Args:
            number: Signal number.
        """
        if self.running and self.process is not None:
            self.process.send_signal(number)


class System:
    """Processes, proxies, store and backend servers of one run.

    Args:
        folder: Folder for settings and log files.
        slot: Index among the concurrent runs; selects the loopback addresses.
    """

    def __init__(self, folder: pathlib.Path, slot: int) -> None:
        self.folder = folder
        self.address_prefix = f"127.0.{100 + slot}"
        self.store = store.StoreStandin()
        self.store.stated_era = "1"
        self.servers: list[Server] = []
        """All servers started so far; those that have left stay here with their runs."""
        self.fronts: list[Front] = []
        self.configuration_version = 0
        self.violations: list[str] = []
        """Violations found while the run is in progress."""
        self._servers_started = 0
        self._closing = False

    async def start(self) -> None:
        """Start the store, the backend servers and the supervisors of the fronts."""
        await self.store.http.listen(f"{self.address_prefix}.250")
        for _ in range(SERVER_COUNT):
            await self.add_server()
        self.publish_configuration()
        for number in range(FRONT_COUNT):
            host = f"{self.address_prefix}.{number + 1}"
            link = proxy.Proxy(self.store.http.address)
            await link.listen(f"{self.address_prefix}.250")
            settings_file = self.folder / f"front-{number}.toml"
            settings_content = documents.settings_text(
                f"front-{number}", host, PORT, link.address, grace_s=int(GRACE_S)
            )
            settings_file.write_text(settings_content)
            front = Front(host, link, settings_file, self.folder / f"front-{number}.log")
            self.fronts.append(front)
            front.supervisor = asyncio.create_task(self._supervise(front))

    async def _supervise(self, front: Front) -> None:
        """Start a front and restart it whenever it exits, as the platform does."""
        while not self._closing:
            with front.log_file.open("ab") as log:
                front.process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    str(ROOT / "deploy" / "start.py"),
                    env={**os.environ, settings.PATH_VARIABLE: str(front.settings_file)},
                    stdout=log,
                    stderr=log,
                )
            front.exit_expected = front.paused = False
            exit_code = await front.process.wait()
            if not front.exit_expected and not self._closing:
                self.violations.append(f"{front.host} exited unexpectedly with code {exit_code}")
            await asyncio.sleep(RESTART_DELAY_S)

    async def add_server(self) -> Server:
        """Start a backend server and register it in the store.

        Returns:
            The new server.
        """
        self._servers_started += 1
        standin = replica.ReplicaStandin(f"i-{self._servers_started}")
        runs = TimedRuns()
        standin.runs = runs
        await standin.http.listen(f"{self.address_prefix}.251")
        link = proxy.Proxy(standin.http.address)
        await link.listen(f"{self.address_prefix}.252")
        server = Server(standin, link, runs)
        self.servers.append(server)
        self.store.put("servers", standin.server, server.entry())
        return server

    def publish_configuration(self) -> None:
        """Store a new version of the configuration, with one more route than the previous one."""
        self.configuration_version += 1
        routes = tuple(
            {
                "name": f"added-{number}",
                "host": documents.HOST,
                "pathPrefix": f"/added-{number}/",
                "kind": "safe",
                "timeoutMs": 4_000,
                "targetLatencyMs": 400,
                "priority": 1,
                "service": "app",
                "maxAttempts": 2,
                "public": False,
            }
            for number in range(2, self.configuration_version + 1)
        )
        document = documents.configuration(self.configuration_version, extra_routes=routes)
        self.store.put("config", "main", document)

    def live_servers(self) -> list[Server]:
        """Return the servers that are registered and not draining."""
        registered = self.store.names("servers")
        return [
            server
            for server in self.servers
            if server.standin.server in registered and server.draining_since_s is None
        ]

    async def close(self) -> None:
        """Kill the front processes and close all proxies, backend servers and the store."""
        self._closing = True
        for front in self.fronts:
            front.exit_expected = True
            front.signal(signal.SIGCONT)
            front.signal(signal.SIGKILL)
        await asyncio.gather(*(front.supervisor for front in self.fronts if front.supervisor))
        for front in self.fronts:
            front.store_link.close()
        for server in self.servers:
            server.link.close()
            server.standin.http.close()
        self.store.http.close()
