"""Which agents an entry is linked to.

A fleet has too many pairs of entries and agents to connect all. Each entry chooses on its own, by
a weighted rendezvous hash: a change of one agent changes at most the links that it causes, and
agents get about equally many links.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import hashlib
import math

from gentianpaddle_core import ids, routing

LINKS_LIMIT = 48
"""Links of one entry; an agent at the design size then has about 9."""
DATA_CENTRES_PER_MODEL = 2
"""Data centres in which each model is linked, so that the loss of one leaves servers at hand."""
WEIGHT_BY_DISTANCE = {
    routing.Distance.OWN: 1.0,
    routing.Distance.REGION: 1.0,
    routing.Distance.OTHER: 0.1,
}
"""Weights of an agent. Data centres of a region are equal: a millisecond between them is small
beside a first-token target, and an uneven spread would overload the data centre with most entries.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """Links of one entry."""

    backend_servers: tuple[ids.BackendServerId, ...]
    """Backend servers to whose agents the entry is linked, in order of preference."""
    models_uncovered: tuple[ids.ModelName, ...]
    """Models without any link, for lack of links."""


def choose(
    entry: ids.VmId,
    place: routing.Place,
    servers: collections.abc.Iterable[routing.BackendServer],
    limit: int = LINKS_LIMIT,
) -> View:
    """Choose the agents that an entry links to.

    Args:
        entry: VM of the entry.
        place: Where the entry runs.
        servers: Backend servers that are not known to be gone. Those out of service and leaving
            ones belong in it: their requests in progress need the link.
        limit: Most links.

    Returns:
        Links, with one for every model first, then a second data centre for every model, then the
        best of the rest.
    """
    ordered = sorted(servers, key=lambda server: _preference(entry, place, server))
    links: dict[ids.BackendServerId, routing.BackendServer] = {}
    centres_by_model: dict[ids.ModelName, set[ids.DataCentreId]] = {
        model: set() for server in ordered for model in server.targets
    }
    for centres in range(DATA_CENTRES_PER_MODEL):
        for server in ordered:
            wanted = any(
                len(centres_by_model[model]) <= centres
                and server.place.data_centre not in centres_by_model[model]
                for model in server.targets
            )
            if wanted and len(links) < limit:
                links[server.id] = server
                for model in server.targets:
                    centres_by_model[model].add(server.place.data_centre)
    for server in ordered:
        if len(links) >= limit:
            break
        links[server.id] = server
    uncovered = sorted(model for model, centres_of in centres_by_model.items() if not centres_of)
    return View(tuple(links), tuple(uncovered))


def _preference(entry: ids.VmId, place: routing.Place, server: routing.BackendServer) -> float:
    digest = hashlib.blake2b(f"{entry}/{server.id}".encode(), digest_size=8).digest()
    uniform = (int.from_bytes(digest) + 0.5) / 2.0**64
    return -math.log(uniform) / WEIGHT_BY_DISTANCE[routing.distance(place, server.place)]
