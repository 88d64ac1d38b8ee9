"""Watches one attempt and closes its connection when the server counts as silent."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable

from gentianpaddle_core import ids
from gentianpaddle_core.serving import routes, silence
from gentianpaddle_gateway import http_client

RECHECK_INTERVAL_S = 0.1
"""Interval between checks once the patience for a request is exceeded."""


@dataclasses.dataclass(frozen=True, slots=True)
class Supervision:
    """What the watch of an attempt needs to know about its service."""

    progress: silence.ServiceProgress
    may_move: Callable[[], bool]
    """Returns whether the request may go to another server now, and if so takes a retry from the
    shared budget."""
    answered: Callable[[], None]
    """Called when the server has sent complete events, or the whole plain answer."""


class SilenceWatch:
    """Watch of one attempt.

    Args:
        route: Route of the request.
        prompt_tokens: Size of its prompt; 0 if it has none.
        server: Server to which the request is sent.
        supervision: Progress of the service, and whether the request may be moved.
        connection: Connection to the server.
    """

    def __init__(
        self,
        route: routes.Route,
        prompt_tokens: int,
        server: ids.BackendServerId,
        supervision: Supervision,
        connection: http_client.ClientConnection,
    ) -> None:
        self._route = route
        self._prompt_tokens = prompt_tokens
        self._server = server
        self._supervision = supervision
        self._connection = connection
        self._loop = asyncio.get_running_loop()
        self._last_progress_s = self._loop.time()
        self._started = False
        self._waiting_for_caller = False
        self._timer: asyncio.TimerHandle | None = None
        self.silent = False
        """Whether the connection was closed because the server counts as silent."""

    def start(self) -> None:
        """Start to watch; called when the request is sent."""
        self._last_progress_s = self._loop.time()
        self._schedule(self._patience_s())

    def stop(self) -> None:
        """Stop to watch."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def record_events(self) -> None:
        """Record that complete events, or the whole plain answer, have arrived.

        The silence is not measured again before `caller_has_received`.
        """
        now_s = self._loop.time()
        progress = self._supervision.progress
        progress.record_progress(self._server, now_s)
        self._supervision.answered()
        if self._started:
            progress.record_gap(now_s - self._last_progress_s)
        else:
            progress.record_first_answer(now_s - self._last_progress_s, self._prompt_tokens)
        self._started = True
        self._waiting_for_caller = True

    def caller_has_received(self) -> None:
        """Record that the caller has taken all events, so that the next one is waited for."""
        self._waiting_for_caller = False
        self._last_progress_s = self._loop.time()

    def _patience_s(self) -> float:
        return silence.patience_s(
            self._route, self._supervision.progress, self._started, self._prompt_tokens
        )

    def _schedule(self, delay_s: float) -> None:
        self._timer = self._loop.call_later(max(delay_s, RECHECK_INTERVAL_S), self._check)

    def _check(self) -> None:
        now_s = self._loop.time()
        progress = self._supervision.progress
        elapsed_s = now_s - self._last_progress_s
        if (
            not self._waiting_for_caller
            and silence.is_silent(
                self._route,
                progress,
                self._server,
                self._last_progress_s,
                self._started,
                self._prompt_tokens,
                now_s,
            )
            and self._supervision.may_move()
        ):
            if not self._started:
                progress.record_first_answer(elapsed_s, self._prompt_tokens)
            self.silent = True
            self._connection.close()
            return
        self._schedule(self._patience_s() - elapsed_s)
