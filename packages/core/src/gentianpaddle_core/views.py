"""Choice of the agents to which an entry opens links.

A fleet has too many pairs of entries and agents to connect them all. Each entry chooses
independently by a weighted rendezvous hash. The addition or loss of an agent therefore changes
only a few links, and agents get about the same number of links.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import hashlib
import math

from gentianpaddle_core import ids, routing

MAX_LINKS = 48
"""Largest number of links of one entry; at the design size an agent then has about 9."""
DATA_CENTRES_PER_MODEL = 2
"""Data centres in which each model has a link, so that the loss of one leaves linked servers."""
WEIGHT_BY_DISTANCE = {
    routing.Distance.SAME_DATA_CENTRE: 1.0,
    routing.Distance.SAME_REGION: 1.0,
    routing.Distance.OTHER_REGION: 0.1,
}
"""Weight of an agent by its distance. Data centres of a region are equal: the millisecond between
them is small compared with a first-token target, and a preference for the own data centre would
overload the one with the most entries."""


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """Backend servers to whose agents one entry links."""

    backend_servers: tuple[ids.BackendServerId, ...]
    """Backend servers to whose agents the entry is linked, in order of preference."""
    models_uncovered: tuple[ids.ModelName, ...]
    """Models without a link, because the limit of links was reached."""


def choose(
    entry: ids.VmId,
    place: routing.Place,
    servers: collections.abc.Iterable[routing.BackendServer],
    limit: int = MAX_LINKS,
) -> View:
    """Choose the agents that an entry links to.

    Args:
        entry: VM of the entry.
        place: Location of the entry.
        servers: Backend servers that are not known to have left or died. Those out of service
            or leaving are included, because their requests in progress need the link.
        limit: Largest number of links.

    Returns:
        The view. Links are assigned first to one server of every model, then to a second data
        centre of every model, then to the remaining servers in order of preference.
    """
    ordered = sorted(servers, key=lambda server: _preference_key(entry, place, server))
    links: dict[ids.BackendServerId, routing.BackendServer] = {}
    covered_by_model: dict[ids.ModelName, set[ids.DataCentreId]] = {
        model: set() for server in ordered for model in server.targets
    }
    for covered_count in range(DATA_CENTRES_PER_MODEL):
        for server in ordered:
            extends_cover = any(
                len(covered_by_model[model]) <= covered_count
                and server.place.data_centre not in covered_by_model[model]
                for model in server.targets
            )
            if extends_cover and len(links) < limit:
                links[server.id] = server
                for model in server.targets:
                    covered_by_model[model].add(server.place.data_centre)
    for server in ordered:
        if len(links) >= limit:
            break
        links[server.id] = server
    uncovered = sorted(model for model, covered in covered_by_model.items() if not covered)
    return View(tuple(links), tuple(uncovered))


def _preference_key(entry: ids.VmId, place: routing.Place, server: routing.BackendServer) -> float:
    digest = hashlib.blake2b(f"{entry}/{server.id}".encode(), digest_size=8).digest()
    uniform = (int.from_bytes(digest) + 0.5) / 2.0**64
    return -math.log(uniform) / WEIGHT_BY_DISTANCE[routing.distance(place, server.place)]
