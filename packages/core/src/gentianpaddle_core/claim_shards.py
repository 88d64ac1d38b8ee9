"""Which shard holds the claim of a key, and which entry should write that shard."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from gentianpaddle_core import ids


def shard_of(key: ids.RequestKey, shards: int) -> str:
    """Return the shard of a key.

    Args:
        key: Key of a request.
        shards: Count of shards, the same in all processes.

    Returns:
        Name of the shard.
    """
    return f"{int.from_bytes(_hash(key), 'big') % shards:04d}"


def preferred_writer(shard: str, entries: Iterable[ids.VmId]) -> ids.VmId | None:
    """Return the entry that should write a shard, by rendezvous hash.

    Args:
        shard: Name of the shard.
        entries: Live entries.

    Returns:
        One of them, None when there is none.
    """
    return max(entries, key=lambda vm: (_hash(f"{shard}/{vm}"), vm), default=None)


def _hash(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8, person=b"claims").digest()
