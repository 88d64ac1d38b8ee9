"""Datagrams between the system's own VMs: heartbeats of fronts, loads of engines."""

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
from gentianpaddle_platform import documents, objects

_logger = logging.getLogger("gentianpaddle.peers")

MEMBERS_INTERVAL_S = 4.0
"""Pause between reads of the registered VMs; live fronts make themselves known by datagram."""

FIRST_INTERVAL_S = 0.5
"""Same until this VM is registered and knows another one."""

STALE_READ_S = 10.0
"""Age that stale reads of the store do not reach."""

FORGET_AFTER_S = 60.0
"""Silence after which a front's registration is removed; a live one registers again."""

_LOAD = struct.Struct("!B4sHHHQ")
"""Whether the group is open, address and port of the engine, requests, slowness in hundredths, Unix
time of the engine's start in ms."""
_LOAD_MARK = b"L"
_RELAYED_LOAD_MARK = b"R"
"""Mark of loads that the front which gets them is to pass on in its data centre."""
_HEARTBEAT_MARK = b"H"
_RELAYED_HEARTBEAT_MARK = b"P"
"""Mark of a heartbeat that the front which gets it is to pass on in its data centre."""


class Datagrams(asyncio.DatagramProtocol):
    """Socket for datagrams of this VM.

    Args:
        received: Called with each datagram.
    """

    def __init__(self, received: Callable[[bytes], None]) -> None:
        self._received = received
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.DatagramProtocol`."""
        self._transport = typing.cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        """See `asyncio.DatagramProtocol`."""
        self._received(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error of a peer that is gone; its silence tells as much."""

    def send(self, data: bytes, member: members.Member) -> None:
        """Send a datagram.

        Args:
            data: Content.
            member: VM to send it to.
        """
        if self._transport is not None:
            self._transport.sendto(data, (member.ip, member.port))


async def open_datagrams(ip: str, port: int, received: Callable[[bytes], None]) -> Datagrams:
    """Open the socket of this VM.

    Args:
        ip: Address of this VM.
        port: Port.
        received: Called with each datagram.

    Returns:
        The socket.
    """
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(
        lambda: Datagrams(received), local_addr=(ip, port)
    )
    return protocol


class EngineLoad(typing.NamedTuple):
    """Load of one engine."""

    address: str
    """Host and port of the engine."""
    requests: int
    """Requests that run or wait there."""
    group_open: bool
    """Whether its group takes work."""
    slowness: float
    """Time of its work relative to a healthy engine."""
    started_ms: int
    """Unix time of its start."""


class Loads(typing.NamedTuple):
    """Loads of engines as they travel."""

    loads: list[EngineLoad]
    to_pass_on: bool
    """Whether other fronts of the receiver's data centre do not get them from the sender."""


def encode_loads(loads: Loads) -> bytes:
    """Encode loads of engines.

    Args:
        loads: The loads.

    Returns:
        The datagram.
    """
    mark = _RELAYED_LOAD_MARK if loads.to_pass_on else _LOAD_MARK
    return mark + b"".join(map(_encode_load, loads.loads))


def _encode_load(load: EngineLoad) -> bytes:
    host, _, port = load.address.rpartition(":")
    return _LOAD.pack(
        load.group_open,
        socket.inet_aton(host),
        int(port),
        min(load.requests, 65_535),
        min(int(load.slowness * 100.0), 65_535),
        load.started_ms,
    )


def decode_loads(data: bytes) -> Loads | None:
    """Decode loads of engines.

    Args:
        data: A datagram.

    Returns:
        The loads, or None for another datagram.
    """
    mark, records = data[:1], data[1:]
    if mark not in (_LOAD_MARK, _RELAYED_LOAD_MARK) or len(records) % _LOAD.size:
        return None
    loads = [
        EngineLoad(
            f"{socket.inet_ntoa(host)}:{port}",
            requests,
            bool(group_open),
            slowness / 100.0,
            started_ms,
        )
        for group_open, host, port, requests, slowness, started_ms in _LOAD.iter_unpack(records)
    ]
    return Loads(loads, mark == _RELAYED_LOAD_MARK)


def receivers(
    fronts: list[members.Member], own: members.Member, turn: int
) -> tuple[list[members.Member], list[members.Member]]:
    """Choose which fronts a datagram for all fronts is sent to.

    Args:
        fronts: Registered fronts.
        own: VM that sends it.
        turn: Number of the datagram; the relay changes with each, as it may be dead.

    Returns:
        Fronts that get it for themselves, and one front of each other data centre, which passes it
        on there; bytes between data centres are priced.
    """
    near = [member for member in fronts if member.data_centre == own.data_centre]
    far: dict[ids.DataCentreId, list[members.Member]] = {}
    for member in sorted(fronts, key=lambda member: member.vm):
        if member.data_centre != own.data_centre:
            far.setdefault(member.data_centre, []).append(member)
    offset = zlib.crc32(own.vm.encode()) + turn
    return near, [group[offset % len(group)] for group in far.values()]


class Heartbeat(typing.NamedTuple):
    """What a front tells the others."""

    member: members.Member
    serving: bool
    """Whether it takes new callers."""
    version: int
    """Configuration in force there, 0 for none."""
    marks: list[tuple[int, int]]
    """What `beliefs.Beliefs.marks` returned there."""


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Encode a heartbeat.

    Args:
        heartbeat: The heartbeat.

    Returns:
        The datagram for a front; `to_pass_on` makes it one for a relay.
    """
    member = heartbeat.member
    fields = [
        member.vm,
        documents.encode_member(member),
        heartbeat.serving,
        heartbeat.version,
        heartbeat.marks,
    ]
    return _HEARTBEAT_MARK + json.dumps(fields, separators=(",", ":")).encode()


def to_pass_on(heartbeat: bytes) -> bytes:
    """Return the datagram that carries an encoded heartbeat to a relay.

    Args:
        heartbeat: What `encode_heartbeat` returned.
    """
    return _RELAYED_HEARTBEAT_MARK + heartbeat[1:]


def passed_on(data: bytes) -> bytes | None:
    """Return the heartbeat that the receiver of a datagram is to pass on.

    Args:
        data: A datagram.

    Returns:
        The datagram for the other fronts of the receiver's data centre, or None.
    """
    if not data.startswith(_RELAYED_HEARTBEAT_MARK):
        return None
    return _HEARTBEAT_MARK + data[1:]


def decode_heartbeat(data: bytes) -> Heartbeat | None:
    """Decode a heartbeat.

    Args:
        data: A datagram.

    Returns:
        The heartbeat, or None for another or unreadable datagram.
    """
    if not data.startswith(_HEARTBEAT_MARK):
        return None
    try:
        vm, spec, serving, version, marks = json.loads(data[1:])
        member = documents.decode_member(vm, spec)
        if member is None:
            return None
        pairs = [(int(at), int(digest)) for at, digest in marks]
        return Heartbeat(member, bool(serving), int(version), pairs)
    except (ValueError, TypeError):
        return None


class Registration:
    """Registers this VM in the store and reads who else is registered.

    Args:
        view: Known VMs.
        store: The store.
    """

    def __init__(self, view: members.MemberView, store: objects.ObjectStore) -> None:
        self._view = view
        self._store = store
        self._registered_s: float | None = None
        self._silent_since_s: dict[ids.VmId, float] = {}

    async def run(self) -> None:
        """Register and read until cancelled."""
        own = self._view.own
        while True:
            if self._registered_s is None:
                result = await self._store.put(
                    documents.MEMBERS_KIND, own.vm, documents.encode_member(own)
                )
                if isinstance(result, objects.StoredObject):
                    self._registered_s = asyncio.get_running_loop().time()
                else:
                    log.event(_logger, "not_registered", logging.WARNING, reason=result.reason)
            listing = await self._store.list(documents.MEMBERS_KIND, stale=True)
            if isinstance(listing, objects.Listing):
                await self._take(listing)
            known = len(self._view.others()) > 0 and self._registered_s is not None
            await asyncio.sleep(MEMBERS_INTERVAL_S if known else FIRST_INTERVAL_S)

    async def _take(self, listing: objects.Listing) -> None:
        registered = []
        for item in listing.objects:
            member = documents.decode_member(item.name, item.spec)
            if member is not None:
                registered.append(member)
        self._view.replace(registered)
        now_s = asyncio.get_running_loop().time()
        if (
            self._view.own not in registered
            and self._registered_s is not None
            and now_s - self._registered_s > STALE_READ_S
        ):
            self._registered_s = None
        for member in registered:
            if member.front_address is None or self._view.alive(member.vm, now_s):
                self._silent_since_s.pop(member.vm, None)
            elif now_s - self._silent_since_s.setdefault(member.vm, now_s) > FORGET_AFTER_S:
                log.event(_logger, "registration_removed", member=member.vm)
                await self._store.delete(documents.MEMBERS_KIND, member.vm)

    async def leave(self) -> None:
        """Take the registration back."""
        await self._store.delete(documents.MEMBERS_KIND, self._view.own.vm)
