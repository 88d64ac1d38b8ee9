"""Order of what processes know of the store, which may return from an older copy of itself.

A revision of the store orders nothing across such a return: revisions go back and are given out
again. The store states its era, which rises with each return.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

Era = typing.NewType("Era", int)

UNSTATED_ERA = Era(-1)
"""Era of a store that has not stated any; lower than all others."""

RELIST_CALLS = 7
"""Number of calls of one front after a return: two for each of three kinds, and the list of VMs."""

RELIST_CALLS_PER_S = 800.0
"""Rate of the calls of all fronts after a return; the smallest store takes 2,000 reads a second."""

MAX_RELIST_DELAY_S = 2.0
"""Longest delay of a listing after a return. 3 s after it, changes must be known in time again."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class StoreVersion:
    """Version of the store or of one object in it."""

    era: Era
    revision: int
    """Store-wide number of the last change, within the era."""


NOTHING_KNOWN = StoreVersion(UNSTATED_ERA, 0)


class AnswerOrder(enum.Enum):
    """Order of an answer of the store to those that were received before."""

    CURRENT = "current"
    NEW = "new"
    """The first one of its era: the store has returned from a copy."""
    OVERTAKEN = "overtaken"
    """An answer of an earlier era, which tells nothing any more."""


class EraTracker:
    """Era of the store as far as one process knows."""

    def __init__(self) -> None:
        self.era = UNSTATED_ERA

    def observe(self, stated: Era | None) -> AnswerOrder:
        """Record an answer of the store, or news of it from another process.

        Args:
            stated: Era that the answer states; None if it states none, so that it counts as one of
                the era that is known.
        """
        if stated is None or stated == self.era:
            return AnswerOrder.CURRENT
        if stated < self.era:
            return AnswerOrder.OVERTAKEN
        self.era = stated
        return AnswerOrder.NEW


def relist_delay_s(fronts: int, unit: float) -> float:
    """Return the delay in seconds of the listings of one front after a return of the store.

    Load pattern: all fronts learn of the return at the same time, and each lists all kinds.

    Args:
        fronts: Number of fronts.
        unit: Random number from 0 to 1.
    """
    return min(MAX_RELIST_DELAY_S, fronts * RELIST_CALLS / RELIST_CALLS_PER_S) * unit
