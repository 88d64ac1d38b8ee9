"""Link of an entry to one agent: a long-lived gRPC stream that is reopened when it breaks."""

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

MAX_OUTGOING_MESSAGES = 4_096
"""Size of the queue of messages to the agent; further messages are not sent."""
WELCOME_TIMEOUT_S = 2.0
MIN_RECONNECT_DELAY_S = 0.1
MAX_RECONNECT_DELAY_S = 2.0

_logger = logging.getLogger("gentianpaddle.entry.link")


@dataclasses.dataclass(frozen=True, slots=True)
class LinkLost:
    """The link broke. An attempt sent over it may have started."""

    agent: ids.VmId
    """Agent at the other end."""


Inbound: typing.TypeAlias = pb.FromAgent | LinkLost
"""Message in the inbox of an attempt or a query."""


class AgentLink:
    """Stream to one agent, shared by all attempts of this entry at that agent."""

    def __init__(
        self,
        agent: ids.VmId,
        address: settings.Address,
        process_settings: settings.ProcessSettings,
        incarnation: ids.Incarnation,
        on_message: Callable[[AgentLink, pb.FromAgent], None],
        on_change: Callable[[AgentLink], None],
    ) -> None:
        self.agent = agent
        self.address = address
        self.welcome: pb.Welcome | None = None
        self._process_settings = process_settings
        self._incarnation = incarnation
        self._on_message = on_message
        self._on_change = on_change
        self._outgoing: asyncio.Queue[pb.FromEntry] = asyncio.Queue(MAX_OUTGOING_MESSAGES)
        self._inbox_by_attempt: dict[tuple[str, int], asyncio.Queue[Inbound]] = {}
        self._query_by_key: dict[str, asyncio.Queue[Inbound]] = {}
        self._task: asyncio.Task[None] | None = None
        self._channel: client.Channel | None = None

    @property
    def connected(self) -> bool:
        """Whether the stream is open and the agent has sent its welcome."""
        return self.welcome is not None

    def start(self) -> None:
        """Start connecting in the background."""
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
            False if the message was not queued and so will never be sent.
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
        """Close the inbox of an attempt; its further messages are ignored."""
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
        """Close the queue of a key; further states of the key are ignored."""
        self._query_by_key.pop(key, None)

    async def order(self, request: pb.OrderRequest, timeout_s: float) -> pb.OrderReply | None:
        """Send an order or a read back as a unary call outside the stream.

        Args:
            request: The order or read back.
            timeout_s: Longest wait for the reply.

        Returns:
            The reply. None if there was no reply; the order may have been carried out.
        """
        if self._channel is None or self.welcome is None:
            return None
        stub = messages_grpc.AgentStub(self._channel)
        token = security.token_metadata(self._process_settings.shared_tokens)
        try:
            return await stub.Order(request, timeout=timeout_s, metadata=token)
        except (OSError, TimeoutError, exceptions.GRPCError, exceptions.StreamTerminatedError):
            return None

    async def _run(self) -> None:
        delay_s = MIN_RECONNECT_DELAY_S
        while True:
            try:
                await self._run_connection()
                delay_s = MIN_RECONNECT_DELAY_S
            except (OSError, TimeoutError, exceptions.GRPCError, exceptions.StreamTerminatedError):
                delay_s = min(MAX_RECONNECT_DELAY_S, delay_s * 2)
            finally:
                self._handle_disconnect()
            await asyncio.sleep(delay_s)

    async def _run_connection(self) -> None:
        channel = self._channel = client.Channel(self.address.host, self.address.port)
        try:
            stub = messages_grpc.AgentStub(channel)
            token = security.token_metadata(self._process_settings.shared_tokens)
            async with stub.Dispatch.open(metadata=token) as stream:
                hello = pb.Hello(
                    vm=self._process_settings.vm,
                    incarnation=self._incarnation,
                    data_centre=self._process_settings.data_centre,
                )
                await stream.send_message(pb.FromEntry(hello=hello))
                first = await asyncio.wait_for(stream.recv_message(), WELCOME_TIMEOUT_S)
                if first is None or first.WhichOneof("kind") != "welcome":
                    return
                self._handle_welcome(first.welcome)
                await self._exchange_messages(stream)
        finally:
            channel.close()

    def _handle_welcome(self, welcome: pb.Welcome) -> None:
        self.welcome = welcome
        logs.event(
            _logger, "link_open", agent=self.agent, agent_incarnation=int(welcome.incarnation)
        )
        self._on_change(self)

    async def _exchange_messages(self, stream: typing.Any) -> None:
        sender = asyncio.get_running_loop().create_task(self._send_all(stream))
        try:
            while True:
                message = await stream.recv_message()
                if message is None:
                    return
                self._dispatch_message(message)
                if sender.done():
                    return
        finally:
            sender.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await sender

    async def _send_all(self, stream: typing.Any) -> None:
        while True:
            await stream.send_message(await self._outgoing.get())

    def _dispatch_message(self, message: pb.FromAgent) -> None:
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

    def _handle_disconnect(self) -> None:
        if self.welcome is None:
            return
        self.welcome = None
        # Messages still queued belong to this stream and must not be sent on the next one.
        self._outgoing = asyncio.Queue(MAX_OUTGOING_MESSAGES)
        for inbox in (*self._inbox_by_attempt.values(), *self._query_by_key.values()):
            inbox.put_nowait(LinkLost(self.agent))
        logs.event(_logger, "link_lost", logging.WARNING, agent=self.agent)
        self._on_change(self)
