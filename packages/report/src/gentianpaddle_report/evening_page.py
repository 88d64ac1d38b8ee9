"""The owner's evening page as HTML without script, and the same content as JSON."""

from __future__ import annotations

import html
import json
import typing

from gentianpaddle_core import day_figures, declarations
from gentianpaddle_report import _style, summary

PLOTTED_CLASSES_LIMIT = 12
"""Classes with plots, those with the most requests; a page of more is too long to read."""

ROWS_LIMIT = 40
"""Rows of a table; the JSON form holds all."""

TITLES = {
    summary.State.WENT_WELL: "Went well",
    summary.State.DID_NOT_GO_WELL: "Did not go well",
    summary.State.CANNOT_BE_TOLD: "Cannot be told",
}

OUTCOME_WORDS = {
    day_figures.OutcomeKind.DONE: "done",
    day_figures.OutcomeKind.NOT_RUN: "not run",
    day_figures.OutcomeKind.UNKNOWN: "unknown",
    day_figures.OutcomeKind.TURNED_AWAY: "turned away for want of capacity",
    day_figures.OutcomeKind.REFUSED: "refused for a mistake of the caller",
}


def render_html(
    figures: day_figures.DayFigures, declaration: declarations.Declaration, date: str
) -> str:
    """Render the page.

    Args:
        figures: Merged figures of the day.
        declaration: Accepted declaration.
        date: Day as YYYY-MM-DD.

    Returns:
        A whole HTML document without script or outside resources.
    """
    content = summary.summarise(figures, declaration, date)
    sections = [
        _verdict(content),
        _classes(content),
        _harms(content),
        _events(content),
        _unknown(content),
    ]
    return (
        '<!DOCTYPE html>\n<html lang="en">\n<head>\n<meta charset="utf-8">\n'
        '<meta name="viewport" content="width=device-width, initial-scale=1">\n'
        f"<title>{_text(TITLES[content.verdict.state])}: {_text(date)}</title>\n"
        f"<style>{_style.CSS}</style>\n</head>\n<body>\n<main>\n"
        + "\n".join(sections)
        + "\n</main>\n</body>\n</html>\n"
    )


def render_json(
    figures: day_figures.DayFigures, declaration: declarations.Declaration, date: str
) -> str:
    """Render the same content for programs.

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
        "known_until": summary.clock(content.known_until_s),
        "verdict": {
            "state": content.verdict.state.value,
            "sentence": content.verdict.sentence,
            "bad": content.verdict.bad,
            "unknown": content.verdict.unknown,
        },
        "classes": [_class_document(item) for item in content.classes],
        "harmed": [_harm_document(row) for row in content.harms],
        "unknown_outcomes": [_harm_document(row) for row in content.unknown],
        "events": [
            {
                "at": summary.clock(effect.event.at_s),
                "kind": effect.event.kind.value,
                "text": effect.event.text,
                "source": effect.event.source,
                "misses_before": effect.misses_before,
                "misses_after": effect.misses_after,
                "harmed_after": {h.value: n for h, n in effect.harmed_after.items()},
                "known": effect.known,
            }
            for effect in content.effects
        ],
        "dropped_events": content.dropped_events,
        "not_reported": [
            {
                "vm": gap.vm,
                "from": summary.clock(gap.from_s),
                "until": None if gap.until_s is None else summary.clock(gap.until_s),
                "reason": gap.reason,
            }
            for gap in content.gaps
        ],
    }
    return json.dumps(document, indent=1)


def _class_document(item: summary.ClassSummary) -> dict[str, typing.Any]:
    declared = item.declared
    return {
        "name": item.name,
        "target": None
        if declared is None
        else {
            "first_token_s": declared.first_token_s,
            "token_gap_ms": declared.token_gap_ms,
            "share": declared.share,
        },
        "share": item.share(),
        "met": item.met(),
        "outcomes": {kind.value: count for kind, count in item.count_by_outcome.items()},
        "day": _hour_document(item.day),
        "hours": [{"hour": hour.hour} | _hour_document(hour) for hour in item.hours],
    }


def _hour_document(hour: summary.HourFigures) -> dict[str, typing.Any]:
    return {
        "requests": hour.requests,
        "in_target": hour.in_target,
        "first_token_p50_s": hour.first_token_p50_s,
        "first_token_p95_s": hour.first_token_p95_s,
        "token_gap_p50_s": hour.token_gap_p50_s,
        "token_gap_p95_s": hour.token_gap_p95_s,
    }


def _harm_document(row: summary.HarmRow) -> dict[str, typing.Any]:
    return {
        "harm": row.harm.value,
        "class": row.class_name,
        "organisation": row.organisation,
        "count": row.count,
        "from": summary.clock(row.first_minute * 60),
        "until": summary.clock(row.last_minute * 60),
    }


def _verdict(content: summary.Summary) -> str:
    verdict = content.verdict
    sentence = _text(verdict.sentence).replace(" %", "&nbsp;%")
    return (
        f'<header class="{verdict.state.value}"><p class="date">{_text(content.date)}</p>'
        f"<h1>{_text(TITLES[verdict.state])}</h1><p>{sentence}</p></header>"
    )


def _classes(content: summary.Summary) -> str:
    rows = [
        [
            _text(item.name),
            _target(item),
            f"{item.day.requests:,}",
            _share(item),
            _pair(item.day.first_token_p50_s, item.day.first_token_p95_s),
            _pair(item.day.token_gap_p50_s, item.day.token_gap_p95_s),
        ]
        for item in content.classes
    ]
    head = ("Class", "Target", "Requests", "In target", "First token", "Between tokens")
    parts = ["<section><h2>Classes</h2>", _table(head, rows, len(rows))]
    parts.append('<p class="note">Times are p50 / p95: half and 95 in 100 were within them.</p>')
    spans = summary.unreported_hours(content)
    busiest = sorted(content.classes, key=lambda item: -item.day.requests)
    plotted = {item.name for item in busiest[:PLOTTED_CLASSES_LIMIT] if item.hours}
    parts += [_class_details(item, spans) for item in content.classes if item.name in plotted]
    if spans and plotted:
        parts.append('<p class="note">Grey: a VM did not report all of that time.</p>')
    return "\n".join(parts) + "</section>"


def _class_details(item: summary.ClassSummary, spans: list[tuple[float, float]]) -> str:
    # matplotlib takes about 60 MB, which only a process that draws pages shall pay.
    from gentianpaddle_report import plots

    declared = item.declared
    last_hour = max(24, item.hours[-1].hour + 1)
    first = plots.Series(
        {h.hour: h.first_token_p50_s for h in item.hours if h.first_token_p50_s is not None},
        {h.hour: h.first_token_p95_s for h in item.hours if h.first_token_p95_s is not None},
        declared.first_token_s if declared else None,
        "seconds",
    )
    gap = plots.Series(
        {h.hour: h.token_gap_p50_s * 1e3 for h in item.hours if h.token_gap_p50_s is not None},
        {h.hour: h.token_gap_p95_s * 1e3 for h in item.hours if h.token_gap_p95_s is not None},
        declared.token_gap_ms if declared else None,
        "milliseconds",
    )
    drawn = [
        f"<figure><figcaption>{caption}</figcaption>{plots.draw(series, spans, last_hour)}</figure>"
        for caption, series in (("Time to first token", first), ("Time between tokens", gap))
        if series.high
    ]
    outcomes = ", ".join(
        f"{count:,} {OUTCOME_WORDS[kind]}"
        for kind in day_figures.OutcomeKind
        if (count := item.count_by_outcome.get(kind, 0))
    )
    return (
        f'<div class="class"><h3>{_text(item.name)}</h3><p class="note">{outcomes}</p>'
        f'<div class="plots">{"".join(drawn)}</div></div>'
    )


def _harms(content: summary.Summary) -> str:
    counts = [
        f"<li><b>{sum(row.count for row in content.harms if row.harm is harm):,}</b> "
        f"{summary.HARM_WORDS[harm]}</li>"
        for harm in summary.UNWANTED
    ]
    parts = ["<section><h2>Requests lost, run twice, cut off</h2>"]
    parts.append(f'<ul class="counts">{"".join(counts)}</ul>')
    if content.harms:
        parts.append(_harm_table(content.harms))
    return "\n".join(parts) + "</section>"


def _harm_table(harms: tuple[summary.HarmRow, ...]) -> str:
    rows = [
        [
            _text(row.organisation),
            _text(row.class_name),
            f"{row.count:,} {summary.HARM_WORDS[row.harm]}",
            _span(row.first_minute * 60, row.last_minute * 60),
        ]
        for row in harms[:ROWS_LIMIT]
    ]
    return _table(("Organisation", "Class", "Requests", "When"), rows, len(harms))


def _events(content: summary.Summary) -> str:
    shown = sorted(content.effects, key=lambda effect: -effect.weight())[:ROWS_LIMIT]
    shown.sort(key=lambda effect: effect.event.at_s)
    rows = [
        [
            summary.clock(effect.event.at_s),
            _text(
                ("Operator: " if effect.event.kind is day_figures.EventKind.OPERATOR else "Fault: ")
                + effect.event.text
                + (f" ({effect.event.source})" if effect.event.source else "")
            ),
            _felt(effect),
        ]
        for effect in shown
    ]
    parts = ["<section><h2>What operators and faults did</h2>"]
    if not rows:
        parts.append("<p>Nothing was reported.</p>")
    else:
        head = ("When", "What", f"Callers, next {summary.FELT_WINDOW_MINUTES} min")
        parts.append(_table(head, rows, len(content.effects)))
    if content.dropped_events:
        dropped = summary.count_of(content.dropped_events, "event")
        parts.append(f"<p>{dropped} found no room in the report and are not known.</p>")
    return "\n".join(parts) + "</section>"


def _felt(effect: summary.Effect) -> str:
    phrases = [
        f"<b>{summary.count_of(count, 'request')} {summary.HARM_WORDS[harm]}</b>"
        for harm, count in effect.harmed_after.items()
    ]
    if effect.misses_after:
        missed = summary.count_of(effect.misses_after, "request")
        phrases.append(f"{missed} missed the target ({effect.misses_before:,} before)")
    if not effect.known:
        phrases.append("not fully known")
    return "; ".join(phrases) or "nothing"


def _unknown(content: summary.Summary) -> str:
    parts = ["<section><h2>What remains unknown</h2>"]
    if content.unknown:
        parts.append("<p>It is not known whether these requests ran:</p>")
        parts.append(_harm_table(content.unknown))
    if content.gaps:
        rows = [
            [
                _text(gap.vm),
                _span(gap.from_s, gap.until_s),
                _text(gap.reason),
            ]
            for gap in content.gaps[:ROWS_LIMIT]
        ]
        parts.append(
            "<p>These VMs did not report all of the day. Which requests they served then, and for "
            "whom, is not known:</p>"
        )
        parts.append(_table(("VM", "When", "Why"), rows, len(content.gaps)))
    if not content.unknown and not content.gaps:
        until = summary.clock(content.known_until_s)
        parts.append(f"<p>Nothing up to {until}.</p>")
    return "\n".join(parts) + "</section>"


def _target(item: summary.ClassSummary) -> str:
    declared = item.declared
    if declared is None:
        return "not declared now"
    share = summary.percent(declared.share, declared.share)
    first = f"{share} % within {declared.first_token_s:g}&nbsp;s"
    if item.day.requests and item.day.token_gap_p50_s is None:
        return first
    return f"{first}, then {declared.token_gap_ms:g}&nbsp;ms between tokens"


def _share(item: summary.ClassSummary) -> str:
    share = item.share()
    if share is None:
        return "no requests"
    number = summary.percent(share, item.declared.share if item.declared else 0.95) + "&nbsp;%"
    met = item.met()
    if met is None:
        return number
    return f"{number} <b class='met'>met</b>" if met else f"{number} <b class='missed'>missed</b>"


def _pair(median_s: float | None, high_s: float | None) -> str:
    if median_s is None or high_s is None:
        return "none"
    if high_s < 1.0:
        return f'<span class="pair">{median_s * 1e3:.3g} / {high_s * 1e3:.3g} ms</span>'
    return f'<span class="pair">{median_s:.2f} / {high_s:.2f} s</span>'


def _span(from_s: float, until_s: float | None) -> str:
    start = summary.clock(from_s)
    if until_s is None:
        return f"from {start}"
    end = summary.clock(until_s)
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


def _text(text: str) -> str:
    visible = "".join(c if c.isprintable() else "\N{REPLACEMENT CHARACTER}" for c in text)
    return html.escape(visible)
