"""Outcomes of a request.

A caller receives exactly one of these. `NotRun` guarantees that the request did not run and will
not run. Any outcome that cannot be proven is `Unknown`.
"""

from __future__ import annotations

import dataclasses
import http
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The request ran and its complete answer is known."""

    body: bytes
    """Answer of the backend server; empty if it was streamed."""
    content_type: str = "application/json"
    """Media type of the answer."""
    http_status: int = http.HTTPStatus.OK
    """HTTP status returned by the backend server."""
    code: str = "done"
    """Machine-readable outcome code."""
    retry_after_s: float | None = None
    """Always None, because a retry is not needed."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request provably did not run."""

    code: str
    """Machine-readable reason."""
    message: str
    """Human-readable explanation."""
    retry_after_s: float | None = None
    """Seconds after which a retry can succeed, None if it cannot."""
    http_status: int = http.HTTPStatus.SERVICE_UNAVAILABLE
    """HTTP status returned to the caller."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; the caller can query it by its idempotency key."""

    code: str
    """Machine-readable reason."""
    message: str
    """Human-readable explanation."""
    retry_after_s: float | None = None
    """Seconds after which a query by key may have a result."""
    http_status: int = http.HTTPStatus.GATEWAY_TIMEOUT
    """HTTP status returned to the caller."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request was rejected before any backend server saw it."""

    code: str
    """Machine-readable reason."""
    message: str
    """Human-readable explanation."""
    http_status: int = http.HTTPStatus.BAD_REQUEST
    """HTTP status returned to the caller, in the 4xx range."""
    retry_after_s: float | None = None
    """Seconds after which a retry can succeed, None if it cannot."""


Outcome: typing.TypeAlias = Done | NotRun | Unknown | Refused
"""Outcome of a request as returned to the caller."""
