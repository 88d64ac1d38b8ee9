"""Callers that keep their connections, and what they saw of each request."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import random
import time

from gentianpaddle_platform_standins import documents, replica

from fault_soak import system
from gentianpaddle_platform import headers

DEADLINE_S = 3.0
PAUSE_S = 0.02
"""Pause of a caller between two requests."""

DIRECTORY_TIMEOUT_S = 1.0

WHOLE_STREAM = b"".join(
    b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(1, replica.EVENTS + 1)
)


@dataclasses.dataclass(slots=True)
class Sent:
    """A request and what its caller got."""

    id: str
    method: str
    path: str
    body: bytes
    front: str
    sent_s: float
    status: int | None = None
    """None while there is no answer, and for good if the connection ended without one."""
    fields: dict[str, str] = dataclasses.field(default_factory=dict)
    answer: bytes = b""
    complete: bool = False

    @property
    def once(self) -> bool:
        """Whether it may run at most once."""
        return self.path.startswith("/book/")


async def read_answer(reader: asyncio.StreamReader, sent: Sent) -> None:
    """Read an answer into what its caller got.

    Args:
        reader: The connection.
        sent: The request.

    Raises:
        ConnectionError: The connection was reset.
        asyncio.IncompleteReadError: It ended early.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    sent.status = int(head[0].split(" ")[1])
    for line in filter(None, head[1:]):
        name, _, value = line.partition(":")
        sent.fields[name.lower()] = value.strip()
    if sent.fields.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            sent.answer += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    else:
        sent.answer = await reader.readexactly(int(sent.fields.get("content-length", "0")))
    sent.complete = True


class Callers:
    """Callers of one run.

    Args:
        draws: Source of their choices.
    """

    def __init__(self, draws: random.Random) -> None:
        self.sent: list[Sent] = []
        self._draws = draws

    async def call_for_ever(self, fronts: list[system.Front]) -> None:
        """Send one request after the other over kept connections.

        Args:
            fronts: Fronts whose directory is asked for addresses.
        """
        addresses = [f"{front.host}:{system.PORT + 1}" for front in fronts]
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                await self._use_connection(self._draws.choice(addresses))
            addresses = await self._named(self._draws.choice(fronts)) or addresses
            await asyncio.sleep(PAUSE_S)

    async def _use_connection(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
        try:
            while True:
                sent = self._draw(host)
                await self.exchange(reader, writer, sent)
                if not sent.complete or sent.fields.get("connection") == "close":
                    return
                wait = sent.fields.get(headers.RETRY_AFTER.decode())
                await asyncio.sleep(float(wait) if wait else PAUSE_S)
        finally:
            writer.transport.abort()

    async def exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, sent: Sent
    ) -> None:
        """Send a request over an open connection and read its answer.

        Args:
            reader: The connection.
            writer: The connection.
            sent: The request.
        """
        self.sent.append(sent)
        fields = {
            "Host": documents.HOST,
            headers.REQUEST_ID.decode(): sent.id,
            headers.DEADLINE_MS.decode(): str(int(DEADLINE_S * 1000)),
            "Authorization": f"Bearer {documents.KEY}",
        }
        if sent.method == "POST":
            fields["Content-Length"] = str(len(sent.body))
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"{sent.method} {sent.path} HTTP/1.1\r\n{lines}\r\n".encode() + sent.body)
        async with asyncio.timeout(DEADLINE_S):
            await read_answer(reader, sent)

    def new_request(self, path: str, host: str) -> Sent:
        """Create a request with an id of its own.

        Args:
            path: Its path.
            host: Front that it goes to.

        Returns:
            The request.
        """
        number = len(self.sent)
        method = "GET" if path.startswith(("/look/", "/added")) else "POST"
        body = b"" if method == "GET" else b"b" * self._draws.choice((0, 7, 3_000))
        return Sent(f"{number:06x}", method, path, body, host, time.monotonic())

    def _draw(self, host: str) -> Sent:
        kind = self._draws.choice(("/look/", "/book/", "/book/", "/stream/"))
        return self.new_request(f"{kind}{len(self.sent)}", host)

    async def _named(self, front: system.Front) -> list[str]:
        """Return the addresses that a front names; none if it does not answer in time."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(DIRECTORY_TIMEOUT_S):
                answer = await ask(front.host, system.PORT + 3, documents.DIRECTORY_TARGET)
            if answer.status == 200:
                return list(json.loads(answer.answer)["addresses"])
        return []


async def ask(host: str, port: int, target: str) -> Sent:
    """Call one of the platform's targets at a front.

    Args:
        host: The front.
        port: Port of the target.
        target: Path and query.

    Returns:
        The answer.
    """
    reader, writer = await asyncio.open_connection(host, port)
    try:
        sent = Sent("", "GET", target, b"", host, time.monotonic())
        writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        await read_answer(reader, sent)
        return sent
    finally:
        writer.transport.abort()
