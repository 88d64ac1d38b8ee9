"""A front's copy of the store's configuration, backend servers and evacuated data centres."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import random
import typing
from collections.abc import Callable

from gentianpaddle_core import ids
from gentianpaddle_core.serving import evacuations, routes, servers, store_versions
from gentianpaddle_gateway import log, store_eras, store_watch
from gentianpaddle_platform import decoding, documents, objects

_logger = logging.getLogger("gentianpaddle.beliefs")

CURRENT_AGE_LIMIT_S = store_watch.WATCH_WAIT_S + 1.0
"""Maximum age of the last answer from the store at which the state counts as current, so that an
unknown route or key can be denied permanently. Slightly longer than the wait of the shortest
watch."""


class PlatformState:
    """State of the platform by which requests are routed, updated from the store by watches.

    Args:
        store_address: Host and port of the store.
        counter: Counts the calls to the store, or None.
        front_count: Returns the number of fronts, which list the store at the same time after it
            has returned from a copy.
    """

    def __init__(
        self,
        store_address: str,
        counter: objects.CallCounter | None = None,
        front_count: Callable[[], int] = lambda: 1,
    ) -> None:
        self.table: routes.RoutingTable | None = None
        """Routing table in force; None until the first configuration is received."""
        self.servers = servers.ServerView()
        self.eras = store_eras.StoreEras()
        self.changed = asyncio.Event()
        """Set when servers or evacuations change; cleared by the reader."""
        self.store_retries = store_watch.Retries(
            (
                documents.CONFIGURATION_KIND,
                documents.SERVERS_KIND,
                documents.EVACUATIONS_KIND,
            )
        )

        def relist_delay_s() -> float:
            return store_versions.relist_delay_s(front_count(), random.random())

        self.watches: dict[str, store_watch.Watch] = {
            documents.CONFIGURATION_KIND: store_watch.Watch(
                documents.CONFIGURATION_KIND,
                _ConfigurationHandler(self),
                store_address,
                prompt_wait_s=store_watch.PROMPT_CONFIGURATION_WAIT_S,
                retries=self.store_retries,
                counter=counter,
                eras=self.eras,
                relist_delay_s=relist_delay_s,
            ),
            documents.SERVERS_KIND: store_watch.Watch(
                documents.SERVERS_KIND,
                _ServersHandler(self),
                store_address,
                store_watch.WATCH_WAIT_S,
                retries=self.store_retries,
                counter=counter,
                eras=self.eras,
                relist_delay_s=relist_delay_s,
            ),
            documents.EVACUATIONS_KIND: store_watch.Watch(
                documents.EVACUATIONS_KIND,
                _EvacuationsHandler(self),
                store_address,
                prompt_wait_s=store_watch.PROMPT_EVACUATIONS_WAIT_S,
                retries=self.store_retries,
                counter=counter,
                eras=self.eras,
                relist_delay_s=relist_delay_s,
            ),
        }

    def is_current(self, now_s: float) -> bool:
        """Return whether the state is recent enough to deny an unknown route or key permanently.

        The watch of the configuration must work. Its answers may be too rare to show that it does,
        but it is reconnected when another watch is silent.

        Args:
            now_s: Monotonic time in seconds.
        """
        return (
            not self.watches[documents.CONFIGURATION_KIND].failing
            and self.answer_age_s(now_s) < CURRENT_AGE_LIMIT_S
        )

    def answer_age_s(self, now_s: float) -> float:
        """Return the time since the store last answered a watch; infinity before the first answer.

        Args:
            now_s: Monotonic time in seconds.
        """
        answer_times_s = [watch.last_answer_s for watch in self.watches.values()]
        return now_s - max(
            (time_s for time_s in answer_times_s if time_s is not None), default=-math.inf
        )

    def set_prompt_watcher(self, prompt: bool) -> None:
        """Set whether this front is a prompt watcher.

        Args:
            prompt: Whether the calls of its watches end early.
        """
        for watch in self.watches.values():
            watch.prompt = prompt

    def reconnect_watches(self, silent_kind: str) -> None:
        """Reconnect the watches other than one whose connection was found silent.

        A fault of the network silences several connections at the same time, and the other watches
        would notice it only at the end of their calls, which may be much longer.

        Args:
            silent_kind: Kind whose watch was silent.
        """
        for kind, watch in self.watches.items():
            if kind != silent_kind:
                watch.reconnect()

    def apply_configuration(self, spec: typing.Any, source: str) -> None:
        """Put a configuration in force if it is newer than the current one.

        Args:
            spec: Content of the configuration object.
            source: Source of the configuration, written to the log.
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

    def versions(self) -> list[tuple[store_versions.StoreVersion, int]]:
        """Return the store version and a checksum of the known objects, for each watched kind."""
        return [(watch.version, watch.checksum()) for watch in self.watches.values()]

    def is_outdated(self, peer_versions: list[tuple[store_versions.StoreVersion, int]]) -> bool:
        """Return whether another process has a newer state of any kind.

        Args:
            peer_versions: Result of `versions` in that process.
        """
        return any(
            version > watch.version
            and (checksum != watch.checksum() or version.era != watch.version.era)
            for watch, (version, checksum) in zip(
                self.watches.values(), peer_versions, strict=False
            )
        )

    def encode_snapshot(self) -> bytes:
        """Encode the known objects of all kinds, for a process that cannot reach the store.

        Returns:
            Listings by kind, as JSON.
        """
        return json.dumps(
            {
                kind: documents.encode_listing(watch.listing())
                for kind, watch in self.watches.items()
            }
        ).encode()

    def apply_snapshot(self, body: bytes, source: ids.VmId) -> bool:
        """Apply the listings of another process that are newer than the own ones.

        Args:
            body: Result of `encode_snapshot` in that process.
            source: VM of that process.

        Returns:
            Whether the snapshot could be decoded.
        """
        try:
            document = decoding.load_json(body)
            listings = {kind: documents.decode_listing(item) for kind, item in document.items()}
        except decoding.ERRORS:
            return False
        for kind, watch in self.watches.items():
            listing = listings.get(kind)
            if listing is not None and listing.version > watch.version:
                log.event(
                    _logger,
                    "taken_from_peer",
                    kind=kind,
                    peer=source,
                    era=listing.version.era,
                    at=listing.version.revision,
                )
                watch.apply_listing(listing)
        return True


class _ConfigurationHandler:
    """Applies changes of the configuration object."""

    def __init__(self, state: PlatformState) -> None:
        self._state = state

    def on_listing(self, stored: tuple[objects.StoredObject, ...], returned: bool) -> None:
        # A copy may lack the configuration or hold an older one; only a newer version is applied.
        found = objects.find_by_name(stored, documents.CONFIGURATION_NAME)
        if found is not None:
            self._state.apply_configuration(found.spec, "store")

    def on_change(self, change: objects.Change) -> None:
        if change.object.name == documents.CONFIGURATION_NAME and not change.removed:
            self._state.apply_configuration(change.object.spec, "store")

    def on_store_lost(self, timed_out: bool) -> None:
        if timed_out:
            self._state.reconnect_watches(documents.CONFIGURATION_KIND)

    def on_store_answered(self) -> None:
        pass


class _ServersHandler:
    """Applies changes of the backend servers' entries."""

    def __init__(self, state: PlatformState) -> None:
        self._state = state
        self._server_view = state.servers

    def on_listing(self, stored: tuple[objects.StoredObject, ...], returned: bool) -> None:
        entries = []
        for item in stored:
            entry = documents.decode_server(item.name, item.spec)
            if entry is not None:
                entries.append(entry)
        self._server_view.replace(entries, asyncio.get_running_loop().time(), returned)
        log.event(_logger, "servers_listed", count=len(entries), listed=len(stored))
        self._state.changed.set()

    def on_change(self, change: objects.Change) -> None:
        now_s = asyncio.get_running_loop().time()
        entry = documents.decode_server(change.object.name, change.object.spec)
        if change.removed or entry is None:
            self._server_view.remove(ids.BackendServerId(change.object.name), now_s)
        else:
            self._server_view.put(entry, now_s)
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
            revision=change.object.version.revision,
        )
        self._state.changed.set()

    def on_store_lost(self, timed_out: bool) -> None:
        self._server_view.store_lost()
        if timed_out:
            self._state.reconnect_watches(documents.SERVERS_KIND)

    def on_store_answered(self) -> None:
        self._server_view.store_answered(asyncio.get_running_loop().time())


class _EvacuationsHandler:
    """Applies changes of the list of evacuated data centres."""

    def __init__(self, state: PlatformState) -> None:
        self._state = state
        self._evacuations = evacuations.Evacuations()

    def on_listing(self, stored: tuple[objects.StoredObject, ...], returned: bool) -> None:
        now_s = asyncio.get_running_loop().time()
        listed = (ids.DataCentreId(item.name) for item in stored)
        self._evacuations.replace(listed, now_s, returned)
        self._update()

    def on_change(self, change: objects.Change) -> None:
        name = ids.DataCentreId(change.object.name)
        if change.removed:
            self._evacuations.remove(name)
        else:
            self._evacuations.put(name)
        self._update()

    def _update(self) -> None:
        loop = asyncio.get_running_loop()
        evacuated = self._evacuations.current(loop.time())
        next_end_s = self._evacuations.next_end_s()
        if next_end_s is not None and next_end_s > loop.time():
            loop.call_at(next_end_s, self._update)
        if evacuated != self._state.servers.evacuated:
            log.event(_logger, "evacuated", data_centres=",".join(sorted(evacuated)))
            self._state.servers.evacuated = evacuated
            self._state.changed.set()

    def on_store_lost(self, timed_out: bool) -> None:
        if timed_out:
            self._state.reconnect_watches(documents.EVACUATIONS_KIND)

    def on_store_answered(self) -> None:
        pass
