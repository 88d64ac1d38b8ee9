"""Follows the kinds of the platform's store that a process believes in."""

from __future__ import annotations

import asyncio
import logging
import random
import typing
import zlib

from gentianpaddle_gateway import http_client, log
from gentianpaddle_platform import objects

_logger = logging.getLogger("gentianpaddle.store")

CALL_TIMEOUT_S = 1.0
"""The store answers within 4 ms when it is well; slow days multiply that by up to about 100."""

WATCH_WAIT_S = 5.0
"""Longest wait of the watch that also tells whether the store is there: entries of servers that end
while it is away are judged by that."""

QUIET_WATCH_WAIT_S = 20.0
"""Longest wait of the other watches. Each call is priced; news that a dead connection holds back is
noticed from the revisions that other processes know, and by keep-alive probes."""

NEWS_PAUSE_S = 0.6
"""Pause after a change before the next watch, so that one call tells several; servers come and go
in groups, and the tightest bound on news is 2 s."""

RETRY_LIMITS_S = (0.15, 1.2)
"""Pauses after failed calls, doubled from the first to the last and spread by half."""


class Follower(typing.Protocol):
    """Takes what the store says of one kind."""

    def listed(self, stored: tuple[objects.StoredObject, ...]) -> None:
        """Take all objects of the kind.

        Args:
            stored: The objects.
        """

    def changed(self, change: objects.Change) -> None:
        """Take one change.

        Args:
            change: The change.
        """

    def store_lost(self) -> None:
        """Note that the store does not answer."""

    def store_answered(self) -> None:
        """Note that the store answers."""


class Watch:
    """Keeps one follower in step with one kind.

    Args:
        kind: Kind of the objects.
        follower: Whom to tell.
        address: Host and port of the store.
        wait_s: Longest wait of a call.
    """

    def __init__(
        self, kind: str, follower: Follower, address: str, wait_s: float = QUIET_WATCH_WAIT_S
    ) -> None:
        self.kind = kind
        self._wait_s = wait_s
        self.transport = http_client.KeptTransport(address)
        self.last_answer_s: float | None = None
        """Monotonic time of the last good answer."""
        self.at = 0
        """Store revision of the last listing or change that is known."""
        self._object_by_name: dict[str, objects.StoredObject] = {}
        self._store = objects.ObjectStore(self.transport, CALL_TIMEOUT_S)
        self._follower = follower
        self._from: int | None = None
        self._failures = 0

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            await self._step()

    async def _step(self) -> None:
        if self._from is None:
            listing = await self._store.list(self.kind)
            if isinstance(listing, objects.Unavailable):
                await self._failed(listing.reason)
                return
            self._answered()
            self._from = listing.revision
            self.take(listing)
            return
        result = await self._store.watch(self.kind, self._from, self._wait_s)
        if isinstance(result, objects.Unavailable):
            await self._failed(result.reason)
            return
        self._answered()
        if isinstance(result, objects.HistoryGone):
            log.event(_logger, "history_gone", kind=self.kind, revision=self._from)
            self._from = None
            return
        self._from = result.revision
        for change in result.changes:
            self._take_change(change)
        if result.changes:
            self.at = max(self.at, result.revision)
            await asyncio.sleep(NEWS_PAUSE_S)

    def _take_change(self, change: objects.Change) -> None:
        name, revision = change.object.name, change.object.revision
        known = self._object_by_name.get(name)
        if known is not None and known.revision > revision:
            return
        if change.removed:
            self._object_by_name.pop(name, None)
        else:
            self._object_by_name[name] = change.object
        self._follower.changed(change)

    def take(self, listing: objects.Listing) -> None:
        """Take all objects of the kind, from the store or from another process.

        Args:
            listing: The objects; an older listing than the known one is ignored.
        """
        if listing.revision < self.at:
            return
        self.at = listing.revision
        self._object_by_name = {item.name: item for item in listing.objects}
        self._follower.listed(listing.objects)

    def listing(self) -> objects.Listing:
        """Return all known objects of the kind."""
        return objects.Listing(tuple(self._object_by_name.values()), self.at)

    def digest(self) -> int:
        """Return a checksum of the known objects and their revisions."""
        pairs = sorted((item.name, item.revision) for item in self._object_by_name.values())
        return zlib.crc32(repr(pairs).encode())

    def _answered(self) -> None:
        if self._failures or self.last_answer_s is None:
            log.event(_logger, "store_regained", kind=self.kind, failures=self._failures)
        self._failures = 0
        self.last_answer_s = asyncio.get_running_loop().time()
        self._follower.store_answered()

    async def _failed(self, reason: str) -> None:
        if not self._failures:
            log.event(_logger, "store_lost", logging.WARNING, kind=self.kind, reason=reason)
        self._follower.store_lost()
        shortest, longest = RETRY_LIMITS_S
        pause_s = min(longest, shortest * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        await asyncio.sleep(pause_s * random.uniform(0.5, 1.0))
