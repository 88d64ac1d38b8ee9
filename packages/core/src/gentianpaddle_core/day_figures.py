"""Figures of one day, written in numbered parts by each VM and merged for the evening page.

A part is rewritten while it is open and closed at the end of its hour. Of two writings of one part
the one with the higher serial replaces the other, so parts can be read twice and in any order. What
no part covers is reported as a gap and is never counted as good.
"""

from __future__ import annotations

import dataclasses
import enum
import http
from collections.abc import Iterable, Mapping

from gentianpaddle_core import histograms, ids, outcomes

DAY_S = 86_400.0
"""Length of a usual day in seconds."""

HOUR_S = 3_600.0
MINUTE_S = 60.0

LATENESS_LIMIT_S = 240.0
"""Age of the last writing up to which a VM without a final part counts as running: two flush
intervals and a minute for a slow object API."""


class OutcomeKind(enum.Enum):
    """How a request ended, as far as targets are concerned."""

    DONE = "done"
    """The whole answer was delivered."""
    NOT_RUN = "not_run"
    """The caller was told that the request provably did not run."""
    UNKNOWN = "unknown"
    """The caller was told that the request may have run."""
    TURNED_AWAY = "turned_away"
    """Refused for want of capacity; counts against the target."""
    REFUSED = "refused"
    """Refused for a mistake of the caller; does not count against the target."""


class Harm(enum.Enum):
    """What must not happen to a request."""

    LOST = "lost"
    """Accepted, but the caller got no outcome."""
    RUN_TWICE = "run_twice"
    """A non-idempotent call ran more than once."""
    CUT_OFF = "cut_off"
    """A response ended before it was complete."""
    UNKNOWN = "unknown"
    """It cannot be determined whether the request ran."""


class EventKind(enum.Enum):
    """Where an event comes from."""

    OPERATOR = "operator"
    """An operator did something."""
    FAULT = "fault"
    """Something failed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Something that operators did or that failed."""

    id: str
    """Equal for all reports of one event, for example `revision-17`; it is counted once."""
    kind: EventKind
    """Where it comes from."""
    at_s: float
    """Seconds since the start of the day; of several reports the earliest counts."""
    text: str
    """What happened, for a person."""
    source: str = ""
    """Operator or VM that it comes from."""


@dataclasses.dataclass(slots=True)
class Cell:
    """Requests of one class in one hour."""

    count_by_outcome: dict[OutcomeKind, int] = dataclasses.field(default_factory=dict)
    """Requests by outcome."""
    in_target: int = 0
    """Requests that were done and met all targets of their class."""
    first_token: histograms.Histogram = dataclasses.field(default_factory=histograms.Histogram)
    """Time to the first token."""
    token_gap: histograms.Histogram = dataclasses.field(default_factory=histograms.Histogram)
    """Time between tokens."""

    def merge(self, other: Cell) -> None:
        """Add the figures of another cell.

        Args:
            other: Cell that stays as it is.
        """
        for kind, count in other.count_by_outcome.items():
            self.count_by_outcome[kind] = self.count_by_outcome.get(kind, 0) + count
        self.in_target += other.in_target
        self.first_token.merge(other.first_token)
        self.token_gap.merge(other.token_gap)

    def counted(self) -> int:
        """Return the requests that count for the target: all but mistakes of callers."""
        return sum(self.count_by_outcome.values()) - self.count_by_outcome.get(
            OutcomeKind.REFUSED, 0
        )


HourKey = tuple[int, ids.ClassName]
"""Hour of the day from 0, and class."""

MinuteKey = tuple[int, ids.ClassName]
"""Minute of the day from 0, and class."""

HarmKey = tuple[int, ids.ClassName, Harm, ids.OrganisationId]
"""Minute of the day from 0, class, harm and the organisation concerned."""

UnknownPlace = tuple[int, ids.ClassName, ids.OrganisationId]
"""Minute of the day, class and organisation of a request whose outcome is unknown."""


@dataclasses.dataclass(slots=True)
class Content:
    """Figures of a part or of a whole day."""

    cell_by_key: dict[HourKey, Cell] = dataclasses.field(default_factory=dict)
    """Requests by hour and class."""
    misses_by_minute: dict[MinuteKey, int] = dataclasses.field(default_factory=dict)
    """Requests that missed their target, by minute and class."""
    harm_by_key: dict[HarmKey, int] = dataclasses.field(default_factory=dict)
    """Harmed requests."""
    unknown_by_digest: dict[str, UnknownPlace] = dataclasses.field(default_factory=dict)
    """Requests with unknown outcome by digest of their key."""
    resolved_digests: set[str] = dataclasses.field(default_factory=set)
    """Digests of requests whose outcome became known after all."""
    event_by_id: dict[str, Event] = dataclasses.field(default_factory=dict)
    """Events."""
    dropped_events: int = 0
    """Events that found no room."""

    def merge(self, other: Content) -> None:
        """Add other figures.

        Args:
            other: Figures that stay as they are.
        """
        for key, cell in other.cell_by_key.items():
            self.cell_by_key.setdefault(key, Cell()).merge(cell)
        for minute, misses in other.misses_by_minute.items():
            self.misses_by_minute[minute] = self.misses_by_minute.get(minute, 0) + misses
        for harm, count in other.harm_by_key.items():
            self.harm_by_key[harm] = self.harm_by_key.get(harm, 0) + count
        for digest, place in other.unknown_by_digest.items():
            known = self.unknown_by_digest.get(digest, place)
            self.unknown_by_digest[digest] = min(known, place)
        self.resolved_digests |= other.resolved_digests
        for event in other.event_by_id.values():
            self.add_event(event)
        self.dropped_events += other.dropped_events

    def add_event(self, event: Event) -> None:
        """Add a report of an event; the earliest report of an event remains.

        Args:
            event: The report.
        """
        known = self.event_by_id.get(event.id, event)
        self.event_by_id[event.id] = min(
            known, event, key=lambda report: (report.at_s, report.text, report.source)
        )


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class PartId:
    """Name of a part; parts of one process start are numbered without gaps."""

    vm: ids.VmId
    """VM that wrote it."""
    incarnation: ids.Incarnation
    """Process start that wrote it."""
    number: int
    """Number from 1."""


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """One writing of a part."""

    date: str
    """Day as YYYY-MM-DD, in the time zone of the owner."""
    id: PartId
    """Which part."""
    serial: int
    """Number of this writing, from 1; a higher one replaces a lower one."""
    from_s: float
    """Start of the covered time, in seconds since the start of the day."""
    until_s: float
    """End of the covered time."""
    closed: bool
    """No further writing of this part follows."""
    final: bool
    """The process stopped or the day ended; no further part follows."""
    content: Content
    """The figures."""


@dataclasses.dataclass(frozen=True, slots=True)
class Gap:
    """Time of a VM that no part covers."""

    vm: ids.VmId
    """The VM."""
    from_s: float
    """Start in seconds since the start of the day."""
    until_s: float | None
    """End, or None where it is not known."""
    reason: str
    """Why nothing is known, for a person."""


@dataclasses.dataclass(frozen=True, slots=True)
class DayFigures:
    """Merged figures of a day."""

    date: str
    """Day as YYYY-MM-DD."""
    content: Content
    """Totals over all VMs."""
    gaps: tuple[Gap, ...]
    """What is not known, by VM and time."""
    known_until_s: float
    """Time up to which running VMs have reported."""
    vms: tuple[ids.VmId, ...]
    """VMs that reported."""

    def unknown_places(self) -> tuple[UnknownPlace, ...]:
        """Return minute, class and organisation of requests whose outcome remains unknown."""
        content = self.content
        return tuple(
            sorted(
                place
                for digest, place in content.unknown_by_digest.items()
                if digest not in content.resolved_digests
            )
        )


class PartSet:
    """Collects parts of one day; order and repetition do not matter.

    Only the totals of closed parts are kept, because all parts of a day at the design size do not
    fit into the memory of an entry.
    """

    def __init__(self, date: str) -> None:
        self.date = date
        self.part_by_id: dict[PartId, Part] = {}
        self._closed = Content()

    def add(self, part: Part) -> None:
        """Add a part.

        Args:
            part: Any writing of any part; parts of other days are ignored.
        """
        known = self.part_by_id.get(part.id)
        if part.date != self.date or (
            known is not None and (known.closed or known.serial >= part.serial)
        ):
            return
        if part.closed:
            self._closed.merge(part.content)
            part = dataclasses.replace(part, content=Content())
        self.part_by_id[part.id] = part

    def figures(
        self,
        as_of_s: float = DAY_S,
        expected_vms: Iterable[ids.VmId] = (),
        gone_s_by_vm: Mapping[ids.VmId, float] | None = None,
        day_s: float = DAY_S,
    ) -> DayFigures:
        """Merge the parts.

        Args:
            as_of_s: Time of reading in seconds since the start of the day.
            expected_vms: VMs that must have reported.
            gone_s_by_vm: VMs that the platform ended without a final report, with the time from
                which they provably ran no more. Silence towards peers is no such proof.
            day_s: Length of the day; not 24 hours when clocks change.

        Returns:
            Totals, and what is not known.
        """
        content = Content()
        content.merge(self._closed)
        parts_by_vm: dict[ids.VmId, list[Part]] = {}
        for part_id in sorted(self.part_by_id):
            part = self.part_by_id[part_id]
            content.merge(part.content)
            parts_by_vm.setdefault(part_id.vm, []).append(part)
        gaps: list[Gap] = []
        known_until_s = min(as_of_s, day_s)
        for vm, parts in parts_by_vm.items():
            gaps += _gaps_between(parts)
            last = parts[-1]
            running = as_of_s < day_s and last.until_s >= as_of_s - LATENESS_LIMIT_S
            if not last.final and running:
                known_until_s = min(known_until_s, last.until_s)
            elif not last.final:
                gone_s = (gone_s_by_vm or {}).get(vm)
                end_s = None if gone_s is None else max(gone_s, last.until_s)
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
    """Return how an outcome counts.

    Args:
        outcome: What the caller was told.

    Returns:
        Its kind; a 429 is `TURNED_AWAY`, any other refusal is the caller's mistake.

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


def _gaps_between(parts: list[Part]) -> list[Gap]:
    """Return what is not known before the last part of a VM.

    Args:
        parts: Parts of one VM in order of incarnation and number.

    Returns:
        Gaps in order.
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
