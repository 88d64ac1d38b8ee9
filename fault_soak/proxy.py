"""Loopback TCP proxy that delays, blocks or resets the connections that it forwards."""

from __future__ import annotations

import asyncio
import contextlib
import enum

DELAY_S = 0.15
"""Delay of each chunk in `Mode.DELAY`; close to the tightest target of a caller."""

CHUNK_BYTES = 65_536


class Mode(enum.Enum):
    """How the proxy treats connections and the data on them."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    """Data is held in both directions and forwarded when the mode changes."""
    TO_TARGET_ONLY = "to_target_only"
    """Data from the target is held until the mode changes."""
    FROM_TARGET_ONLY = "from_target_only"
    """Data to the target is held until the mode changes."""
    REFUSE = "refuse"
    """Open and new connections are reset."""


class Proxy:
    """Forwards connections to one target.

    Args:
        target: Host and port that connections are forwarded to.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self._mode = Mode.PASS
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str) -> None:
        """Start listening on a free port and set `address`.

        Args:
            host: Loopback address to listen on.
        """
        self._server = await asyncio.start_server(self._serve, host, 0)
        name = self._server.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"

    def set_mode(self, mode: Mode) -> None:
        """Set the mode for open and new connections.

        Args:
            mode: New mode.
        """
        self._mode = mode
        self._changed.set()
        self._changed = asyncio.Event()
        if mode is Mode.REFUSE:
            self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._mode is Mode.REFUSE:
            writer.transport.abort()
            return
        self._writers.add(writer)
        target_writer: asyncio.StreamWriter | None = None
        try:
            host, _, port = self.target.rpartition(":")
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
            self._writers.add(target_writer)
            await asyncio.gather(
                self._forward(reader, target_writer, Mode.FROM_TARGET_ONLY),
                self._forward(target_reader, writer, Mode.TO_TARGET_ONLY),
            )
        except (ConnectionError, OSError):
            # A reset of one side is passed on to the other.
            for side in (writer, target_writer):
                if side is not None:
                    side.transport.abort()
        finally:
            for side in (writer, target_writer):
                if side is not None:
                    self._writers.discard(side)
                    side.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, blocking_mode: Mode
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self._apply_mode(blocking_mode)
            writer.write(data)
            await writer.drain()
        await self._apply_mode(blocking_mode)
        with contextlib.suppress(OSError):
            writer.write_eof()

    async def _apply_mode(self, blocking_mode: Mode) -> None:
        while self._mode in (Mode.SILENT, blocking_mode):
            await self._changed.wait()
        if self._mode is Mode.DELAY:
            await asyncio.sleep(DELAY_S)
