"""Guards against a configuration that nobody watches, or that everybody reads."""

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
def test_watchers(size: int, expected: int):
    """Guards against a data centre without a watcher after one of its watchers is gone."""
    records = [record(index) for index in range(size)]
    chosen = watchers.watchers(records)
    assert len(chosen) == expected
    gone = min(chosen)
    rest = [record(i, membership.State.DEAD) if f"e{i}" == gone else record(i) for i in range(size)]
    assert chosen - {gone} <= watchers.watchers(rest)
    assert len(watchers.watchers(rest)) >= min(expected, size - 1)


@pytest.mark.parametrize(
    ("age_s", "seen", "expected"),
    [(2.9, 4, 0), (3.1, 4, 6), (0.5, 5, 6)],
)
def test_freshness(age_s: float, seen: int, expected: int):
    """Guards against an old view without a read, and against more than one read in 5 s."""
    rule, rng = watchers.new_freshness_rule(), random.Random(1)
    reads = sum(
        rule.should_read(age_s, ids.Revision(4), ids.Revision(seen), tick * 0.5, rng)
        for tick in range(64)
    )
    assert abs(reads - expected) <= (1 if expected else 0)
