"""Guards against an unwatched configuration and against excessive reads of the object API."""

from __future__ import annotations

import random

import pytest

from gentianpaddle_core import ids, membership, watchers


def record(index: int, state: membership.State = membership.State.ALIVE) -> membership.MemberRecord:
    return membership.MemberRecord(
        vm=ids.VmId(f"e{index}"),
        data_centre=ids.DataCentreId(f"d{index % 2}"),
        host="127.0.0.1",
        port=7000 + index,
        role=membership.Role.ENTRY,
        incarnation=ids.Incarnation(1),
        heartbeat=0,
        state=state,
    )


@pytest.mark.parametrize(("size", "expected"), [(1, 1), (2, 2), (5, 5), (40, 6)])
def test_lost_watcher_is_replaced(size: int, expected: int):
    """Guards against a data centre that does not replace a lost watcher."""
    records = [record(index) for index in range(size)]
    chosen = watchers.select_watchers(records)
    assert len(chosen) == expected
    lost_watcher = min(chosen)
    records_after_loss = [
        record(i, membership.State.DEAD) if f"e{i}" == lost_watcher else record(i)
        for i in range(size)
    ]
    assert chosen - {lost_watcher} <= watchers.select_watchers(records_after_loss)
    assert len(watchers.select_watchers(records_after_loss)) >= min(expected, size - 1)


@pytest.mark.parametrize(
    ("age_s", "seen", "expected"),
    [(2.9, 4, 0), (3.1, 4, 6), (0.5, 5, 6)],
)
def test_stale_view_is_read_at_a_limited_rate(age_s: float, seen: int, expected: int):
    """Guards against a stale view that is not read, and against more than one read in 5 s."""
    rule, rng = watchers.new_freshness_rule(), random.Random(1)
    reads = sum(
        rule.should_read(age_s, ids.Revision(4), ids.Revision(seen), tick * 0.5, rng)
        for tick in range(64)
    )
    assert abs(reads - expected) <= (1 if expected else 0)
