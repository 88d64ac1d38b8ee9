"""Guards against figures that are counted twice, lost silently, or reported as good if unknown."""

from __future__ import annotations

import random

import hypothesis
import pytest
from hypothesis import strategies

from gentianpaddle_core import day_codec, day_figures, day_recorder, ids, object_api

QUOTE = ids.ClassName("quote")
ORGANISATION = ids.OrganisationId("roofers")
DATE = "2026-12-04"
OutcomeKind = day_figures.OutcomeKind


def new_recorder(vm: str = "entry1", start_s: float = 0.0) -> day_recorder.DayRecorder:
    return day_recorder.new_day_recorder(
        DATE, ids.VmId(vm), ids.Incarnation(7), start_s, random.Random(1)
    )


def observation(
    kind: OutcomeKind = OutcomeKind.DONE, in_target: bool = True
) -> day_recorder.Observation:
    return day_recorder.Observation(QUOTE, ORGANISATION, kind, in_target, 0.5)


def apply_next_write(source: day_recorder.DayRecorder, now_s: float) -> day_figures.Part | None:
    """Carry out the due write, if any, and return the part written."""
    due = source.next_write(now_s)
    if due is None:
        return None
    source.on_write_result(now_s, due, object_api.Written(due.expected_version + 1))
    part = day_codec.decode(due.value)
    assert isinstance(part, day_figures.Part)
    return part


def all_writes(vm: str, seed: int) -> list[day_figures.Part]:
    """Return all parts that a VM writes while it records one request a minute for three hours."""
    rng = random.Random(seed)
    source = new_recorder(vm)
    found = []
    for minute in range(180):
        source.record(minute * 60.0, observation(rng.choice(list(OutcomeKind))))
        found.append(apply_next_write(source, minute * 60.0))
    source.finish(10_800.0, stopping=True)
    while not source.is_drained():
        found.append(apply_next_write(source, 10_800.0))
    return [part for part in found if part is not None]


@hypothesis.given(strategies.randoms(use_true_random=False))
def test_order_and_repetition_of_parts_do_not_matter(rng: random.Random):
    """Guards against totals that depend on the order or repetition of parts."""
    parts = PARTS + rng.choices(PARTS, k=40)
    rng.shuffle(parts)
    found = day_figures.new_part_set(DATE)
    for part in parts:
        found.add(part)
        found.figures()
    figures = found.figures()
    assert figures == EXPECTED
    counts = [
        sum(cell.count_by_outcome.values()) for cell in figures.content.hour_figures_by_key.values()
    ]
    assert sum(counts) == 360
    assert [
        (cell.in_target, cell.target_request_count())
        for cell in figures.content.hour_figures_by_key.values()
    ] == [
        (
            cell.count_by_outcome[OutcomeKind.DONE],
            sum(cell.count_by_outcome.values()) - cell.count_by_outcome[OutcomeKind.REFUSED],
        )
        for cell in figures.content.hour_figures_by_key.values()
    ]
    assert figures.gaps == ()


PARTS = all_writes("entry1", 1) + all_writes("entry2", 2)
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
    """Guards against time without figures that is not reported as a gap."""
    parts = day_figures.new_part_set(DATE)
    for part in all_writes("entry1", 1):
        if part.id.number in numbers:
            parts.add(part)
    figures = parts.figures(as_of_s, [ids.VmId("entry1")])
    assert [(gap.from_s, gap.until_s) for gap in figures.gaps] == gaps


@pytest.mark.parametrize("takes_effect", [True, False])
@pytest.mark.parametrize(
    "failed_result", [object_api.ResponseLost("-"), object_api.StoreUnavailable("-")]
)
def test_failed_writes_lose_and_repeat_nothing(
    failed_result: object_api.PutResult, takes_effect: bool
):
    """Guards against requests that are lost or counted twice after failed writes."""
    stores_anyway = takes_effect and isinstance(failed_result, object_api.ResponseLost)
    source = new_recorder()
    version = 0
    stored: dict[str, tuple[int, bytes]] = {}
    rng = random.Random(3)
    for second in range(0, 20_000, 10):
        if second < 10_000:
            source.record(float(second), observation())
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
            result = failed_result
        if isinstance(result, object_api.Written) or (result is failed_result and stores_anyway):
            stored[due.key] = (version + 1, due.value)
        source.on_write_result(float(second), due, result)
    assert source.is_drained()
    parts = day_figures.new_part_set(DATE)
    for _, value in stored.values():
        part = day_codec.decode(value)
        assert isinstance(part, day_figures.Part)
        parts.add(part)
    figures = parts.figures()
    assert figures.gaps == ()
    assert sum(cell.in_target for cell in figures.content.hour_figures_by_key.values()) == 1_000


def test_parts_stay_below_the_value_limit_and_the_write_budget():
    """Guards against a part larger than the value limit, with long names that JSON escapes."""
    source = new_recorder()
    sizes = []
    for index in range(20_000):
        name = ids.ClassName(f"{index % 300}" + "\x01" * 90)
        organisation = ids.OrganisationId(f"{index}" + "\U0001f600\ud800" * 40)
        source.record(
            index * 0.1, day_recorder.Observation(name, organisation, OutcomeKind.UNKNOWN, False)
        )
        source.record_event(
            day_figures.Event(f"{index}", day_figures.EventKind.FAULT, index * 0.1, "\x02" * 999)
        )
        due = source.next_write(index * 0.1)
        if due is not None:
            sizes.append(len(due.value))
            assert isinstance(day_codec.decode(due.value), day_figures.Part)
            result = object_api.Written(due.expected_version + 1)
            source.on_write_result(index * 0.1, due, result)
    assert max(sizes) <= object_api.VALUE_LIMIT_BYTES


def test_writes_of_the_design_size_stay_within_few_a_second():
    """Guards against a fleet of 360 VMs that overloads the object API with writes."""
    recorders = [
        day_recorder.new_day_recorder(
            DATE, ids.VmId(f"v{i}"), ids.Incarnation(1), 0.0, random.Random(i)
        )
        for i in range(360)
    ]
    writes_by_second = [
        sum(apply_next_write(source, float(second)) is not None for source in recorders)
        for second in range(1_800)
    ]
    assert sum(writes_by_second[60:]) / len(writes_by_second[60:]) <= 4.5
    assert max(writes_by_second) <= 40


@pytest.mark.parametrize(
    "value",
    [b"", b"[]", b"{}", b'{"format":1}', b"\xff", b"[" * 100_000, b'{"format":1,"date":"x"}'],
)
def test_corrupt_values_are_recognised(value: bytes):
    """Guards against an exception while a damaged part is read."""
    assert isinstance(day_codec.decode(value), day_codec.CorruptPart)


@pytest.mark.parametrize(
    ("parts", "gaps"),
    [
        ([(1, 1, 600.0, True, True), (2, 1, 900.0, True, True)], []),
        ([(1, 1, 600.0, False, False), (2, 1, 900.0, True, True)], [(600.0, 800.0)]),
        ([(1, 1, 600.0, False, False), (1, 2, 900.0, True, True)], [(600.0, 800.0)]),
        ([(1, 1, 600.0, True, False), (1, 2, 900.0, True, True)], []),
    ],
)
def test_open_parts_with_successors_are_gaps(
    parts: list[tuple[int, int, float, bool, bool]], gaps: list[tuple[float, float]]
):
    """Guards against a part that was not closed and counts as complete because another follows."""
    found = day_figures.new_part_set(DATE)
    for incarnation, number, until_s, closed, final in parts:
        part_id = day_figures.PartId(ids.VmId("entry1"), ids.Incarnation(incarnation), number)
        content = day_figures.FigureSet()
        found.add(
            day_figures.Part(DATE, part_id, 1, until_s - 100.0, until_s, closed, final, content)
        )
    assert [(gap.from_s, gap.until_s) for gap in found.figures().gaps] == gaps


@pytest.mark.parametrize("crash_s", [200.0, 3_601.0, 5_000.0, 40_000.0])
def test_dying_vm_loses_at_most_one_interval(crash_s: float):
    """Guards against a crash that loses more than the figures of one flush interval."""
    source = new_recorder()
    parts = day_figures.new_part_set(DATE)
    for second in range(int(crash_s)):
        source.record(float(second), observation())
        part = apply_next_write(source, float(second))
        if part is not None:
            parts.add(part)
    gap = parts.figures().gaps[0]
    assert crash_s - gap.from_s <= day_recorder.FLUSH_INTERVAL_S + 1.0
    counted = sum(
        cell.target_request_count() for cell in parts.figures().content.hour_figures_by_key.values()
    )
    assert crash_s - counted <= day_recorder.FLUSH_INTERVAL_S + 1.0


def test_late_records_go_to_the_open_part():
    """Guards against a request recorded late that opens a part for an hour that has ended."""
    source = new_recorder(start_s=3_590.0)
    for now_s in (3_601.0, 3_599.9, 3_601.0, 3_599.9):
        source.record(now_s, observation())
    source.finish(3_602.0, stopping=True)
    parts = []
    while not source.is_drained():
        parts.append(apply_next_write(source, 3_602.0))
    assert [part.id.number for part in parts if part is not None] == [1, 2]


def test_end_of_a_vm_bounds_its_gap():
    """Guards against a gap without an end although the platform reported the end of the VM."""
    parts = day_figures.new_part_set(DATE)
    for part in all_writes("entry1", 1)[:20]:
        parts.add(part)
    end_s = max(part.until_s for part in parts.part_by_id.values())
    gaps = parts.figures(ended_s_by_vm={ids.VmId("entry1"): 5_000.0}).gaps
    assert [(gap.from_s, gap.until_s) for gap in gaps] == [(end_s, 5_000.0)]


def test_resolved_requests_do_not_remain_unknown():
    """Guards against a resolved request that is still reported as unknown."""
    source = new_recorder()
    for now_s, key in ((1.0, "a"), (1.0, "b"), (70.0, "b")):
        source.record_failure(
            now_s, day_figures.RequestFailure.UNKNOWN, QUOTE, ORGANISATION, ids.RequestKey(key)
        )
    source.record_resolved(72.0, ids.RequestKey("a"))
    parts = day_figures.new_part_set(DATE)
    part = apply_next_write(source, 80.0)
    assert part is not None
    parts.add(part)
    assert parts.figures(100.0).unknown_outcomes() == ((0, QUOTE, ORGANISATION),)
