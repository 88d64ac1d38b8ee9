"""Seeded faults in front of an object store."""

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
    """Kinds of calls that are counted apart."""

    GET = "get"
    PUT = "put"
    LIST = "list"
    WATCH = "watch"


@dataclasses.dataclass(frozen=True, slots=True)
class FaultRates:
    """Shares of calls that fail, each from 0 to 1."""

    fail_before: float = 0.0
    """Calls that fail without effect."""
    lose_answer: float = 0.0
    """Writes whose answer is lost after they took effect."""
    stale_reply: float = 0.0
    """Reads that are answered with an earlier version, where one exists."""
    delay: float = 0.0
    """Calls that are delayed by `delay_s`."""
    delay_s: float = 0.0
    """Length of a delay in seconds."""


class FaultyObjectApi:
    """Object API that fails as told; safe to call from any thread.

    Attributes:
        rates: Present shares of faults; may be replaced at any time.
        calls_by_kind: Count of calls by kind, failed ones included.
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
        self._down_until_s = -float("inf")
        self._lock = threading.Lock()

    def stay_down(self, period_s: float = float("inf")) -> None:
        """Fail every call before effect for a period.

        Args:
            period_s: Seconds from now; endless by default, 0 or less ends a period.
        """
        self._down_until_s = self._clock() + period_s

    def come_up(self) -> None:
        """End a period of failing calls."""
        self._down_until_s = -float("inf")

    def get(self, key: str) -> object_api.GetResult:
        """Read one object; see `object_api.ObjectApi`."""
        return self._failure(CallKind.GET) or self._maybe_stale(self._store.get(key))

    def put(self, key: str, value: bytes, expected_version: int) -> object_api.PutResult:
        """Write one object if it has the expected version; see `object_api.ObjectApi`."""
        failure = self._failure(CallKind.PUT)
        if failure:
            return failure
        result = self._store.put(key, value, expected_version)
        if self._drawn(self.rates.lose_answer):
            return object_api.AnswerLost("injected after effect")
        return result

    def list_after(self, prefix: str, after_key: str, limit: int) -> object_api.ListResult:
        """Read objects in key order; see `object_api.ObjectApi`."""
        failure = self._failure(CallKind.LIST)
        if failure:
            return failure
        found = self._store.list_after(prefix, after_key, limit)
        if isinstance(found, object_api.StoreUnavailable):
            return found
        replies = (self._maybe_stale(item) for item in found)
        return tuple(item for item in replies if isinstance(item, object_api.StoredObject))

    def watch(self, key: str, known_version: int, wait_s: float) -> object_api.GetResult:
        """Wait for a newer version; see `object_api.ObjectApi`."""
        failure = self._failure(CallKind.WATCH)
        return failure or self._maybe_stale(self._store.watch(key, known_version, wait_s))

    def _failure(self, kind: CallKind) -> object_api.StoreUnavailable | None:
        with self._lock:
            self.calls_by_kind[kind] += 1
        if self._drawn(self.rates.delay):
            self._sleep(self.rates.delay_s)
        if self._clock() < self._down_until_s:
            return object_api.StoreUnavailable("injected outage")
        if self._drawn(self.rates.fail_before):
            return object_api.StoreUnavailable("injected before effect")
        return None

    def _maybe_stale(self, reply: object_api.GetResult) -> object_api.GetResult:
        if not isinstance(reply, object_api.StoredObject) or not self._drawn(
            self.rates.stale_reply
        ):
            return reply
        earlier: list[object_api.GetResult] = [object_api.Absent(reply.key)]
        if reply.version > 1:
            earlier = [*self._store.earlier_versions(reply.key)]
        with self._lock:
            return self._random.choice(earlier)

    def _drawn(self, share: float) -> bool:
        if share <= 0:
            return False
        with self._lock:
            return self._random.random() < share
