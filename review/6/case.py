"""Case 6: a stream whose replica spoils one event comes back complete, with a piece missing."""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import rig
from gentianpaddle_platform_standins import http

REPLICAS = 4
SPOILED_SHARE_OF_REPLICAS, SPOILED_SHARE_OF_ANSWERS = 0.5, 0.05
SPOILED_S = 5.0
STREAMS_PER_S = 60.0
EVENTS = 8
SPOILED_EVENT, SPOILED_ID = 4, b"84"


class Replicas:
    """Sound replicas, some of which spoil some answers for a time."""

    def __init__(self) -> None:
        self.draw = random.Random(46)
        self.spoiling: set[str] = set()
        self.spoiled: list[str] = []

    async def stream(self, replica: rig.Replica, run: rig.Run, connection: http.Connection) -> None:
        """Send a stream without a length, which ends with its connection, two events at a time."""
        spoils = replica.name in self.spoiling and self.draw.random() < SPOILED_SHARE_OF_ANSWERS
        last = run.headers.get("last-event-id", "")
        writer = connection.writer
        await asyncio.sleep(0.08)
        writer.write(
            (
                "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/event-stream\r\n"
                f"X-Gentianpaddle-Request-Id: {run.request_id}\r\n"
                f"X-Gentianpaddle-Response-Seal: seal.{run.replica}\r\n\r\n"
            ).encode()
        )
        numbers = range(int(last) + 1 if last else 1, EVENTS + 1)
        if spoils:
            self.spoiled.append(run.request_id)
        for start in range(0, len(numbers), 2):
            part = b""
            for number in numbers[start : start + 2]:
                event_id = b"%d" % number
                if spoils and number == SPOILED_EVENT:
                    event_id = SPOILED_ID
                part += b"id: %b\ndata: piece %d\n\n" % (event_id, number)
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.05)
        writer.close()


async def scenario(system: rig.Rig) -> tuple[int, str]:
    """Play the case; return the verdict and a summary."""
    replicas = Replicas()
    routes = [rig.route("/lohu930/", "streaming", "lm-drafting")]
    system.store.put("config", "main", rig.configuration(routes, [rig.service("lm-drafting")]))
    names = [f"i-7f3a91c{number}" for number in range(REPLICAS)]
    for name in names:
        replica = rig.Replica(system, name, "lm-drafting", replicas.stream)
        await replica.start()
        system.replicas.append(replica)
    await system.start_fronts(2)
    await asyncio.sleep(2.0)

    answers: dict[str, rig.Answer] = {}

    async def client(number: int) -> None:
        request_id = system.new_id()
        data = system.request("POST", "/lohu930/2f", b"p" * 700, request_id)
        answers[request_id] = await system.ask(system.fronts[number % 2], data)

    tasks = []
    count = int(SPOILED_SHARE_OF_REPLICAS * REPLICAS)
    for number in range(int(3 * SPOILED_S * STREAMS_PER_S)):
        # Spoiled answers in the second third only.
        in_trouble = rig.TROUBLE and SPOILED_S <= number / STREAMS_PER_S < 2 * SPOILED_S
        replicas.spoiling = set(names[:count]) if in_trouble else set()
        tasks.append(asyncio.create_task(client(number)))
        await asyncio.sleep(1.0 / STREAMS_PER_S)
    await asyncio.gather(*tasks)

    complete, wrong = 0, []
    for request_id, found in answers.items():
        if found.status != 200 or not found.sealed:
            continue
        complete += 1
        pieces = [
            int(line.removeprefix(b"data: piece "))
            for line in found.body.split(b"\n")
            if line.startswith(b"data: piece ")
        ]
        if pieces != list(range(1, EVENTS + 1)):
            wrong.append(request_id)
            system.note(f"{request_id}: complete answer 200 with the seal; pieces {pieces}")
    system.note(f"answers that a replica spoiled: {replicas.spoiled}")
    summary = (
        f"{len(wrong)} of {complete} complete streams lack a piece; "
        f"replicas spoiled {len(replicas.spoiled)} of {len(answers)}"
    )
    return (rig.BROKEN if wrong else rig.HELD), summary


rig.main(__file__, scenario)
