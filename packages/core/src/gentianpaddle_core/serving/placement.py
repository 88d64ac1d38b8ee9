"""Which backend server gets a request.

The load pattern this answers: engines of a group make each pass together, so the fullest one sets
the pace of all. A request goes where the fewest run, counted from the servers' own reports and
corrected by what this process sent since. Servers that fail what others serve get less.

Reports are a little old, and all processes read the same ones. If each sent to the emptiest server,
all would send to that one until its next report. So a request is spread over the servers that
would fill up first if what all processes send meanwhile were placed evenly.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Collection, Sequence

from gentianpaddle_core import ids
from gentianpaddle_core.serving import servers

REPORT_AGE_LIMIT_S = 1.0
"""Age at which a report counts for nothing; reports come ten times as often."""

FAILURE_WEIGHT = 0.25
"""Weight of the last result in a server's share of failures; about eight results are remembered."""

FAILURE_PENALTY = 8.0
"""Requests that a server with nothing but failures seems to have more than it has."""

SUSPECT_SHARE = 0.6
"""Share of failures from which a server gets trial requests only."""

TRIAL_INTERVAL_S = 1.0
"""Pause between trial requests to a suspect server, so that one that recovers is back within about
a second."""

NEAR_TIE = 0.5
"""Requests that are spread in any case, so that processes do not all pick the same of two servers
that are nearly equal."""

UNSEEN_S = 0.2
"""Time for which others do not see a request that a process has sent: it travels, the next report
is up to 0.1 s away, and other data centres get that 0.03 s later."""

REPORTS_LOST_S = 3.0
"""Time without any report of a service's engines after which they are used without; the processes
that report are back about 1 s after a loss of power, groups of engines form after them."""

DECLINED_PAUSE_S = 0.25
"""Time for which a server that declined a request gets none, unless it reports room before; a
group that forms or a full queue takes longer than a repeat."""

REMOTE_PENALTY = 0.25
"""Load that a server in another data centre seems to have more, for the bytes between them."""


@dataclasses.dataclass(slots=True)
class ServerLoad:
    """What is known of one server's load."""

    own: int = 0
    """Requests of this process that it has."""
    own_at_report: int = 0
    reported: int = 0
    """Requests that it had from all processes when it reported."""
    reported_s: float = -REPORT_AGE_LIMIT_S
    open: bool = True
    """Whether its group takes work."""
    slowness: float = 1.0
    failures: float = 0.0
    """Share of failures among its last results."""
    tried_s: float = -TRIAL_INTERVAL_S
    declined_until_s: float = 0.0

    def total(self, now_s: float) -> int:
        """Return the requests that it has now, as far as can be known.

        Args:
            now_s: Monotonic time in seconds.
        """
        if now_s - self.reported_s > REPORT_AGE_LIMIT_S:
            return self.own
        return max(self.own, self.reported + self.own - self.own_at_report)


class Placement:
    """Load of the servers as one process knows it.

    Args:
        data_centre: Where this process runs.
        seed: Seed of the choice among equals.
        now_s: Monotonic time in seconds.
    """

    def __init__(self, data_centre: ids.DataCentreId, seed: int, now_s: float) -> None:
        self._data_centre = data_centre
        self._last_report_s = now_s
        self._random = random.Random(seed)
        self._load_by_id: dict[ids.BackendServerId, ServerLoad] = {}

    def load(self, server: ids.BackendServerId) -> ServerLoad:
        """Return what is known of a server.

        Args:
            server: The server.
        """
        return self._load_by_id.setdefault(server, ServerLoad())

    def reported(
        self,
        server: ids.BackendServerId,
        requests: int,
        group_open: bool,
        slowness: float,
        now_s: float,
    ) -> None:
        """Take a server's report.

        Args:
            server: The server.
            requests: Requests that run or wait there.
            group_open: Whether its group takes work.
            slowness: Time of its work relative to a healthy engine.
            now_s: Monotonic time in seconds.
        """
        load = self.load(server)
        load.reported, load.reported_s = requests, now_s
        load.own_at_report = load.own
        load.open, load.slowness = group_open, slowness
        self._last_report_s = now_s

    def started(self, server: ids.BackendServerId, now_s: float) -> None:
        """Note that a request is sent.

        Args:
            server: Where it goes.
            now_s: Monotonic time in seconds.
        """
        load = self.load(server)
        load.own += 1
        load.tried_s = now_s

    def finished(self, server: ids.BackendServerId) -> None:
        """Note that a request has ended in any way.

        Args:
            server: Where it ran.
        """
        load = self.load(server)
        load.own = max(0, load.own - 1)

    def result(self, server: ids.BackendServerId, good: bool) -> None:
        """Note whether a server served a request.

        Args:
            server: The server.
            good: Whether its answer was complete and no failure.
        """
        load = self.load(server)
        load.failures += FAILURE_WEIGHT * ((0.0 if good else 1.0) - load.failures)

    def declined(self, server: ids.BackendServerId, now_s: float) -> None:
        """Note that a server did not take a request.

        Args:
            server: The server.
            now_s: Monotonic time in seconds.
        """
        self.load(server).declined_until_s = now_s + DECLINED_PAUSE_S

    def forget(self, listed: Collection[ids.BackendServerId]) -> None:
        """Drop servers that are gone and idle.

        Args:
            listed: Servers that exist.
        """
        for server, load in list(self._load_by_id.items()):
            if server not in listed and load.own == 0:
                del self._load_by_id[server]

    def choose(
        self,
        candidates: Sequence[servers.ServerEntry],
        excluded: Collection[ids.BackendServerId],
        room: int,
        reporting: bool,
        now_s: float,
        unseen: float = 0.0,
    ) -> servers.ServerEntry | None:
        """Choose a server for a request.

        Args:
            candidates: Servers that may get it.
            excluded: Servers that have had it.
            room: Requests beyond a server's slots that it may have.
            reporting: Whether these servers report their load; one that does not is not known to
                take work, as its group may not have formed yet.
            now_s: Monotonic time in seconds.
            unseen: Requests that other processes have sent to these servers and that no report
                counts yet.

        Returns:
            The server, or None if all that may get it are full.
        """
        open_servers = [
            entry
            for entry in candidates
            if entry.id not in excluded and self._is_open(entry.id, reporting, now_s)
        ]
        sound = [entry for entry in open_servers if not self._is_suspect(entry.id, now_s)]
        scores = []
        with_room = []
        for entry in sound or open_servers:
            load = self.load(entry.id)
            total = load.total(now_s)
            if total >= entry.slots + room:
                continue
            score = total * load.slowness + FAILURE_PENALTY * load.failures
            if entry.data_centre != self._data_centre:
                score += REMOTE_PENALTY
            scores.append(score)
            with_room.append(entry)
        if not with_room:
            return None
        level = fill_level(scores, NEAR_TIE + unseen)
        weights = [max(0.0, level - score) for score in scores]
        return self._random.choices(with_room, weights)[0]

    def _is_open(self, server: ids.BackendServerId, reporting: bool, now_s: float) -> bool:
        load = self.load(server)
        if now_s < load.declined_until_s:
            return False
        if now_s - load.reported_s <= REPORT_AGE_LIMIT_S:
            return load.open
        return not reporting or now_s - self._last_report_s > REPORTS_LOST_S

    def _is_suspect(self, server: ids.BackendServerId, now_s: float) -> bool:
        load = self.load(server)
        return load.failures > SUSPECT_SHARE and now_s - load.tried_s < TRIAL_INTERVAL_S


def fill_level(loads: Sequence[float], amount: float) -> float:
    """Return the load that the emptiest servers reach when an amount is spread over them.

    Args:
        loads: Load by server, not empty.
        amount: What is spread, above 0.

    Returns:
        The level up to which servers below it are filled.
    """
    filled = 0.0
    ordered = sorted(loads)
    for count, load in enumerate(ordered, 1):
        filled += load
        level = (filled + amount) / count
        if count == len(ordered) or level <= ordered[count]:
            return level
    raise ValueError("no loads")


def new_placement(data_centre: ids.DataCentreId, seed: int, now_s: float) -> Placement:
    """Create a placement without any load.

    Args:
        data_centre: Where this process runs.
        seed: Seed of the choice among equals.
        now_s: Monotonic time in seconds.

    Returns:
        The placement.
    """
    return Placement(data_centre, seed, now_s)
