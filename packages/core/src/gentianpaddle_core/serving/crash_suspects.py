"""Finds out which requests crash backend servers, and holds them back.

A server may crash when it begins to answer a request with a certain part of a prompt, whatever else
the request holds, or a certain request each time it is sent. When a server crashes, the cause is
among the requests whose answer had not begun, and most likely one whose answer was just about to
begin. What is part of an answer that began is innocent. Often one part is left after one crash.

Each crash is one record, but the crashes of single requests are counted apart (`request_crashes`),
as many answers can be lost between two copies of a request. Records are exchanged between the
processes, as each of them sees only its own requests, and merging them in any order and any number
of times gives the same state.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Iterable

from gentianpaddle_core import ids
from gentianpaddle_core.serving import crash_blame, crash_records, request_crashes, silence

RECORD_AGE_S = 3_600.0
"""Time for which a crash is remembered; much longer than the intervals between trials."""

INNOCENCE_AGE_S = 60.0
"""Time before a crash for which an answer that began proves its parts innocent of the crash."""

STALL_EVIDENCE_S = 1.0
"""Time after which a lost request proves no crash of its own server if nothing else has made
progress. When a rank crashes, all ranks of its group stall for about 1.5 s and then break off."""

CONFIRMATION_S = 4.0
"""Maximum time between a crash of a rank and the reports that its group is closed."""

MIN_HELD_BLAME = 0.25
"""Blame from which a part is held."""

CRASHES_OF_FINGERPRINT = 3
"""Number of crashes after which a repeated request is held. Answers are also lost without a crash,
so fewer prove nothing."""

UNCERTAIN_TRIAL_INTERVAL_S = 2.0
"""Interval between trials of a part that is one of several suspects, or of an unconfirmed crash.
Longer than the stall of a group after a crash, so that the crash is confirmed before."""

CERTAIN_TRIAL_INTERVAL_S = 30.0
"""Time until the first trial of a part with certain blame; it doubles with each further crash. A
trial that crashes a rank costs its group about 4 s."""

MAX_RECORDS = 64
"""Maximum number of crashes that are remembered with parts of prompts, and of those without."""

MAX_TOLD_CRASHES = 8
"""Maximum number of crashes with held parts of which processes that have restarted are told."""

MAX_TOLD_REQUESTS = 8
"""Maximum number of held requests of which processes that have restarted are told."""

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
        self._requests = request_crashes.RequestCrashes(RECORD_AGE_S)
        self._forgotten_until_s = -math.inf
        """Time of the last crash without parts of prompts that has been forgotten."""
        self._answered_s_by_cause: collections.OrderedDict[crash_records.Cause, float] = (
            collections.OrderedDict()
        )
        self._unproven: set[crash_records.Cause] = set()
        """Causes of all crashes that were not part of an answer that began."""
        self._blame_by_part: dict[crash_records.Cause, crash_blame.PartBlame] = {}
        self._trial_s_by_cause: dict[crash_records.Cause, float] = {}

    def record_answer(
        self, causes: crash_records.RequestCauses, now_s: float
    ) -> list[crash_records.Crash]:
        """Record that the answer to a request has begun, which proves it innocent.

        Args:
            causes: What the request holds.
            now_s: Monotonic time in seconds.

        Returns:
            Crashes of which something was a suspect until now, so that the other processes should
            learn of it; mostly none.
        """
        for cause in causes:
            self._answered_s_by_cause[cause] = now_s
            self._answered_s_by_cause.move_to_end(cause)
        while len(self._answered_s_by_cause) > MAX_INNOCENT:
            self._answered_s_by_cause.popitem(last=False)
        cleared = self._clear(causes, now_s)
        fingerprint = causes.fingerprint
        for presence in self._requests.remove(fingerprint):
            crash = crash_records.Crash(
                presence.server,
                presence.crashed_s,
                fingerprints={fingerprint},
                innocent={fingerprint},
            )
            if self.find(crash) is None:
                cleared.append(crash)
        return cleared

    def _clear(
        self, causes: crash_records.RequestCauses, now_s: float
    ) -> list[crash_records.Crash]:
        if self._unproven.isdisjoint(causes):
            return []
        changed = []
        for crash in self._crashes:
            cleared = crash.causes().intersection(causes) - crash.innocent
            if cleared:
                crash.innocent |= cleared
                changed.append(crash)
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
        changed = counted = False
        for crash in crashes:
            if now_s - crash.crashed_s > RECORD_AGE_S:
                continue
            counted = self._count_requests(crash) or counted
            known = self.find(crash)
            if known is None:
                if not crash.has_parts and crash.crashed_s <= self._forgotten_until_s:
                    continue
                known = crash_records.Crash(crash.server, crash.crashed_s)
                self._crashes.append(known)
            if known.add(crash):
                changed = True
                for cause in known.causes():
                    if self._was_answered(cause, crash.crashed_s):
                        known.innocent.add(cause)
        if changed:
            self._update(now_s)
        return changed or counted

    def _was_answered(self, cause: crash_records.Cause, crashed_s: float) -> bool:
        answered_s = self._answered_s_by_cause.get(cause)
        return answered_s is not None and answered_s > crashed_s - INNOCENCE_AGE_S

    def _count_requests(self, crash: crash_records.Crash) -> bool:
        """Count a crash for each request that it names, and return whether something was new."""
        changed = False
        presence = request_crashes.Presence(crash.server, crash.crashed_s)
        for fingerprint in crash.fingerprints:
            if fingerprint in crash.innocent:
                changed = bool(self._requests.remove(fingerprint)) or changed
            elif not self._was_answered(fingerprint, crash.crashed_s):
                changed = self._requests.add(fingerprint, presence) or changed
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
            part: found.blame
            for part, found in self._blame_by_part.items()
            if found.blame >= MIN_HELD_BLAME
        }

    def held_crashes(self, now_s: float) -> list[crash_records.Crash]:
        """Return the crashes because of which requests are held, for processes that restart.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            The last crashes of held parts of prompts, oldest first, and those of the requests that
            were lost last.
        """
        parts = self.held_parts().keys()
        crashes = [
            crash
            for crash in self.crashes(now_s)
            if not parts.isdisjoint(crash.starting | crash.waiting)
        ][-MAX_TOLD_CRASHES:]
        fingerprints = self._requests.lost_last(CRASHES_OF_FINGERPRINT, MAX_TOLD_REQUESTS, now_s)
        for fingerprint in fingerprints:
            crashes += (
                crash_records.Crash(item.server, item.crashed_s, fingerprints={fingerprint})
                for item in self._requests.crashes(fingerprint, now_s)[-CRASHES_OF_FINGERPRINT:]
            )
        return crashes

    def find(self, crash: crash_records.Crash) -> crash_records.Crash | None:
        """Return the record of a crash that this process has, or None.

        Args:
            crash: The crash, as observed by any process.
        """
        for known in self._crashes:
            if (
                known.server == crash.server
                and abs(known.crashed_s - crash.crashed_s) < crash_records.SAME_CRASH_S
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
        self._crashes = sorted(
            (crash for crash in self._crashes if now_s - crash.crashed_s <= RECORD_AGE_S),
            key=lambda crash: crash.crashed_s,
        )
        self._blame_by_part = crash_blame.distribute(self._crashes)
        if self._forget_excess():
            self._blame_by_part = crash_blame.distribute(self._crashes)
        self._unproven = set()
        for crash in self._crashes:
            self._unproven |= crash.causes() - crash.innocent
        self._trial_s_by_cause = {
            cause: trial_s
            for cause, trial_s in self._trial_s_by_cause.items()
            if self._is_known(cause, now_s)
        }

    def _forget_excess(self) -> bool:
        """Forget crashes above the limits, and return whether there were some.

        Of those with parts of prompts, the ones that matter least for what is held go first. Most
        of these are answers that were lost without a crash, with innocent parts only.
        """
        plain = [crash for crash in self._crashes if not crash.has_parts]
        forgotten = plain[: max(0, len(plain) - MAX_RECORDS)]
        if forgotten:
            self._forgotten_until_s = forgotten[-1].crashed_s
        with_parts = [crash for crash in self._crashes if crash.has_parts]
        if len(with_parts) > MAX_RECORDS:
            with_parts.sort(key=lambda crash: (self._highest_blame(crash), crash.crashed_s))
            forgotten += with_parts[:-MAX_RECORDS]
        forgotten_ids = {id(crash) for crash in forgotten}
        self._crashes = [crash for crash in self._crashes if id(crash) not in forgotten_ids]
        return bool(forgotten)

    def _highest_blame(self, crash: crash_records.Crash) -> float:
        suspects = (crash.starting | crash.waiting) - crash.innocent
        found = [self._blame_by_part[part] for part in suspects if part in self._blame_by_part]
        return max((item.blame for item in found), default=0.0)

    def held(self, causes: crash_records.RequestCauses, now_s: float) -> Held | None:
        """Return why a request may not be sent now, or None if it may.

        Args:
            causes: What the request holds.
            now_s: Monotonic time in seconds.
        """
        suspects = self._suspects(causes, now_s)
        if not suspects:
            return None
        blame = sum(suspects.values())
        wait_s = max(self._next_trial_s(cause, blame, now_s) for cause in suspects) - now_s
        if wait_s <= 0.0:
            return None
        worst = max(suspects, key=lambda cause: suspects[cause])
        return Held(worst, blame, self._history(worst, now_s)[0], wait_s)

    def _suspects(
        self, causes: crash_records.RequestCauses, now_s: float
    ) -> dict[crash_records.Cause, float]:
        """Return the blame of the causes of a request that are held."""
        blame_by_cause: dict[crash_records.Cause, float] = {}
        for part in causes.parts:
            found = self._blame_by_part.get(part)
            if found is not None and found.blame >= MIN_HELD_BLAME:
                blame_by_cause[part] = found.blame
        if len(self._requests.crashes(causes.fingerprint, now_s)) >= CRASHES_OF_FINGERPRINT:
            blame_by_cause[causes.fingerprint] = crash_blame.CERTAIN_BLAME
        return blame_by_cause

    def _history(self, cause: crash_records.Cause, now_s: float) -> tuple[int, float]:
        """Return the number of crashes that a cause is blamed for and the time of the last."""
        found = self._blame_by_part.get(cause)
        if found is not None:
            return found.crashes, found.last_crash_s
        crashes = self._requests.crashes(cause, now_s)
        return len(crashes), crashes[-1].crashed_s

    def _is_known(self, cause: crash_records.Cause, now_s: float) -> bool:
        return cause in self._blame_by_part or bool(self._requests.crashes(cause, now_s))

    def _next_trial_s(self, cause: crash_records.Cause, blame: float, now_s: float) -> float:
        crashes, last_crash_s = self._history(cause, now_s)
        last_s = max(last_crash_s, self._trial_s_by_cause.get(cause, -RECORD_AGE_S))
        if blame < crash_blame.CERTAIN_BLAME:
            return last_s + UNCERTAIN_TRIAL_INTERVAL_S
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
        suspects = list(self._suspects(causes, now_s))
        self.record_trial(suspects, now_s)
        return suspects

    def record_trial(self, suspects: Iterable[crash_records.Cause], now_s: float) -> None:
        """Record a trial of this or another process.

        Args:
            suspects: The suspects that it is a trial of.
            now_s: Monotonic time in seconds.
        """
        for cause in suspects:
            if self._is_known(cause, now_s):
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
