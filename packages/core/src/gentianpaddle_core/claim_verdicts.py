"""Answers to claims of non-idempotent calls."""

from __future__ import annotations

import dataclasses
import enum
import typing

from gentianpaddle_core import claim_records, outcomes


class RefusalReason(enum.StrEnum):
    """Why a claim was refused; the call did not run for it."""

    STORE_UNAVAILABLE = "store_unavailable"
    QUEUE_FULL = "claim_queue_full"
    LOG_FULL = "claim_log_full"
    INDEX_FULL = "claim_index_full"
    TIMED_OUT = "claim_timed_out"
    KEY_TOO_LONG = "key_too_long"
    TOO_MANY_ATTEMPTS = "too_many_attempts"


@dataclasses.dataclass(frozen=True, slots=True)
class Won:
    """The claim is in the log before any other of its key."""

    claim: claim_records.Claim
    """The claim, with the attempt to run."""


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """Another claim holds the key and has no outcome yet."""

    claim: claim_records.Claim
    """That claim; its agent can be asked."""


@dataclasses.dataclass(frozen=True, slots=True)
class KnownOutcome:
    """The call has an outcome."""

    claim: claim_records.Claim
    """Claim that led to it."""
    outcome: outcomes.Outcome
    """`Done`, `Unknown`, or for a question also the outcome that released the key."""
    body_omitted: bool
    """True when the answer was too large to keep."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotClaimed:
    """A question found no claim; this is no proof, a claim may be on its way."""


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedNotRun:
    """The claim was refused and its call must not be run."""

    reason: RefusalReason
    """Why."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unresolved:
    """What holds the key cannot be told now; the call must not be run for this claim."""

    message: str
    """Why."""


Verdict: typing.TypeAlias = (
    Won | AlreadyClaimed | KnownOutcome | NotClaimed | RefusedNotRun | Unresolved
)
"""Answer to a claim or question."""


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """The answer comes later from `take_answers`."""

    ticket: int
    """Number of the claim or question."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer to an earlier claim or question."""

    ticket: int
    """Its number."""
    verdict: Verdict
    """The answer."""
