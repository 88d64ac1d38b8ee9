"""Rate limit for the control traffic that a process sends."""

from __future__ import annotations

from gentianpaddle_core import buckets, digest_messages

SEND_RATE_BYTES_S = 7_168.0
"""Refill rate in bytes per second, without the fixed part of messages.

The 16 KB/s for control traffic, sent and received, are this rate in each direction and about 2 KB/s
for the fixed part.
"""
SEND_BURST_BYTES = 5_120.0
"""Capacity of the bucket in bytes; larger than the largest configuration difference."""


class SendBudget:
    """Token bucket that counts bytes."""

    def __init__(self, now_s: float) -> None:
        """Create a full bucket; use `new_send_budget`.

        Args:
            now_s: Monotonic time in seconds.
        """
        self._bytes = SEND_BURST_BYTES
        self._filled_s = now_s

    def available_bytes(self, now_s: float) -> float:
        """Refill the bucket and return the bytes that may be sent now.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            Number of bytes, negative while earlier messages exceed the budget.
        """
        refill = max(0.0, now_s - self._filled_s) * SEND_RATE_BYTES_S
        self._bytes = min(SEND_BURST_BYTES, self._bytes + refill)
        self._filled_s = now_s
        return self._bytes

    def spend(
        self, message: digest_messages.ExchangeRequest | digest_messages.ExchangeReply
    ) -> None:
        """Charge a message to the budget, without its fixed part.

        The fixed part is the size of an empty message with all bucket hashes.

        Args:
            message: Message to be sent.
        """
        fixed = (
            digest_messages.EMPTY_MESSAGE_BYTES + digest_messages.HASH_BYTES * buckets.BUCKET_COUNT
        )
        size = max(0, digest_messages.message_bytes(message) - fixed)
        # The balance may turn negative so that the average rate holds. It is bounded because
        # changed member states are sent even without budget.
        self._bytes = max(-SEND_BURST_BYTES, self._bytes - size)


def new_send_budget(now_s: float) -> SendBudget:
    """Create the budget of a process.

    Args:
        now_s: Monotonic time in seconds.

    Returns:
        A full budget.
    """
    return SendBudget(now_s)
