"""Use of the demand of the fronts in the queue of a service, without processes."""

from __future__ import annotations

import asyncio
import typing

import pytest

from gentianpaddle_core import ids
from gentianpaddle_core.serving import (
    data_centre_traffic,
    members,
    pace_limit,
    placement,
    rates,
    request_queue,
    routes,
    server_limits,
    server_notices,
    servers,
)
from gentianpaddle_gateway import (
    demand_exchange,
    gateway_settings,
    metrics,
    peers,
    service_queue,
    traffic_control,
)

SERVICE = routes.ServiceName("s")
ENGINE = routes.EngineCapacity(5, 1, 10.0, 1.0, 1e4, 512, 10_000, routes.ExpertLimits(1, 8, 4, 2))
FRONTS, ENGINES = 4, 10
GROUP = request_queue.RequestGroup()
STARTS = 3


class RecordingPlacement(placement.Placement):
    """Placement that records the arguments of `choose`."""

    def __init__(self) -> None:
        super().__init__(ids.DataCentreId("a"), 1, 0.0)
        self.chosen_with: list[tuple[typing.Any, ...]] = []

    def choose(self, *args: typing.Any) -> servers.ServerEntry | None:  # type: ignore[override]
        self.chosen_with.append(args)
        return super().choose(*args)


def front(number: int) -> members.Member:
    ip = f"10.0.0.{number}"
    return members.Member(ids.VmId(f"f{number}"), ids.DataCentreId("a"), ip, 1, f"{ip}:2", None)


def new_queue(
    taken_per_engine: int, now_s: float
) -> tuple[service_queue.ServiceQueue, demand_exchange.DemandExchange, RecordingPlacement]:
    """Create the queue of front 0, which has a small part of the demand."""
    view = members.MemberView(front(0))
    view.replace([front(number) for number in range(FRONTS)], now_s)
    exchange = demand_exchange.DemandExchange(view, metrics.new_metrics())
    for number in range(1, FRONTS):
        demand = {SERVICE: 30.0}
        exchange.receive(peers.Heartbeat(front(number), True, 1, [], False, demand), now_s)
    centre = ids.DataCentreId("a")
    entries = [
        servers.ServerEntry(ids.BackendServerId(f"i-{n}"), SERVICE, "h:1", centre, 5, False, 0, 0.0)
        for n in range(ENGINES)
    ]
    server_view = servers.ServerView()
    server_view.store_answered(now_s)
    server_view.replace(entries, now_s)
    loads = RecordingPlacement()
    # The group has been open for longer than `placement.OPENING_S`.
    for age_s in (2.0, 1.5, 1.0, 0.5, 0.0):
        for entry in entries:
            loads.record_report(entry.id, taken_per_engine, True, 1.0, now_s - age_s)
    queue = service_queue.ServiceQueue(
        lambda: routes.Service(SERVICE, 8, 0.0, ENGINE),
        server_view,
        loads,
        rates.ColdStartLimiter(1.5, 5.0, view.front_rank),
        server_notices.NoticeBoard(server_limits.ServerLimits(view.own.vm, lambda _: [])),
        view.front_count,
        pace_limit.PaceLimit(),
        lambda: None,
        traffic_control.TrafficControl(
            SERVICE, centre, gateway_settings.DataCentreTraffic(), loads
        ),
        exchange.room(SERVICE),
    )
    return queue, exchange, loads


async def acquire(queue: service_queue.ServiceQueue, now_s: float) -> servers.ServerEntry | None:
    kind, weights = routes.RouteKind.STREAMING, ((SERVICE, 1.0),)
    route = routes.Route("r", "h", "/", kind, True, 8.0, 0.4, None, None, 2, False, 1, weights)
    try:
        async with asyncio.timeout(0.02):
            traffic = data_centre_traffic.RequestTraffic(1_000, 0.0)
            found = await queue.acquire(
                route, GROUP, (), now_s, now_s + 8.0, None, lambda: False, traffic
            )
    except TimeoutError:
        return None
    return found if isinstance(found, servers.ServerEntry) else None


@pytest.mark.parametrize("rejected", [False, True])
def test_uncontended_service_is_placed_as_without_announcements(rejected: bool) -> None:
    """Guards against requests that wait, or go elsewhere, while enough slots are free."""

    async def scenario() -> None:
        now_s = asyncio.get_running_loop().time()
        queue, exchange, loads = new_queue(3, now_s)
        if rejected:
            exchange.room(SERVICE).record_rejected(now_s)
        for number in range(STARTS):
            assert await acquire(queue, now_s) is not None
            unreported, front_count, _, part = loads.chosen_with[-1][5:]
            assert part is None
            # All fronts are assumed to have started as many requests as this one.
            expected = number * (FRONTS - 1) * placement.REPORT_VISIBILITY_DELAY_S
            assert (unreported, front_count) == (pytest.approx(expected), FRONTS)

    asyncio.run(scenario())


def test_contended_service_gets_replacements_only() -> None:
    """Guards against a front that sends to full engines, or waits to replace its own request."""

    async def scenario() -> None:
        now_s = asyncio.get_running_loop().time()
        queue, exchange, loads = new_queue(4, now_s)
        first = await acquire(queue, now_s)
        assert first is not None
        for number in range(ENGINES):
            server = ids.BackendServerId(f"i-{number}")
            loads.record_report(server, 5, True, 1.0, now_s)
            loads.record_report(server, 5, True, 1.0, now_s)
        assert await acquire(queue, now_s) is None
        queue.release(first.id, 1.0, GROUP)
        replacement = await acquire(queue, now_s)
        assert replacement is not None
        assert replacement.id == first.id
        assert exchange.room(SERVICE).shares(0, now_s).ratio < 1.0 / FRONTS

    asyncio.run(scenario())
