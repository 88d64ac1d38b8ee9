"""Rendezvous hashing: a stable choice that moves little when the candidates change."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def weight(key: str, candidate: str) -> int:
    """Weight of a candidate for a key.

    Args:
        key: What the choice is for.
        candidate: Name of a candidate.

    Returns:
        A number below 2 ** 64, equal in every process.
    """
    digest = hashlib.blake2b(f"{key}\0{candidate}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def share(key: str, candidate: str) -> float:
    """Weight as a share, to spread timers.

    Args:
        key: What the timer is for.
        candidate: Name.

    Returns:
        A number from 0 to below 1.
    """
    return weight(key, candidate) / 2**64


def choose(key: str, candidates: Iterable[str], count: int) -> tuple[str, ...]:
    """Choose candidates for a key.

    Args:
        key: What the choice is for.
        candidates: Names to choose from.
        count: Largest number of names.

    Returns:
        The names with the greatest weights, greatest first.

    >>> choose("shard-1", ["a", "b", "c"], 2) == choose("shard-1", ["c", "b", "a"], 2)
    True
    """
    ordered = sorted(candidates, key=lambda name: (weight(key, name), name), reverse=True)
    return tuple(ordered[:count])
