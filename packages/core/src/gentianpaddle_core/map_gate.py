"""Rank side of an expert map change.

It selects the map of each step and blocks steps whose map is not decided yet.
"""

from __future__ import annotations

import dataclasses

from gentianpaddle_core import ids, map_messages

_Kind = map_messages.OrderKind
_Reason = map_messages.GateReason


@dataclasses.dataclass(frozen=True, slots=True)
class StepAllowed:
    """Permission to start the step."""

    expert_map: map_messages.ExpertMap
    """Map that the step uses."""


@dataclasses.dataclass(frozen=True, slots=True)
class StepBlocked:
    """Refusal to start the step.

    The rank waits at the step barrier and asks the coordinator or the other ranks.
    """

    reason: map_messages.GateReason
    """Condition that the rank waits for."""


@dataclasses.dataclass(slots=True)
class _Pending:
    attempt: map_messages.MapAttempt
    expert_map: map_messages.ExpertMap
    loaded: bool = False
    armed_step: int | None = None


class RankGate:
    """Map state of one incarnation of a rank; nothing is kept of an earlier incarnation."""

    def __init__(self, rank: ids.RankIndex, incarnation: ids.Incarnation) -> None:
        """Create a gate without maps; use `new_rank_gate`.

        Args:
            rank: Index of the rank in the group.
            incarnation: Incarnation of the rank.
        """
        self._rank = rank
        self._incarnation = incarnation
        self._fence = ids.Fence(0)
        self._decision: map_messages.Decision | None = None
        self._decision_loaded = False
        self._active_version = 0
        self._step = -1
        self._pending: _Pending | None = None
        self._highest_aborted = map_messages.NO_ATTEMPT

    def maps_to_load(self) -> tuple[map_messages.ExpertMap, ...]:
        """Return the maps whose weights the rank must load.

        Returns:
            Maps that have not been passed to `mark_loaded` yet.
        """
        maps: tuple[map_messages.ExpertMap, ...] = ()
        if self._decision and not self._decision_loaded:
            before = self._decision.before
            maps = (before,) if before == self._decision.after else (before, self._decision.after)
        if self._pending and not self._pending.loaded:
            maps += (self._pending.expert_map,)
        return maps

    def mark_loaded(self, version: int) -> None:
        """Record that all weights of a map are loaded.

        Args:
            version: Version of the map; after an adoption that of the last one of `maps_to_load`.
        """
        if self._decision and version == self._decision.after.version:
            self._decision_loaded = True
        if self._pending and version == self._pending.expert_map.version:
            self._pending.loaded = True

    def handle(self, order: map_messages.MapOrder) -> map_messages.RankStatus:
        """Carry out an order unless it is out of date.

        Args:
            order: Order from a coordinator; it may be late, duplicated or from an earlier lease
                holder.

        Returns:
            State after the order, with the reason if the order was rejected.
        """
        if order.fence < self._fence:
            return self.status(_Reason.OLD_FENCE)
        self._fence = order.fence
        handler_by_kind = {
            _Kind.READ_BACK: lambda _: _Reason.NONE,
            _Kind.ADOPT: self._adopt,
            _Kind.PREPARE: self._prepare,
            _Kind.ARM: self._arm,
            _Kind.ACTIVATE: self._activate,
            _Kind.ABORT: self._abort,
        }
        return self.status(handler_by_kind[order.kind](order))

    def apply_peer_decision(self, decision: map_messages.Decision) -> None:
        """Apply a committed change received from another rank.

        A rank uses this while no coordinator can be reached.

        Args:
            decision: Committed change that the other rank knows.
        """
        self._apply_decision(decision)

    @property
    def decision(self) -> map_messages.Decision | None:
        """Last committed change that this rank knows, to be sent to other ranks."""
        return self._decision

    def start_step(self, step: int) -> StepAllowed | StepBlocked:
        """Decide whether a step may start. Call it for each step before any work of the step.

        Args:
            step: Number of the step; a group counts its steps from 0.

        Returns:
            The map to use, or the reason to wait.
        """
        decision = self._decision
        if decision is None:
            return StepBlocked(_Reason.NOT_ADOPTED)
        if not self._decision_loaded:
            return StepBlocked(_Reason.LOADING)
        armed_step = self._pending.armed_step if self._pending else None
        if armed_step is not None and step >= armed_step:
            return StepBlocked(_Reason.UNDECIDED)
        expert_map = decision.after if step >= decision.step else decision.before
        self._step = max(self._step, step)
        self._active_version = expert_map.version
        return StepAllowed(expert_map)

    def status(
        self, reason: map_messages.GateReason = map_messages.GateReason.NONE
    ) -> map_messages.RankStatus:
        """Return the state of the rank.

        Args:
            reason: Reason for which an order was rejected.

        Returns:
            Status to send to the coordinator.
        """
        pending = self._pending
        return map_messages.RankStatus(
            rank=self._rank,
            incarnation=self._incarnation,
            fence=self._fence,
            adopted=self._decision is not None,
            active_version=self._active_version,
            step=self._step,
            committed_attempt=self._decision.attempt if self._decision else map_messages.NO_ATTEMPT,
            pending_attempt=pending.attempt if pending else map_messages.NO_ATTEMPT,
            prepared=pending.loaded if pending else False,
            armed_step=pending.armed_step if pending else None,
            reason=reason,
        )

    def _adopt(self, order: map_messages.MapOrder) -> map_messages.GateReason:
        if order.incarnation != self._incarnation:
            return _Reason.OTHER_INCARNATION
        if self._decision is None:
            self._decision = order.decision
        return _Reason.NONE

    def _prepare(self, order: map_messages.MapOrder) -> map_messages.GateReason:
        if self._decision is None:
            return _Reason.NOT_ADOPTED
        if order.attempt <= max(self._highest_aborted, self._decision.attempt):
            return _Reason.ATTEMPT_CLOSED
        if self._pending and self._pending.attempt >= order.attempt:
            return _Reason.NONE if self._pending.attempt == order.attempt else _Reason.BUSY
        # The previous change must be complete, so that one decision contains all maps in use.
        known = self._decision
        known_change_complete = (
            known.before == known.after or self._active_version == known.after.version
        )
        if self._pending or not known_change_complete:
            return _Reason.BUSY
        assert order.expert_map is not None, "a prepare order carries a map"
        self._pending = _Pending(order.attempt, order.expert_map)
        return _Reason.NONE

    def _arm(self, order: map_messages.MapOrder) -> map_messages.GateReason:
        pending = self._pending
        if pending is None or pending.attempt != order.attempt or not pending.loaded:
            return _Reason.NOT_PREPARED
        if pending.armed_step is None:
            # After a restart the progress of the rank is unknown until it starts a step.
            if self._step < 0:
                return _Reason.STEP_UNKNOWN
            if order.step <= self._step:
                return _Reason.STEP_PASSED
            pending.armed_step = order.step
        return _Reason.NONE if pending.armed_step == order.step else _Reason.BUSY

    def _activate(self, order: map_messages.MapOrder) -> map_messages.GateReason:
        assert order.decision is not None, "an activate order carries a decision"
        return self._apply_decision(order.decision)

    def _apply_decision(self, decision: map_messages.Decision) -> map_messages.GateReason:
        known = self._decision
        if known is None:
            return _Reason.NOT_ADOPTED
        if decision.attempt == known.attempt:
            return _Reason.NONE
        pending = self._pending
        if decision.attempt < known.attempt:
            return _Reason.ATTEMPT_CLOSED
        if pending is None or pending.attempt != decision.attempt or not pending.loaded:
            return _Reason.NOT_PREPARED
        self._decision = decision
        self._pending = None
        return _Reason.NONE

    def _abort(self, order: map_messages.MapOrder) -> map_messages.GateReason:
        self._highest_aborted = max(self._highest_aborted, order.attempt)
        if self._pending and self._pending.attempt <= order.attempt:
            self._pending = None
        return _Reason.NONE


def new_rank_gate(rank: ids.RankIndex, incarnation: ids.Incarnation) -> RankGate:
    """Create the gate of a rank that has just started.

    Args:
        rank: Index of the rank in the group.
        incarnation: Incarnation of the rank.

    Returns:
        A gate that blocks every step until a coordinator sends an adopt order.
    """
    return RankGate(rank, incarnation)
