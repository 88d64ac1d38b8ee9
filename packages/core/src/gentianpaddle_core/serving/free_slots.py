"""Divides the free slots of a contended service among the fronts, by their shares.

Load pattern: the engines of a service are nearly full, and all fronts see the same few free slots
in reports that are 0.13 to 0.25 s old. If each front took them, or rounded its part of them on its
own, several would take the same slot, and the engine would reject all but one.

A front replaces its own requests that have ended: it knows of the free slot before any report. Any
other free slot is offered to one front after the other. The order follows from the shares
(`room_share`) and from how long reports have shown the slot, so that all fronts derive the same one
without messages.
"""

from __future__ import annotations

import dataclasses
import typing
from collections.abc import Collection

from gentianpaddle_core import ids
from gentianpaddle_core.serving import room_share

OFFER_DELAY_S = 0.15
"""Time for which reports show a free slot before it is offered. A front whose request has ended may
have replaced it just after the report; the next report, 0.1 s later, shows that."""

OFFER_S = 0.1
"""Time for which a free slot is offered to one front: two attempts to dispatch."""

OFFER_INTERVAL_S = 0.45
"""Interval between two offers of the same slot. Reports show within 0.25 s that a slot was taken at
the end of an offer, and reach some fronts 0.05 s later than others."""

MAX_TRACKED = 256
"""Number of requests up to which the time since a report showed fewer is kept. Engines have a few
slots; a report may hold any number up to 65,535."""

OVERSHARE_RATIO = 1.25
"""Requests in progress relative to the share from which a front no longer replaces those that end.
The measured demand of a front with eight requests per second varies by a third."""

OVERSHARE_REQUESTS = 2.0
"""Number of requests in progress added to that limit, for fronts with a small share."""


class ReportHistory:
    """What the last reports of a server say of its free slots."""

    def __init__(self) -> None:
        self._requests = MAX_TRACKED
        self._since_s_by_requests: dict[int, float] = {}
        """Time since which the reports show at most this number of requests."""
        self.own_requests = (0, 0)
        """Requests of this front at the server when the last two reports arrived, older first."""

    def record(self, requests: int, own_requests: int, now_s: float) -> None:
        """Record a report.

        Args:
            requests: Number of requests at the server.
            own_requests: Number of requests of this front at the server now.
            now_s: Monotonic time in seconds.
        """
        tracked, previous = (min(item, MAX_TRACKED) for item in (requests, self._requests))
        for number in range(tracked, previous):
            self._since_s_by_requests[number] = now_s
        for number in range(previous, tracked):
            self._since_s_by_requests.pop(number, None)
        self._requests = requests
        self.own_requests = (self.own_requests[1], own_requests)

    def added(self, own_requests: int) -> int:
        """Return how many requests of this front the last report lacks; negative if some ended.

        Reports are older than the interval between them when they arrive, so those sent since the
        report before count as well. Only an end since the last report counts: an older one may be
        seen by other fronts soon.

        Args:
            own_requests: Number of requests of this front at the server now.
        """
        return own_requests - min(self.own_requests)

    def estimated_requests(self, own_requests: int) -> int:
        """Return the number of requests at the server as far as this front knows.

        Args:
            own_requests: Number of requests of this front at the server now.
        """
        return max(own_requests, self._requests + self.added(own_requests))

    def free_slots(self, capacity: int) -> int:
        """Return the number of free slots in the last report; negative if there are more requests.

        Args:
            capacity: Number of requests that the server may have.
        """
        return capacity - self._requests

    def free_s(self, capacity: int, now_s: float) -> float:
        """Return for how many seconds the reports have shown a free slot.

        Args:
            capacity: Number of requests that the server may have; more than the reports show.
            now_s: Monotonic time in seconds.
        """
        return now_s - self._since_s_by_requests.get(min(capacity, MAX_TRACKED) - 1, now_s)


class Usage(typing.NamedTuple):
    """Use of the servers of a service according to their current reports."""

    reported: int
    """Number of requests in the reports."""
    own: int
    """Number of requests of this front that are in progress."""
    added: int
    """Number of requests of this front that the reports lack; negative if some have ended."""


def usage(histories: Collection[tuple[ReportHistory, int]]) -> Usage:
    """Sum up the use of some servers.

    Args:
        histories: For each server, its reports and the number of requests of this front.
    """
    reported = sum(-history.free_slots(0) for history, _ in histories)
    own = sum(own_requests for _, own_requests in histories)
    included = min(sum(history.own_requests[index] for history, _ in histories) for index in (0, 1))
    return Usage(reported, own, own - included)


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """Part of the capacity of a contended service that this front may use."""

    shares: room_share.Shares
    replaces: bool
    """Whether the front may replace its requests that have ended at once. If not, it has more
    requests in progress than its share, and leaves the slots to the other fronts."""
    idle: bool
    """Whether the front has no request in progress. It may then take any free slot, as its turn
    would come too late for its first request."""

    def allows(
        self,
        server: ids.BackendServerId,
        reports: ReportHistory,
        own_requests: int,
        capacity: int,
        now_s: float,
    ) -> bool:
        """Return whether one more request may be sent to a server.

        Args:
            server: The server.
            reports: Reports of the server.
            own_requests: Number of requests of this front at the server.
            capacity: Number of requests that the server may have.
            now_s: Monotonic time in seconds.
        """
        free = reports.free_slots(capacity)
        added = self._counted(reports.added(own_requests))
        if free <= 0 or self.idle:
            return added + 1 <= free
        offered_s = reports.free_s(capacity, now_s) - OFFER_DELAY_S
        turn, elapsed_s = divmod(offered_s, OFFER_INTERVAL_S)
        if turn < 0.0 or elapsed_s >= OFFER_S:
            return added < 0
        return added < int(self.shares.rank(server, int(turn)) < free)

    def allows_total(self, free: float, added: int, rounding: float) -> bool:
        """Return whether one more request may be sent to any server of the service.

        Args:
            free: Number of requests that may be added at all servers together, according to the
                reports; negative if there are too many.
            added: Number of requests of this front that the reports lack.
            rounding: Random number, 0 to 1, that rounds the part up or down.
        """
        if self.idle:
            return free >= 1.0
        return self._counted(added) + 1 <= self.shares.ratio * free + rounding

    def _counted(self, added: int) -> int:
        return added if self.replaces else max(0, added)


def new_part(shares: room_share.Shares, own_requests: int, slots: float) -> Part:
    """Return the part of a front.

    Args:
        shares: room_share.Shares of the fronts.
        own_requests: Number of its requests in progress at all servers of the service.
        slots: Number of slots of these servers.
    """
    limit = OVERSHARE_RATIO * shares.ratio * slots + OVERSHARE_REQUESTS
    return Part(shares, own_requests <= limit, own_requests == 0)
