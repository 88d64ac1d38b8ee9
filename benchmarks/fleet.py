"""Simulated fleet: entries with independent views of fake agents, on a virtual clock.

Policies differ only in how they choose a backend server. Queue, grants, limits and arrivals are the
same for all policies, so any difference in the figures comes from this choice.
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
MIX = fakes.RequestMix(
    {QUOTE: 0.6, LOOKUP: 0.2, BATCH: 0.2},
    {ids.OrganisationId(f"o{number}"): 1 / (1 + number) for number in range(10)},
)
ONE_WAY_DELAY_S = 0.000_5
"""Network delay between an entry and an agent."""
SUSPECTED_AFTER_S = 3.0
"""Time from the crash of a server until the entries suspect it."""
COMPLETION_LIMIT_S = 30.0
"""Time after the last arrival within which calls may still complete."""
SATURATING_CALLS_PER_S = 15.0
"""Offered calls per second and server in the capacity run; a server can answer about 10."""
SATURATED_UNTIL_S = 20.0
"""Virtual time of the end of the capacity run."""


class Policy(enum.StrEnum):
    """Routing policy."""

    ROUND_ROBIN = "round_robin"
    LEAST_OUTSTANDING = "least_outstanding"
    EXPECTED_TIME = "expected_time"


@dataclasses.dataclass(frozen=True, slots=True)
class RunOptions:
    """Size, duration and faults of a simulated fleet."""

    seed: int = 1
    """Seed of arrivals and entry choice."""
    entries: int = 8
    servers: int = 16
    data_centres: int = 3
    report_lag_s: float = 0.0
    """Age of the engine figures in load reports, in addition to the report interval."""
    slow_servers: int = 0
    """Number of servers whose steps take `slow_factor` times as long."""
    slow_factor: float = 2.0
    until_s: float = 30.0
    """Virtual time of the last arrival."""
    warm_up_s: float = 8.0
    """Virtual time before which calls are not counted."""
    queue_limit: int = 1_000
    """Number of requests that the admission queue of an entry holds."""


class PolicySelector:
    """Selects backend servers for one entry by a routing policy."""

    def __init__(self, policy: Policy, router: routing.Router, servers: list[str]) -> None:
        """Create a selector over the servers of a router."""
        self._policy = policy
        self._router = router
        self._servers = [ids.BackendServerId(server) for server in servers]
        self._next = itertools.count()

    def choose(self, request: routing.Request, now_s: float) -> routing.Decision:
        """Choose a server by the policy; same contract as `routing.Router.choose`."""
        if self._policy is Policy.EXPECTED_TIME:
            return self._router.choose(request, now_s)
        available = [
            server
            for server in self._servers
            if server not in request.tried and self._router.remaining_grant(server, now_s) > 0
        ]
        if not available:
            return routing.Wait(now_s + routing.RETRY_WAIT_S, routing.Reason.NO_GRANT)
        position = next(self._next)
        chosen = available[position % len(available)]
        if self._policy is Policy.LEAST_OUTSTANDING:
            rotated = available[position % len(available) :] + available
            chosen = min(rotated, key=self._router.outstanding)
        reason = routing.Reason.MEETS_TARGET
        return routing.Routed(chosen, reason, 0.1, 0.02, len(available), request.prompt_tokens)


@dataclasses.dataclass(slots=True)
class _PendingCall:
    call: fakes.Call
    tried: frozenset[ids.BackendServerId] = frozenset()
    attempts: int = 0
    declines: int = 0


class Entry:
    """One entry with admission, routing and retries."""

    def __init__(self, number: int, fleet: Fleet) -> None:
        """Create an entry with links to all agents of a fleet."""
        self._number = number
        self._fleet = fleet
        self._clock = fleet.clock
        place = routing.Place(ids.DataCentreId(f"d{number % fleet.options.data_centres}"), REGION)
        self.router = routing.new_router(place)
        for server in fleet.servers:
            self.router.add(server)
        self._selector = PolicySelector(fleet.policy, self.router, [s.id for s in fleet.servers])
        self._queue = admission.new_admission_queue(fleet.options.queue_limit)
        self._budget = retries.new_retry_budget()
        self._pending_by_ticket: dict[int, _PendingCall] = {}
        self._retry_queue: list[_PendingCall] = []
        self._next_dispatch_s: float | None = None

    def offer(self, call: fakes.Call) -> None:
        """Offer a call to the admission queue and dispatch what is ready."""
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
        self._pending_by_ticket[offered.ticket.number] = _PendingCall(call)
        if offered.displaced is not None:
            self._pending_by_ticket.pop(offered.displaced.ticket.number).call.refused = True
        self.dispatch()

    def dispatch(self) -> None:
        """Refuse expired requests, then route retries and queued requests until none can start."""
        now_s = self._clock.now_s
        for ticket in self._queue.expire(now_s):
            call = self._pending_by_ticket.pop(ticket.number).call
            call.refused = True
            call.retry_after_s = self._queue.retry_after_s(ticket, now_s)
        while self._retry_queue:
            if not self._route(self._retry_queue[0]):
                break
            self._retry_queue.pop(0)
        blocked_classes = frozenset[ids.ClassName]()
        while (ready := self._queue.next_ready(MODEL, now_s, blocked_classes)) is not None:
            pending = self._pending_by_ticket[ready.number]
            if not self._route(pending):
                blocked_classes |= {ready.class_of_work.name}
                continue
            self._queue.take(ready, now_s)
            del self._pending_by_ticket[ready.number]

    def _route(self, pending: _PendingCall) -> bool:
        """Route a call; return False if it has to wait."""
        call, now_s = pending.call, self._clock.now_s
        request = routing.Request(
            MODEL,
            ids.Fingerprint(f"{self._fleet.options.seed}/{call.number}"),
            call.class_of_work,
            call.arrived_s,
            call.prompt_tokens,
            tuple(call.prefix * 100 + block for block in range(8)),
            pending.tried,
        )
        decision = self._selector.choose(request, now_s)
        if isinstance(decision, routing.Wait):
            self._schedule_dispatch(decision.until_s)
            return False
        if isinstance(decision, routing.NoCapacity):
            call.refused = True
            return True
        pending.attempts += 1
        self._fleet.attempts += 1
        if pending.attempts == 1:
            self._budget.add_first_attempt()
            self._fleet.first_attempts += 1
        self._send(pending, decision, request)
        return True

    def _send(
        self, pending: _PendingCall, decision: routing.Routed, request: routing.Request
    ) -> None:
        server, call = decision.backend_server, pending.call
        attempt = (ids.RequestKey(str(call.number)), pending.attempts)
        agent = self._fleet.agent_by_id[server]
        self.router.record_sent(
            server, attempt, request, decision.uncached_tokens, self._clock.now_s
        )
        pending.tried |= {server}

        def on_first_token() -> None:
            call.first_token_at_s = self._clock.now_s
            self.router.record_first_token(server, attempt, self._clock.now_s)

        def on_end(gap_s: float | None) -> None:
            if gap_s is None:
                self.router.record_failed(server, attempt, self._clock.now_s)
                self._handle_failed_attempt(pending, retries.FailedAttemptKind.FAILED)
            else:
                self.router.record_finished(server, attempt, gap_s, self._clock.now_s)
                call.mean_gap_s = gap_s
            self.dispatch()

        def on_declined() -> None:
            self.router.record_declined(server, attempt, self._clock.now_s)
            pending.declines += 1
            self._handle_failed_attempt(pending, retries.FailedAttemptKind.DECLINED)
            self.dispatch()

        def on_arrival() -> None:
            engine_attempt = fakes.EngineAttempt(
                call,
                self._number,
                lambda: self._clock.call_after(ONE_WAY_DELAY_S, on_first_token),
                lambda gap_s: self._clock.call_after(ONE_WAY_DELAY_S, lambda: on_end(gap_s)),
            )
            if agent.engine.failed:
                on_end(None)
            elif not agent.start(engine_attempt):
                self._clock.call_after(ONE_WAY_DELAY_S, on_declined)

        self._clock.call_after(ONE_WAY_DELAY_S, on_arrival)

    def _handle_failed_attempt(
        self, pending: _PendingCall, ending: retries.FailedAttemptKind
    ) -> None:
        decided = self._budget.decide_retry(
            ending,
            idempotent=True,
            declines=pending.declines,
            deadline_s=pending.call.arrived_s + pending.call.class_of_work.deadline_s,
            expected_s=0.1,
            now_s=self._clock.now_s,
        )
        if isinstance(decided, retries.Retry):
            self._retry_queue.append(pending)
        elif isinstance(decided, retries.RetryLater):
            self._clock.call_at(decided.retry_at_s, functools.partial(self._retry, pending, ending))
        else:
            pending.call.cut = True

    def _retry(self, pending: _PendingCall, ending: retries.FailedAttemptKind) -> None:
        self._handle_failed_attempt(pending, ending)
        self.dispatch()

    def _schedule_dispatch(self, at_s: float) -> None:
        if (
            self._next_dispatch_s is None
            or at_s < self._next_dispatch_s
            or self._next_dispatch_s < self._clock.now_s
        ):
            self._next_dispatch_s = at_s
            self._clock.call_at(at_s, self.dispatch)


REGION = ids.RegionId("r1")


class Fleet:
    """Agents, entries and arrivals of one run."""

    def __init__(self, policy: Policy, options: RunOptions) -> None:
        """Create an idle fleet of warm servers."""
        self.policy = policy
        self.options = options
        self.clock = fakes.Clock()
        self.first_attempts = 0
        self.attempts = 0
        self.servers = [
            routing.BackendServer(
                ids.BackendServerId(f"b{number}"),
                ids.VmId(f"v{number}"),
                routing.Place(ids.DataCentreId(f"d{number % options.data_centres}"), REGION),
                (MODEL,),
                ONE_WAY_DELAY_S,
            )
            for number in range(options.servers)
        ]
        self.agent_by_id = {
            server.id: fakes.Agent(
                self.clock,
                fakes.Engine(
                    self.clock, options.slow_factor if number < options.slow_servers else 1.0
                ),
                options.entries,
                options.report_lag_s,
            )
            for number, server in enumerate(self.servers)
        }
        self.entries = [Entry(number, self) for number in range(options.entries)]
        for number, server in enumerate(self.servers):
            self._report(server.id)
            offset_s = fakes.REPORT_INTERVAL_S * number / options.servers
            self.clock.call_at(offset_s, functools.partial(self._report_periodically, server.id))

    def run(
        self, rate_at: Callable[[float], float], peak_rate: float, mix: fakes.RequestMix = MIX
    ) -> list[fakes.Call]:
        """Run all arrivals and wait up to `COMPLETION_LIMIT_S` for the last calls to complete.

        Args:
            rate_at: Arrivals per second as a function of virtual time.
            peak_rate: Upper bound of `rate_at`.
            mix: Classes and organisations of the calls.

        Returns:
            All calls in order of arrival.
        """
        rng = random.Random(self.options.seed)
        calls = list(fakes.poisson_arrivals(mix, rate_at, peak_rate, self.options.until_s, rng))
        for call in calls:
            entry = self.entries[rng.randrange(self.options.entries)]
            self.clock.call_at(call.arrived_s, functools.partial(entry.offer, call))
        until_s = self.options.until_s
        self.clock.run(until_s)
        while until_s < self.options.until_s + COMPLETION_LIMIT_S and not all(
            c.has_outcome for c in calls
        ):
            until_s += 1.0
            self.clock.run(until_s)
        return calls

    def set_out_of_service(
        self, data_centre: str, out_of_service: bool, rng: random.Random
    ) -> None:
        """Take a data centre out of service or back.

        Each entry and agent applies the change after a random delay of 0.2 s to 2 s.
        """
        centre = ids.DataCentreId(data_centre)
        out_centres = frozenset({centre} if out_of_service else ())
        for entry in self.entries:
            self.clock.call_after(
                rng.uniform(0.2, 2.0),
                functools.partial(entry.router.set_out_of_service, out_centres, frozenset()),
            )
        for server in self.servers:
            if server.place.data_centre == centre:
                agent = self.agent_by_id[server.id]
                self.clock.call_after(
                    rng.uniform(0.2, 2.0), functools.partial(_set_agent_out, agent, out_of_service)
                )

    def crash_server(self, server: ids.BackendServerId) -> None:
        """Crash a server; entries suspect it after `SUSPECTED_AFTER_S`."""
        self.agent_by_id[server].engine.fail()
        self.clock.call_after(SUSPECTED_AFTER_S, functools.partial(self._suspect, server))

    def _suspect(self, server: ids.BackendServerId) -> None:
        for entry in self.entries:
            entry.router.set_state(server, routing.State.SUSPECT, self.clock.now_s)

    def _report_periodically(self, server: ids.BackendServerId) -> None:
        if not self.agent_by_id[server].engine.failed:
            self._report(server)
            self.clock.call_after(
                fakes.REPORT_INTERVAL_S, lambda: self._report_periodically(server)
            )

    def _report(self, server: ids.BackendServerId) -> None:
        loads = self.agent_by_id[server].report()
        for entry, load in zip(self.entries, loads, strict=True):
            entry.router.apply_load_report(server, load, self.clock.now_s)
            entry.dispatch()


def _set_agent_out(agent: fakes.Agent, out_of_service: bool) -> None:
    agent.out_of_service = out_of_service
    if not out_of_service:
        agent.restart()


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Figures of the calls that arrived within a time span."""

    calls: int
    in_target: float
    """Share of the calls in target; refused and cut calls count as missed."""
    in_target_by_class: dict[str, float]
    refused: float
    """Share of the calls that were refused."""
    cut: int
    """Number of calls whose last attempt failed and was not retried."""
    ttft_p95_s: float
    """95th percentile of the time to the first token."""
    ttft_p99_s: float
    gap_p95_s: float
    """95th percentile of the mean token gap of a call."""
    gap_p99_s: float
    goodput_per_s: float
    """Calls in target per second."""


def summarise(calls: list[fakes.Call], from_s: float, until_s: float) -> Figures:
    """Summarise the calls that arrived from `from_s` until `until_s`."""
    chosen = [call for call in calls if from_s <= call.arrived_s < until_s]
    answered = [call for call in chosen if call.mean_gap_s < 1e9]
    first_token_times_s = sorted(call.first_token_at_s - call.arrived_s for call in answered)
    gaps = sorted(call.mean_gap_s for call in answered)
    classes = sorted({call.class_of_work.name for call in chosen})
    return Figures(
        calls=len(chosen),
        in_target=share_in_target(chosen),
        in_target_by_class={
            str(name): share_in_target([call for call in chosen if call.class_of_work.name == name])
            for name in classes
        },
        refused=sum(call.refused for call in chosen) / len(chosen),
        cut=sum(call.cut for call in chosen),
        ttft_p95_s=quantile(first_token_times_s, 0.95),
        ttft_p99_s=quantile(first_token_times_s, 0.99),
        gap_p95_s=quantile(gaps, 0.95),
        gap_p99_s=quantile(gaps, 0.99),
        goodput_per_s=sum(call.in_target for call in chosen) / (until_s - from_s),
    )


def share_in_target(calls: list[fakes.Call]) -> float:
    """Return the share of the calls in target, 0 without any."""
    return sum(call.in_target for call in calls) / max(1, len(calls))


def quantile(ordered: list[float], fraction: float) -> float:
    """Return a quantile of ordered values, 0 if there are none."""
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0


@functools.lru_cache
def capacity(options: RunOptions) -> float:
    """Measure the throughput of a saturated fleet under `Policy.EXPECTED_TIME`.

    Slow servers stay slow; load reports do not lag.

    Args:
        options: Size of the fleet.

    Returns:
        Answered calls per second, taken as 100 % load.
    """
    saturated = dataclasses.replace(options, until_s=SATURATED_UNTIL_S, report_lag_s=0.0)
    fleet = Fleet(Policy.EXPECTED_TIME, saturated)
    offered = SATURATING_CALLS_PER_S * options.servers
    calls = fleet.run(lambda _: offered, offered)
    answered = [
        call
        for call in calls
        if call.mean_gap_s < 1e9 and options.warm_up_s <= call.first_token_at_s < SATURATED_UNTIL_S
    ]
    return len(answered) / (SATURATED_UNTIL_S - options.warm_up_s)
