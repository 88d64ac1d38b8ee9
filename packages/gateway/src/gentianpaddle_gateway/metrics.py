"""Prometheus metrics of a process, served in text format at its metrics address."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import aioprometheus
from aioprometheus import renderer

LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0, float("inf"))
"""Upper bounds of the histogram buckets, in seconds."""

ORGANISATION_LABEL_LIMIT = 40
"""Maximum number of organisations with a label of their own, in the order of their first requests;
the others share one. With ten routes and as many outcomes, this gives at most 4,000 lines."""

OTHER_ORGANISATIONS = "other"


class Metrics:
    """Metrics of one process, kept in a registry of their own."""

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self._requests = aioprometheus.Counter(
            "gentianpaddle_front_requests_total",
            "Requests by route and outcome",
            registry=self._registry,
        )
        self._limited_callers = aioprometheus.Counter(
            "gentianpaddle_front_limited_callers_total",
            "Requests refused and connections closed because of a limit for callers, by reason",
            registry=self._registry,
        )
        self._first_event = aioprometheus.Histogram(
            "gentianpaddle_front_first_event_seconds",
            "Time to the first event or the whole answer by route",
            buckets=list(LATENCY_BUCKETS_S),
            registry=self._registry,
        )
        self._remote_requests = aioprometheus.Counter(
            "gentianpaddle_front_data_centre_requests_total",
            "Attempts sent to another data centre by reason",
            registry=self._registry,
        )
        self._remote_bytes = aioprometheus.Counter(
            "gentianpaddle_front_data_centre_bytes_total",
            "Bytes of bodies to and from another data centre by reason",
            registry=self._registry,
        )
        self._admissions = aioprometheus.Counter(
            "gentianpaddle_front_admissions_total",
            "Requests started at a server, refused or displaced, by route and organisation",
            registry=self._registry,
        )
        self._waiting = aioprometheus.Gauge(
            "gentianpaddle_front_waiting_requests",
            "Requests that wait for a server, by route and organisation",
            registry=self._registry,
        )
        self._organisations: set[str] = set()
        self._rejected = aioprometheus.Counter(
            "gentianpaddle_front_rejected_total",
            "Requests that a server rejected without running them, by service",
            registry=self._registry,
        )
        self._demand = aioprometheus.Gauge(
            "gentianpaddle_front_demand",
            "Requests of the last second, or waiting ones if more, by service",
            registry=self._registry,
        )
        self._share = aioprometheus.Gauge(
            "gentianpaddle_front_share",
            "Share of this front in the slots of a service",
            registry=self._registry,
        )
        self._gauges = aioprometheus.Gauge(
            "gentianpaddle_front_state", "Present state by name", registry=self._registry
        )
        self._store_calls = aioprometheus.Counter(
            "gentianpaddle_front_store_calls_total",
            "Calls to the store by kind and purpose",
            registry=self._registry,
        )

    def count_request(self, route: str, outcome: str) -> None:
        """Increment the counter of finished requests.

        Args:
            route: Name of the request's route; empty if no route matched.
            outcome: Outcome of the request, for example "served" or "refused".
        """
        self._requests.inc({"route": route, "outcome": outcome})

    def count_limited_caller(self, action: str, reason: str) -> None:
        """Increment the counter of requests and connections that exceeded a limit for callers.

        Args:
            action: "refused" for a request or a new connection, "closed" for an open connection.
            reason: The limit.
        """
        self._limited_callers.inc({"action": action, "reason": reason})

    def observe_first_event(self, route: str, latency_s: float) -> None:
        """Record the time to the first event of an answer.

        Args:
            route: Name of the request's route.
            latency_s: Time from the first byte of the request to the first event of the answer, or
                to the whole answer of a route that does not stream.
        """
        self._first_event.observe({"route": route}, latency_s)

    def count_data_centre_traffic(self, data_centre: str, reason: str, transferred: int) -> None:
        """Count an attempt at a server of another data centre.

        Args:
            data_centre: Data centre of the server.
            reason: Why the request was sent there.
            transferred: Bytes of the bodies sent and received.
        """
        labels = {"data_centre": data_centre, "reason": reason}
        self._remote_requests.inc(labels)
        self._remote_bytes.add(labels, transferred)

    def count_admission(self, route: str, organisation: str | None, outcome: str) -> None:
        """Increment the counter of decisions of the request queues.

        Args:
            route: Name of the request's route.
            organisation: Organisation of the request, or None.
            outcome: "started", or the reason of a refusal.
        """
        labels = {"route": route, "organisation": self._organisation_label(organisation)}
        self._admissions.inc({**labels, "outcome": outcome})

    @contextlib.contextmanager
    def waiting(self, route: str, organisation: str | None) -> Iterator[None]:
        """Count a request as waiting while the context is active.

        Args:
            route: Name of the request's route.
            organisation: Organisation of the request, or None.
        """
        labels = {"route": route, "organisation": self._organisation_label(organisation)}
        self._waiting.inc(labels)
        try:
            yield
        finally:
            self._waiting.dec(labels)

    def _organisation_label(self, organisation: str | None) -> str:
        if organisation is None or organisation in self._organisations:
            return organisation or ""
        if len(self._organisations) >= ORGANISATION_LABEL_LIMIT:
            return OTHER_ORGANISATIONS
        self._organisations.add(organisation)
        return organisation

    def count_rejected(self, service: str) -> None:
        """Increment the counter of requests that a server rejected.

        Args:
            service: Name of the service.
        """
        self._rejected.inc({"service": service})

    def set_demand(self, service: str, demand: float, share: float) -> None:
        """Set the demand for a service and the share in its slots.

        Args:
            service: Name of the service.
            demand: Demand of this front.
            share: Share of this front, from 0 to 1.
        """
        self._demand.set({"service": service}, demand)
        self._share.set({"service": service}, share)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge.

        Args:
            name: Value of the gauge's "name" label.
            value: Current value.
        """
        self._gauges.set({"name": name}, value)

    def set_store_calls(self, kind: str, purpose: str, count: int) -> None:
        """Set the counter of calls to the store.

        Args:
            kind: Kind of the calls, for example "watch".
            purpose: What the calls are for.
            count: Number of these calls since the start.
        """
        self._store_calls.set({"kind": kind, "purpose": purpose}, count)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        content, _ = renderer.render(self._registry, [])
        return bytes(content)


def new_metrics() -> Metrics:
    """Create the metrics of a process.

    Returns:
        Metrics without any samples.
    """
    return Metrics()
