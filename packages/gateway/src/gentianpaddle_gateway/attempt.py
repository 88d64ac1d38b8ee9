"""One attempt to have a backend server answer a request."""

from __future__ import annotations

import asyncio
import dataclasses

from gentianpaddle_core.serving import attempts, event_stream, routes, servers
from gentianpaddle_gateway import http_client, http_server
from gentianpaddle_platform import headers

SEND_TIMEOUT_S = 0.5
"""Longest wait for a connection to a server; a live one is a few ms away."""


@dataclasses.dataclass(slots=True)
class Exchange:
    """A caller's request on its way, over all its attempts."""

    request: http_server.Request
    head: headers.RequestHead
    route: routes.Route
    service: routes.Service
    organisation: str | None
    end_s: float
    """Monotonic time at which the caller or the route gives up."""
    reader: event_stream.EventReader
    """Events that the caller has of a stream."""
    history: attempts.History = dataclasses.field(default_factory=attempts.History)
    first_event_s: float | None = None
    """Monotonic time at which the caller got the first event or the whole answer."""

    def remaining_s(self) -> float:
        """Return the time that is left."""
        return self.end_s - asyncio.get_running_loop().time()


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    """The caller has the complete answer."""

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The server answered with a failure that may be passed on."""

    result: attempts.AttemptResult
    head: http_client.AnswerHead
    body: bytes


Outcome = Served | Answered | attempts.NotRun | attempts.Lost


async def run(
    exchange: Exchange, server: servers.ServerEntry, responder: http_server.Responder
) -> Outcome:
    """Send a request to a server and pass a success on.

    Args:
        exchange: The request.
        server: Where it goes.
        responder: Takes the answer.

    Returns:
        How the attempt ended.
    """
    remaining_s = exchange.remaining_s()
    if remaining_s <= 0.0:
        return attempts.NotRun("no time left")
    connection = await http_client.open_connection(server.address, min(SEND_TIMEOUT_S, remaining_s))
    if connection is None:
        return attempts.NotRun("no connection")
    try:
        async with asyncio.timeout(exchange.remaining_s()):
            return await _exchange(exchange, server, connection, responder)
    except http_client.ExchangeBrokenError as error:
        return attempts.Lost(str(error))
    except event_stream.OutOfOrderError as error:
        return attempts.Lost(str(error))
    except TimeoutError:
        return attempts.Lost("no answer in time")
    finally:
        connection.close()


async def _exchange(
    exchange: Exchange,
    server: servers.ServerEntry,
    connection: http_client.ClientConnection,
    responder: http_server.Responder,
) -> Outcome:
    request = exchange.request
    fields = headers.encode_request(
        exchange.head,
        server.id,
        exchange.organisation,
        exchange.remaining_s(),
        exchange.reader.last_id,
        len(request.body) if request.has_body else None,
    )
    await connection.send(request.method, request.target, fields, request.body or None)
    answer = await connection.head()
    if answer.status in (421, 429, 503) and _proves_not_run(answer):
        return attempts.NotRun(f"status {answer.status}", misdirected=answer.status == 421)
    sealed = headers.value_of(answer.headers, headers.SEAL) is not None
    echoed = headers.value_of(answer.headers, headers.REQUEST_ID)
    if not sealed or (echoed is not None and echoed != exchange.head.request_id):
        return attempts.Lost(f"status {answer.status} of another request or without a seal")
    if headers.value_of(answer.headers, b"content-encoding") is not None:
        return attempts.Lost("an encoded body")
    if not 200 <= answer.status < 300:
        body = await connection.whole_body()
        return Answered(attempts.ServerFailure(answer.status), answer, body)
    if exchange.route.kind is routes.RouteKind.STREAMING:
        return await _relay_events(exchange, answer, connection, responder)
    body = await connection.whole_body()
    exchange.first_event_s = asyncio.get_running_loop().time()
    await responder.answer(answer.status, headers.forwarded_answer(answer.headers), body)
    return Served(answer.status)


def _proves_not_run(answer: http_client.AnswerHead) -> bool:
    return answer.status == 421 or headers.value_of(answer.headers, headers.NOT_RUN) is not None


async def _relay_events(
    exchange: Exchange,
    answer: http_client.AnswerHead,
    connection: http_client.ClientConnection,
    responder: http_server.Responder,
) -> Outcome:
    exchange.reader.resume()
    while (part := await connection.read()) is not None:
        events = exchange.reader.feed(part)
        if not events:
            continue
        if not responder.started:
            exchange.first_event_s = asyncio.get_running_loop().time()
            await responder.start(answer.status, headers.forwarded_answer(answer.headers))
        await responder.data(b"".join(event.data for event in events))
    if exchange.reader.partial:
        return attempts.Lost("the stream ended within an event")
    if not responder.started:
        await responder.start(answer.status, headers.forwarded_answer(answer.headers))
    await responder.finish()
    return Served(answer.status)
