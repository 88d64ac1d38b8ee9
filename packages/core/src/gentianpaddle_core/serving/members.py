"""Which VMs of the system are alive, from their heartbeats.

VMs register once in the platform's store; whether one is alive is told by its own datagrams, so
that the store is not written to at the rate of heartbeats.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from gentianpaddle_core import ids, rendezvous

HEARTBEAT_S = 0.5
"""Pause between datagrams to each other VM."""

UNKNOWN_FRONTS = 16
"""Fronts that a process assumes to share a limit with while it does not know them."""

RANKS_KEPT = 4_096
"""Keys for which a place is remembered; a new one costs about 40 hashes."""

DEAD_AFTER_S = 2.6
"""Five lost datagrams in a row; callers may be given a dead VM for 6 s at most."""


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A VM of the system as it registers itself."""

    vm: ids.VmId
    data_centre: ids.DataCentreId
    ip: str
    port: int
    """Where it takes datagrams and calls of the other VMs."""
    front_address: str | None
    """Where callers connect, or None."""
    engine_address: str | None
    """Backend server on that VM, or None."""


class MemberView:
    """VMs that one process knows."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self._member_by_vm: dict[ids.VmId, Member] = {own.vm: own}
        self._listed = False
        self._heard_s_by_vm: dict[ids.VmId, float] = {}
        self._serving_by_vm: dict[ids.VmId, bool] = {}
        self._rank_by_key: dict[str, int] = {}
        self._ranked: frozenset[ids.VmId] = frozenset()
        """Fronts for which the ranks hold."""

    def replace(self, members: Iterable[Member]) -> None:
        """Take the complete list of registered VMs.

        Args:
            members: All VMs that the store lists.
        """
        self._listed = True
        heard = {
            vm: member for vm, member in self._member_by_vm.items() if vm in self._heard_s_by_vm
        }
        # What a VM says of itself is newer than what a stale read says of it.
        self._member_by_vm = {member.vm: member for member in members} | heard
        self._member_by_vm[self.own.vm] = self.own

    def heard(self, member: Member, serving: bool, now_s: float) -> None:
        """Note a datagram.

        Args:
            member: VM that sent it.
            serving: Whether it takes new callers.
            now_s: Monotonic time in seconds.
        """
        self._member_by_vm[member.vm] = member
        self._heard_s_by_vm[member.vm] = now_s
        self._serving_by_vm[member.vm] = serving

    def others(self) -> list[Member]:
        """Return all registered VMs but this one."""
        return [member for member in self._member_by_vm.values() if member.vm != self.own.vm]

    def alive(self, vm: ids.VmId, now_s: float) -> bool:
        """Return whether a VM was heard of lately.

        Args:
            vm: The VM.
            now_s: Monotonic time in seconds.
        """
        return now_s - self._heard_s_by_vm.get(vm, -DEAD_AFTER_S) < DEAD_AFTER_S

    def fronts(self, now_s: float) -> list[Member]:
        """Return the VMs that callers may connect to.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            Other live VMs that serve callers; this one is left out.
        """
        return [
            member
            for member in self.others()
            if member.front_address is not None
            and self.alive(member.vm, now_s)
            and self._serving_by_vm.get(member.vm, False)
        ]

    def sharers(self) -> int:
        """Return how many fronts a limit is shared by, this one included.

        Registered fronts count also while they are silent: after an outage of all VMs they are
        back before their heartbeats are.
        """
        if not self._listed:
            return UNKNOWN_FRONTS
        return 1 + sum(member.front_address is not None for member in self.others())

    def share_rank(self, key: str) -> int:
        """Return this front's place among those that share a limit.

        A limit that is smaller than the number of fronts is given to the first places. Places
        differ from key to key, so that each front has some.

        Args:
            key: What the limit is for.

        Returns:
            A number from 0 to below `sharers()`.
        """
        if not self._listed:
            return int(rendezvous.share(key, self.own.vm) * UNKNOWN_FRONTS)
        fronts = frozenset(m.vm for m in self.others() if m.front_address is not None)
        if fronts != self._ranked or len(self._rank_by_key) > RANKS_KEPT:
            self._ranked = fronts
            self._rank_by_key.clear()
        rank = self._rank_by_key.get(key)
        if rank is None:
            own = rendezvous.weight(key, self.own.vm)
            rank = sum(rendezvous.weight(key, vm) > own for vm in fronts)
            self._rank_by_key[key] = rank
        return rank
