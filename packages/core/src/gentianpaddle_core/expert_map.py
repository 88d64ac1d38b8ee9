"""Coordinator of expert map changes of one group.

The record in the object API is the only decision point. A coordinator first claims the record by
a conditional update, which makes every later write of an earlier coordinator fail. An attempt is
committed by one further conditional update, after all ranks have promised not to start the named
step without the decision. It is aborted only while no commit write can take effect any more.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

from gentianpaddle_core import ids, map_messages, object_api

RESEND_S = 0.5
"""Time after which an order without effect is sent again."""
POLL_S = 1.0
"""Time between two looks at a rank that needs nothing."""
PREPARE_LIMIT_S = 60.0
"""Time for loading weights, after which an attempt is aborted."""
ARM_LIMIT_S = 2.0
"""Time for the promises of all ranks, after which an attempt is aborted."""
COMMIT_LIMIT_S = 3.0
"""Time for the commit write, after which the attempt is aborted where that is still possible."""
STORE_RETRY_S = 0.5
"""Time between two calls of the object API after a failed one."""
STEP_MARGIN = 200
"""Steps ahead at which a map becomes active; 5 s at 25 ms a step, so that nobody waits."""

_Kind = map_messages.OrderKind


class Phase(enum.StrEnum):
    """What a coordinator is doing."""

    CLAIMING = "claiming"
    ALIGNING = "aligning"
    """Ranks are told what was committed or aborted."""
    READY = "ready"
    PREPARING = "preparing"
    CHECKING = "checking"
    """All ranks are prepared; the object API must respond before any of them is armed."""
    ARMING = "arming"
    COMMITTING = "committing"
    STOPPED = "stopped"
    """Another coordinator holds the group."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRecord:
    """Read the record; give the result to `on_read`."""

    key: str
    """Key in the object API."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRecord:
    """Write the record; give the result to `on_write`."""

    key: str
    """Key in the object API."""
    value: bytes
    """New content."""
    expected_version: int
    """Version that the object must have."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order to a rank; give its status to `on_status`."""

    rank: ids.RankIndex
    """Receiver."""
    order: map_messages.MapOrder
    """The order."""


Action: typing.TypeAlias = ReadRecord | WriteRecord | SendOrder
"""What a coordinator wants done; every read and write gets exactly one result."""


@dataclasses.dataclass(frozen=True, slots=True)
class Proposed:
    """The change is under way."""

    attempt: map_messages.MapAttempt
    """Its attempt."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotProposed:
    """The change was not begun."""

    phase: Phase
    """What the coordinator is doing instead, or `READY` for a version that is not higher."""


class Coordinator:
    """Coordinator of one group under one fencing number."""

    def __init__(
        self,
        group: ids.GroupId,
        ranks: int,
        fence: ids.Fence,
        initial: map_messages.ExpertMap,
        lease_until_s: float,
    ) -> None:
        """Start by claiming the record; use `new_coordinator`.

        Args:
            group: The group.
            ranks: Number of ranks.
            fence: Fencing number of the lease.
            initial: Map of a group that has none yet.
            lease_until_s: Monotonic time until which the lease surely holds, in seconds.
        """
        self.phase = Phase.CLAIMING
        """What it is doing."""
        self.lease_until_s = lease_until_s
        """Set this at each renewal; nothing is done past it."""
        self._key = f"maps/{group}"
        self._ranks = tuple(map(ids.RankIndex, range(ranks)))
        self._fence = fence
        first = map_messages.Decision(map_messages.NO_ATTEMPT, initial, initial, 0)
        self._decision = first
        self._version: int | None = None
        self._need_read = True
        self._call: ReadRecord | WriteRecord | None = None
        self._store_retry_s = float("-inf")
        self._status_by_rank: dict[ids.RankIndex, map_messages.RankStatus] = {}
        self._sent_by_rank: dict[ids.RankIndex, tuple[map_messages.MapOrder, float]] = {}
        self._sequence = 0
        self._closed = map_messages.MapAttempt(fence, 0)
        self._proposal: map_messages.Decision | None = None
        self._limit_s = float("inf")
        self._commit_may_land = False
        self._unverified: dict[ids.RankIndex, ids.Incarnation] = {}
        self._verifying: dict[ids.RankIndex, ids.Incarnation] = {}
        self._verified: dict[ids.RankIndex, ids.Incarnation] = {}

    @property
    def decision(self) -> map_messages.Decision:
        """Last committed change that is known here."""
        return self._decision

    def propose(self, expert_map: map_messages.ExpertMap, now_s: float) -> Proposed | NotProposed:
        """Begin a change of the map.

        Args:
            expert_map: New map with a higher version.
            now_s: Monotonic time in seconds.

        Returns:
            The attempt, or why there is none.
        """
        newer = expert_map.version > self._decision.after.version
        if self.phase is not Phase.READY or not newer:
            return NotProposed(self.phase)
        self._sequence += 1
        attempt = map_messages.MapAttempt(self._fence, self._sequence)
        self._proposal = map_messages.Decision(attempt, self._decision.after, expert_map, 0)
        self._enter(Phase.PREPARING, now_s + PREPARE_LIMIT_S)
        return Proposed(attempt)

    def actions(self, now_s: float) -> tuple[Action, ...]:
        """Decide what to do now; call often.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            Calls of the object API and orders to ranks; nothing past the lease.
        """
        if self.phase is Phase.STOPPED or now_s >= self.lease_until_s:
            return ()
        self._advance(now_s)
        found: list[Action] = []
        if self._call is None and now_s >= self._store_retry_s:
            self._call = self._next_call(now_s)
            if self._call:
                found.append(self._call)
        if self.phase is not Phase.CLAIMING:
            for rank in self._ranks:
                order = self._order_for(rank)
                if self._is_due(rank, order, now_s):
                    found.append(SendOrder(rank, order))
        return tuple(found)

    def on_read(self, result: object_api.GetResult, now_s: float) -> None:
        """Take in the result of a read.

        Args:
            result: Result.
            now_s: Monotonic time in seconds.
        """
        self._call = None
        if isinstance(result, object_api.StoreUnavailable):
            self._store_retry_s = now_s + STORE_RETRY_S
            return
        self._need_read = False
        if isinstance(result, object_api.Absent):
            self._version = object_api.ABSENT_VERSION
            return
        record = map_messages.decode_record(result.value)
        if record.fence > self._fence:
            self._stop()
            return
        moved = result.version != self._version
        self._version = result.version
        self._decision = record.decision
        if self.phase is Phase.CLAIMING:
            if record.fence == self._fence:
                self._enter(Phase.ALIGNING)
        elif self.phase is Phase.COMMITTING:
            self._resolve(moved)
        self._verified.update(self._verifying)
        self._verifying.clear()
        if self.phase is Phase.CHECKING and self._proposal:
            step = 1 + STEP_MARGIN + max(s.step for s in self._status_by_rank.values())
            self._proposal = dataclasses.replace(self._proposal, step=step)
            self._enter(Phase.ARMING, now_s + ARM_LIMIT_S)

    def on_write(self, result: object_api.PutResult, now_s: float) -> None:
        """Take in the result of a write.

        Args:
            result: Result.
            now_s: Monotonic time in seconds.
        """
        call, self._call = self._call, None
        assert isinstance(call, WriteRecord), "a result follows its write"
        if isinstance(result, object_api.Written):
            self._version = result.version
            self._decision = map_messages.decode_record(call.value).decision
            if self.phase is Phase.CLAIMING:
                self._enter(Phase.ALIGNING)
            elif self.phase is Phase.COMMITTING:
                self._resolve(moved=True)
            return
        self._store_retry_s = now_s + STORE_RETRY_S
        if isinstance(result, object_api.StoreUnavailable):
            return
        self._need_read = True
        if isinstance(result, object_api.AnswerLost) and self.phase is Phase.COMMITTING:
            self._commit_may_land = True

    def on_status(self, status: map_messages.RankStatus) -> None:
        """Take in the status of a rank, possibly late, doubled or crossed.

        Args:
            status: Status.
        """
        if status.fence > self._fence:
            self._stop()
            return
        known = self._status_by_rank.get(status.rank)
        if known and status.incarnation < known.incarnation:
            return
        self._status_by_rank[status.rank] = status
        verified = self._verified.get(status.rank) == status.incarnation
        if not status.adopted and not verified:
            self._unverified[status.rank] = status.incarnation

    def _advance(self, now_s: float) -> None:
        statuses = [self._status_by_rank.get(rank) for rank in self._ranks]
        known = [status for status in statuses if status is not None]
        complete = len(known) == len(self._ranks)
        if self.phase is Phase.ALIGNING:
            settled = self._decision.before == self._decision.after
            if complete and settled and all(map(self._is_aligned, known)):
                self._enter(Phase.READY)
        elif self.phase in (Phase.PREPARING, Phase.CHECKING, Phase.ARMING):
            assert self._proposal is not None, "these phases have a proposal"
            attempt, step = self._proposal.attempt, self._proposal.step
            passed = map_messages.GateReason.STEP_PASSED
            refused = any(
                not s.adopted or (s.pending == attempt and s.reason is passed) for s in known
            )
            if refused or now_s >= self._limit_s:
                # No commit write was sent, so none can take effect.
                self._abort()
            elif self.phase is Phase.PREPARING:
                if all(s.pending == attempt and s.prepared and s.step >= 0 for s in known):
                    self._need_read = True
                    self._enter(Phase.CHECKING, now_s + ARM_LIMIT_S)
            elif self.phase is Phase.ARMING and all(
                s.pending == attempt and s.armed_step == step for s in known
            ):
                self._enter(Phase.COMMITTING, now_s + COMMIT_LIMIT_S)
        elif self.phase is Phase.COMMITTING:
            idle = self._call is None and not self._need_read
            if idle and now_s >= self._limit_s and not self._commit_may_land:
                self._abort()

    def _next_call(self, now_s: float) -> ReadRecord | WriteRecord | None:
        if self._unverified and self.phase in (Phase.ALIGNING, Phase.READY):
            self._need_read = True
        if self._need_read:
            # A record read after the rank was heard is not older than the rank's start.
            self._verifying = dict(self._unverified)
            self._unverified.clear()
            return ReadRecord(self._key)
        decision = self._decision
        if self.phase is Phase.CLAIMING:
            return self._write(decision)
        if self.phase is Phase.COMMITTING:
            assert self._proposal is not None, "this phase has a proposal"
            # Past the limit, rewriting the old decision makes a commit write on its way fail.
            return self._write(self._proposal if now_s < self._limit_s else decision)
        if self.phase is Phase.ALIGNING and decision.before != decision.after:
            statuses = self._status_by_rank
            if len(statuses) == len(self._ranks) and all(map(self._is_aligned, statuses.values())):
                return self._write(dataclasses.replace(decision, before=decision.after))
        return None

    def _write(self, decision: map_messages.Decision) -> WriteRecord:
        assert self._version is not None, "a write follows a read"
        record = map_messages.MapRecord(self._fence, decision)
        return WriteRecord(self._key, map_messages.encode_record(record), self._version)

    def _resolve(self, moved: bool) -> None:
        """The record was read or written while a commit was under way."""
        assert self._proposal is not None, "this phase has a proposal"
        if self._decision.attempt == self._proposal.attempt:
            self._proposal = None
            self._enter(Phase.ALIGNING)
        elif moved:
            # The record has another version, so a commit write on its way fails.
            self._abort()

    def _abort(self) -> None:
        assert self._proposal is not None, "only a proposal is aborted"
        self._closed = self._proposal.attempt
        self._proposal = None
        self._enter(Phase.ALIGNING)

    def _is_aligned(self, status: map_messages.RankStatus) -> bool:
        decision = self._decision
        return (
            status.adopted
            and status.decided == decision.attempt
            and status.pending == map_messages.NO_ATTEMPT
            and (
                decision.before == decision.after or status.active_version == decision.after.version
            )
        )

    def _order_for(self, rank: ids.RankIndex) -> map_messages.MapOrder:
        status = self._status_by_rank.get(rank)
        order = map_messages.MapOrder(_Kind.READ_BACK, self._fence)
        if status is None:
            return order
        proposal = self._proposal
        if proposal is None:
            if not status.adopted:
                if self._verified.get(rank) != status.incarnation:
                    return order
                return dataclasses.replace(
                    order,
                    kind=_Kind.ADOPT,
                    incarnation=status.incarnation,
                    decision=self._decision,
                )
            if status.decided != self._decision.attempt:
                return dataclasses.replace(order, kind=_Kind.ACTIVATE, decision=self._decision)
            if status.pending != map_messages.NO_ATTEMPT:
                return dataclasses.replace(order, kind=_Kind.ABORT, attempt=self._closed)
        elif self.phase is Phase.PREPARING and status.pending != proposal.attempt:
            return dataclasses.replace(
                order, kind=_Kind.PREPARE, attempt=proposal.attempt, expert_map=proposal.after
            )
        elif self.phase is Phase.ARMING and status.armed_step != proposal.step:
            return dataclasses.replace(
                order, kind=_Kind.ARM, attempt=proposal.attempt, step=proposal.step
            )
        return order

    def _is_due(self, rank: ids.RankIndex, order: map_messages.MapOrder, now_s: float) -> bool:
        last, sent_s = self._sent_by_rank.get(rank, (None, float("-inf")))
        wait_s = POLL_S if order.kind is _Kind.READ_BACK else RESEND_S
        if order == last and now_s - sent_s < wait_s:
            return False
        self._sent_by_rank[rank] = (order, now_s)
        return True

    def _enter(self, phase: Phase, limit_s: float = float("inf")) -> None:
        self.phase = phase
        self._limit_s = limit_s
        self._commit_may_land = False

    def _stop(self) -> None:
        self._proposal = None
        self._enter(Phase.STOPPED)


def new_coordinator(
    group: ids.GroupId,
    ranks: int,
    fence: ids.Fence,
    initial: map_messages.ExpertMap,
    lease_until_s: float,
) -> Coordinator:
    """Create the coordinator of a group for the holder of its lease.

    Args:
        group: The group.
        ranks: Number of ranks.
        fence: Fencing number of the lease.
        initial: Map of a group that has none yet.
        lease_until_s: Monotonic time until which the lease surely holds, in seconds.

    Returns:
        A coordinator that begins by claiming the record of the group.
    """
    return Coordinator(group, ranks, fence, initial, lease_until_s)
