"""One attempt of a request at one agent, from its start message to its end."""

from __future__ import annotations

import asyncio
import dataclasses
import time
import typing
from collections.abc import Callable

from gentianpaddle_core import answer_stream, ids
from gentianpaddle_daemon.entry import link, request
from gentianpaddle_daemon.wire import messages_pb2 as pb

STREAM_IDLE_TIMEOUT_S = 3.0
"""Time without a message in a started token stream after which the attempt ends as stalled."""
REVOKE_TIMEOUT_S = 1.0
"""Longest wait for the agent to confirm a revocation."""
QUERY_PERIOD_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """The complete answer was delivered."""

    http_status: int
    """HTTP status from the backend server."""
    content_type: str
    """Media type of the answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProvenNotRun:
    """It is certain that the attempt did not run and never will."""

    reason: str
    """Machine-readable reason."""
    declined: bool
    """Whether the agent declined the attempt, as opposed to a failure before it ran."""


@dataclasses.dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The attempt ended without a complete answer and may have run."""

    reason: str
    """Machine-readable reason."""
    connection_broken: bool = False
    """Whether the connection to the backend server broke, which suggests a crash."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The backend server rejected the request as invalid, so a retry would not help."""

    reason: str
    """HTTP status as `http_4xx`."""


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlineExceeded:
    """The deadline of the request passed before the attempt ended."""


AttemptResult: typing.TypeAlias = (
    Completed | ProvenNotRun | MayHaveRun | Rejected | DeadlineExceeded
)
"""How an attempt ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptSpec:
    """Parameters of one attempt."""

    caller_request: request.CallerRequest
    """The request to run."""
    attempt_number: ids.Attempt
    """Number of the attempt, from 1."""
    incarnation: ids.Incarnation
    """Incarnation of the agent that the attempt is meant for."""
    delivered_text: str
    """Text already delivered to the caller, after which the stream is to be resumed."""
    priority: int
    """Priority at the engine; lower values are served first."""
    isolated: bool
    """Whether the attempt must not run at the same time as another suspect."""


class Attempt:
    """Sends one attempt to an agent and delivers its answer."""

    def __init__(
        self,
        spec: AttemptSpec,
        agent_link: link.AgentLink,
        stream: answer_stream.AnswerStream,
        deliver: Callable[[bytes, int], None],
    ) -> None:
        self._spec = spec
        self._link = agent_link
        self._stream = stream
        self._deliver = deliver
        self._key = spec.caller_request.key
        self._accepted = False
        self._stream_started = False

    async def run(self, first_token_deadline_s: float) -> AttemptResult:
        """Send the start message and receive the answer.

        Args:
            first_token_deadline_s: Monotonic time at which an idempotent attempt without a first
                token is cancelled so that another one can take its place.

        Returns:
            How the attempt ended.
        """
        inbox = self._link.open_inbox(self._key, self._spec.attempt_number)
        try:
            if not self._link.send(pb.FromEntry(start=self._start_message())):
                return ProvenNotRun("link_closed", declined=False)
            while True:
                result = await self._await_result(inbox, first_token_deadline_s)
                if result is not None:
                    return result
        except asyncio.CancelledError:
            self._cancel()
            raise
        finally:
            self._link.close_inbox(self._key, self._spec.attempt_number)

    async def _await_result(
        self, inbox: asyncio.Queue[link.Inbound], first_token_deadline_s: float
    ) -> AttemptResult | None:
        deadline_s = self._spec.caller_request.deadline_s
        now_s = time.monotonic()
        until_s = deadline_s
        if self._spec.caller_request.idempotent:
            progress_until_s = (
                now_s + STREAM_IDLE_TIMEOUT_S if self._stream_started else first_token_deadline_s
            )
            until_s = min(deadline_s, progress_until_s)
        try:
            message = await asyncio.wait_for(inbox.get(), max(0.0, until_s - now_s))
        except TimeoutError:
            return await self._handle_timeout(inbox, deadline_passed=until_s >= deadline_s)
        if isinstance(message, link.LinkLost):
            return MayHaveRun("link_lost")
        return self._handle_message(message)

    def _handle_message(self, message: pb.FromAgent) -> AttemptResult | None:
        kind = message.WhichOneof("kind")
        if kind == "declined":
            return ProvenNotRun(message.declined.reason, declined=True)
        if kind == "chunk":
            return self._handle_chunk(message.chunk)
        if kind == "end":
            return self._handle_end(message.end)
        if kind == "failed":
            return _failure(message.failed)
        if kind == "state":
            # The agent answers a repeated start message with the state of the attempt.
            return MayHaveRun("repeated")
        return None

    def _handle_chunk(self, chunk: pb.Chunk) -> AttemptResult | None:
        self._stream_started = True
        received = self._stream.receive_chunk(
            answer_stream.Chunk(
                ids.RequestKey(chunk.key), ids.Attempt(chunk.attempt), chunk.sequence, chunk.data
            )
        )
        return self._handle_received(received, chunk.tokens)

    def _handle_end(self, end: pb.End) -> AttemptResult | None:
        received = self._stream.receive_end(
            answer_stream.End(
                ids.RequestKey(end.key),
                ids.Attempt(end.attempt),
                end.chunks,
                end.http_status,
                end.content_type,
            )
        )
        result = self._handle_received(received, 0)
        # Messages of one link arrive in order, so no chunk can follow the end message.
        return result or MayHaveRun("incomplete")

    def _handle_received(
        self, received: answer_stream.ReceiveResult, tokens: int
    ) -> AttemptResult | None:
        if not isinstance(received, answer_stream.Delivered):
            return None
        if received.data:
            self._deliver(received.data, tokens)
        if received.complete is None:
            return None
        return Completed(received.complete.http_status, received.complete.content_type)

    async def _handle_timeout(
        self, inbox: asyncio.Queue[link.Inbound], deadline_passed: bool
    ) -> AttemptResult:
        if self._spec.caller_request.idempotent:
            self._cancel()
            return DeadlineExceeded() if deadline_passed else MayHaveRun("stalled")
        if await revoke(self._link, inbox, self._key, self._spec.attempt_number):
            return ProvenNotRun("revoked", declined=False)
        return DeadlineExceeded()

    def _cancel(self) -> None:
        cancel = pb.Cancel(key=self._key, attempt=self._spec.attempt_number)
        self._link.send(pb.FromEntry(cancel=cancel))

    def _start_message(self) -> pb.Start:
        caller_request = self._spec.caller_request
        remaining_s = max(0.0, caller_request.deadline_s - time.monotonic())
        return pb.Start(
            key=caller_request.key,
            attempt=self._spec.attempt_number,
            fingerprint=caller_request.fingerprint,
            class_name=caller_request.work_class.name,
            organisation=caller_request.organisation,
            priority=self._spec.priority,
            deadline_ms=int(remaining_s * 1_000),
            agent_incarnation=self._spec.incarnation,
            target=caller_request.target,
            method=caller_request.method,
            path=caller_request.path,
            body=caller_request.body,
            idempotent=caller_request.idempotent,
            delivered_text=self._spec.delivered_text,
            streamed=caller_request.streamed,
            isolated=self._spec.isolated,
            content_type=caller_request.content_type,
        )


async def revoke(
    agent_link: link.AgentLink,
    inbox: asyncio.Queue[link.Inbound],
    key: ids.RequestKey,
    attempt_number: ids.Attempt,
) -> bool:
    """Revoke an attempt.

    Args:
        agent_link: Link to the agent of the attempt.
        inbox: Open inbox of the attempt.
        key: Key of the request.
        attempt_number: Number of the attempt.

    Returns:
        Whether the agent confirmed that the attempt did not start and never will.
    """
    if not agent_link.send(pb.FromEntry(revoke=pb.Revoke(key=key, attempt=attempt_number))):
        return False
    until_s = time.monotonic() + REVOKE_TIMEOUT_S
    while (remaining_s := until_s - time.monotonic()) > 0:
        try:
            message = await asyncio.wait_for(inbox.get(), remaining_s)
        except TimeoutError:
            return False
        if isinstance(message, link.LinkLost):
            return False
        if message.WhichOneof("kind") == "revoked":
            return message.revoked.before_start
    return False


def _failure(failed: pb.Failed) -> AttemptResult:
    if not failed.may_have_run:
        return ProvenNotRun(failed.reason, declined=False)
    if failed.reason.startswith("http_4"):
        return Rejected(failed.reason)
    return MayHaveRun(failed.reason, connection_broken=failed.crashed)
