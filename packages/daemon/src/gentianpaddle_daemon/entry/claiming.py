"""Claims of non-idempotent calls, as the dispatcher uses them."""

from __future__ import annotations

import dataclasses
import typing

from gentianpaddle_core import claim_records, claims, ids, outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class Won:
    """The claim is held; the call may be sent."""

    claim: claim_records.Claim
    """The claim, with the attempt number to use."""


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The key has an outcome."""

    claim: claim_records.Claim
    """Claim that led to it."""
    outcome: outcomes.Done | outcomes.Unknown
    """Its outcome."""


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """Another claim holds the key and has no outcome yet."""

    claim: claim_records.Claim
    """That claim."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotClaimed:
    """There is no claim to send a call for."""

    code: str
    """Machine-readable reason."""


@dataclasses.dataclass(frozen=True, slots=True)
class Free:
    """Nobody is known to hold the key."""


ClaimResult: typing.TypeAlias = Won | Finished | Held | NotClaimed
"""Result of a claim."""

LookUpResult: typing.TypeAlias = Finished | Held | Free | NotClaimed
"""Result of asking by key; `NotClaimed` when the log cannot be read."""


class Claims(typing.Protocol):
    """The claim log as the dispatcher sees it; called on the event loop."""

    async def claim(self, wanted: claims.ClaimRequest) -> ClaimResult:
        """Claim a key.

        Args:
            wanted: What is to run and where.

        Returns:
            Whether the call may be sent, or what holds the key.
        """

    async def look_up(self, key: ids.RequestKey) -> LookUpResult:
        """Return what is known about a key.

        Args:
            key: Key of the request.

        Returns:
            The outcome, the claim that holds it, or that it is free.
        """

    def settle(self, claim: claim_records.Claim, outcome: outcomes.Outcome) -> bool:
        """Record what became of a claim, in the background.

        Args:
            claim: The claim.
            outcome: Its outcome; `NotRun` releases the key and needs proof.

        Returns:
            False when too many records wait to be written.
        """
