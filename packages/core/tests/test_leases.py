"""Guards against two simultaneous holders of a lease and against a decreasing fencing number."""

from __future__ import annotations

import random

import pytest
from hypothesis import settings, stateful, strategies

from gentianpaddle_core import ids, leases, object_api, store_calls
from gentianpaddle_standins import faults, object_store

RATES = (
    faults.FaultRates(),
    faults.FaultRates(stale_read=0.4),
    faults.FaultRates(failure_before_effect=0.2, lost_write_response=0.3, stale_read=0.2),
)


class Process:
    """Process that competes for the lease, with its own clock rate."""

    def __init__(self, name: str, incarnation: int, clock_rate: float) -> None:
        self.lease = leases.new_lease(
            ids.GroupId("g"), ids.VmId(name), ids.Incarnation(incarnation)
        )
        self.name = f"{name}/{incarnation}"
        self.clock_rate = clock_rate
        self.call: store_calls.Call | None = None
        self.result: store_calls.CallResult | None = None

    def now_s(self, time_s: float) -> float:
        return 100.0 + time_s * self.clock_rate

    def status(self, time_s: float) -> leases.Held | leases.NotHeld:
        return self.lease.status(self.now_s(time_s))

    def step(self, api: object_api.ObjectApi, time_s: float) -> None:
        """Request a call, perform it or process its result; time may pass between these steps."""
        if self.result is not None:
            result, self.result = self.result, None
            self.lease.handle_result(result, self.now_s(time_s))
        elif self.call is not None:
            call, self.call = self.call, None
            self.result = store_calls.perform(call, api)
        else:
            step = self.lease.next_call(self.now_s(time_s))
            self.call = None if isinstance(step, store_calls.Idle) else step


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Competing processes that pause and crash, with a faulty store and delayed writes."""

    @stateful.initialize(seed=strategies.integers(0, 2**32))
    def start(self, seed: int):
        self.random = random.Random(seed)
        self.store = object_store.NonBlockingObjectStore()
        self.api = faults.FaultyObjectApi(self.store, self.random, clock=lambda: 0.0)
        self.time_s = 0.0
        self.incarnation = 0
        self.delayed_puts: list[store_calls.Put] = []
        self.last_holder = ("", 0)
        self.processes = [self._new_process(index) for index in range(3)]

    def _new_process(self, index: int) -> Process:
        self.incarnation += 1
        return Process(f"entry{index}", self.incarnation, self.random.choice([0.95, 1.0, 1.05]))

    @stateful.rule(rates=strategies.sampled_from(RATES), availability=strategies.integers(0, 5))
    def change_faults(self, rates: faults.FaultRates, availability: int):
        self.api.rates = rates
        self.api.start_outage(0.0 if availability else 1.0)

    @stateful.rule(steps=strategies.sampled_from([400, 100, 20]))
    def run_random_actions(self, steps: int):
        actions = [
            self.step,
            self.run,
            self.advance_clock,
            self.lose_response,
            self.apply_delayed_put,
            self.crash,
            self.release,
        ]
        for _ in range(steps):
            action = self.random.choices(actions, [50, 20, 25, 4, 4, 0.7, 0.3])[0]
            action(self.random.choice(self.processes))
            self.check_holders()

    def step(self, process: Process) -> None:
        process.step(self.api, self.time_s)

    def run(self, process: Process) -> None:
        for _ in range(6):
            process.step(self.api, self.time_s)

    def advance_clock(self, _: Process) -> None:
        self.time_s += self.random.choice([0.1, 0.5, 1.0, 2.5])

    def lose_response(self, process: Process) -> None:
        if isinstance(process.call, store_calls.Put):
            self.delayed_puts.append(process.call)
            process.call, process.result = None, object_api.ResponseLost("timed out")

    def apply_delayed_put(self, _: Process) -> None:
        if self.delayed_puts:
            put = self.delayed_puts.pop(0)
            self.store.put(put.key, put.value, put.expected_version)

    def crash(self, process: Process) -> None:
        if isinstance(process.call, store_calls.Put):
            self.delayed_puts.append(process.call)
        index = self.processes.index(process)
        self.processes[index] = self._new_process(index)

    def release(self, process: Process) -> None:
        process.lease.release()

    def check_holders(self) -> None:
        holders = []
        for process in self.processes:
            status = process.status(self.time_s)
            if isinstance(status, leases.Held):
                holders.append((process.name, status.fence))
        assert len(holders) <= 1, "two holders may act"
        for name, fence in holders:
            assert fence > self.last_holder[1] or (name, fence) == self.last_holder, (
                "a fence did not rise"
            )
            self.last_holder = (name, fence)

    def teardown(self):
        if not hasattr(self, "api"):
            return
        self.api.rates = faults.FaultRates()
        self.api.end_outage()
        self.processes.append(self._new_process(3))
        for _ in range(400):
            self.time_s += 0.1
            for process in self.processes:
                process.step(self.api, self.time_s)
            self.check_holders()
        assert any(isinstance(p.status(self.time_s), leases.Held) for p in self.processes)


TestLeaseMachine = LeaseMachine.TestCase
TestLeaseMachine.settings = settings(stateful_step_count=12)


@pytest.mark.parametrize(
    ("pause_s", "may_act"), [(0.0, True), (7.9, True), (8.1, False), (60.0, False)]
)
def test_paused_holder_stops_before_its_term_ends(pause_s: float, may_act: bool):
    store = object_store.NonBlockingObjectStore()
    process = Process("a", 1, 1.0)
    for _ in range(8):
        process.step(store, 0.0)
    assert isinstance(process.status(pause_s), leases.Held) == may_act


def test_released_lease_is_taken_without_waiting():
    store = object_store.NonBlockingObjectStore()
    first, second = Process("a", 1, 1.0), Process("b", 1, 1.0)
    for process in (first, second):
        for _ in range(9):
            process.step(store, 0.0)
    assert second.status(0.0) == leases.NotHeld(ids.VmId("a"))
    first.lease.release()
    assert not isinstance(first.status(0.0), leases.Held)
    for time_s in (0.0, 2.5):
        for process in (first, second):
            for _ in range(9):
                process.step(store, time_s)
    assert second.status(2.5) == leases.Held(ids.Fence(2), 100.0 + 2.5 + 8.0)
