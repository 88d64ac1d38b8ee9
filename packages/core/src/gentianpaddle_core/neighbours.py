"""Selection of the members with which a process exchanges digests."""

from __future__ import annotations

import bisect
from collections.abc import Iterable

from gentianpaddle_core import ids, membership, rendezvous

NEIGHBOUR_LIMIT = 8
"""Maximum number of neighbours of a process."""
RING_NEIGHBOURS_PER_SIDE = 2
"""Neighbours on each side of the ring, which keeps the graph of all entries connected."""


class NeighbourSelector:
    """Selects the neighbours of one process; stable while the set of live members is unchanged."""

    def __init__(self, own: membership.MemberRecord) -> None:
        """Create a selector without neighbours; use `new_neighbour_selector`.

        Args:
            own: Record of this process.
        """
        self._own = own
        self._live_set_version = -1
        self._selected: tuple[ids.VmId, ...] = ()
        self.monitored: tuple[ids.VmId, ...] = ()
        """Ring neighbours, monitored for silence because they also contact this process."""
        self._ring_weight_by_vm: dict[ids.VmId, int] = {}
        self._pair_weight_by_vm: dict[ids.VmId, int] = {}

    def update(self, table: membership.Membership) -> tuple[ids.VmId, ...]:
        """Select neighbours among the entries that are not dead.

        Two successors and two predecessors on a hash ring connect all entries. The others are one
        entry of each further data centre, then the entries with the greatest hash of the pair.
        An agent is not on the ring and selects all its entries by the hash of the pair.

        Args:
            table: Membership table.

        Returns:
            Names of up to `NEIGHBOUR_LIMIT` VMs; the same tuple while no member joins or dies.
        """
        if table.live_set_version == self._live_set_version:
            return self._selected
        self._live_set_version = table.live_set_version
        entries = [
            record
            for record in table.records()
            if record.role is membership.Role.ENTRY
            and record.state is not membership.State.DEAD
            and record.vm != self._own.vm
        ]
        selected = self._ring_neighbours(entries) if self._own.role is membership.Role.ENTRY else []
        ranked = sorted(entries, key=lambda record: (self._pair_weight(record.vm), record.vm))
        self.monitored = tuple(selected)
        covered_data_centres = {
            record.data_centre for record in entries if record.vm in set(selected)
        }
        for only_new_data_centres in (True, False):
            for record in reversed(ranked):
                if len(selected) >= NEIGHBOUR_LIMIT:
                    break
                if record.vm in selected or (
                    only_new_data_centres and record.data_centre in covered_data_centres
                ):
                    continue
                covered_data_centres.add(record.data_centre)
                selected.append(record.vm)
        self._selected = tuple(selected)
        return self._selected

    def _ring_neighbours(self, entries: Iterable[membership.MemberRecord]) -> list[ids.VmId]:
        ring = sorted((self._ring_weight(record.vm), record.vm) for record in entries)
        if len(ring) <= 2 * RING_NEIGHBOURS_PER_SIDE:
            return [vm for _, vm in ring]
        position = bisect.bisect(ring, (self._ring_weight(self._own.vm), self._own.vm))
        offsets = (0, -1, 1, -2)
        return [ring[(position + offset) % len(ring)][1] for offset in offsets]

    def _ring_weight(self, vm: ids.VmId) -> int:
        weight = self._ring_weight_by_vm.get(vm)
        if weight is None:
            self._clear_if_full(self._ring_weight_by_vm)
            weight = self._ring_weight_by_vm[vm] = rendezvous.weight("ring", vm)
        return weight

    def _pair_weight(self, vm: ids.VmId) -> int:
        weight = self._pair_weight_by_vm.get(vm)
        if weight is None:
            self._clear_if_full(self._pair_weight_by_vm)
            first, second = sorted((self._own.vm, vm))
            weight = self._pair_weight_by_vm[vm] = rendezvous.weight(first, second)
        return weight

    def _clear_if_full(self, cache: dict[ids.VmId, int]) -> None:
        if len(cache) >= 2 * membership.MEMBER_LIMIT:
            cache.clear()


def new_neighbour_selector(own: membership.MemberRecord) -> NeighbourSelector:
    """Create the neighbour selector of a process.

    Args:
        own: Record of this process.

    Returns:
        A selector without neighbours.
    """
    return NeighbourSelector(own)
