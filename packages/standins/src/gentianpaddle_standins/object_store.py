"""In-memory object API with versions, conditional updates, range reads and watches."""

from __future__ import annotations

import bisect
import collections
import threading
import time

from gentianpaddle_core import object_api

HISTORY_LENGTH = 4
"""Number of earlier versions kept for each key; `FaultyObjectApi` draws stale replies from them."""


class ObjectStore:
    """Thread-safe object API; a watch blocks the calling thread."""

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._object_by_key: dict[str, object_api.StoredObject] = {}
        self._keys: list[str] = []
        self._history_by_key: dict[str, collections.deque[object_api.StoredObject]] = {}

    def get(self, key: str) -> object_api.GetResult:
        """Read one object; see `object_api.ObjectApi`."""
        with self._condition:
            return self._read(key)

    def put(self, key: str, value: bytes, expected_version: int) -> object_api.PutResult:
        """Write one object if it has the expected version; see `object_api.ObjectApi`.

        Raises:
            ValueError: The value exceeds the size limit of the object API.
        """
        if len(value) > object_api.VALUE_LIMIT_BYTES:
            raise ValueError(f"value of {key} has {len(value)} bytes, which is too large")
        with self._condition:
            current = self._object_by_key.get(key)
            version = current.version if current else object_api.ABSENT_VERSION
            if version != expected_version:
                return object_api.VersionConflict(version)
            if current is None:
                bisect.insort(self._keys, key)
                self._history_by_key[key] = collections.deque(maxlen=HISTORY_LENGTH)
            else:
                self._history_by_key[key].append(current)
            self._object_by_key[key] = object_api.StoredObject(key, value, version + 1)
            self._condition.notify_all()
            return object_api.Written(version + 1)

    def list_after(self, prefix: str, after_key: str, limit: int) -> object_api.ListResult:
        """Read objects in key order; see `object_api.ObjectApi`."""
        with self._condition:
            start = max(
                bisect.bisect_left(self._keys, prefix), bisect.bisect_right(self._keys, after_key)
            )
            found: list[object_api.StoredObject] = []
            for key in self._keys[start : start + limit]:
                if not key.startswith(prefix):
                    break
                found.append(self._object_by_key[key])
            return tuple(found)

    def watch(self, key: str, known_version: int, wait_s: float) -> object_api.GetResult:
        """Wait until an object has a version above the known one; see `object_api.ObjectApi`."""
        deadline_s = time.monotonic() + wait_s
        with self._condition:
            while True:
                current = self._read(key)
                remaining_s = deadline_s - time.monotonic()
                is_newer = (
                    isinstance(current, object_api.StoredObject) and current.version > known_version
                )
                if is_newer or remaining_s <= 0:
                    return current
                self._condition.wait(remaining_s)

    def earlier_versions(self, key: str) -> tuple[object_api.StoredObject, ...]:
        """Return the retained earlier versions of an object, oldest first.

        Args:
            key: Full key.

        Returns:
            At most `HISTORY_LENGTH` objects.
        """
        with self._condition:
            return tuple(self._history_by_key.get(key, ()))

    def _read(self, key: str) -> object_api.GetResult:
        return self._object_by_key.get(key) or object_api.Absent(key)


class NonBlockingObjectStore(ObjectStore):
    """Object API for tests in virtual time: a watch returns the present object without waiting."""

    def watch(self, key: str, known_version: int, wait_s: float) -> object_api.GetResult:
        """Read one object without waiting; see `object_api.ObjectApi`."""
        return self.get(key)
