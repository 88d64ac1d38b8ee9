"""Routing configuration of the operator: routes, services, client limits and caller keys."""

from __future__ import annotations

import dataclasses
import enum
import functools
import typing
from collections.abc import Mapping

from gentianpaddle_core import ids

ServiceName = typing.NewType("ServiceName", str)
"""Name of a service, whose backend servers are interchangeable."""


class RouteKind(enum.Enum):
    """Whether the requests of a route may be run again."""

    SAFE = "safe"
    """A request may run more than once."""
    UNSAFE = "unsafe"
    """A request may run at most once."""
    STREAMING = "streaming"
    """The answer is an event stream; a request may run again only if the route is resumable."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertLimits:
    """Limits on the placement of experts in the engine groups of a service."""

    set_count: int
    """Number of layer sets, each with its own experts."""
    experts_per_set: int
    """Number of experts in a set."""
    max_experts_per_rank: int
    """Maximum number of experts of a set that a rank holds."""
    max_new_experts: int
    """Maximum number of experts of a set that a rank copies in one preparation."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCapacity:
    """Published capacity and processing times of an engine."""

    slots: int
    """Number of requests that run concurrently."""
    steps_per_pass: int
    """Number of token steps in a pass that includes decoding requests."""
    step_ms: float
    """Fixed time of a token step in milliseconds."""
    per_sequence_ms: float
    """Time that each decoding request adds to a step, in milliseconds."""
    prefill_tokens_per_s: float
    """Number of prompt tokens processed per second."""
    prefill_chunk: int
    """Maximum number of prompt tokens processed in one step."""
    token_capacity: int
    """Number of tokens that fit into the engine's memory."""
    experts: ExpertLimits | None
    """Limits on expert placement, or None for an engine without experts."""
    usual_answer_tokens: float = 0.0
    """Mean number of tokens of an answer, or 0 if not published."""
    delay_s_by_link: Mapping[tuple[ids.DataCentreId, ids.DataCentreId], float] = dataclasses.field(
        default_factory=dict
    )
    """One-way delay between two data centres in seconds, where one is published."""


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of interchangeable backend servers."""

    name: ServiceName
    connection_limit: int
    """Maximum number of connections that one server accepts from all callers together."""
    cold_rate_per_s: float
    """Number of requests per second that a cold server tolerates; 0 means no limit."""
    engine: EngineCapacity | None
    """Capacity of the service's engines, or None if the servers are not engines."""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Assignment of requests to services by host and path, with their limits."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    resumable: bool
    """Whether a broken stream may be resumed at another server."""
    timeout_s: float
    """Time in seconds after which a request is given up."""
    target_s: float
    """Latency target in seconds, to the first event of a stream or to the complete answer."""
    target_event_gap_s: float | None
    """Target for the longest gap between events in seconds, or None."""
    caller_patience_s: float | None
    """Time in seconds without an event after which callers of a stream leave, or None if they wait
    for their deadline."""
    max_attempts: int
    """Maximum number of attempts of a repeatable request that ran or may have run."""
    public: bool
    """Whether requests are accepted without a key."""
    priority: int
    """Priority among routes; 0 is the highest."""
    weight_by_service: tuple[tuple[ServiceName, float], ...]
    """Services with their weight in the split of requests."""
    home: ids.DataCentreId | None = None
    """Data centre that requests must not leave. The configuration has no word for it yet."""

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (self.kind is RouteKind.STREAMING and self.resumable)

    def service_for(self, draw: float) -> ServiceName:
        """Choose a service by weight.

        Args:
            draw: Random number, 0 inclusive to 1 exclusive.

        Returns:
            Name of the service.
        """
        remaining = draw * sum(weight for _, weight in self.weight_by_service)
        for service, weight in self.weight_by_service:
            remaining -= weight
            if remaining < 0.0:
                return service
        return self.weight_by_service[-1][0]


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the size and duration of callers' requests."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
    """Time in seconds after which an idle caller connection is closed."""


DEFAULT_CLIENT_LIMITS = ClientLimits(16_384, 4_194_304, 3.0, 15.0)
"""Limits until the first configuration is known: the example values of the platform."""


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """Organisation to which a caller key belongs."""

    id: ids.OrganisationId
    priority: int | None
    """Priority that overrides the route's, or None."""


@dataclasses.dataclass(frozen=True)
class RoutingTable:
    """One version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...]
    service_by_name: Mapping[ServiceName, Service]
    limits: ClientLimits
    organisation_by_key: Mapping[str, Organisation]
    keys_required: bool
    """Whether routes that are not public require a key."""

    @functools.cached_property
    def _routes_by_host(self) -> dict[str, list[Route]]:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        return by_host

    @functools.cached_property
    def pace_target_s_by_service(self) -> dict[ServiceName, float]:
        """Shortest target for the gap between events, in seconds, of services that have priorities.

        Services are missing if their routes have the same priority or state no target.
        """
        target_s_by_service: dict[ServiceName, float] = {}
        for route in self.routes:
            if route.target_event_gap_s is None:
                continue
            for service, _ in route.weight_by_service:
                if service in self.prioritised_services:
                    known_s = target_s_by_service.get(service, route.target_event_gap_s)
                    target_s_by_service[service] = min(known_s, route.target_event_gap_s)
        return target_s_by_service

    @functools.cached_property
    def prioritised_services(self) -> frozenset[ServiceName]:
        """Services whose routes differ in priority."""
        priorities_by_service: dict[ServiceName, set[int]] = {}
        for route in self.routes:
            for service, _ in route.weight_by_service:
                priorities_by_service.setdefault(service, set()).add(route.priority)
        return frozenset(
            service for service, priorities in priorities_by_service.items() if len(priorities) > 1
        )

    def match(self, host: str, path: str) -> Route | None:
        """Find the route of a request.

        Args:
            host: Host of the request, without a port.
            path: Path of the request, without the query.

        Returns:
            The route of this host with the longest matching path prefix, or None.
        """
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
