"""Callers of the demo: they keep sending requests and record what they were told."""

from __future__ import annotations

import dataclasses
import enum
import itertools
import json
import threading
import time
import typing

import urllib3
import urllib3.exceptions

from gentianpaddle_standins import answers

ANSWER_TOKENS = 16
CALLER_TIMEOUT_S = 20.0
MAX_TRIES = 6
RETRY_PAUSE_S = 0.2
END_MARK = "[DONE]"
READ_SIZE_BYTES = 65_536


class Result(enum.Enum):
    """What a caller got in the end."""

    WHOLE = "whole"
    CUT_OFF = "cut off"
    WRONG = "wrong"
    UNKNOWN = "unknown"
    NOT_SERVED = "not served"


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """One request as its caller saw it."""

    class_name: str
    """Class of work."""
    started_s: float
    """Monotonic time of the first try."""
    first_token_s: float
    """Time to the first token, or to the whole answer, over all tries."""
    gap_s: float
    """Mean time between tokens, 0 for a whole answer."""
    result: Result
    """What the caller got."""
    idempotency_key: str
    """Key of a booking, empty for chats."""
    tries: int
    """HTTP requests sent for it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What one caller sends."""

    class_name: str
    """Class of work."""
    token: str
    """Bearer token of its organisation."""
    is_booking: bool
    """Whether it books through the plain service."""
    streamed: bool
    """Whether it reads tokens as they come."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Reply:
    status: int
    first_token_s: float
    gap_s: float
    text: str
    ended: bool
    code: str


class Caller:
    """One caller thread that sends one request after another."""

    def __init__(self, number: int, plan: Plan, urls: list[str], pause_s: float) -> None:
        self._number = number
        self._plan = plan
        self._urls = urls
        self._pause_s = pause_s
        self._pool = urllib3.PoolManager(retries=False)
        self._turn = itertools.count(number)
        self.observations: list[Observation] = []

    def run(self, stop: threading.Event) -> None:
        """Send requests until told to stop.

        Args:
            stop: Set when the load ends.
        """
        for serial in itertools.count():
            if stop.is_set():
                return
            self.observations.append(self._one(serial))
            stop.wait(self._pause_s)

    def _one(self, serial: int) -> Observation:
        name = f"{self._plan.class_name} {self._number}-{serial}"
        key = name.replace(" ", "-") if self._plan.is_booking else ""
        started_s = time.monotonic()
        reply = _Reply(0, 0.0, 0.0, "", False, "")
        for tries in range(1, MAX_TRIES + 1):
            try_s = time.monotonic()
            reply = self._send(name, key)
            if reply.status == 200:
                waited_s = try_s - started_s
                return self._observe(name, key, started_s, waited_s, reply, tries)
            time.sleep(RETRY_PAUSE_S)
        result = Result.UNKNOWN if reply.status in (0, 504) else Result.NOT_SERVED
        elapsed_s = time.monotonic() - started_s
        return Observation(self._plan.class_name, started_s, elapsed_s, 0.0, result, key, MAX_TRIES)

    def _observe(
        self, name: str, key: str, started_s: float, waited_s: float, reply: _Reply, tries: int
    ) -> Observation:
        if self._plan.is_booking:
            result = Result.WHOLE if f'"echo": "{name}"' in reply.text else Result.WRONG
        elif reply.text == answers.text(name, ANSWER_TOKENS):
            result = Result.WHOLE if reply.ended else Result.CUT_OFF
        else:
            result = Result.WRONG if reply.ended else Result.CUT_OFF
        first_s = waited_s + reply.first_token_s
        return Observation(
            self._plan.class_name, started_s, first_s, reply.gap_s, result, key, tries
        )

    def _send(self, name: str, key: str) -> _Reply:
        url = self._urls[next(self._turn) % len(self._urls)]
        headers = {
            "Authorization": f"Bearer {self._plan.token}",
            "Gentianpaddle-Class": self._plan.class_name,
        }
        try:
            if self._plan.is_booking:
                return self._book(url, name, {**headers, "Idempotency-Key": key})
            return self._chat(url, name, headers)
        except urllib3.exceptions.HTTPError as error:
            return _Reply(0, 0.0, 0.0, "", False, type(error).__name__)

    def _book(self, url: str, name: str, headers: dict[str, str]) -> _Reply:
        started_s = time.monotonic()
        response = self._pool.request(
            "POST",
            f"{url}/v1/services/booking/orders",
            body=name.encode(),
            headers=headers,
            timeout=CALLER_TIMEOUT_S,
        )
        took_s = time.monotonic() - started_s
        return _Reply(response.status, took_s, 0.0, response.data.decode(), True, "")

    def _chat(self, url: str, name: str, headers: dict[str, str]) -> _Reply:
        body = {
            "model": "drafter",
            "messages": [{"role": "user", "content": name}],
            "max_tokens": ANSWER_TOKENS,
            "stream": self._plan.streamed,
        }
        started_s = time.monotonic()
        response = self._pool.request(
            "POST",
            f"{url}/v1/chat/completions",
            body=json.dumps(body).encode(),
            headers={**headers, "Content-Type": "application/json"},
            timeout=CALLER_TIMEOUT_S,
            preload_content=not self._plan.streamed,
        )
        if response.status != 200:
            return _Reply(response.status, 0.0, 0.0, "", False, response.data.decode()[:200])
        if self._plan.streamed:
            return _read_stream(response, started_s)
        text = json.loads(response.data)["choices"][0]["message"]["content"]
        return _Reply(200, time.monotonic() - started_s, 0.0, text, True, "")


def _read_stream(response: typing.Any, started_s: float) -> _Reply:
    first_s = last_s = 0.0
    parts: list[str] = []
    ended = False
    while data := response.read1(READ_SIZE_BYTES):
        parts.append(data.decode())
        last_s = time.monotonic()
        first_s = first_s or last_s
    text = ""
    for line in "".join(parts).split("\n"):
        payload = line.removeprefix("data: ")
        if payload == END_MARK:
            ended = True
        elif line.startswith("data: ") and '"choices"' in payload:
            text += json.loads(payload)["choices"][0]["delta"].get("content", "")
    gap_s = (last_s - first_s) / max(1, ANSWER_TOKENS - 1)
    return _Reply(200, first_s - started_s, gap_s, text, ended, "")
