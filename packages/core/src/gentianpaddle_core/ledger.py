"""The agent's record of attempts, which decides what may run at its backend server.

Every attempt passes `AttemptLedger.admit` and `AttemptLedger.start` before the backend server sees
it. Both keep their promises for whatever order, doubling or delay of messages: a declined attempt
never runs, and a non-idempotent key runs at most once in one incarnation of the agent.
"""

from __future__ import annotations

import collections
import dataclasses
import enum

from gentianpaddle_core import _tombstones, capacity, ids

MAX_ATTEMPT = 64
"""Highest attempt number of a key; retries are bounded far below it."""
EVERY_ATTEMPT = ids.Attempt(MAX_ATTEMPT)
"""Revokes all attempts of a key."""


class DeclineReason(enum.StrEnum):
    """Why an attempt was declined, in the order of the checks."""

    INCARNATION = "incarnation"
    LEAVING = "leaving"
    OUT = "out"
    DEADLINE = "deadline"
    QUARANTINED = "quarantined"
    FINGERPRINT_RUNNING = "fingerprint_running"
    REVOKED = "revoked"
    DECLINED_BEFORE = "declined_before"
    STALE_ATTEMPT = "stale_attempt"
    KEY_SEEN = "key_seen"
    TOMBSTONES_FULL = "tombstones_full"
    CAPACITY = "capacity"


class KeyStatus(enum.StrEnum):
    """What the ledger knows about a key."""

    UNSEEN = "unseen"
    """No attempt was admitted; one can still arrive unless it is revoked."""
    RUNNING = "running"
    """An attempt was admitted and has not ended."""
    DONE = "done"
    """The last attempt completed."""
    FAILED = "failed"
    """The last attempt failed after it may have run."""
    NOT_RUN = "not_run"
    """Every attempt that was admitted ended before the backend server saw it."""
    DROPPED = "dropped"
    """An attempt may have run, and its record was dropped."""


class StopEffect(enum.StrEnum):
    """What a cancel or a revocation found."""

    NOT_RUN = "not_run"
    """Proof that no attempt it covers ran or will run in this incarnation."""
    RUNNING = "running"
    """An attempt it covers is at the backend server; the caller stops it there if it can."""
    MAY_HAVE_RUN = "may_have_run"
    """An attempt it covers may have run, and none runs now."""


class Effect(enum.Enum):
    """Whether a report about an attempt changed the ledger."""

    APPLIED = enum.auto()
    """The report concerns the running attempt."""
    IGNORED = enum.auto()
    """The report is late, doubled or about another attempt."""


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerLimits:
    """Bounds of what the ledger keeps."""

    kept_outcomes: int = 4_096
    """Ended attempts with their outcome."""
    kept_bytes: int = 8 * 1024 * 1024
    """Bytes of all kept outcomes."""
    kept_s: float = 600.0
    """Age up to which an outcome is kept, in seconds."""
    tombstones: int = 200_000
    """Non-idempotent keys known at once; further ones are declined."""
    idempotent_tombstones: int = 50_000
    """Idempotent keys remembered after their record; the oldest are forgotten."""
    retention_s: float = 86_400.0
    """Time for which a non-idempotent key or a revocation is remembered, in seconds."""
    late_s: float = 3_600.0
    """Time for which a declined attempt stays declined, in seconds; the longest deadline."""
    filter_bits: int = 1 << 22
    """Bits of each filter of attempts that must not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Conditions:
    """State of the agent that decides about admission."""

    leaving: bool = False
    """Whether the backend server is leaving."""
    data_centre_out: bool = False
    """Whether the data centre is out of service."""
    vm_out: bool = False
    """Whether the VM is out of service."""
    quarantined: bool = False
    """Whether the fingerprint may not run here now."""


@dataclasses.dataclass(frozen=True, slots=True)
class StartRequest:
    """An attempt that an entry wants to run.

    An entry numbers its attempts of a key upwards and sends each number to one incarnation of one
    agent only.
    """

    entry: ids.VmId
    """Entry that sent it."""
    key: ids.RequestKey
    """Key of the request."""
    attempt: ids.Attempt
    """Number of the attempt."""
    fingerprint: ids.Fingerprint
    """Fingerprint of the request."""
    expected_incarnation: ids.Incarnation
    """Incarnation of the agent that the entry chose."""
    deadline_s: float
    """Monotonic time of the agent after which the answer is worthless."""
    idempotent: bool
    """Whether the request may run more than once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The attempt may go to the backend server, through `AttemptLedger.start`."""

    key: ids.RequestKey
    """Key of the request."""
    attempt: ids.Attempt
    """Number of the attempt."""
    repeated: bool = False
    """Whether the attempt was admitted earlier; then it must not be started again, and the answer
    to the entry is the state of the key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Declined:
    """Proof that the attempt did not run and will not run in this incarnation of the agent."""

    key: ids.RequestKey
    """Key of the request."""
    attempt: ids.Attempt
    """Number of the attempt."""
    reason: DeclineReason
    """First check that failed."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeptOutcome:
    """Answer of the backend server, kept for queries."""

    http_status: int
    """HTTP status."""
    content_type: str
    """Media type of the body."""
    body: bytes | None
    """The body; None for a streamed answer or one that is too large to keep."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyState:
    """Result of a query."""

    key: ids.RequestKey
    """Key of the request."""
    status: KeyStatus
    """What is known."""
    attempt: ids.Attempt | None = None
    """Last admitted attempt, None where there was none."""
    outcome: KeptOutcome | None = None
    """The outcome, present only with `KeyStatus.DONE`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """An attempt that was admitted and has not ended."""

    entry: ids.VmId
    """Entry that sent it."""
    key: ids.RequestKey
    """Key of the request."""
    attempt: ids.Attempt
    """Number of the attempt."""
    fingerprint: ids.Fingerprint
    """Fingerprint of the request."""
    started: bool
    """Whether the backend server may have seen it."""


@dataclasses.dataclass(slots=True)
class _Record:
    start: StartRequest
    mask: int
    """Bits of the attempts that may have run, by attempt number."""
    status: KeyStatus = KeyStatus.RUNNING
    started: bool = False
    outcome: KeptOutcome | None = None
    ended_s: float = 0.0

    def past(self) -> _tombstones.Past:
        return _tombstones.Past(self.start.attempt, self.mask, not self.start.idempotent)

    def size(self) -> int:
        return len(self.outcome.body or b"") if self.outcome is not None else 0


class AttemptLedger:
    """Attempts of one incarnation of one agent."""

    def __init__(
        self, incarnation: ids.Incarnation, places: capacity.Capacity, limits: LedgerLimits
    ) -> None:
        """Start empty; use `new_ledger`."""
        self._incarnation = incarnation
        self._places = places
        self._limits = limits
        self._running_by_key: dict[ids.RequestKey, _Record] = {}
        self._key_by_fingerprint: dict[ids.Fingerprint, ids.RequestKey] = {}
        self._ended_by_key: collections.OrderedDict[ids.RequestKey, _Record] = (
            collections.OrderedDict()
        )
        self._kept_bytes = 0
        self._strict_records = 0
        self._history = _tombstones.KeyHistory(
            limits.retention_s, limits.late_s, limits.idempotent_tombstones
        )
        self._declined = _tombstones.Filter(limits.filter_bits, limits.late_s)
        self._revoked = _tombstones.Filter(limits.filter_bits, limits.retention_s)

    def admit(
        self, now_s: float, start: StartRequest, conditions: Conditions
    ) -> Admitted | Declined:
        """Decide whether an attempt may run.

        Returns:
            `Admitted`, or `Declined` with the first check that failed. An attempt that was admitted
            before is admitted again as repeated, whatever the checks say: declining it would deny
            that it ran.
        """
        self._expire(now_s)
        key, attempt = start.key, start.attempt
        past = self._known(key)
        if past.mask >> attempt & 1:
            return Admitted(key, attempt, repeated=True)
        reason = self._reason(now_s, start, conditions)
        if reason is None:
            if attempt <= past.highest or not 0 < attempt <= MAX_ATTEMPT:
                reason = DeclineReason.STALE_ATTEMPT
            elif past.mask and (past.strict or not start.idempotent):
                reason = DeclineReason.KEY_SEEN
            elif not (past.strict or start.idempotent) and self._full():
                reason = DeclineReason.TOMBSTONES_FULL
            elif not self._places.take(now_s, start.entry):
                reason = DeclineReason.CAPACITY
        if reason is not None:
            self._declined.add(now_s, _tombstones.item(start.entry, key, attempt))
            return Declined(key, attempt, reason)
        self._forget(key)
        kept = dataclasses.replace(start, idempotent=start.idempotent and not past.strict)
        self._running_by_key[key] = _Record(kept, past.mask | 1 << attempt)
        self._key_by_fingerprint[start.fingerprint] = key
        self._strict_records += not kept.idempotent
        return Admitted(key, attempt)

    def start(self, now_s: float, key: ids.RequestKey, attempt: ids.Attempt) -> Effect:
        """Mark an admitted attempt as seen by the backend server, just before it is sent there.

        Returns:
            `Effect.IGNORED` when the attempt was cancelled, revoked or started before; then it must
            not be sent.
        """
        record = self._running(key, attempt)
        if record is None or record.started:
            return Effect.IGNORED
        record.started = True
        return Effect.APPLIED

    def finish(
        self,
        now_s: float,
        key: ids.RequestKey,
        attempt: ids.Attempt,
        outcome: KeptOutcome,
        step_s: float,
    ) -> Effect:
        """Record that an attempt completed.

        Args:
            now_s: Monotonic time in seconds.
            key: Key of the request.
            attempt: Number of the attempt.
            outcome: Answer of the backend server.
            step_s: Mean step time of the attempt, for a plain service its response time.
        """
        record = self._running(key, attempt)
        if record is None or not record.started:
            return Effect.IGNORED
        record.outcome = outcome
        if record.size() > self._limits.kept_bytes:
            record.outcome = dataclasses.replace(outcome, body=None)
        self._end(now_s, record, KeyStatus.DONE, step_s)
        return Effect.APPLIED

    def fail(
        self, now_s: float, key: ids.RequestKey, attempt: ids.Attempt, may_have_run: bool
    ) -> Effect:
        """Record that an attempt ended without an answer.

        Args:
            now_s: Monotonic time in seconds.
            key: Key of the request.
            attempt: Number of the attempt.
            may_have_run: False only with proof that the backend server did not see it.
        """
        record = self._running(key, attempt)
        if record is None:
            return Effect.IGNORED
        if may_have_run and record.started:
            self._end(now_s, record, KeyStatus.FAILED, None)
        else:
            self._end_not_run(now_s, record)
        return Effect.APPLIED

    def cancel(
        self, now_s: float, entry: ids.VmId, key: ids.RequestKey, attempt: ids.Attempt
    ) -> StopEffect:
        """Stop one attempt of one entry, also one that has not arrived yet."""
        self._expire(now_s)
        self._declined.add(now_s, _tombstones.item(entry, key, attempt))
        return self._stop(now_s, key, 1 << attempt)

    def revoke(self, now_s: float, key: ids.RequestKey, attempt: ids.Attempt) -> StopEffect:
        """Stop all attempts of a key up to one, of any entry, also those that arrive later.

        Args:
            now_s: Monotonic time in seconds.
            key: Key of the request.
            attempt: Highest attempt that is revoked; `EVERY_ATTEMPT` for all.

        Returns:
            What is known about the revoked attempts now.
        """
        self._expire(now_s)
        covered = min(attempt, EVERY_ATTEMPT)
        for number in range(1, covered + 1):
            self._revoked.add(now_s, _tombstones.item("", key, number))
        return self._stop(now_s, key, (2 << covered) - 1)

    def query(self, now_s: float, key: ids.RequestKey) -> KeyState:
        """Return what is known about a key."""
        self._expire(now_s)
        record = self._running_by_key.get(key) or self._ended_by_key.get(key)
        if record is not None:
            return KeyState(key, record.status, record.start.attempt, record.outcome)
        past = self._history.get(key)
        if past.highest == 0:
            return KeyState(key, KeyStatus.UNSEEN)
        status = KeyStatus.DROPPED if past.mask else KeyStatus.NOT_RUN
        return KeyState(key, status, ids.Attempt(past.highest))

    def running(self) -> tuple[Running, ...]:
        """Return the attempts that were admitted and have not ended."""
        return tuple(
            Running(r.start.entry, key, r.start.attempt, r.start.fingerprint, r.started)
            for key, r in self._running_by_key.items()
        )

    def _reason(
        self, now_s: float, start: StartRequest, conditions: Conditions
    ) -> DeclineReason | None:
        key, attempt = start.key, start.attempt
        if start.expected_incarnation != self._incarnation:
            return DeclineReason.INCARNATION
        if conditions.leaving:
            return DeclineReason.LEAVING
        if conditions.data_centre_out or conditions.vm_out:
            return DeclineReason.OUT
        if now_s >= start.deadline_s:
            return DeclineReason.DEADLINE
        if conditions.quarantined:
            return DeclineReason.QUARANTINED
        if start.fingerprint in self._key_by_fingerprint or key in self._running_by_key:
            return DeclineReason.FINGERPRINT_RUNNING
        if self._revoked.holds(now_s, _tombstones.item("", key, attempt)):
            return DeclineReason.REVOKED
        if self._declined.holds(now_s, _tombstones.item(start.entry, key, attempt)):
            return DeclineReason.DECLINED_BEFORE
        return None

    def _known(self, key: ids.RequestKey) -> _tombstones.Past:
        record = self._running_by_key.get(key) or self._ended_by_key.get(key)
        return self._history.get(key) if record is None else record.past()

    def _running(self, key: ids.RequestKey, attempt: ids.Attempt) -> _Record | None:
        record = self._running_by_key.get(key)
        return record if record is not None and record.start.attempt == attempt else None

    def _full(self) -> bool:
        return self._strict_records + self._history.strict_count >= self._limits.tombstones

    def _forget(self, key: ids.RequestKey) -> None:
        record = self._ended_by_key.pop(key, None)
        if record is not None:
            self._kept_bytes -= record.size()
            self._strict_records -= not record.start.idempotent
        self._history.discard(key)

    def _stop(self, now_s: float, key: ids.RequestKey, covered: int) -> StopEffect:
        record = self._running_by_key.get(key)
        if record is not None and covered >> record.start.attempt & 1:
            if record.started:
                return StopEffect.RUNNING
            self._end_not_run(now_s, record)
        return StopEffect.MAY_HAVE_RUN if self._known(key).mask & covered else StopEffect.NOT_RUN

    def _end_not_run(self, now_s: float, record: _Record) -> None:
        record.mask &= ~(1 << record.start.attempt)
        status = KeyStatus.FAILED if record.mask else KeyStatus.NOT_RUN
        self._end(now_s, record, status, None)

    def _end(self, now_s: float, record: _Record, status: KeyStatus, step_s: float | None) -> None:
        key = record.start.key
        del self._running_by_key[key]
        del self._key_by_fingerprint[record.start.fingerprint]
        self._places.release(now_s, record.start.entry, step_s)
        record.status = status
        record.ended_s = now_s
        self._ended_by_key[key] = record
        self._kept_bytes += record.size()
        self._expire(now_s)

    def _expire(self, now_s: float) -> None:
        limits = self._limits
        while self._ended_by_key:
            key, record = next(iter(self._ended_by_key.items()))
            if (
                now_s - record.ended_s < limits.kept_s
                and len(self._ended_by_key) <= limits.kept_outcomes
                and self._kept_bytes <= limits.kept_bytes
            ):
                break
            self._forget(key)
            self._history.add(now_s, key, record.past())
        self._history.expire(now_s)


def new_ledger(
    incarnation: ids.Incarnation,
    places: capacity.Capacity,
    limits: LedgerLimits | None = None,
) -> AttemptLedger:
    """Return an empty ledger.

    Args:
        incarnation: Incarnation of the agent.
        places: Capacity of the backend server; the ledger takes and releases its places.
        limits: Bounds of what is kept.

    Returns:
        A ledger that knows no key.
    """
    return AttemptLedger(incarnation, places, limits or LedgerLimits())
