"""Digest exchange: a gossip protocol between the processes of the system.

A message carries the sender's own record, records that changed recently, heartbeats that increased,
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

ENTRY_ROUND_INTERVAL_S = 0.5
"""Interval between the rounds of an entry."""
AGENT_ROUND_INTERVAL_S = 1.0
"""Interval between the rounds of an agent, which also receives messages on its streams."""
STATE_TRANSMISSIONS = 10
"""Number of messages that carry a record after its state changed."""
BULK_CHANGE_THRESHOLD = 32
"""Number of pending state changes from which each is sent less often, as after a region loss."""
BULK_STATE_TRANSMISSIONS = 3
"""Number of messages that carry a record during a bulk change.

The comparison of bucket hashes repairs what a peer misses.
"""
HEARTBEAT_TRANSMISSIONS = 3
"""Number of messages that carry a heartbeat after it increased; most members forward it."""
EXTRA_CONTACT_AFTER_S = 1.0
"""Silence after which a monitored neighbour is contacted in addition to the regular targets."""
EXTRA_CONTACT_LIMIT = 2
"""Maximum number of additional contacts in a round."""
DEAD_MEMBER_PROBE_ROUNDS = 4
"""Number of rounds between probes of dead members, which find a lost region again."""
DEAD_MEMBER_PROBES = 4
"""Expected number of probes of a dead member by all entries per `DEAD_MEMBER_PROBE_ROUNDS`."""
STATE_BYTES_RESERVED = 512.0
"""Bytes of a message that records may take even when the send budget is exhausted."""
DIFFERING_PEER_LIMIT = 32
"""Maximum number of peers whose differing buckets are kept until the next contact."""


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """Request with its destination."""

    address: settings.Address
    """Address of the receiver."""
    vm: ids.VmId | None
    """Expected receiver, None for a probe of a seed or of a dead member."""
    request: digest_messages.ExchangeRequest
    """Request to send."""
    sent_s: float
    """Monotonic time at which the request was built, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedChanges:
    """Changes since the last call of `take_changes`."""

    records: tuple[membership.MemberRecord, ...]
    """Latest records of new members and members whose state changed, this process included."""
    configuration_changed: bool
    """Whether a newer configuration came into force."""
    crashes: tuple[digest_messages.CrashRecord, ...]
    """New and changed crash records."""


class Exchanger:
    """Digest exchange of one process."""

    def __init__(
        self,
        table: membership.Membership,
        seeds: tuple[settings.Address, ...],
        crashes: crash_exchange.CrashExchange,
        now_s: float,
    ) -> None:
        """Create an exchanger without peers; use `new_exchanger`.

        Args:
            table: Membership table with the record of this process.
            seeds: Addresses of entries to contact first.
            crashes: Crash records of this process.
            now_s: Monotonic time in seconds.
        """
        self.table = table
        """Membership table."""
        self.configuration = configuration_parts.new_configuration_exchange()
        """Configuration in force, and when it was last confirmed to be the newest."""
        self.crashes = crashes
        """Crash records; add records of this process with `put_crash`."""
        self._seeds = seeds
        self._neighbours = neighbours.new_neighbour_selector(table.own)
        self._round_number = 0
        self._state_transmissions_left: dict[ids.VmId, int] = {}
        self._heartbeat_transmissions_left: dict[ids.VmId, int] = {}
        self._differing_buckets_by_peer: dict[ids.VmId, tuple[int, ...]] = {}
        self._revision_by_peer: dict[ids.VmId, ids.Revision] = {}
        self._budget = send_budget.new_send_budget(now_s)
        self._changed_vms: set[ids.VmId] = set()
        self._changed_crashes: dict[ids.Fingerprint, digest_messages.CrashRecord] = {}
        self._is_configuration_changed = False

    @property
    def round_interval_s(self) -> float:
        """Interval between the rounds of this process, in seconds."""
        is_entry = self.table.own.role is membership.Role.ENTRY
        return ENTRY_ROUND_INTERVAL_S if is_entry else AGENT_ROUND_INTERVAL_S

    def revision_of(self, vm: ids.VmId) -> ids.Revision:
        """Return the configuration revision that a member last reported, 0 when unknown."""
        return self._revision_by_peer.get(vm, ids.Revision(0))

    def announce(self, state: membership.State, now_s: float) -> None:
        """Set the state of this process and schedule its record for sending.

        Follow with `build_requests(..., all_neighbours=True)` to send it to all neighbours at once.

        Args:
            state: `ALIVE`, `PAUSED` or `LEAVING`; `LEAVING` is final.
            now_s: Monotonic time in seconds.
        """
        self.table.announce(state, now_s)
        self.schedule_send(self.table.own.vm, membership.MergeResult.STATE_CHANGED)

    def put_configuration(self, revision: ids.Revision, document: bytes, read_s: float) -> bool:
        """Adopt a document that was read from the object API if it is newer.

        Args:
            revision: Revision of the document.
            document: Content of the configuration object.
            read_s: Monotonic time at which the read was sent, in seconds.

        Returns:
            True if the document was newer and is now in force.
        """
        is_newer = self.configuration.put(revision, document)
        self.configuration.confirm(revision, read_s)
        self._is_configuration_changed |= is_newer
        return is_newer

    def put_crash(self, record: digest_messages.CrashRecord, now_s: float) -> None:
        """Merge a crash record and schedule it for sending if it changed.

        Args:
            record: Record of this process or of a peer.
            now_s: Monotonic time in seconds.
        """
        if self.crashes.merge(record, now_s):
            self._changed_crashes[record.fingerprint] = record

    def take_changes(self) -> ReceivedChanges:
        """Return and clear the membership, configuration and crash-record changes.

        Returns:
            Changes since the last call, caused by messages, timers or calls on this process.
        """
        records = [self.table.record(vm) for vm in sorted(self._changed_vms)]
        changes = ReceivedChanges(
            tuple(record for record in records if record),
            self._is_configuration_changed,
            tuple(self._changed_crashes.values()),
        )
        self._changed_vms.clear()
        self._changed_crashes.clear()
        self._is_configuration_changed = False
        return changes

    def build_requests(
        self, now_s: float, rng: random.Random, *, all_neighbours: bool = False
    ) -> tuple[OutgoingRequest, ...]:
        """Run the timers and build the requests of a round.

        Args:
            now_s: Monotonic time in seconds.
            rng: Source of randomness.
            all_neighbours: Whether to contact all neighbours at once, for an urgent change.

        Returns:
            Requests to all neighbours if asked for. Otherwise an entry contacts its longest-silent
            monitored neighbour, up to `EXTRA_CONTACT_LIMIT` more that have been silent for
            `EXTRA_CONTACT_AFTER_S`, and one other neighbour; an agent, which monitors no
            neighbours, contacts one. Every `DEAD_MEMBER_PROBE_ROUNDS` rounds, or without
            neighbours, a request to a dead member or a seed may be added.
        """
        for record in self.table.tick(now_s):
            is_heartbeat_only = (
                record.vm == self.table.own.vm and record.state is self.table.own.state
            )
            kind = (
                membership.MergeResult.HEARTBEAT
                if is_heartbeat_only
                else membership.MergeResult.STATE_CHANGED
            )
            self.schedule_send(record.vm, kind)
        self._round_number += 1
        chosen = self._neighbours.update(self.table)
        self.table.set_monitored(self._neighbours.monitored)
        targets = chosen if all_neighbours else self._select_targets(chosen, now_s)
        outgoing = [self._request_to(vm, now_s, rng) for vm in targets]
        if self._round_number % DEAD_MEMBER_PROBE_ROUNDS == 0 or not targets:
            outgoing.extend(self._build_probe(now_s, rng))
        return tuple(outgoing)

    def handle_request(
        self, request: digest_messages.ExchangeRequest, now_s: float, rng: random.Random
    ) -> digest_messages.ExchangeReply:
        """Process the request of a peer.

        Args:
            request: Request of the peer.
            now_s: Monotonic time in seconds.
            rng: Source of randomness.

        Returns:
            Reply to send to the peer.
        """
        self._apply_message(request, now_s)
        differing = self._differing_buckets(request.bucket_hashes)
        configuration = self.configuration
        budget = self._budget.available_bytes(now_s)
        parts = configuration.parts_for(
            request.revision, request.partial_revision, request.partial_bytes, int(budget)
        )
        request_vms = frozenset(record.vm for record in request.records)
        records, digest = self._select_records(
            differing, request_vms, budget - _parts_bytes(parts), rng
        )
        reply = digest_messages.ExchangeReply(
            vm=self.table.own.vm,
            records=records,
            digest=digest,
            bucket_hashes=self.table.bucket_hashes if differing else (),
            revision=configuration.revision,
            view_age_ms=self._view_age_ms(now_s),
            parts=parts,
            crashes=self.crashes.select_for_message(now_s),
        )
        self._budget.spend(reply)
        return reply

    def handle_reply(
        self, outgoing: OutgoingRequest, reply: digest_messages.ExchangeReply, now_s: float
    ) -> None:
        """Process the reply to a request.

        Args:
            outgoing: Request that was sent.
            reply: Reply of the peer.
            now_s: Monotonic time in seconds.
        """
        self._apply_message(reply, now_s)
        if reply.view_age_ms != digest_messages.UNKNOWN_AGE_MS:
            # The reply was built after the request was sent, so the age is not underestimated.
            confirmed_s = outgoing.sent_s - reply.view_age_ms / 1_000
            self.configuration.confirm(reply.revision, confirmed_s)
        self._differing_buckets_by_peer.pop(reply.vm, None)
        if reply.bucket_hashes:
            while len(self._differing_buckets_by_peer) >= DIFFERING_PEER_LIMIT:
                del self._differing_buckets_by_peer[next(iter(self._differing_buckets_by_peer))]
            self._differing_buckets_by_peer[reply.vm] = self._differing_buckets(reply.bucket_hashes)
        self.table.has_peer_contact = True
        if self.table.own.state is membership.State.PAUSED:
            self.announce(membership.State.ALIVE, now_s)

    def handle_failure(self, outgoing: OutgoingRequest, is_connection_refused: bool) -> None:
        """Record that a request got no reply.

        Only a refused connection counts as evidence that the process of the receiver has ended.

        Args:
            outgoing: Request that was sent.
            is_connection_refused: Whether the connection was refused, so that no process listens on
                the port.
        """
        if outgoing.vm is not None and is_connection_refused:
            self.table.record_connection_refused(outgoing.vm)

    def _select_targets(self, chosen: tuple[ids.VmId, ...], now_s: float) -> list[ids.VmId]:
        """Select the longest-silent monitored neighbour, more silent ones, and another in turn."""
        targets = sorted(
            self._neighbours.monitored, key=lambda vm: self.table.silence_s(vm, now_s), reverse=True
        )[: 1 + EXTRA_CONTACT_LIMIT]
        while len(targets) > 1 and self.table.silence_s(targets[-1], now_s) < EXTRA_CONTACT_AFTER_S:
            targets.pop()
        others = [vm for vm in chosen if vm not in self._neighbours.monitored]
        if others:
            targets.append(others[self._round_number % len(others)])
        return targets

    def _build_probe(self, now_s: float, rng: random.Random) -> list[OutgoingRequest]:
        """Build a request to a dead entry or an unknown seed, an empty list for no probe."""
        own = self.table.own
        entries = [
            record
            for record in self.table.records()
            if record.role is membership.Role.ENTRY and record.vm != own.vm
        ]
        dead = [record for record in entries if record.state is membership.State.DEAD]
        addresses = [settings.Address(record.host, record.port) for record in dead]
        # A seed that is not a known member may belong to a separately started part of the fleet.
        known_addresses = {(record.host, record.port) for record in (own, *entries)}
        unknown_seeds = [
            seed for seed in self._seeds if (seed.host, seed.port) not in known_addresses
        ]
        if unknown_seeds or len(dead) == len(entries):
            addresses += unknown_seeds
        elif rng.random() * (len(entries) - len(dead)) > DEAD_MEMBER_PROBES * len(dead):
            return []
        if not addresses:
            return []
        address = rng.choice(addresses)
        return [OutgoingRequest(address, None, self._build_request(None, now_s, rng), now_s)]

    def _request_to(self, vm: ids.VmId, now_s: float, rng: random.Random) -> OutgoingRequest:
        record = self.table.record(vm)
        assert record is not None, "every neighbour must be a member"
        address = settings.Address(record.host, record.port)
        return OutgoingRequest(address, vm, self._build_request(vm, now_s, rng), now_s)

    def _build_request(
        self, vm: ids.VmId | None, now_s: float, rng: random.Random
    ) -> digest_messages.ExchangeRequest:
        budget = self._budget.available_bytes(now_s)
        differing = self._differing_buckets_by_peer.pop(vm, ()) if vm else ()
        configuration = self.configuration
        peer_revision = self._revision_by_peer.get(vm) if vm else None
        parts: tuple[configuration_parts.ConfigurationPart, ...] = ()
        if peer_revision is not None:
            # Requests carry only differences; parts of whole documents are sent only in replies.
            available_parts = configuration.parts_for(
                peer_revision, ids.Revision(0), 0, int(budget)
            )
            parts = tuple(part for part in available_parts if part.base_revision)
        remaining_budget = budget - _parts_bytes(parts)
        records, digest = self._select_records(differing, frozenset(), remaining_budget, rng)
        request = digest_messages.ExchangeRequest(
            vm=self.table.own.vm,
            records=records,
            digest=digest,
            bucket_hashes=self.table.bucket_hashes,
            revision=configuration.revision,
            view_age_ms=self._view_age_ms(now_s),
            partial_revision=configuration.partial_revision,
            partial_bytes=configuration.partial_bytes,
            parts=parts,
            crashes=self.crashes.select_for_message(now_s),
        )
        self._budget.spend(request)
        return request

    def _apply_message(
        self,
        message: digest_messages.ExchangeRequest | digest_messages.ExchangeReply,
        now_s: float,
    ) -> None:
        for record in message.records[: digest_messages.RECORD_LIMIT]:
            self.schedule_send(record.vm, self.table.merge(record, now_s))
        for item in message.digest[: digest_messages.RECORD_LIMIT]:
            known = self.table.record(item.vm)
            # A new incarnation needs its address, which arrives with the records of the bucket.
            if known and known.incarnation == item.incarnation:
                record = dataclasses.replace(known, heartbeat=item.heartbeat, state=item.state)
                self.schedule_send(item.vm, self.table.merge(record, now_s))
        self.table.record_contact(message.vm, now_s)
        if self.table.record(message.vm):
            self._revision_by_peer[message.vm] = message.revision
        configuration = self.configuration
        configuration.highest_reported_revision = ids.Revision(
            max(configuration.highest_reported_revision, message.revision)
        )
        for part in message.parts:
            self._is_configuration_changed |= configuration.apply_part(part)
        for crash in message.crashes[: crash_exchange.CRASHES_PER_MESSAGE]:
            self.put_crash(crash, now_s)

    def schedule_send(self, vm: ids.VmId, result: membership.MergeResult) -> None:
        """Schedule a changed record for sending, also after a direct change of the table.

        Args:
            vm: Name of the VM whose record changed.
            result: Kind of change.
        """
        if result is membership.MergeResult.HEARTBEAT:
            self._heartbeat_transmissions_left[vm] = HEARTBEAT_TRANSMISSIONS
        elif result is not membership.MergeResult.UNCHANGED:
            is_bulk_change = len(self._state_transmissions_left) >= BULK_CHANGE_THRESHOLD
            self._state_transmissions_left[vm] = (
                BULK_STATE_TRANSMISSIONS if is_bulk_change else STATE_TRANSMISSIONS
            )
            self._heartbeat_transmissions_left.pop(vm, None)
            self._changed_vms.add(vm)

    def _differing_buckets(self, peer_hashes: Iterable[int]) -> tuple[int, ...]:
        hash_pairs = zip(self.table.bucket_hashes, peer_hashes, strict=False)
        return tuple(bucket for bucket, (own, other) in enumerate(hash_pairs) if own != other)

    def _select_records(
        self,
        differing: tuple[int, ...],
        already_sent: frozenset[ids.VmId],
        budget: float,
        rng: random.Random,
    ) -> tuple[tuple[membership.MemberRecord, ...], tuple[digest_messages.MemberDigest, ...]]:
        own = self.table.own
        chosen = {own.vm: own}
        budget = max(budget, STATE_BYTES_RESERVED)
        for vm in sorted(
            self._state_transmissions_left,
            key=self._state_transmissions_left.__getitem__,
            reverse=True,
        ):
            record = self.table.record(vm)
            if record is None or vm in already_sent or vm in chosen:
                continue
            budget -= digest_messages.record_bytes(record)
            if budget < 0:
                break
            chosen[vm] = record
            _decrement(self._state_transmissions_left, vm)
        changed_buckets = {buckets.bucket_of(vm) for vm in chosen if vm != own.vm}
        repair_buckets = [bucket for bucket in differing if bucket not in changed_buckets]
        repair_records = [
            record for bucket in repair_buckets for record in self.table.bucket_records(bucket)
        ]
        rng.shuffle(repair_records)
        for record in repair_records:
            if record.vm in already_sent or record.vm in chosen:
                continue
            budget -= digest_messages.record_bytes(record)
            if budget < 0 or len(chosen) >= digest_messages.RECORD_LIMIT // 2:
                break
            chosen[record.vm] = record
        digest: list[digest_messages.MemberDigest] = []
        for vm in sorted(
            self._heartbeat_transmissions_left,
            key=self._heartbeat_transmissions_left.__getitem__,
            reverse=True,
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
            _decrement(self._heartbeat_transmissions_left, vm)
        return tuple(chosen.values()), tuple(digest)

    def _view_age_ms(self, now_s: float) -> int:
        age_ms = self.configuration.view_age_s(now_s) * 1_000
        return int(min(age_ms + 1, digest_messages.UNKNOWN_AGE_MS))


def _parts_bytes(parts: tuple[configuration_parts.ConfigurationPart, ...]) -> int:
    return sum(len(part.data) for part in parts)


def _decrement(transmissions_left: dict[ids.VmId, int], vm: ids.VmId) -> None:
    transmissions_left[vm] -= 1
    if transmissions_left[vm] <= 0:
        del transmissions_left[vm]


def new_exchanger(
    own: membership.MemberRecord,
    seeds: tuple[settings.Address, ...],
    now_s: float,
    merge_crash: crash_exchange.MergeCrash = crash_exchange.merge_by_maximum,
) -> Exchanger:
    """Create the exchanger of a process.

    Args:
        own: Record of this process, normally `ALIVE` with heartbeat 0.
        seeds: Addresses of entries to contact first.
        now_s: Monotonic time in seconds.
        merge_crash: Merge function for two crash records of one fingerprint.

    Returns:
        An exchanger that knows only this process.
    """
    table = membership.new_membership(own, now_s)
    return Exchanger(table, seeds, crash_exchange.new_crash_exchange(merge_crash), now_s)
