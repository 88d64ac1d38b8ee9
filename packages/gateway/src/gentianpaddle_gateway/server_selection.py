"""Selection of the server that gets a request of one service, at one front."""

from __future__ import annotations

import collections
import logging
import math
import typing
from collections.abc import Callable, Collection

from gentianpaddle_core import ids
from gentianpaddle_core.serving import (
    answer_times,
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

LOG_INTERVAL_S = 1.0
"""Minimum interval between two log lines of the same kind while a limit is in force."""

RATE_WINDOW_S = 1.0
"""Length of the window in which the request rate is measured. A front of a large site gets four
requests per second."""

UPDATE_INTERVAL_S = 0.045
"""Minimum interval between updates of what follows from all reports; slightly less than
`service_queue.DISPATCH_INTERVAL_S`. Requests are dispatched several hundred times per second, and
an update reads the loads of all engines."""

_logger = logging.getLogger("gentianpaddle.requests")


class ServerSelection:
    """Selects servers by their load and limits, and by the share of this front.

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
        queue: Requests that wait for a server.
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
        queue: request_queue.RequestQueue[typing.Any],
    ) -> None:
        self._service = service
        self._server_view = server_view
        self._server_load = server_load
        self._cold_limits = cold_limits
        self._notice_board = notice_board
        self._front_count = front_count
        self._pace = pace
        self._pace_target_s = pace_target_s
        self._traffic = traffic
        self._room = room
        self._queue = queue
        self._slot_limit = math.inf
        """Mean number of slots per engine with which answers are fast enough."""
        self._pace_updated_s = -math.inf
        self._contention_checked_s = -math.inf
        self._contended = False
        self._limited = False
        self._limit_logged_s = 0.0
        self._dispatch_times_s: collections.deque[float] = collections.deque()

    def slot_share(self, now_s: float) -> float:
        """Return this front's share of the slots of all usable servers.

        Args:
            now_s: Monotonic time in seconds.
        """
        usable_servers = self._server_view.usable(self._service().name, now_s)
        slot_limit = self._slot_limit
        share = self._room.shares(len(self._queue), now_s).ratio
        return share * sum(min(entry.slots, slot_limit) for entry in usable_servers)

    def choose(
        self,
        excluded: Collection[ids.BackendServerId],
        now_s: float,
        origin: traffic_control.Origin,
        ahead: int = 0,
    ) -> servers.ServerEntry | None:
        """Choose a server for a request and count the request as sent to it.

        Args:
            excluded: Servers that ran or may have run the request.
            now_s: Monotonic time in seconds.
            origin: What is known of the request's traffic.
            ahead: Number of queued requests that go ahead of it.

        Returns:
            The server, or None if none can take the request now.
        """
        chosen = self.find(excluded, now_s, origin, ahead)
        if chosen is None:
            return None
        self._server_load.record_start(chosen.id, now_s)
        self._dispatch_times_s.append(now_s)
        self._notice_board.limits.record_send(chosen.id)
        if self._service().cold_rate_per_s > 0.0:
            self._cold_limits.record_send(chosen.id, now_s)
        return chosen

    def find(
        self,
        excluded: Collection[ids.BackendServerId],
        now_s: float,
        origin: traffic_control.Origin | None = None,
        ahead: int = 0,
    ) -> servers.ServerEntry | None:
        """Find a server for a request; see `choose`. Nothing is counted.

        Args:
            excluded: Servers that ran or may have run the request.
            now_s: Monotonic time in seconds.
            origin: What is known of the request's traffic, or None to ignore data centres.
            ahead: Number of queued requests that go ahead of it.
        """
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
        reported = reports_load(service)
        slot_limit = self._slot_limit
        part = self._part(candidates, now_s) if reported else None
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
        if self._traffic.enabled and origin is not None and candidates:
            all_candidates = len(candidates)
            situation = self._situation(
                candidates, excluded, queue_limit, slot_limit, unreported, ahead, now_s
            )
            candidates = self._traffic.select(origin, situation, now_s)
            # Other fronts send to their own data centres, all together to all servers.
            unreported *= len(candidates) / all_candidates
        return self._server_load.choose(
            candidates,
            excluded,
            queue_limit,
            reported,
            now_s,
            unreported,
            self._front_count() if reported else 1,
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
            reports_expected=reports_load(service),
            duration_s=self._queue.duration_s,
            slot_share=self.slot_share(now_s),
            ahead=ahead,
            starts_in_transit=unreported,
        )

    def _part(
        self, candidates: Collection[servers.ServerEntry], now_s: float
    ) -> free_slots.Part | None:
        """Return this front's part of the servers, or None while the service is not contended."""
        if not self._contended and now_s - self._contention_checked_s < UPDATE_INTERVAL_S:
            return None
        self._contention_checked_s = now_s
        usage = self._server_load.usage(candidates, now_s)
        slots = sum(entry.slots for entry in candidates)
        part = self._room.part(usage, slots, len(self._queue), now_s)
        self._contended = part is not None
        return part

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

    def update_pace(self, now_s: float) -> None:
        """Follow the pace of the engines, and log when it begins or ceases to limit requests.

        Args:
            now_s: Monotonic time in seconds.
        """
        service = self._service()
        if service.engine is None or now_s - self._pace_updated_s < UPDATE_INTERVAL_S:
            return
        self._pace_updated_s = now_s
        pause_s = self._pace.pause_s(now_s)
        self._queue.expected_times = answer_times.at_pace(service.engine, pause_s)
        target_s = self._pace_target_s()
        limit = math.inf
        if target_s is not None:
            limit = self._pace.requests_per_engine(service.engine, target_s, now_s)
        self._slot_limit = limit
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


def reports_load(service: routes.Service) -> bool:
    """Return whether the servers of a service report their load.

    Args:
        service: The service.
    """
    return service.engine is not None and service.engine.experts is not None
