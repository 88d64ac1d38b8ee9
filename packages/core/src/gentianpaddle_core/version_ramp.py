"""Gradual shift of requests from one version of a model to the next.

The new version is loaded beside the old one and serves a growing share of the requests. Each step
waits until the servers for the next share are ready. If the new version fails, all requests go back
to the old one at once.
"""

from __future__ import annotations

import dataclasses
import math

from gentianpaddle_core import model_placement

TRAFFIC_SHARES = (0.05, 0.25, 0.5, 1.0)
"""Shares of the requests that the new version serves, in order. If servers are short, it serves the
share that its ready servers can carry, which frees servers of the old version for the next step."""

STEP_DURATION_S = 300.0
"""Minimum time at one share before the next step."""

OLD_VERSION_RETENTION_S = 1_800.0
"""Time for which the old version stays loaded after the new one serves all requests, so that a
roll-back needs no load."""


@dataclasses.dataclass(frozen=True, slots=True)
class RampStep:
    """State of a ramp after an evaluation."""

    share: float
    """Share of the requests that the new version serves, 0 to 1."""
    old_need: model_placement.Need
    """Servers required for the old version."""
    new_need: model_placement.Need
    """Servers required for the new version at the next share."""
    old_retired: bool
    """Whether the old version can be removed."""
    reason: str
    """Reason for the decision log."""


class VersionRamp:
    """Ramp of one model. After a failure it stays at the old version; a retry needs a new ramp."""

    def __init__(self, now_s: float) -> None:
        self._share = 0.0
        self._step_started_s = now_s
        self._failed = False

    def advance(
        self, now_s: float, need: model_placement.Need, new_ready: int, new_healthy: bool
    ) -> RampStep:
        """Evaluate the ramp and take the next step if it is due.

        Args:
            now_s: Monotonic time in seconds.
            need: Servers required for the model in total.
            new_ready: Number of servers with a role for the new version.
            new_healthy: Whether the new version meets its targets without errors.

        Returns:
            Share and required servers from now on.
        """
        total = need.total()
        if not new_healthy and self._share > 0.0:
            self._share, self._step_started_s, self._failed = 0.0, now_s, True
        step_is_due = now_s - self._step_started_s >= STEP_DURATION_S or self._share == 0.0
        reachable_share = min(_next_share(self._share), new_ready / total if total else 1.0)
        if self._failed:
            reason = "the new version failed; all requests go to the old one"
        elif step_is_due and new_healthy and reachable_share > self._share:
            self._share, self._step_started_s = reachable_share, now_s
            reason = f"new version goes to {self._share:.0%}"
        else:
            reason = f"new version at {self._share:.0%} with {new_ready} servers"
        return RampStep(
            share=self._share,
            old_need=scaled_need(need, 1.0 - self._share),
            new_need=scaled_need(need, 0.0 if self._failed else _next_share(self._share)),
            old_retired=self._share >= 1.0
            and now_s - self._step_started_s >= OLD_VERSION_RETENTION_S,
            reason=reason,
        )


def _next_share(share: float) -> float:
    return next(
        (traffic_share for traffic_share in TRAFFIC_SHARES if traffic_share > share),
        TRAFFIC_SHARES[-1],
    )


def new_version_ramp(now_s: float) -> VersionRamp:
    """Create a ramp with all requests at the old version.

    Args:
        now_s: Monotonic time in seconds.

    Returns:
        The ramp.
    """
    return VersionRamp(now_s)


def scaled_need(need: model_placement.Need, share: float) -> model_placement.Need:
    """Return the servers required for a share of the requests.

    Args:
        need: Servers required for all requests.
        share: Share of the requests, 0 to 1.

    Returns:
        Number of servers by role, rounded up.
    """
    if share <= 0.0:
        return model_placement.Need({})
    return model_placement.Need(
        {role: math.ceil(round(count * share, 6)) for role, count in need.count_by_role.items()}
    )
