"""Process of the role entry: assembles its HTTP front, agent links, dispatcher and controllers."""

from __future__ import annotations

import asyncio
import logging
import random
import time
import typing
from concurrent import futures

from grpclib import server as grpc_server

from gentianpaddle_core import (
    admission,
    blackboard,
    configuration,
    crash_exchange,
    declarations,
    digest,
    entry_list,
    ids,
    membership,
    object_api,
    outcomes,
    quarantine,
    retries,
    routing,
    settings,
)
from gentianpaddle_daemon import (
    exchange,
    logs,
    loop_thread,
    metrics,
    object_api_http,
    store_client,
)
from gentianpaddle_daemon.entry import (
    agents,
    claim_log,
    configuration_watch,
    day_figures_store,
    dispatcher,
    front,
    operator,
    recent_outcomes,
    recording,
    request,
    responses,
    sink,
    version_rollout,
)

START_TIMEOUT_S = 10.0
DRAIN_TIMEOUT_S = 600.0
"""Default time after which a stopping entry closes although requests are still in progress."""
QUEUE_EXPIRY_PERIOD_S = 0.1
"""Time between two checks for queued requests whose deadline has passed."""
STORE_THREAD_COUNT = 8
WATCH_THREAD_COUNT = 1
STORE_CALL_BUDGET = store_client.CallBudget(reads_per_s=100.0, writes_per_s=60.0)
DRAIN_POLL_PERIOD_S = 0.05
REPORT_TIMEOUT_S = 60.0

_logger = logging.getLogger("gentianpaddle.entry")


class EntryProcess:
    """One entry with its event loop, threads and servers; implements `front.Backend`."""

    def __init__(self, entry_settings: settings.EntrySettings, store: object_api.ObjectApi) -> None:
        self._settings = entry_settings
        self._entry_list_ttl_s = entry_settings.entry_ttl_s
        self._loop = loop_thread.new_loop_thread(f"entry-{entry_settings.process.vm}")
        self._metrics = metrics.new_metrics()
        self._store_threads = futures.ThreadPoolExecutor(STORE_THREAD_COUNT, "object-api")
        self._watch_thread = futures.ThreadPoolExecutor(WATCH_THREAD_COUNT, "object-api-watch")
        self._store = store_client.StoreClient(store, STORE_CALL_BUDGET)
        self._rejecting_requests = False
        self._leaving = False
        self.board = _new_blackboard(entry_settings)
        self._build()

    def _build(self) -> None:
        entry_settings, board = self._settings, self.board
        rng = self._rng = random.Random(board.incarnation)
        self._claims = claim_log.new_claim_log(
            entry_settings.process.vm, board.incarnation, self._store, self._store_threads
        )
        latest_outcomes = recent_outcomes.new_recent_outcomes()
        self._day_figures_store = day_figures_store.new_day_figures_store(
            entry_settings.process.vm, board.incarnation, self._store, self._store_threads, rng
        )
        recorder = recording.RequestRecorder(
            self._metrics, latest_outcomes, self._day_figures_store
        )
        self._agent_links = agents.AgentLinks(board, self._metrics, self._capacity_changed)
        self._dispatcher = dispatcher.Dispatcher(
            board, self._agent_links, self._claims, recorder, self._loop
        )
        self._watch = configuration_watch.ConfigurationWatch(
            board,
            self._store,
            self._watch_thread,
            self._store_threads,
            self._configuration_changed,
            rng,
        )
        self._rollouts = version_rollout.VersionRollouts(
            board, self._agent_links, self._store, self._store_threads
        )
        self._routes = operator.Routes(
            board,
            self._loop,
            self._watch,
            latest_outcomes,
            self._claims,
            self._metrics,
            self._store,
            self._day_figures_store,
            self._entry_list,
            self._report,
        )
        self._exchange = exchange.PeerExchange(
            board.exchanger,
            entry_settings.process.shared_tokens,
            self._metrics,
            self._on_peer_update,
            rng,
        )
        self._front = front.new_front(entry_settings.http, entry_settings.limits, self)
        self._grpc: grpc_server.Server | None = None

    def start(self) -> None:
        """Start the event loop, the gRPC server and the HTTP front."""
        self._loop.start()
        self._loop.run_and_wait(self._start(), START_TIMEOUT_S)
        self._front.start()

    def stop(self, drain_timeout_s: float = DRAIN_TIMEOUT_S) -> None:
        """Drain this entry and close it.

        The entry leaves the lists of entries, goes on serving until the copies of these lists that
        callers hold have expired, then refuses new requests and waits for those in progress.

        Args:
            drain_timeout_s: Longest wait for the requests in progress.
        """
        self._loop.run_and_wait(
            self._drain(drain_timeout_s), self._entry_list_ttl_s + drain_timeout_s + START_TIMEOUT_S
        )
        self.kill()

    def kill(self) -> None:
        """Close at once, without waiting for the requests in progress."""
        self._front.stop()
        if self._grpc is not None:
            self._loop.call_soon(self._grpc.close)
        self._loop.stop()
        self._store_threads.shutdown(wait=False, cancel_futures=True)
        self._watch_thread.shutdown(wait=False, cancel_futures=True)

    def declaration(self) -> declarations.Declaration | None:
        """Return the declaration in force; see `front.Backend`."""
        return self.board.configuration.declaration

    def not_accepting(self) -> outcomes.NotRun | None:
        """Return why no new request is accepted; see `front.Backend`."""
        if not self._rejecting_requests:
            return None
        other_entries = ", ".join(self._entry_list("")["entries"])
        return outcomes.NotRun("entry_leaving", f"use another entry: {other_entries}", 0.0)

    def submit(self, caller_request: request.CallerRequest, answer_sink: sink.AnswerSink) -> None:
        """Start serving a request; see `front.Backend`."""
        self._dispatcher.submit(caller_request, answer_sink)

    def now_s(self) -> float:
        """Return the monotonic time; see `front.Backend`."""
        return time.monotonic()

    def handle(
        self, method: str, path: str, query: str, environ: front.Environ
    ) -> responses.Response:
        """Answer a request that is not for a model or service; see `front.Backend`."""
        return self._routes.handle(method, path, query, environ)

    async def _start(self) -> None:
        listen = self._settings.process.listen
        # grpclib binds the server to the event loop on which it is created.
        self._grpc = grpc_server.Server([self._exchange])
        await self._grpc.start(listen.host, listen.port)
        background_loops = (
            self._exchange.run,
            self._agent_links.run,
            self._watch.run,
            self._expire_requests,
            self._day_figures_store.run,
            self._claims.run,
            self._rollouts.run,
        )
        for background_loop in background_loops:
            self._loop.start_controller(background_loop())
        logs.event(_logger, "started", role="entry", incarnation=self.board.incarnation)

    async def _drain(self, drain_timeout_s: float) -> None:
        self._leaving = True
        logs.event(_logger, "leaving", in_progress=self.board.in_progress)
        await self._exchange.announce(membership.State.LEAVING)
        # Callers cache the list of entries for this time and may still send requests to this entry.
        await asyncio.sleep(self._entry_list_ttl_s)
        self._rejecting_requests = True
        drain_until_s = time.monotonic() + drain_timeout_s
        while self.board.in_progress > 0 and time.monotonic() < drain_until_s:
            await asyncio.sleep(DRAIN_POLL_PERIOD_S)
        await self._agent_links.stop()
        await self._day_figures_store.finish()

    async def _expire_requests(self) -> None:
        while True:
            self._dispatcher.queue.expire()
            await asyncio.sleep(QUEUE_EXPIRY_PERIOD_S)

    def _capacity_changed(self) -> None:
        self._dispatcher.queue.capacity_changed()

    def _configuration_changed(self) -> None:
        declaration = self.board.configuration.declaration
        if declaration is not None:
            self.board.router.set_out_of_service(declaration.data_centres_out, declaration.vms_out)
        # The heartbeat tells agents at once whether they are out of service; the peer exchange is
        # slower.
        self._agent_links.send_heartbeats()
        self._dispatcher.queue.capacity_changed()

    def _on_peer_update(self, learned: digest.ReceivedChanges) -> None:
        for record in learned.records:
            self._agent_links.update_member(record)
        if not learned.configuration_changed:
            return
        exchanged = self.board.exchanger.configuration
        document = configuration.Document(exchanged.revision, exchanged.document.decode())
        if (
            self.board.configuration.adopt_if_newer(document)
            is configuration.AdoptionResult.ADOPTED
        ):
            self._configuration_changed()

    def _entry_list(self, data_centre: str) -> dict[str, typing.Any]:
        declaration = self.declaration()
        centres_out = declaration.data_centres_out if declaration else frozenset()
        vms_out = declaration.vms_out if declaration else frozenset()
        candidates = tuple(
            entry_list.Candidate(
                vm=record.vm,
                data_centre=record.data_centre,
                address=settings.Address(record.host, record.caller_port),
                state=record.state,
                out_of_service=record.data_centre in centres_out or record.vm in vms_out,
            )
            for record in list(self.board.exchanger.table.records())
            if record.role is membership.Role.ENTRY
        )
        chosen = entry_list.select_addresses(candidates, ids.DataCentreId(data_centre), self._rng)
        urls = [f"http://{address.host}:{address.port}" for address in chosen.addresses]
        return {"entries": urls, "ttl_s": self._entry_list_ttl_s}

    def _report(self, date: str, page_format: str) -> responses.Response:
        expected = tuple(
            record.vm
            for record in self.board.exchanger.table.records()
            if record.role is membership.Role.ENTRY and record.state is membership.State.ALIVE
        )
        statistics = self._loop.run_and_wait(
            self._day_figures_store.read(date, expected), REPORT_TIMEOUT_S
        )
        return day_figures_store.render(statistics, self.declaration(), date, page_format)


def _new_blackboard(entry_settings: settings.EntrySettings) -> blackboard.EntryBlackboard:
    now_s = time.monotonic()
    incarnation = ids.Incarnation(time.time_ns() // 1_000_000)
    process = entry_settings.process
    record = membership.MemberRecord(
        vm=process.vm,
        data_centre=process.data_centre,
        host=process.listen.host,
        port=process.listen.port,
        role=membership.Role.ENTRY,
        incarnation=incarnation,
        heartbeat=0,
        state=membership.State.ALIVE,
        caller_port=entry_settings.http.port,
    )
    table = membership.new_membership(record, now_s)
    crashes = crash_exchange.new_crash_exchange()
    return blackboard.EntryBlackboard(
        own_settings=entry_settings,
        incarnation=incarnation,
        router=routing.new_router(routing.Place(process.data_centre, process.region)),
        admission=admission.new_admission_queue(entry_settings.limits.waiting_requests),
        budget=retries.new_retry_budget(),
        configuration=configuration.ConfigurationState(),
        exchanger=digest.Exchanger(table, process.peers, crashes, now_s),
        quarantine=quarantine.new_quarantine(),
    )


def new_entry_process(entry_settings: settings.EntrySettings) -> EntryProcess:
    """Create an entry that uses the platform's object API.

    Args:
        entry_settings: Settings of the entry.

    Returns:
        The process, not started.
    """
    store = object_api_http.HttpObjectApi(entry_settings.process.object_api_url)
    return EntryProcess(entry_settings, store)
