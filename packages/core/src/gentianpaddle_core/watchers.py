"""Selection of the entries that watch the configuration, and the fallback reads of the others."""

from __future__ import annotations

import random
from collections.abc import Iterable

from gentianpaddle_core import ids, membership, rendezvous

WATCHERS_PER_DATA_CENTRE = 3
"""Number of entries in each data centre that watch the configuration."""
MAX_VIEW_AGE_S = 3.0
"""View age above which a process reads the configuration from the object API itself.

The view age is the time since the configuration was last confirmed to be the newest.
"""
CATCH_UP_TIMEOUT_S = 2.0
"""Time that a process waits for the digest exchange to deliver a revision known to exist."""
MIN_READ_INTERVAL_S = 5.0
"""Minimum time between two reads; limits 2,000 agents to 400 reads per second in total."""
READ_JITTER_RATIO = 0.25
"""Maximum random extension of the read interval, as a fraction of it."""


def select_watchers(records: Iterable[membership.MemberRecord]) -> frozenset[ids.VmId]:
    """Select the entries that watch the configuration.

    Args:
        records: Records of all members.

    Returns:
        Up to `WATCHERS_PER_DATA_CENTRE` VMs of alive entries per data centre.
    """
    vms_by_data_centre: dict[ids.DataCentreId, list[ids.VmId]] = {}
    for record in records:
        is_alive = record.state is membership.State.ALIVE
        if is_alive and record.role is membership.Role.ENTRY:
            vms_by_data_centre.setdefault(record.data_centre, []).append(record.vm)
    return frozenset(
        ids.VmId(vm)
        for vms in vms_by_data_centre.values()
        for vm in rendezvous.choose("configuration", vms, WATCHERS_PER_DATA_CENTRE)
    )


class FreshnessRule:
    """Decides when a process that is not a watcher reads the configuration itself."""

    def __init__(self) -> None:
        """Create a rule that allows a read at once; use `new_freshness_rule`."""
        self._next_read_s = float("-inf")
        self._behind_since_s: float | None = None

    def should_read(
        self,
        view_age_s: float,
        revision: ids.Revision,
        highest_reported_revision: ids.Revision,
        now_s: float,
        rng: random.Random,
    ) -> bool:
        """Return whether to read the configuration now; a True result counts as a read.

        Args:
            view_age_s: Time since the configuration of this process was last confirmed to be the
                newest, in seconds.
            revision: Revision in force in this process.
            highest_reported_revision: Highest revision that any peer reported.
            now_s: Monotonic time in seconds.
            rng: Source of randomness.

        Returns:
            True if the view is stale or the digest exchange has not delivered a known revision
            in time, and the minimum time since the last read has passed.
        """
        if highest_reported_revision <= revision:
            self._behind_since_s = None
        elif self._behind_since_s is None:
            self._behind_since_s = now_s
        behind_since_s = self._behind_since_s
        is_overdue = behind_since_s is not None and now_s - behind_since_s >= CATCH_UP_TIMEOUT_S
        if now_s < self._next_read_s or not (is_overdue or view_age_s > MAX_VIEW_AGE_S):
            return False
        self._next_read_s = now_s + MIN_READ_INTERVAL_S * (1 + READ_JITTER_RATIO * rng.random())
        return True


def new_freshness_rule() -> FreshnessRule:
    """Create the freshness rule of a process.

    Returns:
        A rule that allows a read at once.
    """
    return FreshnessRule()
