"""Deterministic answers, so that a test can tell whether a caller got the whole answer of its own.

The text depends only on the prompt and the number of tokens, whichever engine produces it and
wherever a stream was resumed.
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
        A word with a trailing space.
    """
    digest = hashlib.blake2b(f"{prompt}\0{index}".encode(), digest_size=4).digest()
    number = int.from_bytes(digest)
    return f"{WORDS[number % len(WORDS)]}{number % 997} "


def text(prompt: str, tokens: int) -> str:
    """Return the whole answer to a prompt.

    Args:
        prompt: Text of the request.
        tokens: Length of the answer in tokens.

    Returns:
        All tokens joined.
    """
    return "".join(token(prompt, index) for index in range(tokens))
