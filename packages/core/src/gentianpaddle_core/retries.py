"""Retry budget and the rules for retries and hedged requests.

Retries multiply the load exactly when capacity is short. Their number is therefore bounded by a
budget to which each first attempt adds.
"""

from __future__ import annotations

import dataclasses
import enum

EARNED_PER_FIRST_ATTEMPT = 0.1
"""Budget added by each first attempt, so retries add at most a tenth of load in the long run."""
BUDGET_LIMIT = 20.0
"""Largest budget, so that a period without retries cannot fund a retry storm."""
FREE_DECLINES_LIMIT = 3
"""Declines of one request that are retried without budget, because a decline takes a message but
no engine time."""
SPENT_BUDGET_WAIT_S = 0.1
"""Time, in seconds, after which a retry is decided again when the budget is spent. Giving up at
once would lose requests that a later retry still answers before their deadline, and would not
save load."""
HEDGE_FACTOR = 2.0
"""A hedge is sent after this multiple of the predicted time to first token."""
HEDGE_MINIMUM_S = 0.05
"""Shortest wait before a hedge, in seconds; before that the first token is usually in transit."""


class FailedAttemptKind(enum.StrEnum):
    """How an attempt ended without an answer."""

    DECLINED = "declined"
    """The agent declined the attempt, which proves that it did not run."""
    NOT_RUN = "not_run"
    """The attempt provably did not run: it was never sent, or revoked before it started."""
    FAILED = "failed"
    """The attempt may have run."""


class Reason(enum.StrEnum):
    """Reason for making no further attempt."""

    DEADLINE = "deadline"
    """An answer is expected only after the deadline."""
    MAY_HAVE_RUN = "may_have_run"
    """The request is not idempotent and may have run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Decision to make another attempt now."""

    free: bool
    """Whether the attempt was allowed without budget."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLater:
    """Decision to wait because the budget is spent; call again with the same arguments."""

    retry_at_s: float
    """Monotonic time at which to call again."""


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Decision to make no further attempt."""

    reason: Reason
    """Reason for giving up."""


@dataclasses.dataclass(frozen=True, slots=True)
class Hedge:
    """Decision to send a second attempt to another server now."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoHedge:
    """Decision not to send a second attempt now."""

    retry_at_s: float | None
    """Monotonic time at which to call again, None if no hedge will be sent for this request."""


class RetryBudget:
    """Token bucket that limits the retries and hedges of one entry."""

    def __init__(self) -> None:
        """Create a full bucket; use `new_retry_budget`."""
        self._budget = BUDGET_LIMIT

    @property
    def budget(self) -> float:
        """Number of retries and hedges that the bucket allows now, possibly fractional."""
        return self._budget

    def add_first_attempt(self) -> None:
        """Add to the budget for a first attempt."""
        self._budget = min(BUDGET_LIMIT, self._budget + EARNED_PER_FIRST_ATTEMPT)

    def decide_retry(
        self,
        ending: FailedAttemptKind,
        *,
        idempotent: bool,
        declines: int,
        deadline_s: float,
        expected_s: float,
        now_s: float,
    ) -> Retry | RetryLater | GiveUp:
        """Decide whether to retry after an attempt that ended without an answer.

        A retry that is not free takes 1 from the budget.

        Args:
            ending: How the attempt ended.
            idempotent: Whether the request may run more than once.
            declines: Number of declines of this request so far, this one included.
            deadline_s: Monotonic time after which an answer is of no use to the caller.
            expected_s: Predicted time to first token of another attempt, in seconds.
            now_s: Monotonic time.

        Returns:
            Whether to make another attempt now, later or not at all.
        """
        if ending is FailedAttemptKind.FAILED and not idempotent:
            return GiveUp(Reason.MAY_HAVE_RUN)
        if now_s + expected_s > deadline_s:
            return GiveUp(Reason.DEADLINE)
        if ending is FailedAttemptKind.DECLINED and declines <= FREE_DECLINES_LIMIT:
            return Retry(free=True)
        return Retry(free=False) if self._spend() else RetryLater(now_s + SPENT_BUDGET_WAIT_S)

    def hedge(
        self,
        *,
        idempotent: bool,
        sent_s: float,
        predicted_s: float,
        hedge_first_token_s: float,
        first_token_due_s: float,
        deadline_s: float,
        now_s: float,
    ) -> Hedge | NoHedge:
        """Decide whether to hedge an attempt that has not produced its first token yet.

        A hedge justifies its load only when the first attempt is well past its prediction and the
        second one is expected to meet the target. A hedge takes 1 from the budget.

        Args:
            idempotent: Whether the request may run more than once.
            sent_s: Monotonic time at which the first attempt was sent.
            predicted_s: Time to first token that was predicted for it, in seconds.
            hedge_first_token_s: Predicted time to first token of the second attempt, from now.
            first_token_due_s: Monotonic time by which the first token is due.
            deadline_s: Monotonic time after which an answer is of no use to the caller.
            now_s: Monotonic time.

        Returns:
            Whether to send a second attempt, and if not, when to decide again.
        """
        if not idempotent or now_s + hedge_first_token_s > min(first_token_due_s, deadline_s):
            return NoHedge(None)
        hedge_at_s = sent_s + max(HEDGE_MINIMUM_S, HEDGE_FACTOR * predicted_s)
        if now_s < hedge_at_s:
            return NoHedge(hedge_at_s)
        return Hedge() if self._spend() else NoHedge(None)

    def _spend(self) -> bool:
        if self._budget < 1.0:
            return False
        self._budget -= 1.0
        return True


def new_retry_budget() -> RetryBudget:
    """Create a full budget."""
    return RetryBudget()
