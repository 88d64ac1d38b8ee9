"""Settings of a process, read from one TOML document at start.

A process takes its addresses and data centre from here and asks no discovery service.
"""

from __future__ import annotations

import dataclasses

from gentianpaddle_core import ids, mistakes

PORT_LIMIT = 65_535
ENTRY_TTL_S = 20.0
LOG_FORMATS = ("key-value", "json")


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Address of a process."""

    host: str
    """IP address."""
    port: int
    """TCP port."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessSettings:
    """What both roles need."""

    vm: ids.VmId
    """Name of this VM."""
    data_centre: ids.DataCentreId
    """Data centre of this VM."""
    region: ids.RegionId
    """Region of this VM."""
    listen: Address
    """Address for other processes of the system."""
    peers: tuple[Address, ...]
    """Entries to contact first."""
    object_api_url: str
    """Base URL of the platform's object API."""
    shared_tokens: tuple[str, ...]
    """Tokens accepted between processes; the first one is sent."""
    log_format: str
    """`key-value` or `json`."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryLimits:
    """Limits on what callers can grow at an entry."""

    body_bytes: int
    """Largest request body."""
    header_bytes: int
    """Largest request header."""
    connections: int
    """Largest number of connections, each served by one thread."""
    waiting_requests: int
    """Largest number of requests that wait for a backend server."""
    body_timeout_s: float
    """Longest wait for the rest of a request."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of the role entry."""

    process: ProcessSettings
    """Common settings."""
    http: Address
    """Address for callers."""
    operator_tokens: tuple[str, ...]
    """Bearer tokens of operators."""
    entry_ttl_s: float
    """Time for which callers keep the list of entries; a leaving entry serves on for it."""
    limits: EntryLimits
    """Limits on callers."""


@dataclasses.dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings of the role agent."""

    process: ProcessSettings
    """Common settings."""
    backend_server: ids.BackendServerId
    """Name of the backend server on this VM."""
    backend_url: str
    """Base URL of the backend server."""
    kind: str
    """`engine` or `service`."""
    targets: tuple[ids.ModelName, ...]
    """Models or services that it serves."""
    capacity_limit: int
    """Largest number of requests at once when warm."""
    expected_step_ms: float
    """Step time of a healthy engine in milliseconds."""
    checks_fence: bool
    """Whether the backend server rejects old fencing numbers itself."""
    resumes: bool
    """Whether the backend server can continue a stream after delivered text."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The settings have mistakes."""

    mistakes: tuple[mistakes.Mistake, ...]
    """All of them."""


_PROCESS_KEYS = (
    "vm",
    "data_centre",
    "region",
    "listen",
    "peers",
    "object_api_url",
    "shared_tokens",
    "log_format",
)


def parse_entry(text: str, file: str = "settings") -> EntrySettings | Rejected:
    """Read the settings of an entry.

    Args:
        text: TOML text.
        file: Name for messages.

    Returns:
        The settings, or every mistake in them.
    """
    reader = mistakes.Reader(file)
    table = reader.parse(text)
    if table is None:
        return Rejected(tuple(reader.mistakes))
    reader.known_keys(
        table, "", (*_PROCESS_KEYS, "http", "operator_tokens", "entry_ttl_s", "limits")
    )
    limits = reader.table(table, "", "limits")
    parsed = EntrySettings(
        process=_process(reader, table),
        http=_address(reader, reader.text(table, "", "http"), "http"),
        operator_tokens=_secrets(reader, table, "operator_tokens"),
        entry_ttl_s=reader.number(table, "", "entry_ttl_s", 0.1, 3_600.0, ENTRY_TTL_S),
        limits=_limits(reader, limits),
    )
    return Rejected(tuple(reader.mistakes)) if reader.mistakes else parsed


def parse_agent(text: str, file: str = "settings") -> AgentSettings | Rejected:
    """Read the settings of an agent.

    Args:
        text: TOML text.
        file: Name for messages.

    Returns:
        The settings, or every mistake in them.
    """
    reader = mistakes.Reader(file)
    table = reader.parse(text)
    if table is None:
        return Rejected(tuple(reader.mistakes))
    reader.known_keys(table, "", (*_PROCESS_KEYS, "backend"))
    backend = reader.table(table, "", "backend")
    known = ("name", "url", "kind", "targets", "capacity_limit", "expected_step_ms")
    reader.known_keys(backend, "backend", (*known, "checks_fence", "resumes"))
    parsed = AgentSettings(
        process=_process(reader, table),
        backend_server=ids.BackendServerId(reader.text(backend, "backend", "name")),
        backend_url=_url(reader, backend, "backend", "url"),
        kind=reader.choice(backend, "backend", "kind", ("engine", "service"), "engine"),
        targets=tuple(map(ids.ModelName, reader.texts(backend, "backend", "targets"))),
        capacity_limit=reader.integer(backend, "backend", "capacity_limit", 1, 4_096),
        expected_step_ms=reader.number(backend, "backend", "expected_step_ms", 0.1, 60_000.0, 25.0),
        checks_fence=reader.boolean(backend, "backend", "checks_fence", False),
        resumes=reader.boolean(backend, "backend", "resumes", False),
    )
    if not parsed.targets:
        reader.add("backend.targets", None, "at least one model or service")
    return Rejected(tuple(reader.mistakes)) if reader.mistakes else parsed


def _process(reader: mistakes.Reader, table: mistakes.Table) -> ProcessSettings:
    peers = reader.texts(table, "", "peers")
    return ProcessSettings(
        vm=ids.VmId(reader.text(table, "", "vm")),
        data_centre=ids.DataCentreId(reader.text(table, "", "data_centre")),
        region=ids.RegionId(reader.text(table, "", "region")),
        listen=_address(reader, reader.text(table, "", "listen"), "listen"),
        peers=tuple(_address(reader, peer, "peers") for peer in peers),
        object_api_url=_url(reader, table, "", "object_api_url"),
        shared_tokens=_secrets(reader, table, "shared_tokens"),
        log_format=reader.choice(table, "", "log_format", LOG_FORMATS, LOG_FORMATS[0]),
    )


def _limits(reader: mistakes.Reader, table: mistakes.Table) -> EntryLimits:
    names = ("body_bytes", "header_bytes", "connections", "waiting_requests", "body_timeout_s")
    reader.known_keys(table, "limits", names)
    return EntryLimits(
        body_bytes=reader.integer(table, "limits", "body_bytes", 1, 100_000_000, 1_000_000),
        header_bytes=reader.integer(table, "limits", "header_bytes", 1_024, 1_000_000, 16_384),
        connections=reader.integer(table, "limits", "connections", 1, 2_000, 256),
        waiting_requests=reader.integer(table, "limits", "waiting_requests", 1, 100_000, 1_000),
        body_timeout_s=reader.number(table, "limits", "body_timeout_s", 0.1, 300.0, 10.0),
    )


def _address(reader: mistakes.Reader, text: str, key: str) -> Address:
    host, separator, port = text.rpartition(":")
    if separator and host and port.isdigit() and 0 < int(port) <= PORT_LIMIT:
        return Address(host, int(port))
    if text:
        reader.add(key, text, "an IP address and a port such as 127.0.0.1:7000")
    return Address("", 0)


def _url(reader: mistakes.Reader, table: mistakes.Table, prefix: str, key: str) -> str:
    url = reader.text(table, prefix, key)
    if url and not url.startswith(("http://", "https://")):
        reader.add(f"{prefix}.{key}" if prefix else key, url, "a URL with http or https")
    return url.rstrip("/")


def _secrets(reader: mistakes.Reader, table: mistakes.Table, key: str) -> tuple[str, ...]:
    tokens = reader.texts(table, "", key)
    if not tokens or not all(tokens):
        reader.add(key, "no usable token", "an array of one or more non-empty strings")
    return tokens
