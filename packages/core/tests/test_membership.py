"""Guards against lost members, false death reports and a lost leaving state."""

from __future__ import annotations

import dataclasses
import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gentianpaddle_core import ids, membership

State = membership.State


def record(
    vm: str = "a",
    incarnation: int = 10,
    heartbeat: int = 0,
    state: State = State.ALIVE,
    port: int = 0,
) -> membership.MemberRecord:
    return membership.MemberRecord(
        vm=ids.VmId(vm),
        data_centre=ids.DataCentreId("d1"),
        host="127.0.0.1",
        port=port or 7000 + ord(vm[0]),
        role=membership.Role.ENTRY,
        incarnation=ids.Incarnation(incarnation),
        heartbeat=heartbeat,
        state=state,
    )


def new_table(*others: membership.MemberRecord) -> membership.Membership:
    table = membership.new_membership(record("z"), 0.0)
    table.has_peer_contact = True
    for other in others:
        table.merge(other, 0.0)
    table.set_monitored([other.vm for other in others])
    return table


records = st.builds(
    record,
    incarnation=st.integers(1, 3),
    heartbeat=st.integers(0, 3),
    state=st.sampled_from(State),
    port=st.integers(1, 2),
)


@given(records, records, records)
def test_merge_is_a_semilattice(
    a: membership.MemberRecord, b: membership.MemberRecord, c: membership.MemberRecord
):
    """Guards against processes whose views never converge because merging depends on the order."""
    merge = membership.merge
    assert merge(a, b) == merge(b, a)
    assert merge(a, merge(b, c)) == merge(merge(a, b), c)
    assert merge(a, a) == a


@given(st.lists(records, max_size=6))
def test_leaving_state_survives_older_records(others: list[membership.MemberRecord]):
    """Guards against new work for a leaving member after an older record arrives late."""
    leaving = record(incarnation=2, heartbeat=2, state=State.LEAVING)
    older = [
        o for o in others if (o.incarnation, o.heartbeat) <= (2, 2) and o.state is not State.DEAD
    ]
    for arrival_order in itertools.islice(itertools.permutations([leaving, *older]), 60):
        table = new_table()
        for item in arrival_order:
            table.merge(item, 1.0)
        known = table.record(leaving.vm)
        assert known is not None
        assert known.state is State.LEAVING


@pytest.mark.parametrize(
    ("silence_s", "refused", "listed", "expected"),
    [
        (2.9, False, None, State.ALIVE),
        (3.2, False, None, State.SUSPECT),
        (9.9, False, None, State.SUSPECT),
        (10.2, False, None, State.DEAD),
        (1.2, True, None, State.SUSPECT),
        (3.2, True, None, State.DEAD),
        (3.2, False, ["z"], State.DEAD),  # The platform no longer lists the VM.
        (3.2, False, ["a", "z"], State.SUSPECT),
    ],
)
def test_silent_member_is_suspected_then_declared_dead(
    silence_s: float, refused: bool, listed: list[str] | None, expected: State
):
    """Guards against a member that is suspected or declared dead too early or too late."""
    table = new_table(record("a"), record("b"))
    if listed:
        table.update_platform_list(membership.ListedVm(ids.VmId(vm), False) for vm in listed)
    if refused:
        table.record_connection_refused(ids.VmId("a"))
    now_s = 0.0
    while now_s < silence_s:
        now_s = min(silence_s, now_s + 0.5)
        table.record_contact(ids.VmId("b"), now_s)
        table.tick(now_s)
    known = table.record(ids.VmId("a"))
    assert known is not None
    assert known.state is expected


@pytest.mark.parametrize("gap_s", [5.0, 600.0])
def test_paused_process_does_not_suspect_others(gap_s: float):
    """Guards against a process that suspects all others after its own pause."""
    table = new_table(record("a"), record("b"))
    table.record_contact(ids.VmId("a"), 0.5)
    table.tick(0.5)
    table.tick(0.5 + gap_s)
    assert table.own.state is State.PAUSED
    assert all(item.state is State.ALIVE for item in table.records() if item.vm != "z")


def test_isolated_process_does_not_suspect_others():
    """Guards against an isolated VM that declares the whole fleet dead."""
    table = new_table(record("a"), record("b"))
    for tick in range(60):
        table.tick(tick * 0.5)
    assert all(item.state is State.ALIVE for item in table.records())


@pytest.mark.parametrize(
    ("report", "expected"),
    [
        (record("z", 10, 0, State.SUSPECT), (10, 1, State.ALIVE, False)),
        (record("z", 10, 7, State.DEAD), (10, 8, State.ALIVE, False)),
        (record("z", 9, 99, State.DEAD), (10, 0, State.ALIVE, False)),
        (record("z", 11, 0), (10, 0, State.ALIVE, True)),
        (record("y", 11, 0, port=7000 + ord("z")), (10, 0, State.ALIVE, True)),
    ],
)
def test_reports_about_this_process(
    report: membership.MemberRecord, expected: tuple[int, int, State, bool]
):
    """Guards against a false report that persists, and two processes with one name or address."""
    table = new_table()
    table.merge(report, 1.0)
    own = table.own
    assert (own.incarnation, own.heartbeat, own.state, table.is_superseded) == expected


def test_new_vm_at_an_old_address_replaces_the_old_one():
    """Guards against work for a VM whose address now belongs to another VM."""
    table = new_table(record("a", 10, port=7001), record("b", 11, port=7001))
    states = {item.vm: item.state for item in table.records()}
    assert (states[ids.VmId("a")], states[ids.VmId("b")]) == (State.DEAD, State.ALIVE)


def test_platform_leaving_mark_applies_to_one_incarnation():
    """Guards against an outdated platform list that keeps work from a replacement VM."""
    table = new_table(record("a"))
    table.update_platform_list([membership.ListedVm(ids.VmId("a"), True)])
    assert not table.accepts_new_work(ids.VmId("a"))
    table.merge(record("a", 11), 1.0)
    table.update_platform_list([membership.ListedVm(ids.VmId("a"), True)])
    assert table.accepts_new_work(ids.VmId("a"))


@given(st.lists(records, max_size=12))
def test_bucket_hashes_depend_only_on_the_records(items: list[membership.MemberRecord]):
    """Guards against different hashes of equal tables, which cause endless repair traffic."""
    table = new_table()
    for item in items:
        table.merge(item, 1.0)
    known = [dataclasses.replace(item) for item in table.records()]
    fresh = membership.new_membership(known[0], 0.0)
    for item in known[1:]:
        fresh.merge(item, 0.0)
    assert fresh.bucket_hashes == table.bucket_hashes


def test_leaving_is_final_and_removed_members_are_not_added_again():
    """Guards against a process that revokes its leaving state, and against endless repair."""
    table = new_table()
    table.announce(State.LEAVING, 1.0)
    table.announce(State.ALIVE, 2.0)
    assert table.own.state is State.LEAVING
    assert table.merge(record("a", state=State.DEAD), 3.0) is membership.MergeResult.UNCHANGED
    assert table.record(ids.VmId("a")) is None
