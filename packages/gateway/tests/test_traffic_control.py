"""Traffic between data centres as a front's queue and process apply it."""

from __future__ import annotations

import asyncio
import pathlib
import random

import pytest
from gentianpaddle_platform_standins import documents, front_system

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
    main,
    metrics,
    server_selection,
    service_queue,
    traffic_control,
)

SERVICE = routes.ServiceName("app")
HOME = ids.DataCentreId("a")
Reason = data_centre_traffic.Reason


def route(target_s: float = 0.4) -> routes.Route:
    return routes.Route(
        name="look",
        host="h",
        path_prefix="/",
        kind=routes.RouteKind.SAFE,
        resumable=False,
        timeout_s=4.0,
        target_s=target_s,
        target_event_gap_s=None,
        caller_patience_s=None,
        max_attempts=2,
        public=False,
        priority=1,
        weight_by_service=((SERVICE, 1.0),),
    )


def entry(number: int) -> servers.ServerEntry:
    return servers.ServerEntry(
        id=ids.BackendServerId(f"i-{number}"),
        service=SERVICE,
        address=f"10.0.0.{number}:80",
        data_centre=ids.DataCentreId("abc"[number % 3]),
        slots=2,
        draining=False,
        started_ms=0,
        cold_ms=0.0,
    )


GROUP = request_queue.RequestGroup()
MEMBER = members.Member(ids.VmId("f"), HOME, "10.0.0.1", 1, "10.0.0.1:2", None)


def new_room() -> demand_exchange.ServiceRoom:
    """Create the room of the only front."""
    view = members.MemberView(MEMBER)
    view.replace([MEMBER], 0.0)
    return demand_exchange.DemandExchange(view, metrics.new_metrics()).room(SERVICE)


class Front:
    """Queue of one front with nine servers in three data centres."""

    def __init__(self, enabled: bool, servers_at_home: int = 3, seed: int = 1) -> None:
        self.fleet = [entry(number) for number in range(9)]
        self.fleet = [
            each for each in self.fleet if each.data_centre != HOME or servers_at_home > 0
        ]
        self.load = placement.new_placement(HOME, seed, 0.0)
        view = servers.ServerView()
        view.replace(self.fleet, 0.0)
        limits = server_limits.ServerLimits(lambda key: 0, lambda: 1)
        self.service = routes.Service(SERVICE, 50, 0.0, None)
        self.queue = service_queue.ServiceQueue(
            lambda: self.service,
            view,
            self.load,
            rates.ColdStartLimiter(1.5, 5.0, lambda key: 0),
            server_notices.NoticeBoard(limits),
            lambda: 1,
            pace_limit.PaceLimit(),
            lambda: None,
            traffic_control.TrafficControl(
                SERVICE, HOME, gateway_settings.DataCentreTraffic(enabled), self.load
            ),
            new_room(),
        )

    async def acquire(
        self, excluded: tuple[ids.BackendServerId, ...] = ()
    ) -> tuple[servers.ServerEntry, data_centre_traffic.Reason | None]:
        now_s = asyncio.get_running_loop().time()
        traffic = data_centre_traffic.RequestTraffic(1_000, 0.0)
        found = await self.queue.acquire(
            route(), GROUP, excluded, now_s, now_s + 4.0, None, lambda: False, traffic
        )
        assert isinstance(found, servers.ServerEntry)
        return found, traffic.reason


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_default_places_as_before(seed: int) -> None:
    """Guards against a change of the placement where the settings do not ask for it."""

    async def scenario() -> None:
        front = Front(enabled=False, seed=seed)
        expected = placement.new_placement(HOME, seed, 0.0)
        rng = random.Random(seed)
        running: list[ids.BackendServerId] = []
        away = 0
        for _ in range(300):
            now_s = asyncio.get_running_loop().time()
            if len(running) == 40 or (running and rng.random() < 0.45):
                ended = running.pop(rng.randrange(len(running)))
                front.queue.release(ended, 0.1, GROUP)
                expected.record_end(ended)
                continue
            chosen, reason = await front.acquire()
            limit = server_selection.PLAIN_SERVER_QUEUE_LIMIT
            assert expected.choose(front.fleet, (), limit, False, now_s) == chosen
            assert reason is None
            expected.record_start(chosen.id, now_s)
            running.append(chosen.id)
            away += chosen.data_centre != HOME
        assert away > 20

    asyncio.run(scenario())


def test_enabled_fills_the_home_servers_first() -> None:
    """Guards against traffic between data centres while a server at home has room."""

    async def scenario() -> None:
        front = Front(enabled=True)
        chosen, _ = await front.acquire()
        front.queue.release(chosen.id, 0.1, GROUP)
        room = 3 * (2 + server_selection.PLAIN_SERVER_QUEUE_LIMIT)
        found = [await front.acquire() for _ in range(room)]
        assert {chosen.data_centre for chosen, _ in found} == {HOME}
        assert {reason for _, reason in found} == {None}
        # The next ones wait, then leave, and stay again as soon as there is room.
        tasks = [asyncio.create_task(front.acquire()) for _ in range(6)]
        for _ in range(100):
            await asyncio.sleep(0.02)
            front.queue.dispatch()
        away = [task.result() for task in tasks]
        assert HOME not in {chosen.data_centre for chosen, _ in away}
        assert {reason for _, reason in away} == {Reason.HOME_FULL}
        front.queue.release(found[0][0].id, 0.1, GROUP)
        chosen, reason = await front.acquire()
        assert (chosen.data_centre, reason) == (HOME, None)

    asyncio.run(scenario())


def test_enabled_without_a_server_at_home() -> None:
    """Guards against requests that wait for servers that their data centre does not have."""

    async def scenario() -> None:
        front = Front(enabled=True, servers_at_home=0)
        chosen, reason = await front.acquire()
        assert chosen.data_centre != HOME
        assert reason is Reason.NO_HOME_SERVER

    asyncio.run(scenario())


def test_repeat_leaves_at_once_when_home_is_full() -> None:
    """Guards against a repeat, whose time is short, that waits for the share to rise."""

    async def scenario() -> None:
        front = Front(enabled=True)
        for _ in range(3 * (2 + server_selection.PLAIN_SERVER_QUEUE_LIMIT)):
            chosen, _ = await front.acquire()
        _, reason = await front.acquire((chosen.id,))
        assert reason is Reason.REPEAT

    asyncio.run(scenario())


@pytest.mark.parametrize("enabled", [False, True])
def test_process_counts_traffic(
    tmp_path: pathlib.Path, enabled: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against traffic between data centres that no metric shows."""
    settings_file = tmp_path / "own.toml"
    settings_file.write_text(f"[data_centre_traffic]\nenabled = {str(enabled).lower()}\n")
    monkeypatch.setenv(gateway_settings.PATH_VARIABLE, str(settings_file))

    async def scenario() -> None:
        async with front_system.system(tmp_path) as running:
            for standin in running.replicas:
                running.store.put("servers", standin.server, standin.entry("app", "south"))
            await asyncio.sleep(0.3)
            answer = await running.ask("/look/1", "POST", b"x" * 100)
            assert answer.status == 200
            reason = Reason.NO_HOME_SERVER if enabled else Reason.DISABLED
            data = front_system.plain_request("/metrics")
            text = (await front_system.call(running.host, 9464, data)).body.decode()
            labels = f'{{data_centre="south",reason="{reason}"}}'
            name = "gentianpaddle_front_data_centre"
            assert f"{name}_requests_total{labels} 1" in text
            assert f"{name}_bytes_total{labels} {100 + len(answer.body)}" in text

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "text", ["[data_centre_traffic]\ncost_per_gb = -1", "[data_centre_traffic]\nenabled = 1", "x"]
)
def test_rejected_settings_end_the_process(
    tmp_path: pathlib.Path,
    text: str,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a process that ignores a mistake in its settings."""
    platform_file, own_file = tmp_path / "node.toml", tmp_path / "own.toml"
    platform_file.write_text(documents.settings_text("f", "127.0.0.9", 21_900, "127.0.0.9:1"))
    own_file.write_text(text)
    monkeypatch.setenv("GENTIANPADDLE_NODE_FILE", str(platform_file))
    monkeypatch.setenv(gateway_settings.PATH_VARIABLE, str(own_file))
    assert main.main() == main.INVALID_SETTINGS_EXIT_CODE
    assert str(own_file) in capsys.readouterr().err
