"""A fleet of daemons as separate processes on loopback, and readings of what each of them uses."""

from __future__ import annotations

import dataclasses
import hashlib
import os
import pathlib
import random
import re
import shutil
import socket
import subprocess
import sys
import time
import types
import typing
from collections.abc import Callable

import urllib3

from gentianpaddle_standins import engine, faults, object_server, object_store

READY_LIMIT_S = 30.0
PROCESSES_LIMIT = 100
TOKEN = "caller-token"
OPERATOR = {"Authorization": "Bearer operator-token"}
CALLER = {"Authorization": f"Bearer {TOKEN}", "Gentianpaddle-Class": "patient"}
CLOCK_TICKS_S = os.sysconf("SC_CLK_TCK")
_BASE = f"""
[classes.patient]
first_token_s = 500.0
token_gap_ms = 60000
share = 0.95
deadline_s = 600
[models.drafter]
version = "1"
[data_centres.d0]
region = "r1"
[data_centres.d1]
region = "r1"
[organisations.crew]
token_sha256 = ["{hashlib.sha256(TOKEN.encode()).hexdigest()}"]
"""
_COMMON = """
vm = "{vm}"
data_centre = "d{centre}"
region = "r1"
listen = "127.0.0.1:{port}"
peers = ["127.0.0.1:{peer1}", "127.0.0.1:{peer2}"]
object_api_url = "{store}"
shared_tokens = ["shared"]
"""
_ENTRY = """
http = "127.0.0.1:{http}"
operator_tokens = ["operator-token"]
entry_ttl_s = 1
[limits]
connections = 600
body_bytes = 8000000
"""
_AGENT = """
[backend]
name = "{vm}-backend"
url = "{url}"
kind = "engine"
targets = ["drafter"]
capacity_limit = 8
expected_step_ms = 500
resumes = true
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What one process has used since its start."""

    processor_ms: float
    """User and system time."""
    resident_mb: float
    """Resident memory now."""
    sent_bytes: float
    """Payload of the open TCP sockets without those to the engine; NaN without `ss`."""
    received_bytes: float
    """The same in the other direction."""


class Fleet:
    """Entries and agents that share one object API and one engine stand-in."""

    def __init__(self, directory: pathlib.Path, step_s: float = 0.02) -> None:
        self.directory = directory
        self.pool = urllib3.PoolManager(retries=False, timeout=60.0, maxsize=32)
        self.store = faults.FaultyObjectApi(object_store.ObjectStore(), random.Random(1))
        self._object_server = object_server.ObjectServer(self.store)
        self._object_server.start()
        self.engine = engine.Engine(engine.EngineOptions("shared", step_s=step_s, capacity=64))
        self._engine_server = engine.new_engine_server(self.engine)
        self._seeds = (free_port(), free_port())
        self.entry_urls: list[str] = []
        self.process_by_vm: dict[str, subprocess.Popen[bytes]] = {}
        self.revision = 0

    def __enter__(self) -> Fleet:
        """Return the fleet."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """End the processes that this fleet started."""
        for process in self.process_by_vm.values():
            process.kill()
        for process in self.process_by_vm.values():
            process.wait()
        self._engine_server.stop()
        self._object_server.stop()

    def grow(self, entries: int, agents: int) -> None:
        """Start processes until the fleet has a size, and wait until all entries see all of it.

        Args:
            entries: Number of entries.
            agents: Number of agents.
        """
        for number in range(len(self.entry_urls), entries):
            http = free_port()
            port = self._seeds[number] if number < len(self._seeds) else free_port()
            self._launch("entry", f"entry{number}", number, port, _ENTRY.format(http=http))
            self.entry_urls.append(f"http://127.0.0.1:{http}")
        for number in range(len(self.vms("agent")), agents):
            vm = f"agent{number}"
            text = _AGENT.format(vm=vm, url=self._engine_server.url)
            self._launch("agent", vm, number, free_port(), text)
        wait_until(lambda: all(map(self._alive, self.entry_urls)))
        if self.revision == 0:
            self.apply(declaration(0))
        wait_until(lambda: all(map(self.in_force, self.entry_urls)))

    def vms(self, role: str) -> list[str]:
        """Return the VMs of a role."""
        return [vm for vm in self.process_by_vm if vm.startswith(role)]

    def apply(self, text: str) -> tuple[int, bytes]:
        """Change the configuration at the first entry.

        Returns:
            Status and body of the response.
        """
        answer = self.pool.request(
            "PUT",
            f"{self.entry_urls[0]}/v1/operator/configuration",
            body=text.encode(),
            headers={**OPERATOR, "If-Match": str(self.revision)},
        )
        if answer.status == 200:
            self.revision += 1
        return answer.status, answer.data

    def in_force(self, url: str) -> bool:
        """Tell whether an entry sees every member with the latest configuration."""
        answer = self.pool.request("GET", f"{url}/v1/operator/status", headers=OPERATOR)
        document: typing.Any = answer.json()
        members = document["members"]
        return len(members) == len(self.process_by_vm) and all(
            member["revision"] >= self.revision for member in members
        )

    def control_messages(self) -> dict[str, float]:
        """Return the bytes of control messages that the first entry has sent, by kind."""
        text = self.pool.request("GET", f"{self.entry_urls[0]}/metrics").data.decode()
        found = re.findall(r'control_bytes_total\{message="(\w+)"\} ([\d.e+]+)', text)
        return {kind: float(value) for kind, value in found}

    def usage(self, vms: list[str]) -> dict[str, Usage]:
        """Read what some processes have used.

        Args:
            vms: VMs of these processes.

        Returns:
            Usage by VM.
        """
        traffic_by_pid = _traffic_by_pid(self._engine_server.url.rsplit(":", 1)[1])
        found = {}
        for vm in vms:
            pid = self.process_by_vm[vm].pid
            sent, received = traffic_by_pid.get(pid, (float("nan"), float("nan")))
            found[vm] = Usage(processor_ms(pid), resident_mb(pid), sent, received)
        return found

    def _alive(self, url: str) -> bool:
        try:
            return self.pool.request("GET", f"{url}/healthz").status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _launch(self, role: str, vm: str, number: int, port: int, text: str) -> None:
        if len(self.process_by_vm) >= PROCESSES_LIMIT:
            raise AssertionError("the fleet is larger than its limit")
        first, second = self._seeds
        store = f"http://127.0.0.1:{self._object_server.port}"
        common = _COMMON.format(
            vm=vm, centre=number % 2, port=port, peer1=first, peer2=second, store=store
        )
        file = self.directory / f"{vm}.toml"
        file.write_text(common + text)
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
        command = [sys.executable, "-m", "gentianpaddle_daemon", role, "--settings", str(file)]
        with (self.directory / f"{vm}.log").open("wb") as log:
            self.process_by_vm[vm] = subprocess.Popen(
                command, env=environment, stdout=log, stderr=log
            )


def declaration(organisations: int, mark: str = "") -> str:
    """Return a declaration.

    Args:
        organisations: Organisations beside the one that calls.
        mark: Text that makes the document differ from earlier ones.

    Returns:
        The document.
    """
    lines = [f"# {mark}", _BASE]
    for number in range(organisations):
        token = hashlib.sha256(str(number).encode()).hexdigest()
        lines.append(f'[organisations.o{number}]\ntoken_sha256 = ["{token}"]')
    return "\n".join(lines)


def processor_ms(pid: int) -> float:
    """Return the user and system time of a process in ms."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * 1_000.0 / CLOCK_TICKS_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    found = re.search(r"VmRSS:\s+(\d+) kB", text)
    return int(found[1]) / 1_000.0 if found else float("nan")


def free_port() -> int:
    """Return a loopback port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def wait_until(condition: Callable[[], bool], period_s: float = 0.1) -> float:
    """Wait for a condition.

    Args:
        condition: Condition.
        period_s: Time between two checks.

    Returns:
        Seconds waited.

    Raises:
        TimeoutError: It did not come true within `READY_LIMIT_S`.
    """
    began_s = time.monotonic()
    while not condition():
        if time.monotonic() > began_s + READY_LIMIT_S:
            raise TimeoutError("the condition did not come true")
        time.sleep(period_s)
    return time.monotonic() - began_s


def _traffic_by_pid(engine_port: str) -> dict[int, tuple[float, float]]:
    tool = shutil.which("ss")
    if tool is None:
        return {}
    text = subprocess.run([tool, "-tinpHO"], capture_output=True, text=True, check=True).stdout
    total: dict[int, tuple[float, float]] = {}
    for line in text.splitlines():
        pid = re.search(r"pid=(\d+)", line)
        if pid is None or re.search(rf":{engine_port}\s", line):
            continue
        sent, received = (
            float(found[1]) if (found := re.search(rf"\b{name}:(\d+)", line)) else 0.0
            for name in ("bytes_acked", "bytes_received")
        )
        before = total.get(int(pid[1]), (0.0, 0.0))
        total[int(pid[1])] = (before[0] + sent, before[1] + received)
    return total
