"""Releases a group of engines that is held by a coordinator whose VM has stopped.

Runs in the side process of the rank that holds the pass, see `map_change`.
"""

from __future__ import annotations

import asyncio
import logging
import random

from gentianpaddle_core.serving import engine_state, expert_layout, map_change, members, routes
from gentianpaddle_gateway import engine_client, log, side_calls
from gentianpaddle_platform import engines

_logger = logging.getLogger("gentianpaddle.experts")

RESCUE_LIMIT_S = 1.5
"""Maximum duration of one try; the states are read anew for the next one."""


class GroupRescue:
    """Watches the hold of the local engine and ends it if its coordinator has stopped.

    Args:
        member_view: Known VMs of the system.
        calls: Calls to the side processes of the group.
    """

    def __init__(self, member_view: members.MemberView, calls: side_calls.SideCalls) -> None:
        self._member_view = member_view
        self._calls = calls
        self._hold: tuple[int, int] | None = None
        """Epoch and number of the held pass."""
        self._held_since_s = 0.0

    async def check(
        self, report: engine_state.EngineReport, shape: routes.ExpertLimits | None
    ) -> None:
        """Note how long a pass is held, and rescue the group when it is held for too long.

        Args:
            report: Current report of the local engine.
            shape: Limits on the expert maps, or None while not known.
        """
        now_s = asyncio.get_running_loop().time()
        if report.rank != map_change.RESCUING_RANK or report.held_pass is None:
            self._hold = None
            return
        hold = (report.epoch, report.held_pass)
        if hold != self._hold:
            self._hold, self._held_since_s = hold, now_s
        elif now_s - self._held_since_s > map_change.RESCUE_AFTER_S and shape is not None:
            await self._rescue(report, shape, now_s)

    async def _rescue(
        self, own: engine_state.EngineReport, shape: routes.ExpertLimits, began_s: float
    ) -> None:
        loop = asyncio.get_running_loop()
        member_by_rank, reports = await self._read_states(own)
        if map_change.COORDINATING_RANK in reports:
            # The coordinator's VM is alive, and its process ends the change itself.
            return
        missing = own.rank_count - 1 - len(reports)
        layout = await self._read_layout(member_by_rank, shape) if not missing else None
        if layout is None:
            log.event(_logger, "rescue_impossible", logging.WARNING, missing_ranks=missing)
            return
        rescue = map_change.Rescue(own.epoch, random.SystemRandom(), layout)
        rounds = 0
        while loop.time() - began_s < RESCUE_LIMIT_S and (orders := rescue.next_orders(reports)):
            rounds += 1
            states = await self._calls.call_all(side_calls.order_calls(orders, member_by_rank))
            for rank, state in zip(orders, states, strict=True):
                report = state.report
                if report is None or report.epoch != own.epoch:
                    return
                reports[rank] = report
        released = reports[map_change.RESCUING_RANK].held_pass is None
        log.event(
            _logger,
            "group_rescued" if released else "rescue_failed",
            logging.WARNING,
            group=own.group,
            epoch=own.epoch,
            held_pass=own.held_pass,
            rounds=rounds,
            held_ms=(loop.time() - self._held_since_s) * 1000.0,
        )

    async def _read_states(
        self, own: engine_state.EngineReport
    ) -> tuple[dict[int, members.Member], dict[int, engine_state.EngineReport]]:
        queried = [self._member_view.own] + [
            member
            for member in self._member_view.other_members()
            if member.engine_address is not None
        ]
        states = await self._calls.call_all(
            [
                side_calls.Call(member, engine_client.STATE_TARGET, b"", engine_fallback=False)
                for member in queried
            ]
        )
        member_by_rank: dict[int, members.Member] = {}
        reports: dict[int, engine_state.EngineReport] = {}
        for member, state in zip(queried, states, strict=True):
            report = state.report
            if report is not None and (report.group, report.epoch) == (own.group, own.epoch):
                member_by_rank[report.rank], reports[report.rank] = member, report
        return member_by_rank, reports

    async def _read_layout(
        self, member_by_rank: dict[int, members.Member], shape: routes.ExpertLimits
    ) -> expert_layout.Layout | None:
        """Read the layout of the ranks that answer; the others get the remaining experts."""
        states = await self._calls.call_all(
            [
                side_calls.Call(member, engine_client.LAYOUT_TARGET, b"", engine_fallback=False)
                for member in member_by_rank.values()
            ]
        )
        experts_by_rank: dict[int, tuple[tuple[int, ...], ...]] = {}
        for rank, state in zip(member_by_rank, states, strict=True):
            decoded = engines.decode_layout(state.report_body)
            if decoded is None or len(decoded) != shape.set_count:
                return None
            experts_by_rank[rank] = decoded
        remaining = []
        for number in range(shape.set_count):
            known = {expert for sets in experts_by_rank.values() for expert in sets[number]}
            remaining.append(tuple(sorted(set(range(shape.experts_per_set)) - known)) or (0,))
        experts_by_rank[map_change.COORDINATING_RANK] = tuple(remaining)
        return engine_client.group_layout(experts_by_rank)
