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
    """No attempt is known; one can still arrive unless it is revoked."""
    RUNNING = "running"
    """An attempt was admitted and has not ended."""
    DONE = "done"
    """The last attempt completed."""
    FAILED = "failed"
    """No attempt runs or completed last, and one may have run."""
    NOT_RUN = "not_run"
    """Every attempt that was admitted ended before the backend server saw it."""
    DROPPED = "dropped"
    """An attempt of a non-idempotent key may have run, and its record was dropped."""


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
    retention_s: float = 86_400.0
    """Time for which a non-idempotent key or a revocation is remembered, in seconds."""
    late_s: float = 3_600.0
    """Time for which a declined attempt stays declined, in seconds: the longest deadline."""
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


@dataclasses.dataclass(slots=True)
class _Record:
    start: StartRequest
    digest: int
    strict: bool
    """Whether the key is non-idempotent."""
    mask: int
    """Bits of the attempts that may have run, by attempt number."""
    status: KeyStatus = KeyStatus.RUNNING
    started: bool = False
    outcome: KeptOutcome | None = None
    ended_s: float = 0.0

    def past(self) -> _tombstones.Past:
        return _tombstones.Past(self.start.attempt, self.mask, self.strict)

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
        self._memory = _tombstones.Memory(limits.filter_bits, limits.retention_s, limits.late_s)

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
        digest = _tombstones.digest(key)
        past = self._past(now_s, key, digest, attempt)
        if past.mask >> attempt & 1:
            return Admitted(key, attempt, repeated=True)
        reason = self._reason(now_s, start, conditions, digest, past)
        if reason is not None:
            self._memory.decline(now_s, digest, attempt, start.entry, not start.idempotent)
            return Declined(key, attempt, reason)
        if past.highest:
            self._drop_record(key)
            self._memory.discard(digest)
        strict = past.strict or not start.idempotent
        self._running_by_key[key] = _Record(start, digest, strict, past.mask | 1 << attempt)
        self._key_by_fingerprint[start.fingerprint] = key
        self._strict_records += strict
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

        `may_have_run` is False only with proof that the backend server did not see it.
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
        if not 0 < attempt <= MAX_ATTEMPT:
            return StopEffect.NOT_RUN
        digest = _tombstones.digest(key)
        record = self._running(key, attempt)
        if record is not None and record.start.entry != entry:
            return StopEffect.MAY_HAVE_RUN
        if not self._past(now_s, key, digest, attempt).mask >> attempt & 1:
            self._memory.decline(now_s, digest, attempt, entry, strict=True)
        return self._stop(now_s, key, digest, attempt, attempt)

    def revoke(self, now_s: float, key: ids.RequestKey, attempt: ids.Attempt) -> StopEffect:
        """Stop all attempts of a key up to one, of any entry, also those that arrive later.

        Args:
            now_s: Monotonic time in seconds.
            key: Key of the request.
            attempt: Highest attempt that is revoked; `EVERY_ATTEMPT` for all.
        """
        self._expire(now_s)
        digest = _tombstones.digest(key)
        last = min(attempt, EVERY_ATTEMPT)
        for number in range(1, last + 1):
            self._memory.revoke(now_s, digest, number)
        return self._stop(now_s, key, digest, 1, last)

    def query(self, now_s: float, key: ids.RequestKey) -> KeyState:
        """Return what is known about a key."""
        self._expire(now_s)
        record = self._running_by_key.get(key) or self._ended_by_key.get(key)
        if record is not None:
            status, attempts = record.status, range(1, MAX_ATTEMPT + 1)
            if status is KeyStatus.NOT_RUN and self._memory.ran(now_s, record.digest, attempts):
                status = KeyStatus.FAILED
            return KeyState(key, status, record.start.attempt, record.outcome)
        past = self._memory.strict_past(_tombstones.digest(key))
        if past is None:
            return KeyState(key, KeyStatus.UNSEEN)
        status = KeyStatus.DROPPED if past.mask else KeyStatus.NOT_RUN
        return KeyState(key, status, ids.Attempt(past.highest))

    def running(self) -> tuple[StartRequest, ...]:
        """Return the attempts that were admitted and have not ended."""
        return tuple(record.start for record in self._running_by_key.values())

    def _reason(
        self,
        now_s: float,
        start: StartRequest,
        conditions: Conditions,
        digest: int,
        past: _tombstones.Past,
    ) -> DeclineReason | None:
        key, attempt, reason = start.key, start.attempt, None
        strict = past.strict or not start.idempotent
        if start.expected_incarnation != self._incarnation:
            reason = DeclineReason.INCARNATION
        elif conditions.leaving:
            reason = DeclineReason.LEAVING
        elif conditions.data_centre_out or conditions.vm_out:
            reason = DeclineReason.OUT
        elif now_s >= start.deadline_s:
            reason = DeclineReason.DEADLINE
        elif conditions.quarantined:
            reason = DeclineReason.QUARANTINED
        elif start.fingerprint in self._key_by_fingerprint or key in self._running_by_key:
            reason = DeclineReason.FINGERPRINT_RUNNING
        elif self._memory.revoked(now_s, digest, attempt):
            reason = DeclineReason.REVOKED
        elif self._memory.declined(now_s, digest, attempt, start.entry):
            reason = DeclineReason.DECLINED_BEFORE
        elif attempt <= past.highest or not 0 < attempt <= MAX_ATTEMPT:
            reason = DeclineReason.STALE_ATTEMPT
        elif past.mask and strict:
            reason = DeclineReason.KEY_SEEN
        elif strict and not past.strict and self._full():
            reason = DeclineReason.TOMBSTONES_FULL
        elif not self._places.take(now_s, start.entry):
            reason = DeclineReason.CAPACITY
        return reason

    def _past(
        self, now_s: float, key: ids.RequestKey, digest: int, attempt: int
    ) -> _tombstones.Past:
        record = self._running_by_key.get(key) or self._ended_by_key.get(key)
        past = self._memory.strict_past(digest) if record is None else record.past()
        past = past or _tombstones.UNSEEN
        if self._memory.ran(now_s, digest, (attempt,)):
            past = dataclasses.replace(past, mask=past.mask | 1 << attempt)
        return past

    def _running(self, key: ids.RequestKey, attempt: ids.Attempt) -> _Record | None:
        record = self._running_by_key.get(key)
        return record if record is not None and record.start.attempt == attempt else None

    def _full(self) -> bool:
        return self._strict_records + self._memory.strict_keys >= self._limits.tombstones

    def _drop_record(self, key: ids.RequestKey) -> None:
        record = self._ended_by_key.pop(key, None)
        if record is not None:
            self._kept_bytes -= record.size()
            self._strict_records -= record.strict

    def _stop(
        self, now_s: float, key: ids.RequestKey, digest: int, first: int, last: int
    ) -> StopEffect:
        record = self._running_by_key.get(key)
        if record is not None and first <= record.start.attempt <= last:
            if record.started:
                return StopEffect.RUNNING
            self._end_not_run(now_s, record)
        for attempt in range(first, last + 1):
            if self._past(now_s, key, digest, attempt).mask >> attempt & 1:
                return StopEffect.MAY_HAVE_RUN
        return StopEffect.NOT_RUN

    def _end_not_run(self, now_s: float, record: _Record) -> None:
        record.mask &= ~(1 << record.start.attempt)
        start = record.start
        self._memory.decline(now_s, record.digest, start.attempt, start.entry, record.strict)
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
            self._drop_record(key)
            self._memory.remember(now_s, record.digest, record.past())
        self._memory.expire(now_s)


def new_ledger(
    incarnation: ids.Incarnation,
    places: capacity.Capacity,
    limits: LedgerLimits | None = None,
) -> AttemptLedger:
    """Return an empty ledger, which takes and releases the places of a backend server."""
    return AttemptLedger(incarnation, places, limits or LedgerLimits())
