"""Size of exchange messages on the wire."""

from __future__ import annotations

from gentianpaddle_core import digest_messages
from gentianpaddle_daemon import wire_exchange

FRAMING_BYTES = 40
"""Allowance for the gRPC length prefix and the HTTP/2 frames of a message on an open connection."""


def wire_bytes(message: digest_messages.ExchangeRequest | digest_messages.ExchangeReply) -> int:
    """Serialise a message as the daemon does and count its bytes.

    Args:
        message: Request or reply.

    Returns:
        Serialised size, with `FRAMING_BYTES` added.
    """
    if isinstance(message, digest_messages.ExchangeRequest):
        return wire_exchange.request_to_wire(message).ByteSize() + FRAMING_BYTES
    return wire_exchange.reply_to_wire(message).ByteSize() + FRAMING_BYTES
