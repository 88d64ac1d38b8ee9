"""Adapter to the backend server on the same VM, over HTTP with `urllib3`.

Calls block and run in threads of their own. A call reports its progress to a `Listener`, which
must hand over to the event loop itself.
"""

from __future__ import annotations

import dataclasses
import http
import json
import threading
import typing

import urllib3
import urllib3.exceptions

CONNECT_TIMEOUT_S = 1.0
HEALTH_TIMEOUT_S = 1.0
READ_SIZE_BYTES = 65_536
MAX_CONNECTIONS = 512
END_MARK = "[DONE]"


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One call of the backend server."""

    key: str
    """Request key, passed on as a header."""
    method: str
    """HTTP method."""
    path: str
    """Path and query at the backend server."""
    body: bytes
    """Request body."""
    content_type: str
    """Media type of the body."""
    token_stream: bool
    """Whether the answer is a stream of server-sent token events."""
    read_timeout_s: float
    """Longest silence before the call is given up."""


@dataclasses.dataclass(frozen=True, slots=True)
class Health:
    """What the backend server reports of itself."""

    incarnation: int
    """Number of its process start."""
    step_s: float
    """Present time of one decoding step in seconds."""
    waiting_tokens: int
    """Tokens that wait for prefill."""
    cache_epoch: int
    """Changes when the prefix cache was lost."""


class Listener(typing.Protocol):
    """Receives the progress of a call, from the thread of the call."""

    def on_data(self, data: bytes, tokens: int) -> None:
        """Take a piece of the answer."""

    def on_end(self, http_status: int, content_type: str) -> None:
        """Take the end of a whole answer."""

    def on_failure(self, may_have_run: bool, reason: str) -> None:
        """Take a failure; `may_have_run` is False only with proof."""


class RunningCall:
    """Handle to cancel a call from another thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._response: urllib3.BaseHTTPResponse | None = None
        self.cancelled = False

    def attach(self, response: urllib3.BaseHTTPResponse) -> None:
        """Remember the response so that it can be closed."""
        with self._lock:
            self._response = response
            cancelled = self.cancelled
        if cancelled:
            _shut_down(response)

    def cancel(self) -> None:
        """End the call; the backend server sees its connection closed."""
        with self._lock:
            self.cancelled = True
            response = self._response
        if response is not None:
            _shut_down(response)


class HttpBackend:
    """Backend server reached over HTTP."""

    def __init__(self, url: str) -> None:
        self._url = url
        # The agent decides about repeats, so the client library must not retry by itself.
        self._pool = urllib3.PoolManager(maxsize=MAX_CONNECTIONS, retries=False)

    def run(self, call: Call, listener: Listener, handle: RunningCall) -> None:
        """Perform a call and report its progress.

        Args:
            call: Call to perform.
            listener: Receives data and exactly one end or failure.
            handle: Handle through which the call can be cancelled.
        """
        try:
            response = self._open(call)
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            listener.on_failure(False, "backend_unreachable")
            return
        except urllib3.exceptions.HTTPError as error:
            listener.on_failure(True, type(error).__name__)
            return
        handle.attach(response)
        try:
            self._read(call, response, listener)
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            listener.on_failure(True, type(error).__name__)
        finally:
            response.close()

    def health(self) -> Health | None:
        """Ask the backend server how it is.

        Returns:
            Its report, None when it does not answer properly in time.
        """
        try:
            response = self._pool.request(
                "GET", f"{self._url}/health", timeout=urllib3.Timeout(HEALTH_TIMEOUT_S)
            )
            report = json.loads(response.data)
            return Health(
                incarnation=int(report["incarnation"]),
                step_s=float(report["step_ms"]) / 1_000,
                waiting_tokens=int(report["waiting_tokens"]),
                cache_epoch=int(report.get("cache_epoch", 0)),
            )
        except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError):
            return None

    def _open(self, call: Call) -> urllib3.BaseHTTPResponse:
        return self._pool.request(
            call.method,
            self._url + call.path,
            body=call.body,
            headers={"Content-Type": call.content_type, "Gentianpaddle-Key": call.key},
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=call.read_timeout_s),
            preload_content=False,
            redirect=False,
        )

    def _read(self, call: Call, response: urllib3.BaseHTTPResponse, listener: Listener) -> None:
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        if call.token_stream and response.status != http.HTTPStatus.OK:
            listener.on_failure(True, f"http_{response.status}")
            return
        if call.token_stream:
            complete = _read_events(response, listener)
        else:
            complete = True
            for data in response.stream(READ_SIZE_BYTES):
                listener.on_data(data, 0)
        if complete:
            listener.on_end(response.status, content_type)
        else:
            listener.on_failure(True, "incomplete_answer")


def _read_events(response: urllib3.BaseHTTPResponse, listener: Listener) -> bool:
    pending = b""
    while True:
        data = response.read1(READ_SIZE_BYTES)
        if not data:
            return False
        *lines, pending = (pending + data).split(b"\n")
        texts: list[str] = []
        ended = False
        for line in lines:
            payload = line.removeprefix(b"data: ").strip().decode()
            if payload == END_MARK:
                ended = True
            elif payload:
                texts.append(_content(payload))
        if texts:
            listener.on_data("".join(texts).encode(), len(texts))
        if ended:
            return True


def _content(payload: str) -> str:
    """Extract the text of one event.

    >>> _content('{"choices": [{"delta": {"content": "a"}}]}')
    'a'
    """
    choices = json.loads(payload)["choices"]
    return str(choices[0]["delta"].get("content") or "") if choices else ""


def _shut_down(response: urllib3.BaseHTTPResponse) -> None:
    shutdown = getattr(response, "shutdown", None)
    try:
        if shutdown is not None:
            shutdown()
    except (OSError, ValueError, AttributeError):
        return


def new_http_backend(url: str) -> HttpBackend:
    """Create the adapter for a backend server.

    Args:
        url: Base URL without a trailing slash.

    Returns:
        The adapter; no connection is made yet.
    """
    return HttpBackend(url)
