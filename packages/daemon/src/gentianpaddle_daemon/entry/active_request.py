"""State of a request in progress at this entry."""

from __future__ import annotations

import asyncio
import dataclasses

from gentianpaddle_core import answer_stream, ids, outcomes, prefix_index, routing
from gentianpaddle_daemon.entry import recording, request, sink

FIRST_ATTEMPT = ids.Attempt(1)


@dataclasses.dataclass(slots=True)
class ActiveRequest:
    """A request from its submission to its outcome, across all its attempts."""

    caller_request: request.CallerRequest
    """The request as checked on arrival."""
    answer_sink: sink.AnswerSink
    """Receives the answer for the serving thread."""
    routed: asyncio.Future[routing.Routed | outcomes.Refused | outcomes.NotRun]
    """Result of the first routing decision, set when the request leaves the admission queue."""
    routing_request: routing.Request
    """The properties of the request that the router uses."""
    stream: answer_stream.AnswerStream
    """Answer received so far; checks order and completeness."""
    attempt_number: ids.Attempt = FIRST_ATTEMPT
    """Number of the current attempt, from 1."""
    declines: int = 0
    """Number of attempts that agents have declined."""
    may_have_run: bool = False
    """Whether an attempt may have run without delivering its complete answer."""
    body: bytearray = dataclasses.field(default_factory=bytearray)
    """Answer body so far; used for services only, not for chat completions."""
    token_times: recording.TokenTimes = dataclasses.field(default_factory=recording.TokenTimes)
    """Arrival times of its tokens."""


def new_active_request(
    caller_request: request.CallerRequest,
    answer_sink: sink.AnswerSink,
    loop: asyncio.AbstractEventLoop,
) -> ActiveRequest:
    """Create the state of a request that has just been submitted.

    Args:
        caller_request: The request.
        answer_sink: Receives the answer.
        loop: Event loop of the process.

    Returns:
        The state before the first attempt.
    """
    prompt = f"{caller_request.target}\n{caller_request.prompt}".encode()
    routing_request = routing.Request(
        model=caller_request.target,
        fingerprint=caller_request.fingerprint,
        class_of_work=caller_request.work_class,
        arrived_s=caller_request.received_s,
        prompt_tokens=caller_request.prompt_tokens if caller_request.is_chat else 0,
        prefix_hashes=prefix_index.prefix_hashes(prompt) if caller_request.is_chat else (),
    )
    stream = answer_stream.new_answer_stream(
        caller_request.key, FIRST_ATTEMPT, resumable=caller_request.is_chat
    )
    return ActiveRequest(caller_request, answer_sink, loop.create_future(), routing_request, stream)
