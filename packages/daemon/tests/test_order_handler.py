"""Guards against executing orders of a former lease holder and against executing an order twice."""

from __future__ import annotations

import asyncio
import types
import typing
from concurrent import futures

import pytest

from gentianpaddle_core import capacity, ids
from gentianpaddle_daemon.agent import order_handler
from gentianpaddle_daemon.wire import messages_pb2 as pb
from gentianpaddle_standins import engine

LOAD, ROLE, READ = (pb.ORDER_KIND_LOAD_MODEL, pb.ORDER_KIND_CHANGE_ROLE, pb.ORDER_KIND_READ_BACK)


class Bench:
    """Order handler of one agent in front of a stand-in engine.

    Attributes:
        places: Capacity of the agent, with a limit of 8 attempts.
        limits: Limit at each reported change of the capacity.
    """

    def __init__(self, **options: typing.Any) -> None:
        self.engine = engine.Engine(engine.EngineOptions("e", load_duration_s=0.05, **options))
        self.server = engine.new_engine_server(self.engine)
        self.places = capacity.new_capacity(capacity.CapacitySettings(8, 0.5, growth=7.0))
        self.places.try_acquire(0.0, ids.VmId("v"))
        self.places.release(0.0, ids.VmId("v"), 0.01)
        self.limits: list[int] = []
        own = types.SimpleNamespace(targets=("drafter",))
        self.board = types.SimpleNamespace(
            own_settings=own, capacity=self.places, order_in_progress=False
        )
        self.thread = futures.ThreadPoolExecutor(1)
        self.handler = order_handler.OrderHandler(
            typing.cast(typing.Any, self.board),
            order_handler.HttpOrderBackend(self.server.url),
            self.thread,
            lambda: self.limits.append(self.places.limit),
            read_back_pause_s=0.01,
        )

    async def order(self, kind: int, fence: int, order_id: str = "", **more: str) -> pb.OrderReply:
        request = pb.OrderRequest(group="drafter", fence=fence, order_id=order_id, **more)
        request.kind = typing.cast(typing.Any, kind)
        return await asyncio.wait_for(self.handler.serve(request), 10.0)

    async def load(self, fence: int, order_id: str, version: str) -> pb.OrderReply:
        return await self.order(LOAD, fence, order_id, model="drafter", version=version)


@pytest.fixture
def make() -> typing.Iterator[typing.Callable[..., Bench]]:
    made: list[Bench] = []

    def new(**options: typing.Any) -> Bench:
        made.append(Bench(**options))
        return made[-1]

    yield new
    for each in made:
        each.thread.shutdown()
        each.server.stop()


@pytest.mark.parametrize("checks_fences", [False, True])
@pytest.mark.parametrize("seen_by", [LOAD, READ])
def test_old_fence_is_refused(make: typing.Any, checks_fences: bool, seen_by: int):
    """A former lease holder must not change the model, also if the engine ignores fences."""
    bench = make(checks_fences=checks_fences)

    async def scenario() -> None:
        newer = {"order_id": "b", "model": "drafter", "version": "3"} if seen_by == LOAD else {}
        assert (await bench.order(seen_by, 2, **newer)).accepted
        refused = await bench.load(1, "a", "2")
        assert (refused.accepted, refused.reason, refused.highest_fence) == (False, "old_fence", 2)
        assert "2" not in [each.version for each in bench.engine.executed_orders]

    asyncio.run(scenario())


def test_order_is_dropped_when_a_newer_fence_arrives_before_the_engine_is_called(make: typing.Any):
    """An order that waits for running attempts must not overwrite what a newer holder read."""
    bench = make()

    async def scenario() -> None:
        bench.places.try_acquire(0.0, ids.VmId("v"))
        late = asyncio.create_task(bench.load(1, "a", "2"))
        for _ in range(100):
            if bench.board.order_in_progress:
                break
            await asyncio.sleep(0.01)
        assert bench.board.order_in_progress
        assert (await bench.order(READ, 2)).reason == "busy"
        bench.places.release(0.0, ids.VmId("v"), 0.01)
        assert not (await late).accepted
        assert bench.engine.executed_orders == []

    asyncio.run(scenario())


@pytest.mark.parametrize("lost", [0, 1])
def test_repeated_order_is_executed_once(make: typing.Any, lost: int):
    """A repeated order must not make the engine load again, also if its first answer was lost."""
    bench = make(lost_order_responses=lost)

    async def scenario() -> None:
        assert bench.places.limit == 8
        for _ in range(2):
            reply = await bench.load(1, "a", "2")
            assert (reply.accepted, reply.version, reply.role) == (True, "2", "mixed")
            assert not reply.takes_work
        assert [each.version for each in bench.engine.executed_orders] == ["2"]
        assert bench.limits == [0, 0]
        bench.places.apply_engine_report(0.0, capacity.EngineReport(1))
        assert bench.places.limit == 1

    asyncio.run(scenario())


def test_reply_reports_what_the_engine_runs(make: typing.Any):
    """The engine may run something else than ordered, so the reply comes from reading it back."""
    bench = make()

    async def scenario() -> None:
        changed = await bench.order(ROLE, 1, "a", role="decode")
        assert (changed.accepted, changed.version, changed.role) == (True, "1", "decode")
        bench.engine.version = "9"
        read = await bench.order(READ, 1)
        assert (read.accepted, read.version, read.takes_work) == (True, "9", False)
        bench.engine.crash()
        assert (await bench.load(1, "b", "2")).reason == "backend_unreachable"

    asyncio.run(scenario())


def test_order_refused_by_the_engine_is_not_accepted(make: typing.Any):
    """An order that the engine itself refuses must not be reported as being in effect."""
    bench = make(checks_fences=True)
    bench.engine._highest_fence = 5
    reply = asyncio.run(bench.load(1, "a", "2"))
    assert (reply.accepted, reply.reason, reply.version) == (False, "backend_refused", "1")
