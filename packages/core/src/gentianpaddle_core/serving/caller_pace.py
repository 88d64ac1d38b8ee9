"""Decides whether a caller reads its responses too slowly.

Load pattern: callers send many requests on one connection and do not read the responses, or read a
few bytes now and then. Each of them holds a full write buffer and often a place at a server.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class ReadPace:
    """What one caller has read since bytes for it began to wait."""

    waiting_since_s: float | None = None
    """Monotonic time in seconds at which the window began; None if no bytes wait for the caller."""
    read_bytes: int = 0
    """Number of bytes that it had read by then."""

    def is_too_slow(
        self, unsent: bool, read_bytes: int, now_s: float, window_s: float, min_bytes_per_s: float
    ) -> bool:
        """Return whether the caller has read too little in the window that ends now.

        The window begins anew whenever it has read enough or no bytes wait for it.

        Args:
            unsent: Whether bytes wait for the caller to read.
            read_bytes: Number of bytes that it has read since it connected.
            now_s: Monotonic time in seconds.
            window_s: Length of the window in seconds.
            min_bytes_per_s: Mean number of bytes per second that it has to read in the window.
        """
        if not unsent:
            self.waiting_since_s = None
            return False
        if self.waiting_since_s is None:
            self.waiting_since_s, self.read_bytes = now_s, read_bytes
            return False
        elapsed_s = now_s - self.waiting_since_s
        if elapsed_s < window_s:
            return False
        if read_bytes - self.read_bytes < min_bytes_per_s * elapsed_s:
            return True
        self.waiting_since_s, self.read_bytes = now_s, read_bytes
        return False
