"""Observes the signs of life of engines and logs when they stop and return."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Collection

from gentianpaddle_core import ids
from gentianpaddle_core.serving import engine_liveness
from gentianpaddle_gateway import log

_logger = logging.getLogger("gentianpaddle.engines")


class EngineChecks:
    """Signs of life of the engines at one front."""

    def __init__(self) -> None:
        self._liveness = engine_liveness.EngineLiveness()

    def record_report(self, server: ids.BackendServerId, now_s: float) -> None:
        """Record a load message of an engine.

        Args:
            server: The engine.
            now_s: Monotonic time in seconds.
        """
        self._log_return(server, self._liveness.record_report(server, now_s))

    def record_answer(self, server: ids.BackendServerId) -> None:
        """Record that a server has sent an event or a response.

        Args:
            server: The server.
        """
        now_s = asyncio.get_running_loop().time()
        self._log_return(server, self._liveness.record_answer(server, now_s))

    def check(self) -> None:
        """Find the engines that have become quiet; called several times per second."""
        for quiet in self._liveness.take_quiet(asyncio.get_running_loop().time()):
            log.event(
                _logger,
                "engine_quiet",
                logging.WARNING,
                server=quiet.server,
                silent_ms=quiet.silent_s * 1000.0,
            )

    def remove_unlisted(self, listed: Collection[ids.BackendServerId]) -> None:
        """Forget engines that no longer exist.

        Args:
            listed: Servers that exist.
        """
        self._liveness.remove_unlisted(listed)

    def _log_return(self, server: ids.BackendServerId, silent_s: float | None) -> None:
        if silent_s is not None:
            log.event(_logger, "engine_heard", server=server, silent_ms=silent_s * 1000.0)
