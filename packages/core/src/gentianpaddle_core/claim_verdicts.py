"""Answers to claims and look-ups of non-idempotent calls."""

from __future__ import annotations

import dataclasses
import enum
import typing

from gentianpaddle_core import claim_records, outcomes


class RefusalReason(enum.StrEnum):
    """Reason why a claim was refused; the call is not run for this claim."""

    STORE_UNAVAILABLE = "store_unavailable"
    QUEUE_FULL = "claim_queue_full"
    LOG_FULL = "claim_log_full"
    INDEX_FULL = "claim_index_full"
    TIMED_OUT = "claim_timed_out"
    KEY_TOO_LONG = "key_too_long"
    TOO_MANY_ATTEMPTS = "too_many_attempts"


@dataclasses.dataclass(frozen=True, slots=True)
class Won:
    """The claim took effect in the log and holds its key, so its call may run."""

    claim: claim_records.Claim
    """The claim, with the number of the attempt to run."""


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """Another claim holds the key and has no outcome yet."""

    claim: claim_records.Claim
    """The claim that holds the key; its agent can be asked about the attempt."""


@dataclasses.dataclass(frozen=True, slots=True)
class KnownOutcome:
    """The call has an outcome."""

    claim: claim_records.Claim
    """Claim that was settled with the outcome."""
    outcome: outcomes.Outcome
    """`Done` or `Unknown`; for a look-up also the outcome that released the key."""
    body_omitted: bool
    """Whether the body of the answer was left out because it was too large to keep."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unclaimed:
    """A look-up found no claim.

    This does not prove that there is none: a claim may be in the course of being written.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedNotRun:
    """The claim was refused and its call must not be run."""

    reason: RefusalReason
    """Reason for the refusal."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unresolved:
    """The state of the key cannot be determined now; the call must not be run for this claim."""

    message: str
    """Cause in words."""


Verdict: typing.TypeAlias = (
    Won | AlreadyClaimed | KnownOutcome | Unclaimed | RefusedNotRun | Unresolved
)
"""Answer to a claim or look-up."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """The claim or look-up is pending; `ClaimShard.take_answers` returns its answer later."""

    ticket: int
    """Number that identifies the claim or look-up."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer to a pending claim or look-up."""

    ticket: int
    """Number that `Pending` gave to the claim or look-up."""
    verdict: Verdict
    """Result of the claim or look-up."""
