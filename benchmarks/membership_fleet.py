"""Simulated fleet that runs the production exchange code of many members on a virtual clock."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
import time
from collections.abc import Callable

from benchmarks import membership_wire
from gentianpaddle_core import digest, digest_messages, ids, membership, settings

DATA_CENTRES = ("shah-alam", "petaling-jaya", "cyberjaya", "gent", "antwerpen")
FIRST_REGION_CENTRES = frozenset(DATA_CENTRES[:3])
"""Data centres of the first region."""
INTRA_REGION_DELAY_S = 0.001
"""One-way delay within a region."""
INTER_REGION_DELAY_S = 0.040
"""One-way delay between regions."""
LOSS_SHARE = 0.05
"""Share of the messages that are lost."""
FIRST_INCARNATION = 1_796_000_000_000
"""Incarnation of the first member, of the size of a Unix time in milliseconds."""


@dataclasses.dataclass(slots=True)
class Member:
    """One member of the fleet, with its traffic."""

    exchanger: digest.Exchanger
    """Exchange state of the member."""
    in_first_region: bool
    """Whether the member is in the first region."""
    running: bool = True
    """False after a crash."""
    paused_until_s: float = 0.0
    """Virtual time until which the process is paused."""
    sent_bytes: int = 0
    """Bytes sent since the start, lost messages included."""
    received_bytes: int = 0
    """Bytes sent to the member since the start, counted when sent, without lost messages."""


class Fleet:
    """Members on a virtual clock and network."""

    def __init__(self, size: int, seed: int) -> None:
        """Start members that already know each other.

        Args:
            size: Number of members.
            seed: Seed of all randomness.
        """
        self.now_s = 1_000.0
        """Virtual time in seconds."""
        self.partitioned = False
        """Whether the network drops all messages between the regions."""
        self.processor_s = 0.0
        """Processor time used by the exchange code of all members, in seconds."""
        self._rng = random.Random(seed)
        self._sequence = itertools.count()
        self._callbacks: list[tuple[float, int, Callable[[], None]]] = []
        records = [_new_record(index, size) for index in range(size)]
        self.members = [self._new_member(record, records[:3]) for record in records]
        """All members, in order of their ports."""
        self._by_address = {
            (record.host, record.port): member
            for record, member in zip(records, self.members, strict=True)
        }
        for member in self.members:
            for record in records:
                member.exchanger.table.merge(record, self.now_s)
            member.exchanger.table.has_peer_contact = True
            self._call_after(
                self._rng.uniform(0.0, digest.ENTRY_ROUND_INTERVAL_S), member, self._run_round
            )

    def run_until(self, end_s: float, done: Callable[[], bool] | None = None) -> float:
        """Run events until a virtual time or until a condition holds.

        Args:
            end_s: Virtual time in seconds.
            done: Condition that is checked every 50 ms of virtual time.

        Returns:
            Virtual time at which the run stopped.
        """
        check_s = self.now_s
        while self._callbacks and self._callbacks[0][0] <= end_s:
            event_s, _, callback = heapq.heappop(self._callbacks)
            if done and event_s >= check_s:
                self.now_s = check_s
                if done():
                    return check_s
                check_s += 0.05
                heapq.heappush(self._callbacks, (event_s, next(self._sequence), callback))
                continue
            self.now_s = event_s
            callback()
        self.now_s = end_s
        return end_s

    def announce(self, member: Member, state: membership.State) -> None:
        """Let a member announce a state of its own to all its neighbours at once.

        Args:
            member: Member whose state changes.
            state: New state.
        """
        member.exchanger.announce(state, self.now_s)
        self._send(member, all_neighbours=True)

    def _new_member(
        self, record: membership.MemberRecord, seeds: list[membership.MemberRecord]
    ) -> Member:
        addresses = tuple(settings.Address(seed.host, seed.port) for seed in seeds)
        exchanger = digest.new_exchanger(record, addresses, self.now_s)
        return Member(exchanger, record.data_centre in FIRST_REGION_CENTRES)

    def _call_after(
        self, delay_s: float, member: Member, callback: Callable[[Member], None]
    ) -> None:
        timer = (self.now_s + delay_s, next(self._sequence), lambda: callback(member))
        heapq.heappush(self._callbacks, timer)

    def _run_round(self, member: Member) -> None:
        if not member.running:
            return
        if member.paused_until_s > self.now_s:
            self._call_after(member.paused_until_s - self.now_s, member, self._run_round)
            return
        self._send(member)
        self._call_after(digest.ENTRY_ROUND_INTERVAL_S, member, self._run_round)

    def _send(self, member: Member, *, all_neighbours: bool = False) -> None:
        started_s = time.process_time()
        outgoing = member.exchanger.build_requests(
            self.now_s, self._rng, all_neighbours=all_neighbours
        )
        self.processor_s += time.process_time() - started_s
        for outgoing_request in outgoing:
            receiver = self._by_address[
                outgoing_request.address.host, outgoing_request.address.port
            ]

            def deliver(
                _: Member,
                outgoing_request: digest.OutgoingRequest = outgoing_request,
                to: Member = receiver,
            ) -> None:
                self._deliver_request(member, to, outgoing_request)

            self._transmit(member, receiver, outgoing_request.request, deliver)

    def _deliver_request(
        self, sender: Member, receiver: Member, outgoing_request: digest.OutgoingRequest
    ) -> None:
        if self._defer_if_paused(
            receiver, lambda _: self._deliver_request(sender, receiver, outgoing_request)
        ):
            return
        started_s = time.process_time()
        reply = receiver.exchanger.handle_request(outgoing_request.request, self.now_s, self._rng)
        self.processor_s += time.process_time() - started_s
        self._transmit(
            receiver, sender, reply, lambda _: self._deliver_reply(sender, outgoing_request, reply)
        )

    def _deliver_reply(
        self,
        member: Member,
        outgoing_request: digest.OutgoingRequest,
        reply: digest_messages.ExchangeReply,
    ) -> None:
        if self._defer_if_paused(
            member, lambda _: self._deliver_reply(member, outgoing_request, reply)
        ):
            return
        started_s = time.process_time()
        member.exchanger.handle_reply(outgoing_request, reply, self.now_s)
        self.processor_s += time.process_time() - started_s

    def _defer_if_paused(self, member: Member, callback: Callable[[Member], None]) -> bool:
        """Defer an action while a member is paused; return whether it must not run now."""
        if member.running and member.paused_until_s > self.now_s:
            self._call_after(member.paused_until_s - self.now_s, member, callback)
            return True
        return not member.running

    def _transmit(
        self,
        sender: Member,
        receiver: Member,
        message: digest_messages.ExchangeRequest | digest_messages.ExchangeReply,
        callback: Callable[[Member], None],
    ) -> None:
        size = membership_wire.wire_bytes(message)
        sender.sent_bytes += size
        crosses_regions = sender.in_first_region != receiver.in_first_region
        if self._rng.random() < LOSS_SHARE or (crosses_regions and self.partitioned):
            return
        receiver.received_bytes += size
        self._call_after(
            INTER_REGION_DELAY_S if crosses_regions else INTRA_REGION_DELAY_S, receiver, callback
        )


def _new_record(index: int, size: int) -> membership.MemberRecord:
    centre = DATA_CENTRES[index % len(DATA_CENTRES)]
    return membership.MemberRecord(
        vm=ids.VmId(f"{centre}-entry-{index:04d}"),
        data_centre=ids.DataCentreId(centre),
        host=f"10.20.{index // 200}.{index % 200 + 10}",
        port=7000,
        role=membership.Role.ENTRY,
        incarnation=ids.Incarnation(FIRST_INCARNATION + 1_000 * index),
        heartbeat=0,
        state=membership.State.ALIVE,
    )
