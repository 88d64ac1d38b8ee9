"""Budget for the control traffic that a process sends."""

from __future__ import annotations

from gentianpaddle_core import buckets, digest_messages

SEND_RATE_BYTES_S = 7_168.0
"""Budget for everything but the fixed part of messages, which takes about 2 KB/s of 16 KB/s."""
SEND_BURST_BYTES = 5_120.0
"""Largest saved budget; above the largest configuration difference."""


class SendBudget:
    """Token bucket in bytes."""

    def __init__(self, now_s: float) -> None:
        """Start full; use `new_send_budget`.

        Args:
            now_s: Monotonic time in seconds.
        """
        self._bytes = SEND_BURST_BYTES
        self._filled_s = now_s

    def left(self, now_s: float) -> float:
        """Tell what may be sent now.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            Bytes, negative after a debt.
        """
        earned = max(0.0, now_s - self._filled_s) * SEND_RATE_BYTES_S
        self._bytes = min(SEND_BURST_BYTES, self._bytes + earned)
        self._filled_s = now_s
        return self._bytes

    def spend(
        self, message: digest_messages.ExchangeRequest | digest_messages.ExchangeReply
    ) -> None:
        """Charge a message without its fixed part.

        Args:
            message: Message that is sent.
        """
        fixed = digest_messages.BASE_BYTES + digest_messages.HASH_BYTES * buckets.BUCKETS
        size = max(0, digest_messages.message_bytes(message) - fixed)
        # A debt is allowed, so that the average holds; it is bounded for the sake of states.
        self._bytes = max(-SEND_BURST_BYTES, self._bytes - size)


def new_send_budget(now_s: float) -> SendBudget:
    """Create the budget of a process.

    Args:
        now_s: Monotonic time in seconds.

    Returns:
        A full budget.
    """
    return SendBudget(now_s)
