"""Tells which engines have stopped to show signs of life, and when to check them.

Load pattern: the VM of an engine stops or is cut off without a reset while requests are at the
engine. Nothing that a front sends reaches the engine any more, neither a close nor a repeated
request. Callers wait in vain, and leave.

A side process on the VM sends the engine's load several times per second, and streams bring events.
An engine without either is quiet: its VM has stopped, or only the path of the loads is interrupted
while the engine works at a first event. A read of the engine's report tells one from the other. A
connection alone does not: the kernel of a VM may accept it although all processes stand still.
"""

from __future__ import annotations

import dataclasses
import typing
from collections.abc import Collection

from gentianpaddle_core import ids

QUIET_AFTER_S = 0.55
"""Time without a sign of life after which an engine is quiet. Side processes repeat an unchanged
load after 0.4 s; a message takes up to 0.1 s to all fronts."""


CHECK_INTERVAL_S = 1.0
"""Interval between checks of an engine that stays quiet; reads of reports are charged."""


class QuietEngine(typing.NamedTuple):
    """An engine that has become quiet."""

    server: ids.BackendServerId
    silent_s: float
    """Time since its last sign of life, in seconds."""


@dataclasses.dataclass(slots=True)
class _Signs:
    last_s: float
    """Monotonic time of the last sign of life."""
    quiet: bool = False
    checked_s: float = -CHECK_INTERVAL_S
    """Monotonic time of the last check."""


class EngineLiveness:
    """Signs of life of the engines, as seen by one process."""

    def __init__(self) -> None:
        self._signs_by_id: dict[ids.BackendServerId, _Signs] = {}

    def record_report(self, server: ids.BackendServerId, now_s: float) -> float | None:
        """Record a load message of an engine.

        Args:
            server: The engine.
            now_s: Monotonic time in seconds.

        Returns:
            Time for which the engine was silent if it was quiet until now, in seconds; else None.
        """
        self._signs_by_id.setdefault(server, _Signs(now_s))
        return self.record_answer(server, now_s)

    def record_answer(self, server: ids.BackendServerId, now_s: float) -> float | None:
        """Record an event or a response of a server; ignored unless it has sent its load before.

        Args:
            server: The server.
            now_s: Monotonic time in seconds.

        Returns:
            Time for which the engine was silent if it was quiet until now, in seconds; else None.
        """
        signs = self._signs_by_id.get(server)
        if signs is None:
            return None
        silent_s = now_s - signs.last_s if signs.quiet else None
        signs.last_s, signs.quiet = now_s, False
        return silent_s

    def take_quiet(self, now_s: float) -> list[QuietEngine]:
        """Return the engines that have become quiet since the last call.

        Args:
            now_s: Monotonic time in seconds.
        """
        found = []
        for server, signs in self._signs_by_id.items():
            if not signs.quiet and now_s - signs.last_s > QUIET_AFTER_S:
                signs.quiet = True
                found.append(QuietEngine(server, now_s - signs.last_s))
        return found

    def due_checks(
        self, in_use: Collection[ids.BackendServerId], now_s: float
    ) -> list[ids.BackendServerId]:
        """Return the engines that are to be checked now.

        Args:
            in_use: Servers at which requests are in progress; others are not worth a check.
            now_s: Monotonic time in seconds.
        """
        due = []
        for server in in_use:
            signs = self._signs_by_id.get(server)
            if signs is None or not signs.quiet or now_s - signs.checked_s < CHECK_INTERVAL_S:
                continue
            signs.checked_s = now_s
            due.append(server)
        return due

    def is_quiet(self, server: ids.BackendServerId) -> bool:
        """Return whether an engine is quiet.

        Args:
            server: The engine.
        """
        signs = self._signs_by_id.get(server)
        return signs is not None and signs.quiet

    def remove_unlisted(self, listed: Collection[ids.BackendServerId]) -> None:
        """Remove engines that no longer exist.

        Args:
            listed: Servers that exist.
        """
        for server in self._signs_by_id.keys() - listed:
            del self._signs_by_id[server]
