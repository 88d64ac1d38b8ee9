"""Addresses of entries that callers get, and the states of an entry while it leaves.

Callers cache the addresses for the time to live, so an entry that leaves goes on serving for that
time after it has disappeared from the answers.
"""

from __future__ import annotations

import dataclasses
import enum
import random

from gentianpaddle_core import ids, membership, settings

ADDRESSES = 3
"""Largest number of addresses in an answer."""
TIME_TO_LIVE_S = 20.0
"""Time for which a caller may keep the addresses."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An entry that could be given to callers."""

    vm: ids.VmId
    """Name of the VM."""
    data_centre: ids.DataCentreId
    """Its data centre."""
    address: settings.Address
    """Address for callers."""
    state: membership.State
    """State as the answering entry knows it."""
    out: bool = False
    """Whether operators took the VM or its data centre out of service."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryList:
    """Answer to a caller."""

    addresses: tuple[settings.Address, ...]
    """Addresses in order of preference."""
    time_to_live_s: float
    """Time for which the caller may keep them, in seconds."""


def choose(
    candidates: tuple[Candidate, ...], hint: ids.DataCentreId | None, rng: random.Random
) -> EntryList:
    """Choose the addresses for a caller.

    Entries that are alive and in service come first, in the order: data centre of the hint, other
    data centres. Within each the order is random, so that callers divide evenly. Other entries
    are given only while there is none in service: first suspected, then leaving, then out.

    Args:
        candidates: All known entries.
        hint: Data centre that the caller named, if any.
        rng: Source of randomness.

    Returns:
        Up to 3 addresses; none when every entry is dead.
    """
    usable = [item for item in candidates if item.state is not membership.State.DEAD]
    if not usable:
        return EntryList((), TIME_TO_LIVE_S)
    best = min(map(_rank, usable))
    chosen = [item for item in usable if _rank(item) == best]
    rng.shuffle(chosen)
    chosen.sort(key=lambda item: item.data_centre != hint)
    first = chosen[:ADDRESSES]
    # One address elsewhere lets a caller survive the loss of its data centre.
    elsewhere = [item for item in chosen if item.data_centre != first[0].data_centre]
    if elsewhere and all(item.data_centre == first[0].data_centre for item in first):
        first = [*first[: ADDRESSES - 1], elsewhere[0]]
    return EntryList(tuple(item.address for item in first), TIME_TO_LIVE_S)


def _rank(candidate: Candidate) -> int:
    if candidate.out:
        return 3
    if candidate.state is membership.State.LEAVING:
        return 2
    return 0 if candidate.state is membership.State.ALIVE else 1


class LeavingPhase(enum.StrEnum):
    """Phase of an entry."""

    SERVING = "serving"
    DRAINING = "draining"
    """No longer in answers; still serves callers that have its address."""
    REFUSING = "refusing"
    """Answers new requests with `NotRun` and other addresses; finishes those in progress."""
    STOPPED = "stopped"


class Leaving:
    """Phases of an entry on its way out."""

    def __init__(self) -> None:
        """Start serving; use `new_leaving`."""
        self._started_s: float | None = None

    def start(self, now_s: float) -> None:
        """Begin to leave; a repeated call changes nothing.

        Args:
            now_s: Monotonic time in seconds.
        """
        if self._started_s is None:
            self._started_s = now_s

    def phase(self, now_s: float, in_progress: int) -> LeavingPhase:
        """Tell the phase.

        Args:
            now_s: Monotonic time in seconds.
            in_progress: Requests in progress.

        Returns:
            The phase; `STOPPED` only after the time to live and with nothing in progress.
        """
        if self._started_s is None:
            return LeavingPhase.SERVING
        if now_s - self._started_s < TIME_TO_LIVE_S:
            return LeavingPhase.DRAINING
        return LeavingPhase.REFUSING if in_progress else LeavingPhase.STOPPED


def new_leaving() -> Leaving:
    """Create the phases of an entry that has just started.

    Returns:
        Phases, at first `SERVING`.
    """
    return Leaving()
