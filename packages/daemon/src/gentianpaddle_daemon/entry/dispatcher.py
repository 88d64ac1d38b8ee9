"""Serves requests of callers: admission, claim, routing, attempts, and the outcome."""

from __future__ import annotations

import asyncio
import dataclasses
import http
import logging
import time

from gentianpaddle_core import (
    admission,
    answer_stream,
    blackboard,
    claim_records,
    claims,
    ids,
    outcomes,
    quarantine,
    retries,
    routing,
)
from gentianpaddle_daemon import logs, loop_thread
from gentianpaddle_daemon.entry import (
    agents,
    attempt,
    claiming,
    figures,
    link,
    request,
    settlement,
    sink,
    turns,
)
from gentianpaddle_daemon.entry import pending as pending_requests

RETRY_LOOK_S = 0.05
CRASH_NEWS_WAIT_S = 0.3

_logger = logging.getLogger("gentianpaddle.entry.dispatcher")


class Dispatcher:
    """All requests of one entry."""

    def __init__(
        self,
        board: blackboard.EntryBlackboard,
        linked: agents.Agents,
        claim_log: claiming.Claims,
        recorder: figures.Recorder,
        loop: loop_thread.LoopThread,
    ) -> None:
        self._board = board
        self._agents = linked
        self._claims = claim_log
        self._recorder = recorder
        self._loop = loop
        self._turns = turns.Turns(board, linked, loop)
        self._settlement = settlement.Settlement(linked, claim_log)

    @property
    def turns(self) -> turns.Turns:
        """Queue of waiting requests."""
        return self._turns

    def submit(self, checked: request.CallerRequest, answer: sink.AnswerSink) -> None:
        """Begin to serve a request; called from a serving thread."""
        self._loop.call(self._begin, checked, answer)

    def _begin(self, checked: request.CallerRequest, answer: sink.AnswerSink) -> None:
        self._board.in_progress += 1
        task = self._loop.loop.create_task(self._serve(checked, answer))
        if checked.idempotent:
            answer.on_abandon(lambda: self._loop.call(task.cancel))

    async def _serve(self, checked: request.CallerRequest, answer: sink.AnswerSink) -> None:
        pending = pending_requests.new_pending(checked, answer, self._loop.loop)
        try:
            outcome = await self._outcome(pending)
        except asyncio.CancelledError:
            self._recorder.abandoned(checked)
            raise
        except Exception:
            _logger.exception("internal_error", extra={"fields": {"key": checked.key}})
            outcome = outcomes.Unknown("internal_error", "an internal error occurred")
        finally:
            self._board.in_progress -= 1
        self._recorder.finished(checked, outcome, pending.timing, int(pending.number))
        answer.put(sink.Finish(outcome))

    async def _outcome(self, pending: pending_requests.Pending) -> outcomes.Outcome:
        checked = pending.checked
        if not checked.idempotent:
            known = await self._known_outcome(checked)
            if known is not None:
                return known
        refused = self._quarantined(checked)
        if refused is not None:
            return refused
        first = await self._turns.wait(pending)
        if not isinstance(first, routing.Routed):
            return first
        self._board.budget.first_attempt()
        routed: routing.Routed = first
        while True:
            ended = await self._run_attempt(pending, routed)
            pending.may_have_run |= isinstance(ended, attempt.MayHaveRun | attempt.Late)
            result = await self._after(pending, routed, ended)
            if not isinstance(result, routing.Routed):
                return result
            routed = result

    async def _known_outcome(self, checked: request.CallerRequest) -> outcomes.Outcome | None:
        found = await self._claims.look_up(checked.key)
        if isinstance(found, claiming.Finished):
            return _first_outcome(checked, found)
        if isinstance(found, claiming.NotClaimed):
            return _not_claimed(found)
        if isinstance(found, claiming.Held):
            return await self._settle(checked, found.claim)
        return None

    async def _settle(
        self, checked: request.CallerRequest, claim: claim_records.Claim
    ) -> outcomes.Outcome | None:
        if claim.fingerprint != checked.fingerprint:
            return _key_reused()
        settled = await self._settlement.settle(claim, checked.deadline_s)
        if isinstance(settled, outcomes.NotRun):
            # The earlier claim was released, so this request may run now.
            return None
        return settled

    async def _run_attempt(
        self, pending: pending_requests.Pending, routed: routing.Routed
    ) -> attempt.Ended | outcomes.Outcome:
        agent = self._board.vm_by_backend_server[routed.backend_server]
        sent = (pending.checked.key, pending.number)
        ended: attempt.Ended | outcomes.Outcome | None = None
        try:
            through = self._agents.link_to(agent)
            if through is None:
                ended = attempt.ProvenNotRun("link_closed", declined=False)
                return ended
            incarnation = self._agents.incarnation_of(agent)
            if not pending.checked.idempotent:
                ended = await self._run_claimed(pending, routed, through, incarnation)
                return ended
            running = self._attempt(pending, routed, through, incarnation)
            ended = await running.run(self._patience_s(pending, routed))
            return ended
        finally:
            self._account(pending, routed, sent, ended)
            self._loop.loop.call_soon(self._turns.capacity_changed)

    def _account(
        self,
        pending: pending_requests.Pending,
        routed: routing.Routed,
        sent: tuple[ids.RequestKey, int],
        ended: attempt.Ended | outcomes.Outcome | None,
    ) -> None:
        router, now_s = self._board.router, time.monotonic()
        if isinstance(ended, attempt.ProvenNotRun) and ended.declined:
            router.declined(routed.backend_server, sent, now_s)
        elif isinstance(ended, attempt.MayHaveRun | attempt.ProvenNotRun):
            router.failed(routed.backend_server, sent, now_s)
        else:
            router.finished(routed.backend_server, sent, pending.timing.gap_s(), now_s)

    async def _run_claimed(
        self,
        pending: pending_requests.Pending,
        routed: routing.Routed,
        through: link.AgentLink,
        incarnation: ids.Incarnation,
    ) -> attempt.Ended | outcomes.Outcome:
        claim = await self._claim(pending, through.agent, incarnation)
        if not isinstance(claim, claim_records.Claim):
            return claim
        pending.number = claim.attempt
        pending.stream = answer_stream.new_answer_stream(claim.key, claim.attempt, resumable=False)
        running = self._attempt(pending, routed, through, incarnation)
        ended = await running.run(float("inf"))
        if isinstance(ended, attempt.Completed):
            done = outcomes.Done(bytes(pending.body), ended.content_type, ended.http_status)
            self._claims.settle(claim, done)
            return done
        if isinstance(ended, attempt.ProvenNotRun):
            self._claims.settle(claim, outcomes.NotRun(ended.reason, "the call did not run"))
            return ended
        settled = await self._settlement.settle(claim, pending.checked.deadline_s)
        if isinstance(settled, outcomes.Unknown):
            self._settlement.settle_later(claim)
        return settled

    async def _claim(
        self, pending: pending_requests.Pending, agent: ids.VmId, incarnation: ids.Incarnation
    ) -> claim_records.Claim | outcomes.Outcome:
        checked = pending.checked
        wanted = claims.ClaimRequest(checked.key, agent, incarnation, checked.fingerprint)
        while time.monotonic() < checked.deadline_s:
            result = await self._claims.claim(wanted)
            if isinstance(result, claiming.Won):
                return result.claim
            if isinstance(result, claiming.Finished):
                return _first_outcome(checked, result)
            if isinstance(result, claiming.NotClaimed):
                return _not_claimed(result)
            settled = await self._settle(checked, result.claim)
            if settled is not None:
                return settled
            await asyncio.sleep(RETRY_LOOK_S)
        return _late(pending)

    def _attempt(
        self,
        pending: pending_requests.Pending,
        routed: routing.Routed,
        through: link.AgentLink,
        incarnation: ids.Incarnation,
    ) -> attempt.Attempt:
        resumed = pending.stream.delivered_bytes > 0
        plan = attempt.Plan(
            checked=pending.checked,
            number=pending.number,
            incarnation=incarnation,
            delivered_text=pending.timing.text() if resumed else "",
            priority=admission.priority(pending.checked.work_class),
            isolated=False,
        )
        return attempt.Attempt(
            plan, through, pending.stream, lambda d, n: self._deliver(pending, routed, d, n)
        )

    def _patience_s(self, pending: pending_requests.Pending, routed: routing.Routed) -> float:
        """Time at which an attempt without a first token is replaced, within the budget."""
        expected_s = max(retries.HEDGE_MINIMUM_S, retries.HEDGE_FACTOR * routed.first_token_s)
        longest_s = max(expected_s, pending.checked.work_class.first_token_s)
        return time.monotonic() + longest_s

    def _deliver(
        self, pending: pending_requests.Pending, routed: routing.Routed, data: bytes, tokens: int
    ) -> None:
        now_s = time.monotonic()
        first = pending.timing.add(data, tokens, now_s)
        if first:
            sent = (pending.checked.key, pending.number)
            self._board.router.first_token(routed.backend_server, sent, now_s)
        if pending.checked.is_chat:
            pending.answer.put(sink.Piece(data))
        else:
            pending.body += data

    async def _after(
        self,
        pending: pending_requests.Pending,
        routed: routing.Routed,
        ended: attempt.Ended | outcomes.Outcome,
    ) -> routing.Routed | outcomes.Outcome:
        checked = pending.checked
        if isinstance(ended, attempt.Completed):
            if self._board.quarantine.completed(checked.fingerprint, time.monotonic()):
                self._board.crash_version += 1
            return outcomes.Done(bytes(pending.body), ended.content_type, ended.http_status)
        if isinstance(ended, attempt.Rejected):
            return outcomes.Refused("backend_rejected", f"the backend said {ended.reason}")
        if isinstance(ended, attempt.Late):
            return _late(pending)
        if not isinstance(ended, attempt.ProvenNotRun | attempt.MayHaveRun):
            return ended
        if len(pending.body) > 0 and not checked.is_chat:
            pending.body.clear()
        return await self._retry(pending, routed, ended)

    async def _retry(
        self,
        pending: pending_requests.Pending,
        routed: routing.Routed,
        ended: attempt.ProvenNotRun | attempt.MayHaveRun,
    ) -> routing.Routed | outcomes.Outcome:
        checked = pending.checked
        declined = isinstance(ended, attempt.ProvenNotRun) and ended.declined
        pending.declines += declined
        ending = retries.Ending.FAILED
        if isinstance(ended, attempt.ProvenNotRun):
            ending = retries.Ending.DECLINED if declined else retries.Ending.NOT_RUN
        allowed = await self._allowed(pending, routed, ending)
        logs.event(
            _logger,
            "attempt_ended",
            key=checked.key,
            attempt=pending.number,
            reason=ended.reason,
            retry=isinstance(allowed, retries.Retry),
        )
        if isinstance(ended, attempt.MayHaveRun) and ended.broken:
            # The agent is about to find out whether this was a crash and of which requests.
            await asyncio.sleep(CRASH_NEWS_WAIT_S)
        refused = self._quarantined(checked)
        if refused is not None:
            return refused
        if isinstance(allowed, retries.GiveUp):
            return _given_up(pending, ended.reason, allowed)
        return await self._route_again(pending, routed)

    async def _allowed(
        self,
        pending: pending_requests.Pending,
        routed: routing.Routed,
        ending: retries.Ending,
    ) -> retries.Retry | retries.GiveUp:
        while True:
            allowed = self._board.budget.after(
                ending,
                idempotent=pending.checked.idempotent,
                declines=pending.declines,
                deadline_s=pending.checked.deadline_s,
                expected_s=routed.first_token_s,
                now_s=time.monotonic(),
            )
            if not isinstance(allowed, retries.Later):
                return allowed
            await asyncio.sleep(max(0.0, allowed.look_again_s - time.monotonic()))

    def _quarantined(self, checked: request.CallerRequest) -> outcomes.Refused | None:
        decision = self._board.quarantine.decide(checked.fingerprint, time.monotonic())
        return decision.outcome() if isinstance(decision, quarantine.Refuse) else None

    async def _route_again(
        self, pending: pending_requests.Pending, routed: routing.Routed
    ) -> routing.Routed | outcomes.Outcome:
        pending.number = ids.Attempt(pending.number + 1)
        resumed = pending.stream.resume(pending.number) if pending.checked.is_chat else None
        if isinstance(resumed, answer_stream.NotResumable):
            return outcomes.Unknown("not_resumable", "the answer cannot be continued")
        if not pending.checked.is_chat:
            pending.stream = answer_stream.new_answer_stream(
                pending.checked.key, pending.number, resumable=False
            )
        tried = pending.wanted.tried | {routed.backend_server}
        pending.wanted = dataclasses.replace(pending.wanted, tried=tried)
        model = pending.wanted.model
        self._board.retrying_by_model[model] += 1
        try:
            return await self._choose_again(pending)
        finally:
            self._board.retrying_by_model[model] -= 1

    async def _choose_again(
        self, pending: pending_requests.Pending
    ) -> routing.Routed | outcomes.Outcome:
        while True:
            now_s = time.monotonic()
            decision = self._board.router.choose(pending.wanted, now_s)
            if isinstance(decision, routing.Routed) and self._can_continue(pending, decision):
                self._turns.count_sent(pending, decision, now_s)
                return decision
            if now_s >= pending.checked.deadline_s:
                return _late(pending)
            if isinstance(decision, routing.NoCapacity) and pending.wanted.tried:
                # All servers were tried once; what failed before may serve again by now.
                pending.wanted = dataclasses.replace(pending.wanted, tried=frozenset())
            self._agents.demand_rose()
            await asyncio.sleep(RETRY_LOOK_S)

    def _can_continue(self, pending: pending_requests.Pending, routed: routing.Routed) -> bool:
        if pending.stream.delivered_bytes == 0:
            return True
        return self._agents.can_resume(self._board.vm_by_backend_server[routed.backend_server])


def _key_reused() -> outcomes.Refused:
    message = "this Idempotency-Key was used for another request"
    return outcomes.Refused("key_reused", message, http.HTTPStatus.UNPROCESSABLE_ENTITY)


def _not_claimed(result: claiming.NotClaimed) -> outcomes.NotRun:
    # Without the log nobody can tell what became of an earlier submission of the same key.
    message = "this submission did not run; ask by key about an earlier one with the same key"
    return outcomes.NotRun(result.code, message, 1.0)


def _first_outcome(
    checked: request.CallerRequest, found: claiming.Finished
) -> outcomes.Done | outcomes.Unknown | outcomes.Refused:
    same = found.claim.fingerprint == checked.fingerprint
    return found.outcome if same else _key_reused()


def _late(pending: pending_requests.Pending) -> outcomes.NotRun | outcomes.Unknown:
    if pending.may_have_run:
        return outcomes.Unknown("deadline", "no whole answer before the deadline")
    return outcomes.NotRun("deadline", "no backend server ran it before the deadline", 1.0)


def _given_up(
    pending: pending_requests.Pending, reason: str, why: retries.GiveUp
) -> outcomes.Outcome:
    code = f"{reason}_{why.reason}"
    if pending.may_have_run:
        return outcomes.Unknown(code, "it may have run without a whole answer", 1.0)
    return outcomes.NotRun(code, "no backend server ran it", 1.0)
