"""Routes, services and keys of callers: one version of the operator's configuration."""

from __future__ import annotations

import dataclasses
import enum
import functools
import typing
from collections.abc import Mapping

from gentianpaddle_core import ids

ServiceName = typing.NewType("ServiceName", str)
"""Name of a service whose backend servers can stand in for each other."""


class RouteKind(enum.Enum):
    """What a route's requests allow."""

    SAFE = "safe"
    """A request may run more than once."""
    UNSAFE = "unsafe"
    """A request may run at most once."""
    STREAMING = "streaming"
    """The answer is a series of events; a request may run again only where it may be resumed."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertShape:
    """How the experts of a service's engine groups may be placed."""

    sets: int
    """Sets of layers, each with experts of its own."""
    experts: int
    """Experts in a set."""
    places: int
    """Most experts of a set at one rank."""
    spare: int
    """Most experts of a set that one preparation may bring to a rank."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCost:
    """Published cost of one engine's work."""

    slots: int
    """Requests that run at once."""
    stride: int
    """Token steps of a pass that includes writing requests."""
    step_ms: float
    """Fixed time of a token step."""
    per_sequence_ms: float
    """Time that each writing request adds to a step."""
    prefill_tokens_per_s: float
    """Rate at which prompts are read."""
    prefill_chunk: int
    """Most prompt tokens that one step reads."""
    memory_tokens: int
    """Tokens that fit into the engine's memory."""
    experts: ExpertShape | None
    """Expert placement, or None for an engine without experts."""


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Backend servers that can stand in for each other."""

    name: ServiceName
    connection_limit: int
    """Connections that one server accepts from all callers together."""
    cold_rate_per_s: float
    """Requests a second that a cold server tolerates; 0 for no limit."""
    engine: EngineCost | None
    """Cost of an engine's work, or None for a plain service."""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Which requests go to which service, and what they allow."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    resumable: bool
    """Whether a broken stream may go on at another server."""
    timeout_s: float
    """Longest time that a request is kept waiting."""
    target_s: float
    """Time to the first event, or to the whole answer, that callers expect."""
    event_gap_s: float | None
    """Longest pause between events that callers expect."""
    max_attempts: int
    """Servers to which one request may be sent."""
    public: bool
    """Whether a request needs no key."""
    priority: int
    """Rank among routes, 0 first."""
    weight_by_service: tuple[tuple[ServiceName, float], ...]
    """Services with their share of the requests."""

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (self.kind is RouteKind.STREAMING and self.resumable)

    def service_for(self, draw: float) -> ServiceName:
        """Choose a service by weight.

        Args:
            draw: Random number, 0 inclusive to 1 exclusive.

        Returns:
            The service.
        """
        remaining = draw * sum(weight for _, weight in self.weight_by_service)
        for service, weight in self.weight_by_service:
            remaining -= weight
            if remaining < 0.0:
                return service
        return self.weight_by_service[-1][0]


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a caller may send and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
    """Time after which an idle connection of a caller is closed."""


DEFAULT_CLIENT_LIMITS = ClientLimits(16_384, 4_194_304, 3.0, 15.0)
"""In force until the first configuration is known; the platform's example values."""


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """Whom a key belongs to."""

    id: ids.OrganisationId
    priority: int | None
    """Rank that goes before the route's, or None."""


@dataclasses.dataclass(frozen=True)
class RoutingTable:
    """One version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...]
    service_by_name: Mapping[ServiceName, Service]
    limits: ClientLimits
    organisation_by_key: Mapping[str, Organisation]
    keys_required: bool
    """Whether routes that are not public need a key."""

    @functools.cached_property
    def _routes_by_host(self) -> dict[str, list[Route]]:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        return by_host

    def match(self, host: str, path: str) -> Route | None:
        """Find the route of a request.

        Args:
            host: Host that the caller named, without a port.
            path: Path without the query.

        Returns:
            The route of this host with the longest prefix of the path, or None.
        """
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
