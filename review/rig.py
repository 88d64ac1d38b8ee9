"""Small deployment on loopback addresses for the cases 6 to 10: fronts, store, replicas, clients.

The fronts and side processes are the project's own programs, started with the command of the deploy
file. The store, the engines and the HTTP server below them are the project's own stand-ins; the
replicas and the clients are written here. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import typing

ROOT = pathlib.Path(__file__).resolve().parents[1]
for _source in ("packages/core", "platform"):
    sys.path.insert(0, str(ROOT / _source / "src"))

from gentianpaddle_platform_standins import http, store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
METRICS_PORT = 9464
REQUEST_ID = b"X-Gentianpaddle-Request-Id: "
NO_ANSWER = {0: "the connection ended without a whole answer", -1: "no whole answer in time"}
HELD, BROKEN, NOT_RUN = 0, 1, 2

ENGINE_COSTS: dict[str, typing.Any] = {
    "slots": 6,
    "kvCapacityTokens": 186000,
    "kvTokenBytes": 192512,
    "linkMbps": 180000.0,
    "stride": 5,
    "models": [{"name": "m"}],
    "step_ms": 5.85,
    "per_seq_ms": 0.71,
    "context_per_k": 0.072,
    "read_per_s": 61200.0,
    "pairs_per_m": 0.325,
    "chunk": 512,
    "report_lag_ms": 200.0,
    "usual": {"prompt": 835, "answer": 139},
    "sets": 1,
    "experts": 8,
    "placements": 5,
    "spare": 2,
    "expertMb": 880.0,
    "expertShare": 0.85,
    "form_ms": 600.0,
}


def route(prefix: str, kind: str, service: str, **fields: typing.Any) -> dict[str, typing.Any]:
    """Return a route of the operator's configuration."""
    values = {
        "name": f"r-{prefix.strip('/')}",
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 8000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 1 if kind == "unsafe" else 2,
        "public": False,
    }
    if kind == "streaming":
        values.update(streamResume=True, targetGapMs=120, stickySessions=True)
    return {**values, **fields}


def configuration(
    routes: list[dict[str, typing.Any]], services: list[dict[str, typing.Any]]
) -> dict[str, typing.Any]:
    """Return the operator's configuration with the limits of the example on our pages."""
    return {
        "version": 7,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


def service(name: str, engine: dict[str, typing.Any] | None = None) -> dict[str, typing.Any]:
    """Return a service of the configuration."""
    values: dict[str, typing.Any] = {
        "name": name,
        "healthPath": "/health",
        "maxConnections": 418,
        "protocol": "h1",
        "tls": False,
        "coldStartS": 0.0,
        "coldPerS": 0.0,
    }
    if engine is not None:
        values["engine"] = engine
    return values


def entry(service_name: str, address: str, zone: str = "shah-alam") -> dict[str, typing.Any]:
    """Return the entry of a replica in the store."""
    return {
        "service": service_name,
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
    }


@dataclasses.dataclass
class Run:
    """Request that a replica began to run."""

    replica: str
    request_id: str
    headers: dict[str, str]
    path: str
    body: bytes
    at_s: float
    ended_s: float | None = None
    given_up: bool = False


class Replica:
    """Replica of a service: runs what is addressed to it, at most `slots` requests at once.

    A few more wait; others are turned away as not executed. A request whose connection closes is
    dropped. `work` returns the bytes of the answer, or None if the replica has ended the connection
    itself.
    """

    def __init__(
        self,
        rig: Rig,
        name: str,
        service_name: str,
        work: typing.Callable[[Replica, Run, http.Connection], typing.Awaitable[None]],
        slots: int = 6,
        queue: int = 24,
    ) -> None:
        self.rig = rig
        self.name = name
        self.service = service_name
        self.work = work
        self.queue = queue
        self.slots = asyncio.Semaphore(slots)
        self.present = 0
        self.limit = slots + queue
        self.http = http.HttpStandin(self._handle)
        self.arrivals: list[tuple[str, float]] = []

    async def start(self) -> None:
        """Listen, and enter the replica in the store."""
        await self.http.listen()
        self.rig.store.put("servers", self.name, entry(self.service, self.http.address))

    async def _handle(self, request: http.Request, connection: http.Connection) -> None:
        request_id = request.headers.get("x-gentianpaddle-request-id", "")
        if request.headers.get("x-gentianpaddle-expect-instance") != self.name:
            await connection.respond(421, b"", {"X-Gentianpaddle-Instance-Id": self.name})
            return
        self.arrivals.append((request_id, self.rig.now()))
        echo = {"X-Gentianpaddle-Request-Id": request_id}
        if self.present >= self.limit:
            await connection.respond(503, b"", {**echo, "X-Gentianpaddle-Not-Executed": "1"})
            return
        self.present += 1
        try:
            async with self.slots:
                if connection.closed_by_peer.is_set():
                    return
                run = Run(
                    self.name,
                    request_id,
                    request.headers,
                    request.path,
                    request.body,
                    self.rig.now(),
                )
                self.rig.runs.append(run)
                work = asyncio.create_task(self._work(run, connection))
                gone = asyncio.create_task(connection.closed_by_peer.wait())
                await asyncio.wait((work, gone), return_when=asyncio.FIRST_COMPLETED)
                run.given_up = not work.done()
                for task in (work, gone):
                    task.cancel()
                await asyncio.gather(work, gone, return_exceptions=True)
                run.ended_s = self.rig.now()
        finally:
            self.present -= 1

    async def _work(self, run: Run, connection: http.Connection) -> None:
        with contextlib.suppress(ConnectionError):
            await self.work(self, run, connection)


async def answer(connection: http.Connection, run: Run, body: bytes = b"x" * 800) -> None:
    """Send a plain answer with the seal."""
    fields = {
        "X-Gentianpaddle-Request-Id": run.request_id,
        "X-Gentianpaddle-Response-Seal": f"seal.{run.replica}",
        "Content-Type": "application/octet-stream",
    }
    await connection.respond(200, body, fields)


async def answer_events(
    connection: http.Connection,
    run: Run,
    count: int = 8,
    first_s: float = 0.08,
    gap_s: float = 0.03,
) -> None:
    """Send a stream of events with the seal, from the one after `Last-Event-Id`."""
    last = run.headers.get("last-event-id", "")
    first = int(last) + 1 if last.isdigit() and len(last) < 10 else 1
    await asyncio.sleep(first_s)
    connection.writer.write(
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n"
            f"X-Gentianpaddle-Request-Id: {run.request_id}\r\n"
            f"X-Gentianpaddle-Response-Seal: seal.{run.replica}\r\n\r\n"
        ).encode()
    )
    for number in range(first, count + 1):
        event = b"id: %d\ndata: piece %d\n\n" % (number, number)
        connection.writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await connection.writer.drain()
        await asyncio.sleep(gap_s)
    connection.writer.write(b"0\r\n\r\n")
    await connection.writer.drain()


@dataclasses.dataclass
class Answer:
    """What a client got: status 0 stands for a connection that ended without a whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    sealed: bool
    took_s: float


class Front:
    """One process of the system; it is started again when it has ended."""

    def __init__(self, rig: Rig, node: str, ip: str, settings: str) -> None:
        self.rig, self.node, self.ip = rig, node, ip
        self.file = rig.directory / f"{node}.toml"
        self.file.write_text(settings)
        self.process: asyncio.subprocess.Process | None = None
        self.own_ends: list[tuple[float, int | None]] = []
        self.expected_end = False
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        await self._spawn()
        self._task = asyncio.create_task(self._supervise())

    async def _spawn(self) -> None:
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["GENTIANPADDLE_NODE_FILE"] = str(self.file)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        log = (self.rig.directory / f"{self.node}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "python3", "deploy/start.py", cwd=ROOT, env=environment, stdout=log, stderr=log
        )

    async def _supervise(self) -> None:
        while True:
            assert self.process is not None
            code = await self.process.wait()
            if not self.expected_end:
                self.own_ends.append((self.rig.now(), code))
                self.rig.note(f"{self.node} ended by itself with code {code}")
            self.expected_end = False
            await asyncio.sleep(0.5)
            await self._spawn()

    async def stop(self) -> None:
        """End the process."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process; its end is then expected."""
        assert self.process is not None
        self.expected_end = number in (signal.SIGTERM, signal.SIGKILL)
        self.process.send_signal(number)


class Rig:
    """The deployment of one case."""

    def __init__(self, case: str) -> None:
        self.case = pathlib.Path(case).resolve().parent
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = store.StoreStandin()
        self.fronts: list[Front] = []
        self.sides: list[Front] = []
        self.replicas: list[Replica] = []
        self.runs: list[Run] = []
        self.lines: list[str] = []
        self.started_s = time.monotonic()
        self.port = random.randrange(21000, 30000, 20)
        self.net = f"127.{random.randrange(64, 250)}.{random.randrange(1, 250)}"
        self.counter = 0

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_s

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{self.now():8.3f} {text}")

    async def listen(self) -> None:
        """Start the store."""
        await self.store.http.listen()

    def _settings(self, node: str, ip: str, zone: str, side: dict[str, str] | None) -> str:
        own = f'app = "{side["app"]}"\nservice = "{side["service"]}"\n' if side else ""
        kind = "side" if side else "front"
        listen = (
            ""
            if side
            else f'front = "{ip}:{self.port + 1}"\nready = "{ip}:{self.port + 2}"\n'
            f'directory = "{ip}:{self.port + 3}"\n'
        )
        memory, descriptors = (168, 1124) if side else (300, 4100)
        return f"""node = "{node}"
role = "{kind}"
machineClass = "{kind}"
serves = ["front","directory"]
ip = "{ip}"
zone = "{zone}"
region = "klang-valley"
portRange = [{self.port + 5},{self.port + 15}]
seeds = []
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
    "places", "platform", "experts"]
{own}
[zones]
shah-alam = "klang-valley"
petaling-jaya = "klang-valley"
cyberjaya = "klang-valley"
[listen]
{listen}
[limits]
cpuShare = 0.537
cores = 2
memoryMb = {memory}
maxFds = {descriptors}
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stabilityWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
revokeStrict = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 92
coldOver = 1.5
coldSlack = 5
evacuateMs = 5000
recoverS = 12
passMs = 120
retryAfterS = 0
stall_ms = 1500
fencingRequired = false
ttl_max_s = 5
[platform]
address = "{self.store.http.address}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""

    async def start_fronts(
        self, count: int = 2, zones: typing.Sequence[str] = ("shah-alam", "petaling-jaya")
    ) -> None:
        """Start fronts and wait until each says that it is ready."""
        for number in range(count):
            ip = f"{self.net}.{number + 1}"
            for port in (METRICS_PORT, self.port + 1):
                with socket.socket() as probe:
                    probe.bind((ip, port))
            zone = zones[number % len(zones)]
            node = f"front-{zone}-{number + 1}"
            front = Front(self, node, ip, self._settings(node, ip, zone, None))
            self.fronts.append(front)
            await front.start()
        for front in self.fronts:
            await self.until_ready(front)

    async def start_side(self, app: str, service_name: str, zone: str = "shah-alam") -> None:
        """Start the side process of an engine."""
        number = len(self.sides) + 1
        ip = f"{self.net}.{100 + number}"
        node = f"side-{zone}-{number}"
        side = Front(
            self, node, ip, self._settings(node, ip, zone, {"app": app, "service": service_name})
        )
        self.sides.append(side)
        await side.start()

    async def until_ready(self, front: Front) -> None:
        """Wait until a front says that it is ready."""
        async with asyncio.timeout(20.0):
            while not await self.is_ready(front):
                await asyncio.sleep(0.1)

    async def is_ready(self, front: Front) -> bool:
        """Return whether a front says that it is ready."""
        data = b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n"
        try:
            found = await self.exchange(front.ip, self.port + 2, data, 1.0)
        except OSError:
            return False
        return found.status == 200

    def new_id(self) -> str:
        """Return the id of a new request."""
        self.counter += 1
        return f"{self.counter:016x}"

    def request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        request_id: str = "",
        deadline_ms: int = 8050,
        fields: dict[str, str] | None = None,
    ) -> bytes:
        """Return the bytes of a client's request."""
        values = {
            "Host": HOST,
            "X-Gentianpaddle-Request-Id": request_id or self.new_id(),
            "X-Gentianpaddle-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {KEY}",
            **(fields or {}),
        }
        if body is not None:
            values["Content-Length"] = str(len(body))
        lines = "".join(f"{name}: {value}\r\n" for name, value in values.items())
        return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + (body or b"")

    async def connect(self, front: Front) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a client's connection to a front."""
        return await asyncio.open_connection(front.ip, self.port + 1)

    async def exchange(self, ip: str, port: int, data: bytes, limit_s: float) -> Answer:
        """Send a request on a new connection to an address."""
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1.0)
        try:
            return await self.send(reader, writer, data, limit_s)
        finally:
            writer.close()

    async def ask(self, front: Front, data: bytes, limit_s: float = 9.0) -> Answer:
        """Send a request on a new connection and return what the client got."""
        try:
            return await self.exchange(front.ip, self.port + 1, data, limit_s)
        except (OSError, TimeoutError):
            return Answer(0, {}, b"", False, 0.0)

    async def send(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        data: bytes,
        limit_s: float = 9.0,
    ) -> Answer:
        """Send a request on an open connection and return what the client got."""
        began_s = time.monotonic()
        nothing = Answer(0, {}, b"", False, 0.0)
        try:
            writer.write(data)
            async with asyncio.timeout(limit_s):
                found = await read_answer(reader)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            found = nothing
        except TimeoutError:
            found = dataclasses.replace(nothing, status=-1)
        found.took_s = time.monotonic() - began_s
        if REQUEST_ID in data:
            request_id = data.partition(REQUEST_ID)[2].partition(b"\r\n")[0].decode()
            got = NO_ANSWER.get(found.status, str(found.status))
            self.note(f"{request_id} of {len(data)} bytes, sent {found.took_s:.3f} s ago: {got}")
        return found

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for process in (*self.fronts, *self.sides):
            await process.stop()
        self.store.http.close()
        for replica in self.replicas:
            replica.http.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.directory, keep, dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)

    def finish(self, verdict: int, summary: str) -> None:
        """Write the record."""
        words = {HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[verdict]
        head = [f"TROUBLE={int(TROUBLE)}", f"verdict: {words}", summary, ""]
        runs = [
            f"{run.at_s:8.3f} {run.request_id} began to run at {run.replica}, "
            + ("its connection was closed" if run.given_up else "it ran to its end")
            for run in self.runs
        ]
        lines = [*self.lines, *runs]
        lines.sort(key=lambda line: float(line.split()[0]))
        (self.case / "record.txt").write_text("\n".join([*head, *lines]) + "\n")
        print(f"{words}: {summary}")


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one whole answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split(" ")[1])
    fields = {}
    for line in filter(None, head[1:]):
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    body = b""
    if fields.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    else:
        body = await reader.readexactly(int(fields.get("content-length", "0")))
    return Answer(status, fields, body, "x-gentianpaddle-response-seal" in fields, 0.0)


def main(case: str, scenario: typing.Callable[[Rig], typing.Awaitable[tuple[int, str]]]) -> None:
    """Run a scenario, write its record and exit with its verdict."""

    async def run() -> int:
        rig = Rig(case)
        verdict, summary = NOT_RUN, "did not finish"
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            await rig.listen()
            async with asyncio.timeout(110.0):
                verdict, summary = await scenario(rig)
        except (OSError, TimeoutError, AssertionError) as error:
            summary = f"could not run: {error!r}"
        finally:
            await rig.close()
            rig.finish(verdict, summary)
        return verdict

    sys.exit(asyncio.run(run()))
