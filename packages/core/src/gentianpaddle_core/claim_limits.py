"""Limits of the claim log of a shard."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimLimits:
    """Limits of a shard of the claim log."""

    batch_delay_s: float = 0.02
    """Time in seconds that a claim waits for others to join its batch."""
    max_batch_claims: int = 512
    """Number of claims at which a batch is written without further delay."""
    max_pending: int = 4_096
    """Number of claims and look-ups that may be pending; further ones are refused."""
    max_unsent_settlements: int = 8_192
    """Number of settlements that may wait to be written; further ones are refused."""
    max_wait_s: float = 2.0
    """Time in seconds after which a pending claim or look-up is answered without a result."""
    ring_slots: int = 1_024
    """Number of slots in the ring of batches; must be the same for all writers of a shard."""
    segment_slots: int = 8_192
    """Number of slots in the ring of segments; must be the same for all writers of a shard."""
    retention_s: float = 24 * 3_600 + 600
    """Time in seconds for which a key is kept: a day, and ten minutes for clock differences."""
    max_keys: int = 1_000_000
    """Number of keys of a shard within the retention time at which new claims are refused."""
