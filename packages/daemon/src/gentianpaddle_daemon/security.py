"""Authentication of calls between processes by shared tokens."""

from __future__ import annotations

import hmac
import typing
from collections.abc import Mapping

from grpclib import const, exceptions

TOKEN_HEADER = "gentianpaddle-token"
"""Metadata key that carries the shared token of the calling process."""


def token_metadata(shared_tokens: tuple[str, ...]) -> dict[str, str]:
    """Return the metadata that authenticates a call to another process.

    Args:
        shared_tokens: Shared tokens of this process; the first one is sent.

    Returns:
        Call metadata for `grpclib`.
    """
    return {TOKEN_HEADER: shared_tokens[0]}


def is_accepted_token(presented_token: str, accepted_tokens: tuple[str, ...]) -> bool:
    """Return whether a token is accepted; each comparison takes constant time.

    Args:
        presented_token: Token that the caller sent.
        accepted_tokens: Tokens that are valid; two while a token is being rotated.

    Returns:
        Whether the presented token equals one of the accepted tokens.
    """
    matches = [
        hmac.compare_digest(presented_token.encode(), token.encode()) for token in accepted_tokens
    ]
    return any(matches)


def require_token(
    call_metadata: Mapping[str, typing.Any] | None, accepted_tokens: tuple[str, ...]
) -> None:
    """Reject a call without a valid token.

    Args:
        call_metadata: Metadata of the received call.
        accepted_tokens: Tokens that are valid.

    Raises:
        GRPCError: The token is missing or wrong; `grpclib` answers with status `UNAUTHENTICATED`.
    """
    presented_token = str((call_metadata or {}).get(TOKEN_HEADER, ""))
    if not is_accepted_token(presented_token, accepted_tokens):
        raise exceptions.GRPCError(const.Status.UNAUTHENTICATED, "unknown token")
