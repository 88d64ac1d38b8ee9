"""Choice of the members that a process exchanges digests with."""

from __future__ import annotations

import bisect
from collections.abc import Iterable

from gentianpaddle_core import ids, membership, rendezvous

NEIGHBOURS = 8
"""Number of neighbours of a process."""
RING_REACH = 2
"""Neighbours on each side of the ring; the ring keeps the graph of all entries connected."""


class Neighbours:
    """Neighbours of one process, stable while the members are."""

    def __init__(self, own: membership.MemberRecord) -> None:
        """Start without neighbours; use `new_neighbours`.

        Args:
            own: Record of this process.
        """
        self._own = own
        self._version = -1
        self._chosen: tuple[ids.VmId, ...] = ()
        self.monitored: tuple[ids.VmId, ...] = ()
        """Those on the ring, which contact this process as well: it judges their silence."""
        self._ring_by_vm: dict[ids.VmId, int] = {}
        self._pair_by_vm: dict[ids.VmId, int] = {}

    def update(self, table: membership.Membership) -> tuple[ids.VmId, ...]:
        """Choose neighbours among the entries that are not dead.

        Two successors and two predecessors on a ring of hashes connect all entries; the others
        are one for each further data centre, then the greatest by a hash of the pair. An agent
        is not on the ring and chooses entries by the hash alone.

        Args:
            table: All members.

        Returns:
            Names of up to `NEIGHBOURS` VMs; the same tuple while no member comes or goes.
        """
        if table.set_version == self._version:
            return self._chosen
        self._version = table.set_version
        entries = [
            record
            for record in table.records()
            if record.role is membership.Role.ENTRY
            and record.state is not membership.State.DEAD
            and record.vm != self._own.vm
        ]
        chosen = self._ring(entries) if self._own.role is membership.Role.ENTRY else []
        ranked = sorted(entries, key=lambda record: (self._pair(record.vm), record.vm))
        self.monitored = tuple(chosen)
        centres = {record.data_centre for record in entries if record.vm in set(chosen)}
        for distinct in (True, False):
            for record in reversed(ranked):
                if len(chosen) >= NEIGHBOURS:
                    break
                if record.vm in chosen or (distinct and record.data_centre in centres):
                    continue
                centres.add(record.data_centre)
                chosen.append(record.vm)
        self._chosen = tuple(chosen)
        return self._chosen

    def _ring(self, entries: Iterable[membership.MemberRecord]) -> list[ids.VmId]:
        order = sorted((self._ring_weight(record.vm), record.vm) for record in entries)
        if len(order) <= 2 * RING_REACH:
            return [vm for _, vm in order]
        place = bisect.bisect(order, (self._ring_weight(self._own.vm), self._own.vm))
        offsets = (0, -1, 1, -2)
        return [order[(place + offset) % len(order)][1] for offset in offsets]

    def _ring_weight(self, vm: ids.VmId) -> int:
        weight = self._ring_by_vm.get(vm)
        if weight is None:
            self._bound(self._ring_by_vm)
            weight = self._ring_by_vm[vm] = rendezvous.weight("ring", vm)
        return weight

    def _pair(self, vm: ids.VmId) -> int:
        weight = self._pair_by_vm.get(vm)
        if weight is None:
            self._bound(self._pair_by_vm)
            first, second = sorted((self._own.vm, vm))
            weight = self._pair_by_vm[vm] = rendezvous.weight(first, second)
        return weight

    def _bound(self, cache: dict[ids.VmId, int]) -> None:
        if len(cache) >= 2 * membership.MEMBER_LIMIT:
            cache.clear()


def new_neighbours(own: membership.MemberRecord) -> Neighbours:
    """Create the choice of a process.

    Args:
        own: Record of this process.

    Returns:
        A choice without neighbours.
    """
    return Neighbours(own)
