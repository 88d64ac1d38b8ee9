"""Front process: serves callers, the directory of fronts, readiness, metrics and snapshots."""

from __future__ import annotations

import asyncio
import logging
import random
import signal
import time

from gentianpaddle_core import ids
from gentianpaddle_core.serving import (
    collectors,
    members,
    placement,
    planned_stop,
    routes,
    servers,
    watch_roles,
)
from gentianpaddle_gateway import (
    background_tasks,
    caller_limits,
    crash_messages,
    distribution,
    forwarder,
    gateway_settings,
    http_client,
    http_server,
    limit_messages,
    log,
    metrics,
    peers,
    platform_state,
    service_queue,
    store_calls,
    store_watch,
)
from gentianpaddle_platform import directory, headers, objects, settings

_logger = logging.getLogger("gentianpaddle.front")

METRICS_PORT = 9464
"""Port of the metrics endpoint. The deploy file declares the same port to the metrics collector."""

DIRECTORY_TTL_S = 2.0
"""Time for which callers may cache a directory answer; `Bounds.directory_ttl_s` is not used. A dead
front is omitted after 2.6 s."""

SHUTDOWN_LISTEN_S = 3.0
"""Time for which a front that shuts down continues to accept connections, so that callers can learn
of it from the directory."""

SHUTDOWN_MARGIN_S = 0.6
"""Margin between the end of a shutdown and SIGKILL; less than `planned_stop.ANSWER_MARGIN_S`."""

OUTDATED_LIMIT_S = 0.4
"""Time for which a front that is behind another one waits for the store before it fetches the
other's snapshot; slightly less than the heartbeat interval."""

SUBMITTER_EXPIRY_S = 5.0
"""Time after its last message for which a collector announces itself to a side process."""

SNAPSHOT_TIMEOUT_S = 1.0
"""Time-out of fetching a snapshot from another front."""

SNAPSHOT_TARGET = "/v1/beliefs"


class Front:
    """One front process.

    Args:
        process_settings: Settings of this process.
        own_settings: Settings of gentianpaddle itself.
    """

    def __init__(
        self,
        process_settings: settings.Settings,
        own_settings: gateway_settings.GatewaySettings,
    ) -> None:
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
        self._collectors = collectors.CollectorView()
        self._collecting = False
        self._submitted_s_by_address: dict[peers.SocketAddress, float] = {}
        self._store_calls = store_calls.StoreCalls()
        self._state = platform_state.PlatformState(
            process_settings.store_address, self._store_calls, self._members.front_count
        )
        self._state.servers.set_drain_time(process_settings.bounds.drain_s)
        self._server_load = placement.new_placement(
            process_settings.data_centre, random.getrandbits(32), time.monotonic()
        )
        self._metrics = metrics.new_metrics()
        self._forwarder = forwarder.Forwarder(
            self._state,
            self._server_load,
            process_settings,
            self._members,
            self._metrics,
            self._broadcast,
            own_settings.data_centre_traffic,
        )
        self._caller_limits = caller_limits.CallerLimits(
            own_settings.caller_limits, process_settings.machine_limits, self._metrics
        )
        self._caller_server = http_server.Server(
            self._forwarder.handle,
            self._forwarder.limits,
            self._caller_limits,
            self._forwarder.needs_body,
        )
        self._registration = peers.Registration(
            self._members,
            objects.ObjectStore(
                http_client.PersistentTransport(process_settings.store_address),
                store_watch.CALL_TIMEOUT_S,
                "members",
                self._store_calls,
                self._state.eras,
            ),
            needs_all=lambda: False,
            wait_for_store=self._state.store_retries.wait_for_store,
            eras=self._state.eras,
        )
        self._datagrams: peers.Datagrams | None = None
        self._distributor: distribution.Distributor | None = None
        self._submitter: distribution.Submitter | None = None
        self._stopping = asyncio.Event()
        self._outdated_since_s: float | None = None
        self._servers_by_address: dict[str, list[servers.ServerEntry]] = {}

    @property
    def _serving(self) -> bool:
        return self._state.table is not None and not self._stopping.is_set()

    async def run(self) -> None:
        """Serve until SIGTERM, then finish the requests in progress."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        log.event(_logger, "start", store=self._settings.store_address)
        self._reload()
        await self._listen()
        coroutines = [
            *(watch.run() for watch in self._state.watches.values()),
            self._registration.run(),
            self._send_heartbeats(),
            self._dispatch_loop(),
        ]
        tasks = [loop.create_task(item) for item in coroutines]
        for task in tasks:
            task.add_done_callback(background_tasks.exit_on_failure)
        await self._stopping.wait()
        await self._shut_down()
        for task in tasks:
            task.cancel()
        self._store_calls.log_summary(logging.INFO)
        log.event(_logger, "stop", in_progress=self._caller_server.in_progress)

    async def _listen(self) -> None:
        config = self._settings
        self._datagrams = await peers.open_datagrams(config.ip, config.port, self._receive_datagram)
        self._distributor = distribution.Distributor(
            self._members, self._collectors, self._datagrams
        )
        self._submitter = distribution.Submitter(self._members, self._collectors, self._datagrams)
        await self._internal_server(self._serve_snapshot).listen(f"{config.ip}:{config.port}")
        await self._internal_server(self._serve_metrics).listen(f"{config.ip}:{METRICS_PORT}")
        if config.readiness_address is not None:
            await self._internal_server(self._serve_readiness).listen(config.readiness_address)
        if config.directory_address is not None:
            await self._internal_server(self._serve_directory).listen(config.directory_address)
        if config.front_address is not None:
            await self._caller_server.listen(config.front_address)

    def _internal_server(self, handler: http_server.Handler) -> http_server.Server:
        return http_server.Server(
            handler,
            lambda: routes.DEFAULT_CLIENT_LIMITS,
            self._caller_limits,
            http_server.needs_no_body,
        )

    def _reload(self) -> None:
        """Read the settings file again and apply its bounds, except `grace_s`.

        `grace_s` limits the shutdown of this process and keeps its value from the start; `drain_s`,
        the drain time of servers, is applied. Like `grace_s`, all settings other than the bounds
        take effect only after a restart. The log field `changed` tells whether
        any setting differs from those at the start of the process.
        """
        loaded = settings.load()
        if isinstance(loaded, settings.Rejected):
            log.event(_logger, "reload_rejected", logging.ERROR, reason=loaded.reason)
            return
        changed = loaded != self._settings
        self._forwarder.set_bounds(loaded.bounds)
        self._state.servers.set_drain_time(loaded.bounds.drain_s)
        log.event(_logger, "reload", changed=changed)

    async def _serve_readiness(
        self, request: http_server.Request, responder: http_server.Responder
    ) -> None:
        await responder.respond(200 if self._serving else 503, [], b"")

    async def _serve_directory(
        self, request: http_server.Request, responder: http_server.Responder
    ) -> None:
        query = directory.decode_query(request.target)
        if query is None:
            await responder.respond(404, [], b"")
            return
        fronts = self._members.live_fronts(asyncio.get_running_loop().time())
        if self._serving:
            fronts = [*fronts, self._member]
        addresses = directory_addresses(fronts, query.data_centre)
        if not addresses:
            await responder.respond(503, [headers.encode_retry_after(0.5)], b"")
            return
        body = directory.encode_response(addresses, DIRECTORY_TTL_S)
        await responder.respond(200, [(b"content-type", b"application/json")], body)

    async def _serve_snapshot(
        self, request: http_server.Request, responder: http_server.Responder
    ) -> None:
        await responder.respond(200, [], self._state.encode_snapshot())

    async def _serve_metrics(
        self, request: http_server.Request, responder: http_server.Responder
    ) -> None:
        self._metrics.set_gauge("servers", self._state.servers.count())
        live_fronts = self._members.live_fronts(asyncio.get_running_loop().time())
        self._metrics.set_gauge("fronts", 1 + len(live_fronts))
        self._metrics.set_gauge("waiting", self._forwarder.waiting_count())
        self._metrics.set_gauge("held_parts", self._forwarder.crash_watch.held_count)
        self._metrics.set_gauge("in_progress", self._caller_server.in_progress)
        self._metrics.set_gauge("caller_bytes", self._caller_limits.memory.held_bytes)
        self._metrics.set_gauge("connections", self._caller_limits.memory.connection_count)
        self._metrics.set_gauge("store_era", self._state.eras.era)
        self._metrics.set_gauge("store_returns", self._state.eras.return_count)
        table = self._state.table
        self._metrics.set_gauge("configuration_version", table.version if table else 0)
        for (kind, purpose), count in self._store_calls.counts().items():
            self._metrics.set_store_calls(kind.value, purpose, count)
        fields = [(b"content-type", b"text/plain; version=0.0.4")]
        await responder.respond(200, fields, self._metrics.render())

    def _receive_datagram(self, data: bytes, sender: peers.SocketAddress) -> None:
        batch = distribution.decode_batch(data)
        if batch is None or self._distributor is None:
            return
        if batch.step is distribution.Step.SUBMIT:
            self._distributor.publish(batch.messages)
        elif batch.step is distribution.Step.PASS_ON:
            self._distributor.pass_on(batch.messages)
        now_s = asyncio.get_running_loop().time()
        loads_received = False
        for message in batch.messages:
            load = peers.decode_load(message)
            if load is not None:
                self._apply_load(load, now_s)
                loads_received = True
                continue
            crashes = crash_messages.decode(message, now_s)
            if crashes is not None:
                self._forwarder.crash_watch.receive(crashes)
                continue
            limits = limit_messages.decode(message)
            if limits is not None:
                self._forwarder.notices.receive(limits)
                continue
            heartbeat = peers.decode_heartbeat(message)
            if heartbeat is not None:
                self._apply_heartbeat(heartbeat, now_s)
        if loads_received:
            if batch.step is distribution.Step.SUBMIT:
                self._submitted_s_by_address[sender] = now_s
            self._forwarder.dispatch()

    def _apply_heartbeat(self, heartbeat: peers.Heartbeat, now_s: float) -> None:
        if heartbeat.member.vm == self._member.vm:
            return
        if not self._members.is_alive(heartbeat.member.vm, now_s):
            log.event(_logger, "front_alive", member=heartbeat.member.vm)
        self._members.record_heartbeat(heartbeat.member, heartbeat.serving, now_s)
        self._collectors.record(heartbeat.member, heartbeat.collecting, now_s)
        self._forwarder.demand.receive(heartbeat, now_s)
        if not self._state.is_outdated(heartbeat.versions):
            return
        if self._outdated_since_s is None:
            self._outdated_since_s = now_s
        elif now_s - self._outdated_since_s > OUTDATED_LIMIT_S:
            self._outdated_since_s = None
            asyncio.get_running_loop().create_task(self._fetch_snapshot(heartbeat.member))

    def _apply_load(self, load: peers.EngineLoad, now_s: float) -> None:
        if not load.group_open:
            self._forwarder.crash_watch.record_closed_group()
        for entry in self._servers_by_address.get(load.address, ()):
            # A restarted engine at the same address is a different server with a different id.
            if entry.started_ms in (0, load.started_ms):
                accepts = load.group_open and not load.stalled
                self._server_load.record_report(
                    entry.id, load.requests, accepts, load.slowness, now_s
                )
                self._forwarder.engine_checks.record_report(entry.id, now_s)

    async def _fetch_snapshot(self, member: members.Member) -> None:
        transport = http_client.PersistentTransport(f"{member.ip}:{member.port}")
        answer = await transport.call("GET", SNAPSHOT_TARGET, None, SNAPSHOT_TIMEOUT_S)
        transport.close()
        if isinstance(answer, objects.Unavailable):
            log.event(_logger, "peer_unavailable", peer=member.vm, reason=answer.reason)
        elif not self._state.apply_snapshot(answer.body, member.vm):
            log.event(_logger, "peer_unreadable", logging.WARNING, peer=member.vm)

    async def _send_heartbeats(self) -> None:
        while True:
            self._send_heartbeat()
            self._forwarder.crash_watch.repeat(self._collecting)
            self._forwarder.notices.publish()
            await asyncio.sleep(members.HEARTBEAT_S)

    def _send_heartbeat(self, to_each: bool = False) -> None:
        if self._datagrams is None or self._distributor is None or self._submitter is None:
            return
        now_s = asyncio.get_running_loop().time()
        self._update_roles(now_s)
        table = self._state.table
        message = peers.encode_heartbeat(
            peers.Heartbeat(
                self._member,
                self._serving,
                table.version if table is not None else 0,
                self._state.versions(),
                self._collecting,
                self._forwarder.announce_demand(now_s),
            )
        )
        if to_each:
            for datagram in distribution.encode_batches(distribution.Step.DELIVER, [message]):
                for member in self._members.other_fronts():
                    self._datagrams.send(datagram, member)
        else:
            self._broadcast(message)
        if self._collecting or to_each:
            self._announce_to_sides(message, now_s)

    def _broadcast(self, message: bytes) -> None:
        """Send a message to all other fronts, through a collector if one is known."""
        if self._distributor is None or self._submitter is None:
            return
        if self._collecting or not self._submitter.submit(message):
            self._distributor.publish([message])

    def _update_roles(self, now_s: float) -> None:
        live_fronts = self._members.live_fronts(now_s)
        self._state.set_prompt_watcher(watch_roles.is_prompt_watcher(self._member, live_fronts))
        collecting = not self._stopping.is_set() and collectors.is_collector(
            self._member, live_fronts
        )
        if collecting != self._collecting:
            self._collecting = collecting
            log.event(_logger, "collecting", collecting=collecting)

    def _announce_to_sides(self, message: bytes, now_s: float) -> None:
        """Send a heartbeat to the side processes of this data centre.

        These are the registered ones and those that have submitted messages to this front.
        """
        if self._datagrams is None:
            return
        self._submitted_s_by_address = {
            address: submitted_s
            for address, submitted_s in self._submitted_s_by_address.items()
            if now_s - submitted_s < SUBMITTER_EXPIRY_S
        }
        registered = {
            (member.ip, member.port)
            for member in self._members.other_members()
            if member.engine_address is not None and member.data_centre == self._member.data_centre
        }
        for datagram in distribution.encode_batches(distribution.Step.DELIVER, [message]):
            for address in registered | self._submitted_s_by_address.keys():
                self._datagrams.send_to(datagram, address)

    async def _dispatch_loop(self) -> None:
        while True:
            try:
                async with asyncio.timeout(service_queue.DISPATCH_INTERVAL_S):
                    await self._state.changed.wait()
            except TimeoutError:
                pass
            if self._state.changed.is_set():
                self._state.changed.clear()
                servers_by_address = self._state.servers.entries_by_address()
                self._servers_by_address = servers_by_address
                listed = {entry.id for entries in servers_by_address.values() for entry in entries}
                self._server_load.remove_unlisted(listed)
                self._forwarder.remove_unlisted(listed)
            self._forwarder.engine_checks.check()
            self._forwarder.dispatch()

    async def _shut_down(self) -> None:
        """Announce the shutdown, stop accepting callers and finish the requests in progress.

        Returns `SHUTDOWN_MARGIN_S` before the process would receive SIGKILL at the latest.
        """
        loop = asyncio.get_running_loop()
        grace_s = self._settings.bounds.grace_s
        stop = planned_stop.new_planned_stop(loop.time(), grace_s)
        exit_by_s = loop.time() + grace_s - SHUTDOWN_MARGIN_S
        log.event(
            _logger,
            "leaving",
            in_progress=self._caller_server.in_progress,
            work_ms=(stop.work_ends_s - loop.time()) * 1000.0,
        )
        self._caller_server.draining = True
        self._forwarder.begin_stop(stop)
        self._send_heartbeat(to_each=True)
        await asyncio.sleep(0.1)
        self._send_heartbeat(to_each=True)
        await self._registration.deregister()
        await asyncio.sleep(min(SHUTDOWN_LISTEN_S, stop.work_ends_s - loop.time()))
        self._caller_server.stop_listening()
        self._caller_server.close_idle_connections()
        while self._caller_server.busy and loop.time() < stop.work_ends_s:
            await asyncio.sleep(0.05)
        if self._caller_server.busy:
            in_progress = self._caller_server.in_progress
            log.event(_logger, "work_ended", logging.WARNING, in_progress=in_progress)
        while self._caller_server.busy and loop.time() < exit_by_s:
            # An attempt may still be connecting to its server, so this is repeated.
            self._forwarder.end_attempts()
            await asyncio.sleep(0.05)


def directory_addresses(
    fronts: list[members.Member], data_centre: ids.DataCentreId | None
) -> list[str]:
    """Select the fronts whose addresses a caller receives.

    Fronts of the caller's data centre are preferred if there are at least two of them, to avoid
    traffic between data centres.

    Args:
        fronts: Fronts that accept callers.
        data_centre: Data centre of the caller, or None if not known.

    Returns:
        Addresses in random order, at most `directory.ADDRESS_LIMIT`.
    """
    local_fronts = [member for member in fronts if member.data_centre == data_centre]
    selected = local_fronts if len(local_fronts) >= 2 else fronts
    addresses = [member.front_address for member in selected if member.front_address is not None]
    random.shuffle(addresses)
    return addresses[: directory.ADDRESS_LIMIT]
