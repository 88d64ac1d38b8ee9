"""Links of an entry to agents, opened and closed as the membership changes."""

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

MAX_LINKS = 48
"""Number of links above which further agents get none."""
HEARTBEAT_PERIOD_S = 0.5
MIN_DEMAND_REPORT_INTERVAL_S = 0.05
"""Shortest time between two rounds of heartbeats sent early because the demand rose."""

_logger = logging.getLogger("gentianpaddle.entry.agents")


@dataclasses.dataclass(slots=True)
class _LinkedAgent:
    link: link.AgentLink
    incarnation: int = 0
    held_grant: capacity.HeldGrant = dataclasses.field(default_factory=capacity.new_held_grant)
    load: scoring.LoadReport | None = None
    backend_server: ids.BackendServerId | None = None
    targets: frozenset[str] = frozenset()
    reported_demand: int = 0
    quarantine_version: int = 0


class AgentLinks:
    """All agent links of one entry, with the load and grant that each agent reported."""

    def __init__(
        self,
        board: blackboard.EntryBlackboard,
        process_metrics: metrics.Metrics,
        on_capacity_change: Callable[[], None],
    ) -> None:
        self._board = board
        self._metrics = process_metrics
        self._on_capacity_change = on_capacity_change
        self._linked_by_agent: dict[ids.VmId, _LinkedAgent] = {}
        self._last_demand_report_s = 0.0

    def link_to(self, agent: ids.VmId) -> link.AgentLink | None:
        """Return the link to an agent, None if there is none."""
        linked_agent = self._linked_by_agent.get(agent)
        return None if linked_agent is None else linked_agent.link

    def incarnation_of(self, agent: ids.VmId) -> ids.Incarnation:
        """Return the incarnation of an agent, 0 if there is no link to it."""
        linked_agent = self._linked_by_agent.get(agent)
        return ids.Incarnation(0 if linked_agent is None else linked_agent.incarnation)

    def can_resume(self, agent: ids.VmId) -> bool:
        """Return whether the backend server of an agent can resume a partly delivered stream."""
        link_found = self.link_to(agent)
        return bool(
            link_found is not None and link_found.welcome is not None and link_found.welcome.resumes
        )

    def links_serving(self, model: ids.ModelName) -> tuple[tuple[link.AgentLink, bool], ...]:
        """Return the links to the agents that serve a model.

        Args:
            model: Name of the model.

        Returns:
            Pairs of a link and whether its agent is out of service, sorted by the agents' names.
            Agents that are leaving are omitted.
        """
        links = []
        for _, linked_agent in sorted(self._linked_by_agent.items()):
            load = linked_agent.load
            if model in linked_agent.targets and not (load is not None and load.leaving):
                links.append((linked_agent.link, load is not None and load.out))
        return tuple(links)

    def update_member(self, record: membership.MemberRecord) -> None:
        """Open, keep or close the link to a member after a change of its record.

        Args:
            record: Latest membership record.
        """
        if record.role is not membership.Role.AGENT:
            return
        linked_agent = self._linked_by_agent.get(record.vm)
        address = settings.Address(record.host, record.port)
        if record.state is membership.State.DEAD:
            if linked_agent is not None and not linked_agent.link.connected:
                self._remove_link(record.vm)
        elif linked_agent is None:
            self._add_link(record.vm, address)
        elif linked_agent.link.address != address:
            self._remove_link(record.vm)
            self._add_link(record.vm, address)
        elif linked_agent.backend_server is not None:
            state = _routing_state(record.state, linked_agent.link.connected)
            self._board.router.set_state(linked_agent.backend_server, state, time.monotonic())

    async def run(self) -> None:
        """Send periodic heartbeats and expire grants until cancelled."""
        while True:
            self.send_heartbeats()
            self._expire_grants()
            await asyncio.sleep(HEARTBEAT_PERIOD_S)

    def report_demand(self) -> None:
        """Report a higher demand to agents before the next periodic heartbeat."""
        now_s = time.monotonic()
        if now_s - self._last_demand_report_s < MIN_DEMAND_REPORT_INTERVAL_S:
            return
        self._last_demand_report_s = now_s
        for agent, linked_agent in self._linked_by_agent.items():
            if (
                linked_agent.link.connected
                and self._demand(linked_agent) > linked_agent.reported_demand
            ):
                self._send_heartbeat(agent, linked_agent, now_s)

    def send_heartbeats(self) -> None:
        """Send a heartbeat on every connected link."""
        now_s = time.monotonic()
        for agent, linked_agent in self._linked_by_agent.items():
            if linked_agent.link.connected:
                self._send_heartbeat(agent, linked_agent, now_s)

    async def stop(self) -> None:
        """Close all links."""
        stops = [linked_agent.link.stop() for linked_agent in self._linked_by_agent.values()]
        await asyncio.gather(*stops)

    def _send_heartbeat(self, agent: ids.VmId, linked_agent: _LinkedAgent, now_s: float) -> None:
        heartbeat = self._build_heartbeat(agent, linked_agent, now_s)
        linked_agent.reported_demand = heartbeat.demand
        if linked_agent.quarantine_version != self._board.quarantine_version:
            linked_agent.quarantine_version = self._board.quarantine_version
            heartbeat.crashes.extend(wire_crashes.to_wire(self._board.quarantine, now_s))
        self._metrics.control_bytes.add({"message": "heartbeat"}, heartbeat.ByteSize())
        linked_agent.link.send(pb.FromEntry(heartbeat=heartbeat))

    def _build_heartbeat(
        self, agent: ids.VmId, linked_agent: _LinkedAgent, now_s: float
    ) -> pb.Heartbeat:
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
            demand=self._demand(linked_agent),
            acknowledged_grant_epoch=linked_agent.held_grant.epoch,
            agent_out=out,
        )

    def _demand(self, linked_agent: _LinkedAgent) -> int:
        if linked_agent.backend_server is None:
            return 0
        outstanding = self._board.router.outstanding(linked_agent.backend_server)
        board = self._board
        # Retries wait outside the queue. If they were not counted, an entry whose queue is empty
        # would get no grant for them.
        waiting = sum(
            board.admission.waiting(model) + board.retrying_by_model[model]
            for model in {*board.admission.models(), *board.retrying_by_model}
            if model in linked_agent.targets
        )
        connected_agents = sum(
            1 for other in self._linked_by_agent.values() if other.link.connected
        )
        return outstanding + -(-waiting // max(1, connected_agents))

    def _add_link(self, agent: ids.VmId, address: settings.Address) -> None:
        if len(self._linked_by_agent) >= MAX_LINKS:
            return
        agent_link = link.AgentLink(
            agent,
            address,
            self._board.own_settings.process,
            self._board.incarnation,
            self._on_message,
            self._on_link_change,
        )
        self._linked_by_agent[agent] = _LinkedAgent(agent_link)
        agent_link.start()

    def _remove_link(self, agent: ids.VmId) -> None:
        linked_agent = self._linked_by_agent.pop(agent)
        self._board.exchanger.table.stream_closed(agent)
        if linked_agent.backend_server is not None:
            self._board.router.remove(linked_agent.backend_server)
        asyncio.get_running_loop().create_task(linked_agent.link.stop())

    def _on_link_change(self, changed_link: link.AgentLink) -> None:
        linked_agent = self._linked_by_agent.get(changed_link.agent)
        if linked_agent is None or linked_agent.link is not changed_link:
            return
        now_s = time.monotonic()
        if changed_link.welcome is None:
            if linked_agent.backend_server is not None:
                self._board.router.set_state(
                    linked_agent.backend_server, routing.State.SUSPECT, now_s
                )
            return
        self._board.exchanger.table.stream_opened(changed_link.agent, now_s)
        self._handle_welcome(linked_agent, changed_link.welcome, now_s)

    def _handle_welcome(
        self, linked_agent: _LinkedAgent, welcome: pb.Welcome, now_s: float
    ) -> None:
        server = ids.BackendServerId(welcome.backend_server)
        if welcome.incarnation != linked_agent.incarnation:
            linked_agent.held_grant = capacity.new_held_grant()
            linked_agent.load = None
        linked_agent.incarnation = welcome.incarnation
        linked_agent.backend_server = server
        linked_agent.targets = frozenset(welcome.targets)
        agent = ids.VmId(welcome.vm)
        self._board.vm_by_backend_server[server] = agent
        place = routing.Place(ids.DataCentreId(welcome.data_centre), ids.RegionId(welcome.region))
        targets = tuple(map(ids.ModelName, welcome.targets))
        self._board.router.add(routing.BackendServer(server, agent, place, targets))
        self._board.router.set_state(server, routing.State.ALIVE, now_s)
        self.send_heartbeats()

    def _on_message(self, source: link.AgentLink, message: pb.FromAgent) -> None:
        linked_agent = self._linked_by_agent.get(source.agent)
        if linked_agent is None or linked_agent.link is not source:
            return
        self._board.exchanger.table.record_contact(source.agent, time.monotonic())
        if message.WhichOneof("kind") == "load":
            self._handle_load(source.agent, linked_agent, message.load)

    def _handle_load(self, agent: ids.VmId, linked_agent: _LinkedAgent, load: pb.Load) -> None:
        now_s = time.monotonic()
        previous_grant = linked_agent.held_grant.amount(now_s)
        linked_agent.held_grant.receive(now_s, load.grant, load.grant_epoch)
        if linked_agent.held_grant.amount(now_s) < previous_grant:
            # The agent gives the revoked part to another entry only after this acknowledgement.
            self._send_heartbeat(agent, linked_agent, now_s)
        known_revision = self._board.revision_by_agent.get(agent, ids.Revision(0))
        self._board.revision_by_agent[agent] = max(known_revision, ids.Revision(load.revision))
        if self._board.quarantine.merge(wire_crashes.from_wire(load.crashes), now_s):
            self._board.quarantine_version += 1
            self.send_heartbeats()
        linked_agent.load = scoring.LoadReport(
            limit=load.limit,
            running=load.running,
            waiting_tokens=load.waiting_tokens,
            grant=linked_agent.held_grant.amount(now_s),
            step_time_s=load.step_time_us / 1_000_000,
            leaving=load.leaving,
            out=load.out,
            engine_incarnation=load.engine_incarnation,
        )
        if linked_agent.backend_server is not None:
            self._board.router.apply_load_report(
                linked_agent.backend_server, linked_agent.load, now_s
            )
        self._on_capacity_change()

    def _expire_grants(self) -> None:
        now_s = time.monotonic()
        for agent, linked_agent in self._linked_by_agent.items():
            expired = (
                linked_agent.load is not None
                and linked_agent.held_grant.amount(now_s) < linked_agent.load.grant
            )
            if (
                expired
                and linked_agent.load is not None
                and linked_agent.backend_server is not None
            ):
                linked_agent.load = dataclasses.replace(linked_agent.load, grant=0)
                self._board.router.apply_load_report(
                    linked_agent.backend_server, linked_agent.load, now_s
                )
                logs.event(_logger, "grant_expired", logging.WARNING, agent=agent)


def _routing_state(state: membership.State, connected: bool) -> routing.State:
    if state is membership.State.LEAVING:
        return routing.State.LEAVING
    # An open link is direct evidence that the agent is alive and overrides a suspicion.
    return routing.State.ALIVE if connected else routing.State.SUSPECT
