"""How a group of engines changes its map of experts without ever running two maps in a pass.

Ranks do not compare maps, orders may be lost or carried out late, and any process may stop at any
point. The change therefore goes: every rank prepares the map; rank 0 holds a pass that has not
begun; every rank is armed for that pass; only when all are known to be armed is the hold released.
While the hold lasts that pass cannot begin, so a change that stops half-way delays the group but
never mixes maps. Each order names the number of orders that the rank has accepted, so it takes
effect at most once and never after a newer one.

When the process that made a change stands still, another one takes the change back. Both may then
act at the same time: arming and releasing name the counts from before the hold, so they are void
once the other process has given any order.
"""

from __future__ import annotations

import dataclasses
import enum
import random
from collections.abc import Mapping

from gentianpaddle_core.serving import engine_state, expert_layout

HOLDING_RANK = 0
"""Rank that holds the pass; its VM coordinates the change."""

LEAD_PASSES = 2
"""Passes between the last one that has begun and the one that is held. A pass takes 30 ms or more,
a round of orders about 10 ms."""

PREPARE_LIMIT_S = 2.5
"""Time for all ranks to copy their experts; eight copies take 0.3 s."""

ARM_LIMIT_S = 1.5
"""Time for all ranks to be armed before the change is taken back."""

VERSION_BLOCK = 4_096
"""Each version is drawn from a new block of numbers. A process that has stopped may have an order
with its own next version on its way, and ranks do not compare the content of maps."""

Reports = Mapping[int, engine_state.EngineReport]
"""Fresh reports by rank."""


class Phase(enum.Enum):
    """Where a change stands."""

    IDLE = "idle"
    PREPARING = "preparing"
    HOLDING = "holding"
    ARMING = "arming"
    RELEASING = "releasing"
    SWITCHING = "switching"
    """Released; the group takes the map at its next passes."""
    TAKING_BACK = "taking_back"


@dataclasses.dataclass(slots=True)
class MapChange:
    """The change of one group in one epoch."""

    epoch: int
    size: int
    """Ranks of the group."""
    draws: random.Random
    """Source of versions."""
    phase: Phase = Phase.IDLE
    layout: expert_layout.Layout = ()
    """Map that is in force, or that the change leads to."""
    version: int = 0
    at_pass: int = 0
    began_s: float = 0.0
    """Monotonic time at which the phase began."""
    _helps: bool = False
    """Whether this process only takes back what another one has left."""
    _fence_by_rank: dict[int, int] = dataclasses.field(default_factory=dict)
    _count_by_rank: dict[int, int] = dataclasses.field(default_factory=dict)
    """Accepted orders by rank from before the hold; of the holding rank with the hold."""
    _void_count: int | None = None
    """Accepted orders of the holding rank after orders on their way to it were made void."""

    def begin(self, layout: expert_layout.Layout, reports: Reports, now_s: float) -> None:
        """Begin a change.

        Args:
            layout: New map.
            reports: Fresh reports by rank.
            now_s: Monotonic time in seconds.
        """
        self._draw_version(reports)
        self.layout = layout
        self._enter(Phase.PREPARING, now_s)

    def _draw_version(self, reports: Reports) -> None:
        seen = [self.version]
        for report in reports.values():
            seen += [report.map_version, report.prepared_version or 0]
            seen.append(report.armed[0] if report.armed else 0)
        block = max(seen) // VERSION_BLOCK + 1
        self.version = block * VERSION_BLOCK + self.draws.randrange(VERSION_BLOCK)

    def take_back(self, reports: Reports, now_s: float) -> bool:
        """Take back what another process has left half-way.

        Args:
            reports: Fresh reports by rank.
            now_s: Monotonic time in seconds.

        Returns:
            Whether there is anything to take back.
        """
        if len(reports) < self.size or reports[HOLDING_RANK].held_pass is None:
            return False
        self._helps = True
        self._start_taking_back(reports, now_s)
        return True

    def _enter(self, phase: Phase, now_s: float) -> None:
        self.phase, self.began_s = phase, now_s

    def next_orders(self, reports: Reports, now_s: float) -> dict[int, engine_state.Order]:
        """Decide on the next round of orders.

        Args:
            reports: Fresh reports by rank; the change waits while one is missing.
            now_s: Monotonic time in seconds.

        Returns:
            Orders by rank, possibly none.
        """
        if len(reports) < self.size:
            return {}
        if self.phase is Phase.IDLE:
            self._find_leftovers(reports, now_s)
        if self.phase is Phase.PREPARING:
            return self._prepare(reports, now_s)
        if self.phase is Phase.HOLDING:
            return self._hold(reports, now_s)
        if self.phase is Phase.ARMING:
            return self._arm(reports, now_s)
        if self.phase is Phase.RELEASING:
            return self._release(reports, now_s)
        if self.phase is Phase.SWITCHING:
            return self._switch(reports, now_s)
        if self.phase is Phase.TAKING_BACK:
            return self._take_back(reports, now_s)
        return {}

    def declined(self, order: engine_state.Order, now_s: float) -> None:
        """Note that a rank refused an order.

        Args:
            order: The order.
            now_s: Monotonic time in seconds.
        """
        if order.operation is engine_state.Operation.PREPARE and self.phase in (
            Phase.PREPARING,
            Phase.TAKING_BACK,
        ):
            # The rank may have had a higher version that it does not report any more.
            self.version += VERSION_BLOCK

    def _find_leftovers(self, reports: Reports, now_s: float) -> None:
        """Take back what a process that has stopped left behind."""
        held = reports[HOLDING_RANK].held_pass is not None
        if held or any(report.armed is not None for report in reports.values()):
            self._start_taking_back(reports, now_s)

    def _switch(self, reports: Reports, now_s: float) -> dict[int, engine_state.Order]:
        if all(report.map_version == self.version for report in reports.values()):
            self._enter(Phase.IDLE, now_s)
            return {}
        if reports[HOLDING_RANK].held_pass is not None:
            # A hold that was ordered before and carried out late would keep the group for good.
            self._start_taking_back(reports, now_s)
            return self._take_back(reports, now_s)
        return {}

    def _prepare(self, reports: Reports, now_s: float) -> dict[int, engine_state.Order]:
        missing = {r: rep for r, rep in reports.items() if rep.prepared_version != self.version}
        if not missing:
            self._enter(Phase.HOLDING, now_s)
            self._choose_pass(reports)
            return self._hold(reports, now_s)
        if now_s - self.began_s > PREPARE_LIMIT_S:
            self._enter(Phase.IDLE, now_s)
            return {}
        return {
            rank: self._order(
                engine_state.Operation.PREPARE, report, version=self.version, layout=self.layout
            )
            for rank, report in missing.items()
            if not report.busy
        }

    def _choose_pass(self, reports: Reports) -> None:
        self.at_pass = LEAD_PASSES + max(report.passes for report in reports.values())
        self._count_by_rank = {rank: report.orders for rank, report in reports.items()}

    def _hold(self, reports: Reports, now_s: float) -> dict[int, engine_state.Order]:
        report = reports[HOLDING_RANK]
        if report.held_pass is not None:
            own = report.held_pass == self.at_pass
            if own and report.orders == self._count_by_rank[HOLDING_RANK] + 1:
                self._count_by_rank[HOLDING_RANK] = report.orders
                self._enter(Phase.ARMING, now_s)
                return self._arm(reports, now_s)
            # Another process ordered it, maybe long ago; nothing may be armed under it.
            self._start_taking_back(reports, now_s)
            return self._take_back(reports, now_s)
        if report.passes >= self.at_pass:
            self._choose_pass(reports)
        elif report.orders != self._count_by_rank[HOLDING_RANK]:
            self._enter(Phase.IDLE, now_s)
            return {}
        order = self._order(engine_state.Operation.HOLD, report, at_pass=self.at_pass)
        return {HOLDING_RANK: order}

    def _arm(self, reports: Reports, now_s: float) -> dict[int, engine_state.Order]:
        wanted = (self.version, self.at_pass)
        missing = {r: rep for r, rep in reports.items() if rep.armed != wanted}
        disturbed = reports[HOLDING_RANK].held_pass != self.at_pass or any(
            report.orders != self._count_by_rank[rank] for rank, report in missing.items()
        )
        if disturbed or now_s - self.began_s > ARM_LIMIT_S:
            self._start_taking_back(reports, now_s)
            return self._take_back(reports, now_s)
        if not missing:
            self._enter(Phase.RELEASING, now_s)
            return self._release(reports, now_s)
        return {
            rank: self._order(
                engine_state.Operation.ARM, report, version=self.version, at_pass=self.at_pass
            )
            for rank, report in missing.items()
        }

    def _release(self, reports: Reports, now_s: float) -> dict[int, engine_state.Order]:
        report = reports[HOLDING_RANK]
        if report.held_pass is None:
            self._enter(Phase.SWITCHING, now_s)
            return {}
        if (
            report.held_pass != self.at_pass
            or report.orders != self._count_by_rank[HOLDING_RANK] + 1
        ):
            self._start_taking_back(reports, now_s)
            return self._take_back(reports, now_s)
        return self._go(report)

    def _start_taking_back(self, reports: Reports, now_s: float) -> None:
        self._enter(Phase.TAKING_BACK, now_s)
        self._void_count = None
        # An order that is still on its way names one of these counts; it is void once the rank
        # has accepted another order.
        self._fence_by_rank = {rank: report.orders for rank, report in reports.items()}
        self._draw_version(reports)

    def _take_back(self, reports: Reports, now_s: float) -> dict[int, engine_state.Order]:
        report = reports[HOLDING_RANK]
        armed = next((r.armed for r in reports.values() if r.armed is not None), None)
        if report.held_pass is None and armed is not None:
            if all(r.armed == armed or r.map_version == armed[0] for r in reports.values()):
                # The hold was released because all were armed: the change is as good as done.
                self.version = armed[0]
                self._enter(Phase.IDLE if self._helps else Phase.SWITCHING, now_s)
                return {}
            # A rank may only be disarmed while the pass that it is armed for cannot begin.
            return {
                HOLDING_RANK: self._order(engine_state.Operation.HOLD, report, at_pass=armed[1])
            }
        # The holding rank goes first: a release that is still on its way is void before any other
        # rank is disarmed.
        if (order := self._void(HOLDING_RANK, report)) is not None:
            return {HOLDING_RANK: order}
        if report.busy:
            return {}
        if self._void_count is None:
            self._void_count = report.orders
        elif report.orders != self._void_count and report.held_pass is not None:
            # Another process has ordered something since; a release would not be its last word.
            self._start_taking_back(reports, now_s)
            return {}
        orders = {}
        for rank, other in reports.items():
            if (order := self._void(rank, other)) is not None:
                orders[rank] = order
        if orders or any(self._fenced(rank, r) is False for rank, r in reports.items()):
            return orders
        if report.held_pass is not None:
            return self._go(report)
        self._enter(Phase.IDLE, now_s)
        return {}

    def _fenced(self, rank: int, report: engine_state.EngineReport) -> bool:
        return report.armed is None and report.orders > self._fence_by_rank[rank]

    def _void(self, rank: int, report: engine_state.EngineReport) -> engine_state.Order | None:
        """Return the order that takes a rank's arming back or voids an order on its way."""
        if report.armed is not None:
            return self._order(engine_state.Operation.DISARM, report, version=report.armed[0])
        if report.orders > self._fence_by_rank[rank] or report.busy:
            return None
        return self._order(
            engine_state.Operation.PREPARE, report, version=self.version, layout=self.layout
        )

    def _go(self, report: engine_state.EngineReport) -> dict[int, engine_state.Order]:
        order = self._order(engine_state.Operation.GO, report, at_pass=report.held_pass)
        return {HOLDING_RANK: order}

    def _order(
        self,
        operation: engine_state.Operation,
        report: engine_state.EngineReport,
        version: int | None = None,
        at_pass: int | None = None,
        layout: expert_layout.Layout | None = None,
    ) -> engine_state.Order:
        return engine_state.Order(operation, self.epoch, report.orders, version, at_pass, layout)
