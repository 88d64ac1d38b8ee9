"""Watches object kinds of the platform's store and keeps a local copy of their objects."""

from __future__ import annotations

import asyncio
import logging
import random
import typing
import zlib
from collections.abc import Callable, Coroutine, Iterable

from gentianpaddle_core.serving import store_retries, store_versions
from gentianpaddle_gateway import http_client, log, store_eras
from gentianpaddle_platform import objects

_logger = logging.getLogger("gentianpaddle.store")

CALL_TIMEOUT_S = 1.0
"""Time-out of a call to the store. The store normally answers within 4 ms; on slow days it can take
up to about 100 times as long."""

WATCH_WAIT_S = 3.0
"""Maximum wait of a call of the servers watch. This watch also tells whether the store is
reachable, which decides how server entries that expire during an outage of the store are
treated. Its connection may fall silent without a reset; the end of the call, `BATCH_PAUSE_S` and a
new call take less than the 5 s after which a change that follows such a fault must be known."""

DEFAULT_WATCH_WAIT_S = 20.0
"""Maximum wait of a call of the other watches, unless this front is a prompt watcher. Each call is
charged. All watches are reconnected when one of them finds its connection silent."""

PROMPT_CONFIGURATION_WAIT_S = 2.5
"""Maximum wait of a call of the configuration watch at a prompt watcher. The end of the call, a new
call, and 1.1 s until all other fronts know what it brings take less than the 5 s after which a
change that follows a silent connection must be known."""

PROMPT_EVACUATIONS_WAIT_S = 5.0
"""Maximum wait of a call of the evacuations watch at a prompt watcher. Evacuations must be known
8 s after a connection fell silent."""

CONFIRMATION_WAIT_S = 0.001
"""Maximum wait of the first call of a watch after a failure. It returns at once and confirms that
the store is reachable and that no change was missed."""

BATCH_PAUSE_S = 0.6
"""Pause after a change before the next call, so that one call returns several changes. Servers
start and stop in groups, and the strictest limit for the delay of a change is 2 s."""


class Retries:
    """Retries of all watches of this front; see `store_retries`.

    Args:
        kinds: Kinds that the front watches.
    """

    def __init__(self, kinds: Iterable[str]) -> None:
        self._turns = store_retries.RetryTurns(kinds)
        self._changed = asyncio.Event()

    async def wait(self, kind: str, call_s: float) -> None:
        """Wait after a failed call until the next one may be sent.

        Args:
            kind: Kind of the watch.
            call_s: Duration of the call in seconds.
        """
        await asyncio.sleep(self._turns.record_failure(kind, call_s, random.random()))
        self._turns.end_pause(kind)
        self._notify()
        while not self._turns.may_call(kind):
            await self._changed.wait()

    def record_success(self, kind: str) -> None:
        """Record a successful call, after which all waiting watches may call.

        Args:
            kind: Kind of the watch.
        """
        self._turns.record_success(kind)
        self._notify()

    async def wait_for_store(self) -> None:
        """Wait while all watches fail, so that other calls are not refused as well."""
        while self._turns.all_failing:
            await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class WatchHandler(typing.Protocol):
    """Receives the objects and changes of one kind."""

    def on_listing(self, stored: tuple[objects.StoredObject, ...], returned: bool) -> None:
        """Handle a complete listing of the kind.

        Args:
            stored: All objects of the kind.
            returned: Whether the store has returned from a copy since the last listing or change,
                so that what is missing may be written again.
        """

    def on_change(self, change: objects.Change) -> None:
        """Handle the change of one object.

        Args:
            change: New content or removal of the object.
        """

    def on_store_lost(self, timed_out: bool) -> None:
        """Handle a failed call to the store.

        Args:
            timed_out: Whether nothing was received in time on an open connection.
        """

    def on_store_answered(self) -> None:
        """Handle a successful call to the store."""


_Result = typing.TypeVar("_Result")


class Watch:
    """Watch of one kind of objects.

    Args:
        kind: Kind of the objects.
        handler: Receives listings and changes.
        address: Host and port of the store.
        wait_s: Maximum time that a call waits for changes.
        prompt_wait_s: Maximum time that a call waits at a prompt watcher; None if it is the same.
        retries: Retries of all watches of this front; None if this is the only one.
        counter: Counts the calls, or None.
        eras: Era of the store; None if this is the only client of the process.
        relist_delay_s: Returns the delay of a listing after the store has returned from a copy.
    """

    def __init__(
        self,
        kind: str,
        handler: WatchHandler,
        address: str,
        wait_s: float = DEFAULT_WATCH_WAIT_S,
        prompt_wait_s: float | None = None,
        retries: Retries | None = None,
        counter: objects.CallCounter | None = None,
        eras: store_eras.StoreEras | None = None,
        relist_delay_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.kind = kind
        self.prompt = True
        """Whether this front is a prompt watcher; takes effect with the next call."""
        self._wait_s = wait_s
        self._prompt_wait_s = prompt_wait_s if prompt_wait_s is not None else wait_s
        self.transport = http_client.PersistentTransport(address)
        self.last_answer_s: float | None = None
        """Monotonic time of the last successful call; None before the first one."""
        self.version = store_versions.NOTHING_KNOWN
        """Version of the store at the last listing or change that was applied."""
        self._known = False
        """Whether a listing was applied."""
        self._object_by_name: dict[str, objects.StoredObject] = {}
        eras = eras or store_eras.StoreEras()
        eras.subscribe(self._relist)
        self._store = objects.ObjectStore(self.transport, CALL_TIMEOUT_S, kind, counter, eras)
        self._handler = handler
        self._watch_version: store_versions.StoreVersion | None = None
        """Version from which the next call watches; None if the kind is to be listed."""
        self._relist_delay_s = relist_delay_s
        self._relist_by_s = 0.0
        """Monotonic time at which the kind is listed, at the earliest."""
        self._call: asyncio.Task[typing.Any] | None = None
        """Call in progress."""
        self._failure_count = 0
        self._retries = retries or Retries([kind])
        self._called_s = 0.0
        """Monotonic time of the last call."""

    async def run(self) -> None:
        """Watch the kind until cancelled."""
        while True:
            await self._run_cycle()

    def _relist(self) -> None:
        """List the kind anew, as the store has returned from a copy."""
        self._watch_version = None
        self._relist_by_s = asyncio.get_running_loop().time() + self._relist_delay_s()
        # The call in progress may wait for seconds, unless it is the one that was answered.
        if self._call is not None and self._call is not asyncio.current_task():
            self._call.cancel()

    async def _run_call(self, call: Coroutine[typing.Any, typing.Any, _Result]) -> _Result | None:
        """Return the result of a call, or None if `_relist` has ended it."""
        self._call = asyncio.create_task(call)
        try:
            await asyncio.wait((self._call,))
            return None if self._call.cancelled() else self._call.result()
        finally:
            self._call.cancel()
            self._call = None

    async def _run_cycle(self) -> None:
        if self._watch_version is None:
            await asyncio.sleep(self._relist_by_s - asyncio.get_running_loop().time())
        self._called_s = asyncio.get_running_loop().time()
        if self._watch_version is None:
            listing = await self._run_call(self._store.list(self.kind))
            if listing is None:
                return
            if isinstance(listing, objects.Unavailable):
                await self._handle_failure(listing)
                return
            self._handle_success()
            self._watch_version = listing.version
            self.apply_listing(listing)
            return
        wait_s = self._prompt_wait_s if self.prompt else self._wait_s
        if self._failure_count:
            wait_s = CONFIRMATION_WAIT_S
        watched = self._watch_version
        result = await self._run_call(self._store.watch(self.kind, watched, wait_s))
        if result is None:
            return
        if isinstance(result, objects.Unavailable):
            await self._handle_failure(result)
            return
        self._handle_success()
        if isinstance(result, objects.HistoryGone):
            log.event(
                _logger, "history_gone", kind=self.kind, era=watched.era, revision=watched.revision
            )
            self._watch_version = None
            return
        if result.version.era < self.version.era:
            # Another process has told this one of a return of the store that it has not seen yet.
            self._watch_version = None
            return
        self._watch_version = result.version
        for change in result.changes:
            self._apply_change(change)
        if result.changes:
            self.version = max(self.version, result.version)
            await asyncio.sleep(BATCH_PAUSE_S)

    def _apply_change(self, change: objects.Change) -> None:
        name = change.object.name
        known = self._object_by_name.get(name)
        if known is not None and known.version > change.object.version:
            return
        if change.removed:
            self._object_by_name.pop(name, None)
        else:
            self._object_by_name[name] = change.object
        self._handler.on_change(change)

    def apply_listing(self, listing: objects.Listing) -> None:
        """Apply a complete listing of the kind, from the store or from another process.

        Args:
            listing: Listing; ignored if it is older than the known state.
        """
        if listing.version < self.version:
            return
        returned = listing.version.era > self.version.era and self._known
        if returned:
            names = {item.name for item in listing.objects}
            log.event(
                _logger,
                "relisted",
                kind=self.kind,
                era=listing.version.era,
                revision=listing.version.revision,
                previous_era=self.version.era,
                previous_revision=self.version.revision,
                listed=len(names),
                kept=len(names & self._object_by_name.keys()),
                missing=len(self._object_by_name.keys() - names),
            )
        self._known = True
        self.version = listing.version
        self._object_by_name = {item.name: item for item in listing.objects}
        self._handler.on_listing(listing.objects, returned)

    def listing(self) -> objects.Listing:
        """Return all known objects of the kind, with their store version."""
        return objects.Listing(tuple(self._object_by_name.values()), self.version)

    def checksum(self) -> int:
        """Return a checksum of the known objects and their revisions."""
        pairs = sorted((item.name, item.version.revision) for item in self._object_by_name.values())
        return zlib.crc32(repr(pairs).encode())

    def _handle_success(self) -> None:
        if self._failure_count or self.last_answer_s is None:
            log.event(_logger, "store_regained", kind=self.kind, failures=self._failure_count)
        self._failure_count = 0
        self._retries.record_success(self.kind)
        self.last_answer_s = asyncio.get_running_loop().time()
        self._handler.on_store_answered()

    def reconnect(self) -> None:
        """Repeat the call in progress on a new connection, unless the watch is failing already."""
        if not self._failure_count:
            self.transport.close()

    @property
    def failing(self) -> bool:
        """Whether the last call to the store failed."""
        return self._failure_count > 0

    async def _handle_failure(self, failure: objects.Unavailable) -> None:
        if not self._failure_count:
            log.event(_logger, "store_lost", logging.WARNING, kind=self.kind, reason=failure.reason)
        self._handler.on_store_lost(failure.timed_out)
        self._failure_count += 1
        call_s = asyncio.get_running_loop().time() - self._called_s
        await self._retries.wait(self.kind, call_s)
