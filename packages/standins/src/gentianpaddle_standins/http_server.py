"""HTTP server that runs a WSGI application on loopback in a background thread."""

from __future__ import annotations

import threading
import typing
from collections.abc import Iterable

from cheroot import wsgi

STOP_TIMEOUT_S = 10.0

WsgiApp: typing.TypeAlias = typing.Callable[[dict[str, typing.Any], typing.Any], Iterable[bytes]]
"""A WSGI application."""


class BackgroundServer:
    """HTTP server that starts on construction and runs in a daemon thread until it is stopped."""

    def __init__(self, app: WsgiApp, port: int, threads: int) -> None:
        self._server = wsgi.Server(
            ("127.0.0.1", port), app, numthreads=threads, max=threads, shutdown_timeout=1
        )
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._thread.start()

    @property
    def port(self) -> int:
        """TCP port that the server listens on."""
        return int(self._server.bind_addr[1])

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return f"http://127.0.0.1:{self.port}"

    def stop(self) -> None:
        """Stop the server and close its connections."""
        self._server.stop()
        self._thread.join(STOP_TIMEOUT_S)


def new_background_server(app: WsgiApp, port: int = 0, threads: int = 16) -> BackgroundServer:
    """Start a server on loopback.

    Args:
        app: Application to serve.
        port: TCP port, 0 for any free port.
        threads: Number of worker threads, that is of requests served at once.

    Returns:
        The running server.
    """
    return BackgroundServer(app, port, threads)
