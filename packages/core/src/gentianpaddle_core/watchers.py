"""Which entries watch the configuration, and when a process reads it itself."""

from __future__ import annotations

import random
from collections.abc import Iterable

from gentianpaddle_core import ids, membership, rendezvous

WATCHERS_A_DATA_CENTRE = 3
"""Entries in each data centre that hold the watch."""
STALE_AFTER_S = 3.0
"""Age of the view above which a process reads the configuration itself."""
BEHIND_FOR_S = 2.0
"""Time that a process waits for the exchange to bring a revision that it has heard of."""
READ_PERIOD_S = 5.0
"""Shortest time between two reads; 2,000 agents make 400 reads a second at worst."""
READ_JITTER = 0.25
"""Share of the period that is added at random."""


def watchers(records: Iterable[membership.MemberRecord]) -> frozenset[ids.VmId]:
    """Choose the entries that hold the watch.

    Args:
        records: All members.

    Returns:
        Up to 3 VMs a data centre, of those that are alive.
    """
    by_centre: dict[ids.DataCentreId, list[ids.VmId]] = {}
    for record in records:
        alive = record.state is membership.State.ALIVE
        if alive and record.role is membership.Role.ENTRY:
            by_centre.setdefault(record.data_centre, []).append(record.vm)
    return frozenset(
        ids.VmId(vm)
        for vms in by_centre.values()
        for vm in rendezvous.choose("configuration", vms, WATCHERS_A_DATA_CENTRE)
    )


class FreshnessRule:
    """Decides when a process that does not watch reads the configuration itself."""

    def __init__(self) -> None:
        """Start without a read; use `new_freshness_rule`."""
        self._next_read_s = float("-inf")
        self._behind_since_s: float | None = None

    def should_read(
        self,
        view_age_s: float,
        revision: ids.Revision,
        seen_revision: ids.Revision,
        now_s: float,
        rng: random.Random,
    ) -> bool:
        """Tell whether to read the configuration now; a True answer counts as a read.

        Args:
            view_age_s: Age of the freshest view that this process has, in seconds.
            revision: Revision in force here.
            seen_revision: Highest revision that any peer mentioned.
            now_s: Monotonic time in seconds.
            rng: Source of randomness.

        Returns:
            True when the view is old, or a known revision does not arrive by the exchange, and
            the last read is long enough ago.
        """
        if seen_revision <= revision:
            self._behind_since_s = None
        elif self._behind_since_s is None:
            self._behind_since_s = now_s
        since_s = self._behind_since_s
        behind = since_s is not None and now_s - since_s >= BEHIND_FOR_S
        if now_s < self._next_read_s or not (behind or view_age_s > STALE_AFTER_S):
            return False
        self._next_read_s = now_s + READ_PERIOD_S * (1 + READ_JITTER * rng.random())
        return True


def new_freshness_rule() -> FreshnessRule:
    """Create the rule of a process.

    Returns:
        A rule that allows a read at once.
    """
    return FreshnessRule()
