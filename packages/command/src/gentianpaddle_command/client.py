"""Calls of the command to the operator routes of an entry."""

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
    """Answer of an entry."""

    status: int
    """HTTP status."""
    payload: typing.Any
    """Decoded JSON, or text when the answer is not JSON."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """No entry answered."""

    message: str
    """What went wrong with the last one."""
    may_have_run: bool
    """Whether an entry may have taken the call."""


class EntryClient:
    """Client that tries each given entry in turn."""

    def __init__(self, urls: tuple[str, ...], token: str) -> None:
        self._urls = tuple(url.rstrip("/") for url in urls)
        self._headers = {"Authorization": f"Bearer {token}"}
        self._pool = urllib3.PoolManager(retries=False)

    def get(self, path: str) -> Answer | Unreachable:
        """Read from an entry.

        Args:
            path: Path with its query.

        Returns:
            The answer of the first entry that gives one.
        """
        return self._call("GET", path, b"", {})

    def put(self, path: str, body: bytes, headers: dict[str, str]) -> Answer | Unreachable:
        """Write through an entry.

        Args:
            path: Path.
            body: Body.
            headers: Further headers.

        Returns:
            The answer of the first entry that could be reached.
        """
        return self._call("PUT", path, body, headers)

    def post(self, path: str, payload: typing.Any) -> Answer | Unreachable:
        """Send JSON to an entry.

        Args:
            path: Path.
            payload: Value to encode.

        Returns:
            The answer of the first entry that could be reached.
        """
        return self._call("POST", path, json.dumps(payload).encode(), {})

    def _call(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> Answer | Unreachable:
        last = Unreachable("no entry given", may_have_run=False)
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
                last = Unreachable(f"{url}: {error}", may_have_run=False)
                continue
            except urllib3.exceptions.HTTPError as error:
                last = Unreachable(f"{url}: {error}", may_have_run=method != "GET")
                if last.may_have_run:
                    return last
                continue
            return Answer(response.status, _decoded(response.data))
        return last


def _decoded(data: bytes) -> typing.Any:
    try:
        return json.loads(data)
    except ValueError:
        return data.decode(errors="replace")


def new_client(urls: tuple[str, ...], token: str) -> EntryClient:
    """Create a client.

    Args:
        urls: Base URLs of entries.
        token: Token of the operator.

    Returns:
        The client; no connection is made yet.
    """
    return EntryClient(urls, token)
