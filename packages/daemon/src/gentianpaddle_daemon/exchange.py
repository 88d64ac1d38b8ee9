"""Digest exchange of a process: the gRPC service for its peers and the periodic client side."""

from __future__ import annotations

import asyncio
import logging
import random
import time
import typing
from collections.abc import Callable

from grpclib import client, const, exceptions
from grpclib import server as grpc_server

from gentianpaddle_core import digest, membership, settings
from gentianpaddle_daemon import logs, metrics, security, wire_exchange
from gentianpaddle_daemon.wire import messages_grpc
from gentianpaddle_daemon.wire import messages_pb2 as pb

EXCHANGE_TIMEOUT_S = 1.0
"""Time after which an unanswered exchange counts as failed."""
CHANNELS_LIMIT = 64
"""Highest number of open channels; the least recently used one is closed to make room."""

_logger = logging.getLogger("gentianpaddle.exchange")


class PeerExchange(messages_grpc.PeerBase):
    """Server and client side of the digest exchange of one process."""

    def __init__(
        self,
        exchanger: digest.Exchanger,
        shared_tokens: tuple[str, ...],
        process_metrics: metrics.Metrics,
        on_learned: Callable[[digest.ReceivedChanges], None],
        rng: random.Random,
    ) -> None:
        self._exchanger = exchanger
        self._shared_tokens = shared_tokens
        self._metrics = process_metrics
        self._on_learned = on_learned
        self._rng = rng
        self._channel_by_address: dict[settings.Address, client.Channel] = {}

    async def Exchange(  # noqa: N802 - named by the service definition
        self, stream: grpc_server.Stream[pb.ExchangeRequest, pb.ExchangeReply]
    ) -> None:
        """Answer the exchange request of a peer."""
        security.require_token(stream.metadata, self._shared_tokens)
        message = await stream.recv_message()
        if message is None:
            return
        try:
            request = wire_exchange.request_from_wire(message)
        except ValueError as error:
            raise exceptions.GRPCError(const.Status.INVALID_ARGUMENT, str(error)) from error
        reply = self._exchanger.handle_request(request, time.monotonic(), self._rng)
        reply_message = wire_exchange.reply_to_wire(reply)
        self._count_sent_bytes("reply", reply_message.ByteSize())
        await stream.send_message(reply_message)
        self._notify_learned()

    async def run(self) -> None:
        """Exchange with neighbours in periodic rounds until cancelled."""
        try:
            while True:
                await self.run_round()
                await asyncio.sleep(self._exchanger.round_interval_s)
        finally:
            for channel in self._channel_by_address.values():
                channel.close()

    async def run_round(self, *, all_neighbours: bool = False) -> None:
        """Exchange with the neighbours chosen for one round.

        Args:
            all_neighbours: Whether to contact all neighbours, for an urgent change.
        """
        outgoing = self._exchanger.build_requests(
            time.monotonic(), self._rng, all_neighbours=all_neighbours
        )
        self._notify_learned()
        await asyncio.gather(*(self._exchange_with_peer(each) for each in outgoing))
        self._notify_learned()

    async def announce(self, state: membership.State) -> None:
        """Set the membership state of this process and announce it to all neighbours at once.

        Args:
            state: New state of this process.
        """
        self._exchanger.announce(state, time.monotonic())
        await self.run_round(all_neighbours=True)

    async def _exchange_with_peer(self, outgoing: digest.OutgoingRequest) -> None:
        message = wire_exchange.request_to_wire(outgoing.request)
        self._count_sent_bytes("request", message.ByteSize())
        stub = messages_grpc.PeerStub(self._channel_to(outgoing.address))
        try:
            reply_message: typing.Any = await stub.Exchange(
                message,
                timeout=EXCHANGE_TIMEOUT_S,
                metadata=security.token_metadata(self._shared_tokens),
            )
            reply = wire_exchange.reply_from_wire(reply_message)
        except ConnectionRefusedError:
            self._exchanger.handle_failure(outgoing, is_connection_refused=True)
        except (
            OSError,
            TimeoutError,
            ValueError,
            exceptions.GRPCError,
            exceptions.StreamTerminatedError,
        ) as error:
            self._exchanger.handle_failure(outgoing, is_connection_refused=False)
            logs.event(
                _logger, "exchange_failed", logging.DEBUG, peer=outgoing.vm, error=str(error)
            )
        else:
            self._exchanger.handle_reply(outgoing, reply, time.monotonic())

    def _channel_to(self, address: settings.Address) -> client.Channel:
        channel = self._channel_by_address.pop(address, None)
        if channel is None:
            channel = client.Channel(address.host, address.port)
            if len(self._channel_by_address) >= CHANNELS_LIMIT:
                oldest = next(iter(self._channel_by_address))
                self._channel_by_address.pop(oldest).close()
        self._channel_by_address[address] = channel
        return channel

    def _count_sent_bytes(self, message_kind: str, sent_bytes: int) -> None:
        self._metrics.control_bytes.add({"message": f"exchange_{message_kind}"}, sent_bytes)

    def _notify_learned(self) -> None:
        learned = self._exchanger.take_changes()
        if learned.records or learned.configuration_changed or learned.crashes:
            self._on_learned(learned)
