"""Gate of one rank: which expert map a step uses, and when the rank must wait at the barrier."""

from __future__ import annotations

import dataclasses

from gentianpaddle_core import ids, map_messages

_Kind = map_messages.OrderKind
_Reason = map_messages.GateReason


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """The rank starts the step."""

    expert_map: map_messages.ExpertMap
    """Map to use."""


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """The rank waits at the barrier and asks the coordinator or the other ranks."""

    reason: map_messages.GateReason
    """What is missing."""


@dataclasses.dataclass(slots=True)
class _Pending:
    attempt: map_messages.MapAttempt
    expert_map: map_messages.ExpertMap
    loaded: bool = False
    armed_step: int | None = None


class RankGate:
    """Gate of one start of a rank; it has no memory of an earlier start."""

    def __init__(self, rank: ids.RankIndex, incarnation: ids.Incarnation) -> None:
        """Start without maps; use `new_rank_gate`.

        Args:
            rank: Position in the group.
            incarnation: Number of this start.
        """
        self._rank = rank
        self._incarnation = incarnation
        self._fence = ids.Fence(0)
        self._decision: map_messages.Decision | None = None
        self._decision_loaded = False
        self._active_version = 0
        self._step = -1
        self._pending: _Pending | None = None
        self._closed = map_messages.NO_ATTEMPT

    def to_load(self) -> tuple[map_messages.ExpertMap, ...]:
        """Tell which weights the rank must load.

        Returns:
            Maps whose weights are not reported as loaded yet.
        """
        maps: tuple[map_messages.ExpertMap, ...] = ()
        if self._decision and not self._decision_loaded:
            before = self._decision.before
            maps = (before,) if before == self._decision.after else (before, self._decision.after)
        if self._pending and not self._pending.loaded:
            maps += (self._pending.expert_map,)
        return maps

    def loaded(self, version: int) -> None:
        """Note that all weights of a map are loaded.

        Args:
            version: Version of the map; for an adoption the last one of `to_load`.
        """
        if self._decision and version == self._decision.after.version:
            self._decision_loaded = True
        if self._pending and version == self._pending.expert_map.version:
            self._pending.loaded = True

    def handle(self, order: map_messages.MapOrder) -> map_messages.RankStatus:
        """Follow an order, if it is not out of date.

        Args:
            order: Order from a coordinator, possibly late, doubled or from an earlier holder.

        Returns:
            What the rank has afterwards, with the reason when the order was not followed.
        """
        if order.fence < self._fence:
            return self.status(_Reason.OLD_FENCE)
        self._fence = order.fence
        follow = {
            _Kind.READ_BACK: lambda _: _Reason.NONE,
            _Kind.ADOPT: self._adopt,
            _Kind.PREPARE: self._prepare,
            _Kind.ARM: self._arm,
            _Kind.ACTIVATE: self._activate,
            _Kind.ABORT: self._abort,
        }
        return self.status(follow[order.kind](order))

    def learn(self, decision: map_messages.Decision) -> None:
        """Learn a committed change from another rank, when no coordinator can be reached.

        Args:
            decision: What the other rank knows to be committed.
        """
        self._decide(decision)

    @property
    def decision(self) -> map_messages.Decision | None:
        """Committed change that this rank knows, to tell other ranks."""
        return self._decision

    def start_step(self, step: int) -> Run | Hold:
        """Ask whether a step may start; call for each step before any of its work.

        Args:
            step: Number of the step; the group numbers steps from 0.

        Returns:
            The map to use, or why to wait.
        """
        decision = self._decision
        if decision is None:
            return Hold(_Reason.NOT_ADOPTED)
        if not self._decision_loaded:
            return Hold(_Reason.LOADING)
        armed_step = self._pending.armed_step if self._pending else None
        if armed_step is not None and step >= armed_step:
            return Hold(_Reason.UNDECIDED)
        expert_map = decision.after if step >= decision.step else decision.before
        self._step = max(self._step, step)
        self._active_version = expert_map.version
        return Run(expert_map)

    def status(
        self, reason: map_messages.GateReason = map_messages.GateReason.NONE
    ) -> map_messages.RankStatus:
        """Tell what the rank has.

        Args:
            reason: Why an order was not followed.

        Returns:
            The status.
        """
        pending = self._pending
        return map_messages.RankStatus(
            rank=self._rank,
            incarnation=self._incarnation,
            fence=self._fence,
            adopted=self._decision is not None,
            active_version=self._active_version,
            step=self._step,
            decided=self._decision.attempt if self._decision else map_messages.NO_ATTEMPT,
            pending=pending.attempt if pending else map_messages.NO_ATTEMPT,
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
        if order.attempt <= max(self._closed, self._decision.attempt):
            return _Reason.ATTEMPT_CLOSED
        if self._pending and self._pending.attempt >= order.attempt:
            return _Reason.NONE if self._pending.attempt == order.attempt else _Reason.BUSY
        # The earlier change must be complete, so that one decision names all maps in use.
        known = self._decision
        complete = known.before == known.after or self._active_version == known.after.version
        if self._pending or not complete:
            return _Reason.BUSY
        assert order.expert_map is not None, "a prepare order carries a map"
        self._pending = _Pending(order.attempt, order.expert_map)
        return _Reason.NONE

    def _arm(self, order: map_messages.MapOrder) -> map_messages.GateReason:
        pending = self._pending
        if pending is None or pending.attempt != order.attempt or not pending.loaded:
            return _Reason.NOT_PREPARED
        if pending.armed_step is None:
            # After a restart only the step at which the rank resumes tells how far it had come.
            if self._step < 0:
                return _Reason.STEP_UNKNOWN
            if order.step <= self._step:
                return _Reason.STEP_PASSED
            pending.armed_step = order.step
        return _Reason.NONE if pending.armed_step == order.step else _Reason.BUSY

    def _activate(self, order: map_messages.MapOrder) -> map_messages.GateReason:
        assert order.decision is not None, "an activate order carries a decision"
        return self._decide(order.decision)

    def _decide(self, decision: map_messages.Decision) -> map_messages.GateReason:
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
        self._closed = max(self._closed, order.attempt)
        if self._pending and self._pending.attempt <= order.attempt:
            self._pending = None
        return _Reason.NONE


def new_rank_gate(rank: ids.RankIndex, incarnation: ids.Incarnation) -> RankGate:
    """Create the gate of a rank that has just started.

    Args:
        rank: Position in the group.
        incarnation: Number of this start.

    Returns:
        A gate that holds every step until a coordinator adopts the rank.
    """
    return RankGate(rank, incarnation)
