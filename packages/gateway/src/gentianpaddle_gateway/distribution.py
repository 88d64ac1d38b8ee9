"""Distribution of messages to all fronts through the collectors of each data centre.

A message travels from its sender to a collector of the sender's data centre, from there to all
fronts of that data centre and to one front of each other data centre, which passes it on to the
fronts there. On each step, messages that wait at the same time share a datagram.
"""

from __future__ import annotations

import asyncio
import enum
import struct
import typing
import zlib
from collections.abc import Iterable, Sequence

from gentianpaddle_core import ids
from gentianpaddle_core.serving import collectors, members
from gentianpaddle_gateway import peers

FLUSH_INTERVAL_S = 0.03
"""Minimum interval between two times at which collected messages are sent on. A message after a
longer pause is sent on at once, since requests are placed by the loads that it may hold."""

MAX_DATAGRAM_MESSAGE_BYTES = 2_400
"""Maximum size of the messages of a datagram before compression, unless one alone is larger."""

MAX_DECOMPRESSED_BYTES = 65_536
"""Maximum size of the messages of a received datagram."""

MAX_FALLBACK_RECEIVERS = 2
"""Number of fronts to which a message is sent while no collector is known."""

_LENGTH = struct.Struct("!H")


class Step(enum.Enum):
    """Step of the way of a datagram; the value is its first byte."""

    SUBMIT = b"S"
    """From the sender to a collector, which distributes the messages in all data centres."""
    PASS_ON = b"X"
    """To a front of another data centre, which distributes the messages there."""
    DELIVER = b"B"
    """To a front that keeps the messages to itself."""


class Batch(typing.NamedTuple):
    """Content of a datagram."""

    step: Step
    messages: list[bytes]


def encode_batches(step: Step, messages: Iterable[bytes]) -> list[bytes]:
    """Encode messages as few datagrams.

    Args:
        step: Step of the datagrams.
        messages: Messages, each at most 65,535 bytes.

    Returns:
        Contents of the datagrams.
    """
    datagrams = []
    packed = b""
    for message in messages:
        record = _LENGTH.pack(len(message)) + message
        if packed and len(packed) + len(record) > MAX_DATAGRAM_MESSAGE_BYTES:
            datagrams.append(packed)
            packed = b""
        packed += record
    if packed:
        datagrams.append(packed)
    return [step.value + zlib.compress(item, 1) for item in datagrams]


def decode_batch(data: bytes) -> Batch | None:
    """Decode a datagram.

    Args:
        data: Content of the datagram.

    Returns:
        Its messages, or None if it is malformed.
    """
    decompressor = zlib.decompressobj()
    try:
        step = Step(data[:1])
        packed = decompressor.decompress(data[1:], MAX_DECOMPRESSED_BYTES)
    except (ValueError, zlib.error):
        return None
    messages = []
    while packed:
        if len(packed) < _LENGTH.size:
            return None
        (length,) = _LENGTH.unpack_from(packed)
        message, packed = packed[2 : 2 + length], packed[2 + length :]
        if len(message) != length:
            return None
        messages.append(message)
    return Batch(step, messages)


def fallback_receivers(
    fronts: Sequence[members.Member], data_centre: ids.DataCentreId, number: int
) -> list[members.Member]:
    """Select fronts that distribute a message while no collector is known.

    Fronts may be dead, so each message goes to the next ones: one of the sender's data centre and
    one of another, if there are such.

    Args:
        fronts: Known fronts.
        data_centre: Data centre of the sender.
        number: Number of the message.
    """
    ordered = sorted(fronts, key=lambda member: member.vm)
    local = [member for member in ordered if member.data_centre == data_centre]
    remote = [member for member in ordered if member.data_centre != data_centre]
    chosen = [group[number % len(group)] for group in (local, remote) if group]
    return chosen[:MAX_FALLBACK_RECEIVERS]


class Submitter:
    """Sends the messages of one VM to the collectors of its data centre.

    Args:
        member_view: Known VMs of the system.
        collector_view: Known collectors.
        datagrams: Socket of this VM.
    """

    def __init__(
        self,
        member_view: members.MemberView,
        collector_view: collectors.CollectorView,
        datagrams: peers.Datagrams,
    ) -> None:
        self._member_view = member_view
        self._collector_view = collector_view
        self._datagrams = datagrams
        self._message_count = 0

    def submit(self, message: bytes) -> bool:
        """Send a message to a collector, or to fronts that act as one.

        Args:
            message: The message.

        Returns:
            Whether a receiver was known.
        """
        own = self._member_view.own
        self._message_count += 1
        known = self._collector_view.current(own.data_centre, asyncio.get_running_loop().time())
        receivers = (
            [known[self._message_count % len(known)]]
            if known
            else fallback_receivers(
                self._member_view.other_fronts(), own.data_centre, self._message_count
            )
        )
        for datagram in encode_batches(Step.SUBMIT, [message]):
            for member in receivers:
                self._datagrams.send(datagram, member)
        return bool(receivers)


class Distributor:
    """Distributes messages from one front to the other fronts.

    Args:
        member_view: Known VMs of the system.
        collector_view: Known collectors.
        datagrams: Socket of this VM.
    """

    def __init__(
        self,
        member_view: members.MemberView,
        collector_view: collectors.CollectorView,
        datagrams: peers.Datagrams,
    ) -> None:
        self._member_view = member_view
        self._collector_view = collector_view
        self._datagrams = datagrams
        self._local_messages: list[bytes] = []
        self._remote_messages: list[bytes] = []
        self._last_flush_s = -FLUSH_INTERVAL_S
        self.flush_count = 0
        """Number of times that collected messages were sent on."""

    def publish(self, messages: Iterable[bytes]) -> None:
        """Distribute messages in all data centres.

        Args:
            messages: Messages of this VM, or submitted to it.
        """
        messages = list(messages)
        self._schedule_flush()
        self._local_messages += messages
        self._remote_messages += messages

    def pass_on(self, messages: Iterable[bytes]) -> None:
        """Distribute messages of another data centre in this one.

        Args:
            messages: The messages.
        """
        self._schedule_flush()
        self._local_messages += messages

    def _schedule_flush(self) -> None:
        if not self._local_messages:
            loop = asyncio.get_running_loop()
            loop.call_at(max(loop.time(), self._last_flush_s + FLUSH_INTERVAL_S), self._flush)

    def _flush(self) -> None:
        self._last_flush_s = asyncio.get_running_loop().time()
        own = self._member_view.own
        fronts = self._member_view.other_fronts()
        local_messages, self._local_messages = self._local_messages, []
        remote_messages, self._remote_messages = self._remote_messages, []
        local = [member for member in fronts if member.data_centre == own.data_centre]
        self._send(Step.DELIVER, local_messages, local)
        self.flush_count += 1
        if remote_messages:
            self._send(Step.PASS_ON, remote_messages, self._remote_receivers(fronts))

    def _send(self, step: Step, messages: list[bytes], receivers: Sequence[members.Member]) -> None:
        if not receivers:
            return
        for datagram in encode_batches(step, messages):
            for member in receivers:
                self._datagrams.send(datagram, member)

    def _remote_receivers(self, fronts: Sequence[members.Member]) -> list[members.Member]:
        """Return one front of each other data centre: a collector if one is known."""
        fronts_by_data_centre: dict[ids.DataCentreId, list[members.Member]] = {}
        for member in sorted(fronts, key=lambda member: member.vm):
            fronts_by_data_centre.setdefault(member.data_centre, []).append(member)
        fronts_by_data_centre.pop(self._member_view.own.data_centre, None)
        now_s = asyncio.get_running_loop().time()
        receivers = []
        for data_centre, known in fronts_by_data_centre.items():
            group = self._collector_view.current(data_centre, now_s) or known
            receivers.append(group[self.flush_count % len(group)])
        return receivers
