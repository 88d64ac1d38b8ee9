"""What a front believes: the configuration in force, the backend servers, what is evacuated."""

from __future__ import annotations

import asyncio
import json
import logging
import typing

from gentianpaddle_core import ids
from gentianpaddle_core.serving import routes, servers
from gentianpaddle_gateway import log, store_watch
from gentianpaddle_platform import documents, objects

_logger = logging.getLogger("gentianpaddle.beliefs")

CERTAIN_FOR_S = 6.0
"""Age of the last word from the store up to which an unknown route or key is refused for good. It
is a little more than the wait of the shortest watch."""


class Beliefs:
    """State that the store's news change and that requests are decided on."""

    def __init__(self, store_address: str) -> None:
        self.table: routes.RoutingTable | None = None
        """Configuration in force, or None while none is known."""
        self.servers = servers.ServerView()
        self.changed = asyncio.Event()
        """Set when servers or evacuations change."""
        self.watches: dict[str, store_watch.Watch] = {
            documents.CONFIGURATION_KIND: store_watch.Watch(
                documents.CONFIGURATION_KIND, _Configuration(self), store_address
            ),
            documents.SERVERS_KIND: store_watch.Watch(
                documents.SERVERS_KIND, _Servers(self), store_address, store_watch.WATCH_WAIT_S
            ),
            documents.EVACUATIONS_KIND: store_watch.Watch(
                documents.EVACUATIONS_KIND, _Evacuations(self), store_address
            ),
        }

    def certain(self, now_s: float) -> bool:
        """Return whether an unknown route or key may be refused for good.

        Args:
            now_s: Monotonic time in seconds.
        """
        heard = [watch.last_answer_s for watch in self.watches.values()]
        return any(at_s is not None and now_s - at_s < CERTAIN_FOR_S for at_s in heard)

    def take_configuration(self, spec: typing.Any, source: str) -> None:
        """Put a configuration in force if it is newer.

        Args:
            spec: Content of the configuration object.
            source: Where it comes from, for the log.
        """
        table = documents.decode_routing(spec)
        if table is None:
            log.event(_logger, "configuration_unreadable", logging.ERROR, source=source)
            return
        known = self.table.version if self.table is not None else None
        if known is not None and table.version <= known:
            return
        self.table = table
        log.event(
            _logger,
            "configuration",
            version=table.version,
            previous=known,
            routes=len(table.routes),
            source=source,
        )

    def marks(self) -> list[tuple[int, int]]:
        """Return for each watched kind the store revision and a checksum of what is known."""
        return [(watch.at, watch.digest()) for watch in self.watches.values()]

    def behind(self, others: list[tuple[int, int]]) -> bool:
        """Return whether another process knows something newer.

        Args:
            others: What `marks` returned there.
        """
        return any(
            at > watch.at and digest != watch.digest()
            for watch, (at, digest) in zip(self.watches.values(), others, strict=False)
        )

    def snapshot(self) -> bytes:
        """Encode all that is known, for a process that cannot reach the store.

        Returns:
            JSON.
        """
        return json.dumps(
            {kind: documents.encode_listing(w.listing()) for kind, w in self.watches.items()}
        ).encode()

    def take_snapshot(self, body: bytes, source: ids.VmId) -> bool:
        """Take what another process knows where it is newer.

        Args:
            body: What `snapshot` returned there.
            source: That process's VM.

        Returns:
            Whether it could be read.
        """
        try:
            document = json.loads(body)
            listings = {kind: documents.decode_listing(item) for kind, item in document.items()}
        except (ValueError, AttributeError):
            return False
        for kind, watch in self.watches.items():
            listing = listings.get(kind)
            if listing is not None and listing.revision > watch.at:
                log.event(_logger, "taken_from_peer", kind=kind, peer=source, at=listing.revision)
                watch.take(listing)
        return True


class _Configuration:
    def __init__(self, beliefs: Beliefs) -> None:
        self._beliefs = beliefs

    def listed(self, stored: tuple[objects.StoredObject, ...]) -> None:
        found = objects.named(stored, documents.CONFIGURATION_NAME)
        if found is not None:
            self._beliefs.take_configuration(found.spec, "store")

    def changed(self, change: objects.Change) -> None:
        if change.object.name == documents.CONFIGURATION_NAME and not change.removed:
            self._beliefs.take_configuration(change.object.spec, "store")

    def store_lost(self) -> None:
        pass

    def store_answered(self) -> None:
        pass


class _Servers:
    def __init__(self, beliefs: Beliefs) -> None:
        self._beliefs = beliefs
        self._view = beliefs.servers

    def listed(self, stored: tuple[objects.StoredObject, ...]) -> None:
        entries = []
        for item in stored:
            entry = documents.decode_server(item.name, item.spec)
            if entry is not None:
                entries.append(entry)
        self._view.replace(entries, asyncio.get_running_loop().time())
        log.event(_logger, "servers_listed", count=len(entries), listed=len(stored))
        self._beliefs.changed.set()

    def changed(self, change: objects.Change) -> None:
        now_s = asyncio.get_running_loop().time()
        entry = documents.decode_server(change.object.name, change.object.spec)
        if change.removed or entry is None:
            self._view.remove(ids.BackendServerId(change.object.name), now_s)
        else:
            self._view.put(entry, now_s)
        log.event(
            _logger,
            "server",
            server=change.object.name,
            state="gone"
            if change.removed
            else "unreadable"
            if entry is None
            else "draining"
            if entry.draining
            else "ready",
            revision=change.object.revision,
        )
        self._beliefs.changed.set()

    def store_lost(self) -> None:
        self._view.directory_lost()

    def store_answered(self) -> None:
        self._view.directory_answered(asyncio.get_running_loop().time())


class _Evacuations:
    def __init__(self, beliefs: Beliefs) -> None:
        self._beliefs = beliefs

    def listed(self, stored: tuple[objects.StoredObject, ...]) -> None:
        self._set(frozenset(ids.DataCentreId(item.name) for item in stored))

    def changed(self, change: objects.Change) -> None:
        name = ids.DataCentreId(change.object.name)
        known = self._beliefs.servers.evacuated
        self._set(known - {name} if change.removed else known | {name})

    def _set(self, evacuated: frozenset[ids.DataCentreId]) -> None:
        if evacuated != self._beliefs.servers.evacuated:
            log.event(_logger, "evacuated", data_centres=",".join(sorted(evacuated)))
            self._beliefs.servers.evacuated = evacuated
            self._beliefs.changed.set()

    def store_lost(self) -> None:
        pass

    def store_answered(self) -> None:
        pass
