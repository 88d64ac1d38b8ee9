"""Takes a model from one version to the next by a ramp.

The new version is loaded beside the old one and takes a growing share of the requests. Each step
waits until the servers of the next share are ready. A new version that fails gives all its share
back at once.
"""

from __future__ import annotations

import dataclasses
import math

from gentianpaddle_core import model_placement

SHARES = (0.05, 0.25, 0.5, 1.0)
"""Shares of the requests that the new version takes, in order. Where servers are short it takes the
share that its servers can carry, which frees servers of the old version for the rest."""

STEP_S = 300.0
"""Time at a share before the next one."""

RETIRE_S = 1_800.0
"""Time at the full share for which the old version stays, so that a return needs no load."""


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Result of one look at a ramp."""

    share: float
    """Share of the requests for the new version."""
    old_need: model_placement.Need
    """Servers that the old version needs."""
    new_need: model_placement.Need
    """Servers that the new version needs, for the next share."""
    old_retired: bool
    """Whether the old version can be removed."""
    reason: str
    """Why, for the decision log."""


class VersionRamp:
    """Ramp of one model; after a failure a new one is needed for another try."""

    def __init__(self, now_s: float) -> None:
        self._share = 0.0
        self._since_s = now_s
        self._failed = False

    def advance(
        self, now_s: float, need: model_placement.Need, new_ready: int, new_healthy: bool
    ) -> Step:
        """Look at the ramp and take the next step if it is due.

        Args:
            now_s: Monotonic time in seconds.
            need: Servers that the model needs in all.
            new_ready: Servers with a role for the new version.
            new_healthy: Whether the new version meets its targets without errors.

        Returns:
            Share and needs from now on.
        """
        total = need.total()
        if not new_healthy and self._share > 0.0:
            self._share, self._since_s, self._failed = 0.0, now_s, True
        due = now_s - self._since_s >= STEP_S or self._share == 0.0
        possible = min(_following(self._share), new_ready / total if total else 1.0)
        if self._failed:
            reason = "the new version failed; all requests go to the old one"
        elif due and new_healthy and possible > self._share:
            self._share, self._since_s = possible, now_s
            reason = f"new version goes to {self._share:.0%}"
        else:
            reason = f"new version at {self._share:.0%} with {new_ready} servers"
        return Step(
            share=self._share,
            old_need=scaled(need, 1.0 - self._share),
            new_need=scaled(need, 0.0 if self._failed else _following(self._share)),
            old_retired=self._share >= 1.0 and now_s - self._since_s >= RETIRE_S,
            reason=reason,
        )


def _following(share: float) -> float:
    return next((step for step in SHARES if step > share), SHARES[-1])


def new_version_ramp(now_s: float) -> VersionRamp:
    """Start a ramp with all requests at the old version.

    Args:
        now_s: Monotonic time in seconds.

    Returns:
        The ramp.
    """
    return VersionRamp(now_s)


def scaled(need: model_placement.Need, share: float) -> model_placement.Need:
    """Return the servers that a share of the requests needs.

    Args:
        need: Servers for all requests.
        share: Share of the requests.

    Returns:
        Servers by role, rounded up.
    """
    if share <= 0.0:
        return model_placement.Need({})
    return model_placement.Need(
        {role: math.ceil(round(count * share, 6)) for role, count in need.count_by_role.items()}
    )
