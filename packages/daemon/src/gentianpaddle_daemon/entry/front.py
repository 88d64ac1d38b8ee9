"""HTTP front of an entry: a cheroot server for callers, owners and operators.

Each connection occupies one thread while its request is served.
"""

from __future__ import annotations

import http
import math
import threading
import typing
from collections.abc import Iterable

import urllib3.util
from cheroot import errors, wsgi

from gentianpaddle_core import declarations, ids, outcomes, settings
from gentianpaddle_daemon.entry import request, responses, sink

MIN_THREAD_COUNT = 8
STOP_TIMEOUT_S = 2
MAX_BODY_READ_FACTOR = 4
"""Multiple of the body limit up to which the server library accepts a body.

The front refuses a body between the limit and this multiple with a JSON answer. The HTTP library
refuses a larger one without reading it."""

Environ: typing.TypeAlias = dict[str, typing.Any]
"""A WSGI environment."""


class Backend(typing.Protocol):
    """Interface of the entry to its front; the methods are called from serving threads."""

    def declaration(self) -> declarations.Declaration | None:
        """Return the declaration in force, None if there is none yet."""

    def not_accepting(self) -> outcomes.NotRun | None:
        """Return why new requests are refused, None if they are accepted."""

    def submit(self, caller_request: request.CallerRequest, answer_sink: sink.AnswerSink) -> None:
        """Start serving a request."""

    def now_s(self) -> float:
        """Return the current monotonic time."""

    def handle(self, method: str, path: str, query: str, environ: Environ) -> responses.Response:
        """Answer a request that is not for a model or service."""


class Front:
    """The HTTP server of an entry."""

    def __init__(
        self, address: settings.Address, limits: settings.EntryLimits, backend: Backend
    ) -> None:
        self._backend = backend
        self._limits = limits
        self._server = wsgi.Server(
            (address.host, address.port),
            self._app,
            numthreads=MIN_THREAD_COUNT,
            max=limits.connections,
            request_queue_size=limits.connections,
            timeout=math.ceil(limits.body_timeout_s),
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        self._server.max_request_header_size = limits.header_bytes
        self._server.max_request_body_size = MAX_BODY_READ_FACTOR * limits.body_bytes
        self._thread: threading.Thread | None = None

    @property
    def port(self) -> int:
        """TCP port that the server listens on; valid after `start`."""
        return int(self._server.bind_addr[1])

    def start(self) -> None:
        """Bind the address and serve in a background thread."""
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Close the server and its connections."""
        self._server.stop()
        if self._thread is not None:
            self._thread.join(STOP_TIMEOUT_S)

    def _app(self, environ: Environ, start_response: responses.StartResponse) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == request.CHAT_PATH or path.startswith(request.SERVICES_PREFIX):
            return self._serve(environ, start_response)
        response = self._backend.handle(
            environ["REQUEST_METHOD"], path, environ.get("QUERY_STRING", ""), environ
        )
        return response.send(start_response)

    def _serve(self, environ: Environ, start_response: responses.StartResponse) -> Iterable[bytes]:
        refusal = self._backend.not_accepting()
        declaration = self._backend.declaration()
        if refusal is None and declaration is None:
            refusal = outcomes.NotRun("not_ready", "no configuration is in force yet", 1.0)
        if refusal is not None or declaration is None:
            assert refusal is not None
            return responses.outcome_response("", refusal).send(start_response)
        body = read_body(environ, self._limits.body_bytes)
        if isinstance(body, outcomes.Refused):
            return responses.outcome_response("", body).send(start_response)
        caller_request = request.parse(
            _raw_request(environ, body), declaration, self._backend.now_s()
        )
        if isinstance(caller_request, outcomes.Refused):
            return responses.outcome_response("", caller_request).send(start_response)
        answer_sink = sink.new_sink()
        self._backend.submit(caller_request, answer_sink)
        serve = responses.serve_stream if caller_request.streamed else responses.serve_buffered
        return serve(caller_request, answer_sink, start_response)


def organisation_of(
    environ: Environ, declaration: declarations.Declaration
) -> ids.OrganisationId | None:
    """Return the organisation that sent a request, None for an unknown token.

    Args:
        environ: WSGI environment.
        declaration: Declaration in force.
    """
    return request.organisation_of(environ.get("HTTP_AUTHORIZATION", ""), declaration)


def read_body(environ: Environ, limit_bytes: int) -> bytes | outcomes.Refused:
    """Read the body of a request within its limit.

    Args:
        environ: WSGI environment.
        limit_bytes: Largest permitted size of the body.

    Returns:
        The body, or why it is refused.
    """
    length = environ.get("CONTENT_LENGTH") or "0"
    too_large = outcomes.Refused(
        "body_too_large",
        f"the body may have at most {limit_bytes} bytes",
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    )
    if not str(length).isdigit():
        return outcomes.Refused("bad_length", "Content-Length must be a number")
    if int(length) > limit_bytes:
        return too_large
    chunked = "chunked" in str(environ.get("HTTP_TRANSFER_ENCODING", "")).lower()
    try:
        body = environ["wsgi.input"].read(limit_bytes + 1 if chunked else int(length))
    except errors.MaxSizeExceeded:
        return too_large
    except (TimeoutError, OSError, ValueError):
        # Otherwise cheroot would wait for the rest of the body again before it sends the answer.
        environ["wsgi.input"].remaining = 0
        return outcomes.Refused(
            "incomplete_body", "the body did not arrive completely", http.HTTPStatus.REQUEST_TIMEOUT
        )
    if len(body) > limit_bytes:
        return too_large
    if not chunked and len(body) < int(length):
        return outcomes.Refused("incomplete_body", "the body ended early")
    return bytes(body)


def _raw_request(environ: Environ, body: bytes) -> request.RawRequest:
    return request.RawRequest(
        method=environ["REQUEST_METHOD"],
        path=_request_path(environ),
        authorization=environ.get("HTTP_AUTHORIZATION", ""),
        class_name=environ.get("HTTP_GENTIANPADDLE_CLASS", ""),
        idempotency_key=environ.get("HTTP_IDEMPOTENCY_KEY", ""),
        content_type=environ.get("CONTENT_TYPE", ""),
        body=body,
    )


def _request_path(environ: Environ) -> str:
    # PATH_INFO is percent-decoded, which loses the quoting of reserved characters.
    uri = str(environ.get("REQUEST_URI", ""))
    parsed = urllib3.util.parse_url(uri if uri.startswith("/") else environ["PATH_INFO"])
    return parsed.request_uri


def new_front(address: settings.Address, limits: settings.EntryLimits, backend: Backend) -> Front:
    """Create the HTTP front.

    Args:
        address: Address to listen on.
        limits: Limits on connections and requests.
        backend: Interface to the entry.

    Returns:
        The front, not started.
    """
    return Front(address, limits, backend)
