"""Process on a VM that callers connect to: forwarder, directory and readiness."""

from __future__ import annotations

import asyncio
import logging
import random
import signal
import time

from gentianpaddle_core import ids
from gentianpaddle_core.serving import members, placement, routes, servers
from gentianpaddle_gateway import (
    beliefs,
    forwarder,
    http_client,
    http_server,
    log,
    meters,
    peers,
    processes,
    service_desk,
    store_watch,
)
from gentianpaddle_platform import directory, headers, objects, settings

_logger = logging.getLogger("gentianpaddle.front")

METRICS_PORT = 9464
"""Fixed in the deploy file, which names it to whoever reads metrics."""

DIRECTORY_TTL_S = 2.0
"""Time that callers keep an answer of the directory; a dead front is left out after 2.6 s."""

LEAVE_LISTENING_S = 3.0
"""Time for callers to hear of a stopping front before it accepts no more connections."""

LEAVE_MARGIN_S = 0.6
"""Time before SIGKILL at which a stopping front ends."""

BEHIND_LIMIT_S = 0.4
"""Time for the store's own news before a front takes another one's; nearly a heartbeat."""

PASS_ON_DELAY_S = 0.03
"""Time for which loads from other data centres are collected; engines report every 0.1 s."""

SNAPSHOT_TIMEOUT_S = 1.0
SNAPSHOT_TARGET = "/v1/beliefs"


class Front:
    """One front.

    Args:
        process_settings: Settings of this process.
    """

    def __init__(self, process_settings: settings.Settings) -> None:
        self._settings = process_settings
        self._member = members.Member(
            vm=process_settings.vm,
            data_centre=process_settings.data_centre,
            ip=process_settings.ip,
            port=process_settings.port,
            front_address=process_settings.front_address,
            engine_address=None,
        )
        self._members = members.MemberView(self._member)
        self._known = beliefs.Beliefs(process_settings.store_address)
        self._known.servers.set_leaving_time(process_settings.bounds.drain_s)
        self._load = placement.new_placement(
            process_settings.data_centre, random.getrandbits(32), time.monotonic()
        )
        self._meters = meters.new_meters()
        self._forwarder = forwarder.Forwarder(
            self._known, self._load, process_settings, self._members, self._meters
        )
        self._callers = http_server.Server(self._forwarder.handle, self._forwarder.limits)
        self._registration = peers.Registration(
            self._members,
            objects.ObjectStore(
                http_client.KeptTransport(process_settings.store_address),
                store_watch.CALL_TIMEOUT_S,
            ),
        )
        self._datagrams: peers.Datagrams | None = None
        self._stopping = asyncio.Event()
        self._behind_since_s: float | None = None
        self._servers_by_address: dict[str, list[servers.ServerEntry]] = {}
        self._loads_to_pass_on: list[peers.EngineLoad] = []
        self._turn = 0

    @property
    def _serving(self) -> bool:
        return self._known.table is not None and not self._stopping.is_set()

    async def run(self) -> None:
        """Serve until SIGTERM, then finish what is in progress."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        log.event(_logger, "start", store=self._settings.store_address)
        self._reload()
        await self._listen()
        work = [
            *(watch.run() for watch in self._known.watches.values()),
            self._registration.run(),
            self._heartbeats(),
            self._pump(),
        ]
        tasks = [loop.create_task(item) for item in work]
        for task in tasks:
            task.add_done_callback(processes.end_on_defect)
        await self._stopping.wait()
        await self._leave()
        for task in tasks:
            task.cancel()
        log.event(_logger, "stop", in_progress=self._callers.in_progress)

    async def _listen(self) -> None:
        own = self._settings
        self._datagrams = await peers.open_datagrams(own.ip, own.port, self._datagram)
        await self._inner(self._snapshot).listen(f"{own.ip}:{own.port}")
        await self._inner(self._metrics).listen(f"{own.ip}:{METRICS_PORT}")
        if own.ready_address is not None:
            await self._inner(self._readiness).listen(own.ready_address)
        if own.directory_address is not None:
            await self._inner(self._directory).listen(own.directory_address)
        if own.front_address is not None:
            await self._callers.listen(own.front_address)

    def _inner(self, handler: http_server.Handler) -> http_server.Server:
        return http_server.Server(handler, lambda: routes.DEFAULT_CLIENT_LIMITS)

    def _reload(self) -> None:
        read = settings.read()
        if isinstance(read, settings.Rejected):
            log.event(_logger, "reload_rejected", logging.ERROR, reason=read.reason)
            return
        changed = read != self._settings
        self._forwarder.set_bounds(read.bounds)
        self._known.servers.set_leaving_time(read.bounds.drain_s)
        log.event(_logger, "reload", changed=changed)

    async def _readiness(
        self, request: http_server.Request, responder: http_server.Responder
    ) -> None:
        await responder.answer(200 if self._serving else 503, [], b"")

    async def _directory(
        self, request: http_server.Request, responder: http_server.Responder
    ) -> None:
        question = directory.decode_question(request.target)
        if question is None:
            await responder.answer(404, [], b"")
            return
        fronts = self._members.fronts(asyncio.get_running_loop().time())
        if self._serving:
            fronts = [*fronts, self._member]
        addresses = directory_addresses(fronts, question.data_centre)
        if not addresses:
            await responder.answer(503, [headers.encode_retry_after(0.5)], b"")
            return
        body = directory.encode_answer(addresses, DIRECTORY_TTL_S)
        await responder.answer(200, [(b"content-type", b"application/json")], body)

    async def _snapshot(
        self, request: http_server.Request, responder: http_server.Responder
    ) -> None:
        await responder.answer(200, [], self._known.snapshot())

    async def _metrics(
        self, request: http_server.Request, responder: http_server.Responder
    ) -> None:
        self._meters.state("servers", self._known.servers.count())
        live = self._members.fronts(asyncio.get_running_loop().time())
        self._meters.state("fronts", 1 + len(live))
        self._meters.state("waiting", self._forwarder.waiting())
        self._meters.state("in_progress", self._callers.in_progress)
        table = self._known.table
        self._meters.state("configuration_version", table.version if table else 0)
        fields = [(b"content-type", b"text/plain; version=0.0.4")]
        await responder.answer(200, fields, self._meters.render())

    def _datagram(self, data: bytes) -> None:
        now_s = asyncio.get_running_loop().time()
        loads = peers.decode_loads(data)
        if loads is not None:
            self._take_loads(loads, now_s)
            return
        relayed = peers.passed_on(data)
        if relayed is not None:
            self._send_near(relayed)
            data = relayed
        heartbeat = peers.decode_heartbeat(data)
        if heartbeat is None or heartbeat.member.vm == self._member.vm:
            return
        if not self._members.alive(heartbeat.member.vm, now_s):
            log.event(_logger, "front_alive", member=heartbeat.member.vm)
        self._members.heard(heartbeat.member, heartbeat.serving, now_s)
        if not self._known.behind(heartbeat.marks):
            return
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        elif now_s - self._behind_since_s > BEHIND_LIMIT_S:
            self._behind_since_s = None
            asyncio.get_running_loop().create_task(self._catch_up(heartbeat.member))

    def _take_loads(self, loads: peers.Loads, now_s: float) -> None:
        for load in loads.loads:
            for entry in self._servers_by_address.get(load.address, ()):
                # Another start at this address is another server, with an id of its own.
                if entry.started_ms in (0, load.started_ms):
                    self._load.reported(
                        entry.id, load.requests, load.group_open, load.slowness, now_s
                    )
        if loads.to_pass_on:
            if not self._loads_to_pass_on:
                asyncio.get_running_loop().call_later(PASS_ON_DELAY_S, self._pass_loads_on)
            self._loads_to_pass_on += loads.loads
        self._forwarder.pump()

    def _pass_loads_on(self) -> None:
        loads, self._loads_to_pass_on = self._loads_to_pass_on, []
        self._send_near(peers.encode_loads(peers.Loads(loads, to_pass_on=False)))

    def _send_near(self, data: bytes) -> None:
        """Send a datagram to the other fronts of this data centre."""
        for member in self._members.others():
            if (
                self._datagrams is not None
                and member.front_address is not None
                and member.data_centre == self._member.data_centre
            ):
                self._datagrams.send(data, member)

    async def _catch_up(self, member: members.Member) -> None:
        transport = http_client.KeptTransport(f"{member.ip}:{member.port}")
        answer = await transport.call("GET", SNAPSHOT_TARGET, None, SNAPSHOT_TIMEOUT_S)
        transport.close()
        if isinstance(answer, objects.Unavailable):
            log.event(_logger, "peer_unavailable", peer=member.vm, reason=answer.reason)
        elif not self._known.take_snapshot(answer.body, member.vm):
            log.event(_logger, "peer_unreadable", logging.WARNING, peer=member.vm)

    async def _heartbeats(self) -> None:
        while True:
            self._send_heartbeat()
            await asyncio.sleep(members.HEARTBEAT_S)

    def _send_heartbeat(self, to_each: bool = False) -> None:
        if self._datagrams is None:
            return
        table = self._known.table
        data = peers.encode_heartbeat(
            peers.Heartbeat(
                self._member,
                self._serving,
                table.version if table is not None else 0,
                self._known.marks(),
            )
        )
        fronts = [member for member in self._members.others() if member.front_address is not None]
        if to_each:
            for member in fronts:
                self._datagrams.send(data, member)
            return
        self._turn += 1
        near, relays = peers.receivers(fronts, self._member, self._turn)
        for member in near:
            self._datagrams.send(data, member)
        for member in relays:
            self._datagrams.send(peers.to_pass_on(data), member)

    async def _pump(self) -> None:
        while True:
            try:
                async with asyncio.timeout(service_desk.TICK_S):
                    await self._known.changed.wait()
            except TimeoutError:
                pass
            if self._known.changed.is_set():
                self._known.changed.clear()
                found = self._known.servers.by_address()
                self._servers_by_address = found
                self._load.forget({entry.id for group in found.values() for entry in group})
            self._forwarder.pump()

    async def _leave(self) -> None:
        """Take no new callers, finish what is in progress, and end before SIGKILL."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + self._settings.bounds.grace_s - LEAVE_MARGIN_S
        log.event(_logger, "leaving", in_progress=self._callers.in_progress)
        self._callers.closing = True
        self._send_heartbeat(to_each=True)
        await asyncio.sleep(0.1)
        self._send_heartbeat(to_each=True)
        await self._registration.leave()
        await asyncio.sleep(LEAVE_LISTENING_S)
        self._callers.stop_listening()
        while self._callers.in_progress and loop.time() < end_s:
            await asyncio.sleep(0.05)


def directory_addresses(
    fronts: list[members.Member], data_centre: ids.DataCentreId | None
) -> list[str]:
    """Choose the fronts that a caller is told of.

    Args:
        fronts: Fronts that take callers.
        data_centre: Where the caller is, or None.

    Returns:
        Addresses of the fronts of the caller's data centre if there are two or more, which spares
        bytes between data centres; of all fronts otherwise.
    """
    near = [member for member in fronts if member.data_centre == data_centre]
    chosen = near if len(near) >= 2 else fronts
    addresses = [member.front_address for member in chosen if member.front_address is not None]
    random.shuffle(addresses)
    return addresses[: directory.ADDRESS_LIMIT]
