"""Stand-in for a model engine behind an OpenAI-compatible API.

It streams deterministic tokens. It has less capacity while it warms up, crashes when it runs more
requests than its present capacity, and crashes on a prompt that contains `CRASH_MARKER`.
"""

from __future__ import annotations

import dataclasses
import json
import threading
import time
import typing
from collections.abc import Iterable, Iterator

from gentianpaddle_standins import expected_answers, http_server

CRASH_MARKER = "crash-the-engine"
"""A prompt that contains this text crashes the engine."""

RESTART_S = 0.5
"""Time after a crash during which the engine refuses all requests."""

DEFAULT_MAX_TOKENS = 16
"""Number of tokens of an answer when the request does not set `max_tokens`."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestStart:
    """One request that reached a backend server, also one rejected while a version loads."""

    key: str
    """Request key that the agent sent."""
    started_s: float
    """Monotonic time of the start in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExecutedOrder:
    """One order that the engine executed."""

    version: str
    """Model version that the engine loaded."""
    fence: int
    """Fence of the order."""
    started_s: float
    """Monotonic time at which the engine received the order, in seconds."""
    ended_s: float
    """Monotonic time at which the new version was ready, in seconds."""


@dataclasses.dataclass
class EngineOptions:
    """Behaviour of the stand-in engine; fields may be changed while it runs."""

    name: str
    """Name of the backend server."""
    step_s: float = 0.004
    """Duration of one decoding step in seconds, the same for a cold and a warm engine."""
    first_token_s: float = 0.02
    """Time from the start of a response to its first token in seconds."""
    capacity: int = 16
    """Number of concurrent requests above which a warm engine crashes."""
    warm_up_s: float = 0.0
    """Time after a start during which the capacity grows from 2 to `capacity`, in seconds."""
    checks_fences: bool = False
    """Whether an order with a fence below the highest one seen is rejected with 409."""
    load_duration_s: float = 0.2
    """Time to load a version in seconds; open streams break and new requests fail meanwhile."""
    lost_order_responses: int = 0
    """Number of further orders that take effect but whose response is lost."""


class Engine:
    """Stand-in engine as a WSGI application, with counts and records for tests.

    Streams that broke and requests that were rejected because a version was loading are counted
    together.
    """

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.request_starts: list[RequestStart] = []
        self.incarnation = 1
        self.crash_count = 0
        self.overload_count = 0
        self.model = "drafter"
        self.version = "1"
        self.role = "mixed"
        self.executed_orders: list[ExecutedOrder] = []
        self.requests_broken_by_loads = 0
        self._highest_fence = 0
        self._load_count = 0
        self._loading = False
        self._lock = threading.Lock()
        self._running = 0
        self._started_s = time.monotonic()
        self._unavailable_until_s = 0.0

    @property
    def running_requests(self) -> int:
        """Number of requests that run now."""
        return self._running

    def crash(self) -> None:
        """Break all streams and restart as a cold engine after `RESTART_S`."""
        with self._lock:
            self.crash_count += 1
            self.incarnation += 1
            self._started_s = time.monotonic() + RESTART_S
            self._unavailable_until_s = self._started_s

    def app(self, environ: dict[str, typing.Any], start_response: typing.Any) -> Iterable[bytes]:
        """Serve one HTTP request as a WSGI application."""
        if time.monotonic() < self._unavailable_until_s:
            raise ConnectionResetError("the engine is restarting")
        if environ["PATH_INFO"] == "/health":
            return self._health(start_response)
        if environ["PATH_INFO"] == "/model":
            return self._running_model(start_response)
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = json.loads(environ["wsgi.input"].read(length))
        if environ["PATH_INFO"] == "/orders":
            return self._execute_order(body, start_response)
        key = environ.get("HTTP_GENTIANPADDLE_KEY", "")
        return self._start_completion(body, key, start_response)

    def _health(self, start_response: typing.Any) -> Iterable[bytes]:
        with self._lock:
            health = {
                "incarnation": self.incarnation,
                "running": self._running,
                "waiting_tokens": 0,
                "step_ms": self._step_s() * 1_000,
                "cache_epoch": self.incarnation,
            }
        start_response("200 OK", [("Content-Type", "application/json")])
        return [json.dumps(health).encode()]

    def _running_model(self, start_response: typing.Any) -> Iterable[bytes]:
        with self._lock:
            running = {"model": self.model, "version": self.version, "role": self.role}
        start_response("200 OK", [("Content-Type", "application/json")])
        return [json.dumps(running).encode()]

    def _execute_order(
        self, body: dict[str, typing.Any], start_response: typing.Any
    ) -> Iterable[bytes]:
        started_s, fence = time.monotonic(), int(body["fence"])
        with self._lock:
            if self.options.checks_fences and fence < self._highest_fence:
                start_response("409 Conflict", [("Content-Type", "application/json")])
                return [b"{}"]
            self._highest_fence = max(self._highest_fence, fence)
            self._load_count += 1
            self._loading = True
        time.sleep(self.options.load_duration_s)
        with self._lock:
            self.model, self.version, self.role = body["model"], body["version"], body["role"]
            self._loading = False
            self.executed_orders.append(
                ExecutedOrder(self.version, fence, started_s, time.monotonic())
            )
            response_lost = self.options.lost_order_responses > 0
            self.options.lost_order_responses -= response_lost
        if response_lost:
            raise ConnectionResetError("injected: the response to the order is lost")
        return self._running_model(start_response)

    def _start_completion(
        self, body: dict[str, typing.Any], key: str, start_response: typing.Any
    ) -> Iterable[bytes]:
        prompt = "".join(str(message["content"]) for message in body["messages"])
        with self._lock:
            self.request_starts.append(RequestStart(key, time.monotonic()))
            self._running += 1
            incarnation, load_count = self.incarnation, self._load_count
            if self._loading:
                self._running -= 1
                self.requests_broken_by_loads += 1
                raise ConnectionResetError("the engine is loading a version")
            overloaded = self._running > self._current_capacity()
        if overloaded:
            self.overload_count += 1
        if CRASH_MARKER in prompt or overloaded:
            # The response still starts with status 200. Its token events then break the stream,
            # because the incarnation has changed.
            self.crash()
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        return self._token_events(body, prompt, incarnation, load_count)

    def _token_events(
        self, body: dict[str, typing.Any], prompt: str, incarnation: int, load_count: int
    ) -> Iterator[bytes]:
        """Stream the tokens of the answer, then the end marker.

        The field `continue_after` of the body is text that was already delivered; that many
        characters are skipped. The stream breaks after a crash or when a version is loaded.
        """
        tokens = int(body.get("max_tokens", DEFAULT_MAX_TOKENS))
        delivered_length = len(str(body.get("continue_after", "")))
        produced_length = 0
        try:
            time.sleep(self.options.first_token_s)
            next_step_s = time.monotonic()
            for index in range(tokens):
                token_text = expected_answers.token(prompt, index)
                produced_length += len(token_text)
                if produced_length <= delivered_length:
                    continue
                if self._load_count != load_count:
                    self.requests_broken_by_loads += 1
                    raise ConnectionResetError("the engine has begun to load a version")
                if self.incarnation != incarnation:
                    raise ConnectionResetError("the engine crashed")
                undelivered_text = token_text[
                    max(0, len(token_text) - (produced_length - delivered_length)) :
                ]
                yield _encode_event(
                    {"choices": [{"index": 0, "delta": {"content": undelivered_text}}]}
                )
                # Steps follow a fixed schedule, so that a slow client does not delay later steps.
                next_step_s += self._step_s()
                time.sleep(max(0.0, next_step_s - time.monotonic()))
            yield b"data: [DONE]\n\n"
        finally:
            with self._lock:
                self._running -= 1

    def _current_capacity(self) -> int:
        age_s = time.monotonic() - self._started_s
        if age_s >= self.options.warm_up_s:
            return self.options.capacity
        return max(2, int(self.options.capacity * age_s / self.options.warm_up_s))

    def _step_s(self) -> float:
        return self.options.step_s


def _encode_event(payload: dict[str, typing.Any]) -> bytes:
    return b"data: " + json.dumps(payload).encode() + b"\n\n"


def new_engine_server(engine: Engine) -> http_server.BackgroundServer:
    """Serve a stand-in engine on loopback.

    Args:
        engine: Engine to serve.

    Returns:
        The running server.
    """
    return http_server.new_background_server(engine.app, threads=engine.options.capacity * 2 + 4)
