"""One attempt to forward a request to a backend server."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable

from gentianpaddle_core import ids
from gentianpaddle_core.serving import (
    attempts,
    crash_records,
    data_centre_traffic,
    event_stream,
    request_queue,
    routes,
    servers,
)
from gentianpaddle_gateway import http_client, http_server, silence_watch
from gentianpaddle_platform import headers

CONNECT_TIMEOUT_S = 0.2
"""Time-out for connecting to a server. The round-trip time to a live server is a few ms; a lost
opening packet is repeated after seconds, and another server is reached before that."""

ANSWER_BODY_LIMIT_BYTES = 4_194_304
"""Maximum size of the body of a plain answer."""

BODILESS_STATUSES = (204, 205, 304)
"""Statuses of complete answers without a body."""

FAILURE_BODY_LIMIT_BYTES = 1_048_576
"""Maximum size of the body of an error response."""


@dataclasses.dataclass(slots=True)
class RequestContext:
    """State of a caller's request across all attempts to forward it."""

    request: http_server.Request
    head: headers.RequestHead
    route: routes.Route
    service: routes.Service
    organisation: str | None
    """Organisation of the caller's key; None if the request needs no key."""
    group: request_queue.RequestGroup
    """Priority and organisation, by which the request waits for a server."""
    engine_priority: int | None
    """Priority that is stated to the engine, or None to state none."""
    causes: crash_records.RequestCauses
    """What may make the request crash servers."""
    answer_began: Callable[[], None]
    """Called when the answer to an attempt begins."""
    head_arrived: Callable[[ids.BackendServerId, http_client.ResponseHead], None]
    """Called with the head of each answer, and the server that sent it."""
    expires_at_s: float
    """Monotonic time at which the deadline of the caller or the time-out of the route expires."""
    traffic: data_centre_traffic.RequestTraffic
    """Traffic of the request between data centres."""
    reader: event_stream.EventReader
    """Reader of the event stream; knows which events the caller has received."""
    history: attempts.AttemptHistory = dataclasses.field(default_factory=attempts.AttemptHistory)
    current_server: ids.BackendServerId | None = None
    """Server of the attempt in progress, or None while the request waits for a server."""
    sent_s: float = 0.0
    """Monotonic time at which the last attempt was sent."""
    answer_stage: attempts.AnswerStage = attempts.AnswerStage.NOTHING
    """How much of the answer to the last attempt has arrived."""
    retry_acquired: bool = False
    """Whether a retry was taken from the shared budget before the last attempt was given up."""
    first_event_s: float | None = None
    """Monotonic time at which the first event or the complete answer was ready to be sent."""
    last_event_s: float | None = None
    """Monotonic time at which the last event of a stream was ready to be sent."""
    sent_bytes: int = 0
    """Size of the body that the last attempt sent to its server."""
    answer_bytes: int = 0
    """Size of the answer's body that the last attempt received."""

    def caller_leaves_s(self) -> float | None:
        """Return the monotonic time at which the caller leaves unless an event arrives, or None."""
        if self.route.caller_patience_s is None:
            return None
        return (self.last_event_s or self.request.arrived_s) + self.route.caller_patience_s

    def record_answer_begun(self) -> None:
        """Record that the answer to the present attempt has begun."""
        if self.answer_stage is not attempts.AnswerStage.BEGUN:
            self.answer_stage = attempts.AnswerStage.BEGUN
            self.answer_began()

    def remaining_s(self) -> float:
        """Return the time in seconds until the request expires; negative if it has expired."""
        return self.expires_at_s - asyncio.get_running_loop().time()


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    """The complete answer was sent to the caller."""

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class FailureResponse:
    """The server answered with an error that may be forwarded to the caller."""

    result: attempts.AttemptResult
    head: http_client.ResponseHead
    body: bytes


AttemptOutcome = Served | FailureResponse | attempts.NotRun | attempts.Lost


async def run(
    context: RequestContext,
    server: servers.ServerEntry,
    responder: http_server.Responder,
    supervision: silence_watch.Supervision,
) -> AttemptOutcome:
    """Send a request to a server and forward a successful answer to the caller.

    Args:
        context: State of the request.
        server: Server to which it is sent.
        responder: Sends the response to the caller.
        supervision: Decides when a server that says nothing is given up.

    Returns:
        Outcome of the attempt.
    """
    context.sent_bytes = context.answer_bytes = 0
    remaining_s = context.remaining_s()
    if remaining_s <= 0.0:
        return attempts.NotRun("no time left")
    connection = await http_client.open_connection(
        server.address, min(CONNECT_TIMEOUT_S, remaining_s)
    )
    if connection is None:
        return attempts.NotRun("no connection", arrived=False)
    watch = silence_watch.SilenceWatch(
        context.route, context.head.prompt_tokens, server.id, supervision, connection
    )
    try:
        async with asyncio.timeout(context.remaining_s()):
            return await _forward(context, server, connection, responder, watch)
    except http_client.IncompleteResponseError as error:
        reason = watch.leave_reason
        out_of_time = reason in (
            silence_watch.LeaveReason.CALLER_LEAVING,
            silence_watch.LeaveReason.STOPPING,
        )
        return attempts.Lost(
            reason.value if reason is not None else str(error),
            silent=reason is not None and not out_of_time,
            closed_by_server=connection.closed_by_peer,
            out_of_time=out_of_time,
        )
    except TimeoutError:
        return attempts.Lost("no answer in time")
    finally:
        watch.stop()
        connection.close()
        responder.release_response()


async def _forward(
    context: RequestContext,
    server: servers.ServerEntry,
    connection: http_client.ClientConnection,
    responder: http_server.Responder,
    watch: silence_watch.SilenceWatch,
) -> AttemptOutcome:
    request = context.request
    fields = headers.encode_request(
        context.head,
        server.id,
        context.organisation,
        context.remaining_s(),
        context.reader.last_id,
        len(request.body) if request.has_body else None,
        context.engine_priority,
    )
    context.sent_s = asyncio.get_running_loop().time()
    context.answer_stage = attempts.AnswerStage.NOTHING
    watch.start()
    context.sent_bytes = len(request.body)
    await connection.send(request.method, request.target, fields, request.body or None)
    response = await connection.read_head()
    echoed_request_id = headers.first_value(response.headers, headers.REQUEST_ID)
    if echoed_request_id not in (None, context.head.request_id):
        return attempts.Lost(f"status {response.status} of another request")
    if response.status != 421:
        context.head_arrived(server.id, response)
    if response.status in (421, 429, 503) and _proves_not_run(response):
        return attempts.NotRun(f"status {response.status}", misdirected=response.status == 421)
    if headers.first_value(response.headers, headers.RESPONSE_SIGNATURE) is None:
        return attempts.Lost(f"status {response.status} without a seal")
    if headers.first_value(response.headers, b"content-encoding") is not None:
        return attempts.Lost("encoded body is not supported")
    context.answer_stage = attempts.AnswerStage.HEAD
    if not 200 <= response.status < 300:
        body = await connection.read_body(FAILURE_BODY_LIMIT_BYTES, responder)
        context.answer_bytes = len(body)
        if context.route.kind is not routes.RouteKind.STREAMING:
            # An engine may fail a request without having begun an answer to its prompt.
            context.record_answer_begun()
        return FailureResponse(attempts.ServerFailure(response.status), response, body)
    if context.route.kind is routes.RouteKind.STREAMING:
        return await _relay_events(context, response, connection, responder, watch)
    body = await connection.read_body(ANSWER_BODY_LIMIT_BYTES, responder)
    context.answer_bytes = len(body)
    if not body and _may_have_body(request, response) and not _has_framing(response):
        # Without framing, an empty body cannot be told from a crash of the server.
        return attempts.Lost("the answer ended after its head", closed_by_server=True)
    watch.record_events()
    context.record_answer_begun()
    context.first_event_s = asyncio.get_running_loop().time()
    await responder.respond(response.status, headers.end_to_end_headers(response.headers), body)
    return Served(response.status)


def _proves_not_run(response: http_client.ResponseHead) -> bool:
    return (
        response.status == 421 or headers.first_value(response.headers, headers.NOT_RUN) is not None
    )


def _may_have_body(request: http_server.Request, response: http_client.ResponseHead) -> bool:
    return request.method != "HEAD" and response.status not in BODILESS_STATUSES


def _has_framing(response: http_client.ResponseHead) -> bool:
    return any(name in (b"content-length", b"transfer-encoding") for name, _ in response.headers)


async def _relay_events(
    context: RequestContext,
    response: http_client.ResponseHead,
    connection: http_client.ClientConnection,
    responder: http_server.Responder,
    watch: silence_watch.SilenceWatch,
) -> AttemptOutcome:
    context.reader.start_body()
    while (part := await connection.read_body_part()) is not None:
        context.answer_bytes += len(part)
        events = context.reader.feed(part)
        if events:
            watch.record_events()
            context.record_answer_begun()
            context.last_event_s = asyncio.get_running_loop().time()
            if not responder.started:
                context.first_event_s = context.last_event_s
                await responder.start(response.status, headers.end_to_end_headers(response.headers))
            await responder.write(b"".join(event.data for event in events))
            watch.caller_has_received()
        if context.reader.violation is not None:
            return attempts.Lost(context.reader.violation)
    if context.reader.partial:
        return attempts.Lost("the stream ended within an event")
    if context.reader.last_id is None and not _has_framing(response):
        # Without framing, the end of the connection cannot be told from a crash of the server.
        return attempts.Lost("the stream ended without an event", closed_by_server=True)
    if not responder.started:
        await responder.start(response.status, headers.end_to_end_headers(response.headers))
    await responder.finish()
    return Served(response.status)
