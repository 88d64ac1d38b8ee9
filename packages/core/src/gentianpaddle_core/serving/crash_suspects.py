"""Finds out which requests crash backend servers, and holds them back.

A server may crash when it begins to answer a request with a certain part of a prompt, whatever else
the request holds, or a certain request each time it is sent. When a server crashes, the cause is
among the requests whose answer had not begun, and most likely one whose answer was just about to
begin. What is part of an answer that began is innocent. Often one part is left after one crash.

Each crash is one record. Records are exchanged between the processes, as each of them sees only its
own requests, and merging them in any order and any number of times gives the same state.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Collection, Iterable

from gentianpaddle_core import ids
from gentianpaddle_core.serving import crash_records, silence

RECORD_AGE_S = 3_600.0
"""Time for which a crash is remembered; much longer than the intervals between trials."""

INNOCENCE_AGE_S = 60.0
"""Time before a crash for which an answer that began proves its parts innocent of the crash."""

SAME_CRASH_S = 2.0
"""Maximum time between the observations of one crash. A server needs longer to restart."""

STALL_EVIDENCE_S = 1.0
"""Time after which a lost request proves no crash of its own server if nothing else has made
progress. When a rank crashes, all ranks of its group stall for about 1.5 s and then break off."""

MASS_CRASH_S = 0.3
MASS_CRASH_SERVERS = 3
"""Number of servers that crash within `MASS_CRASH_S` from which a common cause, such as a loss of
power, is assumed, unless an answer was about to begin."""

UNCONFIRMED_WEIGHT = 0.25
"""Blame for a crash as long as only lost connections speak for it, relative to a confirmed one.
Servers also lose or spoil single answers without a crash."""

CONFIRMATION_S = 4.0
"""Maximum time between a crash of a rank and the reports that its group is closed."""

WAITING_WEIGHT = 0.5
"""Blame for a crash at which no answer was about to begin, shared among all parts that waited."""

MIN_HELD_BLAME = 0.25
"""Blame from which a part is held."""

CERTAIN_BLAME = 1.0
"""Blame of a part that alone can have caused a crash."""

CRASHES_OF_FINGERPRINT = 3
"""Number of crashes after which a repeated request is held. Answers are also lost without a crash,
so fewer prove nothing."""

UNCERTAIN_TRIAL_INTERVAL_S = 2.0
"""Interval between trials of a part that is one of several suspects, or of an unconfirmed crash.
Longer than the stall of a group after a crash, so that the crash is confirmed before."""

CERTAIN_TRIAL_INTERVAL_S = 30.0
"""Time until the first trial of a part with `CERTAIN_BLAME`; it doubles with each further crash. A
trial that crashes a rank costs its group about 4 s."""

MAX_RECORDS = 64
"""Maximum number of crashes that are remembered."""

MAX_INNOCENT = 8_192
"""Maximum number of causes whose last answer is remembered."""


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """A request that may not be sent now."""

    cause: crash_records.Cause
    """The cause with the most blame."""
    blame: float
    crashes: int
    """Number of crashes at which the cause was present."""
    wait_s: float
    """Time in seconds until the next trial of the cause."""


class CrashSuspects:
    """Crashes known to one process, and what may have caused them."""

    def __init__(self) -> None:
        self._crashes: list[crash_records.Crash] = []
        self._answered_s_by_cause: collections.OrderedDict[crash_records.Cause, float] = (
            collections.OrderedDict()
        )
        self._unproven: set[crash_records.Cause] = set()
        """Causes of all crashes that were not part of an answer that began."""
        self._blame_by_part: dict[crash_records.Cause, float] = {}
        self._crashes_by_cause: dict[crash_records.Cause, int] = {}
        self._last_crash_s_by_cause: dict[crash_records.Cause, float] = {}
        self._trial_s_by_cause: dict[crash_records.Cause, float] = {}

    def record_answer(self, causes: crash_records.RequestCauses, now_s: float) -> bool:
        """Record that the answer to a request has begun, which proves it innocent.

        Args:
            causes: What the request holds.
            now_s: Monotonic time in seconds.

        Returns:
            Whether a suspect was cleared, so that the other processes should learn of it.
        """
        for cause in causes:
            self._answered_s_by_cause[cause] = now_s
            self._answered_s_by_cause.move_to_end(cause)
        while len(self._answered_s_by_cause) > MAX_INNOCENT:
            self._answered_s_by_cause.popitem(last=False)
        return self._clear(list(causes), now_s)

    def _clear(self, causes: Collection[crash_records.Cause], now_s: float) -> bool:
        if self._unproven.isdisjoint(causes):
            return False
        changed = False
        for crash in self._crashes:
            for cause in causes:
                if cause in crash.causes() and cause not in crash.innocent:
                    crash.innocent.add(cause)
                    changed = True
        if changed:
            self._update(now_s)
        return changed

    def merge(self, crashes: Iterable[crash_records.Crash], now_s: float) -> bool:
        """Record crashes that this or another process has observed.

        Args:
            crashes: The crashes, new or known.
            now_s: Monotonic time in seconds.

        Returns:
            Whether something was new.
        """
        changed = False
        for crash in crashes:
            if now_s - crash.crashed_s > RECORD_AGE_S:
                continue
            known = self.find(crash)
            if known is None:
                known = crash_records.Crash(crash.server, crash.crashed_s)
                self._crashes.append(known)
            if known.add(crash):
                changed = True
                for cause in known.causes():
                    answered_s = self._answered_s_by_cause.get(cause)
                    if answered_s is not None and answered_s > crash.crashed_s - INNOCENCE_AGE_S:
                        known.innocent.add(cause)
        if changed:
            self._update(now_s)
        return changed

    def confirm(self, now_s: float) -> bool:
        """Record that a group of engines is reported closed, which confirms recent crashes.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            Whether a crash was confirmed.
        """
        unconfirmed = [
            crash
            for crash in self._crashes
            if not crash.confirmed and crash.has_parts and now_s - crash.crashed_s < CONFIRMATION_S
        ]
        for crash in unconfirmed:
            crash.confirmed = True
        if unconfirmed:
            self._update(now_s)
        return bool(unconfirmed)

    def held_parts(self) -> dict[crash_records.Cause, float]:
        """Return the blame of each part that is held."""
        return {
            part: blame for part, blame in self._blame_by_part.items() if blame >= MIN_HELD_BLAME
        }

    def find(self, crash: crash_records.Crash) -> crash_records.Crash | None:
        """Return the record of a crash that this process has, or None.

        Args:
            crash: The crash, as observed by any process.
        """
        for known in self._crashes:
            if (
                known.server == crash.server
                and abs(known.crashed_s - crash.crashed_s) < SAME_CRASH_S
            ):
                return known
        return None

    def crashes(self, now_s: float) -> list[crash_records.Crash]:
        """Return the crashes that are remembered, oldest first.

        Args:
            now_s: Monotonic time in seconds.
        """
        if any(now_s - crash.crashed_s > RECORD_AGE_S for crash in self._crashes):
            self._update(now_s)
        return self._crashes

    def _update(self, now_s: float) -> None:
        """Distribute the blame for all crashes anew."""
        self._crashes = [
            crash for crash in self._crashes if now_s - crash.crashed_s <= RECORD_AGE_S
        ]
        excess = len(self._crashes) - MAX_RECORDS
        if excess > 0:
            by_value = sorted(self._crashes, key=lambda crash: (crash.has_parts, crash.crashed_s))
            dropped = {id(crash) for crash in by_value[:excess]}
            self._crashes = [crash for crash in self._crashes if id(crash) not in dropped]
        blame_by_part: dict[crash_records.Cause, float] = collections.defaultdict(float)
        crashes_by_cause: dict[crash_records.Cause, int] = collections.defaultdict(int)
        last_crash_s_by_cause: dict[crash_records.Cause, float] = {}
        for crash in self._crashes:
            starting = crash.starting - crash.innocent
            suspects = starting
            weight = CERTAIN_BLAME
            if not starting and not self._is_mass_crash(crash):
                suspects = crash.waiting - crash.innocent
                weight = WAITING_WEIGHT
            if not crash.confirmed:
                weight *= UNCONFIRMED_WEIGHT
            for part in suspects:
                blame_by_part[part] += weight / len(suspects)
            for cause in {*suspects, *(crash.fingerprints - crash.innocent)}:
                crashes_by_cause[cause] += 1
                last_crash_s_by_cause[cause] = max(
                    crash.crashed_s, last_crash_s_by_cause.get(cause, crash.crashed_s)
                )
        self._unproven = set()
        for crash in self._crashes:
            self._unproven |= crash.causes() - crash.innocent
        self._blame_by_part = dict(blame_by_part)
        self._crashes_by_cause = dict(crashes_by_cause)
        self._last_crash_s_by_cause = last_crash_s_by_cause
        self._trial_s_by_cause = {
            cause: trial_s
            for cause, trial_s in self._trial_s_by_cause.items()
            if cause in crashes_by_cause
        }

    def _is_mass_crash(self, crash: crash_records.Crash) -> bool:
        near = {
            other.server
            for other in self._crashes
            if abs(other.crashed_s - crash.crashed_s) < MASS_CRASH_S
        }
        return len(near) >= MASS_CRASH_SERVERS

    def held(self, causes: crash_records.RequestCauses, now_s: float) -> Held | None:
        """Return why a request may not be sent now, or None if it may.

        Args:
            causes: What the request holds.
            now_s: Monotonic time in seconds.
        """
        if not self._crashes_by_cause:
            return None
        suspects = self._suspects(causes)
        if not suspects:
            return None
        blame = sum(suspects.values())
        wait_s = max(self._next_trial_s(cause, blame) for cause in suspects) - now_s
        if wait_s <= 0.0:
            return None
        worst = max(suspects, key=lambda cause: suspects[cause])
        return Held(worst, blame, self._crashes_by_cause[worst], wait_s)

    def _suspects(self, causes: crash_records.RequestCauses) -> dict[crash_records.Cause, float]:
        """Return the blame of the causes of a request that are held."""
        blame_by_cause: dict[crash_records.Cause, float] = {
            part: self._blame_by_part[part]
            for part in causes.parts
            if self._blame_by_part.get(part, 0.0) >= MIN_HELD_BLAME
        }
        if self._crashes_by_cause.get(causes.fingerprint, 0) >= CRASHES_OF_FINGERPRINT:
            blame_by_cause[causes.fingerprint] = CERTAIN_BLAME
        return blame_by_cause

    def _next_trial_s(self, cause: crash_records.Cause, blame: float) -> float:
        last_s = max(
            self._last_crash_s_by_cause[cause], self._trial_s_by_cause.get(cause, -RECORD_AGE_S)
        )
        if blame < CERTAIN_BLAME:
            return last_s + UNCERTAIN_TRIAL_INTERVAL_S
        crashes: int = self._crashes_by_cause[cause]
        return last_s + float(CERTAIN_TRIAL_INTERVAL_S * 2 ** (crashes - 1))

    def start_trial(
        self, causes: crash_records.RequestCauses, now_s: float
    ) -> list[crash_records.Cause]:
        """Record that a request is sent, which delays other trials of the suspects that it holds.

        Args:
            causes: What the request holds.
            now_s: Monotonic time in seconds.

        Returns:
            The suspects; none for most requests.
        """
        if not self._crashes_by_cause:
            return []
        suspects = list(self._suspects(causes))
        self.record_trial(suspects, now_s)
        return suspects

    def record_trial(self, suspects: Iterable[crash_records.Cause], now_s: float) -> None:
        """Record a trial of this or another process.

        Args:
            suspects: The suspects that it is a trial of.
            now_s: Monotonic time in seconds.
        """
        for cause in suspects:
            if cause in self._crashes_by_cause:
                self._trial_s_by_cause[cause] = now_s


def proves_crash(
    progress: silence.ServiceProgress,
    server: ids.BackendServerId,
    sent_s: float,
    now_s: float,
) -> bool:
    """Return whether a request whose connection the server has closed proves a crash of the server.

    Args:
        progress: Progress of the requests to the service.
        server: The server.
        sent_s: Monotonic time in seconds at which the request was sent.
        now_s: Monotonic time in seconds.
    """
    if now_s - sent_s < STALL_EVIDENCE_S:
        return True
    return progress.ticks_of_others(server, now_s - STALL_EVIDENCE_S, now_s) > 0
