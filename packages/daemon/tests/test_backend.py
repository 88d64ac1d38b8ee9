"""Guards against an agent that suffers from a backend server which sends anything but an answer."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Iterator

import pytest

from gentianpaddle_daemon.agent import backend
from gentianpaddle_daemon.entry import responses

CALL_LIMIT_S = 20.0
"""Time after which a call counts as hanging."""


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
def server(data: bytes) -> Iterator[str]:
    """Run a server that answers each request with some bytes."""
    listening = socket.create_server(("127.0.0.1", 0))

    def answer(connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            connection.recv(65_536)
            connection.sendall(data)

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
