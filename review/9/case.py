"""Case 9: after some lost answers, a request that crashes replicas is no longer held back."""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys
import typing

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import rig
from gentianpaddle_platform_standins import http

MODEL_REPLICAS = 16
EPISODES, LOST_S, PAUSE_S = 8, 4.0, 1.0
LOST_SHARE_OF_REPLICAS, LOST_SHARE_OF_ANSWERS = 0.6, 0.4
STREAMS_PER_S = 80.0
BOOKINGS_PER_S = 4.0
FATAL_S, FATAL_GAP_S = 33.0, 1.5
BACK_AFTER_S, ENTRY_KEPT_S = 2.0, 3.6
STABILITY_WINDOW_S = 3.0
ALLOWED_RETRIES = 3


class Trouble:
    """What the replicas do to the requests, and what they have seen."""

    def __init__(self, system: rig.Rig) -> None:
        self.system = system
        self.draw = random.Random(46)
        self.losing: set[str] = set()
        self.lost_answers = 0
        self.crashes: list[float] = []
        self.fatal_arrivals: list[float] = []
        self.incarnations = 0
        self.restarts: list[asyncio.Task[None]] = []

    async def stream(self, replica: rig.Replica, run: rig.Run, connection: http.Connection) -> None:
        """Run a stream, and lose its answer if the replica loses answers."""
        if replica.name in self.losing and self.draw.random() < LOST_SHARE_OF_ANSWERS:
            await asyncio.sleep(0.1)
            self.lost_answers += 1
            connection.reset()
            return
        await rig.answer_events(connection, run)

    async def book(self, replica: rig.Replica, run: rig.Run, connection: http.Connection) -> None:
        """Run a booking, or crash on the fatal request."""
        if not run.body.startswith(b"fatal"):
            await asyncio.sleep(0.1)
            await rig.answer(connection, run)
            return
        self.fatal_arrivals.append(self.system.now())
        await asyncio.sleep(0.02)
        self.crashes.append(self.system.now())
        self.system.note(f"{replica.name} crashes on request {run.request_id}")
        replica.http.close()
        replica.http.abort_connections()
        asyncio.get_running_loop().call_later(
            ENTRY_KEPT_S, self.system.store.remove, "servers", replica.name
        )
        self.restarts.append(asyncio.create_task(self.restart()))

    async def restart(self) -> None:
        """Start a new incarnation of a replica that has crashed."""
        await asyncio.sleep(BACK_AFTER_S)
        self.incarnations += 1
        await self.add(f"i-b{self.incarnations:04d}")

    async def add(self, name: str) -> None:
        """Start a replica of the booking service."""
        replica = rig.Replica(self.system, name, "booking-api", self.book)
        self.system.replicas.append(replica)
        await replica.start()


async def scenario(system: rig.Rig) -> tuple[int, str]:
    """Play the case; return the verdict and a summary."""
    trouble = Trouble(system)
    routes = [
        rig.route("/lohu930/", "streaming", "lm-drafting"),
        rig.route("/puxa403/", "unsafe", "booking-api"),
    ]
    services = [rig.service("lm-drafting"), rig.service("booking-api")]
    system.store.put("config", "main", rig.configuration(routes, services))
    model_replicas = [f"i-m{number:04d}" for number in range(MODEL_REPLICAS)]
    for name in model_replicas:
        replica = rig.Replica(system, name, "lm-drafting", trouble.stream)
        system.replicas.append(replica)
        await replica.start()
    for name in ("i-a0001", "i-a0002", "i-a0003"):
        await trouble.add(name)
    await system.start_fronts(2)
    await asyncio.sleep(2.0)

    booked: dict[str, int] = {}
    tasks: list[asyncio.Task[None]] = []

    async def stream(number: int) -> None:
        fields = {
            "X-Gentianpaddle-Model": "m",
            "X-Gentianpaddle-Token-Count": "700,80",
            "X-Gentianpaddle-Prompt-Prefix": f"{0x5C1E0000 + number % 60:x}:40,{number:x}:660",
        }
        data = system.request("POST", "/lohu930/2f", b"p" * 700, fields=fields)
        await system.ask(system.fronts[number % 2], data)

    async def book(number: int) -> None:
        request_id, body = system.new_id(), b"booking %d" % number
        data = system.request("POST", "/puxa403/2f", body, request_id, 1500)
        booked[request_id] = (await system.ask(system.fronts[number % 2], data)).status

    async def load(
        request: typing.Callable[[int], typing.Coroutine[typing.Any, typing.Any, None]],
        per_s: float,
    ) -> None:
        number = 0
        while True:
            tasks.append(asyncio.create_task(request(number)))
            number += 1
            await asyncio.sleep(1.0 / per_s)

    loads = [
        asyncio.create_task(load(*item))
        for item in ((stream, STREAMS_PER_S), (book, BOOKINGS_PER_S))
    ]
    for _ in range(EPISODES):
        if rig.TROUBLE:
            count = int(LOST_SHARE_OF_REPLICAS * MODEL_REPLICAS + 0.5)
            trouble.losing = set(trouble.draw.sample(model_replicas, count))
        await asyncio.sleep(LOST_S)
        trouble.losing = set()
        await asyncio.sleep(PAUSE_S)
    system.note(
        f"{trouble.lost_answers} answers of model replicas were lost, the last one a while ago"
    )

    end_s, number = system.now() + FATAL_S, 0
    while system.now() < end_s:
        request_id = system.new_id()
        data = system.request("POST", "/puxa403/2f", b"fatal" + b"b" * 600, request_id, 600)
        found = await system.ask(system.fronts[number % 2], data)
        retry_after = found.headers.get("retry-after")
        system.note(f"fatal request {request_id}: answer {found.status}, Retry-After {retry_after}")
        number += 1
        await asyncio.sleep(FATAL_GAP_S)
    for task in loads:
        task.cancel()
    await asyncio.gather(*tasks)

    crashes = trouble.crashes
    third_s = crashes[2] if len(crashes) > 2 else float("inf")
    late = [at_s for at_s in trouble.fatal_arrivals if at_s > third_s + STABILITY_WINDOW_S]
    ran = {run.request_id for run in system.runs}
    cut = [name for name, status in booked.items() if name in ran and not 200 <= status < 300]
    system.note(f"sound bookings that a replica had begun to run and that got no success: {cut}")
    summary = (
        f"{len(crashes)} crashes; {len(late)} arrivals of the fatal request later than "
        f"{STABILITY_WINDOW_S:.0f} s after the third; {len(cut)} sound bookings cut"
    )
    return (rig.BROKEN if len(late) > ALLOWED_RETRIES else rig.HELD), summary


rig.main(__file__, scenario)
