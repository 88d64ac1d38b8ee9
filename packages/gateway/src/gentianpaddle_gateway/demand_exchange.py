"""Exchanges the demand of this front with the other fronts, and derives its shares from it."""

from __future__ import annotations

import logging
import random
from collections.abc import Mapping

from gentianpaddle_core.serving import free_slots, members, placement, room_share, routes
from gentianpaddle_gateway import log, metrics, peers

_logger = logging.getLogger("gentianpaddle.servers")

SHARES_INTERVAL_S = 0.1
"""Interval between computations of the shares. Each of up to 60 fronts announces its demand twice
per second, and requests are dispatched several hundred times per second."""

MIN_LOG_INTERVAL_S = 1.0
"""Minimum interval between two log lines about one service."""


class ServiceRoom:
    """Share of this front in the capacity of one service.

    Args:
        service: The service.
        table: Demand that the other fronts have announced.
        member_view: Known VMs of the system.
        process_metrics: Metrics of this process.
    """

    def __init__(
        self,
        service: routes.ServiceName,
        table: room_share.DemandTable,
        member_view: members.MemberView,
        process_metrics: metrics.Metrics,
    ) -> None:
        self.demand = room_share.ServiceDemand()
        self._service = service
        self._table = table
        self._member_view = member_view
        self._metrics = process_metrics
        self._shares: room_share.Shares | None = None
        self._shares_s = 0.0
        self._rounding = 0.0
        self._rounding_s = 0.0
        self._logged_contended = False
        self._logged_s = 0.0

    def record_rejected(self, now_s: float) -> None:
        """Record that a server rejected a request of this front.

        Args:
            now_s: Monotonic time in seconds.
        """
        self.demand.record_rejected(now_s)
        self._metrics.count_rejected(self._service)

    def shares(self, waiting: int, now_s: float) -> room_share.Shares:
        """Return the shares of the fronts in the capacity of the service.

        Args:
            waiting: Number of requests that wait for a server.
            now_s: Monotonic time in seconds.
        """
        if self._shares is None or now_s - self._shares_s >= SHARES_INTERVAL_S:
            self._shares_s = now_s
            self._shares = self._table.shares(
                self._service,
                self.demand.demand(waiting, now_s),
                [member.vm for member in self._member_view.other_fronts()],
                self._member_view.front_count(),
                now_s,
            )
        return self._shares

    def part(
        self, usage: free_slots.Usage, slots: float, waiting: int, now_s: float
    ) -> free_slots.Part | None:
        """Return the part that this front may use, or None while the service is not contended.

        Args:
            usage: Use of the servers.
            slots: Number of their slots that may be used.
            waiting: Number of requests that wait for a server.
            now_s: Monotonic time in seconds.
        """
        contended = self.demand.is_contended(usage.reported, slots, now_s)
        if contended != self._logged_contended and now_s - self._logged_s >= MIN_LOG_INTERVAL_S:
            self._logged_contended, self._logged_s = contended, now_s
            log.event(
                _logger,
                "contended" if contended else "contention_ended",
                service=self._service,
                taken=usage.reported,
                slots=slots,
                own=usage.own,
                waiting=waiting,
                share=self.shares(waiting, now_s).ratio,
            )
        if not contended:
            return None
        return free_slots.new_part(self.shares(waiting, now_s), usage.own, slots)

    def rounding(self, now_s: float) -> float:
        """Return the random number that rounds this front's part of the room of the service.

        It changes as often as requests of other fronts become visible in the reports.

        Args:
            now_s: Monotonic time in seconds.
        """
        if now_s - self._rounding_s >= placement.REPORT_VISIBILITY_DELAY_S:
            self._rounding, self._rounding_s = random.random(), now_s
        return self._rounding


class DemandExchange:
    """Demand for all services, at one front.

    Args:
        member_view: Known VMs of the system.
        process_metrics: Metrics of this process.
    """

    def __init__(self, member_view: members.MemberView, process_metrics: metrics.Metrics) -> None:
        self._member_view = member_view
        self._metrics = process_metrics
        self._table = room_share.DemandTable(member_view.own.vm)
        self._room_by_service: dict[routes.ServiceName, ServiceRoom] = {}

    def room(self, service: routes.ServiceName) -> ServiceRoom:
        """Return the share of this front in the capacity of a service.

        Args:
            service: The service.
        """
        found = self._room_by_service.get(service)
        if found is None:
            found = self._room_by_service[service] = ServiceRoom(
                service, self._table, self._member_view, self._metrics
            )
        return found

    def announce(
        self, waiting_by_service: Mapping[routes.ServiceName, int], now_s: float
    ) -> dict[routes.ServiceName, float]:
        """Return the demand that is sent with the next heartbeat.

        Args:
            waiting_by_service: Number of requests that wait for a server.
            now_s: Monotonic time in seconds.
        """
        demand_by_service = {}
        for service, room in self._room_by_service.items():
            waiting = waiting_by_service.get(service, 0)
            demand_by_service[service] = room.demand.demand(waiting, now_s)
            share = room.shares(waiting, now_s).ratio
            self._metrics.set_demand(service, demand_by_service[service], share)
        announced = room_share.announced(demand_by_service)
        own = self._member_view.own.vm
        self._table.remove_unknown([own, *(item.vm for item in self._member_view.other_fronts())])
        self._table.record(own, announced, now_s)
        return announced

    def receive(self, heartbeat: peers.Heartbeat, now_s: float) -> None:
        """Record the demand of another front.

        Args:
            heartbeat: Heartbeat of the front.
            now_s: Monotonic time in seconds.
        """
        if heartbeat.serving:
            self._table.record(heartbeat.member.vm, heartbeat.demand_by_service, now_s)
        else:
            self._table.remove(heartbeat.member.vm)
