"""Guards against members whose views do not converge, and against unbounded messages."""

from __future__ import annotations

import collections
import random

import pytest
from hypothesis import given, stateful
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from gentianpaddle_core import (
    configuration_parts,
    crash_exchange,
    digest,
    digest_messages,
    ids,
    membership,
    neighbours,
    settings,
)

State = membership.State
MEMBER_COUNT = 6


def own_record(index: int, incarnation: int = 1) -> membership.MemberRecord:
    return membership.MemberRecord(
        vm=ids.VmId(f"e{index}"),
        data_centre=ids.DataCentreId(f"d{index % 3}"),
        host="127.0.0.1",
        port=7000 + index,
        role=membership.Role.ENTRY,
        incarnation=ids.Incarnation(incarnation),
        heartbeat=0,
        state=State.ALIVE,
    )


class DigestMachine(stateful.RuleBasedStateMachine):
    """Exchange rounds with lost, duplicated and delayed messages, pauses, restarts and changes."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.rng = random.Random(1)
        self.incarnations = [1] * MEMBER_COUNT
        self.members = [self.start(index) for index in range(MEMBER_COUNT)]
        self.delayed_requests: list[tuple[int, digest_messages.ExchangeRequest]] = []
        self.leaving_incarnation_by_index: dict[int, int] = {}
        self.revision = 0
        self.document = b""

    def start(self, index: int) -> digest.Exchanger:
        seeds = (settings.Address("127.0.0.1", 7000), settings.Address("127.0.0.1", 7001))
        return digest.new_exchanger(own_record(index, self.incarnations[index]), seeds, self.now_s)

    def run_round(self, index: int, outcomes: str) -> None:
        """Run a round; message outcomes: `o` ok, `l` late, `d` duplicated, `r` reply lost."""
        member = self.members[index]
        for position, item in enumerate(member.build_requests(self.now_s, self.rng)):
            outcome = outcomes[position % len(outcomes)]
            receiver = item.address.port - 7000
            if outcome in "ld":
                self.delayed_requests.append((receiver, item.request))
            if outcome != "l":
                reply = self.members[receiver].handle_request(item.request, self.now_s, self.rng)
                if outcome != "r":
                    member.handle_reply(item, reply, self.now_s + 0.01)

    @stateful.rule(
        outcomes=st.text("oooldr", min_size=3, max_size=12), paused_index=st.integers(0, 20)
    )
    def run_rounds(self, outcomes: str, paused_index: int) -> None:
        self.now_s += 0.5
        for index in range(MEMBER_COUNT):
            if index != paused_index:
                self.run_round(index, outcomes[index:] + outcomes[:index])

    @stateful.precondition(lambda self: self.delayed_requests)
    @stateful.rule(position=st.integers(0, 50))
    def deliver_delayed_request(self, position: int) -> None:
        receiver, request = self.delayed_requests.pop(position % len(self.delayed_requests))
        self.members[receiver].handle_request(request, self.now_s, self.rng)

    @stateful.rule(index=st.integers(0, MEMBER_COUNT - 1))
    def leave(self, index: int) -> None:
        self.members[index].announce(State.LEAVING, self.now_s)
        self.leaving_incarnation_by_index[index] = self.incarnations[index]

    @stateful.rule(index=st.integers(0, MEMBER_COUNT - 1))
    def restart(self, index: int) -> None:
        self.incarnations[index] += 1
        self.members[index] = self.start(index)

    @stateful.rule(index=st.integers(0, MEMBER_COUNT - 1), size=st.sampled_from((10, 9_000)))
    def configure(self, index: int, size: int) -> None:
        self.revision += 1
        self.document = (b"%d," % self.revision) * size
        member = self.members[index]
        member.put_configuration(ids.Revision(self.revision), self.document, self.now_s)

    @stateful.invariant()
    def leaving_state_is_kept(self) -> None:
        for index, incarnation in self.leaving_incarnation_by_index.items():
            for member in self.members:
                known = member.table.record(ids.VmId(f"e{index}"))
                if known and known.incarnation == incarnation and known.heartbeat > 0:
                    same_start = self.incarnations[index] == incarnation
                    own = self.members[index].table.own
                    if same_start and known.heartbeat >= own.heartbeat:
                        assert known.state in (State.LEAVING, State.DEAD)

    def teardown(self) -> None:
        """Check that all views converge without further faults."""
        # A restart may have lost the only copy; a watcher then reads it from the object API again.
        watcher = self.members[0]
        watcher.put_configuration(ids.Revision(self.revision), self.document, self.now_s)
        for _ in range(160):
            self.now_s += 0.5
            for index in range(MEMBER_COUNT):
                self.run_round(index, "o")
        for member in self.members:
            table = member.table
            assert table.bucket_hashes == self.members[0].table.bucket_hashes
            assert member.configuration.revision == self.revision
            assert member.configuration.document == self.document
            for index, other in enumerate(self.members):
                known = table.record(ids.VmId(f"e{index}"))
                assert known is not None
                assert (known.incarnation, known.state) == (
                    other.table.own.incarnation,
                    other.table.own.state,
                )
                has_left = self.leaving_incarnation_by_index.get(index) == self.incarnations[index]
                assert known.state is (State.LEAVING if has_left else State.ALIVE)


TestDigestMachine = DigestMachine.TestCase
TestDigestMachine.settings = hypothesis_settings(max_examples=30, stateful_step_count=20)


@pytest.mark.parametrize("size", [2, 9, 40, 200])
def test_neighbours_connect_all_entries(size: int):
    """Guards against a neighbour graph with parts that never exchange digests."""
    records = [own_record(index) for index in range(size)]
    chosen: dict[str, tuple[ids.VmId, ...]] = {}
    monitored: list[ids.VmId] = []
    for own in records:
        table = membership.new_membership(own, 0.0)
        for other in records:
            table.merge(other, 0.0)
        selector = neighbours.new_neighbour_selector(own)
        chosen[own.vm] = selector.update(table)
        monitored.extend(selector.monitored)
        assert len(chosen[own.vm]) == min(neighbours.NEIGHBOUR_LIMIT, size - 1)
        vm_indices = {vm[1:] for vm in chosen[own.vm]}
        assert len({int(vm_index) % 3 for vm_index in vm_indices}) == min(3, size - 1)
    assert min(collections.Counter(monitored)[own.vm] for own in records) == min(4, size - 1)
    reached = {"e0"}
    while newly_reached := {vm for name in reached for vm in chosen[name]} - reached:
        reached |= newly_reached
    assert len(reached) == size


def test_differing_buckets_are_repaired():
    """Guards against records that stay unknown once all messages with them have been lost."""
    rng = random.Random(1)
    first, second = (digest.new_exchanger(own_record(index), (), 0.0) for index in (0, 1))
    first.table.merge(own_record(1), 0.0)
    for index in range(2, 8):
        (first if index % 2 else second).table.merge(own_record(index), 0.0)
    for tick in range(1, 20):
        now_s = tick * 0.5
        request = first.build_requests(now_s, rng, all_neighbours=True)
        item = next(item for item in request if item.vm == "e1")
        first.handle_reply(item, second.handle_request(item.request, now_s, rng), now_s)
    assert first.table.bucket_hashes == second.table.bucket_hashes


def test_message_size_is_bounded():
    """Guards against messages above 64 KB or 1,200 records after all records change at once."""
    own = digest.new_exchanger(own_record(0), (), 0.0)
    for index in range(1, 2_400):
        other = own_record(index)
        own.schedule_send(other.vm, own.table.merge(other, 0.0))
    own.put_configuration(ids.Revision(1), b"x" * 900_000, 0.0)
    requester = digest.new_exchanger(own_record(2_500), (settings.Address("127.0.0.1", 7000),), 0.0)
    request = requester.build_requests(0.5, random.Random(1))[0].request
    sizes = []
    for tick in range(20):
        reply = own.handle_request(request, 0.5 + tick * 0.05, random.Random(tick))
        assert len(reply.records) + len(reply.digest) <= digest_messages.RECORD_LIMIT
        sizes.append(digest_messages.message_bytes(reply))
    assert max(sizes) <= digest_messages.MESSAGE_LIMIT_BYTES
    assert sum(sizes) <= 2 * 16 * 1_024


@given(st.binary(max_size=60), st.binary(max_size=60))
def test_difference_restores_the_document(base: bytes, document: bytes):
    """Guards against a difference that does not restore the document or fits a wrong base."""
    part = configuration_parts.make_difference(ids.Revision(1), base, ids.Revision(2), document)
    assert part is not None
    assert configuration_parts.apply_difference(part, base) == document
    assert configuration_parts.apply_difference(part, base + b"?") in (None, document)


def test_crash_records_merge_and_expire():
    """Guards against a crash record that expires early or is distributed indefinitely."""
    crashes = crash_exchange.new_crash_exchange()
    record = digest_messages.CrashRecord(ids.Fingerprint("f"), 1, 10.0, False)
    assert crashes.merge(record, 100.0)
    assert not crashes.merge(record, 101.0)
    assert crashes.merge(digest_messages.CrashRecord(ids.Fingerprint("f"), 2, 5.0, False), 101.0)
    assert crashes.records(103.0) == (
        digest_messages.CrashRecord(ids.Fingerprint("f"), 2, 7.0, False),
    )
    assert crashes.records(4_000.0) == ()


@pytest.mark.parametrize("apart", [((0, 1), (2, 3)), ((0, 1, 2), (3,))])
def test_separately_started_groups_join(apart: tuple[tuple[int, ...], ...]):
    """Guards against a fleet that stays partitioned because each group knows a live entry."""
    rng = random.Random(1)
    seeds = tuple(settings.Address("127.0.0.1", 7000 + index) for index in range(4))
    members = {i: digest.new_exchanger(own_record(i), seeds, 0.0) for group in apart for i in group}

    def run_round(now_s: float, groups: tuple[tuple[int, ...], ...]) -> None:
        for group in groups:
            for index in group:
                for outgoing in members[index].build_requests(now_s, rng):
                    peer = outgoing.address.port - 7000
                    if peer in group:
                        reply = members[peer].handle_request(outgoing.request, now_s, rng)
                        members[index].handle_reply(outgoing, reply, now_s)
                    else:
                        members[index].handle_failure(outgoing, is_connection_refused=True)

    for step in range(8):
        run_round(step * 0.5, apart)
    for step in range(8, 48):
        run_round(step * 0.5, ((0, 1, 2, 3),))
    assert [len(list(member.table.records())) for member in members.values()] == [4] * 4
