"""HTTP answers to callers: OpenAI-compatible bodies, event streams and outcomes."""

from __future__ import annotations

import dataclasses
import http
import json
import math
import typing
from collections.abc import Iterable, Iterator

from gentianpaddle_core import outcomes
from gentianpaddle_daemon.entry import request, sink

END_MARK = b"data: [DONE]\n\n"
SILENCE_LIMIT_S = 5.0
"""Extra wait beyond the deadline before the serving thread stops waiting for the dispatcher."""

StartResponse: typing.TypeAlias = typing.Callable[[str, list[tuple[str, str]]], typing.Any]
"""The `start_response` of WSGI."""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP answer."""

    status: int
    """HTTP status."""
    body: bytes
    """Body."""
    content_type: str = "application/json"
    """Media type."""
    headers: tuple[tuple[str, str], ...] = ()
    """Further headers."""

    def send(self, start_response: StartResponse) -> Iterable[bytes]:
        """Send the answer through WSGI.

        Args:
            start_response: Callable of the server.

        Returns:
            The body.
        """
        phrase = http.HTTPStatus(self.status).phrase
        headers = [
            ("Content-Type", self.content_type),
            ("Content-Length", str(len(self.body))),
            *self.headers,
        ]
        start_response(f"{self.status} {phrase}", headers)
        return [self.body]


def json_response(
    status: int, payload: typing.Any, headers: tuple[tuple[str, str], ...] = ()
) -> Response:
    """Build a JSON answer.

    Args:
        status: HTTP status.
        payload: Value to encode.
        headers: Further headers.

    Returns:
        The answer.
    """
    return Response(status, json.dumps(payload).encode(), headers=headers)


def outcome_response(key: str, outcome: outcomes.Outcome) -> Response:
    """Build the answer for an outcome.

    Args:
        key: Key that the caller can ask by.
        outcome: Outcome of the request.

    Returns:
        The backend server's answer when done, otherwise an error object.
    """
    headers: tuple[tuple[str, str], ...] = (("Gentianpaddle-Key", key),)
    if isinstance(outcome, outcomes.Done):
        return Response(outcome.http_status, outcome.body, outcome.content_type, headers)
    if outcome.retry_after_s is not None:
        headers = (*headers, ("Retry-After", str(max(1, math.ceil(outcome.retry_after_s)))))
    return json_response(outcome.http_status, {"error": error_fields(outcome)}, headers)


def error_fields(
    outcome: outcomes.NotRun | outcomes.Unknown | outcomes.Refused,
) -> dict[str, typing.Any]:
    """Return the machine-readable form of an outcome that is not done.

    >>> error_fields(outcomes.NotRun("draining", "leaving"))["outcome"]
    'not_run'
    """
    names = {outcomes.NotRun: "not_run", outcomes.Unknown: "unknown", outcomes.Refused: "refused"}
    return {
        "outcome": names[type(outcome)],
        "code": outcome.code,
        "message": outcome.message,
        "retry_after_s": outcome.retry_after_s,
    }


def serve_whole(
    checked: request.CallerRequest, answer: sink.AnswerSink, start_response: StartResponse
) -> Iterable[bytes]:
    """Wait for a whole answer and send it.

    Args:
        checked: Request of the caller.
        answer: Sink that the dispatcher fills.
        start_response: Callable of the server.

    Returns:
        The body.
    """
    parts: list[bytes] = []
    while True:
        event = answer.get(checked.work_class.deadline_s + SILENCE_LIMIT_S)
        if isinstance(event, sink.Piece):
            parts.append(event.data)
            continue
        outcome = _final(answer, event)
        if isinstance(outcome, outcomes.Done) and checked.is_chat:
            outcome = dataclasses.replace(outcome, body=_completion(checked, b"".join(parts)))
        return outcome_response(checked.key, outcome).send(start_response)


def serve_stream(
    checked: request.CallerRequest, answer: sink.AnswerSink, start_response: StartResponse
) -> Iterable[bytes]:
    """Send an answer as server-sent events while it arrives.

    The status line waits for the first piece, so a request that fails before it gets its proper
    status. After that a failure is an `error` event without the end mark.

    Args:
        checked: Request of the caller.
        answer: Sink that the dispatcher fills.
        start_response: Callable of the server.

    Returns:
        The body, piece by piece.
    """
    first = answer.get(checked.work_class.deadline_s + SILENCE_LIMIT_S)
    if not isinstance(first, sink.Piece):
        outcome = _final(answer, first)
        if not isinstance(outcome, outcomes.Done):
            return outcome_response(checked.key, outcome).send(start_response)
    headers = [("Content-Type", "text/event-stream"), ("Gentianpaddle-Key", checked.key)]
    start_response("200 OK", headers)
    return _events(checked, answer, first)


def _events(
    checked: request.CallerRequest, answer: sink.AnswerSink, event: sink.Event | None
) -> Iterator[bytes]:
    try:
        while isinstance(event, sink.Piece):
            yield _chunk(checked, {"content": event.data.decode()}, None)
            event = answer.get(checked.work_class.deadline_s + SILENCE_LIMIT_S)
        outcome = _final(answer, event)
        if isinstance(outcome, outcomes.Done):
            yield _chunk(checked, {}, "stop")
            yield END_MARK
        else:
            fields = json.dumps({"error": error_fields(outcome)})
            yield f"event: error\ndata: {fields}\n\n".encode()
    finally:
        answer.abandon()


def _final(answer: sink.AnswerSink, event: sink.Event | None) -> outcomes.Outcome:
    if isinstance(event, sink.Finish):
        return event.outcome
    answer.abandon()
    return outcomes.Unknown("timeout", "no result before the deadline")


def _chunk(
    checked: request.CallerRequest, delta: dict[str, str], finish_reason: str | None
) -> bytes:
    payload = {
        "id": checked.key,
        "object": "chat.completion.chunk",
        "model": checked.target,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish_reason}],
    }
    return b"data: " + json.dumps(payload).encode() + b"\n\n"


def _completion(checked: request.CallerRequest, text: bytes) -> bytes:
    message = {"role": "assistant", "content": text.decode()}
    payload = {
        "id": checked.key,
        "object": "chat.completion",
        "model": checked.target,
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
    }
    return json.dumps(payload).encode()
