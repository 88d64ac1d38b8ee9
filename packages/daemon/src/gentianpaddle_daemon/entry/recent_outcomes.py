"""Outcomes of the latest requests of this entry, for callers that look up a request by key."""

from __future__ import annotations

import collections

from gentianpaddle_core import ids, outcomes

MAX_OUTCOMES = 4_096


class RecentOutcomes:
    """Bounded map of outcomes by request key; evicts the oldest first."""

    def __init__(self) -> None:
        self._outcome_by_key: collections.OrderedDict[ids.RequestKey, outcomes.Outcome] = (
            collections.OrderedDict()
        )

    def put(self, key: ids.RequestKey, outcome: outcomes.Outcome) -> None:
        """Store the outcome of a request."""
        self._outcome_by_key[key] = outcome
        self._outcome_by_key.move_to_end(key)
        if len(self._outcome_by_key) > MAX_OUTCOMES:
            self._outcome_by_key.popitem(last=False)

    def get(self, key: ids.RequestKey) -> outcomes.Outcome | None:
        """Return the outcome of a request, None if it is not stored."""
        return self._outcome_by_key.get(key)


def new_recent_outcomes() -> RecentOutcomes:
    """Create an empty map.

    Returns:
        A map without outcomes.
    """
    return RecentOutcomes()
