"""Applies the decisions on traffic between data centres to the requests of one service."""

from __future__ import annotations

import dataclasses
import logging
from collections.abc import Collection, Sequence

from gentianpaddle_core import ids
from gentianpaddle_core.serving import (
    data_centre_gain,
    data_centre_load,
    data_centre_traffic,
    placement,
    request_queue,
    routes,
    servers,
)
from gentianpaddle_gateway import gateway_settings, log

_logger = logging.getLogger("gentianpaddle.traffic")


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Request for which a server is chosen."""

    route: routes.Route
    arrived_s: float
    """Monotonic time of its arrival in seconds."""
    traffic: data_centre_traffic.RequestTraffic


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """Servers and queue of a service at one moment."""

    service: routes.Service
    usable: Sequence[servers.ServerEntry]
    """Servers that are listed and do not leave."""
    candidates: Sequence[servers.ServerEntry]
    """Those of them that may get a request now."""
    excluded: Collection[ids.BackendServerId]
    """Servers that ran or may have run the request."""
    max_queued: int
    slot_limit: float
    reports_expected: bool
    duration_s: float
    """Mean time for which a request occupies a slot."""
    slot_share: float
    """This front's share of all slots."""
    ahead: int
    """Number of requests that wait ahead of this one."""
    starts_in_transit: float
    """Number of requests of other fronts that no report includes yet."""


class TrafficControl:
    """Traffic between data centres of one service at one front.

    Args:
        service: Name of the service.
        data_centre: Data centre of this front.
        section: Settings of the operator.
        server_load: Load of the servers.
    """

    def __init__(
        self,
        service: routes.ServiceName,
        data_centre: ids.DataCentreId,
        section: gateway_settings.DataCentreTraffic,
        server_load: placement.Placement,
    ) -> None:
        self.enabled = section.enabled
        self._service = service
        self._data_centre = data_centre
        self._server_load = server_load
        self._cold_servers = data_centre_load.ColdServers()
        self._traffic = data_centre_traffic.new_data_centre_traffic(
            data_centre, section.cost_per_gb
        )

    def may_leave(self, origin: Origin) -> bool:
        """Return whether a queued request might leave, before its gain is computed.

        Args:
            origin: The request.
        """
        limit = self._traffic.share * data_centre_traffic.MAX_PREFERENCE
        return self.enabled and origin.traffic.draw < limit

    def select(
        self, origin: Origin, situation: Situation, now_s: float
    ) -> list[servers.ServerEntry]:
        """Return the candidates in the data centre to which a request may be sent now.

        Args:
            origin: The request. The reason why it leaves is recorded in it.
            situation: Servers and queue of the service.
            now_s: Monotonic time in seconds.
        """
        decision = self._decide(origin, situation, now_s)
        data_centre = self._data_centre
        origin.traffic.reason = None
        if isinstance(decision, data_centre_traffic.Leave):
            data_centre, origin.traffic.reason = decision.data_centre, decision.reason
        return [entry for entry in situation.candidates if entry.data_centre == data_centre]

    def _decide(
        self, origin: Origin, situation: Situation, now_s: float
    ) -> data_centre_traffic.Decision:
        service = situation.service
        load_by_data_centre = data_centre_load.sum_up(
            self._server_load,
            [entry for entry in situation.usable if entry.id not in situation.excluded],
            {entry.id for entry in situation.candidates},
            self._cold_servers.update(situation.usable, now_s),
            data_centre_load.ServerRules(
                situation.max_queued,
                situation.slot_limit,
                situation.reports_expected,
                service.cold_rate_per_s * situation.duration_s or float("inf"),
            ),
            now_s,
        )
        home = load_by_data_centre.pop(self._data_centre, None)
        return self._traffic.decide(
            self._request(origin, situation, home, now_s),
            home,
            list(load_by_data_centre.values()),
            service.engine.delay_s_by_link if service.engine is not None else {},
            situation.starts_in_transit,
            now_s,
        )

    def _request(
        self,
        origin: Origin,
        situation: Situation,
        home: data_centre_load.DataCentreLoad | None,
        now_s: float,
    ) -> data_centre_gain.Request:
        route, duration_s = origin.route, situation.duration_s
        streaming = route.kind is routes.RouteKind.STREAMING
        slowness = home.slowness if home is not None else 1.0
        slots = max(situation.slot_share, 0.01)
        return data_centre_gain.Request(
            elapsed_s=now_s - origin.arrived_s,
            target_s=route.target_s,
            work_s=request_queue.FIRST_EVENT_ALLOWANCE_S if streaming else duration_s,
            home_wait_s=(situation.ahead + 1) * duration_s * slowness / slots,
            transfer_bytes=origin.traffic.body_bytes + self._traffic.answer_bytes(route.name),
            draw=origin.traffic.draw,
            repeated=bool(situation.excluded),
            fixed_home=route.home,
        )

    def record_answer(self, route: routes.Route, answer_bytes: int) -> None:
        """Record the size of a complete answer.

        Args:
            route: Route of the request.
            answer_bytes: Size of its body.
        """
        self._traffic.record_answer(route.name, answer_bytes)

    def tick(self, now_s: float) -> None:
        """Update and log the share of requests that leave; called at least every 0.05 s.

        Args:
            now_s: Monotonic time in seconds.
        """
        if not self.enabled:
            return
        self._traffic.tick(now_s)
        change = self._traffic.pop_change(now_s)
        if change is not None:
            log.event(
                _logger,
                "data_centre_share",
                service=self._service,
                previous=change.previous,
                share=change.share,
                gain=change.gain,
                home_slots=change.home_slots,
                home_free=change.home_free,
            )
