"""The one client of a process in front of the object API.

It keeps the process within its share of the platform's call rates, settles writes whose answer
was lost, and drops replies older than what the process has already seen.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import threading
import time
from collections.abc import Callable

from gentianpaddle_core import object_api

SETTLE_ROUNDS = 3
"""Reads, each followed by at most one repeat of the write, before a write stays unknown."""
READ_ROUNDS = 2
"""Reads of one call, so that a single stale reply does not fail it."""
KNOWN_KEYS_LIMIT = 4_096
"""Keys whose highest version is remembered; the least recently used is forgotten."""


class CallKind(enum.StrEnum):
    """Kinds of calls with a budget of their own."""

    READ = "read"
    WRITE = "write"


@dataclasses.dataclass(frozen=True, slots=True)
class CallBudget:
    """Calls that one process may make."""

    reads_per_s: float
    """Reads, lists and watches a second."""
    writes_per_s: float
    """Writes a second."""
    burst_s: float = 1.0
    """Unused seconds that may be saved up; at least one call is always saved."""


@dataclasses.dataclass(slots=True)
class _Bucket:
    rate_per_s: float
    capacity: float
    tokens: float
    filled_s: float

    def take(self, now_s: float) -> bool:
        gained = max(0.0, now_s - self.filled_s) * self.rate_per_s
        self.tokens = min(self.capacity, self.tokens + gained)
        self.filled_s = max(self.filled_s, now_s)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class StoreClient:
    """Object API within a call budget; safe to call from any thread.

    It implements `object_api.ObjectApi`. An `AnswerLost` from it is a write that is still unknown
    after settling. Values must be unique to their write, by a writer or batch identifier in them:
    a write is found to have taken effect by comparing the stored value with the written one.

    Attributes:
        calls_by_kind: Count of calls that reached the object API.
        over_budget_by_kind: Count of calls that the budget refused.
        stale_replies: Count of dropped replies.
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
        self._version_by_key: collections.OrderedDict[str, int] = collections.OrderedDict()
        rate_by_kind = {CallKind.READ: budget.reads_per_s, CallKind.WRITE: budget.writes_per_s}
        self._bucket_by_kind: dict[CallKind, _Bucket] = {}
        for kind, rate in rate_by_kind.items():
            capacity = max(1.0, rate * budget.burst_s)
            self._bucket_by_kind[kind] = _Bucket(rate, capacity, capacity, clock())

    def get(self, key: str) -> object_api.GetResult:
        """Read one object, never older than what was seen; see `object_api.ObjectApi`."""
        return self._read_fresh(key, lambda: self._api.get(key))

    def watch(self, key: str, known_version: int, wait_s: float) -> object_api.GetResult:
        """Wait for a newer version; counts as one read; see `object_api.ObjectApi`."""
        return self._read_fresh(key, lambda: self._api.watch(key, known_version, wait_s))

    def list_after(self, prefix: str, after_key: str, limit: int) -> object_api.ListResult:
        """Read objects in key order; counts as one read; see `object_api.ObjectApi`."""
        for _ in range(READ_ROUNDS):
            refusal = self._spend(CallKind.READ)
            if refusal:
                return refusal
            found = self._api.list_after(prefix, after_key, limit)
            if isinstance(found, object_api.StoreUnavailable):
                return found
            if all(self._is_fresh(item.key, item.version) for item in found):
                return found
        return object_api.StoreUnavailable("stale reply")

    def put(self, key: str, value: bytes, expected_version: int) -> object_api.PutResult:
        """Write one object if it has the expected version; see `object_api.ObjectApi`.

        Args:
            key: Full key.
            value: New content, unique to this write.
            expected_version: Version the object must have; `ABSENT_VERSION` to create it.

        Returns:
            The new version, or why the write did not take effect, or `AnswerLost` if that is
            still unknown after settling.
        """
        result = self._put_once(key, value, expected_version)
        for _ in range(SETTLE_ROUNDS):
            if not isinstance(result, object_api.AnswerLost):
                break
            settled = self._settle(key, value, expected_version)
            if settled is not None:
                return settled
        return result

    def _settle(self, key: str, value: bytes, expected_version: int) -> object_api.PutResult | None:
        found = self.get(key)
        if isinstance(found, object_api.StoreUnavailable):
            return None
        if isinstance(found, object_api.Absent) or found.version <= expected_version:
            # The first write may still be on its way. Repeating it is safe because both expect
            # the same version, so at most one takes effect.
            repeated = self._put_once(key, value, expected_version)
            if isinstance(repeated, object_api.Written):
                return repeated
            return None
        if found.value == value:
            return object_api.Written(found.version)
        # Another value stands there now. Ours may have stood there before it.
        return object_api.AnswerLost(f"replaced by version {found.version}")

    def _put_once(self, key: str, value: bytes, expected_version: int) -> object_api.PutResult:
        refusal = self._spend(CallKind.WRITE)
        if refusal:
            return refusal
        result = self._api.put(key, value, expected_version)
        if isinstance(result, object_api.Written):
            self._is_fresh(key, result.version, remember=True)
        return result

    def _read_fresh(
        self, key: str, read: Callable[[], object_api.GetResult]
    ) -> object_api.GetResult:
        for _ in range(READ_ROUNDS):
            refusal = self._spend(CallKind.READ)
            if refusal:
                return refusal
            reply = read()
            if isinstance(reply, object_api.StoreUnavailable):
                return reply
            version = _version(reply)
            if self._is_fresh(key, version, remember=version > object_api.ABSENT_VERSION):
                return reply
        return object_api.StoreUnavailable("stale reply")

    def _is_fresh(self, key: str, version: int, remember: bool = False) -> bool:
        with self._lock:
            known = self._version_by_key.get(key, object_api.ABSENT_VERSION)
            if version < known:
                self.stale_replies += 1
                return False
            if remember:
                self._version_by_key[key] = version
                self._version_by_key.move_to_end(key)
                if len(self._version_by_key) > KNOWN_KEYS_LIMIT:
                    self._version_by_key.popitem(last=False)
            return True

    def _spend(self, kind: CallKind) -> object_api.StoreUnavailable | None:
        with self._lock:
            if self._bucket_by_kind[kind].take(self._clock()):
                self.calls_by_kind[kind] += 1
                return None
            self.over_budget_by_kind[kind] += 1
            return object_api.StoreUnavailable(f"{kind} budget of this process is used up")


def _version(reply: object_api.GetResult) -> int:
    if isinstance(reply, object_api.StoredObject):
        return reply.version
    return object_api.ABSENT_VERSION
