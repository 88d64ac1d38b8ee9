"""Coordinates the map of experts of one group, on the VM of its rank 0."""

from __future__ import annotations

import asyncio
import logging
import random

from gentianpaddle_core.serving import (
    engine_state,
    expert_demand,
    expert_layout,
    map_change,
    members,
    routes,
)
from gentianpaddle_gateway import local_engine, log, side_calls
from gentianpaddle_platform import engines

_logger = logging.getLogger("gentianpaddle.experts")

OBSERVE_INTERVAL_S = 0.35
"""Pause between reads of the counts; five of the group's passes."""

LEAST_GAIN = 0.04
"""Least part of the fullest ranks' load for which a change pays: copies make passes 15 % longer
for about 0.3 s of the 3 to 4 s for which demand stays."""

IDLE_INTERVAL_S = 0.2
"""Pause of a process that does not coordinate."""

ROUND_INTERVAL_S = 0.01
"""Pause between rounds of a change of maps."""


class Coordinator:
    """Keeps the experts of a group where they are asked for.

    Args:
        view: VMs of the system.
        engine: The engine on this VM.
        calls: Calls to the processes beside all engines.
    """

    def __init__(
        self,
        view: members.MemberView,
        engine: local_engine.LocalEngine,
        calls: side_calls.SideCalls,
    ) -> None:
        self._view = view
        self._engine = engine
        self._calls = calls
        self._member_by_rank: dict[int, members.Member] = {}
        self._reports: dict[int, engine_state.EngineReport] = {}
        self._change: map_change.MapChange | None = None
        self._group: tuple[str | None, int] = (None, 0)
        self._demand: expert_demand.Demand | None = None
        self._in_force: expert_layout.Layout | None = None
        self.shape: routes.ExpertShape | None = None
        """What the engines allow; None while it is not known."""

    async def run(self) -> None:
        """Coordinate whenever the engine here is rank 0 of an open group."""
        while True:
            report = engines.decode_report(await self._engine.report())
            coordinates = (
                report is not None
                and report.rank == map_change.HOLDING_RANK
                and report.group is not None
                and report.group_open
                and self.shape is not None
            )
            if not coordinates or report is None:
                self._change = None
                await asyncio.sleep(IDLE_INTERVAL_S)
                continue
            if self._change is None or self._group != (report.group, report.epoch):
                self._start(report)
            await self._cycle()

    def _start(self, report: engine_state.EngineReport) -> None:
        self._group = (report.group, report.epoch)
        self._change = map_change.MapChange(report.epoch, report.size, random.SystemRandom())
        self._in_force = None
        self._reports = {}
        self._member_by_rank = {}
        if self.shape is not None and self._demand is None:
            self._demand = expert_demand.Demand(self.shape.sets, self.shape.experts)
        log.event(
            _logger,
            "coordinates",
            group=report.group,
            epoch=report.epoch,
            ranks=report.size,
            rank=report.rank,
        )

    async def _cycle(self) -> None:
        change = self._change
        assert change is not None
        idle = change.phase is map_change.Phase.IDLE
        target = local_engine.COUNTS_TARGET if idle else local_engine.STATE_TARGET
        await self._observe(target, direct=not idle)
        now_s = asyncio.get_running_loop().time()
        if len(self._reports) == change.size and self._in_force is None:
            await self._read_layout(change.size)
        if idle and self._in_force is not None:
            await self._plan(change, now_s)
        orders = change.next_orders(self._reports, now_s)
        while orders:
            await self._give(change, orders)
            orders = change.next_orders(self._reports, asyncio.get_running_loop().time())
        if not idle and change.phase is map_change.Phase.IDLE:
            self._finished(change)
        if change.phase in (map_change.Phase.IDLE, map_change.Phase.SWITCHING):
            await asyncio.sleep(OBSERVE_INTERVAL_S)
        else:
            await asyncio.sleep(ROUND_INTERVAL_S)

    def _finished(self, change: map_change.MapChange) -> None:
        done = all(r.map_version == change.version for r in self._reports.values())
        if not done:
            self._in_force = None
        log.event(
            _logger,
            "map_changed" if done else "map_change_taken_back",
            version=change.version,
            epoch=change.epoch,
            at_pass=change.at_pass,
        )

    async def _observe(self, target: str, direct: bool) -> None:
        """Read the state of all ranks, and their counts if the target says so."""
        asked = [self._view.own]
        asked += [member for member in self._view.others() if member.engine_address is not None]
        states = await self._calls.ask(
            [side_calls.Question(member, target, b"", direct) for member in asked]
        )
        self._reports = {}
        for member, state in zip(asked, states, strict=True):
            report = state.report
            if report is None or (report.group, report.epoch) != self._group:
                continue
            self._reports[report.rank] = report
            self._member_by_rank[report.rank] = member
        total = local_engine.joined_counts(state.counts for state in states)
        if total and self._demand is not None and self.shape is not None:
            width = self.shape.experts
            rows = [total[start : start + width] for start in range(0, len(total), width)]
            self._demand.add(rows, asyncio.get_running_loop().time())

    async def _give(
        self, change: map_change.MapChange, orders: dict[int, engine_state.Order]
    ) -> None:
        """Give a round of orders and take the fresh reports that come back."""
        # Most orders of a round are the same, and a map is large.
        body_by_order = {id(order): engines.encode_order(order) for order in orders.values()}
        questions = [
            side_calls.Question(
                self._member_by_rank[rank],
                local_engine.ORDERS_TARGET,
                body_by_order[id(order)],
                direct=True,
            )
            for rank, order in orders.items()
        ]
        states = await self._calls.ask(questions)
        now_s = asyncio.get_running_loop().time()
        for (rank, order), state in zip(orders.items(), states, strict=True):
            if not isinstance(state.order, engine_state.Accepted):
                log.event(
                    _logger,
                    "order_not_accepted",
                    rank=rank,
                    operation=order.operation.value,
                    version=order.version,
                    at_pass=order.at_pass,
                    result=type(state.order).__name__,
                    reason=getattr(state.order, "reason", None),
                )
            if isinstance(state.order, engine_state.Declined):
                change.declined(order, now_s)
            report = state.report
            if report is None or report.epoch != change.epoch:
                self._reports.pop(rank, None)
            else:
                self._reports[rank] = report

    async def _read_layout(self, size: int) -> None:
        lists: dict[int, tuple[tuple[int, ...], ...]] = {}
        asked = {rank: member for rank, member in self._member_by_rank.items() if rank < size}
        states = await self._calls.ask(
            [
                side_calls.Question(member, local_engine.LAYOUT_TARGET, b"", direct=True)
                for member in asked.values()
            ]
        )
        for rank, state in zip(asked, states, strict=True):
            held = engines.decode_layout(state.report_body)
            if held is None:
                log.event(
                    _logger,
                    "layout_unreadable",
                    logging.WARNING,
                    rank=rank,
                    length=len(state.report_body),
                )
                return
            lists[rank] = held
        if len(lists) == size:
            self._in_force = local_engine.ranks_layout(lists)
            if self._change is not None:
                self._change.in_force = self._in_force

    async def _plan(self, change: map_change.MapChange, now_s: float) -> None:
        demand, shape, layout = self._demand, self.shape, self._in_force
        if demand is None or shape is None or layout is None:
            return
        if len(self._reports) < change.size or not any(map(any, demand.counts)):
            return
        if any(r.armed or r.held_pass is not None for r in self._reports.values()):
            return
        slowness = [self._reports[rank].slowness for rank in range(change.size)]
        planned = []
        before = after = mean = 0.0
        for ranks, counts in zip(layout, demand.counts, strict=True):
            better = expert_layout.improved(ranks, counts, slowness, shape)
            planned.append(better)
            before += expert_layout.fullest(ranks, counts, slowness)
            after += expert_layout.fullest(better, counts, slowness)
            mean += sum(counts) / len(ranks)
            # Lets the loads of the engine here be told between two sets.
            await asyncio.sleep(0)
        if before <= 0.0 or (before - after) / before < LEAST_GAIN:
            return
        log.event(
            _logger,
            "map_planned",
            fullest_before=before / mean,
            fullest_after=after / mean,
            version=change.version + 1,
        )
        change.begin(tuple(planned), self._reports, now_s)
        self._in_force = tuple(planned)
