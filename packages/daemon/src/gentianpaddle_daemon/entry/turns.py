"""Queue of an entry: requests wait here until a backend server has room for them."""

from __future__ import annotations

import asyncio
import http
import logging
import time

from gentianpaddle_core import admission, blackboard, ids, outcomes, routing
from gentianpaddle_daemon import logs, loop_thread
from gentianpaddle_daemon.entry import agents
from gentianpaddle_daemon.entry import pending as pending_requests

RETRY_LOOK_S = 0.05

_logger = logging.getLogger("gentianpaddle.entry.turns")


class Turns:
    """Admission queue and router of one entry, on its event loop."""

    def __init__(
        self,
        board: blackboard.EntryBlackboard,
        linked: agents.Agents,
        loop: loop_thread.LoopThread,
    ) -> None:
        self._board = board
        self._agents = linked
        self._loop = loop
        self._pending_by_ticket: dict[int, pending_requests.Pending] = {}
        self._pump_handle: asyncio.TimerHandle | None = None

    def capacity_changed(self) -> None:
        """Give waiting requests their turn."""
        for model in self._board.admission.models():
            self._pump(model)

    def expire(self) -> None:
        """Refuse requests whose deadline passed while they waited."""
        for ticket in self._board.admission.expire(time.monotonic()):
            retry_after_s = self._board.admission.retry_after_s(ticket, time.monotonic())
            message = "no capacity before the deadline"
            self._resolve(ticket, outcomes.NotRun("deadline", message, retry_after_s))

    async def wait(
        self, pending: pending_requests.Pending
    ) -> routing.Routed | outcomes.Refused | outcomes.NotRun:
        """Wait until a backend server has room for a request.

        Args:
            pending: The request.

        Returns:
            Where to send it, or why it is not sent.
        """
        checked = pending.checked
        now_s = time.monotonic()
        cost = float(checked.prompt_tokens + checked.answer_tokens) if checked.is_chat else 1.0
        queue = self._board.admission
        offered = queue.offer(checked.target, checked.organisation, checked.work_class, cost, now_s)
        if isinstance(offered, admission.Refused):
            return _turned_away(offered)
        if offered.displaced is not None:
            self._resolve(offered.displaced.ticket, _turned_away(offered.displaced.refused))
        self._pending_by_ticket[offered.ticket.number] = pending
        try:
            self._pump(checked.target)
            return await pending.routed
        finally:
            self._pending_by_ticket.pop(offered.ticket.number, None)
            queue.cancel(offered.ticket, time.monotonic())

    def _pump(self, model: ids.ModelName) -> None:
        now_s = time.monotonic()
        passed_over: frozenset[ids.ClassName] = frozenset()
        while True:
            ticket = self._board.admission.next_ready(model, now_s, passed_over)
            if ticket is None:
                return
            pending = self._pending_by_ticket[ticket.number]
            decision = self._board.router.choose(pending.wanted, now_s)
            if isinstance(decision, routing.Wait):
                self._agents.demand_rose()
                self._pump_later(decision.until_s)
                # What is free now can still be good enough for the other classes.
                passed_over |= {ticket.class_of_work.name}
                continue
            if isinstance(decision, routing.NoCapacity):
                if now_s < ticket.deadline_s and decision.reason is routing.Reason.NO_SERVER:
                    self._pump_later(now_s + RETRY_LOOK_S)
                    return
                self._board.admission.cancel(ticket, now_s)
                self._log_refusal(pending, decision)
                self._resolve(ticket, _no_capacity(decision))
                continue
            self._board.admission.take(ticket, now_s)
            self.count_sent(pending, decision, now_s)
            self._resolve(ticket, decision)

    def _pump_later(self, at_s: float) -> None:
        if self._pump_handle is not None:
            self._pump_handle.cancel()
        delay_s = max(0.001, at_s - time.monotonic())
        self._pump_handle = self._loop.loop.call_later(delay_s, self.capacity_changed)

    def _resolve(
        self,
        ticket: admission.Ticket,
        result: routing.Routed | outcomes.Refused | outcomes.NotRun,
    ) -> None:
        pending = self._pending_by_ticket.get(ticket.number)
        if pending is not None and not pending.routed.done():
            pending.routed.set_result(result)

    def count_sent(
        self, pending: pending_requests.Pending, routed: routing.Routed, now_s: float
    ) -> None:
        """Count an attempt that is about to be sent, and log the decision.

        Args:
            pending: The request.
            routed: The decision.
            now_s: Monotonic time.
        """
        self._board.router.sent(
            routed.backend_server,
            (pending.checked.key, pending.number),
            pending.wanted,
            routed.uncached_tokens,
            now_s,
        )
        checked = pending.checked
        logs.event(
            _logger,
            "routed",
            key=checked.key,
            attempt=pending.number,
            class_name=checked.work_class.name,
            organisation=checked.organisation,
            backend_server=routed.backend_server,
            reason=routed.reason,
            candidates=routed.candidates,
            predicted_first_token_s=routed.first_token_s,
            predicted_gap_s=routed.gap_s,
        )

    def _log_refusal(self, pending: pending_requests.Pending, decision: routing.NoCapacity) -> None:
        logs.event(
            _logger,
            "not_routed",
            key=pending.checked.key,
            class_name=pending.checked.work_class.name,
            organisation=pending.checked.organisation,
            reason=decision.reason,
            retry_after_s=decision.retry_after_s,
        )


def _turned_away(refused: admission.Refused) -> outcomes.Refused:
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
