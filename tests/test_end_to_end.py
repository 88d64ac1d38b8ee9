"""Guards against settings, start-up, links and claims that only work within a single process."""

from __future__ import annotations

import json
import socket
import time
import typing

import pytest

from gentianpaddle_standins import expected_answers

CALLER_HEADERS = {"Authorization": "Bearer caller-token", "Gentianpaddle-Class": "quote"}
CHAT_PATH = "/v1/chat/completions"
TIMEOUT_S = 20.0
BOOKING_PATH = "/v1/services/booking/x"


@pytest.mark.parametrize("stream", [False, True])
@pytest.mark.parametrize("number", [0, 1])
def test_complete_answer_through_each_entry(fleet: typing.Any, number: int, stream: bool):
    prompt = f"prompt {number} {stream}"
    reply = fleet.chat(fleet.urls[number], prompt, stream=stream)
    assert (reply.completed, reply.text) == (True, expected_answers.text(prompt, 40))


def test_idempotency_key_runs_once_across_entries(fleet: typing.Any):
    replies = [fleet.book(url, "order-1") for url in (*fleet.urls, fleet.urls[0])]
    assert [reply.status for reply in replies] == [200, 200, 200]
    assert len({reply.data for reply in replies}) == 1
    assert fleet.booking_runs("order-1") == 1
    path = f"{fleet.urls[1]}/v1/requests/crew%2Forder-1"
    # The outcome is written to the claim log one batch after the caller receives the answer.
    timeout_at_s = time.monotonic() + 10.0
    while (recorded := fleet.pool.request("GET", path, headers=CALLER_HEADERS)).status == 504:
        assert time.monotonic() < timeout_at_s
    assert recorded.data == replies[0].data
    reused = fleet.book(fleet.urls[1], "order-1", b"another pump")
    assert (reused.status, reused.json()["error"]["code"]) == (422, "key_reused")


@pytest.mark.parametrize(
    ("path", "headers", "body", "status", "code"),
    [
        (CHAT_PATH, {}, b"{}", 401, "unauthorized"),
        (CHAT_PATH, CALLER_HEADERS, b"not json", 400, "bad_body"),
        (CHAT_PATH, CALLER_HEADERS, b"[1]", 400, "bad_body"),
        (CHAT_PATH, CALLER_HEADERS, b"x" * 1_000_001, 413, "body_too_large"),
        (BOOKING_PATH, CALLER_HEADERS, b"", 400, "key_required"),
        ("/v1/services/none/x", CALLER_HEADERS, b"", 404, "unknown_service"),
        (BOOKING_PATH, {**CALLER_HEADERS, "Gentianpaddle-Class": "x"}, b"", 400, "unknown_class"),
    ],
)
def test_invalid_requests_do_not_reach_a_backend_server(
    fleet: typing.Any, path: str, headers: dict[str, str], body: bytes, status: int, code: str
):
    runs_before = sum(len(each.request_starts) for each in fleet.engines) + len(
        fleet.booking.request_starts
    )
    response = fleet.pool.request("POST", fleet.urls[0] + path, body=body, headers=headers)
    assert (response.status, response.json()["error"]["code"]) == (status, code)
    assert (
        sum(len(each.request_starts) for each in fleet.engines) + len(fleet.booking.request_starts)
        == runs_before
    )


def open_raw_request(url: str, body: bytes, length: int) -> socket.socket:
    host, _, port = url.removeprefix("http://").partition(":")
    lines = [f"POST {CHAT_PATH} HTTP/1.1", f"Host: {host}", f"Content-Length: {length}"]
    lines += [f"{name}: {value}" for name, value in CALLER_HEADERS.items()]
    connection = socket.create_connection((host, int(port)), timeout=TIMEOUT_S)
    connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    return connection


def test_incomplete_request_body_times_out(fleet: typing.Any):
    with open_raw_request(fleet.urls[0], b"{", 100) as slow:
        assert b" 408 " in slow.recv(4_096).split(b"\r\n")[0]


def test_stream_is_cancelled_when_its_caller_disconnects(fleet: typing.Any):
    body = json.dumps(
        {
            "model": "drafter",
            "messages": [{"role": "user", "content": "left alone"}],
            "max_tokens": 2_000,
            "stream": True,
        }
    ).encode()
    with open_raw_request(fleet.urls[0], body, len(body)) as caller:
        assert b" 200 " in caller.recv(4_096).split(b"\r\n")[0]
        assert sum(each.running_requests for each in fleet.engines) == 1
    # Generating all 2,000 tokens would take 40 s.
    timeout_at_s = time.monotonic() + TIMEOUT_S
    while sum(each.running_requests for each in fleet.engines):
        assert time.monotonic() < timeout_at_s
        time.sleep(0.1)


def test_evening_page_counts_the_requests(fleet: typing.Any):
    assert fleet.chat_completes(fleet.urls[0], "counted")
    headers = {"Authorization": "Bearer operator-token"}
    path = f"{fleet.urls[0]}/report?format=json"
    page = fleet.pool.request("GET", path, headers=headers).json()
    assert page["classes"][0]["day"]["requests"] >= 1
    assert fleet.pool.request("GET", f"{fleet.urls[0]}/report").status == 401
