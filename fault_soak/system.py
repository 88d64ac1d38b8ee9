"""The system under test: fronts as processes, with a store and backend servers around them."""

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
FRONTS = 3
SERVERS = 4
GRACE_S = 6.0
RESTART_PAUSE_S = 0.3
"""Time after which the platform starts a process that has ended."""


class TimedRuns(list[replica.Run]):
    """Runs of a backend server with the time at which each began."""

    def __init__(self) -> None:
        super().__init__()
        self.began_s: list[float] = []

    def append(self, run: replica.Run) -> None:
        """Note a run."""
        self.began_s.append(time.monotonic())
        super().append(run)


@dataclasses.dataclass(slots=True)
class Server:
    """A backend server behind a proxy."""

    standin: replica.ReplicaStandin
    link: proxy.Proxy
    runs: TimedRuns
    drained_s: float | None = None
    """When the store took note that it is leaving."""

    def entry(self, draining: bool = False) -> dict[str, object]:
        """Return its entry in the directory."""
        entry = self.standin.entry("app", "north")
        entry["address"] = self.link.address
        entry["state"] = "draining" if draining else "ready"
        return entry


@dataclasses.dataclass(slots=True)
class Front:
    """A front, restarted by the platform whenever it ends."""

    host: str
    store_link: proxy.Proxy
    file: pathlib.Path
    log: pathlib.Path
    process: asyncio.subprocess.Process | None = None
    ended_by_us: bool = False
    """Whether the soak ended the process, so that its exit code tells nothing."""
    paused: bool = False
    keeper: asyncio.Task[None] | None = None

    @property
    def running(self) -> bool:
        """Whether the process can be sent signals."""
        return self.process is not None and self.process.returncode is None

    def handles(self, number: signal.Signals) -> bool:
        """Return whether the process ignores or handles a signal.

        Args:
            number: The signal.
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
        """Send a signal if the process runs.

        Args:
            number: The signal.
        """
        if self.running and self.process is not None:
            self.process.send_signal(number)


class System:
    """All parts of one run.

    Args:
        folder: Takes settings and logs.
        number: Number of this run among those at the same time; gives it addresses of its own.
    """

    def __init__(self, folder: pathlib.Path, number: int) -> None:
        self.folder = folder
        self.net = f"127.0.{100 + number}"
        self.store = store.StoreStandin()
        self.servers: list[Server] = []
        """All that ever were; what has left keeps its runs."""
        self.fronts: list[Front] = []
        self.version = 0
        self.broken: list[str] = []
        """Broken promises."""
        self._started = 0
        self._closing = False

    async def start(self) -> None:
        """Start all parts and wait until each front is ready."""
        await self.store.http.listen(f"{self.net}.250")
        for _ in range(SERVERS):
            await self.add_server()
        self.configure()
        for number in range(FRONTS):
            host = f"{self.net}.{number + 1}"
            link = proxy.Proxy(self.store.http.address)
            await link.listen(f"{self.net}.250")
            file = self.folder / f"front-{number}.toml"
            text = documents.settings_text(
                f"front-{number}", host, PORT, link.address, grace_s=int(GRACE_S)
            )
            file.write_text(text)
            front = Front(host, link, file, self.folder / f"front-{number}.log")
            self.fronts.append(front)
            front.keeper = asyncio.create_task(self._keep(front))

    async def _keep(self, front: Front) -> None:
        """Start a front whenever it is not running, as the platform does."""
        while not self._closing:
            with front.log.open("ab") as log:
                front.process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    str(ROOT / "deploy" / "start.py"),
                    env={**os.environ, settings.PATH_VARIABLE: str(front.file)},
                    stdout=log,
                    stderr=log,
                )
            front.ended_by_us = front.paused = False
            code = await front.process.wait()
            if not front.ended_by_us and not self._closing:
                self.broken.append(f"{front.host} ended by itself with code {code}")
            await asyncio.sleep(RESTART_PAUSE_S)

    async def add_server(self) -> Server:
        """Start a backend server and register it.

        Returns:
            The server.
        """
        self._started += 1
        standin = replica.ReplicaStandin(f"i-{self._started}")
        runs = TimedRuns()
        standin.runs = runs
        await standin.http.listen(f"{self.net}.251")
        link = proxy.Proxy(standin.http.address)
        await link.listen(f"{self.net}.252")
        server = Server(standin, link, runs)
        self.servers.append(server)
        self.store.put("servers", standin.server, server.entry())
        return server

    def configure(self) -> None:
        """Put a new version of the configuration in force, with one route more than before."""
        self.version += 1
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
            for number in range(2, self.version + 1)
        )
        document = documents.configuration(self.version, extra_routes=routes)
        self.store.put("config", "main", document)

    def live_servers(self) -> list[Server]:
        """Return the servers that are registered and not leaving."""
        listed = self.store.names("servers")
        return [
            server
            for server in self.servers
            if server.standin.server in listed and server.drained_s is None
        ]

    async def close(self) -> None:
        """End all that was started, each process by its id."""
        self._closing = True
        for front in self.fronts:
            front.ended_by_us = True
            front.signal(signal.SIGCONT)
            front.signal(signal.SIGKILL)
        await asyncio.gather(*(front.keeper for front in self.fronts if front.keeper))
        for front in self.fronts:
            front.store_link.close()
        for server in self.servers:
            server.link.close()
            server.standin.http.close()
        self.store.http.close()
