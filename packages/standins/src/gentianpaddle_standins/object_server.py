"""The object API over HTTP and JSON on a loopback address.

`GET /v1/objects?key=`, `PUT /v1/objects?key=&expected=`, `GET /v1/list?prefix=&after=&limit=` and
`GET /v1/watch?key=&version=&wait_s=`. Values are encoded in base64. A version conflict is 409, an
absent object 404, an unavailable store 503. A lost answer closes the connection without a response.
"""

from __future__ import annotations

import base64
import errno
import json
import threading
import typing
import urllib.parse
from collections.abc import Callable, Iterable

import cheroot.wsgi

from gentianpaddle_core import object_api

LOOPBACK = "127.0.0.1"
MAX_WATCH_WAIT_S = 30.0
"""Longest time that a watch may wait."""

WORKER_THREADS = 32

StartResponse: typing.TypeAlias = Callable[[str, list[tuple[str, str]]], object]
Query: typing.TypeAlias = dict[str, str]


class ObjectServer:
    """HTTP server for any implementation of the object API.

    Attributes:
        port: TCP port on the loopback address.
    """

    def __init__(self, api: object_api.ObjectApi, port: int = 0) -> None:
        self._api = api
        self._server = cheroot.wsgi.Server(
            (LOOPBACK, port), self._application, numthreads=WORKER_THREADS
        )
        self._server.prepare()
        self.port: int = self._server.bind_addr[1]
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    def start(self) -> None:
        """Start to serve in a background thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop serving and close the port."""
        self._server.stop()
        self._thread.join()

    def _application(
        self, environ: dict[str, typing.Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        query = dict(urllib.parse.parse_qsl(environ["QUERY_STRING"], keep_blank_values=True))
        status, document = self._handle_request(environ, query)
        if status == 0:
            # Cheroot closes the connection without a response and logs nothing for this error.
            raise ConnectionResetError(errno.ECONNRESET, "injected loss of a response")
        body = json.dumps(document).encode()
        start_response(
            f"{status} {_REASON_BY_STATUS[status]}",
            [("Content-Type", "application/json"), ("Content-Length", str(len(body)))],
        )
        return [body]

    def _handle_request(self, environ: dict[str, typing.Any], query: Query) -> tuple[int, object]:
        try:
            route = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
            if route == ("GET", "/v1/objects"):
                return _read_response(self._api.get(query["key"]))
            if route == ("PUT", "/v1/objects"):
                value = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
                return _write_response(self._api.put(query["key"], value, int(query["expected"])))
            if route == ("GET", "/v1/list"):
                return _list_response(
                    self._api.list_after(query["prefix"], query["after"], int(query["limit"]))
                )
            if route == ("GET", "/v1/watch"):
                wait_s = min(float(query["wait_s"]), MAX_WATCH_WAIT_S)
                return _read_response(self._api.watch(query["key"], int(query["version"]), wait_s))
        except (KeyError, ValueError) as error:
            return 400, {"message": str(error)}
        return 404, {"message": "no such route"}


_REASON_BY_STATUS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    503: "Service Unavailable",
}


def _document(stored: object_api.StoredObject) -> dict[str, object]:
    value = base64.b64encode(stored.value).decode()
    return {"key": stored.key, "value": value, "version": stored.version}


def _read_response(result: object_api.GetResult) -> tuple[int, object]:
    if isinstance(result, object_api.StoredObject):
        return 200, _document(result)
    if isinstance(result, object_api.Absent):
        return 404, {"key": result.key}
    return 503, {"message": result.message}


def _write_response(result: object_api.PutResult) -> tuple[int, object]:
    if isinstance(result, object_api.Written):
        return 200, {"version": result.version}
    if isinstance(result, object_api.VersionConflict):
        return 409, {"version": result.current_version}
    if isinstance(result, object_api.ResponseLost):
        return 0, None
    return 503, {"message": result.message}


def _list_response(result: object_api.ListResult) -> tuple[int, object]:
    if isinstance(result, object_api.StoreUnavailable):
        return 503, {"message": result.message}
    return 200, {"objects": [_document(item) for item in result]}
