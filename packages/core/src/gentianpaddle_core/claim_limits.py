"""Bounds of the claim log of a shard."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimLimits:
    """Bounds of a shard."""

    batch_s: float = 0.02
    """Time a claim waits for others before its batch is written."""
    batch_claims: int = 512
    """Claims that close a batch at once."""
    waiting: int = 4_096
    """Claims and questions that may wait."""
    settlements: int = 8_192
    """Settlements that may wait."""
    wait_s: float = 2.0
    """Longest wait of a claim."""
    ring_slots: int = 1_024
    """Slots of the ring of batches; the same for all writers of a shard."""
    segment_slots: int = 8_192
    """Slots of the ring of segments; the same for all writers of a shard."""
    retention_s: float = 24 * 3_600 + 600
    """Time for which a key is kept; ten minutes above a day allow for clock differences."""
    keys: int = 1_000_000
    """Keys of a shard within the retention above which new claims are refused."""
