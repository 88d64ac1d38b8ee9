"""Runs the daemons as separate processes on loopback and sends requests through both entries.

Guards against a path that only works inside one process: settings, start, links, streams, claims,
signals and the graceful stop.
"""

from __future__ import annotations

import concurrent.futures
import dataclasses
import hashlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator

import pytest
import urllib3
from gentianpaddle_standins import answers, engine, object_server, object_store, plain_service

READY_LIMIT_S = 60.0
PROCESS_STOP_LIMIT_S = 60.0
TOKENS = 40
TOKEN = "caller-token"
OPERATOR = {"Authorization": "Bearer operator-token"}
CALLER = {"Authorization": f"Bearer {TOKEN}", "Gentianpaddle-Class": "quote"}
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
COMMON = """
vm = "{vm}"
data_centre = "{centre}"
region = "r1"
listen = "127.0.0.1:{port}"
peers = ["127.0.0.1:{peer1}", "127.0.0.1:{peer2}"]
object_api_url = "{store}"
shared_tokens = ["shared"]
"""


@dataclasses.dataclass
class Fleet:
    """Everything that the test talks to."""

    urls: list[str]
    process_by_vm: dict[str, subprocess.Popen[bytes]]
    engines: list[engine.Engine]
    booking: plain_service.BookingService
    pool: urllib3.PoolManager


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def launch(directory: pathlib.Path, role: str, vm: str, text: str) -> subprocess.Popen[bytes]:
    file = directory / f"{vm}.toml"
    file.write_text(text)
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    command = [sys.executable, "-m", "gentianpaddle_daemon", role, "--settings", str(file)]
    log = (directory / f"{vm}.log").open("wb")
    return subprocess.Popen(command, env=environment, stderr=log, stdout=log)


def wait_until(condition: Callable[[], bool]) -> None:
    until_s = time.monotonic() + READY_LIMIT_S
    while not condition():
        assert time.monotonic() < until_s, "the fleet did not become ready"
        time.sleep(0.1)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    directory = tmp_path_factory.mktemp("fleet")
    store = object_server.ObjectServer(object_store.ObjectStore())
    store.start()
    engines = [engine.Engine(engine.EngineOptions(f"engine{n}", step_s=0.02)) for n in (1, 2)]
    engine_servers = [engine.new_engine_server(each) for each in engines]
    booking = plain_service.BookingService()
    booking_server = plain_service.new_service_server(booking)
    peers = [free_port(), free_port()]
    process_by_vm: dict[str, subprocess.Popen[bytes]] = {}

    def common(vm: str, centre: str, port: int) -> str:
        url = f"http://127.0.0.1:{store.port}"
        return COMMON.format(
            vm=vm, centre=centre, port=port, peer1=peers[0], peer2=peers[1], store=url
        )

    urls = []
    for number, port in enumerate(peers, 1):
        http = free_port()
        urls.append(f"http://127.0.0.1:{http}")
        text = common(f"entry{number}", f"d{number}", port)
        text += f'http = "127.0.0.1:{http}"\noperator_tokens = ["operator-token"]\n'
        process_by_vm[f"entry{number}"] = launch(directory, "entry", f"entry{number}", text)
    backends = [
        ("agent1", "d1", engine_servers[0].url, "engine", "drafter"),
        ("agent2", "d2", engine_servers[1].url, "engine", "drafter"),
        ("agent3", "d1", booking_server.url, "service", "booking"),
    ]
    for vm, centre, url, kind, target in backends:
        text = common(vm, centre, free_port())
        text += f'[backend]\nname = "{vm}-backend"\nurl = "{url}"\nkind = "{kind}"\n'
        text += f'targets = ["{target}"]\ncapacity_limit = 8\nexpected_step_ms = 500\n'
        text += f"resumes = {str(kind == 'engine').lower()}\n"
        process_by_vm[vm] = launch(directory, "agent", vm, text)
    made = Fleet(urls, process_by_vm, engines, booking, urllib3.PoolManager(retries=False))
    try:
        prepare(made)
        yield made
    finally:
        for process in process_by_vm.values():
            process.kill()
            process.wait()
        for server in (*engine_servers, booking_server, store):
            server.stop()


def prepare(fleet: Fleet) -> None:
    def alive(url: str) -> bool:
        try:
            return fleet.pool.request("GET", f"{url}/healthz").status == 200
        except urllib3.exceptions.HTTPError:
            return False

    wait_until(lambda: all(alive(url) for url in fleet.urls))
    answer = fleet.pool.request(
        "PUT",
        f"{fleet.urls[0]}/v1/operator/configuration",
        body=DECLARATION.encode(),
        headers={**OPERATOR, "If-Match": "0"},
    )
    assert answer.status == 200, answer.data

    def confirmed(url: str) -> bool:
        status = fleet.pool.request("GET", f"{url}/v1/operator/status", headers=OPERATOR).json()
        return sum(member["confirmed"] for member in status["members"]) == 5

    wait_until(lambda: all(confirmed(url) for url in fleet.urls))


def chat(fleet: Fleet, url: str, prompt: str, stream: bool, tokens: int = TOKENS) -> str:
    body = {
        "model": "drafter",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "stream": stream,
    }
    response = fleet.pool.request(
        "POST", f"{url}/v1/chat/completions", body=json.dumps(body).encode(), headers=CALLER
    )
    assert response.status == 200, response.data
    if not stream:
        return str(response.json()["choices"][0]["message"]["content"])
    lines = response.data.decode().split("\n")
    assert "data: [DONE]" in lines, lines[-6:]
    events = [json.loads(line[6:]) for line in lines if line.startswith("data: {")]
    return "".join(event["choices"][0]["delta"].get("content", "") for event in events)


@pytest.mark.parametrize("stream", [False, True])
@pytest.mark.parametrize("number", [0, 1])
def test_whole_answer_through_each_entry(fleet: Fleet, number: int, stream: bool):
    prompt = f"prompt {number} {stream}"
    assert chat(fleet, fleet.urls[number], prompt, stream) == answers.text(prompt, TOKENS)


def test_booking_with_one_key_runs_once_over_both_entries(fleet: Fleet):
    headers = {**CALLER, "Idempotency-Key": "order-1"}
    replies = [
        fleet.pool.request(
            "POST", f"{url}/v1/services/booking/orders", body=b"pump", headers=headers
        )
        for url in (*fleet.urls, fleet.urls[0])
    ]
    assert [reply.status for reply in replies] == [200, 200, 200]
    assert len({reply.data for reply in replies}) == 1
    assert [run.key for run in fleet.booking.runs].count("crew/order-1") == 1
    found = fleet.pool.request("GET", f"{fleet.urls[1]}/v1/requests/crew%2Forder-1", headers=CALLER)
    assert found.data == replies[0].data


@pytest.mark.parametrize(
    ("path", "headers", "body", "status", "code"),
    [
        ("/v1/chat/completions", {}, b"{}", 401, "unauthorized"),
        ("/v1/chat/completions", CALLER, b"not json", 400, "bad_body"),
        ("/v1/chat/completions", CALLER, b"[1]", 400, "bad_body"),
        ("/v1/chat/completions", CALLER, b"x" * 1_000_001, 413, "body_too_large"),
        ("/v1/services/booking/x", CALLER, b"", 400, "key_required"),
        ("/v1/services/none/x", CALLER, b"", 404, "unknown_service"),
        (
            "/v1/services/booking/x",
            {**CALLER, "Gentianpaddle-Class": "x"},
            b"",
            400,
            "unknown_class",
        ),
    ],
)
def test_bad_requests_touch_no_backend_server(
    fleet: Fleet, path: str, headers: dict[str, str], body: bytes, status: int, code: str
):
    before = sum(len(each.runs) for each in fleet.engines) + len(fleet.booking.runs)
    response = fleet.pool.request("POST", fleet.urls[0] + path, body=body, headers=headers)
    assert response.status == status
    assert response.json()["error"]["code"] == code
    assert sum(len(each.runs) for each in fleet.engines) + len(fleet.booking.runs) == before


def test_agent_stopped_during_streams_cuts_none(fleet: Fleet):
    prompts = [f"long {number}" for number in range(4)]
    with concurrent.futures.ThreadPoolExecutor(4) as threads:
        streams = [
            threads.submit(chat, fleet, fleet.urls[n % 2], prompt, True, 150)
            for n, prompt in enumerate(prompts)
        ]
        time.sleep(1.0)
        agent = fleet.process_by_vm["agent2"]
        agent.send_signal(signal.SIGTERM)
        texts = [stream.result() for stream in streams]
    assert texts == [answers.text(prompt, 150) for prompt in prompts]
    assert agent.wait(PROCESS_STOP_LIMIT_S) == 0


def test_streams_of_a_crashed_engine_are_resumed(fleet: Fleet):
    before = len(fleet.engines[0].runs)
    prompts = [f"resumed {number}" for number in range(3)]
    with concurrent.futures.ThreadPoolExecutor(3) as threads:
        streams = [
            threads.submit(chat, fleet, fleet.urls[n % 2], prompt, True, 100)
            for n, prompt in enumerate(prompts)
        ]
        wait_until(lambda: len(fleet.engines[0].runs) > before)
        fleet.engines[0].crash()
        texts = [stream.result() for stream in streams]
    assert texts == [answers.text(prompt, 100) for prompt in prompts]
