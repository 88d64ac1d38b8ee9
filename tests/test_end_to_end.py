"""Guards against a path that only works inside one process: settings, start, links, and claims."""

from __future__ import annotations

import json
import socket
import time
import typing

import pytest

from gentianpaddle_standins import answers

CALLER = {"Authorization": "Bearer caller-token", "Gentianpaddle-Class": "quote"}
CHAT = "/v1/chat/completions"
LIMIT_S = 20.0
BOOK = "/v1/services/booking/x"


@pytest.mark.parametrize("stream", [False, True])
@pytest.mark.parametrize("number", [0, 1])
def test_whole_answer_through_each_entry(fleet: typing.Any, number: int, stream: bool):
    prompt = f"prompt {number} {stream}"
    reply = fleet.chat(fleet.urls[number], prompt, stream=stream)
    assert (reply.ended, reply.text) == (True, answers.text(prompt, 40))


def test_booking_with_one_key_runs_once_over_both_entries(fleet: typing.Any):
    replies = [fleet.book(url, "order-1") for url in (*fleet.urls, fleet.urls[0])]
    assert [reply.status for reply in replies] == [200, 200, 200]
    assert len({reply.data for reply in replies}) == 1
    assert fleet.bookings("order-1") == 1
    path = f"{fleet.urls[1]}/v1/requests/crew%2Forder-1"
    # The outcome reaches the claim log a batch after the answer reaches the caller.
    until_s = time.monotonic() + 10.0
    while (found := fleet.pool.request("GET", path, headers=CALLER)).status == 504:
        assert time.monotonic() < until_s
    assert found.data == replies[0].data
    reused = fleet.book(fleet.urls[1], "order-1", b"another pump")
    assert (reused.status, reused.json()["error"]["code"]) == (422, "key_reused")


@pytest.mark.parametrize(
    ("path", "headers", "body", "status", "code"),
    [
        (CHAT, {}, b"{}", 401, "unauthorized"),
        (CHAT, CALLER, b"not json", 400, "bad_body"),
        (CHAT, CALLER, b"[1]", 400, "bad_body"),
        (CHAT, CALLER, b"x" * 1_000_001, 413, "body_too_large"),
        (BOOK, CALLER, b"", 400, "key_required"),
        ("/v1/services/none/x", CALLER, b"", 404, "unknown_service"),
        (BOOK, {**CALLER, "Gentianpaddle-Class": "x"}, b"", 400, "unknown_class"),
    ],
)
def test_bad_requests_touch_no_backend_server(
    fleet: typing.Any, path: str, headers: dict[str, str], body: bytes, status: int, code: str
):
    before = sum(len(each.runs) for each in fleet.engines) + len(fleet.booking.runs)
    response = fleet.pool.request("POST", fleet.urls[0] + path, body=body, headers=headers)
    assert (response.status, response.json()["error"]["code"]) == (status, code)
    assert sum(len(each.runs) for each in fleet.engines) + len(fleet.booking.runs) == before


def raw_request(url: str, body: bytes, length: int) -> socket.socket:
    host, _, port = url.removeprefix("http://").partition(":")
    lines = [f"POST {CHAT} HTTP/1.1", f"Host: {host}", f"Content-Length: {length}"]
    lines += [f"{name}: {value}" for name, value in CALLER.items()]
    opened = socket.create_connection((host, int(port)), timeout=LIMIT_S)
    opened.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    return opened


def test_slow_body_is_refused(fleet: typing.Any):
    with raw_request(fleet.urls[0], b"{", 100) as slow:
        assert b" 408 " in slow.recv(4_096).split(b"\r\n")[0]


def test_stream_of_a_vanished_caller_is_cancelled(fleet: typing.Any):
    body = json.dumps(
        {
            "model": "drafter",
            "messages": [{"role": "user", "content": "left alone"}],
            "max_tokens": 2_000,
            "stream": True,
        }
    ).encode()
    with raw_request(fleet.urls[0], body, len(body)) as vanishing:
        assert b" 200 " in vanishing.recv(4_096).split(b"\r\n")[0]
        assert sum(each.running for each in fleet.engines) == 1
    # 2,000 tokens would take 40 s.
    until_s = time.monotonic() + LIMIT_S
    while sum(each.running for each in fleet.engines):
        assert time.monotonic() < until_s
        time.sleep(0.1)


def test_evening_page_counts_the_requests(fleet: typing.Any):
    assert fleet.chats_whole(fleet.urls[0], "counted")
    headers = {"Authorization": "Bearer operator-token"}
    path = f"{fleet.urls[0]}/report?format=json"
    page = fleet.pool.request("GET", path, headers=headers).json()
    assert page["classes"][0]["day"]["requests"] >= 1
    assert fleet.pool.request("GET", f"{fleet.urls[0]}/report").status == 401
