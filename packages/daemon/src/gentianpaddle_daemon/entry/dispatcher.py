"""Serves requests of callers: admission, claims, routing, attempts and retries."""

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
    active_request,
    agents,
    attempt,
    claiming,
    link,
    recording,
    request,
    request_queue,
    settlement,
    sink,
)

RETRY_PERIOD_S = 0.05
"""Time between two tries to claim a key or to find a backend server for a retry."""
CRASH_REPORT_WAIT_S = 0.3
"""Time for the agent to report a crash before a request is retried after a broken connection."""

_logger = logging.getLogger("gentianpaddle.entry.dispatcher")


class Dispatcher:
    """Serves all requests of one entry, each in a task of the event loop."""

    def __init__(
        self,
        board: blackboard.EntryBlackboard,
        links: agents.AgentLinks,
        claim_log: claiming.Claims,
        recorder: recording.RequestRecorder,
        loop: loop_thread.LoopThread,
    ) -> None:
        self._board = board
        self._links = links
        self._claims = claim_log
        self._recorder = recorder
        self._loop = loop
        self._queue = request_queue.RequestQueue(board, links, loop)
        self._settlement = settlement.Settlement(links, claim_log)

    @property
    def queue(self) -> request_queue.RequestQueue:
        """Queue of requests that wait for a backend server."""
        return self._queue

    def submit(self, caller_request: request.CallerRequest, answer_sink: sink.AnswerSink) -> None:
        """Start serving a request; called from a serving thread."""
        self._loop.call_soon(self._start_serving, caller_request, answer_sink)

    def _start_serving(
        self, caller_request: request.CallerRequest, answer_sink: sink.AnswerSink
    ) -> None:
        self._board.in_progress += 1
        task = self._loop.loop.create_task(self._serve(caller_request, answer_sink))
        if caller_request.idempotent:
            answer_sink.on_abandon(lambda: self._loop.call_soon(task.cancel))

    async def _serve(
        self, caller_request: request.CallerRequest, answer_sink: sink.AnswerSink
    ) -> None:
        active = active_request.new_active_request(caller_request, answer_sink, self._loop.loop)
        try:
            outcome = await self._execute(active)
        except asyncio.CancelledError:
            self._recorder.abandoned(caller_request)
            raise
        except Exception:
            _logger.exception("internal_error", extra={"fields": {"key": caller_request.key}})
            outcome = outcomes.Unknown("internal_error", "an internal error occurred")
        finally:
            self._board.in_progress -= 1
        self._recorder.finished(
            caller_request, outcome, active.token_times, int(active.attempt_number)
        )
        answer_sink.put(sink.Finish(outcome))

    async def _execute(self, active: active_request.ActiveRequest) -> outcomes.Outcome:
        caller_request = active.caller_request
        if not caller_request.idempotent:
            known_outcome = await self._look_up_outcome(caller_request)
            if known_outcome is not None:
                return known_outcome
        refused = self._quarantine_refusal(caller_request)
        if refused is not None:
            return refused
        first_decision = await self._queue.wait(active)
        if not isinstance(first_decision, routing.Routed):
            return first_decision
        self._board.budget.add_first_attempt()
        routed: routing.Routed = first_decision
        while True:
            attempt_result = await self._run_attempt(active, routed)
            active.may_have_run |= isinstance(
                attempt_result, attempt.MayHaveRun | attempt.DeadlineExceeded
            )
            result = await self._handle_result(active, routed, attempt_result)
            if not isinstance(result, routing.Routed):
                return result
            routed = result

    async def _look_up_outcome(
        self, caller_request: request.CallerRequest
    ) -> outcomes.Outcome | None:
        found = await self._claims.look_up(caller_request.key)
        if isinstance(found, claiming.Finished):
            return _recorded_outcome(caller_request, found)
        if isinstance(found, claiming.ClaimFailed):
            return _claim_failed(found)
        if isinstance(found, claiming.Held):
            return await self._determine_earlier_outcome(caller_request, found.claim)
        return None

    async def _determine_earlier_outcome(
        self, caller_request: request.CallerRequest, claim: claim_records.Claim
    ) -> outcomes.Outcome | None:
        """Determine the outcome of an earlier submission whose claim holds the key.

        Returns:
            The outcome for this submission, or None if the earlier claim was released.
        """
        if claim.fingerprint != caller_request.fingerprint:
            return _key_reused()
        settled = await self._settlement.determine_outcome(claim, caller_request.deadline_s)
        if isinstance(settled, outcomes.NotRun):
            # The earlier claim has been released, so this submission may run.
            return None
        return settled

    async def _run_attempt(
        self, active: active_request.ActiveRequest, routed: routing.Routed
    ) -> attempt.AttemptResult | outcomes.Outcome:
        agent = self._board.vm_by_backend_server[routed.backend_server]
        attempt_id = (active.caller_request.key, active.attempt_number)
        attempt_result: attempt.AttemptResult | outcomes.Outcome | None = None
        try:
            agent_link = self._links.link_to(agent)
            if agent_link is None:
                attempt_result = attempt.ProvenNotRun("link_closed", declined=False)
                return attempt_result
            incarnation = self._links.incarnation_of(agent)
            if not active.caller_request.idempotent:
                attempt_result = await self._run_claimed(active, routed, agent_link, incarnation)
                return attempt_result
            current_attempt = self._new_attempt(active, routed, agent_link, incarnation)
            attempt_result = await current_attempt.run(self._first_token_deadline_s(active, routed))
            return attempt_result
        finally:
            self._report_to_router(active, routed, attempt_id, attempt_result)
            self._loop.loop.call_soon(self._queue.capacity_changed)

    def _report_to_router(
        self,
        active: active_request.ActiveRequest,
        routed: routing.Routed,
        attempt_id: tuple[ids.RequestKey, int],
        attempt_result: attempt.AttemptResult | outcomes.Outcome | None,
    ) -> None:
        router, now_s = self._board.router, time.monotonic()
        if isinstance(attempt_result, attempt.ProvenNotRun) and attempt_result.declined:
            router.record_declined(routed.backend_server, attempt_id, now_s)
        elif isinstance(attempt_result, attempt.MayHaveRun | attempt.ProvenNotRun):
            router.record_failed(routed.backend_server, attempt_id, now_s)
        else:
            router.record_finished(
                routed.backend_server, attempt_id, active.token_times.gap_s(), now_s
            )

    async def _run_claimed(
        self,
        active: active_request.ActiveRequest,
        routed: routing.Routed,
        agent_link: link.AgentLink,
        incarnation: ids.Incarnation,
    ) -> attempt.AttemptResult | outcomes.Outcome:
        claim = await self._claim(active, agent_link.agent, incarnation)
        if not isinstance(claim, claim_records.Claim):
            return claim
        active.attempt_number = claim.attempt
        active.stream = answer_stream.new_answer_stream(claim.key, claim.attempt, resumable=False)
        current_attempt = self._new_attempt(active, routed, agent_link, incarnation)
        # No first-token deadline: a second attempt must not start while this one may be running.
        attempt_result = await current_attempt.run(float("inf"))
        if isinstance(attempt_result, attempt.Completed):
            done = outcomes.Done(
                bytes(active.body), attempt_result.content_type, attempt_result.http_status
            )
            # If the outcome cannot be queued, the claim keeps the key, and a later submission or
            # look-up queries the agent for the outcome.
            self._claims.queue_outcome(claim, done)
            return done
        if isinstance(attempt_result, attempt.ProvenNotRun):
            # If the release cannot be queued, the next claim of the key queries the agent.
            self._claims.queue_outcome(
                claim, outcomes.NotRun(attempt_result.reason, "the call did not run")
            )
            return attempt_result
        settled = await self._settlement.determine_outcome(claim, active.caller_request.deadline_s)
        if isinstance(settled, outcomes.Unknown):
            self._settlement.settle_in_background(claim)
        return settled

    async def _claim(
        self, active: active_request.ActiveRequest, agent: ids.VmId, incarnation: ids.Incarnation
    ) -> claim_records.Claim | outcomes.Outcome:
        caller_request = active.caller_request
        claim_request = claims.ClaimRequest(
            caller_request.key, agent, incarnation, caller_request.fingerprint
        )
        while time.monotonic() < caller_request.deadline_s:
            result = await self._claims.claim(claim_request)
            if isinstance(result, claiming.Won):
                return result.claim
            if isinstance(result, claiming.Finished):
                return _recorded_outcome(caller_request, result)
            if isinstance(result, claiming.ClaimFailed):
                return _claim_failed(result)
            settled = await self._determine_earlier_outcome(caller_request, result.claim)
            if settled is not None:
                return settled
            await asyncio.sleep(RETRY_PERIOD_S)
        return _deadline_outcome(active)

    def _new_attempt(
        self,
        active: active_request.ActiveRequest,
        routed: routing.Routed,
        agent_link: link.AgentLink,
        incarnation: ids.Incarnation,
    ) -> attempt.Attempt:
        resumed = active.stream.delivered_bytes > 0
        spec = attempt.AttemptSpec(
            caller_request=active.caller_request,
            attempt_number=active.attempt_number,
            incarnation=incarnation,
            delivered_text=active.token_times.text() if resumed else "",
            priority=admission.priority(active.caller_request.work_class),
            isolated=False,
        )
        return attempt.Attempt(
            spec,
            agent_link,
            active.stream,
            lambda data, tokens: self._deliver(active, routed, data, tokens),
        )

    def _first_token_deadline_s(
        self, active: active_request.ActiveRequest, routed: routing.Routed
    ) -> float:
        """Return the monotonic time at which an attempt without a first token is abandoned.

        Another attempt may then follow if the retry budget allows it.
        """
        expected_s = max(retries.HEDGE_MINIMUM_S, retries.HEDGE_FACTOR * routed.first_token_s)
        timeout_s = max(expected_s, active.caller_request.work_class.first_token_s)
        return time.monotonic() + timeout_s

    def _deliver(
        self, active: active_request.ActiveRequest, routed: routing.Routed, data: bytes, tokens: int
    ) -> None:
        now_s = time.monotonic()
        first = active.token_times.add(data, tokens, now_s)
        if first:
            attempt_id = (active.caller_request.key, active.attempt_number)
            self._board.router.record_first_token(routed.backend_server, attempt_id, now_s)
        if active.caller_request.is_chat:
            active.answer_sink.put(sink.Piece(data))
        else:
            active.body += data

    async def _handle_result(
        self,
        active: active_request.ActiveRequest,
        routed: routing.Routed,
        attempt_result: attempt.AttemptResult | outcomes.Outcome,
    ) -> routing.Routed | outcomes.Outcome:
        caller_request = active.caller_request
        if isinstance(attempt_result, attempt.Completed):
            if self._board.quarantine.record_completion(
                caller_request.fingerprint, time.monotonic()
            ):
                self._board.quarantine_version += 1
            return outcomes.Done(
                bytes(active.body), attempt_result.content_type, attempt_result.http_status
            )
        if isinstance(attempt_result, attempt.Rejected):
            return outcomes.Refused(
                "backend_rejected", f"the backend responded with {attempt_result.reason}"
            )
        if isinstance(attempt_result, attempt.DeadlineExceeded):
            return _deadline_outcome(active)
        if not isinstance(attempt_result, attempt.ProvenNotRun | attempt.MayHaveRun):
            return attempt_result
        if len(active.body) > 0 and not caller_request.is_chat:
            active.body.clear()
        return await self._retry(active, routed, attempt_result)

    async def _retry(
        self,
        active: active_request.ActiveRequest,
        routed: routing.Routed,
        attempt_result: attempt.ProvenNotRun | attempt.MayHaveRun,
    ) -> routing.Routed | outcomes.Outcome:
        caller_request = active.caller_request
        declined = isinstance(attempt_result, attempt.ProvenNotRun) and attempt_result.declined
        active.declines += declined
        failure_kind = retries.FailedAttemptKind.FAILED
        if isinstance(attempt_result, attempt.ProvenNotRun):
            failure_kind = (
                retries.FailedAttemptKind.DECLINED
                if declined
                else retries.FailedAttemptKind.NOT_RUN
            )
        retry_decision = await self._decide_retry(active, routed, failure_kind)
        logs.event(
            _logger,
            "attempt_ended",
            key=caller_request.key,
            attempt=active.attempt_number,
            reason=attempt_result.reason,
            retry=isinstance(retry_decision, retries.Retry),
        )
        if isinstance(attempt_result, attempt.MayHaveRun) and attempt_result.connection_broken:
            # The agent reports shortly whether its engine crashed and which requests are suspects.
            await asyncio.sleep(CRASH_REPORT_WAIT_S)
        refused = self._quarantine_refusal(caller_request)
        if refused is not None:
            return refused
        if isinstance(retry_decision, retries.GiveUp):
            return _retries_exhausted(active, attempt_result.reason, retry_decision)
        return await self._reroute(active, routed)

    async def _decide_retry(
        self,
        active: active_request.ActiveRequest,
        routed: routing.Routed,
        failure_kind: retries.FailedAttemptKind,
    ) -> retries.Retry | retries.GiveUp:
        while True:
            retry_decision = self._board.budget.decide_retry(
                failure_kind,
                idempotent=active.caller_request.idempotent,
                declines=active.declines,
                deadline_s=active.caller_request.deadline_s,
                expected_s=routed.first_token_s,
                now_s=time.monotonic(),
            )
            if not isinstance(retry_decision, retries.RetryLater):
                return retry_decision
            await asyncio.sleep(max(0.0, retry_decision.retry_at_s - time.monotonic()))

    def _quarantine_refusal(self, caller_request: request.CallerRequest) -> outcomes.Refused | None:
        decision = self._board.quarantine.decide(caller_request.fingerprint, time.monotonic())
        return decision.outcome() if isinstance(decision, quarantine.Refuse) else None

    async def _reroute(
        self, active: active_request.ActiveRequest, routed: routing.Routed
    ) -> routing.Routed | outcomes.Outcome:
        active.attempt_number = ids.Attempt(active.attempt_number + 1)
        resumed = (
            active.stream.resume(active.attempt_number) if active.caller_request.is_chat else None
        )
        if isinstance(resumed, answer_stream.NotResumable):
            return outcomes.Unknown("not_resumable", "the answer cannot be continued")
        if not active.caller_request.is_chat:
            active.stream = answer_stream.new_answer_stream(
                active.caller_request.key, active.attempt_number, resumable=False
            )
        tried = active.routing_request.tried | {routed.backend_server}
        active.routing_request = dataclasses.replace(active.routing_request, tried=tried)
        model = active.routing_request.model
        self._board.retrying_by_model[model] += 1
        try:
            return await self._choose_server(active)
        finally:
            self._board.retrying_by_model[model] -= 1

    async def _choose_server(
        self, active: active_request.ActiveRequest
    ) -> routing.Routed | outcomes.Outcome:
        while True:
            now_s = time.monotonic()
            decision = self._board.router.choose(active.routing_request, now_s)
            if isinstance(decision, routing.Routed) and self._can_resume(active, decision):
                self._queue.record_sent(active, decision, now_s)
                return decision
            if now_s >= active.caller_request.deadline_s:
                return _deadline_outcome(active)
            if isinstance(decision, routing.NoCapacity) and active.routing_request.tried:
                # Every server was tried once; those that failed may have recovered.
                active.routing_request = dataclasses.replace(
                    active.routing_request, tried=frozenset()
                )
            self._links.report_demand()
            await asyncio.sleep(RETRY_PERIOD_S)

    def _can_resume(self, active: active_request.ActiveRequest, routed: routing.Routed) -> bool:
        if active.stream.delivered_bytes == 0:
            return True
        return self._links.can_resume(self._board.vm_by_backend_server[routed.backend_server])


def _key_reused() -> outcomes.Refused:
    message = "this Idempotency-Key was used for another request"
    return outcomes.Refused("key_reused", message, http.HTTPStatus.UNPROCESSABLE_ENTITY)


def _claim_failed(result: claiming.ClaimFailed) -> outcomes.NotRun:
    # The outcome of an earlier submission with this key is unknown while the log is unavailable.
    message = "this submission did not run; an earlier one with the same key can be queried by key"
    return outcomes.NotRun(result.code, message, 1.0)


def _recorded_outcome(
    caller_request: request.CallerRequest, found: claiming.Finished
) -> outcomes.Done | outcomes.Unknown | outcomes.Refused:
    same = found.claim.fingerprint == caller_request.fingerprint
    return found.outcome if same else _key_reused()


def _deadline_outcome(active: active_request.ActiveRequest) -> outcomes.NotRun | outcomes.Unknown:
    if active.may_have_run:
        return outcomes.Unknown("deadline", "no complete answer before the deadline")
    return outcomes.NotRun("deadline", "no backend server ran the request before the deadline", 1.0)


def _retries_exhausted(
    active: active_request.ActiveRequest, reason: str, give_up: retries.GiveUp
) -> outcomes.Outcome:
    code = f"{reason}_{give_up.reason}"
    if active.may_have_run:
        return outcomes.Unknown(code, "the request may have run without a complete answer", 1.0)
    return outcomes.NotRun(code, "no backend server ran the request", 1.0)
