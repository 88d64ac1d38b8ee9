"""Process of an agent: creates its components, starts its controllers and stops them."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from concurrent import futures

from grpclib import server as grpc_server

from gentianpaddle_core import (
    blackboard,
    capacity,
    configuration,
    crash_exchange,
    digest,
    ids,
    ledger,
    membership,
    quarantine,
    settings,
)
from gentianpaddle_daemon import (
    configuration_refresher,
    exchange,
    logs,
    loop_thread,
    metrics,
    object_api_http,
    store_client,
)
from gentianpaddle_daemon.agent import backend, order_handler, runner, service

LOAD_PERIOD_S = 0.5
"""Time between two load reports to all entries."""
HEALTH_PERIOD_S = 0.5
"""Time between two health checks of a backend server that works."""
SUSPECT_HEALTH_PERIOD_S = 0.1
"""Time between two health checks after a failed call or health check."""
DRAIN_POLL_S = 0.05
"""Time between two checks of the work in progress while the agent stops."""
STORE_BUDGET = store_client.CallBudget(reads_per_s=0.2, writes_per_s=0.0)
"""An agent only reads the configuration, at most once in 5 s."""
STOP_LIMIT_S = 600.0
"""Longest wait for work in progress when the agent is stopped."""
START_TIMEOUT_S = 10.0
"""Longest wait for the start of the agent."""
FAILED_CHECKS_LIMIT = 2
"""Number of consecutive failed health checks after which the backend server counts as lost."""

_logger = logging.getLogger("gentianpaddle.agent")


class AgentProcess:
    """A running agent."""

    def __init__(self, agent_settings: settings.AgentSettings) -> None:
        self._loop = loop_thread.new_loop_thread(f"agent-{agent_settings.process.vm}")
        self._metrics = metrics.new_metrics()
        self._backend_server = backend.new_http_backend(agent_settings.backend_url)
        self._health_thread = futures.ThreadPoolExecutor(1, "backend-health")
        # Separate from the health checks, so that a slow object API does not delay them.
        self._store_thread = futures.ThreadPoolExecutor(1, "object-api")
        self._order_thread = futures.ThreadPoolExecutor(1, "backend-orders")
        self._consecutive_failed_checks = 0
        self._health_check_requested = asyncio.Event()
        self.board = _new_blackboard(agent_settings)
        self._runner = runner.new_runner(
            self.board, self._backend_server, self._loop, self._metrics, self._on_backend_failure
        )
        agent_order_handler = order_handler.OrderHandler(
            self.board,
            order_handler.HttpOrderBackend(agent_settings.backend_url),
            self._order_thread,
            self._on_order_capacity_change,
        )
        self._service = service.AgentService(
            self.board, self._runner, self._metrics, agent_order_handler
        )
        self._exchange = exchange.PeerExchange(
            self.board.exchanger,
            agent_settings.process.shared_tokens,
            self._metrics,
            self._on_learned,
            random.Random(self.board.incarnation),
        )
        store = store_client.StoreClient(
            object_api_http.HttpObjectApi(agent_settings.process.object_api_url), STORE_BUDGET
        )
        self._configuration_refresher = configuration_refresher.ConfigurationRefresher(
            self.board.exchanger,
            self.board.configuration,
            store,
            self._store_thread,
            self._on_configuration_read,
            random.Random(self.board.incarnation),
        )
        self._grpc_server: grpc_server.Server | None = None

    def start(self) -> None:
        """Listen and start to serve; see `main.Process`."""
        self._loop.start()
        self._loop.run_and_wait(self._start(), START_TIMEOUT_S)

    def stop(self, limit_s: float = STOP_LIMIT_S) -> None:
        """Refuse new work, finish the work in progress, then close.

        Args:
            limit_s: Longest wait for the work in progress, in seconds.
        """
        self._loop.run_and_wait(self._drain(limit_s), limit_s + START_TIMEOUT_S)
        self.kill()

    def kill(self) -> None:
        """Close at once without finishing the work in progress, as a crash would."""
        if self._grpc_server is not None:
            self._loop.call_soon(self._grpc_server.close)
        self._loop.stop()
        self._runner.close()
        self._health_thread.shutdown(wait=False)
        self._store_thread.shutdown(wait=False)
        self._order_thread.shutdown(wait=False)

    async def _start(self) -> None:
        address = self.board.own_settings.process.listen
        # Created here because a gRPC server belongs to the event loop on which it is created.
        self._grpc_server = grpc_server.Server([self._service, self._exchange])
        await self._grpc_server.start(address.host, address.port)
        for controller in (
            self._exchange.run,
            self._send_load_reports,
            self._check_health,
            self._configuration_refresher.run,
        ):
            self._loop.start_controller(controller())
        logs.event(_logger, "started", role="agent", incarnation=self.board.incarnation)

    async def _drain(self, limit_s: float) -> None:
        self.board.leaving = True
        self._service.report_load()
        logs.event(_logger, "leaving", running=self.board.capacity.running)
        await self._exchange.announce(membership.State.LEAVING)
        until_s = time.monotonic() + limit_s
        while not self._service.is_drained() and time.monotonic() < until_s:
            await asyncio.sleep(DRAIN_POLL_S)
        # The last messages must be written to the sockets before the streams are closed.
        await asyncio.sleep(DRAIN_POLL_S)

    async def _send_load_reports(self) -> None:
        while True:
            self._service.report_load()
            await asyncio.sleep(LOAD_PERIOD_S)

    async def _check_health(self) -> None:
        while True:
            self._health_check_requested.clear()
            loop = asyncio.get_running_loop()
            health = await loop.run_in_executor(self._health_thread, self._backend_server.health)
            self._apply_health(health)
            backend_suspect = (
                self._consecutive_failed_checks > 0 or self.board.in_progress_at_backend_failure
            )
            period_s = SUSPECT_HEALTH_PERIOD_S if backend_suspect else HEALTH_PERIOD_S
            try:
                await asyncio.wait_for(self._health_check_requested.wait(), period_s)
            except TimeoutError:
                continue

    def _on_backend_failure(self) -> None:
        board = self.board
        if not board.in_progress_at_backend_failure:
            running = board.ledger.running_requests()
            board.in_progress_at_backend_failure = frozenset(
                attempt.fingerprint for attempt in running
            )
        self.board.capacity.suspend()
        self._service.report_load()
        self._health_check_requested.set()

    def _on_order_capacity_change(self) -> None:
        self._service.report_load()
        self._health_check_requested.set()

    def _apply_health(self, health: backend.Health | None) -> None:
        now_s = time.monotonic()
        board = self.board
        if health is None:
            self._consecutive_failed_checks += 1
            # A failed call followed by a failed health check is a crash; a failed health check
            # alone may be a delay.
            self._record_crash()
            if self._consecutive_failed_checks == FAILED_CHECKS_LIMIT:
                board.capacity.mark_engine_lost(now_s)
                logs.event(_logger, "backend_lost", logging.WARNING)
                self._service.report_load()
            return
        self._consecutive_failed_checks = 0
        if board.order_in_progress:
            # Applying a report would end the suspension while the backend server is still loading.
            return
        report = capacity.EngineReport(
            incarnation=health.incarnation,
            step_s=health.step_s or None,
            running=board.capacity.running,
        )
        was_suspended = board.capacity.limit == 0
        if health.incarnation != board.engine_incarnation:
            self._record_crash()
        board.in_progress_at_backend_failure = frozenset()
        cause = board.capacity.apply_engine_report(now_s, report)
        board.engine_incarnation = health.incarnation
        board.step_s = health.step_s
        board.waiting_tokens = health.waiting_tokens
        if cause is not None:
            logs.event(_logger, "backend_cold", logging.WARNING, cause=cause)
        if cause is not None or was_suspended:
            self._service.report_load()

    def _record_crash(self) -> None:
        board = self.board
        suspects = board.in_progress_at_backend_failure
        board.in_progress_at_backend_failure = frozenset()
        if not suspects:
            return
        crash_id = f"{board.own_settings.process.vm}/{board.incarnation}/{board.engine_incarnation}"
        board.quarantine.record_crash(crash_id, suspects, time.monotonic())
        board.quarantine_version += 1
        logs.event(
            _logger, "backend_crashed", logging.WARNING, crash=crash_id, suspects=len(suspects)
        )
        self._service.report_load()

    def _on_configuration_read(self, document: configuration.Document, read_s: float) -> None:
        self.board.exchanger.put_configuration(document.revision, document.text.encode(), read_s)
        self._apply_configuration(document)

    def _apply_configuration(self, document: configuration.Document) -> None:
        result = self.board.configuration.adopt_if_newer(document)
        logs.event(_logger, "configuration", revision=int(document.revision), result=result)
        self._service.report_load()

    def _on_learned(self, learned: digest.ReceivedChanges) -> None:
        exchanged_configuration = self.board.exchanger.configuration
        if learned.configuration_changed:
            self._apply_configuration(
                configuration.Document(
                    exchanged_configuration.revision, exchanged_configuration.document.decode()
                )
            )


def _new_blackboard(agent_settings: settings.AgentSettings) -> blackboard.AgentBlackboard:
    now_s = time.monotonic()
    incarnation = ids.Incarnation(time.time_ns() // 1_000_000)
    agent_capacity = capacity.new_capacity(
        capacity.CapacitySettings(
            maximum=agent_settings.capacity_limit,
            expected_step_s=agent_settings.expected_step_ms / 1_000,
        )
    )
    record = membership.MemberRecord(
        vm=agent_settings.process.vm,
        data_centre=agent_settings.process.data_centre,
        host=agent_settings.process.listen.host,
        port=agent_settings.process.listen.port,
        role=membership.Role.AGENT,
        incarnation=incarnation,
        heartbeat=0,
        state=membership.State.ALIVE,
    )
    table = membership.new_membership(record, now_s)
    agent_crash_exchange = crash_exchange.new_crash_exchange()
    return blackboard.AgentBlackboard(
        own_settings=agent_settings,
        incarnation=incarnation,
        capacity=agent_capacity,
        ledger=ledger.new_ledger(incarnation, agent_capacity),
        configuration=configuration.ConfigurationState(),
        exchanger=digest.Exchanger(
            table, agent_settings.process.peers, agent_crash_exchange, now_s
        ),
        quarantine=quarantine.new_quarantine(),
    )


def new_agent_process(agent_settings: settings.AgentSettings) -> AgentProcess:
    """Create the process of an agent.

    Args:
        agent_settings: Settings of the agent.

    Returns:
        The process, not yet started.
    """
    return AgentProcess(agent_settings)
