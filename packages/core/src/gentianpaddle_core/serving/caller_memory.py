"""Divides the memory of a front among its callers.

Load pattern: many callers at the same time send bodies of legal size, most of which stop just
before their end, or send or read very slowly. Each request alone is allowed; together they exceed
the memory of the VM.

One budget covers all ports of a process. Each connection is charged a fixed number of bytes, which
covers its objects, its head, what was read ahead and its write buffer. Bodies and responses that do
not fit into this are charged in addition, in three pools: small bodies may use the whole budget,
large bodies not the reserve, and responses of servers a part of their own. When a pool is used up,
the holder that has gone longest without progress is evicted.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
from collections.abc import Callable, Iterator

BASE_BYTES = 40_000_000
"""Memory of a process without callers: 25 MB after the start, and the configuration, the servers,
the queues and the pages of the store on a full platform."""

RESERVED_DESCRIPTORS = 200
"""Part of the descriptors of a VM that the platform reserves for files."""

OWN_DESCRIPTORS = 48
"""Descriptors for listening sockets, calls to the store and other processes, and connections that
have been accepted and not yet counted."""

SMALL_POOL_SHARE = 0.4
"""Share of the budget that large bodies cannot use."""

RESPONSE_POOL_SHARE = 0.25
"""Share of the memory for responses of servers that are held until their callers have read them."""

MAX_RESPONSE_POOL_BYTES = 32 * 1_048_576
"""Maximum size of all responses of servers that a front holds at the same time."""

MIN_BODIES = 2
"""Number of the largest bodies that fit even if a VM states too little memory for one."""

OVERHEAD_DIVISOR = 8
"""Buffers that grow are allocated with up to an eighth in addition."""


class Stage(enum.Enum):
    """What a connection does."""

    RECEIVING = "receiving"
    """It has no request, or its request has not been passed on and may be ended with a 408."""
    RUNNING = "running"
    """Its request may be at a server; it is never evicted."""
    SENDING = "sending"
    """A complete response is being sent to its caller."""
    CLOSING = "closing"
    """Its answer has been sent and it is about to be closed."""


class Pool(enum.Enum):
    """What bytes are held for."""

    SMALL = "small"
    LARGE = "large"
    RESPONSE = "response"


class Grant(enum.Enum):
    """Answer to the request for bytes."""

    TAKEN = "taken"
    WAIT = "wait"
    """There may be space later."""
    REFUSED = "refused"
    """There is no holder whose eviction gives enough space."""


@dataclasses.dataclass(eq=False, slots=True)
class Holder:
    """Bytes held for one connection."""

    progress_s: float
    """Monotonic time in seconds of the last progress of the caller."""
    stage: Stage = Stage.RECEIVING
    body_pool: Pool | None = None
    """Pool of the body, if it does not fit into the bytes of the connection."""
    body_bytes: int = 0
    """Bytes held for the body of a request in that pool."""
    response_bytes: int = 0
    """Bytes held for a response."""
    connected: bool = True
    evicted: bool = False
    """Whether the bytes were taken away from this holder."""


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """Sizes that do not change while the process runs."""

    total_bytes: int
    """All bytes of connections, bodies and responses."""
    reserve_bytes: int
    """Part of the total that large bodies cannot use."""
    response_bytes: int
    """Part of the total for responses; the others cannot use it."""
    connection_bytes: int
    """Charge for each connection."""
    connections: int
    """Maximum number of connections."""
    stall_s: float
    """Time in seconds without progress after which a holder may be evicted for a large body or a
    response. A caller with a good network sends a part of its body every few milliseconds."""


def new_budget(
    memory_bytes: int,
    max_descriptors: int | None,
    max_connections: int,
    memory_share: float,
    connection_bytes: int,
    stall_s: float,
    max_body_bytes: int,
) -> Budget:
    """Derive the budget from the size of the VM.

    Args:
        memory_bytes: Memory of the VM.
        max_descriptors: Maximum number of open descriptors, or None if it is not stated.
        max_connections: Maximum number of connections according to the settings.
        memory_share: Share of the memory beyond `BASE_BYTES` that is used. The rest covers the
            fragmentation of the heap and copies of single parts.
        connection_bytes: Charge for each connection.
        stall_s: See `Budget.stall_s`.
        max_body_bytes: Size of the largest body.
    """
    needed = MIN_BODIES * charge(max_body_bytes) + 32 * connection_bytes
    total = max(int((memory_bytes - BASE_BYTES) * memory_share), 2 * needed)
    connections = min(max_connections, total // (2 * connection_bytes))
    if max_descriptors is not None:
        # The request of each caller may need a second connection, to its server.
        free = max_descriptors - RESERVED_DESCRIPTORS - OWN_DESCRIPTORS
        connections = min(connections, max(8, free // 2))
    response_bytes = min(MAX_RESPONSE_POOL_BYTES, int(total * RESPONSE_POOL_SHARE))
    reserve = min(int(total * SMALL_POOL_SHARE), total - response_bytes - needed)
    return Budget(total, reserve, response_bytes, connection_bytes, connections, stall_s)


def charge(size_bytes: int) -> int:
    """Return the number of bytes that a buffer of a size may occupy.

    Args:
        size_bytes: Size of its content.
    """
    return size_bytes + size_bytes // OVERHEAD_DIVISOR


class CallerMemory:
    """Bytes and connections of all callers of a process.

    Args:
        budget: Sizes to keep.
        on_evicted: Called with each holder whose bytes were taken away. Its owner frees the bytes
            before the call returns.
    """

    def __init__(self, budget: Budget, on_evicted: Callable[[Holder], None]) -> None:
        self._budget = budget
        self._on_evicted = on_evicted
        self._holders: dict[Holder, None] = {}
        self._charged: dict[Holder, None] = {}
        self._waiting: collections.deque[Holder] = collections.deque()
        self._held_bytes_by_pool = dict.fromkeys(Pool, 0)

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._holders)

    @property
    def held_bytes(self) -> int:
        """Number of bytes that are charged."""
        connections = len(self._holders) * self._budget.connection_bytes
        return connections + sum(self._held_bytes_by_pool.values())

    def connect(self, now_s: float) -> Holder | None:
        """Admit a connection, evicting the one that is longest without progress if necessary.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            Holder of the bytes of the connection, or None if it cannot be admitted.
        """
        while self._lacks_connection():
            oldest = _oldest(
                holder for holder in self._holders if holder.stage is not Stage.RUNNING
            )
            if oldest is None:
                return None
            oldest.connected = False
            self._evict(oldest)
            self.disconnect(oldest)
        holder = Holder(now_s)
        self._holders[holder] = None
        return holder

    def _lacks_connection(self) -> bool:
        return (
            len(self._holders) >= self._budget.connections
            or self._shared_free() < self._budget.connection_bytes
        )

    def disconnect(self, holder: Holder) -> None:
        """Record that a connection has been closed. May be called again.

        Args:
            holder: Holder of its bytes.
        """
        self.release(holder)
        self.stop_waiting(holder)
        holder.connected = False
        self._holders.pop(holder, None)

    def take(self, holder: Holder, size_bytes: int, pool: Pool, now_s: float) -> Grant:
        """Ask for bytes in addition to those of the connection. A body uses one of the pools.

        A holder that gets `Grant.WAIT` keeps its place and asks again, or calls `stop_waiting`.

        Args:
            holder: Holder of the bytes.
            size_bytes: Number of bytes, see `charge`.
            pool: What they are held for.
            now_s: Monotonic time in seconds.
        """
        if not holder.connected or holder.evicted or size_bytes > self._capacity(pool):
            return Grant.REFUSED
        if pool is Pool.LARGE and self._waiting and self._waiting[0] is not holder:
            if holder not in self._waiting:
                self._waiting.append(holder)
            return Grant.WAIT
        while self._free(pool) < size_bytes:
            oldest = _oldest(self._candidates(holder, pool, now_s))
            if oldest is None:
                if pool is Pool.LARGE and not self._waiting:
                    self._waiting.append(holder)
                return Grant.WAIT if pool is Pool.LARGE else Grant.REFUSED
            self._evict(oldest)
        self.stop_waiting(holder)
        if pool is Pool.RESPONSE:
            holder.response_bytes += size_bytes
        else:
            holder.body_pool = pool
            holder.body_bytes += size_bytes
        self._held_bytes_by_pool[pool] += size_bytes
        self._charged[holder] = None
        return Grant.TAKEN

    def stop_waiting(self, holder: Holder) -> None:
        """Give up the place of a holder that waits for bytes.

        Args:
            holder: The holder.
        """
        if self._waiting and holder in self._waiting:
            self._waiting.remove(holder)

    def release(self, holder: Holder) -> None:
        """Give back all bytes of a holder but those of the connection.

        Args:
            holder: The holder.
        """
        if holder in self._charged:
            self.release_response(holder)
            if holder.body_pool is not None:
                self._held_bytes_by_pool[holder.body_pool] -= holder.body_bytes
                holder.body_bytes, holder.body_pool = 0, None
            self._charged.pop(holder, None)

    def release_response(self, holder: Holder) -> None:
        """Give back the bytes that a holder has for a response.

        Args:
            holder: The holder.
        """
        self._held_bytes_by_pool[Pool.RESPONSE] -= holder.response_bytes
        holder.response_bytes = 0
        if holder.body_pool is None:
            self._charged.pop(holder, None)

    def _evict(self, holder: Holder) -> None:
        holder.evicted = True
        self.release(holder)
        self._on_evicted(holder)

    def _candidates(self, asking: Holder, pool: Pool, now_s: float) -> Iterator[Holder]:
        """Yield the holders whose eviction gives space in a pool.

        Only a small body evicts callers that have made progress a moment ago.
        """
        stalled_since_s = now_s - self._budget.stall_s
        for holder in self._charged:
            if holder is asking or holder.stage is Stage.RUNNING:
                continue
            if not (holder.response_bytes if pool is Pool.RESPONSE else holder.body_bytes):
                continue
            if pool is Pool.SMALL or holder.progress_s <= stalled_since_s:
                yield holder

    def _shared_free(self) -> int:
        """Return the number of free bytes outside of the pool for responses."""
        responses = self._held_bytes_by_pool[Pool.RESPONSE]
        return self._budget.total_bytes - self._budget.response_bytes - self.held_bytes + responses

    def _free(self, pool: Pool) -> int:
        if pool is Pool.RESPONSE:
            return self._budget.response_bytes - self._held_bytes_by_pool[pool]
        if pool is Pool.SMALL:
            return self._shared_free()
        return min(self._shared_free(), self._capacity(pool) - self._held_bytes_by_pool[pool])

    def _capacity(self, pool: Pool) -> int:
        if pool is Pool.RESPONSE:
            return self._budget.response_bytes
        shared = self._budget.total_bytes - self._budget.response_bytes
        return shared - self._budget.reserve_bytes if pool is Pool.LARGE else shared


def _oldest(holders: Iterator[Holder]) -> Holder | None:
    return min(holders, key=lambda holder: holder.progress_s, default=None)
