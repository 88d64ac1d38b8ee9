"""Guards against a favourable verdict on incomplete reports, and against injected markup."""

from __future__ import annotations

import html.parser
import json

import hypothesis
import pytest
from hypothesis import strategies

from gentianpaddle_core import day_figures, declarations, ids
from gentianpaddle_report import evening_page, summary

DATE = "2026-12-04"
QUOTE = ids.ClassName("quote")
VM = ids.VmId("entry1")
RequestFailure = day_figures.RequestFailure
Kind = day_figures.OutcomeKind


def declaration(name: str = QUOTE) -> declarations.Declaration:
    target = declarations.ClassOfWork(ids.ClassName(name), 1.8, 27.0, 0.95, 30.0)
    return declarations.Declaration(
        class_by_name={target.name: target},
        model_by_name={},
        service_by_name={},
        organisation_by_id={},
        data_centre_by_id={},
        data_centres_out=frozenset(),
        vms_out=frozenset(),
    )


def figures(
    done: int = 100,
    missed: int = 0,
    name: str = QUOTE,
    gaps: tuple[day_figures.Gap, ...] = (),
    known_until_s: float = day_figures.DAY_S,
) -> day_figures.DayFigures:
    cell = day_figures.HourFigures({Kind.DONE: done + missed, Kind.REFUSED: 7}, done)
    cell.first_token.add(0.5, done + missed)
    cell.token_gap.add(0.02, done + missed)
    content = day_figures.FigureSet()
    if done + missed:
        content.hour_figures_by_key[6, ids.ClassName(name)] = cell
    return day_figures.DayFigures(DATE, content, gaps, known_until_s, (VM,))


def add_failure(day: day_figures.DayFigures, failure: RequestFailure) -> None:
    day.content.failures_by_key[361, QUOTE, failure, ids.OrganisationId("roofers")] = 1


REPORT_GAP = day_figures.Gap(VM, 3_600.0, None, "no final report")


@pytest.mark.parametrize(
    ("day", "failure", "state", "phrase"),
    [
        (figures(), None, "went_well", "went well"),
        (figures(95, 5), None, "went_well", "went well"),
        (figures(94, 6), None, "did_not_go_well", "quote met its target for 94 % of its requests"),
        (figures(), RequestFailure.LOST, "did_not_go_well", "1 request was lost"),
        (figures(), RequestFailure.RUN_TWICE, "did_not_go_well", "1 request was run twice"),
        (figures(), RequestFailure.CUT_OFF, "did_not_go_well", "1 request was cut off"),
        (
            figures(),
            RequestFailure.UNKNOWN,
            "cannot_be_told",
            "the outcome of 1 request is unknown",
        ),
        (figures(gaps=(REPORT_GAP,)), None, "cannot_be_told", "the report of entry1 is incomplete"),
        (figures(94, 6, gaps=(REPORT_GAP,)), None, "did_not_go_well", "entry1 is incomplete"),
        (figures(0, 0), None, "cannot_be_told", "no requests were reported"),
        (figures(known_until_s=61_200.0), None, "went_well", "up to 17:00, went well"),
    ],
)
def test_verdict_reports_failures_and_incomplete_data(
    day: day_figures.DayFigures, failure: RequestFailure | None, state: str, phrase: str
):
    if failure is not None:
        add_failure(day, failure)
    document = json.loads(evening_page.render_json(day, declaration(), DATE))
    assert document["verdict"]["state"] == state
    assert phrase in document["verdict"]["sentence"]


def test_event_impact_counts_only_requests_within_its_window():
    day = figures(90, 10)
    content = day.content
    content.misses_by_minute = {(355, QUOTE): 1, (361, QUOTE): 4, (372, QUOTE): 50}
    add_failure(day, RequestFailure.CUT_OFF)
    content.add_event(
        day_figures.Event("revision-1", day_figures.EventKind.OPERATOR, 21_610.0, "out", "siti")
    )
    impacts = summary.summarise(day, declaration(), DATE).impacts
    assert [(e.misses_before, e.misses_after, e.failures_after) for e in impacts] == [
        (1, 4, {RequestFailure.CUT_OFF: 1})
    ]
    page = evening_page.render_html(day, declaration(), DATE)
    assert "1 request cut off" in page
    assert "4 requests missed the target (1 before)" in page


class MarkupCollector(html.parser.HTMLParser):
    """Collects the names of elements and attributes, and the visible text."""

    def __init__(self) -> None:
        super().__init__()
        self.tags: set[str] = set()
        self.attributes: set[str] = set()
        self.text = ""

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        self.tags.add(tag)
        self.attributes |= {name for name, _ in attrs}

    def handle_data(self, data: str) -> None:
        self.text += data


def collect_markup(page: str) -> MarkupCollector:
    collector = MarkupCollector()
    collector.feed(page)
    return collector


TRUSTED_PAGE = collect_markup(
    evening_page.render_html(figures(gaps=(REPORT_GAP,)), declaration(), DATE)
)


@hypothesis.settings(max_examples=20)
@hypothesis.example("<script>alert(1)</script>")
@hypothesis.example("'\"><img src=x onerror=alert(1)>$x$ & \x00\ud800")
@hypothesis.given(strategies.text(min_size=1, max_size=30))
def test_untrusted_text_adds_no_markup(text: str):
    day = figures(name=text, gaps=(day_figures.Gap(ids.VmId(text), 0.0, None, text),))
    content = day.content
    for failure in RequestFailure:
        content.failures_by_key[361, ids.ClassName(text), failure, ids.OrganisationId(text)] = 1
    content.add_event(day_figures.Event(text, day_figures.EventKind.FAULT, 21_610.0, text, text))
    page = evening_page.render_html(day, declaration(text), DATE)
    page.encode()
    collector = collect_markup(page)
    assert collector.tags - TRUSTED_PAGE.tags <= {"b", "li"}
    assert collector.attributes <= TRUSTED_PAGE.attributes
    assert "script" not in collector.tags
    assert json.loads(evening_page.render_json(day, declaration(text), DATE))["date"] == DATE


def test_truncated_table_states_omitted_rows_and_keeps_severe_events():
    day = figures()
    for minute in range(1_700):
        event = day_figures.Event(
            f"revision-{minute}", day_figures.EventKind.OPERATOR, minute * 50.0, "changed"
        )
        day.content.add_event(event)
    day.content.misses_by_minute[700, QUOTE] = 9
    page = evening_page.render_html(day, declaration(), DATE)
    assert "and 1,660 more" in page
    assert "9 requests missed the target (0 before)" in page
