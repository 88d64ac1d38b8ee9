"""Guards against a roll-out that takes more than one backend server of a model out of service."""

from __future__ import annotations

import pytest

from gentianpaddle_core import ids, version_rollout


def server(name: str, version: str | None, takes_work: bool = True, **options: int):
    return version_rollout.Server(ids.VmId(name), version, takes_work, **options)


@pytest.mark.parametrize(
    ("servers", "expected"),
    [
        ((), "in_force"),
        ((server("a", "2"), server("b", "2", False)), "in_force"),
        ((server("a", "1"), server("b", "1")), ("a", "version_differs")),
        ((server("a", "2"), server("b", "1")), ("b", "version_differs")),
        ((server("a", "2", False), server("b", "1")), "server_down"),
        ((server("a", None, False), server("b", "1")), "server_down"),
        ((server("a", "1"), server("b", "1", False)), ("b", "takes_no_work")),
        ((server("a", "1", False), server("b", "1", False)), "several_servers_down"),
        (
            (server("a", "2", False, out_of_service=True), server("b", "1")),
            ("b", "version_differs"),
        ),
        ((server("a", "1", refusals=3), server("b", "1")), ("b", "version_differs")),
        ((server("a", "1", refusals=3), server("b", "2")), "orders_refused"),
    ],
)
def test_next_step(
    servers: tuple[version_rollout.Server, ...], expected: str | tuple[str, str]
) -> None:
    """Guards against an order while another server is down, and against an endless retry."""
    step = version_rollout.next_step("2", servers)
    if isinstance(step, version_rollout.Wait):
        assert step.reason == expected
    else:
        assert (step.agent, step.reason) == expected
