"""Side process on a VM with a model engine, which sends the load of the engine to the fronts.

Calls to the engine are free of charge on its own VM.
"""

from __future__ import annotations

import asyncio
import logging
import random
import signal

from gentianpaddle_core.serving import collectors, engine_state, group_stall, members, routes
from gentianpaddle_gateway import (
    background_tasks,
    caller_limits,
    coordinator,
    distribution,
    engine_client,
    gateway_settings,
    http_client,
    http_server,
    log,
    metrics,
    peers,
    side_calls,
    store_calls,
    store_eras,
    store_watch,
)
from gentianpaddle_platform import documents, engines, objects, settings

_logger = logging.getLogger("gentianpaddle.side")

REPORT_INTERVAL_S = 0.1
"""Interval between reads of the engine's report; about two passes of the engine."""

LOAD_REPEAT_INTERVAL_S = 0.4
"""Time after which an unchanged load is sent again. Fronts discard a load after 1 s."""

CONFIGURATION_INTERVAL_S = 20.0
"""Interval between stale reads of the configuration, which holds the engine's expert shape, while
this process coordinates. Others read it once, so that they know it if the store is down when they
become the coordinator."""

CONFIGURATION_RETRY_RANGE_S = (0.5, 4.0)
"""Shortest and longest interval between reads of the configuration while the expert shape is not
known. The interval doubles with each read and is reduced at random by up to one half."""

STANDBY_INTERVAL_S = 0.2
"""Interval at which a process that does not coordinate checks whether it does."""


class SideProcess:
    """Side process of one engine.

    Args:
        process_settings: Settings of this process.
        engine_address: Host and port of the engine on this VM.
        own_settings: Our own settings.
    """

    def __init__(
        self,
        process_settings: settings.Settings,
        engine_address: str,
        own_settings: gateway_settings.GatewaySettings,
    ) -> None:
        self._caller_limits = caller_limits.CallerLimits(
            own_settings.caller_limits, process_settings.machine_limits, metrics.new_metrics()
        )
        self._settings = process_settings
        self._engine_address = engine_address
        self._members = members.MemberView(
            members.Member(
                vm=process_settings.vm,
                data_centre=process_settings.data_centre,
                ip=process_settings.ip,
                port=process_settings.port,
                front_address=None,
                engine_address=engine_address,
            )
        )
        self._store_calls = store_calls.StoreCalls()
        self._eras = store_eras.StoreEras()
        self._store = objects.ObjectStore(
            http_client.PersistentTransport(process_settings.store_address),
            store_watch.CALL_TIMEOUT_S,
            "expert_shape",
            self._store_calls,
            self._eras,
        )
        self._registration = peers.Registration(
            self._members,
            objects.ObjectStore(
                http_client.PersistentTransport(process_settings.store_address),
                store_watch.CALL_TIMEOUT_S,
                "members",
                self._store_calls,
                self._eras,
            ),
            needs_all=self._needs_all_members,
            eras=self._eras,
        )
        self._collectors = collectors.CollectorView()
        self._engine = engine_client.EngineClient(engine_address)
        self._calls = side_calls.SideCalls(self._members.own, self._engine)
        self._coordinator = coordinator.Coordinator(self._members, self._engine, self._calls)
        self._submitter: distribution.Submitter | None = None
        self._stopping = asyncio.Event()
        self._last_load: peers.EngineLoad | None = None
        self._last_sent_s = 0.0
        self._engine_answering: bool | None = None
        self._group_stall = group_stall.GroupStall()
        self._stalled = False

    async def run(self) -> None:
        """Send the engine's load, and coordinate experts if enabled, until SIGTERM."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        log.event(_logger, "start", engine=self._engine_address)
        datagrams = await peers.open_datagrams(
            self._settings.ip, self._settings.port, self._receive_datagram
        )
        self._submitter = distribution.Submitter(self._members, self._collectors, datagrams)
        config = self._settings
        server = http_server.Server(
            self._calls.serve,
            lambda: routes.DEFAULT_CLIENT_LIMITS,
            self._caller_limits,
            side_calls.needs_body,
        )
        await server.listen(f"{config.ip}:{config.port}")
        coroutines = [
            self._registration.run(),
            self._report_loads(),
            self._store_calls.log_regularly(),
        ]
        if config.expert_placement_enabled:
            coroutines += [self._poll_expert_shape(), self._coordinator.run()]
        tasks = [loop.create_task(item) for item in coroutines]
        for task in tasks:
            task.add_done_callback(background_tasks.exit_on_failure)
        await self._stopping.wait()
        for task in tasks:
            task.cancel()
        self._store_calls.log_summary(logging.INFO)
        log.event(_logger, "stop")

    def _needs_all_members(self) -> bool:
        """Return whether all registered VMs must be known, to reach fronts or other engines."""
        now_s = asyncio.get_running_loop().time()
        collectors_known = self._collectors.current(self._members.own.data_centre, now_s)
        calls_ranks = self._coordinator.active or self._coordinator.rescuing
        return calls_ranks or not collectors_known

    def _receive_datagram(self, data: bytes, sender: peers.SocketAddress) -> None:
        batch = distribution.decode_batch(data)
        for message in batch.messages if batch is not None else ():
            heartbeat = peers.decode_heartbeat(message)
            if heartbeat is not None:
                now_s = asyncio.get_running_loop().time()
                self._collectors.record(heartbeat.member, heartbeat.collecting, now_s)
                # A side process reads the store rarely.
                self._eras.learn(heartbeat.latest_era)

    def _reload(self) -> None:
        # No setting of a side process can change at run time; a changed address requires a restart.
        loaded = settings.load()
        rejected = isinstance(loaded, settings.Rejected)
        log.event(_logger, "reload", changed=loaded != self._settings, rejected=rejected)

    async def _poll_expert_shape(self) -> None:
        retry_s, longest_retry_s = CONFIGURATION_RETRY_RANGE_S
        while True:
            listing = await self._store.list(documents.CONFIGURATION_KIND, allow_stale=True)
            if isinstance(listing, objects.Listing):
                self._apply_expert_shape(listing)
            if self._coordinator.expert_shape is None:
                await asyncio.sleep(retry_s * random.uniform(0.5, 1.0))
                retry_s = min(2.0 * retry_s, longest_retry_s)
                continue
            await asyncio.sleep(CONFIGURATION_INTERVAL_S)
            while not self._coordinator.active:
                await asyncio.sleep(STANDBY_INTERVAL_S)

    def _apply_expert_shape(self, listing: objects.Listing) -> None:
        configuration = objects.find_by_name(listing.objects, documents.CONFIGURATION_NAME)
        table = documents.decode_routing(configuration.spec) if configuration is not None else None
        service_name = self._settings.engine_service
        service = (
            table.service_by_name.get(service_name) if table is not None and service_name else None
        )
        if service is not None and service.engine is not None:
            self._coordinator.expert_shape = service.engine.experts

    async def _report_loads(self) -> None:
        while True:
            report = engines.decode_report(await self._engine.read_report())
            self._set_engine_answering(report is not None)
            if report is not None:
                self._send_load(report)
            await asyncio.sleep(REPORT_INTERVAL_S)

    def _set_engine_answering(self, engine_answering: bool) -> None:
        if engine_answering != self._engine_answering:
            self._engine_answering = engine_answering
            log.event(_logger, "engine_answers" if engine_answering else "engine_lost")

    def _send_load(self, report: engine_state.EngineReport) -> None:
        now_s = asyncio.get_running_loop().time()
        stalled = self._group_stall.record(report, now_s)
        if stalled != self._stalled:
            self._stalled = stalled
            name = "group_stalled" if stalled else "group_continues"
            log.event(_logger, name, group=report.group, epoch=report.epoch, at=report.last_pass)
        load = peers.EngineLoad(
            self._engine_address,
            report.running + report.queued,
            report.group_accepts_requests,
            report.slowdown_factor,
            report.started_ms,
            stalled,
        )
        if self._submitter is None or (
            load == self._last_load and now_s - self._last_sent_s < LOAD_REPEAT_INTERVAL_S
        ):
            return
        if self._submitter.submit(peers.encode_load(load)):
            self._last_load, self._last_sent_s = load, now_s
