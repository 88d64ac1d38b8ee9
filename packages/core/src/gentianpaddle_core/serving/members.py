"""Membership of the VMs, with liveness from heartbeats.

Each VM registers once in the platform's store. Whether a front is alive is derived from heartbeat
datagrams that fronts send to other fronts, so that heartbeats cause no writes to the store.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from gentianpaddle_core import ids, rendezvous

HEARTBEAT_S = 0.5
"""Interval between the heartbeats of a front, which the collectors distribute to all fronts."""

ASSUMED_FRONTS = 16
"""Number of fronts that are assumed to share a limit while the list of VMs is not yet known."""

MAX_CACHED_RANKS = 4_096
"""Maximum number of keys whose rank is cached; computing a rank takes about 40 hashes."""

DEAD_AFTER_S = 2.6
"""Time without a heartbeat after which a VM counts as dead: five lost datagrams in a row. Callers
may be given the address of a dead VM for 6 s at most; this time and the 2 s for which they may
cache an answer of the directory (`front.DIRECTORY_TTL_S`) are less than that."""

FORGET_AFTER_S = 15.0
"""Time without a heartbeat after which a VM that is not listed in the store is forgotten. A read of
the store may be 10 s old."""


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Registration of a VM."""

    vm: ids.VmId
    data_centre: ids.DataCentreId
    ip: str
    port: int
    """Port for datagrams and calls of the other VMs."""
    front_address: str | None
    """Address to which callers connect, or None if the VM serves no callers."""
    engine_address: str | None
    """Address of the backend server on the VM, or None."""


class MemberView:
    """Known VMs and their liveness, as seen by one process.

    A VM is known if it is in the last list from the store or has recently sent a heartbeat to this
    process.

    Args:
        own: Registration of the VM on which the process runs.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self._member_by_vm: dict[ids.VmId, Member] = {own.vm: own}
        self._list_received = False
        self._keep_missing_until_s = 0.0
        self._last_heartbeat_s_by_vm: dict[ids.VmId, float] = {}
        self._serving_by_vm: dict[ids.VmId, bool] = {}
        self._rank_by_key: dict[str, int] = {}
        self._ranked_fronts: frozenset[ids.VmId] = frozenset()
        """Fronts for which the cached ranks are valid."""

    def keep_missing(self, until_s: float) -> None:
        """Keep VMs that are missing in lists, as they may not have registered again yet.

        Args:
            until_s: Monotonic time in seconds until which they are kept.
        """
        self._keep_missing_until_s = until_s

    def replace(self, members: Iterable[Member], now_s: float) -> None:
        """Set the known VMs to a complete list and all VMs that have sent a heartbeat recently.

        Args:
            members: All VMs registered in the store.
            now_s: Monotonic time in seconds.
        """
        self._list_received = True
        self._member_by_vm = {member.vm: member for member in members} | {
            # A registration from a heartbeat is newer than one from a stale read of the store.
            vm: member
            for vm, member in self._member_by_vm.items()
            if now_s < self._keep_missing_until_s
            or now_s - self._last_heartbeat_s_by_vm.get(vm, -FORGET_AFTER_S) < FORGET_AFTER_S
        }
        for vm in self._last_heartbeat_s_by_vm.keys() - self._member_by_vm.keys():
            del self._last_heartbeat_s_by_vm[vm]
            self._serving_by_vm.pop(vm, None)
        self._member_by_vm[self.own.vm] = self.own

    def record_heartbeat(self, member: Member, serving: bool, now_s: float) -> None:
        """Record a heartbeat.

        Args:
            member: VM that sent it.
            serving: Whether the VM accepts new callers.
            now_s: Monotonic time in seconds.
        """
        self._member_by_vm[member.vm] = member
        self._last_heartbeat_s_by_vm[member.vm] = now_s
        self._serving_by_vm[member.vm] = serving

    def other_members(self) -> list[Member]:
        """Return all known VMs except this one."""
        return [member for member in self._member_by_vm.values() if member.vm != self.own.vm]

    def other_fronts(self) -> list[Member]:
        """Return all known fronts except this VM."""
        return [member for member in self.other_members() if member.front_address is not None]

    def is_alive(self, vm: ids.VmId, now_s: float) -> bool:
        """Return whether a VM has sent a heartbeat within `DEAD_AFTER_S`.

        Args:
            vm: The VM.
            now_s: Monotonic time in seconds.
        """
        return now_s - self._last_heartbeat_s_by_vm.get(vm, -DEAD_AFTER_S) < DEAD_AFTER_S

    def live_fronts(self, now_s: float) -> list[Member]:
        """Return the other VMs to which callers may connect.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            Live VMs that accept callers, without this one.
        """
        return [
            member
            for member in self.other_members()
            if member.front_address is not None
            and self.is_alive(member.vm, now_s)
            and self._serving_by_vm.get(member.vm, False)
        ]

    def front_count(self) -> int:
        """Return the number of fronts that share a limit, including this one.

        All known fronts count, also those without a current heartbeat: after an outage of all VMs
        they serve again before their heartbeats arrive. Until the first list of VMs is received,
        the number is `ASSUMED_FRONTS`.
        """
        if not self._list_received:
            return ASSUMED_FRONTS
        return 1 + len(self.other_fronts())

    def front_rank(self, key: str) -> int:
        """Return the rank of this front among those that share a limit.

        A limit smaller than the number of fronts is allotted to the lowest ranks. Ranks differ
        between keys, so that each front gets a part of some limits.

        Args:
            key: Key of the limit.

        Returns:
            The rank, from 0 to `front_count()` - 1; pseudo-random for this VM and key until the
            first list of VMs is received.
        """
        if not self._list_received:
            return int(rendezvous.unit_weight(key, self.own.vm) * ASSUMED_FRONTS)
        fronts = frozenset(member.vm for member in self.other_fronts())
        if fronts != self._ranked_fronts or len(self._rank_by_key) > MAX_CACHED_RANKS:
            self._ranked_fronts = fronts
            self._rank_by_key.clear()
        rank = self._rank_by_key.get(key)
        if rank is None:
            own = rendezvous.weight(key, self.own.vm)
            rank = sum(rendezvous.weight(key, vm) > own for vm in fronts)
            self._rank_by_key[key] = rank
        return rank
