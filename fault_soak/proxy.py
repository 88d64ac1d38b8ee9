"""Loopback proxy that harms the connections that pass through it."""

from __future__ import annotations

import asyncio
import contextlib
import enum

DELAY_S = 0.15
"""Delay of each piece of data while the proxy delays; near the tightest target of a caller."""

PIECE_BYTES = 65_536


class Mode(enum.Enum):
    """What the proxy does to data."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    """Nothing passes; what was sent passes when this ends."""
    TO_TARGET_ONLY = "to_target_only"
    """Answers are held."""
    FROM_TARGET_ONLY = "from_target_only"
    """Requests are held."""
    REFUSE = "refuse"
    """Open connections are reset, and so are new ones."""


class Proxy:
    """Forwards connections to one target.

    Args:
        target: Host and port.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self._mode = Mode.PASS
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str) -> None:
        """Begin to listen.

        Args:
            host: Loopback address.
        """
        self._server = await asyncio.start_server(self._serve, host, 0)
        name = self._server.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"

    def set_mode(self, mode: Mode) -> None:
        """Change what happens to open and new connections.

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
        far: asyncio.StreamWriter | None = None
        try:
            host, _, port = self.target.rpartition(":")
            far_reader, far = await asyncio.open_connection(host, int(port))
            self._writers.add(far)
            await asyncio.gather(
                self._pump(reader, far, Mode.FROM_TARGET_ONLY),
                self._pump(far_reader, writer, Mode.TO_TARGET_ONLY),
            )
        except (ConnectionError, OSError):
            # Either side has reset; the other one is to see the same.
            for end in (writer, far):
                if end is not None:
                    end.transport.abort()
        finally:
            for end in (writer, far):
                if end is not None:
                    self._writers.discard(end)
                    end.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, held_in: Mode
    ) -> None:
        while data := await reader.read(PIECE_BYTES):
            await self._pass_time(held_in)
            writer.write(data)
            await writer.drain()
        await self._pass_time(held_in)
        with contextlib.suppress(OSError):
            writer.write_eof()

    async def _pass_time(self, held_in: Mode) -> None:
        while self._mode in (Mode.SILENT, held_in):
            await self._changed.wait()
        if self._mode is Mode.DELAY:
            await asyncio.sleep(DELAY_S)
