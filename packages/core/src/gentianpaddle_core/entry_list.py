"""Entry addresses for callers, and the phases of a graceful shutdown of an entry.

Callers cache the addresses for the time to live. A leaving entry therefore continues to serve for
that time after it has been removed from the responses.
"""

from __future__ import annotations

import dataclasses
import enum
import random

from gentianpaddle_core import ids, membership, settings

ADDRESS_LIMIT = 3
"""Maximum number of addresses in a response."""
TIME_TO_LIVE_S = 20.0
"""Time for which a caller may cache the addresses."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Entry that may be offered to callers."""

    vm: ids.VmId
    """Name of the VM."""
    data_centre: ids.DataCentreId
    """Data centre of the VM."""
    address: settings.Address
    """Address for callers."""
    state: membership.State
    """State known to the responding entry."""
    out_of_service: bool = False
    """Whether operators have taken the VM or its data centre out of service."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryList:
    """Response to a caller."""

    addresses: tuple[settings.Address, ...]
    """Addresses in order of preference."""
    time_to_live_s: float
    """Time for which the caller may cache the addresses, in seconds."""


def select_addresses(
    candidates: tuple[Candidate, ...], hint: ids.DataCentreId | None, rng: random.Random
) -> EntryList:
    """Select the addresses for a caller.

    Only the best available group of entries is offered: alive and in service, else suspected or
    paused, else leaving, else out of service. Entries in the data centre of the hint come first.
    Otherwise the order is random, so that callers are distributed evenly.

    Args:
        candidates: All known entries.
        hint: Data centre that the caller prefers, None for no preference.
        rng: Source of randomness.

    Returns:
        Up to `ADDRESS_LIMIT` addresses; none when every entry is dead.
    """
    usable = [item for item in candidates if item.state is not membership.State.DEAD]
    if not usable:
        return EntryList((), TIME_TO_LIVE_S)
    best_preference = min(map(_preference, usable))
    preferred = [item for item in usable if _preference(item) == best_preference]
    rng.shuffle(preferred)
    preferred.sort(key=lambda item: item.data_centre != hint)
    selected = preferred[:ADDRESS_LIMIT]
    # One address in another data centre lets a caller survive the loss of its own.
    other_data_centres = [item for item in preferred if item.data_centre != selected[0].data_centre]
    if other_data_centres and all(item.data_centre == selected[0].data_centre for item in selected):
        selected = [*selected[: ADDRESS_LIMIT - 1], other_data_centres[0]]
    return EntryList(tuple(item.address for item in selected), TIME_TO_LIVE_S)


def _preference(candidate: Candidate) -> int:
    if candidate.out_of_service:
        return 3
    if candidate.state is membership.State.LEAVING:
        return 2
    return 0 if candidate.state is membership.State.ALIVE else 1


class ShutdownPhase(enum.StrEnum):
    """Phase of an entry before and during a graceful shutdown."""

    SERVING = "serving"
    DRAINING = "draining"
    """No longer offered to callers; still serves callers that have cached the address."""
    REFUSING = "refusing"
    """Rejects new requests with `NotRun` and other addresses; finishes those in progress."""
    STOPPED = "stopped"


class EntryShutdown:
    """Tracks the graceful shutdown of an entry."""

    def __init__(self) -> None:
        """Create a tracker in phase `SERVING`; use `new_entry_shutdown`."""
        self._started_s: float | None = None

    def start(self, now_s: float) -> None:
        """Start the shutdown; a repeated call has no effect.

        Args:
            now_s: Monotonic time in seconds.
        """
        if self._started_s is None:
            self._started_s = now_s

    def phase(self, now_s: float, in_progress: int) -> ShutdownPhase:
        """Return the current phase.

        Args:
            now_s: Monotonic time in seconds.
            in_progress: Number of requests in progress.

        Returns:
            The phase; `STOPPED` only after the time to live and with no request in progress.
        """
        if self._started_s is None:
            return ShutdownPhase.SERVING
        if now_s - self._started_s < TIME_TO_LIVE_S:
            return ShutdownPhase.DRAINING
        return ShutdownPhase.REFUSING if in_progress else ShutdownPhase.STOPPED


def new_entry_shutdown() -> EntryShutdown:
    """Create the shutdown tracker of an entry that has just started.

    Returns:
        A tracker in phase `SERVING`.
    """
    return EntryShutdown()
