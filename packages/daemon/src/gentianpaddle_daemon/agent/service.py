"""gRPC service of an agent: admits, cancels, revokes and reports the attempts of entries."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time

from grpclib import exceptions
from grpclib import server as grpc_server

from gentianpaddle_core import blackboard, ids, ledger, quarantine
from gentianpaddle_daemon import logs, metrics, security, wire_crashes
from gentianpaddle_daemon.agent import links, order_handler, runner
from gentianpaddle_daemon.wire import messages_grpc
from gentianpaddle_daemon.wire import messages_pb2 as pb

HELLO_TIMEOUT_S = 2.0
"""Longest wait for the first message of a stream."""
GRANT_BATCH_DELAY_S = 0.02
"""Time in which changes of demand are collected and answered with one round of grants."""

_logger = logging.getLogger("gentianpaddle.agent.service")

_STATE_BY_STATUS = {
    ledger.KeyStatus.UNSEEN: pb.ATTEMPT_STATE_UNSEEN,
    ledger.KeyStatus.RUNNING: pb.ATTEMPT_STATE_RUNNING,
    ledger.KeyStatus.DONE: pb.ATTEMPT_STATE_DONE,
    ledger.KeyStatus.FAILED: pb.ATTEMPT_STATE_FAILED,
    ledger.KeyStatus.DROPPED: pb.ATTEMPT_STATE_FAILED,
    # REVOKED on the wire means that every admitted attempt ended before the backend server saw it,
    # whether by a revocation or for another reason.
    ledger.KeyStatus.NOT_RUN: pb.ATTEMPT_STATE_REVOKED,
}


class AgentService(messages_grpc.AgentBase):
    """Serves the streams of entries and the orders of lease holders."""

    def __init__(
        self,
        board: blackboard.AgentBlackboard,
        attempt_runner: runner.Runner,
        process_metrics: metrics.Metrics,
        agent_order_handler: order_handler.OrderHandler,
    ) -> None:
        self._board = board
        self._runner = attempt_runner
        self._metrics = process_metrics
        self._order_handler = agent_order_handler
        self.link_by_entry: dict[ids.VmId, links.EntryLink] = {}
        self._report_timer: asyncio.TimerHandle | None = None

    async def Dispatch(  # noqa: N802 - named by the service definition
        self, stream: grpc_server.Stream[pb.FromEntry, pb.FromAgent]
    ) -> None:
        """Serve the stream of one entry until it closes."""
        security.require_token(stream.metadata, self._board.own_settings.process.shared_tokens)
        first = await asyncio.wait_for(stream.recv_message(), HELLO_TIMEOUT_S)
        if first is None or first.WhichOneof("kind") != "hello":
            return
        link = self._open_link(first.hello)
        await stream.send_message(pb.FromAgent(welcome=self._welcome_message()))
        sender = asyncio.get_running_loop().create_task(_send_all(stream, link))
        try:
            await self._receive_all(stream, link)
        finally:
            sender.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await sender
            self._close_link(link)

    async def Order(  # noqa: N802 - named by the service definition
        self, stream: grpc_server.Stream[pb.OrderRequest, pb.OrderReply]
    ) -> None:
        """Serve one fenced order from the lease holder of a group."""
        security.require_token(stream.metadata, self._board.own_settings.process.shared_tokens)
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(await self._order_handler.serve(request))

    def report_load(self, *, changed_only: bool = False) -> None:
        """Issue grants and send them to the entries with the load report.

        Args:
            changed_only: Whether to send only to entries whose grant changed. For the others the
                earlier grant of the same amount stays valid until the next full report.
        """
        if self._report_timer is not None:
            self._report_timer.cancel()
            self._report_timer = None
        now_s = time.monotonic()
        board = self._board
        for grant in board.capacity.issue_grants(now_s):
            link = self.link_by_entry.get(grant.entry)
            if link is not None and not (changed_only and link.grant == grant.amount):
                link.grant = grant.amount
                load = self._load_message(grant.amount, grant.epoch)
                if link.quarantine_version != self._board.quarantine_version:
                    link.quarantine_version = self._board.quarantine_version
                    load.crashes.extend(wire_crashes.to_wire(self._board.quarantine, now_s))
                self._metrics.control_bytes.add({"message": "load"}, load.ByteSize())
                link.send(pb.FromAgent(load=load))

    def is_drained(self) -> bool:
        """Return whether no attempt is running and no message waits to be sent."""
        no_attempts = not self._board.ledger.running_requests()
        return no_attempts and all(link.is_drained() for link in self.link_by_entry.values())

    async def _receive_all(
        self, stream: grpc_server.Stream[pb.FromEntry, pb.FromAgent], link: links.EntryLink
    ) -> None:
        receiver = asyncio.current_task()
        link.set_close_callback(lambda: receiver.cancel() if receiver is not None else None)
        try:
            while (message := await stream.recv_message()) is not None:
                self._handle_message(message, link)
        except (exceptions.StreamTerminatedError, exceptions.GRPCError, OSError):
            return

    def _handle_message(self, message: pb.FromEntry, link: links.EntryLink) -> None:
        kind = message.WhichOneof("kind")
        if kind == "start":
            self._handle_start(message.start, link)
        elif kind == "heartbeat":
            self._handle_heartbeat(message.heartbeat, link)
        elif kind == "cancel":
            self._handle_cancel(message.cancel, link)
        elif kind == "revoke":
            self._handle_revoke(message.revoke, link)
        elif kind == "query":
            self._handle_query(message.query, link)

    def _handle_start(self, start: pb.Start, link: links.EntryLink) -> None:
        now_s = time.monotonic()
        start_request = _start_request(start, link, now_s)
        conditions = self._admission_conditions(start_request.fingerprint, now_s)
        decision = self._board.ledger.admit(now_s, start_request, conditions)
        if isinstance(decision, ledger.Declined):
            self._metrics.attempts.inc({"result": "declined"})
            logs.event(
                _logger, "declined", key=start.key, attempt=start.attempt, reason=decision.reason
            )
            declined = pb.Declined(key=start.key, attempt=start.attempt, reason=decision.reason)
            link.send(pb.FromAgent(declined=declined))
            return
        if decision.repeated:
            self._handle_query(pb.Query(key=start.key), link)
            return
        logs.event(_logger, "admitted", key=start.key, attempt=start.attempt, entry=link.entry)
        link.send(pb.FromAgent(accepted=pb.Accepted(key=start.key, attempt=start.attempt)))
        self._runner.launch(start, link)

    def _admission_conditions(
        self, fingerprint: ids.Fingerprint, now_s: float
    ) -> ledger.AdmissionConditions:
        board = self._board
        running = [each.fingerprint for each in board.ledger.running_requests()]
        decision = board.quarantine.admit(fingerprint, running, now_s)
        allowed = isinstance(decision, quarantine.Allow | quarantine.AllowIsolated)
        # A fingerprint that is already running is declined by the ledger with its own reason.
        allowed = allowed or fingerprint in running
        return ledger.AdmissionConditions(
            leaving=board.leaving,
            # Also set if only the VM is out of service. `vm_out` stays False here; the ledger gives
            # the same reason for both.
            data_centre_out=board.is_out_of_service(),
            quarantined=not allowed,
        )

    def _handle_heartbeat(self, heartbeat: pb.Heartbeat, link: links.EntryLink) -> None:
        board = self._board
        revision = ids.Revision(heartbeat.revision)
        if revision > board.out_revision:
            board.out_revision = revision
            board.is_out_by_entry = heartbeat.agent_out
        board.capacity.apply_heartbeat(
            time.monotonic(), link.entry, heartbeat.demand, heartbeat.acknowledged_grant_epoch
        )
        if board.quarantine.merge(wire_crashes.from_wire(heartbeat.crashes), time.monotonic()):
            board.quarantine_version += 1
        link.demand = heartbeat.demand
        if any(each.demand > each.grant for each in self.link_by_entry.values()):
            self._schedule_report()

    def _schedule_report(self) -> None:
        if self._report_timer is None:
            self._report_timer = asyncio.get_running_loop().call_later(
                GRANT_BATCH_DELAY_S, lambda: self.report_load(changed_only=True)
            )

    def _handle_cancel(self, cancel: pb.Cancel, link: links.EntryLink) -> None:
        key, attempt = ids.RequestKey(cancel.key), ids.Attempt(cancel.attempt)
        self._board.ledger.cancel(time.monotonic(), link.entry, key, attempt)
        self._runner.cancel(key, attempt)

    def _handle_revoke(self, revoke: pb.Revoke, link: links.EntryLink) -> None:
        key, attempt = ids.RequestKey(revoke.key), ids.Attempt(revoke.attempt)
        effect = self._board.ledger.revoke(time.monotonic(), key, attempt)
        before_start = effect is ledger.StopResult.NOT_RUN
        revoked = pb.Revoked(key=key, attempt=attempt, before_start=before_start)
        link.send(pb.FromAgent(revoked=revoked))

    def _handle_query(self, query: pb.Query, link: links.EntryLink) -> None:
        state = self._board.ledger.query(time.monotonic(), ids.RequestKey(query.key))
        reply = pb.State(
            key=query.key,
            attempt=state.attempt or 0,
            state=_STATE_BY_STATUS[state.status],
        )
        if state.outcome is not None and state.outcome.body is not None:
            reply.body = state.outcome.body
            reply.http_status = state.outcome.http_status
            reply.content_type = state.outcome.content_type
        elif state.status is ledger.KeyStatus.DONE:
            # Without the body the outcome cannot be returned again, so it is not reported as done.
            reply.state = pb.ATTEMPT_STATE_FAILED
        link.send(pb.FromAgent(state=reply))

    def _open_link(self, hello: pb.Hello) -> links.EntryLink:
        entry = ids.VmId(hello.vm)
        previous = self.link_by_entry.get(entry)
        if previous is not None:
            previous.close()
        link = links.new_entry_link(entry, ids.DataCentreId(hello.data_centre))
        self.link_by_entry[entry] = link
        self._board.capacity.apply_heartbeat(time.monotonic(), entry, demand=0)
        asyncio.get_running_loop().call_soon(self.report_load)
        return link

    def _close_link(self, link: links.EntryLink) -> None:
        link.set_close_callback(lambda: None)
        link.close()
        self._runner.cancel_idempotent_attempts(link)
        if self.link_by_entry.get(link.entry) is link:
            del self.link_by_entry[link.entry]
            self._board.capacity.remove_entry(time.monotonic(), link.entry)

    def _welcome_message(self) -> pb.Welcome:
        own = self._board.own_settings
        return pb.Welcome(
            vm=own.process.vm,
            incarnation=self._board.incarnation,
            data_centre=own.process.data_centre,
            region=own.process.region,
            backend_server=own.backend_server,
            targets=list(own.targets),
            resumes=own.resumes,
            checks_fence=own.checks_fence,
        )

    def _load_message(self, grant: int, epoch: int) -> pb.Load:
        board = self._board
        return pb.Load(
            limit=board.capacity.limit,
            running=board.capacity.running,
            waiting_tokens=board.waiting_tokens,
            grant=grant,
            grant_epoch=epoch,
            step_time_us=int(board.step_s * 1_000_000),
            leaving=board.leaving,
            out=board.is_out_of_service(),
            revision=board.configuration.document.revision,
            engine_incarnation=board.engine_incarnation,
        )


async def _send_all(
    stream: grpc_server.Stream[pb.FromEntry, pb.FromAgent], link: links.EntryLink
) -> None:
    while True:
        await stream.send_message(await link.next_message())


def _start_request(start: pb.Start, link: links.EntryLink, now_s: float) -> ledger.StartRequest:
    return ledger.StartRequest(
        entry=link.entry,
        key=ids.RequestKey(start.key),
        attempt=ids.Attempt(start.attempt),
        fingerprint=ids.Fingerprint(start.fingerprint),
        expected_incarnation=ids.Incarnation(start.agent_incarnation),
        deadline_s=now_s + start.deadline_ms / 1_000,
        idempotent=start.idempotent,
    )
