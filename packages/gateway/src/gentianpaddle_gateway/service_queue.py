"""Queue of a front's requests to one service, and their assignment to servers."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import logging
import math
import random
from collections.abc import Callable, Collection, Iterable

from gentianpaddle_core import ids
from gentianpaddle_core.serving import (
    answer_times,
    data_centre_traffic,
    free_slots,
    pace_limit,
    placement,
    rates,
    request_queue,
    routes,
    server_notices,
    servers,
)
from gentianpaddle_gateway import demand_exchange, log, traffic_control

ENGINE_QUEUE_LIMIT = 0
"""Number of requests beyond its slots that are sent to an engine. Further requests would be queued
at the engine instead of at the front."""

PLAIN_SERVER_QUEUE_LIMIT = 3
"""Number of requests beyond its slots that are sent to a server other than an engine. Its
processing time is a fifth of the target of its callers."""

DISPATCH_INTERVAL_S = 0.05
"""Maximum interval between attempts to dispatch queued requests."""

LOG_INTERVAL_S = 1.0
"""Minimum interval between two log lines of the same kind while a limit is in force."""
LEAVING_SCAN_LIMIT = 8
"""Maximum number of queued requests for which it is decided at once whether they are sent to
another data centre."""

RATE_WINDOW_S = 1.0
"""Length of the window in which the request rate is measured. A front of a large site gets four
requests per second."""

_logger = logging.getLogger("gentianpaddle.requests")


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal of a request for which there is no server."""

    reason: str
    retry_after_s: float
    """Time after which the caller should retry."""
    waiting: int | None = None
    """Number of requests that wait at this front for the same service, or None if irrelevant."""
    expected_wait_s: float | None = None
    """Expected wait of a request of the same priority and organisation, in seconds, or None."""
    newcomer_priority: int | None = None
    """Priority of the request that displaced this one, or None if none did."""


@dataclasses.dataclass(slots=True, eq=False)
class _QueuedRequest:
    excluded: Collection[ids.BackendServerId]
    """Servers that ran or may have run the request."""
    is_held: Callable[[], bool]
    """Returns whether the request may not be sent to any server."""
    origin: traffic_control.Origin
    assigned_server: asyncio.Future[servers.ServerEntry | Refusal | None]
    """Assigned server, a refusal if the request was displaced, or None if it expired in the queue
    or is held."""


class ServiceQueue:
    """Assigns the servers of one service to requests; requests are queued while all are full.

    Args:
        service: Returns the service as currently configured.
        server_view: Known servers.
        server_load: Load of the servers.
        cold_limits: Rate limits of servers in cold start.
        notice_board: What the servers say of themselves.
        front_count: Returns the number of fronts that share the servers, including this one.
        pace: Limit on the requests that run at the service's engines.
        pace_target_s: Returns the target for the gap between events in seconds, or None if no
            limit applies.
        traffic: Decides which requests are sent to another data centre.
        room: Share of this front in the capacity of the service.
    """

    def __init__(
        self,
        service: Callable[[], routes.Service],
        server_view: servers.ServerView,
        server_load: placement.Placement,
        cold_limits: rates.ColdStartLimiter,
        notice_board: server_notices.NoticeBoard,
        front_count: Callable[[], int],
        pace: pace_limit.PaceLimit,
        pace_target_s: Callable[[], float | None],
        traffic: traffic_control.TrafficControl,
        room: demand_exchange.ServiceRoom,
    ) -> None:
        self.traffic = traffic
        self._room = room
        self._scanned_s = -math.inf
        self._pace = pace
        self._pace_target_s = pace_target_s
        self._limited = False
        self._limit_logged_s = 0.0
        self._service = service
        self._server_view = server_view
        self._server_load = server_load
        self._cold_limits = cold_limits
        self._notice_board = notice_board
        self._front_count = front_count
        self._queue: request_queue.RequestQueue[_QueuedRequest] = request_queue.RequestQueue()
        self._dispatch_times_s: collections.deque[float] = collections.deque()

    @property
    def waiting_count(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    async def acquire(
        self,
        route: routes.Route,
        group: request_queue.RequestGroup,
        excluded: Collection[ids.BackendServerId],
        arrived_s: float,
        expires_at_s: float,
        leaves_s: float | None,
        is_held: Callable[[], bool],
        traffic: data_centre_traffic.RequestTraffic,
    ) -> servers.ServerEntry | Refusal:
        """Wait for a server with free capacity.

        Args:
            route: Route of the request.
            group: Priority and organisation of the request.
            excluded: Servers that ran or may have run the request.
            arrived_s: Monotonic time at which the request arrived.
            expires_at_s: Monotonic time at which the request expires.
            leaves_s: Monotonic time at which the caller leaves if no event has arrived, or None.
            is_held: Returns whether the request may not be sent to any server.
            traffic: Traffic of the request; says afterwards why it leaves this data centre.

        Returns:
            Server whose load now includes the request, or a refusal. The caller has to call
            `release` for the server.
        """
        now_s = asyncio.get_running_loop().time()
        origin = traffic_control.Origin(route, arrived_s, traffic)
        self._queue.record_arrival(group, now_s)
        self._room.demand.record_arrival(now_s)
        if not self._queue:
            chosen = self._choose_server(excluded, now_s, origin)
            if chosen is not None:
                self._queue.record_start(group, now_s)
                return chosen
        remaining_s = expires_at_s - now_s
        usable_servers = self._server_view.usable(self._service().name, now_s)
        if excluded and all(entry.id in excluded for entry in usable_servers):
            return self._refusal("no other server", group, remaining_s, now_s)
        latest_start_s = self._queue.latest_start_s(expires_at_s, leaves_s)
        pause_s = self._notice_board.pause_s([entry.id for entry in usable_servers], now_s)
        if now_s + pause_s > latest_start_s and pause_s > 0.0:
            return Refusal("servers wait", pause_s)
        waiting = request_queue.QueuedRequest(
            _QueuedRequest(excluded, is_held, origin, asyncio.get_running_loop().create_future()),
            arrived_s,
            arrived_s + route.target_s - self._queue.first_event_allowance_s,
            latest_start_s,
            expires_at_s,
            group,
            displaceable=not excluded,
        )
        if not self._admit(waiting, now_s):
            reason = "no place in time" if self._slot_share(now_s) else "no server"
            return self._refusal(reason, group, remaining_s, now_s)
        assigned_server = waiting.item.assigned_server
        try:
            outcome = await assigned_server
        except asyncio.CancelledError:
            self._queue.discard(waiting.item)
            if assigned_server.done() and not assigned_server.cancelled():
                assigned = assigned_server.result()
                if isinstance(assigned, servers.ServerEntry):
                    self._server_load.record_end(assigned.id)
                    now_s = asyncio.get_running_loop().time()
                    self._queue.record_end(group, None, now_s)
            raise
        if outcome is None:
            now_s = asyncio.get_running_loop().time()
            reason = "no server had room in time"
            return self._refusal(reason, group, expires_at_s - now_s, now_s)
        return outcome

    def _admit(self, newcomer: request_queue.QueuedRequest[_QueuedRequest], now_s: float) -> bool:
        """Queue a request unless it cannot be served in time, and refuse those that it displaces.

        Returns:
            Whether the request was queued.
        """
        self._queue.add(newcomer)
        slot_share = self._slot_share(now_s)
        removed = self._queue.pop_unservable(newcomer, slot_share, now_s)
        for entry in removed:
            if entry is newcomer or entry.item.assigned_server.done():
                continue
            refusal = self._refusal("displaced", entry.group, entry.expires_s - now_s, now_s)
            entry.item.assigned_server.set_result(
                dataclasses.replace(refusal, newcomer_priority=newcomer.group.priority)
            )
        return newcomer not in removed

    def release(
        self,
        server: ids.BackendServerId,
        duration_s: float | None,
        group: request_queue.RequestGroup,
    ) -> None:
        """Release the server of a request that has ended, and dispatch queued requests.

        Args:
            server: Server returned by `acquire`.
            duration_s: Time that the server took, or None if it did not serve the request.
            group: Priority and organisation of the request.
        """
        self._server_load.record_end(server)
        self._queue.record_end(group, duration_s, asyncio.get_running_loop().time())
        self.dispatch()

    def _slot_share(self, now_s: float) -> float:
        """Return this front's share of the slots of all usable servers."""
        usable_servers = self._server_view.usable(self._service().name, now_s)
        slot_limit = self._slot_limit(now_s)
        share = self._room.shares(len(self._queue), now_s).ratio
        return share * sum(min(entry.slots, slot_limit) for entry in usable_servers)

    def _slot_limit(self, now_s: float) -> float:
        """Return the mean number of slots per engine with which answers are fast enough."""
        engine, target_s = self._service().engine, self._pace_target_s()
        if engine is None or target_s is None:
            return math.inf
        return self._pace.requests_per_engine(engine, target_s, now_s)

    def dispatch(self) -> None:
        """Assign servers to queued requests and refuse those that have expired."""
        now_s = asyncio.get_running_loop().time()
        self._update_pace(now_s)
        self.traffic.tick(now_s)
        self._refuse(self._queue.pop_expired(now_s))
        while (first := self._queue.next_to_start(now_s)) is not None:
            item = first.item
            chosen = self._choose_server(item.excluded, now_s, item.origin)
            if chosen is None:
                self._send_away(first, now_s)
                return
            self._queue.remove_started(first)
            self._assign(first, chosen, now_s)

    def _assign(
        self,
        entry: request_queue.QueuedRequest[_QueuedRequest],
        chosen: servers.ServerEntry,
        now_s: float,
    ) -> None:
        if entry.item.assigned_server.done():
            self._server_load.record_end(chosen.id)
        else:
            self._queue.record_start(entry.group, now_s)
            entry.item.assigned_server.set_result(chosen)

    def _send_away(self, first: request_queue.QueuedRequest[_QueuedRequest], now_s: float) -> None:
        """Send requests behind the first one, which waits, to another data centre if it pays.

        They do not need the slot for which the first one waits.
        """
        if now_s - self._scanned_s < DISPATCH_INTERVAL_S:
            return
        self._scanned_s = now_s
        may_leave = [
            (ahead, entry)
            for ahead, entry in enumerate(self._queue.waiting())
            if entry is not first and self.traffic.may_leave(entry.item.origin)
        ]
        for ahead, entry in may_leave[:LEAVING_SCAN_LIMIT]:
            item = entry.item
            chosen = self._choose_server(item.excluded, now_s, item.origin, ahead)
            if chosen is not None:
                self._queue.discard(item)
                self._assign(entry, chosen, now_s)

    def limit_end(self, end_s: float) -> None:
        """Refuse the queued requests that cannot be served until a time.

        Args:
            end_s: Monotonic time in seconds at which all work ends.
        """
        self._queue.limit_end(end_s)
        self.dispatch()

    def refuse_held(self) -> None:
        """Refuse the queued requests that may no longer be sent to any server."""
        self._refuse(self._queue.pop_items(lambda item: item.is_held()))

    def _refuse(self, entries: Iterable[request_queue.QueuedRequest[_QueuedRequest]]) -> None:
        for entry in entries:
            if not entry.item.assigned_server.done():
                entry.item.assigned_server.set_result(None)

    def has_alternative(self, excluded: Collection[ids.BackendServerId], now_s: float) -> bool:
        """Return whether a server other than the excluded ones can take a request now.

        Args:
            excluded: Servers that ran or may have run the request.
            now_s: Monotonic time in seconds.
        """
        return not self._queue and self._find_server(excluded, now_s) is not None

    def _choose_server(
        self,
        excluded: Collection[ids.BackendServerId],
        now_s: float,
        origin: traffic_control.Origin,
        ahead: int = 0,
    ) -> servers.ServerEntry | None:
        chosen = self._find_server(excluded, now_s, origin, ahead)
        if chosen is None:
            return None
        self._server_load.record_start(chosen.id, now_s)
        self._dispatch_times_s.append(now_s)
        self._notice_board.limits.record_send(chosen.id)
        if self._service().cold_rate_per_s > 0.0:
            self._cold_limits.record_send(chosen.id, now_s)
        return chosen

    def _find_server(
        self,
        excluded: Collection[ids.BackendServerId],
        now_s: float,
        origin: traffic_control.Origin | None = None,
        ahead: int = 0,
    ) -> servers.ServerEntry | None:
        service = self._service()
        candidates = [
            entry
            for entry in self._server_view.usable(service.name, now_s)
            if self._notice_board.allows(entry.id, now_s)
        ]
        if service.cold_rate_per_s > 0.0:
            front_count = self._front_count()
            candidates = [
                entry
                for entry in candidates
                if self._cold_limits.allows(entry.id, service.cold_rate_per_s, front_count, now_s)
            ]
        engine = service.engine
        queue_limit = ENGINE_QUEUE_LIMIT if engine is not None else PLAIN_SERVER_QUEUE_LIMIT
        reports_load = _reports_load(service)
        slot_limit = self._slot_limit(now_s)
        part = self._part(candidates, now_s) if reports_load else None
        # While the service is contended, the rates of the fronts are as their shares. Otherwise,
        # all fronts are assumed to receive about the same rate.
        fronts = 1.0 / part.shares.ratio if part is not None else float(self._front_count())
        unreported = self._unreported_requests(fronts, now_s) if engine is not None else 0.0
        if (
            engine is not None
            and slot_limit < engine.slots
            and not self._has_room(candidates, slot_limit, part, now_s)
        ):
            return None
        if self.traffic.enabled and origin is not None and candidates:
            all_candidates = len(candidates)
            situation = self._situation(
                candidates, excluded, queue_limit, slot_limit, unreported, ahead, now_s
            )
            candidates = self.traffic.select(origin, situation, now_s)
            # Other fronts send to their own data centres, all together to all servers.
            unreported *= len(candidates) / all_candidates
        return self._server_load.choose(
            candidates,
            excluded,
            queue_limit,
            reports_load,
            now_s,
            unreported,
            self._front_count() if reports_load else 1,
            slot_limit,
            part,
        )

    def _situation(
        self,
        candidates: list[servers.ServerEntry],
        excluded: Collection[ids.BackendServerId],
        queue_limit: int,
        slot_limit: float,
        unreported: float,
        ahead: int,
        now_s: float,
    ) -> traffic_control.Situation:
        service = self._service()
        return traffic_control.Situation(
            service=service,
            usable=[
                entry
                for entry in self._server_view.usable(service.name, now_s)
                if not self._notice_board.is_leaving(entry.id)
            ],
            candidates=candidates,
            excluded=excluded,
            max_queued=queue_limit,
            slot_limit=slot_limit,
            reports_expected=_reports_load(service),
            duration_s=self._queue.duration_s,
            slot_share=self._slot_share(now_s),
            ahead=ahead,
            starts_in_transit=unreported,
        )

    def _part(
        self, candidates: Collection[servers.ServerEntry], now_s: float
    ) -> free_slots.Part | None:
        """Return this front's part of the servers, or None while the service is not contended."""
        usage = self._server_load.usage(candidates, now_s)
        slots = sum(entry.slots for entry in candidates)
        return self._room.part(usage, slots, len(self._queue), now_s)

    def _has_room(
        self,
        candidates: Collection[servers.ServerEntry],
        slot_limit: float,
        part: free_slots.Part | None,
        now_s: float,
    ) -> bool:
        """Return whether the limit on the requests at all servers together allows one more."""
        room = pace_limit.room(slot_limit, len(candidates))
        if part is None:
            # A front that serves nearly all callers would find no room if the others counted alike.
            ratio = self._room.shares(len(self._queue), now_s).ratio
            unreported = self._unreported_requests(1.0 / ratio, now_s)
            return self._server_load.total_requests(candidates, now_s) + unreported < room
        usage = self._server_load.usage(candidates, now_s)
        return part.allows_total(room - usage.reported, usage.added, self._room.rounding(now_s))

    def _update_pace(self, now_s: float) -> None:
        service = self._service()
        if service.engine is None:
            return
        pause_s = self._pace.pause_s(now_s)
        self._queue.expected_times = answer_times.at_pace(service.engine, pause_s)
        limit = self._slot_limit(now_s)
        limited = limit < service.engine.slots
        if limited != self._limited or (limited and now_s - self._limit_logged_s > LOG_INTERVAL_S):
            self._limited, self._limit_logged_s = limited, now_s
            log.event(
                _logger,
                "pace_limit",
                service=service.name,
                limited=limited,
                slots_per_engine=limit,
                pause_ms=(pause_s or 0.0) * 1000.0,
                running_per_engine=self._pace.running,
                waiting=len(self._queue),
            )
        usable_servers = self._server_view.usable(service.name, now_s)
        if usable_servers:
            total = self._server_load.total_requests(usable_servers, now_s)
            self._pace.record_running(total / len(usable_servers))

    def _unreported_requests(self, fronts: float, now_s: float) -> float:
        """Estimate the number of requests of other fronts that no server report includes yet.

        Args:
            fronts: Number of fronts, if all received requests at the rate of this one.
            now_s: Monotonic time in seconds.
        """
        while self._dispatch_times_s and self._dispatch_times_s[0] < now_s - RATE_WINDOW_S:
            self._dispatch_times_s.popleft()
        rate_per_s = len(self._dispatch_times_s) / RATE_WINDOW_S
        return rate_per_s * (fronts - 1.0) * placement.REPORT_VISIBILITY_DELAY_S

    def _refusal(
        self, reason: str, group: request_queue.RequestGroup, remaining_s: float, now_s: float
    ) -> Refusal:
        service = self._service()
        any_open = self._server_load.any_open(
            self._server_view.usable(service.name, now_s), _reports_load(service), now_s
        )
        slot_share = self._slot_share(now_s)
        return Refusal(
            reason,
            self._queue.retry_after_s(
                slot_share, any_open, random.random(), group, remaining_s, now_s
            ),
            len(self._queue),
            self._queue.expected_wait_s(slot_share, group=group, now_s=now_s),
        )


def _reports_load(service: routes.Service) -> bool:
    return service.engine is not None and service.engine.experts is not None
