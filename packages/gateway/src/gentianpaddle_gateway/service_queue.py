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
    pace_limit,
    placement,
    rates,
    request_queue,
    routes,
    server_notices,
    servers,
)

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
        target_event_gap_s: Returns the target for the gap between events, in seconds, or None.
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
    ) -> None:
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
        group: request_queue.RequestGroup,
        excluded: Collection[ids.BackendServerId],
        arrived_s: float,
        expires_at_s: float,
        leaves_s: float | None,
        is_held: Callable[[], bool],
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

        Returns:
            Server whose load now includes the request, or a refusal. The caller has to call
            `release` for the server.
        """
        now_s = asyncio.get_running_loop().time()
        self._queue.record_arrival(group, now_s)
        if not self._queue:
            chosen = self._choose_server(excluded, now_s)
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
            _QueuedRequest(excluded, is_held, asyncio.get_running_loop().create_future()),
            arrived_s,
            arrived_s + route.target_s - request_queue.FIRST_EVENT_ALLOWANCE_S,
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
        removed = self._queue.pop_unservable(newcomer, self._slot_share(now_s), now_s)
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
        return sum(min(entry.slots, slot_limit) for entry in usable_servers) / self._front_count()

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
                self._queue.record_start(first.group, now_s)
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
        unreported = self._unreported_requests(now_s) if engine is not None else 0.0
        slot_limit = self._slot_limit(now_s)
        if engine is not None and slot_limit < engine.slots:
            room = pace_limit.room(slot_limit, len(candidates))
            if self._server_load.total_requests(candidates, now_s) + unreported >= room:
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
        )

    def _record_running(self, now_s: float) -> None:
        service = self._service()
        if service.engine is None:
            return
        usable_servers = self._server_view.usable(service.name, now_s)
        if usable_servers:
            total = self._server_load.total_requests(usable_servers, now_s)
            self._pace.record_running(total / len(usable_servers))

    def _unreported_requests(self, now_s: float) -> float:
        """Estimate the number of requests of other fronts that no server report includes yet.

        All fronts receive about the same rate of requests.
        """
        while self._dispatch_times_s and self._dispatch_times_s[0] < now_s - RATE_WINDOW_S:
            self._dispatch_times_s.popleft()
        rate_per_s = len(self._dispatch_times_s) / RATE_WINDOW_S
        return rate_per_s * (self._front_count() - 1) * placement.REPORT_VISIBILITY_DELAY_S

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
