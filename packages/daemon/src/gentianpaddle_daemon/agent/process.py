"""Process of the role agent: wires the blackboard, the service, the exchange and controllers."""

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
    exchange,
    freshness,
    logs,
    loop_thread,
    metrics,
    object_api_http,
    store_client,
)
from gentianpaddle_daemon.agent import backend, ordering, runner, service

LOAD_PERIOD_S = 0.5
HEALTH_PERIOD_S = 0.5
BROKEN_HEALTH_PERIOD_S = 0.1
DRAIN_POLL_S = 0.05
STORE_BUDGET = store_client.CallBudget(reads_per_s=0.2, writes_per_s=0.0)
"""An agent only reads the configuration, at most once in 5 s."""
STOP_LIMIT_S = 600.0
START_TIMEOUT_S = 10.0
FAILED_CHECKS_LIMIT = 2
"""Health checks that fail in a row before the backend server counts as lost."""

_logger = logging.getLogger("gentianpaddle.agent")


class AgentProcess:
    """A running agent."""

    def __init__(self, own: settings.AgentSettings) -> None:
        self._loop = loop_thread.new_loop_thread(f"agent-{own.process.vm}")
        self._metrics = metrics.new_metrics()
        self._server = backend.new_http_backend(own.backend_url)
        self._health_thread = futures.ThreadPoolExecutor(1, "backend-health")
        # Apart from the health checks, which a slow object API must not hold up.
        self._store_thread = futures.ThreadPoolExecutor(1, "object-api")
        self._order_thread = futures.ThreadPoolExecutor(1, "backend-orders")
        self._failed_checks = 0
        self._check_now = asyncio.Event()
        self.board = _new_blackboard(own)
        self._attempts = runner.new_runner(
            self.board, self._server, self._loop, self._metrics, self._suspect_backend
        )
        orders = ordering.Ordering(
            self.board,
            ordering.HttpOrders(own.backend_url),
            self._order_thread,
            self._capacity_ordered,
        )
        self._service = service.AgentService(self.board, self._attempts, self._metrics, orders)
        self._exchange = exchange.PeerExchange(
            self.board.exchanger,
            own.process.shared_tokens,
            self._metrics,
            self._on_learned,
            random.Random(self.board.incarnation),
        )
        store = store_client.StoreClient(
            object_api_http.HttpObjectApi(own.process.object_api_url), STORE_BUDGET
        )
        self._freshness = freshness.FreshnessCheck(
            self.board.exchanger,
            self.board.configuration,
            store,
            self._store_thread,
            self._adopt,
            random.Random(self.board.incarnation),
        )
        self._grpc: grpc_server.Server | None = None

    def start(self) -> None:
        """Listen and begin to serve."""
        self._loop.start()
        self._loop.run(self._start(), START_TIMEOUT_S)

    def stop(self, limit_s: float = STOP_LIMIT_S) -> None:
        """Take no new work, finish what is in progress, then close.

        Args:
            limit_s: Longest wait for what is in progress.
        """
        self._loop.run(self._drain(limit_s), limit_s + START_TIMEOUT_S)
        self.kill()

    def kill(self) -> None:
        """Close at once, as a crash would."""
        if self._grpc is not None:
            self._loop.call(self._grpc.close)
        self._loop.stop()
        self._attempts.close()
        self._health_thread.shutdown(wait=False)
        self._store_thread.shutdown(wait=False)
        self._order_thread.shutdown(wait=False)

    async def _start(self) -> None:
        address = self.board.own.process.listen
        # The server belongs to the event loop on which it is created.
        self._grpc = grpc_server.Server([self._service, self._exchange])
        await self._grpc.start(address.host, address.port)
        for loop_body in (
            self._exchange.run,
            self._report_loads,
            self._check_health,
            self._freshness.run,
        ):
            self._loop.spawn(loop_body())
        logs.event(_logger, "started", role="agent", incarnation=self.board.incarnation)

    async def _drain(self, limit_s: float) -> None:
        self.board.leaving = True
        self._service.report_load()
        logs.event(_logger, "leaving", running=self.board.capacity.running)
        await self._exchange.announce(membership.State.LEAVING)
        until_s = time.monotonic() + limit_s
        while not self._service.drained() and time.monotonic() < until_s:
            await asyncio.sleep(DRAIN_POLL_S)
        # Lets the last messages leave the sockets before the streams are closed.
        await asyncio.sleep(DRAIN_POLL_S)

    async def _report_loads(self) -> None:
        while True:
            self._service.report_load()
            await asyncio.sleep(LOAD_PERIOD_S)

    async def _check_health(self) -> None:
        while True:
            self._check_now.clear()
            loop = asyncio.get_running_loop()
            health = await loop.run_in_executor(self._health_thread, self._server.health)
            self._apply_health(health)
            broken = self._failed_checks > 0 or self.board.in_progress_at_break
            period_s = BROKEN_HEALTH_PERIOD_S if broken else HEALTH_PERIOD_S
            try:
                await asyncio.wait_for(self._check_now.wait(), period_s)
            except TimeoutError:
                continue

    def _suspect_backend(self) -> None:
        board = self.board
        if not board.in_progress_at_break:
            running = board.ledger.running()
            board.in_progress_at_break = frozenset(each.fingerprint for each in running)
        self.board.capacity.suspend()
        self._service.report_load()
        self._check_now.set()

    def _capacity_ordered(self) -> None:
        self._service.report_load()
        self._check_now.set()

    def _apply_health(self, health: backend.Health | None) -> None:
        now_s = time.monotonic()
        board = self.board
        if health is None:
            self._failed_checks += 1
            # A broken call and then no answer is a crash; a lone missing answer may be a delay.
            self._record_crash()
            if self._failed_checks == FAILED_CHECKS_LIMIT:
                board.capacity.lose_engine(now_s)
                logs.event(_logger, "backend_lost", logging.WARNING)
                self._service.report_load()
            return
        self._failed_checks = 0
        if board.order_in_progress:
            # A report would end the suspension while the backend server is loading.
            return
        report = capacity.EngineReport(
            incarnation=health.incarnation,
            step_s=health.step_s or None,
            running=board.capacity.running,
        )
        was_suspended = board.capacity.limit == 0
        if health.incarnation != board.engine_incarnation:
            self._record_crash()
        board.in_progress_at_break = frozenset()
        cause = board.capacity.observe_engine(now_s, report)
        board.engine_incarnation = health.incarnation
        board.step_s = health.step_s
        board.waiting_tokens = health.waiting_tokens
        if cause is not None:
            logs.event(_logger, "backend_cold", logging.WARNING, cause=cause)
        if cause is not None or was_suspended:
            self._service.report_load()

    def _record_crash(self) -> None:
        board = self.board
        suspects = board.in_progress_at_break
        board.in_progress_at_break = frozenset()
        if not suspects:
            return
        crash_id = f"{board.own.process.vm}/{board.incarnation}/{board.engine_incarnation}"
        board.quarantine.crashed(crash_id, suspects, time.monotonic())
        board.crash_version += 1
        logs.event(
            _logger, "backend_crashed", logging.WARNING, crash=crash_id, suspects=len(suspects)
        )
        self._service.report_load()

    def _adopt(self, document: configuration.Document, read_s: float) -> None:
        self.board.exchanger.put_configuration(document.revision, document.text.encode(), read_s)
        self._offer(document)

    def _offer(self, document: configuration.Document) -> None:
        result = self.board.configuration.offer(document)
        logs.event(_logger, "configuration", revision=int(document.revision), result=result)
        self._service.report_load()

    def _on_learned(self, learned: digest.Learned) -> None:
        exchanged = self.board.exchanger.configuration
        if learned.configuration_changed:
            self._offer(configuration.Document(exchanged.revision, exchanged.document.decode()))


def _new_blackboard(own: settings.AgentSettings) -> blackboard.AgentBlackboard:
    now_s = time.monotonic()
    incarnation = ids.Incarnation(time.time_ns() // 1_000_000)
    places = capacity.new_capacity(
        capacity.CapacitySettings(
            maximum=own.capacity_limit, expected_step_s=own.expected_step_ms / 1_000
        )
    )
    record = membership.MemberRecord(
        vm=own.process.vm,
        data_centre=own.process.data_centre,
        host=own.process.listen.host,
        port=own.process.listen.port,
        role=membership.Role.AGENT,
        incarnation=incarnation,
        heartbeat=0,
        state=membership.State.ALIVE,
    )
    table = membership.new_membership(record, now_s)
    crashes = crash_exchange.new_crash_exchange()
    return blackboard.AgentBlackboard(
        own=own,
        incarnation=incarnation,
        capacity=places,
        ledger=ledger.new_ledger(incarnation, places),
        configuration=configuration.ConfigurationState(),
        exchanger=digest.Exchanger(table, own.process.peers, crashes, now_s),
        quarantine=quarantine.new_quarantine(),
    )


def new_agent_process(own: settings.AgentSettings) -> AgentProcess:
    """Create an agent.

    Args:
        own: Its settings.

    Returns:
        The process, not started.
    """
    return AgentProcess(own)
