"""Serves callers: route, organisation, server, answer."""

from __future__ import annotations

import asyncio
import logging
import random

from gentianpaddle_core import ids
from gentianpaddle_core.serving import (
    attempts,
    event_stream,
    members,
    placement,
    rates,
    routes,
    servers,
)
from gentianpaddle_gateway import (
    attempt,
    beliefs,
    http_server,
    log,
    meters,
    service_desk,
)
from gentianpaddle_platform import headers, settings

_logger = logging.getLogger("gentianpaddle.requests")

UNCERTAIN_RETRY_S = 0.5
"""When a caller may come back to a front that does not know enough; news takes a fraction of it."""

UNKNOWN_DEADLINE_S = 30.0
"""Deadline of a request that names none."""


class Forwarder:
    """Serves the requests of callers at one front.

    Args:
        known: What this front believes.
        load: Load of the servers.
        process_settings: Settings of this process.
        view: VMs of the system.
        process_meters: Counters.
    """

    def __init__(
        self,
        known: beliefs.Beliefs,
        load: placement.Placement,
        process_settings: settings.Settings,
        view: members.MemberView,
        process_meters: meters.Meters,
    ) -> None:
        self._known = known
        self._load = load
        self._bounds = process_settings.bounds
        self._processes = view.sharers
        self._meters = process_meters
        self._cold = rates.ColdLimits(
            process_settings.bounds.cold_factor,
            process_settings.bounds.cold_slack,
            view.share_rank,
        )
        self._desk_by_service: dict[routes.ServiceName, service_desk.ServiceDesk] = {}
        self._budget_by_service: dict[routes.ServiceName, rates.RepeatBudget] = {}

    def limits(self) -> routes.ClientLimits:
        """Return the limits of callers in force."""
        table = self._known.table
        return table.limits if table is not None else routes.DEFAULT_CLIENT_LIMITS

    def set_bounds(self, bounds: settings.Bounds) -> None:
        """Take changed bounds.

        Args:
            bounds: Bounds of the settings file.
        """
        if bounds != self._bounds:
            self._bounds = bounds
            self._budget_by_service.clear()
            self._cold.set_bounds(bounds.cold_factor, bounds.cold_slack)

    def pump(self) -> None:
        """Start waiting requests that can start now."""
        for desk in self._desk_by_service.values():
            desk.pump()

    def waiting(self) -> int:
        """Return how many requests wait for a server."""
        return sum(desk.waiting for desk in self._desk_by_service.values())

    async def handle(self, request: http_server.Request, responder: http_server.Responder) -> None:
        """Serve one request.

        Args:
            request: The request.
            responder: Takes the answer.
        """
        head = headers.decode_request(request.headers)
        table = self._known.table
        if table is None:
            await self._refuse(head, responder, "no_configuration", UNCERTAIN_RETRY_S)
            return
        route = table.match(head.host, request.path)
        if route is None:
            await self._deny(head, responder, 404, "unknown_route", table)
            return
        organisation = None
        if table.keys_required and not route.public:
            found = table.organisation_by_key.get(head.key or "")
            if found is None:
                await self._deny(head, responder, 401, "unknown_key", table)
                return
            organisation = found.id
        service = table.service_by_name.get(route.service_for(random.random()))
        if service is None:
            await self._refuse(head, responder, "unknown_service", UNCERTAIN_RETRY_S)
            return
        limit_s = min(route.timeout_s, head.deadline_s or UNKNOWN_DEADLINE_S)
        exchange = attempt.Exchange(
            request=request,
            head=head,
            route=route,
            service=service,
            organisation=organisation,
            end_s=request.began_s + limit_s,
            reader=event_stream.EventReader(head.last_event_id),
        )
        try:
            await self._serve(exchange, responder)
        except asyncio.CancelledError:
            self._meters.request(route.name, "caller_left")
            log.event(
                _logger,
                "caller_left",
                request=head.request_id,
                route=route.name,
                sends=exchange.history.sends,
                after_ms=(asyncio.get_running_loop().time() - request.began_s) * 1000.0,
            )
            raise

    async def _serve(self, exchange: attempt.Exchange, responder: http_server.Responder) -> None:
        service = exchange.service
        desk = self._desk(service.name)
        self._budget(service.name).first(asyncio.get_running_loop().time())
        tried: list[ids.BackendServerId] = []
        last: attempt.Outcome | None = None
        while True:
            chosen = await desk.acquire(
                exchange.route, tried, exchange.request.began_s, exchange.end_s
            )
            if isinstance(chosen, service_desk.Refused):
                await self._no_server(exchange, responder, chosen, last)
                return
            began_s = asyncio.get_running_loop().time()
            outcome: attempt.Outcome | None = None
            try:
                outcome = await attempt.run(exchange, chosen, responder)
            finally:
                took_s = asyncio.get_running_loop().time() - began_s
                served = isinstance(outcome, attempt.Served)
                desk.released(chosen.id, took_s if served else None)
            self._note(exchange, chosen, outcome)
            last = outcome
            if isinstance(outcome, attempt.Served):
                self._served(exchange, chosen, outcome)
                return
            result = outcome.result if isinstance(outcome, attempt.Answered) else outcome
            exchange.history.add(result)
            if not isinstance(result, attempts.NotRun):
                tried.append(chosen.id)
            step = await self._next_step(exchange, result)
            if not isinstance(step, attempts.Repeat):
                await self._end(exchange, responder, step, outcome)
                return

    async def _next_step(
        self, exchange: attempt.Exchange, result: attempts.AttemptResult
    ) -> attempts.NextStep:
        """Decide what follows an attempt, and wait for the budget where that helps."""
        budget = self._budget(exchange.service.name)
        loop = asyncio.get_running_loop()
        while True:
            step = attempts.next_step(
                exchange.route,
                exchange.history,
                result,
                exchange.remaining_s(),
                lambda: budget.take(self._processes(), loop.time()),
            )
            if not isinstance(step, attempts.Later):
                return step
            await asyncio.sleep(attempts.BUDGET_PAUSE_S)

    def _note(
        self, exchange: attempt.Exchange, server: servers.ServerEntry, outcome: attempt.Outcome
    ) -> None:
        """Tell the placement how a server did; a refusal of a full server is no fault."""
        if isinstance(outcome, attempt.Served):
            self._load.result(server.id, good=True)
            return
        result = outcome.result if isinstance(outcome, attempt.Answered) else outcome
        if not isinstance(result, attempts.NotRun):
            self._load.result(server.id, good=False)
        elif result.misdirected:
            self._known.servers.replaced(server.id)
        else:
            self._load.declined(server.id, asyncio.get_running_loop().time())
        log.event(
            _logger,
            "attempt_failed",
            request=exchange.head.request_id,
            route=exchange.route.name,
            server=server.id,
            kind=type(result).__name__,
            reason=getattr(result, "reason", None) or getattr(result, "status", None),
            remaining_ms=exchange.remaining_s() * 1000.0,
        )

    def _served(
        self, exchange: attempt.Exchange, server: servers.ServerEntry, outcome: attempt.Served
    ) -> None:
        began_s = exchange.request.began_s
        first_s = exchange.first_event_s or asyncio.get_running_loop().time()
        late = first_s - began_s > exchange.route.target_s
        self._meters.request(exchange.route.name, "late" if late else "served")
        self._meters.first_event(exchange.route.name, first_s - began_s)
        log.event(
            _logger,
            "served",
            logging.INFO if late else logging.DEBUG,
            request=exchange.head.request_id,
            route=exchange.route.name,
            server=server.id,
            status=outcome.status,
            first_ms=(first_s - began_s) * 1000.0,
            total_ms=(asyncio.get_running_loop().time() - began_s) * 1000.0,
            repeats=exchange.history.sends,
        )

    async def _no_server(
        self,
        exchange: attempt.Exchange,
        responder: http_server.Responder,
        refused: service_desk.Refused,
        last: attempt.Outcome | None,
    ) -> None:
        if isinstance(last, attempt.Answered):
            await self._end(exchange, responder, attempts.PassOn(), last)
            return
        if exchange.history.runs:
            await self._end(exchange, responder, attempts.Fail(502), attempts.Lost(refused.reason))
            return
        await self._refuse(
            exchange.head,
            responder,
            refused.reason,
            refused.retry_after_s,
            exchange.route.name,
            exchange.request.began_s,
        )

    async def _end(
        self,
        exchange: attempt.Exchange,
        responder: http_server.Responder,
        step: attempts.NextStep,
        outcome: attempt.Outcome,
    ) -> None:
        name = exchange.route.name
        if responder.started:
            # A stream that breaks must not look complete; the handler's error resets it.
            self._failed(exchange, "stream_broken", outcome)
            raise http_server.AnswerBrokenError
        if isinstance(step, attempts.PassOn) and isinstance(outcome, attempt.Answered):
            self._meters.request(name, "server_failure")
            fields = headers.forwarded_answer(outcome.head.headers)
            await responder.answer(outcome.head.status, fields, outcome.body)
            return
        if isinstance(step, attempts.Refuse):
            reason = getattr(outcome, "reason", "refused")
            await self._refuse(
                exchange.head, responder, reason, 0.1, name, exchange.request.began_s
            )
            return
        status = step.status if isinstance(step, attempts.Fail) else 502
        self._failed(exchange, f"status_{status}", outcome)
        await responder.answer(status, [], b"")

    def _failed(self, exchange: attempt.Exchange, how: str, outcome: attempt.Outcome) -> None:
        self._meters.request(exchange.route.name, "failed")
        log.event(
            _logger,
            "failed",
            logging.WARNING,
            request=exchange.head.request_id,
            route=exchange.route.name,
            outcome=how,
            reason=getattr(outcome, "reason", None),
            sends=exchange.history.sends,
            runs=exchange.history.runs,
            after_ms=(asyncio.get_running_loop().time() - exchange.request.began_s) * 1000.0,
        )

    async def _deny(
        self,
        head: headers.RequestHead,
        responder: http_server.Responder,
        status: int,
        reason: str,
        table: routes.RoutingTable,
    ) -> None:
        if not self._known.certain(asyncio.get_running_loop().time()):
            await self._refuse(head, responder, f"{reason}_uncertain", UNCERTAIN_RETRY_S)
            return
        self._meters.request("", reason)
        log.event(
            _logger,
            "denied",
            request=head.request_id,
            status=status,
            reason=reason,
            version=table.version,
        )
        await responder.answer(status, [], b"")

    async def _refuse(
        self,
        head: headers.RequestHead,
        responder: http_server.Responder,
        reason: str,
        retry_after_s: float,
        route: str = "",
        began_s: float | None = None,
    ) -> None:
        self._meters.request(route, "refused")
        now_s = asyncio.get_running_loop().time()
        log.event(
            _logger,
            "refused",
            request=head.request_id,
            route=route,
            reason=reason,
            retry_after_s=retry_after_s,
            after_ms=(now_s - began_s) * 1000.0 if began_s is not None else 0.0,
            version=self._known.table.version if self._known.table is not None else None,
        )
        await responder.answer(503, [headers.encode_retry_after(retry_after_s)], b"")

    def _desk(self, service: routes.ServiceName) -> service_desk.ServiceDesk:
        desk = self._desk_by_service.get(service)
        if desk is None:
            desk = self._desk_by_service[service] = service_desk.ServiceDesk(
                lambda: self._service(service),
                self._known.servers,
                self._load,
                self._cold,
                self._processes,
            )
        return desk

    def _service(self, name: routes.ServiceName) -> routes.Service:
        table = self._known.table
        found = table.service_by_name.get(name) if table is not None else None
        return found or routes.Service(name, 1, 0.0, None)

    def _budget(self, service: routes.ServiceName) -> rates.RepeatBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = self._budget_by_service[service] = rates.RepeatBudget(
                self._bounds.retry_ratio, self._bounds.retry_slack, self._bounds.retry_window_s
            )
        return budget
