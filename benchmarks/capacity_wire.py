"""Processor time of one digest exchange over loopback, for client and server."""

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
MEASURED_ROUNDS = 150
WARM_UP_ROUNDS = 20
RUN_TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeCost:
    """Mean processor time of one exchange."""

    client_ms: float
    """Processor time of the side that starts the exchange, in ms."""
    server_ms: float
    """Processor time of the side that replies, in ms."""


def measure_exchange_cost(members: int) -> ExchangeCost:
    """Measure the production exchange between two event loops, each in a thread of its own.

    Args:
        members: Number of members in the table of each side.

    Returns:
        Mean processor time of each side.
    """
    port = capacity_fleet.free_port()
    client, server = (_new_exchange(side, members, port) for side in (0, 1))
    with concurrent.futures.ThreadPoolExecutor(2) as threads:
        server_future = threads.submit(asyncio.run, _run_server(server, port))
        client_future = threads.submit(asyncio.run, _run_client(client))
        client_ms = client_future.result(RUN_TIMEOUT_S)
        return ExchangeCost(client_ms, server_future.result(RUN_TIMEOUT_S))


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


async def _run_server(server: exchange.PeerExchange, port: int) -> float:
    finished = asyncio.Event()
    served = 0
    began_s = 0.0
    original_exchange = server.Exchange

    async def counting_exchange(stream: object) -> None:
        nonlocal served, began_s
        await original_exchange(stream)  # type: ignore[arg-type]
        served += 1
        if served == WARM_UP_ROUNDS:
            began_s = time.thread_time()
        if served == WARM_UP_ROUNDS + MEASURED_ROUNDS:
            finished.set()

    server.Exchange = counting_exchange  # type: ignore[method-assign]
    listener = grpc_server.Server([server])
    await listener.start(HOST, port)
    await asyncio.wait_for(finished.wait(), RUN_TIMEOUT_S)
    used_s = time.thread_time() - began_s
    # Lets the last reply reach the client before the server closes.
    await asyncio.sleep(0.1)
    listener.close()
    await listener.wait_closed()
    return used_s * 1_000 / MEASURED_ROUNDS


async def _run_client(client: exchange.PeerExchange) -> float:
    await asyncio.sleep(0.3)
    for _ in range(WARM_UP_ROUNDS):
        await client.run_round()
    began_s = time.thread_time()
    for _ in range(MEASURED_ROUNDS):
        await client.run_round()
    return (time.thread_time() - began_s) * 1_000 / MEASURED_ROUNDS
