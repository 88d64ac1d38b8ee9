"""Settings of a process, read from one TOML document at start-up.

The addresses and the data centre of a process come from its settings, not from a discovery service.
"""

from __future__ import annotations

import dataclasses

from gentianpaddle_core import ids, toml_reader

MAX_PORT = 65_535
DEFAULT_ENTRY_TTL_S = 20.0
LOG_FORMATS = ("key-value", "json")


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Network address of a process."""

    host: str
    """IP address."""
    port: int
    """TCP port."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessSettings:
    """Settings that entries and agents have in common."""

    vm: ids.VmId
    """Name of the VM."""
    data_centre: ids.DataCentreId
    """Data centre of the VM."""
    region: ids.RegionId
    """Region of the VM."""
    listen: Address
    """Address on which the process listens for other processes of the system."""
    peers: tuple[Address, ...]
    """Addresses of entries to contact at start-up."""
    object_api_url: str
    """Base URL of the platform's object API."""
    shared_tokens: tuple[str, ...]
    """Bearer tokens accepted from other processes; the first one is sent to them."""
    log_format: str
    """Format of log lines: `key-value` or `json`."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryLimits:
    """Limits on the resources that callers can occupy at an entry."""

    body_bytes: int
    """Maximum size of a request body in bytes."""
    header_bytes: int
    """Maximum size of a request header in bytes."""
    connections: int
    """Maximum number of connections, each served by one thread."""
    waiting_requests: int
    """Maximum number of requests that wait for a backend server."""
    body_timeout_s: float
    """Maximum time to wait for the rest of a request, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry."""

    process: ProcessSettings
    """Settings common to all processes."""
    http: Address
    """Address on which the entry listens for callers."""
    operator_tokens: tuple[str, ...]
    """Bearer tokens accepted from operators."""
    entry_ttl_s: float
    """Time for which callers may cache the list of entries, in seconds; a leaving entry serves
    requests for this time."""
    limits: EntryLimits
    """Limits on the resources of callers."""


@dataclasses.dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings of an agent."""

    process: ProcessSettings
    """Settings common to all processes."""
    backend_server: ids.BackendServerId
    """Name of the backend server on this VM."""
    backend_url: str
    """Base URL of the backend server."""
    kind: str
    """Kind of the backend server: `engine` or `service`."""
    targets: tuple[ids.ModelName, ...]
    """Models or services that the backend server serves."""
    capacity_limit: int
    """Maximum number of concurrent requests after a warm-up."""
    expected_step_ms: float
    """Expected step time of a healthy engine, in milliseconds."""
    checks_fence: bool
    """Whether the backend server rejects old fencing numbers itself."""
    resumes: bool
    """Whether the backend server can resume a stream after the text already delivered."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Result for settings with mistakes."""

    mistakes: tuple[toml_reader.Mistake, ...]
    """All mistakes."""


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
    """Parse the settings of an entry.

    Args:
        text: TOML text.
        file: Name of the document in messages.

    Returns:
        The settings, or all mistakes in the document.
    """
    reader = toml_reader.TableReader(file)
    table = reader.parse(text)
    if table is None:
        return Rejected(tuple(reader.mistakes))
    reader.reject_unknown_keys(
        table, "", (*_PROCESS_KEYS, "http", "operator_tokens", "entry_ttl_s", "limits")
    )
    limits = reader.table(table, "", "limits")
    parsed = EntrySettings(
        process=_read_process_settings(reader, table),
        http=_parse_address(reader, reader.string(table, "", "http"), "http"),
        operator_tokens=_read_tokens(reader, table, "operator_tokens"),
        entry_ttl_s=reader.number(table, "", "entry_ttl_s", 0.1, 3_600.0, DEFAULT_ENTRY_TTL_S),
        limits=_read_entry_limits(reader, limits),
    )
    return Rejected(tuple(reader.mistakes)) if reader.mistakes else parsed


def parse_agent(text: str, file: str = "settings") -> AgentSettings | Rejected:
    """Parse the settings of an agent.

    Args:
        text: TOML text.
        file: Name of the document in messages.

    Returns:
        The settings, or all mistakes in the document.
    """
    reader = toml_reader.TableReader(file)
    table = reader.parse(text)
    if table is None:
        return Rejected(tuple(reader.mistakes))
    reader.reject_unknown_keys(table, "", (*_PROCESS_KEYS, "backend"))
    backend = reader.table(table, "", "backend")
    backend_keys = ("name", "url", "kind", "targets", "capacity_limit", "expected_step_ms")
    reader.reject_unknown_keys(backend, "backend", (*backend_keys, "checks_fence", "resumes"))
    parsed = AgentSettings(
        process=_read_process_settings(reader, table),
        backend_server=ids.BackendServerId(reader.string(backend, "backend", "name")),
        backend_url=_read_url(reader, backend, "backend", "url"),
        kind=reader.choice(backend, "backend", "kind", ("engine", "service"), "engine"),
        targets=tuple(map(ids.ModelName, reader.strings(backend, "backend", "targets"))),
        capacity_limit=reader.integer(backend, "backend", "capacity_limit", 1, 4_096),
        expected_step_ms=reader.number(backend, "backend", "expected_step_ms", 0.1, 60_000.0, 25.0),
        checks_fence=reader.boolean(backend, "backend", "checks_fence", False),
        resumes=reader.boolean(backend, "backend", "resumes", False),
    )
    if not parsed.targets:
        reader.add_mistake("backend.targets", None, "at least one model or service")
    return Rejected(tuple(reader.mistakes)) if reader.mistakes else parsed


def _read_process_settings(
    reader: toml_reader.TableReader, table: toml_reader.Table
) -> ProcessSettings:
    peers = reader.strings(table, "", "peers")
    return ProcessSettings(
        vm=ids.VmId(reader.string(table, "", "vm")),
        data_centre=ids.DataCentreId(reader.string(table, "", "data_centre")),
        region=ids.RegionId(reader.string(table, "", "region")),
        listen=_parse_address(reader, reader.string(table, "", "listen"), "listen"),
        peers=tuple(_parse_address(reader, peer, "peers") for peer in peers),
        object_api_url=_read_url(reader, table, "", "object_api_url"),
        shared_tokens=_read_tokens(reader, table, "shared_tokens"),
        log_format=reader.choice(table, "", "log_format", LOG_FORMATS, LOG_FORMATS[0]),
    )


def _read_entry_limits(reader: toml_reader.TableReader, table: toml_reader.Table) -> EntryLimits:
    limit_names = (
        "body_bytes",
        "header_bytes",
        "connections",
        "waiting_requests",
        "body_timeout_s",
    )
    reader.reject_unknown_keys(table, "limits", limit_names)
    return EntryLimits(
        body_bytes=reader.integer(table, "limits", "body_bytes", 1, 100_000_000, 1_000_000),
        header_bytes=reader.integer(table, "limits", "header_bytes", 1_024, 1_000_000, 16_384),
        connections=reader.integer(table, "limits", "connections", 1, 2_000, 256),
        waiting_requests=reader.integer(table, "limits", "waiting_requests", 1, 100_000, 1_000),
        body_timeout_s=reader.number(table, "limits", "body_timeout_s", 0.1, 300.0, 10.0),
    )


def _parse_address(reader: toml_reader.TableReader, text: str, key: str) -> Address:
    host, separator, port = text.rpartition(":")
    if separator and host and port.isdigit() and 0 < int(port) <= MAX_PORT:
        return Address(host, int(port))
    if text:
        reader.add_mistake(key, text, "an IP address and a port such as 127.0.0.1:7000")
    return Address("", 0)


def _read_url(
    reader: toml_reader.TableReader, table: toml_reader.Table, prefix: str, key: str
) -> str:
    url = reader.string(table, prefix, key)
    if url and not url.startswith(("http://", "https://")):
        reader.add_mistake(f"{prefix}.{key}" if prefix else key, url, "a URL with http or https")
    return url.rstrip("/")


def _read_tokens(
    reader: toml_reader.TableReader, table: toml_reader.Table, key: str
) -> tuple[str, ...]:
    tokens = reader.strings(table, "", key)
    if not tokens or not all(tokens):
        reader.add_mistake(key, "no usable token", "an array of one or more non-empty strings")
    return tokens
