"""What the evening page says, worked out from the figures of the day and the declaration."""

from __future__ import annotations

import collections
import dataclasses
import enum
from collections.abc import Iterable

from gentianpaddle_core import day_figures, declarations, histograms, ids

FELT_WINDOW_MINUTES = 10
"""Time after an event in which missed targets are put next to it."""

UNWANTED = (day_figures.Harm.LOST, day_figures.Harm.RUN_TWICE, day_figures.Harm.CUT_OFF)
"""Harms that make a day go badly; unknown outcomes make it impossible to tell."""

HARM_WORDS = {
    day_figures.Harm.LOST: "lost",
    day_figures.Harm.RUN_TWICE: "run twice",
    day_figures.Harm.CUT_OFF: "cut off",
    day_figures.Harm.UNKNOWN: "of unknown outcome",
}


class State(enum.Enum):
    """Result of a day."""

    WENT_WELL = "went_well"
    """Everything is known and every target was met."""
    DID_NOT_GO_WELL = "did_not_go_well"
    """A target was missed or a request was harmed."""
    CANNOT_BE_TOLD = "cannot_be_told"
    """Nothing bad is known, but not everything is known."""


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Result of the day with its reasons."""

    state: State
    """Result."""
    sentence: str
    """One sentence for the owner."""
    bad: tuple[str, ...]
    """What went wrong."""
    unknown: tuple[str, ...]
    """What is not known."""


@dataclasses.dataclass(frozen=True, slots=True)
class HourFigures:
    """Times of one class in one hour."""

    hour: int
    """Hour of the day from 0."""
    requests: int
    """Requests that count for the target."""
    in_target: int
    """Requests that met the targets."""
    first_token_p50_s: float | None
    """Median time to the first token."""
    first_token_p95_s: float | None
    """Time to the first token that 95 % did not exceed."""
    token_gap_p50_s: float | None
    """Median time between tokens."""
    token_gap_p95_s: float | None
    """Time between tokens that 95 % did not exceed."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClassSummary:
    """One class over the day."""

    name: ids.ClassName
    """Name of the class."""
    declared: declarations.ClassOfWork | None
    """Its targets, or None where it is not declared now."""
    count_by_outcome: dict[day_figures.OutcomeKind, int]
    """Requests by outcome."""
    day: HourFigures
    """Whole day; `hour` is 0."""
    hours: tuple[HourFigures, ...]
    """Hours with requests."""

    def share(self) -> float | None:
        """Return the share of requests that met the targets, None without requests."""
        return self.day.in_target / self.day.requests if self.day.requests else None

    def met(self) -> bool | None:
        """Return whether the target share was met, None where there is nothing to compare."""
        share = self.share()
        return None if share is None or self.declared is None else share >= self.declared.share


@dataclasses.dataclass(frozen=True, slots=True)
class HarmRow:
    """Harmed requests of one class and organisation."""

    harm: day_figures.Harm
    """What happened."""
    class_name: ids.ClassName
    """Class."""
    organisation: ids.OrganisationId
    """Organisation concerned."""
    count: int
    """Number of requests."""
    first_minute: int
    """Minute of the day of the first one."""
    last_minute: int
    """Minute of the day of the last one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """An event with what callers felt afterwards."""

    event: day_figures.Event
    """The event."""
    misses_before: int
    """Requests that missed their target in the window before."""
    misses_after: int
    """Requests that missed their target in the window from the event on."""
    harmed_after: dict[day_figures.Harm, int]
    """Harmed requests in the window from the event on."""
    known: bool
    """Whether the window from the event on is fully reported."""

    def weight(self) -> int:
        """Return how much callers felt, for the choice of what to show."""
        return 1_000 * sum(self.harmed_after.values()) + max(
            0, self.misses_after - self.misses_before
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Content of the evening page."""

    date: str
    """Day as YYYY-MM-DD."""
    known_until_s: float
    """Time up to which running VMs have reported."""
    verdict: Verdict
    """Result."""
    classes: tuple[ClassSummary, ...]
    """Declared classes by name, then others."""
    harms: tuple[HarmRow, ...]
    """Requests lost, run twice and cut off."""
    unknown: tuple[HarmRow, ...]
    """Requests whose outcome remains unknown."""
    effects: tuple[Effect, ...]
    """Events by time."""
    dropped_events: int
    """Events that found no room in the figures."""
    gaps: tuple[day_figures.Gap, ...]
    """Times that no report covers."""


def summarise(
    figures: day_figures.DayFigures, declaration: declarations.Declaration, date: str
) -> Summary:
    """Work out the content of the page.

    Args:
        figures: Merged figures of the day.
        declaration: Accepted declaration.
        date: Day as YYYY-MM-DD.

    Returns:
        The content.
    """
    classes = _classes(figures.content, declaration)
    harms = tuple(row for row in _harm_rows(figures) if row.harm in UNWANTED)
    unknown = tuple(row for row in _harm_rows(figures) if row.harm not in UNWANTED)
    return Summary(
        date=date,
        known_until_s=figures.known_until_s,
        verdict=_verdict(figures, classes, harms, unknown, date),
        classes=classes,
        harms=harms,
        unknown=unknown,
        effects=_effects(figures),
        dropped_events=figures.content.dropped_events,
        gaps=figures.gaps,
    )


def clock(time_s: float) -> str:
    """Return a time of day.

    Args:
        time_s: Seconds since the start of the day.

    Returns:
        Hours and minutes.

    >>> clock(61_000)
    '16:56'
    """
    minutes = int(time_s // 60)
    return f"{minutes // 60:02}:{minutes % 60:02}"


def percent(share: float, target: float) -> str:
    """Return a share as a percentage that is rounded down, so that a miss never reads as met.

    Args:
        share: Measured share.
        target: Target share, which determines the number of digits.

    Returns:
        A number without the percent sign.

    >>> percent(0.94996, 0.95), percent(0.99996, 0.999), percent(1.0, 0.95)
    ('94.9', '99.99', '100')
    """
    digits = len(f"{target * 100:.6g}".partition(".")[2]) + 1
    scaled = int(share * 100 * 10**digits + 1e-6)
    text = f"{scaled / 10**digits:.{digits}f}"
    return text.rstrip("0").rstrip(".")


def count_of(count: int, noun: str) -> str:
    """Return a number with a noun.

    Args:
        count: The number.
        noun: Noun in the singular.

    Returns:
        The phrase.

    >>> count_of(1, "request"), count_of(1_200, "request")
    ('1 request', '1,200 requests')
    """
    return f"{count:,} {noun}" + ("" if count == 1 else "s")


def unreported_hours(content: Summary) -> list[tuple[float, float]]:
    """Return the times that are not fully reported.

    Args:
        content: Content of the page.

    Returns:
        Disjoint spans in hours, in order.
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


def _classes(
    content: day_figures.Content, declaration: declarations.Declaration
) -> tuple[ClassSummary, ...]:
    cells_by_class: dict[ids.ClassName, dict[int, day_figures.Cell]] = {
        name: {} for name in sorted(declaration.class_by_name)
    }
    for (hour, name), cell in sorted(content.cell_by_key.items()):
        cells_by_class.setdefault(name, {})[hour] = cell
    summaries = []
    for name, cell_by_hour in cells_by_class.items():
        total = day_figures.Cell()
        for cell in cell_by_hour.values():
            total.merge(cell)
        summaries.append(
            ClassSummary(
                name=name,
                declared=declaration.class_by_name.get(name),
                count_by_outcome=total.count_by_outcome,
                day=_hour_figures(0, total),
                hours=tuple(_hour_figures(hour, cell) for hour, cell in cell_by_hour.items()),
            )
        )
    return tuple(summaries)


def _hour_figures(hour: int, cell: day_figures.Cell) -> HourFigures:
    def quantiles(histogram: histograms.Histogram) -> tuple[float | None, float | None]:
        return histogram.quantile(0.5), histogram.quantile(0.95)

    return HourFigures(
        hour,
        cell.counted(),
        cell.in_target,
        *quantiles(cell.first_token),
        *quantiles(cell.token_gap),
    )


def _harm_rows(figures: day_figures.DayFigures) -> list[HarmRow]:
    count_by_key: collections.Counter[day_figures.HarmKey] = collections.Counter(
        figures.content.harm_by_key
    )
    for minute, name, organisation in figures.unknown_places():
        count_by_key[minute, name, day_figures.Harm.UNKNOWN, organisation] += 1
    row_by_key: dict[tuple[str, ids.ClassName, ids.OrganisationId], HarmRow] = {}
    for (minute, name, harm, organisation), count in count_by_key.items():
        key = (harm.value, name, organisation)
        row = row_by_key.get(key) or HarmRow(harm, name, organisation, 0, minute, minute)
        row_by_key[key] = dataclasses.replace(
            row,
            count=row.count + count,
            first_minute=min(row.first_minute, minute),
            last_minute=max(row.last_minute, minute),
        )
    return sorted(row_by_key.values(), key=lambda row: (-row.count, row.harm.value, row.class_name))


def _effects(figures: day_figures.DayFigures) -> tuple[Effect, ...]:
    content = figures.content
    misses: collections.Counter[int] = collections.Counter()
    harmed: collections.Counter[tuple[int, day_figures.Harm]] = collections.Counter()
    for (minute, _), count in content.misses_by_minute.items():
        misses[minute] += count
    for (minute, _, harm, _), count in content.harm_by_key.items():
        harmed[minute, harm] += count
    for minute, _, _ in figures.unknown_places():
        harmed[minute, day_figures.Harm.UNKNOWN] += 1
    effects = []
    for event in sorted(content.event_by_id.values(), key=lambda event: (event.at_s, event.id)):
        start = int(event.at_s // day_figures.MINUTE_S)
        window = range(start, start + FELT_WINDOW_MINUTES)
        end_s = window.stop * day_figures.MINUTE_S
        reported = end_s <= figures.known_until_s or figures.known_until_s >= day_figures.DAY_S
        gap = any(
            gap.from_s < end_s and (gap.until_s is None or gap.until_s > event.at_s)
            for gap in figures.gaps
        )
        effects.append(
            Effect(
                event=event,
                misses_before=sum(misses[m - FELT_WINDOW_MINUTES] for m in window),
                misses_after=sum(misses[minute] for minute in window),
                harmed_after={
                    harm: count
                    for harm in day_figures.Harm
                    if (count := sum(harmed[minute, harm] for minute in window))
                },
                known=reported and not gap,
            )
        )
    return tuple(effects)


def _verdict(
    figures: day_figures.DayFigures,
    classes: Iterable[ClassSummary],
    harms: Iterable[HarmRow],
    unknown: Iterable[HarmRow],
    date: str,
) -> Verdict:
    bad = [
        f"{summary.name} met its target for {percent(share, summary.declared.share)} % of its "
        f"requests instead of {percent(summary.declared.share, summary.declared.share)} %"
        for summary in classes
        if summary.declared and (share := summary.share()) is not None and not summary.met()
    ]
    for harm in UNWANTED:
        count = sum(row.count for row in harms if row.harm is harm)
        if count:
            verb = "was" if count == 1 else "were"
            bad.append(f"{count_of(count, 'request')} {verb} {HARM_WORDS[harm]}")
    missing = []
    open_count = sum(row.count for row in unknown)
    if open_count:
        missing.append(f"the outcome of {count_of(open_count, 'request')} is unknown")
    vms = sorted({gap.vm for gap in figures.gaps})
    if vms:
        names = ", ".join(vms[:3]) + (f" and {len(vms) - 3} more VMs" if len(vms) > 3 else "")
        missing.append(f"the report of {names} is incomplete")
    if not any(summary.day.requests for summary in classes):
        missing.append("no requests were reported")
    return _worded(tuple(bad), tuple(missing), _scope(figures, date))


def _scope(figures: day_figures.DayFigures, date: str) -> str:
    if figures.known_until_s >= day_figures.DAY_S:
        return f"The day {date}"
    return f"The day {date}, up to {clock(figures.known_until_s)},"


def _worded(bad: tuple[str, ...], missing: tuple[str, ...], scope: str) -> Verdict:
    if bad:
        more = "; besides, " + _joined(missing) if missing else ""
        sentence = f"{scope} did not go well because {_joined(bad)}{more}."
        return Verdict(State.DID_NOT_GO_WELL, sentence, bad, missing)
    if missing:
        sentence = f"{scope} cannot be judged because {_joined(missing)}."
        return Verdict(State.CANNOT_BE_TOLD, sentence, bad, missing)
    sentence = (
        f"{scope} went well: every class met its target, and no request was lost, run twice, "
        "cut off or left unknown."
    )
    return Verdict(State.WENT_WELL, sentence, bad, missing)


def _joined(phrases: tuple[str, ...]) -> str:
    return ", ".join(phrases[:-1]) + " and " + phrases[-1] if len(phrases) > 1 else phrases[0]
