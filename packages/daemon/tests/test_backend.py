"""Guards against an agent that suffers from a backend server which sends anything but an answer."""

from __future__ import annotations

import contextlib
import socket
import threading
import tracemalloc
from collections.abc import Iterator

import pytest

from gentianpaddle_daemon.agent import backend, order_handler
from gentianpaddle_daemon.entry import responses

CALL_LIMIT_S = 20.0
"""Time after which a call counts as hanging."""

MEMORY_LIMIT_BYTES = 8 * 1_048_576
"""Memory that a call may use beside the data that it has passed on."""


class Listener:
    """Records the end of a call, and the size of its data."""

    def __init__(self) -> None:
        self.size = 0
        self.ends: list[str] = []

    def on_data(self, data: bytes, tokens: int) -> None:
        self.size += len(data)

    def on_end(self, http_status: int, content_type: str) -> None:
        self.ends.append(f"end {http_status}")

    def on_failure(self, may_have_run: bool, reason: str) -> None:
        self.ends.append(f"failure {may_have_run}")


@contextlib.contextmanager
def server(first: bytes, repeated: bytes = b"") -> Iterator[str]:
    """Run a server that answers each request with some bytes, and then with others without end."""
    listening = socket.create_server(("127.0.0.1", 0))
    block = repeated * (65_536 // max(1, len(repeated)))

    def answer(connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            connection.recv(65_536)
            connection.sendall(first)
            while block:
                connection.sendall(block)

    def accept() -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listening.accept()
                threading.Thread(target=answer, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    try:
        yield f"http://127.0.0.1:{listening.getsockname()[1]}"
    finally:
        listening.shutdown(socket.SHUT_RDWR)
        listening.close()


def call(url: str, token_stream: bool) -> Listener:
    listener = Listener()
    request = backend.Call("k", "POST", "/x", b"{}", "application/json", token_stream, 1.0)
    thread = threading.Thread(
        target=backend.new_http_backend(url).run,
        args=(request, listener, backend.CallHandle()),
        daemon=True,
    )
    thread.start()
    thread.join(CALL_LIMIT_S)
    assert not thread.is_alive()
    return listener


@pytest.mark.parametrize(
    ("status", "end"),
    [
        ("000", "failure True"),
        ("099", "failure True"),
        ("150", "failure True"),
        ("200", "end 200"),
        ("520", "end 520"),
        ("600", "failure True"),
        ("999", "failure True"),
    ],
)
def test_status_that_is_not_defined_is_no_answer(status: str, end: str) -> None:
    """Guards against an answer whose status no caller understands."""
    head = f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\nok".encode()
    with server(head) as url:
        assert call(url, token_stream=False).ends == [end]


@pytest.mark.parametrize(
    ("status", "expected"), [(200, "200 OK"), (299, "299 Unknown"), (520, "520 Unknown")]
)
def test_status_without_a_registered_phrase_is_sent(status: int, expected: str) -> None:
    """Guards against a failure of the entry because a service uses a status of its own."""
    seen: list[str] = []
    body = responses.Response(status, b"x").send(lambda line, _: seen.append(line))
    assert (seen, list(body)) == ([expected], [b"x"])


HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("first", "repeated", "token_stream"),
    [
        (b"", b"x", False),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n", False),
        (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n", False),
        (HEAD + b"X-A: ", b"x", False),
        (HEAD + b"\r\n", b"x", False),
        (CHUNKED, b"1\r\nx\r\n", False),
        (CHUNKED + b"1;", b"x", False),
        (HEAD + b"\r\n", b"x", True),
        (HEAD + b"\r\n", b"\n", True),
        (CHUNKED, b"1\r\nx\r\n", True),
        (HEAD + b"\r\n", b'data: {"choices": []}\n\n', True),
    ],
)
def test_answer_without_end_is_given_up(
    monkeypatch: pytest.MonkeyPatch, first: bytes, repeated: bytes, token_stream: bool
) -> None:
    """Guards against an agent that hangs or runs out of memory with endless bytes."""
    monkeypatch.setattr(backend, "ANSWER_LIMIT_BYTES", 1_048_576, raising=False)
    with server(first, repeated) as url:
        tracemalloc.start()
        try:
            listener = call(url, token_stream)
            peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
    assert listener.ends == ["failure True"]
    assert listener.size <= 1_048_576
    assert peak_bytes < MEMORY_LIMIT_BYTES


@pytest.mark.parametrize("status", ["200 OK", "600 X"])
def test_report_without_end_is_given_up(status: str) -> None:
    """Guards against an agent that runs out of memory with a health report or a model report."""
    with server(f"HTTP/1.1 {status}\r\n\r\n".encode(), b"x") as url:
        tracemalloc.start()
        try:
            assert backend.new_http_backend(url).health() is None
            assert order_handler.HttpOrderBackend(url).read() is None
            peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
    assert peak_bytes < MEMORY_LIMIT_BYTES
