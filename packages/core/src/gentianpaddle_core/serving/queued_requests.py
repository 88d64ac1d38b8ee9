"""Queued requests, and the orders in which they are expected to start."""

from __future__ import annotations

import dataclasses
import math
import typing
from collections.abc import Iterable

T = typing.TypeVar("T")

Level = tuple[int, int]
"""Priority of the organisation if it has one, otherwise that of the route; and that of the route,
which breaks ties. Lower values go first."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestGroup:
    """What the order of a request depends on, apart from its times."""

    level: Level = (0, 0)
    organisation: str | None = None

    @property
    def priority(self) -> int:
        """Priority of the organisation if it has one, otherwise that of the route."""
        return self.level[0]


@dataclasses.dataclass(slots=True, eq=False)
class QueuedRequest(typing.Generic[T]):
    """Queued request. All times are monotonic, in seconds."""

    item: T
    """The request, as known to the caller of the queue."""
    arrived_s: float
    """Time of arrival."""
    start_by_s: float
    """Latest start with which the request can still meet its target."""
    end_s: float
    """Time from which the request is no longer worth starting."""
    expires_s: float = math.inf
    """Time of its deadline. A caller that was rejected and came back has less time left than a new
    one, so that among late requests the one that expires first has waited longest."""
    group: RequestGroup = RequestGroup()
    """Priority and organisation; a change of the configuration does not alter them."""
    displaceable: bool = True
    """Whether a refusal of the request proves that it has not run and never will."""


def late_order(entry: QueuedRequest[typing.Any]) -> tuple[Level, float, float]:
    """Return the key by which late requests start.

    Args:
        entry: A late request.
    """
    return entry.group.level, entry.expires_s, entry.arrived_s


def organisations(entries: Iterable[QueuedRequest[typing.Any]]) -> set[str | None]:
    """Return the organisations of requests; None stands for those without one.

    Args:
        entries: The requests.
    """
    return {entry.group.organisation for entry in entries}


def expected_order(entries: list[QueuedRequest[T]]) -> list[QueuedRequest[T]]:
    """Sort requests as they are expected to start: organisations of a priority take turns.

    Args:
        entries: The requests.
    """
    ordered = sorted(entries, key=lambda entry: (entry.group.level, entry.expires_s))
    if len(organisations(entries)) < 2:
        return ordered
    turn_by_key: dict[tuple[Level, str | None], int] = {}
    keyed = []
    for position, entry in enumerate(ordered):
        level, organisation = entry.group.level, entry.group.organisation
        turn = turn_by_key[level, organisation] = turn_by_key.get((level, organisation), -1) + 1
        keyed.append((level, turn, position))
    return [ordered[position] for _, _, position in sorted(keyed)]
