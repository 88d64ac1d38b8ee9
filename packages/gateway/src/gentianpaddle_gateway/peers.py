"""Datagrams between the VMs of the system, and registration of VMs in the store.

Fronts send heartbeats; side processes send the loads of engines.
"""

from __future__ import annotations

import asyncio
import json
import logging
import socket
import struct
import typing
import zlib
from collections.abc import Callable

from gentianpaddle_core import ids
from gentianpaddle_core.serving import members
from gentianpaddle_gateway import log
from gentianpaddle_platform import decoding, documents, objects

_logger = logging.getLogger("gentianpaddle.peers")

MEMBERS_INTERVAL_S = 4.0
"""Interval between reads of the registered VMs. Live fronts are known earlier from their
heartbeats."""

INITIAL_MEMBERS_INTERVAL_S = 0.5
"""Interval between these reads until this VM is registered and another VM is known."""

STALE_READ_LIMIT_S = 10.0
"""Upper bound of the age of data that a stale read of the store returns."""

DEREGISTER_AFTER_S = 60.0
"""Time without a heartbeat after which the registration of a front is removed. If the front is
alive, it registers again."""

_LOAD_FORMAT = struct.Struct("!B4sHHHQ")
"""Load of one engine: whether its group is open, its IPv4 address and port, number of requests,
slowness in hundredths, and Unix time of its start in milliseconds."""
_LOAD_TYPE = b"L"
"""First byte of a datagram with engine loads."""
_RELAYED_LOAD_TYPE = b"R"
"""First byte of a datagram with engine loads that the receiver relays within its data centre."""
_HEARTBEAT_TYPE = b"H"
"""First byte of a datagram with a heartbeat."""
_RELAYED_HEARTBEAT_TYPE = b"P"
"""First byte of a datagram with a heartbeat that the receiver relays within its data centre."""


class Datagrams(asyncio.DatagramProtocol):
    """UDP socket of this VM.

    Args:
        on_datagram: Called with the content of each received datagram.
    """

    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        self._on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.DatagramProtocol`."""
        self._transport = typing.cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        """See `asyncio.DatagramProtocol`."""
        self._on_datagram(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error; an unreachable peer is detected by its missing heartbeats."""

    def send(self, data: bytes, member: members.Member) -> None:
        """Send a datagram.

        Args:
            data: Content of the datagram.
            member: VM that receives it.
        """
        if self._transport is not None:
            self._transport.sendto(data, (member.ip, member.port))


async def open_datagrams(ip: str, port: int, on_datagram: Callable[[bytes], None]) -> Datagrams:
    """Open the UDP socket of this VM.

    Args:
        ip: IP address of this VM.
        port: Port to bind.
        on_datagram: Called with the content of each received datagram.

    Returns:
        Open socket.
    """
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(
        lambda: Datagrams(on_datagram), local_addr=(ip, port)
    )
    return protocol


class EngineLoad(typing.NamedTuple):
    """Load of one engine."""

    address: str
    """Host and port of the engine."""
    requests: int
    """Number of requests that are running or queued."""
    group_open: bool
    """Whether its group accepts requests."""
    slowness: float
    """Duration of its passes relative to a healthy engine; 1 is normal."""
    started_ms: int
    """Unix time of its start in milliseconds."""


class Loads(typing.NamedTuple):
    """Content of a datagram with engine loads."""

    loads: list[EngineLoad]
    to_relay: bool
    """Whether the receiver relays the loads to the other fronts of its data centre."""


def encode_loads(loads: Loads) -> bytes:
    """Encode engine loads.

    Args:
        loads: Loads to encode.

    Returns:
        Content of the datagram.
    """
    datagram_type = _RELAYED_LOAD_TYPE if loads.to_relay else _LOAD_TYPE
    return datagram_type + b"".join(map(_encode_load, loads.loads))


def _encode_load(load: EngineLoad) -> bytes:
    host, _, port = load.address.rpartition(":")
    return _LOAD_FORMAT.pack(
        load.group_open,
        socket.inet_aton(host),
        int(port),
        min(load.requests, 65_535),
        min(int(load.slowness * 100.0), 65_535),
        load.started_ms,
    )


def decode_loads(data: bytes) -> Loads | None:
    """Decode engine loads.

    Args:
        data: Content of a datagram.

    Returns:
        Loads, or None if the datagram is of another type or malformed.
    """
    datagram_type, records = data[:1], data[1:]
    if datagram_type not in (_LOAD_TYPE, _RELAYED_LOAD_TYPE) or len(records) % _LOAD_FORMAT.size:
        return None
    loads = [
        EngineLoad(
            f"{socket.inet_ntoa(host)}:{port}",
            requests,
            bool(group_open),
            slowness / 100.0,
            started_ms,
        )
        for group_open, host, port, requests, slowness, started_ms in _LOAD_FORMAT.iter_unpack(
            records
        )
    ]
    return Loads(loads, datagram_type == _RELAYED_LOAD_TYPE)


def select_receivers(
    fronts: list[members.Member], own: members.Member, datagram_number: int
) -> tuple[list[members.Member], list[members.Member]]:
    """Select the fronts to which a datagram for all fronts is sent.

    Traffic between data centres is charged, so only one front of each other data centre, the relay,
    gets the datagram and relays it there.

    Args:
        fronts: Known fronts, without the sender.
        own: VM that sends the datagram.
        datagram_number: Number of the datagram. A relay may be dead, so each datagram uses the next
            front as the relay.

    Returns:
        Fronts of the sender's own data centre, and one relay for each other data centre.
    """
    local_fronts = [member for member in fronts if member.data_centre == own.data_centre]
    remote_fronts: dict[ids.DataCentreId, list[members.Member]] = {}
    for member in sorted(fronts, key=lambda member: member.vm):
        if member.data_centre != own.data_centre:
            remote_fronts.setdefault(member.data_centre, []).append(member)
    offset = zlib.crc32(own.vm.encode()) + datagram_number
    return local_fronts, [group[offset % len(group)] for group in remote_fronts.values()]


class Heartbeat(typing.NamedTuple):
    """Heartbeat of a front to the other fronts."""

    member: members.Member
    serving: bool
    """Whether the front accepts new callers."""
    version: int
    """Version of the configuration that the front applies; 0 for none."""
    revisions: list[tuple[int, int]]
    """Store revision and checksum of the objects that the front knows, for each watched kind."""


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Encode a heartbeat.

    Args:
        heartbeat: Heartbeat to encode.

    Returns:
        Content of the datagram. For a relay, wrap it with `wrap_for_relay`.
    """
    member = heartbeat.member
    fields = [
        member.vm,
        documents.encode_member(member),
        heartbeat.serving,
        heartbeat.version,
        heartbeat.revisions,
    ]
    return _HEARTBEAT_TYPE + json.dumps(fields, separators=(",", ":")).encode()


def wrap_for_relay(heartbeat: bytes) -> bytes:
    """Mark an encoded heartbeat as one to relay.

    Args:
        heartbeat: Result of `encode_heartbeat`.

    Returns:
        Content of the datagram for a relay.
    """
    return _RELAYED_HEARTBEAT_TYPE + heartbeat[1:]


def unwrap_relayed(data: bytes) -> bytes | None:
    """Return the heartbeat that the receiver of a datagram has to relay.

    Args:
        data: Content of a datagram.

    Returns:
        Content of the datagram for the other fronts of the receiver's data centre, or None if there
        is nothing to relay.
    """
    if not data.startswith(_RELAYED_HEARTBEAT_TYPE):
        return None
    return _HEARTBEAT_TYPE + data[1:]


def decode_heartbeat(data: bytes) -> Heartbeat | None:
    """Decode a heartbeat.

    Args:
        data: Content of a datagram.

    Returns:
        Heartbeat, or None if the datagram is of another type or malformed.
    """
    if not data.startswith(_HEARTBEAT_TYPE):
        return None
    try:
        vm, spec, serving, version, revisions = decoding.load_json(data[1:])
        member = documents.decode_member(vm, spec)
        if member is None:
            return None
        revision_pairs = [(int(revision), int(checksum)) for revision, checksum in revisions]
        return Heartbeat(member, bool(serving), int(version), revision_pairs)
    except decoding.ERRORS:
        return None


class Registration:
    """Registers this VM in the store and reads the other registered VMs.

    Args:
        member_view: Known VMs; updated from the store.
        store: Client of the platform's store.
    """

    def __init__(self, member_view: members.MemberView, store: objects.ObjectStore) -> None:
        self._member_view = member_view
        self._store = store
        self._registered_at_s: float | None = None
        self._silent_since_s: dict[ids.VmId, float] = {}

    async def run(self) -> None:
        """Keep this VM registered and read the registered VMs until cancelled."""
        own = self._member_view.own
        while True:
            if self._registered_at_s is None:
                result = await self._store.put(
                    documents.MEMBERS_KIND, own.vm, documents.encode_member(own)
                )
                if isinstance(result, objects.StoredObject):
                    self._registered_at_s = asyncio.get_running_loop().time()
                else:
                    log.event(_logger, "not_registered", logging.WARNING, reason=result.reason)
            listing = await self._store.list(documents.MEMBERS_KIND, allow_stale=True)
            if isinstance(listing, objects.Listing):
                await self._apply_listing(listing)
            initialised = (
                len(self._member_view.other_members()) > 0 and self._registered_at_s is not None
            )
            await asyncio.sleep(MEMBERS_INTERVAL_S if initialised else INITIAL_MEMBERS_INTERVAL_S)

    async def _apply_listing(self, listing: objects.Listing) -> None:
        registered = []
        for item in listing.objects:
            member = documents.decode_member(item.name, item.spec)
            if member is not None:
                registered.append(member)
        self._member_view.replace(registered)
        now_s = asyncio.get_running_loop().time()
        if (
            self._member_view.own not in registered
            and self._registered_at_s is not None
            and now_s - self._registered_at_s > STALE_READ_LIMIT_S
        ):
            self._registered_at_s = None
        for member in registered:
            if member.front_address is None or self._member_view.is_alive(member.vm, now_s):
                self._silent_since_s.pop(member.vm, None)
            elif now_s - self._silent_since_s.setdefault(member.vm, now_s) > DEREGISTER_AFTER_S:
                log.event(_logger, "registration_removed", member=member.vm)
                await self._store.delete(documents.MEMBERS_KIND, member.vm)

    async def deregister(self) -> None:
        """Remove the registration of this VM."""
        await self._store.delete(documents.MEMBERS_KIND, self._member_view.own.vm)
