"""Digest exchange between the processes of the system.

A message carries the sender's own record, records that changed recently, heartbeats that rose,
one hash for each of 32 buckets of records, and records of buckets that are known to differ.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterable

from gentianpaddle_core import (
    buckets,
    configuration_parts,
    crash_exchange,
    digest_messages,
    ids,
    membership,
    neighbours,
    send_budget,
    settings,
)

ENTRY_ROUND_S = 0.5
"""Time between two rounds of an entry."""
AGENT_ROUND_S = 1.0
"""Time between two rounds of an agent, which also hears entries on its streams."""
STATE_SENDS = 10
"""Messages that carry a record after its state changed."""
BULK_STATES = 32
"""Number of changed states above which each is sent less often, as after a lost region."""
BULK_STATE_SENDS = 3
"""Messages that carry a changed record then; differing buckets bring what is missed."""
HEARTBEAT_SENDS = 3
"""Messages that carry a heartbeat after it rose; each is forwarded by most members."""
SILENCE_FIRST_S = 1.0
"""Silence after which a monitored neighbour is contacted out of turn."""
EXTRA_CONTACTS = 2
"""Largest number of such contacts in a round."""
LOST_MEMBER_ROUNDS = 4
"""Every so many rounds dead members are tried, so that a lost region is found again."""
LOST_MEMBER_TRIES = 4
"""Tries of each dead member by the whole fleet in that time."""
STATE_BYTES = 512.0
"""Share of a message that changed states may take even without budget."""
DIFFERING_PEERS = 32
"""Peers of which the differing buckets are remembered until the next contact."""


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A request and where it goes."""

    address: settings.Address
    """Address of the receiver."""
    vm: ids.VmId | None
    """Expected receiver, None for a seed whose name is unknown."""
    request: digest_messages.ExchangeRequest
    """The request."""
    sent_s: float
    """Monotonic time at which it was built, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Learned:
    """What changed since the last call of `take_learned`."""

    records: tuple[membership.MemberRecord, ...]
    """Latest records of members that are new or changed state, this process included."""
    configuration_changed: bool
    """Whether a newer configuration is in force."""
    crashes: tuple[digest_messages.CrashRecord, ...]
    """Crash records that changed."""


class Exchanger:
    """Digest exchange of one process."""

    def __init__(
        self,
        table: membership.Membership,
        seeds: tuple[settings.Address, ...],
        crashes: crash_exchange.CrashExchange,
        now_s: float,
    ) -> None:
        """Start without peers; use `new_exchanger`.

        Args:
            table: Members, with the record of this process.
            seeds: Addresses of entries to contact first.
            crashes: Crash records of this process.
            now_s: Monotonic time in seconds.
        """
        self.table = table
        """Members."""
        self.configuration = configuration_parts.new_configuration_exchange()
        """Configuration in force and age of the view."""
        self.crashes = crashes
        """Crash records; put own ones with `put_crash`."""
        self._seeds = seeds
        self._choice = neighbours.new_neighbours(table.own)
        self._round = 0
        self._state_sends: dict[ids.VmId, int] = {}
        self._heartbeat_sends: dict[ids.VmId, int] = {}
        self._differing_by_peer: dict[ids.VmId, tuple[int, ...]] = {}
        self._revision_by_peer: dict[ids.VmId, ids.Revision] = {}
        self._budget = send_budget.new_send_budget(now_s)
        self._learned_vms: set[ids.VmId] = set()
        self._learned_crashes: dict[ids.Fingerprint, digest_messages.CrashRecord] = {}
        self._learned_configuration = False

    @property
    def round_s(self) -> float:
        """Seconds between two rounds of this process."""
        entry = self.table.own.role is membership.Role.ENTRY
        return ENTRY_ROUND_S if entry else AGENT_ROUND_S

    def revision_of(self, vm: ids.VmId) -> ids.Revision:
        """Return the revision that a member last reported, 0 when none is known."""
        return self._revision_by_peer.get(vm, ids.Revision(0))

    def announce(self, state: membership.State, now_s: float) -> None:
        """Announce a state of this process; follow with `build_requests(..., everyone=True)`.

        Args:
            state: `ALIVE`, `PAUSED` or `LEAVING`; a leaving mark stays.
            now_s: Monotonic time in seconds.
        """
        self.table.announce(state, now_s)
        self.note_changed(self.table.own.vm, membership.MergeResult.STATE)

    def put_configuration(self, revision: ids.Revision, document: bytes, read_s: float) -> bool:
        """Put in force what a watcher or a reader got from the object API.

        Args:
            revision: Revision of the document.
            document: The document.
            read_s: Monotonic time at which the read was sent, in seconds.

        Returns:
            True when it was newer.
        """
        newer = self.configuration.put(revision, document)
        self.configuration.confirm(revision, read_s)
        self._learned_configuration |= newer
        return newer

    def put_crash(self, record: digest_messages.CrashRecord, now_s: float) -> None:
        """Spread a crash record of this process.

        Args:
            record: The record.
            now_s: Monotonic time in seconds.
        """
        if self.crashes.put(record, now_s):
            self._learned_crashes[record.fingerprint] = record

    def take_learned(self) -> Learned:
        """Take what changed since the last call.

        Returns:
            Changes, from messages and timers.
        """
        records = [self.table.record(vm) for vm in sorted(self._learned_vms)]
        learned = Learned(
            tuple(record for record in records if record),
            self._learned_configuration,
            tuple(self._learned_crashes.values()),
        )
        self._learned_vms.clear()
        self._learned_crashes.clear()
        self._learned_configuration = False
        return learned

    def build_requests(
        self, now_s: float, rng: random.Random, *, everyone: bool = False
    ) -> tuple[Outgoing, ...]:
        """Run the timers and build the requests of a round.

        Args:
            now_s: Monotonic time in seconds.
            rng: Source of randomness.
            everyone: Contact all neighbours at once, for an urgent change.

        Returns:
            Requests to 2 neighbours of an entry or 1 of an agent, to further silent neighbours,
            and at times to a dead member or a seed.
        """
        for record in self.table.tick(now_s):
            same = record.vm == self.table.own.vm and record.state is self.table.own.state
            kind = membership.MergeResult.HEARTBEAT if same else membership.MergeResult.STATE
            self.note_changed(record.vm, kind)
        self._round += 1
        chosen = self._choice.update(self.table)
        self.table.monitor(self._choice.monitored)
        targets = chosen if everyone else self._targets(chosen, now_s)
        outgoing = [self._outgoing_to(vm, now_s, rng) for vm in targets]
        if self._round % LOST_MEMBER_ROUNDS == 0 or not targets:
            outgoing.extend(self._lost_member(now_s, rng))
        return tuple(outgoing)

    def handle_request(
        self, request: digest_messages.ExchangeRequest, now_s: float, rng: random.Random
    ) -> digest_messages.ExchangeReply:
        """Take in a request of a peer.

        Args:
            request: The request.
            now_s: Monotonic time in seconds.
            rng: Source of randomness.

        Returns:
            The reply.
        """
        self._take_in(request, now_s)
        differing = self._differing(request.bucket_hashes)
        own = self.configuration
        budget = self._budget.left(now_s)
        parts = own.parts_for(
            request.revision, request.partial_revision, request.partial_bytes, int(budget)
        )
        sent = frozenset(record.vm for record in request.records)
        records, digest = self._payload(differing, sent, budget - _parts_bytes(parts), rng)
        reply = digest_messages.ExchangeReply(
            vm=self.table.own.vm,
            records=records,
            digest=digest,
            bucket_hashes=self.table.bucket_hashes if differing else (),
            revision=own.revision,
            view_age_ms=self._view_age_ms(now_s),
            parts=parts,
            crashes=self.crashes.to_send(now_s),
        )
        self._budget.spend(reply)
        return reply

    def handle_reply(
        self, outgoing: Outgoing, reply: digest_messages.ExchangeReply, now_s: float
    ) -> None:
        """Take in the reply to a request.

        Args:
            outgoing: The request.
            reply: Its reply.
            now_s: Monotonic time in seconds.
        """
        self._take_in(reply, now_s)
        if reply.view_age_ms != digest_messages.UNKNOWN_AGE_MS:
            # The reply was built after the request was sent, so this age is not too low.
            confirmed_s = outgoing.sent_s - reply.view_age_ms / 1_000
            self.configuration.confirm(reply.revision, confirmed_s)
        self._differing_by_peer.pop(reply.vm, None)
        if reply.bucket_hashes:
            while len(self._differing_by_peer) >= DIFFERING_PEERS:
                del self._differing_by_peer[next(iter(self._differing_by_peer))]
            self._differing_by_peer[reply.vm] = self._differing(reply.bucket_hashes)
        self.table.settled = True
        if self.table.own.state is membership.State.PAUSED:
            self.announce(membership.State.ALIVE, now_s)

    def handle_failure(self, outgoing: Outgoing, refused: bool) -> None:
        """Note that a request got no reply.

        Args:
            outgoing: The request.
            refused: Whether the connection was refused, so that no process listens there.
        """
        if outgoing.vm is not None and refused:
            self.table.note_refused(outgoing.vm)

    def _targets(self, chosen: tuple[ids.VmId, ...], now_s: float) -> list[ids.VmId]:
        """One monitored neighbour, the longest silent, and one of the others in turn."""
        targets = sorted(
            self._choice.monitored, key=lambda vm: self.table.silence_s(vm, now_s), reverse=True
        )[: 1 + EXTRA_CONTACTS]
        while len(targets) > 1 and self.table.silence_s(targets[-1], now_s) < SILENCE_FIRST_S:
            targets.pop()
        others = [vm for vm in chosen if vm not in self._choice.monitored]
        if others:
            targets.append(others[self._round % len(others)])
        return targets

    def _lost_member(self, now_s: float, rng: random.Random) -> list[Outgoing]:
        own = self.table.own
        entries = [
            record
            for record in self.table.records()
            if record.role is membership.Role.ENTRY and record.vm != own.vm
        ]
        lost = [record for record in entries if record.state is membership.State.DEAD]
        addresses = [settings.Address(record.host, record.port) for record in lost]
        # A seed that no member has may belong to a part of the fleet that started apart.
        known = {(record.host, record.port) for record in (own, *entries)}
        unknown = [seed for seed in self._seeds if (seed.host, seed.port) not in known]
        if unknown or len(lost) == len(entries):
            addresses += unknown
        elif rng.random() * (len(entries) - len(lost)) > LOST_MEMBER_TRIES * len(lost):
            return []
        if not addresses:
            return []
        address = rng.choice(addresses)
        return [Outgoing(address, None, self._request(None, now_s, rng), now_s)]

    def _outgoing_to(self, vm: ids.VmId, now_s: float, rng: random.Random) -> Outgoing:
        record = self.table.record(vm)
        assert record is not None, "a neighbour is always a member"
        address = settings.Address(record.host, record.port)
        return Outgoing(address, vm, self._request(vm, now_s, rng), now_s)

    def _request(
        self, vm: ids.VmId | None, now_s: float, rng: random.Random
    ) -> digest_messages.ExchangeRequest:
        budget = self._budget.left(now_s)
        differing = self._differing_by_peer.pop(vm, ()) if vm else ()
        own = self.configuration
        peer_revision = self._revision_by_peer.get(vm) if vm else None
        parts: tuple[configuration_parts.ConfigurationPart, ...] = ()
        if peer_revision is not None:
            # Only differences are pushed: whole documents go to those who ask.
            found = own.parts_for(peer_revision, ids.Revision(0), 0, int(budget))
            parts = tuple(part for part in found if part.base_revision)
        left = budget - _parts_bytes(parts)
        records, digest = self._payload(differing, frozenset(), left, rng)
        request = digest_messages.ExchangeRequest(
            vm=self.table.own.vm,
            records=records,
            digest=digest,
            bucket_hashes=self.table.bucket_hashes,
            revision=own.revision,
            view_age_ms=self._view_age_ms(now_s),
            partial_revision=own.partial_revision,
            partial_bytes=own.partial_bytes,
            parts=parts,
            crashes=self.crashes.to_send(now_s),
        )
        self._budget.spend(request)
        return request

    def _take_in(
        self,
        message: digest_messages.ExchangeRequest | digest_messages.ExchangeReply,
        now_s: float,
    ) -> None:
        for record in message.records[: digest_messages.RECORD_LIMIT]:
            self.note_changed(record.vm, self.table.merge(record, now_s))
        for item in message.digest[: digest_messages.RECORD_LIMIT]:
            known = self.table.record(item.vm)
            # An unknown incarnation needs its address, which the differing bucket brings.
            if known and known.incarnation == item.incarnation:
                record = dataclasses.replace(known, heartbeat=item.heartbeat, state=item.state)
                self.note_changed(item.vm, self.table.merge(record, now_s))
        self.table.note_contact(message.vm, now_s)
        if self.table.record(message.vm):
            self._revision_by_peer[message.vm] = message.revision
        own = self.configuration
        own.seen_revision = ids.Revision(max(own.seen_revision, message.revision))
        for part in message.parts:
            self._learned_configuration |= own.take_in(part)
        for crash in message.crashes[: crash_exchange.CRASHES_A_MESSAGE]:
            self.put_crash(crash, now_s)

    def note_changed(self, vm: ids.VmId, result: membership.MergeResult) -> None:
        """Spread a change that was made in the table directly.

        Args:
            vm: Name of the VM.
            result: Kind of the change.
        """
        if result is membership.MergeResult.HEARTBEAT:
            self._heartbeat_sends[vm] = HEARTBEAT_SENDS
        elif result is not membership.MergeResult.NOTHING:
            bulk = len(self._state_sends) >= BULK_STATES
            self._state_sends[vm] = BULK_STATE_SENDS if bulk else STATE_SENDS
            self._heartbeat_sends.pop(vm, None)
            self._learned_vms.add(vm)

    def _differing(self, hashes: Iterable[int]) -> tuple[int, ...]:
        pairs = zip(self.table.bucket_hashes, hashes, strict=False)
        return tuple(bucket for bucket, (own, other) in enumerate(pairs) if own != other)

    def _payload(
        self,
        differing: tuple[int, ...],
        already_sent: frozenset[ids.VmId],
        budget: float,
        rng: random.Random,
    ) -> tuple[tuple[membership.MemberRecord, ...], tuple[digest_messages.MemberDigest, ...]]:
        own = self.table.own
        chosen = {own.vm: own}
        budget = max(budget, STATE_BYTES)
        for vm in sorted(self._state_sends, key=self._state_sends.__getitem__, reverse=True):
            record = self.table.record(vm)
            if record is None or vm in already_sent or vm in chosen:
                continue
            budget -= digest_messages.record_bytes(record)
            if budget < 0:
                break
            chosen[vm] = record
            _count_down(self._state_sends, vm)
        hot = {buckets.bucket_of(vm) for vm in chosen if vm != own.vm}
        cold = [bucket for bucket in differing if bucket not in hot]
        repair = [record for bucket in cold for record in self.table.bucket_records(bucket)]
        rng.shuffle(repair)
        for record in repair:
            if record.vm in already_sent or record.vm in chosen:
                continue
            budget -= digest_messages.record_bytes(record)
            if budget < 0 or len(chosen) >= digest_messages.RECORD_LIMIT // 2:
                break
            chosen[record.vm] = record
        digest: list[digest_messages.MemberDigest] = []
        for vm in sorted(
            self._heartbeat_sends, key=self._heartbeat_sends.__getitem__, reverse=True
        ):
            record = self.table.record(vm)
            if record is None or vm in chosen or vm in already_sent:
                continue
            item = digest_messages.MemberDigest(
                vm, record.incarnation, record.heartbeat, record.state
            )
            budget -= digest_messages.digest_bytes(item)
            if budget < 0 or len(digest) >= digest_messages.RECORD_LIMIT // 2:
                break
            digest.append(item)
            _count_down(self._heartbeat_sends, vm)
        return tuple(chosen.values()), tuple(digest)

    def _view_age_ms(self, now_s: float) -> int:
        age_ms = self.configuration.view_age_s(now_s) * 1_000
        return int(min(age_ms + 1, digest_messages.UNKNOWN_AGE_MS))


def _parts_bytes(parts: tuple[configuration_parts.ConfigurationPart, ...]) -> int:
    return sum(len(part.data) for part in parts)


def _count_down(sends: dict[ids.VmId, int], vm: ids.VmId) -> None:
    sends[vm] -= 1
    if sends[vm] <= 0:
        del sends[vm]


def new_exchanger(
    own: membership.MemberRecord,
    seeds: tuple[settings.Address, ...],
    now_s: float,
    merge_crash: crash_exchange.MergeCrash = crash_exchange.merge_by_maximum,
) -> Exchanger:
    """Create the exchange of a process.

    Args:
        own: Record of this process, normally `ALIVE` with heartbeat 0.
        seeds: Addresses of entries to contact first.
        now_s: Monotonic time in seconds.
        merge_crash: Merge function for two crash records of one fingerprint.

    Returns:
        An exchange that knows only this process.
    """
    table = membership.new_membership(own, now_s)
    return Exchanger(table, seeds, crash_exchange.new_crash_exchange(merge_crash), now_s)
