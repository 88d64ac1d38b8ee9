"""Decisions on traffic between data centres, alone and replayed over a simulated minute."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import random
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gentianpaddle_core import ids
from gentianpaddle_core.serving import (
    data_centre_gain,
    data_centre_load,
    data_centre_traffic,
    placement,
    routes,
    servers,
)

A, B, C = (ids.DataCentreId(name) for name in "abc")
STAY = data_centre_traffic.Stay()
Reason = data_centre_traffic.Reason


def load(
    data_centre: ids.DataCentreId,
    free: int,
    slots: int = 20,
    slowness: float = 1.0,
    cold: bool = False,
    reported: bool = True,
) -> data_centre_load.DataCentreLoad:
    return data_centre_load.DataCentreLoad(data_centre, slots, free, slowness, cold, reported)


def request(
    draw: float = 0.0,
    target_s: float = 0.4,
    wait_s: float = 0.4,
    transfer_bytes: float = 0.0,
    repeated: bool = False,
    fixed_home: ids.DataCentreId | None = None,
) -> data_centre_gain.Request:
    return data_centre_gain.Request(
        0.0, target_s, 0.2, wait_s, transfer_bytes, draw, repeated, fixed_home
    )


def settled(
    which: data_centre_gain.Request,
    home: data_centre_load.DataCentreLoad | None,
    others: list[data_centre_load.DataCentreLoad],
    cost_per_gb: float = 0.0,
) -> data_centre_traffic.Decision:
    """Return the decision after the situation has lasted for 5 s."""
    traffic = data_centre_traffic.new_data_centre_traffic(A, cost_per_gb)
    for step in range(100):
        found = traffic.decide(which, home, others, {}, 1.0, step * 0.05)
    return found


@pytest.mark.parametrize(
    ("which", "home", "others", "expected"),
    [
        (request(), load(A, 0), [load(B, 10)], Reason.HOME_FULL),
        (request(), load(A, 0, cold=True), [load(B, 10)], Reason.HOME_COLD),
        (request(), load(A, 9, slowness=3.0), [load(B, 10)], Reason.HOME_SLOW),
        (request(), None, [load(B, 1)], Reason.NO_HOME_SERVER),
        (request(repeated=True), load(A, 0), [load(B, 10)], Reason.REPEAT),
        (request(fixed_home=B), load(A, 9), [load(B, 1)], Reason.FIXED_HOME),
        (request(fixed_home=A), load(A, 0), [load(B, 10)], None),
        # A free slot at normal speed wins, also where all servers of one group are slow.
        (request(), load(A, 1), [load(B, 20)], None),
        (request(), load(A, 1, slowness=3.0), [load(B, 20, slowness=3.0)], None),
        (request(repeated=True), load(A, 1), [load(B, 20)], None),
        # Nothing goes where there is no spare room, no report or no server.
        (request(), load(A, 0), [load(B, 2)], None),
        (request(), load(A, 0), [load(B, 10, reported=False)], None),
        (request(), load(A, 0), [], None),
        (request(), None, [], None),
        # A wait that the target does not notice, and a request that is late in any case.
        (request(wait_s=0.01), load(A, 0), [load(B, 10)], None),
        (request(target_s=0.01, wait_s=0.0), load(A, 0), [load(B, 10)], None),
    ],
)
def test_decision_on_a_lasting_situation(
    which: data_centre_gain.Request,
    home: data_centre_load.DataCentreLoad | None,
    others: list[data_centre_load.DataCentreLoad],
    expected: data_centre_traffic.Reason | None,
) -> None:
    """Guards against traffic that does not pay, and against waiting here while it does."""
    found = settled(which, home, others)
    assert found == (data_centre_traffic.Leave(B, expected) if expected else STAY)


@pytest.mark.parametrize(
    ("megabytes", "cost_per_gb", "home", "leaves"),
    [
        (1, 0.0, load(A, 0), True),
        (1, 100.0, load(A, 0), True),
        (1, 1_000.0, load(A, 0), False),
        (4, 200.0, load(A, 0), False),
        (1, 900.0, None, True),
        (1, 1_000.0, None, False),
    ],
)
def test_cost_of_bytes(
    megabytes: int,
    cost_per_gb: float,
    home: data_centre_load.DataCentreLoad | None,
    leaves: bool,
) -> None:
    """Guards against paying more for the bytes of a request than it gains."""
    found = settled(request(transfer_bytes=megabytes * 1e6), home, [load(B, 10)], cost_per_gb)
    assert isinstance(found, data_centre_traffic.Leave) == leaves


@given(
    st.floats(0.01, 10.0),
    st.floats(0.0, 20.0),
    st.floats(0.0, 1e10),
    st.floats(0.1, 10.0),
    st.floats(0.0, 1.0),
    st.floats(0.0, 1e4),
)
def test_gain_is_monotone(
    target_s: float, wait_s: float, size: float, slowness: float, delay_s: float, cost: float
) -> None:
    """Guards against a formula by which a longer wait or a lower cost makes leaving less useful."""

    def gain(**changes: float) -> float:
        home = load(A, 0, slowness=changes.pop("home_slowness", slowness))
        values = {"delay": delay_s, "cost": cost, **changes}
        which = request(
            target_s=target_s,
            wait_s=values.get("wait", wait_s),
            transfer_bytes=values.get("size", size),
        )
        other = load(B, 9, slowness=values.get("slowness", slowness))
        return data_centre_gain.net_gain(which, home, other, values["delay"], values["cost"])

    base = gain() - 1e-9
    assert gain(wait=wait_s * 2) >= base
    assert gain(home_slowness=slowness * 2) >= base
    for worse in ({"size": size * 2}, {"cost": cost * 2}, {"delay": delay_s * 2}):
        assert gain(**worse) <= base + 2e-9
    assert gain(slowness=slowness * 2) <= base + 2e-9


def test_small_answers_with_near_targets_leave_first() -> None:
    """Guards against spending the traffic on classes that gain little by it."""
    traffic = data_centre_traffic.new_data_centre_traffic(A, 100.0)
    rng = random.Random(1)
    left = {"small": 0, "large": 0, "far": 0}
    for step in range(4_000):
        for name, size, target_s in (("small", 1e4, 0.4), ("large", 3e6, 0.4), ("far", 1e4, 1.2)):
            which = request(rng.random(), target_s, 0.35, size)
            # The room elsewhere limits the share to 0.4.
            found = traffic.decide(which, load(A, 0), [load(B, 10)], {}, 20.0, step * 0.01)
            left[name] += isinstance(found, data_centre_traffic.Leave)
    assert left["small"] > 1.5 * left["large"] > 0
    assert left["small"] > 2 * left["far"]


def test_share_changes_at_a_bounded_rate_and_is_logged() -> None:
    """Guards against jumps of the share, and against a log line for each small change."""
    traffic = data_centre_traffic.new_data_centre_traffic(A, 0.0)
    shares, changes = [0.0], []
    for step in range(400):
        now_s = step * 0.05
        if step < 100:
            # The draw of 1 never leaves, so the situation lasts.
            traffic.decide(request(1.0), load(A, 0), [load(B, 10)], {}, 1.0, now_s)
        traffic.tick(now_s)
        shares.append(traffic.share)
        changes.append(traffic.pop_change(now_s))
    steps = [after - before for before, after in itertools.pairwise(shares)]
    assert max(map(abs, steps)) <= 0.05 * data_centre_traffic.MAX_RISE_PER_S + 1e-9
    assert max(shares) > 0.9
    assert shares[-1] == 0.0
    logged = [change for change in changes if change is not None]
    assert 2 <= len(logged) <= 20
    assert logged[0].previous == logged[-1].share == 0.0


def server(number: int, data_centre: str, cold_ms: float = 0.0) -> servers.ServerEntry:
    return servers.ServerEntry(
        id=ids.BackendServerId(f"i-{number}"),
        service=routes.ServiceName("s"),
        address=f"10.0.0.{number}:80",
        data_centre=ids.DataCentreId(data_centre),
        slots=5,
        draining=False,
        started_ms=0,
        cold_ms=cold_ms,
    )


def test_loads_by_data_centre() -> None:
    """Guards against counting slots that no request can use, and against unknown slowness."""
    known = placement.new_placement(A, 1, 0.0)
    fleet = [
        server(1, "a"),
        server(2, "a"),
        server(3, "b", 3_000.0),
        server(4, "c"),
        server(5, "c"),
    ]
    for entry, requests, is_open, slowness in (
        (fleet[0], 4, True, 1.0),
        (fleet[1], 5, True, 2.0),
        (fleet[2], 0, True, 1.0),
        (fleet[3], 0, False, 1.0),
    ):
        known.record_report(entry.id, requests, is_open, slowness, 10.0)
    known.record_start(fleet[0].id, 10.1)
    known.record_declined(fleet[1].id, 10.1)
    cold = data_centre_load.ColdServers()
    rules = data_centre_load.ServerRules(0, 5.0, True, 2.0)

    def sums(now_s: float) -> dict[ids.DataCentreId, data_centre_load.DataCentreLoad]:
        available = {entry.id for entry in fleet}
        found = cold.update(fleet, now_s)
        return data_centre_load.sum_up(known, fleet, available, found, rules, now_s)

    assert sums(10.1) == {A: load(A, 0, 10, 1.5), B: load(B, 2, 2, cold=True)}
    known.record_report(fleet[2].id, 0, True, 1.0, 13.2)
    # The reports of the others are too old by now, and the cold start has ended.
    assert sums(13.2) == {B: load(B, 5, 5)}
    # After an outage of all reports, all servers are tried, but no load is known.
    assert {found.reported for found in sums(20.0).values()} == {False}


def test_link_delays_apply_in_both_directions() -> None:
    """Guards against a delay that is published for one direction only."""
    known = {(A, B): 0.005}
    found = [data_centre_load.link_delay_s(known, *ends) for ends in ((A, B), (B, A), (A, C))]
    assert found == [0.005, 0.005, data_centre_load.DEFAULT_DELAY_S]


@dataclasses.dataclass
class Waiting:
    """Request in the queue of a front."""

    arrived_s: float
    draw: float


class Replay:
    """Fronts of three data centres that read the same delayed reports of pooled slots."""

    STEP_S = 0.02
    REPORT_DELAY_S = 0.15
    FRONTS_EACH = 5
    DURATION_S = 0.6
    TARGET_S = 0.4

    def __init__(self, seed: int, sends: bool = True) -> None:
        self.random = random.Random(seed)
        self.sends = sends
        self.slots = {A: 24, B: 40, C: 40}
        self.rate_per_s = {A: 24.0, B: 30.0, C: 30.0}
        self.cold: set[ids.DataCentreId] = set()
        self.cut: set[ids.DataCentreId] = set()
        self.stale_s = 0.0
        self.ends: dict[ids.DataCentreId, list[float]] = {A: [], B: [], C: []}
        self.history: list[dict[ids.DataCentreId, int]] = []
        fronts = range(self.FRONTS_EACH)
        self.traffic = {
            (place, number): data_centre_traffic.new_data_centre_traffic(place, 0.0)
            for place in self.slots
            for number in fronts
        }
        self.queue: dict[tuple[ids.DataCentreId, int], list[Waiting]] = {
            front: [] for front in self.traffic
        }
        self.sent: list[tuple[float, ids.DataCentreId, ids.DataCentreId]] = []
        self.own: list[tuple[float, tuple[ids.DataCentreId, int], ids.DataCentreId]] = []
        self.own_counts: collections.Counter[object] = collections.Counter()
        self.on_time = {A: 0, B: 0, C: 0}
        self.arrived = {A: 0, B: 0, C: 0}
        self.rejected = 0
        self.shares: list[float] = []

    def run(self, until_s: float, change: Callable[[float], None] = lambda now_s: None) -> None:
        for step in range(int(until_s / self.STEP_S)):
            now_s = step * self.STEP_S
            change(now_s)
            for place, ends in self.ends.items():
                self.ends[place] = [end for end in ends if end > now_s]
            self.history.append({place: len(ends) for place, ends in self.ends.items()})
            for place, rate_per_s in self.rate_per_s.items():
                for _ in range(10):
                    if self.random.random() >= rate_per_s * self.STEP_S / 10:
                        continue
                    front = (place, self.random.randrange(self.FRONTS_EACH))
                    self.queue[front].append(Waiting(now_s, self.random.random()))
                    self.arrived[place] += 1
            delay_s = self.REPORT_DELAY_S + self.stale_s
            self.own = [item for item in self.own if item[0] > now_s - delay_s]
            self.own_counts = collections.Counter(item[1:] for item in self.own)
            for front in self.random.sample(list(self.queue), len(self.queue)):
                self.traffic[front].tick(now_s)
                self.dispatch(front, now_s, delay_s)
            mine = [traffic.share for (place, _), traffic in self.traffic.items() if place == A]
            self.shares.append(sum(mine) / len(mine))

    def dispatch(self, front: tuple[ids.DataCentreId, int], now_s: float, delay_s: float) -> None:
        place, full = front[0], False
        self.queue[front] = [item for item in self.queue[front] if now_s - item.arrived_s <= 2.0]
        for number, waiting in enumerate(list(self.queue[front])):
            limit = self.traffic[front].share * data_centre_traffic.MAX_PREFERENCE
            if number and waiting.draw >= limit and full:
                continue
            loads = self.loads(front, delay_s)
            wait_s = (number + 1) * self.DURATION_S * self.FRONTS_EACH / self.slots[place]
            which = data_centre_gain.Request(
                now_s - waiting.arrived_s, self.TARGET_S, 0.2, wait_s, 0.0, waiting.draw
            )
            home = loads.pop(place)
            full = not home.free
            others = [found for found in loads.values() if found.slots]
            transit = sum(self.rate_per_s.values()) * placement.REPORT_VISIBILITY_DELAY_S
            found = self.traffic[front].decide(
                which, home if home.slots else None, others, {}, transit, now_s
            )
            target = place
            if isinstance(found, data_centre_traffic.Leave):
                if not self.sends:
                    continue
                target = found.data_centre
            elif not home.free:
                continue
            if len(self.ends[target]) >= self.slots[target]:
                self.rejected += target != place
                continue
            if target != place:
                self.sent.append((now_s, place, target))
            self.queue[front].remove(waiting)
            self.own.append((now_s, front, target))
            self.own_counts[front, target] += 1
            work_s = self.DURATION_S * self.random.uniform(0.7, 1.3)
            self.ends[target].append(now_s + work_s)
            self.on_time[place] += now_s - waiting.arrived_s + 0.2 <= self.TARGET_S

    def loads(
        self, front: tuple[ids.DataCentreId, int], delay_s: float
    ) -> dict[ids.DataCentreId, data_centre_load.DataCentreLoad]:
        reported = self.history[max(0, len(self.history) - 1 - int(delay_s / self.STEP_S))]
        result = {}
        for place, slots in self.slots.items():
            own = self.own_counts.get((front, place), 0)
            cut = place != front[0] and bool({place, front[0]} & self.cut)
            usable = 0 if cut else min(slots, 4) if place in self.cold else slots
            free = max(0, usable - reported[place] - own)
            result[place] = load(place, free, usable, reported=not cut and self.stale_s < 1.0)
        return result

    def sent_between(self, start_s: float, end_s: float) -> list[tuple[str, str]]:
        return [(home, other) for now_s, home, other in self.sent if start_s <= now_s < end_s]


def peak(replay: Replay, start_s: float = 5.0, end_s: float = 40.0) -> Callable[[float], None]:
    def change(now_s: float) -> None:
        replay.rate_per_s[A] = 60.0 if start_s <= now_s < end_s else 24.0

    return change


@pytest.mark.parametrize("seed", [1, 2])
def test_peak_at_a_small_data_centre(seed: int) -> None:
    """Guards against late answers in one data centre while others have free slots.

    Sending has to follow the peak without oscillation and to end with it.
    """
    replay, alone = Replay(seed), Replay(seed, sends=False)
    replay.run(60.0, peak(replay))
    alone.run(20.0, peak(alone))
    assert replay.on_time[A] / replay.arrived[A] > 0.9
    assert alone.on_time[A] / alone.arrived[A] < 0.6
    # Those that help serve their own requests as before, and send next to none, none of them back.
    assert min(replay.on_time[place] / replay.arrived[place] for place in (B, C)) > 0.98
    assert A not in {other for _, other in replay.sent_between(0.0, 60.0)}
    assert sum(home != A for _, home, _ in replay.sent) < 0.01 * len(replay.sent)
    quiet = replay.sent_between(0.0, 5.0) + replay.sent_between(44.0, 60.0)
    assert len(quiet) <= 0.01 * 21.0 * replay.rate_per_s[A]
    assert replay.rejected < 0.05 * len(replay.sent)
    assert oscillations(replay.shares) <= 4


def oscillations(shares: list[float], amplitude: float = 0.2) -> int:
    """Count the reversals of the share that are larger than an amplitude."""
    count, turn, rising = 0, shares[0], True
    for share in shares:
        if (share > turn) == rising:
            turn = share
        elif abs(share - turn) > amplitude:
            count, turn, rising = count + 1, share, not rising
    return count


@pytest.mark.parametrize("seed", [1, 2])
def test_everywhere_full(seed: int) -> None:
    """Guards against data centres that send to each other while all are full."""
    replay = Replay(seed)
    replay.rate_per_s = {A: 60.0, B: 95.0, C: 95.0}
    replay.run(15.0)
    assert len(replay.sent) < 0.01 * sum(replay.arrived.values())
    for second in range(15):
        pairs = set(replay.sent_between(second, second + 1.0))
        assert not pairs & {(other, home) for home, other in pairs}


@pytest.mark.parametrize("seed", [1, 2])
def test_stale_reports_stop_traffic(seed: int) -> None:
    """Guards against sending by reports that no longer say anything."""
    replay = Replay(seed)
    raise_load = peak(replay)

    def change(now_s: float) -> None:
        raise_load(now_s)
        replay.stale_s = 5.0 if 20.0 <= now_s < 25.0 else 0.0

    replay.run(30.0, change)
    assert replay.sent_between(15.0, 20.0)
    assert replay.sent_between(20.0, 25.0) == []


@pytest.mark.parametrize("seed", [1, 2])
def test_cut_link(seed: int) -> None:
    """Guards against sending to a data centre from which nothing is heard."""
    replay = Replay(seed)
    raise_load = peak(replay)

    def change(now_s: float) -> None:
        raise_load(now_s)
        replay.cut = {B} if 15.0 <= now_s < 25.0 else set()

    replay.run(30.0, change)
    assert {other for _, other in replay.sent_between(15.0, 25.0)} == {C}
    assert {other for _, other in replay.sent_between(25.5, 30.0)} == {B, C}


@pytest.mark.parametrize("seed", [1, 2])
def test_data_centre_that_returns_cold(seed: int) -> None:
    """Guards against filling the servers of a data centre that is back, but cold."""
    replay = Replay(seed)
    raise_load = peak(replay, 0.0)
    full_rates = dict(replay.rate_per_s)

    def change(now_s: float) -> None:
        raise_load(now_s)
        replay.slots[B] = 0 if now_s < 10.0 else 40
        replay.cold = {B} if now_s < 20.0 else set()
        replay.rate_per_s[B] = 0.0 if now_s < 20.0 else full_rates[B]

    replay.run(30.0, change)
    assert {other for _, other in replay.sent_between(0.0, 10.0)} == {C}
    running = [counts[B] for counts in replay.history[500:1_000]]
    # Four requests fit; the fronts see them 0.15 s late.
    assert max(running) <= 6
    assert {other for _, other in replay.sent_between(22.0, 30.0)} == {B, C}


@pytest.mark.parametrize("seed", [1, 2])
def test_fronts_decide_alike(seed: int) -> None:
    """Guards against fronts of one data centre that send in turns or overfill another one."""
    replay = Replay(seed)
    replay.run(20.0, peak(replay))
    shares = [traffic.share for (place, _), traffic in replay.traffic.items() if place == A]
    assert replay.sent
    assert max(shares) - min(shares) < 0.5
    assert max(counts[B] for counts in replay.history) <= 40
