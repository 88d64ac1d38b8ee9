"""Spread of membership and configuration at 8, 64 and 360 members, with its cost.

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
"""Virtual time before anything is measured."""
REST_S = 20.0
"""Virtual time over which the cost at rest is measured."""
LIMIT_S = 60.0
"""Virtual time after which a spread counts as failed."""
DOCUMENT_LINES = 400
"""Lines of the configuration document of the trial."""


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Figures of one size and seed; times are virtual, sizes are of serialised messages."""

    members: int
    """Number of members."""
    leaving_s: float
    """From a leaving mark until every member knows it."""
    death_s: float
    """From a crash until every member has declared the member dead."""
    revision_s: float
    """From a new configuration at one watcher until it is in force at every member."""
    refuted_s: float
    """From a false suspicion until no member suspects the member."""
    rest_sent_bytes_s: float
    """Bytes that a member sends a second at rest, on average."""
    rest_both_bytes_s: float
    """Bytes that a member sends and receives a second at rest, on average."""
    peak_sent_bytes_s: float
    """Most bytes that any member sent in one second while all of the above changed."""
    peak_both_bytes_s: float
    """The same for bytes sent and received."""
    processor_ms_s: float
    """Processor time that a member uses a second at rest, without the network, in ms."""
    view_age_p99_s: float
    """View age over members and time at rest, 99 in 100 are below."""
    false_suspicions: float
    """Members that were suspected at rest without a fault, over the whole rest period."""


def run(members: int, seed: int) -> Figures:
    """Measure one size with one seed.

    Args:
        members: Number of members.
        seed: Seed of all randomness.

    Returns:
        Figures.
    """
    fleet = membership_fleet.Fleet(members, seed)
    chosen = watching.watchers(member.exchanger.table.own for member in fleet.members)
    watchers = [m for m in fleet.members if m.exchanger.table.own.vm in chosen]
    # Members have the first revision from their own read at the start.
    _confirm(fleet, fleet.members, 1)
    for _ in range(int(SETTLE_S)):
        _confirm(fleet, watchers, 1)
        fleet.run_until(fleet.now_s + 1.0)
    rest = _rest(fleet, watchers)
    peaks = _Peaks(fleet)
    leaver, victim = fleet.members[members // 2], fleet.members[members // 3]
    fleet.announce(leaver, membership.State.LEAVING)
    leaving_s = peaks.run(lambda: _all_see(fleet, leaver, (membership.State.LEAVING,)))
    victim.running = False
    death_s = peaks.run(lambda: _all_see(fleet, victim, (membership.State.DEAD,)))
    document = _document(2)
    watchers[0].exchanger.put_configuration(ids.Revision(2), document, fleet.now_s)
    revision_s = peaks.run(lambda: _all_have(fleet, 2))
    refuted_s = _false_suspicion(fleet, peaks, fleet.members[1])
    return Figures(
        members=members,
        leaving_s=leaving_s,
        death_s=death_s,
        revision_s=revision_s,
        refuted_s=refuted_s,
        peak_sent_bytes_s=peaks.sent,
        peak_both_bytes_s=peaks.both,
        **rest,
    )


def heal(members: int, seed: int, cut_s: float = 3_600.0) -> float:
    """Cut the regions apart and join them again.

    Args:
        members: Number of members.
        seed: Seed of all randomness.
        cut_s: Length of the cut in seconds of virtual time.

    Returns:
        Seconds from the end of the cut until every member sees every other one alive.
    """
    fleet = membership_fleet.Fleet(members, seed)
    fleet.run_until(fleet.now_s + SETTLE_S)
    fleet.cut = True
    fleet.run_until(fleet.now_s + cut_s)
    far = next(member for member in fleet.members if not member.near)
    seen = fleet.members[0].exchanger.table.record(far.exchanger.table.own.vm)
    if seen is None or seen.state is not membership.State.DEAD:
        raise AssertionError("the cut was not noticed")
    fleet.cut = False
    start_s = fleet.now_s
    return fleet.run_until(start_s + LIMIT_S, lambda: _all_alive(fleet)) - start_s


class _Peaks:
    """Runs a fleet second by second and keeps the greatest traffic of a member."""

    def __init__(self, fleet: membership_fleet.Fleet) -> None:
        self._fleet = fleet
        self.sent = 0.0
        self.both = 0.0

    def run(self, done: Callable[[], bool]) -> float:
        start_s = self._fleet.now_s
        while self._fleet.now_s < start_s + LIMIT_S:
            before = [(m.sent_bytes, m.received_bytes) for m in self._fleet.members]
            end_s = self._fleet.now_s + 1.0
            stopped_s = self._fleet.run_until(end_s, done)
            for member, (sent, received) in zip(self._fleet.members, before, strict=True):
                self.sent = max(self.sent, member.sent_bytes - sent)
                both = member.sent_bytes + member.received_bytes - sent - received
                self.both = max(self.both, both)
            if stopped_s < end_s or done():
                return stopped_s - start_s
        return LIMIT_S


def _rest(
    fleet: membership_fleet.Fleet, watchers: list[membership_fleet.Member]
) -> dict[str, float]:
    sent = sum(member.sent_bytes for member in fleet.members)
    received = sum(member.received_bytes for member in fleet.members)
    processor_s = fleet.processor_s
    ages: list[float] = []
    suspected: set[ids.VmId] = set()
    for _ in range(int(REST_S * 2)):
        _confirm(fleet, watchers, 1)
        fleet.run_until(fleet.now_s + 0.5)
        ages += [m.exchanger.configuration.view_age_s(fleet.now_s) for m in fleet.members]
        for member in fleet.members:
            suspected |= {
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
        "false_suspicions": len(suspected),
    }


def _confirm(
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
    fleet: membership_fleet.Fleet, peaks: _Peaks, member: membership_fleet.Member
) -> float:
    own = member.exchanger.table.own
    accuser = fleet.members[-1].exchanger
    record = dataclasses.replace(own, state=membership.State.SUSPECT)
    accuser.table.merge(record, fleet.now_s)
    accuser.note_changed(record.vm, membership.MergeResult.STATE)
    return peaks.run(
        lambda: (
            member.exchanger.table.own.heartbeat > own.heartbeat
            and _all_see(fleet, member, (membership.State.ALIVE,))
        )
    )


def _running(fleet: membership_fleet.Fleet) -> list[membership_fleet.Member]:
    return [member for member in fleet.members if member.running]


def _all_see(
    fleet: membership_fleet.Fleet,
    member: membership_fleet.Member,
    states: tuple[membership.State, ...],
) -> bool:
    vm = member.exchanger.table.own.vm
    records = (other.exchanger.table.record(vm) for other in _running(fleet))
    return all(record is not None and record.state in states for record in records)


def _all_have(fleet: membership_fleet.Fleet, revision: int) -> bool:
    return all(m.exchanger.configuration.revision >= revision for m in _running(fleet))


def _all_alive(fleet: membership_fleet.Fleet) -> bool:
    return all(
        record.state is membership.State.ALIVE
        for member in fleet.members
        for record in member.exchanger.table.records()
    )


def measure(seed: int = 1) -> list[figures.Figure]:
    """Measure the exchange at the sizes that run in seconds.

    Args:
        seed: Seed of all randomness.

    Returns:
        Figures by number of members.
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
    """Print the figures of all sizes, the median and the maximum over the seeds."""
    for members in SIZES:
        results = [run(members, seed) for seed in SEEDS]
        for field in dataclasses.fields(Figures):
            values = [getattr(item, field.name) for item in results]
            line = f"{members:4} {field.name:20} p50 {statistics.median(values):10.3f}"
            sys.stdout.write(f"{line} max {max(values):10.3f}\n")
        cut_s = 3_600.0 if members == min(SIZES) else 120.0
        sys.stdout.write(
            f"{members:4} heal after a cut of {cut_s:.0f} s: {heal(members, 1, cut_s):.2f} s\n"
        )


if __name__ == "__main__":
    main()
