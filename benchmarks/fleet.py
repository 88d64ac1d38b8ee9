"""A few entries with their own views in front of fake agents, run on a virtual clock.

Policies differ only in the choice of a backend server. Queue, grants, limits and arrivals are the
same for all, so a difference in the figures comes from the choice.
"""

from __future__ import annotations

import dataclasses
import enum
import functools
import itertools
import random
from collections.abc import Callable

from benchmarks import fakes
from gentianpaddle_core import admission, declarations, ids, retries, routing

MODEL = ids.ModelName("draft")
QUOTE = declarations.ClassOfWork(ids.ClassName("quote"), 1.8, 27.0, 0.95, 20.0)
LOOKUP = declarations.ClassOfWork(ids.ClassName("lookup"), 1.0, 27.0, 0.99, 10.0)
BATCH = declarations.ClassOfWork(ids.ClassName("batch"), 20.0, 60.0, 0.9, 120.0)
MIX = fakes.Mix(
    {QUOTE: 0.6, LOOKUP: 0.2, BATCH: 0.2},
    {ids.OrganisationId(f"o{number}"): 1 / (1 + number) for number in range(10)},
)
ONE_WAY_S = 0.000_5
SUSPECTED_AFTER_S = 3.0
DRAIN_LIMIT_S = 30.0
"""Longest time after the last arrival in which requests may still end."""
SATURATING_RATE = 15.0
"""Calls per second for each server that saturate it; it can answer about 10."""
SATURATED_UNTIL_S = 20.0


class Policy(enum.StrEnum):
    """How a backend server is chosen."""

    ROUND_ROBIN = "round_robin"
    LEAST_OUTSTANDING = "least_outstanding"
    EXPECTED_TIME = "expected_time"


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Size and load of a run."""

    seed: int = 1
    entries: int = 8
    servers: int = 16
    data_centres: int = 3
    lag_s: float = 0.0
    """Lag of the engines' figures in load reports, besides the report interval."""
    slow: int = 0
    """Servers whose steps take `slow_factor` times as long."""
    slow_factor: float = 2.0
    until_s: float = 30.0
    warm_up_s: float = 8.0
    queue_limit: int = 1_000


class Chooser:
    """Choice of one entry by one of the policies, over the same view."""

    def __init__(self, policy: Policy, router: routing.Router, servers: list[str]) -> None:
        """Create a chooser for the servers of a router."""
        self._policy = policy
        self._router = router
        self._servers = [ids.BackendServerId(server) for server in servers]
        self._next = itertools.count()

    def choose(self, request: routing.Request, now_s: float) -> routing.Decision:
        """Choose as `routing.Router.choose` does."""
        if self._policy is Policy.EXPECTED_TIME:
            return self._router.choose(request, now_s)
        open_servers = [
            server
            for server in self._servers
            if server not in request.tried and self._router.room(server, now_s) > 0
        ]
        if not open_servers:
            return routing.Wait(now_s + routing.RETRY_WAIT_S, routing.Reason.NO_GRANT)
        position = next(self._next)
        chosen = open_servers[position % len(open_servers)]
        if self._policy is Policy.LEAST_OUTSTANDING:
            turned = open_servers[position % len(open_servers) :] + open_servers
            chosen = min(turned, key=self._router.outstanding)
        reason = routing.Reason.MEETS_TARGET
        return routing.Routed(chosen, reason, 0.1, 0.02, len(open_servers), request.prompt_tokens)


@dataclasses.dataclass(slots=True)
class _Work:
    call: fakes.Call
    tried: frozenset[ids.BackendServerId] = frozenset()
    attempts: int = 0
    declines: int = 0


class Entry:
    """Admission, routing and retries of one entry."""

    def __init__(self, number: int, fleet: Fleet) -> None:
        """Create an entry with links to all agents of a fleet."""
        self._number = number
        self._fleet = fleet
        self._clock = fleet.clock
        place = routing.Place(ids.DataCentreId(f"d{number % fleet.shape.data_centres}"), REGION)
        self.router = routing.new_router(place)
        for server in fleet.servers:
            self.router.add(server)
        self._chooser = Chooser(fleet.policy, self.router, [s.id for s in fleet.servers])
        self._queue = admission.new_admission_queue(fleet.shape.queue_limit)
        self._budget = retries.new_retry_budget()
        self._work_by_ticket: dict[int, _Work] = {}
        self._again: list[_Work] = []
        self._pump_at_s: float | None = None

    def arrive(self, call: fakes.Call) -> None:
        """Take a call of a caller."""
        offered = self._queue.offer(
            MODEL,
            call.organisation,
            call.class_of_work,
            call.prompt_tokens + 100.0,
            self._clock.now_s,
        )
        if isinstance(offered, admission.Refused):
            call.refused, call.retry_after_s = True, offered.retry_after_s
            return
        self._work_by_ticket[offered.ticket.number] = _Work(call)
        if offered.displaced is not None:
            self._work_by_ticket.pop(offered.displaced.ticket.number).call.refused = True
        self.pump()

    def pump(self) -> None:
        """Start what can start."""
        now_s = self._clock.now_s
        for ticket in self._queue.expire(now_s):
            call = self._work_by_ticket.pop(ticket.number).call
            call.refused = True
            call.retry_after_s = self._queue.retry_after_s(ticket, now_s)
        while self._again:
            if not self._try(self._again[0]):
                break
            self._again.pop(0)
        passed_over = frozenset[ids.ClassName]()
        while (ready := self._queue.next_ready(MODEL, now_s, passed_over)) is not None:
            work = self._work_by_ticket[ready.number]
            if not self._try(work):
                passed_over |= {ready.class_of_work.name}
                continue
            self._queue.take(ready, now_s)
            del self._work_by_ticket[ready.number]

    def _try(self, work: _Work) -> bool:
        """Route; False when the request has to wait."""
        call, now_s = work.call, self._clock.now_s
        request = routing.Request(
            MODEL,
            ids.Fingerprint(f"{self._fleet.shape.seed}/{call.number}"),
            call.class_of_work,
            call.arrived_s,
            call.prompt_tokens,
            tuple(call.prefix * 100 + block for block in range(8)),
            work.tried,
        )
        decision = self._chooser.choose(request, now_s)
        if isinstance(decision, routing.Wait):
            self._pump_later(decision.until_s)
            return False
        if isinstance(decision, routing.NoCapacity):
            call.refused = True
            return True
        work.attempts += 1
        self._fleet.attempts += 1
        if work.attempts == 1:
            self._budget.first_attempt()
            self._fleet.first_attempts += 1
        self._send(work, decision, request)
        return True

    def _send(self, work: _Work, decision: routing.Routed, request: routing.Request) -> None:
        server, call = decision.backend_server, work.call
        attempt = (ids.RequestKey(str(call.number)), work.attempts)
        agent = self._fleet.agent_by_id[server]
        self.router.sent(server, attempt, request, decision.uncached_tokens, self._clock.now_s)
        work.tried |= {server}

        def first() -> None:
            call.first_s = self._clock.now_s
            self.router.first_token(server, attempt, self._clock.now_s)

        def end(gap_s: float | None) -> None:
            if gap_s is None:
                self.router.failed(server, attempt, self._clock.now_s)
                self._failed(work, retries.Ending.FAILED)
            else:
                self.router.finished(server, attempt, gap_s, self._clock.now_s)
                call.gap_s = gap_s
            self.pump()

        def declined() -> None:
            self.router.declined(server, attempt, self._clock.now_s)
            work.declines += 1
            self._failed(work, retries.Ending.DECLINED)
            self.pump()

        def arrive() -> None:
            job = fakes.Job(
                call,
                self._number,
                lambda: self._clock.after(ONE_WAY_S, first),
                lambda gap_s: self._clock.after(ONE_WAY_S, lambda: end(gap_s)),
            )
            if agent.engine.dead:
                end(None)
            elif not agent.start(job):
                self._clock.after(ONE_WAY_S, declined)

        self._clock.after(ONE_WAY_S, arrive)

    def _failed(self, work: _Work, ending: retries.Ending) -> None:
        decided = self._budget.after(
            ending,
            idempotent=True,
            declines=work.declines,
            deadline_s=work.call.arrived_s + work.call.class_of_work.deadline_s,
            expected_s=0.1,
            now_s=self._clock.now_s,
        )
        if isinstance(decided, retries.Retry):
            self._again.append(work)
        elif isinstance(decided, retries.Later):
            self._clock.at(decided.look_again_s, functools.partial(self._retry, work, ending))
        else:
            work.call.cut = True

    def _retry(self, work: _Work, ending: retries.Ending) -> None:
        self._failed(work, ending)
        self.pump()

    def _pump_later(self, at_s: float) -> None:
        if self._pump_at_s is None or at_s < self._pump_at_s or self._pump_at_s < self._clock.now_s:
            self._pump_at_s = at_s
            self._clock.at(at_s, self.pump)


REGION = ids.RegionId("r1")


class Fleet:
    """Agents, entries and callers of one run."""

    def __init__(self, policy: Policy, shape: Shape) -> None:
        """Create a warm fleet without load."""
        self.policy = policy
        self.shape = shape
        self.clock = fakes.Clock()
        self.first_attempts = 0
        self.attempts = 0
        self.servers = [
            routing.BackendServer(
                ids.BackendServerId(f"b{number}"),
                ids.VmId(f"v{number}"),
                routing.Place(ids.DataCentreId(f"d{number % shape.data_centres}"), REGION),
                (MODEL,),
                ONE_WAY_S,
            )
            for number in range(shape.servers)
        ]
        self.agent_by_id = {
            server.id: fakes.Agent(
                self.clock,
                fakes.Engine(self.clock, shape.slow_factor if number < shape.slow else 1.0),
                shape.entries,
                shape.lag_s,
            )
            for number, server in enumerate(self.servers)
        }
        self.entries = [Entry(number, self) for number in range(shape.entries)]
        for number, server in enumerate(self.servers):
            self._report(server.id)
            offset_s = fakes.REPORT_INTERVAL_S * number / shape.servers
            self.clock.at(offset_s, functools.partial(self._report_often, server.id))

    def run(
        self, rate: Callable[[float], float], peak: float, mix: fakes.Mix = MIX
    ) -> list[fakes.Call]:
        """Run all arrivals and let the last requests end.

        Args:
            rate: Arrivals per second at a time.
            peak: Its largest value.
            mix: What callers send.

        Returns:
            All calls in order of arrival.
        """
        rng = random.Random(self.shape.seed)
        calls = list(fakes.arrivals(mix, rate, peak, self.shape.until_s, rng))
        for call in calls:
            entry = self.entries[rng.randrange(self.shape.entries)]
            self.clock.at(call.arrived_s, functools.partial(entry.arrive, call))
        until_s = self.shape.until_s
        self.clock.run(until_s)
        while until_s < self.shape.until_s + DRAIN_LIMIT_S and not all(c.settled for c in calls):
            until_s += 1.0
            self.clock.run(until_s)
        return calls

    def set_out(self, data_centre: str, out: bool, rng: random.Random) -> None:
        """Take a data centre out of service or back; each process learns it within 2 s."""
        centre = ids.DataCentreId(data_centre)
        outs = frozenset({centre} if out else ())
        for entry in self.entries:
            self.clock.after(
                rng.uniform(0.2, 2.0),
                functools.partial(entry.router.set_out, outs, frozenset()),
            )
        for server in self.servers:
            if server.place.data_centre == centre:
                agent = self.agent_by_id[server.id]
                self.clock.after(rng.uniform(0.2, 2.0), functools.partial(_set_out, agent, out))

    def kill(self, server: ids.BackendServerId) -> None:
        """End a server abruptly; entries suspect it later."""
        self.agent_by_id[server].engine.die()
        self.clock.after(SUSPECTED_AFTER_S, functools.partial(self._suspect, server))

    def _suspect(self, server: ids.BackendServerId) -> None:
        for entry in self.entries:
            entry.router.set_state(server, routing.State.SUSPECT, self.clock.now_s)

    def _report_often(self, server: ids.BackendServerId) -> None:
        if not self.agent_by_id[server].engine.dead:
            self._report(server)
            self.clock.after(fakes.REPORT_INTERVAL_S, lambda: self._report_often(server))

    def _report(self, server: ids.BackendServerId) -> None:
        loads = self.agent_by_id[server].report()
        for entry, load in zip(self.entries, loads, strict=True):
            entry.router.report(server, load, self.clock.now_s)
            entry.pump()


def _set_out(agent: fakes.Agent, out: bool) -> None:
    agent.out = out
    if not out:
        agent.restart()


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Figures of the calls after the warm-up."""

    calls: int
    in_target: float
    """Share in target; refused and cut calls are out of target."""
    in_target_by_class: dict[str, float]
    refused: float
    """Share refused."""
    cut: int
    first_p95_s: float
    first_p99_s: float
    gap_p95_s: float
    gap_p99_s: float
    goodput: float
    """Calls in target per second."""


def figures(calls: list[fakes.Call], from_s: float, until_s: float) -> Figures:
    """Summarise the calls that arrived within a span."""
    chosen = [call for call in calls if from_s <= call.arrived_s < until_s]
    answered = [call for call in chosen if call.gap_s < 1e9]
    firsts = sorted(call.first_s - call.arrived_s for call in answered)
    gaps = sorted(call.gap_s for call in answered)
    classes = sorted({call.class_of_work.name for call in chosen})
    return Figures(
        calls=len(chosen),
        in_target=share(chosen),
        in_target_by_class={
            str(name): share([call for call in chosen if call.class_of_work.name == name])
            for name in classes
        },
        refused=sum(call.refused for call in chosen) / len(chosen),
        cut=sum(call.cut for call in chosen),
        first_p95_s=quantile(firsts, 0.95),
        first_p99_s=quantile(firsts, 0.99),
        gap_p95_s=quantile(gaps, 0.95),
        gap_p99_s=quantile(gaps, 0.99),
        goodput=sum(call.in_target for call in chosen) / (until_s - from_s),
    )


def share(calls: list[fakes.Call]) -> float:
    """Share of calls in target."""
    return sum(call.in_target for call in calls) / max(1, len(calls))


def quantile(ordered: list[float], q: float) -> float:
    """Quantile of ordered values, 0 when there are none."""
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))] if ordered else 0.0


@functools.lru_cache
def capacity(shape: Shape) -> float:
    """Answered calls per second of a saturated fleet under our routing, without faults.

    Args:
        shape: Size of the fleet.

    Returns:
        Calls per second that count as 100 % load.
    """
    saturated = dataclasses.replace(shape, until_s=SATURATED_UNTIL_S, lag_s=0.0)
    fleet = Fleet(Policy.EXPECTED_TIME, saturated)
    offered = SATURATING_RATE * shape.servers
    calls = fleet.run(lambda _: offered, offered)
    answered = [
        call
        for call in calls
        if call.gap_s < 1e9 and shape.warm_up_s <= call.first_s < SATURATED_UNTIL_S
    ]
    return len(answered) / (SATURATED_UNTIL_S - shape.warm_up_s)
