"""Load of the servers of one service, summed up by data centre.

A process knows the load of its own data centre and of the others from the same reports of servers
and from its own requests. The sums are the inputs of `data_centre_traffic`.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Collection, Iterable, Mapping

from gentianpaddle_core import ids
from gentianpaddle_core.serving import placement, servers

DEFAULT_DELAY_S = 0.001
"""One-way delay between data centres that state none; the platform's own are 0.5 to 1 ms."""

SPARE_RATIO = 0.1
"""Share of a data centre's slots that stays free for its own requests. Without it, one that helps
would itself become full and send requests away."""


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentreLoad:
    """Servers of one service in one data centre that accept requests, as known to a process."""

    data_centre: ids.DataCentreId
    slots: int
    """Number of requests that they can have; of a cold server, what it can handle."""
    free: int
    """Number of these that are free."""
    slowness: float
    """Mean processing time relative to a healthy engine."""
    cold: bool
    """Whether one of them is in cold start."""
    reported: bool
    """Whether the load is known from current reports, or no reports are expected."""

    @property
    def spare(self) -> float:
        """Number of free slots that other data centres may use."""
        return self.free - SPARE_RATIO * self.slots


@dataclasses.dataclass(frozen=True, slots=True)
class ServerRules:
    """What a service allows its servers, as seen by one process."""

    max_queued: int
    """Number of requests that a server may have beyond its slots."""
    slot_limit: float
    """Mean number of slots per server that may be used."""
    reports_expected: bool
    """Whether the servers report their load."""
    cold_requests: float
    """Number of requests that a cold server can handle at the same time."""


class ColdServers:
    """Servers in cold start, from the remaining time that their entries state.

    The time counts from when this process first saw the value in the entry.
    """

    def __init__(self) -> None:
        self._state_by_id: dict[ids.BackendServerId, tuple[float, float]] = {}

    def update(
        self, entries: Iterable[servers.ServerEntry], now_s: float
    ) -> frozenset[ids.BackendServerId]:
        """Return the servers that are in cold start.

        Args:
            entries: All usable servers of the service; others are forgotten.
            now_s: Monotonic time in seconds.
        """
        state_by_id = {}
        for entry in entries:
            if entry.cold_ms <= 0.0:
                continue
            known = self._state_by_id.get(entry.id)
            if known is None or known[0] != entry.cold_ms:
                known = (entry.cold_ms, now_s + entry.cold_ms / 1000.0)
            state_by_id[entry.id] = known
        self._state_by_id = state_by_id
        return frozenset(server for server, (_, end_s) in state_by_id.items() if now_s < end_s)


def link_delay_s(
    delay_s_by_link: Mapping[tuple[ids.DataCentreId, ids.DataCentreId], float],
    start: ids.DataCentreId,
    end: ids.DataCentreId,
) -> float:
    """Return the one-way delay between two data centres in seconds.

    Args:
        delay_s_by_link: Published delays, in one or both directions.
        start: One data centre.
        end: The other one.
    """
    return delay_s_by_link.get((start, end), delay_s_by_link.get((end, start), DEFAULT_DELAY_S))


def sum_up(
    server_load: placement.Placement,
    entries: Iterable[servers.ServerEntry],
    available: Collection[ids.BackendServerId],
    cold: Collection[ids.BackendServerId],
    rules: ServerRules,
    now_s: float,
) -> dict[ids.DataCentreId, DataCentreLoad]:
    """Sum up the load of the servers of one service.

    Args:
        server_load: Load of the servers.
        entries: Usable servers that have not run the request.
        available: Those that may get a request now. The others, which for example turned a request
            away because they are full, count as full.
        cold: Those in cold start.
        rules: Rules of the service.
        now_s: Monotonic time in seconds.

    Returns:
        The loads of the data centres that have a server which accepts requests.
    """
    servers_by_data_centre: dict[ids.DataCentreId, list[servers.ServerEntry]] = {}
    for entry in entries:
        if server_load.accepts(entry.id, rules.reports_expected, now_s):
            servers_by_data_centre.setdefault(entry.data_centre, []).append(entry)
    load_by_data_centre = {}
    for data_centre, members in servers_by_data_centre.items():
        slots = free = 0
        slowness = 0.0
        reported = not rules.reports_expected
        for entry in members:
            load = server_load.load(entry.id)
            capacity = math.ceil(min(rules.slot_limit, entry.slots)) + rules.max_queued
            if entry.id in cold:
                capacity = min(capacity, max(1, int(rules.cold_requests)))
            slots += capacity
            if entry.id in available:
                free += max(0, capacity - load.estimated_requests(now_s))
            slowness += load.slowness / len(members)
            reported = reported or now_s - load.reported_s <= placement.REPORT_EXPIRY_S
        load_by_data_centre[data_centre] = DataCentreLoad(
            data_centre=data_centre,
            slots=slots,
            free=free,
            slowness=slowness,
            cold=any(entry.id in cold for entry in members),
            reported=reported,
        )
    return load_by_data_centre
