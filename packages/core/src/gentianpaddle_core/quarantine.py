"""Detection, isolation and refusal of requests that crash backend servers.

Every crash is one record with the fingerprints that were in progress and those cleared since. Until
the record expires, both sets only grow, up to a limit, so that merging records in any order and any
number of times gives the same state. A fingerprint is suspect while one crash can be attributed to
it, and refused when two can be. Fingerprints that were in progress in exactly the same crashes are
indistinguishable. They stay suspects, which run on separate servers, until a third crash. Once one
fingerprint of a crash is refused for more crashes than the others have, the crash is attributed to
it alone. A request that was merely in progress at the same time is thus cleared without another
run; a completed run clears it as well.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import typing
from collections.abc import Collection, Iterable

from gentianpaddle_core import ids, outcomes

RECORD_AGE_S = 3_600.0
"""Age, in seconds, at which a crash record expires."""
RECORDS_LIMIT = 128
"""Largest number of crash records kept; the oldest are removed first."""
FINGERPRINTS_LIMIT = 128
"""Largest number of fingerprints kept per crash; a replica runs about 25 requests at the design
size."""
EXPIRY_INTERVAL_S = 1.0
"""Minimum time, in seconds, between two searches for expired records. Without it every decision
would search."""
CRASHES_TO_REFUSE = 2
CRASHES_TO_REFUSE_INDISTINGUISHABLE = 3
"""Number of crashes after which indistinguishable requests are refused."""
REFUSED_CODE = "request_crashes_servers"
REFUSED_HTTP_STATUS = 422


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRecord:
    """Record of one crash, as exchanged between processes."""

    crash_id: str
    """Identifier of the crash, the same at all observers: VM, incarnation and count."""
    fingerprints: frozenset[ids.Fingerprint]
    """Fingerprints of the requests that were in progress."""
    cleared: frozenset[ids.Fingerprint]
    """Fingerprints among them that have completed a run since."""
    age_s: float
    """Age of the crash in seconds when the record was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Allow:
    """Decision that the request may run on any backend server."""


@dataclasses.dataclass(frozen=True, slots=True)
class AllowIsolated:
    """Decision that the request may run only where no other suspect runs."""


class WaitReason(enum.StrEnum):
    """Reason why a request may not start on this backend server now."""

    SUSPECT_RUNNING = "suspect_running"
    COPY_RUNNING = "copy_running"


@dataclasses.dataclass(frozen=True, slots=True)
class Decline:
    """Decision that the request may not start here now; it may start elsewhere or later."""

    reason: WaitReason
    """Reason for the decline."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Decision that the request must not run on any backend server."""

    crashes: int
    """Number of crashes attributed to the request."""

    def outcome(self) -> outcomes.Refused:
        """Return the outcome for the caller."""
        return outcomes.Refused(
            REFUSED_CODE,
            f"{self.crashes} backend servers crashed while they ran this request",
            REFUSED_HTTP_STATUS,
        )


Decision: typing.TypeAlias = Allow | AllowIsolated | Refuse
"""Decision on where a request may run."""


@dataclasses.dataclass(slots=True)
class _Crash:
    fingerprints: frozenset[ids.Fingerprint]
    cleared: frozenset[ids.Fingerprint]
    happened_s: float


class Quarantine:
    """Crash records known to one process; each entry and each agent has one instance."""

    def __init__(self, records_limit: int, record_age_s: float) -> None:
        self._records_limit = records_limit
        self._record_age_s = record_age_s
        self._crash_by_id: dict[str, _Crash] = {}
        self._count_by_fingerprint: dict[ids.Fingerprint, int] | None = None
        self._next_expiry_s = -float("inf")

    def decide(self, fingerprint: ids.Fingerprint, now_s: float) -> Decision:
        """Decide where a request may run.

        Args:
            fingerprint: Fingerprint of the request.
            now_s: Monotonic time in seconds.

        Returns:
            The decision based on the records of this process; agents decide again in `admit`.
        """
        count = self._crash_counts(now_s).get(fingerprint, 0)
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
            running: Fingerprints of the requests that run on that server.
            now_s: Monotonic time in seconds.

        Returns:
            `Allow` or `AllowIsolated` if it may start, `Decline` if it may not start on this server
            now, `Refuse` if it may not run on any.
        """
        decision = self.decide(fingerprint, now_s)
        if isinstance(decision, Refuse):
            return decision
        if fingerprint in running:
            return Decline(WaitReason.COPY_RUNNING)
        if isinstance(decision, AllowIsolated):
            counts = self._crash_counts(now_s)
            if any(other in counts for other in running):
                return Decline(WaitReason.SUSPECT_RUNNING)
        return decision

    def record_crash(
        self, crash_id: str, in_progress: Iterable[ids.Fingerprint], now_s: float
    ) -> CrashRecord:
        """Record a crash.

        Args:
            crash_id: Identifier of the crash, the same at all observers.
            in_progress: Fingerprints of the requests that were running on the server.
            now_s: Monotonic time in seconds.

        Returns:
            The record to send to other processes.
        """
        record = CrashRecord(crash_id, frozenset(in_progress), frozenset(), 0.0)
        self.merge((record,), now_s)
        return record

    def record_completion(self, fingerprint: ids.Fingerprint, now_s: float) -> bool:
        """Clear a completed request of the crashes known so far.

        Args:
            fingerprint: Fingerprint of the request.
            now_s: Monotonic time in seconds.

        Returns:
            Whether a record changed, so that the records should be sent to other processes.
        """
        self._expire(now_s)
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
            limit: Largest number of records to return.

        Returns:
            The records, newest first.
        """
        self._expire(now_s)
        newest = sorted(self._crash_by_id.items(), key=lambda item: (-item[1].happened_s, item[0]))
        return tuple(
            CrashRecord(crash_id, crash.fingerprints, crash.cleared, now_s - crash.happened_s)
            for crash_id, crash in newest[:limit]
        )

    def merge(self, records: Iterable[CrashRecord], now_s: float) -> bool:
        """Merge records from another process.

        Args:
            records: New or known records in any order.
            now_s: Monotonic time in seconds.

        Returns:
            Whether a record changed, so that the records should be passed on.
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
            fingerprints = _truncate(record.fingerprints)
            cleared = record.cleared & fingerprints
            self._crash_by_id[record.crash_id] = _Crash(fingerprints, cleared, happened_s)
            return True
        fingerprints = _truncate(known.fingerprints | record.fingerprints)
        cleared = (known.cleared | record.cleared) & fingerprints
        # The age does not include the transfer time, so the earliest estimate is the most accurate.
        known.happened_s = min(known.happened_s, happened_s)
        changed = (fingerprints, cleared) != (known.fingerprints, known.cleared)
        known.fingerprints, known.cleared = fingerprints, cleared
        return changed

    def _expire(self, now_s: float) -> None:
        if now_s < self._next_expiry_s:
            return
        self._next_expiry_s = now_s + EXPIRY_INTERVAL_S
        newest_expired_s = now_s - self._record_age_s
        expired = [
            i for i, crash in self._crash_by_id.items() if crash.happened_s <= newest_expired_s
        ]
        for crash_id in expired:
            del self._crash_by_id[crash_id]
        if expired:
            self._count_by_fingerprint = None

    def _crash_counts(self, now_s: float) -> dict[ids.Fingerprint, int]:
        self._expire(now_s)
        if self._count_by_fingerprint is None:
            uncleared_by_crash = [
                crash.fingerprints - crash.cleared for crash in self._crash_by_id.values()
            ]
            self._count_by_fingerprint = _count_attributed(uncleared_by_crash)
        return self._count_by_fingerprint


def new_quarantine(
    records_limit: int = RECORDS_LIMIT, record_age_s: float = RECORD_AGE_S
) -> Quarantine:
    """Create an empty quarantine.

    Args:
        records_limit: Largest number of crash records kept.
        record_age_s: Age at which a crash record expires, in seconds.

    Returns:
        The quarantine.
    """
    return Quarantine(records_limit, record_age_s)


def _truncate(fingerprints: frozenset[ids.Fingerprint]) -> frozenset[ids.Fingerprint]:
    if len(fingerprints) <= FINGERPRINTS_LIMIT:
        return fingerprints
    # The order is arbitrary but must be the same in all processes, which keep the same subset.
    return frozenset(sorted(fingerprints)[:FINGERPRINTS_LIMIT])


def _count_attributed(
    uncleared_by_crash: list[frozenset[ids.Fingerprint]],
) -> dict[ids.Fingerprint, int]:
    """Return the number of crashes attributed to each fingerprint.

    A crash is attributed to its fingerprints with the most crashes, and then no longer counts for
    its other fingerprints. While those with the most crashes are indistinguishable or have fewer
    than `CRASHES_TO_REFUSE`, every fingerprint of the remaining crashes counts 1.

    >>> _count_attributed([frozenset("px"), frozenset("py")]) == {"p": 2}
    True
    >>> _count_attributed([frozenset("px")]) == {"p": 1, "x": 1}
    True
    """
    count_by_fingerprint: dict[ids.Fingerprint, int] = {}
    unattributed = uncleared_by_crash
    while unattributed:
        counts: collections.Counter[ids.Fingerprint] = collections.Counter()
        for crash in unattributed:
            counts.update(crash)
        highest = max(counts.values(), default=0)
        attributed: set[ids.Fingerprint] = set()
        if highest >= CRASHES_TO_REFUSE:
            attributed = _attributable(
                unattributed, {f for f, count in counts.items() if count == highest}
            )
        if not attributed:
            return count_by_fingerprint | dict.fromkeys(counts, 1)
        count_by_fingerprint |= dict.fromkeys(attributed, highest)
        unattributed = [crash for crash in unattributed if not crash & attributed]
    return count_by_fingerprint


def _attributable(
    unattributed: list[frozenset[ids.Fingerprint]], most_frequent: set[ids.Fingerprint]
) -> set[ids.Fingerprint]:
    """Return those of the most frequent fingerprints to which their crashes can be attributed."""
    crashes_by_fingerprint: dict[ids.Fingerprint, list[int]] = {f: [] for f in most_frequent}
    for index, crash in enumerate(unattributed):
        for fingerprint in crash & most_frequent:
            crashes_by_fingerprint[fingerprint].append(index)
    count_by_crash_set = collections.Counter(map(tuple, crashes_by_fingerprint.values()))
    distinguishable = {
        fingerprint
        for fingerprint, crashes in crashes_by_fingerprint.items()
        if count_by_crash_set[tuple(crashes)] == 1
        or len(crashes) >= CRASHES_TO_REFUSE_INDISTINGUISHABLE
    }
    # Among equal counts, a fingerprint that crashed a server without another suspect is preferred.
    crashed_alone = {
        fingerprint for crash in unattributed if len(crash) == 1 for fingerprint in crash
    }
    return distinguishable & crashed_alone or distinguishable
