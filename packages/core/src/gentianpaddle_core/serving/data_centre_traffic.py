"""Decides which requests are sent to a server of another data centre.

Load pattern: a data centre has too few servers for a peak of some seconds, or its servers are slow
or in cold start, while others have free slots. Traffic between data centres is slower and costs
money, so it has to pay for each request, and must not move the overload to another data centre.

For each request, the expected time here and elsewhere gives the gain of sending it, from which the
cost of its bytes is subtracted. A damped share limits how many of the requests with a net gain are
sent: all fronts read the same reports, which are up to 0.25 s old, so undamped fronts would all
send at once and stop at once. Each process keeps one state for each service.
"""

from __future__ import annotations

import dataclasses
import enum
import math
from collections.abc import Mapping, Sequence

from gentianpaddle_core import ids
from gentianpaddle_core.serving import data_centre_gain, data_centre_load

START_GAIN = 0.1
"""Net gain from which requests are sent. A smaller one is within the error of the estimates."""

STOP_GAIN = 0.03
"""Net gain below which no more requests are sent; less than `START_GAIN`, so that small changes of
the load do not switch it on and off."""

FULL_GAIN = 0.5
"""Net gain at which all requests may leave: sending one saves every second of them."""

NORMAL_SLOWNESS = 1.25
"""Slowness, relative to the other data centre, up to which a server with a free slot serves a
request itself. Reports of healthy engines differ by less."""

FREE_AGAIN_RATIO = 0.1
"""Share of free slots here from which the share falls. While fewer are free, it is kept."""

MAX_RISE_PER_S = 0.6
"""Maximum increase of the share in a second. Within the age of the reports, 0.25 s, it rises by
0.15, which the reserve of free slots elsewhere absorbs."""

MAX_FALL_PER_S = 0.1
"""Maximum decrease of the share in a second. A free slot here is used first in any case. With 0.6,
the share swung between 0 and 0.5 in a replayed peak, and more requests were late."""

MAX_STEP_S = 0.1
"""Longest time between two decisions that counts for a change of the share: without requests
nothing is known of the gain. It is twice the interval in which a front calls `tick`."""

GAIN_TIME_CONSTANT_S = 0.5
"""Time constant of the moving average of the net gain; a front of a large site decides on four
requests per second."""

SPARE_TIME_CONSTANT_S = 0.5
"""Time constant of the moving average of the spare slots elsewhere, twice the age of the reports.
In an overload everywhere, some slots are free for moments, which are over when requests arrive."""

MAX_PREFERENCE = 2.0
"""Maximum factor on the share for a request whose net gain is above the mean. It makes small
answers with near targets leave first, and leaves some room to the others."""

ANSWER_WEIGHT = 0.1
"""Weight of the newest answer in a route's moving average of the size of its answers."""

MAX_ROUTES = 1_000
"""Maximum number of routes whose answers are measured."""

LOGGED_CHANGE = 0.1
"""Change of the share that is reported."""

LOG_INTERVAL_S = 1.0
"""Minimum time between two reported changes of the share, which bounds the log."""


class Reason(enum.StrEnum):
    """Why a request was sent to another data centre."""

    DISABLED = "disabled"
    """The comparison is disabled; the placement with its fixed penalty chose the server."""
    NO_HOME_SERVER = "no_home_server"
    """No server of this data centre accepts requests."""
    HOME_FULL = "home_full"
    """The servers of this data centre have no free slot."""
    HOME_COLD = "home_cold"
    """Some of them are in cold start and can handle no more requests."""
    HOME_SLOW = "home_slow"
    """They are slower than those of the other data centre."""
    REPEAT = "repeat"
    """The request is repeated, and no other server of this data centre has a free slot."""
    FIXED_HOME = "fixed_home"
    """The other data centre is the fixed home of the request."""


@dataclasses.dataclass(slots=True)
class RequestTraffic:
    """What is known of the traffic of one request."""

    body_bytes: int
    draw: float
    """Random number, 0 to 1, drawn once. The request may leave while the share is above it."""
    reason: Reason | None = None
    """Why the present attempt was sent to another data centre, or None if it was not."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stay:
    """The request is served in this data centre or waits for a server there."""


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """The request is sent to another data centre."""

    data_centre: ids.DataCentreId
    reason: Reason


Decision = Stay | Leave


@dataclasses.dataclass(frozen=True, slots=True)
class ShareChange:
    """Change of the share that is worth a log line."""

    previous: float
    share: float
    gain: float
    """Mean net gain of the requests that had one."""
    home_slots: int
    home_free: int


class DataCentreTraffic:
    """Share of one service's requests that one process sends to other data centres.

    Args:
        data_centre: Data centre of this process.
        cost_per_gb: Cost of a gigabyte between data centres, relative to one request served on
            time.
    """

    def __init__(self, data_centre: ids.DataCentreId, cost_per_gb: float) -> None:
        self._data_centre = data_centre
        self._cost_per_gb = cost_per_gb
        self._share = 0.0
        self._sending = False
        self._gain = 0.0
        self._gained_s = -math.inf
        """Time of the last request with a net gain."""
        self._decided_s = -math.inf
        self._updated_s = math.inf
        self._home_slots = self._home_free = 0
        self._reported_share = 0.0
        self._reported_s = -math.inf
        self._spare_by_data_centre: dict[ids.DataCentreId, tuple[float, float]] = {}
        """Time of the last value and moving average."""
        self._answer_bytes_by_route: dict[str, float] = {}

    @property
    def share(self) -> float:
        """Share of the requests with a mean net gain that is sent, from 0 to 1."""
        return self._share

    def record_answer(self, route: str, answer_bytes: int) -> None:
        """Record the size of a complete answer.

        Args:
            route: Name of the request's route.
            answer_bytes: Size of its body.
        """
        known = self._answer_bytes_by_route.get(route)
        if known is not None:
            self._answer_bytes_by_route[route] = known + ANSWER_WEIGHT * (answer_bytes - known)
        elif len(self._answer_bytes_by_route) < MAX_ROUTES:
            self._answer_bytes_by_route[route] = float(answer_bytes)

    def answer_bytes(self, route: str) -> float:
        """Return the expected size of an answer; 0 until the first one of the route has ended.

        Args:
            route: Name of the route.
        """
        return self._answer_bytes_by_route.get(route, 0.0)

    def tick(self, now_s: float) -> None:
        """Let the share fall while no request needs a decision.

        Args:
            now_s: Monotonic time in seconds.
        """
        if now_s - self._decided_s > MAX_STEP_S:
            self._fall(now_s)

    def decide(
        self,
        request: data_centre_gain.Request,
        home: data_centre_load.DataCentreLoad | None,
        others: Sequence[data_centre_load.DataCentreLoad],
        delay_s_by_link: Mapping[tuple[ids.DataCentreId, ids.DataCentreId], float],
        starts_in_transit: float,
        now_s: float,
    ) -> Decision:
        """Decide whether a request leaves this data centre.

        Args:
            request: The request.
            home: Load of this data centre, or None if it has no server that accepts requests.
            others: Loads of the other data centres. Evacuated ones and those without a server that
                accepts requests are not among them.
            delay_s_by_link: Published one-way delays between data centres in seconds.
            starts_in_transit: Number of requests that all processes start within the age of a
                report.
            now_s: Monotonic time in seconds.
        """
        if request.fixed_home is not None:
            away = request.fixed_home != self._data_centre
            found = any(load.data_centre == request.fixed_home for load in others)
            return Leave(request.fixed_home, Reason.FIXED_HOME) if away and found else Stay()
        if home is None or home.slots == 0:
            # Without any current report, all servers are tried, as `placement` does.
            known = [load for load in others if load.reported] or others
            return self._any_free(request, known, Reason.NO_HOME_SERVER)
        if request.repeated:
            known = [load for load in others if load.reported and load.spare >= 1.0]
            return Stay() if home.free else self._any_free(request, known, Reason.REPEAT)
        self._decided_s, self._home_slots, self._home_free = now_s, home.slots, home.free
        spare_by_data_centre = self._lasting_spare(others, now_s)
        gains = [
            (self._net_gain(request, home, load, delay_s_by_link), load)
            for load in others
            if spare_by_data_centre[load.data_centre] >= 1.0
        ]
        best_gain, best = max(gains, key=lambda pair: pair[0], default=(0.0, None))
        if best is None:
            self._fall(now_s)
            return Stay()
        if home.free >= 1 and home.slowness <= NORMAL_SLOWNESS * best.slowness:
            if home.free >= FREE_AGAIN_RATIO * home.slots:
                self._fall(now_s)
            return Stay()
        spare = sum(spare_by_data_centre[load.data_centre] for _, load in gains)
        self._update(best_gain, now_s)
        # The room elsewhere limits at once what the share only follows slowly.
        share = min(self._share, spare / max(1.0, starts_in_transit))
        return self._drawn(request, share, home, best_gain, gains)

    def pop_change(self, now_s: float) -> ShareChange | None:
        """Return the change of the share since the last one returned, if it is worth a log line.

        Args:
            now_s: Monotonic time in seconds.
        """
        change = abs(self._share - self._reported_share)
        began_or_ended = change > 0.0 and not (self._share and self._reported_share)
        if change < LOGGED_CHANGE and not began_or_ended:
            return None
        if now_s - self._reported_s < LOG_INTERVAL_S:
            return None
        previous, self._reported_share = self._reported_share, self._share
        self._reported_s = now_s
        return ShareChange(previous, self._share, self._gain, self._home_slots, self._home_free)

    def _lasting_spare(
        self, others: Sequence[data_centre_load.DataCentreLoad], now_s: float
    ) -> dict[ids.DataCentreId, float]:
        """Return the spare slots of other data centres, the lower of the present and the mean."""
        mean_by_data_centre = {}
        for load in others:
            spare = load.spare if load.reported else 0.0
            last_s, mean = self._spare_by_data_centre.get(load.data_centre, (-math.inf, spare))
            weight = 1.0 - math.exp(-max(0.0, now_s - last_s) / SPARE_TIME_CONSTANT_S)
            mean_by_data_centre[load.data_centre] = (now_s, mean + weight * (spare - mean))
        self._spare_by_data_centre = mean_by_data_centre
        return {
            load.data_centre: min(load.spare, mean_by_data_centre[load.data_centre][1])
            if load.reported
            else 0.0
            for load in others
        }

    def _net_gain(
        self,
        request: data_centre_gain.Request,
        home: data_centre_load.DataCentreLoad,
        other: data_centre_load.DataCentreLoad,
        delay_s_by_link: Mapping[tuple[ids.DataCentreId, ids.DataCentreId], float],
    ) -> float:
        delay_s = data_centre_load.link_delay_s(
            delay_s_by_link, self._data_centre, other.data_centre
        )
        return data_centre_gain.net_gain(request, home, other, delay_s, self._cost_per_gb)

    def _any_free(
        self,
        request: data_centre_gain.Request,
        loads: Sequence[data_centre_load.DataCentreLoad],
        reason: Reason,
    ) -> Decision:
        """Choose a data centre by its free slots, for a request that cannot be served here."""
        open_loads = [load for load in loads if load.free >= 1]
        costs_too_much = data_centre_gain.transfer_cost(request, self._cost_per_gb) >= 1.0
        if not open_loads or costs_too_much:
            return Stay()
        weights = [float(load.free) for load in open_loads]
        return Leave(_pick(open_loads, weights, request.draw).data_centre, reason)

    def _drawn(
        self,
        request: data_centre_gain.Request,
        share: float,
        home: data_centre_load.DataCentreLoad,
        best_gain: float,
        gains: Sequence[tuple[float, data_centre_load.DataCentreLoad]],
    ) -> Decision:
        """Compare the request's draw with the share, weighted by its net gain."""
        if best_gain <= STOP_GAIN:
            return Stay()
        probability = min(1.0, share * min(MAX_PREFERENCE, best_gain / self._gain))
        if request.draw >= probability:
            return Stay()
        # All processes prefer the same data centre; nearly as good ones share the requests.
        near = [load for gain, load in gains if gain >= 0.8 * best_gain]
        chosen = _pick(near, [load.spare for load in near], request.draw / probability)
        if home.free:
            reason = Reason.HOME_SLOW
        else:
            reason = Reason.HOME_COLD if home.cold else Reason.HOME_FULL
        return Leave(chosen.data_centre, reason)

    def _update(self, gain: float, now_s: float) -> None:
        """Move the share towards what the net gain of a request asks for.

        A request without a gain, for example one that is late in any case, says nothing of the
        others. The share falls when there were only such requests for a time.

        Args:
            gain: Net gain of the request.
            now_s: Monotonic time in seconds.
        """
        if gain <= STOP_GAIN:
            if now_s - self._gained_s > GAIN_TIME_CONSTANT_S:
                self._fall(now_s)
            return
        elapsed_s = now_s - self._gained_s
        self._gained_s = now_s
        weight = 1.0 - math.exp(-max(0.0, elapsed_s) / GAIN_TIME_CONSTANT_S)
        self._gain += weight * (gain - self._gain)
        self._sending = self._gain > (STOP_GAIN if self._sending else START_GAIN)
        wanted = (self._gain - STOP_GAIN) / (FULL_GAIN - STOP_GAIN) if self._sending else 0.0
        self._move(min(1.0, max(0.0, wanted)), now_s)

    def _fall(self, now_s: float) -> None:
        self._sending = False
        self._move(0.0, now_s)

    def _move(self, target: float, now_s: float) -> None:
        elapsed_s = min(MAX_STEP_S, max(0.0, now_s - self._updated_s))
        self._updated_s = now_s
        if target >= self._share:
            self._share = min(target, self._share + MAX_RISE_PER_S * elapsed_s)
        else:
            self._share = max(target, self._share - MAX_FALL_PER_S * elapsed_s)


def _pick(
    loads: Sequence[data_centre_load.DataCentreLoad], weights: Sequence[float], draw: float
) -> data_centre_load.DataCentreLoad:
    """Choose one of the loads by weight with a random number from 0 to 1."""
    remaining = draw * sum(weights)
    for load, weight in zip(loads, weights, strict=True):
        remaining -= weight
        if remaining < 0.0:
            return load
    return loads[-1]


def new_data_centre_traffic(data_centre: ids.DataCentreId, cost_per_gb: float) -> DataCentreTraffic:
    """Create the state of a service from which no request has been sent away.

    Args:
        data_centre: Data centre of this process.
        cost_per_gb: Cost of a gigabyte between data centres, relative to one request served on
            time.

    Returns:
        The state.
    """
    return DataCentreTraffic(data_centre, cost_per_gb)
