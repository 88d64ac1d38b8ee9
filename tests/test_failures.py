"""Failures of real processes: kills, freezes, a lost object API and operators at once.

Each test guards one promise of the design page under the failure that its name gives.
"""

from __future__ import annotations

import concurrent.futures
import json
import signal
import time
import typing
from collections.abc import Callable

from gentianpaddle_standins import answers, engine

OUT_LIMIT_S = 5.0
STOP_LIMIT_S = 60.0


def in_threads(count: int) -> concurrent.futures.ThreadPoolExecutor:
    return concurrent.futures.ThreadPoolExecutor(count)


def runs(fleet: typing.Any) -> int:
    return sum(len(each.runs) for each in fleet.engines)


def wait_until(condition: Callable[[], bool]) -> None:
    until_s = time.monotonic() + STOP_LIMIT_S
    while not condition():
        assert time.monotonic() < until_s, "the condition did not come true"
        time.sleep(0.05)


def test_stopped_agent_cuts_no_stream(own_fleet: typing.Any):
    fleet = own_fleet
    with in_threads(4) as threads:
        done = [
            threads.submit(fleet.chats_whole, fleet.urls[n % 2], f"long {n}", 150) for n in range(4)
        ]
        time.sleep(1.0)
        fleet.signal("agent2", signal.SIGTERM)
        assert all(each.result() for each in done)
    assert fleet.process_by_vm["agent2"].wait(STOP_LIMIT_S) == 0


def test_streams_of_killed_frozen_and_crashed_servers_are_resumed(own_fleet: typing.Any):
    fleet = own_fleet
    with in_threads(3) as threads:
        for fault in ("freeze", "crash", "kill"):
            before = runs(fleet)
            done = [
                threads.submit(fleet.chats_whole, fleet.urls[n % 2], f"{fault} {n}", 100)
                for n in range(3)
            ]
            wait_until(lambda before=before: runs(fleet) > before)
            if fault == "freeze":
                fleet.signal("agent2", signal.SIGSTOP)
                time.sleep(4.0)
                fleet.signal("agent2", signal.SIGCONT)
            elif fault == "crash":
                fleet.engines[0].crash()
            else:
                fleet.signal("agent2", signal.SIGKILL)
            assert all(each.result() for each in done), fault


def test_booking_through_a_killed_entry_runs_once(own_fleet: typing.Any):
    fleet = own_fleet
    fleet.booking.delay_s = 2.0
    with in_threads(1) as threads:
        lost = threads.submit(fleet.book, fleet.urls[0], "order-2")
        wait_until(lambda: fleet.bookings("order-2") > 0)
        fleet.signal("entry1", signal.SIGKILL)
        assert lost.exception() is not None
    reply = fleet.book(fleet.urls[1], "order-2")
    assert reply.status == 200
    assert fleet.bookings("order-2") == 1


def test_lost_object_api_refuses_bookings_and_changes_and_serves_the_rest(own_fleet: typing.Any):
    fleet = own_fleet
    fleet.store.stay_down()
    assert fleet.chats_whole(fleet.urls[0], "while the store is down")
    reply = fleet.book(fleet.urls[0], "order-3")
    assert (reply.status, reply.json()["error"]["outcome"]) == (503, "not_run")
    assert fleet.bookings("order-3") == 0
    body = json.dumps({"data_centres": ["d2"]}).encode()
    headers = {"Authorization": "Bearer operator-token"}
    path = f"{fleet.urls[0]}/v1/operator/out"
    refused = fleet.pool.request("POST", path, body=body, headers=headers)
    assert (refused.status, refused.json()["error"]["code"]) == (503, "not_accepted")
    fleet.store.come_up()
    assert fleet.book(fleet.urls[0], "order-3").status == 200
    assert fleet.bookings("order-3") == 1


def test_two_operators_on_one_base_get_one_conflict(own_fleet: typing.Any):
    fleet = own_fleet
    present = fleet.pool.request(
        "GET",
        f"{fleet.urls[0]}/v1/operator/configuration",
        headers={"Authorization": "Bearer operator-token"},
    ).json()
    text, base = present["document"], present["revision"]
    texts = [text.replace("deadline_s = 30", f"deadline_s = {n}") for n in (20, 25)]
    with in_threads(2) as threads:
        replies = list(threads.map(lambda n: fleet.apply(texts[n], base, fleet.urls[n]), range(2)))
    assert sorted(status for status, _ in replies) == [200, 409]
    conflict = next(payload for status, payload in replies if status == 409)
    assert "classes.quote.deadline_s" in str(conflict)


def test_data_centre_out_gets_no_new_work_even_through_an_entry_that_was_frozen(
    own_fleet: typing.Any,
):
    fleet = own_fleet
    fleet.signal("entry2", signal.SIGSTOP)
    fleet.operate("out", "d2")
    out_s = time.monotonic()
    time.sleep(OUT_LIMIT_S)
    fleet.signal("entry2", signal.SIGCONT)
    with in_threads(4) as threads:
        done = list(
            threads.map(lambda n: fleet.chats_whole(fleet.urls[n % 2], f"out {n}", 10), range(16))
        )
    assert all(done)
    late = [run for run in fleet.engines[1].runs if run.started_s > out_s + OUT_LIMIT_S]
    assert late == []
    fleet.operate("back", "d2")
    until_s = time.monotonic() + STOP_LIMIT_S
    with in_threads(6) as threads:
        # More at once than one server has room for, so that the returned one is needed.
        while not fleet.engines[1].runs and time.monotonic() < until_s:
            prompts = [f"back {n} {time.monotonic()}" for n in range(6)]
            done = threads.map(lambda prompt: fleet.chats_whole(fleet.urls[1], prompt, 20), prompts)
            assert all(done)
    assert fleet.engines[1].runs


def test_leaving_entry_serves_on_then_names_others(own_fleet: typing.Any):
    fleet = own_fleet
    with in_threads(1) as threads:
        long = threads.submit(fleet.chat, fleet.urls[0], "outlives the entry list", 400)
        time.sleep(0.5)
        fleet.signal("entry1", signal.SIGTERM)
        time.sleep(1.0)
        assert fleet.chats_whole(fleet.urls[0], "still served", 5)
        listed = fleet.pool.request("GET", f"{fleet.urls[1]}/v1/entries").json()
        assert listed["entries"] == [fleet.urls[1]]
        time.sleep(4.0)
        refused = fleet.chat(fleet.urls[0], "too late", 5)
        assert refused.status == 503
        assert "not_run" in str(refused.payload)
        reply = long.result()
    assert (reply.ended, reply.text) == (True, answers.text("outlives the entry list", 400))
    assert fleet.process_by_vm["entry1"].wait(STOP_LIMIT_S) == 0


def test_request_that_crashes_engines_is_refused_and_its_neighbours_go_on(
    own_fleet: typing.Any,
):
    fleet = own_fleet
    with in_threads(4) as threads:
        beside = [
            threads.submit(fleet.chats_whole, fleet.urls[n % 2], f"beside {n}", 60)
            for n in range(2)
        ]
        wait_until(lambda: runs(fleet) >= 2)
        reply = fleet.chat(fleet.urls[0], engine.CRASH_MARK, 20)
        assert all(each.result() for each in beside)
    assert reply.status == 422
    assert "request_crashes_servers" in str(reply.payload)
    crashes = sum(each.crashes for each in fleet.engines)
    assert crashes <= 2
    for url in fleet.urls:
        assert fleet.chat(url, engine.CRASH_MARK, 20).status == 422
    assert sum(each.crashes for each in fleet.engines) == crashes
    assert fleet.chats_whole(fleet.urls[1], "another request of the same sender")
