"""Process of the role entry: wires the blackboard, the front, the links and controllers."""

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
    day,
    dispatcher,
    figures,
    front,
    operator,
    request,
    responses,
    sink,
    statuses,
    version_rollout,
)

START_TIMEOUT_S = 10.0
STOP_LIMIT_S = 600.0
EXPIRE_PERIOD_S = 0.1
STORE_THREADS = 8
WATCH_THREADS = 1
STORE_BUDGET = store_client.CallBudget(reads_per_s=100.0, writes_per_s=60.0)
DRAIN_POLL_S = 0.05
REPORT_TIMEOUT_S = 60.0

_logger = logging.getLogger("gentianpaddle.entry")


class EntryProcess:
    """A running entry."""

    def __init__(self, own: settings.EntrySettings, store: object_api.ObjectApi) -> None:
        self._own = own
        self._ttl_s = own.entry_ttl_s
        self._loop = loop_thread.new_loop_thread(f"entry-{own.process.vm}")
        self._metrics = metrics.new_metrics()
        self._store_threads = futures.ThreadPoolExecutor(STORE_THREADS, "object-api")
        self._watch_thread = futures.ThreadPoolExecutor(WATCH_THREADS, "object-api-watch")
        self._store = store_client.StoreClient(store, STORE_BUDGET)
        self._refusing = False
        self._leaving = False
        self.board = _new_blackboard(own)
        self._build()

    def _build(self) -> None:
        own, board = self._own, self.board
        rng = self._rng = random.Random(board.incarnation)
        self._claims = claim_log.new_claim_log(
            own.process.vm, board.incarnation, self._store, self._store_threads
        )
        known = statuses.new_statuses()
        self._day = day.new_day_figures(
            own.process.vm, board.incarnation, self._store, self._store_threads, rng
        )
        recorder = figures.Recorder(self._metrics, known, self._day)
        self._agents = agents.Agents(board, self._metrics, self._capacity_changed)
        self._dispatcher = dispatcher.Dispatcher(
            board, self._agents, self._claims, recorder, self._loop
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
            board, self._agents, self._store, self._store_threads
        )
        self._routes = operator.Routes(
            board,
            self._loop,
            self._watch,
            known,
            self._claims,
            self._metrics,
            self._store,
            self._day,
            self._entry_list,
            self._report,
        )
        self._exchange = exchange.PeerExchange(
            board.exchanger, own.process.shared_tokens, self._metrics, self._on_learned, rng
        )
        self._front = front.new_front(own.http, own.limits, self)
        self._grpc: grpc_server.Server | None = None

    def start(self) -> None:
        """Listen and begin to serve."""
        self._loop.start()
        self._loop.run(self._start(), START_TIMEOUT_S)
        self._front.start()

    def stop(self, limit_s: float = STOP_LIMIT_S) -> None:
        """Leave the lists of entries, serve for their time to live, then finish and close.

        Args:
            limit_s: Longest wait for what is in progress.
        """
        self._loop.run(self._drain(limit_s), self._ttl_s + limit_s + START_TIMEOUT_S)
        self.kill()

    def kill(self) -> None:
        """Close at once, as a crash would."""
        self._front.stop()
        if self._grpc is not None:
            self._loop.call(self._grpc.close)
        self._loop.stop()
        self._store_threads.shutdown(wait=False, cancel_futures=True)
        self._watch_thread.shutdown(wait=False, cancel_futures=True)

    def declaration(self) -> declarations.Declaration | None:
        """Return the declaration in force; see `front.Backend`."""
        return self.board.configuration.declaration

    def not_accepting(self) -> outcomes.NotRun | None:
        """Return why no new request is accepted; see `front.Backend`."""
        if not self._refusing:
            return None
        others = ", ".join(self._entry_list("")["entries"])
        return outcomes.NotRun("entry_leaving", f"use another entry: {others}", 0.0)

    def submit(self, checked: request.CallerRequest, answer: sink.AnswerSink) -> None:
        """Begin to serve a request; see `front.Backend`."""
        self._dispatcher.submit(checked, answer)

    def now_s(self) -> float:
        """Return the monotonic time; see `front.Backend`."""
        return time.monotonic()

    def handle(
        self, method: str, path: str, query: str, environ: front.Environ
    ) -> responses.Response:
        """Answer a route that is not a caller's request; see `front.Backend`."""
        return self._routes.handle(method, path, query, environ)

    async def _start(self) -> None:
        listen = self._own.process.listen
        # The server belongs to the event loop on which it is created.
        self._grpc = grpc_server.Server([self._exchange])
        await self._grpc.start(listen.host, listen.port)
        bodies = (
            self._exchange.run,
            self._agents.run,
            self._watch.run,
            self._expire,
            self._day.run,
            self._claims.run,
            self._rollouts.run,
        )
        for loop_body in bodies:
            self._loop.spawn(loop_body())
        logs.event(_logger, "started", role="entry", incarnation=self.board.incarnation)

    async def _drain(self, limit_s: float) -> None:
        self._leaving = True
        logs.event(_logger, "leaving", in_progress=self.board.in_progress)
        await self._exchange.announce(membership.State.LEAVING)
        # Callers keep the list of entries for this time, so the entry goes on serving.
        await asyncio.sleep(self._ttl_s)
        self._refusing = True
        until_s = time.monotonic() + limit_s
        while self.board.in_progress > 0 and time.monotonic() < until_s:
            await asyncio.sleep(DRAIN_POLL_S)
        await self._agents.stop()
        await self._day.finish()

    async def _expire(self) -> None:
        while True:
            self._dispatcher.turns.expire()
            await asyncio.sleep(EXPIRE_PERIOD_S)

    def _capacity_changed(self) -> None:
        self._dispatcher.turns.capacity_changed()

    def _configuration_changed(self) -> None:
        declaration = self.board.configuration.declaration
        if declaration is not None:
            self.board.router.set_out(declaration.data_centres_out, declaration.vms_out)
        # Agents learn from the heartbeat whether they are out, without waiting for the exchange.
        self._agents.send_heartbeats()
        self._dispatcher.turns.capacity_changed()

    def _on_learned(self, learned: digest.Learned) -> None:
        for record in learned.records:
            self._agents.follow(record)
        if not learned.configuration_changed:
            return
        exchanged = self.board.exchanger.configuration
        document = configuration.Document(exchanged.revision, exchanged.document.decode())
        if self.board.configuration.offer(document) is configuration.OfferResult.ADOPTED:
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
                out=record.data_centre in centres_out or record.vm in vms_out,
            )
            for record in list(self.board.exchanger.table.records())
            if record.role is membership.Role.ENTRY
        )
        chosen = entry_list.choose(candidates, ids.DataCentreId(data_centre), self._rng)
        urls = [f"http://{address.host}:{address.port}" for address in chosen.addresses]
        return {"entries": urls, "ttl_s": self._ttl_s}

    def _report(self, date: str, form: str) -> responses.Response:
        expected = tuple(
            record.vm
            for record in self.board.exchanger.table.records()
            if record.role is membership.Role.ENTRY and record.state is membership.State.ALIVE
        )
        found = self._loop.run(self._day.read(date, expected), REPORT_TIMEOUT_S)
        return day.render(found, self.declaration(), date, form)


def _new_blackboard(own: settings.EntrySettings) -> blackboard.EntryBlackboard:
    now_s = time.monotonic()
    incarnation = ids.Incarnation(time.time_ns() // 1_000_000)
    process = own.process
    record = membership.MemberRecord(
        vm=process.vm,
        data_centre=process.data_centre,
        host=process.listen.host,
        port=process.listen.port,
        role=membership.Role.ENTRY,
        incarnation=incarnation,
        heartbeat=0,
        state=membership.State.ALIVE,
        caller_port=own.http.port,
    )
    table = membership.new_membership(record, now_s)
    crashes = crash_exchange.new_crash_exchange()
    return blackboard.EntryBlackboard(
        own=own,
        incarnation=incarnation,
        router=routing.new_router(routing.Place(process.data_centre, process.region)),
        admission=admission.new_admission_queue(own.limits.waiting_requests),
        budget=retries.new_retry_budget(),
        configuration=configuration.ConfigurationState(),
        exchanger=digest.Exchanger(table, process.peers, crashes, now_s),
        quarantine=quarantine.new_quarantine(),
    )


def new_entry_process(own: settings.EntrySettings) -> EntryProcess:
    """Create an entry that uses the platform's object API.

    Args:
        own: Its settings.

    Returns:
        The process, not started.
    """
    store = object_api_http.HttpObjectApi(own.process.object_api_url)
    return EntryProcess(own, store)
