"""Queue of an entry, in which requests wait until a backend server has capacity for them."""

from __future__ import annotations

import asyncio
import http
import logging
import time

from gentianpaddle_core import admission, blackboard, ids, outcomes, routing
from gentianpaddle_daemon import logs, loop_thread
from gentianpaddle_daemon.entry import active_request, agents

RETRY_PERIOD_S = 0.05
"""Time after which routing is tried again when no backend server is available."""

_logger = logging.getLogger("gentianpaddle.entry.turns")


class RequestQueue:
    """Admits waiting requests and routes them; may be used on the event loop only."""

    def __init__(
        self,
        board: blackboard.EntryBlackboard,
        links: agents.AgentLinks,
        loop: loop_thread.LoopThread,
    ) -> None:
        self._board = board
        self._links = links
        self._loop = loop
        self._waiting_by_ticket: dict[int, active_request.ActiveRequest] = {}
        self._routing_timer: asyncio.TimerHandle | None = None

    def capacity_changed(self) -> None:
        """Route the waiting requests for which there is now capacity."""
        for model in self._board.admission.models():
            self._route_waiting(model)

    def expire(self) -> None:
        """Refuse waiting requests whose deadline has passed."""
        for ticket in self._board.admission.expire(time.monotonic()):
            retry_after_s = self._board.admission.retry_after_s(ticket, time.monotonic())
            message = "no capacity before the deadline"
            self._resolve(ticket, outcomes.NotRun("deadline", message, retry_after_s))

    async def wait(
        self, active: active_request.ActiveRequest
    ) -> routing.Routed | outcomes.Refused | outcomes.NotRun:
        """Wait until a backend server has capacity for a request.

        Args:
            active: The request.

        Returns:
            The routing decision, or why the request is not sent.
        """
        caller_request = active.caller_request
        now_s = time.monotonic()
        cost = (
            float(caller_request.prompt_tokens + caller_request.answer_tokens)
            if caller_request.is_chat
            else 1.0
        )
        queue = self._board.admission
        offer_result = queue.offer(
            caller_request.target,
            caller_request.organisation,
            caller_request.work_class,
            cost,
            now_s,
        )
        if isinstance(offer_result, admission.Refused):
            return _admission_refusal(offer_result)
        if offer_result.displaced is not None:
            self._resolve(
                offer_result.displaced.ticket, _admission_refusal(offer_result.displaced.refused)
            )
        self._waiting_by_ticket[offer_result.ticket.number] = active
        try:
            self._route_waiting(caller_request.target)
            return await active.routed
        finally:
            self._waiting_by_ticket.pop(offer_result.ticket.number, None)
            queue.cancel(offer_result.ticket, time.monotonic())

    def _route_waiting(self, model: ids.ModelName) -> None:
        now_s = time.monotonic()
        skipped_classes: frozenset[ids.ClassName] = frozenset()
        while True:
            ticket = self._board.admission.next_ready(model, now_s, skipped_classes)
            if ticket is None:
                return
            active = self._waiting_by_ticket[ticket.number]
            decision = self._board.router.choose(active.routing_request, now_s)
            if isinstance(decision, routing.Wait):
                self._links.report_demand()
                self._schedule_routing(decision.until_s)
                # The capacity that is free now may still meet the targets of other classes.
                skipped_classes |= {ticket.class_of_work.name}
                continue
            if isinstance(decision, routing.NoCapacity):
                if now_s < ticket.deadline_s and decision.reason is routing.Reason.NO_SERVER:
                    self._schedule_routing(now_s + RETRY_PERIOD_S)
                    return
                self._board.admission.cancel(ticket, now_s)
                self._log_refusal(active, decision)
                self._resolve(ticket, _no_capacity(decision))
                continue
            self._board.admission.take(ticket, now_s)
            self.record_sent(active, decision, now_s)
            self._resolve(ticket, decision)

    def _schedule_routing(self, at_s: float) -> None:
        if self._routing_timer is not None:
            self._routing_timer.cancel()
        delay_s = max(0.001, at_s - time.monotonic())
        self._routing_timer = self._loop.loop.call_later(delay_s, self.capacity_changed)

    def _resolve(
        self,
        ticket: admission.Ticket,
        result: routing.Routed | outcomes.Refused | outcomes.NotRun,
    ) -> None:
        active = self._waiting_by_ticket.get(ticket.number)
        if active is not None and not active.routed.done():
            active.routed.set_result(result)

    def record_sent(
        self, active: active_request.ActiveRequest, routed: routing.Routed, now_s: float
    ) -> None:
        """Record at the router an attempt that is about to be sent, and log the routing decision.

        Args:
            active: The request.
            routed: The routing decision.
            now_s: Current monotonic time.
        """
        self._board.router.record_sent(
            routed.backend_server,
            (active.caller_request.key, active.attempt_number),
            active.routing_request,
            routed.uncached_tokens,
            now_s,
        )
        caller_request = active.caller_request
        logs.event(
            _logger,
            "routed",
            key=caller_request.key,
            attempt=active.attempt_number,
            class_name=caller_request.work_class.name,
            organisation=caller_request.organisation,
            backend_server=routed.backend_server,
            reason=routed.reason,
            candidates=routed.candidates,
            predicted_first_token_s=routed.first_token_s,
            predicted_gap_s=routed.gap_s,
        )

    def _log_refusal(
        self, active: active_request.ActiveRequest, decision: routing.NoCapacity
    ) -> None:
        logs.event(
            _logger,
            "not_routed",
            key=active.caller_request.key,
            class_name=active.caller_request.work_class.name,
            organisation=active.caller_request.organisation,
            reason=decision.reason,
            retry_after_s=decision.retry_after_s,
        )


def _admission_refusal(refused: admission.Refused) -> outcomes.Refused:
    return outcomes.Refused(
        f"admission_{refused.reason}",
        "not enough capacity for this class now",
        http.HTTPStatus.TOO_MANY_REQUESTS,
        refused.retry_after_s,
    )


def _no_capacity(decision: routing.NoCapacity) -> outcomes.NotRun:
    return outcomes.NotRun(
        f"no_capacity_{decision.reason}", "no backend server can serve it", decision.retry_after_s
    )
