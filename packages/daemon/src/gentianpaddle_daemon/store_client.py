"""Client through which a process makes all its calls to the object API.

It keeps the process within its share of the call rates of the platform, determines the outcome of
writes whose answer was lost, and discards replies older than a version already seen.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import threading
import time
from collections.abc import Callable

from gentianpaddle_core import object_api

WRITE_RESOLUTION_ATTEMPTS = 3
"""Number of attempts to determine the outcome of a write whose answer was lost.

Each attempt is one read and at most one repeat of the write. After the last one the outcome stays
unknown.
"""
READ_ATTEMPTS = 2
"""Number of reads of one call; the second one keeps a single stale reply from failing the call."""
REMEMBERED_KEYS_LIMIT = 4_096
"""Number of keys whose newest version is remembered; the least recently used key is evicted."""


class CallKind(enum.StrEnum):
    """Kind of call; each kind has its own budget."""

    READ = "read"
    WRITE = "write"


@dataclasses.dataclass(frozen=True, slots=True)
class CallBudget:
    """Rate limit of the calls of one process to the object API."""

    reads_per_s: float
    """Number of reads, lists and watches per second."""
    writes_per_s: float
    """Number of writes per second."""
    burst_s: float = 1.0
    """Seconds of unused budget that a burst may use; a burst is at least one call."""


@dataclasses.dataclass(slots=True)
class _TokenBucket:
    rate_per_s: float
    capacity: float
    tokens: float
    refilled_s: float

    def try_take(self, now_s: float) -> bool:
        gained = max(0.0, now_s - self.refilled_s) * self.rate_per_s
        self.tokens = min(self.capacity, self.tokens + gained)
        self.refilled_s = max(self.refilled_s, now_s)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class StoreClient:
    """Object API within a call budget; safe to call from any thread.

    It implements `object_api.ObjectApi`. It returns `ResponseLost` for a write whose outcome could
    not be determined. The value of each write must be unique, for example by an identifier of the
    writer or the batch: the client compares the stored value with the written one to find out
    whether the write took effect.

    Attributes:
        calls_by_kind: Number of calls made to the object API, by kind.
        over_budget_by_kind: Number of calls refused for lack of budget, by kind.
        stale_replies: Number of discarded replies that were older than a version already seen.
    """

    def __init__(
        self,
        api: object_api.ObjectApi,
        budget: CallBudget,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.calls_by_kind: collections.Counter[CallKind] = collections.Counter()
        self.over_budget_by_kind: collections.Counter[CallKind] = collections.Counter()
        self.stale_replies = 0
        self._api = api
        self._clock = clock
        self._lock = threading.Lock()
        self._newest_version_by_key: collections.OrderedDict[str, int] = collections.OrderedDict()
        rate_by_kind = {CallKind.READ: budget.reads_per_s, CallKind.WRITE: budget.writes_per_s}
        self._bucket_by_kind: dict[CallKind, _TokenBucket] = {}
        for kind, rate in rate_by_kind.items():
            capacity = max(1.0, rate * budget.burst_s)
            self._bucket_by_kind[kind] = _TokenBucket(rate, capacity, capacity, clock())

    def get(self, key: str) -> object_api.GetResult:
        """Read one object, never in a version older than one seen; see `object_api.ObjectApi`."""
        return self._read_fresh(key, lambda: self._api.get(key))

    def watch(self, key: str, known_version: int, wait_s: float) -> object_api.GetResult:
        """Wait for a newer version, at the cost of one read; see `object_api.ObjectApi`."""
        return self._read_fresh(key, lambda: self._api.watch(key, known_version, wait_s))

    def list_after(self, prefix: str, after_key: str, limit: int) -> object_api.ListResult:
        """Read objects in key order, at the cost of one read; see `object_api.ObjectApi`."""
        for _ in range(READ_ATTEMPTS):
            refusal = self._charge_budget(CallKind.READ)
            if refusal:
                return refusal
            found = self._api.list_after(prefix, after_key, limit)
            if isinstance(found, object_api.StoreUnavailable):
                return found
            if all(self._check_version(item.key, item.version) for item in found):
                return found
        return object_api.StoreUnavailable("stale reply")

    def put(self, key: str, value: bytes, expected_version: int) -> object_api.PutResult:
        """Write one object if it has the expected version; see `object_api.ObjectApi`.

        Args:
            key: Full key.
            value: New content, unique to this write.
            expected_version: Version the object must have; `ABSENT_VERSION` to create it.

        Returns:
            The new version, or why the write did not take effect, or `ResponseLost` if the outcome
            could not be determined.
        """
        result = self._put_once(key, value, expected_version)
        for _ in range(WRITE_RESOLUTION_ATTEMPTS):
            if not isinstance(result, object_api.ResponseLost):
                break
            resolved = self._resolve_unknown_write(key, value, expected_version)
            if resolved is not None:
                return resolved
        return result

    def _resolve_unknown_write(
        self, key: str, value: bytes, expected_version: int
    ) -> object_api.PutResult | None:
        found = self.get(key)
        if isinstance(found, object_api.StoreUnavailable):
            return None
        if isinstance(found, object_api.Absent) or found.version <= expected_version:
            # The first write may still be in flight. Repeating it is safe because both expect the
            # same version, so at most one of them takes effect.
            repeated = self._put_once(key, value, expected_version)
            if isinstance(repeated, object_api.Written):
                return repeated
            return None
        if found.value == value:
            return object_api.Written(found.version)
        # Another value is stored now; the written one may have been stored before it.
        return object_api.ResponseLost(f"replaced by version {found.version}")

    def _put_once(self, key: str, value: bytes, expected_version: int) -> object_api.PutResult:
        refusal = self._charge_budget(CallKind.WRITE)
        if refusal:
            return refusal
        result = self._api.put(key, value, expected_version)
        if isinstance(result, object_api.Written):
            self._check_version(key, result.version, remember=True)
        return result

    def _read_fresh(
        self, key: str, read: Callable[[], object_api.GetResult]
    ) -> object_api.GetResult:
        for _ in range(READ_ATTEMPTS):
            refusal = self._charge_budget(CallKind.READ)
            if refusal:
                return refusal
            reply = read()
            if isinstance(reply, object_api.StoreUnavailable):
                return reply
            version = _version_of(reply)
            if self._check_version(key, version, remember=version > object_api.ABSENT_VERSION):
                return reply
        return object_api.StoreUnavailable("stale reply")

    def _check_version(self, key: str, version: int, remember: bool = False) -> bool:
        with self._lock:
            newest_version = self._newest_version_by_key.get(key, object_api.ABSENT_VERSION)
            if version < newest_version:
                self.stale_replies += 1
                return False
            if remember:
                self._newest_version_by_key[key] = version
                self._newest_version_by_key.move_to_end(key)
                if len(self._newest_version_by_key) > REMEMBERED_KEYS_LIMIT:
                    self._newest_version_by_key.popitem(last=False)
            return True

    def _charge_budget(self, kind: CallKind) -> object_api.StoreUnavailable | None:
        with self._lock:
            if self._bucket_by_kind[kind].try_take(self._clock()):
                self.calls_by_kind[kind] += 1
                return None
            self.over_budget_by_kind[kind] += 1
            return object_api.StoreUnavailable(f"{kind} budget of this process is used up")


def _version_of(reply: object_api.GetResult) -> int:
    if isinstance(reply, object_api.StoredObject):
        return reply.version
    return object_api.ABSENT_VERSION
