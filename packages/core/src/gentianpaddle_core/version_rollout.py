"""Rolling update of a model to its declared version, one backend server at a time."""

from __future__ import annotations

import dataclasses
import typing

from gentianpaddle_core import ids

MAX_REFUSALS = 3
"""Number of refused orders per revision after which a backend server gets no further orders."""


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """State of a backend server of a model as reported by its agent."""

    agent: ids.VmId
    """VM of the agent."""
    version: str | None
    """Running version, None if it could not be read."""
    takes_work: bool
    """Whether the agent accepts requests."""
    out_of_service: bool = False
    """Whether operators took it out of service, so that its absence does not reduce capacity."""
    refusals: int = 0
    """Number of orders of this revision that it refused."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpdateOrder:
    """Step that orders one backend server to load the declared version."""

    agent: ids.VmId
    """VM of the agent that receives the order."""
    current_version: str
    """Version that the backend server runs at present."""
    reason: str
    """Reason for which this backend server was chosen."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Step that orders nothing for now."""

    reason: str
    """Reason for which there is no order."""


Step: typing.TypeAlias = UpdateOrder | Wait
"""Next step of the roll-out."""


def next_step(wanted: str, servers: tuple[Server, ...]) -> Step:
    """Choose the backend server whose version is changed next.

    Args:
        wanted: Declared version.
        servers: All backend servers of the model with a link to their agent, in a stable order.

    Returns:
        An order only if every other server in service accepts requests.

    >>> next_step("2", (Server(ids.VmId("a"), "1", True), Server(ids.VmId("b"), "1", False)))
    UpdateOrder(agent='b', current_version='1', reason='takes_no_work')
    """
    if all(server.version == wanted for server in servers):
        return Wait("in_force")
    down_servers = [
        server for server in servers if not server.takes_work and not server.out_of_service
    ]
    if len(down_servers) > 1:
        return Wait("several_servers_down")
    outdated_servers = [
        server
        for server in down_servers or servers
        if server.version not in (None, wanted) and server.refusals < MAX_REFUSALS
    ]
    if not outdated_servers:
        return Wait("server_down" if down_servers else "orders_refused")
    chosen = outdated_servers[0]
    reason = "takes_no_work" if down_servers else "version_differs"
    return UpdateOrder(chosen.agent, chosen.version or "", reason)
