"""Calls to the processes beside the engines of a group, and through them to their engines.

The processes of another data centre are asked through one of them, the relay. A group of 72 engines
would otherwise fill the coordinator's own link with each map, and bytes between data centres are
priced.
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
from gentianpaddle_gateway import http_client, http_server, local_engine, log
from gentianpaddle_platform import objects

_logger = logging.getLogger("gentianpaddle.experts")

SIDE_TIMEOUT_S = 0.3
"""A call to another VM; twice the engine's own time-out on that VM, and some."""

RELAY_TIMEOUT_S = 0.5
"""A call through a relay, with the time-out of its calls within."""

SILENT_S = 2.0
"""Time for which a process that did not answer is not asked again."""

RELAY_TARGET = "/v1/relay"


class Question(typing.NamedTuple):
    """What one process is asked."""

    member: members.Member
    target: str
    """One of the targets of `local_engine`."""
    body: bytes
    """An encoded order, or nothing."""
    direct: bool
    """Whether its engine is called instead if the process is silent. Calls to an engine from
    another VM are priced."""


class SideCalls:
    """Asks processes beside engines.

    Args:
        own: This VM.
        engine: The engine on this VM.
    """

    def __init__(self, own: members.Member, engine: local_engine.LocalEngine) -> None:
        self._own = own
        self._engine = engine
        self._transport_by_vm: dict[ids.VmId, http_client.KeptTransport] = {}
        self._engine_by_address: dict[str, local_engine.LocalEngine] = {}
        self._silent_until_s: dict[ids.VmId, float] = {}
        self._answered: set[ids.VmId] = set()

    async def ask(self, questions: Sequence[Question]) -> list[local_engine.State]:
        """Ask processes of all data centres.

        Args:
            questions: One for each process.

        Returns:
            Their answers in the same order. Counts of a data centre that was asked through a relay
            are all in the first of its answers.
        """
        by_data_centre: dict[ids.DataCentreId, list[int]] = collections.defaultdict(list)
        for index, question in enumerate(questions):
            by_data_centre[question.member.data_centre].append(index)
        answers: dict[int, local_engine.State] = {}

        async def ask_data_centre(data_centre: ids.DataCentreId, indices: list[int]) -> None:
            asked = [questions[index] for index in indices]
            near = data_centre == self._own.data_centre or len(asked) == 1
            states = None if near else await self._ask_relay(asked)
            if states is None:
                states = await self._ask_each(asked)
            answers.update(zip(indices, states, strict=True))

        await asyncio.gather(*(ask_data_centre(*item) for item in by_data_centre.items()))
        return [answers[index] for index in range(len(questions))]

    async def _ask_each(self, questions: Sequence[Question]) -> list[local_engine.State]:
        return list(await asyncio.gather(*map(self._ask_one, questions)))

    async def _ask_one(self, question: Question) -> local_engine.State:
        member = question.member
        if member.vm == self._own.vm:
            return await self._engine.state(question.target, question.body)
        body = await self._call(member, question.target, question.body, SIDE_TIMEOUT_S)
        if body is not None:
            return local_engine.decode_state(body)
        if not question.direct or member.engine_address is None:
            return local_engine.State(b"", engine_state.Unknown("silent"), [])
        engine = self._engine_by_address.setdefault(
            member.engine_address, local_engine.LocalEngine(member.engine_address)
        )
        return await engine.state(question.target, question.body)

    async def _ask_relay(self, questions: Sequence[Question]) -> list[local_engine.State] | None:
        now_s = asyncio.get_running_loop().time()
        awake = [
            question.member
            for question in questions
            if now_s >= self._silent_until_s.get(question.member.vm, now_s)
        ]
        if not awake:
            return None
        # One that answered before is less likely to be a VM that is gone and still registered.
        relay = next((member for member in awake if member.vm in self._answered), awake[0])
        body = await self._call(relay, RELAY_TARGET, _encode_questions(questions), RELAY_TIMEOUT_S)
        states = _decode_states(body) if body is not None else None
        return states if states is not None and len(states) == len(questions) else None

    async def _call(
        self, member: members.Member, target: str, body: bytes, timeout_s: float
    ) -> bytes | None:
        now_s = asyncio.get_running_loop().time()
        if now_s < self._silent_until_s.get(member.vm, now_s):
            return None
        transport = self._transport_by_vm.get(member.vm)
        if transport is None or transport.address != f"{member.ip}:{member.port}":
            transport = http_client.KeptTransport(f"{member.ip}:{member.port}")
            self._transport_by_vm[member.vm] = transport
        packed = zlib.compress(body) if body else None
        answer = await transport.call("POST" if body else "GET", target, packed, timeout_s)
        if isinstance(answer, objects.Answer) and answer.status == 200:
            self._answered.add(member.vm)
            return answer.body
        self._answered.discard(member.vm)
        self._silent_until_s[member.vm] = now_s + SILENT_S
        reason = answer.reason if isinstance(answer, objects.Unavailable) else answer.status
        log.event(_logger, "side_silent", member=member.vm, target=target, reason=reason)
        return None

    async def serve(self, request: http_server.Request, responder: http_server.Responder) -> None:
        """Serve the coordinator of the group, for the engine here and as a relay.

        Args:
            request: Its request.
            responder: Takes the answer.
        """
        body = _unpacked(request.body)
        if body is None:
            await responder.answer(400, [], b"")
        elif request.path == RELAY_TARGET:
            questions = _decode_questions(body)
            if questions is None:
                await responder.answer(400, [], b"")
                return
            states = _with_joined_counts(await self._ask_each(questions))
            await responder.answer(200, [], _encode_states(states))
        elif request.path in local_engine.TARGETS:
            state = await self._engine.state(request.path, body)
            await responder.answer(200, [], local_engine.encode_state(state))
        else:
            await responder.answer(404, [], b"")


def _unpacked(body: bytes) -> bytes | None:
    try:
        return zlib.decompress(body) if body else b""
    except zlib.error:
        return None


def _with_joined_counts(states: list[local_engine.State]) -> list[local_engine.State]:
    """Put the sum of all counts into the first state."""
    total = local_engine.joined_counts(state.counts for state in states)
    return [
        state._replace(counts=total if index == 0 else []) for index, state in enumerate(states)
    ]


def _encode_questions(questions: Sequence[Question]) -> bytes:
    bodies = list(dict.fromkeys(question.body for question in questions))
    calls = [
        [
            question.member.vm,
            question.member.data_centre,
            question.member.ip,
            question.member.port,
            question.member.engine_address,
            question.target,
            bodies.index(question.body),
            question.direct,
        ]
        for question in questions
    ]
    return json.dumps({"calls": calls, "bodies": [body.decode() for body in bodies]}).encode()


def _decode_questions(body: bytes) -> list[Question] | None:
    try:
        document = json.loads(body)
        bodies = [text.encode() for text in document["bodies"]]
        return [
            Question(
                members.Member(vm, data_centre, ip, port, None, engine), target, bodies[which], far
            )
            for vm, data_centre, ip, port, engine, target, which, far in document["calls"]
        ]
    except (KeyError, IndexError, TypeError, ValueError, AttributeError):
        return None


def _encode_states(states: Sequence[local_engine.State]) -> bytes:
    encoded = [local_engine.encode_state(state) for state in states]
    lengths = json.dumps(list(map(len, encoded))).encode()
    # The reports of a group's engines are nearly the same.
    return zlib.compress(lengths + b"\n" + b"".join(encoded))


def _decode_states(body: bytes) -> list[local_engine.State] | None:
    unpacked = _unpacked(body)
    if unpacked is None:
        return None
    head, _, rest = unpacked.partition(b"\n")
    try:
        lengths = json.loads(head)
    except ValueError:
        return None
    states = []
    for length in lengths:
        states.append(local_engine.decode_state(rest[:length]))
        rest = rest[length:]
    return states
