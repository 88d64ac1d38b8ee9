"""The engine on this VM, for this process and for the coordinator of its group."""

from __future__ import annotations

import array
import asyncio
import sys
import typing

from gentianpaddle_core.serving import engine_state, expert_layout
from gentianpaddle_gateway import http_client, http_server
from gentianpaddle_platform import engines, objects

ENGINE_TIMEOUT_S = 0.12
"""A report or order on the same VM takes about 2 ms; an order that is not answered is repeated."""

REMOTE_TIMEOUT_S = 0.3
"""Same from another VM, with the engine's own time-out within."""

STATE_TARGET = "/v1/engine"
COUNTS_TARGET = "/v1/engine/counts"
LAYOUT_TARGET = "/v1/engine/layout"
ORDERS_TARGET = "/v1/engine/orders"

_COUNT_LIMIT = 65_535
"""Counts travel as 16 bits; a rank's requests choose an expert a few thousand times a second."""


class State(typing.NamedTuple):
    """Fresh state of a rank, with the result of an order or new counts if these were asked for."""

    report: engine_state.EngineReport | None
    order: engine_state.OrderResult | None
    counts: list[int]
    """Tokens by set and expert since the last question, set after set."""


class LocalEngine:
    """Calls the engine on this VM.

    Args:
        address: Host and port of the engine.
    """

    def __init__(self, address: str) -> None:
        self._transport = http_client.KeptTransport(address)
        self._lock = asyncio.Lock()
        self._counted: list[int] = []
        self._counted_key: tuple[int, int] | None = None

    async def _call(self, method: str, target: str, body: bytes | None = None) -> objects.Answer:
        async with self._lock:
            answer = await self._transport.call(method, target, body, ENGINE_TIMEOUT_S)
        return answer if isinstance(answer, objects.Answer) else objects.Answer(0, b"")

    async def report(self) -> bytes:
        """Read the engine's report.

        Returns:
            JSON, empty if there is none.
        """
        answer = await self._call("GET", engines.REPORT_TARGET)
        return answer.body if answer.status == 200 else b""

    async def layout(self) -> bytes:
        """Read which experts the engine holds.

        Returns:
            JSON, empty if it does not say.
        """
        answer = await self._call("GET", engines.LAYOUT_TARGET)
        return answer.body if answer.status == 200 else b""

    async def order(self, body: bytes) -> int:
        """Give the engine an order.

        Args:
            body: Encoded order.

        Returns:
            HTTP status, 0 if there was no answer.
        """
        return (await self._call("POST", engines.ORDER_TARGET, body)).status

    async def new_counts(self) -> bytes:
        """Read how often each expert was chosen since the last question.

        Returns:
            16-bit numbers, set after set; empty if nothing is known.
        """
        answer = await self._call("GET", engines.COUNTS_TARGET)
        read = engines.decode_counts(answer.body) if answer.status == 200 else None
        if read is None:
            return b""
        flat = list(read.counts)
        before = self._counted
        self._counted = flat
        if len(before) != len(flat) or any(map(int.__lt__, flat, before)):
            # The engine has started again, or this is the first question.
            return b""
        new = array.array(
            "H", (min(now - then, _COUNT_LIMIT) for now, then in zip(flat, before, strict=True))
        )
        if sys.byteorder == "little":
            new.byteswap()
        return new.tobytes()

    async def serve(self, request: http_server.Request, responder: http_server.Responder) -> None:
        """Serve the coordinator of the group.

        Args:
            request: Its request.
            responder: Takes the answer.
        """
        if request.path == LAYOUT_TARGET:
            await responder.answer(200, [], await self.layout())
        elif request.path in (STATE_TARGET, COUNTS_TARGET, ORDERS_TARGET):
            await responder.answer(200, [], await self.state(request.path, request.body))
        else:
            await responder.answer(404, [], b"")

    async def state(self, target: str, body: bytes) -> bytes:
        """Carry out an order or read counts if the target says so, and add the engine's report.

        Args:
            target: One of the targets above.
            body: An encoded order for `ORDERS_TARGET`.

        Returns:
            What `decode_state` reads.
        """
        status, counts = 0, b""
        if target == ORDERS_TARGET:
            status = await self.order(body)
        elif target == COUNTS_TARGET:
            counts = await self.new_counts()
        return b"%d\n%b\n%b" % (status, await self.report(), counts)


def decode_state(body: bytes) -> State:
    """Decode the state of a rank.

    Args:
        body: What `LocalEngine.state` returned.

    Returns:
        The state.
    """
    status, _, rest = body.partition(b"\n")
    report, _, packed = rest.partition(b"\n")
    counts = array.array("H")
    counts.frombytes(packed[: len(packed) // 2 * 2])
    if sys.byteorder == "little":
        counts.byteswap()
    return State(engines.decode_report(report), _order_result(status), list(counts))


def _order_result(status: bytes) -> engine_state.OrderResult | None:
    if not status.isdigit():
        return engine_state.Unknown("unreadable state")
    code = int(status)
    if code in (200, 202):
        return engine_state.Accepted()
    if code == 0:
        return engine_state.Unknown("no answer")
    return engine_state.Declined(f"status {code}")


def ranks_layout(
    lists_by_rank: dict[int, tuple[tuple[int, ...], ...]],
) -> expert_layout.Layout:
    """Join what each rank holds to the layout of the group.

    Args:
        lists_by_rank: Experts by set, by rank.

    Returns:
        Experts by set and rank.
    """
    ranks = [lists_by_rank[rank] for rank in sorted(lists_by_rank)]
    return tuple(zip(*ranks, strict=True))
