"""Reads the configuration from the object API when the digest exchange does not deliver it."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from concurrent import futures

from gentianpaddle_core import configuration, digest, ids, object_api, watchers

REFRESH_CHECK_PERIOD_S = 0.5
"""Time between two checks whether a read is due."""

ReadCallback = Callable[[configuration.Document, float], None]
"""Callback that takes a document and the monotonic time in seconds at which its read began."""


class ConfigurationRefresher:
    """Keeps the configuration current in a process that holds no watch on it.

    Such a process normally receives the configuration by the digest exchange. It reads the object
    API itself when its view is too old or an announced revision does not arrive.
    """

    def __init__(
        self,
        exchanger: digest.Exchanger,
        state: configuration.ConfigurationState,
        store: object_api.ObjectApi,
        executor: futures.Executor,
        on_read: ReadCallback,
        rng: random.Random,
    ) -> None:
        self._exchanger = exchanger
        self._state = state
        self._store = store
        self._executor = executor
        self._on_read = on_read
        self._rng = rng
        self._freshness_rule = watchers.new_freshness_rule()

    async def run(self) -> None:
        """Run the check periodically until cancelled."""
        while True:
            await self.check()
            await asyncio.sleep(REFRESH_CHECK_PERIOD_S)

    async def check(self) -> None:
        """Read the configuration if the view is too old or an announced revision is missing."""
        now_s = time.monotonic()
        exchanged_configuration = self._exchanger.configuration
        if not self._freshness_rule.should_read(
            exchanged_configuration.view_age_s(now_s),
            self._state.document.revision,
            exchanged_configuration.highest_reported_revision,
            now_s,
            self._rng,
        ):
            return
        loop = asyncio.get_running_loop()
        key = configuration.CONFIGURATION_KEY
        result = await loop.run_in_executor(self._executor, self._store.get, key)
        if isinstance(result, object_api.StoredObject):
            revision = ids.Revision(result.version)
            self._on_read(configuration.Document(revision, result.value.decode()), now_s)
