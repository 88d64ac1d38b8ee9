"""Failures of real processes: kills, freezes, object API outages and concurrent changes.

Each test guards one guarantee of the design under the failure in its name.
"""

from __future__ import annotations

import concurrent.futures
import json
import signal
import time
import typing
from collections.abc import Callable

from gentianpaddle_standins import engine, expected_answers

OUT_PROPAGATION_S = 5.0
"""Time after which a data centre that was taken out must get no new work."""

STOP_TIMEOUT_S = 60.0


def new_executor(count: int) -> concurrent.futures.ThreadPoolExecutor:
    return concurrent.futures.ThreadPoolExecutor(count)


def engine_runs(fleet: typing.Any) -> int:
    return sum(len(each.request_starts) for each in fleet.engines)


def wait_until(condition: Callable[[], bool]) -> None:
    timeout_at_s = time.monotonic() + STOP_TIMEOUT_S
    while not condition():
        assert time.monotonic() < timeout_at_s, "condition not met within the time-out"
        time.sleep(0.05)


def test_stopping_an_agent_interrupts_no_stream(own_fleet: typing.Any):
    fleet = own_fleet
    with new_executor(4) as executor:
        chats = [
            executor.submit(fleet.chat_completes, fleet.urls[n % 2], f"long {n}", 150)
            for n in range(4)
        ]
        time.sleep(1.0)
        fleet.signal("agent2", signal.SIGTERM)
        assert all(each.result() for each in chats)
    assert fleet.process_by_vm["agent2"].wait(STOP_TIMEOUT_S) == 0


def test_streams_resume_after_an_agent_freeze_engine_crash_or_agent_kill(own_fleet: typing.Any):
    fleet = own_fleet
    with new_executor(3) as executor:
        for fault in ("freeze", "crash", "kill"):
            before = engine_runs(fleet)
            chats = [
                executor.submit(fleet.chat_completes, fleet.urls[n % 2], f"{fault} {n}", 100)
                for n in range(3)
            ]
            wait_until(lambda before=before: engine_runs(fleet) > before)
            if fault == "freeze":
                fleet.signal("agent2", signal.SIGSTOP)
                time.sleep(4.0)
                fleet.signal("agent2", signal.SIGCONT)
            elif fault == "crash":
                fleet.engines[0].crash()
            else:
                fleet.signal("agent2", signal.SIGKILL)
            assert all(each.result() for each in chats), fault


def test_booking_runs_once_when_its_entry_is_killed(own_fleet: typing.Any):
    fleet = own_fleet
    fleet.booking.delay_s = 2.0
    with new_executor(1) as executor:
        lost_reply = executor.submit(fleet.book, fleet.urls[0], "order-2")
        wait_until(lambda: fleet.booking_runs("order-2") > 0)
        fleet.signal("entry1", signal.SIGKILL)
        assert lost_reply.exception() is not None
    reply = fleet.book(fleet.urls[1], "order-2")
    assert reply.status == 200
    assert fleet.booking_runs("order-2") == 1


def test_object_api_outage_rejects_bookings_and_changes_but_serves_chats(own_fleet: typing.Any):
    fleet = own_fleet
    fleet.store.start_outage()
    assert fleet.chat_completes(fleet.urls[0], "while the store is down")
    reply = fleet.book(fleet.urls[0], "order-3")
    assert (reply.status, reply.json()["error"]["outcome"]) == (503, "not_run")
    assert fleet.booking_runs("order-3") == 0
    body = json.dumps({"data_centres": ["d2"]}).encode()
    headers = {"Authorization": "Bearer operator-token"}
    path = f"{fleet.urls[0]}/v1/operator/out"
    refused = fleet.pool.request("POST", path, body=body, headers=headers)
    assert (refused.status, refused.json()["error"]["code"]) == (503, "not_accepted")
    fleet.store.end_outage()
    assert fleet.book(fleet.urls[0], "order-3").status == 200
    assert fleet.booking_runs("order-3") == 1


def test_concurrent_changes_to_one_revision_give_one_conflict(own_fleet: typing.Any):
    fleet = own_fleet
    current = fleet.pool.request(
        "GET",
        f"{fleet.urls[0]}/v1/operator/configuration",
        headers={"Authorization": "Bearer operator-token"},
    ).json()
    text, base = current["document"], current["revision"]
    documents = [text.replace("deadline_s = 30", f"deadline_s = {n}") for n in (20, 25)]
    with new_executor(2) as executor:
        replies = list(
            executor.map(
                lambda n: fleet.put_declaration(documents[n], base, fleet.urls[n]), range(2)
            )
        )
    assert sorted(status for status, _ in replies) == [200, 409]
    conflict = next(payload for status, payload in replies if status == 409)
    assert "classes.quote.deadline_s" in str(conflict)


def test_data_centre_out_gets_no_new_work_from_a_previously_frozen_entry(
    own_fleet: typing.Any,
):
    fleet = own_fleet
    fleet.signal("entry2", signal.SIGSTOP)
    fleet.change_data_centre("out", "d2")
    out_s = time.monotonic()
    time.sleep(OUT_PROPAGATION_S)
    fleet.signal("entry2", signal.SIGCONT)
    with new_executor(4) as executor:
        chats = list(
            executor.map(
                lambda n: fleet.chat_completes(fleet.urls[n % 2], f"out {n}", 10), range(16)
            )
        )
    assert all(chats)
    late_runs = [
        run for run in fleet.engines[1].request_starts if run.started_s > out_s + OUT_PROPAGATION_S
    ]
    assert late_runs == []
    fleet.change_data_centre("back", "d2")
    timeout_at_s = time.monotonic() + STOP_TIMEOUT_S
    with new_executor(6) as executor:
        # More concurrent chats than one server has capacity for, so that the returned one is used.
        while not fleet.engines[1].request_starts and time.monotonic() < timeout_at_s:
            prompts = [f"back {n} {time.monotonic()}" for n in range(6)]
            chats = executor.map(
                lambda prompt: fleet.chat_completes(fleet.urls[1], prompt, 20), prompts
            )
            assert all(chats)
    assert fleet.engines[1].request_starts


def test_stopping_entry_leaves_the_entry_list_before_it_refuses_requests(own_fleet: typing.Any):
    fleet = own_fleet
    with new_executor(1) as executor:
        long_chat = executor.submit(fleet.chat, fleet.urls[0], "outlives the entry list", 400)
        time.sleep(0.5)
        fleet.signal("entry1", signal.SIGTERM)
        time.sleep(1.0)
        assert fleet.chat_completes(fleet.urls[0], "still served", 5)
        listed = fleet.pool.request("GET", f"{fleet.urls[1]}/v1/entries").json()
        assert listed["entries"] == [fleet.urls[1]]
        time.sleep(4.0)
        refused = fleet.chat(fleet.urls[0], "too late", 5)
        assert refused.status == 503
        assert "not_run" in str(refused.payload)
        reply = long_chat.result()
    assert (reply.completed, reply.text) == (
        True,
        expected_answers.text("outlives the entry list", 400),
    )
    assert fleet.process_by_vm["entry1"].wait(STOP_TIMEOUT_S) == 0


def test_request_that_crashes_engines_is_refused_without_breaking_other_streams(
    own_fleet: typing.Any,
):
    fleet = own_fleet
    with new_executor(4) as executor:
        concurrent_chats = [
            executor.submit(fleet.chat_completes, fleet.urls[n % 2], f"beside {n}", 60)
            for n in range(2)
        ]
        wait_until(lambda: engine_runs(fleet) >= 2)
        reply = fleet.chat(fleet.urls[0], engine.CRASH_MARKER, 20)
        assert all(each.result() for each in concurrent_chats)
    assert reply.status == 422
    assert "request_crashes_servers" in str(reply.payload)
    crashes = sum(each.crash_count for each in fleet.engines)
    assert crashes <= 2
    for url in fleet.urls:
        assert fleet.chat(url, engine.CRASH_MARKER, 20).status == 422
    assert sum(each.crash_count for each in fleet.engines) == crashes
    assert fleet.chat_completes(fleet.urls[1], "another request of the same sender")
