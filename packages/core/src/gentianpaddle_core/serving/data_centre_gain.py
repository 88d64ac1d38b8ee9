"""Gain of sending one request to another data centre, from expected times and the cost of traffic.

The unit of gain and cost is one request that is served on time.
"""

from __future__ import annotations

import dataclasses

from gentianpaddle_core import ids
from gentianpaddle_core.serving import data_centre_load

DELAYS_PER_ANSWER = 4
"""One-way delays until the first byte of an answer: each attempt opens a connection."""

CHANCE_EXPONENT = 4
"""Steepness of the chance that an answer meets its target. The chance is 0.94 at half the target
and 0.06 at twice the target, as durations of requests vary by about that factor."""

WAIT_WORTH = 0.1
"""Worth of a saved wait as long as the target, relative to one request served on time. It only
decides where the chance to meet the target is about the same."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Expectations of one request."""

    elapsed_s: float
    """Time since its arrival."""
    target_s: float
    """Latency target."""
    work_s: float
    """Time until the event that the target is about, at a healthy server without a wait."""
    home_wait_s: float
    """Expected wait for a slot in this data centre if none is free."""
    transfer_bytes: float
    """Size of the request's body and of the expected answer."""
    draw: float
    """Random number of the request, 0 to 1."""
    repeated: bool = False
    """Whether servers that ran the request before are excluded. Repeats have a budget of their own
    and are not damped."""
    fixed_home: ids.DataCentreId | None = None
    """Data centre that the request must not leave, if any."""


def on_time_chance(time_s: float, target_s: float) -> float:
    """Return the chance that an answer meets its target; it falls as the expected time rises.

    Args:
        time_s: Expected time from arrival in seconds, 0 or more.
        target_s: Latency target in seconds.

    >>> [round(on_time_chance(time_s, 0.4), 2) for time_s in (0.0, 0.2, 0.4, 0.8)]
    [1.0, 0.94, 0.5, 0.06]
    """
    if target_s <= 0.0:
        return 0.0
    # The ratio is bounded so that its power stays finite.
    return 1.0 / (1.0 + min(time_s / target_s, 1e6) ** CHANCE_EXPONENT)


def transfer_cost(request: Request, cost_per_gb: float) -> float:
    """Return the cost of sending a request to another data centre.

    Args:
        request: The request.
        cost_per_gb: Cost of a gigabyte between data centres.
    """
    return request.transfer_bytes / 1e9 * cost_per_gb


def net_gain(
    request: Request,
    home: data_centre_load.DataCentreLoad,
    other: data_centre_load.DataCentreLoad,
    delay_s: float,
    cost_per_gb: float,
) -> float:
    """Return the gain of sending a request, less its cost, in requests served on time.

    The gain is the increase of the chance to meet the target plus the worth of the saved wait. It
    rises with the wait and the slowness here, and falls with those elsewhere, with the delay, the
    bytes and the cost.

    Args:
        request: The request.
        home: Load of this data centre.
        other: Load of the other one, which has a free slot.
        delay_s: One-way delay between the two in seconds.
        cost_per_gb: Cost of a gigabyte between data centres.
    """
    # A request that has waited longer than estimated may well wait as long again.
    home_wait_s = 0.0 if home.free >= 1 else max(request.home_wait_s, request.elapsed_s)
    home_s = request.elapsed_s + home_wait_s + request.work_s * home.slowness
    other_s = request.elapsed_s + request.work_s * other.slowness + DELAYS_PER_ANSWER * delay_s
    chance = on_time_chance(other_s, request.target_s) - on_time_chance(home_s, request.target_s)
    saved_targets = min(1.0, home_wait_s / request.target_s) if request.target_s > 0.0 else 0.0
    return chance + WAIT_WORTH * saved_targets - transfer_cost(request, cost_per_gb)
