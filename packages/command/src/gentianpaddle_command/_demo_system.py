"""System of the demo: entries, agents and stand-ins in one process on loopback."""

from __future__ import annotations

import dataclasses
import hashlib
import socket

from gentianpaddle_core import ids, settings
from gentianpaddle_daemon.agent import process as agent_process
from gentianpaddle_daemon.entry import process as entry_process
from gentianpaddle_standins import (
    booking_service,
    engine,
    http_server,
    object_server,
    object_store,
)

DATA_CENTRES = ("shah-alam", "petaling-jaya")
REGION = "selangor"
ENTRIES_PER_DATA_CENTRE = 2
ENGINES_PER_DATA_CENTRE = 3
ENGINE_CAPACITY = 12
WARM_UP_S = 2.0
STEP_S = 0.010
ENTRY_TTL_S = 1.0
OPERATOR_TOKEN = "demo-operator"
SHARED_TOKEN = "demo-shared"
ORGANISATIONS = ("sri-lantai", "kota-screed", "small-crew")

DECLARATION = """
[classes.confirmation]
first_token_s = 2.0
share = 0.95
deadline_s = 15

[classes.quote]
first_token_s = 1.8
token_gap_ms = 27
share = 0.95
deadline_s = 20

[classes.crew-briefing]
first_token_s = 4.0
token_gap_ms = 60
share = 0.9
deadline_s = 30

[models.drafter]
version = "1"

[services.booking]
idempotent_methods = ["GET"]

[data_centres.shah-alam]
region = "selangor"

[data_centres.petaling-jaya]
region = "selangor"
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """A stand-in engine with its HTTP server and data centre."""

    data_centre: str
    """Data centre of the engine."""
    engine: engine.Engine
    """Stand-in engine."""
    server: http_server.BackgroundServer
    """HTTP server of the engine."""


@dataclasses.dataclass(frozen=True, slots=True)
class Booking:
    """A stand-in booking service with its HTTP server and data centre."""

    data_centre: str
    """Data centre of the service."""
    service: booking_service.BookingService
    """Stand-in booking service."""
    server: http_server.BackgroundServer
    """HTTP server of the service."""


class System:
    """Entries, agents, engines, booking services and object API of the demo."""

    def __init__(self) -> None:
        self.store = object_store.ObjectStore()
        self.object_server = object_server.ObjectServer(self.store)
        self.object_server.start()
        self.engines = [
            _start_engine(f"{data_centre}-engine-{number}", data_centre)
            for data_centre in DATA_CENTRES
            for number in range(1, ENGINES_PER_DATA_CENTRE + 1)
        ]
        self.bookings = [_start_booking(data_centre) for data_centre in DATA_CENTRES]
        self.entries: list[entry_process.EntryProcess] = []
        self.entry_urls: list[str] = []
        self.agents: list[agent_process.AgentProcess] = []
        self._peer_addresses = tuple(
            settings.Address("127.0.0.1", _free_port())
            for _ in range(len(DATA_CENTRES) * ENTRIES_PER_DATA_CENTRE)
        )

    def start(self) -> None:
        """Start all entries and agents."""
        for number, address in enumerate(self._peer_addresses):
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            self._start_entry(f"{data_centre}-entry-{number + 1}", data_centre, address)
        for stand_in in self.engines:
            self._start_agent(
                stand_in.engine.options.name, stand_in.data_centre, stand_in.server.url, "engine"
            )
        for number, booking in enumerate(self.bookings):
            name = f"{booking.data_centre}-booking-{number + 1}"
            self._start_agent(name, booking.data_centre, booking.server.url, "service")

    def stop(self) -> None:
        """Kill entries and agents and stop the servers of the stand-ins."""
        for entry in self.entries:
            entry.kill()
        for agent in self.agents:
            agent.kill()
        for stand_in in self.engines:
            stand_in.server.stop()
        for booking in self.bookings:
            booking.server.stop()
        self.object_server.stop()

    def _process_settings(
        self, name: str, data_centre: str, address: settings.Address
    ) -> settings.ProcessSettings:
        return settings.ProcessSettings(
            vm=ids.VmId(name),
            data_centre=ids.DataCentreId(data_centre),
            region=ids.RegionId(REGION),
            listen=address,
            peers=self._peer_addresses,
            object_api_url=f"http://127.0.0.1:{self.object_server.port}",
            shared_tokens=(SHARED_TOKEN,),
            log_format="key-value",
        )

    def _start_entry(self, name: str, data_centre: str, address: settings.Address) -> None:
        http_address = settings.Address("127.0.0.1", _free_port())
        entry_settings = settings.EntrySettings(
            process=self._process_settings(name, data_centre, address),
            http=http_address,
            operator_tokens=(OPERATOR_TOKEN,),
            entry_ttl_s=ENTRY_TTL_S,
            limits=settings.EntryLimits(1_000_000, 16_384, 128, 500, 10.0),
        )
        process = entry_process.new_entry_process(entry_settings)
        process.start()
        self.entries.append(process)
        self.entry_urls.append(f"http://127.0.0.1:{http_address.port}")

    def _start_agent(self, name: str, data_centre: str, url: str, kind: str) -> None:
        address = settings.Address("127.0.0.1", _free_port())
        is_engine = kind == "engine"
        agent_settings = settings.AgentSettings(
            process=self._process_settings(f"{name}-vm", data_centre, address),
            backend_server=ids.BackendServerId(name),
            backend_url=url,
            kind=kind,
            targets=(ids.ModelName("drafter" if is_engine else "booking"),),
            capacity_limit=ENGINE_CAPACITY,
            expected_step_ms=25.0 if is_engine else 500.0,
            checks_fence=False,
            resumes=is_engine,
        )
        process = agent_process.new_agent_process(agent_settings)
        process.start()
        self.agents.append(process)


def declaration_text() -> str:
    """Return the declaration of the demo with the digests of the organisations' tokens.

    Returns:
        Declaration as TOML.
    """
    parts = [DECLARATION]
    for organisation in ORGANISATIONS:
        digest = hashlib.sha256(token_of(organisation).encode()).hexdigest()
        parts.append(f'[organisations.{organisation}]\ntoken_sha256 = ["{digest}"]\n')
    return "\n".join(parts)


def token_of(organisation: str) -> str:
    """Return the bearer token of an organisation of the demo.

    Args:
        organisation: Name of the organisation.

    Returns:
        Bearer token.
    """
    return f"demo-{organisation}"


def _start_engine(name: str, data_centre: str) -> Engine:
    options = engine.EngineOptions(
        name, step_s=STEP_S, capacity=ENGINE_CAPACITY, warm_up_s=WARM_UP_S
    )
    stand_in = engine.Engine(options)
    return Engine(data_centre, stand_in, engine.new_engine_server(stand_in))


def _start_booking(data_centre: str) -> Booking:
    service = booking_service.BookingService()
    return Booking(data_centre, service, booking_service.new_service_server(service))


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def new_system() -> System:
    """Create the system and start its stand-ins; `System.start` starts entries and agents.

    Returns:
        System without running entries and agents.
    """
    return System()
