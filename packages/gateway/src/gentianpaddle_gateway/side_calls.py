"""Calls to the side processes of a group, which forward them to their engines.

The calls form a tree. The side processes of another data centre are called through one of them, the
relay, since traffic between data centres is charged. A process that has more calls to make than
`MAX_DIRECT_CALLS` passes them on in parts to further relays, since the expert map of a large group,
sent to each of its engines, would saturate the link of one VM.
"""

from __future__ import annotations

import asyncio
import collections
import json
import logging
import typing
import zlib
from collections.abc import Sequence

from gentianpaddle_core import ids
from gentianpaddle_core.serving import engine_state, members
from gentianpaddle_gateway import engine_client, http_client, http_server, log
from gentianpaddle_platform import decoding, objects

_logger = logging.getLogger("gentianpaddle.experts")

SIDE_TIMEOUT_S = 0.3
"""Time-out of a call to a side process: twice `engine_client.ENGINE_TIMEOUT_S`, because the side
process sends an order and then reads the report of its engine, plus a margin."""

MAX_DIRECT_CALLS = 8
"""Maximum number of side processes that one process calls without relays."""

RELAY_MARGIN_S = 0.25
"""Time that a relay needs in addition to the time-out of its own calls."""

SILENT_PAUSE_S = 2.0
"""Time for which a side process that did not answer with status 200 is not called again."""

MAX_CALL_BYTES = 8 * 1_048_576
"""Maximum size in bytes of a decompressed call or answer."""

RELAY_TARGET = "/v1/relay"


class Call(typing.NamedTuple):
    """Call to one side process."""

    member: members.Member
    """VM of the side process."""
    target: str
    """One of `engine_client.TARGETS`."""
    body: bytes
    """Encoded order; empty for other calls."""
    engine_fallback: bool
    """Whether the engine is called directly if its side process does not answer. Calls to an engine
    from another VM are charged."""


def relay_timeout_s(calls: int) -> float:
    """Return the time-out of a relay.

    Args:
        calls: Number of calls that the relay makes, itself or through further relays.
    """
    own_calls_s = (
        SIDE_TIMEOUT_S if calls <= MAX_DIRECT_CALLS else relay_timeout_s(_part_size(calls))
    )
    return own_calls_s + RELAY_MARGIN_S


def _part_size(calls: int) -> int:
    return -(-calls // MAX_DIRECT_CALLS)


class SideCalls:
    """Calls side processes, and serves the calls of other side processes.

    Args:
        own: This VM.
        engine: Client of the engine on this VM.
    """

    def __init__(self, own: members.Member, engine: engine_client.EngineClient) -> None:
        self._own = own
        self._engine = engine
        self._transport_by_vm: dict[ids.VmId, http_client.PersistentTransport] = {}
        self._engine_by_address: dict[str, engine_client.EngineClient] = {}
        self._skip_until_s: dict[ids.VmId, float] = {}
        self._responsive_vms: set[ids.VmId] = set()

    async def call_all(self, calls: Sequence[Call]) -> list[engine_client.RankState]:
        """Call side processes in all data centres concurrently.

        Args:
            calls: One call for each side process.

        Returns:
            State of each rank, in the order of the calls. For a data centre that was called through
            a relay, the first state holds the sum of its counts and the others hold none.
        """
        indices_by_data_centre: dict[ids.DataCentreId, list[int]] = collections.defaultdict(list)
        for index, call in enumerate(calls):
            indices_by_data_centre[call.member.data_centre].append(index)
        state_by_index: dict[int, engine_client.RankState] = {}

        async def call_data_centre(data_centre: ids.DataCentreId, indices: list[int]) -> None:
            data_centre_calls = [calls[index] for index in indices]
            direct = data_centre == self._own.data_centre or len(data_centre_calls) == 1
            states = None if direct else await self._call_through_relay(data_centre_calls)
            if states is None:
                states = await self._call_tree(data_centre_calls)
            state_by_index.update(zip(indices, states, strict=True))

        await asyncio.gather(*(call_data_centre(*item) for item in indices_by_data_centre.items()))
        return [state_by_index[index] for index in range(len(calls))]

    def is_silent(self, vm: ids.VmId) -> bool:
        """Return whether a side process did not answer recently and is not called for now.

        Args:
            vm: VM of the side process.
        """
        now_s = asyncio.get_running_loop().time()
        return now_s < self._skip_until_s.get(vm, now_s)

    async def _call_tree(self, calls: Sequence[Call]) -> list[engine_client.RankState]:
        """Call side processes of one data centre, through further relays if they are many."""
        if len(calls) <= MAX_DIRECT_CALLS:
            return await self._call_each(calls)
        size = _part_size(len(calls))
        parts = [calls[start : start + size] for start in range(0, len(calls), size)]
        states_by_part = await asyncio.gather(*map(self._call_part, parts))
        return [state for states in states_by_part for state in states]

    async def _call_part(self, calls: Sequence[Call]) -> list[engine_client.RankState]:
        states = await self._call_through_relay(calls) if len(calls) > 1 else None
        return states if states is not None else await self._call_each(calls)

    async def _call_each(self, calls: Sequence[Call]) -> list[engine_client.RankState]:
        return list(await asyncio.gather(*map(self._call_one, calls)))

    async def _call_one(self, call: Call) -> engine_client.RankState:
        member = call.member
        if member.vm == self._own.vm:
            return await self._engine.execute(call.target, call.body)
        body = await self._send(member, call.target, call.body, SIDE_TIMEOUT_S)
        state = _decode_state(body) if body is not None else None
        if state is not None:
            return state
        if not call.engine_fallback or member.engine_address is None:
            return engine_client.RankState(b"", engine_state.Unknown("silent"), [])
        engine = self._engine_by_address.setdefault(
            member.engine_address, engine_client.EngineClient(member.engine_address)
        )
        return await engine.execute(call.target, call.body)

    async def _call_through_relay(
        self, calls: Sequence[Call]
    ) -> list[engine_client.RankState] | None:
        """Call the side processes of one data centre through one of them.

        Args:
            calls: One call for each side process of the data centre.

        Returns:
            State of each rank, in the order of the calls, or None if the relay gave no complete
            answer or none can be called now. The caller then calls each side process directly.
        """
        candidates = [
            call.member
            for call in calls
            if not self.is_silent(call.member.vm) and call.member.vm != self._own.vm
        ]
        if not candidates:
            return None
        # Prefer a process that has answered before: others may be on VMs that no longer exist.
        relay = next(
            (member for member in candidates if member.vm in self._responsive_vms), candidates[0]
        )
        timeout_s = relay_timeout_s(len(calls))
        body = await self._send(relay, RELAY_TARGET, _encode_calls(calls), timeout_s)
        states = _decode_states(body) if body is not None else None
        return states if states is not None and len(states) == len(calls) else None

    async def _send(
        self, member: members.Member, target: str, body: bytes, timeout_s: float
    ) -> bytes | None:
        if self.is_silent(member.vm):
            return None
        transport = self._transport_by_vm.get(member.vm)
        if transport is None or transport.address != f"{member.ip}:{member.port}":
            transport = http_client.PersistentTransport(f"{member.ip}:{member.port}")
            self._transport_by_vm[member.vm] = transport
        compressed = zlib.compress(body) if body else None
        answer = await transport.call("POST" if body else "GET", target, compressed, timeout_s)
        if isinstance(answer, objects.Response) and answer.status == 200:
            self._responsive_vms.add(member.vm)
            return answer.body
        self._responsive_vms.discard(member.vm)
        self._skip_until_s[member.vm] = asyncio.get_running_loop().time() + SILENT_PAUSE_S
        reason = answer.reason if isinstance(answer, objects.Unavailable) else answer.status
        log.event(_logger, "side_silent", member=member.vm, target=target, reason=reason)
        return None

    async def serve(self, request: http_server.Request, responder: http_server.Responder) -> None:
        """Serve a call of the group's coordinator, to the local engine or as a relay to others.

        Args:
            request: Request of the coordinator or of a relay.
            responder: Sends the response.
        """
        body = _decompress(request.body)
        if body is None:
            await responder.respond(400, [], b"")
        elif request.path == RELAY_TARGET:
            calls = _decode_calls(body)
            if calls is None:
                await responder.respond(400, [], b"")
                return
            states = _with_summed_counts(await self._call_tree(calls))
            await responder.respond(200, [], _encode_states(states))
        elif request.path in engine_client.TARGETS:
            state = await self._engine.execute(request.path, body)
            await responder.respond(200, [], zlib.compress(engine_client.encode_state(state), 1))
        else:
            await responder.respond(404, [], b"")


def needs_body(request: http_server.Request) -> bool:
    """Return whether a side process serves the path of a request.

    Args:
        request: A request, without its body.
    """
    return request.path == RELAY_TARGET or request.path in engine_client.TARGETS


def _decode_state(body: bytes) -> engine_client.RankState | None:
    decompressed = _decompress(body)
    if decompressed is None:
        return None
    try:
        return engine_client.decode_state(decompressed)
    except decoding.ERRORS:
        return None


def _decompress(body: bytes | bytearray) -> bytes | None:
    if not body:
        return b""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(body, MAX_CALL_BYTES)
    except zlib.error:
        return None
    return data if decompressor.eof else None


def _with_summed_counts(states: list[engine_client.RankState]) -> list[engine_client.RankState]:
    """Move the sum of all counts into the first state."""
    total = engine_client.sum_counts(state.counts for state in states)
    return [
        state._replace(counts=total if index == 0 else []) for index, state in enumerate(states)
    ]


def _encode_calls(calls: Sequence[Call]) -> bytes:
    bodies = list(dict.fromkeys(call.body for call in calls))
    encoded_calls = [
        [
            call.member.vm,
            call.member.data_centre,
            call.member.ip,
            call.member.port,
            call.member.engine_address,
            call.target,
            bodies.index(call.body),
            call.engine_fallback,
        ]
        for call in calls
    ]
    return json.dumps(
        {"calls": encoded_calls, "bodies": [body.decode() for body in bodies]}
    ).encode()


def _decode_calls(body: bytes) -> list[Call] | None:
    try:
        document = decoding.load_json(body)
        bodies = [text.encode() for text in document["bodies"]]
        return [
            Call(
                members.Member(vm, data_centre, ip, port, None, engine),
                target,
                bodies[body_index],
                fallback,
            )
            for vm, data_centre, ip, port, engine, target, body_index, fallback in document["calls"]
        ]
    except decoding.ERRORS:
        return None


def _encode_states(states: Sequence[engine_client.RankState]) -> bytes:
    encoded = [engine_client.encode_state(state) for state in states]
    lengths = json.dumps(list(map(len, encoded))).encode()
    # The reports of a group's engines are nearly identical and compress well.
    return zlib.compress(lengths + b"\n" + b"".join(encoded))


def _decode_states(body: bytes) -> list[engine_client.RankState] | None:
    decompressed = _decompress(body)
    if decompressed is None:
        return None
    head, _, rest = decompressed.partition(b"\n")
    states = []
    try:
        for length in decoding.load_json(head):
            states.append(engine_client.decode_state(rest[:length]))
            rest = rest[length:]
    except decoding.ERRORS:
        return None
    return states
