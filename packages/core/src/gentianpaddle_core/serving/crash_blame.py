"""Distributes the blame for crashes among the parts of prompts that may have caused them."""

from __future__ import annotations

import bisect
import dataclasses
from collections.abc import Sequence

from gentianpaddle_core.serving import crash_records

MASS_CRASH_S = 0.3
MASS_CRASH_SERVERS = 3
"""Number of servers that crash within `MASS_CRASH_S` from which a common cause, such as a loss of
power, is assumed, unless an answer was about to begin."""

CERTAIN_BLAME = 1.0
"""Blame of a part that alone can have caused a crash."""

UNCONFIRMED_WEIGHT = 0.25
"""Blame for a crash as long as only lost connections speak for it, relative to a confirmed one.
Servers also lose or spoil single answers without a crash."""

WAITING_WEIGHT = 0.5
"""Blame for a crash at which no answer was about to begin, shared among all parts that waited."""


@dataclasses.dataclass(slots=True)
class PartBlame:
    """What speaks against one part of prompts."""

    blame: float = 0.0
    crashes: int = 0
    """Number of crashes for which it is blamed."""
    last_crash_s: float = 0.0
    """Monotonic time in seconds of the last of them."""


def distribute(crashes: Sequence[crash_records.Crash]) -> dict[crash_records.Cause, PartBlame]:
    """Distribute the blame for crashes.

    Args:
        crashes: The crashes, oldest first.

    Returns:
        The blame by part, for parts that are suspects of at least one crash.
    """
    blame_by_part: dict[crash_records.Cause, PartBlame] = {}
    times_s = [crash.crashed_s for crash in crashes]
    for crash in crashes:
        suspects = crash.starting - crash.innocent
        weight = CERTAIN_BLAME
        if not suspects and not _is_mass_crash(crash, crashes, times_s):
            suspects = crash.waiting - crash.innocent
            weight = WAITING_WEIGHT
        if not crash.confirmed:
            weight *= UNCONFIRMED_WEIGHT
        for part in suspects:
            found = blame_by_part.setdefault(part, PartBlame())
            found.blame += weight / len(suspects)
            found.crashes += 1
            found.last_crash_s = crash.crashed_s
    return blame_by_part


def _is_mass_crash(
    crash: crash_records.Crash, crashes: Sequence[crash_records.Crash], times_s: Sequence[float]
) -> bool:
    first = bisect.bisect_right(times_s, crash.crashed_s - MASS_CRASH_S)
    end = bisect.bisect_left(times_s, crash.crashed_s + MASS_CRASH_S)
    return len({other.server for other in crashes[first:end]}) >= MASS_CRASH_SERVERS
