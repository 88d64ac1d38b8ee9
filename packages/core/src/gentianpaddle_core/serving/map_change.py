"""How a group of engines changes its map of experts without ever running two maps in a pass.

Ranks do not compare maps, orders may be lost or carried out seconds late, and any process may stop
or stand still at any point. The change therefore goes: every rank prepares the map; rank 0 holds a
pass that has not begun; every rank is armed for that pass; only when all are known to be armed is
the hold released. While the hold lasts that pass cannot begin, so a change that stops half-way
delays the group but never mixes maps.

A rank arms only the version that it has prepared last, and versions only go up. An order to arm
that is still on its way is therefore void once the rank has prepared a newer version. Whoever takes
a change back makes arming void at a rank that is not armed first: from then on no release that was
given before can have seen all ranks armed. Passes that were held once are not used again, so a
release that comes late meets no other hold.
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

RANKS_PER_LEAD_PASS = 24
"""Ranks that make a round of orders longer by about a pass, for which the group need not wait."""

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
    in_force: expert_layout.Layout = ()
    """Map that the group runs."""
    phase: Phase = Phase.IDLE
    layout: expert_layout.Layout = ()
    """Map that the change leads to."""
    version: int = 0
    at_pass: int = 0
    began_s: float = 0.0
    """Monotonic time at which the phase began."""
    raised: bool = False
    """Whether the version was raised because a rank refused it."""

    def begin(self, layout: expert_layout.Layout, reports: Reports, now_s: float) -> None:
        """Begin a change.

        Args:
            layout: New map.
            reports: Fresh reports by rank.
            now_s: Monotonic time in seconds.
        """
        self._draw_version(reports)
        self.layout = layout
        self.raised = False
        self._enter(Phase.PREPARING, now_s)

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
        if self.phase is Phase.IDLE and _left_half_way(reports):
            self._start_taking_back(reports, now_s)
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

    def _enter(self, phase: Phase, now_s: float) -> None:
        self.phase, self.began_s = phase, now_s

    def _draw_version(self, reports: Reports) -> None:
        seen = [self.version]
        for report in reports.values():
            seen += [report.map_version, report.prepared_version or 0]
            seen.append(report.armed[0] if report.armed else 0)
        block = max(seen) // VERSION_BLOCK + 1
        self.version = block * VERSION_BLOCK + self.draws.randrange(VERSION_BLOCK)

    def _prepare(self, reports: Reports, now_s: float) -> dict[int, engine_state.Order]:
        missing = [r for r, rep in reports.items() if rep.prepared_version != self.version]
        if not missing:
            self._enter(Phase.HOLDING, now_s)
            self._choose_pass(reports)
            return self._hold(reports, now_s)
        if now_s - self.began_s > PREPARE_LIMIT_S:
            self._enter(Phase.IDLE, now_s)
            return {}
        order = self._preparation(self.layout)
        return dict.fromkeys(missing, order)

    def _choose_pass(self, reports: Reports) -> None:
        begun = max(report.passes for report in reports.values())
        self.at_pass = max(begun + LEAD_PASSES + self.size // RANKS_PER_LEAD_PASS, self.at_pass + 1)

    def _hold(self, reports: Reports, now_s: float) -> dict[int, engine_state.Order]:
        report = reports[HOLDING_RANK]
        if report.held_pass == self.at_pass:
            self._enter(Phase.ARMING, now_s)
            return self._arm(reports, now_s)
        if report.held_pass is not None or now_s - self.began_s > ARM_LIMIT_S:
            # Another process ordered that hold, maybe long ago; a rank has one at a time.
            self._start_taking_back(reports, now_s)
            return self._take_back(reports, now_s)
        if report.passes >= self.at_pass:
            self._choose_pass(reports)
        return self._to_holder(engine_state.Operation.HOLD, self.at_pass)

    def _arm(self, reports: Reports, now_s: float) -> dict[int, engine_state.Order]:
        missing = [r for r, rep in reports.items() if rep.armed != (self.version, self.at_pass)]
        disturbed = reports[HOLDING_RANK].held_pass != self.at_pass or any(
            reports[rank].prepared_version != self.version for rank in missing
        )
        if disturbed or now_s - self.began_s > ARM_LIMIT_S:
            self._start_taking_back(reports, now_s)
            return self._take_back(reports, now_s)
        if not missing:
            self._enter(Phase.RELEASING, now_s)
            return self._release(reports, now_s)
        order = engine_state.Order(
            engine_state.Operation.ARM, self.epoch, version=self.version, at_pass=self.at_pass
        )
        return dict.fromkeys(missing, order)

    def _release(self, reports: Reports, now_s: float) -> dict[int, engine_state.Order]:
        if reports[HOLDING_RANK].held_pass != self.at_pass:
            self._enter(Phase.SWITCHING, now_s)
            return {}
        return self._to_holder(engine_state.Operation.GO, self.at_pass)

    def _switch(self, reports: Reports, now_s: float) -> dict[int, engine_state.Order]:
        if all(report.map_version == self.version for report in reports.values()):
            self.in_force = self.layout
            self._enter(Phase.IDLE, now_s)
        elif reports[HOLDING_RANK].held_pass is not None or not _agree(reports):
            # A hold that was ordered before and carried out late would keep the group for good.
            self._start_taking_back(reports, now_s)
            return self._take_back(reports, now_s)
        return {}

    def _start_taking_back(self, reports: Reports, now_s: float) -> None:
        self._enter(Phase.TAKING_BACK, now_s)
        self._draw_version(reports)

    def _take_back(self, reports: Reports, now_s: float) -> dict[int, engine_state.Order]:
        held = reports[HOLDING_RANK].held_pass
        armed = next((r.armed for r in reports.values() if r.armed is not None), None)
        if armed is not None and _agree(reports):
            # All are armed: whoever did it may release the hold at any moment, so go forward.
            if held is not None:
                return self._to_holder(engine_state.Operation.GO, held)
            self.version, self.at_pass = armed[0], max(armed[1], self.at_pass)
            self._enter(Phase.SWITCHING, now_s)
            return {}
        if armed is not None and held is None:
            # A rank may only be disarmed while the pass that it is armed for cannot begin.
            return self._to_holder(engine_state.Operation.HOLD, armed[1])
        open_ranks = [
            rank
            for rank, report in reports.items()
            if report.armed is None and (report.prepared_version or 0) < self.version
        ]
        armed_ranks = [rank for rank, report in reports.items() if report.armed is not None]
        if armed_ranks and len(armed_ranks) + len(open_ranks) == self.size:
            # No rank is void yet: make arming void at one before any other is disarmed.
            return dict.fromkeys(open_ranks, self._preparation(self.in_force))
        orders = dict.fromkeys(open_ranks, self._preparation(self.in_force))
        for rank in armed_ranks:
            armed = reports[rank].armed
            version = armed[0] if armed is not None else 0
            orders[rank] = engine_state.Order(
                engine_state.Operation.DISARM, self.epoch, version=version
            )
        if orders:
            return orders
        if held is not None:
            self.at_pass = max(self.at_pass, held)
            return self._to_holder(engine_state.Operation.GO, held)
        self._enter(Phase.IDLE, now_s)
        return {}

    def _preparation(self, layout: expert_layout.Layout) -> engine_state.Order:
        return engine_state.Order(
            engine_state.Operation.PREPARE, self.epoch, version=self.version, layout=layout
        )

    def _to_holder(
        self, operation: engine_state.Operation, at_pass: int
    ) -> dict[int, engine_state.Order]:
        return {HOLDING_RANK: engine_state.Order(operation, self.epoch, at_pass=at_pass)}

    def declined(self, order: engine_state.Order, now_s: float) -> None:
        """Note that a rank refused an order.

        Args:
            order: The order.
            now_s: Monotonic time in seconds.
        """
        if (
            order.operation is engine_state.Operation.PREPARE
            and self.phase is Phase.PREPARING
            and order.version == self.version
            and not self.raised
        ):
            # The rank may have had a higher version that it does not report any more. If it refuses
            # for another reason, each further version would only make all others copy again.
            self.raised = True
            self.version += VERSION_BLOCK


def _left_half_way(reports: Reports) -> bool:
    held = reports[HOLDING_RANK].held_pass is not None
    return held or any(report.armed is not None for report in reports.values())


def _agree(reports: Reports) -> bool:
    """Whether all ranks run the same map or are armed for the same one at the same pass."""
    armed = {report.armed for report in reports.values() if report.armed is not None}
    if len(armed) != 1:
        return not armed and len({report.map_version for report in reports.values()}) == 1
    version = next(iter(armed))[0]
    return all(
        report.armed is not None or report.map_version == version for report in reports.values()
    )
