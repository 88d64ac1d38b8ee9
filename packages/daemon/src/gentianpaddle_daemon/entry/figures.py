"""Times of one answer, and the figures that finished requests add to."""

from __future__ import annotations

import dataclasses
import logging
import time

from gentianpaddle_core import day_figures, day_recorder, histograms, outcomes
from gentianpaddle_daemon import logs, metrics
from gentianpaddle_daemon.entry import day, request, statuses

_logger = logging.getLogger("gentianpaddle.entry.figures")


@dataclasses.dataclass(slots=True)
class Timing:
    """Times of the tokens of one answer."""

    first_s: float = 0.0
    """Monotonic time of the first token, 0 before it."""
    last_s: float = 0.0
    """Monotonic time of the last token."""
    tokens: int = 0
    """Tokens so far."""
    gaps: histograms.Histogram = dataclasses.field(default_factory=histograms.Histogram)
    """Times between tokens."""
    delivered: bytearray = dataclasses.field(default_factory=bytearray)
    """Bytes delivered so far."""

    @property
    def began(self) -> bool:
        """Whether anything was delivered."""
        return self.first_s > 0

    def add(self, data: bytes, tokens: int, now_s: float) -> bool:
        """Count delivered bytes.

        Args:
            data: What was delivered.
            tokens: Tokens in it, 0 for a plain service.
            now_s: Monotonic time.

        Returns:
            Whether it was the first.
        """
        first = not self.began
        self.delivered += data
        if first:
            self.first_s = now_s
        elif tokens > 0:
            self.gaps.add((now_s - self.last_s) / tokens, tokens)
        self.last_s = now_s
        self.tokens += tokens
        return first

    def gap_s(self) -> float | None:
        """Return the mean time between tokens, None with fewer than two."""
        if self.tokens < 2:
            return None
        return (self.last_s - self.first_s) / (self.tokens - 1)

    def text(self) -> str:
        """Return the delivered text."""
        return self.delivered.decode()


class Recorder:
    """Adds finished requests to metrics, logs and the figures of the day."""

    def __init__(
        self,
        process_metrics: metrics.Metrics,
        known: statuses.Statuses,
        day_figures_of_vm: day.DayFiguresOfVm,
    ) -> None:
        self._metrics = process_metrics
        self._known = known
        self._day = day_figures_of_vm

    def finished(
        self,
        checked: request.CallerRequest,
        outcome: outcomes.Outcome,
        timing: Timing,
        attempts: int,
    ) -> None:
        """Record the outcome of a request.

        Args:
            checked: The request.
            outcome: What its caller is told.
            timing: Times of its answer.
            attempts: Attempts that were made.
        """
        kind = day_figures.outcome_kind(outcome)
        first_s = _first_s(checked, outcome, timing)
        gap_s = timing.gap_s()
        in_target = isinstance(outcome, outcomes.Done) and _meets(checked, first_s, gap_s)
        self._known.put(checked.key, outcome)
        self._count(checked, kind, first_s, gap_s)
        self._day.record(
            day_recorder.Observation(
                class_name=checked.work_class.name,
                organisation=checked.organisation,
                outcome=kind,
                in_target=in_target,
                first_token_s=first_s,
                token_gaps=timing.gaps if timing.tokens > 1 else None,
                request_key=checked.key,
            )
        )
        cut = timing.began and checked.streamed and not isinstance(outcome, outcomes.Done)
        if cut:
            self._day.record_harm(day_figures.Harm.CUT_OFF, checked)
        logs.event(
            _logger,
            "finished",
            key=checked.key,
            class_name=checked.work_class.name,
            organisation=checked.organisation,
            outcome=kind.value,
            code=outcome.code,
            attempts=attempts,
            retry_after_s=outcome.retry_after_s,
            first_token_s=first_s,
            gap_s=gap_s,
            in_target=in_target,
        )

    def abandoned(self, checked: request.CallerRequest) -> None:
        """Record that the caller went away before the end.

        Args:
            checked: The request.
        """
        self._metrics.requests.inc({"class": checked.work_class.name, "outcome": "caller_gone"})
        logs.event(_logger, "caller_gone", key=checked.key, organisation=checked.organisation)

    def _count(
        self,
        checked: request.CallerRequest,
        kind: day_figures.OutcomeKind,
        first_s: float | None,
        gap_s: float | None,
    ) -> None:
        labels = {"class": str(checked.work_class.name)}
        self._metrics.requests.inc({**labels, "outcome": kind.value})
        if first_s is not None:
            self._metrics.first_token.observe(labels, first_s)
        if gap_s is not None:
            self._metrics.token_gap.observe(labels, gap_s)


def _first_s(
    checked: request.CallerRequest, outcome: outcomes.Outcome, timing: Timing
) -> float | None:
    if timing.began:
        return timing.first_s - checked.received_s
    if isinstance(outcome, outcomes.Done):
        # An outcome from the claim log or an empty answer has no pieces.
        return time.monotonic() - checked.received_s
    return None


def _meets(checked: request.CallerRequest, first_s: float | None, gap_s: float | None) -> bool:
    target = checked.work_class
    first_met = first_s is not None and first_s <= target.first_token_s
    gap_met = gap_s is None or gap_s * 1_000 <= target.token_gap_ms
    return first_met and gap_met
