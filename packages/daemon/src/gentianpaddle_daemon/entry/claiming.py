"""Claims of non-idempotent calls, as the dispatcher uses them."""

from __future__ import annotations

import dataclasses
import typing

from gentianpaddle_core import ids, outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """What an entry claims before it sends a non-idempotent call."""

    key: ids.RequestKey
    """Key of the request."""
    fingerprint: ids.Fingerprint
    """Digest of the request; a key must not be used for another request."""
    attempt: ids.Attempt
    """Attempt that may run."""
    agent: ids.VmId
    """Agent that may run it."""
    incarnation: ids.Incarnation
    """Incarnation of that agent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Won:
    """The claim is held; the call may be sent."""

    attempt: ids.Attempt
    """Attempt number to use; above those of earlier claims that were released."""


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The key has an outcome."""

    fingerprint: ids.Fingerprint
    """Digest of the request that ran."""
    outcome: outcomes.Done
    """Its outcome."""


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """Another claim holds the key and has no outcome yet."""

    claim: ClaimRequest
    """That claim."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotClaimed:
    """The claim did not take effect and will not."""

    message: str
    """What went wrong."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unsettled:
    """It cannot be told now whether the claim took effect; the call must not be sent."""

    message: str
    """What went wrong."""


@dataclasses.dataclass(frozen=True, slots=True)
class Free:
    """Nobody holds the key."""


ClaimResult: typing.TypeAlias = Won | Finished | Held | NotClaimed | Unsettled
"""Result of a claim."""

LookUpResult: typing.TypeAlias = Finished | Held | Free | NotClaimed
"""Result of asking by key; `NotClaimed` when the object API does not answer."""


class Claims(typing.Protocol):
    """The claim log as the dispatcher sees it; called on the event loop."""

    async def claim(self, wanted: ClaimRequest) -> ClaimResult:
        """Claim a key.

        Args:
            wanted: The claim.

        Returns:
            Whether the call may be sent, or what holds the key.
        """

    async def finish(self, claim: ClaimRequest, outcome: outcomes.Done) -> bool:
        """Record the outcome of a claimed call.

        Args:
            claim: The claim that was won.
            outcome: Its outcome.

        Returns:
            Whether it is recorded.
        """

    async def release(self, claim: ClaimRequest) -> bool:
        """Give a claim up whose call provably did not run.

        Args:
            claim: The claim that was won.

        Returns:
            Whether it is released.
        """

    async def look_up(self, key: ids.RequestKey) -> LookUpResult:
        """Return what is known about a key.

        Args:
            key: Key of the request.

        Returns:
            The outcome, the claim that holds it, or that it is free.
        """
