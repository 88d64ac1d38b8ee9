"""Retry budget, deadline rule and hedging rule.

Retries multiply load exactly when capacity is missing, so their number is bounded by a budget that
first attempts earn.
"""

from __future__ import annotations

import dataclasses
import enum

EARNED_PER_FIRST_ATTEMPT = 0.1
"""Budget earned by a first attempt, so retries add at most a tenth in the long run."""
BUDGET_LIMIT = 20.0
"""Largest budget, so a quiet hour does not pay for a storm of retries."""
FREE_DECLINES_LIMIT = 3
"""Declines of one request that cost no budget. A decline costs a message and no engine time."""
LATER_S = 0.1
"""Time after which a request asks again for a spent budget. Giving up at once would lose requests
that a later retry still answers before their deadline, without adding more load."""
HEDGE_FACTOR = 2.0
"""A hedge waits for this multiple of the predicted first-token time."""
HEDGE_MINIMUM_S = 0.05
"""Shortest wait before a hedge; below it the answer is usually on its way."""


class Ending(enum.StrEnum):
    """How an attempt ended without an answer."""

    DECLINED = "declined"
    """The agent proved that it did not run."""
    NOT_RUN = "not_run"
    """Proven not run otherwise: never sent, or revoked before it started."""
    FAILED = "failed"
    """It may have run."""


class Reason(enum.StrEnum):
    """Why there is no further attempt."""

    DEADLINE = "deadline"
    """An answer would come after the deadline."""
    MAY_HAVE_RUN = "may_have_run"
    """The request is not idempotent and may have run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Make another attempt now."""

    free: bool
    """True when it cost no budget."""


@dataclasses.dataclass(frozen=True, slots=True)
class Later:
    """The budget is spent; ask again with the same arguments."""

    look_again_s: float
    """Time to ask again."""


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Make no further attempt."""

    reason: Reason
    """Why."""


@dataclasses.dataclass(frozen=True, slots=True)
class Hedge:
    """Send a second attempt elsewhere now."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoHedge:
    """Go on with one attempt."""

    look_again_s: float | None
    """Time to ask again, None when a hedge cannot help this request any more."""


class RetryBudget:
    """Token bucket of one entry."""

    def __init__(self) -> None:
        """Create a full bucket; use `new_retry_budget`."""
        self._budget = BUDGET_LIMIT

    @property
    def budget(self) -> float:
        """Retries and hedges that could be spent now."""
        return self._budget

    def first_attempt(self) -> None:
        """Earn for a first attempt."""
        self._budget = min(BUDGET_LIMIT, self._budget + EARNED_PER_FIRST_ATTEMPT)

    def after(
        self,
        ending: Ending,
        *,
        idempotent: bool,
        declines: int,
        deadline_s: float,
        expected_s: float,
        now_s: float,
    ) -> Retry | Later | GiveUp:
        """Decide after an attempt ended without an answer; spends when it allows a retry.

        Args:
            ending: How it ended.
            idempotent: Whether the request may run more than once.
            declines: Declines of this request so far, this one included.
            deadline_s: Monotonic time after which an answer is worthless.
            expected_s: Predicted time to first token of another attempt.
            now_s: Monotonic time.

        Returns:
            Whether to make another attempt now, later or not at all.
        """
        if ending is Ending.FAILED and not idempotent:
            return GiveUp(Reason.MAY_HAVE_RUN)
        if now_s + expected_s > deadline_s:
            return GiveUp(Reason.DEADLINE)
        if ending is Ending.DECLINED and declines <= FREE_DECLINES_LIMIT:
            return Retry(free=True)
        return Retry(free=False) if self._spend() else Later(now_s + LATER_S)

    def hedge(
        self,
        *,
        idempotent: bool,
        sent_s: float,
        predicted_s: float,
        alternative_s: float,
        target_at_s: float,
        deadline_s: float,
        now_s: float,
    ) -> Hedge | NoHedge:
        """Decide whether an attempt without a first token gets a second one beside it.

        A hedge is worth its load only when the first attempt is well past its prediction and the
        second one is expected to meet the target.

        Args:
            idempotent: Whether the request may run more than once.
            sent_s: Time at which the first attempt was sent.
            predicted_s: First-token time that was predicted for it.
            alternative_s: First-token time predicted for the second attempt, from now.
            target_at_s: Time by which the first token is due.
            deadline_s: Time after which an answer is worthless.
            now_s: Monotonic time.

        Returns:
            Whether to send a second attempt; spends when it does.
        """
        if not idempotent or now_s + alternative_s > min(target_at_s, deadline_s):
            return NoHedge(None)
        tail_s = sent_s + max(HEDGE_MINIMUM_S, HEDGE_FACTOR * predicted_s)
        if now_s < tail_s:
            return NoHedge(tail_s)
        return Hedge() if self._spend() else NoHedge(None)

    def _spend(self) -> bool:
        if self._budget < 1.0:
            return False
        self._budget -= 1.0
        return True


def new_retry_budget() -> RetryBudget:
    """Create a full budget."""
    return RetryBudget()
