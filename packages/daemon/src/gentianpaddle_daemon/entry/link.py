"""Link of an entry to one agent: a long-lived stream that is opened again when it breaks."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
import typing
from collections.abc import Callable

from grpclib import client, exceptions

from gentianpaddle_core import ids, settings
from gentianpaddle_daemon import logs, security
from gentianpaddle_daemon.wire import messages_grpc
from gentianpaddle_daemon.wire import messages_pb2 as pb

OUTGOING_LIMIT = 4_096
WELCOME_TIMEOUT_S = 2.0
FIRST_RECONNECT_S = 0.1
LONGEST_RECONNECT_S = 2.0

_logger = logging.getLogger("gentianpaddle.entry.link")


@dataclasses.dataclass(frozen=True, slots=True)
class LinkLost:
    """The link broke; an attempt that was sent may have started."""

    agent: ids.VmId
    """Agent at the other end."""


Inbound: typing.TypeAlias = pb.FromAgent | LinkLost
"""What an attempt receives."""


class AgentLink:
    """Stream to one agent, shared by all attempts that this entry runs there."""

    def __init__(
        self,
        agent: ids.VmId,
        address: settings.Address,
        own: settings.ProcessSettings,
        incarnation: ids.Incarnation,
        on_message: Callable[[AgentLink, pb.FromAgent], None],
        on_change: Callable[[AgentLink], None],
    ) -> None:
        self.agent = agent
        self.address = address
        self.welcome: pb.Welcome | None = None
        self._own = own
        self._incarnation = incarnation
        self._on_message = on_message
        self._on_change = on_change
        self._outgoing: asyncio.Queue[pb.FromEntry] = asyncio.Queue(OUTGOING_LIMIT)
        self._inbox_by_attempt: dict[tuple[str, int], asyncio.Queue[Inbound]] = {}
        self._query_by_key: dict[str, asyncio.Queue[Inbound]] = {}
        self._task: asyncio.Task[None] | None = None
        self._channel: client.Channel | None = None

    @property
    def connected(self) -> bool:
        """Whether the stream is open and the agent has answered."""
        return self.welcome is not None

    def start(self) -> None:
        """Begin to connect in the background."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Close the link."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def send(self, message: pb.FromEntry) -> bool:
        """Queue a message.

        Args:
            message: Message for the agent.

        Returns:
            False when it was not queued and so will never be sent.
        """
        if self.welcome is None:
            return False
        try:
            self._outgoing.put_nowait(message)
        except asyncio.QueueFull:
            return False
        return True

    def open_inbox(self, key: str, attempt: int) -> asyncio.Queue[Inbound]:
        """Create the queue that receives the messages of one attempt.

        Args:
            key: Request key.
            attempt: Attempt number.

        Returns:
            The queue; the caller closes it with `close_inbox`.
        """
        inbox: asyncio.Queue[Inbound] = asyncio.Queue()
        self._inbox_by_attempt[key, attempt] = inbox
        return inbox

    def close_inbox(self, key: str, attempt: int) -> None:
        """Drop further messages of an attempt."""
        self._inbox_by_attempt.pop((key, attempt), None)

    def open_query(self, key: str) -> asyncio.Queue[Inbound]:
        """Create the queue that receives the state of a key.

        Args:
            key: Request key.

        Returns:
            The queue; the caller closes it with `close_query`.
        """
        inbox: asyncio.Queue[Inbound] = asyncio.Queue()
        self._query_by_key[key] = inbox
        return inbox

    def close_query(self, key: str) -> None:
        """Drop further states of a key."""
        self._query_by_key.pop(key, None)

    async def order(self, request: pb.OrderRequest, timeout_s: float) -> pb.OrderReply | None:
        """Send an order or a read back beside the stream.

        Args:
            request: What to send.
            timeout_s: Longest wait for the answer.

        Returns:
            The answer; None when it is lost, so that the order may have been carried out.
        """
        if self._channel is None or self.welcome is None:
            return None
        stub = messages_grpc.AgentStub(self._channel)
        token = security.metadata(self._own.shared_tokens)
        try:
            return await stub.Order(request, timeout=timeout_s, metadata=token)
        except (OSError, TimeoutError, exceptions.GRPCError, exceptions.StreamTerminatedError):
            return None

    async def _run(self) -> None:
        wait_s = FIRST_RECONNECT_S
        while True:
            try:
                await self._connect_once()
                wait_s = FIRST_RECONNECT_S
            except (OSError, TimeoutError, exceptions.GRPCError, exceptions.StreamTerminatedError):
                wait_s = min(LONGEST_RECONNECT_S, wait_s * 2)
            finally:
                self._lose()
            await asyncio.sleep(wait_s)

    async def _connect_once(self) -> None:
        channel = self._channel = client.Channel(self.address.host, self.address.port)
        try:
            stub = messages_grpc.AgentStub(channel)
            token = security.metadata(self._own.shared_tokens)
            async with stub.Dispatch.open(metadata=token) as stream:
                hello = pb.Hello(
                    vm=self._own.vm,
                    incarnation=self._incarnation,
                    data_centre=self._own.data_centre,
                )
                await stream.send_message(pb.FromEntry(hello=hello))
                first = await asyncio.wait_for(stream.recv_message(), WELCOME_TIMEOUT_S)
                if first is None or first.WhichOneof("kind") != "welcome":
                    return
                self._greet(first.welcome)
                await self._pump(stream)
        finally:
            channel.close()

    def _greet(self, welcome: pb.Welcome) -> None:
        self.welcome = welcome
        logs.event(
            _logger, "link_open", agent=self.agent, agent_incarnation=int(welcome.incarnation)
        )
        self._on_change(self)

    async def _pump(self, stream: typing.Any) -> None:
        sender = asyncio.get_running_loop().create_task(self._send_all(stream))
        try:
            while True:
                message = await stream.recv_message()
                if message is None:
                    return
                self._deliver(message)
                if sender.done():
                    return
        finally:
            sender.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await sender

    async def _send_all(self, stream: typing.Any) -> None:
        while True:
            await stream.send_message(await self._outgoing.get())

    def _deliver(self, message: pb.FromAgent) -> None:
        kind = message.WhichOneof("kind")
        body: typing.Any = getattr(message, kind) if kind else None
        if kind == "state" and body.key in self._query_by_key:
            self._query_by_key[body.key].put_nowait(message)
            return
        if hasattr(body, "attempt"):
            inbox = self._inbox_by_attempt.get((body.key, body.attempt))
            if inbox is not None:
                inbox.put_nowait(message)
                return
        self._on_message(self, message)

    def _lose(self) -> None:
        if self.welcome is None:
            return
        self.welcome = None
        # What was queued was never sent on this stream and must not be sent on the next one.
        self._outgoing = asyncio.Queue(OUTGOING_LIMIT)
        for inbox in (*self._inbox_by_attempt.values(), *self._query_by_key.values()):
            inbox.put_nowait(LinkLost(self.agent))
        logs.event(_logger, "link_lost", logging.WARNING, agent=self.agent)
        self._on_change(self)
