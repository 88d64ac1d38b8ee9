"""Guards against figures that are counted twice, lost silently, or counted as good when unknown."""

from __future__ import annotations

import random

import hypothesis
import pytest
from gentianpaddle_core import day_codec, day_figures, day_recorder, ids, object_api
from hypothesis import strategies

QUOTE = ids.ClassName("quote")
ORGANISATION = ids.OrganisationId("roofers")
DATE = "2026-12-04"
Kind = day_figures.OutcomeKind


def recorder(vm: str = "entry1", start_s: float = 0.0) -> day_recorder.DayRecorder:
    return day_recorder.new_day_recorder(
        DATE, ids.VmId(vm), ids.Incarnation(7), start_s, random.Random(1)
    )


def request(kind: Kind = Kind.DONE, in_target: bool = True) -> day_recorder.Observation:
    return day_recorder.Observation(QUOTE, ORGANISATION, kind, in_target, 0.5)


def write(source: day_recorder.DayRecorder, now_s: float) -> day_figures.Part | None:
    """Make the due write successfully and return what it holds."""
    due = source.next_write(now_s)
    if due is None:
        return None
    source.written(now_s, due, object_api.Written(due.expected_version + 1))
    part = day_codec.decode(due.value)
    assert isinstance(part, day_figures.Part)
    return part


def writings(vm: str, seed: int) -> list[day_figures.Part]:
    """Return all writings of a VM that records one request a minute for three hours."""
    rng = random.Random(seed)
    source = recorder(vm)
    found = []
    for minute in range(180):
        kind = rng.choice(list(Kind))
        source.record(minute * 60.0, request(kind, kind is Kind.DONE))
        found.append(write(source, minute * 60.0))
    source.finish(10_800.0, stopping=True)
    while not source.drained():
        found.append(write(source, 10_800.0))
    return [part for part in found if part is not None]


@hypothesis.given(strategies.randoms(use_true_random=False))
def test_order_and_repetition_of_parts_do_not_matter(rng: random.Random):
    parts = PARTS + rng.choices(PARTS, k=40)
    rng.shuffle(parts)
    left, right = day_figures.new_part_set(DATE), day_figures.new_part_set(DATE)
    for part in parts:
        rng.choice((left, right)).add(part)
    left.merge(right)
    figures = left.figures()
    assert figures == EXPECTED
    counts = [sum(cell.count_by_outcome.values()) for cell in figures.content.cell_by_key.values()]
    assert sum(counts) == 360
    assert figures.gaps == ()


PARTS = writings("entry1", 1) + writings("entry2", 2)
_expected_set = day_figures.new_part_set(DATE)
for _part in PARTS:
    _expected_set.add(_part)
EXPECTED = _expected_set.figures()


@pytest.mark.parametrize(
    ("numbers", "as_of_s", "gaps"),
    [
        ((1, 2, 3, 4), 86_400.0, []),
        ((1, 3, 4), 86_400.0, [(3_600.0, 7_200.0)]),
        ((2, 3, 4), 86_400.0, [(0.0, 3_600.0)]),
        ((1, 2, 3), 86_400.0, [(10_800.0, None)]),
        ((1, 2, 3), 10_900.0, []),
        ((1, 2, 3), 11_100.0, [(10_800.0, None)]),
        ((), 86_400.0, [(0.0, None)]),
    ],
)
def test_what_no_part_covers_is_a_gap(
    numbers: tuple[int, ...], as_of_s: float, gaps: list[tuple[float, float | None]]
):
    parts = day_figures.new_part_set(DATE)
    for part in writings("entry1", 1):
        if part.id.number in numbers:
            parts.add(part)
    figures = parts.figures(as_of_s, [ids.VmId("entry1")])
    assert [(gap.from_s, gap.until_s) for gap in figures.gaps] == gaps


@pytest.mark.parametrize("takes_effect", [True, False])
@pytest.mark.parametrize("answer", [object_api.AnswerLost("-"), object_api.StoreUnavailable("-")])
def test_failed_writes_lose_and_repeat_nothing(answer: object_api.PutResult, takes_effect: bool):
    effect = takes_effect and isinstance(answer, object_api.AnswerLost)
    source = recorder()
    version = 0
    stored: dict[str, tuple[int, bytes]] = {}
    rng = random.Random(3)
    for second in range(0, 20_000, 10):
        if second < 10_000:
            source.record(float(second), request())
        elif second == 10_000:
            source.finish(10_000.0, stopping=False)
        due = source.next_write(float(second))
        if due is None:
            continue
        version = stored.get(due.key, (0, b""))[0]
        result: object_api.PutResult = object_api.Written(version + 1)
        if due.expected_version != version:
            result = object_api.VersionConflict(version)
        elif rng.random() < 0.5:
            result = answer
        if isinstance(result, object_api.Written) or (result is answer and effect):
            stored[due.key] = (version + 1, due.value)
        source.written(float(second), due, result)
    assert source.drained()
    parts = day_figures.new_part_set(DATE)
    for _, value in stored.values():
        part = day_codec.decode(value)
        assert isinstance(part, day_figures.Part)
        parts.add(part)
    figures = parts.figures()
    assert figures.gaps == ()
    assert sum(cell.in_target for cell in figures.content.cell_by_key.values()) == 1_000


def test_parts_stay_below_the_value_limit_and_the_write_budget():
    source = recorder()
    sizes = []
    for index in range(20_000):
        name = ids.ClassName(f"{index % 300}" + "\x01" * 90)
        organisation = ids.OrganisationId(f"{index}" + "\U0001f600\ud800" * 40)
        source.record(
            index * 0.1, day_recorder.Observation(name, organisation, Kind.UNKNOWN, False)
        )
        source.record_event(
            day_figures.Event(f"{index}", day_figures.EventKind.FAULT, index * 0.1, "\x02" * 999)
        )
        due = source.next_write(index * 0.1)
        if due is not None:
            sizes.append(len(due.value))
            assert isinstance(day_codec.decode(due.value), day_figures.Part)
            done = object_api.Written(due.expected_version + 1)
            source.written(index * 0.1, due, done)
    assert max(sizes) <= object_api.VALUE_LIMIT_BYTES


def test_writes_of_the_design_size_stay_within_few_a_second():
    recorders = [
        day_recorder.new_day_recorder(
            DATE, ids.VmId(f"v{i}"), ids.Incarnation(1), 0.0, random.Random(i)
        )
        for i in range(360)
    ]
    writes_by_second = [
        sum(write(source, float(second)) is not None for source in recorders)
        for second in range(1_800)
    ]
    assert sum(writes_by_second[60:]) / len(writes_by_second[60:]) <= 4.5
    assert max(writes_by_second) <= 40


@pytest.mark.parametrize(
    "value",
    [b"", b"[]", b"{}", b'{"format":1}', b"\xff", b"[" * 100_000, b'{"format":1,"date":"x"}'],
)
def test_corrupt_values_are_recognised(value: bytes):
    assert isinstance(day_codec.decode(value), day_codec.Corrupt)


def test_resolved_requests_do_not_remain_unknown():
    source = recorder()
    for key in ("a", "a", "b"):
        source.record_harm(1.0, day_figures.Harm.UNKNOWN, QUOTE, ORGANISATION, ids.RequestKey(key))
    source.record_resolved(2.0, ids.RequestKey("a"))
    parts = day_figures.new_part_set(DATE)
    part = write(source, 30.0)
    assert part is not None
    parts.add(part)
    assert parts.figures(60.0).unknown_places() == ((0, QUOTE, ORGANISATION),)
