"""Digest exchange of a process: the service for its peers and the loop that contacts them."""

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
CHANNELS_LIMIT = 64
"""Channels that stay open; the least recently used one is closed beyond that."""

_logger = logging.getLogger("gentianpaddle.exchange")


class PeerExchange(messages_grpc.PeerBase):
    """Both sides of the digest exchange of one process."""

    def __init__(
        self,
        exchanger: digest.Exchanger,
        shared_tokens: tuple[str, ...],
        process_metrics: metrics.Metrics,
        on_learned: Callable[[digest.Learned], None],
        rng: random.Random,
    ) -> None:
        self._exchanger = exchanger
        self._tokens = shared_tokens
        self._metrics = process_metrics
        self._on_learned = on_learned
        self._rng = rng
        self._channel_by_address: dict[settings.Address, client.Channel] = {}

    async def Exchange(  # noqa: N802 - named by the service definition
        self, stream: grpc_server.Stream[pb.ExchangeRequest, pb.ExchangeReply]
    ) -> None:
        """Serve the request of a peer."""
        security.require(stream.metadata, self._tokens)
        message = await stream.recv_message()
        if message is None:
            return
        try:
            request = wire_exchange.request_from_wire(message)
        except ValueError as error:
            raise exceptions.GRPCError(const.Status.INVALID_ARGUMENT, str(error)) from error
        reply = self._exchanger.handle_request(request, time.monotonic(), self._rng)
        answer = wire_exchange.reply_to_wire(reply)
        self._count("reply", answer.ByteSize())
        await stream.send_message(answer)
        self._publish()

    async def run(self) -> None:
        """Contact neighbours in rounds until cancelled."""
        try:
            while True:
                await self.round()
                await asyncio.sleep(self._exchanger.round_s)
        finally:
            for channel in self._channel_by_address.values():
                channel.close()

    async def round(self, *, everyone: bool = False) -> None:
        """Run one round.

        Args:
            everyone: Contact all neighbours, for an urgent change.
        """
        outgoing = self._exchanger.build_requests(time.monotonic(), self._rng, everyone=everyone)
        self._publish()
        await asyncio.gather(*(self._contact(each) for each in outgoing))
        self._publish()

    async def announce(self, state: membership.State) -> None:
        """Announce a state of this process to all neighbours at once.

        Args:
            state: New state.
        """
        self._exchanger.announce(state, time.monotonic())
        await self.round(everyone=True)

    async def _contact(self, outgoing: digest.Outgoing) -> None:
        message = wire_exchange.request_to_wire(outgoing.request)
        self._count("request", message.ByteSize())
        stub = messages_grpc.PeerStub(self._channel(outgoing.address))
        try:
            answer: typing.Any = await stub.Exchange(
                message, timeout=EXCHANGE_TIMEOUT_S, metadata=security.metadata(self._tokens)
            )
            reply = wire_exchange.reply_from_wire(answer)
        except ConnectionRefusedError:
            self._exchanger.handle_failure(outgoing, refused=True)
        except (
            OSError,
            TimeoutError,
            ValueError,
            exceptions.GRPCError,
            exceptions.StreamTerminatedError,
        ) as error:
            self._exchanger.handle_failure(outgoing, refused=False)
            logs.event(
                _logger, "exchange_failed", logging.DEBUG, peer=outgoing.vm, error=str(error)
            )
        else:
            self._exchanger.handle_reply(outgoing, reply, time.monotonic())

    def _channel(self, address: settings.Address) -> client.Channel:
        channel = self._channel_by_address.pop(address, None)
        if channel is None:
            channel = client.Channel(address.host, address.port)
            if len(self._channel_by_address) >= CHANNELS_LIMIT:
                oldest = next(iter(self._channel_by_address))
                self._channel_by_address.pop(oldest).close()
        self._channel_by_address[address] = channel
        return channel

    def _count(self, kind: str, sent_bytes: int) -> None:
        self._metrics.control_bytes.add({"message": f"exchange_{kind}"}, sent_bytes)

    def _publish(self) -> None:
        learned = self._exchanger.take_learned()
        if learned.records or learned.configuration_changed or learned.crashes:
            self._on_learned(learned)
