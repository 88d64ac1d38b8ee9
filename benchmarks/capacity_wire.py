"""Processor time of one digest exchange over loopback, for each side."""

from __future__ import annotations

import asyncio
import concurrent.futures
import dataclasses
import random
import time

from grpclib import server as grpc_server

from benchmarks import capacity_fleet
from gentianpaddle_core import digest, ids, membership
from gentianpaddle_daemon import exchange, metrics

HOST = "127.0.0.1"
TOKENS = ("shared",)
ROUNDS = 150
WARM_UP_ROUNDS = 20
RUN_LIMIT_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeCost:
    """Processor time of one exchange."""

    client_ms: float
    """Of the process that began it."""
    server_ms: float
    """Of the process that answered."""


def exchange_cost(members: int) -> ExchangeCost:
    """Measure the real exchange between two event loops, each in a thread of its own.

    Args:
        members: Members that both sides know.

    Returns:
        Mean cost by side.
    """
    port = capacity_fleet.free_port()
    client, server = (_new_exchange(side, members, port) for side in (0, 1))
    with concurrent.futures.ThreadPoolExecutor(2) as threads:
        serving = threads.submit(asyncio.run, _serve(server, port))
        asking = threads.submit(asyncio.run, _ask(client))
        client_ms = asking.result(RUN_LIMIT_S)
        return ExchangeCost(client_ms, serving.result(RUN_LIMIT_S))


def _new_exchange(side: int, members: int, port: int) -> exchange.PeerExchange:
    now_s = time.monotonic()
    role_by_number = {0: membership.Role.AGENT, 1: membership.Role.ENTRY}
    records = [
        membership.MemberRecord(
            vm=ids.VmId(f"vm{number}"),
            data_centre=ids.DataCentreId("d0"),
            host=HOST,
            port=port if number == 1 else 1,
            role=role_by_number.get(number, membership.Role.AGENT),
            incarnation=ids.Incarnation(1),
            heartbeat=0,
            state=membership.State.ALIVE,
        )
        for number in range(members)
    ]
    exchanger = digest.new_exchanger(records[side], (), now_s)
    for record in records:
        exchanger.table.merge(record, now_s)
    return exchange.PeerExchange(
        exchanger, TOKENS, metrics.new_metrics(), lambda _: None, random.Random(side)
    )


async def _serve(server: exchange.PeerExchange, port: int) -> float:
    finished = asyncio.Event()
    served = 0
    began_s = 0.0
    inner = server.Exchange

    async def counted(stream: object) -> None:
        nonlocal served, began_s
        await inner(stream)  # type: ignore[arg-type]
        served += 1
        if served == WARM_UP_ROUNDS:
            began_s = time.thread_time()
        if served == WARM_UP_ROUNDS + ROUNDS:
            finished.set()

    server.Exchange = counted  # type: ignore[method-assign]
    listener = grpc_server.Server([server])
    await listener.start(HOST, port)
    await asyncio.wait_for(finished.wait(), RUN_LIMIT_S)
    used_s = time.thread_time() - began_s
    # Lets the last answer leave before the server closes.
    await asyncio.sleep(0.1)
    listener.close()
    await listener.wait_closed()
    return used_s * 1_000 / ROUNDS


async def _ask(client: exchange.PeerExchange) -> float:
    await asyncio.sleep(0.3)
    for _ in range(WARM_UP_ROUNDS):
        await client.round()
    began_s = time.thread_time()
    for _ in range(ROUNDS):
        await client.round()
    return (time.thread_time() - began_s) * 1_000 / ROUNDS
