"""Coordinator of the protocol that changes the expert map of one group.

The record in the object API is the only commit point. A coordinator first claims the record by a
conditional update, which makes every later write of an earlier coordinator fail. An attempt is
committed by one further conditional update, after all ranks have confirmed that they do not start
the activation step, the first step with the new map, before they know the decision. An attempt is
aborted only when no commit write of it can take effect any more.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

from gentianpaddle_core import ids, map_messages, object_api

RESEND_INTERVAL_S = 0.5
"""Time after which an order is sent again if it has had no effect."""
POLL_INTERVAL_S = 1.0
"""Interval between status requests to a rank that needs no other order."""
PREPARE_TIMEOUT_S = 60.0
"""Time within which all ranks must load the weights; the attempt is aborted after it."""
ARM_TIMEOUT_S = 2.0
"""Time-out of the read before arming, and of arming all ranks; the attempt is aborted after it."""
COMMIT_TIMEOUT_S = 3.0
"""Time within which the commit write must succeed. After it the attempt is aborted, unless the
write may still take effect."""
STORE_RETRY_DELAY_S = 0.5
"""Delay before the next call of the object API after a failed one."""
ACTIVATION_STEP_MARGIN = 200
"""Steps between the latest reported step and the activation of a map: 5 s at 25 ms a step, so that
no rank has to wait for the decision."""

_Kind = map_messages.OrderKind


class Phase(enum.StrEnum):
    """Phases of a coordinator."""

    CLAIMING = "claiming"
    ALIGNING = "aligning"
    """The ranks are informed of what was committed or aborted."""
    READY = "ready"
    PREPARING = "preparing"
    CHECKING = "checking"
    """All ranks are prepared; the object API must answer a read before any rank is armed."""
    ARMING = "arming"
    COMMITTING = "committing"
    STOPPED = "stopped"
    """Another coordinator has taken over the group."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRecord:
    """Request to read the record; pass the result to `on_read`."""

    key: str
    """Key in the object API."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRecord:
    """Request to update the record conditionally; pass the result to `on_write`."""

    key: str
    """Key in the object API."""
    value: bytes
    """New content."""
    expected_version: int
    """Version of the object at which the update is applied."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Request to send an order to a rank; pass its status to `on_status`."""

    rank: ids.RankIndex
    """Rank that receives the order."""
    order: map_messages.MapOrder
    """Order to send."""


Action: typing.TypeAlias = ReadRecord | WriteRecord | SendOrder
"""I/O that a coordinator requests; every read and write must get exactly one result."""


@dataclasses.dataclass(frozen=True, slots=True)
class Proposed:
    """The change was started."""

    attempt: map_messages.MapAttempt
    """Attempt of the change."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotProposed:
    """The change was not started."""

    phase: Phase
    """Phase that prevents a change, or `READY` if the version of the map is not higher."""


class Coordinator:
    """State machine that coordinates map changes of one group under one fencing number."""

    def __init__(
        self,
        group: ids.GroupId,
        ranks: int,
        fence: ids.Fence,
        initial_map: map_messages.ExpertMap,
        lease_until_s: float,
    ) -> None:
        """Create a coordinator in phase `CLAIMING`; use `new_coordinator`.

        Args:
            group: The group.
            ranks: Number of ranks.
            fence: Fencing number of the lease.
            initial_map: Map for a group that has no record yet.
            lease_until_s: Monotonic time until which the lease is certainly held, in seconds.
        """
        self.phase = Phase.CLAIMING
        """Current phase."""
        self.lease_until_s = lease_until_s
        """End of the lease, which the caller updates at each renewal."""
        self._key = f"maps/{group}"
        self._ranks = tuple(map(ids.RankIndex, range(ranks)))
        self._fence = fence
        initial_decision = map_messages.Decision(
            map_messages.NO_ATTEMPT, initial_map, initial_map, 0
        )
        self._decision = initial_decision
        self._record_version: int | None = None
        self._read_needed = True
        self._pending_call: ReadRecord | WriteRecord | None = None
        self._next_store_call_s = float("-inf")
        self._status_by_rank: dict[ids.RankIndex, map_messages.RankStatus] = {}
        self._sent_by_rank: dict[ids.RankIndex, tuple[map_messages.MapOrder, float]] = {}
        self._sequence = 0
        self._aborted_attempt = map_messages.MapAttempt(fence, 0)
        self._proposal: map_messages.Decision | None = None
        self._phase_deadline_s = float("inf")
        self._commit_write_in_doubt = False
        # Incarnations that have not adopted a map. ADOPT is sent to an incarnation only after the
        # record was read again, because a map decided before its start may not be known here.
        # The three states: waits for a read, covered by the read in flight, covered by a
        # completed read.
        self._unverified_by_rank: dict[ids.RankIndex, ids.Incarnation] = {}
        self._verifying_by_rank: dict[ids.RankIndex, ids.Incarnation] = {}
        self._verified_by_rank: dict[ids.RankIndex, ids.Incarnation] = {}

    @property
    def decision(self) -> map_messages.Decision:
        """Last committed change that this coordinator knows."""
        return self._decision

    def propose(self, expert_map: map_messages.ExpertMap, now_s: float) -> Proposed | NotProposed:
        """Start a change of the map.

        Args:
            expert_map: New map with a higher version.
            now_s: Monotonic time in seconds.

        Returns:
            The attempt, or the reason for which the change was not started.
        """
        has_higher_version = expert_map.version > self._decision.after.version
        if self.phase is not Phase.READY or not has_higher_version:
            return NotProposed(self.phase)
        self._sequence += 1
        attempt = map_messages.MapAttempt(self._fence, self._sequence)
        self._proposal = map_messages.Decision(attempt, self._decision.after, expert_map, 0)
        self._enter_phase(Phase.PREPARING, now_s + PREPARE_TIMEOUT_S)
        return Proposed(attempt)

    def actions(self, now_s: float) -> tuple[Action, ...]:
        """Advance the protocol and return the I/O that is due now. Call it frequently.

        The returned actions count as started.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            Calls of the object API and orders to ranks; empty after the end of the lease.
        """
        if self.phase is Phase.STOPPED or now_s >= self.lease_until_s:
            return ()
        self._advance(now_s)
        due_actions: list[Action] = []
        if self._pending_call is None and now_s >= self._next_store_call_s:
            self._pending_call = self._next_store_call(now_s)
            if self._pending_call:
                due_actions.append(self._pending_call)
        if self.phase is not Phase.CLAIMING:
            for rank in self._ranks:
                order = self._order_for(rank)
                if self._mark_sent_if_due(rank, order, now_s):
                    due_actions.append(SendOrder(rank, order))
        return tuple(due_actions)

    def on_read(self, result: object_api.GetResult, now_s: float) -> None:
        """Process the result of a read.

        Args:
            result: Result of the last `ReadRecord`.
            now_s: Monotonic time in seconds.
        """
        self._pending_call = None
        if isinstance(result, object_api.StoreUnavailable):
            self._next_store_call_s = now_s + STORE_RETRY_DELAY_S
            return
        self._read_needed = False
        if isinstance(result, object_api.Absent):
            self._record_version = object_api.ABSENT_VERSION
            return
        record = map_messages.decode_record(result.value)
        if record.fence > self._fence:
            self._stop()
            return
        version_changed = result.version != self._record_version
        self._record_version = result.version
        self._decision = record.decision
        if self.phase is Phase.CLAIMING:
            if record.fence == self._fence:
                self._enter_phase(Phase.ALIGNING)
        elif self.phase is Phase.COMMITTING:
            self._resolve_commit(version_changed)
        self._verified_by_rank.update(self._verifying_by_rank)
        self._verifying_by_rank.clear()
        if self.phase is Phase.CHECKING and self._proposal:
            step = 1 + ACTIVATION_STEP_MARGIN + max(s.step for s in self._status_by_rank.values())
            self._proposal = dataclasses.replace(self._proposal, step=step)
            self._enter_phase(Phase.ARMING, now_s + ARM_TIMEOUT_S)

    def on_write(self, result: object_api.PutResult, now_s: float) -> None:
        """Process the result of a write.

        Args:
            result: Result of the last `WriteRecord`.
            now_s: Monotonic time in seconds.
        """
        call, self._pending_call = self._pending_call, None
        assert isinstance(call, WriteRecord), "a result follows its write"
        if isinstance(result, object_api.Written):
            self._record_version = result.version
            self._decision = map_messages.decode_record(call.value).decision
            if self.phase is Phase.CLAIMING:
                self._enter_phase(Phase.ALIGNING)
            elif self.phase is Phase.COMMITTING:
                self._resolve_commit(version_changed=True)
            return
        self._next_store_call_s = now_s + STORE_RETRY_DELAY_S
        if isinstance(result, object_api.StoreUnavailable):
            return
        self._read_needed = True
        if isinstance(result, object_api.ResponseLost) and self.phase is Phase.COMMITTING:
            self._commit_write_in_doubt = True

    def on_status(self, status: map_messages.RankStatus) -> None:
        """Process the status of a rank.

        Args:
            status: Status, which may be late, duplicated or out of order.
        """
        if status.fence > self._fence:
            self._stop()
            return
        known = self._status_by_rank.get(status.rank)
        if known and status.incarnation < known.incarnation:
            return
        self._status_by_rank[status.rank] = status
        verified = self._verified_by_rank.get(status.rank) == status.incarnation
        if not status.adopted and not verified:
            self._unverified_by_rank[status.rank] = status.incarnation

    def _advance(self, now_s: float) -> None:
        statuses = [self._status_by_rank.get(rank) for rank in self._ranks]
        known = [status for status in statuses if status is not None]
        all_known = len(known) == len(self._ranks)
        if self.phase is Phase.ALIGNING:
            change_completed = self._decision.before == self._decision.after
            if all_known and change_completed and all(map(self._is_aligned, known)):
                self._enter_phase(Phase.READY)
        elif self.phase in (Phase.PREPARING, Phase.CHECKING, Phase.ARMING):
            assert self._proposal is not None, "phases PREPARING, CHECKING, ARMING have a proposal"
            attempt, step = self._proposal.attempt, self._proposal.step
            step_passed = map_messages.GateReason.STEP_PASSED
            rejected = any(
                not s.adopted or (s.pending_attempt == attempt and s.reason is step_passed)
                for s in known
            )
            if rejected or now_s >= self._phase_deadline_s:
                # No commit write has been sent, so none can take effect.
                self._abort()
            elif self.phase is Phase.PREPARING:
                if all(s.pending_attempt == attempt and s.prepared and s.step >= 0 for s in known):
                    self._read_needed = True
                    self._enter_phase(Phase.CHECKING, now_s + ARM_TIMEOUT_S)
            elif self.phase is Phase.ARMING and all(
                s.pending_attempt == attempt and s.armed_step == step for s in known
            ):
                self._enter_phase(Phase.COMMITTING, now_s + COMMIT_TIMEOUT_S)
        elif self.phase is Phase.COMMITTING:
            no_call_pending = self._pending_call is None and not self._read_needed
            if (
                no_call_pending
                and now_s >= self._phase_deadline_s
                and not self._commit_write_in_doubt
            ):
                self._abort()

    def _next_store_call(self, now_s: float) -> ReadRecord | WriteRecord | None:
        if self._unverified_by_rank and self.phase in (Phase.ALIGNING, Phase.READY):
            self._read_needed = True
        if self._read_needed:
            # A record that is read after the status arrived is at least as new as the rank's start.
            self._verifying_by_rank = dict(self._unverified_by_rank)
            self._unverified_by_rank.clear()
            return ReadRecord(self._key)
        decision = self._decision
        if self.phase is Phase.CLAIMING:
            return self._write_of(decision)
        if self.phase is Phase.COMMITTING:
            assert self._proposal is not None, "phase COMMITTING has a proposal"
            # After the time-out, rewriting the old decision makes a commit write in flight fail.
            return self._write_of(self._proposal if now_s < self._phase_deadline_s else decision)
        if self.phase is Phase.ALIGNING and decision.before != decision.after:
            statuses = self._status_by_rank
            if len(statuses) == len(self._ranks) and all(map(self._is_aligned, statuses.values())):
                return self._write_of(dataclasses.replace(decision, before=decision.after))
        return None

    def _write_of(self, decision: map_messages.Decision) -> WriteRecord:
        assert self._record_version is not None, "a write follows a read"
        record = map_messages.MapRecord(self._fence, decision)
        return WriteRecord(self._key, map_messages.encode_record(record), self._record_version)

    def _resolve_commit(self, version_changed: bool) -> None:
        """Determine the result of the pending commit after the record was read or written.

        Args:
            version_changed: Whether the record has another version than before.
        """
        assert self._proposal is not None, "phase COMMITTING has a proposal"
        if self._decision.attempt == self._proposal.attempt:
            self._proposal = None
            self._enter_phase(Phase.ALIGNING)
        elif version_changed:
            # The version of the record has changed, so a commit write in flight fails.
            self._abort()

    def _abort(self) -> None:
        assert self._proposal is not None, "aborting requires a proposal"
        self._aborted_attempt = self._proposal.attempt
        self._proposal = None
        self._enter_phase(Phase.ALIGNING)

    def _is_aligned(self, status: map_messages.RankStatus) -> bool:
        decision = self._decision
        return (
            status.adopted
            and status.committed_attempt == decision.attempt
            and status.pending_attempt == map_messages.NO_ATTEMPT
            and (
                decision.before == decision.after or status.active_version == decision.after.version
            )
        )

    def _order_for(self, rank: ids.RankIndex) -> map_messages.MapOrder:
        """Return the order that brings a rank closer to the state that the phase requires.

        READ_BACK, which only requests the status, is returned if the status of the rank is unknown
        or if no other order is needed. Without a proposal, a rank that has not adopted a map gets
        READ_BACK until its incarnation is verified, and then ADOPT.
        """
        status = self._status_by_rank.get(rank)
        order = map_messages.MapOrder(_Kind.READ_BACK, self._fence)
        if status is None:
            return order
        proposal = self._proposal
        if proposal is None:
            if not status.adopted:
                if self._verified_by_rank.get(rank) != status.incarnation:
                    return order
                return dataclasses.replace(
                    order,
                    kind=_Kind.ADOPT,
                    incarnation=status.incarnation,
                    decision=self._decision,
                )
            if status.committed_attempt != self._decision.attempt:
                return dataclasses.replace(order, kind=_Kind.ACTIVATE, decision=self._decision)
            if status.pending_attempt != map_messages.NO_ATTEMPT:
                # The rank drops its pending attempt if it is not later than this one, and rejects
                # any PREPARE up to it. Before this coordinator has aborted an attempt, sequence 0
                # covers all attempts of earlier lease holders.
                return dataclasses.replace(order, kind=_Kind.ABORT, attempt=self._aborted_attempt)
        elif self.phase is Phase.PREPARING and status.pending_attempt != proposal.attempt:
            return dataclasses.replace(
                order, kind=_Kind.PREPARE, attempt=proposal.attempt, expert_map=proposal.after
            )
        elif self.phase is Phase.ARMING and status.armed_step != proposal.step:
            return dataclasses.replace(
                order, kind=_Kind.ARM, attempt=proposal.attempt, step=proposal.step
            )
        return order

    def _mark_sent_if_due(
        self, rank: ids.RankIndex, order: map_messages.MapOrder, now_s: float
    ) -> bool:
        """Return whether an order is to be sent now; if so, record it as sent."""
        last_order, sent_s = self._sent_by_rank.get(rank, (None, float("-inf")))
        interval_s = POLL_INTERVAL_S if order.kind is _Kind.READ_BACK else RESEND_INTERVAL_S
        if order == last_order and now_s - sent_s < interval_s:
            return False
        self._sent_by_rank[rank] = (order, now_s)
        return True

    def _enter_phase(self, phase: Phase, phase_deadline_s: float = float("inf")) -> None:
        self.phase = phase
        self._phase_deadline_s = phase_deadline_s
        self._commit_write_in_doubt = False

    def _stop(self) -> None:
        self._proposal = None
        self._enter_phase(Phase.STOPPED)


def new_coordinator(
    group: ids.GroupId,
    ranks: int,
    fence: ids.Fence,
    initial_map: map_messages.ExpertMap,
    lease_until_s: float,
) -> Coordinator:
    """Create the coordinator of a group. Only the holder of its lease may do so.

    Args:
        group: The group.
        ranks: Number of ranks.
        fence: Fencing number of the lease.
        initial_map: Map for a group that has no record yet.
        lease_until_s: Monotonic time until which the lease is certainly held, in seconds.

    Returns:
        A coordinator that first claims the record of the group.
    """
    return Coordinator(group, ranks, fence, initial_map, lease_until_s)
