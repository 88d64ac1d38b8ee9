"""Prometheus metrics of a process, kept with `aioprometheus`."""

from __future__ import annotations

import typing
from collections.abc import Mapping

import aioprometheus
from aioprometheus import renderer

FIRST_TOKEN_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1.0, 1.8, 3.0, 6.0, 12.0, float("inf"))
"""Upper bounds of the histogram of times to the first token, in seconds."""
TOKEN_GAP_BUCKETS_S = (0.005, 0.01, 0.02, 0.027, 0.04, 0.08, 0.2, 1.0, float("inf"))
"""Upper bounds of the histogram of mean times between tokens, in seconds."""


class Metrics:
    """Metrics of one process, in their own registry so that one interpreter can hold several."""

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self.requests = self._new_counter(
            "gentianpaddle_requests_total", "Requests by class and outcome"
        )
        self.attempts = self._new_counter(
            "gentianpaddle_attempts_total", "Attempts by result at the agent"
        )
        self.store_calls = self._new_counter(
            "gentianpaddle_store_calls_total", "Calls of the object API by kind"
        )
        self.control_bytes = self._new_counter(
            "gentianpaddle_control_bytes_total", "Control-plane bytes sent by message"
        )
        self.first_token = aioprometheus.Histogram(
            "gentianpaddle_first_token_seconds",
            "Time to the first token by class",
            buckets=list(FIRST_TOKEN_BUCKETS_S),
            registry=self._registry,
        )
        self.token_gap = aioprometheus.Histogram(
            "gentianpaddle_token_gap_seconds",
            "Mean time between tokens of a request by class",
            buckets=list(TOKEN_GAP_BUCKETS_S),
            registry=self._registry,
        )

    def _new_counter(self, name: str, description: str) -> typing.Any:
        return aioprometheus.Counter(name, description, registry=self._registry)

    def set_store_calls(self, calls_by_kind: Mapping[str, int]) -> None:
        """Set the counters of calls to the object API.

        Args:
            calls_by_kind: Number of calls since the process started, by kind of call.
        """
        for kind, calls in calls_by_kind.items():
            self.store_calls.set({"kind": str(kind)}, calls)

    def render(self) -> tuple[bytes, str]:
        """Render all metrics in the text format of Prometheus.

        Returns:
            The encoded text and its content type.
        """
        content, headers = renderer.render(self._registry, [])
        return content, headers["Content-Type"]


def new_metrics() -> Metrics:
    """Create the metrics of a process.

    Returns:
        Metrics without values.
    """
    return Metrics()
