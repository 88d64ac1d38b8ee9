"""State that an engine reports, and orders that change its expert map."""

from __future__ import annotations

import dataclasses
import enum

from gentianpaddle_core.serving import expert_layout


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """Reported state of one engine, which is a rank of a group."""

    group: str | None
    """Group whose ranks run every forward pass in step, or None outside a group."""
    epoch: int
    """Number of times that the group has formed. Maps and orders are valid in one epoch only."""
    rank: int
    rank_count: int
    """Number of ranks in the group."""
    group_accepts_requests: bool
    """Whether the group accepts requests."""
    running: int
    """Number of requests that run."""
    queued: int
    """Number of requests that wait at the engine."""
    memory_used: int
    """Number of tokens in memory that cannot be evicted."""
    memory_total: int
    """Number of tokens that fit into memory."""
    slowdown_factor: float
    """Processing time relative to a healthy engine; 1.0 is healthy, 2.0 takes twice as long."""
    busy: bool
    """Whether an order is in progress."""
    last_pass: int
    """Number of the last pass that has begun."""
    map_version: int
    """Version of the expert map in use."""
    prepared_version: int | None
    """Version of the map whose experts are copied but which is not yet in use."""
    armed_switch: tuple[int, int] | None
    """Version of the prepared map and number of the pass at which the rank switches to it."""
    held_pass: int | None
    """Number of the pass that may not begin until the hold is released."""
    started_ms: int
    """Start of the engine, as Unix time in milliseconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertCounts:
    """Cumulative number of tokens that a rank's requests routed to each expert since its start."""

    passes: int
    epoch: int
    counts: tuple[int, ...]
    """Counts by expert, one expert set after another."""


class Operation(enum.Enum):
    """Operations of an order."""

    PREPARE = "prepare"
    """Copy the experts that a new map adds to this rank."""
    ARM = "arm"
    """Schedule the switch to a prepared map for a given pass."""
    DISARM = "disarm"
    """Cancel a scheduled switch."""
    HOLD = "hold"
    """Keep the group from beginning a given pass."""
    RELEASE = "go"
    """Release a hold."""


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Order to one rank. A rank in another epoch declines it."""

    operation: Operation
    epoch: int
    version: int | None = None
    at_pass: int | None = None
    layout: expert_layout.Layout | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The order has begun, or the engine is already in the requested state."""


@dataclasses.dataclass(frozen=True, slots=True)
class Declined:
    """The order conflicts with the engine's state and will never take effect."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The order may have taken effect or may still do so."""

    reason: str


OrderResult = Accepted | Declined | Unknown
