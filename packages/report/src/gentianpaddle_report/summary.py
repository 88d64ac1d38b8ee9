"""Computes the content of the evening page from the figures of the day and the declaration."""

from __future__ import annotations

import collections
import dataclasses
import enum
from collections.abc import Iterable

from gentianpaddle_core import day_figures, declarations, histograms, ids

IMPACT_WINDOW_MINUTES = 10
"""Length of the windows before and after an event in which missed targets are compared."""

CONFIRMED_FAILURES = (
    day_figures.RequestFailure.LOST,
    day_figures.RequestFailure.RUN_TWICE,
    day_figures.RequestFailure.CUT_OFF,
)
"""Failures that make the verdict `DID_NOT_GO_WELL`; `RequestFailure.UNKNOWN` makes it
`CANNOT_BE_TOLD`."""

TEXT_BY_FAILURE = {
    day_figures.RequestFailure.LOST: "lost",
    day_figures.RequestFailure.RUN_TWICE: "run twice",
    day_figures.RequestFailure.CUT_OFF: "cut off",
    day_figures.RequestFailure.UNKNOWN: "of unknown outcome",
}
"""Text for each kind of failure, to follow a number of requests."""


class VerdictState(enum.Enum):
    """Whether the targets of a day were met."""

    WENT_WELL = "went_well"
    """Every target was met, no request was harmed, and the reports are complete."""
    DID_NOT_GO_WELL = "did_not_go_well"
    """A target was missed, or a request was lost, run twice or cut off."""
    CANNOT_BE_TOLD = "cannot_be_told"
    """No failure is known, but reports, requests or outcomes of requests are missing."""


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Result of the day with its reasons."""

    state: VerdictState
    """Whether the day went well."""
    sentence: str
    """The result and its reasons in one sentence."""
    failures: tuple[str, ...]
    """One phrase for each missed target and each kind of failure."""
    unknowns: tuple[str, ...]
    """One phrase for each kind of missing information."""


@dataclasses.dataclass(frozen=True, slots=True)
class HourFigures:
    """Requests and latencies of one class in one hour or over the whole day."""

    hour: int
    """Hour of the day, from 0; 0 for the whole day."""
    requests: int
    """Number of requests that count for the target."""
    in_target: int
    """Number of requests that met the targets."""
    first_token_p50_s: float | None
    """Median time to the first token in seconds, None without samples."""
    first_token_p95_s: float | None
    """95th percentile of the time to the first token in seconds, None without samples."""
    token_gap_p50_s: float | None
    """Median time between tokens in seconds, None without samples."""
    token_gap_p95_s: float | None
    """95th percentile of the time between tokens in seconds, None without samples."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClassSummary:
    """Results of one class of work over the day."""

    name: ids.ClassName
    """Name of the class."""
    targets: declarations.ClassOfWork | None
    """Declared targets, or None when the accepted declaration does not contain the class."""
    count_by_outcome: dict[day_figures.OutcomeKind, int]
    """Number of requests by outcome."""
    whole_day: HourFigures
    """Figures of the whole day; `hour` is 0."""
    hours: tuple[HourFigures, ...]
    """Figures of each hour that has some, in order."""

    def in_target_share(self) -> float | None:
        """Return the share of requests that met the targets, or None without requests."""
        return (
            self.whole_day.in_target / self.whole_day.requests if self.whole_day.requests else None
        )

    def target_met(self) -> bool | None:
        """Return whether the target share was met, or None without requests or targets."""
        share = self.in_target_share()
        return None if share is None or self.targets is None else share >= self.targets.share


@dataclasses.dataclass(frozen=True, slots=True)
class FailureRow:
    """Requests of one class and organisation with the same kind of failure."""

    failure: day_figures.RequestFailure
    """Kind of failure."""
    class_name: ids.ClassName
    """Class of work of the requests."""
    organisation: ids.OrganisationId
    """Organisation that sent the requests."""
    count: int
    """Number of requests."""
    first_minute: int
    """Minute of the day of the first request."""
    last_minute: int
    """Minute of the day of the last request."""


@dataclasses.dataclass(frozen=True, slots=True)
class EventImpact:
    """An event with the missed targets and request failures that followed it."""

    event: day_figures.Event
    """The event."""
    misses_before: int
    """Number of requests that missed their target in the window before the event."""
    misses_after: int
    """Number of requests that missed their target in the window that starts with the event."""
    failures_after: dict[day_figures.RequestFailure, int]
    """Number of requests by kind of failure in the window that starts with the event."""
    fully_reported: bool
    """Whether reports cover the whole window that starts with the event."""

    def severity(self) -> int:
        """Return the severity, by which the page selects events; a failure weighs 1,000 misses."""
        return 1_000 * sum(self.failures_after.values()) + max(
            0, self.misses_after - self.misses_before
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Content of the evening page."""

    date: str
    """Day as YYYY-MM-DD."""
    known_until_s: float
    """Time up to which all running VMs have reported, in seconds since the start of the day."""
    verdict: Verdict
    """Result of the day."""
    classes: tuple[ClassSummary, ...]
    """Declared classes by name, then classes that are no longer declared."""
    confirmed_failures: tuple[FailureRow, ...]
    """Requests that were lost, run twice or cut off."""
    unknown_outcomes: tuple[FailureRow, ...]
    """Requests whose outcome is unknown."""
    impacts: tuple[EventImpact, ...]
    """Events with their impact, in order of time."""
    dropped_events: int
    """Number of events that exceeded the capacity of the figures and were dropped."""
    gaps: tuple[day_figures.Gap, ...]
    """Periods that no report covers."""


def summarise(
    figures: day_figures.DayFigures, declaration: declarations.Declaration, date: str
) -> Summary:
    """Compute verdict, class results, failures, event impacts and gaps of one day.

    Args:
        figures: Merged figures of the day.
        declaration: Accepted declaration.
        date: Day as YYYY-MM-DD.

    Returns:
        Content of the evening page.
    """
    classes = _class_summaries(figures.content, declaration)
    confirmed_failures = tuple(
        row for row in _failure_rows(figures) if row.failure in CONFIRMED_FAILURES
    )
    unknown_outcomes = tuple(
        row for row in _failure_rows(figures) if row.failure not in CONFIRMED_FAILURES
    )
    return Summary(
        date=date,
        known_until_s=figures.known_until_s,
        verdict=_verdict(figures, classes, confirmed_failures, unknown_outcomes, date),
        classes=classes,
        confirmed_failures=confirmed_failures,
        unknown_outcomes=unknown_outcomes,
        impacts=_event_impacts(figures),
        dropped_events=figures.content.dropped_events,
        gaps=figures.gaps,
    )


def format_time(time_s: float) -> str:
    """Format a time of day.

    Args:
        time_s: Seconds since the start of the day.

    Returns:
        Hours and minutes as HH:MM.

    >>> format_time(61_000)
    '16:56'
    """
    minutes = int(time_s // 60)
    return f"{minutes // 60:02}:{minutes % 60:02}"


def format_percent(share: float, target: float) -> str:
    """Format a share as a percentage, rounded down so that a missed target never reads as met.

    Args:
        share: Measured share.
        target: Target share, which determines the number of digits.

    Returns:
        Percentage without the percent sign.

    >>> format_percent(0.94996, 0.95), format_percent(0.99996, 0.999), format_percent(1.0, 0.95)
    ('94.9', '99.99', '100')
    """
    digits = len(f"{target * 100:.6g}".partition(".")[2]) + 1
    scaled = int(share * 100 * 10**digits + 1e-6)
    text = f"{scaled / 10**digits:.{digits}f}"
    return text.rstrip("0").rstrip(".")


def format_count(count: int, noun: str) -> str:
    """Format a count with its noun.

    Args:
        count: Number of things.
        noun: Noun in the singular.

    Returns:
        The count and the noun, in the plural unless the count is 1.

    >>> format_count(1, "request"), format_count(1_200, "request")
    ('1 request', '1,200 requests')
    """
    return f"{count:,} {noun}" + ("" if count == 1 else "s")


def unreported_hours(content: Summary) -> list[tuple[float, float]]:
    """Return the periods that are not fully reported.

    Args:
        content: Content of the page.

    Returns:
        Start and end of each period in hours; disjoint and in order.
    """
    known_until_h = content.known_until_s / 3_600
    spans = sorted(
        (gap.from_s / 3_600, known_until_h if gap.until_s is None else gap.until_s / 3_600)
        for gap in content.gaps
    )
    merged: list[tuple[float, float]] = []
    for start, end in spans:
        if merged and start <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(end, merged[-1][1]))
        elif end > start:
            merged.append((start, end))
    return merged


def _class_summaries(
    content: day_figures.FigureSet, declaration: declarations.Declaration
) -> tuple[ClassSummary, ...]:
    cells_by_class: dict[ids.ClassName, dict[int, day_figures.HourFigures]] = {
        name: {} for name in sorted(declaration.class_by_name)
    }
    for (hour, name), cell in sorted(content.hour_figures_by_key.items()):
        cells_by_class.setdefault(name, {})[hour] = cell
    summaries = []
    for name, cell_by_hour in cells_by_class.items():
        total = day_figures.HourFigures()
        for cell in cell_by_hour.values():
            total.merge(cell)
        summaries.append(
            ClassSummary(
                name=name,
                targets=declaration.class_by_name.get(name),
                count_by_outcome=total.count_by_outcome,
                whole_day=_hour_figures(0, total),
                hours=tuple(_hour_figures(hour, cell) for hour, cell in cell_by_hour.items()),
            )
        )
    return tuple(summaries)


def _hour_figures(hour: int, cell: day_figures.HourFigures) -> HourFigures:
    def median_and_p95(histogram: histograms.Histogram) -> tuple[float | None, float | None]:
        return histogram.quantile(0.5), histogram.quantile(0.95)

    return HourFigures(
        hour,
        cell.target_request_count(),
        cell.in_target,
        *median_and_p95(cell.first_token),
        *median_and_p95(cell.token_gap),
    )


def _failure_rows(figures: day_figures.DayFigures) -> list[FailureRow]:
    count_by_key: collections.Counter[day_figures.RequestFailureKey] = collections.Counter(
        figures.content.failures_by_key
    )
    for minute, name, organisation in figures.unknown_outcomes():
        count_by_key[minute, name, day_figures.RequestFailure.UNKNOWN, organisation] += 1
    row_by_key: dict[tuple[str, ids.ClassName, ids.OrganisationId], FailureRow] = {}
    for (minute, name, failure, organisation), count in count_by_key.items():
        key = (failure.value, name, organisation)
        row = row_by_key.get(key) or FailureRow(failure, name, organisation, 0, minute, minute)
        row_by_key[key] = dataclasses.replace(
            row,
            count=row.count + count,
            first_minute=min(row.first_minute, minute),
            last_minute=max(row.last_minute, minute),
        )
    return sorted(
        row_by_key.values(), key=lambda row: (-row.count, row.failure.value, row.class_name)
    )


def _event_impacts(figures: day_figures.DayFigures) -> tuple[EventImpact, ...]:
    content = figures.content
    miss_count_by_minute: collections.Counter[int] = collections.Counter()
    failure_count_by_key: collections.Counter[tuple[int, day_figures.RequestFailure]] = (
        collections.Counter()
    )
    for (minute, _), count in content.misses_by_minute.items():
        miss_count_by_minute[minute] += count
    for (minute, _, failure, _), count in content.failures_by_key.items():
        failure_count_by_key[minute, failure] += count
    for minute, _, _ in figures.unknown_outcomes():
        failure_count_by_key[minute, day_figures.RequestFailure.UNKNOWN] += 1
    impacts = []
    for event in sorted(content.event_by_id.values(), key=lambda event: (event.at_s, event.id)):
        start = int(event.at_s // day_figures.MINUTE_S)
        window = range(start, start + IMPACT_WINDOW_MINUTES)
        end_s = window.stop * day_figures.MINUTE_S
        window_reported = (
            end_s <= figures.known_until_s or figures.known_until_s >= day_figures.DAY_S
        )
        has_gap = any(
            gap.from_s < end_s and (gap.until_s is None or gap.until_s > event.at_s)
            for gap in figures.gaps
        )
        impacts.append(
            EventImpact(
                event=event,
                misses_before=sum(miss_count_by_minute[m - IMPACT_WINDOW_MINUTES] for m in window),
                misses_after=sum(miss_count_by_minute[minute] for minute in window),
                failures_after={
                    failure: count
                    for failure in day_figures.RequestFailure
                    if (count := sum(failure_count_by_key[minute, failure] for minute in window))
                },
                fully_reported=window_reported and not has_gap,
            )
        )
    return tuple(impacts)


def _verdict(
    figures: day_figures.DayFigures,
    classes: Iterable[ClassSummary],
    confirmed_failures: Iterable[FailureRow],
    unknown_outcomes: Iterable[FailureRow],
    date: str,
) -> Verdict:
    failures = [
        f"{item.name} met its target for {format_percent(share, item.targets.share)} % of its "
        f"requests instead of {format_percent(item.targets.share, item.targets.share)} %"
        for item in classes
        if item.targets and (share := item.in_target_share()) is not None and not item.target_met()
    ]
    for failure in CONFIRMED_FAILURES:
        count = sum(row.count for row in confirmed_failures if row.failure is failure)
        if count:
            verb = "was" if count == 1 else "were"
            failures.append(f"{format_count(count, 'request')} {verb} {TEXT_BY_FAILURE[failure]}")
    unknowns = []
    unknown_count = sum(row.count for row in unknown_outcomes)
    if unknown_count:
        unknowns.append(f"the outcome of {format_count(unknown_count, 'request')} is unknown")
    vms = sorted({gap.vm for gap in figures.gaps})
    if vms:
        names = ", ".join(vms[:3]) + (f" and {len(vms) - 3} more VMs" if len(vms) > 3 else "")
        unknowns.append(f"the report of {names} is incomplete")
    if not any(item.whole_day.requests for item in classes):
        unknowns.append("no requests were reported")
    return _compose_verdict(tuple(failures), tuple(unknowns), _scope_phrase(figures, date))


def _scope_phrase(figures: day_figures.DayFigures, date: str) -> str:
    if figures.known_until_s >= day_figures.DAY_S:
        return f"The day {date}"
    return f"The day {date}, up to {format_time(figures.known_until_s)},"


def _compose_verdict(failures: tuple[str, ...], unknowns: tuple[str, ...], scope: str) -> Verdict:
    if failures:
        more = "; besides, " + _join_phrases(unknowns) if unknowns else ""
        sentence = f"{scope} did not go well because {_join_phrases(failures)}{more}."
        return Verdict(VerdictState.DID_NOT_GO_WELL, sentence, failures, unknowns)
    if unknowns:
        sentence = f"{scope} cannot be judged because {_join_phrases(unknowns)}."
        return Verdict(VerdictState.CANNOT_BE_TOLD, sentence, failures, unknowns)
    sentence = (
        f"{scope} went well: every class met its target, and no request was lost, run twice, "
        "cut off or left unknown."
    )
    return Verdict(VerdictState.WENT_WELL, sentence, failures, unknowns)


def _join_phrases(phrases: tuple[str, ...]) -> str:
    return ", ".join(phrases[:-1]) + " and " + phrases[-1] if len(phrases) > 1 else phrases[0]
