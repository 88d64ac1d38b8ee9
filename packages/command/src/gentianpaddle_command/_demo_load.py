"""Load generator of the demo: callers that send requests and record the responses."""

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

from gentianpaddle_standins import expected_answers

ANSWER_TOKENS = 16
CALLER_TIMEOUT_S = 20.0
MAX_ATTEMPTS = 6
RETRY_PAUSE_S = 0.2
END_OF_STREAM = "[DONE]"
READ_SIZE_BYTES = 65_536


class Result(enum.Enum):
    """Final result of a request for its caller."""

    COMPLETE = "whole"
    CUT_OFF = "cut off"
    WRONG = "wrong"
    UNKNOWN = "unknown"
    NOT_SERVED = "not served"


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Result and latencies of one request, as its caller observed them."""

    class_name: str
    """Class of work."""
    started_s: float
    """Monotonic time of the first attempt in seconds."""
    first_token_s: float
    """Time from the first attempt to the first token, or to the complete answer, in seconds."""
    gap_s: float
    """Mean time between tokens in seconds, 0 for an answer that is not streamed."""
    result: Result
    """Result for the caller."""
    idempotency_key: str
    """Idempotency key of a booking, empty for a chat completion."""
    attempts: int
    """Number of HTTP requests that were sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerOptions:
    """Kind of requests that one caller sends."""

    class_name: str
    """Class of work."""
    token: str
    """Bearer token of the caller's organisation."""
    is_booking: bool
    """Whether the caller sends bookings to the plain service instead of chat completions."""
    streamed: bool
    """Whether the caller requests a stream of tokens."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Reply:
    status: int
    first_token_s: float
    gap_s: float
    text: str
    end_seen: bool
    error_text: str


class Caller:
    """Caller that sends one request after another and records each result."""

    def __init__(
        self, number: int, options: CallerOptions, urls: list[str], pause_s: float
    ) -> None:
        self._number = number
        self._options = options
        self._urls = urls
        self._pause_s = pause_s
        self._pool = urllib3.PoolManager(retries=False)
        self._url_counter = itertools.count(number)
        self.observations: list[Observation] = []

    def run(self, stop: threading.Event) -> None:
        """Send requests until `stop` is set.

        Args:
            stop: Event that ends the load.
        """
        for sequence_number in itertools.count():
            if stop.is_set():
                return
            self.observations.append(self._send_with_retries(sequence_number))
            stop.wait(self._pause_s)

    def _send_with_retries(self, sequence_number: int) -> Observation:
        request_text = f"{self._options.class_name} {self._number}-{sequence_number}"
        key = request_text.replace(" ", "-") if self._options.is_booking else ""
        started_s = time.monotonic()
        reply = _Reply(0, 0.0, 0.0, "", False, "")
        for attempts in range(1, MAX_ATTEMPTS + 1):
            attempt_started_s = time.monotonic()
            reply = self._send(request_text, key)
            if reply.status == 200:
                retry_delay_s = attempt_started_s - started_s
                return self._observation(
                    request_text, key, started_s, retry_delay_s, reply, attempts
                )
            time.sleep(RETRY_PAUSE_S)
        result = Result.UNKNOWN if reply.status in (0, 504) else Result.NOT_SERVED
        elapsed_s = time.monotonic() - started_s
        return Observation(
            self._options.class_name, started_s, elapsed_s, 0.0, result, key, MAX_ATTEMPTS
        )

    def _observation(
        self,
        request_text: str,
        key: str,
        started_s: float,
        retry_delay_s: float,
        reply: _Reply,
        attempts: int,
    ) -> Observation:
        if self._options.is_booking:
            result = Result.COMPLETE if f'"echo": "{request_text}"' in reply.text else Result.WRONG
        elif reply.text == expected_answers.text(request_text, ANSWER_TOKENS):
            result = Result.COMPLETE if reply.end_seen else Result.CUT_OFF
        else:
            result = Result.WRONG if reply.end_seen else Result.CUT_OFF
        first_token_s = retry_delay_s + reply.first_token_s
        return Observation(
            self._options.class_name, started_s, first_token_s, reply.gap_s, result, key, attempts
        )

    def _send(self, request_text: str, key: str) -> _Reply:
        url = self._urls[next(self._url_counter) % len(self._urls)]
        headers = {
            "Authorization": f"Bearer {self._options.token}",
            "Gentianpaddle-Class": self._options.class_name,
        }
        try:
            if self._options.is_booking:
                return self._book(url, request_text, {**headers, "Idempotency-Key": key})
            return self._chat(url, request_text, headers)
        except urllib3.exceptions.HTTPError as error:
            return _Reply(0, 0.0, 0.0, "", False, type(error).__name__)

    def _book(self, url: str, request_text: str, headers: dict[str, str]) -> _Reply:
        started_s = time.monotonic()
        response = self._pool.request(
            "POST",
            f"{url}/v1/services/booking/orders",
            body=request_text.encode(),
            headers=headers,
            timeout=CALLER_TIMEOUT_S,
        )
        elapsed_s = time.monotonic() - started_s
        return _Reply(response.status, elapsed_s, 0.0, response.data.decode(), True, "")

    def _chat(self, url: str, request_text: str, headers: dict[str, str]) -> _Reply:
        body = {
            "model": "drafter",
            "messages": [{"role": "user", "content": request_text}],
            "max_tokens": ANSWER_TOKENS,
            "stream": self._options.streamed,
        }
        started_s = time.monotonic()
        response = self._pool.request(
            "POST",
            f"{url}/v1/chat/completions",
            body=json.dumps(body).encode(),
            headers={**headers, "Content-Type": "application/json"},
            timeout=CALLER_TIMEOUT_S,
            preload_content=not self._options.streamed,
        )
        if response.status != 200:
            return _Reply(response.status, 0.0, 0.0, "", False, response.data.decode()[:200])
        if self._options.streamed:
            return _read_stream(response, started_s)
        text = json.loads(response.data)["choices"][0]["message"]["content"]
        return _Reply(200, time.monotonic() - started_s, 0.0, text, True, "")


def _read_stream(response: typing.Any, started_s: float) -> _Reply:
    first_token_at_s = last_token_at_s = 0.0
    parts: list[str] = []
    end_seen = False
    while data := response.read1(READ_SIZE_BYTES):
        parts.append(data.decode())
        last_token_at_s = time.monotonic()
        first_token_at_s = first_token_at_s or last_token_at_s
    text = ""
    for line in "".join(parts).split("\n"):
        payload = line.removeprefix("data: ")
        if payload == END_OF_STREAM:
            end_seen = True
        elif line.startswith("data: ") and '"choices"' in payload:
            text += json.loads(payload)["choices"][0]["delta"].get("content", "")
    gap_s = (last_token_at_s - first_token_at_s) / max(1, ANSWER_TOKENS - 1)
    return _Reply(200, first_token_at_s - started_s, gap_s, text, end_seen, "")
