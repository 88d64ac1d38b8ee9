"""The engine on this VM, for this process and for the coordinator of its group."""

from __future__ import annotations

import asyncio
import struct
import typing
from collections.abc import Iterable

from gentianpaddle_core.serving import engine_state, expert_layout
from gentianpaddle_gateway import http_client
from gentianpaddle_platform import engines, objects

ENGINE_TIMEOUT_S = 0.12
"""A report or order on the same VM takes about 2 ms; an order that is not answered is repeated."""

STATE_TARGET = "/v1/engine"
COUNTS_TARGET = "/v1/engine/counts"
LAYOUT_TARGET = "/v1/engine/layout"
ORDERS_TARGET = "/v1/engine/orders"
TARGETS = (STATE_TARGET, COUNTS_TARGET, LAYOUT_TARGET, ORDERS_TARGET)

_SCALE = struct.Struct("!f")
_LEVELS = 255
"""Counts travel as one byte each beside a common scale. A large group has 1,728 of them a rank, and
its VMs have links of 4 Mbit/s."""


class State(typing.NamedTuple):
    """Fresh state of a rank, with the result of an order or new counts if these were asked for."""

    report_body: bytes
    """The engine's report as it came, or what it holds for `LAYOUT_TARGET`; empty if there is
    none."""
    order: engine_state.OrderResult | None
    counts: list[int]
    """Tokens by set and expert since the last question, set after set."""

    @property
    def report(self) -> engine_state.EngineReport | None:
        """The engine's report, or None if there is none or it cannot be read."""
        return engines.decode_report(self.report_body) if self.report_body else None


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

    async def new_counts(self) -> list[int]:
        """Read how often each expert was chosen since the last question.

        Returns:
            Counts, set after set; empty if nothing is known.
        """
        answer = await self._call("GET", engines.COUNTS_TARGET)
        read = engines.decode_counts(answer.body) if answer.status == 200 else None
        if read is None:
            return []
        flat = list(read.counts)
        before = self._counted
        self._counted = flat
        if len(before) != len(flat) or any(map(int.__lt__, flat, before)):
            # The engine has started again, or this is the first question.
            return []
        return list(map(int.__sub__, flat, before))

    async def state(self, target: str, body: bytes) -> State:
        """Carry out an order or read counts if the target says so, and add the engine's report.

        Args:
            target: One of `TARGETS`.
            body: An encoded order for `ORDERS_TARGET`.

        Returns:
            The state of the engine.
        """
        order: engine_state.OrderResult | None = None
        counts: list[int] = []
        if target == LAYOUT_TARGET:
            return State(await self.layout(), None, [])
        if target == ORDERS_TARGET:
            order = _order_result(await self.order(body))
        elif target == COUNTS_TARGET:
            counts = await self.new_counts()
        return State(await self.report(), order, counts)


def joined_counts(parts: Iterable[list[int]]) -> list[int]:
    """Add up counts of several ranks.

    Args:
        parts: Counts by rank, possibly empty ones.

    Returns:
        Their sum, empty if all are.
    """
    total: list[int] = []
    for part in parts:
        if part:
            total = list(map(int.__add__, total, part)) if len(total) == len(part) else part
    return total


def encode_state(state: State) -> bytes:
    """Encode the state of a rank for another process.

    Args:
        state: The state.

    Returns:
        What `decode_state` reads; the counts lose what is below a part in 255 of the highest.
    """
    head = b"%b\n%b\n" % (_RESULT_MARKS[type(state.order)], state.report_body)
    highest = max(state.counts, default=0)
    if not highest:
        return head
    scale = highest / _LEVELS
    return head + _SCALE.pack(scale) + bytes(round(count / scale) for count in state.counts)


def decode_state(body: bytes) -> State:
    """Decode the state of a rank.

    Args:
        body: What `encode_state` returned.

    Returns:
        The state.
    """
    mark, _, rest = body.partition(b"\n")
    report, _, packed = rest.partition(b"\n")
    counts: list[int] = []
    if len(packed) > _SCALE.size:
        scale: float = _SCALE.unpack_from(packed)[0]
        counts = [round(level * scale) for level in packed[_SCALE.size :]]
    return State(report, _RESULT_BY_MARK.get(mark, engine_state.Unknown("unreadable")), counts)


_RESULT_MARKS: dict[type, bytes] = {
    type(None): b"",
    engine_state.Accepted: b"accepted",
    engine_state.Declined: b"declined",
    engine_state.Unknown: b"unknown",
}

_RESULT_BY_MARK: dict[bytes, engine_state.OrderResult | None] = {
    b"": None,
    b"accepted": engine_state.Accepted(),
    b"declined": engine_state.Declined("told by the process beside the engine"),
    b"unknown": engine_state.Unknown("told by the process beside the engine"),
}


def _order_result(status: int) -> engine_state.OrderResult:
    if status in (200, 202):
        return engine_state.Accepted()
    if status == 0:
        return engine_state.Unknown("no answer")
    return engine_state.Declined(f"status {status}")


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
