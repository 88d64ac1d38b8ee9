"""HTTP client of the backend server on the same VM, built on `urllib3`.

Calls block, so each runs in a worker thread. A call reports its progress to a `CallListener`,
which must pass it to the event loop itself.
"""

from __future__ import annotations

import dataclasses
import http
import json
import threading
import typing

import urllib3
import urllib3.exceptions

from gentianpaddle_daemon.agent import bounded_http

CONNECT_TIMEOUT_S = 1.0
HEALTH_TIMEOUT_S = 1.0
ANSWER_LIMIT_BYTES = 16 * 1_048_576
"""Maximum size of an answer. The longest token stream that callers may ask for stays below it."""
LINE_LIMIT_BYTES = 262_144
"""Maximum size of a line of a token stream."""
MAX_CONNECTIONS = 512
MIN_STATUS = 200
MAX_STATUS = 599
"""Range of the statuses that HTTP defines for final responses."""
STREAM_END_MARKER = "[DONE]"
"""Data of the event that ends a complete token stream."""


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """HTTP call to the backend server."""

    key: str
    """Request key, sent as a header."""
    method: str
    """HTTP method."""
    path: str
    """Path and query string of the URL."""
    body: bytes
    """Request body."""
    content_type: str
    """Media type of the body."""
    token_stream: bool
    """Whether the response is a token stream of server-sent events."""
    read_timeout_s: float
    """Time without received data after which the call fails, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Health:
    """Health report of the backend server."""

    incarnation: int
    """Incarnation of the backend server, a number that changes with each start."""
    step_s: float
    """Current duration of one decoding step, in seconds."""
    waiting_tokens: int
    """Number of tokens waiting for prefill."""
    cache_epoch: int
    """Number that changes whenever the prefix cache is lost."""


class CallListener(typing.Protocol):
    """Callbacks for the progress of a call, called from the thread of the call."""

    def on_data(self, data: bytes, tokens: int) -> None:
        """Handle received data of the response, which holds `tokens` tokens."""

    def on_end(self, http_status: int, content_type: str) -> None:
        """Handle the end of a complete response."""

    def on_failure(self, may_have_run: bool, reason: str) -> None:
        """Handle a failed call.

        Args:
            may_have_run: Whether the backend server may have run the request; False only if it is
                proven that it did not.
            reason: Reason code of the failure.
        """


class CallHandle:
    """Handle through which another thread can cancel a call."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._response: urllib3.BaseHTTPResponse | None = None
        self.cancelled = False

    def attach(self, response: urllib3.BaseHTTPResponse) -> None:
        """Set the response to shut down on cancellation; does so now if already cancelled."""
        with self._lock:
            self._response = response
            cancelled = self.cancelled
        if cancelled:
            _shut_down_response(response)

    def cancel(self) -> None:
        """Cancel the call by closing its connection to the backend server."""
        with self._lock:
            self.cancelled = True
            response = self._response
        if response is not None:
            _shut_down_response(response)


class HttpBackend:
    """HTTP client of one backend server."""

    def __init__(self, url: str) -> None:
        self._url = url
        # The agent decides whether a call is repeated.
        self._pool = bounded_http.new_pool(MAX_CONNECTIONS)

    def run(self, call: Call, listener: CallListener, handle: CallHandle) -> None:
        """Perform a call and report its progress.

        Args:
            call: Call to perform.
            listener: Called with the data and then with exactly one end or failure.
            handle: Handle that can cancel the call from another thread.
        """
        try:
            response = self._send_request(call)
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            listener.on_failure(False, "backend_unreachable")
            return
        except urllib3.exceptions.HTTPError as error:
            listener.on_failure(True, type(error).__name__)
            return
        handle.attach(response)
        try:
            self._read_response(call, response, listener)
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            listener.on_failure(True, type(error).__name__)
        finally:
            response.close()

    def health(self) -> Health | None:
        """Request the health report of the backend server.

        Returns:
            The report, or None without a valid answer within `HEALTH_TIMEOUT_S`.
        """
        try:
            response = self._pool.request(
                "GET",
                f"{self._url}/health",
                timeout=urllib3.Timeout(HEALTH_TIMEOUT_S),
                preload_content=False,
            )
            report = json.loads(bounded_http.read_report(response))
            return Health(
                incarnation=int(report["incarnation"]),
                step_s=float(report["step_ms"]) / 1_000,
                waiting_tokens=int(report["waiting_tokens"]),
                cache_epoch=int(report.get("cache_epoch", 0)),
            )
        except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError):
            return None

    def _send_request(self, call: Call) -> urllib3.BaseHTTPResponse:
        return self._pool.request(
            call.method,
            self._url + call.path,
            body=call.body,
            headers={"Content-Type": call.content_type, "Gentianpaddle-Key": call.key},
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=call.read_timeout_s),
            preload_content=False,
            redirect=False,
        )

    def _read_response(
        self, call: Call, response: urllib3.BaseHTTPResponse, listener: CallListener
    ) -> None:
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        defined = MIN_STATUS <= response.status <= MAX_STATUS
        if not defined or (call.token_stream and response.status != http.HTTPStatus.OK):
            listener.on_failure(True, f"http_{response.status}")
            return
        if call.token_stream:
            complete = _read_token_events(response, listener)
        else:
            complete = True
            size = 0
            while data := response.read(bounded_http.READ_SIZE_BYTES):
                size += len(data)
                _check_size(size, ANSWER_LIMIT_BYTES)
                listener.on_data(data, 0)
        if complete:
            listener.on_end(response.status, content_type)
        else:
            listener.on_failure(True, "incomplete_answer")


def _read_token_events(response: urllib3.BaseHTTPResponse, listener: CallListener) -> bool:
    size = 0
    partial_line = bytearray()
    while data := response.read1(bounded_http.READ_SIZE_BYTES):
        size += len(data)
        _check_size(size, ANSWER_LIMIT_BYTES)
        if b"\n" not in data:
            partial_line += data
            _check_size(len(partial_line), LINE_LIMIT_BYTES)
            continue
        *lines, rest = (bytes(partial_line) + data).split(b"\n")
        partial_line = bytearray(rest)
        texts: list[str] = []
        end_seen = False
        for line in lines:
            payload = line.removeprefix(b"data: ").strip().decode()
            if payload == STREAM_END_MARKER:
                end_seen = True
            elif payload:
                texts.append(_event_text(payload))
        if texts:
            listener.on_data("".join(texts).encode(), len(texts))
        if end_seen:
            return True
    return False


def _check_size(size: int, limit: int) -> None:
    if size > limit:
        raise bounded_http.ResponseTooLargeError(f"over {limit} bytes")


def _event_text(payload: str) -> str:
    """Return the text of one event of a token stream.

    >>> _event_text('{"choices": [{"delta": {"content": "a"}}]}')
    'a'
    """
    choices = json.loads(payload)["choices"]
    return str(choices[0]["delta"].get("content") or "") if choices else ""


def _shut_down_response(response: urllib3.BaseHTTPResponse) -> None:
    shutdown = getattr(response, "shutdown", None)
    try:
        if shutdown is not None:
            shutdown()
    except (OSError, ValueError, AttributeError):
        return


def new_http_backend(url: str) -> HttpBackend:
    """Create the client of a backend server.

    Args:
        url: Base URL without a trailing slash.

    Returns:
        The client, which connects with its first call.
    """
    return HttpBackend(url)
