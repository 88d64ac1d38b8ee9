"""HTTP client of the command for the operator routes of an entry."""

from __future__ import annotations

import dataclasses
import json
import typing

import urllib3
import urllib3.exceptions

CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """HTTP response of an entry."""

    status: int
    """HTTP status code."""
    payload: typing.Any
    """Decoded JSON, or text when the body is not JSON."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """No entry returned a response."""

    message: str
    """URL and error of the last attempt."""
    may_have_run: bool
    """Whether an entry may have processed the request."""


class EntryClient:
    """HTTP client that tries the given entries in turn.

    A write is not sent to another entry once an entry may have processed it.
    """

    def __init__(self, urls: tuple[str, ...], token: str) -> None:
        self._urls = tuple(url.rstrip("/") for url in urls)
        self._headers = {"Authorization": f"Bearer {token}"}
        self._pool = urllib3.PoolManager(retries=False)

    def get(self, path: str) -> Answer | Unreachable:
        """Send a GET request.

        Args:
            path: Path with its query string.

        Returns:
            Response of the first entry that sends one, or the last failure.
        """
        return self._call("GET", path, b"", {})

    def put(self, path: str, body: bytes, headers: dict[str, str]) -> Answer | Unreachable:
        """Send a PUT request.

        Args:
            path: Path of the route.
            body: Body of the request.
            headers: Additional headers.

        Returns:
            Response of the first entry that accepts a connection, or the failure.
        """
        return self._call("PUT", path, body, headers)

    def post(self, path: str, payload: typing.Any) -> Answer | Unreachable:
        """Send a POST request with a JSON body.

        Args:
            path: Path of the route.
            payload: Value to encode as JSON.

        Returns:
            Response of the first entry that accepts a connection, or the failure.
        """
        return self._call("POST", path, json.dumps(payload).encode(), {})

    def _call(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> Answer | Unreachable:
        last_failure = Unreachable("no entry given", may_have_run=False)
        for url in self._urls:
            try:
                response = self._pool.request(
                    method,
                    url + path,
                    body=body or None,
                    headers={**self._headers, **headers},
                    timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
                )
            except (
                urllib3.exceptions.NewConnectionError,
                urllib3.exceptions.ConnectTimeoutError,
            ) as error:
                last_failure = Unreachable(f"{url}: {error}", may_have_run=False)
                continue
            except urllib3.exceptions.HTTPError as error:
                last_failure = Unreachable(f"{url}: {error}", may_have_run=method != "GET")
                if last_failure.may_have_run:
                    return last_failure
                continue
            return Answer(response.status, _decode_payload(response.data))
        return last_failure


def _decode_payload(data: bytes) -> typing.Any:
    try:
        return json.loads(data)
    except ValueError:
        return data.decode(errors="replace")


def new_client(urls: tuple[str, ...], token: str) -> EntryClient:
    """Create a client.

    Args:
        urls: Base URLs of entries, in the order in which they are tried.
        token: Bearer token of the operator.

    Returns:
        The client; no connection is made yet.
    """
    return EntryClient(urls, token)
