"""Deterministic answers, so that a test can verify that a caller received its own complete answer.

The text depends only on the prompt and the number of tokens. It does not depend on the engine that
produces it or on where a stream was resumed.
"""

from __future__ import annotations

import hashlib

WORDS = (
    "pump",
    "slab",
    "crew",
    "gate",
    "hose",
    "ramp",
    "lift",
    "pour",
    "mix",
    "bay",
    "deck",
    "kerb",
)


def token(prompt: str, index: int) -> str:
    """Return one token of the answer to a prompt.

    Args:
        prompt: Text of the request.
        index: Position of the token, from 0.

    Returns:
        A word and a number with a trailing space.
    """
    digest = hashlib.blake2b(f"{prompt}\0{index}".encode(), digest_size=4).digest()
    digest_value = int.from_bytes(digest)
    return f"{WORDS[digest_value % len(WORDS)]}{digest_value % 997} "


def text(prompt: str, tokens: int) -> str:
    """Return the complete answer to a prompt.

    Args:
        prompt: Text of the request.
        tokens: Number of tokens of the answer.

    Returns:
        Concatenated tokens.
    """
    return "".join(token(prompt, index) for index in range(tokens))
