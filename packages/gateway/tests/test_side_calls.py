"""Calls between side processes."""

from __future__ import annotations

import asyncio
import collections
import typing
import zlib

import pytest

from gentianpaddle_core import ids
from gentianpaddle_core.serving import engine_state, members, rank_sample, routes
from gentianpaddle_gateway import engine_client, http_client, http_server, side_calls

PORT = 21_500
REPORT = b'{"group":{"name":"g","epoch":3,"rank":%d,"state":"open"},"size":6,"running":1,"step":9}'


class FakeEngineClient:
    """Engine client that records its orders and answers without an engine."""

    def __init__(self, rank: int) -> None:
        self.rank = rank
        self.orders: list[bytes] = []

    async def execute(self, target: str, body: bytes) -> engine_client.RankState:
        counts = [self.rank, 255] if target == engine_client.COUNTS_TARGET else []
        order_result: engine_state.OrderResult | None = None
        if target == engine_client.ORDERS_TARGET:
            self.orders.append(body)
            order_result = engine_state.Accepted()
        return engine_client.RankState(REPORT % self.rank, order_result, counts)


def member(rank: int) -> members.Member:
    data_centre = ids.DataCentreId("abc"[rank % 3])
    return members.Member(
        ids.VmId(f"s{rank}"), data_centre, f"127.0.0.{40 + rank}", PORT, None, None
    )


async def start_side_process(
    rank: int,
) -> tuple[side_calls.SideCalls, FakeEngineClient, http_server.Server]:
    engine = FakeEngineClient(rank)
    client = side_calls.SideCalls(member(rank), typing.cast("engine_client.EngineClient", engine))
    server = http_server.Server(client.serve, lambda: routes.DEFAULT_CLIENT_LIMITS)
    await server.listen(f"{member(rank).ip}:{PORT}")
    return client, engine, server


@pytest.mark.parametrize("silent", [None, 1, 4, 2])
def test_calls_reach_all_running_side_processes(silent: int | None) -> None:
    """Guards against losing a whole data centre because its relay is dead.

    Rank 0 calls all side processes, one of which may not run. All other ranks must be reached, in
    the first round and in the second, when the silent process is known.
    """

    async def scenario() -> None:
        running = {rank: await start_side_process(rank) for rank in range(6) if rank != silent}
        client = running[0][0]
        for _ in range(2):
            calls = [
                side_calls.Call(member(rank), engine_client.ORDERS_TARGET, b"order", True)
                for rank in range(6)
            ]
            states = await client.call_all(calls)
            ranks = [state.report.rank if state.report else None for state in states]
            assert ranks == [None if rank == silent else rank for rank in range(6)]
            accepted = [isinstance(state.order_result, engine_state.Accepted) for state in states]
            assert accepted == [rank != silent for rank in range(6)]
        assert all(engine.orders for _, engine, _ in running.values())
        for _, _, server in running.values():
            server.stop_listening()

    asyncio.run(scenario())


def test_counts_of_all_engines_are_summed() -> None:
    """Guards against counting the demand of ranks behind a relay twice or not at all."""

    async def scenario() -> None:
        running = [await start_side_process(rank) for rank in range(6)]
        calls = [
            side_calls.Call(member(rank), engine_client.COUNTS_TARGET, b"", False)
            for rank in range(6)
        ]
        states = await running[0][0].call_all(calls)
        assert engine_client.sum_counts(state.counts for state in states) == [15, 6 * 255]
        for _, _, server in running:
            server.stop_listening()

    asyncio.run(scenario())


@pytest.mark.parametrize("counts", [[], [0, 0], [3, 0, 255], [70_000, 35_000, 10]])
def test_rank_state_round_trip(counts: list[int]) -> None:
    """Guards against quantisation that loses the counts of the most demanded experts."""
    state = engine_client.RankState(REPORT % 2, engine_state.Accepted(), counts)
    decoded = engine_client.decode_state(engine_client.encode_state(state))
    assert decoded.report_body == state.report_body
    assert decoded.order_result == state.order_result
    highest = max(counts, default=0)
    if highest:
        assert len(decoded.counts) == len(counts)
        pairs = zip(decoded.counts, counts, strict=True)
        assert all(abs(a - b) <= highest / 255 for a, b in pairs)


@pytest.mark.parametrize("silent", [set(), {1, 4}, {1, 4, 7, 10, 13, 16}, {3, 6}])
def test_calls_to_a_large_group_form_a_tree(
    silent: set[int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against one link that carries the calls to a whole group, and against lost parts.

    60 ranks in three data centres; some side processes do not run. No running process makes more
    calls than `MAX_DIRECT_CALLS` in each data centre unless a relay is silent.
    """
    # All side processes share one event loop here; silent ones refuse connections at once. A pause
    # of the loop must not count as a silent process.
    monkeypatch.setattr(side_calls, "SIDE_TIMEOUT_S", 10.0)
    monkeypatch.setattr(http_client.open_connection, "__defaults__", (10.0,))

    async def scenario() -> None:
        running = {rank: await start_side_process(rank) for rank in range(60) if rank not in silent}
        try:
            await check_two_rounds(running, silent)
        finally:
            for _, _, server in running.values():
                server.stop_listening()

    async def check_two_rounds(
        running: dict[int, tuple[side_calls.SideCalls, FakeEngineClient, http_server.Server]],
        silent: set[int],
    ) -> None:
        client = running[0][0]
        for _ in range(2):
            calls = [
                side_calls.Call(member(rank), engine_client.COUNTS_TARGET, b"", True)
                for rank in range(60)
            ]
            states = await client.call_all(calls)
            ranks = [state.report.rank if state.report else None for state in states]
            assert ranks == [None if rank in silent else rank for rank in range(60)]
            total = engine_client.sum_counts(state.counts for state in states)
            # Each of the two relays on the way rounds to 1/255 of the highest count.
            expected = [sum(running), len(running) * 255]
            tolerance = 2 * max(expected) / 255
            assert total == pytest.approx(expected, abs=tolerance)
        if not silent:
            contacted = [len(side._transport_by_vm) for side, _, _ in running.values()]
            assert max(contacted) <= side_calls.MAX_DIRECT_CALLS + 2

    asyncio.run(scenario())


def test_relay_waits_longer_than_its_own_calls() -> None:
    """Guards against a relay that is given up while it still waits for one silent side process."""
    for calls in (2, 8, 38, 192, 2_000):
        part = -(-calls // side_calls.MAX_DIRECT_CALLS)
        below_s = (
            side_calls.SIDE_TIMEOUT_S
            if calls <= side_calls.MAX_DIRECT_CALLS
            else side_calls.relay_timeout_s(part)
        )
        assert side_calls.relay_timeout_s(calls) > below_s


@pytest.mark.parametrize(
    "body",
    [b"", b"x", b"[1,2]\n", b'{"a":1}\n', b"[-5]\nabc", zlib.compress(b"5"), zlib.compress(b"")],
)
def test_malformed_answers_of_a_relay(body: bytes) -> None:
    """Guards against an answer that ends the coordinator."""
    decoded = side_calls._decode_states(body)
    assert decoded is None or isinstance(decoded, list)
    side_calls._decode_state(body)
    side_calls._decode_state(zlib.compress(b"\n\n" + b"\xff" * 12))


def test_answer_that_expands_without_end() -> None:
    """Guards against a small body that fills the memory when it is decompressed."""
    bomb = zlib.compress(b"0" * (side_calls.MAX_CALL_BYTES + 1))
    assert side_calls._decompress(bomb) is None


@pytest.mark.parametrize(("ranks", "data_centres"), [(16, 3), (72, 4), (192, 5), (2_000, 5)])
def test_sample_of_ranks(ranks: int, data_centres: int) -> None:
    """Guards against work that grows with the group, and against a data centre that is left out."""
    group = [
        members.Member(
            ids.VmId(f"s{rank}"),
            ids.DataCentreId(f"d{rank % data_centres}"),
            "10.0.0.1",
            1,
            None,
            "10.0.0.1:80",
        )
        for rank in range(ranks)
    ]
    sampled = rank_sample.choose(group, 1)
    assert len(sampled) <= max(rank_sample.MAX_SAMPLED_RANKS, data_centres)
    assert len({item.vm for item in sampled}) == len(sampled)
    counts = collections.Counter(item.data_centre for item in sampled)
    assert len(counts) == data_centres
    assert rank_sample.choose(group[:-1], 1) == rank_sample.choose(group[:-1], 1)
    kept = set(rank_sample.choose(group[1:], 1)) & set(sampled)
    assert len(kept) >= len(sampled) - 1
