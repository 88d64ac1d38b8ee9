"""Spread time and cost of membership and configuration exchange at 8, 64 and 360 members.

Run with `python -m benchmarks.membership`.
"""

from __future__ import annotations

import dataclasses
import statistics
import sys
from collections.abc import Callable, Iterable

from benchmarks import figures, membership_fleet
from gentianpaddle_core import ids, membership
from gentianpaddle_core import watchers as watching

SIZES = (8, 64, 360)
SEEDS = (1, 2, 3, 4, 5)
SETTLE_S = 12.0
"""Virtual time before measuring starts."""
REST_S = 20.0
"""Virtual time over which the cost at rest is measured."""
LIMIT_S = 60.0
"""Virtual time after which a change that has not reached every member counts as failed."""
DOCUMENT_LINES = 400
"""Number of organisations in the simulated configuration document."""


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Figures at one size and seed; times are virtual, bytes are of serialised messages."""

    members: int
    """Number of members."""
    leaving_s: float
    """Time from announcing the leaving state until every member sees it."""
    death_s: float
    """Time from a crash until every member sees the crashed one as dead."""
    revision_s: float
    """Time from a new configuration at one watcher until every member has it in force."""
    refuted_s: float
    """Time from a false suspicion until every member sees the suspected one as alive again."""
    rest_sent_bytes_s: float
    """Mean bytes per second that an idle member sends."""
    rest_both_bytes_s: float
    """Mean bytes per second that an idle member sends and receives."""
    peak_sent_bytes_s: float
    """Largest number of bytes that a member sent in one second during the changes above."""
    peak_both_bytes_s: float
    """Largest number of bytes that a member sent and received in one second during the changes."""
    processor_ms_s: float
    """Processor time per second of an idle member in ms, without the network."""
    view_age_p99_s: float
    """99th percentile of the view age in seconds, over idle members and time."""
    false_suspicions: float
    """Number of idle members that were suspected without a fault during `REST_S`."""


def run(members: int, seed: int) -> Figures:
    """Measure a fleet of one size.

    Args:
        members: Number of members.
        seed: Seed of all randomness.

    Returns:
        Spread times, traffic and processor time.
    """
    fleet = membership_fleet.Fleet(members, seed)
    watcher_vms = watching.select_watchers(member.exchanger.table.own for member in fleet.members)
    watchers = [m for m in fleet.members if m.exchanger.table.own.vm in watcher_vms]
    # In production, every member reads the first revision itself at the start.
    _confirm_revision(fleet, fleet.members, 1)
    for _ in range(int(SETTLE_S)):
        _confirm_revision(fleet, watchers, 1)
        fleet.run_until(fleet.now_s + 1.0)
    idle = _measure_idle(fleet, watchers)
    peaks = _PeakTraffic(fleet)
    leaver, victim = fleet.members[members // 2], fleet.members[members // 3]
    fleet.announce(leaver, membership.State.LEAVING)
    leaving_s = peaks.run(lambda: _all_see_state(fleet, leaver, (membership.State.LEAVING,)))
    victim.running = False
    death_s = peaks.run(lambda: _all_see_state(fleet, victim, (membership.State.DEAD,)))
    document = _document(2)
    watchers[0].exchanger.put_configuration(ids.Revision(2), document, fleet.now_s)
    revision_s = peaks.run(lambda: _all_have_revision(fleet, 2))
    refuted_s = _false_suspicion(fleet, peaks, fleet.members[1])
    return Figures(
        members=members,
        leaving_s=leaving_s,
        death_s=death_s,
        revision_s=revision_s,
        refuted_s=refuted_s,
        peak_sent_bytes_s=peaks.peak_sent_bytes,
        peak_both_bytes_s=peaks.peak_both_bytes,
        **idle,
    )


def partition_heal_s(members: int, seed: int, cut_s: float = 3_600.0) -> float:
    """Partition the network between the regions and heal it.

    Args:
        members: Number of members.
        seed: Seed of all randomness.
        cut_s: Duration of the partition in seconds of virtual time.

    Returns:
        Seconds from the end of the partition until every member sees every other one alive.
    """
    fleet = membership_fleet.Fleet(members, seed)
    fleet.run_until(fleet.now_s + SETTLE_S)
    fleet.partitioned = True
    fleet.run_until(fleet.now_s + cut_s)
    remote = next(member for member in fleet.members if not member.in_first_region)
    seen = fleet.members[0].exchanger.table.record(remote.exchanger.table.own.vm)
    if seen is None or seen.state is not membership.State.DEAD:
        raise AssertionError("the partition was not detected within cut_s")
    fleet.partitioned = False
    start_s = fleet.now_s
    return fleet.run_until(start_s + LIMIT_S, lambda: _all_alive(fleet)) - start_s


class _PeakTraffic:
    """Runs a fleet and records the largest traffic of any member in one second."""

    def __init__(self, fleet: membership_fleet.Fleet) -> None:
        self._fleet = fleet
        self.peak_sent_bytes = 0.0
        self.peak_both_bytes = 0.0

    def run(self, condition: Callable[[], bool]) -> float:
        start_s = self._fleet.now_s
        while self._fleet.now_s < start_s + LIMIT_S:
            before = [(m.sent_bytes, m.received_bytes) for m in self._fleet.members]
            end_s = self._fleet.now_s + 1.0
            stopped_s = self._fleet.run_until(end_s, condition)
            for member, (sent, received) in zip(self._fleet.members, before, strict=True):
                self.peak_sent_bytes = max(self.peak_sent_bytes, member.sent_bytes - sent)
                both_bytes = member.sent_bytes + member.received_bytes - sent - received
                self.peak_both_bytes = max(self.peak_both_bytes, both_bytes)
            if stopped_s < end_s or condition():
                return stopped_s - start_s
        return LIMIT_S


def _measure_idle(
    fleet: membership_fleet.Fleet, watchers: list[membership_fleet.Member]
) -> dict[str, float]:
    sent = sum(member.sent_bytes for member in fleet.members)
    received = sum(member.received_bytes for member in fleet.members)
    processor_s = fleet.processor_s
    ages: list[float] = []
    suspected_vms: set[ids.VmId] = set()
    for _ in range(int(REST_S * 2)):
        _confirm_revision(fleet, watchers, 1)
        fleet.run_until(fleet.now_s + 0.5)
        ages += [m.exchanger.configuration.view_age_s(fleet.now_s) for m in fleet.members]
        for member in fleet.members:
            suspected_vms |= {
                record.vm
                for record in member.exchanger.table.records()
                if record.state is membership.State.SUSPECT
            }
    member_seconds = len(fleet.members) * REST_S
    sent = sum(member.sent_bytes for member in fleet.members) - sent
    received = sum(member.received_bytes for member in fleet.members) - received
    return {
        "rest_sent_bytes_s": sent / member_seconds,
        "rest_both_bytes_s": (sent + received) / member_seconds,
        "processor_ms_s": (fleet.processor_s - processor_s) * 1_000 / member_seconds,
        "view_age_p99_s": statistics.quantiles(ages, n=100)[-1],
        "false_suspicions": len(suspected_vms),
    }


def _confirm_revision(
    fleet: membership_fleet.Fleet, watchers: Iterable[membership_fleet.Member], revision: int
) -> None:
    for member in watchers:
        member.exchanger.put_configuration(ids.Revision(revision), _document(revision), fleet.now_s)


def _document(revision: int) -> bytes:
    lines = [
        f'[organisations.org-{line}]\ntoken_sha256 = ["{line:064x}"]'
        for line in range(DOCUMENT_LINES)
    ]
    lines.insert(0, f"# change {revision}")
    return "\n".join(lines).encode()


def _false_suspicion(
    fleet: membership_fleet.Fleet, peaks: _PeakTraffic, member: membership_fleet.Member
) -> float:
    own = member.exchanger.table.own
    reporter = fleet.members[-1].exchanger
    record = dataclasses.replace(own, state=membership.State.SUSPECT)
    reporter.table.merge(record, fleet.now_s)
    reporter.schedule_send(record.vm, membership.MergeResult.STATE_CHANGED)
    return peaks.run(
        lambda: (
            member.exchanger.table.own.heartbeat > own.heartbeat
            and _all_see_state(fleet, member, (membership.State.ALIVE,))
        )
    )


def _running(fleet: membership_fleet.Fleet) -> list[membership_fleet.Member]:
    return [member for member in fleet.members if member.running]


def _all_see_state(
    fleet: membership_fleet.Fleet,
    member: membership_fleet.Member,
    states: tuple[membership.State, ...],
) -> bool:
    vm = member.exchanger.table.own.vm
    records = (other.exchanger.table.record(vm) for other in _running(fleet))
    return all(record is not None and record.state in states for record in records)


def _all_have_revision(fleet: membership_fleet.Fleet, revision: int) -> bool:
    return all(m.exchanger.configuration.revision >= revision for m in _running(fleet))


def _all_alive(fleet: membership_fleet.Fleet) -> bool:
    return all(
        record.state is membership.State.ALIVE
        for member in fleet.members
        for record in member.exchanger.table.records()
    )


def measure(seed: int = 1) -> list[figures.Figure]:
    """Measure the exchange at each of `SIZES`.

    Args:
        seed: Seed of all randomness.

    Returns:
        Figures at each number of members.
    """
    bounds = figures.bounds("membership")
    measured = []
    for members in SIZES:
        result = run(members, seed)
        values = (
            ("leaving mark everywhere", result.leaving_s, "s", "leaving_s"),
            ("revision everywhere", result.revision_s, "s", "revision_s"),
            ("traffic at rest", result.rest_both_bytes_s, "B/s", "rest_both_bytes_s"),
            ("processor time at rest", result.processor_ms_s, "ms/s", "processor_ms_s"),
            ("peak traffic", result.peak_both_bytes_s, "B/s", None),
            ("death known everywhere", result.death_s, "s", None),
        )
        measured += [
            figures.Figure(f"{name}, {members} members", value, unit, bounds[key] if key else None)
            for name, value, unit, key in values
        ]
    return measured


def main() -> None:
    """Print the median and maximum of each figure over the seeds, and the healing times."""
    for members in SIZES:
        results = [run(members, seed) for seed in SEEDS]
        for field in dataclasses.fields(Figures):
            values = [getattr(item, field.name) for item in results]
            line = f"{members:4} {field.name:20} p50 {statistics.median(values):10.3f}"
            sys.stdout.write(f"{line} max {max(values):10.3f}\n")
        cut_s = 3_600.0 if members == min(SIZES) else 120.0
        sys.stdout.write(
            f"{members:4} heal after a cut of {cut_s:.0f} s: "
            f"{partition_heal_s(members, 1, cut_s):.2f} s\n"
        )


if __name__ == "__main__":
    main()
