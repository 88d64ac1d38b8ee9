"""Divides the capacity of a service among the fronts by their demand.

Load pattern: 41 or 60 fronts send to 63 engines with 5 slots each, and the engines are nearly full.
Demand differs between fronts and peaks at different times, so that with equal parts of the capacity
requests of a busy front wait, or are refused, while its neighbour is idle.

Each front announces its demand with its heartbeat. From the announcements, a front computes its
share of the slots. `free_slots` says what a front with this share may send.
"""

from __future__ import annotations

import collections
import math
import typing
from collections.abc import Collection, Mapping

from gentianpaddle_core import ids, rendezvous
from gentianpaddle_core.serving import members, routes

DEMAND_WINDOW_S = 1.0
"""Length of the window in which demand is measured. A front of a large site gets four to eight
requests per second; a shorter window would measure mostly chance."""

MAX_ANNOUNCED_SERVICES = 8
"""Maximum number of services in an announcement, so that a heartbeat stays small. The services with
the largest demand are announced."""

FRESH_S = 2.0 * members.HEARTBEAT_S
"""Age up to which an announcement has its full weight: one lost heartbeat changes nothing."""

MIN_WEIGHT = 0.25
"""Minimum demand that is assumed of a front, relative to the mean of all fronts. With 41 fronts and
315 slots an idle front has a share of nearly two slots, enough for its first request."""

MIN_HEARD_RATIO = 0.5
"""Share of the known fronts from which a silent front counts as dead. If fewer are heard, the link
of this front or a collector has failed, and the silent fronts still use the servers."""

CONTENDED_RATIO = 0.85
"""Share of slots taken from which a service is contended. With 5 slots per engine, fewer than one
slot per engine is free from 0.8 on."""

RELEASED_RATIO = 0.75
"""Share of slots taken below which a service is no longer contended. Dividing the free slots leaves
about a tenth of the slots unused; if the service counted as uncontended for that, the waiting
requests of all fronts would be sent to these slots at once. Below it, a rejection does not make the
service contended either: with a quarter of the slots free, waiting for a slot costs more than to be
sent to another server."""

CONTENDED_MEMORY_S = 1.0
"""Time for which a service counts as contended after a rejection, or after reports have shown that
it is; callers that retry come back within a second."""


class ServiceDemand:
    """Demand of this front for one service, and the rejections of its requests."""

    def __init__(self) -> None:
        self._arrivals_s: collections.deque[float] = collections.deque()
        self._rejected_s = -math.inf
        self._contended_s = -math.inf

    def record_arrival(self, now_s: float) -> None:
        """Record a request that needs a server, whether or not it gets one.

        Refused requests count: otherwise a front whose queue is limited by its share could never
        show that it needs more.

        Args:
            now_s: Monotonic time in seconds.
        """
        self._arrivals_s.append(now_s)
        self._discard_old(now_s)

    def record_rejected(self, now_s: float) -> None:
        """Record that a server rejected a request.

        Args:
            now_s: Monotonic time in seconds.
        """
        self._rejected_s = now_s

    def demand(self, waiting: int, now_s: float) -> float:
        """Return the demand: the requests of the last second, or those waiting if they are more.

        Args:
            waiting: Number of requests that wait for a server.
            now_s: Monotonic time in seconds.
        """
        self._discard_old(now_s)
        return float(max(len(self._arrivals_s), waiting))

    def is_contended(self, taken: float, slots: float, now_s: float) -> bool:
        """Return whether the service is contended.

        Args:
            taken: Number of slots taken according to the reports.
            slots: Number of slots that may be used.
            now_s: Monotonic time in seconds.
        """
        recent = now_s - max(self._rejected_s, self._contended_s) <= CONTENDED_MEMORY_S
        limit = RELEASED_RATIO if recent else CONTENDED_RATIO
        if slots > 0.0 and taken >= limit * slots:
            self._contended_s = now_s
            return True
        return now_s - self._contended_s <= CONTENDED_MEMORY_S

    def _discard_old(self, now_s: float) -> None:
        while self._arrivals_s and self._arrivals_s[0] <= now_s - DEMAND_WINDOW_S:
            self._arrivals_s.popleft()


class _Announcement(typing.NamedTuple):
    demand_by_service: Mapping[routes.ServiceName, float] | None
    """Demand, or None if the front did not announce any."""
    received_s: float


class DemandTable:
    """Demand that the other fronts have announced.

    Args:
        own: VM of this front.
    """

    def __init__(self, own: ids.VmId) -> None:
        self._own = own
        self._announcement_by_vm: dict[ids.VmId, _Announcement] = {}

    def record(
        self,
        vm: ids.VmId,
        demand_by_service: Mapping[routes.ServiceName, float] | None,
        now_s: float,
    ) -> None:
        """Record an announcement.

        Args:
            vm: Front that sent it.
            demand_by_service: Its demand; services that it leaves out have none. None if the front
                does not announce demand.
            now_s: Monotonic time in seconds.
        """
        self._announcement_by_vm[vm] = _Announcement(demand_by_service, now_s)

    def remove(self, vm: ids.VmId) -> None:
        """Forget the announcement of a front that sends no new requests.

        Args:
            vm: The front.
        """
        self._announcement_by_vm.pop(vm, None)

    def remove_unknown(self, known: Collection[ids.VmId]) -> None:
        """Forget the announcements of fronts that no longer exist.

        Args:
            known: Fronts that exist.
        """
        for vm in self._announcement_by_vm.keys() - set(known):
            del self._announcement_by_vm[vm]

    def shares(
        self,
        service: routes.ServiceName,
        own_demand: float,
        others: Collection[ids.VmId],
        front_count: int,
        now_s: float,
    ) -> Shares:
        """Return the shares of all fronts in the capacity of a service.

        Args:
            service: The service.
            own_demand: Demand of this front.
            others: Other known fronts, alive or not.
            front_count: Number of fronts that share the servers, including this one; used while
                most of them are silent.
            now_s: Monotonic time in seconds.

        Returns:
            The shares.
        """
        heard = {
            vm: item
            for vm in others
            if (item := self._announcement_by_vm.get(vm)) is not None
            and now_s - item.received_s < members.DEAD_AFTER_S
        }
        sharing = {self._own, *heard}
        if len(sharing) < MIN_HEARD_RATIO * front_count:
            sharing.update(others)
            unknown = range(front_count - len(sharing))
            sharing.update(ids.VmId(f"unknown front {number}") for number in unknown)
        known = [(self._own, own_demand, 1.0)]
        for vm, item in heard.items():
            if item.demand_by_service is not None:
                demand = item.demand_by_service.get(service, 0.0)
                known.append((vm, demand, _freshness(now_s - item.received_s)))
        mean = sum(demand * freshness for _, demand, freshness in known) / sum(
            freshness for _, _, freshness in known
        )
        if mean <= 0.0:
            return Shares(self._own, dict.fromkeys(sharing, 1.0), 1.0 / len(sharing))
        weight_by_vm = dict.fromkeys(sharing, mean)
        for vm, demand, freshness in known:
            blended = freshness * demand + (1.0 - freshness) * mean
            weight_by_vm[vm] = max(MIN_WEIGHT * mean, blended)
        ratio = weight_by_vm[self._own] / sum(weight_by_vm.values())
        own = self._announcement_by_vm.get(self._own)
        if own is not None and own.demand_by_service is not None:
            # The other fronts rank this one by what it has announced, while that arrives.
            announced_demand = own.demand_by_service.get(service, 0.0)
            freshness = sum(item[2] for item in known[1:]) / max(1, len(sharing) - 1)
            blended = freshness * announced_demand + (1.0 - freshness) * mean
            weight_by_vm[self._own] = max(MIN_WEIGHT * mean, blended)
        return Shares(self._own, weight_by_vm, ratio)


class Shares:
    """Shares of the fronts in the capacity of a service, as known to one front.

    With the same information, they sum to 1 over all fronts.

    Args:
        own: VM of this front.
        weight_by_vm: Demand that counts, by VM; above 0.
        ratio: Share of this front, by its present demand.
    """

    def __init__(self, own: ids.VmId, weight_by_vm: Mapping[ids.VmId, float], ratio: float) -> None:
        self._weight_by_vm = weight_by_vm
        self._own = own
        self._rank_by_offer: dict[tuple[ids.BackendServerId, int], int] = {}
        self.ratio = ratio
        """Share of this front, above 0 and at most 1."""

    def rank(self, server: ids.BackendServerId, turn: int) -> int:
        """Return the rank of this front for the free slots of a server, from 0.

        Ranks follow from weighted rendezvous hashing: each front is first as often as its share
        says, and a front whose demand is known differently elsewhere changes no other one's order.

        Args:
            server: The server.
            turn: Number of the offer.
        """
        found = self._rank_by_offer.get((server, turn))
        if found is None:
            key = f"{server}/{turn}"
            own = self._score(key, self._own)
            found = sum(self._score(key, vm) < own for vm in self._weight_by_vm)
            self._rank_by_offer[server, turn] = found
        return found

    def _score(self, key: str, vm: ids.VmId) -> float:
        return -math.log(1.0 - rendezvous.unit_weight(key, vm)) / self._weight_by_vm[vm]


def _freshness(age_s: float) -> float:
    """Return the weight of an announcement, from 1 while it is fresh to 0 when the sender is dead.

    Args:
        age_s: Age in seconds.
    """
    remaining_s = members.DEAD_AFTER_S - age_s
    return min(1.0, max(0.0, remaining_s / (members.DEAD_AFTER_S - FRESH_S)))


def announced(
    demand_by_service: Mapping[routes.ServiceName, float],
) -> dict[routes.ServiceName, float]:
    """Return the part of the demand that is announced.

    Args:
        demand_by_service: Demand of this front by service.
    """
    ordered = sorted(demand_by_service.items(), key=lambda item: (-item[1], item[0]))
    return {name: demand for name, demand in ordered[:MAX_ANNOUNCED_SERVICES] if demand > 0.0}
