"""Known backend servers, from the platform's directory.

The directory removes the entry of a server that does not renew it, even if the directory itself was
unavailable. Entries that are removed after an outage are kept until live servers have had time to
register again.

The directory may also return from an older copy of itself. Entries that the copy lacks are kept for
the same time. A server that had left gets no requests because the copy shows it as it was before.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Iterable

from gentianpaddle_core import ids
from gentianpaddle_core.serving import routes

REGISTRATION_GRACE_S = 2.2
"""Maximum time after an outage of the directory for which removed entries are kept. Live servers
register again within about 2 s; 0.2 s is added for the delivery of the change."""

DRAIN_MARGIN_S = 0.25
"""Margin before the end of the drain time, for requests in transit. If a server leaves just as the
directory becomes available again, its removal cannot be told from an entry lost in the outage."""


DEPARTED_S = 60.0
"""Time for which servers that have left are remembered; copies of the directory are seconds old."""

MAX_DEPARTED = 4_096
"""Maximum number of servers that have left and are remembered."""

WITHHELD_S = 15.0
"""Time for which a server that had left is not used although a copy lists it. After that its entry
would have expired if the server did not renew it."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServerEntry:
    """Directory entry of a backend server."""

    id: ids.BackendServerId
    service: routes.ServiceName
    address: str
    """Host and port."""
    data_centre: ids.DataCentreId
    slots: int
    """Number of requests that the server runs concurrently."""
    draining: bool
    """Whether the server accepts no new requests."""
    started_ms: int
    """Start of the server as Unix time in milliseconds, or 0 if unknown."""
    cold_ms: float
    """Remaining duration of the cold start in milliseconds when the entry was written."""


@dataclasses.dataclass(slots=True)
class _KnownServer:
    entry: ServerEntry
    unlisted: bool = False
    """Whether the entry was removed after an outage of the directory and is kept for now."""
    removed: bool = False
    """Whether the directory has stated the removal, rather than only returned without the entry."""
    kept_until_s: float = math.inf
    """Time until which it is kept at most, also while the directory is not available: another
    process has told this one that a copy lacks the entry."""
    replaced: bool = False
    """Whether another server now uses the address."""
    withheld_until_s: float = -math.inf
    """Time until which the server is not used, as it had left before a copy listed it again."""


class ServerView:
    """Backend servers that exist as far as one process knows."""

    def __init__(self) -> None:
        self._known_by_id: dict[ids.BackendServerId, _KnownServer] = {}
        self._directory_available = False
        self._grace_s = REGISTRATION_GRACE_S
        self._grace_until_s = 0.0
        self._departed_by_id: collections.OrderedDict[
            ids.BackendServerId, tuple[ServerEntry, float]
        ] = collections.OrderedDict()
        """Last entry of each server that has left, and the monotonic time of that."""
        self.evacuated: frozenset[ids.DataCentreId] = frozenset()
        """Evacuated data centres, whose servers get no requests."""

    def set_drain_time(self, drain_s: float) -> None:
        """Set the grace time to at most the drain time less `DRAIN_MARGIN_S`.

        A server that leaves just as the directory becomes available again is kept for the grace
        time. With this limit it gets no requests after its drain time.

        Args:
            drain_s: Time in seconds after which a draining server must get no more requests.
        """
        self._grace_s = min(REGISTRATION_GRACE_S, drain_s - DRAIN_MARGIN_S)

    def store_lost(self) -> None:
        """Record that the directory does not answer."""
        self._directory_available = False

    def store_answered(self, now_s: float) -> None:
        """Record that the directory answers; after an outage this starts the grace time.

        Args:
            now_s: Monotonic time in seconds.
        """
        if not self._directory_available:
            self._directory_available = True
            self._grace_until_s = now_s + self._grace_s

    def replace(self, entries: Iterable[ServerEntry], now_s: float, returned: bool = False) -> None:
        """Replace the known entries by a complete list.

        Args:
            entries: All entries of the directory.
            now_s: Monotonic time in seconds.
            returned: Whether the directory has returned from a copy since the last list or change.
        """
        if returned:
            self._grace_until_s = now_s + self._grace_s
        entry_by_id = {entry.id: entry for entry in entries}
        for missing in self._known_by_id.keys() - entry_by_id.keys():
            lacked = self._known_by_id[missing]
            if returned and not lacked.entry.draining:
                lacked.unlisted, lacked.kept_until_s = True, self._grace_until_s
            else:
                self.remove(missing, now_s)
        for entry in entry_by_id.values():
            known = self._known_by_id.get(entry.id)
            if returned and self._had_left(entry, now_s):
                self._known_by_id[entry.id] = _KnownServer(
                    entry, withheld_until_s=now_s + WITHHELD_S
                )
            elif known is not None and known.entry == entry:
                known.unlisted, known.removed, known.kept_until_s = False, False, math.inf
            else:
                self.put(entry, now_s)

    def _had_left(self, entry: ServerEntry, now_s: float) -> bool:
        """Return whether an entry shows a server as it was before it left."""
        if entry.draining:
            return False
        departed, departed_s = self._departed_by_id.get(entry.id, (None, -math.inf))
        known = self._known_by_id.get(entry.id)
        if known is not None and (known.entry.draining or known.removed):
            departed, departed_s = known.entry, now_s
        return (
            departed is not None
            and now_s - departed_s < DEPARTED_S
            and _same_start(departed, entry)
        )

    def put(self, entry: ServerEntry, now_s: float) -> None:
        """Add or update an entry that was written now.

        Args:
            entry: The entry.
            now_s: Monotonic time in seconds.
        """
        departed, _ = self._departed_by_id.get(entry.id, (entry, now_s))
        if _same_start(departed, entry):
            self._departed_by_id.pop(entry.id, None)
        known = self._known_by_id.get(entry.id)
        if known is not None and not _same_start(known.entry, entry):
            self._record_departure(known.entry, now_s)
        if known is not None and known.entry == entry:
            known.unlisted, known.removed, known.kept_until_s = False, False, math.inf
            known.withheld_until_s = -math.inf
            return
        self._known_by_id[entry.id] = _KnownServer(entry)

    def remove(self, server: ids.BackendServerId, now_s: float) -> None:
        """Remove an entry, or keep it for the grace time after an outage of the directory.

        Args:
            server: Server that is no longer listed.
            now_s: Monotonic time in seconds.
        """
        known = self._known_by_id.get(server)
        if known is None:
            return
        if now_s < self._grace_until_s and not known.entry.draining:
            known.unlisted = known.removed = True
        else:
            self._forget(server, now_s)

    def _forget(self, server: ids.BackendServerId, now_s: float) -> None:
        self._record_departure(self._known_by_id.pop(server).entry, now_s)

    def _record_departure(self, entry: ServerEntry, now_s: float) -> None:
        self._departed_by_id[entry.id] = entry, now_s
        self._departed_by_id.move_to_end(entry.id)
        if len(self._departed_by_id) > MAX_DEPARTED:
            self._departed_by_id.popitem(last=False)

    def mark_replaced(self, server: ids.BackendServerId) -> None:
        """Record that another server now answers at the address of this one.

        The entry of a stopped server stays in the directory for some heartbeats, and its address
        may be reused before the entry is removed.

        Args:
            server: The stopped server.
        """
        known = self._known_by_id.get(server)
        if known is not None:
            known.replaced = True

    def usable(self, service: routes.ServiceName, now_s: float) -> list[ServerEntry]:
        """Return the servers that may get requests of a service.

        Args:
            service: The service.
            now_s: Monotonic time in seconds.

        Returns:
            Servers that are listed or within the grace time, and that are not draining, not
            replaced and not in an evacuated data centre.
        """
        grace_over = self._directory_available and now_s >= self._grace_until_s
        for server, known in list(self._known_by_id.items()):
            if known.unlisted and (grace_over or now_s >= known.kept_until_s):
                self._forget(server, now_s)
        return [
            known.entry
            for known in self._known_by_id.values()
            if known.entry.service == service
            and not known.entry.draining
            and not known.replaced
            and now_s >= known.withheld_until_s
            and known.entry.data_centre not in self.evacuated
        ]

    def address(self, server: ids.BackendServerId) -> str | None:
        """Return the host and port of a server, or None if it is not known.

        Args:
            server: The server.
        """
        known = self._known_by_id.get(server)
        return known.entry.address if known is not None else None

    def entries_by_address(self) -> dict[str, list[ServerEntry]]:
        """Return the known servers by address.

        An address may have several entries: a restarted server registers with a new id while its
        old entry may still exist.
        """
        entries_by_address: dict[str, list[ServerEntry]] = {}
        for known in self._known_by_id.values():
            if not known.replaced:
                entries_by_address.setdefault(known.entry.address, []).append(known.entry)
        return entries_by_address

    def count(self) -> int:
        """Return the number of known servers."""
        return len(self._known_by_id)


def _same_start(first: ServerEntry, second: ServerEntry) -> bool:
    """Return whether two entries with the same id are of the same start of the server."""
    return (first.address, first.started_ms) == (second.address, second.started_ms)
