"""Prometheus metrics of a process, served in text format at its metrics address."""

from __future__ import annotations

import aioprometheus
from aioprometheus import renderer

LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0, float("inf"))
"""Upper bounds of the histogram buckets, in seconds."""


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
