"""Retry decisions after an attempt at a backend server has ended.

A request that may run at most once is retried only if it is proven that it did not run. The caller
is told that a request has not run only with that proof.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

from gentianpaddle_core.serving import routes

MIN_RETRY_TIME_S = 0.03
"""Minimum time left for a retry: time to connect, to process a short request and to answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request provably did not run.

    The server said so, no connection was made, or no time was left to send the request.
    """

    reason: str
    misdirected: bool = False
    """Whether another server now uses the address."""
    arrived: bool = True
    """Whether the request may have arrived at the server. Only then does a retry add load and draw
    on the shared budget."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServerFailure:
    """The server ran the request and answered with an error status."""

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The request was sent, but no complete answer arrived; it may have run."""

    reason: str
    silent: bool = False
    """Whether the attempt was given up because the server said nothing."""
    closed_by_server: bool = False
    """Whether the server closed or reset the connection."""
    out_of_time: bool = False
    """Whether this process ended the attempt because its caller was about to leave, or because the
    process stops. It tells nothing about the server, and there is no time for another one."""


class AnswerStage(enum.Enum):
    """How much of the answer of one attempt has arrived."""

    NOTHING = "nothing"
    HEAD = "head"
    """Status and headers, but no event of a stream."""
    BEGUN = "begun"
    """An event of a stream, or a complete response of another request."""


AttemptResult = NotRun | ServerFailure | Lost


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Retry the request at another server."""


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardError:
    """Forward the server's error answer to the caller unchanged."""


@dataclasses.dataclass(frozen=True, slots=True)
class RejectNotRun:
    """Reject the request and tell the caller that it has not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class FailRequest:
    """Answer with an error status: the outcome is unknown or the answer was unusable."""

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class WaitForBudget:
    """Ask again after `BUDGET_POLL_INTERVAL_S`: the shared retry budget is exhausted for now."""


NextStep = Retry | ForwardError | RejectNotRun | FailRequest | WaitForBudget

BUDGET_POLL_INTERVAL_S = 0.25
"""Pause before the retry budget is asked again. The request has not run and can still be served;
rejecting it would only make the caller retry at the same servers."""


@dataclasses.dataclass(slots=True)
class AttemptHistory:
    """Counts of the finished attempts of one request."""

    runs: int = 0
    """Number of attempts that ran or may have run."""
    total_attempts: int = 0
    """Number of all attempts, also those for which no connection was made or no time was left to
    send the request."""

    def add(self, result: AttemptResult) -> None:
        """Count a finished attempt.

        Args:
            result: Result of the attempt.
        """
        self.total_attempts += 1
        if not isinstance(result, NotRun):
            self.runs += 1


MAX_TOTAL_ATTEMPTS = 4
"""Maximum number of attempts of one request, including those that provably did not run; more would
only add load to full servers. `Route.max_attempts` limits only attempts that ran or may have
run."""


def may_repeat(route: routes.Route, history: AttemptHistory) -> bool:
    """Return whether a request that is at a server may be sent to another one as well.

    Args:
        route: Route of the request.
        history: Finished attempts of the request, without the present one.
    """
    return (
        route.repeatable
        and history.runs + 1 < route.max_attempts
        and history.total_attempts + 1 < MAX_TOTAL_ATTEMPTS
    )


def may_move(
    route: routes.Route, history: AttemptHistory, remaining_s: float, usual_answer_s: float
) -> bool:
    """Return whether a request at a silent server may be sent to another one instead.

    Args:
        route: Route of the request.
        history: Finished attempts of the request, without the present one.
        remaining_s: Time left for the request, in seconds.
        usual_answer_s: Usual time to the first event or to a plain answer, in seconds.
    """
    return may_repeat(route, history) and remaining_s > max(MIN_RETRY_TIME_S, usual_answer_s)


def next_step(
    route: routes.Route,
    history: AttemptHistory,
    result: AttemptResult,
    remaining_s: float,
    resumable: bool,
    budget: typing.Callable[[], bool],
) -> NextStep:
    """Decide what to do after an attempt.

    Args:
        route: Route of the request.
        history: Attempts of the request, including this one.
        result: Result of this attempt.
        remaining_s: Time left for the request, in seconds.
        resumable: Whether another server can continue after what the caller has received.
        budget: Takes one retry from the shared budget and returns whether it was granted; called
            only if every other condition allows a retry and the request may have arrived.

    Returns:
        The next step.
    """
    if isinstance(result, Lost) and result.out_of_time:
        return FailRequest(502)
    may_have_run = history.runs > 0
    may_retry = not may_have_run or (
        route.repeatable and resumable and history.runs < route.max_attempts
    )
    within_limits = remaining_s > MIN_RETRY_TIME_S and history.total_attempts < MAX_TOTAL_ATTEMPTS
    needs_budget = not isinstance(result, NotRun) or result.arrived
    if may_retry and within_limits and (not needs_budget or budget()):
        return Retry()
    if not may_have_run:
        return (
            WaitForBudget()
            if within_limits and remaining_s > 2.0 * BUDGET_POLL_INTERVAL_S
            else RejectNotRun()
        )
    if isinstance(result, ServerFailure):
        return ForwardError()
    return FailRequest(504 if remaining_s <= MIN_RETRY_TIME_S else 502)
