"""Stand-in for a booking service whose calls are not idempotent."""

from __future__ import annotations

import json
import threading
import time
import typing
from collections.abc import Iterable

from gentianpaddle_standins import engine, http_server


class BookingService:
    """Stand-in booking service; `request_starts` has each booking, `delay_s` is the time of one."""

    def __init__(self, delay_s: float = 0.01) -> None:
        self.delay_s = delay_s
        self.request_starts: list[engine.RequestStart] = []
        self._lock = threading.Lock()

    def app(self, environ: dict[str, typing.Any], start_response: typing.Any) -> Iterable[bytes]:
        """Serve one HTTP request as a WSGI application."""
        if environ["PATH_INFO"] == "/health":
            start_response("200 OK", [("Content-Type", "application/json")])
            return [b'{"incarnation": 1, "running": 0, "waiting_tokens": 0, "step_ms": 1}']
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length)
        key = environ.get("HTTP_GENTIANPADDLE_KEY", "")
        with self._lock:
            self.request_starts.append(engine.RequestStart(key, time.monotonic()))
            booking_number = len(self.request_starts)
        time.sleep(self.delay_s)
        answer = {"booking": booking_number, "key": key, "echo": body.decode(errors="replace")}
        start_response("200 OK", [("Content-Type", "application/json")])
        return [json.dumps(answer).encode()]


def new_service_server(service: BookingService) -> http_server.BackgroundServer:
    """Serve a stand-in booking service on loopback.

    Args:
        service: Service to serve.

    Returns:
        The running server.
    """
    return http_server.new_background_server(service.app, threads=32)
