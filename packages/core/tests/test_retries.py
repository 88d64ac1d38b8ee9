"""Guards against retry storms, repeated runs of non-idempotent requests and work past deadlines."""

from __future__ import annotations

import pytest

from gentianpaddle_core import retries

DECLINED, NOT_RUN, FAILED = (
    retries.FailedAttemptKind.DECLINED,
    retries.FailedAttemptKind.NOT_RUN,
    retries.FailedAttemptKind.FAILED,
)


@pytest.mark.parametrize(
    ("ending", "idempotent", "declines", "expected_s", "spent", "result"),
    [
        (DECLINED, False, 1, 1.0, 0, retries.Retry(free=True)),
        (DECLINED, False, 4, 1.0, 0, retries.Retry(free=False)),
        (DECLINED, False, 4, 1.0, 20, retries.RetryLater(retries.SPENT_BUDGET_WAIT_S)),
        (FAILED, True, 0, 11.0, 20, retries.GiveUp(retries.Reason.DEADLINE)),
        (DECLINED, True, 1, 11.0, 0, retries.GiveUp(retries.Reason.DEADLINE)),
        (NOT_RUN, False, 0, 1.0, 0, retries.Retry(free=False)),
        (FAILED, False, 0, 1.0, 0, retries.GiveUp(retries.Reason.MAY_HAVE_RUN)),
        (FAILED, True, 0, 1.0, 19, retries.Retry(free=False)),
        (FAILED, True, 0, 1.0, 20, retries.RetryLater(retries.SPENT_BUDGET_WAIT_S)),
    ],
)
def test_decision_after_an_attempt_without_an_answer(
    ending: retries.FailedAttemptKind,
    idempotent: bool,
    declines: int,
    expected_s: float,
    spent: int,
    result: retries.Retry | retries.RetryLater | retries.GiveUp,
):
    budget = retries.new_retry_budget()
    for _ in range(spent):
        budget.decide_retry(
            FAILED, idempotent=True, declines=0, deadline_s=10.0, expected_s=0.0, now_s=0.0
        )
    decided = budget.decide_retry(
        ending,
        idempotent=idempotent,
        declines=declines,
        deadline_s=10.0,
        expected_s=expected_s,
        now_s=0.0,
    )
    assert decided == result


def test_retries_stay_within_a_tenth_of_first_attempts():
    budget, retried = retries.new_retry_budget(), 0
    for _ in range(10_000):
        budget.add_first_attempt()
        for _ in range(3):
            decided = budget.decide_retry(
                FAILED, idempotent=True, declines=0, deadline_s=1.0, expected_s=0.0, now_s=0.0
            )
            retried += isinstance(decided, retries.Retry)
    assert 900 <= retried <= 1_000 + retries.BUDGET_LIMIT


@pytest.mark.parametrize(
    ("idempotent", "now_s", "hedge_first_token_s", "result"),
    [
        (True, 0.3, 0.2, retries.NoHedge(0.4)),
        (True, 0.5, 0.2, retries.Hedge()),
        (True, 0.5, 1.5, retries.NoHedge(None)),
        (False, 0.5, 0.2, retries.NoHedge(None)),
    ],
)
def test_hedge_is_sent_only_late_and_when_it_can_meet_the_target(
    idempotent: bool,
    now_s: float,
    hedge_first_token_s: float,
    result: retries.Hedge | retries.NoHedge,
):
    decided = retries.new_retry_budget().hedge(
        idempotent=idempotent,
        sent_s=0.0,
        predicted_s=0.2,
        hedge_first_token_s=hedge_first_token_s,
        first_token_due_s=1.8,
        deadline_s=20.0,
        now_s=now_s,
    )
    assert decided == result
