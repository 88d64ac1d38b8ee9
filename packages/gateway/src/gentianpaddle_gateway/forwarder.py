"""Forwards callers' requests: matches the route, checks the key, selects a server and repeats."""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections.abc import Callable, Collection

from gentianpaddle_core import ids
from gentianpaddle_core.serving import (
    attempts,
    crash_suspects,
    data_centre_traffic,
    event_stream,
    members,
    placement,
    planned_stop,
    rates,
    request_queue,
    routes,
    servers,
    silence,
)
from gentianpaddle_gateway import (
    attempt,
    caller_responses,
    crash_watch,
    demand_exchange,
    engine_checks,
    gateway_settings,
    http_server,
    log,
    metrics,
    notice_exchange,
    platform_state,
    service_queue,
    silence_watch,
    traffic_control,
)
from gentianpaddle_platform import headers, settings

_logger = logging.getLogger("gentianpaddle.requests")

DEFAULT_TIMEOUT_S = 30.0
"""Time-out of a request without a deadline."""

STOPPING_RETRY_AFTER_S = 0.0
"""Time after which a caller that is refused because this front stops may retry. Other fronts can
serve it at once."""


class Forwarder:
    """Forwards the requests of callers at one front to backend servers.

    Args:
        state: Configuration and servers known to this front.
        server_load: Load of the servers.
        process_settings: Settings of this process.
        member_view: Known VMs of the system.
        process_metrics: Metrics of this process.
        broadcast: Sends a message to all other fronts.
        traffic_settings: When requests leave their data centre.
    """

    def __init__(
        self,
        state: platform_state.PlatformState,
        server_load: placement.Placement,
        process_settings: settings.Settings,
        member_view: members.MemberView,
        process_metrics: metrics.Metrics,
        broadcast: Callable[[bytes], None],
        traffic_settings: gateway_settings.DataCentreTraffic,
    ) -> None:
        self._data_centre = process_settings.data_centre
        self._traffic_settings = traffic_settings
        self.crash_watch = crash_watch.CrashWatch(broadcast, self._refuse_held)
        self.engine_checks = engine_checks.EngineChecks(state.servers.address)
        self.notices = notice_exchange.NoticeExchange(member_view, broadcast)
        self.demand = demand_exchange.DemandExchange(member_view, process_metrics)
        self._state = state
        self._server_load = server_load
        self._bounds = process_settings.bounds
        self._front_count = member_view.front_count
        self._metrics = process_metrics
        self._responses = caller_responses.CallerResponses(state, process_metrics)
        self._cold_limits = rates.ColdStartLimiter(
            process_settings.bounds.cold_rate_factor,
            process_settings.bounds.extra_cold_requests_per_s,
            member_view.front_rank,
        )
        self._queue_by_service: dict[routes.ServiceName, service_queue.ServiceQueue] = {}
        self._budget_by_service: dict[routes.ServiceName, rates.RetryBudget] = {}
        self._progress_by_service: dict[routes.ServiceName, silence.ServiceProgress] = {}
        self._stop: planned_stop.PlannedStop | None = None

    def limits(self) -> routes.ClientLimits:
        """Return the limits for callers that are in force."""
        table = self._state.table
        return table.limits if table is not None else routes.DEFAULT_CLIENT_LIMITS

    def set_bounds(self, bounds: settings.Bounds) -> None:
        """Apply the bounds of reloaded settings. If they differ, all retry budgets are reset.

        Args:
            bounds: Bounds from the settings file.
        """
        if bounds != self._bounds:
            self._bounds = bounds
            self._budget_by_service.clear()
            self._cold_limits.set_bounds(bounds.cold_rate_factor, bounds.extra_cold_requests_per_s)

    def remove_unlisted(self, listed: Collection[ids.BackendServerId]) -> None:
        """Forget servers that no longer exist.

        Args:
            listed: Servers that exist.
        """
        self.engine_checks.remove_unlisted(listed)
        self.notices.remove_unlisted(listed)

    def dispatch(self) -> None:
        """Dispatch the queued requests of all services for which a server is free."""
        for queue in self._queue_by_service.values():
            queue.dispatch()

    def announce_demand(self, now_s: float) -> dict[routes.ServiceName, float]:
        """Return the demand that is sent with the next heartbeat.

        Args:
            now_s: Monotonic time in seconds.
        """
        waiting = {name: queue.waiting_count for name, queue in self._queue_by_service.items()}
        return self.demand.announce(waiting, now_s)

    def begin_stop(self, stop: planned_stop.PlannedStop) -> None:
        """Refuse the requests that cannot be served before the process stops.

        Args:
            stop: Times of the stop.
        """
        self._stop = stop
        for queue in self._queue_by_service.values():
            queue.limit_end(stop.work_ends_s)

    def end_attempts(self) -> None:
        """Give up all servers, so that each request in progress gets its final answer.

        A stream of which the caller has received a part is cut.
        """
        self.engine_checks.end_attempts()

    def _refuse_held(self) -> None:
        for queue in self._queue_by_service.values():
            queue.refuse_held()

    def waiting_count(self) -> int:
        """Return the number of requests that wait for a server."""
        return sum(queue.waiting_count for queue in self._queue_by_service.values())

    def needs_body(self, request: http_server.Request) -> bool:
        """Return whether a request will be passed on, as far as its head tells.

        Args:
            request: Request of a caller, without its body.
        """
        table = self._state.table
        if table is None:
            return False
        route = table.match(request.head.host, request.path)
        if route is None:
            return False
        known = route.public or not table.keys_required
        return known or (request.head.api_key or "") in table.organisation_by_key

    async def handle(self, request: http_server.Request, responder: http_server.Responder) -> None:
        """Handle one request of a caller.

        Args:
            request: Request of the caller.
            responder: Sends the response.
        """
        head = request.head
        table = self._state.table
        if table is None:
            await self._responses.refuse(
                head, responder, "no_configuration", caller_responses.OUTDATED_RETRY_AFTER_S
            )
            return
        route = table.match(head.host, request.path)
        if route is None:
            await self._responses.deny(head, responder, 404, "unknown_route", table)
            return
        organisation = None
        if table.keys_required and not route.public:
            found = table.organisation_by_key.get(head.api_key or "")
            if found is None:
                await self._responses.deny(head, responder, 401, "unknown_key", table)
                return
            organisation = found
        if request.body_omitted:
            # A new configuration has just arrived that has the route or the key.
            await self._responses.refuse(head, responder, "body_not_read", 0.0, route.name)
            return
        service = table.service_by_name.get(route.service_for(random.random()))
        if service is None:
            await self._responses.refuse(
                head, responder, "unknown_service", caller_responses.OUTDATED_RETRY_AFTER_S
            )
            return
        timeout_s = min(route.timeout_s, head.remaining_s or DEFAULT_TIMEOUT_S)
        expires_at_s = request.arrived_s + timeout_s
        now_s = asyncio.get_running_loop().time()
        if self._stop is not None and not self._stop.takes(now_s, expires_at_s):
            wait_s, arrived_s = STOPPING_RETRY_AFTER_S, request.arrived_s
            await self._responses.refuse(head, responder, "stopping", wait_s, route.name, arrived_s)
            return
        context = self._new_context(
            request, head, route, service, organisation, expires_at_s, table
        )
        try:
            await self._serve(context, responder)
        except asyncio.CancelledError:
            self._metrics.count_request(route.name, "caller_left")
            log.event(
                _logger,
                "caller_left",
                request=head.request_id,
                route=route.name,
                server=context.current_server,
                sends=context.history.total_attempts,
                after_ms=(asyncio.get_running_loop().time() - request.arrived_s) * 1000.0,
            )
            raise

    def _new_context(
        self,
        request: http_server.Request,
        head: headers.RequestHead,
        route: routes.Route,
        service: routes.Service,
        organisation: routes.Organisation | None,
        expires_at_s: float,
        table: routes.RoutingTable,
    ) -> attempt.RequestContext:
        causes = crash_watch.request_causes(request, head)
        group = _request_group(route, organisation)
        states_priority = service.engine is not None and service.name in table.prioritised_services
        return attempt.RequestContext(
            request=request,
            causes=causes,
            answer_began=lambda: self.crash_watch.record_answer(causes),
            head_arrived=lambda server, answer: self.notices.record_answer(
                server, answer, head.request_id
            ),
            head=head,
            route=route,
            service=service,
            organisation=group.organisation,
            group=group,
            engine_priority=group.priority if states_priority else None,
            expires_at_s=expires_at_s,
            traffic=data_centre_traffic.RequestTraffic(len(request.body), random.random()),
            reader=event_stream.EventReader(head.last_event_id),
        )

    async def _serve(
        self, context: attempt.RequestContext, responder: http_server.Responder
    ) -> None:
        service = context.service
        queue = self._queue(service.name)
        self._budget(service.name).record_first_send(asyncio.get_running_loop().time())
        excluded: list[ids.BackendServerId] = []
        last_outcome: attempt.AttemptOutcome | None = None
        while True:
            chosen = await self._acquire_server(context, queue, excluded)
            self._metrics.count_admission(
                context.route.name,
                context.organisation,
                chosen.reason if isinstance(chosen, service_queue.Refusal) else "started",
            )
            if isinstance(chosen, service_queue.Refusal):
                await self._responses.end_without_server(context, responder, chosen, last_outcome)
                return
            self.crash_watch.record_send(context.causes)
            context.current_server = chosen.id
            attempt_started_s = asyncio.get_running_loop().time()
            outcome: attempt.AttemptOutcome | None = None
            try:
                outcome = await attempt.run(
                    context,
                    chosen,
                    responder,
                    self._supervision(context, chosen, excluded),
                )
            finally:
                duration_s = asyncio.get_running_loop().time() - attempt_started_s
                served = isinstance(outcome, attempt.Served)
                queue.release(chosen.id, duration_s if served else None, context.group)
                self._record_traffic(context, chosen)
            context.current_server = None
            self._record_outcome(context, chosen, outcome)
            last_outcome = outcome
            if isinstance(outcome, attempt.Served):
                queue.traffic.record_answer(context.route, context.answer_bytes)
                self._responses.record_served(context, chosen, outcome)
                return
            result = outcome.result if isinstance(outcome, attempt.FailureResponse) else outcome
            context.history.add(result)
            if not isinstance(result, attempts.NotRun):
                excluded.append(chosen.id)
            step = await self._next_step(context, result)
            if not isinstance(step, attempts.Retry):
                await self._responses.send_failure(context, responder, step, outcome)
                return

    async def _acquire_server(
        self,
        context: attempt.RequestContext,
        queue: service_queue.ServiceQueue,
        excluded: Collection[ids.BackendServerId],
    ) -> servers.ServerEntry | service_queue.Refusal:
        """Wait for a server, or refuse a request that is suspected of crashing servers."""
        work_ends_s = self._stop.work_ends_s if self._stop is not None else math.inf
        if asyncio.get_running_loop().time() >= work_ends_s:
            return service_queue.Refusal("stopping", STOPPING_RETRY_AFTER_S)

        def held() -> crash_suspects.Held | None:
            return self.crash_watch.held(context.causes)

        chosen: servers.ServerEntry | service_queue.Refusal | None = None
        if held() is None:
            with self._metrics.waiting(context.route.name, context.organisation):
                chosen = await queue.acquire(
                    context.route,
                    context.group,
                    excluded,
                    context.request.arrived_s,
                    min(context.expires_at_s, work_ends_s),
                    context.caller_leaves_s(),
                    lambda: held() is not None,
                    context.traffic,
                )
        reason = held()
        if reason is None:
            assert chosen is not None
            return chosen
        if isinstance(chosen, servers.ServerEntry):
            queue.release(chosen.id, None, context.group)
        log.event(
            _logger,
            "held",
            request=context.head.request_id,
            cause=reason.cause,
            blame=reason.blame,
            crashes=reason.crashes,
        )
        return service_queue.Refusal("crashes servers", reason.wait_s)

    def _supervision(
        self,
        context: attempt.RequestContext,
        server: servers.ServerEntry,
        excluded: Collection[ids.BackendServerId],
    ) -> silence_watch.Supervision:
        """Return what decides whether a silent server is given up for another one."""
        progress = self._progress(context.service.name)

        def may_move() -> bool:
            now_s = asyncio.get_running_loop().time()
            context.retry_acquired = (
                context.reader.resumable
                and attempts.may_move(
                    context.route,
                    context.history,
                    context.remaining_s(),
                    progress.first_answer_s,
                )
                and self._queue(context.service.name).has_alternative([*excluded, server.id], now_s)
                and self._budget(context.service.name).try_acquire(self._front_count(), now_s)
            )
            return context.retry_acquired

        def may_repeat() -> bool:
            now_s = asyncio.get_running_loop().time()
            context.retry_acquired = (
                context.reader.resumable
                and attempts.may_repeat(context.route, context.history)
                and self._budget(context.service.name).try_acquire(self._front_count(), now_s)
            )
            return context.retry_acquired

        return silence_watch.Supervision(
            progress,
            may_move,
            lambda: self.engine_checks.record_answer(server.id),
            may_repeat,
            context.caller_leaves_s,
            lambda: context.first_event_s is not None,
            lambda: self.engine_checks.open_watches(server.id),
        )

    async def _next_step(
        self, context: attempt.RequestContext, result: attempts.AttemptResult
    ) -> attempts.NextStep:
        """Decide what follows an attempt, waiting for the retry budget while there is time."""
        budget = self._budget(context.service.name)
        loop = asyncio.get_running_loop()
        while True:
            step = attempts.next_step(
                context.route,
                context.history,
                result,
                context.remaining_s(),
                context.reader.resumable,
                lambda: (
                    context.retry_acquired or budget.try_acquire(self._front_count(), loop.time())
                ),
            )
            context.retry_acquired = False
            if not isinstance(step, attempts.WaitForBudget):
                return step
            await asyncio.sleep(attempts.BUDGET_POLL_INTERVAL_S)

    def _record_outcome(
        self,
        context: attempt.RequestContext,
        server: servers.ServerEntry,
        outcome: attempt.AttemptOutcome,
    ) -> None:
        """Update the server's load and failure rate; a refusal by a full server is no failure."""
        if isinstance(outcome, attempt.Served):
            self._server_load.record_result(server.id, good=True)
            return
        result = outcome.result if isinstance(outcome, attempt.FailureResponse) else outcome
        if not isinstance(result, attempts.NotRun):
            if isinstance(result, attempts.Lost):
                self._record_loss(context, server, result)
            if not (isinstance(result, attempts.Lost) and result.out_of_time):
                self._server_load.record_result(server.id, good=False)
        elif result.misdirected:
            self._state.servers.mark_replaced(server.id)
        elif result.arrived:
            now_s = asyncio.get_running_loop().time()
            self._server_load.record_declined(server.id, now_s)
            self.demand.room(context.service.name).record_rejected(now_s)
        else:
            self._server_load.record_unreachable(server.id, asyncio.get_running_loop().time())
        log.event(
            _logger,
            "attempt_failed",
            request=context.head.request_id,
            route=context.route.name,
            server=server.id,
            kind=type(result).__name__,
            reason=getattr(result, "reason", None) or getattr(result, "status", None),
            remaining_ms=context.remaining_s() * 1000.0,
        )

    def _record_traffic(self, context: attempt.RequestContext, server: servers.ServerEntry) -> None:
        """Count and log an attempt at a server of another data centre."""
        if server.data_centre == self._data_centre:
            return
        reason = context.traffic.reason or data_centre_traffic.Reason.DISABLED
        transferred = context.sent_bytes + context.answer_bytes
        self._metrics.count_data_centre_traffic(server.data_centre, reason, transferred)
        if self._traffic_settings.enabled:
            log.event(
                _logger,
                "sent_away",
                logging.DEBUG,
                request=context.head.request_id,
                route=context.route.name,
                data_centre=server.data_centre,
                reason=reason,
                bytes=transferred,
            )

    def _record_loss(
        self, context: attempt.RequestContext, server: servers.ServerEntry, lost: attempts.Lost
    ) -> None:
        if lost.silent:
            self._server_load.record_silent(server.id)
        progress = self._progress_by_service[context.service.name]
        self.crash_watch.record_loss(context, server.id, lost, progress)

    def _queue(self, service: routes.ServiceName) -> service_queue.ServiceQueue:
        queue = self._queue_by_service.get(service)
        if queue is None:
            queue = self._queue_by_service[service] = service_queue.ServiceQueue(
                lambda: self._service(service),
                self._state.servers,
                self._server_load,
                self._cold_limits,
                self.notices.board,
                self._front_count,
                self._progress(service).pace,
                lambda: self._pace_target_s(service),
                traffic_control.TrafficControl(
                    service, self._data_centre, self._traffic_settings, self._server_load
                ),
                self.demand.room(service),
            )
        return queue

    def _progress(self, service: routes.ServiceName) -> silence.ServiceProgress:
        return self._progress_by_service.setdefault(service, silence.ServiceProgress())

    def _pace_target_s(self, service: routes.ServiceName) -> float | None:
        table = self._state.table
        return table.pace_target_s_by_service.get(service) if table is not None else None

    def _service(self, name: routes.ServiceName) -> routes.Service:
        table = self._state.table
        found = table.service_by_name.get(name) if table is not None else None
        return found or routes.Service(name, 1, 0.0, None)

    def _budget(self, service: routes.ServiceName) -> rates.RetryBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = self._budget_by_service[service] = rates.RetryBudget(
                self._bounds.retry_ratio,
                self._bounds.extra_retries_per_window,
                self._bounds.retry_window_s,
            )
        return budget


def _request_group(
    route: routes.Route, organisation: routes.Organisation | None
) -> request_queue.RequestGroup:
    if organisation is None:
        return request_queue.RequestGroup((route.priority, route.priority))
    priority = route.priority if organisation.priority is None else organisation.priority
    return request_queue.RequestGroup((priority, route.priority), organisation.id)
