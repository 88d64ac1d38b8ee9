"""Queue of a front's requests to one service, and their assignment to servers."""

from __future__ import annotations

import asyncio
import dataclasses
import math
import random
from collections.abc import Callable, Collection, Iterable

from gentianpaddle_core import ids
from gentianpaddle_core.serving import (
    data_centre_traffic,
    pace_limit,
    placement,
    rates,
    request_queue,
    routes,
    server_notices,
    servers,
)
from gentianpaddle_gateway import demand_exchange, server_selection, traffic_control

DISPATCH_INTERVAL_S = 0.05
"""Maximum interval between attempts to dispatch queued requests."""

LEAVING_SCAN_LIMIT = 8
"""Maximum number of queued requests for which it is decided at once whether they are sent to
another data centre."""


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
        self._scanned_s = -math.inf
        self._service = service
        self._server_view = server_view
        self._server_load = server_load
        self._notice_board = notice_board
        self._room = room
        self._queue: request_queue.RequestQueue[_QueuedRequest] = request_queue.RequestQueue()
        self._selection = server_selection.ServerSelection(
            service,
            server_view,
            server_load,
            cold_limits,
            notice_board,
            front_count,
            pace,
            pace_target_s,
            traffic,
            room,
            self._queue,
        )

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
            chosen = self._selection.choose(excluded, now_s, origin)
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
            reason = "no place in time" if self._selection.slot_share(now_s) else "no server"
            return self._refusal(reason, group, remaining_s, now_s)
        return await self._wait(waiting)

    async def _wait(
        self, waiting: request_queue.QueuedRequest[_QueuedRequest]
    ) -> servers.ServerEntry | Refusal:
        """Wait until a queued request gets a server or is refused."""
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
                    self._queue.record_end(waiting.group, None, now_s)
            raise
        if outcome is None:
            now_s = asyncio.get_running_loop().time()
            reason = "no server had room in time"
            return self._refusal(reason, waiting.group, waiting.expires_s - now_s, now_s)
        return outcome

    def _admit(self, newcomer: request_queue.QueuedRequest[_QueuedRequest], now_s: float) -> bool:
        """Queue a request unless it cannot be served in time, and refuse those that it displaces.

        Returns:
            Whether the request was queued.
        """
        self._queue.add(newcomer)
        slot_share = self._selection.slot_share(now_s)
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

    def dispatch(self) -> None:
        """Assign servers to queued requests and refuse those that have expired."""
        now_s = asyncio.get_running_loop().time()
        self._selection.update_pace(now_s)
        self.traffic.tick(now_s)
        if not self._queue:
            return
        self._refuse(self._queue.pop_expired(now_s))
        while (first := self._queue.next_to_start(now_s)) is not None:
            item = first.item
            chosen = self._selection.choose(item.excluded, now_s, item.origin)
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
            chosen = self._selection.choose(item.excluded, now_s, item.origin, ahead)
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
        return not self._queue and self._selection.find(excluded, now_s) is not None

    def _refusal(
        self, reason: str, group: request_queue.RequestGroup, remaining_s: float, now_s: float
    ) -> Refusal:
        service = self._service()
        any_open = self._server_load.any_open(
            self._server_view.usable(service.name, now_s),
            server_selection.reports_load(service),
            now_s,
        )
        slot_share = self._selection.slot_share(now_s)
        return Refusal(
            reason,
            self._queue.retry_after_s(
                slot_share, any_open, random.random(), group, remaining_s, now_s
            ),
            len(self._queue),
            self._queue.expected_wait_s(slot_share, group=group, now_s=now_s),
        )
