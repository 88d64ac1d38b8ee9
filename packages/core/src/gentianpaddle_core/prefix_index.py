"""Bounded index from prompt prefixes to the backend servers that probably have them in cache.

The index is only a hint. Engines do not report evictions in time, so the confidence in each record
decreases with age, and all records of a server are invalidated when its cache is lost.
"""

from __future__ import annotations

import collections
import dataclasses
import hashlib
import math

from gentianpaddle_core import ids

PREFIX_BLOCK_BYTES = 512
"""Prompt bytes per hashed block. Shorter blocks match more precisely but need more hashes."""
PREFIX_BLOCKS_LIMIT = 32
"""Largest number of blocks hashed per prompt; longer prompts match by their first 16 KiB only."""
BYTES_PER_TOKEN = 4
"""Assumed prompt bytes per token, because the entry has no tokenizer."""
SERVERS_PER_PREFIX_LIMIT = 4
"""Largest number of backend servers per prefix; the most recent ones are kept."""
CONFIDENCE_HALF_LIFE_S = 120.0
"""Age, in seconds, at which the confidence in a record has fallen to one half."""


@dataclasses.dataclass(frozen=True, slots=True)
class Match:
    """A backend server that probably has a prefix in its cache."""

    backend_server: ids.BackendServerId
    """Identifier of the server."""
    expected_cached_tokens: float
    """Prompt tokens expected in its cache, weighted by the confidence in the record."""


def prefix_hashes(prompt: bytes) -> tuple[int, ...]:
    """Hash each whole block of a prompt together with all blocks before it.

    Args:
        prompt: Prompt bytes, prefixed with the model name where several models share an index.

    Returns:
        One hash per whole block, shortest prefix first.

    >>> a, b = prefix_hashes(b"a" * 1024)
    >>> prefix_hashes(b"a" * 512 + b"b" * 512)[0] == a
    True
    >>> prefix_hashes(b"a" * 512 + b"b" * 512)[1] == b
    False
    """
    digest = hashlib.blake2b(digest_size=8)
    hashes = []
    end = min(len(prompt) // PREFIX_BLOCK_BYTES, PREFIX_BLOCKS_LIMIT) * PREFIX_BLOCK_BYTES
    for start in range(0, end, PREFIX_BLOCK_BYTES):
        digest.update(prompt[start : start + PREFIX_BLOCK_BYTES])
        hashes.append(int.from_bytes(digest.copy().digest()))
    return tuple(hashes)


class PrefixIndex:
    """Least recently used index from prefix hash to backend servers."""

    def __init__(self, limit: int) -> None:
        """Create an empty index; use `new_prefix_index`."""
        self._limit = limit
        self._recorded_s_by_server_by_hash: collections.OrderedDict[
            int, dict[ids.BackendServerId, float]
        ] = collections.OrderedDict()
        self._invalidated_s_by_server: dict[ids.BackendServerId, float] = {}

    def __len__(self) -> int:
        return len(self._recorded_s_by_server_by_hash)

    def record(self, hashes: tuple[int, ...], server: ids.BackendServerId, now_s: float) -> None:
        """Record that a server has processed a prompt.

        Args:
            hashes: Result of `prefix_hashes`.
            server: Backend server that processed it.
            now_s: Monotonic time.
        """
        index = self._recorded_s_by_server_by_hash
        for prefix_hash in hashes:
            recorded_s_by_server = index.setdefault(prefix_hash, {})
            recorded_s_by_server.pop(server, None)
            recorded_s_by_server[server] = now_s
            if len(recorded_s_by_server) > SERVERS_PER_PREFIX_LIMIT:
                del recorded_s_by_server[next(iter(recorded_s_by_server))]
            index.move_to_end(prefix_hash)
        while len(index) > self._limit:
            index.popitem(last=False)

    def invalidate(self, server: ids.BackendServerId, now_s: float) -> None:
        """Invalidate all records of a server that lost its cache or died.

        Takes constant time: older records of the server stay in place and are ignored.
        """
        self._invalidated_s_by_server[server] = now_s

    def discard(self, server: ids.BackendServerId) -> None:
        """Remove a server that left the view, with all its records."""
        self._invalidated_s_by_server.pop(server, None)
        for recorded_s_by_server in self._recorded_s_by_server_by_hash.values():
            recorded_s_by_server.pop(server, None)

    def matches(self, hashes: tuple[int, ...], now_s: float) -> tuple[Match, ...]:
        """Find the servers with the longest recorded prefixes of a prompt.

        Args:
            hashes: Result of `prefix_hashes`.
            now_s: Monotonic time.

        Returns:
            At most `SERVERS_PER_PREFIX_LIMIT` servers, longest prefix first.
        """
        match_by_server: dict[ids.BackendServerId, Match] = {}
        for blocks in range(len(hashes), 0, -1):
            recorded_s_by_server = self._recorded_s_by_server_by_hash.get(hashes[blocks - 1])
            if not recorded_s_by_server:
                continue
            tokens = blocks * PREFIX_BLOCK_BYTES / BYTES_PER_TOKEN
            for server, recorded_s in reversed(recorded_s_by_server.items()):
                if server in match_by_server or recorded_s <= self._invalidated_s_by_server.get(
                    server, -1.0
                ):
                    continue
                confidence = math.exp2((recorded_s - now_s) / CONFIDENCE_HALF_LIFE_S)
                match_by_server[server] = Match(server, tokens * confidence)
            if len(match_by_server) >= SERVERS_PER_PREFIX_LIMIT:
                break
        return tuple(match_by_server.values())[:SERVERS_PER_PREFIX_LIMIT]


def new_prefix_index(limit: int = 20_000) -> PrefixIndex:
    """Create an empty index.

    Args:
        limit: Largest number of prefixes kept; each takes about 400 bytes.
    """
    return PrefixIndex(limit)
