"""Watches one attempt and closes its connection when the server is silent or unreachable."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
from collections.abc import Callable

from gentianpaddle_core import ids
from gentianpaddle_core.serving import request_queue, routes, silence
from gentianpaddle_gateway import http_client

RECHECK_INTERVAL_S = 0.1
"""Interval between checks once the patience for a request is exceeded."""

LEAVE_MARGIN_S = 0.1
"""Time before the caller of a stream leaves at which it is answered if no event has arrived. The
answer takes a few ms to the caller, and more while the front has much to do."""


class LeaveReason(enum.Enum):
    """Why a watch closed the connection to the server."""

    SILENT = "silent"
    UNREACHABLE = "unreachable"
    CALLER_LEAVING = "caller about to leave"
    STOPPING = "the front stops"


@dataclasses.dataclass(frozen=True, slots=True)
class Supervision:
    """What the watch of an attempt needs to know about its service."""

    progress: silence.ServiceProgress
    may_move: Callable[[], bool]
    """Returns whether the request may go to another server now, and if so takes a retry from the
    shared budget."""
    answered: Callable[[], None]
    """Called when the server has sent complete events, or the whole plain answer."""
    may_repeat: Callable[[], bool]
    """Returns whether the request may be repeated now, and if so takes a retry from the shared
    budget."""
    caller_leaves_s: Callable[[], float | None]
    """Returns the monotonic time at which the caller leaves unless an event arrives, or None."""
    begun: Callable[[], bool]
    """Returns whether the caller has received a part of the answer."""
    open_watches: Callable[[], set[SilenceWatch]]
    """Returns the watches of all attempts in progress at the server."""


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
        self._leave_timer: asyncio.TimerHandle | None = None
        self._first_event_timer: asyncio.TimerHandle | None = None
        self._open_watches: set[SilenceWatch] = set()
        self.leave_reason: LeaveReason | None = None
        """Why the connection was closed by the watch, or None if it was not."""

    def start(self) -> None:
        """Start to watch; called when the request is sent."""
        self._last_progress_s = self._loop.time()
        self._open_watches = self._supervision.open_watches()
        self._open_watches.add(self)
        self._schedule(self._patience_s())
        leaves_s = self._supervision.caller_leaves_s()
        if leaves_s is not None and self._route.repeatable and not self._supervision.begun():
            self._first_event_timer = self._loop.call_at(
                leaves_s - LEAVE_MARGIN_S, self._leave, LeaveReason.CALLER_LEAVING
            )

    def stop(self) -> None:
        """Stop to watch."""
        self._open_watches.discard(self)
        self.server_heard()
        for timer in (self._timer, self._first_event_timer):
            if timer is not None:
                timer.cancel()
        self._timer = self._first_event_timer = None

    def server_unreachable(self) -> None:
        """Leave the server, which does not answer any more, if the request may be repeated.

        The request leaves at once if it may go to another server now. Otherwise it waits for a sign
        of life, but not until the caller leaves: a caller that is answered can come back.
        """
        if self.leave_reason is not None or not self._route.repeatable:
            return
        if self._supervision.may_repeat():
            self._leave(LeaveReason.UNREACHABLE)
            return
        leaves_s = self._supervision.caller_leaves_s()
        if leaves_s is not None and self._leave_timer is None:
            self._leave_timer = self._loop.call_at(
                leaves_s - request_queue.FIRST_EVENT_ALLOWANCE_S,
                self._leave,
                LeaveReason.UNREACHABLE,
            )

    def process_stops(self) -> None:
        """Leave the server because this process stops, whether the request may be repeated or not.

        A caller that gets no event any more is better served by another front.
        """
        self._leave(LeaveReason.STOPPING)

    def server_heard(self) -> None:
        """Stay at the server, which has shown a sign of life."""
        if self._leave_timer is not None:
            self._leave_timer.cancel()
            self._leave_timer = None

    def _leave(self, reason: LeaveReason) -> None:
        if self.leave_reason is None:
            self.leave_reason = reason
            self._connection.close()

    def record_events(self) -> None:
        """Record that complete events, or the whole plain answer, have arrived.

        The silence is not measured again before `caller_has_received`.
        """
        now_s = self._loop.time()
        progress = self._supervision.progress
        progress.record_progress(self._server, now_s)
        self._supervision.answered()
        if self._started:
            gap_s = now_s - self._last_progress_s
            progress.record_gap(gap_s)
            progress.pace.record_pause(gap_s, now_s)
        else:
            progress.record_first_answer(now_s - self._last_progress_s, self._prompt_tokens)
        self._started = True
        self._waiting_for_caller = True
        if self._first_event_timer is not None:
            self._first_event_timer.cancel()

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
            self._leave(LeaveReason.SILENT)
            return
        self._schedule(self._patience_s() - elapsed_s)
