"""Outcomes of the latest requests of this entry, for callers that ask by key."""

from __future__ import annotations

import collections

from gentianpaddle_core import ids, outcomes

KEPT_STATUSES = 4_096


class Statuses:
    """Bounded record of outcomes; the oldest is dropped first."""

    def __init__(self) -> None:
        self._outcome_by_key: collections.OrderedDict[ids.RequestKey, outcomes.Outcome] = (
            collections.OrderedDict()
        )

    def put(self, key: ids.RequestKey, outcome: outcomes.Outcome) -> None:
        """Remember an outcome."""
        self._outcome_by_key[key] = outcome
        self._outcome_by_key.move_to_end(key)
        if len(self._outcome_by_key) > KEPT_STATUSES:
            self._outcome_by_key.popitem(last=False)

    def get(self, key: ids.RequestKey) -> outcomes.Outcome | None:
        """Return an outcome, None when it is not known here."""
        return self._outcome_by_key.get(key)


def new_statuses() -> Statuses:
    """Create an empty record.

    Returns:
        A record without outcomes.
    """
    return Statuses()
