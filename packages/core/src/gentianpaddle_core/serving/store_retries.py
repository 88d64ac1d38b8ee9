"""Choice of the calls by which a front finds out that the store answers again.

Load pattern: the store refuses or does not answer any call for some seconds. A front has several
watches, each front of a deployment has the same ones, and every call is charged, also one that is
refused or gets no answer.

While all watches of a front fail, they take turns: one of them calls, waits for a pause that grows,
and passes the turn on. The first answer lets all of them call at once. While only some fail, the
store is not down as a whole, and each of them retries by itself.
"""

from __future__ import annotations

from collections.abc import Iterable

RETRY_PAUSE_RANGE_S = (0.15, 1.2)
"""Shortest and longest pause of a watch that retries by itself. The pause doubles with each failure
and is reduced at random by up to one half."""

MAX_TURN_PAUSE_S = 0.9
"""Longest time from the call of one turn to that of the next, unless the call itself lasts longer.
Calls of one kind may still fail when the store has returned for the others, and a change must be
known 2 s after the store has confirmed it: two turns take less."""


class RetryTurns:
    """State of the retries of all watches of one front.

    Args:
        kinds: Kinds that the front watches, in the order of their turns.
    """

    def __init__(self, kinds: Iterable[str]) -> None:
        self._failures_by_kind = dict.fromkeys(kinds, 0)
        self._waiting: set[str] = set()
        """Kinds whose pause is over."""
        self._turn: str | None = None
        self._failed_turns = 0

    @property
    def all_failing(self) -> bool:
        """Whether the last call of every watch failed."""
        return all(self._failures_by_kind.values())

    def record_failure(self, kind: str, call_s: float, unit: float) -> float:
        """Record a failed call and return the pause of its watch in seconds.

        Args:
            kind: Kind of the watch.
            call_s: Duration of the call in seconds.
            unit: Random number from 0 to 1, by which the pause is reduced.
        """
        shortest_s, longest_s = RETRY_PAUSE_RANGE_S
        failures = self._failures_by_kind[kind]
        self._failures_by_kind[kind] = min(failures + 1, 16)
        self._waiting.discard(kind)
        if self.all_failing and self._turn == kind:
            self._failed_turns = min(self._failed_turns + 1, 16)
            pause_s = min(MAX_TURN_PAUSE_S, shortest_s * 2.0**self._failed_turns)
            return max(0.0, pause_s * (1.0 - 0.5 * unit) - call_s)
        return min(longest_s, shortest_s * 2.0**failures) * (1.0 - 0.5 * unit)

    def end_pause(self, kind: str) -> None:
        """Record that the pause of a watch after a failed call is over.

        Args:
            kind: Kind of the watch. If it has the turn, it passes it on to the next kind whose
                pause is over as well.
        """
        self._waiting.add(kind)
        if not self.all_failing:
            return
        if self._turn in (None, kind):
            kinds = list(self._failures_by_kind)
            start = kinds.index(kind) + (self._turn == kind)
            rotated = [*kinds[start:], *kinds[:start]]
            self._turn = next(other for other in rotated if other in self._waiting)

    def may_call(self, kind: str) -> bool:
        """Return whether a watch may call the store.

        Args:
            kind: Kind of the watch.
        """
        return not self.all_failing or self._turn in (None, kind)

    def record_success(self, kind: str) -> None:
        """Record a successful call.

        Args:
            kind: Kind of the watch.
        """
        self._failures_by_kind[kind] = 0
        self._waiting.discard(kind)
        self._failed_turns = 0
        self._turn = None
