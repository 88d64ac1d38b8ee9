"""Settles claimed calls with an unknown result by querying the agent that may have run them."""

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
POLL_PERIOD_S = 0.2
BACKGROUND_TIMEOUT_S = 600.0
"""Time after which background settlement of a claim is abandoned."""
BACKGROUND_POLL_PERIOD_S = 2.0
MAX_BACKGROUND_TASKS = 1_000
"""Number of background tasks above which further claims are not settled in the background."""

PollStep: typing.TypeAlias = Callable[[], Awaitable[bool]]
"""Coroutine function that is repeated until it returns True."""

_logger = logging.getLogger("gentianpaddle.entry.settlement")


class Settlement:
    """Queries agents for the results of claimed calls, in the foreground or the background."""

    def __init__(self, links: agents.AgentLinks, claims: claiming.Claims) -> None:
        self._links = links
        self._claims = claims
        self._tasks: set[asyncio.Task[None]] = set()

    async def determine_outcome(
        self, claim: claim_records.Claim, until_s: float
    ) -> outcomes.Done | outcomes.NotRun | outcomes.Unknown:
        """Query the agent of a claimed call until its outcome is known.

        `Done` and `NotRun` are also queued to be recorded in the claim log.

        Args:
            claim: The claim.
            until_s: Monotonic time after which the outcome is reported as unknown.

        Returns:
            The outcome. `NotRun` only if the agent proved that the call did not run and the release
            of the claim was queued.
        """
        while True:
            settled = await self._query_outcome(claim)
            if settled is not None:
                return settled
            if time.monotonic() + POLL_PERIOD_S >= until_s:
                return outcomes.Unknown(
                    "unsettled", "the outcome is not known yet; query it again by key", 1.0
                )
            await asyncio.sleep(POLL_PERIOD_S)

    def settle_in_background(self, claim: claim_records.Claim) -> None:
        """Continue to poll in the background, so that the caller can look up the result by key."""

        async def is_settled() -> bool:
            return await self._query_outcome(claim) is not None

        self._start_background_task(self._repeat_until_done(is_settled))

    async def _query_outcome(
        self, claim: claim_records.Claim
    ) -> outcomes.Done | outcomes.NotRun | outcomes.Unknown | None:
        agent_link = self._links.link_to(claim.agent)
        if agent_link is None or agent_link.welcome is None:
            return None
        if agent_link.welcome.incarnation != claim.agent_incarnation:
            # The state of the call was lost with the earlier incarnation of the agent.
            return outcomes.Unknown(
                "agent_replaced", "the request may have run; its agent was replaced"
            )
        state = await _query(agent_link, claim.key)
        if state is None or state.state == pb.ATTEMPT_STATE_RUNNING:
            return None
        if state.state == pb.ATTEMPT_STATE_DONE:
            done = outcomes.Done(state.body, state.content_type, state.http_status)
            self._claims.queue_outcome(claim, done)
            return done
        if state.state == pb.ATTEMPT_STATE_FAILED:
            return outcomes.Unknown("failed", "the request may have run without a complete answer")
        return await self._revoke(agent_link, claim)

    async def _revoke(
        self, agent_link: link.AgentLink, claim: claim_records.Claim
    ) -> outcomes.NotRun | None:
        inbox = agent_link.open_inbox(claim.key, claim.attempt)
        try:
            proven = await attempt.revoke(agent_link, inbox, claim.key, claim.attempt)
        finally:
            agent_link.close_inbox(claim.key, claim.attempt)
        not_run = outcomes.NotRun("revoked", "the call did not run", 1.0)
        if not proven or not self._claims.queue_outcome(claim, not_run):
            return None
        logs.event(_logger, "claim_released", key=claim.key, agent=claim.agent)
        return not_run

    def _start_background_task(self, coroutine: Coroutine[typing.Any, typing.Any, None]) -> None:
        if len(self._tasks) >= MAX_BACKGROUND_TASKS:
            coroutine.close()
            return
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _repeat_until_done(self, poll_step: PollStep) -> None:
        until_s = time.monotonic() + BACKGROUND_TIMEOUT_S
        while time.monotonic() < until_s and not await poll_step():
            await asyncio.sleep(BACKGROUND_POLL_PERIOD_S)


async def _query(agent_link: link.AgentLink, key: ids.RequestKey) -> pb.State | None:
    inbox = agent_link.open_query(key)
    try:
        if not agent_link.send(pb.FromEntry(query=pb.Query(key=key))):
            return None
        message = await asyncio.wait_for(inbox.get(), QUERY_TIMEOUT_S)
    except TimeoutError:
        return None
    finally:
        agent_link.close_query(key)
    return None if isinstance(message, link.LinkLost) else message.state
