"""Members of the fleet: records, their merge rule, and the timers for silent members.

Only a member itself raises its heartbeat. Any other process may only report a more severe state
at the heartbeat that it knows, so that the member can refute the report with a higher heartbeat.
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
GONE_SUSPECT_AFTER_S = 1.0
"""Silence that is enough when the platform no longer lists the VM or its port refuses."""
GONE_DEAD_AFTER_S = 3.0
"""Silence after which such a member is declared dead."""
STALE_SUSPECT_AFTER_S = 60.0
"""Time without a new heartbeat after which a member that nobody here monitors is suspected."""
HEARTBEAT_PERIOD_S = 10.0
"""Time between heartbeats; monitoring uses direct contact, so they may be rare."""
PAUSE_GAP_S = 1.5
"""Gap between two ticks that counts as a pause of this process; ticks come every 0.5 s."""
DEAD_RETENTION_S = 7_200.0
"""Time that a dead member is remembered; outlasts a lost contact between regions of one hour."""
MEMBER_LIMIT = 4_096
"""Largest number of records; further unknown members are ignored."""


class Role(enum.IntEnum):
    """What a process does."""

    ENTRY = 1
    AGENT = 2


class State(enum.IntEnum):
    """State of a member in ascending severity."""

    ALIVE = 0
    SUSPECT = 1
    PAUSED = 2
    """Announced by a member that was paused, until it has caught up with a peer."""
    LEAVING = 3
    DEAD = 4


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRecord:
    """What is known of one member."""

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
    """Number of the process start, from the wall clock in milliseconds."""
    heartbeat: int
    """Raised only by the member itself."""
    state: State
    """State at this heartbeat."""
    caller_port: int = 0
    """Port for callers of an entry; 0 for an agent."""


class MergeResult(enum.StrEnum):
    """Effect of a record on the table."""

    NEW = "new"
    """The member was unknown, or is a new incarnation."""
    STATE = "state"
    """The state changed."""
    HEARTBEAT = "heartbeat"
    """Only the heartbeat rose."""
    NOTHING = "nothing"
    """The record was not newer."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListedVm:
    """A VM in the platform's list, which lags behind."""

    vm: ids.VmId
    """Name of the VM."""
    leaving: bool
    """Whether the platform is about to take the VM away."""


def order(record: MemberRecord) -> tuple[int, int, int, str, str, int, int, int]:
    """Order of the records of one VM; of two records the greater one holds.

    Args:
        record: Record of a member.

    Returns:
        Incarnation, heartbeat and severity, then the other fields, so that the order is total.
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

    The rule is the maximum of a total order: commutative, associative and idempotent.

    Args:
        known: One record.
        other: Another record of the same VM.

    Returns:
        The record that holds.
    """
    return other if order(other) > order(known) else known


@dataclasses.dataclass(slots=True)
class _Entry:
    record: MemberRecord
    evidence_s: float
    """Last contact, or arrival of a higher heartbeat."""
    changed_s: float
    """Last change of state or incarnation."""
    refused: bool = False
    """Whether the last attempt to connect was refused."""
    fingerprint: int = 0


class Membership:
    """Table of all members as this process knows them."""

    def __init__(self, own: MemberRecord, now_s: float) -> None:
        """Start with the record of this process; use `new_membership`.

        Args:
            own: Record of this process.
            now_s: Monotonic time in seconds.
        """
        self._own_vm = own.vm
        self._entry_by_vm: dict[ids.VmId, _Entry] = {}
        self._vm_by_address: dict[tuple[str, int], ids.VmId] = {}
        self._buckets = [0] * buckets.BUCKETS
        self._monitored: frozenset[ids.VmId] = frozenset()
        self._linked: set[ids.VmId] = set()
        self._listed: dict[ids.VmId, ListedVm] = {}
        self._leaving_hint: dict[ids.VmId, ids.Incarnation] = {}
        self._tick_s = now_s
        self._heard_s = now_s
        # Processes that start together raise their heartbeats at different times.
        self._heartbeat_s = now_s - HEARTBEAT_PERIOD_S * rendezvous.share("heartbeat", own.vm)
        self.settled = False
        """Whether a peer has answered; until then the incarnation may still be raised."""
        self.replaced = False
        """Whether a newer process has this VM's name or address; this process must stop."""
        self.set_version = 0
        """Changes whenever the set of members that are not dead changes."""
        self._store(own, now_s)

    @property
    def own(self) -> MemberRecord:
        """Record of this process."""
        return self._entry_by_vm[self._own_vm].record

    @property
    def bucket_hashes(self) -> tuple[int, ...]:
        """One 32-bit hash a bucket over VM, incarnation and state of members that are not dead."""
        return tuple(self._buckets)

    def record(self, vm: ids.VmId) -> MemberRecord | None:
        """Look up a member.

        Args:
            vm: Name of the VM.

        Returns:
            Its record, None when unknown.
        """
        entry = self._entry_by_vm.get(vm)
        return entry.record if entry else None

    def records(self) -> Iterable[MemberRecord]:
        """List all members.

        Returns:
            All records, dead members included.
        """
        return (entry.record for entry in self._entry_by_vm.values())

    def takes_new_work(self, vm: ids.VmId) -> bool:
        """Tell whether a member may receive new work.

        Args:
            vm: Name of the VM.

        Returns:
            True only for a member that is alive and that the platform does not list as leaving.
        """
        entry = self._entry_by_vm.get(vm)
        if entry is None or entry.record.state is not State.ALIVE:
            return False
        return self._leaving_hint.get(vm) != entry.record.incarnation

    def silence_s(self, vm: ids.VmId, now_s: float) -> float:
        """Time since the last evidence of a member.

        Args:
            vm: Name of the VM.
            now_s: Monotonic time in seconds.

        Returns:
            Seconds, infinite when the member is unknown.
        """
        entry = self._entry_by_vm.get(vm)
        return now_s - entry.evidence_s if entry else float("inf")

    def bucket_records(self, bucket: int) -> list[MemberRecord]:
        """List the records of one bucket.

        Args:
            bucket: Index from 0 to `buckets.BUCKETS` - 1.

        Returns:
            Records, dead members included, in order of VM names.
        """
        found = [
            e.record for e in self._entry_by_vm.values() if buckets.bucket_of(e.record.vm) == bucket
        ]
        return sorted(found, key=lambda record: record.vm)

    def merge(self, record: MemberRecord, now_s: float) -> MergeResult:
        """Take in a record that a peer sent.

        Args:
            record: Record of any member, this process included.
            now_s: Monotonic time in seconds.

        Returns:
            Effect on the table.
        """
        if record.vm == self._own_vm:
            return self._refute(record, now_s)
        entry = self._entry_by_vm.get(record.vm)
        if entry is None:
            # A dead member that is already forgotten here must not come back from a peer.
            if record.state is State.DEAD or len(self._entry_by_vm) >= MEMBER_LIMIT:
                return MergeResult.NOTHING
            self._store(record, now_s)
            self._resolve_address(record, now_s)
            return MergeResult.NEW
        known = entry.record
        if merge(known, record) is known:
            return MergeResult.NOTHING
        if (record.incarnation, record.heartbeat) > (known.incarnation, known.heartbeat):
            entry.evidence_s = now_s
            entry.refused = False
        self._store(record, now_s)
        if record.incarnation > known.incarnation:
            self._resolve_address(record, now_s)
            return MergeResult.NEW
        return MergeResult.HEARTBEAT if record.state is known.state else MergeResult.STATE

    def note_contact(self, vm: ids.VmId, now_s: float) -> None:
        """Note that a message of a member arrived here.

        Args:
            vm: Name of the VM.
            now_s: Monotonic time in seconds.
        """
        self._heard_s = now_s
        entry = self._entry_by_vm.get(vm)
        if entry:
            entry.evidence_s = now_s
            entry.refused = False

    def note_refused(self, vm: ids.VmId) -> None:
        """Note that the port of a member refused a connection: its process is gone.

        Args:
            vm: Name of the VM.
        """
        entry = self._entry_by_vm.get(vm)
        if entry:
            entry.refused = True

    def note_platform_list(self, listed: Iterable[ListedVm]) -> None:
        """Take in the platform's list of VMs.

        The list lags: it shortens the timers of silent members and hints at leaving ones, and
        never overrules direct contact.

        Args:
            listed: All VMs in the list.
        """
        previous = self._listed
        self._listed = {item.vm: item for item in listed}
        for vm, item in self._listed.items():
            entry = self._entry_by_vm.get(vm)
            was_leaving = vm in previous and previous[vm].leaving
            # The hint holds for the incarnation at its arrival; a later one is a replacement.
            if item.leaving and not was_leaving and entry:
                self._leaving_hint[vm] = entry.record.incarnation
        leaving = {vm for vm, item in self._listed.items() if item.leaving}
        self._leaving_hint = {vm: i for vm, i in self._leaving_hint.items() if vm in leaving}

    def monitor(self, vms: Iterable[ids.VmId]) -> None:
        """Set the neighbours whose silence this process judges.

        Args:
            vms: Names of VMs that this process contacts in every few rounds.
        """
        self._monitored = frozenset(vms)

    def link_opened(self, vm: ids.VmId, now_s: float) -> None:
        """Judge the silence of a member with a long-lived stream as well.

        Args:
            vm: Name of the VM.
            now_s: Monotonic time in seconds.
        """
        self._linked.add(vm)
        self.note_contact(vm, now_s)

    def link_closed(self, vm: ids.VmId) -> None:
        """Stop judging a member whose stream this process closed on purpose.

        Args:
            vm: Name of the VM.
        """
        self._linked.discard(vm)

    def announce(self, state: State, now_s: float) -> None:
        """Announce a state of this process; a leaving mark stays for good.

        Args:
            state: `ALIVE`, `PAUSED` or `LEAVING`.
            now_s: Monotonic time in seconds.
        """
        own = self.own
        if own.state is not State.LEAVING and own.state is not state:
            self._store(dataclasses.replace(own, heartbeat=own.heartbeat + 1, state=state), now_s)

    def tick(self, now_s: float) -> tuple[MemberRecord, ...]:
        """Run the timers; call before each round of exchange.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            Records that changed.
        """
        before = self.own
        gap_s = now_s - self._tick_s
        self._tick_s = now_s
        if gap_s > PAUSE_GAP_S:
            # Everyone seems silent after a pause of this process; the others are not at fault.
            for entry in self._entry_by_vm.values():
                entry.evidence_s = min(now_s, entry.evidence_s + gap_s)
            self._heard_s = min(now_s, self._heard_s + gap_s)
            if gap_s > SUSPECT_AFTER_S and self.settled:
                self.announce(State.PAUSED, now_s)
        if now_s - self._heartbeat_s >= HEARTBEAT_PERIOD_S:
            self._heartbeat_s = now_s
            own = self.own
            self._store(dataclasses.replace(own, heartbeat=own.heartbeat + 1), now_s)
        changed = [] if self.own is before else [self.own]
        # A process that hears nobody is cut off itself and has no evidence against others.
        if now_s - self._heard_s <= SUSPECT_AFTER_S:
            changed.extend(self._judge_all(now_s))
        self._forget(now_s)
        return tuple(changed)

    def _judge_all(self, now_s: float) -> list[MemberRecord]:
        worse: list[MemberRecord] = []
        for vm, entry in self._entry_by_vm.items():
            if vm != self._own_vm and now_s - entry.evidence_s > GONE_SUSPECT_AFTER_S:
                state = self._judged(vm, entry, now_s)
                if state > entry.record.state:
                    worse.append(dataclasses.replace(entry.record, state=state))
        for record in worse:
            self._store(record, now_s)
        return worse

    def _judged(self, vm: ids.VmId, entry: _Entry, now_s: float) -> State:
        silence_s = now_s - entry.evidence_s
        suspect_s, dead_s = STALE_SUSPECT_AFTER_S, STALE_SUSPECT_AFTER_S + DEAD_AFTER_S
        if vm in self._monitored or vm in self._linked:
            suspect_s, dead_s = SUSPECT_AFTER_S, DEAD_AFTER_S
            if entry.refused or (self._listed and vm not in self._listed):
                suspect_s, dead_s = GONE_SUSPECT_AFTER_S, GONE_DEAD_AFTER_S
        elif entry.record.state is State.SUSPECT:
            # Backstop for a lost death record of the monitoring processes.
            dead_s = max(DEAD_AFTER_S, entry.changed_s - entry.evidence_s + DEAD_AFTER_S)
        if silence_s > dead_s:
            return State.DEAD
        return State.SUSPECT if silence_s > suspect_s else State.ALIVE

    def _refute(self, record: MemberRecord, now_s: float) -> MergeResult:
        own = self.own
        if order(record) <= order(own):
            return MergeResult.NOTHING
        if record.incarnation > own.incarnation:
            return self._outranked(record.incarnation, now_s)
        self._store(dataclasses.replace(own, heartbeat=record.heartbeat + 1), now_s)
        return MergeResult.STATE

    def _resolve_address(self, record: MemberRecord, now_s: float) -> None:
        """An address has one holder: the latest start declares the earlier ones dead."""
        holder = self._vm_by_address.get((record.host, record.port))
        if holder is None or holder == record.vm or holder not in self._entry_by_vm:
            self._vm_by_address[record.host, record.port] = record.vm
            return
        other = self._entry_by_vm[holder].record
        newer, older = record, other
        if (other.incarnation, other.vm) > (record.incarnation, record.vm):
            newer, older = other, record
        if older.vm == self._own_vm:
            self._outranked(newer.incarnation, now_s)
            return
        self._vm_by_address[record.host, record.port] = newer.vm
        if older.state is not State.DEAD and newer.state is not State.DEAD:
            self._store(dataclasses.replace(older, state=State.DEAD), now_s)

    def _outranked(self, incarnation: ids.Incarnation, now_s: float) -> MergeResult:
        if self.settled:
            self.replaced = True
            return MergeResult.NOTHING
        # The clock of this VM is behind that of its predecessor.
        own = dataclasses.replace(self.own, incarnation=ids.Incarnation(incarnation + 1))
        self._store(dataclasses.replace(own, heartbeat=0), now_s)
        return MergeResult.STATE

    def _store(self, record: MemberRecord, now_s: float) -> None:
        entry = self._entry_by_vm.get(record.vm)
        if entry is None:
            entry = _Entry(record, now_s, now_s)
            self._entry_by_vm[record.vm] = entry
            self._vm_by_address.setdefault((record.host, record.port), record.vm)
            self.set_version += 1
        elif (entry.record.state, entry.record.incarnation) != (record.state, record.incarnation):
            entry.changed_s = now_s
            if State.DEAD in (entry.record.state, record.state):
                self.set_version += 1
        fingerprint = entry.fingerprint
        known = entry.record
        same = (known.incarnation, known.state) == (record.incarnation, record.state)
        if known is record or not same:
            dead = record.state is State.DEAD
            fingerprint = (
                0 if dead else buckets.hash_of(record.vm, record.incarnation, record.state)
            )
        self._buckets[buckets.bucket_of(record.vm)] ^= entry.fingerprint ^ fingerprint
        entry.fingerprint = fingerprint
        entry.record = record

    def _forget(self, now_s: float) -> None:
        for vm, entry in list(self._entry_by_vm.items()):
            if entry.record.state is State.DEAD and now_s - entry.changed_s > DEAD_RETENTION_S:
                del self._entry_by_vm[vm]
                address = (entry.record.host, entry.record.port)
                if self._vm_by_address.get(address) == vm:
                    del self._vm_by_address[address]


def new_membership(own: MemberRecord, now_s: float) -> Membership:
    """Create the table of a process.

    Args:
        own: Record of this process, normally `ALIVE` with heartbeat 0.
        now_s: Monotonic time in seconds.

    Returns:
        A table with one member.
    """
    return Membership(own, now_s)
