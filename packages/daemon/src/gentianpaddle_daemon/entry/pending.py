"""A request in progress at this entry."""

from __future__ import annotations

import asyncio
import dataclasses

from gentianpaddle_core import answer_stream, ids, outcomes, prefix_index, routing
from gentianpaddle_daemon.entry import figures, request, sink

FIRST_ATTEMPT = ids.Attempt(1)


@dataclasses.dataclass(slots=True)
class Pending:
    """A request in progress at this entry."""

    checked: request.CallerRequest
    """The request."""
    answer: sink.AnswerSink
    """Where its answer goes."""
    routed: asyncio.Future[routing.Routed | outcomes.Refused | outcomes.NotRun]
    """Resolved when its turn in the queue comes."""
    wanted: routing.Request
    """Its view for the router."""
    stream: answer_stream.AnswerStream
    """Its answer so far."""
    number: ids.Attempt = FIRST_ATTEMPT
    """Number of the present attempt."""
    declines: int = 0
    """Declines so far."""
    may_have_run: bool = False
    """Whether an attempt may have run without its whole answer."""
    body: bytearray = dataclasses.field(default_factory=bytearray)
    """Answer of a plain service."""
    timing: figures.Timing = dataclasses.field(default_factory=figures.Timing)
    """Times of its tokens."""


def new_pending(
    checked: request.CallerRequest, answer: sink.AnswerSink, loop: asyncio.AbstractEventLoop
) -> Pending:
    """Create the state of a request that has just been submitted.

    Args:
        checked: The request.
        answer: Where its answer goes.
        loop: Event loop of the process.

    Returns:
        A request without attempts.
    """
    prompt = f"{checked.target}\n{checked.prompt}".encode()
    wanted = routing.Request(
        model=checked.target,
        fingerprint=checked.fingerprint,
        class_of_work=checked.work_class,
        arrived_s=checked.received_s,
        prompt_tokens=checked.prompt_tokens if checked.is_chat else 0,
        prefix_hashes=prefix_index.prefix_hashes(prompt) if checked.is_chat else (),
    )
    stream = answer_stream.new_answer_stream(checked.key, FIRST_ATTEMPT, resumable=checked.is_chat)
    return Pending(checked, answer, loop.create_future(), wanted, stream)
