"""Fleet of daemon processes on loopback, with the resource usage of each process."""

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

CONDITION_TIMEOUT_S = 30.0
PROCESS_LIMIT = 100
CALLER_TOKEN = "caller-token"
OPERATOR_HEADERS = {"Authorization": "Bearer operator-token"}
CALLER_HEADERS = {"Authorization": f"Bearer {CALLER_TOKEN}", "Gentianpaddle-Class": "patient"}
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_DECLARATION_BASE = f"""
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
token_sha256 = ["{hashlib.sha256(CALLER_TOKEN.encode()).hexdigest()}"]
"""
_COMMON_SETTINGS = """
vm = "{vm}"
data_centre = "d{centre}"
region = "r1"
listen = "127.0.0.1:{port}"
peers = ["127.0.0.1:{peer1}", "127.0.0.1:{peer2}"]
object_api_url = "{store}"
shared_tokens = ["shared"]
"""
_ENTRY_SETTINGS = """
http = "127.0.0.1:{http}"
operator_tokens = ["operator-token"]
entry_ttl_s = 1
[limits]
connections = 600
body_bytes = 8000000
"""
_AGENT_SETTINGS = """
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
class ProcessUsage:
    """Resource usage of one process since its start."""

    processor_ms: float
    """User and system time in ms."""
    resident_mb: float
    """Current resident memory in MB."""
    sent_bytes: float
    """TCP payload sent on the open sockets, without those to the engine; NaN if `ss` is missing."""
    received_bytes: float
    """TCP payload received on the same sockets; NaN if `ss` is missing."""


class Fleet:
    """Entries and agents with one object API stand-in and one engine stand-in."""

    def __init__(self, directory: pathlib.Path, step_s: float = 0.02) -> None:
        self.directory = directory
        self.pool = urllib3.PoolManager(retries=False, timeout=60.0, maxsize=32)
        self.store = faults.FaultyObjectApi(object_store.ObjectStore(), random.Random(1))
        self._object_server = object_server.ObjectServer(self.store)
        self._object_server.start()
        self.engine = engine.Engine(engine.EngineOptions("shared", step_s=step_s, capacity=64))
        self._engine_server = engine.new_engine_server(self.engine)
        self._seed_ports = (free_port(), free_port())
        self.entry_urls: list[str] = []
        self.process_by_vm: dict[str, subprocess.Popen[bytes]] = {}
        self.revision = 0

    def __enter__(self) -> Fleet:
        """Return this fleet."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Kill the processes that this fleet started and stop its servers."""
        for process in self.process_by_vm.values():
            process.kill()
        for process in self.process_by_vm.values():
            process.wait()
        self._engine_server.stop()
        self._object_server.stop()

    def grow_to(self, entries: int, agents: int) -> None:
        """Start processes up to a fleet size, and wait until every entry sees all members.

        Args:
            entries: Total number of entries.
            agents: Total number of agents.
        """
        for number in range(len(self.entry_urls), entries):
            http = free_port()
            port = self._seed_ports[number] if number < len(self._seed_ports) else free_port()
            self._launch("entry", f"entry{number}", number, port, _ENTRY_SETTINGS.format(http=http))
            self.entry_urls.append(f"http://127.0.0.1:{http}")
        for number in range(len(self.vms("agent")), agents):
            vm = f"agent{number}"
            text = _AGENT_SETTINGS.format(vm=vm, url=self._engine_server.url)
            self._launch("agent", vm, number, free_port(), text)
        wait_until(lambda: all(map(self._is_healthy, self.entry_urls)))
        if self.revision == 0:
            self.put_configuration(declaration(0))
        wait_until(lambda: all(map(self.has_converged, self.entry_urls)))

    def vms(self, role: str) -> list[str]:
        """Return the VMs whose process has a role."""
        return [vm for vm in self.process_by_vm if vm.startswith(role)]

    def put_configuration(self, text: str) -> tuple[int, bytes]:
        """Put a declaration as the next configuration revision at the first entry.

        Returns:
            HTTP status and body of the response.
        """
        response = self.pool.request(
            "PUT",
            f"{self.entry_urls[0]}/v1/operator/configuration",
            body=text.encode(),
            headers={**OPERATOR_HEADERS, "If-Match": str(self.revision)},
        )
        if response.status == 200:
            self.revision += 1
        return response.status, response.data

    def has_converged(self, url: str) -> bool:
        """Return whether an entry sees every member with the latest configuration in force."""
        response = self.pool.request("GET", f"{url}/v1/operator/status", headers=OPERATOR_HEADERS)
        document: typing.Any = response.json()
        members = document["members"]
        return len(members) == len(self.process_by_vm) and all(
            member["revision"] >= self.revision for member in members
        )

    def control_bytes_by_kind(self) -> dict[str, float]:
        """Return the bytes of control messages that the first entry has sent, by kind."""
        text = self.pool.request("GET", f"{self.entry_urls[0]}/metrics").data.decode()
        found = re.findall(r'control_bytes_total\{message="(\w+)"\} ([\d.e+]+)', text)
        return {kind: float(value) for kind, value in found}

    def usage(self, vms: list[str]) -> dict[str, ProcessUsage]:
        """Read the resource usage of processes.

        Args:
            vms: VMs of the processes.

        Returns:
            Resource usage by VM.
        """
        traffic_by_pid = _traffic_by_pid(self._engine_server.url.rsplit(":", 1)[1])
        found = {}
        for vm in vms:
            pid = self.process_by_vm[vm].pid
            sent, received = traffic_by_pid.get(pid, (float("nan"), float("nan")))
            found[vm] = ProcessUsage(processor_ms(pid), resident_mb(pid), sent, received)
        return found

    def _is_healthy(self, url: str) -> bool:
        try:
            return self.pool.request("GET", f"{url}/healthz").status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _launch(self, role: str, vm: str, number: int, port: int, text: str) -> None:
        if len(self.process_by_vm) >= PROCESS_LIMIT:
            raise AssertionError("the fleet has reached its limit of processes")
        first_seed, second_seed = self._seed_ports
        store = f"http://127.0.0.1:{self._object_server.port}"
        common = _COMMON_SETTINGS.format(
            vm=vm, centre=number % 2, port=port, peer1=first_seed, peer2=second_seed, store=store
        )
        file = self.directory / f"{vm}.toml"
        file.write_text(common + text)
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
        command = [sys.executable, "-m", "gentianpaddle_daemon", role, "--settings", str(file)]
        with (self.directory / f"{vm}.log").open("wb") as log:
            self.process_by_vm[vm] = subprocess.Popen(
                command, env=environment, stdout=log, stderr=log
            )


def declaration(organisations: int, label: str = "") -> str:
    """Return a declaration document.

    Args:
        organisations: Number of organisations in addition to that of the caller.
        label: Text of a comment that makes the document differ from earlier ones.

    Returns:
        TOML document.
    """
    lines = [f"# {label}", _DECLARATION_BASE]
    for number in range(organisations):
        token = hashlib.sha256(str(number).encode()).hexdigest()
        lines.append(f'[organisations.o{number}]\ntoken_sha256 = ["{token}"]')
    return "\n".join(lines)


def processor_ms(pid: int) -> float:
    """Return the user and system time of a process in ms."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * 1_000.0 / CLOCK_TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    found = re.search(r"VmRSS:\s+(\d+) kB", text)
    return int(found[1]) / 1_000.0 if found else float("nan")


def free_port() -> int:
    """Return a currently unused loopback port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def wait_until(condition: Callable[[], bool], period_s: float = 0.1) -> float:
    """Wait for a condition.

    Args:
        condition: Callback that returns whether the condition holds.
        period_s: Time between two checks.

    Returns:
        Time waited in seconds.

    Raises:
        TimeoutError: The condition did not hold within `CONDITION_TIMEOUT_S`.
    """
    started_s = time.monotonic()
    while not condition():
        if time.monotonic() > started_s + CONDITION_TIMEOUT_S:
            raise TimeoutError("condition not true within CONDITION_TIMEOUT_S")
        time.sleep(period_s)
    return time.monotonic() - started_s


def _traffic_by_pid(engine_port: str) -> dict[int, tuple[float, float]]:
    ss_path = shutil.which("ss")
    if ss_path is None:
        return {}
    text = subprocess.run([ss_path, "-tinpHO"], capture_output=True, text=True, check=True).stdout
    traffic_by_pid: dict[int, tuple[float, float]] = {}
    for line in text.splitlines():
        pid = re.search(r"pid=(\d+)", line)
        if pid is None or re.search(rf":{engine_port}\s", line):
            continue
        sent, received = (
            float(found[1]) if (found := re.search(rf"\b{name}:(\d+)", line)) else 0.0
            for name in ("bytes_acked", "bytes_received")
        )
        sums = traffic_by_pid.get(int(pid[1]), (0.0, 0.0))
        traffic_by_pid[int(pid[1])] = (sums[0] + sent, sums[1] + received)
    return traffic_by_pid
