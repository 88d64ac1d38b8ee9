"""Datagrams between the VMs of the system, and registration of VMs in the store.

Fronts send heartbeats; side processes send the loads of engines.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
import socket
import struct
import typing
from collections.abc import Awaitable, Callable, Mapping

from gentianpaddle_core import ids, rendezvous
from gentianpaddle_core.serving import members, room_share, routes, store_versions
from gentianpaddle_gateway import log, store_eras
from gentianpaddle_platform import decoding, documents, objects

_logger = logging.getLogger("gentianpaddle.peers")

MEMBERS_INTERVAL_S = 4.0
"""Interval between reads of the registered VMs by a process that needs all of them."""

CHECK_DELAY_S = 1.5
"""Longest delay of the check after the store has returned from a copy. All VMs check and may have
to register again; the entries that a copy lacks must be there within some seconds."""

CHECK_RETRY_S = 0.5
"""Pause after a failed check."""

KEEP_MISSING_S = 6.0
"""Time for which VMs stay known that the store lacks after its return."""

RARE_MEMBERS_INTERVAL_S = 20.0
"""Interval between reads of the registered VMs by a process that learns of live ones otherwise:
fronts from heartbeats, and side processes from the collectors. Each page of a read is charged."""

INITIAL_MEMBERS_INTERVAL_S = 0.5
"""Interval between these reads until this VM is registered and another VM is known. After that the
interval doubles with each read: the other VMs of a system that starts register after this one. A VM
that serves no callers goes on with `RARE_MEMBERS_INTERVAL_S` at once, unless it needs all VMs."""

FAILED_READS_PER_WRITE = 4
"""Number of failed reads after which a VM that serves no callers tries to register all the same. A
read costs a tenth of a write, so it shows first whether the store answers."""

STALE_READ_LIMIT_S = 10.0
"""Upper bound of the age of data that a stale read of the store returns."""

DEREGISTER_AFTER_S = 60.0
"""Time without a heartbeat after which the registration of a front is removed. If the front is
alive, it registers again. One of the live fronts removes it: all read the same list, and each call
is charged."""

_LOAD_FORMAT = struct.Struct("!B4sHHHQ")
"""Load of one engine: whether its group is open (0, 1, or `_STALLED`), its IPv4 address and port,
number of requests, slowness in hundredths, and Unix time of its start in milliseconds."""
_STALLED = 2
"""State of a group that is open and makes no passes. Processes that do not know it take the group
for open."""
_LOAD_TYPE = b"L"
"""First byte of a message with the load of an engine."""
_HEARTBEAT_TYPE = b"H"
"""First byte of a message with a heartbeat."""


_DEMAND_KEY = "demand"
_ERAS_KEY = "eras"
"""Keys of the demand and of the eras of the store versions in the entry of the VM. Decoders that do
not know them ignore them there, but would reject a heartbeat with one more field."""

MAX_SERVICE_NAME_BYTES = 64
"""Maximum length of the name of a service whose demand is announced, so that a heartbeat stays
small. The capacity of other services is shared equally."""


SocketAddress = tuple[str, int]
"""IP address and port."""

DatagramHandler = Callable[[bytes, SocketAddress], None]


class Datagrams(asyncio.DatagramProtocol):
    """UDP socket of this VM.

    Args:
        on_datagram: Called with the content and the sender of each received datagram.
    """

    def __init__(self, on_datagram: DatagramHandler) -> None:
        self._on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.DatagramProtocol`."""
        self._transport = typing.cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        """See `asyncio.DatagramProtocol`."""
        self._on_datagram(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error; an unreachable peer is detected by its missing heartbeats."""

    def send(self, data: bytes, member: members.Member) -> None:
        """Send a datagram.

        Args:
            data: Content of the datagram.
            member: VM that receives it.
        """
        self.send_to(data, (member.ip, member.port))

    def send_to(self, data: bytes, receiver: SocketAddress) -> None:
        """Send a datagram to an address.

        Args:
            data: Content of the datagram.
            receiver: IP address and port.
        """
        if self._transport is not None:
            self._transport.sendto(data, receiver)


async def open_datagrams(ip: str, port: int, on_datagram: DatagramHandler) -> Datagrams:
    """Open the UDP socket of this VM.

    Args:
        ip: IP address of this VM.
        port: Port to bind.
        on_datagram: Called with the content and the sender of each received datagram.

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
    stalled: bool = False
    """Whether the group accepts requests but makes no passes."""


def encode_load(load: EngineLoad) -> bytes:
    """Encode the load of an engine.

    Args:
        load: Load to encode.

    Returns:
        The message.
    """
    host, _, port = load.address.rpartition(":")
    return _LOAD_TYPE + _LOAD_FORMAT.pack(
        _STALLED if load.group_open and load.stalled else load.group_open,
        socket.inet_aton(host),
        int(port),
        min(load.requests, 65_535),
        min(int(load.slowness * 100.0), 65_535),
        load.started_ms,
    )


def decode_load(message: bytes) -> EngineLoad | None:
    """Decode the load of an engine.

    Args:
        message: The message.

    Returns:
        The load, or None if the message is of another type or malformed.
    """
    if message[:1] != _LOAD_TYPE or len(message) != 1 + _LOAD_FORMAT.size:
        return None
    group_open, host, port, requests, slowness, started_ms = _LOAD_FORMAT.unpack_from(message, 1)
    address = f"{socket.inet_ntoa(host)}:{port}"
    return EngineLoad(
        address, requests, bool(group_open), slowness / 100.0, started_ms, group_open == _STALLED
    )


class Heartbeat(typing.NamedTuple):
    """Heartbeat of a front to the other fronts."""

    member: members.Member
    serving: bool
    """Whether the front accepts new callers."""
    version: int
    """Version of the configuration that the front applies; 0 for none."""
    versions: list[tuple[store_versions.StoreVersion, int]]
    """Store version and checksum of the objects that the front knows, for each watched kind."""
    collecting: bool
    """Whether the front is a collector of its data centre."""
    demand_by_service: Mapping[routes.ServiceName, float] | None = None
    """Demand of the front, or None if it announces none."""

    @property
    def latest_era(self) -> store_versions.Era | None:
        """The latest era of the store that the front knows, or None if the store states none."""
        latest = max((version.era for version, _ in self.versions), default=None)
        return latest if latest != store_versions.UNSTATED_ERA else None


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Encode a heartbeat.

    Args:
        heartbeat: Heartbeat to encode.

    Returns:
        The message.
    """
    member = heartbeat.member
    spec = documents.encode_member(member)
    if heartbeat.latest_era is not None:
        spec[_ERAS_KEY] = [version.era for version, _ in heartbeat.versions]
    if heartbeat.demand_by_service is not None:
        spec[_DEMAND_KEY] = {
            name: round(demand, 1)
            for name, demand in room_share.announced(heartbeat.demand_by_service).items()
            if len(name.encode()) <= MAX_SERVICE_NAME_BYTES
        }
    fields = [
        member.vm,
        spec,
        heartbeat.serving,
        heartbeat.version,
        [(version.revision, checksum) for version, checksum in heartbeat.versions],
        heartbeat.collecting,
    ]
    return _HEARTBEAT_TYPE + json.dumps(fields, separators=(",", ":")).encode()


def decode_heartbeat(data: bytes) -> Heartbeat | None:
    """Decode a heartbeat.

    Args:
        data: The message.

    Returns:
        Heartbeat, or None if the message is of another type or malformed.
    """
    if not data.startswith(_HEARTBEAT_TYPE):
        return None
    try:
        vm, spec, serving, version, revisions, collecting = decoding.load_json(data[1:])
        member = documents.decode_member(vm, spec)
        if member is None:
            return None
        versions = [
            (store_versions.StoreVersion(era, int(revision)), int(checksum))
            for era, (revision, checksum) in zip(
                _decode_eras(spec.get(_ERAS_KEY), len(revisions)), revisions, strict=True
            )
        ]
        demand_by_service = _decode_demand(spec.get(_DEMAND_KEY))
        return Heartbeat(
            member,
            bool(serving),
            int(version),
            versions,
            bool(collecting),
            demand_by_service,
        )
    except decoding.ERRORS:
        return None


def _decode_eras(value: typing.Any, count: int) -> list[store_versions.Era]:
    """Decode the eras in a heartbeat; fronts of earlier versions state none.

    A front whose eras are unreadable is alive all the same, but what it knows counts as old.
    """
    unstated = [store_versions.UNSTATED_ERA] * count
    if not isinstance(value, list) or len(value) != count:
        return unstated
    if not all(isinstance(era, int) for era in value):
        return unstated
    return [store_versions.Era(era) for era in value]


def _decode_demand(value: typing.Any) -> dict[routes.ServiceName, float] | None:
    """Decode the demand in a heartbeat; None if there is none or it is malformed.

    A front whose demand is unreadable is alive all the same.
    """
    if not isinstance(value, dict):
        return None
    try:
        items = list(value.items())[: room_share.MAX_ANNOUNCED_SERVICES]
        return {
            routes.ServiceName(str(name)): max(0.0, decoding.finite_float(demand))
            for name, demand in items
        }
    except decoding.ERRORS:
        return None


class Registration:
    """Registers this VM in the store and reads the other registered VMs.

    Args:
        member_view: Known VMs; updated from the store.
        store: Client of the platform's store.
        needs_all: Returns whether this process needs to know all registered VMs at present.
        wait_for_store: Waits while the store is known to be down; None if this process has no
            watches that tell.
        eras: Era of the store; None if this process does not learn of it.
    """

    def __init__(
        self,
        member_view: members.MemberView,
        store: objects.ObjectStore,
        needs_all: Callable[[], bool],
        wait_for_store: Callable[[], Awaitable[None]] | None = None,
        eras: store_eras.StoreEras | None = None,
    ) -> None:
        if eras is not None:
            eras.subscribe(self._check_after_return)
        self._check_s: float | None = None
        """Monotonic time at which the registrations are checked after a return of the store."""
        self._leaving = False
        self._member_view = member_view
        self._needs_all = needs_all
        self._store = store
        self._wait_for_store = wait_for_store
        self._failed_reads = 0
        self._registered_at_s: float | None = None
        self._silent_since_s: dict[ids.VmId, float] = {}

    async def run(self) -> None:
        """Keep this VM registered and read the registered VMs until cancelled."""
        # A front removes its registration when it stops, and a stale read may still show it.
        keeps_registration = self._member_view.own.front_address is None
        interval_s = INITIAL_MEMBERS_INTERVAL_S
        while True:
            if self._wait_for_store is not None:
                await self._wait_for_store()
            if not keeps_registration:
                await self._register()
            checks, self._check_s = self._check_s is not None, None
            listing = await self._store.list(documents.MEMBERS_KIND, allow_stale=not checks)
            if isinstance(listing, objects.Listing):
                self._failed_reads = 0
                if checks:
                    await self._restore_registration(listing)
                await self._apply_listing(listing, keeps_registration)
            else:
                self._failed_reads += 1
                if checks:
                    self._check_s = asyncio.get_running_loop().time() + CHECK_RETRY_S
            if keeps_registration and self._failed_reads % FAILED_READS_PER_WRITE == 0:
                await self._register()
            initialised = (
                len(self._member_view.other_members()) > 0 and self._registered_at_s is not None
            )
            await self._pause(interval_s)
            if initialised:
                needless = keeps_registration and not self._needs_all()
                interval_s = min(2.0 * interval_s, RARE_MEMBERS_INTERVAL_S)
                interval_s = RARE_MEMBERS_INTERVAL_S if needless else interval_s

    def _check_after_return(self) -> None:
        """Check the registrations soon, as a copy of the store may lack some."""
        now_s = asyncio.get_running_loop().time()
        self._check_s = now_s + random.uniform(0.0, CHECK_DELAY_S)
        self._member_view.keep_missing(now_s + KEEP_MISSING_S)

    async def _restore_registration(self, listing: objects.Listing) -> None:
        """Register again if the store lacks this VM; deregister again if it is leaving."""
        registered = self._member_view.own in _members_of(listing)
        if self._leaving and registered:
            await self.deregister()
        elif not registered:
            self._registered_at_s = None
            await self._register()

    async def _register(self) -> None:
        if self._leaving or self._registered_at_s is not None:
            return
        own = self._member_view.own
        result = await self._store.put(documents.MEMBERS_KIND, own.vm, documents.encode_member(own))
        if isinstance(result, objects.StoredObject):
            self._registered_at_s = asyncio.get_running_loop().time()
        else:
            log.event(_logger, "not_registered", logging.WARNING, reason=result.reason)

    async def _pause(self, interval_s: float) -> None:
        """Wait for an interval, or less if this process needs all VMs.

        It waits for `MEMBERS_INTERVAL_S` if it needs them from the start, or else until it does.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        needed_at_start = self._needs_all()
        while (elapsed_s := loop.time() - started_s) < interval_s:
            if self._needs_all() and (elapsed_s >= MEMBERS_INTERVAL_S or not needed_at_start):
                return
            if self._check_s is not None and loop.time() >= self._check_s:
                return
            await asyncio.sleep(min(INITIAL_MEMBERS_INTERVAL_S, interval_s - elapsed_s))

    async def _apply_listing(self, listing: objects.Listing, keeps_registration: bool) -> None:
        registered = _members_of(listing)
        now_s = asyncio.get_running_loop().time()
        self._member_view.replace(registered, now_s)
        if (
            self._member_view.own not in registered
            and self._registered_at_s is not None
            and now_s - self._registered_at_s > STALE_READ_LIMIT_S
        ):
            self._registered_at_s = None
        if keeps_registration and self._member_view.own in registered:
            self._registered_at_s = self._registered_at_s or now_s
        for member in registered:
            if member.front_address is None or self._member_view.is_alive(member.vm, now_s):
                self._silent_since_s.pop(member.vm, None)
            elif now_s - self._silent_since_s.setdefault(
                member.vm, now_s
            ) > DEREGISTER_AFTER_S and self._removes(member.vm, now_s):
                log.event(_logger, "registration_removed", member=member.vm)
                await self._store.delete(documents.MEMBERS_KIND, member.vm)

    def _removes(self, vm: ids.VmId, now_s: float) -> bool:
        """Return whether this process removes the registration of a silent front."""
        own = self._member_view.own
        if own.front_address is None:
            return False
        live_vms = [member.vm for member in self._member_view.live_fronts(now_s)]
        return own.vm in rendezvous.choose(f"removal of {vm}", [*live_vms, own.vm], 1)

    async def deregister(self) -> None:
        """Remove the registration of this VM, which does not register again."""
        self._leaving = True
        await self._store.delete(documents.MEMBERS_KIND, self._member_view.own.vm)


def _members_of(listing: objects.Listing) -> list[members.Member]:
    decoded = (documents.decode_member(item.name, item.spec) for item in listing.objects)
    return [member for member in decoded if member is not None]
