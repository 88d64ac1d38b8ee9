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
        self._first_event = aioprometheus.Histogram(
            "gentianpaddle_front_first_event_seconds",
            "Time to the first event or the whole answer by route",
            buckets=list(LATENCY_BUCKETS_S),
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
        self._gauges = aioprometheus.Gauge(
            "gentianpaddle_front_state", "Present state by name", registry=self._registry
        )

    def count_request(self, route: str, outcome: str) -> None:
        """Increment the counter of finished requests.

        Args:
            route: Name of the request's route; empty if no route matched.
            outcome: Outcome of the request, for example "served" or "refused".
        """
        self._requests.inc({"route": route, "outcome": outcome})

    def observe_first_event(self, route: str, latency_s: float) -> None:
        """Record the time to the first event of an answer.

        Args:
            route: Name of the request's route.
            latency_s: Time from the first byte of the request to the first event of the answer, or
                to the whole answer of a route that does not stream.
        """
        self._first_event.observe({"route": route}, latency_s)

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

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge.

        Args:
            name: Value of the gauge's "name" label.
            value: Current value.
        """
        self._gauges.set({"name": name}, value)

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
