"""Links of an entry to agents, kept in step with the members of the system."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import time
from collections.abc import Callable

from gentianpaddle_core import (
    blackboard,
    capacity,
    ids,
    membership,
    routing,
    scoring,
    settings,
)
from gentianpaddle_daemon import logs, metrics, wire_crashes
from gentianpaddle_daemon.entry import link
from gentianpaddle_daemon.wire import messages_pb2 as pb

LINKS_LIMIT = 48
HEARTBEAT_PERIOD_S = 0.5
DEMAND_PERIOD_S = 0.05
"""Shortest time between two heartbeats that only report a higher demand."""

_logger = logging.getLogger("gentianpaddle.entry.agents")


@dataclasses.dataclass(slots=True)
class _Linked:
    link: link.AgentLink
    incarnation: int = 0
    held: capacity.HeldGrant = dataclasses.field(default_factory=capacity.new_held_grant)
    load: scoring.Load | None = None
    backend_server: ids.BackendServerId | None = None
    targets: frozenset[str] = frozenset()
    reported_demand: int = 0
    crash_version: int = 0


class Agents:
    """All links of one entry."""

    def __init__(
        self,
        board: blackboard.EntryBlackboard,
        process_metrics: metrics.Metrics,
        on_capacity: Callable[[], None],
    ) -> None:
        self._board = board
        self._metrics = process_metrics
        self._on_capacity = on_capacity
        self._linked_by_agent: dict[ids.VmId, _Linked] = {}
        self._demand_s = 0.0

    def link_to(self, agent: ids.VmId) -> link.AgentLink | None:
        """Return the link to an agent, None when there is none."""
        linked = self._linked_by_agent.get(agent)
        return None if linked is None else linked.link

    def incarnation_of(self, agent: ids.VmId) -> ids.Incarnation:
        """Return the incarnation of a linked agent, 0 when it is not linked."""
        linked = self._linked_by_agent.get(agent)
        return ids.Incarnation(0 if linked is None else linked.incarnation)

    def can_resume(self, agent: ids.VmId) -> bool:
        """Tell whether the backend server of an agent continues a stream after delivered text."""
        found = self.link_to(agent)
        return bool(found is not None and found.welcome is not None and found.welcome.resumes)

    def serving(self, model: ids.ModelName) -> tuple[tuple[link.AgentLink, bool], ...]:
        """Return the links to agents of a model.

        Args:
            model: Model.

        Returns:
            Each link in order of the agents' names, and whether its agent is out of service;
            agents that are leaving are left out.
        """
        found = []
        for _, linked in sorted(self._linked_by_agent.items()):
            load = linked.load
            if model in linked.targets and not (load is not None and load.leaving):
                found.append((linked.link, load is not None and load.out))
        return tuple(found)

    def follow(self, record: membership.MemberRecord) -> None:
        """Open, keep or close the link to a member.

        Args:
            record: Latest record of the member.
        """
        if record.role is not membership.Role.AGENT:
            return
        linked = self._linked_by_agent.get(record.vm)
        address = settings.Address(record.host, record.port)
        if record.state is membership.State.DEAD:
            if linked is not None and not linked.link.connected:
                self._drop(record.vm)
        elif linked is None:
            self._add(record.vm, address)
        elif linked.link.address != address:
            self._drop(record.vm)
            self._add(record.vm, address)
        elif linked.backend_server is not None:
            state = _routing_state(record.state, linked.link.connected)
            self._board.router.set_state(linked.backend_server, state, time.monotonic())

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.send_heartbeats()
            self._expire_grants()
            await asyncio.sleep(HEARTBEAT_PERIOD_S)

    def demand_rose(self) -> None:
        """Report the demand soon, because requests wait for a grant."""
        now_s = time.monotonic()
        if now_s - self._demand_s < DEMAND_PERIOD_S:
            return
        self._demand_s = now_s
        for agent, linked in self._linked_by_agent.items():
            if linked.link.connected and self._demand(linked) > linked.reported_demand:
                self._send_heartbeat(agent, linked, now_s)

    def send_heartbeats(self) -> None:
        """Send a heartbeat on each open link."""
        now_s = time.monotonic()
        for agent, linked in self._linked_by_agent.items():
            if linked.link.connected:
                self._send_heartbeat(agent, linked, now_s)

    async def stop(self) -> None:
        """Close all links."""
        stops = [linked.link.stop() for linked in self._linked_by_agent.values()]
        await asyncio.gather(*stops)

    def _send_heartbeat(self, agent: ids.VmId, linked: _Linked, now_s: float) -> None:
        heartbeat = self._heartbeat(agent, linked, now_s)
        linked.reported_demand = heartbeat.demand
        if linked.crash_version != self._board.crash_version:
            linked.crash_version = self._board.crash_version
            heartbeat.crashes.extend(wire_crashes.to_wire(self._board.quarantine, now_s))
        self._metrics.control_bytes.add({"message": "heartbeat"}, heartbeat.ByteSize())
        linked.link.send(pb.FromEntry(heartbeat=heartbeat))

    def _heartbeat(self, agent: ids.VmId, linked: _Linked, now_s: float) -> pb.Heartbeat:
        board = self._board
        declaration = board.configuration.declaration
        record = board.exchanger.table.record(agent)
        centre = record.data_centre if record is not None else None
        out = declaration is not None and (
            agent in declaration.vms_out or centre in declaration.data_centres_out
        )
        age_s = min(board.exchanger.configuration.view_age_s(now_s), 4_000_000.0)
        return pb.Heartbeat(
            revision=board.configuration.document.revision,
            view_age_ms=int(age_s * 1_000),
            demand=self._demand(linked),
            acknowledged_grant_epoch=linked.held.epoch,
            agent_out=out,
        )

    def _demand(self, linked: _Linked) -> int:
        if linked.backend_server is None:
            return 0
        outstanding = self._board.router.outstanding(linked.backend_server)
        board = self._board
        # Retries wait outside the queue; without them an idle entry would get no grant for them.
        waiting = sum(
            board.admission.waiting(model) + board.retrying_by_model[model]
            for model in {*board.admission.models(), *board.retrying_by_model}
            if model in linked.targets
        )
        servers = sum(1 for other in self._linked_by_agent.values() if other.link.connected)
        return outstanding + -(-waiting // max(1, servers))

    def _add(self, agent: ids.VmId, address: settings.Address) -> None:
        if len(self._linked_by_agent) >= LINKS_LIMIT:
            return
        opened = link.AgentLink(
            agent,
            address,
            self._board.own.process,
            self._board.incarnation,
            self._on_message,
            self._on_change,
        )
        self._linked_by_agent[agent] = _Linked(opened)
        opened.start()

    def _drop(self, agent: ids.VmId) -> None:
        linked = self._linked_by_agent.pop(agent)
        self._board.exchanger.table.link_closed(agent)
        if linked.backend_server is not None:
            self._board.router.remove(linked.backend_server)
        asyncio.get_running_loop().create_task(linked.link.stop())

    def _on_change(self, changed: link.AgentLink) -> None:
        linked = self._linked_by_agent.get(changed.agent)
        if linked is None or linked.link is not changed:
            return
        now_s = time.monotonic()
        if changed.welcome is None:
            if linked.backend_server is not None:
                self._board.router.set_state(linked.backend_server, routing.State.SUSPECT, now_s)
            return
        self._board.exchanger.table.link_opened(changed.agent, now_s)
        self._greet(linked, changed.welcome, now_s)

    def _greet(self, linked: _Linked, welcome: pb.Welcome, now_s: float) -> None:
        server = ids.BackendServerId(welcome.backend_server)
        if welcome.incarnation != linked.incarnation:
            linked.held = capacity.new_held_grant()
            linked.load = None
        linked.incarnation = welcome.incarnation
        linked.backend_server = server
        linked.targets = frozenset(welcome.targets)
        agent = ids.VmId(welcome.vm)
        self._board.vm_by_backend_server[server] = agent
        place = routing.Place(ids.DataCentreId(welcome.data_centre), ids.RegionId(welcome.region))
        targets = tuple(map(ids.ModelName, welcome.targets))
        self._board.router.add(routing.BackendServer(server, agent, place, targets))
        self._board.router.set_state(server, routing.State.ALIVE, now_s)
        self.send_heartbeats()

    def _on_message(self, source: link.AgentLink, message: pb.FromAgent) -> None:
        linked = self._linked_by_agent.get(source.agent)
        if linked is None or linked.link is not source:
            return
        self._board.exchanger.table.note_contact(source.agent, time.monotonic())
        if message.WhichOneof("kind") == "load":
            self._take_load(source.agent, linked, message.load)

    def _take_load(self, agent: ids.VmId, linked: _Linked, load: pb.Load) -> None:
        now_s = time.monotonic()
        before = linked.held.amount(now_s)
        linked.held.receive(now_s, load.grant, load.grant_epoch)
        if linked.held.amount(now_s) < before:
            # The agent gives this part to another entry only after the acknowledgement.
            self._send_heartbeat(agent, linked, now_s)
        known = self._board.revision_by_agent.get(agent, ids.Revision(0))
        self._board.revision_by_agent[agent] = max(known, ids.Revision(load.revision))
        if self._board.quarantine.merge(wire_crashes.from_wire(load.crashes), now_s):
            self._board.crash_version += 1
            self.send_heartbeats()
        linked.load = scoring.Load(
            limit=load.limit,
            running=load.running,
            waiting_tokens=load.waiting_tokens,
            grant=linked.held.amount(now_s),
            step_time_s=load.step_time_us / 1_000_000,
            leaving=load.leaving,
            out=load.out,
            engine_incarnation=load.engine_incarnation,
        )
        if linked.backend_server is not None:
            self._board.router.report(linked.backend_server, linked.load, now_s)
        self._on_capacity()

    def _expire_grants(self) -> None:
        now_s = time.monotonic()
        for agent, linked in self._linked_by_agent.items():
            expired = linked.load is not None and linked.held.amount(now_s) < linked.load.grant
            if expired and linked.load is not None and linked.backend_server is not None:
                linked.load = dataclasses.replace(linked.load, grant=0)
                self._board.router.report(linked.backend_server, linked.load, now_s)
                logs.event(_logger, "grant_expired", logging.WARNING, agent=agent)


def _routing_state(state: membership.State, connected: bool) -> routing.State:
    if state is membership.State.LEAVING:
        return routing.State.LEAVING
    # An open link is direct evidence against a suspicion.
    return routing.State.ALIVE if connected else routing.State.SUSPECT
