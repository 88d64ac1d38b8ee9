"""Queue of a front's requests to one service, and their assignment to servers."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import math
import random
from collections.abc import Callable, Collection, Iterable

from gentianpaddle_core import ids
from gentianpaddle_core.serving import (
    free_slots,
    pace_limit,
    placement,
    rates,
    request_queue,
    routes,
    server_notices,
    servers,
)
from gentianpaddle_gateway import demand_exchange

ENGINE_QUEUE_LIMIT = 0
"""Number of requests beyond its slots that are sent to an engine. Further requests would be queued
at the engine instead of at the front."""

PLAIN_SERVER_QUEUE_LIMIT = 3
"""Number of requests beyond its slots that are sent to a server other than an engine. Its
processing time is a fifth of the target of its callers."""

DISPATCH_INTERVAL_S = 0.05
"""Maximum interval between attempts to dispatch queued requests."""

RATE_WINDOW_S = 1.0
"""Length of the window in which the request rate is measured. A front of a large site gets four
requests per second."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal of a request for which there is no server."""

    reason: str
    retry_after_s: float
    """Time after which the caller should retry."""


@dataclasses.dataclass(slots=True, eq=False)
class _QueuedRequest:
    excluded: Collection[ids.BackendServerId]
    """Servers that ran or may have run the request."""
    is_held: Callable[[], bool]
    """Returns whether the request may not be sent to any server."""
    assigned_server: asyncio.Future[servers.ServerEntry | None]
    """Assigned server, or None if the request expired in the queue or is held."""


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
        target_event_gap_s: Returns the target for the gap between events, in seconds, or None.
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
        target_event_gap_s: Callable[[], float | None],
        room: demand_exchange.ServiceRoom,
    ) -> None:
        self._room = room
        self._pace = pace
        self._target_event_gap_s = target_event_gap_s
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
        excluded: Collection[ids.BackendServerId],
        arrived_s: float,
        expires_at_s: float,
        leaves_s: float | None,
        is_held: Callable[[], bool],
    ) -> servers.ServerEntry | Refusal:
        """Wait for a server with free capacity.

        Args:
            route: Route of the request.
            excluded: Servers that ran or may have run the request.
            arrived_s: Monotonic time at which the request arrived.
            expires_at_s: Monotonic time at which the request expires.
            leaves_s: Monotonic time at which the caller leaves if no event has arrived, or None.
            is_held: Returns whether the request may not be sent to any server.

        Returns:
            Server whose load now includes the request, or a refusal. The caller has to call
            `release` for the server.
        """
        now_s = asyncio.get_running_loop().time()
        self._room.demand.record_arrival(now_s)
        if not self._queue:
            chosen = self._choose_server(excluded, now_s)
            if chosen is not None:
                return chosen
        usable_servers = self._server_view.usable(self._service().name, now_s)
        if excluded and all(entry.id in excluded for entry in usable_servers):
            return self._refusal("no other server", now_s)
        latest_start_s = self._queue.latest_start_s(expires_at_s, leaves_s)
        pause_s = self._notice_board.pause_s([entry.id for entry in usable_servers], now_s)
        if now_s + pause_s > latest_start_s and pause_s > 0.0:
            return Refusal("servers wait", pause_s)
        slot_share = self._slot_share(now_s)
        if now_s + self._queue.expected_wait_s(slot_share, expires_at_s) > latest_start_s:
            return self._refusal("no place in time" if slot_share else "no server", now_s)
        queued = _QueuedRequest(excluded, is_held, asyncio.get_running_loop().create_future())
        self._queue.add(
            request_queue.QueuedRequest(
                queued,
                arrived_s,
                arrived_s + route.target_s - request_queue.FIRST_EVENT_ALLOWANCE_S,
                latest_start_s,
                expires_at_s,
            )
        )
        try:
            chosen = await queued.assigned_server
        except asyncio.CancelledError:
            self._queue.discard(queued)
            if queued.assigned_server.done() and not queued.assigned_server.cancelled():
                assigned_server = queued.assigned_server.result()
                if assigned_server is not None:
                    self._server_load.record_end(assigned_server.id)
            raise
        if chosen is None:
            return self._refusal("no server had room in time", asyncio.get_running_loop().time())
        return chosen

    def release(self, server: ids.BackendServerId, duration_s: float | None) -> None:
        """Release the server of a request that has ended, and dispatch queued requests.

        Args:
            server: Server returned by `acquire`.
            duration_s: Time that the server took, or None if it did not serve the request.
        """
        self._server_load.record_end(server)
        if duration_s is not None:
            self._queue.record_duration(duration_s)
        self.dispatch()

    def _slot_share(self, now_s: float) -> float:
        """Return this front's share of the slots of all usable servers."""
        usable_servers = self._server_view.usable(self._service().name, now_s)
        slot_limit = self._slot_limit(now_s)
        share = self._room.shares(len(self._queue), now_s).ratio
        return share * sum(min(entry.slots, slot_limit) for entry in usable_servers)

    def _slot_limit(self, now_s: float) -> float:
        """Return the mean number of slots per engine with which answers are fast enough."""
        engine, target_s = self._service().engine, self._target_event_gap_s()
        if engine is None or target_s is None:
            return math.inf
        return self._pace.requests_per_engine(engine, target_s, now_s)

    def dispatch(self) -> None:
        """Assign servers to queued requests and refuse those that have expired."""
        now_s = asyncio.get_running_loop().time()
        self._record_running(now_s)
        self._refuse(self._queue.pop_expired(now_s))
        while (first := self._queue.next_to_start(now_s)) is not None:
            chosen = self._choose_server(first.item.excluded, now_s)
            if chosen is None:
                return
            self._queue.remove_started(first)
            if first.item.assigned_server.done():
                self._server_load.record_end(chosen.id)
            else:
                first.item.assigned_server.set_result(chosen)

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
        self, excluded: Collection[ids.BackendServerId], now_s: float
    ) -> servers.ServerEntry | None:
        chosen = self._find_server(excluded, now_s)
        if chosen is None:
            return None
        self._server_load.record_start(chosen.id, now_s)
        self._dispatch_times_s.append(now_s)
        self._notice_board.limits.record_send(chosen.id)
        if self._service().cold_rate_per_s > 0.0:
            self._cold_limits.record_send(chosen.id, now_s)
        return chosen

    def _find_server(
        self, excluded: Collection[ids.BackendServerId], now_s: float
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
        part = self._part(candidates, slot_limit, now_s) if reports_load else None
        unreported = self._unreported_requests(part, now_s) if engine is not None else 0.0
        if (
            engine is not None
            and slot_limit < engine.slots
            and not self._has_room(candidates, slot_limit, unreported, part, now_s)
        ):
            return None
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

    def _part(
        self, candidates: Collection[servers.ServerEntry], slot_limit: float, now_s: float
    ) -> free_slots.Part | None:
        """Return this front's part of the servers, or None while the service is not contended."""
        usage = self._server_load.usage(candidates, now_s)
        slots = sum(min(entry.slots, slot_limit) for entry in candidates)
        return self._room.part(usage, slots, len(self._queue), now_s)

    def _has_room(
        self,
        candidates: Collection[servers.ServerEntry],
        slot_limit: float,
        unreported: float,
        part: free_slots.Part | None,
        now_s: float,
    ) -> bool:
        """Return whether the limit on the requests at all servers together allows one more."""
        room = pace_limit.room(slot_limit, len(candidates))
        if part is None:
            return self._server_load.total_requests(candidates, now_s) + unreported < room
        usage = self._server_load.usage(candidates, now_s)
        return part.allows_total(room - usage.reported, usage.added, self._room.rounding(now_s))

    def _record_running(self, now_s: float) -> None:
        service = self._service()
        if service.engine is None:
            return
        usable_servers = self._server_view.usable(service.name, now_s)
        if usable_servers:
            total = self._server_load.total_requests(usable_servers, now_s)
            self._pace.record_running(total / len(usable_servers))

    def _unreported_requests(self, part: free_slots.Part | None, now_s: float) -> float:
        """Estimate the number of requests of other fronts that no server report includes yet.

        While the service is contended, the rates of the fronts are as their shares. Otherwise, all
        fronts are assumed to receive about the same rate.
        """
        while self._dispatch_times_s and self._dispatch_times_s[0] < now_s - RATE_WINDOW_S:
            self._dispatch_times_s.popleft()
        rate_per_s = len(self._dispatch_times_s) / RATE_WINDOW_S
        others = 1.0 / part.shares.ratio if part is not None else float(self._front_count())
        return rate_per_s * (others - 1.0) * placement.REPORT_VISIBILITY_DELAY_S

    def _refusal(self, reason: str, now_s: float) -> Refusal:
        service = self._service()
        any_open = self._server_load.any_open(
            self._server_view.usable(service.name, now_s), _reports_load(service), now_s
        )
        return Refusal(
            reason,
            self._queue.retry_after_s(self._slot_share(now_s), any_open, random.random()),
        )


def _reports_load(service: routes.Service) -> bool:
    return service.engine is not None and service.engine.experts is not None
