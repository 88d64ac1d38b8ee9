"""Common parts of the review scripts: fronts as processes, stand-ins, callers and the record.

Only the standard library is used. The stand-ins follow the platform's pages: the store keeps
objects with revisions and serves watches, replicas fence themselves by their id, and callers take
addresses from the directory and keep connections.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
import typing
import urllib.parse
import weakref
from collections.abc import AsyncIterator, Awaitable, Callable

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "bookings.example"
KEY = "key-of-the-tenant"
TENANT = "sri-lantai"
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "stream",
    "tenants",
    "places",
    "platform",
]
READY_LIMIT_S = 25.0
RESTART_DELAY_S = 0.5
"""Pause after which the platform starts a process again that has ended."""

Json = dict[str, typing.Any]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption of the case takes place."""


class CannotRunError(Exception):
    """The case could not be played; this says nothing about the rule."""


class Record:
    """Writes `record.txt`: what was sent, answered and run, with the time since the start.

    Args:
        folder: Folder of the case.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start in seconds."""
        return time.monotonic() - self._started_s

    def write(self, *words: object) -> None:
        """Write one line.

        Args:
            words: Words of the line.
        """
        text = " ".join(str(word) for word in words)
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()

    def say(self, *words: object) -> None:
        """Write one line to the record and to standard output.

        Args:
            words: Words of the line.
        """
        self.write(*words)
        print(*words, flush=True)


@dataclasses.dataclass(slots=True)
class Request:
    """HTTP request as a stand-in received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Parameters of the query."""
        return dict(urllib.parse.parse_qsl(self.target.partition("?")[2]))


Handler = Callable[[Request, "ServerConnection"], Awaitable[None]]


class ServerConnection:
    """Connection of a stand-in's caller."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.silent = False
        """Whether nothing is sent any more although the connection stays open."""
        self.last_read_s = time.monotonic()
        """Monotonic time at which the last request arrived."""

    async def respond(
        self, status: int, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> None:
        """Send a complete response.

        Args:
            status: HTTP status.
            body: Body.
            headers: Headers besides Content-Length.
        """
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        await self.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def send(self, data: bytes) -> None:
        """Send bytes, or nothing if the connection is silent.

        Args:
            data: The bytes.
        """
        if self.silent:
            await asyncio.sleep(3600.0)
        self.writer.write(data)
        await self.writer.drain()

    def abort(self) -> None:
        """Reset the connection."""
        self.writer.transport.abort()


class HttpServer:
    """HTTP/1.1 server of a stand-in; a request is cancelled when its caller closes.

    Args:
        handler: Answers a request.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self.connections: set[ServerConnection] = set()
        self.address = ""

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Start to accept connections.

        Args:
            host: Loopback address.
            port: Port; 0 for a free one.
        """
        self._server = await asyncio.start_server(self._serve, host, port, limit=2**24)
        name = self._server.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"

    def close(self) -> None:
        """Stop to accept connections and abort those that are open."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = ServerConnection(reader, writer)
        self.connections.add(connection)
        try:
            while (request := await read_request(reader)) is not None:
                connection.last_read_s = time.monotonic()
                work = asyncio.ensure_future(self._handler(request, connection))
                gone = asyncio.ensure_future(self._closed(reader))
                await asyncio.wait((work, gone), return_when=asyncio.FIRST_COMPLETED)
                closed = gone.done()
                gone.cancel()
                if not work.done():
                    work.cancel()
                await asyncio.gather(work, gone, return_exceptions=True)
                if closed or work.cancelled() or work.exception() is not None:
                    return
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        except asyncio.CancelledError:
            return
        finally:
            self.connections.discard(connection)
            writer.close()

    @staticmethod
    async def _closed(reader: asyncio.StreamReader) -> None:
        # Callers of the stand-ins send one request at a time, so only the end can follow.
        with contextlib.suppress(OSError):
            while not reader.at_eof() and reader.exception() is None:
                await asyncio.sleep(0.005)


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request, or None at the end of the connection.

    Args:
        reader: Reader of the connection.
    """
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


class Store:
    """The platform's metadata store: objects by kind and name, revisions and watches.

    Args:
        record: Record of the case.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self.http = HttpServer(self._handle)
        self._revision = 1
        self._objects: dict[tuple[str, str], Json] = {}
        self._events: list[tuple[int, str, Json]] = []
        self._changed = asyncio.Event()
        self.kind_by_connection: dict[ServerConnection, str] = {}
        """Kind that is watched on each connection."""
        self.watch_limit_s = 3600.0
        """Time after which a watch that is waiting is cut off."""

    def put(self, kind: str, name: str, spec: typing.Any) -> None:
        """Create or replace an object, as the operator, a replica or another writer does.

        Args:
            kind: Kind of the object.
            name: Its name.
            spec: Its content.
        """
        self._revision += 1
        metadata = {"name": name, "revision": self._revision, "created": 1, "finalizers": []}
        item = {"metadata": {**metadata, "deleting": False}, "spec": spec, "status": None}
        self._objects[kind, name] = item
        self._tell(kind, item, removed=False)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it is there.

        Args:
            kind: Kind of the object.
            name: Its name.
        """
        item = self._objects.pop((kind, name), None)
        if item is not None:
            self._revision += 1
            self._tell(kind, item, removed=True)

    def names(self, kind: str) -> list[str]:
        """Return the names of all objects of a kind.

        Args:
            kind: The kind.
        """
        return [name for item_kind, name in self._objects if item_kind == kind]

    def _tell(self, kind: str, item: Json, removed: bool) -> None:
        self._events.append((self._revision, kind, {"object": item, "removed": removed}))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Request, connection: ServerConnection) -> None:
        await asyncio.sleep(0.004)
        _, _, _, kind, *rest = request.path.split("/")
        name = urllib.parse.unquote(rest[0]) if rest else ""
        kind = urllib.parse.unquote(kind)
        if request.method != "GET":
            await self._write(request, connection, kind, name)
        elif "watch" in request.query:
            await self._watch(request, connection, kind)
        elif name:
            item = self._objects.get((kind, name))
            await _json(connection, 200 if item else 404, item or {})
        else:
            after = request.query.get("after", "")
            items = [
                item
                for (item_kind, item_name), item in sorted(self._objects.items())
                if item_kind == kind and item_name > after
            ]
            page = {"items": items[:500], "hasMore": len(items) > 500, "at": self._revision}
            await _json(connection, 200, page)

    async def _watch(self, request: Request, connection: ServerConnection, kind: str) -> None:
        self.kind_by_connection[connection] = kind
        since = int(request.query["watch"])
        cut_s = time.monotonic() + self.watch_limit_s
        end_s = time.monotonic() + int(request.query.get("waitMs", "0")) / 1000.0
        while True:
            events = [event for at, of, event in self._events if of == kind and at > since]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0.0:
                await _json(connection, 200, {"events": events, "at": self._revision})
                return
            until_cut_s = cut_s - time.monotonic()
            if until_cut_s <= 0.0:
                connection.abort()
                return
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), min(left_s, until_cut_s))

    async def _write(
        self, request: Request, connection: ServerConnection, kind: str, name: str
    ) -> None:
        if request.method == "DELETE":
            known = (kind, name) in self._objects
            self.remove(kind, name)
            await _json(connection, 200 if known else 404, {})
            return
        document = json.loads(request.body)
        if request.method == "POST":
            name = document["metadata"]["name"]
            if (kind, name) in self._objects:
                await _json(connection, 409, self._objects[kind, name])
                return
        self.put(kind, name, document.get("spec"))
        await _json(connection, 200, self._objects[kind, name])


async def _json(connection: ServerConnection, status: int, document: Json) -> None:
    body = json.dumps(document).encode()
    await connection.respond(status, body, {"Content-Type": "application/json"})


@dataclasses.dataclass(slots=True)
class Arrival:
    """Request that reached a replica."""

    request_id: str
    path: str
    at_s: float
    """Monotonic time."""
    caller: str
    """Address of the front that sent it."""
    ran: bool


class Replica:
    """A replica of an application service. It works on `slots` requests and queues a few more.

    Args:
        record: Record of the case.
        name: Its id in the store.
        service: Its service.
        zone: Its zone.
        slots: Number of requests at once.
        work_s: Time for a plain request.
    """

    def __init__(
        self,
        record: Record,
        name: str,
        service: str,
        zone: str,
        slots: int = 6,
        work_s: float = 0.0225,
    ) -> None:
        self.record, self.name, self.service, self.zone = record, name, service, zone
        self.slots, self.work_s = slots, work_s
        self.http = HttpServer(self._handle)
        self.arrivals: list[Arrival] = []
        self.notices: Callable[[], dict[str, str]] = dict
        """Returns the headers that all answers carry besides."""
        self.refusal: Callable[[], dict[str, str] | None] = lambda: None
        """Returns the headers of a 503 with which requests are turned away, or None."""
        self.piece_gap_s = 0.08
        self.first_piece_s = 0.08
        """Time until the head and the first event of a stream."""
        self.queue_limit = 1_000
        """Number of requests that it queues beyond its slots; it turns others away."""
        self._present = 0
        self.failure_status: Callable[[], int] = lambda: 200
        """Returns the status of the next plain request that it runs; 200 for success."""
        self._free = asyncio.Semaphore(slots)

    def entry(self, state: str = "ready") -> Json:
        """Return the entry in the store.

        Args:
            state: Its state.
        """
        return {
            "service": self.service,
            "address": self.http.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        }

    async def _handle(self, request: Request, connection: ServerConnection) -> None:
        caller = connection.writer.get_extra_info("peername")[0]
        request_id = request.headers.get("x-gentianpaddle-request-id", "")
        echo = {"X-Gentianpaddle-Request-Id": request_id}
        if request.path == "/health":
            await connection.respond(200, b"", {"X-Gentianpaddle-Instance-Id": self.name})
            return
        if request.headers.get("x-gentianpaddle-expect-instance", self.name) != self.name:
            await connection.respond(421, b"", echo)
            return
        refusal = self.refusal()
        if refusal is None and self._present >= self.slots + self.queue_limit:
            refusal = {}
        arrival = Arrival(request_id, request.path, time.monotonic(), caller, refusal is None)
        self.arrivals.append(arrival)
        if refusal is not None:
            self.record.write("refuses", self.name, request_id, "from", caller, refusal)
            declined = {"X-Gentianpaddle-Not-Executed": "1", **echo, **refusal}
            await connection.respond(503, b"", declined)
            return
        self.record.write("runs", self.name, request_id, request.path, "from", caller)
        self._present += 1
        try:
            async with self._free:
                await self._answer(request, connection, echo)
        finally:
            self._present -= 1

    async def _answer(
        self, request: Request, connection: ServerConnection, echo: dict[str, str]
    ) -> None:
        if "/stream" in request.path:
            await self._stream(request, connection, echo)
        else:
            await asyncio.sleep(self.work_s)
            request_id = echo["X-Gentianpaddle-Request-Id"]
            seal = {"X-Gentianpaddle-Response-Seal": f"seal.{self.name}.{request_id}"}
            body = f"{self.service} {request_id}".encode()
            status = self.failure_status()
            self.record.write("has run", self.name, request_id, "answers", status)
            await connection.respond(status, body, {**echo, **seal, **self.notices()})

    async def _stream(
        self, request: Request, connection: ServerConnection, echo: dict[str, str]
    ) -> None:
        headers = {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            "X-Gentianpaddle-Response-Seal": f"seal.{self.name}",
            **echo,
            **self.notices(),
        }
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        await asyncio.sleep(self.first_piece_s)
        await connection.send(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
        first = int(request.headers.get("last-event-id", "0")) + 1
        count = int(request.headers["x-gentianpaddle-token-count"].split(",")[1]) // 5
        for number in range(first, count + 1):
            if number > first:
                await asyncio.sleep(self.piece_gap_s)
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            await connection.send(b"%x\r\n%b\r\n" % (len(event), event))
        await connection.send(b"0\r\n\r\n")


class Front:
    """One front process, which the platform starts again whenever it ends by itself.

    Args:
        system: The deployment.
        name: Name of the machine.
        zone: Its zone.
        ip: Its loopback address.
    """

    def __init__(self, system: System, name: str, zone: str, ip: str) -> None:
        self._system = system
        self.name, self.zone, self.ip = name, zone, ip
        self.port = 24_300
        self.process: asyncio.subprocess.Process | None = None
        self.own_ends_s: list[float] = []
        """Monotonic times at which the process ended by itself."""
        self.stopping = False
        """Whether the platform stops the process, so that its end is no fault."""
        self._task: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Address for callers."""
        return f"{self.ip}:{self.port + 1}"

    def settings(self) -> str:
        """Return the settings file of the process."""
        bounds = "\n".join(
            f"{key} = {json.dumps(value)}" for key, value in self._system.bounds.items()
        )
        zones = "\n".join(f'{zone} = "klang-valley"' for zone in self._system.zones)
        return f"""
node = "{self.name}"
role = "front"
machineClass = "front"
serves = ["front", "directory"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "klang-valley"
portRange = [{self.port + 4}, {self.port + 19}]
seeds = []
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = {json.dumps(CONTRACTS)}
[zones]
{zones}
[listen]
front = "{self.ip}:{self.port + 1}"
ready = "{self.ip}:{self.port + 2}"
directory = "{self.ip}:{self.port + 3}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
{bounds}
[platform]
address = "{self._system.store.http.address}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        folder = self._system.folder
        settings = folder / f"{self.name}.toml"
        settings.write_text(self.settings(), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        command = deploy["roles"]["front"]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["GENTIANPADDLE_NODE_FILE"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with (folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._task = asyncio.ensure_future(self._watch(self.process))

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        status = await process.wait()
        if self.stopping:
            self._system.record.write("process", self.name, "has stopped, status", status)
            return
        self.own_ends_s.append(time.monotonic())
        self._system.record.say("process", self.name, "has ended by itself, status", status)
        await asyncio.sleep(RESTART_DELAY_S)
        if not self.stopping:
            await self.start()

    async def terminate(self, grace_s: float) -> None:
        """Stop the process as the platform does: SIGTERM, and SIGKILL after the grace time.

        Args:
            grace_s: Time between the two.
        """
        process = self.process
        assert process is not None
        self.stopping = True
        self._system.record.say("SIGTERM", self.name)
        process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(asyncio.shield(process.wait()), grace_s)
        except TimeoutError:
            self._system.record.say("SIGKILL", self.name)
            process.kill()

    async def ready(self) -> bool:
        """Return whether the front says that it is ready."""
        try:
            caller = await Caller.connect(f"{self.ip}:{self.port + 2}")
        except OSError:
            return False
        try:
            answer = await caller.ask("GET", "/-/readiness", {"Host": "x"})
        finally:
            caller.close()
        return answer.status == 200

    async def addresses(self, zone: str) -> list[str]:
        """Return the addresses that the front's directory names to callers of a zone.

        Args:
            zone: Zone of the callers.
        """
        caller = await Caller.connect(f"{self.ip}:{self.port + 3}")
        try:
            target = f"/-/resolve?name={HOST}&region=klang-valley&zone={zone}"
            answer = await caller.ask("GET", target, {"Host": "x"})
        finally:
            caller.close()
        return list(json.loads(answer.body)["addresses"]) if answer.status == 200 else []

    async def kill(self) -> None:
        """End the process at the end of the case."""
        self.stopping = True
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self._task is not None:
            self._task.cancel()


@dataclasses.dataclass(slots=True)
class Answer:
    """What a caller received."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    error: str = ""


_callers: weakref.WeakSet[Caller] = weakref.WeakSet()
"""Callers whose connections are closed at the end of the case."""


class Caller:
    """One connection of a client.

    Args:
        reader: Its reader.
        writer: Its writer.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer
        _callers.add(self)

    @classmethod
    async def connect(cls, address: str) -> Caller:
        """Open a connection; a client allows it one second.

        Args:
            address: Host and port.
        """
        host, _, port = address.rpartition(":")
        try:
            streams = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
        except TimeoutError:
            raise OSError("no connection within 1 s") from None
        return cls(*streams)

    async def ask(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        limit_s: float = 10.0,
    ) -> Answer:
        """Send a request and read its answer, as far as it comes.

        Args:
            method: Method.
            target: Path and query.
            headers: Headers besides Content-Length.
            body: Body.
            limit_s: Time after which the client gives up.
        """
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        if method == "POST":
            lines += f"Content-Length: {len(body)}\r\n"
        answer = Answer()
        try:
            self._writer.write(f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode() + body)
            async with asyncio.timeout(limit_s):
                await self._read(answer)
        except TimeoutError:
            answer.error = f"nothing more within {limit_s} s"
        except asyncio.IncompleteReadError:
            answer.error = "the connection ended"
        except OSError as error:
            answer.error = f"the connection was reset ({type(error).__name__})"
        return answer

    async def _read(self, answer: Answer) -> None:
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        answer.status = int(head[0].split(" ")[1])
        for line in filter(None, head[1:]):
            name, _, value = line.partition(":")
            answer.headers[name.strip().lower()] = value.strip()
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await self._reader.readuntil(b"\r\n"), 16):
                answer.body += (await self._reader.readexactly(size + 2))[:-2]
            await self._reader.readexactly(2)
        else:
            length = int(answer.headers.get("content-length", "0"))
            answer.body = await self._reader.readexactly(length)
        answer.complete = True

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


def request_headers(
    request_id: str, deadline_ms: int, tokens: str = "", key: str = KEY
) -> dict[str, str]:
    """Return the headers of a client's request.

    Args:
        request_id: Id of this client attempt.
        deadline_ms: Time for which the client waits.
        tokens: Value of the token count; empty for none.
        key: Key of the client.
    """
    headers = {
        "Host": HOST,
        "X-Gentianpaddle-Request-Id": request_id,
        "X-Gentianpaddle-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {key}",
    }
    if tokens:
        headers["X-Gentianpaddle-Model"] = "m"
        headers["X-Gentianpaddle-Token-Count"] = tokens
        headers["X-Gentianpaddle-Prompt-Prefix"] = f"5c1e07a2:40,{request_id}:600"
    return headers


def route(prefix: str, kind: str, service: str, **fields: typing.Any) -> Json:
    """Return a route of the configuration.

    Args:
        prefix: Prefix of the path.
        kind: Kind of its requests.
        service: Service that serves it.
        fields: Further or other fields.
    """
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 8000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 1 if kind == "unsafe" else 2,
        "public": False,
        **fields,
    }


class System:
    """A small deployment: a store, replicas and fronts.

    Args:
        record: Record of the case.
        folder: Temporary folder for settings and logs.
        zones: Its zones.
    """

    def __init__(self, record: Record, folder: pathlib.Path, zones: tuple[str, ...]) -> None:
        self.record, self.folder, self.zones = record, folder, zones
        self.store = Store(record)
        self.replicas: list[Replica] = []
        self.fronts: list[Front] = []
        self.version = 0
        self.bounds: Json = {
            "seedLagS": 3,
            "reuseAfterS": 2,
            "stabilityWindowMs": 3000,
            "ackMs": 4000,
            "catchUpS": 4,
            "drainMs": 2000,
            "graceS": 8,
            "lossSlackMs": 200,
            "configApplyMs": 2000,
            "rollbackSlackMs": 250,
            "maxStretchMs": 5000,
            "revokeStrict": False,
            "revokeMs": 5000,
            "retryBudgetRatio": 0.2,
            "budgetWindowS": 10,
            "budgetSlack": 92,
            "coldOver": 1.5,
            "coldSlack": 5,
            "evacuateMs": 5000,
            "recoverS": 12,
            "passMs": 120,
            "retryAfterS": 0,
            "stall_ms": 1500,
            "fencingRequired": False,
            "ttl_max_s": 5,
        }
        self._ips = _free_addresses()

    def configure(self, routes: list[Json], services: list[str]) -> None:
        """Write a new version of the configuration to the store, as the operator does.

        Args:
            routes: Routes.
            services: Names of the services.
        """
        self.version += 7
        spec = {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": name, "healthPath": "/health", "maxConnections": 110, "coldPerS": 0.0}
                for name in services
            ],
            "limits": {
                "maxHeaderBytes": 16_384,
                "maxBodyBytes": 4_194_304,
                "headerTimeoutMs": 2000,
                "idleTimeoutMs": 20_000,
            },
            "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
        }
        self.store.put("config", "main", spec)
        self.record.say("configuration", self.version, "acknowledged")

    async def add_replica(self, name: str, service: str, zone: str, slots: int = 6) -> Replica:
        """Start a replica and register it in the store.

        Args:
            name: Its id.
            service: Its service.
            zone: Its zone.
            slots: Number of requests at once.
        """
        replica = Replica(self.record, name, service, zone, slots)
        await replica.http.listen()
        self.replicas.append(replica)
        self.store.put("servers", name, replica.entry())
        return replica

    def new_front(self, name: str, zone: str) -> Front:
        """Return a front that is not started yet.

        Args:
            name: Name of its machine.
            zone: Its zone.
        """
        front = Front(self, name, zone, next(self._ips))
        self.fronts.append(front)
        return front

    async def start_fronts(self) -> None:
        """Start all fronts and wait until each one is ready and named by each directory."""
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRunError("target/deps is missing: run the build of the deploy file first")
        for front in self.fronts:
            await front.start()
        end_s = time.monotonic() + READY_LIMIT_S
        while not await self._all_known():
            if time.monotonic() > end_s:
                raise CannotRunError("the fronts did not become ready")
            await asyncio.sleep(0.1)
        self.record.say("fronts ready")
        await asyncio.sleep(4.0)

    async def _all_known(self) -> bool:
        for front in self.fronts:
            if not await front.ready():
                return False
        try:
            for front in self.fronts:
                for zone in self.zones:
                    local = [item.address for item in self.fronts if item.zone == zone]
                    expected = local if len(local) >= 2 else [f.address for f in self.fronts]
                    if sorted(await front.addresses(zone)) != sorted(expected):
                        return False
        except OSError:
            return False
        return True

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for caller in list(_callers):
            caller.close()
        for front in self.fronts:
            await front.kill()
        for replica in self.replicas:
            replica.http.close()
        self.store.http.close()


def _free_addresses() -> typing.Iterator[str]:
    """Yield loopback addresses at which the ports of a front are free."""
    rng = random.Random()
    while True:
        ip = f"127.{rng.randrange(16, 240)}.{rng.randrange(1, 250)}.{rng.randrange(2, 250)}"
        try:
            for port in (9464, *range(24_300, 24_320)):
                with socket.socket() as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        yield ip


@contextlib.asynccontextmanager
async def deployment(record: Record, zones: tuple[str, ...]) -> AsyncIterator[System]:
    """Provide a deployment whose processes end with the case.

    Args:
        record: Record of the case.
        zones: Its zones.
    """
    with tempfile.TemporaryDirectory(prefix="review-") as name:
        system = System(record, pathlib.Path(name), zones)
        await system.store.http.listen()
        try:
            yield system
        finally:
            await system.stop()
            kept = os.environ.get("KEEP_LOGS")
            if kept:
                for log in pathlib.Path(name).glob("*.log"):
                    (pathlib.Path(kept) / log.name).write_bytes(log.read_bytes())


def main(case: Callable[[Record], Awaitable[bool]], folder: pathlib.Path) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if it could not run.

    Args:
        case: Plays the case and returns whether the rule held.
        folder: Folder of the case.
    """
    record = Record(folder)
    record.say("disruption:", "yes" if TROUBLE else "no")

    async def run() -> bool:
        # Whoever stops the script early must not leave its processes behind.
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(115.0):
            return await case(record)

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        # A mistake of the script must not look like a broken rule.
        record.say("could not run:", repr(error))
        sys.exit(2)
    record.say("rule held" if held else "RULE BROKEN")
    sys.exit(0 if held else 1)
