"""Authentication between the processes of the system by shared tokens."""

from __future__ import annotations

import hmac
import typing
from collections.abc import Mapping

from grpclib import const, exceptions

TOKEN_HEADER = "gentianpaddle-token"


def metadata(shared_tokens: tuple[str, ...]) -> dict[str, str]:
    """Return the metadata of a call to another process.

    Args:
        shared_tokens: Tokens of this process; the first one is sent.

    Returns:
        Metadata for `grpclib`.
    """
    return {TOKEN_HEADER: shared_tokens[0]}


def is_authorized(offered: str, accepted: tuple[str, ...]) -> bool:
    """Compare a token in constant time.

    Args:
        offered: Token of the other side.
        accepted: Tokens that are valid; two while a token is being replaced.

    Returns:
        Whether one of them is equal.
    """
    matches = [hmac.compare_digest(offered.encode(), token.encode()) for token in accepted]
    return any(matches)


def require(call_metadata: Mapping[str, typing.Any] | None, accepted: tuple[str, ...]) -> None:
    """End a call whose token is not accepted.

    Args:
        call_metadata: Metadata of the call.
        accepted: Tokens that are valid.

    Raises:
        GRPCError: The token is missing or wrong; `grpclib` turns this into a status.
    """
    offered = str((call_metadata or {}).get(TOKEN_HEADER, ""))
    if not is_authorized(offered, accepted):
        raise exceptions.GRPCError(const.Status.UNAUTHENTICATED, "unknown token")
