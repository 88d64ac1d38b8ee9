"""Token times of one answer, and the recording of finished requests."""

from __future__ import annotations

import dataclasses
import logging
import time

from gentianpaddle_core import day_figures, day_recorder, histograms, outcomes
from gentianpaddle_daemon import logs, metrics
from gentianpaddle_daemon.entry import day_figures_store, recent_outcomes, request

_logger = logging.getLogger("gentianpaddle.entry.figures")


@dataclasses.dataclass(slots=True)
class TokenTimes:
    """Arrival times of the tokens of one answer."""

    first_token_s: float = 0.0
    """Monotonic time of the first token, 0 until it arrives."""
    last_token_s: float = 0.0
    """Monotonic time of the latest delivery."""
    tokens: int = 0
    """Number of tokens delivered so far."""
    gaps: histograms.Histogram = dataclasses.field(default_factory=histograms.Histogram)
    """Distribution of the times between tokens, in seconds."""
    delivered: bytearray = dataclasses.field(default_factory=bytearray)
    """Bytes delivered so far."""

    @property
    def has_started(self) -> bool:
        """Whether any part of the answer was delivered."""
        return self.first_token_s > 0

    def add(self, data: bytes, tokens: int, now_s: float) -> bool:
        """Record delivered bytes.

        Args:
            data: Delivered bytes.
            tokens: Number of tokens in them, 0 for a service.
            now_s: Current monotonic time.

        Returns:
            Whether this was the first delivery.
        """
        first = not self.has_started
        self.delivered += data
        if first:
            self.first_token_s = now_s
        elif tokens > 0:
            self.gaps.add((now_s - self.last_token_s) / tokens, tokens)
        self.last_token_s = now_s
        self.tokens += tokens
        return first

    def gap_s(self) -> float | None:
        """Return the mean time between tokens in seconds, None with fewer than two tokens."""
        if self.tokens < 2:
            return None
        return (self.last_token_s - self.first_token_s) / (self.tokens - 1)

    def text(self) -> str:
        """Return the delivered text."""
        return self.delivered.decode()


class RequestRecorder:
    """Records finished requests in metrics, logs and the daily statistics."""

    def __init__(
        self,
        process_metrics: metrics.Metrics,
        latest_outcomes: recent_outcomes.RecentOutcomes,
        statistics: day_figures_store.DayFiguresStore,
    ) -> None:
        self._metrics = process_metrics
        self._latest_outcomes = latest_outcomes
        self._day_figures_store = statistics

    def finished(
        self,
        caller_request: request.CallerRequest,
        outcome: outcomes.Outcome,
        token_times: TokenTimes,
        attempts: int,
    ) -> None:
        """Record the outcome of a request.

        Args:
            caller_request: The request.
            outcome: Outcome that the caller receives.
            token_times: Arrival times of its tokens.
            attempts: Number of attempts made.
        """
        kind = day_figures.outcome_kind(outcome)
        first_s = _first_token_s(caller_request, outcome, token_times)
        gap_s = token_times.gap_s()
        in_target = isinstance(outcome, outcomes.Done) and _meets_target(
            caller_request, first_s, gap_s
        )
        self._latest_outcomes.put(caller_request.key, outcome)
        self._observe_metrics(caller_request, kind, first_s, gap_s)
        self._day_figures_store.record(
            day_recorder.Observation(
                class_name=caller_request.work_class.name,
                organisation=caller_request.organisation,
                outcome=kind,
                in_target=in_target,
                first_token_s=first_s,
                token_gaps=token_times.gaps if token_times.tokens > 1 else None,
                request_key=caller_request.key,
            )
        )
        cut_off = (
            token_times.has_started
            and caller_request.streamed
            and not isinstance(outcome, outcomes.Done)
        )
        if cut_off:
            self._day_figures_store.record_failure(
                day_figures.RequestFailure.CUT_OFF, caller_request
            )
        logs.event(
            _logger,
            "finished",
            key=caller_request.key,
            class_name=caller_request.work_class.name,
            organisation=caller_request.organisation,
            outcome=kind.value,
            code=outcome.code,
            attempts=attempts,
            retry_after_s=outcome.retry_after_s,
            first_token_s=first_s,
            gap_s=gap_s,
            in_target=in_target,
        )

    def abandoned(self, caller_request: request.CallerRequest) -> None:
        """Record that the caller disconnected before the end of the answer.

        Args:
            caller_request: The request.
        """
        self._metrics.requests.inc(
            {"class": caller_request.work_class.name, "outcome": "caller_gone"}
        )
        logs.event(
            _logger, "caller_gone", key=caller_request.key, organisation=caller_request.organisation
        )

    def _observe_metrics(
        self,
        caller_request: request.CallerRequest,
        kind: day_figures.OutcomeKind,
        first_s: float | None,
        gap_s: float | None,
    ) -> None:
        labels = {"class": str(caller_request.work_class.name)}
        self._metrics.requests.inc({**labels, "outcome": kind.value})
        if first_s is not None:
            self._metrics.first_token.observe(labels, first_s)
        if gap_s is not None:
            self._metrics.token_gap.observe(labels, gap_s)


def _first_token_s(
    caller_request: request.CallerRequest, outcome: outcomes.Outcome, token_times: TokenTimes
) -> float | None:
    if token_times.has_started:
        return token_times.first_token_s - caller_request.received_s
    if isinstance(outcome, outcomes.Done):
        # Nothing is delivered for an outcome from the claim log or for an empty answer.
        return time.monotonic() - caller_request.received_s
    return None


def _meets_target(
    caller_request: request.CallerRequest, first_s: float | None, gap_s: float | None
) -> bool:
    target = caller_request.work_class
    first_met = first_s is not None and first_s <= target.first_token_s
    gap_met = gap_s is None or gap_s * 1_000 <= target.token_gap_ms
    return first_met and gap_met
