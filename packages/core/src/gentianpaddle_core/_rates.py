"""Measured rates of the admission queue."""

from __future__ import annotations

import math

RATE_WINDOW_S = 5.0
"""Time constant of the measured service rate."""
FREE_RATE_TOKENS_S = 1e9
"""Rate assumed before anything has had to wait."""


class ServiceRate:
    """Tokens started per second while requests wait."""

    def __init__(self, shortest_s: float) -> None:
        """Start without observations.

        Args:
            shortest_s: Time with waiting requests before the rate counts as known.
        """
        self._shortest_s = shortest_s
        self._tokens = 0.0
        self._busy_s = 0.0
        self._began_s = 0.0
        self._since_s: float | None = None

    def begin(self, now_s: float) -> None:
        """Note that requests wait from now on."""
        if self._since_s is None:
            self._began_s = self._since_s = now_s

    def end(self, now_s: float) -> None:
        """Note that nothing waits any more."""
        self._add(0.0, now_s)
        self._since_s = None

    def started(self, tokens: float, now_s: float) -> None:
        """Count a waiting request that starts."""
        # What starts without waiting says nothing about the rate while requests wait.
        if now_s > self._began_s:
            self._add(tokens, now_s)

    def at(self, now_s: float, next_tokens: float = 0.0) -> float:
        """Tokens per second, the time since the last start included.

        Args:
            now_s: Monotonic time in seconds.
            next_tokens: Tokens of the next request, counted as if it started now. Without them a
                queue that began to wait a moment ago would look as if it stood still for ever.
        """
        since_s = now_s if self._since_s is None else self._since_s
        busy_s = self._busy_s + max(0.0, now_s - since_s)
        if busy_s < self._shortest_s:
            return FREE_RATE_TOKENS_S
        return max(1.0, (self._tokens + next_tokens) / busy_s)

    def _add(self, tokens: float, now_s: float) -> None:
        if self._since_s is None:
            return
        passed_s = max(0.0, now_s - self._since_s)
        keep = math.exp(-passed_s / RATE_WINDOW_S)
        self._busy_s = self._busy_s * keep + passed_s
        self._tokens = self._tokens * keep + tokens
        self._since_s = now_s


class OfferedRate:
    """Decayed rate of accepted tokens."""

    def __init__(self) -> None:
        """Start at 0."""
        self._tokens = 0.0
        self._updated_s = 0.0

    def add(self, tokens: float, now_s: float) -> None:
        """Count an accepted request."""
        self._tokens = self._tokens * self._keep(now_s) + tokens
        self._updated_s = now_s

    def rate(self, now_s: float) -> float:
        """Tokens per second."""
        return self._tokens * self._keep(now_s) / RATE_WINDOW_S

    def _keep(self, now_s: float) -> float:
        return math.exp(-max(0.0, now_s - self._updated_s) / RATE_WINDOW_S)
