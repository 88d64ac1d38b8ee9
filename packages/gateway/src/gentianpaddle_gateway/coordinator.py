"""Coordinator of a group's expert map; runs in the side process of rank 0."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Sequence

from gentianpaddle_core.serving import (
    engine_state,
    expert_demand,
    expert_layout,
    map_change,
    members,
    rank_sample,
    routes,
)
from gentianpaddle_gateway import engine_client, group_rescue, log, side_calls
from gentianpaddle_platform import engines

_logger = logging.getLogger("gentianpaddle.experts")

OBSERVE_INTERVAL_S = 0.35
"""Interval between reads of the expert counts; about five passes of the group."""

MIN_LOAD_REDUCTION = 0.04
"""Minimum relative reduction, of the sum over all sets of the highest rank load, for which the map
is changed. Copying experts makes passes 15 % longer for about 0.3 s, and the demand stays the same
for only 3 to 4 s."""

HOUSEKEEPING_INTERVAL_S = 2.0
"""Interval between reads of the state of all ranks while no change is in progress, to find ranks
that are armed by late orders."""

STANDBY_INTERVAL_S = 0.2
"""Interval between checks whether this process is to coordinate."""

ORDER_ROUND_INTERVAL_S = 0.01
"""Pause between rounds of orders while a map change is in progress."""


class Coordinator:
    """Adapts the expert map of a group to the demand for its experts.

    Args:
        member_view: Known VMs of the system.
        engine: Client of the engine on this VM.
        calls: Calls to the side processes of the group.
    """

    def __init__(
        self,
        member_view: members.MemberView,
        engine: engine_client.EngineClient,
        calls: side_calls.SideCalls,
    ) -> None:
        self._member_view = member_view
        self._engine = engine
        self._calls = calls
        self._rescue = group_rescue.GroupRescue(member_view, calls)
        self._member_by_rank: dict[int, members.Member] = {}
        self._reports: dict[int, engine_state.EngineReport] = {}
        self._change: map_change.MapChange | None = None
        self._group_and_epoch: tuple[str | None, int] = (None, 0)
        self._slowness_by_rank: dict[int, float] = {}
        self._all_read_s = 0.0
        """Monotonic time of the last read of the states of all ranks."""
        self._demand: expert_demand.Demand | None = None
        self._current_layout: expert_layout.Layout | None = None
        """Layout in use, or the one to which a change in progress leads; None while not known."""
        self.active = False
        """Whether this process coordinates a group."""
        self.rescuing = False
        """Whether this process rescues the group if its coordinator stops."""
        self.expert_shape: routes.ExpertLimits | None = None
        """Limits on the expert maps of the engines' service; None while not known."""

    async def run(self) -> None:
        """Coordinate while the local engine is rank 0 of an open group, until cancelled."""
        while True:
            report = engines.decode_report(await self._engine.read_report())
            is_coordinator = (
                report is not None
                and report.rank == map_change.COORDINATING_RANK
                and report.group is not None
                and report.group_accepts_requests
                and self.expert_shape is not None
            )
            self.active = is_coordinator
            self.rescuing = report is not None and report.rank == map_change.RESCUING_RANK
            if not is_coordinator or report is None:
                self._change = None
                if report is not None:
                    await self._rescue.check(report, self.expert_shape)
                await asyncio.sleep(STANDBY_INTERVAL_S)
                continue
            if self._change is None or self._group_and_epoch != (report.group, report.epoch):
                self._start_group(report)
            await self._run_cycle(report)

    def _start_group(self, report: engine_state.EngineReport) -> None:
        self._group_and_epoch = (report.group, report.epoch)
        self._change = map_change.MapChange(report.epoch, report.rank_count, random.SystemRandom())
        self._current_layout = None
        self._reports = {}
        self._member_by_rank = {}
        self._slowness_by_rank = {}
        if self.expert_shape is not None and self._demand is None:
            self._demand = expert_demand.Demand(
                self.expert_shape.set_count, self.expert_shape.experts_per_set
            )
        log.event(
            _logger,
            "coordinates",
            group=report.group,
            epoch=report.epoch,
            ranks=report.rank_count,
            rank=report.rank,
        )

    async def _run_cycle(self, own_report: engine_state.EngineReport) -> None:
        change = self._change
        assert change is not None
        idle = change.phase is map_change.Phase.IDLE
        if idle:
            await self._observe(change, own_report)
        else:
            await self._read_all_states()
        orders = change.next_orders(self._reports, asyncio.get_running_loop().time())
        while orders:
            await self._send_orders(change, orders)
            orders = change.next_orders(self._reports, asyncio.get_running_loop().time())
        if not idle and change.phase is map_change.Phase.IDLE:
            self._finish_change(change)
        if change.phase in (map_change.Phase.IDLE, map_change.Phase.SWITCHING):
            await asyncio.sleep(OBSERVE_INTERVAL_S)
        else:
            await asyncio.sleep(ORDER_ROUND_INTERVAL_S)

    async def _observe(
        self, change: map_change.MapChange, own_report: engine_state.EngineReport
    ) -> None:
        """Read the demand, begin a change if it is worth it, and look for unfinished changes."""
        now_s = asyncio.get_running_loop().time()
        all_known = len(self._reports) == change.rank_count
        unfinished = own_report.held_pass is not None or own_report.armed_switch is not None
        if not all_known or unfinished or now_s - self._all_read_s > HOUSEKEEPING_INTERVAL_S:
            await self._read_all_states()
        if len(self._reports) < change.rank_count:
            return
        if self._current_layout is None:
            await self._read_layout(change.rank_count)
        await self._read_demand()
        if self._current_layout is not None:
            await self._plan_change(change)

    def _finish_change(self, change: map_change.MapChange) -> None:
        completed = all(r.map_version == change.version for r in self._reports.values())
        if not completed or not change.current_layout:
            self._current_layout = None
        log.event(
            _logger,
            "map_changed" if completed else "map_change_taken_back",
            version=change.version,
            epoch=change.epoch,
            at_pass=change.at_pass,
            held_ms=change.held_s * 1000.0,
        )

    def _group_members(self) -> list[members.Member]:
        """Return the VMs that may have an engine of the group, this one first."""
        return [self._member_view.own] + [
            member
            for member in self._member_view.other_members()
            if member.engine_address is not None
        ]

    async def _read_all_states(self) -> None:
        """Read the state of all ranks. Those that do not answer or belong to another group lack."""
        change = self._change
        assert change is not None
        queried = self._group_members()
        # While no change is in progress, a rank that does not answer only delays the next one.
        fallback = change.phase is not map_change.Phase.IDLE
        states = await self._calls.call_all(
            [
                side_calls.Call(member, engine_client.STATE_TARGET, b"", fallback)
                for member in queried
            ]
        )
        self._all_read_s = asyncio.get_running_loop().time()
        self._reports = {}
        self._record_reports(change, queried, states)

    def _record_reports(
        self,
        change: map_change.MapChange,
        queried: Sequence[members.Member],
        states: Sequence[engine_client.RankState],
    ) -> None:
        for member, state in zip(queried, states, strict=True):
            report = state.report
            if (
                report is None
                or (report.group, report.epoch) != self._group_and_epoch
                or not 0 <= report.rank < change.rank_count
            ):
                continue
            self._reports[report.rank] = report
            self._member_by_rank[report.rank] = member
            self._slowness_by_rank[report.rank] = report.slowdown_factor

    async def _read_demand(self) -> None:
        """Read the expert counts of a sample of the ranks."""
        candidates = [
            member
            for member in self._member_by_rank.values()
            if not self._calls.is_silent(member.vm)
        ]
        sampled = rank_sample.choose(candidates, self._group_and_epoch[1])
        states = await self._calls.call_all(
            [
                side_calls.Call(member, engine_client.COUNTS_TARGET, b"", engine_fallback=False)
                for member in sampled
            ]
        )
        if self._change is not None:
            self._record_reports(self._change, sampled, states)
        total_counts = engine_client.sum_counts(state.counts for state in states)
        shape = self.expert_shape
        if self._demand is None or shape is None or not total_counts:
            return
        if len(total_counts) != shape.set_count * shape.experts_per_set:
            log.event(_logger, "counts_unreadable", logging.WARNING, length=len(total_counts))
            return
        rows = [
            total_counts[start : start + shape.experts_per_set]
            for start in range(0, len(total_counts), shape.experts_per_set)
        ]
        self._demand.add(rows, asyncio.get_running_loop().time())

    async def _send_orders(
        self, change: map_change.MapChange, orders: dict[int, engine_state.Order]
    ) -> None:
        """Send a round of orders and update the reports from the answers."""
        states = await self._calls.call_all(side_calls.order_calls(orders, self._member_by_rank))
        now_s = asyncio.get_running_loop().time()
        for (rank, order), state in zip(orders.items(), states, strict=True):
            if not isinstance(state.order_result, engine_state.Accepted):
                log.event(
                    _logger,
                    "order_not_accepted",
                    rank=rank,
                    operation=order.operation.value,
                    version=order.version,
                    at_pass=order.at_pass,
                    result=type(state.order_result).__name__,
                    reason=getattr(state.order_result, "reason", None),
                )
            if isinstance(state.order_result, engine_state.Declined):
                change.order_declined(order, now_s)
            report = state.report
            if report is None or report.epoch != change.epoch:
                self._reports.pop(rank, None)
            else:
                self._reports[rank] = report

    async def _read_layout(self, rank_count: int) -> None:
        """Read the layout in use from all ranks; it stays unknown if a rank does not answer."""
        layout_by_rank: dict[int, tuple[tuple[int, ...], ...]] = {}
        queried = {
            rank: member for rank, member in self._member_by_rank.items() if rank < rank_count
        }
        states = await self._calls.call_all(
            [
                side_calls.Call(member, engine_client.LAYOUT_TARGET, b"", engine_fallback=True)
                for member in queried.values()
            ]
        )
        for rank, state in zip(queried, states, strict=True):
            rank_layout = engines.decode_layout(state.report_body)
            if rank_layout is None:
                log.event(
                    _logger,
                    "layout_unreadable",
                    logging.WARNING,
                    rank=rank,
                    length=len(state.report_body),
                )
                return
            layout_by_rank[rank] = rank_layout
        if len(layout_by_rank) == rank_count:
            if len(set(map(len, layout_by_rank.values()))) != 1:
                log.event(_logger, "layout_unreadable", logging.WARNING, reason="sets differ")
                return
            self._current_layout = engine_client.group_layout(layout_by_rank)
            if self._change is not None:
                self._change.current_layout = self._current_layout

    async def _plan_change(self, change: map_change.MapChange) -> None:
        """Begin a change to an improved layout if it reduces the load enough.

        The reduction is that of the sum over all sets of the highest rank load, and must be at
        least `MIN_LOAD_REDUCTION`. Does nothing while there are no expert counts, reports of ranks
        are missing, or a rank is armed or holds a pass.
        """
        demand, expert_shape, layout = self._demand, self.expert_shape, self._current_layout
        if demand is None or expert_shape is None or layout is None:
            return
        if not any(map(any, demand.counts)):
            return
        slowness = [self._slowness_by_rank.get(rank, 1.0) for rank in range(change.rank_count)]
        new_layout = []
        # Sums over all sets.
        total_max_load_before = total_max_load_after = total_mean_demand = 0.0
        for experts_by_rank, counts in zip(layout, demand.counts, strict=True):
            improved_experts_by_rank = expert_layout.rebalanced(
                experts_by_rank, counts, slowness, expert_shape
            )
            new_layout.append(improved_experts_by_rank)
            total_max_load_before += expert_layout.max_rank_load(experts_by_rank, counts, slowness)
            total_max_load_after += expert_layout.max_rank_load(
                improved_experts_by_rank, counts, slowness
            )
            total_mean_demand += sum(counts) / len(experts_by_rank)
            # Yield between two sets, so that the load of the local engine is sent on time.
            await asyncio.sleep(0)
        if (
            total_max_load_before <= 0.0
            or (total_max_load_before - total_max_load_after) / total_max_load_before
            < MIN_LOAD_REDUCTION
        ):
            return
        await self._read_all_states()
        if len(self._reports) < change.rank_count or any(
            report.armed_switch or report.held_pass is not None for report in self._reports.values()
        ):
            return
        change.begin(tuple(new_layout), self._reports, asyncio.get_running_loop().time())
        log.event(
            _logger,
            "map_planned",
            fullest_before=total_max_load_before / total_mean_demand,
            fullest_after=total_max_load_after / total_mean_demand,
            version=change.version,
        )
        self._current_layout = tuple(new_layout)
