"""Connections on which the fronts wait for the configuration go silent; a new version follows."""

from __future__ import annotations

import asyncio
import itertools
import pathlib

import harness

CHANGE_AFTER_S = 3.2
"""Time from the silence to the new version; after `stabilityWindowMs` the fronts are in touch."""

KEEP_ALIVE_END_S = 6.0
"""Time after which the fronts' own TCP keep-alive would end a connection without any packet: 5 s
idle and one probe interval of 1 s. The stand-in resets the silent connections then, since the
kernel of this machine goes on to acknowledge the probes."""

RATE_INTERVAL_S = 0.04


async def traffic(record: harness.Record, system: harness.System, until: asyncio.Event) -> None:
    """Send safe requests at a steady rate to all fronts, each on a new connection."""
    calls: set[asyncio.Task[None]] = set()

    async def one(number: int, front: harness.Front) -> None:
        caller = await harness.Caller.connect(front.address)
        headers = harness.request_headers(f"r-{number}", 600)
        record.write("sends", f"r-{number}", "to", front.name)
        sent_s[f"r-{number}"] = record.now_s()
        answer = await caller.ask("GET", "/look/1", headers)
        caller.close()
        record.write("answered", f"r-{number}", answer.status, answer.body.decode(), answer.error)

    for number in itertools.count():
        if until.is_set():
            break
        task = asyncio.ensure_future(one(number, system.fronts[number % len(system.fronts)]))
        calls.add(task)
        task.add_done_callback(calls.discard)
        await asyncio.sleep(RATE_INTERVAL_S)
    await asyncio.gather(*calls)


sent_s: dict[str, float] = {}


async def case(record: harness.Record) -> bool:
    """Play the case and return whether the rule held."""
    services = ["stall-records-1", "stall-records-2"]
    async with harness.deployment(record, ("shah-alam", "petaling-jaya")) as system:
        system.configure([harness.route("/look/", "safe", services[0])], services)
        for number, zone in enumerate(system.zones * 2):
            await system.add_replica(f"i-{number}", services[number // 2], zone)
        for number, zone in enumerate(system.zones, 1):
            system.new_front(f"front-{number}", zone)
        await system.start_fronts()
        done = asyncio.Event()
        sending = asyncio.ensure_future(traffic(record, system, done))
        await asyncio.sleep(2.0)
        silent = [
            connection
            for connection, kind in system.store.kind_by_connection.items()
            if kind == "config" and connection in system.store.http.connections
        ]
        if harness.TROUBLE:
            for connection in silent:
                connection.silent = True
            loop = asyncio.get_running_loop()
            for connection in silent:
                loop.call_later(KEEP_ALIVE_END_S, connection.abort)
            record.say(len(silent), "open connections to the store go silent; new ones work")
        await asyncio.sleep(CHANGE_AFTER_S)
        system.configure([harness.route("/look/", "safe", services[1])], services)
        acknowledged_s = record.now_s()
        await asyncio.sleep(5.0)
        done.set()
        await sending
        bound_s = acknowledged_s + system.bounds["configApplyMs"] / 1000.0
        wrong = [
            arrival.request_id
            for replica in system.replicas
            if replica.service == services[0]
            for arrival in replica.arrivals
            if arrival.ran and sent_s[arrival.request_id] > bound_s
        ]
        record.say("sent later than configApplyMs after the acknowledgement:", end_count(bound_s))
        record.say("of these, run by the service of the older version:", len(wrong))
        return not wrong


def end_count(bound_s: float) -> int:
    """Return the number of requests that were sent after a time."""
    return sum(at_s > bound_s for at_s in sent_s.values())


harness.main(case, pathlib.Path(__file__).resolve().parent)
