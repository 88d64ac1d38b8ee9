"""Protocol by which an engine group changes its expert map without using two maps in one pass.

Ranks do not compare maps, orders may be lost or executed seconds late, and any process may stop or
pause at any point. A change has these steps:

1. Every rank prepares the new map.
2. Rank 1 holds a pass that has not begun.
3. Every rank is armed for that pass, rank 0 last.
4. The hold is released once all ranks are known to be armed.

The held pass cannot begin before the release, so an interrupted change delays the group but never
mixes maps. Rank 0's VM coordinates the change. If it stops, `Rescue` on the VM of rank 1 takes the
change back and releases the hold. Nothing on a stopped VM can be reached, rank 0's engine neither;
as it is armed last, it is not armed while any other rank is not.

A rank can be armed only for the version that it prepared last, and versions only increase. An
order to arm that is still in transit therefore becomes invalid once the rank has prepared a newer
version. A rollback first prepares a newer version at a rank that is not armed. From then on, no
earlier order to release can have been based on all ranks being armed. A pass number is held only
once, so that a late release does not end another hold.
"""

from __future__ import annotations

import dataclasses
import enum
import random
from collections.abc import Mapping

from gentianpaddle_core.serving import engine_state, expert_layout

COORDINATING_RANK = 0
"""Rank whose VM coordinates the change."""

RESCUING_RANK = 1
"""Rank that holds the pass, if the group has more than one; its VM rescues the group."""

RESCUE_AFTER_S = 0.5
"""Time after which a hold is rescued. Changes hold a group for about 0.1 s, and callers of streams
leave after 2 s without an event."""

MIN_LEAD_PASSES = 3
"""Minimum distance from the last pass that has begun to the held one. A pass takes 30 ms or more, a
round of orders about 10 ms, and a change needs three rounds before the release."""

RANKS_PER_LEAD_PASS = 24
"""Number of ranks per additional pass of lead. This many ranks lengthen a round of orders by about
a pass; the lead keeps the group from waiting for it."""

PREPARE_TIMEOUT_S = 2.5
"""Time within which all ranks must have copied their experts, at most `max_new_experts` (usually
two) of each set per rank; eight copies take 0.3 s."""

ARM_TIMEOUT_S = 1.5
"""Time after which the change is rolled back if the pass is not held or not all ranks are armed."""

VERSION_BLOCK = 4_096
"""Size of the block of numbers from which a version is drawn at random; each version uses a new
block. An order of a stopped coordinator may still be in transit with the next version that it drew,
and ranks do not compare the contents of maps with the same version."""

Reports = Mapping[int, engine_state.EngineReport]
"""Current reports by rank."""


class Phase(enum.Enum):
    """Phases of a change."""

    IDLE = "idle"
    PREPARING = "preparing"
    HOLDING = "holding"
    ARMING = "arming"
    RELEASING = "releasing"
    SWITCHING = "switching"
    """The hold is released; the ranks switch to the map at the armed pass."""
    ROLLING_BACK = "taking_back"


@dataclasses.dataclass(slots=True)
class MapChange:
    """State machine of the map changes of one group in one epoch."""

    epoch: int
    rank_count: int
    """Number of ranks in the group."""
    rng: random.Random
    """Random source from which versions are drawn."""
    current_layout: expert_layout.Layout = ()
    """Map in use; empty while not known, also after a change of a predecessor was completed."""
    phase: Phase = Phase.IDLE
    layout: expert_layout.Layout = ()
    """Map to which the group changes."""
    version: int = 0
    """Version of the new map, or of the map in use that a rollback prepares again."""
    at_pass: int = 0
    """Number of the pass at which the ranks switch."""
    phase_began_s: float = 0.0
    """Monotonic time in seconds at which the phase began."""
    version_raised: bool = False
    """Whether the version was raised because a rank declined it."""
    hold_reported_s: float | None = None
    """Monotonic time in seconds at which the hold of this change was first reported."""
    held_s: float = 0.0
    """Time in seconds for which the last change held the group, as seen in the reports."""

    @property
    def holding_rank(self) -> int:
        """Rank that holds the pass."""
        return min(RESCUING_RANK, self.rank_count - 1)

    def begin(self, layout: expert_layout.Layout, reports: Reports, now_s: float) -> None:
        """Begin a change.

        Args:
            layout: New map.
            reports: Current reports by rank.
            now_s: Monotonic time in seconds.
        """
        self._draw_version(reports)
        self.layout = layout
        self.version_raised = False
        self.hold_reported_s, self.held_s = None, 0.0
        self._enter_phase(Phase.PREPARING, now_s)

    def next_orders(self, reports: Reports, now_s: float) -> dict[int, engine_state.Order]:
        """Advance the change and return the next round of orders.

        Args:
            reports: Current reports by rank; the change does not advance while one is missing.
            now_s: Monotonic time in seconds.

        Returns:
            Orders by rank; empty if there is nothing to do.
        """
        if len(reports) < self.rank_count:
            return {}
        if self.phase is Phase.IDLE and _has_unfinished_change(reports):
            self._start_rollback(reports, now_s)
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
        if self.phase is Phase.ROLLING_BACK:
            return self._roll_back(reports, now_s)
        return {}

    def _enter_phase(self, phase: Phase, now_s: float) -> None:
        self.phase, self.phase_began_s = phase, now_s
        if phase in (Phase.SWITCHING, Phase.IDLE) and self.hold_reported_s is not None:
            self.held_s = now_s - self.hold_reported_s
            self.hold_reported_s = None

    def _draw_version(self, reports: Reports) -> None:
        self.version = _drawn_version(reports, self.version, self.rng)

    def _prepare(self, reports: Reports, now_s: float) -> dict[int, engine_state.Order]:
        missing = [
            rank for rank, report in reports.items() if report.prepared_version != self.version
        ]
        if not missing:
            self._enter_phase(Phase.HOLDING, now_s)
            self._choose_pass(reports)
            return self._hold(reports, now_s)
        if now_s - self.phase_began_s > PREPARE_TIMEOUT_S:
            self._enter_phase(Phase.IDLE, now_s)
            return {}
        order = self._prepare_order(self.layout)
        return dict.fromkeys(missing, order)

    def _choose_pass(self, reports: Reports) -> None:
        last_begun = max(report.last_pass for report in reports.values())
        self.at_pass = max(
            last_begun + MIN_LEAD_PASSES + self.rank_count // RANKS_PER_LEAD_PASS, self.at_pass + 1
        )

    def _hold(self, reports: Reports, now_s: float) -> dict[int, engine_state.Order]:
        report = reports[self.holding_rank]
        if report.held_pass == self.at_pass:
            self.hold_reported_s = now_s
            self._enter_phase(Phase.ARMING, now_s)
            return self._arm(reports, now_s)
        if _held(reports) is not None or now_s - self.phase_began_s > ARM_TIMEOUT_S:
            # Either a rank holds a pass that another process ordered, possibly long ago, and cannot
            # hold a second one, or the pass was not held in time.
            self._start_rollback(reports, now_s)
            return self._roll_back(reports, now_s)
        if report.last_pass >= self.at_pass:
            self._choose_pass(reports)
        return self._hold_order(self.at_pass)

    def _arm(self, reports: Reports, now_s: float) -> dict[int, engine_state.Order]:
        missing = [
            rank
            for rank, report in reports.items()
            if report.armed_switch != (self.version, self.at_pass)
        ]
        interrupted = reports[self.holding_rank].held_pass != self.at_pass or any(
            reports[rank].prepared_version != self.version for rank in missing
        )
        if interrupted or now_s - self.phase_began_s > ARM_TIMEOUT_S:
            self._start_rollback(reports, now_s)
            return self._roll_back(reports, now_s)
        if not missing:
            self._enter_phase(Phase.RELEASING, now_s)
            return self._release(reports, now_s)
        order = engine_state.Order(
            engine_state.Operation.ARM, self.epoch, version=self.version, at_pass=self.at_pass
        )
        others = [rank for rank in missing if rank != COORDINATING_RANK]
        return dict.fromkeys(others or missing, order)

    def _release(self, reports: Reports, now_s: float) -> dict[int, engine_state.Order]:
        if reports[self.holding_rank].held_pass != self.at_pass:
            self._enter_phase(Phase.SWITCHING, now_s)
            return {}
        return _release_order(self.holding_rank, self.at_pass, self.epoch)

    def _switch(self, reports: Reports, now_s: float) -> dict[int, engine_state.Order]:
        if all(report.map_version == self.version for report in reports.values()):
            self.current_layout = self.layout
            self._enter_phase(Phase.IDLE, now_s)
        elif _held(reports) is not None or not _ranks_agree(reports):
            # Either a rank holds a pass again because an earlier order was executed late, which
            # would block the group forever, or the ranks no longer agree on a map.
            self._start_rollback(reports, now_s)
            return self._roll_back(reports, now_s)
        return {}

    def _start_rollback(self, reports: Reports, now_s: float) -> None:
        self._enter_phase(Phase.ROLLING_BACK, now_s)
        self._draw_version(reports)

    def _roll_back(self, reports: Reports, now_s: float) -> dict[int, engine_state.Order]:
        if any(_newest_version(report) > self.version for report in reports.values()):
            # Another process has begun a change since. Only a higher version than its own keeps it
            # from arming more ranks.
            self._draw_version(reports)
        held = _held(reports)
        armed = next(
            (report.armed_switch for report in reports.values() if report.armed_switch is not None),
            None,
        )
        if armed is not None and _ranks_agree(reports):
            # All ranks are armed, so the process that armed them may release the hold at any
            # time: the change must be completed.
            if held is not None:
                return _release_order(*held, self.epoch)
            self.version, self.at_pass = armed[0], max(armed[1], self.at_pass)
            self._enter_phase(Phase.SWITCHING, now_s)
            return {}
        if armed is not None and held is None:
            # A rank may be disarmed only while the pass for which it is armed cannot begin.
            return self._hold_order(armed[1])
        orders = _fence_orders(reports, self.version, self.epoch, self.current_layout)
        if orders:
            return orders
        if held is not None:
            self.at_pass = max(self.at_pass, held[1])
            return _release_order(*held, self.epoch)
        self._enter_phase(Phase.IDLE, now_s)
        return {}

    def _prepare_order(self, layout: expert_layout.Layout) -> engine_state.Order:
        return engine_state.Order(
            engine_state.Operation.PREPARE, self.epoch, version=self.version, layout=layout
        )

    def _hold_order(self, at_pass: int) -> dict[int, engine_state.Order]:
        operation = engine_state.Operation.HOLD
        return {self.holding_rank: engine_state.Order(operation, self.epoch, at_pass=at_pass)}

    def order_declined(self, order: engine_state.Order, now_s: float) -> None:
        """Record that a rank declined an order.

        Args:
            order: The declined order.
            now_s: Monotonic time in seconds.
        """
        if (
            order.operation is engine_state.Operation.PREPARE
            and self.phase is Phase.PREPARING
            and order.version == self.version
            and not self.version_raised
        ):
            # The rank may have prepared a higher version that it no longer reports. The version is
            # raised only once: if the rank declines for another reason, each new version would
            # only make all other ranks copy their experts again.
            self.version_raised = True
            self.version += VERSION_BLOCK


@dataclasses.dataclass(slots=True)
class Rescue:
    """Takes back the change of a coordinator whose VM has stopped while a pass is held.

    It works without rank 0, which cannot be reached. While all other ranks are armed, it does
    nothing, as rank 0 may be armed or not.
    """

    epoch: int
    rng: random.Random
    """Random source from which versions are drawn."""
    layout: expert_layout.Layout
    """Any layout that the ranks can prepare without copying; it never comes into use."""
    version: int = 0
    """Version by which the ranks are kept from being armed for the interrupted change."""

    def next_orders(self, reports: Reports) -> dict[int, engine_state.Order]:
        """Return the next round of orders.

        Args:
            reports: Current reports of all ranks but rank 0.

        Returns:
            Orders by rank; empty if no pass is held or nothing can be done.
        """
        held = _held(reports)
        if held is None or all(report.armed_switch for report in reports.values()):
            return {}
        if not self.version or any(_newest_version(r) > self.version for r in reports.values()):
            self.version = _drawn_version(reports, self.version, self.rng)
        orders = _fence_orders(reports, self.version, self.epoch, self.layout)
        return orders or _release_order(*held, self.epoch)


def _fence_orders(
    reports: Reports, version: int, epoch: int, layout: expert_layout.Layout
) -> dict[int, engine_state.Order]:
    """Return the orders after which no rank is armed or can be armed for an older version."""
    prepare = engine_state.Order(
        engine_state.Operation.PREPARE, epoch, version=version, layout=layout
    )
    unprepared_ranks = [
        rank
        for rank, report in reports.items()
        if report.armed_switch is None and (report.prepared_version or 0) < version
    ]
    orders = dict.fromkeys(unprepared_ranks, prepare)
    armed_version_by_rank = {
        rank: report.armed_switch[0]
        for rank, report in reports.items()
        if report.armed_switch is not None
    }
    if armed_version_by_rank and len(armed_version_by_rank) + len(orders) == len(reports):
        # Every rank is armed or can still be armed. Invalidate arming at the unarmed ranks before
        # any rank is disarmed.
        return orders
    for rank, armed_version in armed_version_by_rank.items():
        orders[rank] = engine_state.Order(
            engine_state.Operation.DISARM, epoch, version=armed_version
        )
    return orders


def _release_order(rank: int, at_pass: int, epoch: int) -> dict[int, engine_state.Order]:
    return {rank: engine_state.Order(engine_state.Operation.RELEASE, epoch, at_pass=at_pass)}


def _drawn_version(reports: Reports, known: int, rng: random.Random) -> int:
    versions = [known]
    for report in reports.values():
        versions += [report.map_version, _newest_version(report)]
    return (max(versions) // VERSION_BLOCK + 1) * VERSION_BLOCK + rng.randrange(VERSION_BLOCK)


def _held(reports: Reports) -> tuple[int, int] | None:
    """Return the rank that holds a pass, and the pass, or None."""
    for rank, report in reports.items():
        if report.held_pass is not None:
            return rank, report.held_pass
    return None


def _has_unfinished_change(reports: Reports) -> bool:
    is_held = _held(reports) is not None
    return is_held or any(report.armed_switch is not None for report in reports.values())


def _newest_version(report: engine_state.EngineReport) -> int:
    armed_version = report.armed_switch[0] if report.armed_switch is not None else 0
    return max(report.prepared_version or 0, armed_version)


def _ranks_agree(reports: Reports) -> bool:
    """Return whether all ranks use the same map or are armed for the same one at the same pass.

    Ranks that already use the map for which the others are armed also count as agreeing.
    """
    armed = {report.armed_switch for report in reports.values() if report.armed_switch is not None}
    if len(armed) != 1:
        return not armed and len({report.map_version for report in reports.values()}) == 1
    version = next(iter(armed))[0]
    return all(
        report.armed_switch is not None or report.map_version == version
        for report in reports.values()
    )
