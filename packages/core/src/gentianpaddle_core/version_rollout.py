"""Next step of a change of the version of a model: one backend server at a time."""

from __future__ import annotations

import dataclasses
import typing

from gentianpaddle_core import ids

REFUSALS_LIMIT = 3
"""Refused orders of one revision after which a backend server is left alone."""


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """Backend server of a model as its agent reported it."""

    agent: ids.VmId
    """Agent."""
    version: str | None
    """Version that runs, None when it could not be read."""
    takes_work: bool
    """Whether the agent admits work."""
    out: bool = False
    """Whether operators took it out of service, so that its loss costs nothing."""
    refusals: int = 0
    """Orders of this revision that it refused."""


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Order one backend server to load the declared version."""

    agent: ids.VmId
    """Agent to order."""
    present: str
    """Version that it runs."""
    reason: str
    """Why this one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Order nothing now."""

    reason: str
    """Why not."""


Step: typing.TypeAlias = Order | Wait
"""What to do next."""


def next_step(wanted: str, servers: tuple[Server, ...]) -> Step:
    """Choose the backend server that changes its version next.

    Args:
        wanted: Declared version.
        servers: All linked backend servers of the model, in a stable order.

    Returns:
        An order only if no other server in service is without work at the time.

    >>> next_step("2", (Server(ids.VmId("a"), "1", True), Server(ids.VmId("b"), "1", False)))
    Order(agent='b', present='1', reason='takes_no_work')
    """
    if all(server.version == wanted for server in servers):
        return Wait("in_force")
    down = [server for server in servers if not server.takes_work and not server.out]
    if len(down) > 1:
        return Wait("several_servers_down")
    behind = [
        server
        for server in down or servers
        if server.version not in (None, wanted) and server.refusals < REFUSALS_LIMIT
    ]
    if not behind:
        return Wait("server_down" if down else "orders_refused")
    chosen = behind[0]
    reason = "takes_no_work" if down else "version_differs"
    return Order(chosen.agent, chosen.version or "", reason)
