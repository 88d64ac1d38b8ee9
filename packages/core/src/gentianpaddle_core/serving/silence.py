"""Decides when a backend server that has accepted a request counts as silent.

Load patterns: a server accepts requests and never answers some of them; the VM of a server is cut
off without a reset; a server sends bytes that complete no event. Without this decision, a caller
waits for its whole deadline although another server could serve the request.

Engines of a group run each pass together. If the group is stalled, all its engines are silent, and
a request that is moved to another one only adds load. A stream is therefore given up only if other
servers of the service have made progress while it got nothing. Plain servers are independent of
each other, so the time alone decides.
"""

from __future__ import annotations

import dataclasses

from gentianpaddle_core import ids
from gentianpaddle_core.serving import pace_limit, routes

TICK_S = 0.05
"""Length in seconds of the intervals in which progress is recorded; about one pass of a group."""

MIN_TICKS_OF_OTHERS = 4
"""Number of intervals with progress at other servers that prove that a service is not stalled."""

RETAINED_TICKS = 80
"""Number of intervals for which progress is kept."""

STREAM_FIRST_EVENT_TARGETS = 2.0
"""Minimum patience for the first event of a stream, as a multiple of the route's target."""

PLAIN_ANSWER_TARGETS = 0.5
"""Minimum patience for a plain answer, as a multiple of the route's target. The other half is left
for an answer of another server."""

EVENT_GAP_TARGETS = 3.0
"""Minimum patience between two events, as a multiple of the route's target for the gap."""

DEFAULT_GAP_TARGET_S = 0.15
"""Target for the gap between events, in seconds, of a route that states none."""

FIRST_ANSWER_FACTOR = 3.0
"""Minimum patience for the first event or a plain answer, as a multiple of the usual time."""

EVENT_GAP_FACTOR = 6.0
"""Minimum patience between two events, as a multiple of the usual gap."""

EWMA_WEIGHT = 0.1
"""Weight of the newest value in the moving averages of times."""


@dataclasses.dataclass(slots=True)
class ServiceProgress:
    """Progress of the requests to one service, as seen by one process."""

    first_answer_s: float = 0.0
    """Moving average of the time to the first event or to a plain answer."""
    event_gap_s: float = 0.0
    """Moving average of the time between two events of a stream."""
    prompt_tokens: float = 0.0
    """Moving average of the prompt size."""
    servers_by_tick: dict[int, set[ids.BackendServerId]] = dataclasses.field(default_factory=dict)
    """Servers that made progress, by interval."""
    pace: pace_limit.PaceLimit = dataclasses.field(default_factory=pace_limit.PaceLimit)
    """Limit on the running requests that follows from the gaps between events."""

    def record_progress(self, server: ids.BackendServerId, now_s: float) -> None:
        """Record that a server has sent an event or an answer.

        Args:
            server: The server.
            now_s: Monotonic time in seconds.
        """
        tick = int(now_s / TICK_S)
        known = self.servers_by_tick.get(tick)
        if known is not None:
            known.add(server)
            return
        self.servers_by_tick[tick] = {server}
        while len(self.servers_by_tick) > RETAINED_TICKS:
            del self.servers_by_tick[next(iter(self.servers_by_tick))]

    def record_first_answer(self, elapsed_s: float, prompt_tokens: int) -> None:
        """Record the time to a first event or a plain answer.

        The time of a request that is given up counts too. Otherwise, if all servers were slow, the
        average would not rise and each request would be given up.

        Args:
            elapsed_s: Time since the request was sent, in seconds.
            prompt_tokens: Size of its prompt; 0 if it has none.
        """
        self.prompt_tokens += _ewma_step(self.prompt_tokens, prompt_tokens)
        self.first_answer_s += _ewma_step(self.first_answer_s, elapsed_s)

    def record_gap(self, gap_s: float) -> None:
        """Record the time between two events of a stream.

        Args:
            gap_s: The time in seconds.
        """
        self.event_gap_s += _ewma_step(self.event_gap_s, gap_s)

    def ticks_of_others(self, server: ids.BackendServerId, since_s: float, now_s: float) -> int:
        """Return the number of intervals in which other servers made progress.

        Args:
            server: Server whose progress does not count.
            since_s: Monotonic time in seconds from which progress counts.
            now_s: Monotonic time in seconds. The present interval does not count, as the server
                may still make progress in it.
        """
        first, present = int(since_s / TICK_S) + 1, int(now_s / TICK_S)
        return sum(
            1
            for tick, tick_servers in self.servers_by_tick.items()
            if first <= tick < present and tick_servers - {server}
        )


def _ewma_step(average: float, value: float) -> float:
    return value if average == 0.0 else EWMA_WEIGHT * (value - average)


def patience_s(
    route: routes.Route, progress: ServiceProgress, started: bool, prompt_tokens: int
) -> float:
    """Return the time without progress after which a request may count as silent.

    Engines process large prompts in parts between the steps of other requests, so the time until
    the first event grows with the size of the prompt.

    Args:
        route: Route of the request.
        progress: Progress of the requests to the service.
        started: Whether the first event has arrived.
        prompt_tokens: Size of its prompt; 0 if it has none.

    Returns:
        Time in seconds since the request was sent or the last event arrived.
    """
    if started:
        target_s = route.target_event_gap_s or DEFAULT_GAP_TARGET_S
        return max(EVENT_GAP_TARGETS * target_s, EVENT_GAP_FACTOR * progress.event_gap_s)
    targets = (
        STREAM_FIRST_EVENT_TARGETS
        if route.kind is routes.RouteKind.STREAMING
        else PLAIN_ANSWER_TARGETS
    )
    relative_size = max(
        1.0, prompt_tokens / progress.prompt_tokens if progress.prompt_tokens else 1.0
    )
    usual_s = max(targets * route.target_s, FIRST_ANSWER_FACTOR * progress.first_answer_s)
    return usual_s * relative_size


def is_silent(
    route: routes.Route,
    progress: ServiceProgress,
    server: ids.BackendServerId,
    last_progress_s: float,
    started: bool,
    prompt_tokens: int,
    now_s: float,
) -> bool:
    """Return whether a server counts as silent for a request.

    Args:
        route: Route of the request.
        progress: Progress of the requests to the service.
        server: Server to which the request was sent.
        last_progress_s: Monotonic time in seconds at which the request was sent or its last event
            arrived.
        started: Whether the first event has arrived.
        prompt_tokens: Size of its prompt; 0 if it has none.
        now_s: Monotonic time in seconds.
    """
    if now_s - last_progress_s < patience_s(route, progress, started, prompt_tokens):
        return False
    if route.kind is not routes.RouteKind.STREAMING:
        return True
    return progress.ticks_of_others(server, last_progress_s, now_s) >= MIN_TICKS_OF_OTHERS
