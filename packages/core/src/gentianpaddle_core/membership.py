"""Membership table: records, their merge rule, and failure detection for silent members.

Only a member itself increases its heartbeat. Other processes may only report a more severe state
at the heartbeat that they know, so that the member can refute the report with a higher heartbeat.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterable

from gentianpaddle_core import buckets, ids, rendezvous

SUSPECT_AFTER_S = 3.0
"""Silence after which a monitored member is suspected."""
DEAD_AFTER_S = 10.0
"""Silence after which a monitored member is declared dead."""
UNREACHABLE_SUSPECT_AFTER_S = 1.0
"""Silence after which an unreachable member is suspected.

A member is unreachable when the platform no longer lists its VM or its port refuses connections.
"""
UNREACHABLE_DEAD_AFTER_S = 3.0
"""Silence after which an unreachable member is declared dead."""
UNMONITORED_SUSPECT_AFTER_S = 60.0
"""Time without a new heartbeat after which an unmonitored member is suspected."""
HEARTBEAT_PERIOD_S = 10.0
"""Time between heartbeats; they can be infrequent because monitoring relies on direct contact."""
PAUSE_THRESHOLD_S = 1.5
"""Time between two ticks above which this process counts as paused.

Ticks come with the digest rounds: about every 0.5 s at an entry and every 1 s at an agent.
"""
DEAD_RETENTION_S = 7_200.0
"""Time for which a dead member is kept; outlasts a one-hour network partition between regions."""
MEMBER_LIMIT = 4_096
"""Maximum number of records; further unknown members are ignored."""


class Role(enum.IntEnum):
    """Role of a process."""

    ENTRY = 1
    AGENT = 2


class State(enum.IntEnum):
    """State of a member, in ascending order of severity."""

    ALIVE = 0
    SUSPECT = 1
    PAUSED = 2
    """Announced by a member that was paused, until it has exchanged digests with a peer."""
    LEAVING = 3
    DEAD = 4


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRecord:
    """Record of one member, as exchanged between processes."""

    vm: ids.VmId
    """Name of the VM."""
    data_centre: ids.DataCentreId
    """Data centre of the VM."""
    host: str
    """IP address."""
    port: int
    """TCP port."""
    role: Role
    """Role of the process."""
    incarnation: ids.Incarnation
    """Number of the process start: wall-clock time of the start in milliseconds."""
    heartbeat: int
    """Heartbeat counter, increased only by the member itself."""
    state: State
    """State at this heartbeat."""
    caller_port: int = 0
    """Port on which an entry accepts callers; 0 for an agent."""


class MergeResult(enum.StrEnum):
    """Effect of merging a record into the table."""

    NEW = "new"
    """The member was unknown or has a new incarnation."""
    STATE_CHANGED = "state"
    """The state changed."""
    HEARTBEAT = "heartbeat"
    """Only the heartbeat increased."""
    UNCHANGED = "nothing"
    """The record was not newer."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListedVm:
    """VM in the list of the platform, which may be out of date."""

    vm: ids.VmId
    """Name of the VM."""
    leaving: bool
    """Whether the platform is about to remove the VM."""


def precedence_key(record: MemberRecord) -> tuple[int, int, int, str, str, int, int, int]:
    """Return the sort key of a record among the records of one VM; the greater record wins.

    Args:
        record: Record of a member.

    Returns:
        Incarnation, heartbeat and state, then the other fields, so that the order is total.
    """
    return (
        record.incarnation,
        record.heartbeat,
        record.state,
        record.host,
        record.data_centre,
        record.port,
        record.role,
        record.caller_port,
    )


def merge(known: MemberRecord, other: MemberRecord) -> MemberRecord:
    """Merge two records of one VM.

    The result is the maximum of a total order, so merging is commutative, associative and
    idempotent.

    Args:
        known: One record.
        other: Another record of the same VM.

    Returns:
        The record with the greater precedence key.
    """
    return other if precedence_key(other) > precedence_key(known) else known


@dataclasses.dataclass(slots=True)
class _TrackedMember:
    record: MemberRecord
    last_evidence_s: float
    """Time of the last contact or of the arrival of a higher heartbeat."""
    state_changed_s: float
    """Time of the last change of state or incarnation."""
    is_connection_refused: bool = False
    """Whether the last connection attempt was refused."""
    record_hash: int = 0


class Membership:
    """Table of all members known to this process."""

    def __init__(self, own: MemberRecord, now_s: float) -> None:
        """Create a table with the record of this process; use `new_membership`.

        Args:
            own: Record of this process.
            now_s: Monotonic time in seconds.
        """
        self._own_vm = own.vm
        self._member_by_vm: dict[ids.VmId, _TrackedMember] = {}
        self._vm_by_address: dict[tuple[str, int], ids.VmId] = {}
        self._buckets = [0] * buckets.BUCKET_COUNT
        self._monitored: frozenset[ids.VmId] = frozenset()
        self._stream_peers: set[ids.VmId] = set()
        self._listed_by_vm: dict[ids.VmId, ListedVm] = {}
        self._leaving_incarnation_by_vm: dict[ids.VmId, ids.Incarnation] = {}
        self._last_tick_s = now_s
        self._last_contact_s = now_s
        # The offset spreads the heartbeats of processes that start at the same time.
        self._last_heartbeat_s = now_s - HEARTBEAT_PERIOD_S * rendezvous.unit_weight(
            "heartbeat", own.vm
        )
        self.has_peer_contact = False
        """Whether a peer has replied; until then this process may raise its incarnation."""
        self.is_superseded = False
        """Whether a newer process uses the name or address of this VM, so this one must stop."""
        self.live_set_version = 0
        """Version of the set of members that are not dead; increases with each change."""
        self._store_record(own, now_s)

    @property
    def own(self) -> MemberRecord:
        """Record of this process."""
        return self._member_by_vm[self._own_vm].record

    @property
    def bucket_hashes(self) -> tuple[int, ...]:
        """32-bit hash per bucket over VM, incarnation and state of members that are not dead."""
        return tuple(self._buckets)

    def record(self, vm: ids.VmId) -> MemberRecord | None:
        """Look up a member.

        Args:
            vm: Name of the VM.

        Returns:
            Its record, None when unknown.
        """
        member = self._member_by_vm.get(vm)
        return member.record if member else None

    def records(self) -> Iterable[MemberRecord]:
        """Return the records of all members.

        Returns:
            All records, dead members included.
        """
        return (member.record for member in self._member_by_vm.values())

    def accepts_new_work(self, vm: ids.VmId) -> bool:
        """Return whether a member may receive new work.

        Args:
            vm: Name of the VM.

        Returns:
            True if the member is alive and the platform does not list it as leaving.
        """
        member = self._member_by_vm.get(vm)
        if member is None or member.record.state is not State.ALIVE:
            return False
        return self._leaving_incarnation_by_vm.get(vm) != member.record.incarnation

    def silence_s(self, vm: ids.VmId, now_s: float) -> float:
        """Return the time since the last contact or new heartbeat of a member.

        Args:
            vm: Name of the VM.
            now_s: Monotonic time in seconds.

        Returns:
            Time in seconds, infinite when the member is unknown.
        """
        member = self._member_by_vm.get(vm)
        return now_s - member.last_evidence_s if member else float("inf")

    def bucket_records(self, bucket: int) -> list[MemberRecord]:
        """Return the records of one bucket.

        Args:
            bucket: Index from 0 to `buckets.BUCKET_COUNT` - 1.

        Returns:
            Records, dead members included, sorted by VM name.
        """
        found = [
            e.record
            for e in self._member_by_vm.values()
            if buckets.bucket_of(e.record.vm) == bucket
        ]
        return sorted(found, key=lambda record: record.vm)

    def merge(self, record: MemberRecord, now_s: float) -> MergeResult:
        """Merge a record from a peer into the table.

        Args:
            record: Record of any member, this process included.
            now_s: Monotonic time in seconds.

        Returns:
            Effect on the table.
        """
        if record.vm == self._own_vm:
            return self._refute_report(record, now_s)
        member = self._member_by_vm.get(record.vm)
        if member is None:
            # A dead member that was removed here must not be added again by a peer.
            if record.state is State.DEAD or len(self._member_by_vm) >= MEMBER_LIMIT:
                return MergeResult.UNCHANGED
            self._store_record(record, now_s)
            self._resolve_address_conflict(record, now_s)
            return MergeResult.NEW
        known = member.record
        if merge(known, record) is known:
            return MergeResult.UNCHANGED
        if (record.incarnation, record.heartbeat) > (known.incarnation, known.heartbeat):
            member.last_evidence_s = now_s
            member.is_connection_refused = False
        self._store_record(record, now_s)
        if record.incarnation > known.incarnation:
            self._resolve_address_conflict(record, now_s)
            return MergeResult.NEW
        return MergeResult.HEARTBEAT if record.state is known.state else MergeResult.STATE_CHANGED

    def record_contact(self, vm: ids.VmId, now_s: float) -> None:
        """Record that a message from a member arrived.

        Args:
            vm: Name of the VM.
            now_s: Monotonic time in seconds.
        """
        self._last_contact_s = now_s
        member = self._member_by_vm.get(vm)
        if member:
            member.last_evidence_s = now_s
            member.is_connection_refused = False

    def record_connection_refused(self, vm: ids.VmId) -> None:
        """Record that the port of a member refused a connection, so its process has ended.

        Args:
            vm: Name of the VM.
        """
        member = self._member_by_vm.get(vm)
        if member:
            member.is_connection_refused = True

    def update_platform_list(self, listed: Iterable[ListedVm]) -> None:
        """Replace the platform's list of VMs.

        The list may be out of date. It therefore only shortens the timers of silent members and
        marks members that are about to leave; it never overrides direct contact.

        Args:
            listed: All VMs in the new list.
        """
        previous = self._listed_by_vm
        self._listed_by_vm = {item.vm: item for item in listed}
        for vm, item in self._listed_by_vm.items():
            member = self._member_by_vm.get(vm)
            was_leaving = vm in previous and previous[vm].leaving
            # The mark applies to the current incarnation; a later one is a replacement.
            if item.leaving and not was_leaving and member:
                self._leaving_incarnation_by_vm[vm] = member.record.incarnation
        leaving = {vm for vm, item in self._listed_by_vm.items() if item.leaving}
        self._leaving_incarnation_by_vm = {
            vm: i for vm, i in self._leaving_incarnation_by_vm.items() if vm in leaving
        }

    def set_monitored(self, vms: Iterable[ids.VmId]) -> None:
        """Set the neighbours that this process monitors for silence.

        Args:
            vms: Names of VMs that this process contacts regularly.
        """
        self._monitored = frozenset(vms)

    def stream_opened(self, vm: ids.VmId, now_s: float) -> None:
        """Start monitoring a member to which a long-lived stream is open.

        Args:
            vm: Name of the VM.
            now_s: Monotonic time in seconds.
        """
        self._stream_peers.add(vm)
        self.record_contact(vm, now_s)

    def stream_closed(self, vm: ids.VmId) -> None:
        """Stop monitoring a member whose stream this process closed deliberately.

        Args:
            vm: Name of the VM.
        """
        self._stream_peers.discard(vm)

    def announce(self, state: State, now_s: float) -> None:
        """Set the state of this process and increase its heartbeat; the next exchange sends both.

        There is no effect if the state is unchanged or was set to `LEAVING` before.

        Args:
            state: `ALIVE`, `PAUSED` or `LEAVING`.
            now_s: Monotonic time in seconds.
        """
        own = self.own
        if own.state is not State.LEAVING and own.state is not state:
            self._store_record(
                dataclasses.replace(own, heartbeat=own.heartbeat + 1, state=state), now_s
            )

    def tick(self, now_s: float) -> tuple[MemberRecord, ...]:
        """Run the timers; call before each exchange round.

        Increases the heartbeat of this process when it is due, marks silent members as suspect or
        dead, and removes members that have been dead for `DEAD_RETENTION_S`.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            Records that changed.
        """
        previous_own = self.own
        gap_s = now_s - self._last_tick_s
        self._last_tick_s = now_s
        if gap_s > PAUSE_THRESHOLD_S:
            # After a pause of this process all members appear silent, so the pause is not counted.
            for member in self._member_by_vm.values():
                member.last_evidence_s = min(now_s, member.last_evidence_s + gap_s)
            self._last_contact_s = min(now_s, self._last_contact_s + gap_s)
            if gap_s > SUSPECT_AFTER_S and self.has_peer_contact:
                self.announce(State.PAUSED, now_s)
        if now_s - self._last_heartbeat_s >= HEARTBEAT_PERIOD_S:
            self._last_heartbeat_s = now_s
            own = self.own
            self._store_record(dataclasses.replace(own, heartbeat=own.heartbeat + 1), now_s)
        changed = [] if self.own is previous_own else [self.own]
        # A process without any contact is isolated itself and cannot judge the silence of others.
        if now_s - self._last_contact_s <= SUSPECT_AFTER_S:
            changed.extend(self._escalate_silent_members(now_s))
        self._forget_dead_members(now_s)
        return tuple(changed)

    def _escalate_silent_members(self, now_s: float) -> list[MemberRecord]:
        escalated: list[MemberRecord] = []
        for vm, member in self._member_by_vm.items():
            if vm != self._own_vm and now_s - member.last_evidence_s > UNREACHABLE_SUSPECT_AFTER_S:
                state = self._state_from_silence(vm, member, now_s)
                if state > member.record.state:
                    escalated.append(dataclasses.replace(member.record, state=state))
        for record in escalated:
            self._store_record(record, now_s)
        return escalated

    def _state_from_silence(self, vm: ids.VmId, member: _TrackedMember, now_s: float) -> State:
        silence_s = now_s - member.last_evidence_s
        suspect_s, dead_s = UNMONITORED_SUSPECT_AFTER_S, UNMONITORED_SUSPECT_AFTER_S + DEAD_AFTER_S
        if vm in self._monitored or vm in self._stream_peers:
            suspect_s, dead_s = SUSPECT_AFTER_S, DEAD_AFTER_S
            if member.is_connection_refused or (
                self._listed_by_vm and vm not in self._listed_by_vm
            ):
                suspect_s, dead_s = UNREACHABLE_SUSPECT_AFTER_S, UNREACHABLE_DEAD_AFTER_S
        elif member.record.state is State.SUSPECT:
            # Covers the loss of the death record that the monitoring processes sent.
            dead_s = max(
                DEAD_AFTER_S, member.state_changed_s - member.last_evidence_s + DEAD_AFTER_S
            )
        if silence_s > dead_s:
            return State.DEAD
        return State.SUSPECT if silence_s > suspect_s else State.ALIVE

    def _refute_report(self, record: MemberRecord, now_s: float) -> MergeResult:
        own = self.own
        if precedence_key(record) <= precedence_key(own):
            return MergeResult.UNCHANGED
        if record.incarnation > own.incarnation:
            return self._handle_newer_incarnation(record.incarnation, now_s)
        self._store_record(dataclasses.replace(own, heartbeat=record.heartbeat + 1), now_s)
        return MergeResult.STATE_CHANGED

    def _resolve_address_conflict(self, record: MemberRecord, now_s: float) -> None:
        """Resolve two members with one address: the later start wins, the other becomes `DEAD`."""
        holder = self._vm_by_address.get((record.host, record.port))
        if holder is None or holder == record.vm or holder not in self._member_by_vm:
            self._vm_by_address[record.host, record.port] = record.vm
            return
        other = self._member_by_vm[holder].record
        newer, older = record, other
        if (other.incarnation, other.vm) > (record.incarnation, record.vm):
            newer, older = other, record
        if older.vm == self._own_vm:
            self._handle_newer_incarnation(newer.incarnation, now_s)
            return
        self._vm_by_address[record.host, record.port] = newer.vm
        if older.state is not State.DEAD and newer.state is not State.DEAD:
            self._store_record(dataclasses.replace(older, state=State.DEAD), now_s)

    def _handle_newer_incarnation(self, incarnation: ids.Incarnation, now_s: float) -> MergeResult:
        if self.has_peer_contact:
            self.is_superseded = True
            return MergeResult.UNCHANGED
        # The clock of this VM is behind the clock of its predecessor.
        own = dataclasses.replace(self.own, incarnation=ids.Incarnation(incarnation + 1))
        self._store_record(dataclasses.replace(own, heartbeat=0), now_s)
        return MergeResult.STATE_CHANGED

    def _store_record(self, record: MemberRecord, now_s: float) -> None:
        member = self._member_by_vm.get(record.vm)
        if member is None:
            member = _TrackedMember(record, now_s, now_s)
            self._member_by_vm[record.vm] = member
            self._vm_by_address.setdefault((record.host, record.port), record.vm)
            self.live_set_version += 1
        elif (member.record.state, member.record.incarnation) != (record.state, record.incarnation):
            member.state_changed_s = now_s
            if State.DEAD in (member.record.state, record.state):
                self.live_set_version += 1
        record_hash = member.record_hash
        known = member.record
        is_same_state = (known.incarnation, known.state) == (record.incarnation, record.state)
        if known is record or not is_same_state:
            is_dead = record.state is State.DEAD
            record_hash = (
                0 if is_dead else buckets.record_hash(record.vm, record.incarnation, record.state)
            )
        self._buckets[buckets.bucket_of(record.vm)] ^= member.record_hash ^ record_hash
        member.record_hash = record_hash
        member.record = record

    def _forget_dead_members(self, now_s: float) -> None:
        for vm, member in list(self._member_by_vm.items()):
            if (
                member.record.state is State.DEAD
                and now_s - member.state_changed_s > DEAD_RETENTION_S
            ):
                del self._member_by_vm[vm]
                address = (member.record.host, member.record.port)
                if self._vm_by_address.get(address) == vm:
                    del self._vm_by_address[address]


def new_membership(own: MemberRecord, now_s: float) -> Membership:
    """Create the membership table of a process.

    Args:
        own: Record of this process, normally `ALIVE` with heartbeat 0.
        now_s: Monotonic time in seconds.

    Returns:
        A table that contains only this process.
    """
    return Membership(own, now_s)
