"""Rolls out the declared version of each model to its backend servers, under a lease per model."""

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
    store_calls,
    version_rollout,
    watchers,
)
from gentianpaddle_daemon import logs
from gentianpaddle_daemon.entry import agents
from gentianpaddle_daemon.wire import messages_pb2 as pb

ROLLOUT_PERIOD_S = 0.5
READ_BACK_TIMEOUT_S = 1.5
ORDER_TIMEOUT_S = 2.0
"""Longest wait for the reply to an order. It is shorter than the time in which a lease must be
renewed; an order that takes longer is sent again."""
READ_BACK_PERIOD_S = 5.0
"""Time between two checks of a model whose servers all run the declared version."""

_RETRIABLE_REASONS = (
    orders.OrderReason.OLD_FENCE,
    orders.OrderReason.IN_PROGRESS,
    orders.OrderReason.BUSY,
    orders.OrderReason.BACKEND_UNREACHABLE,
)
"""Reasons of a rejected order after which it is sent again under the same order id."""

_logger = logging.getLogger("gentianpaddle.entry.placement")


@dataclasses.dataclass(slots=True)
class _Rollout:
    lease: leases.Lease
    store_available: bool = False
    next_check_s: float = 0.0
    revision: ids.Revision = dataclasses.field(default_factory=lambda: ids.Revision(0))
    refusals: collections.Counter[ids.VmId] = dataclasses.field(default_factory=collections.Counter)
    wait_reason: str = ""


class VersionRollouts:
    """Version roll-outs of all models whose lease this entry holds."""

    def __init__(
        self,
        board: blackboard.EntryBlackboard,
        links: agents.AgentLinks,
        store: object_api.ObjectApi,
        threads: futures.Executor,
    ) -> None:
        self._board = board
        self._links = links
        self._store = store
        self._threads = threads
        self._rollout_by_model: dict[ids.ModelName, _Rollout] = {}

    async def run(self) -> None:
        """Maintain leases and advance roll-outs until cancelled."""
        while True:
            declaration = self._board.configuration.declaration
            # Only the watchers compete for leases, so the lease reads do not grow with the number
            # of entries.
            chosen = watchers.select_watchers(self._board.exchanger.table.records())
            if declaration is not None and self._board.own_settings.process.vm in chosen:
                versions = [
                    (name, model.version) for name, model in declaration.model_by_name.items()
                ]
                await asyncio.gather(*(self._advance(name, version) for name, version in versions))
            await asyncio.sleep(ROLLOUT_PERIOD_S)

    async def _advance(self, model: ids.ModelName, declared_version: str) -> None:
        rollout = self._rollout_by_model.get(model)
        if rollout is None:
            own = self._board.own_settings.process.vm
            lease = leases.new_lease(ids.GroupId(model), own, self._board.incarnation)
            rollout = self._rollout_by_model[model] = _Rollout(lease)
        await self._maintain_lease(rollout)
        revision = self._board.configuration.document.revision
        if revision != rollout.revision:
            rollout.revision, rollout.next_check_s = revision, 0.0
            rollout.refusals.clear()
        held = _held(rollout)
        if held is None or time.monotonic() < rollout.next_check_s:
            return
        found = await self._read_back(model, rollout, held.fence)
        step = version_rollout.next_step(declared_version, tuple(found))
        if isinstance(step, version_rollout.UpdateOrder):
            rollout.wait_reason = ""
            await self._order(model, declared_version, rollout, step)
            return
        if step.reason == "in_force":
            rollout.next_check_s = time.monotonic() + READ_BACK_PERIOD_S
        if step.reason != rollout.wait_reason:
            rollout.wait_reason = step.reason
            _log(model, "", "", declared_version, held.fence, step.reason)

    async def _maintain_lease(self, rollout: _Rollout) -> None:
        call = rollout.lease.next_call(time.monotonic())
        if isinstance(call, store_calls.Idle):
            return
        loop = asyncio.get_running_loop()
        result = await loop.run_in_executor(self._threads, store_calls.perform, call, self._store)
        lost = (object_api.StoreUnavailable, object_api.ResponseLost)
        rollout.store_available = not isinstance(result, lost)
        rollout.lease.handle_result(result, time.monotonic())

    async def _read_back(
        self, model: ids.ModelName, rollout: _Rollout, fence: ids.Fence
    ) -> list[version_rollout.Server]:
        request = pb.OrderRequest(group=model, fence=fence, kind=pb.ORDER_KIND_READ_BACK)
        serving_links = self._links.links_serving(model)
        replies = await asyncio.gather(
            *(agent_link.order(request, READ_BACK_TIMEOUT_S) for agent_link, _ in serving_links)
        )
        found = []
        for (agent_link, out), reply in zip(serving_links, replies, strict=True):
            if reply is not None and reply.accepted and reply.model != model:
                continue
            version = reply.version if reply is not None and reply.accepted else None
            takes_work = reply is not None and reply.takes_work
            refusals = rollout.refusals[agent_link.agent]
            found.append(
                version_rollout.Server(agent_link.agent, version, takes_work, out, refusals)
            )
        return found

    async def _order(
        self,
        model: ids.ModelName,
        declared_version: str,
        rollout: _Rollout,
        step: version_rollout.UpdateOrder,
    ) -> None:
        held = _held(rollout)
        agent_link = self._links.link_to(step.agent)
        if held is None or agent_link is None:
            return
        refusal_count = rollout.refusals[step.agent]
        request = pb.OrderRequest(
            group=model,
            fence=held.fence,
            order_id=f"{rollout.revision}/{step.agent}/{held.fence}/{refusal_count}",
            kind=pb.ORDER_KIND_LOAD_MODEL,
            model=model,
            version=declared_version,
        )
        _log(model, step.agent, step.current_version, declared_version, held.fence, step.reason)
        reply = await agent_link.order(request, ORDER_TIMEOUT_S)
        if reply is not None and not reply.accepted and reply.reason not in _RETRIABLE_REASONS:
            rollout.refusals[step.agent] += 1
            _log(
                model, step.agent, step.current_version, declared_version, held.fence, reply.reason
            )


def _held(rollout: _Rollout) -> leases.Held | None:
    status = rollout.lease.status(time.monotonic())
    return status if isinstance(status, leases.Held) and rollout.store_available else None


def _log(
    model: str, agent: str, present: str, declared_version: str, fence: ids.Fence, reason: str
) -> None:
    logs.event(
        _logger,
        "placement",
        model=model,
        agent=agent,
        present=present,
        wanted=declared_version,
        fence=int(fence),
        reason=reason,
    )
