"""Brings the backend servers of each model to the declared version, under a lease of the model."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import logging
import time
from concurrent import futures

from gentianpaddle_core import (
    blackboard,
    ids,
    leases,
    object_api,
    orders,
    store_steps,
    version_rollout,
    watchers,
)
from gentianpaddle_daemon import logs
from gentianpaddle_daemon.entry import agents
from gentianpaddle_daemon.wire import messages_pb2 as pb

PERIOD_S = 0.5
READ_BACK_TIMEOUT_S = 1.5
ORDER_TIMEOUT_S = 2.0
"""Shorter than the time in which a lease must be renewed; a longer order is asked for again."""
READ_BACK_PERIOD_S = 5.0
"""Time between looks at a model whose servers all run the declared version."""

_NOT_REFUSED = (
    orders.OrderReason.OLD_FENCE,
    orders.OrderReason.IN_PROGRESS,
    orders.OrderReason.BUSY,
    orders.OrderReason.BACKEND_UNREACHABLE,
)
"""Reasons after which the order is sent again under the same id."""

_logger = logging.getLogger("gentianpaddle.entry.placement")


@dataclasses.dataclass(slots=True)
class _Rollout:
    lease: leases.Lease
    store_up: bool = False
    look_at_s: float = 0.0
    revision: ids.Revision = dataclasses.field(default_factory=lambda: ids.Revision(0))
    refusals: collections.Counter[ids.VmId] = dataclasses.field(default_factory=collections.Counter)
    waits_for: str = ""


class VersionRollouts:
    """Roll-outs of all models as far as this entry holds their leases."""

    def __init__(
        self,
        board: blackboard.EntryBlackboard,
        linked: agents.Agents,
        store: object_api.ObjectApi,
        threads: futures.Executor,
    ) -> None:
        self._board = board
        self._agents = linked
        self._store = store
        self._threads = threads
        self._rollout_by_model: dict[ids.ModelName, _Rollout] = {}

    async def run(self) -> None:
        """Keep leases and roll out until cancelled."""
        while True:
            declaration = self._board.configuration.declaration
            # Few entries compete, so that the reads of leases do not grow with the fleet.
            chosen = watchers.watchers(self._board.exchanger.table.records())
            if declaration is not None and self._board.own.process.vm in chosen:
                versions = [
                    (name, model.version) for name, model in declaration.model_by_name.items()
                ]
                await asyncio.gather(*(self._advance(name, to) for name, to in versions))
            await asyncio.sleep(PERIOD_S)

    async def _advance(self, model: ids.ModelName, wanted: str) -> None:
        rollout = self._rollout_by_model.get(model)
        if rollout is None:
            own = self._board.own.process.vm
            lease = leases.new_lease(ids.GroupId(model), own, self._board.incarnation)
            rollout = self._rollout_by_model[model] = _Rollout(lease)
        await self._keep_lease(rollout)
        revision = self._board.configuration.document.revision
        if revision != rollout.revision:
            rollout.revision, rollout.look_at_s = revision, 0.0
            rollout.refusals.clear()
        held = _held(rollout)
        if held is None or time.monotonic() < rollout.look_at_s:
            return
        found = await self._read_back(model, rollout, held.fence)
        step = version_rollout.next_step(wanted, tuple(found))
        if isinstance(step, version_rollout.Order):
            rollout.waits_for = ""
            await self._order(model, wanted, rollout, step)
            return
        if step.reason == "in_force":
            rollout.look_at_s = time.monotonic() + READ_BACK_PERIOD_S
        if step.reason != rollout.waits_for:
            rollout.waits_for = step.reason
            _log(model, "", "", wanted, held.fence, step.reason)

    async def _keep_lease(self, rollout: _Rollout) -> None:
        call = rollout.lease.next_call(time.monotonic())
        if isinstance(call, store_steps.Idle):
            return
        loop = asyncio.get_running_loop()
        result = await loop.run_in_executor(self._threads, store_steps.perform, call, self._store)
        lost = (object_api.StoreUnavailable, object_api.AnswerLost)
        rollout.store_up = not isinstance(result, lost)
        rollout.lease.consume(result, time.monotonic())

    async def _read_back(
        self, model: ids.ModelName, rollout: _Rollout, fence: ids.Fence
    ) -> list[version_rollout.Server]:
        request = pb.OrderRequest(group=model, fence=fence, kind=pb.ORDER_KIND_READ_BACK)
        linked = self._agents.serving(model)
        replies = await asyncio.gather(
            *(each.order(request, READ_BACK_TIMEOUT_S) for each, _ in linked)
        )
        found = []
        for (each, out), reply in zip(linked, replies, strict=True):
            if reply is not None and reply.accepted and reply.model != model:
                continue
            version = reply.version if reply is not None and reply.accepted else None
            takes_work = reply is not None and reply.takes_work
            refusals = rollout.refusals[each.agent]
            found.append(version_rollout.Server(each.agent, version, takes_work, out, refusals))
        return found

    async def _order(
        self, model: ids.ModelName, wanted: str, rollout: _Rollout, step: version_rollout.Order
    ) -> None:
        held = _held(rollout)
        target = self._agents.link_to(step.agent)
        if held is None or target is None:
            return
        tries = rollout.refusals[step.agent]
        request = pb.OrderRequest(
            group=model,
            fence=held.fence,
            order_id=f"{rollout.revision}/{step.agent}/{held.fence}/{tries}",
            kind=pb.ORDER_KIND_LOAD_MODEL,
            model=model,
            version=wanted,
        )
        _log(model, step.agent, step.present, wanted, held.fence, step.reason)
        reply = await target.order(request, ORDER_TIMEOUT_S)
        if reply is not None and not reply.accepted and reply.reason not in _NOT_REFUSED:
            rollout.refusals[step.agent] += 1
            _log(model, step.agent, step.present, wanted, held.fence, reply.reason)


def _held(rollout: _Rollout) -> leases.Held | None:
    status = rollout.lease.status(time.monotonic())
    return status if isinstance(status, leases.Held) and rollout.store_up else None


def _log(model: str, agent: str, present: str, wanted: str, fence: ids.Fence, reason: str) -> None:
    logs.event(
        _logger,
        "placement",
        model=model,
        agent=agent,
        present=present,
        wanted=wanted,
        fence=int(fence),
        reason=reason,
    )
