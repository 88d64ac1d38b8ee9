"""Limits for the callers of all ports of a process: memory, connections and rate of reading."""

from __future__ import annotations

import asyncio
import logging
import typing

from gentianpaddle_core.serving import caller_memory, routes
from gentianpaddle_gateway import gateway_settings, log, metrics
from gentianpaddle_platform import settings

_logger = logging.getLogger("gentianpaddle.callers")

SWEEP_INTERVAL_S = 1.0
"""Interval at which the callers that read too slowly are looked for."""

LOG_INTERVAL_S = 1.0
"""Minimum time between two lines of the same action and reason; a line says how many it stands
for."""

WAIT_INTERVAL_S = 0.05
"""Interval at which a large body that waits asks for memory again."""

CONNECTION_BYTES = 65_536
"""Charge for a connection: about 20 KB of objects, what was read ahead, and the write buffer, which
is filled only if a caller does not read."""


class Connection(typing.Protocol):
    """Connection of a caller, as the limits see it."""

    def evict(self, at_once: bool) -> None:
        """Free the bytes held for its request, and end the request and the connection.

        Args:
            at_once: Whether another connection takes its place, so that it is closed at once.
        """

    def reads_too_slowly(self, now_s: float) -> bool:
        """Return whether its caller does not read its responses."""

    def abort(self) -> None:
        """Close it at once."""


class CallerLimits:
    """What the callers of all ports of a process may use together.

    Args:
        section: Limits of the settings.
        machine: Memory and descriptors of the VM.
        process_metrics: Metrics of this process.
    """

    def __init__(
        self,
        section: gateway_settings.CallerLimits,
        machine: settings.MachineLimits,
        process_metrics: metrics.Metrics,
    ) -> None:
        self.section = section
        self.memory = caller_memory.CallerMemory(
            caller_memory.new_budget(
                machine.memory_bytes,
                machine.max_descriptors,
                section.connections,
                section.memory_share,
                CONNECTION_BYTES,
                section.stall_s,
                routes.DEFAULT_CLIENT_LIMITS.body_bytes,
            ),
            self._evict,
        )
        self.parsing_turns = asyncio.Lock()
        """Held by the body in very small chunks that is parsed next, one batch in each turn of the
        event loop, so that many of them do not keep other requests waiting."""
        self._metrics = process_metrics
        self._connection_by_holder: dict[caller_memory.Holder, Connection] = {}
        self._sweeping = False
        self._logged_s_by_reason: dict[tuple[str, str], float] = {}
        self._count_by_reason: dict[tuple[str, str], int] = {}

    def connect(self) -> caller_memory.Holder | None:
        """Return a holder of the bytes of a new connection, or None if it cannot be admitted."""
        holder = self.memory.connect(asyncio.get_running_loop().time())
        if holder is None:
            self.record("refused", "connections")
        return holder

    def add(self, holder: caller_memory.Holder, connection: Connection) -> None:
        """Apply the limits to a connection that was admitted.

        Args:
            holder: Holder of its bytes.
            connection: The connection.
        """
        self._connection_by_holder[holder] = connection
        if not self._sweeping:
            self._sweeping = True
            asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)

    def remove(self, holder: caller_memory.Holder) -> None:
        """Forget a connection that has been closed.

        Args:
            holder: Holder of its bytes.
        """
        self.memory.disconnect(holder)
        self._connection_by_holder.pop(holder, None)

    async def acquire(self, holder: caller_memory.Holder, size_bytes: int) -> bool:
        """Wait for the memory of a body, at most `body_wait_s`, and return whether there is enough.

        Args:
            holder: Holder of the bytes of its connection.
            size_bytes: Size of the body.
        """
        loop = asyncio.get_running_loop()
        small = size_bytes <= self.section.small_body_bytes
        pool = caller_memory.Pool.SMALL if small else caller_memory.Pool.LARGE
        charge = caller_memory.charge(size_bytes)
        until_s = loop.time() + self.section.body_wait_s
        try:
            while True:
                grant = self.memory.take(holder, charge, pool, loop.time())
                if grant is caller_memory.Grant.TAKEN:
                    return True
                if grant is caller_memory.Grant.REFUSED or loop.time() >= until_s:
                    return False
                await asyncio.sleep(WAIT_INTERVAL_S)
        finally:
            self.memory.stop_waiting(holder)

    def record(self, action: str, reason: str) -> None:
        """Count and log a decision.

        Args:
            action: "refused" for a request or a new connection, "closed" for an open connection.
            reason: The limit.
        """
        self._metrics.count_limited_caller(action, reason)
        key = action, reason
        now_s = asyncio.get_running_loop().time()
        self._count_by_reason[key] = self._count_by_reason.get(key, 0) + 1
        if now_s - self._logged_s_by_reason.get(key, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return
        self._logged_s_by_reason[key] = now_s
        log.event(
            _logger,
            "caller_limited",
            action=action,
            reason=reason,
            count=self._count_by_reason.pop(key),
            held_bytes=self.memory.held_bytes,
            connections=self.memory.connection_count,
        )

    def _evict(self, holder: caller_memory.Holder) -> None:
        connection = self._connection_by_holder.get(holder)
        if connection is not None:
            connection.evict(at_once=not holder.connected)
            self.record("closed", "memory" if holder.connected else "connections")

    def _sweep(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for connection in list(self._connection_by_holder.values()):
            if connection.reads_too_slowly(now_s):
                self.record("closed", "unread")
                connection.abort()
        self._sweeping = bool(self._connection_by_holder)
        if self._sweeping:
            asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)


def new_default_limits() -> CallerLimits:
    """Create the limits of a process without settings of its own."""
    return CallerLimits(
        gateway_settings.CallerLimits(), settings.MachineLimits(), metrics.new_metrics()
    )
