"""Requests of one service that wait for a server at this front."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
from collections.abc import Callable, Collection

from gentianpaddle_core import ids
from gentianpaddle_core.serving import placement, rates, routes, servers, waiting

ENGINE_ROOM = 0
"""Requests beyond its slots that an engine may have; more would wait there instead of here."""

PLAIN_ROOM = 3
"""Same for a plain server, whose work takes a fifth of its callers' target."""

START_ALLOWANCE_S = 0.2
"""Part of the target that an engine needs to the first event; about two passes and a prompt."""

TICK_S = 0.05
"""Pause between looks at waiting requests when nothing else happens."""


RATE_WINDOW_S = 1.0
"""Time over which the rate of requests is counted; a front of a large site gets four a second."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request gets no server."""

    reason: str
    retry_after_s: float


@dataclasses.dataclass(slots=True, eq=False)
class _Ticket:
    excluded: Collection[ids.BackendServerId]
    granted: asyncio.Future[servers.ServerEntry | None]


class ServiceDesk:
    """Hands out servers of one service.

    Args:
        service: Returns the service as it is configured now.
        view: Known servers.
        load: Their load.
        cold: Limits of cold servers.
        processes: Returns the number of live fronts, this one included.
    """

    def __init__(
        self,
        service: Callable[[], routes.Service],
        view: servers.ServerView,
        load: placement.Placement,
        cold: rates.ColdLimits,
        processes: Callable[[], int],
    ) -> None:
        self._service = service
        self._view = view
        self._load = load
        self._cold = cold
        self._processes = processes
        self._line: waiting.WaitingLine[_Ticket] = waiting.WaitingLine()
        self._started_s: collections.deque[float] = collections.deque()

    @property
    def waiting(self) -> int:
        """Requests that wait now."""
        return len(self._line)

    async def acquire(
        self,
        route: routes.Route,
        excluded: Collection[ids.BackendServerId],
        arrived_s: float,
        end_s: float,
    ) -> servers.ServerEntry | Refused:
        """Wait for a server with room.

        Args:
            route: Route of the request.
            excluded: Servers that have had it.
            arrived_s: Monotonic time at which the request came.
            end_s: Monotonic time at which it is given up.

        Returns:
            A server, which counts the request from now on, or why there is none.
        """
        now_s = asyncio.get_running_loop().time()
        if not self._line:
            chosen = self._choose(excluded, now_s)
            if chosen is not None:
                return chosen
        known = self._view.usable(self._service().name, now_s)
        if excluded and all(entry.id in excluded for entry in known):
            return self._refused("no other server", now_s)
        latest_s = self._line.latest_start_s(end_s)
        places = self._places(now_s)
        if now_s + self._line.expected_wait_s(places) > latest_s:
            return self._refused("no place in time" if places else "no server", now_s)
        ticket = _Ticket(excluded, asyncio.get_running_loop().create_future())
        self._line.add(
            waiting.Waiting(
                ticket, arrived_s, arrived_s + route.target_s - START_ALLOWANCE_S, latest_s
            )
        )
        try:
            chosen = await ticket.granted
        except asyncio.CancelledError:
            self._line.discard(ticket)
            if ticket.granted.done() and not ticket.granted.cancelled():
                granted = ticket.granted.result()
                if granted is not None:
                    self._load.finished(granted.id)
            raise
        if chosen is None:
            return self._refused("no server had room in time", asyncio.get_running_loop().time())
        return chosen

    def released(self, server: ids.BackendServerId, served_in_s: float | None) -> None:
        """Take a server back.

        Args:
            server: Server of a request that has ended.
            served_in_s: How long the server took, or None if it did not serve the request.
        """
        self._load.finished(server)
        if served_in_s is not None:
            self._line.ended(served_in_s)
        self.pump()

    def _places(self, now_s: float) -> float:
        """Return this front's part of the places of all servers."""
        known = self._view.usable(self._service().name, now_s)
        return sum(entry.slots for entry in known) / self._processes()

    def pump(self) -> None:
        """Start what can start and turn away what cannot be served any more."""
        now_s = asyncio.get_running_loop().time()
        for entry in self._line.expired(now_s):
            if not entry.item.granted.done():
                entry.item.granted.set_result(None)
        while (first := self._line.first(now_s)) is not None:
            chosen = self._choose(first.item.excluded, now_s)
            if chosen is None:
                return
            self._line.take(first)
            if first.item.granted.done():
                self._load.finished(chosen.id)
            else:
                first.item.granted.set_result(chosen)

    def _choose(
        self, excluded: Collection[ids.BackendServerId], now_s: float
    ) -> servers.ServerEntry | None:
        service = self._service()
        candidates = self._view.usable(service.name, now_s)
        if service.cold_rate_per_s > 0.0:
            processes = self._processes()
            candidates = [
                entry
                for entry in candidates
                if self._cold.allows(entry.id, service.cold_rate_per_s, processes, now_s)
            ]
        engine = service.engine
        room = ENGINE_ROOM if engine is not None else PLAIN_ROOM
        reporting = engine is not None and engine.experts is not None
        unseen = self._unseen(now_s) if engine is not None else 0.0
        chosen = self._load.choose(candidates, excluded, room, reporting, now_s, unseen)
        if chosen is None:
            return None
        self._load.started(chosen.id, now_s)
        self._started_s.append(now_s)
        if service.cold_rate_per_s > 0.0:
            self._cold.sent(chosen.id, now_s)
        return chosen

    def _unseen(self, now_s: float) -> float:
        """Return how many requests of other fronts are on their way; all get about the same."""
        while self._started_s and self._started_s[0] < now_s - RATE_WINDOW_S:
            self._started_s.popleft()
        rate_per_s = len(self._started_s) / RATE_WINDOW_S
        return rate_per_s * (self._processes() - 1) * placement.UNSEEN_S

    def _refused(self, reason: str, now_s: float) -> Refused:
        return Refused(reason, self._line.retry_after_s(self._places(now_s), random.random()))
