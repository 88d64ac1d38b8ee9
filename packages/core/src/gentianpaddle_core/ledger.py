"""The agent's ledger of attempts, which decides what may run at its backend server.

Every attempt passes `AttemptLedger.admit` and `AttemptLedger.start` before the backend server sees
it. Together they guarantee that a declined attempt never runs, and that a non-idempotent key runs
at most once in one incarnation of the agent, even if messages are reordered, duplicated or delayed.
"""

from __future__ import annotations

import collections
import dataclasses
import enum

from gentianpaddle_core import _tombstones, capacity, ids

MAX_ATTEMPT = 64
"""Highest attempt number of a key; the limit of retries is far below it."""
ALL_ATTEMPTS = ids.Attempt(MAX_ATTEMPT)
"""Attempt number with which `AttemptLedger.revoke` revokes all attempts of a key."""


class DeclineReason(enum.StrEnum):
    """Reason why an attempt was declined, in the order of the checks."""

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
    """Status of a key in the ledger."""

    UNSEEN = "unseen"
    """No attempt is known; one may still arrive unless it has been revoked."""
    RUNNING = "running"
    """An attempt was admitted and has not ended."""
    DONE = "done"
    """The last attempt completed with an answer."""
    FAILED = "failed"
    """No attempt is running, the last one did not complete, and one of them may have run."""
    NOT_RUN = "not_run"
    """Every attempt that was admitted ended before the backend server saw it."""
    DROPPED = "dropped"
    """An attempt of a non-idempotent key may have run, and its record was dropped."""


class StopResult(enum.StrEnum):
    """Result of a cancel or a revocation."""

    NOT_RUN = "not_run"
    """Proof that none of the attempts concerned ran or will run in this incarnation."""
    RUNNING = "running"
    """One of the attempts is running at the backend server; only the caller can stop it there."""
    MAY_HAVE_RUN = "may_have_run"
    """One of the attempts may have run, and none is to be stopped at the backend server."""


class ReportEffect(enum.Enum):
    """Whether a report about an attempt changed the ledger."""

    APPLIED = enum.auto()
    """The report concerned the running attempt and was applied."""
    IGNORED = enum.auto()
    """The report was late, duplicated or about another attempt, and changed nothing."""


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerLimits:
    """Limits of what the ledger keeps."""

    kept_outcomes: int = 4_096
    """Number of ended attempts that are kept with their outcomes."""
    kept_bytes: int = 8 * 1024 * 1024
    """Total size of the bodies of all kept outcomes, in bytes."""
    kept_s: float = 600.0
    """Longest time in seconds for which an outcome is kept."""
    non_idempotent_keys: int = 200_000
    """Number of non-idempotent keys that are kept; further ones are declined."""
    retention_s: float = 86_400.0
    """Time in seconds for which a non-idempotent key or a revocation is kept."""
    attempt_retention_s: float = 3_600.0
    """Time in seconds for which a declined attempt stays declined: the longest deadline."""
    filter_bits: int = 1 << 22
    """Size in bits of a generation of each filter of attempts."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionConditions:
    """State of the agent on which admission depends."""

    leaving: bool = False
    """Whether the backend server is leaving."""
    data_centre_out: bool = False
    """Whether the data centre is out of service."""
    vm_out: bool = False
    """Whether the VM is out of service."""
    quarantined: bool = False
    """Whether quarantine forbids the fingerprint of the request to run here now."""


@dataclasses.dataclass(frozen=True, slots=True)
class StartRequest:
    """An attempt that an entry wants to run.

    An entry numbers its attempts of a key in ascending order, and sends each number to only one
    incarnation of one agent.
    """

    entry: ids.VmId
    """VM of the entry that sent the request."""
    key: ids.RequestKey
    """Key of the request."""
    attempt: ids.Attempt
    """Number of the attempt."""
    fingerprint: ids.Fingerprint
    """Fingerprint of the request."""
    expected_incarnation: ids.Incarnation
    """Incarnation of the agent that the entry chose."""
    deadline_s: float
    """Monotonic time of the agent in seconds after which the answer is of no use."""
    idempotent: bool
    """Whether the request may safely run more than once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The attempt may run; `AttemptLedger.start` must be called before it is sent."""

    key: ids.RequestKey
    """Key of the request."""
    attempt: ids.Attempt
    """Number of the attempt."""
    repeated: bool = False
    """Whether the attempt was admitted earlier. It must then not be started again, and the entry is
    answered with the state of the key."""


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
class KeptAnswer:
    """Answer of the backend server that is kept for queries."""

    http_status: int
    """HTTP status of the answer."""
    content_type: str
    """Media type of the body."""
    body: bytes | None
    """Body of the answer; None when it was streamed or is too large to keep."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyState:
    """Result of a query about a key."""

    key: ids.RequestKey
    """Key of the request."""
    status: KeyStatus
    """Status of the key."""
    attempt: ids.Attempt | None = None
    """Number of the last admitted attempt, None when there was none."""
    outcome: KeptAnswer | None = None
    """Outcome of the attempt; present only with `KeyStatus.DONE`."""


@dataclasses.dataclass(slots=True)
class _AttemptRecord:
    request: StartRequest
    digest: int
    is_non_idempotent: bool
    """Whether the key is non-idempotent."""
    ran_mask: int
    """Bit n is set when attempt n may have run."""
    status: KeyStatus = KeyStatus.RUNNING
    started: bool = False
    outcome: KeptAnswer | None = None
    ended_s: float = 0.0

    def summary(self) -> _tombstones.KeySummary:
        return _tombstones.KeySummary(self.request.attempt, self.ran_mask, self.is_non_idempotent)

    def body_bytes(self) -> int:
        return len(self.outcome.body or b"") if self.outcome is not None else 0


class AttemptLedger:
    """Ledger of the attempts of one incarnation of one agent."""

    def __init__(
        self, incarnation: ids.Incarnation, server_capacity: capacity.Capacity, limits: LedgerLimits
    ) -> None:
        """Create an empty ledger; use `new_ledger` instead."""
        self._incarnation = incarnation
        self._capacity = server_capacity
        self._limits = limits
        self._running_by_key: dict[ids.RequestKey, _AttemptRecord] = {}
        self._key_by_fingerprint: dict[ids.Fingerprint, ids.RequestKey] = {}
        self._ended_by_key: collections.OrderedDict[ids.RequestKey, _AttemptRecord] = (
            collections.OrderedDict()
        )
        self._kept_bytes = 0
        self._non_idempotent_record_count = 0
        self._tombstone_store = _tombstones.TombstoneStore(
            limits.filter_bits, limits.retention_s, limits.attempt_retention_s
        )

    def admit(
        self, now_s: float, request: StartRequest, conditions: AdmissionConditions
    ) -> Admitted | Declined:
        """Decide whether an attempt may run.

        Returns:
            `Admitted`, or `Declined` with the first check that failed. An attempt that was admitted
            before is admitted again as repeated, whatever the checks say, because `Declined` would
            falsely prove that it did not run.
        """
        self._drop_expired(now_s)
        key, attempt = request.key, request.attempt
        digest = _tombstones.digest(key)
        summary = self._key_summary(now_s, key, digest, attempt)
        if summary.ran_mask >> attempt & 1:
            return Admitted(key, attempt, repeated=True)
        reason = self._decline_reason(now_s, request, conditions, digest, summary)
        if reason is not None:
            self._tombstone_store.add_declined(
                now_s, digest, attempt, request.entry, not request.idempotent
            )
            return Declined(key, attempt, reason)
        if summary.highest_attempt:
            self._drop_record(key)
            self._tombstone_store.discard(digest)
        is_non_idempotent = summary.is_non_idempotent or not request.idempotent
        self._running_by_key[key] = _AttemptRecord(
            request, digest, is_non_idempotent, summary.ran_mask | 1 << attempt
        )
        self._key_by_fingerprint[request.fingerprint] = key
        self._non_idempotent_record_count += is_non_idempotent
        return Admitted(key, attempt)

    def start(self, now_s: float, key: ids.RequestKey, attempt: ids.Attempt) -> ReportEffect:
        """Mark an admitted attempt as started, just before it is sent to the backend server.

        Returns:
            `ReportEffect.IGNORED` when the attempt was cancelled, revoked or started before; it
            must then not be sent.
        """
        record = self._running_record(key, attempt)
        if record is None or record.started:
            return ReportEffect.IGNORED
        record.started = True
        return ReportEffect.APPLIED

    def finish(
        self,
        now_s: float,
        key: ids.RequestKey,
        attempt: ids.Attempt,
        outcome: KeptAnswer,
        step_s: float,
    ) -> ReportEffect:
        """Record that an attempt completed.

        Args:
            now_s: Monotonic time in seconds.
            key: Key of the request.
            attempt: Number of the attempt.
            outcome: Answer of the backend server.
            step_s: Mean step time of the attempt in seconds, for a plain service its response time.
        """
        record = self._running_record(key, attempt)
        if record is None or not record.started:
            return ReportEffect.IGNORED
        record.outcome = outcome
        if record.body_bytes() > self._limits.kept_bytes:
            record.outcome = dataclasses.replace(outcome, body=None)
        self._end(now_s, record, KeyStatus.DONE, step_s)
        return ReportEffect.APPLIED

    def fail(
        self, now_s: float, key: ids.RequestKey, attempt: ids.Attempt, may_have_run: bool
    ) -> ReportEffect:
        """Record that an attempt ended without an answer.

        `may_have_run` may be False only with proof that the backend server did not see the attempt.
        """
        record = self._running_record(key, attempt)
        if record is None:
            return ReportEffect.IGNORED
        if may_have_run and record.started:
            self._end(now_s, record, KeyStatus.FAILED, None)
        else:
            self._end_not_run(now_s, record)
        return ReportEffect.APPLIED

    def cancel(
        self, now_s: float, entry: ids.VmId, key: ids.RequestKey, attempt: ids.Attempt
    ) -> StopResult:
        """Prevent one attempt of one entry from starting, even if it arrives later.

        Returns:
            `StopResult.RUNNING` if the attempt has started and not ended; the caller must stop it
            at the backend server. `StopResult.MAY_HAVE_RUN` if it may have run and has ended, or,
            without any effect, if another entry sent the running attempt of this number.
            `StopResult.NOT_RUN` if the attempt has not run and cannot run any more, or if its
            number is not within 1 to `MAX_ATTEMPT`.
        """
        self._drop_expired(now_s)
        if not 0 < attempt <= MAX_ATTEMPT:
            return StopResult.NOT_RUN
        digest = _tombstones.digest(key)
        record = self._running_record(key, attempt)
        if record is not None and record.request.entry != entry:
            return StopResult.MAY_HAVE_RUN
        if not self._key_summary(now_s, key, digest, attempt).ran_mask >> attempt & 1:
            # Whether the key is idempotent may be unknown, so the attempt goes into the filter for
            # declined attempts of non-idempotent keys, which has `evicts_early=False`.
            self._tombstone_store.add_declined(
                now_s, digest, attempt, entry, is_non_idempotent=True
            )
        return self._stop(now_s, key, digest, attempt, attempt)

    def revoke(self, now_s: float, key: ids.RequestKey, attempt: ids.Attempt) -> StopResult:
        """Prevent the attempts of a key from starting, of any entry and even if they arrive later.

        Args:
            now_s: Monotonic time in seconds.
            key: Key of the request.
            attempt: Number of the highest attempt to revoke; `ALL_ATTEMPTS` for all.

        Returns:
            `StopResult.RUNNING` if one of them is running; it continues at the backend server
            unless the caller stops it there.
        """
        self._drop_expired(now_s)
        digest = _tombstones.digest(key)
        last = min(attempt, ALL_ATTEMPTS)
        for number in range(1, last + 1):
            self._tombstone_store.add_revoked(now_s, digest, number)
        return self._stop(now_s, key, digest, 1, last)

    def query(self, now_s: float, key: ids.RequestKey) -> KeyState:
        """Return the state of a key."""
        self._drop_expired(now_s)
        record = self._running_by_key.get(key) or self._ended_by_key.get(key)
        if record is not None:
            status, attempts = record.status, range(1, MAX_ATTEMPT + 1)
            if status is KeyStatus.NOT_RUN and self._tombstone_store.any_may_have_run(
                now_s, record.digest, attempts
            ):
                status = KeyStatus.FAILED
            return KeyState(key, status, record.request.attempt, record.outcome)
        summary = self._tombstone_store.dropped_key_summary(_tombstones.digest(key))
        if summary is None:
            return KeyState(key, KeyStatus.UNSEEN)
        status = KeyStatus.DROPPED if summary.ran_mask else KeyStatus.NOT_RUN
        return KeyState(key, status, ids.Attempt(summary.highest_attempt))

    def running_requests(self) -> tuple[StartRequest, ...]:
        """Return the requests of the attempts that were admitted and have not ended."""
        return tuple(record.request for record in self._running_by_key.values())

    def _decline_reason(
        self,
        now_s: float,
        request: StartRequest,
        conditions: AdmissionConditions,
        digest: int,
        summary: _tombstones.KeySummary,
    ) -> DeclineReason | None:
        key, attempt, reason = request.key, request.attempt, None
        is_non_idempotent = summary.is_non_idempotent or not request.idempotent
        if request.expected_incarnation != self._incarnation:
            reason = DeclineReason.INCARNATION
        elif conditions.leaving:
            reason = DeclineReason.LEAVING
        elif conditions.data_centre_out or conditions.vm_out:
            reason = DeclineReason.OUT
        elif now_s >= request.deadline_s:
            reason = DeclineReason.DEADLINE
        elif conditions.quarantined:
            reason = DeclineReason.QUARANTINED
        elif request.fingerprint in self._key_by_fingerprint or key in self._running_by_key:
            reason = DeclineReason.FINGERPRINT_RUNNING
        elif self._tombstone_store.is_revoked(now_s, digest, attempt):
            reason = DeclineReason.REVOKED
        elif self._tombstone_store.is_declined(now_s, digest, attempt, request.entry):
            reason = DeclineReason.DECLINED_BEFORE
        elif attempt <= summary.highest_attempt or not 0 < attempt <= MAX_ATTEMPT:
            reason = DeclineReason.STALE_ATTEMPT
        elif summary.ran_mask and is_non_idempotent:
            reason = DeclineReason.KEY_SEEN
        elif is_non_idempotent and not summary.is_non_idempotent and self._is_full():
            reason = DeclineReason.TOMBSTONES_FULL
        elif not self._capacity.try_acquire(now_s, request.entry):
            reason = DeclineReason.CAPACITY
        return reason

    def _key_summary(
        self, now_s: float, key: ids.RequestKey, digest: int, attempt: int
    ) -> _tombstones.KeySummary:
        record = self._running_by_key.get(key) or self._ended_by_key.get(key)
        summary = (
            self._tombstone_store.dropped_key_summary(digest)
            if record is None
            else record.summary()
        )
        summary = summary or _tombstones.EMPTY_SUMMARY
        if self._tombstone_store.any_may_have_run(now_s, digest, (attempt,)):
            summary = dataclasses.replace(summary, ran_mask=summary.ran_mask | 1 << attempt)
        return summary

    def _running_record(self, key: ids.RequestKey, attempt: ids.Attempt) -> _AttemptRecord | None:
        record = self._running_by_key.get(key)
        return record if record is not None and record.request.attempt == attempt else None

    def _is_full(self) -> bool:
        return (
            self._non_idempotent_record_count + self._tombstone_store.non_idempotent_key_count
            >= self._limits.non_idempotent_keys
        )

    def _drop_record(self, key: ids.RequestKey) -> None:
        record = self._ended_by_key.pop(key, None)
        if record is not None:
            self._kept_bytes -= record.body_bytes()
            self._non_idempotent_record_count -= record.is_non_idempotent

    def _stop(
        self, now_s: float, key: ids.RequestKey, digest: int, first: int, last: int
    ) -> StopResult:
        record = self._running_by_key.get(key)
        if record is not None and first <= record.request.attempt <= last:
            if record.started:
                return StopResult.RUNNING
            self._end_not_run(now_s, record)
        for attempt in range(first, last + 1):
            if self._key_summary(now_s, key, digest, attempt).ran_mask >> attempt & 1:
                return StopResult.MAY_HAVE_RUN
        return StopResult.NOT_RUN

    def _end_not_run(self, now_s: float, record: _AttemptRecord) -> None:
        record.ran_mask &= ~(1 << record.request.attempt)
        request = record.request
        self._tombstone_store.add_declined(
            now_s, record.digest, request.attempt, request.entry, record.is_non_idempotent
        )
        status = KeyStatus.FAILED if record.ran_mask else KeyStatus.NOT_RUN
        self._end(now_s, record, status, None)

    def _end(
        self, now_s: float, record: _AttemptRecord, status: KeyStatus, step_s: float | None
    ) -> None:
        key = record.request.key
        del self._running_by_key[key]
        del self._key_by_fingerprint[record.request.fingerprint]
        self._capacity.release(now_s, record.request.entry, step_s)
        record.status = status
        record.ended_s = now_s
        self._ended_by_key[key] = record
        self._kept_bytes += record.body_bytes()
        self._drop_expired(now_s)

    def _drop_expired(self, now_s: float) -> None:
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
            self._tombstone_store.add_dropped_key(now_s, record.digest, record.summary())
        self._tombstone_store.expire(now_s)


def new_ledger(
    incarnation: ids.Incarnation,
    server_capacity: capacity.Capacity,
    limits: LedgerLimits | None = None,
) -> AttemptLedger:
    """Return an empty ledger.

    Args:
        incarnation: Incarnation of this agent.
        server_capacity: Capacity of the backend server; an attempt holds a part of it from its
            admission to its end.
        limits: Limits of what the ledger keeps.
    """
    return AttemptLedger(incarnation, server_capacity, limits or LedgerLimits())
