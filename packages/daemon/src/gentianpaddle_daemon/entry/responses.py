"""HTTP responses to callers: OpenAI-compatible bodies, event streams and error objects."""

from __future__ import annotations

import dataclasses
import http.client
import json
import math
import typing
from collections.abc import Iterable, Iterator

from gentianpaddle_core import outcomes
from gentianpaddle_daemon.entry import request, sink

STREAM_END_MARKER = b"data: [DONE]\n\n"
RESULT_GRACE_S = 5.0
"""Time beyond the deadline for which the serving thread still waits for the dispatcher."""

StartResponse: typing.TypeAlias = typing.Callable[[str, list[tuple[str, str]]], typing.Any]
"""The `start_response` callable of WSGI."""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response."""

    status: int
    """HTTP status code."""
    body: bytes
    """Complete body."""
    content_type: str = "application/json"
    """Media type of the body."""
    headers: tuple[tuple[str, str], ...] = ()
    """Headers besides `Content-Type` and `Content-Length`."""

    def send(self, start_response: StartResponse) -> Iterable[bytes]:
        """Send the response through WSGI.

        Args:
            start_response: WSGI callable that starts the response.

        Returns:
            The body.
        """
        phrase = http.client.responses.get(self.status, "Unknown")
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
    """Build a JSON response.

    Args:
        status: HTTP status code.
        payload: Value to encode.
        headers: Headers besides `Content-Type` and `Content-Length`.

    Returns:
        The response.
    """
    return Response(status, json.dumps(payload).encode(), headers=headers)


def outcome_response(key: str, outcome: outcomes.Outcome) -> Response:
    """Build the response for an outcome.

    Args:
        key: Key with which the caller can look up the request.
        outcome: Outcome of the request.

    Returns:
        The backend server's answer if the outcome is `Done`, otherwise an error object.
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
    """Return the fields of the error object for an outcome other than `Done`.

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


def serve_buffered(
    caller_request: request.CallerRequest,
    answer_sink: sink.AnswerSink,
    start_response: StartResponse,
) -> Iterable[bytes]:
    """Wait for the complete answer and send it as one body.

    Args:
        caller_request: Request of the caller.
        answer_sink: Sink that the dispatcher fills.
        start_response: WSGI callable that starts the response.

    Returns:
        The body.
    """
    parts: list[bytes] = []
    while True:
        event = answer_sink.get(caller_request.work_class.deadline_s + RESULT_GRACE_S)
        if isinstance(event, sink.Piece):
            parts.append(event.data)
            continue
        outcome = _final_outcome(answer_sink, event)
        if isinstance(outcome, outcomes.Done) and caller_request.is_chat:
            outcome = dataclasses.replace(
                outcome, body=_completion(caller_request, b"".join(parts))
            )
        return outcome_response(caller_request.key, outcome).send(start_response)


def serve_stream(
    caller_request: request.CallerRequest,
    answer_sink: sink.AnswerSink,
    start_response: StartResponse,
) -> Iterable[bytes]:
    """Send an answer as server-sent events while it arrives.

    The status line is sent with the first piece, so a request that fails earlier gets the status
    of its failure. A later failure is reported by an `error` event, and the end mark is left out.

    Args:
        caller_request: Request of the caller.
        answer_sink: Sink that the dispatcher fills.
        start_response: WSGI callable that starts the response.

    Returns:
        The body, piece by piece.
    """
    first = answer_sink.get(caller_request.work_class.deadline_s + RESULT_GRACE_S)
    if not isinstance(first, sink.Piece):
        outcome = _final_outcome(answer_sink, first)
        if not isinstance(outcome, outcomes.Done):
            return outcome_response(caller_request.key, outcome).send(start_response)
    headers = [("Content-Type", "text/event-stream"), ("Gentianpaddle-Key", caller_request.key)]
    start_response("200 OK", headers)
    return _events(caller_request, answer_sink, first)


def _events(
    caller_request: request.CallerRequest, answer_sink: sink.AnswerSink, event: sink.Event | None
) -> Iterator[bytes]:
    try:
        while isinstance(event, sink.Piece):
            yield _chunk(caller_request, {"content": event.data.decode()}, None)
            event = answer_sink.get(caller_request.work_class.deadline_s + RESULT_GRACE_S)
        outcome = _final_outcome(answer_sink, event)
        if isinstance(outcome, outcomes.Done):
            yield _chunk(caller_request, {}, "stop")
            yield STREAM_END_MARKER
        else:
            fields = json.dumps({"error": error_fields(outcome)})
            yield f"event: error\ndata: {fields}\n\n".encode()
    finally:
        answer_sink.abandon()


def _final_outcome(answer_sink: sink.AnswerSink, event: sink.Event | None) -> outcomes.Outcome:
    if isinstance(event, sink.Finish):
        return event.outcome
    answer_sink.abandon()
    return outcomes.Unknown("timeout", "no result before the deadline")


def _chunk(
    caller_request: request.CallerRequest, delta: dict[str, str], finish_reason: str | None
) -> bytes:
    payload = {
        "id": caller_request.key,
        "object": "chat.completion.chunk",
        "model": caller_request.target,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish_reason}],
    }
    return b"data: " + json.dumps(payload).encode() + b"\n\n"


def _completion(caller_request: request.CallerRequest, text: bytes) -> bytes:
    message = {"role": "assistant", "content": text.decode()}
    payload = {
        "id": caller_request.key,
        "object": "chat.completion",
        "model": caller_request.target,
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
    }
    return json.dumps(payload).encode()
