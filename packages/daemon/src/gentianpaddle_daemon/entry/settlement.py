"""Settles claimed calls whose result is not known, by asking the agent that may have run them."""

from __future__ import annotations

import asyncio
import logging
import time
import typing
from collections.abc import Awaitable, Callable, Coroutine

from gentianpaddle_core import claim_records, ids, outcomes
from gentianpaddle_daemon import logs
from gentianpaddle_daemon.entry import agents, attempt, claiming, link
from gentianpaddle_daemon.wire import messages_pb2 as pb

QUERY_TIMEOUT_S = 1.0
POLL_S = 0.2
LATER_LIMIT_S = 600.0
LATER_PERIOD_S = 2.0
LATER_TASKS_LIMIT = 1_000

Step: typing.TypeAlias = Callable[[], Awaitable[bool]]
"""Something to repeat until it succeeds."""

_logger = logging.getLogger("gentianpaddle.entry.settlement")


class Settlement:
    """Asks agents about claimed calls, at once or later in the background."""

    def __init__(self, linked: agents.Agents, claims: claiming.Claims) -> None:
        self._agents = linked
        self._claims = claims
        self._tasks: set[asyncio.Task[None]] = set()

    async def settle(
        self, claim: claim_records.Claim, until_s: float
    ) -> outcomes.Done | outcomes.NotRun | outcomes.Unknown:
        """Find out what became of a claimed call.

        Args:
            claim: The claim.
            until_s: Monotonic time after which it stays unknown.

        Returns:
            `NotRun` only when the agent proved it and the claim was released.
        """
        while True:
            settled = await self._ask(claim)
            if settled is not None:
                return settled
            if time.monotonic() + POLL_S >= until_s:
                return outcomes.Unknown("unsettled", "ask again by key", 1.0)
            await asyncio.sleep(POLL_S)

    def settle_later(self, claim: claim_records.Claim) -> None:
        """Go on asking in the background, so that a caller can learn the result by key."""

        async def settled() -> bool:
            return await self._ask(claim) is not None

        self._spawn(self._repeat(settled))

    async def _ask(
        self, claim: claim_records.Claim
    ) -> outcomes.Done | outcomes.NotRun | outcomes.Unknown | None:
        through = self._agents.link_to(claim.agent)
        if through is None or through.welcome is None:
            return None
        if through.welcome.incarnation != claim.agent_incarnation:
            # The agent that knew was replaced, so nobody can tell any more.
            return outcomes.Unknown("agent_replaced", "it may have run on a lost VM")
        state = await _query(through, claim.key)
        if state is None or state.state == pb.ATTEMPT_STATE_RUNNING:
            return None
        if state.state == pb.ATTEMPT_STATE_DONE:
            done = outcomes.Done(state.body, state.content_type, state.http_status)
            self._claims.settle(claim, done)
            return done
        if state.state == pb.ATTEMPT_STATE_FAILED:
            return outcomes.Unknown("failed", "it may have run without a whole answer")
        return await self._revoke(through, claim)

    async def _revoke(
        self, through: link.AgentLink, claim: claim_records.Claim
    ) -> outcomes.NotRun | None:
        inbox = through.open_inbox(claim.key, claim.attempt)
        try:
            proven = await attempt.revoke(through, inbox, claim.key, claim.attempt)
        finally:
            through.close_inbox(claim.key, claim.attempt)
        not_run = outcomes.NotRun("revoked", "the call did not run", 1.0)
        if not proven or not self._claims.settle(claim, not_run):
            return None
        logs.event(_logger, "claim_released", key=claim.key, agent=claim.agent)
        return not_run

    def _spawn(self, coroutine: Coroutine[typing.Any, typing.Any, None]) -> None:
        if len(self._tasks) >= LATER_TASKS_LIMIT:
            coroutine.close()
            return
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _repeat(self, step: Step) -> None:
        until_s = time.monotonic() + LATER_LIMIT_S
        while time.monotonic() < until_s and not await step():
            await asyncio.sleep(LATER_PERIOD_S)


async def _query(through: link.AgentLink, key: ids.RequestKey) -> pb.State | None:
    inbox = through.open_query(key)
    try:
        if not through.send(pb.FromEntry(query=pb.Query(key=key))):
            return None
        message = await asyncio.wait_for(inbox.get(), QUERY_TIMEOUT_S)
    except TimeoutError:
        return None
    finally:
        through.close_query(key)
    return None if isinstance(message, link.LinkLost) else message.state
