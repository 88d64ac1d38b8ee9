"""HTTP client of a model engine, and the encoding of its state for the coordinator of its group."""

from __future__ import annotations

import asyncio
import struct
import typing
from collections.abc import Iterable

from gentianpaddle_core.serving import engine_state, expert_layout
from gentianpaddle_gateway import http_client
from gentianpaddle_platform import engines, objects

ENGINE_TIMEOUT_S = 0.12
"""Time-out of a call to the engine. A report or order on the same VM takes about 2 ms. An order
without an answer is sent again."""

BODY_LIMIT_BYTES = 1_048_576
"""Maximum size of an answer of an engine, which holds a few thousand numbers at most. A front reads
from many engines at the same time."""

STATE_TARGET = "/v1/engine"
COUNTS_TARGET = "/v1/engine/counts"
LAYOUT_TARGET = "/v1/engine/layout"
ORDERS_TARGET = "/v1/engine/orders"
TARGETS = (STATE_TARGET, COUNTS_TARGET, LAYOUT_TARGET, ORDERS_TARGET)
"""Targets of calls between side processes; each selects what `EngineClient.execute` does."""

_SCALE = struct.Struct("!f")
_MAX_LEVEL = 255
"""Highest quantised count. Counts are sent as one byte each, with a common scale factor: a large
group has 1,728 counts per rank, and its VMs have links of 4 Mbit/s."""


class RankState(typing.NamedTuple):
    """State of a rank after a call, with the order's result or the counts if requested."""

    report_body: bytes
    """The engine's encoded report, or its encoded expert layout for `LAYOUT_TARGET`; empty if the
    engine did not answer."""
    order_result: engine_state.OrderResult | None
    """Result of the order, or None if the call was not an order."""
    counts: list[int]
    """Number of tokens routed to each expert since the previous call, in the order of the expert
    sets; empty if not known."""

    @property
    def report(self) -> engine_state.EngineReport | None:
        """The decoded report, or None if it is missing or cannot be decoded."""
        return engines.decode_report(self.report_body) if self.report_body else None


class EngineClient:
    """Calls one engine, one call at a time, over one connection.

    An engine may send an answer twice. The second copy is then read as the answer of the next call,
    and each later call gets the answer of the one before. The connection is closed as soon as an
    answer does not fit its call, so that this ends with the next order at the latest.

    Args:
        address: Host and port of the engine.
    """

    def __init__(self, address: str) -> None:
        self._transport = http_client.PersistentTransport(address, BODY_LIMIT_BYTES)
        self._lock = asyncio.Lock()
        self._last_counts: list[int] = []
        self._last_counts_key: tuple[int, int] | None = None

    async def _call(self, method: str, target: str, body: bytes | None = None) -> objects.Response:
        async with self._lock:
            answer = await self._transport.call(method, target, body, ENGINE_TIMEOUT_S)
        return answer if isinstance(answer, objects.Response) else objects.Response(0, b"")

    async def read_report(self) -> bytes:
        """Read the engine's report.

        Returns:
            Report as JSON; empty if the engine did not answer with a report.
        """
        answer = await self._call("GET", engines.REPORT_TARGET)
        if answer.status == 200 and engines.decode_report(answer.body) is not None:
            return answer.body
        self._transport.close()
        return b""

    async def read_layout(self) -> bytes:
        """Read which experts the engine holds.

        Returns:
            Layout as JSON; empty if the engine did not answer with a layout.
        """
        answer = await self._call("GET", engines.LAYOUT_TARGET)
        if answer.status == 200 and engines.decode_layout(answer.body) is not None:
            return answer.body
        self._transport.close()
        return b""

    async def send_order(self, body: bytes) -> int:
        """Send an order to the engine.

        Args:
            body: Encoded order.

        Returns:
            HTTP status, or 0 if the engine did not answer the order.
        """
        answer = await self._call("POST", engines.ORDER_TARGET, body)
        if engines.is_answer_of_read(answer.body):
            self._transport.close()
            return 0
        return answer.status

    async def order(self, body: bytes) -> engine_state.OrderResult:
        """Send an order to the engine and return its result.

        Args:
            body: Encoded order.
        """
        return _order_result(await self.send_order(body))

    async def read_count_increments(self) -> list[int]:
        """Read the number of tokens routed to each expert since the previous call.

        Returns:
            Increments of the counters, in the order of the expert sets; empty if there is no
            answer or no earlier reading to compare with.
        """
        answer = await self._call("GET", engines.COUNTS_TARGET)
        decoded = engines.decode_counts(answer.body) if answer.status == 200 else None
        if decoded is None:
            self._transport.close()
            return []
        counts = list(decoded.counts)
        previous = self._last_counts
        self._last_counts = counts
        if len(previous) != len(counts) or any(map(int.__lt__, counts, previous)):
            # First reading, or the counters were reset by a restart of the engine.
            return []
        return list(map(int.__sub__, counts, previous))

    async def execute(self, target: str, body: bytes) -> RankState:
        """Execute the call that a target selects and read the engine's report.

        Args:
            target: One of `TARGETS`.
            body: Encoded order for `ORDERS_TARGET`; not used for other targets.

        Returns:
            State of the engine after the call; only the encoded layout for `LAYOUT_TARGET`.
        """
        order_result: engine_state.OrderResult | None = None
        counts: list[int] = []
        if target == LAYOUT_TARGET:
            return RankState(await self.read_layout(), None, [])
        if target == ORDERS_TARGET:
            order_result = await self.order(body)
        elif target == COUNTS_TARGET:
            counts = await self.read_count_increments()
        return RankState(await self.read_report(), order_result, counts)


def sum_counts(parts: Iterable[list[int]]) -> list[int]:
    """Sum the counts of several ranks.

    Args:
        parts: Counts of each rank; empty for a rank whose counts are not known.

    Returns:
        Sum by position; empty if all parts are empty.
    """
    total: list[int] = []
    for part in parts:
        if part:
            total = list(map(int.__add__, total, part)) if len(total) == len(part) else part
    return total


def encode_state(state: RankState) -> bytes:
    """Encode the state of a rank for another process.

    Args:
        state: State to encode.

    Returns:
        Input for `decode_state`. Counts are quantised in steps of 1/255 of the highest count.
    """
    head = b"%b\n%b\n" % (_RESULT_TEXTS[type(state.order_result)], state.report_body)
    highest_count = max(state.counts, default=0)
    if not highest_count:
        return head
    scale = highest_count / _MAX_LEVEL
    return head + _SCALE.pack(scale) + bytes(round(count / scale) for count in state.counts)


def decode_state(body: bytes) -> RankState:
    """Decode the state of a rank.

    Args:
        body: Result of `encode_state`.

    Returns:
        Decoded state.
    """
    result_text, _, rest = body.partition(b"\n")
    report, _, packed = rest.partition(b"\n")
    counts: list[int] = []
    if len(packed) > _SCALE.size:
        scale: float = _SCALE.unpack_from(packed)[0]
        counts = [round(level * scale) for level in packed[_SCALE.size :]]
    return RankState(
        report, _RESULT_BY_TEXT.get(result_text, engine_state.Unknown("unreadable")), counts
    )


_RESULT_TEXTS: dict[type, bytes] = {
    type(None): b"",
    engine_state.Accepted: b"accepted",
    engine_state.Declined: b"declined",
    engine_state.Unknown: b"unknown",
}

_RESULT_BY_TEXT: dict[bytes, engine_state.OrderResult | None] = {
    b"": None,
    b"accepted": engine_state.Accepted(),
    b"declined": engine_state.Declined("reported by the side process of the engine"),
    b"unknown": engine_state.Unknown("reported by the side process of the engine"),
}


def _order_result(status: int) -> engine_state.OrderResult:
    if status in (200, 202):
        return engine_state.Accepted()
    if status == 0:
        return engine_state.Unknown("no answer")
    return engine_state.Declined(f"status {status}")


def group_layout(
    layout_by_rank: dict[int, tuple[tuple[int, ...], ...]],
) -> expert_layout.Layout:
    """Combine the experts that each rank holds into the layout of the group.

    Args:
        layout_by_rank: Experts of each rank, by expert set.

    Returns:
        Experts by expert set and rank.
    """
    ranks = [layout_by_rank[rank] for rank in sorted(layout_by_rank)]
    return tuple(zip(*ranks, strict=True))
