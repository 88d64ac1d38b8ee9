"""Which backend servers exist, from the platform's directory and its outages.

The directory drops the entry of a server that it does not hear from, also while the directory
itself is away. Entries that vanish around an outage are kept until live servers had time to
register again.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from gentianpaddle_core import ids
from gentianpaddle_core.serving import routes

REGISTRATION_GRACE_S = 2.2
"""Live servers are back in the directory within about 2 s of its return; 0.2 s for the news."""

LEAVING_MARGIN_S = 0.25
"""Part of the time that a leaving server goes on serving which is left for requests on their way. A
server may leave just as the directory returns, and its removal looks like a lapse then."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServerEntry:
    """A backend server as the directory lists it."""

    id: ids.BackendServerId
    service: routes.ServiceName
    address: str
    """Host and port."""
    data_centre: ids.DataCentreId
    slots: int
    """Requests that it runs at once."""
    draining: bool
    """Whether it takes no new work."""
    started_ms: int
    """Unix time of its start, 0 if it does not say."""
    cold_ms: float
    """How much longer it was slow after its start when the entry was written."""


@dataclasses.dataclass(slots=True)
class _Held:
    entry: ServerEntry
    lapsed: bool = False
    replaced: bool = False
    """Whether another server was found at its address."""


class ServerView:
    """Backend servers that one process believes to exist."""

    def __init__(self) -> None:
        self._held_by_id: dict[ids.BackendServerId, _Held] = {}
        self._available = False
        self._grace_s = REGISTRATION_GRACE_S
        self._grace_until_s = 0.0
        self.evacuated: frozenset[ids.DataCentreId] = frozenset()
        """Data centres whose servers get nothing."""

    def set_leaving_time(self, leaving_s: float) -> None:
        """Take the time for which a leaving server goes on serving.

        Args:
            leaving_s: Time after the directory took note that it leaves.
        """
        self._grace_s = min(REGISTRATION_GRACE_S, leaving_s - LEAVING_MARGIN_S)

    def directory_lost(self) -> None:
        """Note that the directory does not answer."""
        self._available = False

    def directory_answered(self, now_s: float) -> None:
        """Note that the directory answers.

        Args:
            now_s: Monotonic time in seconds.
        """
        if not self._available:
            self._available = True
            self._grace_until_s = now_s + self._grace_s

    def replace(self, entries: Iterable[ServerEntry], now_s: float) -> None:
        """Take a complete list.

        Args:
            entries: All servers that the directory lists.
            now_s: Monotonic time in seconds.
        """
        entry_by_id = {entry.id: entry for entry in entries}
        for missing in self._held_by_id.keys() - entry_by_id.keys():
            self.remove(missing, now_s)
        for entry in entry_by_id.values():
            self.put(entry, now_s)

    def put(self, entry: ServerEntry, now_s: float) -> None:
        """Take a new or changed entry.

        Args:
            entry: The server.
            now_s: Monotonic time in seconds.
        """
        held = self._held_by_id.get(entry.id)
        if held is not None and held.entry == entry:
            held.lapsed = False
            return
        self._held_by_id[entry.id] = _Held(entry)

    def remove(self, server: ids.BackendServerId, now_s: float) -> None:
        """Take the end of an entry.

        Args:
            server: Server that is no longer listed.
            now_s: Monotonic time in seconds.
        """
        held = self._held_by_id.get(server)
        if held is None:
            return
        if now_s < self._grace_until_s and not held.entry.draining:
            held.lapsed = True
        else:
            del self._held_by_id[server]

    def replaced(self, server: ids.BackendServerId) -> None:
        """Note that another server answers at the address of this one.

        The entry of a server that has ended stays for some heartbeats, and its address may be
        used again before.

        Args:
            server: The server that has ended.
        """
        held = self._held_by_id.get(server)
        if held is not None:
            held.replaced = True

    def usable(self, service: routes.ServiceName, now_s: float) -> list[ServerEntry]:
        """Return the servers that may get requests of a service.

        Args:
            service: The service.
            now_s: Monotonic time in seconds.

        Returns:
            Servers that are listed, or lapsed within the grace time, and neither draining nor in
            an evacuated data centre.
        """
        if self._available and now_s >= self._grace_until_s:
            for server, held in list(self._held_by_id.items()):
                if held.lapsed:
                    del self._held_by_id[server]
        return [
            held.entry
            for held in self._held_by_id.values()
            if held.entry.service == service
            and not held.entry.draining
            and not held.replaced
            and held.entry.data_centre not in self.evacuated
        ]

    def by_address(self) -> dict[str, list[ServerEntry]]:
        """Return the servers that are believed to exist by their address.

        A server that was started again may have a new id beside its old entry.
        """
        found: dict[str, list[ServerEntry]] = {}
        for held in self._held_by_id.values():
            if not held.replaced:
                found.setdefault(held.entry.address, []).append(held.entry)
        return found

    def count(self) -> int:
        """Return how many servers are believed to exist."""
        return len(self._held_by_id)
