"""Requests that crash backend servers: suspects, their second run, and refusal.

Every crash is one record with the fingerprints that were in progress. Records only grow, so that
merging them in any order and any number of times gives the same state. A fingerprint is suspect
while one crash may be its fault and refused when two may be. Fingerprints that were in exactly the
same crashes cannot be told apart: they remain suspects, whose next runs are apart, until a third
crash. A crash is no longer held against the others once one of its fingerprints is refused for
more crashes than they have, so a request that only stood beside is freed without a run; a
completed run frees it as well.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import typing
from collections.abc import Collection, Iterable

from gentianpaddle_core import ids, outcomes

RECORD_AGE_S = 3_600.0
"""Age at which a crash is forgotten."""
RECORDS_LIMIT = 128
"""Crashes kept; the oldest is dropped first."""
FINGERPRINTS_LIMIT = 128
"""Fingerprints kept of one crash; a replica runs about 25 requests at the design size."""
FORGET_INTERVAL_S = 1.0
"""Pause between looks for old crashes, which every decision would else make."""
CRASHES_TO_REFUSE = 2
CRASHES_TO_REFUSE_TOGETHER = 3
"""Crashes after which requests are refused that were in exactly the same crashes."""
REFUSED_CODE = "request_crashes_servers"
REFUSED_HTTP_STATUS = 422


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRecord:
    """One crash as it travels between processes."""

    crash_id: str
    """Identifier that all observers of one crash use: VM, incarnation and count."""
    fingerprints: frozenset[ids.Fingerprint]
    """Requests that were in progress."""
    cleared: frozenset[ids.Fingerprint]
    """Those of them that have completed since."""
    age_s: float
    """Age when the record was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Allow:
    """The request may run anywhere."""


@dataclasses.dataclass(frozen=True, slots=True)
class AllowIsolated:
    """The request may run where no other suspect runs."""


class WaitReason(enum.StrEnum):
    """Why a request may not start on this backend server now."""

    SUSPECT_RUNNING = "suspect_running"
    COPY_RUNNING = "copy_running"


@dataclasses.dataclass(frozen=True, slots=True)
class Decline:
    """The request may not start here now, but may elsewhere or later."""

    reason: WaitReason
    """Why."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The request must not run anywhere."""

    crashes: int
    """Crashes held against it."""

    def outcome(self) -> outcomes.Refused:
        """Return what its caller is told."""
        return outcomes.Refused(
            REFUSED_CODE,
            f"{self.crashes} backend servers crashed while they ran this request",
            REFUSED_HTTP_STATUS,
        )


Decision: typing.TypeAlias = Allow | AllowIsolated | Refuse
"""Where a request may run."""


@dataclasses.dataclass(slots=True)
class _Crash:
    fingerprints: frozenset[ids.Fingerprint]
    cleared: frozenset[ids.Fingerprint]
    happened_s: float


class Quarantine:
    """What one process knows about crashes; entries and agents both keep one."""

    def __init__(self, records_limit: int, record_age_s: float) -> None:
        self._records_limit = records_limit
        self._record_age_s = record_age_s
        self._crash_by_id: dict[str, _Crash] = {}
        self._count_by_fingerprint: dict[ids.Fingerprint, int] | None = None
        self._next_forget_s = -float("inf")

    def decide(self, fingerprint: ids.Fingerprint, now_s: float) -> Decision:
        """Decide where a request may run.

        Args:
            fingerprint: Fingerprint of the request.
            now_s: Monotonic time in seconds.

        Returns:
            The decision of this process; agents decide again in `admit`.
        """
        count = self._counts(now_s).get(fingerprint, 0)
        if count >= CRASHES_TO_REFUSE:
            return Refuse(count)
        return AllowIsolated() if count else Allow()

    def admit(
        self,
        fingerprint: ids.Fingerprint,
        running: Collection[ids.Fingerprint],
        now_s: float,
    ) -> Decision | Decline:
        """Decide whether a request may start on a backend server.

        Args:
            fingerprint: Fingerprint of the request.
            running: Fingerprints that run there.
            now_s: Monotonic time in seconds.

        Returns:
            `Allow` or `AllowIsolated` when it may start.
        """
        decision = self.decide(fingerprint, now_s)
        if isinstance(decision, Refuse):
            return decision
        if fingerprint in running:
            return Decline(WaitReason.COPY_RUNNING)
        if isinstance(decision, AllowIsolated):
            counts = self._counts(now_s)
            if any(other in counts for other in running):
                return Decline(WaitReason.SUSPECT_RUNNING)
        return decision

    def crashed(
        self, crash_id: str, in_progress: Iterable[ids.Fingerprint], now_s: float
    ) -> CrashRecord:
        """Note a crash.

        Args:
            crash_id: Identifier of the crash, the same for all who see it.
            in_progress: Fingerprints that were running there.
            now_s: Monotonic time in seconds.

        Returns:
            The record to send to the others.
        """
        record = CrashRecord(crash_id, frozenset(in_progress), frozenset(), 0.0)
        self.merge((record,), now_s)
        return record

    def completed(self, fingerprint: ids.Fingerprint, now_s: float) -> bool:
        """Clear a request that completed of the crashes known so far.

        Args:
            fingerprint: Fingerprint of the request.
            now_s: Monotonic time in seconds.

        Returns:
            True when there was something to clear, so that the records are worth sending.
        """
        self._forget(now_s)
        changed = False
        for crash in self._crash_by_id.values():
            if fingerprint in crash.fingerprints and fingerprint not in crash.cleared:
                crash.cleared |= {fingerprint}
                changed = True
        if changed:
            self._count_by_fingerprint = None
        return changed

    def records(self, now_s: float, limit: int = RECORDS_LIMIT) -> tuple[CrashRecord, ...]:
        """Return the newest records for an exchange.

        Args:
            now_s: Monotonic time in seconds.
            limit: Largest count.

        Returns:
            The records, the newest first.
        """
        self._forget(now_s)
        newest = sorted(self._crash_by_id.items(), key=lambda item: (-item[1].happened_s, item[0]))
        return tuple(
            CrashRecord(crash_id, crash.fingerprints, crash.cleared, now_s - crash.happened_s)
            for crash_id, crash in newest[:limit]
        )

    def merge(self, records: Iterable[CrashRecord], now_s: float) -> bool:
        """Take records from another process.

        Args:
            records: Records in any order, new or known.
            now_s: Monotonic time in seconds.

        Returns:
            True when something was new, so that it is worth passing on.
        """
        changed = False
        for record in records:
            if 0.0 <= record.age_s < self._record_age_s:
                changed |= self._merge_one(record, now_s)
        if changed:
            self._count_by_fingerprint = None
        excess = len(self._crash_by_id) - self._records_limit
        if excess > 0:
            oldest = sorted((crash.happened_s, i) for i, crash in self._crash_by_id.items())
            for _, crash_id in oldest[:excess]:
                del self._crash_by_id[crash_id]
        return changed

    def _merge_one(self, record: CrashRecord, now_s: float) -> bool:
        known = self._crash_by_id.get(record.crash_id)
        happened_s = now_s - record.age_s
        if known is None:
            fingerprints = _bounded(record.fingerprints)
            cleared = record.cleared & fingerprints
            self._crash_by_id[record.crash_id] = _Crash(fingerprints, cleared, happened_s)
            return True
        fingerprints = _bounded(known.fingerprints | record.fingerprints)
        cleared = (known.cleared | record.cleared) & fingerprints
        # The time on the way is not part of the age, so the oldest estimate is the best one.
        known.happened_s = min(known.happened_s, happened_s)
        changed = (fingerprints, cleared) != (known.fingerprints, known.cleared)
        known.fingerprints, known.cleared = fingerprints, cleared
        return changed

    def _forget(self, now_s: float) -> None:
        if now_s < self._next_forget_s:
            return
        self._next_forget_s = now_s + FORGET_INTERVAL_S
        limit_s = now_s - self._record_age_s
        old = [i for i, crash in self._crash_by_id.items() if crash.happened_s <= limit_s]
        for crash_id in old:
            del self._crash_by_id[crash_id]
        if old:
            self._count_by_fingerprint = None

    def _counts(self, now_s: float) -> dict[ids.Fingerprint, int]:
        self._forget(now_s)
        if self._count_by_fingerprint is None:
            accused = [crash.fingerprints - crash.cleared for crash in self._crash_by_id.values()]
            self._count_by_fingerprint = _count(accused)
        return self._count_by_fingerprint


def new_quarantine(
    records_limit: int = RECORDS_LIMIT, record_age_s: float = RECORD_AGE_S
) -> Quarantine:
    """Make an empty quarantine.

    Args:
        records_limit: Crashes kept.
        record_age_s: Age at which a crash is forgotten, in seconds.

    Returns:
        The quarantine.
    """
    return Quarantine(records_limit, record_age_s)


def _bounded(fingerprints: frozenset[ids.Fingerprint]) -> frozenset[ids.Fingerprint]:
    if len(fingerprints) <= FINGERPRINTS_LIMIT:
        return fingerprints
    # Any fixed order does: all processes must keep the same ones.
    return frozenset(sorted(fingerprints)[:FINGERPRINTS_LIMIT])


def _count(accused: list[frozenset[ids.Fingerprint]]) -> dict[ids.Fingerprint, int]:
    """Hold each crash against those who were in the most crashes.

    >>> _count([frozenset("px"), frozenset("py")]) == {"p": 2}
    True
    >>> _count([frozenset("px")]) == {"p": 1, "x": 1}
    True
    """
    count_by_fingerprint: dict[ids.Fingerprint, int] = {}
    left = accused
    while left:
        counts: collections.Counter[ids.Fingerprint] = collections.Counter()
        for crash in left:
            counts.update(crash)
        highest = max(counts.values(), default=0)
        at_fault: set[ids.Fingerprint] = set()
        if highest >= CRASHES_TO_REFUSE:
            at_fault = _at_fault(left, {f for f, count in counts.items() if count == highest})
        if not at_fault:
            return count_by_fingerprint | dict.fromkeys(counts, 1)
        count_by_fingerprint |= dict.fromkeys(at_fault, highest)
        left = [crash for crash in left if not crash & at_fault]
    return count_by_fingerprint


def _at_fault(
    left: list[frozenset[ids.Fingerprint]], most: set[ids.Fingerprint]
) -> set[ids.Fingerprint]:
    crashes_by_fingerprint: dict[ids.Fingerprint, list[int]] = {f: [] for f in most}
    for index, crash in enumerate(left):
        for fingerprint in crash & most:
            crashes_by_fingerprint[fingerprint].append(index)
    count_by_crashes = collections.Counter(map(tuple, crashes_by_fingerprint.values()))
    told_apart = {
        fingerprint
        for fingerprint, crashes in crashes_by_fingerprint.items()
        if count_by_crashes[tuple(crashes)] == 1 or len(crashes) >= CRASHES_TO_REFUSE_TOGETHER
    }
    # Of equals, one that crashed a server with no other suspect on it is at fault.
    alone = {fingerprint for crash in left if len(crash) == 1 for fingerprint in crash}
    return told_apart & alone or told_apart
