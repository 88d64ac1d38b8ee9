"""Bounded index from prompt prefixes to the backend servers that probably hold them in cache.

The index is a hint. Engines evict without telling in time, so each entry loses weight with age and
everything of a server is dropped when its cache is lost.
"""

from __future__ import annotations

import collections
import dataclasses
import hashlib
import math

from gentianpaddle_core import ids

PREFIX_BLOCK_BYTES = 512
"""Prompt bytes covered by one hash. Shorter blocks match more exactly and cost more hashes."""
PREFIX_BLOCKS_LIMIT = 32
"""Blocks hashed per prompt; longer prompts are matched by their first 16 KiB only."""
BYTES_PER_TOKEN = 4
"""Average prompt bytes per token, as the entry has no tokenizer."""
SERVERS_PER_PREFIX_LIMIT = 4
"""Backend servers remembered for one prefix, the most recent ones."""
CONFIDENCE_HALF_LIFE_S = 120.0
"""Age at which a remembered prefix is half trusted."""


@dataclasses.dataclass(frozen=True, slots=True)
class Match:
    """A backend server that probably holds a prefix."""

    backend_server: ids.BackendServerId
    """The server."""
    expected_cached_tokens: float
    """Tokens of the prompt expected in its cache, reduced by the age of the hint."""


def prefix_hashes(prompt: bytes) -> tuple[int, ...]:
    """Hash each whole block of a prompt together with all blocks before it.

    Args:
        prompt: Prompt, which starts with the model name where several models share an index.

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
        self._seen_s_by_server_by_hash: collections.OrderedDict[
            int, dict[ids.BackendServerId, float]
        ] = collections.OrderedDict()
        self._forgotten_s_by_server: dict[ids.BackendServerId, float] = {}

    def __len__(self) -> int:
        return len(self._seen_s_by_server_by_hash)

    def record(self, hashes: tuple[int, ...], server: ids.BackendServerId, now_s: float) -> None:
        """Remember that a server has computed a prompt.

        Args:
            hashes: Result of `prefix_hashes`.
            server: Backend server that ran the prompt.
            now_s: Monotonic time.
        """
        index = self._seen_s_by_server_by_hash
        for key in hashes:
            seen = index.setdefault(key, {})
            seen.pop(server, None)
            seen[server] = now_s
            if len(seen) > SERVERS_PER_PREFIX_LIMIT:
                del seen[next(iter(seen))]
            index.move_to_end(key)
        while len(index) > self._limit:
            index.popitem(last=False)

    def forget(self, server: ids.BackendServerId, now_s: float) -> None:
        """Drop everything known of a server whose cache is lost or that is gone.

        Takes constant time: older entries of the server are ignored from now on.
        """
        self._forgotten_s_by_server[server] = now_s

    def discard(self, server: ids.BackendServerId) -> None:
        """Remove a server that left the view, with all its entries."""
        self._forgotten_s_by_server.pop(server, None)
        for seen in self._seen_s_by_server_by_hash.values():
            seen.pop(server, None)

    def matches(self, hashes: tuple[int, ...], now_s: float) -> tuple[Match, ...]:
        """Find the servers with the longest remembered prefix.

        Args:
            hashes: Result of `prefix_hashes`.
            now_s: Monotonic time.

        Returns:
            At most `SERVERS_PER_PREFIX_LIMIT` servers, longest prefix first.
        """
        found: dict[ids.BackendServerId, Match] = {}
        for position in range(len(hashes), 0, -1):
            seen = self._seen_s_by_server_by_hash.get(hashes[position - 1])
            if not seen:
                continue
            tokens = position * PREFIX_BLOCK_BYTES / BYTES_PER_TOKEN
            for server, seen_s in reversed(seen.items()):
                if server in found or seen_s <= self._forgotten_s_by_server.get(server, -1.0):
                    continue
                confidence = math.exp2((seen_s - now_s) / CONFIDENCE_HALF_LIFE_S)
                found[server] = Match(server, tokens * confidence)
            if len(found) >= SERVERS_PER_PREFIX_LIMIT:
                break
        return tuple(found.values())[:SERVERS_PER_PREFIX_LIMIT]


def new_prefix_index(limit: int = 20_000) -> PrefixIndex:
    """Create an empty index.

    Args:
        limit: Prefixes remembered; about 400 bytes each.
    """
    return PrefixIndex(limit)
