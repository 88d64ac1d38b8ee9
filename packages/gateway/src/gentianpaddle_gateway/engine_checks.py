"""Observes the signs of life of engines, checks the quiet ones, and withdraws requests."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Collection

from gentianpaddle_core import ids
from gentianpaddle_core.serving import engine_liveness
from gentianpaddle_gateway import engine_client, http_client, log, silence_watch
from gentianpaddle_platform import engines, objects

_logger = logging.getLogger("gentianpaddle.engines")

CHECK_TIMEOUT_S = 0.2
"""Time within which an engine must answer a read of its report, which takes a few ms."""

READS_PER_CHECK = 2
"""Number of simultaneous reads of a check, since a packet of one may be lost."""


class EngineChecks:
    """Signs of life of the engines at one front.

    Args:
        address: Returns the host and port of a server, or None if it is not known.
    """

    def __init__(self, address: Callable[[ids.BackendServerId], str | None]) -> None:
        self._address = address
        self._liveness = engine_liveness.EngineLiveness()
        self._watches_by_server: dict[ids.BackendServerId, set[silence_watch.SilenceWatch]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def open_watches(self, server: ids.BackendServerId) -> set[silence_watch.SilenceWatch]:
        """Return the set of the watches of all attempts in progress at a server.

        Args:
            server: The server.
        """
        return self._watches_by_server.setdefault(server, set())

    def end_attempts(self) -> None:
        """Leave all servers because this process stops."""
        for watches in self._watches_by_server.values():
            for watch in watches:
                watch.process_stops()

    def record_report(self, server: ids.BackendServerId, now_s: float) -> None:
        """Record a load message of an engine.

        Args:
            server: The engine.
            now_s: Monotonic time in seconds.
        """
        self._record_return(server, self._liveness.record_report(server, now_s))

    def record_answer(self, server: ids.BackendServerId) -> None:
        """Record that a server has sent an event or a response.

        Args:
            server: The server.
        """
        now_s = asyncio.get_running_loop().time()
        self._record_return(server, self._liveness.record_answer(server, now_s))

    def check(self) -> None:
        """Find quiet engines and check them; called several times per second."""
        loop = asyncio.get_running_loop()
        for quiet in self._liveness.take_quiet(loop.time()):
            log.event(
                _logger,
                "engine_quiet",
                logging.WARNING,
                server=quiet.server,
                silent_ms=quiet.silent_s * 1000.0,
            )
        in_use = [server for server, watches in self._watches_by_server.items() if watches]
        for server in self._liveness.due_checks(in_use, loop.time()):
            task = loop.create_task(self._check_engine(server))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def remove_unlisted(self, listed: Collection[ids.BackendServerId]) -> None:
        """Forget engines that no longer exist.

        Args:
            listed: Servers that exist.
        """
        self._liveness.remove_unlisted(listed)
        for server in self._watches_by_server.keys() - listed:
            if not self._watches_by_server[server]:
                del self._watches_by_server[server]

    async def _check_engine(self, server: ids.BackendServerId) -> None:
        address = self._address(server)
        if address is None:
            return
        answers = await asyncio.gather(*(_answers(address) for _ in range(READS_PER_CHECK)))
        # A sign of life may have arrived meanwhile.
        unreachable = not any(answers) and self._liveness.is_quiet(server)
        watches = list(self._watches_by_server.get(server, ()))
        log.event(
            _logger,
            "engine_unreachable" if unreachable else "engine_reachable",
            logging.WARNING if unreachable else logging.INFO,
            server=server,
            requests=len(watches),
        )
        if unreachable:
            for watch in watches:
                watch.server_unreachable()

    def _record_return(self, server: ids.BackendServerId, silent_s: float | None) -> None:
        if silent_s is None:
            return
        log.event(_logger, "engine_heard", server=server, silent_ms=silent_s * 1000.0)
        for watch in self._watches_by_server.get(server, ()):
            watch.server_heard()


async def _answers(address: str) -> bool:
    """Return whether an engine answers a read of its report, if only by closing the connection."""
    transport = http_client.PersistentTransport(address, engine_client.BODY_LIMIT_BYTES)
    answer = await transport.call("GET", engines.REPORT_TARGET, None, CHECK_TIMEOUT_S)
    transport.close()
    return not (isinstance(answer, objects.Unavailable) and answer.timed_out)
