"""Tells from an engine's reports that its group has stopped making passes.

Load pattern: a rank is cut off, or the process that holds a pass has stopped, while requests
arrive. Engines still accept them, but none of them begins. Callers wait until they lose patience
and get an answer that does not say whether their requests ran. Fronts that know of the stall keep
the requests in their queues, send them when the group goes on, and refuse the others with a true
"not run".
"""

from __future__ import annotations

from gentianpaddle_core.serving import engine_state

MIN_STALL_S = 0.4
"""Minimum time without a new pass for a stall. Passes take 0.05 to 0.15 s, a change of the expert
map holds one for about 0.1 s, and reports come every 0.1 s."""

USUAL_PASSES = 4.0
"""Minimum time without a new pass for a stall, in usual passes; one slow rank makes all passes ten
times as long without stopping them."""

INITIAL_PASS_S = 0.2
"""Usual duration of a pass that is assumed before the first one was seen."""

PASS_WEIGHT = 0.2
"""Weight of the newest duration in the moving average of the duration of passes."""


class GroupStall:
    """Progress of the group of one engine, as its reports show it."""

    def __init__(self) -> None:
        self._epoch = 0
        self._last_pass = 0
        self._began_s: float | None = None
        self._usual_s = INITIAL_PASS_S

    def record(self, report: engine_state.EngineReport, now_s: float) -> bool:
        """Record a report and return whether the group has stopped making passes.

        Args:
            report: Report of an engine of the group.
            now_s: Monotonic time in seconds.
        """
        has_work = report.running + report.queued > 0
        same_epoch = report.epoch == self._epoch
        if not has_work or not same_epoch or report.last_pass < self._last_pass:
            # Idle groups make no passes, and a group that forms again starts to count anew.
            self._epoch, self._last_pass = report.epoch, report.last_pass
            self._began_s = now_s if has_work else None
            return False
        if self._began_s is None:
            self._last_pass, self._began_s = report.last_pass, now_s
            return False
        elapsed_s = now_s - self._began_s
        if report.last_pass > self._last_pass:
            duration_s = elapsed_s / (report.last_pass - self._last_pass)
            self._usual_s += PASS_WEIGHT * (duration_s - self._usual_s)
            self._last_pass, self._began_s = report.last_pass, now_s
            return False
        return elapsed_s > max(MIN_STALL_S, USUAL_PASSES * self._usual_s)
