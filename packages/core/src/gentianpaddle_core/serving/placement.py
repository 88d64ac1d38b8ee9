"""Choice of the backend server for a request.

Engines of a group run each pass in step, so the most loaded one determines the speed of all. A
request goes to a server with few requests. Their number is taken from the server's own report and
corrected by what this process has sent since. Servers with a high share of failures get fewer
requests.

Reports are slightly out of date, and all processes read the same ones. If each process chose the
least loaded server, all would send to it until its next report. The choice is therefore random,
among the servers that would receive requests if those sent by all processes between two reports
were spread evenly (water-filling).

When a group opens after an outage, all processes have requests waiting and read the same reports of
empty engines. Between two reports, each process therefore takes an equal part of the free slots.
"""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Collection, Sequence

from gentianpaddle_core import ids
from gentianpaddle_core.serving import free_slots, servers, water_filling

REPORT_EXPIRY_S = 1.0
"""Age from which a report is ignored; reports arrive ten times as often."""

FAILURE_EWMA_WEIGHT = 0.25
"""Weight of the newest result in a server's moving average of failures; the last eight results have
about 90 % of the total weight."""

FAILURE_PENALTY_REQUESTS = 8.0
"""Number of requests added to the load of a server whose results are all failures; scaled by the
share of failures."""

SUSPECT_FAILURE_RATIO = 0.6
"""Share of failures above which a server is suspect and gets probe requests only."""

PROBE_INTERVAL_S = 1.0
"""Interval between probe requests to a suspect server, so that a server that recovers is used again
within about a second."""

OPENING_S = 1.0
"""Time after the opening of a group for which its free slots are shared between the processes.
Later the reports show what other processes send, and waiting for a share would delay requests while
slots are free."""

SHARE_OF_FREE_SLOTS = 0.4
"""Share of a server's reported free slots that all processes together fill before the next report.
The processes round their parts independently, so the sum varies."""

MIN_SPREAD_REQUESTS = 0.5
"""Minimum number of requests that are spread, so that processes do not all choose the same one of
two servers with nearly equal load."""

REPORT_VISIBILITY_DELAY_S = 0.25
"""Time until other processes see a request in a report: the request is in transit, the next report
is up to 0.1 s away, and collectors send the report on after 0.06 s at most."""

REPORT_OUTAGE_S = 3.0
"""Time without any report after which servers are used without reports. After a loss of power the
reporting processes are back in about 1 s; groups of engines form after that."""

DECLINE_BACKOFF_S = 0.25
"""Time for which a server that declined a request gets none. A group takes longer to form, and a
full queue longer to drain, than a retry takes."""

MAX_UNREACHABLE_BACKOFF_S = 2.0
"""Maximum time for which a server gets no requests after connections to it have failed. The time
starts at `DECLINE_BACKOFF_S` and doubles with each failure."""

SILENT_FAILURE_RATIO = 0.7
"""Minimum share of failures that is assumed of a server that was silent; above
`SUSPECT_FAILURE_RATIO`, so that it gets probe requests only until it answers."""

REMOTE_PENALTY_REQUESTS = 0.25
"""Number of requests added to the load of a server in another data centre, for the traffic between
the data centres. It decides unless `data_centre_traffic` is enabled, which chooses the data centre
before the server."""


@dataclasses.dataclass(slots=True)
class ServerLoad:
    """Known load and results of one server."""

    own_requests: int = 0
    """Number of requests that this process has in progress at the server."""
    own_requests_at_report: int = 0
    """Value of `own_requests` when the last report arrived."""
    reported_requests: int = 0
    """Number of requests from all processes in the last report."""
    reported_s: float = -math.inf
    """Monotonic time in seconds of the last report."""
    opened_s: float = -math.inf
    """Monotonic time in seconds at which a report first said again that the group is open."""
    share_rounding: float = 0.0
    """Random number, 0 to 1, that rounds this process's part of the free slots up or down. Drawn
    with each report, so that parts below one slot are used by some of the processes."""
    reports: free_slots.ReportHistory = dataclasses.field(default_factory=free_slots.ReportHistory)
    """What the reports say of free slots; used while the service is contended."""
    group_open: bool = True
    """Whether the server's group accepts requests."""
    slowness: float = 1.0
    """Processing time relative to a healthy engine."""
    failure_ratio: float = 0.0
    """Moving average of failures, from 0 (none) to 1 (all)."""
    last_sent_s: float = -PROBE_INTERVAL_S
    """Monotonic time in seconds at which this process last sent a request."""
    declined_until_s: float = 0.0
    """Monotonic time in seconds until which the server gets no requests."""
    failed_connections: int = 0
    """Number of connections in a row that could not be established."""

    def estimated_requests(self, now_s: float, contended: bool = False) -> int:
        """Return the estimated number of requests that the server has now.

        Args:
            now_s: Monotonic time in seconds.
            contended: Whether to count what was sent while the last report was in transit.
        """
        if now_s - self.reported_s > REPORT_EXPIRY_S:
            return self.own_requests
        if contended:
            return self.reports.estimated_requests(self.own_requests)
        return max(
            self.own_requests,
            self.reported_requests + self.own_requests - self.own_requests_at_report,
        )

    def has_share(
        self,
        server: ids.BackendServerId,
        capacity: int,
        process_count: int,
        part: free_slots.Part | None,
        now_s: float,
    ) -> bool:
        """Return whether this process may send one more request before the next report.

        It may, except while the server's group opens or the service is contended. Requests of this
        process that ended since the last report may be replaced even then.

        Args:
            server: The server.
            capacity: Number of requests that the server may have.
            process_count: Number of processes that read the same reports.
            part: Part of this process while the service is contended, otherwise None.
            now_s: Monotonic time in seconds.
        """
        if part is not None and now_s - self.reported_s <= REPORT_EXPIRY_S:
            return part.allows(server, self.reports, self.own_requests, capacity, now_s)
        if now_s - self.opened_s > OPENING_S or process_count <= 1:
            return True
        free = max(0, capacity - self.reported_requests)
        added = self.own_requests - self.own_requests_at_report
        share = SHARE_OF_FREE_SLOTS * free / process_count
        return added + 1 <= share + self.share_rounding


class Placement:
    """Chooses servers by their load, as known to one process.

    Args:
        data_centre: Data centre of this process.
        seed: Seed of the random choice.
        now_s: Monotonic time in seconds.
    """

    def __init__(self, data_centre: ids.DataCentreId, seed: int, now_s: float) -> None:
        self._data_centre = data_centre
        self._last_report_s = now_s
        self._random = random.Random(seed)
        self._load_by_id: dict[ids.BackendServerId, ServerLoad] = {}

    def load(self, server: ids.BackendServerId) -> ServerLoad:
        """Return the load of a server; an unknown server is added without load.

        Args:
            server: The server.
        """
        known = self._load_by_id.get(server)
        if known is None:
            known = self._load_by_id[server] = ServerLoad()
        return known

    def record_report(
        self,
        server: ids.BackendServerId,
        requests: int,
        group_open: bool,
        slowness: float,
        now_s: float,
    ) -> None:
        """Record a server's report.

        Args:
            server: The server.
            requests: Number of requests that run or wait at the server.
            group_open: Whether the server's group accepts requests.
            slowness: Processing time relative to a healthy engine.
            now_s: Monotonic time in seconds.
        """
        load = self.load(server)
        if group_open and not (load.group_open and now_s - load.reported_s <= REPORT_EXPIRY_S):
            load.opened_s = now_s
        load.reports.record(requests, load.own_requests, now_s)
        load.reported_requests, load.reported_s = requests, now_s
        load.own_requests_at_report = load.own_requests
        load.group_open, load.slowness = group_open, slowness
        load.share_rounding = self._random.random()
        self._last_report_s = now_s

    def record_start(self, server: ids.BackendServerId, now_s: float) -> None:
        """Record that a request is sent.

        Args:
            server: Server that receives it.
            now_s: Monotonic time in seconds.
        """
        load = self.load(server)
        load.own_requests += 1
        load.last_sent_s = now_s

    def record_end(self, server: ids.BackendServerId) -> None:
        """Record that a request has ended, whatever its result.

        Args:
            server: Server to which it was sent.
        """
        load = self.load(server)
        load.own_requests = max(0, load.own_requests - 1)

    def record_result(self, server: ids.BackendServerId, good: bool) -> None:
        """Record whether a server served a request successfully.

        Args:
            server: The server.
            good: Whether the answer was complete and not an error.
        """
        load = self.load(server)
        load.failed_connections = 0
        load.failure_ratio += FAILURE_EWMA_WEIGHT * ((0.0 if good else 1.0) - load.failure_ratio)

    def record_silent(self, server: ids.BackendServerId) -> None:
        """Record that a server accepted a request and said nothing, unlike the other servers.

        Args:
            server: The server.
        """
        load = self.load(server)
        load.failure_ratio = max(load.failure_ratio, SILENT_FAILURE_RATIO)

    def record_unreachable(self, server: ids.BackendServerId, now_s: float) -> None:
        """Record that no connection to a server could be established.

        Args:
            server: The server.
            now_s: Monotonic time in seconds.
        """
        load = self.load(server)
        backoff_s = min(MAX_UNREACHABLE_BACKOFF_S, DECLINE_BACKOFF_S * 2**load.failed_connections)
        load.failed_connections += 1
        load.declined_until_s = now_s + backoff_s

    def record_declined(self, server: ids.BackendServerId, now_s: float) -> None:
        """Record that a server declined a request.

        Args:
            server: The server.
            now_s: Monotonic time in seconds.
        """
        load = self.load(server)
        load.failed_connections = 0
        load.declined_until_s = now_s + DECLINE_BACKOFF_S

    def remove_unlisted(self, listed: Collection[ids.BackendServerId]) -> None:
        """Remove servers that no longer exist and have no requests of this process.

        Args:
            listed: Servers that exist.
        """
        for server, load in list(self._load_by_id.items()):
            if server not in listed and load.own_requests == 0:
                del self._load_by_id[server]

    def choose(
        self,
        candidates: Sequence[servers.ServerEntry],
        excluded: Collection[ids.BackendServerId],
        max_queued: int,
        reports_expected: bool,
        now_s: float,
        unreported_requests: float = 0.0,
        process_count: int = 1,
        slot_limit: float = math.inf,
        part: free_slots.Part | None = None,
    ) -> servers.ServerEntry | None:
        """Choose a server for a request.

        Args:
            candidates: Servers that may get the request.
            excluded: Servers that ran or may have run the request.
            max_queued: Number of requests that a server may have beyond its slots.
            reports_expected: Whether these servers report their load. If so, a server without a
                current report gets no requests, as its group may not have formed yet.
            now_s: Monotonic time in seconds.
            unreported_requests: Estimated number of requests that other processes have sent to
                these servers and that no report includes yet.
            process_count: Number of processes that read the same reports, including this one.
            slot_limit: Mean number of slots per server that may be used; rounded up for each
                server.
            part: Part of this process while the service is contended, otherwise None.

        Returns:
            The server, or None if no server can take the request.
        """
        open_servers = [
            entry
            for entry in candidates
            if entry.id not in excluded and self._is_open(entry.id, reports_expected, now_s)
        ]
        healthy = [entry for entry in open_servers if not self._is_suspect(entry.id, now_s)]
        scores = []
        available = []
        for entry in healthy or open_servers:
            load = self.load(entry.id)
            requests = load.estimated_requests(now_s, part is not None)
            capacity = math.ceil(min(slot_limit, entry.slots)) + max_queued
            if requests >= capacity:
                continue
            if not load.has_share(entry.id, capacity, process_count, part, now_s):
                continue
            score = requests * load.slowness + FAILURE_PENALTY_REQUESTS * load.failure_ratio
            if entry.data_centre != self._data_centre:
                score += REMOTE_PENALTY_REQUESTS
            scores.append(score)
            available.append(entry)
        if not available:
            return None
        target_level = water_filling.fill_level(scores, MIN_SPREAD_REQUESTS + unreported_requests)
        weights = [max(0.0, target_level - score) for score in scores]
        return self._random.choices(available, weights)[0]

    def total_requests(self, candidates: Collection[servers.ServerEntry], now_s: float) -> int:
        """Return the estimated number of requests that some servers have now together.

        Args:
            candidates: The servers.
            now_s: Monotonic time in seconds.
        """
        return sum(self.load(entry.id).estimated_requests(now_s) for entry in candidates)

    def usage(self, candidates: Collection[servers.ServerEntry], now_s: float) -> free_slots.Usage:
        """Return the use of those servers whose reports are current.

        Args:
            candidates: The servers.
            now_s: Monotonic time in seconds.
        """
        loads = [self.load(entry.id) for entry in candidates]
        current = [load for load in loads if now_s - load.reported_s <= REPORT_EXPIRY_S]
        return free_slots.usage([(load.reports, load.own_requests) for load in current])

    def any_open(
        self, candidates: Collection[servers.ServerEntry], reports_expected: bool, now_s: float
    ) -> bool:
        """Return whether a server accepts requests, full or not.

        Args:
            candidates: Servers that may get the request.
            reports_expected: Whether these servers report their load.
            now_s: Monotonic time in seconds.
        """
        return any(self._is_open(entry.id, reports_expected, now_s) for entry in candidates)

    def accepts(self, server: ids.BackendServerId, reports_expected: bool, now_s: float) -> bool:
        """Return whether a server works and takes requests, apart from being full for a moment.

        Args:
            server: The server.
            reports_expected: Whether the server reports its load.
            now_s: Monotonic time in seconds.
        """
        load = self.load(server)
        if self._is_suspect(server, now_s):
            return False
        if load.failed_connections == 0 and now_s < load.declined_until_s:
            return not reports_expected or load.group_open
        return self._is_open(server, reports_expected, now_s)

    def _is_open(self, server: ids.BackendServerId, reports_expected: bool, now_s: float) -> bool:
        load = self.load(server)
        if now_s < load.declined_until_s:
            return False
        if now_s - load.reported_s <= REPORT_EXPIRY_S:
            return load.group_open
        return not reports_expected or now_s - self._last_report_s > REPORT_OUTAGE_S

    def _is_suspect(self, server: ids.BackendServerId, now_s: float) -> bool:
        load = self.load(server)
        return (
            load.failure_ratio > SUSPECT_FAILURE_RATIO
            and now_s - load.last_sent_s < PROBE_INTERVAL_S
        )


def new_placement(data_centre: ids.DataCentreId, seed: int, now_s: float) -> Placement:
    """Create a placement without known loads.

    Args:
        data_centre: Data centre of this process.
        seed: Seed of the random choice.
        now_s: Monotonic time in seconds.

    Returns:
        The placement.
    """
    return Placement(data_centre, seed, now_s)
