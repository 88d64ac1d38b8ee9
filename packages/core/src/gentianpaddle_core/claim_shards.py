"""Mapping of keys to shards of the claim log, and of shards to their preferred writers."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from gentianpaddle_core import ids


def shard_of(key: ids.RequestKey, shard_count: int) -> str:
    """Return the shard that holds the claims of a key.

    Args:
        key: Key of a request.
        shard_count: Number of shards; must be the same in all processes.

    Returns:
        Name of the shard.
    """
    return f"{int.from_bytes(_hash(key), 'big') % shard_count:04d}"


def preferred_writer(shard: str, entries: Iterable[ids.VmId]) -> ids.VmId | None:
    """Return the entry that should write a shard, chosen by rendezvous hashing.

    Args:
        shard: Name of the shard.
        entries: Live entries.

    Returns:
        One of the entries, None when there are none.
    """
    return max(entries, key=lambda vm: (_hash(f"{shard}/{vm}"), vm), default=None)


def _hash(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8, person=b"claims").digest()
