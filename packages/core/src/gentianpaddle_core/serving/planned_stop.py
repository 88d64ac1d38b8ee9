"""Decides which requests a front still takes during its planned stop, and when their work ends.

Load pattern: the platform ends the process a fixed time after it has asked it to stop. Callers that
know the front from an older answer of the directory, or that have an open connection to it, send
requests until the end. A long one that is taken late would be cut when the process ends.

At first all requests are taken, since most end in time and callers need time to learn of the stop.
Later a request is only taken if its deadline passes before the end. The others are refused at once,
so that their callers can go to another front.
"""

from __future__ import annotations

import dataclasses
import enum

TAKE_ALL_S = 2.8
"""Time after the signal for which all requests are taken. The platform expects that requests sent
3 s after it or later are not cut; a busy process notices the signal slightly late."""

TAKE_ALL_RATIO = 0.5
"""Maximum share of the time until the end of the work for which all requests are taken, for
platforms that wait only a short time for a process to stop."""

ANSWER_MARGIN_S = 0.9
"""Time between the end of the work and the time at which the platform kills the process. Requests
in progress get their final answers in this time."""


class Admission(enum.Enum):
    """Which requests are taken."""

    ALL = "all"
    SHORT = "short"
    """Those whose deadline passes before the end of the work."""
    NONE = "none"


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedStop:
    """Times of a planned stop; all are monotonic, in seconds."""

    take_all_until_s: float
    """Time until which all requests are taken."""
    work_ends_s: float
    """Time at which servers are given up and requests get their final answers."""

    def admission(self, now_s: float) -> Admission:
        """Return which requests are taken at a time.

        Args:
            now_s: Monotonic time in seconds.
        """
        if now_s < self.take_all_until_s:
            return Admission.ALL
        return Admission.SHORT if now_s < self.work_ends_s else Admission.NONE

    def takes(self, now_s: float, expires_at_s: float) -> bool:
        """Return whether a request that has just been read is taken.

        Args:
            now_s: Monotonic time in seconds.
            expires_at_s: Monotonic time in seconds at which the request expires.
        """
        admission = self.admission(now_s)
        return admission is Admission.ALL or (
            admission is Admission.SHORT and expires_at_s <= self.work_ends_s
        )


def new_planned_stop(now_s: float, grace_s: float) -> PlannedStop:
    """Plan the stop of a process that has just been asked to stop.

    Args:
        now_s: Monotonic time in seconds.
        grace_s: Time after which the platform kills the process, in seconds.

    Returns:
        The plan.
    """
    work_s = max(0.0, grace_s - ANSWER_MARGIN_S)
    return PlannedStop(now_s + min(TAKE_ALL_S, TAKE_ALL_RATIO * work_s), now_s + work_s)
