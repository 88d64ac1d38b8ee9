"""Execution of orders from lease holders on the backend server of the same VM.

The agent checks the fencing number itself, because not every backend server does. From the start
of an order until the next health check after it, the agent admits no new attempts.
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
from gentianpaddle_daemon.agent import bounded_http
from gentianpaddle_daemon.wire import messages_pb2 as pb

READ_TIMEOUT_S = 1.0
"""Time-out of a read, and of the connection of an order."""
ORDER_TIMEOUT_S = 120.0
"""Time-out of an order; loading a version from the rate-limited weight store can take minutes."""
DRAIN_LIMIT_S = 120.0
"""Longest wait for running attempts to end.

The order is abandoned after this time, because carrying it out would break these attempts.
"""
DRAIN_POLL_S = 0.02
"""Time between two checks whether attempts are still running."""
READ_BACK_ATTEMPTS = 10
"""Number of reads after an order until the backend server answers one."""
READ_BACK_PAUSE_S = 0.5
"""Pause between two of these reads."""

_UNKNOWN_RUNNING = orders.Running(ids.ModelName(""), "", "")
"""Stands for what runs while the backend server has not reported it."""
_logger = logging.getLogger("gentianpaddle.agent.orders")


class OrderBackend(typing.Protocol):
    """Interface of a backend server that takes orders; the calls block."""

    def read(self) -> orders.Running | None:
        """Return what the backend server runs, or None without a valid answer in time."""

    def order(self, fence: ids.Fence, wanted: orders.Running) -> bool:
        """Order the backend server to run a model, version and role.

        Returns:
            Whether it accepted the order; False also if its answer was lost.
        """


class HttpOrderBackend:
    """HTTP client for the orders to a backend server; implements `OrderBackend`."""

    def __init__(self, url: str) -> None:
        self._url = url
        # An order is repeated only after reading back.
        self._pool = bounded_http.new_pool(1)

    def read(self) -> orders.Running | None:
        """Return what the backend server runs; see `OrderBackend`."""
        try:
            response = self._pool.request(
                "GET",
                f"{self._url}/model",
                timeout=urllib3.Timeout(READ_TIMEOUT_S),
                preload_content=False,
            )
            body = bounded_http.read_report(response)
            if response.status != http.HTTPStatus.OK:
                return None
            payload = json.loads(body)
            return orders.Running(
                ids.ModelName(str(payload["model"])), str(payload["version"]), str(payload["role"])
            )
        except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError):
            return None

    def order(self, fence: ids.Fence, wanted: orders.Running) -> bool:
        """Order the backend server to run `wanted`; see `OrderBackend`."""
        body = {"fence": int(fence), **dataclasses.asdict(wanted)}
        try:
            response = self._pool.request(
                "POST",
                f"{self._url}/orders",
                body=json.dumps(body).encode(),
                headers={"Content-Type": "application/json"},
                timeout=urllib3.Timeout(connect=READ_TIMEOUT_S, read=ORDER_TIMEOUT_S),
                preload_content=False,
            )
            bounded_http.read_report(response)
        except urllib3.exceptions.HTTPError:
            return False
        return bool(response.status == http.HTTPStatus.OK)


class OrderHandler:
    """Checks and carries out the orders to one backend server, one at a time."""

    def __init__(
        self,
        board: blackboard.AgentBlackboard,
        order_backend: OrderBackend,
        executor: futures.Executor,
        on_capacity_change: Callable[[], None],
        read_back_pause_s: float = READ_BACK_PAUSE_S,
    ) -> None:
        self._board = board
        self._backend = order_backend
        self._executor = executor
        self._on_capacity_change = on_capacity_change
        self._read_back_pause_s = read_back_pause_s
        self._order_checker = orders.new_order_checker()
        self._execution_task: asyncio.Task[orders.Answer] | None = None

    async def serve(self, request: pb.OrderRequest) -> pb.OrderReply:
        """Carry out an order, or read back what the backend server runs.

        Args:
            request: Order or read-back from the lease holder of a group.

        Returns:
            Reply that is accepted if the order is in effect or the read-back succeeded, with what
            the backend server reports that it runs, empty if it was not read.
        """
        group, fence = ids.GroupId(request.group), ids.Fence(request.fence)
        if not self._order_checker.record_fence(group, fence):
            return self._reply(group, orders.OrderReason.OLD_FENCE, None)
        if self._order_checker.is_busy and request.kind == pb.ORDER_KIND_READ_BACK:
            return self._reply(group, orders.OrderReason.BUSY, None)
        if self._order_checker.is_busy:
            # The backend server is not read here, because the read would queue behind the running
            # order in the single-threaded executor. `wanted` is ignored while an order is in
            # progress.
            verdict = self._order_checker.check_order(
                request.order_id, group, fence, _UNKNOWN_RUNNING
            )
            assert isinstance(verdict, orders.Answer), (
                "no order is executed while another is in progress"
            )
            return self._reply(group, verdict.reason, None)
        running = await self._read_running(1)
        if running is None:
            return self._reply(group, orders.OrderReason.BACKEND_UNREACHABLE, None)
        if request.kind == pb.ORDER_KIND_READ_BACK:
            return self._reply(group, None, running)
        wanted = _wanted_running(request, running)
        if wanted is None or wanted.model not in self._board.own_settings.targets:
            return self._reply(group, orders.OrderReason.UNSUPPORTED, running)
        verdict = self._order_checker.check_order(request.order_id, group, fence, wanted)
        if isinstance(verdict, orders.Execute):
            execution = self._execute(request.order_id, fence, wanted, running)
            self._execution_task = asyncio.get_running_loop().create_task(execution)
            # Shielded, so that a cancelled request does not interrupt the order half-way.
            verdict = await asyncio.shield(self._execution_task)
            running = await self._read_running(1)
        return self._reply(group, verdict.reason, running)

    async def _execute(
        self, order_id: str, fence: ids.Fence, wanted: orders.Running, before: orders.Running
    ) -> orders.Answer:
        board = self._board
        board.order_in_progress = True
        board.capacity.suspend()
        self._on_capacity_change()
        acknowledged = False
        if await self._wait_until_idle():
            acknowledged = await asyncio.get_running_loop().run_in_executor(
                self._executor, self._order_if_current, order_id, fence, wanted
            )
        running = await self._read_running(READ_BACK_ATTEMPTS) or _UNKNOWN_RUNNING
        answer = self._order_checker.record_result(acknowledged, running)
        if running != before:
            board.capacity.reset_to_cold(time.monotonic(), capacity.ColdCause.NEW_VERSION)
        board.order_in_progress = False
        self._on_capacity_change()
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

    def _order_if_current(self, order_id: str, fence: ids.Fence, wanted: orders.Running) -> bool:
        # Checked in the worker thread, so that the call follows without a wait for the thread.
        return self._order_checker.may_execute(order_id) and self._backend.order(fence, wanted)

    async def _wait_until_idle(self) -> bool:
        until_s = time.monotonic() + DRAIN_LIMIT_S
        while self._board.capacity.running > 0:
            if time.monotonic() >= until_s:
                return False
            await asyncio.sleep(DRAIN_POLL_S)
        return True

    async def _read_running(self, attempts: int) -> orders.Running | None:
        loop = asyncio.get_running_loop()
        for attempt_index in range(attempts):
            if attempt_index:
                await asyncio.sleep(self._read_back_pause_s)
            running = await loop.run_in_executor(self._executor, self._backend.read)
            if running is not None:
                return running
        return None

    def _reply(
        self, group: ids.GroupId, reason: orders.OrderReason | None, running: orders.Running | None
    ) -> pb.OrderReply:
        reported = running or _UNKNOWN_RUNNING
        return pb.OrderReply(
            accepted=reason is None,
            reason=reason or "",
            highest_fence=self._order_checker.highest_fence(group),
            model=reported.model,
            version=reported.version,
            role=reported.role,
            takes_work=not self._order_checker.is_busy and self._board.capacity.limit > 0,
        )


def _wanted_running(request: pb.OrderRequest, running: orders.Running) -> orders.Running | None:
    """Return what the backend server shall run after an order, None for an unsupported kind.

    What the order leaves open is taken from `running`: a new version keeps the role unless the
    order names one, and a new role keeps model and version.
    """
    if request.kind == pb.ORDER_KIND_LOAD_MODEL:
        role = request.role or running.role
        return orders.Running(ids.ModelName(request.model), request.version, role)
    if request.kind == pb.ORDER_KIND_CHANGE_ROLE:
        return dataclasses.replace(running, role=request.role)
    return None
