"""Renders the evening page as HTML without scripts, and the same content as JSON."""

from __future__ import annotations

import html
import json
import typing

from gentianpaddle_core import day_figures, declarations
from gentianpaddle_report import _style, summary

PLOTTED_CLASSES_LIMIT = 12
"""Number of classes that get plots, busiest first; a page with more is too long to read."""

ROWS_LIMIT = 40
"""Number of rows that a table shows; the JSON form contains all of them."""

TITLE_BY_STATE = {
    summary.VerdictState.WENT_WELL: "Went well",
    summary.VerdictState.DID_NOT_GO_WELL: "Did not go well",
    summary.VerdictState.CANNOT_BE_TOLD: "Cannot be told",
}

TEXT_BY_OUTCOME = {
    day_figures.OutcomeKind.DONE: "done",
    day_figures.OutcomeKind.NOT_RUN: "not run",
    day_figures.OutcomeKind.UNKNOWN: "unknown",
    day_figures.OutcomeKind.TURNED_AWAY: "turned away for want of capacity",
    day_figures.OutcomeKind.REFUSED: "refused for a mistake of the caller",
}


def render_html(
    figures: day_figures.DayFigures, declaration: declarations.Declaration, date: str
) -> str:
    """Render the evening page as HTML.

    Args:
        figures: Merged figures of the day.
        declaration: Accepted declaration.
        date: Day as YYYY-MM-DD.

    Returns:
        A complete HTML document without scripts or external resources.
    """
    content = summary.summarise(figures, declaration, date)
    sections = [
        _verdict_header(content),
        _classes_section(content),
        _failures_section(content),
        _events_section(content),
        _unknown_section(content),
    ]
    return (
        '<!DOCTYPE html>\n<html lang="en">\n<head>\n<meta charset="utf-8">\n'
        '<meta name="viewport" content="width=device-width, initial-scale=1">\n'
        f"<title>{_escape(TITLE_BY_STATE[content.verdict.state])}: {_escape(date)}</title>\n"
        f"<style>{_style.CSS}</style>\n</head>\n<body>\n<main>\n"
        + "\n".join(sections)
        + "\n</main>\n</body>\n</html>\n"
    )


def render_json(
    figures: day_figures.DayFigures, declaration: declarations.Declaration, date: str
) -> str:
    """Render the content of the evening page as JSON.

    Args:
        figures: Merged figures of the day.
        declaration: Accepted declaration.
        date: Day as YYYY-MM-DD.

    Returns:
        A JSON object.
    """
    content = summary.summarise(figures, declaration, date)
    document = {
        "date": content.date,
        "known_until": summary.format_time(content.known_until_s),
        "verdict": {
            "state": content.verdict.state.value,
            "sentence": content.verdict.sentence,
            "bad": content.verdict.failures,
            "unknown": content.verdict.unknowns,
        },
        "classes": [_class_document(item) for item in content.classes],
        "harmed": [_failure_document(row) for row in content.confirmed_failures],
        "unknown_outcomes": [_failure_document(row) for row in content.unknown_outcomes],
        "events": [
            {
                "at": summary.format_time(impact.event.at_s),
                "kind": impact.event.kind.value,
                "text": impact.event.text,
                "source": impact.event.source,
                "misses_before": impact.misses_before,
                "misses_after": impact.misses_after,
                "harmed_after": {h.value: n for h, n in impact.failures_after.items()},
                "known": impact.fully_reported,
            }
            for impact in content.impacts
        ],
        "dropped_events": content.dropped_events,
        "not_reported": [
            {
                "vm": gap.vm,
                "from": summary.format_time(gap.from_s),
                "until": None if gap.until_s is None else summary.format_time(gap.until_s),
                "reason": gap.reason,
            }
            for gap in content.gaps
        ],
    }
    return json.dumps(document, indent=1)


def _class_document(item: summary.ClassSummary) -> dict[str, typing.Any]:
    targets = item.targets
    return {
        "name": item.name,
        "target": None
        if targets is None
        else {
            "first_token_s": targets.first_token_s,
            "token_gap_ms": targets.token_gap_ms,
            "share": targets.share,
        },
        "share": item.in_target_share(),
        "met": item.target_met(),
        "outcomes": {kind.value: count for kind, count in item.count_by_outcome.items()},
        "day": _figures_document(item.whole_day),
        "hours": [{"hour": hour.hour} | _figures_document(hour) for hour in item.hours],
    }


def _figures_document(figures: summary.HourFigures) -> dict[str, typing.Any]:
    """Return the JSON form of the figures of one hour or of the whole day, without the hour."""
    return {
        "requests": figures.requests,
        "in_target": figures.in_target,
        "first_token_p50_s": figures.first_token_p50_s,
        "first_token_p95_s": figures.first_token_p95_s,
        "token_gap_p50_s": figures.token_gap_p50_s,
        "token_gap_p95_s": figures.token_gap_p95_s,
    }


def _failure_document(row: summary.FailureRow) -> dict[str, typing.Any]:
    return {
        "harm": row.failure.value,
        "class": row.class_name,
        "organisation": row.organisation,
        "count": row.count,
        "from": summary.format_time(row.first_minute * 60),
        "until": summary.format_time(row.last_minute * 60),
    }


def _verdict_header(content: summary.Summary) -> str:
    verdict = content.verdict
    sentence = _escape(verdict.sentence).replace(" %", "&nbsp;%")
    return (
        f'<header class="{verdict.state.value}"><p class="date">{_escape(content.date)}</p>'
        f"<h1>{_escape(TITLE_BY_STATE[verdict.state])}</h1><p>{sentence}</p></header>"
    )


def _classes_section(content: summary.Summary) -> str:
    rows = [
        [
            _escape(item.name),
            _target_text(item),
            f"{item.whole_day.requests:,}",
            _share_markup(item),
            _percentile_pair(item.whole_day.first_token_p50_s, item.whole_day.first_token_p95_s),
            _percentile_pair(item.whole_day.token_gap_p50_s, item.whole_day.token_gap_p95_s),
        ]
        for item in content.classes
    ]
    head = ("Class", "Target", "Requests", "In target", "First token", "Between tokens")
    parts = ["<section><h2>Classes</h2>", _table(head, rows, len(rows))]
    parts.append('<p class="note">Times are p50 / p95: half and 95 in 100 were within them.</p>')
    gaps = summary.unreported_hours(content)
    busiest = sorted(content.classes, key=lambda item: -item.whole_day.requests)
    plotted = {item.name for item in busiest[:PLOTTED_CLASSES_LIMIT] if item.hours}
    parts += [_class_details(item, gaps) for item in content.classes if item.name in plotted]
    if gaps and plotted:
        parts.append('<p class="note">Grey: a VM did not report all of that time.</p>')
    return "\n".join(parts) + "</section>"


def _class_details(item: summary.ClassSummary, gaps: list[tuple[float, float]]) -> str:
    # matplotlib takes about 60 MB of memory; only a process that renders pages should load it.
    from gentianpaddle_report import plots

    targets = item.targets
    last_hour = max(24, item.hours[-1].hour + 1)
    first_token = plots.Series(
        {h.hour: h.first_token_p50_s for h in item.hours if h.first_token_p50_s is not None},
        {h.hour: h.first_token_p95_s for h in item.hours if h.first_token_p95_s is not None},
        targets.first_token_s if targets else None,
        "seconds",
    )
    token_gap = plots.Series(
        {h.hour: h.token_gap_p50_s * 1e3 for h in item.hours if h.token_gap_p50_s is not None},
        {h.hour: h.token_gap_p95_s * 1e3 for h in item.hours if h.token_gap_p95_s is not None},
        targets.token_gap_ms if targets else None,
        "milliseconds",
    )
    figure_elements = [
        f"<figure><figcaption>{caption}</figcaption>{plots.draw(series, gaps, last_hour)}</figure>"
        for caption, series in (
            ("Time to first token", first_token),
            ("Time between tokens", token_gap),
        )
        if series.p95_by_hour
    ]
    outcomes = ", ".join(
        f"{count:,} {TEXT_BY_OUTCOME[kind]}"
        for kind in day_figures.OutcomeKind
        if (count := item.count_by_outcome.get(kind, 0))
    )
    return (
        f'<div class="class"><h3>{_escape(item.name)}</h3><p class="note">{outcomes}</p>'
        f'<div class="plots">{"".join(figure_elements)}</div></div>'
    )


def _failures_section(content: summary.Summary) -> str:
    counts = [
        "<li><b>"
        f"{sum(row.count for row in content.confirmed_failures if row.failure is failure):,}</b> "
        f"{summary.TEXT_BY_FAILURE[failure]}</li>"
        for failure in summary.CONFIRMED_FAILURES
    ]
    parts = ["<section><h2>Requests lost, run twice, cut off</h2>"]
    parts.append(f'<ul class="counts">{"".join(counts)}</ul>')
    if content.confirmed_failures:
        parts.append(_failure_table(content.confirmed_failures))
    return "\n".join(parts) + "</section>"


def _failure_table(failure_rows: tuple[summary.FailureRow, ...]) -> str:
    rows = [
        [
            _escape(row.organisation),
            _escape(row.class_name),
            f"{row.count:,} {summary.TEXT_BY_FAILURE[row.failure]}",
            _time_span(row.first_minute * 60, row.last_minute * 60),
        ]
        for row in failure_rows[:ROWS_LIMIT]
    ]
    return _table(("Organisation", "Class", "Requests", "When"), rows, len(failure_rows))


def _events_section(content: summary.Summary) -> str:
    shown = sorted(content.impacts, key=lambda impact: -impact.severity())[:ROWS_LIMIT]
    shown.sort(key=lambda impact: impact.event.at_s)
    rows = [
        [
            summary.format_time(impact.event.at_s),
            _escape(
                ("Operator: " if impact.event.kind is day_figures.EventKind.OPERATOR else "Fault: ")
                + impact.event.text
                + (f" ({impact.event.source})" if impact.event.source else "")
            ),
            _impact_markup(impact),
        ]
        for impact in shown
    ]
    parts = ["<section><h2>What operators and faults did</h2>"]
    if not rows:
        parts.append("<p>Nothing was reported.</p>")
    else:
        head = ("When", "What", f"Callers, next {summary.IMPACT_WINDOW_MINUTES} min")
        parts.append(_table(head, rows, len(content.impacts)))
    if content.dropped_events:
        dropped = summary.format_count(content.dropped_events, "event")
        parts.append(f"<p>{dropped} found no room in the report and are not known.</p>")
    return "\n".join(parts) + "</section>"


def _impact_markup(impact: summary.EventImpact) -> str:
    phrases = [
        f"<b>{summary.format_count(count, 'request')} {summary.TEXT_BY_FAILURE[failure]}</b>"
        for failure, count in impact.failures_after.items()
    ]
    if impact.misses_after:
        missed = summary.format_count(impact.misses_after, "request")
        phrases.append(f"{missed} missed the target ({impact.misses_before:,} before)")
    if not impact.fully_reported:
        phrases.append("not fully known")
    return "; ".join(phrases) or "nothing"


def _unknown_section(content: summary.Summary) -> str:
    parts = ["<section><h2>What remains unknown</h2>"]
    if content.unknown_outcomes:
        parts.append("<p>It is not known whether these requests ran:</p>")
        parts.append(_failure_table(content.unknown_outcomes))
    if content.gaps:
        rows = [
            [
                _escape(gap.vm),
                _time_span(gap.from_s, gap.until_s),
                _escape(gap.reason),
            ]
            for gap in content.gaps[:ROWS_LIMIT]
        ]
        parts.append(
            "<p>These VMs did not report all of the day. Which requests they served then, and for "
            "whom, is not known:</p>"
        )
        parts.append(_table(("VM", "When", "Why"), rows, len(content.gaps)))
    if not content.unknown_outcomes and not content.gaps:
        until = summary.format_time(content.known_until_s)
        parts.append(f"<p>Nothing up to {until}.</p>")
    return "\n".join(parts) + "</section>"


def _target_text(item: summary.ClassSummary) -> str:
    targets = item.targets
    if targets is None:
        return "not declared now"
    share = summary.format_percent(targets.share, targets.share)
    first_token = f"{share} % within {targets.first_token_s:g}&nbsp;s"
    if item.whole_day.requests and item.whole_day.token_gap_p50_s is None:
        return first_token
    return f"{first_token}, then {targets.token_gap_ms:g}&nbsp;ms between tokens"


def _share_markup(item: summary.ClassSummary) -> str:
    share = item.in_target_share()
    if share is None:
        return "no requests"
    number = summary.format_percent(share, item.targets.share if item.targets else 0.95) + "&nbsp;%"
    met = item.target_met()
    if met is None:
        return number
    return f"{number} <b class='met'>met</b>" if met else f"{number} <b class='missed'>missed</b>"


def _percentile_pair(median_s: float | None, high_s: float | None) -> str:
    if median_s is None or high_s is None:
        return "none"
    if high_s < 1.0:
        return f'<span class="pair">{median_s * 1e3:.3g} / {high_s * 1e3:.3g} ms</span>'
    return f'<span class="pair">{median_s:.2f} / {high_s:.2f} s</span>'


def _time_span(from_s: float, until_s: float | None) -> str:
    start = summary.format_time(from_s)
    if until_s is None:
        return f"from {start}"
    end = summary.format_time(until_s)
    return start if end == start else f"{start} to {end}"


def _table(head: tuple[str, ...], rows: list[list[str]], total: int) -> str:
    cells = "".join(f"<th>{title}</th>" for title in head)
    body = "".join(
        "<tr>"
        + "".join(
            f'<td data-title="{title}"><span>{cell}</span></td>'
            for title, cell in zip(head, row, strict=True)
        )
        + "</tr>"
        for row in rows
    )
    more = ""
    if total > len(rows):
        more = f'<p class="note">and {total - len(rows):,} more, in the JSON form of this page</p>'
    return f"<table><thead><tr>{cells}</tr></thead><tbody>{body}</tbody></table>{more}"


def _escape(text: str) -> str:
    visible = "".join(c if c.isprintable() else "\N{REPLACEMENT CHARACTER}" for c in text)
    return html.escape(visible)
