"""HTTP/1.1 server based on `h11`.

Framing is checked strictly, sizes and times are limited, and a request is cancelled as soon as its
caller disconnects.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from gentianpaddle_core.serving import routes
from gentianpaddle_gateway import caller_limits, channel, http_connection, http_exchange

LISTEN_BACKLOG = 512
"""Maximum number of connections that wait to be accepted. If this queue is full, a connection
attempt is delayed by seconds."""

ACCEPTED_AT_ONCE = 4
"""Maximum number of connections that are accepted before they are counted; part of
`caller_memory.OWN_DESCRIPTORS`. An accepted connection is counted, and one that gives way closed,
two turns of the event loop later."""

Request = http_exchange.Request
Responder = http_exchange.Responder
ResponseAbortedError = http_exchange.ResponseAbortedError
Handler = http_exchange.Handler


def needs_every_body(request: Request) -> bool:
    """Return that the handler needs the body of each request.

    Args:
        request: A request.
    """
    return True


def needs_no_body(request: Request) -> bool:
    """Return that the handler needs no bodies.

    Args:
        request: A request.
    """
    return False


class Server(http_connection.ServerState):
    """HTTP server that listens at one address.

    Args:
        handler: Handles one request; cancelled if the caller disconnects.
        limits: Returns the limits for callers that are currently in force.
        process_limits: Limits for the callers of all servers of the process, by default of this
            server alone.
        needs_body: Decides by the head whether the handler needs a body that has not arrived.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], routes.ClientLimits],
        process_limits: caller_limits.CallerLimits | None = None,
        needs_body: http_exchange.NeedsBody = needs_every_body,
    ) -> None:
        process_limits = process_limits or caller_limits.new_default_limits()
        super().__init__(handler, limits, process_limits, needs_body)
        self._connections: set[http_connection.Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Start accepting connections.

        Args:
            address: Host and port.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: channel.Channel(self._accept), host, int(port), backlog=ACCEPTED_AT_ONCE
        )
        # The event loop accepts as many connections at once as its argument for the queue says.
        for listening in self._server.sockets:
            with listening.dup() as same_socket:
                same_socket.listen(LISTEN_BACKLOG)

    def _accept(self, byte_channel: channel.Channel) -> None:
        holder = self.process_limits.connect()
        if holder is None:
            byte_channel.abort()
            return
        connection = http_connection.Connection(
            self, byte_channel, holder, self._connections.discard
        )
        self.process_limits.add(holder, connection)
        self._connections.add(connection)
        task = asyncio.get_running_loop().create_task(connection.serve())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @property
    def busy(self) -> bool:
        """Whether a request is being received, is in progress, or its answer is being sent."""
        return any(connection.busy for connection in self._connections)

    def stop_listening(self) -> None:
        """Stop accepting connections. Open connections are not affected."""
        if self._server is not None:
            self._server.close()

    def close_idle_connections(self) -> None:
        """Close connections without a request now, and the others after their requests."""
        self.keeps_idle = False
        for connection in list(self._connections):
            if not connection.busy:
                connection.close()
