"""Which requests a front takes during its planned stop."""

from __future__ import annotations

import pytest

from gentianpaddle_core.serving import planned_stop, request_queue

SIGNAL_S = 100.0


@pytest.mark.parametrize(
    ("grace_s", "read_s", "deadline_s", "taken"),
    [
        # Callers need time to learn of the stop; most streams end long before their deadline.
        (8.0, 0.0, 8.05, True),
        (8.0, 2.7, 8.05, True),
        # Sent 3 s after the signal, a stream that lasts until its deadline would be cut.
        (8.0, 3.0, 8.05, False),
        (8.0, 6.9, 8.05, False),
        # A booking ends before its deadline, so it is served or fails in time.
        (8.0, 3.0, 0.6, True),
        (8.0, 6.4, 0.6, True),
        (8.0, 6.6, 0.6, False),
        (8.0, 7.2, 0.01, False),
        # A platform that waits only 2 s.
        (2.0, 0.5, 8.05, True),
        (2.0, 0.6, 8.05, False),
        (2.0, 0.6, 0.3, True),
        (0.0, 0.0, 0.01, False),
    ],
)
def test_late_requests_that_would_be_cut_are_not_taken(
    grace_s: float, read_s: float, deadline_s: float, taken: bool
) -> None:
    """Guards against a stopping front that takes long requests and cuts them when it ends."""
    stop = planned_stop.new_planned_stop(SIGNAL_S, grace_s)
    now_s = SIGNAL_S + read_s
    assert stop.takes(now_s, now_s + deadline_s) == taken


@pytest.mark.parametrize(("queued_until_s", "expired"), [(10.0, True), (3.0, False), (2.9, False)])
def test_queued_requests_are_given_up_before_the_work_ends(
    queued_until_s: float, expired: bool
) -> None:
    """Guards against requests that wait in the queue of a front until its process ends."""
    queue: request_queue.RequestQueue[str] = request_queue.RequestQueue()
    queue.add(request_queue.QueuedRequest("r-1", 0.0, 0.4, queued_until_s))
    queue.limit_end(5.0)
    last_start_s = 5.0 - request_queue.MIN_REMAINING_RATIO * request_queue.INITIAL_DURATION_S
    assert not queue.pop_expired(min(queued_until_s, last_start_s) - 0.01)
    assert bool(queue.pop_expired(last_start_s)) or not expired
    assert len(queue) == 0
