"""Interface of the claim log to the dispatcher, for claims of non-idempotent calls."""

from __future__ import annotations

import dataclasses
import typing

from gentianpaddle_core import claim_records, claims, ids, outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class Won:
    """The key is claimed for this call, which may be sent."""

    claim: claim_records.Claim
    """The claim, with the attempt number to use."""


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The key already has an outcome."""

    claim: claim_records.Claim
    """Claim of the call that had this outcome."""
    outcome: outcomes.Done | outcomes.Unknown
    """Outcome of that call."""


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """Another claim holds the key and has no outcome yet."""

    claim: claim_records.Claim
    """Claim that holds the key."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimFailed:
    """The claim or look-up failed, so the call must not be sent."""

    code: str
    """Machine-readable reason."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unclaimed:
    """A look-up found no claim that holds the key, and no outcome."""


ClaimResult: typing.TypeAlias = Won | Finished | Held | ClaimFailed
"""Result of a claim."""

LookUpResult: typing.TypeAlias = Finished | Held | Unclaimed | ClaimFailed
"""Result of looking up a key; `ClaimFailed` if the state of the key could not be determined."""


class Claims(typing.Protocol):
    """Protocol of the claim log; its methods are called on the event loop."""

    async def claim(self, claim_request: claims.ClaimRequest) -> ClaimResult:
        """Claim a key for a call.

        Args:
            claim_request: Key and fingerprint of the call, and the agent that is to run it.

        Returns:
            `Won` if the call may be sent, otherwise why it may not.
        """

    async def look_up(self, key: ids.RequestKey) -> LookUpResult:
        """Return the state of a key.

        Args:
            key: Key of the request.

        Returns:
            Its outcome, the claim that holds it, or that no claim is known.
        """

    def queue_outcome(self, claim: claim_records.Claim, outcome: outcomes.Outcome) -> bool:
        """Queue the outcome of a claim to be recorded in the background.

        Args:
            claim: The claim.
            outcome: Outcome of the call. `NotRun` releases the key, so it must be proven.

        Returns:
            False if too many outcomes are waiting to be written; the claim then keeps the key.
        """
