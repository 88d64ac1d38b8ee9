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

STALL_S = 3.0
"""Silence within a token stream after which the attempt is given up and resumed elsewhere."""
REVOKE_WAIT_S = 1.0
"""Longest wait for the answer to a revocation."""
QUERY_PERIOD_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """The whole answer was delivered."""

    http_status: int
    """Status of the backend server."""
    content_type: str
    """Media type of the answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProvenNotRun:
    """The attempt did not run and will not run."""

    reason: str
    """Why."""
    declined: bool
    """Whether the agent declined it."""


@dataclasses.dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The attempt ended without its whole answer."""

    reason: str
    """Why."""
    broken: bool = False
    """Whether the connection to the backend server broke, as in a crash."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The backend server rejected the request itself."""

    reason: str
    """Why."""


@dataclasses.dataclass(frozen=True, slots=True)
class Late:
    """The deadline passed."""


Ended: typing.TypeAlias = Completed | ProvenNotRun | MayHaveRun | Rejected | Late
"""How an attempt ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What to send."""

    checked: request.CallerRequest
    """The request."""
    number: ids.Attempt
    """Number of the attempt."""
    incarnation: ids.Incarnation
    """Incarnation of the agent that was chosen."""
    delivered_text: str
    """Text that the caller already has."""
    priority: int
    """Priority for the engine, the lower one first."""
    isolated: bool
    """Whether it must not run beside another suspect."""


class Attempt:
    """One attempt."""

    def __init__(
        self,
        plan: Plan,
        through: link.AgentLink,
        stream: answer_stream.AnswerStream,
        deliver: Callable[[bytes, int], None],
    ) -> None:
        self._plan = plan
        self._link = through
        self._stream = stream
        self._deliver = deliver
        self._key = plan.checked.key
        self._accepted = False
        self._begun = False

    async def run(self, first_token_until_s: float) -> Ended:
        """Send the start message and follow the answer.

        Args:
            first_token_until_s: Monotonic time at which an idempotent attempt without a first token
                is given up in favour of another one.

        Returns:
            How the attempt ended.
        """
        inbox = self._link.open_inbox(self._key, self._plan.number)
        try:
            if not self._link.send(pb.FromEntry(start=self._start())):
                return ProvenNotRun("link_closed", declined=False)
            while True:
                ended = await self._next(inbox, first_token_until_s)
                if ended is not None:
                    return ended
        except asyncio.CancelledError:
            self._cancel()
            raise
        finally:
            self._link.close_inbox(self._key, self._plan.number)

    async def _next(
        self, inbox: asyncio.Queue[link.Inbound], first_token_until_s: float
    ) -> Ended | None:
        deadline_s = self._plan.checked.deadline_s
        now_s = time.monotonic()
        until_s = deadline_s
        if self._plan.checked.idempotent:
            patience_s = now_s + STALL_S if self._begun else first_token_until_s
            until_s = min(deadline_s, patience_s)
        try:
            message = await asyncio.wait_for(inbox.get(), max(0.0, until_s - now_s))
        except TimeoutError:
            return await self._give_up(inbox, is_late=until_s >= deadline_s)
        if isinstance(message, link.LinkLost):
            return MayHaveRun("link_lost")
        return self._apply(message)

    def _apply(self, message: pb.FromAgent) -> Ended | None:
        kind = message.WhichOneof("kind")
        if kind == "declined":
            return ProvenNotRun(message.declined.reason, declined=True)
        if kind == "chunk":
            return self._take_chunk(message.chunk)
        if kind == "end":
            return self._take_end(message.end)
        if kind == "failed":
            return _failure(message.failed)
        if kind == "state":
            # The agent answers so to a start message that it had seen before.
            return MayHaveRun("repeated")
        return None

    def _take_chunk(self, chunk: pb.Chunk) -> Ended | None:
        self._begun = True
        received = self._stream.receive_chunk(
            answer_stream.Chunk(
                ids.RequestKey(chunk.key), ids.Attempt(chunk.attempt), chunk.sequence, chunk.data
            )
        )
        return self._take(received, chunk.tokens)

    def _take_end(self, end: pb.End) -> Ended | None:
        received = self._stream.receive_end(
            answer_stream.End(
                ids.RequestKey(end.key),
                ids.Attempt(end.attempt),
                end.chunks,
                end.http_status,
                end.content_type,
            )
        )
        ended = self._take(received, 0)
        # The stream of one link is ordered, so nothing follows the end mark.
        return ended or MayHaveRun("incomplete")

    def _take(self, received: answer_stream.Received, tokens: int) -> Ended | None:
        if not isinstance(received, answer_stream.Delivered):
            return None
        if received.data:
            self._deliver(received.data, tokens)
        if received.complete is None:
            return None
        return Completed(received.complete.http_status, received.complete.content_type)

    async def _give_up(self, inbox: asyncio.Queue[link.Inbound], is_late: bool) -> Ended:
        if self._plan.checked.idempotent:
            self._cancel()
            return Late() if is_late else MayHaveRun("stalled")
        if await revoke(self._link, inbox, self._key, self._plan.number):
            return ProvenNotRun("revoked", declined=False)
        return Late()

    def _cancel(self) -> None:
        cancel = pb.Cancel(key=self._key, attempt=self._plan.number)
        self._link.send(pb.FromEntry(cancel=cancel))

    def _start(self) -> pb.Start:
        checked = self._plan.checked
        left_s = max(0.0, checked.deadline_s - time.monotonic())
        return pb.Start(
            key=checked.key,
            attempt=self._plan.number,
            fingerprint=checked.fingerprint,
            class_name=checked.work_class.name,
            organisation=checked.organisation,
            priority=self._plan.priority,
            deadline_ms=int(left_s * 1_000),
            agent_incarnation=self._plan.incarnation,
            target=checked.target,
            method=checked.method,
            path=checked.path,
            body=checked.body,
            idempotent=checked.idempotent,
            delivered_text=self._plan.delivered_text,
            streamed=checked.streamed,
            isolated=self._plan.isolated,
            content_type=checked.content_type,
        )


async def revoke(
    through: link.AgentLink,
    inbox: asyncio.Queue[link.Inbound],
    key: ids.RequestKey,
    number: ids.Attempt,
) -> bool:
    """Revoke an attempt.

    Args:
        through: Link to its agent.
        inbox: Open inbox of the attempt.
        key: Key of the request.
        number: Number of the attempt.

    Returns:
        True only with proof that it did not start.
    """
    if not through.send(pb.FromEntry(revoke=pb.Revoke(key=key, attempt=number))):
        return False
    until_s = time.monotonic() + REVOKE_WAIT_S
    while (left_s := until_s - time.monotonic()) > 0:
        try:
            message = await asyncio.wait_for(inbox.get(), left_s)
        except TimeoutError:
            return False
        if isinstance(message, link.LinkLost):
            return False
        if message.WhichOneof("kind") == "revoked":
            return message.revoked.before_start
    return False


def _failure(failed: pb.Failed) -> Ended:
    if not failed.may_have_run:
        return ProvenNotRun(failed.reason, declined=False)
    if failed.reason.startswith("http_4"):
        return Rejected(failed.reason)
    return MayHaveRun(failed.reason, broken=failed.crashed)
