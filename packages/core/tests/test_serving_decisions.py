"""Unit tests of the gateway's decisions: routes, events, retries, limits, servers, placement."""

from __future__ import annotations

import collections

import pytest

from gentianpaddle_core import ids
from gentianpaddle_core.serving import (
    attempts,
    event_stream,
    members,
    placement,
    rates,
    routes,
    servers,
)


def route(
    kind: routes.RouteKind, resumable: bool = False, max_attempts: int = 2, prefix: str = "/a/"
) -> routes.Route:
    return routes.Route(
        name=prefix,
        host="h",
        path_prefix=prefix,
        kind=kind,
        resumable=resumable,
        timeout_s=8.0,
        target_s=0.4,
        target_event_gap_s=0.12,
        caller_patience_s=None,
        max_attempts=max_attempts,
        public=False,
        priority=1,
        weight_by_service=((routes.ServiceName("s"), 1.0),),
    )


SAFE = route(routes.RouteKind.SAFE)
UNSAFE = route(routes.RouteKind.UNSAFE, max_attempts=1)
STREAM = route(routes.RouteKind.STREAMING, resumable=True)
PLAIN_STREAM = route(routes.RouteKind.STREAMING)
NOT_RUN = attempts.NotRun("full")
LOST = attempts.Lost("reset")
FAILED = attempts.ServerFailure(500)


@pytest.mark.parametrize(
    ("which", "results", "remaining_s", "budget", "expected"),
    [
        (UNSAFE, [NOT_RUN], 1.0, True, attempts.Retry()),
        (UNSAFE, [NOT_RUN], 1.0, False, attempts.WaitForBudget()),
        (UNSAFE, [NOT_RUN], 0.4, False, attempts.RejectNotRun()),
        (UNSAFE, [LOST], 1.0, True, attempts.FailRequest(502)),
        (UNSAFE, [FAILED], 1.0, True, attempts.ForwardError()),
        (PLAIN_STREAM, [LOST], 1.0, True, attempts.FailRequest(502)),
        (SAFE, [LOST], 1.0, True, attempts.Retry()),
        (SAFE, [FAILED], 1.0, True, attempts.Retry()),
        (SAFE, [LOST, FAILED], 1.0, True, attempts.ForwardError()),
        (SAFE, [LOST, NOT_RUN], 1.0, False, attempts.FailRequest(502)),
        (SAFE, [LOST], 0.0, True, attempts.FailRequest(504)),
        (STREAM, [LOST], 1.0, True, attempts.Retry()),
        (STREAM, [LOST, LOST], 1.0, True, attempts.FailRequest(502)),
        (SAFE, [NOT_RUN] * attempts.MAX_TOTAL_ATTEMPTS, 1.0, True, attempts.RejectNotRun()),
    ],
)
def test_next_step(
    which: routes.Route,
    results: list[attempts.AttemptResult],
    remaining_s: float,
    budget: bool,
    expected: attempts.NextStep,
) -> None:
    """Guards against retries of requests that may run once, and against unproven "not run"."""
    history = attempts.AttemptHistory()
    for result in results:
        history.add(result)
    found = attempts.next_step(which, history, results[-1], remaining_s, True, lambda: budget)
    assert found == expected


def test_stream_that_cannot_be_resumed_is_not_retried() -> None:
    """Guards against a stream that another server continues at the wrong event."""
    history = attempts.AttemptHistory()
    history.add(LOST)
    found = attempts.next_step(STREAM, history, LOST, 1.0, False, lambda: True)
    assert found == attempts.FailRequest(502)


EVENTS = [b"id: %d\ndata: x%d\n\n" % (number, number) for number in range(1, 6)]


@pytest.mark.parametrize("size", [1, 3, 7, 1000])
def test_events_are_passed_on_whole(size: int) -> None:
    """Guards against incomplete events reaching the caller when the body arrives in pieces."""
    reader = event_stream.EventReader(None)
    body = b"".join(EVENTS)
    found = []
    for start in range(0, len(body), size):
        found += reader.feed(body[start : start + size])
    assert [event.data for event in found] == EVENTS
    assert not reader.partial
    assert reader.last_id == "5"


def test_a_resumed_stream_has_no_event_twice() -> None:
    """Guards against truncated or duplicate events after a stream moved to another server."""
    reader = event_stream.EventReader(None)
    first = reader.feed(EVENTS[0] + EVENTS[1] + EVENTS[2][:6])
    reader.start_body()
    second = reader.feed(b"".join(EVENTS[1:]))
    assert [event.data for event in first + second] == EVENTS


@pytest.mark.parametrize(
    ("body", "passed_on"),
    [
        (EVENTS[0] + EVENTS[2], EVENTS[:1]),
        (b"x" * 1_100_000, []),
        (b"".join(EVENTS[:3]) + b"id: 84\ndata: x4\n\n" + EVENTS[4], EVENTS[:3]),
        (EVENTS[0] + b"data: " + b"x" * event_stream.MAX_EVENT_BYTES, EVENTS[:1]),
        (EVENTS[0] + b":\n\n" * event_stream.MAX_UNNUMBERED_BYTES, EVENTS[:1]),
    ],
)
@pytest.mark.parametrize("size", [7, 2_000_000])
def test_events_before_a_violation_are_passed_on(
    body: bytes, passed_on: list[bytes], size: int
) -> None:
    """Guards against a gap that goes unnoticed, and against a resumption behind lost events.

    The other server continues after `last_id`, so exactly the events up to it must be passed on,
    however many of them arrive together with the violation.
    """
    reader = event_stream.EventReader(None)
    found = []
    for start in range(0, len(body), size):
        found += reader.feed(body[start : start + size])
    assert reader.violation is not None
    assert [event.data for event in found] == passed_on
    assert reader.last_id == (str(len(passed_on)) if passed_on else None)
    reader.start_body()
    resumed = reader.feed(b"".join(EVENTS[len(passed_on) :]))
    assert [event.data for event in found + resumed] == EVENTS


def numbered(*event_ids: object) -> bytes:
    return b"".join(
        b"id: %b\ndata: x%d\n\n" % (str(event_id).encode(), number)
        if event_id is not None
        else b"data: x%d\n\n" % number
        for number, event_id in enumerate(event_ids, 1)
    )


@pytest.mark.parametrize(
    ("event_ids", "passed_on", "broken", "resumable"),
    [
        # The first id is wrong, but that shows only at the second one.
        ((14, 2, 3), 1, True, False),
        (("x", 2, 3), 1, True, False),
        ((3, 2, 3, 4), 1, True, False),
        ((1, 24, 3), 1, True, False),
        # The last one seems to be an event that the caller already has.
        ((1, 2, 3, 2), 3, True, True),
        ((1, 2, 3, 3), 3, True, True),
        ((1, 2, "x", 4), 2, True, True),
        ((1, 2, None, 4), 3, True, False),
        ((1, 2, None), 3, False, False),
        ((None, None), 2, False, False),
        ((1, None, 2), 3, False, True),
        ((1,), 1, False, True),
        (("a", "b"), 2, False, True),
    ],
)
@pytest.mark.parametrize("size", [7, 1_000])
def test_stream_with_inconsistent_ids_is_not_taken_for_whole(
    event_ids: tuple[int | str | None, ...],
    passed_on: int,
    broken: bool,
    resumable: bool,
    size: int,
) -> None:
    """Guards against sound events that are dropped, or sent twice, because of a wrong id."""
    reader = event_stream.EventReader(None)
    body = numbered(*event_ids)
    found = []
    for start in range(0, len(body), size):
        found += reader.feed(body[start : start + size])
    assert b"".join(event.data for event in found) == numbered(*event_ids[:passed_on])
    assert (reader.violation is not None, reader.resumable) == (broken, resumable)


@pytest.mark.parametrize("stated_id", ["", "x", "0"])
def test_any_last_id_that_a_caller_states_is_accepted(stated_id: str) -> None:
    """Guards against streams that fail because a caller states an id that no server has sent."""
    reader = event_stream.EventReader(stated_id)
    assert [event.data for event in reader.feed(b"".join(EVENTS))] == EVENTS
    assert reader.violation is None


def entry(
    number: int, data_centre: str = "a", draining: bool = False, slots: int = 6
) -> servers.ServerEntry:
    return servers.ServerEntry(
        id=ids.BackendServerId(f"i-{number}"),
        service=routes.ServiceName("s"),
        address=f"10.0.0.{number}:80",
        data_centre=ids.DataCentreId(data_centre),
        slots=slots,
        draining=draining,
        started_ms=0,
        cold_ms=0.0,
    )


SERVICE = routes.ServiceName("s")


def usable(view: servers.ServerView, now_s: float) -> list[str]:
    return sorted(found.id for found in view.usable(SERVICE, now_s))


def test_draining_removed_and_evacuated_servers_are_not_usable() -> None:
    """Guards against requests to servers that are draining, removed or evacuated."""
    view = servers.ServerView()
    view.store_answered(0.0)
    view.replace([entry(1), entry(2), entry(3, "b")], 10.0)
    view.put(entry(1, draining=True), 10.0)
    assert usable(view, 10.0) == ["i-2", "i-3"]
    view.evacuated = frozenset((ids.DataCentreId("b"),))
    assert usable(view, 10.0) == ["i-2"]
    view.remove(ids.BackendServerId("i-2"), 11.0)
    assert usable(view, 11.0) == []


def test_unlisted_servers_are_kept_for_the_grace_time_after_an_outage() -> None:
    """Guards against losing all servers after an outage of the store, and against using dead ones.

    Live servers register again within the grace time; entries not renewed by then are dropped.
    """
    view = servers.ServerView()
    view.store_answered(0.0)
    view.replace([entry(1), entry(2)], 10.0)
    view.store_lost()
    view.store_answered(20.0)
    view.replace([], 20.0)
    assert usable(view, 21.0) == ["i-1", "i-2"]
    view.put(entry(1), 21.5)
    assert usable(view, 20.0 + servers.REGISTRATION_GRACE_S) == ["i-1"]


@pytest.mark.parametrize("leaving_s", [2.0, 3.0])
def test_a_server_that_leaves_as_the_store_returns(leaving_s: float) -> None:
    """Guards against requests to a server that left just as the store became available again.

    Its removal looks like an entry lost in the outage, so it is kept for the grace time.
    """
    view = servers.ServerView()
    view.set_drain_time(leaving_s)
    view.store_answered(0.0)
    view.replace([entry(1), entry(2)], 10.0)
    view.store_lost()
    view.store_answered(20.0)
    view.remove(ids.BackendServerId("i-2"), 20.0)
    assert usable(view, 21.5) == ["i-1", "i-2"]
    # 0.1 s before the end: the request is in transit, and the change may be read 0.05 s late.
    assert usable(view, 20.0 + leaving_s - 0.1) == ["i-1"]


def test_silent_or_stopping_fronts_are_not_returned() -> None:
    """Guards against directing callers to a front that is dead or stopping."""
    own = members.Member(ids.VmId("f0"), ids.DataCentreId("a"), "10.0.0.1", 1, "x:1", None)
    others = [
        members.Member(ids.VmId(f"f{n}"), ids.DataCentreId("a"), "10.0.0.2", 1, f"x:{n}", None)
        for n in (1, 2, 3)
    ]
    view = members.MemberView(own)
    view.replace(others, 10.0)
    for member, serving in zip(others, (True, False, True), strict=True):
        view.record_heartbeat(member, serving, 10.0)
    view.record_heartbeat(others[0], True, 13.0)
    assert [member.vm for member in view.live_fronts(13.0)] == ["f1"]


def test_unreachable_server_is_tried_more_and_more_rarely() -> None:
    """Guards against requests that each wait for a connection to a VM without power."""
    load = placement.new_placement(ids.DataCentreId("a"), 1, 0.0)
    server = ids.BackendServerId("i-1")
    pauses_s = []
    for _ in range(6):
        load.record_unreachable(server, 10.0)
        pauses_s.append(load.load(server).declined_until_s - 10.0)
    assert pauses_s[0] == placement.DECLINE_BACKOFF_S
    assert pauses_s == sorted(pauses_s)
    assert pauses_s[-1] == placement.MAX_UNREACHABLE_BACKOFF_S
    load.record_result(server, good=True)
    load.record_unreachable(server, 20.0)
    assert load.load(server).declined_until_s - 20.0 == placement.DECLINE_BACKOFF_S


def test_silent_server_gets_probe_requests_only() -> None:
    """Guards against further requests to a server that was silent, until it answers again."""
    load = placement.new_placement(ids.DataCentreId("a"), 1, 0.0)
    server = ids.BackendServerId("i-1")
    load.record_silent(server)
    assert load.load(server).failure_ratio > placement.SUSPECT_FAILURE_RATIO
    load.record_result(server, good=True)
    assert load.load(server).failure_ratio < placement.SUSPECT_FAILURE_RATIO


def test_fronts_that_left_no_longer_share_limits() -> None:
    """Guards against limits that shrink with each front that was ever replaced."""
    views = front_views(4)
    view, listed = views[0], [other.own for other in views[:2]]
    for other in views[1:]:
        view.record_heartbeat(other.own, True, 10.0)
    # The list may be older than the heartbeats of a new front.
    view.replace(listed, 12.0)
    assert view.front_count() == 4
    view.replace(listed, 10.0 + members.FORGET_AFTER_S)
    assert view.front_count() == 2


@pytest.mark.parametrize(("processes", "requests"), [(1, 0), (8, 0), (8, 100), (34, 1000)])
def test_retries_of_all_processes_stay_within_the_budget(processes: int, requests: int) -> None:
    """Guards against a retry storm when a service fails at all fronts at once."""
    ratio, slack = 0.2, 92.0
    granted = 0
    for _ in range(processes):
        budget = rates.RetryBudget(ratio, slack, 10.0)
        for _ in range(requests // processes):
            budget.record_first_send(0.0)
        granted += sum(budget.try_acquire(processes, 1.0) for _ in range(500))
    assert granted <= ratio * requests + slack
    if processes <= 8:
        assert granted > 0


def front_views(count: int) -> list[members.MemberView]:
    fronts = [
        members.Member(
            ids.VmId(f"f{n}"), ids.DataCentreId("a"), f"10.0.0.{n}", 1, f"10.0.0.{n}:2", None
        )
        for n in range(count)
    ]
    views = [members.MemberView(front) for front in fronts]
    for view in views:
        view.replace(fronts, 0.0)
    return views


@pytest.mark.parametrize(
    ("processes", "rate"), [(1, 36.0), (8, 36.0), (31, 13.0), (34, 14.0), (120, 13.0)]
)
def test_a_cold_server_stays_under_its_rate(processes: int, rate: float) -> None:
    """Guards against overloading a cold server when many fronts send to it.

    Neither the full rate nor even one request per second from every front is allowed.
    """
    factor, slack = 1.5, 5.0
    server = ids.BackendServerId("i")
    sent: collections.Counter[int] = collections.Counter()
    limits = [
        rates.ColdStartLimiter(factor, slack, view.front_rank) for view in front_views(processes)
    ]
    for step in range(300):
        now_s = step * 0.01
        for limit in limits:
            if limit.allows(server, rate, processes, now_s):
                limit.record_send(server, now_s)
                sent[step] += 1
    for start in range(200):
        assert sum(sent[step] for step in range(start, start + 100)) <= rate * factor + slack
    assert sum(sent[step] for step in range(100)) >= 0.6 * (rate * factor + slack)


def test_placement_counts_what_others_sent() -> None:
    """Guards against ignoring requests of other fronts, which overfills a server."""
    load = placement.new_placement(ids.DataCentreId("a"), 1, 0.0)
    fleet = [entry(1), entry(2)]
    load.record_report(fleet[0].id, 6, True, 1.0, 0.0)
    load.record_report(fleet[1].id, 1, True, 1.0, 0.0)
    chosen = load.choose(fleet, (), 0, False, 0.1)
    assert chosen is fleet[1]
    for _ in range(5):
        load.record_start(fleet[1].id, 0.1)
    assert load.choose(fleet, (), 0, False, 0.1) is None
    load.record_end(fleet[1].id)
    assert load.choose(fleet, (), 0, False, 0.1) is fleet[1]


def test_placement_avoids_broken_groups_and_failing_servers() -> None:
    """Guards against sending requests to a broken group or to a server with repeated failures."""
    load = placement.new_placement(ids.DataCentreId("a"), 1, 0.0)
    fleet = [entry(1), entry(2), entry(3)]
    load.record_report(fleet[0].id, 0, False, 1.0, 0.0)
    for _ in range(6):
        load.record_start(fleet[1].id, 0.0)
        load.record_result(fleet[1].id, good=False)
        load.record_end(fleet[1].id)
    chosen = {load.choose(fleet, (), 0, False, 0.1) for _ in range(20)}
    assert chosen == {fleet[2]}


def test_longest_prefix_wins() -> None:
    """Guards against routing a request to the service of a shorter path prefix."""
    table = routes.RoutingTable(
        version=1,
        routes=(
            route(routes.RouteKind.SAFE, prefix="/a/"),
            route(routes.RouteKind.SAFE, prefix="/a/b/"),
        ),
        service_by_name={},
        limits=routes.DEFAULT_CLIENT_LIMITS,
        organisation_by_key={},
        keys_required=False,
    )
    names = {path: table.match("h", path) for path in ("/a/b/c", "/a/c", "/b")}
    assert {path: found.name if found else None for path, found in names.items()} == {
        "/a/b/c": "/a/b/",
        "/a/c": "/a/",
        "/b": None,
    }


def test_engines_get_no_requests_before_their_group_has_formed() -> None:
    """Guards against sending requests to engines that decline them after a loss of power."""
    load = placement.new_placement(ids.DataCentreId("a"), 1, 100.0)
    fleet = [entry(1), entry(2)]
    assert load.choose(fleet, (), 0, True, 101.0) is None
    load.record_report(fleet[0].id, 0, False, 1.0, 101.5)
    assert load.choose(fleet, (), 0, True, 101.6) is None
    load.record_report(fleet[1].id, 0, True, 1.0, 102.0)
    assert load.choose(fleet, (), 0, True, 102.1) is fleet[1]
    # Without any report for REPORT_OUTAGE_S, the reporting processes are presumed dead, and
    # servers are used without reports.
    late_s = 102.0 + placement.REPORT_OUTAGE_S + 0.1
    assert load.choose(fleet, (), 0, True, late_s) in fleet
