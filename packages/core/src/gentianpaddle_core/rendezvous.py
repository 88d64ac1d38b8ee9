"""Rendezvous hashing: a choice that changes little when candidates are added or removed."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def weight(key: str, candidate: str) -> int:
    """Return the hash weight of a candidate for a key.

    Args:
        key: Identifier of what the candidate is chosen for.
        candidate: Identifier of the candidate.

    Returns:
        An integer from 0 to below 2 ** 64, the same in every process.
    """
    digest = hashlib.blake2b(f"{key}\0{candidate}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def unit_weight(key: str, candidate: str) -> float:
    """Return the hash weight scaled to the unit interval, for example to stagger timers.

    Args:
        key: Identifier of the timer.
        candidate: Identifier of the process.

    Returns:
        A number from 0 to below 1.
    """
    return weight(key, candidate) / 2**64


def choose(key: str, candidates: Iterable[str], count: int) -> tuple[str, ...]:
    """Choose the candidates with the greatest weights for a key.

    Args:
        key: Identifier of what the candidate is chosen for.
        candidates: Identifiers to choose from.
        count: Largest number of candidates to return.

    Returns:
        The chosen identifiers, greatest weight first.

    >>> choose("shard-1", ["a", "b", "c"], 2) == choose("shard-1", ["c", "b", "a"], 2)
    True
    """
    ordered = sorted(candidates, key=lambda name: (weight(key, name), name), reverse=True)
    return tuple(ordered[:count])
