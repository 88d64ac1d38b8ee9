"""Guards against work sent to ineligible servers and choices that ignore load or cache."""

from __future__ import annotations

import collections.abc

import pytest

from gentianpaddle_core import declarations, ids, prefix_index, routing, scoring

MODEL = ids.ModelName("m")
OWN = routing.Place(ids.DataCentreId("d1"), ids.RegionId("r1"))
CLASS = declarations.ClassOfWork(ids.ClassName("quote"), 1.8, 27.0, 0.95, 20.0)
LOAD = scoring.LoadReport(limit=16, running=2, waiting_tokens=0, grant=8, step_time_s=0.013)


def server(name: str, centre: str = "d1", region: str = "r1") -> routing.BackendServer:
    place = routing.Place(ids.DataCentreId(centre), ids.RegionId(region))
    return routing.BackendServer(ids.BackendServerId(name), ids.VmId("vm-" + name), place, (MODEL,))


def request(fingerprint: str = "f", prompt: bytes = b"", tried: str = "") -> routing.Request:
    return routing.Request(
        MODEL,
        ids.Fingerprint(fingerprint),
        CLASS,
        arrived_s=0.0,
        prompt_tokens=max(200, len(prompt) // 4),
        prefix_hashes=prefix_index.prefix_hashes(prompt),
        tried=frozenset(map(ids.BackendServerId, tried.split())),
    )


def router_of(names: str, load: scoring.LoadReport = LOAD) -> routing.Router:
    router = routing.new_router(OWN)
    for name in names.split():
        router.add(server(name))
        router.apply_load_report(ids.BackendServerId(name), load, 0.0)
    return router


@pytest.mark.parametrize(
    "exclude",
    [
        lambda r: r.set_state("b1", routing.State.SUSPECT, 0.1),
        lambda r: r.set_state("b1", routing.State.DEAD, 0.1),
        lambda r: r.set_state("b1", routing.State.LEAVING, 0.1),
        lambda r: r.set_out_of_service(frozenset(), frozenset({ids.VmId("vm-b1")})),
        lambda r: r.apply_load_report(
            "b1", scoring.LoadReport(16, 0, 0, 8, 0.013, leaving=True), 0.1
        ),
        lambda r: r.apply_load_report("b1", scoring.LoadReport(16, 0, 0, 8, 0.013, out=True), 0.1),
        lambda r: r.apply_load_report("b1", scoring.LoadReport(16, 0, 0, 0, 0.013), 0.1),
        lambda r: r.remove("b1"),
    ],
)
def test_excluded_server_gets_no_work(exclude: collections.abc.Callable[[routing.Router], None]):
    router = router_of("b1 b2", LOAD)
    router.apply_load_report(
        ids.BackendServerId("b2"), scoring.LoadReport(16, 15, 4_000, 8, 0.016), 0.0
    )
    before = router.choose(request(), 0.1)
    exclude(router)
    after = router.choose(request(), 0.1)
    assert isinstance(before, routing.Routed)
    assert before.backend_server == "b1"
    assert isinstance(after, routing.Routed)
    assert after.backend_server == "b2"


def test_tried_servers_are_not_chosen_again():
    router = router_of("b1 b2")
    assert chosen(router.choose(request(tried="b1"), 0.1)) == "b2"
    assert chosen(router.choose(request(tried="b2"), 0.1)) == "b1"
    assert isinstance(router.choose(request(tried="b1 b2"), 0.1), routing.NoCapacity)


def chosen(decision: routing.Decision) -> str:
    return decision.backend_server if isinstance(decision, routing.Routed) else decision.reason


@pytest.mark.parametrize(
    ("reported_s", "now_s", "result"),
    [
        (None, 0.6, "no_grant"),
        (None, 1.9, "no_grant"),
        (1.1, 1.2, "meets_target"),
        (0.4, 0.45, "no_grant"),
        (0.1, 2.5, "no_grant"),
    ],
)
def test_failed_server_gets_no_work_before_its_next_report(
    reported_s: float | None, now_s: float, result: str
):
    router = router_of("b1")
    attempt = (ids.RequestKey("k"), 1)
    router.record_sent(ids.BackendServerId("b1"), attempt, request(), 200.0, 0.1)
    router.record_failed(ids.BackendServerId("b1"), attempt, 0.1)
    if reported_s is not None:
        router.apply_load_report(ids.BackendServerId("b1"), LOAD, reported_s)
    assert router.choose(request(), now_s).reason == result


def test_decline_exhausts_the_grant_until_the_next_report():
    router = router_of("b1")
    attempt = (ids.RequestKey("k"), 1)
    router.record_sent(ids.BackendServerId("b1"), attempt, request(), 200.0, 0.1)
    router.record_declined(ids.BackendServerId("b1"), attempt, 0.2)
    assert chosen(router.choose(request("other"), 0.2)) == "no_grant"
    router.apply_load_report(ids.BackendServerId("b1"), LOAD, 0.5)
    assert chosen(router.choose(request("other"), 0.5)) == "b1"


def test_grant_expires_without_reports():
    router = router_of("b1")
    assert chosen(router.choose(request(), scoring.GRANT_LIFETIME_S)) == "b1"
    assert chosen(router.choose(request(), scoring.GRANT_LIFETIME_S + 0.1)) == "no_grant"


def test_requests_sent_since_the_report_count_against_the_grant():
    router = router_of("b1 b2")
    counts = {"b1": 0, "b2": 0}
    for number in range(16):
        name = chosen(router.choose(request(str(number)), 0.1))
        counts[name] += 1
        attempt = (ids.RequestKey(str(number)), 1)
        router.record_sent(ids.BackendServerId(name), attempt, request(), 200.0, 0.1)
    assert counts == {"b1": 8, "b2": 8}
    assert chosen(router.choose(request("last"), 0.1)) == "no_grant"


@pytest.mark.parametrize(
    ("loads", "prompt", "result"),
    [
        # Slow steps of a straggler, many waiting prompt tokens, a ramp-up that has just begun.
        ({"b1": scoring.LoadReport(16, 2, 0, 8, 0.040)}, b"", "b2"),
        ({"b1": scoring.LoadReport(16, 2, 9_000, 8, 0.013)}, b"", "b2"),
        ({"b1": scoring.LoadReport(1, 2, 0, 8, 0.013)}, b"", "b2"),
        ({"b2": scoring.LoadReport(16, 8, 0, 8, 0.0148)}, b"", "b1"),
        # A cached prompt outweighs slightly higher load, but not slow steps.
        ({"b1": scoring.LoadReport(16, 4, 0, 8, 0.013)}, b"x" * 16_384, "b1"),
        ({"b1": scoring.LoadReport(16, 4, 0, 8, 0.080)}, b"x" * 16_384, "b2"),
    ],
)
def test_choice_follows_load_and_cached_prefixes(
    loads: dict[str, scoring.LoadReport], prompt: bytes, result: str
):
    router = router_of("b1 b2")
    attempt = (ids.RequestKey("k"), 1)
    if prompt:
        router.record_sent(ids.BackendServerId("b1"), attempt, request(prompt=prompt), 1.0, 0.0)
        router.record_finished(ids.BackendServerId("b1"), attempt, None, 0.0)
    for step in range(1, 30):
        for name in ("b1", "b2"):
            router.apply_load_report(ids.BackendServerId(name), loads.get(name, LOAD), step * 0.5)
    assert chosen(router.choose(request(prompt=prompt), 14.6)) == result


def test_restarted_engine_invalidates_its_prefixes():
    router = router_of("b1 b2")
    attempt = (ids.RequestKey("k"), 1)
    long_request = request(prompt=b"x" * 16_384)
    router.record_sent(ids.BackendServerId("b1"), attempt, long_request, 1.0, 0.0)
    router.record_finished(ids.BackendServerId("b1"), attempt, None, 0.0)
    assert router.choose(long_request, 0.1).reason == "prefix"
    restarted = scoring.LoadReport(16, 2, 0, 8, 0.013, engine_incarnation=1)
    router.apply_load_report(ids.BackendServerId("b1"), restarted, 0.2)
    assert router.choose(long_request, 0.3).reason == "meets_target"


def test_repeated_copies_are_sent_to_few_servers_of_a_large_fleet():
    names = " ".join(f"b{number}" for number in range(400))
    reached = set()
    for shuffled in (names, " ".join(reversed(names.split()))):
        router, tried = router_of(shuffled), ""
        for _ in range(12):
            decision = router.choose(request(tried=tried), 0.1)
            assert isinstance(decision, routing.Routed)
            assert decision.candidates <= routing.CANDIDATES_LIMIT
            reached.add(decision.backend_server)
            tried += " " + decision.backend_server
    assert len(reached) <= 2 * routing.CANDIDATES_LIMIT


@pytest.mark.parametrize(
    ("now_s", "result"), [(0.1, "target_missed"), (1.85, "late"), (20.5, "deadline")]
)
def test_waits_for_a_full_fast_server_only_while_the_target_can_be_met(now_s: float, result: str):
    router = router_of("b1 b2")
    for step in range(40):
        at_s = now_s - 0.05 * (40 - step) + 0.04
        router.apply_load_report(
            ids.BackendServerId("b1"), scoring.LoadReport(16, 4, 0, 8, 0.050), at_s
        )
        router.apply_load_report(
            ids.BackendServerId("b2"), scoring.LoadReport(16, 16, 0, 0, 0.016), at_s
        )
    assert router.choose(request(), now_s).reason == result
