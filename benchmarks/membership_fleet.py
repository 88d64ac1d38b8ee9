"""The real exchange code of many members in one process on a virtual clock."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
import time
from collections.abc import Callable

from benchmarks import membership_wire
from gentianpaddle_core import digest, digest_messages, ids, membership, settings

CENTRES = ("shah-alam", "petaling-jaya", "cyberjaya", "gent", "antwerpen")
NEAR_CENTRES = frozenset(CENTRES[:3])
"""Data centres of the first region."""
NEAR_S = 0.001
"""One-way delay within a region."""
FAR_S = 0.040
"""One-way delay between regions."""
LOSS = 0.05
"""Share of messages that are lost."""
FIRST_INCARNATION = 1_796_000_000_000


@dataclasses.dataclass(slots=True)
class Member:
    """One process of the fleet."""

    exchanger: digest.Exchanger
    """Its exchange."""
    near: bool
    """Whether it is in the first region."""
    running: bool = True
    """False after a crash."""
    paused_until_s: float = 0.0
    """Virtual time until which it is paused."""
    sent_bytes: int = 0
    """Bytes sent."""
    received_bytes: int = 0
    """Bytes received."""


class Fleet:
    """Members with a virtual clock and network."""

    def __init__(self, size: int, seed: int) -> None:
        """Start members that already know each other.

        Args:
            size: Number of members.
            seed: Seed of all randomness.
        """
        self.now_s = 1_000.0
        """Virtual time in seconds."""
        self.cut = False
        """Whether the regions are out of contact."""
        self.processor_s = 0.0
        """Processor time of the exchange code of all members."""
        self._rng = random.Random(seed)
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        records = [_record(index, size) for index in range(size)]
        self.members = [self._member(record, records[:3]) for record in records]
        """All members, in order of their ports."""
        self._by_address = {
            (record.host, record.port): member
            for record, member in zip(records, self.members, strict=True)
        }
        for member in self.members:
            for record in records:
                member.exchanger.table.merge(record, self.now_s)
            member.exchanger.table.settled = True
            self._after(self._rng.uniform(0.0, digest.ENTRY_ROUND_S), member, self._round)

    def run_until(self, end_s: float, done: Callable[[], bool] | None = None) -> float:
        """Run events until a time or a condition.

        Args:
            end_s: Virtual time in seconds.
            done: Condition that is checked every 50 ms of virtual time.

        Returns:
            Virtual time at which it stopped.
        """
        check_s = self.now_s
        while self._events and self._events[0][0] <= end_s:
            at_s, _, action = heapq.heappop(self._events)
            if done and at_s >= check_s:
                self.now_s = check_s
                if done():
                    return check_s
                check_s += 0.05
                heapq.heappush(self._events, (at_s, next(self._order), action))
                continue
            self.now_s = at_s
            action()
        self.now_s = end_s
        return end_s

    def announce(self, member: Member, state: membership.State) -> None:
        """Let a member announce a state to all its neighbours at once.

        Args:
            member: The member.
            state: The state.
        """
        member.exchanger.announce(state, self.now_s)
        self._send(member, everyone=True)

    def _member(
        self, record: membership.MemberRecord, seeds: list[membership.MemberRecord]
    ) -> Member:
        addresses = tuple(settings.Address(seed.host, seed.port) for seed in seeds)
        exchanger = digest.new_exchanger(record, addresses, self.now_s)
        return Member(exchanger, record.data_centre in NEAR_CENTRES)

    def _after(self, delay_s: float, member: Member, action: Callable[[Member], None]) -> None:
        entry = (self.now_s + delay_s, next(self._order), lambda: action(member))
        heapq.heappush(self._events, entry)

    def _round(self, member: Member) -> None:
        if not member.running:
            return
        if member.paused_until_s > self.now_s:
            self._after(member.paused_until_s - self.now_s, member, self._round)
            return
        self._send(member)
        self._after(digest.ENTRY_ROUND_S, member, self._round)

    def _send(self, member: Member, *, everyone: bool = False) -> None:
        started = time.process_time()
        outgoing = member.exchanger.build_requests(self.now_s, self._rng, everyone=everyone)
        self.processor_s += time.process_time() - started
        for item in outgoing:
            receiver = self._by_address[item.address.host, item.address.port]

            def deliver(_: Member, item: digest.Outgoing = item, to: Member = receiver) -> None:
                self._request(member, to, item)

            self._transfer(member, receiver, item.request, deliver)

    def _request(self, sender: Member, receiver: Member, item: digest.Outgoing) -> None:
        if self._held_back(receiver, lambda _: self._request(sender, receiver, item)):
            return
        started = time.process_time()
        reply = receiver.exchanger.handle_request(item.request, self.now_s, self._rng)
        self.processor_s += time.process_time() - started
        self._transfer(receiver, sender, reply, lambda _: self._reply(sender, item, reply))

    def _reply(
        self, member: Member, item: digest.Outgoing, reply: digest_messages.ExchangeReply
    ) -> None:
        if self._held_back(member, lambda _: self._reply(member, item, reply)):
            return
        started = time.process_time()
        member.exchanger.handle_reply(item, reply, self.now_s)
        self.processor_s += time.process_time() - started

    def _held_back(self, member: Member, action: Callable[[Member], None]) -> bool:
        """Messages wait while their receiver is paused."""
        if member.running and member.paused_until_s > self.now_s:
            self._after(member.paused_until_s - self.now_s, member, action)
            return True
        return not member.running

    def _transfer(
        self,
        sender: Member,
        receiver: Member,
        message: digest_messages.ExchangeRequest | digest_messages.ExchangeReply,
        action: Callable[[Member], None],
    ) -> None:
        size = membership_wire.wire_bytes(message)
        sender.sent_bytes += size
        far = sender.near != receiver.near
        if self._rng.random() < LOSS or (far and self.cut):
            return
        receiver.received_bytes += size
        self._after(FAR_S if far else NEAR_S, receiver, action)


def _record(index: int, size: int) -> membership.MemberRecord:
    centre = CENTRES[index % len(CENTRES)]
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
