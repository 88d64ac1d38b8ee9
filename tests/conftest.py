"""Fleet of daemon processes on loopback for the end-to-end tests."""

from __future__ import annotations

import dataclasses
import hashlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator

import pytest
import urllib3

from gentianpaddle_standins import (
    booking_service,
    engine,
    expected_answers,
    faults,
    object_server,
    object_store,
)

READY_TIMEOUT_S = 60.0
MAX_RETRIES = 20
TOKEN = "caller-token"
OPERATOR_HEADERS = {"Authorization": "Bearer operator-token"}
CALLER_HEADERS = {"Authorization": f"Bearer {TOKEN}", "Gentianpaddle-Class": "quote"}
DECLARATION = f"""
[classes.quote]
first_token_s = 5.0
token_gap_ms = 500
share = 0.95
deadline_s = 30
[models.drafter]
version = "1"
[services.booking]
idempotent_methods = ["GET"]
[organisations.crew]
token_sha256 = ["{hashlib.sha256(TOKEN.encode()).hexdigest()}"]
[data_centres.d1]
region = "r1"
[data_centres.d2]
region = "r1"
"""
COMMON_SETTINGS = """
vm = "{vm}"
data_centre = "{centre}"
region = "r1"
listen = "127.0.0.1:{port}"
peers = ["127.0.0.1:{peer1}", "127.0.0.1:{peer2}"]
object_api_url = "{store}"
shared_tokens = ["shared"]
"""
ENTRY_SETTINGS = """
http = "127.0.0.1:{http}"
operator_tokens = ["operator-token"]
entry_ttl_s = 3
[limits]
body_timeout_s = 8
"""
BACKEND_SETTINGS = """
[backend]
name = "{vm}-backend"
url = "{url}"
kind = "{kind}"
targets = ["{target}"]
capacity_limit = 8
expected_step_ms = 500
resumes = {resumes}
"""


@dataclasses.dataclass(frozen=True)
class Reply:
    """Reply to a chat request.

    Attributes:
        status: HTTP status.
        text: Text of the answer; empty unless the status is 200.
        completed: Whether the answer was received to its end.
        payload: JSON body of an error response; empty if the status is 200.
    """

    status: int
    text: str
    completed: bool
    payload: dict[str, object]


class Fleet:
    """Two entries, two engine agents and one booking agent, with stand-ins for their back ends."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.directory = directory
        self.pool = urllib3.PoolManager(retries=False, timeout=60.0, maxsize=32)
        self.store = faults.FaultyObjectApi(object_store.ObjectStore(), random.Random(1))
        self._object_server = object_server.ObjectServer(self.store)
        self._object_server.start()
        self.engines = [engine.Engine(engine.EngineOptions(f"e{n}", step_s=0.02)) for n in (1, 2)]
        self.booking = booking_service.BookingService()
        self._servers = [engine.new_engine_server(each) for each in self.engines]
        self._servers.append(booking_service.new_service_server(self.booking))
        self._peer_ports = [free_port(), free_port()]
        self.urls: list[str] = []
        self.process_by_vm: dict[str, subprocess.Popen[bytes]] = {}

    def start(self) -> None:
        for number, port in enumerate(self._peer_ports, 1):
            http = free_port()
            self.urls.append(f"http://127.0.0.1:{http}")
            text = self._common_settings(
                f"entry{number}", f"d{number}", port
            ) + ENTRY_SETTINGS.format(http=http)
            self._launch("entry", f"entry{number}", text)
        backends = (("d1", "engine"), ("d2", "engine"), ("d1", "service"))
        for number, (centre, kind) in enumerate(backends, 1):
            vm = f"agent{number}"
            text = self._common_settings(vm, centre, free_port()) + BACKEND_SETTINGS.format(
                vm=vm,
                url=self._servers[number - 1].url,
                kind=kind,
                target="drafter" if kind == "engine" else "booking",
                resumes=str(kind == "engine").lower(),
            )
            self._launch("agent", vm, text)
        wait_until(lambda: all(self._responds(url) for url in self.urls))
        status, payload = self.put_declaration(DECLARATION, 0)
        assert status == 200, payload
        wait_until(lambda: all(self.confirmed_members(url) == 5 for url in self.urls))

    def stop(self) -> None:
        for process in self.process_by_vm.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        for server in (*self._servers, self._object_server):
            server.stop()

    def signal(self, vm: str, number: signal.Signals) -> None:
        self.process_by_vm[vm].send_signal(number)

    def put_declaration(
        self, text: str, base: int, url: str | None = None
    ) -> tuple[int, dict[str, object]]:
        answer = self.pool.request(
            "PUT",
            f"{url or self.urls[0]}/v1/operator/configuration",
            body=text.encode(),
            headers={**OPERATOR_HEADERS, "If-Match": str(base)},
        )
        return answer.status, answer.json()

    def change_data_centre(
        self, action: str, centre: str, url: str | None = None
    ) -> dict[str, object]:
        body = json.dumps({"data_centres": [centre]}).encode()
        path = f"{url or self.urls[0]}/v1/operator/{action}"
        answer = self.pool.request("POST", path, body=body, headers=OPERATOR_HEADERS)
        assert answer.status == 200, answer.data
        return dict(answer.json())

    def status(self, url: str) -> dict[str, object]:
        answer = self.pool.request("GET", f"{url}/v1/operator/status", headers=OPERATOR_HEADERS)
        return dict(answer.json())

    def confirmed_members(self, url: str) -> int:
        members = self.status(url)["members"]
        assert isinstance(members, list)
        return sum(bool(member["confirmed"]) for member in members)

    def book(self, url: str, key: str, body: bytes = b"pump") -> urllib3.BaseHTTPResponse:
        headers = {**CALLER_HEADERS, "Idempotency-Key": key}
        path = f"{url}/v1/services/booking/orders"
        return self.pool.request("POST", path, body=body, headers=headers)

    def booking_runs(self, key: str) -> int:
        return [run.key for run in self.booking.request_starts].count(f"crew/{key}")

    def chat(self, url: str, prompt: str, tokens: int = 40, stream: bool = True) -> Reply:
        body = {
            "model": "drafter",
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": stream,
        }
        path = f"{url}/v1/chat/completions"
        response = self.pool.request(
            "POST", path, body=json.dumps(body).encode(), headers=CALLER_HEADERS
        )
        for _ in range(MAX_RETRIES):
            if response.status != 429:
                break
            # A fleet that has just started may reject requests; callers retry after `Retry-After`.
            time.sleep(float(response.headers["Retry-After"]))
            response = self.pool.request(
                "POST", path, body=json.dumps(body).encode(), headers=CALLER_HEADERS
            )
        if response.status != 200:
            return Reply(response.status, "", False, dict(response.json()))
        if not stream:
            text = response.json()["choices"][0]["message"]["content"]
            return Reply(200, text, True, {})
        lines = response.data.decode().split("\n")
        events = [json.loads(line[6:]) for line in lines if line.startswith('data: {"id"')]
        text = "".join(event["choices"][0]["delta"].get("content", "") for event in events)
        return Reply(200, text, "data: [DONE]" in lines, {})

    def chat_completes(self, url: str, prompt: str, tokens: int = 40) -> bool:
        reply = self.chat(url, prompt, tokens)
        return reply.completed and reply.text == expected_answers.text(prompt, tokens)

    def _responds(self, url: str) -> bool:
        try:
            return self.pool.request("GET", f"{url}/healthz").status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _common_settings(self, vm: str, centre: str, port: int) -> str:
        url = f"http://127.0.0.1:{self._object_server.port}"
        first, second = self._peer_ports
        return COMMON_SETTINGS.format(
            vm=vm, centre=centre, port=port, peer1=first, peer2=second, store=url
        )

    def _launch(self, role: str, vm: str, text: str) -> None:
        file = self.directory / f"{vm}.toml"
        file.write_text(text)
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
        command = [sys.executable, "-m", "gentianpaddle_daemon", role, "--settings", str(file)]
        with (self.directory / f"{vm}.log").open("wb") as log:
            self.process_by_vm[vm] = subprocess.Popen(
                command, env=environment, stderr=log, stdout=log
            )


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def wait_until(condition: Callable[[], bool]) -> None:
    timeout_at_s = time.monotonic() + READY_TIMEOUT_S
    while not condition():
        assert time.monotonic() < timeout_at_s, "condition not met within the time-out"
        time.sleep(0.1)


def _running_fleet(directory: pathlib.Path) -> Iterator[Fleet]:
    new_fleet = Fleet(directory)
    try:
        new_fleet.start()
        yield new_fleet
    finally:
        new_fleet.stop()


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Fleet shared by the tests of a module that leave its state unchanged."""
    yield from _running_fleet(tmp_path_factory.mktemp("fleet"))


@pytest.fixture
def own_fleet(tmp_path: pathlib.Path) -> Iterator[Fleet]:
    """Fleet for a single test."""
    yield from _running_fleet(tmp_path)
