"""Process on a VM with a model engine: tells the fronts its load, free of charge from here."""

from __future__ import annotations

import asyncio
import logging
import signal

from gentianpaddle_core.serving import engine_state, members, routes
from gentianpaddle_gateway import (
    coordinator,
    http_client,
    http_server,
    local_engine,
    log,
    peers,
    processes,
    side_calls,
    store_watch,
)
from gentianpaddle_platform import documents, engines, objects, settings

_logger = logging.getLogger("gentianpaddle.side")

REPORT_INTERVAL_S = 0.1
"""Pause between reads of the engine's report; two of its passes."""

REPEAT_INTERVAL_S = 0.4
"""Longest pause between datagrams to the fronts, which believe a load for 1 s."""

CONFIGURATION_INTERVAL_S = 20.0
"""Pause between stale reads of the configuration, for the shape of the engine's experts."""

CONFIGURATION_RETRY_S = 0.5
"""Same while the shape is not known."""


class Side:
    """One process beside an engine.

    Args:
        process_settings: Settings of this process.
        engine_address: Host and port of the engine on this VM.
    """

    def __init__(self, process_settings: settings.Settings, engine_address: str) -> None:
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
        self._store = objects.ObjectStore(
            http_client.KeptTransport(process_settings.store_address),
            store_watch.CALL_TIMEOUT_S,
        )
        self._registration = peers.Registration(
            self._members,
            objects.ObjectStore(
                http_client.KeptTransport(process_settings.store_address),
                store_watch.CALL_TIMEOUT_S,
            ),
        )
        self._engine = local_engine.LocalEngine(engine_address)
        self._calls = side_calls.SideCalls(self._members.own, self._engine)
        self._coordinator = coordinator.Coordinator(self._members, self._engine, self._calls)
        self._datagrams: peers.Datagrams | None = None
        self._stopping = asyncio.Event()
        self._sent: peers.EngineLoad | None = None
        self._turn = 0
        self._sent_s = 0.0
        self._answering: bool | None = None

    async def run(self) -> None:
        """Report until SIGTERM."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        log.event(_logger, "start", engine=self._engine_address)
        self._datagrams = await peers.open_datagrams(
            self._settings.ip, self._settings.port, lambda data: None
        )
        own = self._settings
        server = http_server.Server(self._calls.serve, lambda: routes.DEFAULT_CLIENT_LIMITS)
        await server.listen(f"{own.ip}:{own.port}")
        work = [self._registration.run(), self._report_loads()]
        if own.experts_placed:
            work += [self._read_shape(), self._coordinator.run()]
        tasks = [loop.create_task(item) for item in work]
        for task in tasks:
            task.add_done_callback(processes.end_on_defect)
        await self._stopping.wait()
        for task in tasks:
            task.cancel()
        log.event(_logger, "stop")

    def _reload(self) -> None:
        # Nothing of a side changes while it runs; a changed address comes with a new start.
        read = settings.read()
        rejected = isinstance(read, settings.Rejected)
        log.event(_logger, "reload", changed=read != self._settings, rejected=rejected)

    async def _read_shape(self) -> None:
        while True:
            listing = await self._store.list(documents.CONFIGURATION_KIND, stale=True)
            if isinstance(listing, objects.Listing):
                self._take_shape(listing)
            known = self._coordinator.shape is not None
            await asyncio.sleep(CONFIGURATION_INTERVAL_S if known else CONFIGURATION_RETRY_S)

    def _take_shape(self, listing: objects.Listing) -> None:
        found = objects.named(listing.objects, documents.CONFIGURATION_NAME)
        table = documents.decode_routing(found.spec) if found is not None else None
        name = self._settings.engine_service
        service = table.service_by_name.get(name) if table is not None and name else None
        if service is not None and service.engine is not None:
            self._coordinator.shape = service.engine.experts

    async def _report_loads(self) -> None:
        while True:
            report = engines.decode_report(await self._engine.report())
            self._note_answering(report is not None)
            if report is not None:
                self._tell(report)
            await asyncio.sleep(REPORT_INTERVAL_S)

    def _note_answering(self, answering: bool) -> None:
        if answering != self._answering:
            self._answering = answering
            log.event(_logger, "engine_answers" if answering else "engine_lost")

    def _tell(self, report: engine_state.EngineReport) -> None:
        now_s = asyncio.get_running_loop().time()
        load = peers.EngineLoad(
            self._engine_address,
            report.running + report.queued,
            report.group_open,
            report.slowness,
            report.started_ms,
        )
        if self._datagrams is None or (
            load == self._sent and now_s - self._sent_s < REPEAT_INTERVAL_S
        ):
            return
        self._sent, self._sent_s = load, now_s
        self._turn += 1
        fronts = [member for member in self._members.others() if member.front_address is not None]
        near, relays = peers.receivers(fronts, self._members.own, self._turn)
        for receivers, to_pass_on in ((near, False), (relays, True)):
            data = peers.encode_loads(peers.Loads([load], to_pass_on))
            for member in receivers:
                self._datagrams.send(data, member)
