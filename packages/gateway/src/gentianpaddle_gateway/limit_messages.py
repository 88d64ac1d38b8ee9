"""Messages about the limits of backend servers between the fronts."""

from __future__ import annotations

import json
from collections.abc import Sequence

from gentianpaddle_core import ids
from gentianpaddle_core.serving import server_limits
from gentianpaddle_platform import decoding

_TYPE = b"N"
"""First byte of a message about limits."""

MAX_SERVERS = 512
"""Maximum number of servers that are taken from a message."""


def encode(news: Sequence[server_limits.LimitNews]) -> bytes:
    """Encode a message. Only ages are sent, as the clocks of VMs differ.

    Args:
        news: What is told.
    """
    items = [[item.server, item.limit_per_s, round(item.age_s, 3)] for item in news]
    return _TYPE + json.dumps(items, separators=(",", ":")).encode()


def decode(data: bytes) -> list[server_limits.LimitNews] | None:
    """Decode a message.

    Args:
        data: The message.

    Returns:
        What is told, or None if the message is of another type or malformed.
    """
    if not data.startswith(_TYPE):
        return None
    try:
        return [
            server_limits.LimitNews(
                ids.BackendServerId(str(server)),
                None if limit is None else max(0.0, decoding.finite_float(limit)),
                max(0.0, decoding.finite_float(age_s)),
            )
            for server, limit, age_s in list(decoding.load_json(data[1:]))[:MAX_SERVERS]
        ]
    except decoding.ERRORS:
        return None
