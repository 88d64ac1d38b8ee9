"""Watches the configuration in the object API and writes the changes that operators propose."""

from __future__ import annotations

import asyncio
import logging
import random
import time
import typing
import uuid
from collections.abc import Callable
from concurrent import futures

from gentianpaddle_core import blackboard, configuration, ids, object_api, store_calls, watchers
from gentianpaddle_daemon import configuration_refresher, logs

WATCH_WAIT_S = 1.0
"""Longest wait of one watch call. Each call confirms that the view is fresh, so it must stay well
below `watchers.MAX_VIEW_AGE_S`."""
RETRY_DELAY_S = 0.5
MAX_RECENT_DOCUMENTS = 8
"""Number of documents kept, so that a conflict can show the differences from the base revision."""

_logger = logging.getLogger("gentianpaddle.entry.configuration")


class ConfigurationWatch:
    """Keeps the configuration of this entry up to date from the object API."""

    def __init__(
        self,
        board: blackboard.EntryBlackboard,
        store: object_api.ObjectApi,
        watch_thread: futures.Executor,
        threads: futures.Executor,
        on_change: Callable[[], None],
        rng: random.Random,
    ) -> None:
        self._board = board
        self._store = store
        self._watch_thread = watch_thread
        self._threads = threads
        self._on_change = on_change
        self._recent_by_revision: dict[ids.Revision, configuration.Document] = {}
        self._configuration_refresher = configuration_refresher.ConfigurationRefresher(
            board.exchanger, board.configuration, store, threads, self._offer, rng
        )

    async def run(self) -> None:
        """Keep the configuration up to date until cancelled.

        Only the chosen watchers watch the object API; other entries check for freshness.
        """
        while True:
            if not self._is_watcher():
                await self._configuration_refresher.check()
                await asyncio.sleep(configuration_refresher.REFRESH_CHECK_PERIOD_S)
                continue
            started_s = time.monotonic()
            known_revision = int(self._board.configuration.document.revision)
            loop = asyncio.get_running_loop()
            result = await loop.run_in_executor(
                self._watch_thread,
                self._store.watch,
                configuration.CONFIGURATION_KEY,
                known_revision,
                WATCH_WAIT_S,
            )
            if isinstance(result, object_api.StoredObject):
                self._adopt(result, started_s)
            else:
                await asyncio.sleep(RETRY_DELAY_S)

    async def change(self, base_revision: ids.Revision, text: str) -> configuration.ChangeResult:
        """Write a changed configuration document if its base revision is still current.

        Args:
            base_revision: Revision that the new document is based on.
            text: Text of the new document.

        Returns:
            Whether the change was accepted, or why not.
        """
        base = await self._base_document(base_revision)
        if not isinstance(base, configuration.Document):
            return base
        change = configuration.new_change(base, text, uuid.uuid4().hex)
        step: configuration.ChangeStep = change.first_step()
        loop = asyncio.get_running_loop()
        started_s = time.monotonic()
        while isinstance(step, store_calls.Put | store_calls.Get):
            result = await loop.run_in_executor(
                self._threads, store_calls.perform, step, self._store
            )
            if isinstance(step, store_calls.Put):
                step = change.after_write(typing.cast(object_api.PutResult, result))
            else:
                step = change.after_read(typing.cast(object_api.GetResult, result))
        if isinstance(step, configuration.ChangeAccepted):
            self._offer(step.document, started_s)
        return step

    async def _base_document(
        self, revision: ids.Revision
    ) -> configuration.Document | configuration.ChangeNotAccepted | configuration.ChangeConflict:
        current = self._board.configuration.document
        if revision == current.revision:
            return current
        if revision == configuration.NO_REVISION:
            return configuration.EMPTY_DOCUMENT
        if revision in self._recent_by_revision:
            return self._recent_by_revision[revision]
        if revision < current.revision:
            return configuration.describe_conflict(configuration.Document(revision, ""), current)
        return configuration.ChangeNotAccepted("this entry has not seen the base revision yet")

    def _is_watcher(self) -> bool:
        chosen_watchers = watchers.select_watchers(self._board.exchanger.table.records())
        return self._board.own_settings.process.vm in chosen_watchers

    def _adopt(self, stored: object_api.StoredObject, read_s: float) -> None:
        document = configuration.Document(ids.Revision(stored.version), stored.value.decode())
        self._offer(document, read_s)

    def _offer(self, document: configuration.Document, read_s: float) -> None:
        board = self._board
        result = board.configuration.adopt_if_newer(document)
        if result is configuration.AdoptionResult.ADOPTED:
            self._recent_by_revision[document.revision] = document
            while len(self._recent_by_revision) > MAX_RECENT_DOCUMENTS:
                del self._recent_by_revision[next(iter(self._recent_by_revision))]
        board.exchanger.put_configuration(document.revision, document.text.encode(), read_s)
        if result in (configuration.AdoptionResult.ADOPTED, configuration.AdoptionResult.INVALID):
            logs.event(_logger, "configuration", revision=int(document.revision), result=result)
        if result is configuration.AdoptionResult.ADOPTED:
            self._on_change()
