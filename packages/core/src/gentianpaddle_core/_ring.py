"""Consistent-hash ring of the eligible servers of one model."""

from __future__ import annotations

import bisect
import collections.abc
import hashlib
import typing

from gentianpaddle_core import ids

PROBES_PER_REQUEST = 8
"""Number of pseudo-random ring positions probed for the candidates of a request."""
POINTS_PER_PROBE = 6
"""Consecutive points read at each position; they cost less than a further position."""
POINTS_PER_SERVER = 4
"""Points of each server on the ring; more points even out the shares of the servers."""
HASH_MASK = (1 << 64) - 1

Item = typing.TypeVar("Item")


class Ring(typing.Generic[Item]):
    """Hash ring with several points for each server and an item of the caller per server."""

    def __init__(self) -> None:
        """Create an empty ring."""
        self._points: list[int] = []
        self._server_by_index: list[ids.BackendServerId] = []
        self.item_by_id: dict[ids.BackendServerId, Item] = {}

    def add(self, server: ids.BackendServerId, item: Item) -> None:
        """Add a server; no effect if it is already on the ring."""
        if server not in self.item_by_id:
            self.item_by_id[server] = item
            for point in _server_points(server):
                index = bisect.bisect_left(self._points, point)
                self._points.insert(index, point)
                self._server_by_index.insert(index, server)

    def remove(self, server: ids.BackendServerId) -> None:
        """Remove a server; no effect if it is not on the ring."""
        if server in self.item_by_id:
            del self.item_by_id[server]
            for point in _server_points(server):
                index = bisect.bisect_left(self._points, point)
                while self._server_by_index[index] != server:
                    index += 1
                del self._points[index], self._server_by_index[index]

    def candidates(
        self, fingerprint: ids.Fingerprint, full_scan_limit: int
    ) -> collections.abc.Iterable[ids.BackendServerId]:
        """Return the servers to consider for a request, possibly with repetitions.

        Args:
            fingerprint: Fingerprint of the request, which seeds the probed positions.
            full_scan_limit: Number of servers up to which all of them are returned.

        Returns:
            All servers of a small ring, else those at the probed positions.
        """
        return (
            self.item_by_id if len(self.item_by_id) <= full_scan_limit else self._probe(fingerprint)
        )

    def _probe(self, fingerprint: ids.Fingerprint) -> collections.abc.Iterator[ids.BackendServerId]:
        servers = self._server_by_index
        state = _hash(fingerprint)
        for _ in range(PROBES_PER_REQUEST):
            # One splitmix64 step per position, which is cheaper than a cryptographic hash.
            state = (state + 0x9E3779B97F4A7C15) & HASH_MASK
            mixed = ((state ^ (state >> 30)) * 0xBF58476D1CE4E5B9) & HASH_MASK
            mixed = ((mixed ^ (mixed >> 27)) * 0x94D049BB133111EB) & HASH_MASK
            start = bisect.bisect_left(self._points, mixed ^ (mixed >> 31))
            for index in range(start, start + POINTS_PER_PROBE):
                yield servers[index % len(servers)]


def _hash(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


def _server_points(server: ids.BackendServerId) -> list[int]:
    return [_hash(f"{server}/{number}") for number in range(POINTS_PER_SERVER)]
