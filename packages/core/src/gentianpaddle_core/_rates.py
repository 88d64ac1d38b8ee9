"""Service rate and offered rate of the admission queue, in tokens per second."""

from __future__ import annotations

import math

RATE_WINDOW_S = 5.0
"""Time constant, in seconds, of the exponential decay of the measured rates."""
UNMEASURED_RATE_TOKENS_S = 1e9
"""Service rate assumed until requests have waited long enough for a measurement."""


class ServiceRate:
    """Tokens started per second while requests wait."""

    def __init__(self, minimum_busy_s: float) -> None:
        """Create a rate without observations.

        Args:
            minimum_busy_s: Time with waiting requests, in seconds, after which the measured rate is
                used.
        """
        self._minimum_busy_s = minimum_busy_s
        self._tokens = 0.0
        self._busy_s = 0.0
        self._wait_began_s = 0.0
        self._counted_until_s: float | None = None

    def start_waiting(self, now_s: float) -> None:
        """Start the measurement because requests wait from now on."""
        if self._counted_until_s is None:
            self._wait_began_s = self._counted_until_s = now_s

    def stop_waiting(self, now_s: float) -> None:
        """Suspend the measurement because no request waits any more."""
        self._add(0.0, now_s)
        self._counted_until_s = None

    def add_start(self, tokens: float, now_s: float) -> None:
        """Add the cost of a waiting request that starts."""
        # A request that starts without waiting is no evidence for the rate while requests wait.
        if now_s > self._wait_began_s:
            self._add(tokens, now_s)

    def at(self, now_s: float, next_tokens: float = 0.0) -> float:
        """Return the rate in tokens per second, with the time since the last start included.

        Args:
            now_s: Monotonic time in seconds.
            next_tokens: Tokens of the next request, counted as if it started now. Without them the
                rate of a queue without a start so far would be close to 0.
        """
        counted_until_s = now_s if self._counted_until_s is None else self._counted_until_s
        busy_s = self._busy_s + max(0.0, now_s - counted_until_s)
        if busy_s < self._minimum_busy_s:
            return UNMEASURED_RATE_TOKENS_S
        return max(1.0, (self._tokens + next_tokens) / busy_s)

    def _add(self, tokens: float, now_s: float) -> None:
        if self._counted_until_s is None:
            return
        elapsed_s = max(0.0, now_s - self._counted_until_s)
        decay = math.exp(-elapsed_s / RATE_WINDOW_S)
        self._busy_s = self._busy_s * decay + elapsed_s
        self._tokens = self._tokens * decay + tokens
        self._counted_until_s = now_s


class OfferedRate:
    """Exponentially decayed rate of the tokens accepted into a queue."""

    def __init__(self) -> None:
        """Create a rate of 0."""
        self._tokens = 0.0
        self._updated_s = 0.0

    def add(self, tokens: float, now_s: float) -> None:
        """Add the cost of an accepted request."""
        self._tokens = self._tokens * self._decay(now_s) + tokens
        self._updated_s = now_s

    def rate(self, now_s: float) -> float:
        """Return the rate in tokens per second."""
        return self._tokens * self._decay(now_s) / RATE_WINDOW_S

    def _decay(self, now_s: float) -> float:
        return math.exp(-max(0.0, now_s - self._updated_s) / RATE_WINDOW_S)
