"""Stand-in for a model engine behind an OpenAI-compatible API.

It streams deterministic tokens, needs longer steps when cold, fails when a cold engine gets more
than it can carry, and can be told to crash on a marked request.
"""

from __future__ import annotations

import dataclasses
import json
import threading
import time
import typing
from collections.abc import Iterable, Iterator

from gentianpaddle_standins import answers, http_server

CRASH_MARK = "crash-the-engine"
"""A prompt that contains this text crashes the engine."""

RESTART_S = 0.5
DEFAULT_TOKENS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One start of a request at the engine."""

    key: str
    """Request key sent by the agent."""
    started_s: float
    """Monotonic time of the start."""


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One order that the engine carried out."""

    version: str
    """Version that it loaded."""
    fence: int
    """Fencing number of the order."""
    started_s: float
    """Monotonic time at which it began."""
    ended_s: float
    """Monotonic time at which the new version was ready."""


@dataclasses.dataclass
class EngineOptions:
    """Behaviour of the stand-in; fields may be changed while it runs."""

    name: str
    """Name of the backend server."""
    step_s: float = 0.004
    """Time of one decoding step when warm."""
    first_token_s: float = 0.02
    """Time to the first token when idle and warm."""
    capacity: int = 16
    """Requests at once that a warm engine carries."""
    warm_up_s: float = 0.0
    """Time after a start during which capacity grows from 2 to its full value."""
    checks_fences: bool = False
    """Whether an order with an old fence is refused with 409."""
    load_s: float = 0.2
    """Time to load a version; running streams break and no new one starts meanwhile."""
    lost_order_answers: int = 0
    """Orders, from the next one on, whose answer is lost after they took effect."""


class Engine:
    """State of one stand-in engine."""

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.runs: list[Run] = []
        self.incarnation = 1
        self.crashes = 0
        self.overloads = 0
        self.model = "drafter"
        self.version = "1"
        self.role = "mixed"
        self.orders: list[Order] = []
        self.broken_by_loads = 0
        self._highest_fence = 0
        self._loads = 0
        self._loading = False
        self._lock = threading.Lock()
        self._running = 0
        self._started_s = time.monotonic()
        self._down_until_s = 0.0

    @property
    def running(self) -> int:
        """Requests that run now."""
        return self._running

    def crash(self) -> None:
        """Break all streams and restart cold after `RESTART_S`."""
        with self._lock:
            self.crashes += 1
            self.incarnation += 1
            self._started_s = time.monotonic() + RESTART_S
            self._down_until_s = self._started_s

    def app(self, environ: dict[str, typing.Any], start_response: typing.Any) -> Iterable[bytes]:
        """Serve one HTTP request as a WSGI application."""
        if time.monotonic() < self._down_until_s:
            raise ConnectionResetError("the engine is down")
        if environ["PATH_INFO"] == "/health":
            return self._health(start_response)
        if environ["PATH_INFO"] == "/model":
            return self._model(start_response)
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = json.loads(environ["wsgi.input"].read(length))
        if environ["PATH_INFO"] == "/orders":
            return self._order(body, start_response)
        key = environ.get("HTTP_GENTIANPADDLE_KEY", "")
        return self._complete(body, key, start_response)

    def _health(self, start_response: typing.Any) -> Iterable[bytes]:
        with self._lock:
            report = {
                "incarnation": self.incarnation,
                "running": self._running,
                "waiting_tokens": 0,
                "step_ms": self._step_s() * 1_000,
                "cache_epoch": self.incarnation,
            }
        start_response("200 OK", [("Content-Type", "application/json")])
        return [json.dumps(report).encode()]

    def _model(self, start_response: typing.Any) -> Iterable[bytes]:
        with self._lock:
            running = {"model": self.model, "version": self.version, "role": self.role}
        start_response("200 OK", [("Content-Type", "application/json")])
        return [json.dumps(running).encode()]

    def _order(self, body: dict[str, typing.Any], start_response: typing.Any) -> Iterable[bytes]:
        started_s, fence = time.monotonic(), int(body["fence"])
        with self._lock:
            if self.options.checks_fences and fence < self._highest_fence:
                start_response("409 Conflict", [("Content-Type", "application/json")])
                return [b"{}"]
            self._highest_fence = max(self._highest_fence, fence)
            self._loads += 1
            self._loading = True
        time.sleep(self.options.load_s)
        with self._lock:
            self.model, self.version, self.role = body["model"], body["version"], body["role"]
            self._loading = False
            self.orders.append(Order(self.version, fence, started_s, time.monotonic()))
            lost = self.options.lost_order_answers > 0
            self.options.lost_order_answers -= lost
        if lost:
            raise ConnectionResetError("the answer to the order is lost")
        return self._model(start_response)

    def _complete(
        self, body: dict[str, typing.Any], key: str, start_response: typing.Any
    ) -> Iterable[bytes]:
        prompt = "".join(str(message["content"]) for message in body["messages"])
        with self._lock:
            self.runs.append(Run(key, time.monotonic()))
            self._running += 1
            incarnation, loads = self.incarnation, self._loads
            if self._loading:
                self._running -= 1
                self.broken_by_loads += 1
                raise ConnectionResetError("the engine loads a version")
            overloaded = self._running > self._capacity_now()
        if overloaded:
            self.overloads += 1
        if CRASH_MARK in prompt or overloaded:
            self.crash()
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        return self._events(body, prompt, incarnation, loads)

    def _events(
        self, body: dict[str, typing.Any], prompt: str, incarnation: int, loads: int
    ) -> Iterator[bytes]:
        tokens = int(body.get("max_tokens", DEFAULT_TOKENS))
        delivered = len(str(body.get("continue_after", "")))
        position = 0
        try:
            time.sleep(self.options.first_token_s)
            due_s = time.monotonic()
            for index in range(tokens):
                piece = answers.token(prompt, index)
                position += len(piece)
                if position <= delivered:
                    continue
                if self._loads != loads:
                    self.broken_by_loads += 1
                    raise ConnectionResetError("the engine loads a version")
                if self.incarnation != incarnation:
                    raise ConnectionResetError("the engine crashed")
                fresh = piece[max(0, len(piece) - (position - delivered)) :]
                yield _event({"choices": [{"index": 0, "delta": {"content": fresh}}]})
                # Steps follow a schedule: writing to a client does not slow an engine down.
                due_s += self._step_s()
                time.sleep(max(0.0, due_s - time.monotonic()))
            yield b"data: [DONE]\n\n"
        finally:
            with self._lock:
                self._running -= 1

    def _capacity_now(self) -> int:
        age_s = time.monotonic() - self._started_s
        if age_s >= self.options.warm_up_s:
            return self.options.capacity
        return max(2, int(self.options.capacity * age_s / self.options.warm_up_s))

    def _step_s(self) -> float:
        return self.options.step_s


def _event(payload: dict[str, typing.Any]) -> bytes:
    return b"data: " + json.dumps(payload).encode() + b"\n\n"


def new_engine_server(engine: Engine) -> http_server.BackgroundServer:
    """Serve an engine on loopback.

    Args:
        engine: Engine to serve.

    Returns:
        The running server.
    """
    return http_server.new_background_server(engine.app, threads=engine.options.capacity * 2 + 4)
