"""Choice of the fronts that distribute the messages of a data centre to all fronts.

Load pattern: hundreds of VMs have something to say to all fronts several times per second. If each
sent to each, the number of messages would grow with the product of both. A few fronts of each data
centre, the collectors, therefore collect the messages of their data centre and distribute them
together. Each VM alternates between the collectors, so that a dead one loses only a part of the
messages until it is no longer known as a collector.
"""

from __future__ import annotations

from collections.abc import Iterable

from gentianpaddle_core import ids, rendezvous
from gentianpaddle_core.serving import members

COLLECTORS_PER_DATA_CENTRE = 2
"""Number of collectors of a data centre."""

ANNOUNCEMENT_EXPIRY_S = 1.2
"""Time after its last announcement for which a collector is used; two announcements may be lost."""


def is_collector(own: members.Member, live_fronts: Iterable[members.Member]) -> bool:
    """Return whether a front is a collector of its data centre.

    Fronts that know different live fronts may disagree. Messages are then distributed by more or by
    fewer fronts, and none is lost while at least one front counts itself as a collector.

    Args:
        own: The front.
        live_fronts: Other live fronts that it knows, in any data centre.
    """
    candidates = [member.vm for member in live_fronts if member.data_centre == own.data_centre]
    chosen = rendezvous.choose(
        f"collectors {own.data_centre}", [*candidates, own.vm], COLLECTORS_PER_DATA_CENTRE
    )
    return own.vm in chosen


class CollectorView:
    """Collectors of all data centres that have announced themselves to one process."""

    def __init__(self) -> None:
        self._member_by_vm: dict[ids.VmId, members.Member] = {}
        self._announced_s_by_vm: dict[ids.VmId, float] = {}

    def record(self, member: members.Member, collecting: bool, now_s: float) -> None:
        """Record what a front says of itself.

        Args:
            member: The front.
            collecting: Whether it is a collector.
            now_s: Monotonic time in seconds.
        """
        if collecting:
            self._member_by_vm[member.vm] = member
            self._announced_s_by_vm[member.vm] = now_s
        else:
            self._member_by_vm.pop(member.vm, None)
            self._announced_s_by_vm.pop(member.vm, None)

    def current(self, data_centre: ids.DataCentreId, now_s: float) -> list[members.Member]:
        """Return the collectors of a data centre, in an order that all processes share.

        Args:
            data_centre: The data centre.
            now_s: Monotonic time in seconds.
        """
        vms = [
            vm
            for vm, member in self._member_by_vm.items()
            if member.data_centre == data_centre
            and now_s - self._announced_s_by_vm[vm] < ANNOUNCEMENT_EXPIRY_S
        ]
        chosen = rendezvous.choose(f"collectors {data_centre}", vms, COLLECTORS_PER_DATA_CENTRE)
        return [self._member_by_vm[ids.VmId(vm)] for vm in chosen]
