"""What an engine says of itself, and orders to it."""

from __future__ import annotations

import dataclasses
import enum

from gentianpaddle_core.serving import expert_layout


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """State of one engine, which is a rank of a group."""

    group: str | None
    """Group of ranks that make all passes together, or None."""
    epoch: int
    """Number of the group's formation; maps and orders do not outlive it."""
    rank: int
    size: int
    """Ranks of the group."""
    group_open: bool
    """Whether the group takes work."""
    running: int
    queued: int
    memory_used: int
    """Tokens in memory that cannot be moved out."""
    memory_total: int
    slowness: float
    """Time of its work relative to a healthy engine."""
    busy: bool
    """Whether an order is in progress."""
    passes: int
    """Number of the last pass that was begun."""
    map_version: int
    prepared_version: int | None
    """Version of the map whose experts are copied and that is not in use yet."""
    armed: tuple[int, int] | None
    """Version and pass at which it switches to that map."""
    held_pass: int | None
    """Pass that the group does not begin until the hold is released."""
    started_ms: int
    """Unix time of its start."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertCounts:
    """How often a rank's requests chose each expert since its start."""

    passes: int
    epoch: int
    counts: tuple[int, ...]
    """Choices by expert, set after set."""


class Operation(enum.Enum):
    """What an order does."""

    PREPARE = "prepare"
    """Copy the experts that a map newly gives to this rank."""
    ARM = "arm"
    """Switch to a prepared map at a pass."""
    DISARM = "disarm"
    """Take an arming back."""
    HOLD = "hold"
    """Keep the group from beginning a pass."""
    GO = "go"
    """Release a hold."""


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to one rank; a rank in another epoch refuses it."""

    operation: Operation
    epoch: int
    version: int | None = None
    at_pass: int | None = None
    layout: expert_layout.Layout | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The order has begun or its state already holds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Declined:
    """The order does not fit the engine's state and never takes effect."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The order may have taken effect or may take effect later."""

    reason: str


OrderResult = Accepted | Declined | Unknown
