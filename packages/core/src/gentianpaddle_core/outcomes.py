"""Tagged outcomes of a request.

A caller sees exactly one of these. `NotRun` is a promise: the request did not run and will not
run. Everything that cannot be proven is `Unknown`.
"""

from __future__ import annotations

import dataclasses
import http
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The request ran and its whole answer is known."""

    body: bytes
    """Answer of the backend server; empty when it was streamed."""
    content_type: str = "application/json"
    """Media type of the answer."""
    http_status: int = http.HTTPStatus.OK
    """Status that the backend server gave."""
    code: str = "done"
    """Machine-readable code."""
    retry_after_s: float | None = None
    """Always None: there is nothing to retry."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request provably did not run."""

    code: str
    """Machine-readable reason."""
    message: str
    """Explanation for a person."""
    retry_after_s: float | None = None
    """Seconds after which a retry can help, None where it cannot."""
    http_status: int = http.HTTPStatus.SERVICE_UNAVAILABLE
    """HTTP status."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; the caller can ask again by its key."""

    code: str
    """Machine-readable reason."""
    message: str
    """Explanation for a person."""
    retry_after_s: float | None = None
    """Seconds after which asking by key can help."""
    http_status: int = http.HTTPStatus.GATEWAY_TIMEOUT
    """HTTP status."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request was rejected before any backend server saw it."""

    code: str
    """Machine-readable reason."""
    message: str
    """Explanation for a person."""
    http_status: int = http.HTTPStatus.BAD_REQUEST
    """HTTP status, 4xx."""
    retry_after_s: float | None = None
    """Seconds after which a retry can help, None where it cannot."""


Outcome: typing.TypeAlias = Done | NotRun | Unknown | Refused
"""What a caller is told about a request."""
