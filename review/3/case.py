"""A front is stopped by SIGTERM; clients with an older directory answer use kept connections."""

from __future__ import annotations

import asyncio
import pathlib

import harness

IDLE_MS = 20_000
"""`idleTimeoutMs` of the configuration; clients reuse connections for four fifths of it."""

SEND_AFTER_S = (3.6, 4.0, 4.4, 4.8)
"""Times after SIGTERM at which the clients send; their directory answer is under 6 s old."""

PIECES = 60
"""Events of the late streams, 80 ms apart: 4.8 s."""


async def stream(
    record: harness.Record, caller: harness.Caller, request_id: str, pieces: int
) -> bool:
    """Ask for a stream and return whether the answer is complete."""
    headers = harness.request_headers(request_id, 8050, f"640,{pieces * 5}")
    record.write("sends", request_id, "stream of", pieces, "events")
    answer = await caller.ask("POST", "/stream/1", headers, b"prompt")
    received = answer.body.count(b"\n\n")
    record.write(
        "answered", request_id, answer.status, received, "events", answer.error or "complete"
    )
    return answer.complete and answer.status == 200 and received == pieces


async def case(record: harness.Record) -> bool:
    """Play the case and return whether the rule held."""
    async with harness.deployment(record, ("shah-alam", "petaling-jaya")) as system:
        system.configure([harness.route("/stream/", "streaming", "lm-drafting")], ["lm-drafting"])
        for number, zone in enumerate(system.zones * 2):
            await system.add_replica(f"i-{number}", "lm-drafting", zone)
        leaving = system.new_front("front-1", "shah-alam")
        system.new_front("front-2", "petaling-jaya")
        await system.start_fronts()
        callers = [await harness.Caller.connect(leaving.address) for _ in SEND_AFTER_S]
        for number, caller in enumerate(callers):
            if not await stream(record, caller, f"first-{number}", 2):
                raise harness.CannotRunError("the system does not serve")
        # Some clients keep a directory answer three times its ttlS of 2 s.
        named = await system.fronts[1].addresses("shah-alam")
        if leaving.address not in named:
            raise harness.CannotRunError("the directory does not name the front")
        record.say("the clients' directory answer names", leaving.name)
        # Another stream is under way, so that the process has work until 5.6 s after SIGTERM.
        other = await harness.Caller.connect(leaving.address)
        earlier = asyncio.ensure_future(stream(record, other, "earlier", 70))
        await asyncio.sleep(0.1)
        stop = None
        if harness.TROUBLE:
            stop = asyncio.ensure_future(leaving.terminate(float(system.bounds["graceS"])))

        async def late(number: int) -> bool:
            await asyncio.sleep(SEND_AFTER_S[number])
            return await stream(record, callers[number], f"late-{number}", PIECES)

        results = await asyncio.gather(*(late(number) for number in range(len(callers))))
        record.write("the stream that was under way is complete:", await earlier)
        if stop is not None:
            await stop
        passed_on = {
            arrival.request_id
            for replica in system.replicas
            for arrival in replica.arrivals
            if arrival.request_id.startswith("late-")
        }
        lost = [
            f"late-{number}"
            for number, complete in enumerate(results)
            if not complete and f"late-{number}" in passed_on
        ]
        record.say("passed on to a replica and not answered completely:", len(lost), lost)
        return not lost


harness.main(case, pathlib.Path(__file__).resolve().parent)
