"""Orders of lease holders to the backend server on the same VM.

The agent checks the fencing number itself, because not every backend server does, and admits
nothing new from the order until a health check after it.
"""

from __future__ import annotations

import asyncio
import dataclasses
import http
import json
import logging
import time
import typing
from collections.abc import Callable
from concurrent import futures

import urllib3
import urllib3.exceptions

from gentianpaddle_core import blackboard, capacity, ids, orders
from gentianpaddle_daemon import logs
from gentianpaddle_daemon.wire import messages_pb2 as pb

READ_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 120.0
"""Loading a version from the rate-limited weight store takes minutes at worst."""
DRAIN_LIMIT_S = 120.0
"""Longest wait for running attempts; an order is given up after it, so that it breaks none."""
DRAIN_POLL_S = 0.02
READ_BACK_TRIES = 10
READ_BACK_PAUSE_S = 0.5

_NOTHING = orders.Running(ids.ModelName(""), "", "")
_logger = logging.getLogger("gentianpaddle.agent.orders")


class OrderedServer(typing.Protocol):
    """Backend server that takes orders; calls block."""

    def read(self) -> orders.Running | None:
        """Return what the backend server runs, None without a proper answer in time."""

    def order(self, fence: ids.Fence, wanted: orders.Running) -> bool:
        """Tell the backend server what to run; False when it refused or its answer was lost."""


class HttpOrders:
    """Orders to a backend server over HTTP."""

    def __init__(self, url: str) -> None:
        self._url = url
        # A repeat is decided after reading back, so the client library must not retry by itself.
        self._pool = urllib3.PoolManager(maxsize=1, retries=False)

    def read(self) -> orders.Running | None:
        """Return what the backend server runs; see `OrderedServer`."""
        try:
            answer = self._pool.request(
                "GET", f"{self._url}/model", timeout=urllib3.Timeout(READ_TIMEOUT_S)
            )
            if answer.status != http.HTTPStatus.OK:
                return None
            payload = json.loads(answer.data)
            return orders.Running(
                ids.ModelName(str(payload["model"])), str(payload["version"]), str(payload["role"])
            )
        except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError):
            return None

    def order(self, fence: ids.Fence, wanted: orders.Running) -> bool:
        """Tell the backend server what to run; see `OrderedServer`."""
        body = {"fence": int(fence), **dataclasses.asdict(wanted)}
        try:
            answer = self._pool.request(
                "POST",
                f"{self._url}/orders",
                body=json.dumps(body).encode(),
                headers={"Content-Type": "application/json"},
                timeout=urllib3.Timeout(connect=READ_TIMEOUT_S, read=ORDER_TIMEOUT_S),
            )
        except urllib3.exceptions.HTTPError:
            return False
        return bool(answer.status == http.HTTPStatus.OK)


class Ordering:
    """Serves the orders to one backend server."""

    def __init__(
        self,
        board: blackboard.AgentBlackboard,
        server: OrderedServer,
        thread: futures.Executor,
        on_capacity: Callable[[], None],
        read_back_pause_s: float = READ_BACK_PAUSE_S,
    ) -> None:
        self._board = board
        self._server = server
        self._thread = thread
        self._on_capacity = on_capacity
        self._pause_s = read_back_pause_s
        self._desk = orders.new_order_desk()
        self._executing: asyncio.Task[orders.Answer] | None = None

    async def serve(self, request: pb.OrderRequest) -> pb.OrderReply:
        """Carry out an order, or read back.

        Args:
            request: What the lease holder sent.

        Returns:
            Whether the order is in effect, and what the backend server really runs.
        """
        group, fence = ids.GroupId(request.group), ids.Fence(request.fence)
        if not self._desk.observe(group, fence):
            return self._reply(group, orders.OrderReason.OLD_FENCE, None)
        if self._desk.is_busy and request.kind == pb.ORDER_KIND_READ_BACK:
            return self._reply(group, orders.OrderReason.BUSY, None)
        if self._desk.is_busy:
            # Answered without reading, which would wait for the order that is being carried out.
            verdict = self._desk.check(request.order_id, group, fence, _NOTHING)
            assert isinstance(verdict, orders.Answer), "one order at a time"
            return self._reply(group, verdict.reason, None)
        running = await self._read(1)
        if running is None:
            return self._reply(group, orders.OrderReason.BACKEND_UNREACHABLE, None)
        if request.kind == pb.ORDER_KIND_READ_BACK:
            return self._reply(group, None, running)
        wanted = _wanted(request, running)
        if wanted is None or wanted.model not in self._board.own.targets:
            return self._reply(group, orders.OrderReason.UNSUPPORTED, running)
        verdict = self._desk.check(request.order_id, group, fence, wanted)
        if isinstance(verdict, orders.Execute):
            execution = self._execute(request.order_id, fence, wanted, running)
            self._executing = asyncio.get_running_loop().create_task(execution)
            # A caller that stops waiting must not leave the order half done.
            verdict = await asyncio.shield(self._executing)
            running = await self._read(1)
        return self._reply(group, verdict.reason, running)

    async def _execute(
        self, order_id: str, fence: ids.Fence, wanted: orders.Running, before: orders.Running
    ) -> orders.Answer:
        board = self._board
        board.order_in_progress = True
        board.capacity.suspend()
        self._on_capacity()
        taken = False
        if await self._drained():
            taken = await asyncio.get_running_loop().run_in_executor(
                self._thread, self._tell, order_id, fence, wanted
            )
        running = await self._read(READ_BACK_TRIES) or _NOTHING
        answer = self._desk.finished(taken, running)
        if running != before:
            board.capacity.turn_cold(time.monotonic(), capacity.ColdCause.NEW_VERSION)
        board.order_in_progress = False
        self._on_capacity()
        logs.event(
            _logger,
            "order",
            order=order_id,
            fence=int(fence),
            model=wanted.model,
            version=wanted.version,
            accepted=answer.accepted,
            reason=answer.reason or "",
        )
        return answer

    def _tell(self, order_id: str, fence: ids.Fence, wanted: orders.Running) -> bool:
        # Checked in this thread, so that no wait for the thread lies between check and call.
        return self._desk.may_execute(order_id) and self._server.order(fence, wanted)

    async def _drained(self) -> bool:
        until_s = time.monotonic() + DRAIN_LIMIT_S
        while self._board.capacity.running > 0:
            if time.monotonic() >= until_s:
                return False
            await asyncio.sleep(DRAIN_POLL_S)
        return True

    async def _read(self, tries: int) -> orders.Running | None:
        loop = asyncio.get_running_loop()
        for number in range(tries):
            if number:
                await asyncio.sleep(self._pause_s)
            running = await loop.run_in_executor(self._thread, self._server.read)
            if running is not None:
                return running
        return None

    def _reply(
        self, group: ids.GroupId, reason: orders.OrderReason | None, running: orders.Running | None
    ) -> pb.OrderReply:
        said = running or _NOTHING
        return pb.OrderReply(
            accepted=reason is None,
            reason=reason or "",
            highest_fence=self._desk.highest_fence(group),
            model=said.model,
            version=said.version,
            role=said.role,
            takes_work=not self._desk.is_busy and self._board.capacity.limit > 0,
        )


def _wanted(request: pb.OrderRequest, running: orders.Running) -> orders.Running | None:
    """Complete an order by what runs now: a new version keeps the role, a new role the version."""
    if request.kind == pb.ORDER_KIND_LOAD_MODEL:
        role = request.role or running.role
        return orders.Running(ids.ModelName(request.model), request.version, role)
    if request.kind == pb.ORDER_KIND_CHANGE_ROLE:
        return dataclasses.replace(running, role=request.role)
    return None
