"""Reads the configuration itself when the view of this process is old or behind."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from concurrent import futures

from gentianpaddle_core import configuration, digest, ids, object_api, watchers

CHECK_PERIOD_S = 0.5

Adopt = Callable[[configuration.Document, float], None]
"""Takes a document and the monotonic time at which its read began."""


class FreshnessCheck:
    """Controller of a process that does not watch the configuration."""

    def __init__(
        self,
        exchanger: digest.Exchanger,
        state: configuration.ConfigurationState,
        store: object_api.ObjectApi,
        threads: futures.Executor,
        adopt: Adopt,
        rng: random.Random,
    ) -> None:
        self._exchanger = exchanger
        self._state = state
        self._store = store
        self._threads = threads
        self._adopt = adopt
        self._rng = rng
        self._rule = watchers.new_freshness_rule()

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await self.check()
            await asyncio.sleep(CHECK_PERIOD_S)

    async def check(self) -> None:
        """Read the configuration if the view is old or a known revision does not arrive."""
        now_s = time.monotonic()
        exchanged = self._exchanger.configuration
        if not self._rule.should_read(
            exchanged.view_age_s(now_s),
            self._state.document.revision,
            exchanged.seen_revision,
            now_s,
            self._rng,
        ):
            return
        loop = asyncio.get_running_loop()
        key = configuration.CONFIGURATION_KEY
        found = await loop.run_in_executor(self._threads, self._store.get, key)
        if isinstance(found, object_api.StoredObject):
            revision = ids.Revision(found.version)
            self._adopt(configuration.Document(revision, found.value.decode()), now_s)
