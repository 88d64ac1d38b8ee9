"""Object API that injects faults drawn from a seeded random source."""

from __future__ import annotations

import collections
import dataclasses
import enum
import random
import threading
import time
from collections.abc import Callable

from gentianpaddle_core import object_api
from gentianpaddle_standins import object_store


class CallKind(enum.StrEnum):
    """Kinds of calls, each with its own count."""

    GET = "get"
    PUT = "put"
    LIST = "list"
    WATCH = "watch"


@dataclasses.dataclass(frozen=True, slots=True)
class FaultRates:
    """Shares of calls with an injected fault, each from 0 to 1, and the duration of a delay."""

    failure_before_effect: float = 0.0
    """Share of calls that fail before they take effect."""
    lost_write_response: float = 0.0
    """Share of writes that are applied but whose response is lost."""
    stale_read: float = 0.0
    """Share of reads that return an earlier version, or absence for an object at version 1."""
    delayed_call: float = 0.0
    """Share of calls that are delayed by `delay_s`."""
    delay_s: float = 0.0
    """Duration of an injected delay in seconds."""


class FaultyObjectApi:
    """Object API with injected faults and outages; safe to call from any thread.

    Attributes:
        rates: Present shares of calls with a fault; may be replaced at any time.
        calls_by_kind: Number of calls by kind, including failed calls.
    """

    def __init__(
        self,
        store: object_store.ObjectStore,
        random_source: random.Random,
        rates: FaultRates | None = None,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], object] = time.sleep,
    ) -> None:
        self.rates = rates or FaultRates()
        self.calls_by_kind: collections.Counter[CallKind] = collections.Counter()
        self._store = store
        self._random = random_source
        self._clock = clock
        self._sleep = sleep
        self._outage_until_s = -float("inf")
        self._lock = threading.Lock()

    def start_outage(self, period_s: float = float("inf")) -> None:
        """Start an outage, in which every call fails before it takes effect.

        Args:
            period_s: Duration in seconds, unlimited by default; 0 or less ends an outage.
        """
        self._outage_until_s = self._clock() + period_s

    def end_outage(self) -> None:
        """End an outage."""
        self._outage_until_s = -float("inf")

    def get(self, key: str) -> object_api.GetResult:
        """Read one object; see `object_api.ObjectApi`."""
        return self._injected_failure(CallKind.GET) or self._maybe_stale(self._store.get(key))

    def put(self, key: str, value: bytes, expected_version: int) -> object_api.PutResult:
        """Write one object if it has the expected version; see `object_api.ObjectApi`."""
        failure = self._injected_failure(CallKind.PUT)
        if failure:
            return failure
        result = self._store.put(key, value, expected_version)
        if self._draw_fault(self.rates.lost_write_response):
            return object_api.ResponseLost("injected loss of the response after the effect")
        return result

    def list_after(self, prefix: str, after_key: str, limit: int) -> object_api.ListResult:
        """Read objects in key order; see `object_api.ObjectApi`."""
        failure = self._injected_failure(CallKind.LIST)
        if failure:
            return failure
        found = self._store.list_after(prefix, after_key, limit)
        if isinstance(found, object_api.StoreUnavailable):
            return found
        replies = (self._maybe_stale(item) for item in found)
        return tuple(item for item in replies if isinstance(item, object_api.StoredObject))

    def watch(self, key: str, known_version: int, wait_s: float) -> object_api.GetResult:
        """Wait for a newer version; see `object_api.ObjectApi`."""
        failure = self._injected_failure(CallKind.WATCH)
        return failure or self._maybe_stale(self._store.watch(key, known_version, wait_s))

    def _injected_failure(self, kind: CallKind) -> object_api.StoreUnavailable | None:
        """Count the call, perhaps delay it, and return the injected failure, None for none."""
        with self._lock:
            self.calls_by_kind[kind] += 1
        if self._draw_fault(self.rates.delayed_call):
            self._sleep(self.rates.delay_s)
        if self._clock() < self._outage_until_s:
            return object_api.StoreUnavailable("injected outage")
        if self._draw_fault(self.rates.failure_before_effect):
            return object_api.StoreUnavailable("injected failure before the effect")
        return None

    def _maybe_stale(self, reply: object_api.GetResult) -> object_api.GetResult:
        if not isinstance(reply, object_api.StoredObject) or not self._draw_fault(
            self.rates.stale_read
        ):
            return reply
        earlier: list[object_api.GetResult] = [object_api.Absent(reply.key)]
        if reply.version > 1:
            earlier = [*self._store.earlier_versions(reply.key)]
        with self._lock:
            return self._random.choice(earlier)

    def _draw_fault(self, share: float) -> bool:
        if share <= 0:
            return False
        with self._lock:
            return self._random.random() < share
