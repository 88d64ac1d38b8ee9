"""Figures of one day, written in numbered parts by each VM and merged for the evening page.

A part is rewritten while it is open, and closed at the end of its hour. Of two snapshots of a part
the one with the higher serial replaces the other, so parts can be read repeatedly and in any order.
Time that no part covers is reported as a gap and never counted as time without failures.
"""

from __future__ import annotations

import dataclasses
import enum
import http
from collections.abc import Iterable, Mapping

from gentianpaddle_core import histograms, ids, outcomes

DAY_S = 86_400.0
"""Length of a day without a clock change, in seconds."""

HOUR_S = 3_600.0
MINUTE_S = 60.0

MAX_REPORT_AGE_S = 240.0
"""Maximum age of the last part at which a VM without a final part counts as running: two flush
intervals and a minute for a slow object API."""


class OutcomeKind(enum.Enum):
    """How a request ended with respect to the targets of its class."""

    DONE = "done"
    """The answer was delivered completely."""
    NOT_RUN = "not_run"
    """The caller was told that the request provably did not run."""
    UNKNOWN = "unknown"
    """The caller was told that the request may have run."""
    TURNED_AWAY = "turned_away"
    """Refused for lack of capacity; counts against the target."""
    REFUSED = "refused"
    """Refused because of an error of the caller; does not count against the target."""


class RequestFailure(enum.Enum):
    """Failures of request handling that must not occur at all."""

    LOST = "lost"
    """Accepted, but the caller got no outcome."""
    RUN_TWICE = "run_twice"
    """A non-idempotent call ran more than once."""
    CUT_OFF = "cut_off"
    """The response ended before it was complete."""
    UNKNOWN = "unknown"
    """It cannot be determined whether the request ran."""


class EventKind(enum.Enum):
    """Origin of an event."""

    OPERATOR = "operator"
    """Action of an operator."""
    FAULT = "fault"
    """Failure of a component."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Action of an operator, or failure of a component."""

    id: str
    """Identifier shared by all records of one event, such as `revision-17`; it is counted once."""
    kind: EventKind
    """Origin of the event."""
    at_s: float
    """Time in seconds since the start of the day; of several records the earliest counts."""
    text: str
    """Human-readable description."""
    source: str = ""
    """Operator or VM that caused the event."""


@dataclasses.dataclass(slots=True)
class HourFigures:
    """Figures of the requests of one class in one hour."""

    count_by_outcome: dict[OutcomeKind, int] = dataclasses.field(default_factory=dict)
    """Number of requests by outcome."""
    in_target: int = 0
    """Number of requests that were done and met all targets of their class."""
    first_token: histograms.Histogram = dataclasses.field(default_factory=histograms.Histogram)
    """Times to the first token."""
    token_gap: histograms.Histogram = dataclasses.field(default_factory=histograms.Histogram)
    """Times between tokens."""

    def merge(self, other: HourFigures) -> None:
        """Add the figures of another hour.

        Args:
            other: Figures to add; it is not modified.
        """
        for kind, count in other.count_by_outcome.items():
            self.count_by_outcome[kind] = self.count_by_outcome.get(kind, 0) + count
        self.in_target += other.in_target
        self.first_token.merge(other.first_token)
        self.token_gap.merge(other.token_gap)

    def target_request_count(self) -> int:
        """Return the number of requests that count towards the target: all except `REFUSED`."""
        return sum(self.count_by_outcome.values()) - self.count_by_outcome.get(
            OutcomeKind.REFUSED, 0
        )


HourKey = tuple[int, ids.ClassName]
"""Hour of the day, from 0, and class."""

MinuteKey = tuple[int, ids.ClassName]
"""Minute of the day, from 0, and class."""

RequestFailureKey = tuple[int, ids.ClassName, RequestFailure, ids.OrganisationId]
"""Minute of the day, from 0, class, kind of failure and affected organisation."""

UnknownOutcomeKey = tuple[int, ids.ClassName, ids.OrganisationId]
"""Minute of the day, class and organisation of a request whose outcome is unknown."""


@dataclasses.dataclass(slots=True)
class FigureSet:
    """Figures of one part or of a whole day."""

    hour_figures_by_key: dict[HourKey, HourFigures] = dataclasses.field(default_factory=dict)
    """Figures by hour and class."""
    misses_by_minute: dict[MinuteKey, int] = dataclasses.field(default_factory=dict)
    """Number of requests that missed their target, by minute and class."""
    failures_by_key: dict[RequestFailureKey, int] = dataclasses.field(default_factory=dict)
    """Number of affected requests by minute, class, kind of failure and organisation."""
    unknown_by_digest: dict[str, UnknownOutcomeKey] = dataclasses.field(default_factory=dict)
    """Requests with unknown outcome, by digest of the request key."""
    resolved_digests: set[str] = dataclasses.field(default_factory=set)
    """Digests of the keys of requests whose unknown outcome became known later."""
    event_by_id: dict[str, Event] = dataclasses.field(default_factory=dict)
    """Events by identifier."""
    dropped_events: int = 0
    """Number of events that were dropped for lack of space."""

    def merge(self, other: FigureSet) -> None:
        """Add the figures of another part or day.

        Args:
            other: Figures to add; they are not modified.
        """
        for key, cell in other.hour_figures_by_key.items():
            self.hour_figures_by_key.setdefault(key, HourFigures()).merge(cell)
        for minute, misses in other.misses_by_minute.items():
            self.misses_by_minute[minute] = self.misses_by_minute.get(minute, 0) + misses
        for failure, count in other.failures_by_key.items():
            self.failures_by_key[failure] = self.failures_by_key.get(failure, 0) + count
        for digest, outcome_key in other.unknown_by_digest.items():
            known_key = self.unknown_by_digest.get(digest, outcome_key)
            self.unknown_by_digest[digest] = min(known_key, outcome_key)
        self.resolved_digests |= other.resolved_digests
        for event in other.event_by_id.values():
            self.add_event(event)
        self.dropped_events += other.dropped_events

    def add_event(self, event: Event) -> None:
        """Add a record of an event; only the earliest record of an event is kept.

        Args:
            event: Record of the event.
        """
        known_event = self.event_by_id.get(event.id, event)
        self.event_by_id[event.id] = min(
            known_event, event, key=lambda record: (record.at_s, record.text, record.source)
        )


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class PartId:
    """Identifier of a part; the parts of one incarnation are numbered without gaps."""

    vm: ids.VmId
    """VM that wrote the part."""
    incarnation: ids.Incarnation
    """Incarnation of the process that wrote the part."""
    number: int
    """Number of the part, from 1."""


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """Snapshot of a part, as it was written."""

    date: str
    """Day as YYYY-MM-DD, in the time zone of the owner."""
    id: PartId
    """Identifier of the part."""
    serial: int
    """Number of the snapshot, from 1; a higher one replaces a lower one."""
    from_s: float
    """Start of the covered time, in seconds since the start of the day."""
    until_s: float
    """End of the covered time, in seconds since the start of the day."""
    closed: bool
    """Whether this is the last snapshot of the part."""
    final: bool
    """Whether this is the last part, because the process stopped or the day ended."""
    content: FigureSet
    """Figures of the covered time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Gap:
    """Period of a VM that no part covers."""

    vm: ids.VmId
    """VM without figures."""
    from_s: float
    """Start of the gap, in seconds since the start of the day."""
    until_s: float | None
    """End of the gap in seconds since the start of the day, None if unknown."""
    reason: str
    """Human-readable reason for the evening page, which calls a part a report."""


@dataclasses.dataclass(frozen=True, slots=True)
class DayFigures:
    """Merged figures of a day."""

    date: str
    """Day as YYYY-MM-DD."""
    content: FigureSet
    """Totals over all VMs."""
    gaps: tuple[Gap, ...]
    """Periods without figures, sorted by start and VM."""
    known_until_s: float
    """Time up to which all running VMs are covered, in seconds since the start of the day."""
    vms: tuple[ids.VmId, ...]
    """VMs that wrote at least one part, sorted."""

    def unknown_outcomes(self) -> tuple[UnknownOutcomeKey, ...]:
        """Return minute, class and organisation of the requests whose outcome is still unknown."""
        content = self.content
        return tuple(
            sorted(
                outcome_key
                for digest, outcome_key in content.unknown_by_digest.items()
                if digest not in content.resolved_digests
            )
        )


class PartSet:
    """Collects the parts of one day, in any order and with repetitions.

    Only the totals of closed parts are kept, because all parts of a day at the design size do not
    fit into the memory of an entry.
    """

    def __init__(self, date: str) -> None:
        self.date = date
        self.part_by_id: dict[PartId, Part] = {}
        self._closed_totals = FigureSet()

    def add(self, part: Part) -> None:
        """Add a part.

        Args:
            part: Any snapshot of any part; parts of other days are ignored.
        """
        known_part = self.part_by_id.get(part.id)
        if part.date != self.date or (
            known_part is not None and (known_part.closed or known_part.serial >= part.serial)
        ):
            return
        if part.closed:
            self._closed_totals.merge(part.content)
            part = dataclasses.replace(part, content=FigureSet())
        self.part_by_id[part.id] = part

    def figures(
        self,
        as_of_s: float = DAY_S,
        expected_vms: Iterable[ids.VmId] = (),
        ended_s_by_vm: Mapping[ids.VmId, float] | None = None,
        day_s: float = DAY_S,
    ) -> DayFigures:
        """Merge the parts.

        Args:
            as_of_s: Time of reading in seconds since the start of the day.
            expected_vms: VMs that must have written a part.
            ended_s_by_vm: VMs that the platform ended without a final part, with the time from
                which they provably no longer ran. A VM that its peers cannot reach may still run.
            day_s: Length of the day in seconds; differs from 24 hours when clocks change.

        Returns:
            Totals and gaps.
        """
        content = FigureSet()
        content.merge(self._closed_totals)
        parts_by_vm: dict[ids.VmId, list[Part]] = {}
        for part_id in sorted(self.part_by_id):
            part = self.part_by_id[part_id]
            content.merge(part.content)
            parts_by_vm.setdefault(part_id.vm, []).append(part)
        gaps: list[Gap] = []
        known_until_s = min(as_of_s, day_s)
        for vm, parts in parts_by_vm.items():
            gaps += _gaps_before_last(parts)
            last = parts[-1]
            running = as_of_s < day_s and last.until_s >= as_of_s - MAX_REPORT_AGE_S
            if not last.final and running:
                known_until_s = min(known_until_s, last.until_s)
            elif not last.final:
                ended_s = (ended_s_by_vm or {}).get(vm)
                end_s = None if ended_s is None else max(ended_s, last.until_s)
                gaps.append(Gap(vm, last.until_s, end_s, "no final report"))
        for vm in sorted(set(expected_vms) - set(parts_by_vm)):
            gaps.append(Gap(vm, 0.0, None, "no report at all"))
        return DayFigures(
            date=self.date,
            content=content,
            gaps=tuple(sorted(gaps, key=lambda gap: (gap.from_s, gap.vm))),
            known_until_s=known_until_s,
            vms=tuple(sorted(parts_by_vm)),
        )


def new_part_set(date: str) -> PartSet:
    """Create an empty set of parts.

    Args:
        date: Day as YYYY-MM-DD.

    Returns:
        The set.
    """
    return PartSet(date)


def outcome_kind(outcome: outcomes.Outcome) -> OutcomeKind:
    """Classify an outcome.

    Args:
        outcome: Outcome that was reported to the caller.

    Returns:
        Kind of the outcome. A refusal with status 429 is `TURNED_AWAY`; any other refusal is
        attributed to the caller.

    >>> outcome_kind(outcomes.Refused("queue_full", "wait", http_status=429)).value
    'turned_away'
    """
    if isinstance(outcome, outcomes.Done):
        return OutcomeKind.DONE
    if isinstance(outcome, outcomes.NotRun):
        return OutcomeKind.NOT_RUN
    if isinstance(outcome, outcomes.Unknown):
        return OutcomeKind.UNKNOWN
    if outcome.http_status == http.HTTPStatus.TOO_MANY_REQUESTS:
        return OutcomeKind.TURNED_AWAY
    return OutcomeKind.REFUSED


def _gaps_before_last(parts: list[Part]) -> list[Gap]:
    """Return the gaps before the last part of a VM.

    Args:
        parts: Parts of one VM, sorted by incarnation and number.

    Returns:
        Gaps in chronological order.
    """
    gaps = []
    previous: Part | None = None
    for part in parts:
        vm, number = part.id.vm, part.id.number
        if previous is None or part.id.incarnation != previous.id.incarnation:
            if previous is not None and not previous.final:
                gaps.append(
                    Gap(vm, previous.until_s, part.from_s, "restarted without final report")
                )
            if number != 1:
                from_s = 0.0 if previous is None else previous.until_s
                gaps.append(Gap(vm, from_s, part.from_s, f"reports before number {number} missing"))
        elif number != previous.id.number + 1:
            gaps.append(Gap(vm, previous.until_s, part.from_s, f"report before {number} missing"))
        elif not previous.closed:
            gaps.append(Gap(vm, previous.until_s, part.from_s, f"report {number - 1} not complete"))
        previous = part
    return gaps
