"""HTTP client of the object API."""

from __future__ import annotations

import base64
import json
import typing
import urllib.parse

import urllib3

from gentianpaddle_core import object_api

CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 2.0
WATCH_TIMEOUT_MARGIN_S = 2.0
"""Read time-out of a watch beyond the wait that it asks for."""
MAX_POOL_CONNECTIONS = 16
"""Number of connections to the object API that the pool keeps for reuse."""

_JsonObject: typing.TypeAlias = dict[str, typing.Any]


class HttpObjectApi:
    """Object API at one HTTP address; implements `object_api.ObjectApi`."""

    def __init__(
        self,
        url: str,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        read_timeout_s: float = READ_TIMEOUT_S,
    ) -> None:
        self._url = url.rstrip("/")
        self._connect_timeout_s = connect_timeout_s
        self._read_timeout_s = read_timeout_s
        # An automatic retry would hide that an answer was lost, and would repeat a write.
        self._pool = urllib3.PoolManager(maxsize=MAX_POOL_CONNECTIONS, retries=False)

    def get(self, key: str) -> object_api.GetResult:
        """Read one object; see `object_api.ObjectApi`."""
        return self._read(key, "/v1/objects", {"key": key}, self._read_timeout_s)

    def put(self, key: str, value: bytes, expected_version: int) -> object_api.PutResult:
        """Write one object if it has the expected version; see `object_api.ObjectApi`."""
        query = {"key": key, "expected": str(expected_version)}
        try:
            status, document = self._call("PUT", "/v1/objects", query, self._read_timeout_s, value)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return object_api.StoreUnavailable(str(error))
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            return object_api.ResponseLost(str(error))
        if status == 200 and "version" in document:
            return object_api.Written(int(document["version"]))
        if status == 409 and "version" in document:
            return object_api.VersionConflict(int(document["version"]))
        if status in (400, 404, 429, 503):
            return object_api.StoreUnavailable(f"status {status}: {document.get('message')}")
        return object_api.ResponseLost(f"status {status}")

    def list_after(self, prefix: str, after_key: str, limit: int) -> object_api.ListResult:
        """Read objects in key order; see `object_api.ObjectApi`."""
        query = {"prefix": prefix, "after": after_key, "limit": str(limit)}
        try:
            status, document = self._call("GET", "/v1/list", query, self._read_timeout_s)
            if status == 200:
                return tuple(_parse_object(item) for item in document["objects"])
        except (urllib3.exceptions.HTTPError, ValueError, KeyError) as error:
            return object_api.StoreUnavailable(str(error))
        return object_api.StoreUnavailable(f"status {status}: {document.get('message')}")

    def watch(self, key: str, known_version: int, wait_s: float) -> object_api.GetResult:
        """Wait for a newer version; see `object_api.ObjectApi`."""
        query = {"key": key, "version": str(known_version), "wait_s": str(wait_s)}
        return self._read(key, "/v1/watch", query, wait_s + WATCH_TIMEOUT_MARGIN_S)

    def _read(
        self, key: str, path: str, query: dict[str, str], timeout_s: float
    ) -> object_api.GetResult:
        try:
            status, document = self._call("GET", path, query, timeout_s)
            if status == 200:
                return _parse_object(document)
        except (urllib3.exceptions.HTTPError, ValueError, KeyError) as error:
            return object_api.StoreUnavailable(str(error))
        if status == 404 and document.get("key") == key:
            return object_api.Absent(key)
        return object_api.StoreUnavailable(f"status {status}: {document.get('message')}")

    def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        read_timeout_s: float,
        body: bytes | None = None,
    ) -> tuple[int, _JsonObject]:
        response = self._pool.request(
            method,
            f"{self._url}{path}?{urllib.parse.urlencode(query)}",
            body=body,
            timeout=urllib3.Timeout(connect=self._connect_timeout_s, read=read_timeout_s),
        )
        document = json.loads(response.data)
        if not isinstance(document, dict):
            raise ValueError("the answer is not a JSON object")
        return response.status, document


def _parse_object(document: _JsonObject) -> object_api.StoredObject:
    value = base64.b64decode(document["value"], validate=True)
    return object_api.StoredObject(str(document["key"]), value, int(document["version"]))
