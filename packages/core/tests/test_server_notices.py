"""Which servers may get requests after what they said of themselves."""

from __future__ import annotations

import math

import pytest

from gentianpaddle_core import ids
from gentianpaddle_core.serving import server_limits, server_notices

SERVER, OTHER = ids.BackendServerId("i-1"), ids.BackendServerId("i-2")


def new_board() -> server_notices.NoticeBoard:
    return server_notices.NoticeBoard(server_limits.ServerLimits(ids.VmId("f"), lambda _: ()))


@pytest.mark.parametrize(
    ("waits", "now_s", "allowed"),
    [
        ([], 0.0, True),
        ([(0.0, 2.0)], 1.9, False),
        ([(0.0, 2.0)], 2.0, True),
        ([(0.0, 0.5)], 0.4, False),
        # A shorter pause that is told later does not end a longer one.
        ([(0.0, 5.0), (1.0, 0.5)], 4.9, False),
        ([(0.0, 1e9)], server_notices.MAX_WAIT_S - 0.1, False),
        ([(0.0, 1e9)], server_notices.MAX_WAIT_S, True),
        ([(0.0, 0.0)], 0.0, True),
    ],
)
def test_server_that_wants_a_pause(
    waits: list[tuple[float, float]], now_s: float, allowed: bool
) -> None:
    """Guards against requests to a server that has just said that it wants none."""
    board = new_board()
    for told_s, wait_s in waits:
        board.record_wait(SERVER, wait_s, told_s)
    assert board.allows(SERVER, now_s) is allowed
    assert board.allows(OTHER, now_s)


def test_leaving_server_gets_nothing_until_the_directory_has_lost_it() -> None:
    """Guards against an old listing that brings a leaving server back."""
    board = new_board()
    assert board.record_leaving(SERVER)
    assert not board.record_leaving(SERVER)
    board.remove_unlisted({SERVER, OTHER})
    assert not board.allows(SERVER, math.inf)
    board.remove_unlisted({OTHER})
    assert board.allows(SERVER, 0.0)


@pytest.mark.parametrize(
    ("servers", "pause_s"),
    [((SERVER,), 2.0), ((SERVER, OTHER), 0.0), ((), 0.0)],
)
def test_pause_of_a_service(servers: tuple[ids.BackendServerId, ...], pause_s: float) -> None:
    """Guards against callers that wait although all servers want no requests for longer."""
    board = new_board()
    board.record_wait(SERVER, 3.0, 0.0)
    assert board.pause_s(servers, 1.0) == pause_s
