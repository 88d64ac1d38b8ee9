"""Counters and latencies of a process, served as text on its metrics address."""

from __future__ import annotations

import aioprometheus
from aioprometheus import renderer

LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0, float("inf"))


class Meters:
    """All metrics of one process in a registry of its own."""

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
        self._gauges = aioprometheus.Gauge(
            "gentianpaddle_front_state", "Present state by name", registry=self._registry
        )

    def request(self, route: str, outcome: str) -> None:
        """Count the end of a request.

        Args:
            route: Its route, empty if it has none.
            outcome: How it ended.
        """
        self._requests.inc({"route": route, "outcome": outcome})

    def first_event(self, route: str, latency_s: float) -> None:
        """Count a latency.

        Args:
            route: Route of the request.
            latency_s: Time from its first byte to the first event of the answer.
        """
        self._first_event.observe({"route": route}, latency_s)

    def state(self, name: str, value: float) -> None:
        """Set a figure of the present state.

        Args:
            name: Name of the figure.
            value: Its value.
        """
        self._gauges.set({"name": name}, value)

    def render(self) -> bytes:
        """Render all metrics as text."""
        content, _ = renderer.render(self._registry, [])
        return bytes(content)


def new_meters() -> Meters:
    """Create the metrics of a process.

    Returns:
        Metrics with no values yet.
    """
    return Meters()
