"""Records the figures of one day at one VM and says what to write to the object API, and when.

One part is open at a time. It is rewritten every `FLUSH_INTERVAL_S` and closed at the end of its
hour, when it grows near the limit of the object API, and at the end of the day or process. A VM
that dies loses the figures since its last writing: at most `FLUSH_INTERVAL_S` plus the duration of
one write while the object API responds, otherwise the time since it stopped responding.
"""

from __future__ import annotations

import collections
import dataclasses
import hashlib
import random

from gentianpaddle_core import day_codec, day_figures, histograms, ids, object_api

FLUSH_INTERVAL_S = 90.0
"""Time between two writings; 360 VMs make 4 writes/s, spread evenly by a random phase."""

MIDNIGHT_SPREAD_S = 20.0
"""Longest delay of the first write of a day, and of the last one at midnight: 360 VMs that change
the day at once make 36 writes/s instead of 720 in one second."""

PART_BUDGET_BYTES = 800_000
"""Size estimate at which a part is closed, below the value limit of the object API."""

WAITING_PARTS_LIMIT = 48
"""Closed parts kept while the object API is down: two for each hour of a day. Further ones are
dropped and show as a gap."""

CLASSES_LIMIT = 64
"""Classes of work recorded by name in one part; further ones are recorded as `OTHER`."""

ORGANISATIONS_LIMIT = 2_000
"""Organisations recorded by name in one part; further ones are recorded as `OTHER`."""

OTHER = "(other)"
"""Name under which what exceeds a limit is recorded."""

NAME_LIMIT = 64
"""Longest recorded name in characters."""

TEXT_LIMIT = 200
"""Longest recorded text of an event in characters."""

DIGEST_HEX_LENGTH = 16

_EVENT_BYTES = 4 * (TEXT_LIMIT + 2 * NAME_LIMIT) * 2
_NAME_BYTES = 4 * NAME_LIMIT * 2
_BUCKET_BYTES = 16
_ROW_BYTES = 64
_HARM_BYTES = 2 * _NAME_BYTES + _ROW_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """One finished request as the entry saw it."""

    class_name: ids.ClassName
    """Class of work."""
    organisation: ids.OrganisationId
    """Organisation that sent it."""
    outcome: day_figures.OutcomeKind
    """How it ended; `UNKNOWN` also counts as harm."""
    in_target: bool
    """Whether it was done and met all targets of its class."""
    first_token_s: float | None = None
    """Time to the first token, or to the whole response of a plain service."""
    token_gaps: histograms.Histogram | None = None
    """Times between tokens."""
    request_key: ids.RequestKey | None = None
    """Key, needed to resolve an unknown outcome later."""


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A conditional write to make now."""

    key: str
    """Key in the object API."""
    value: bytes
    """Encoded part."""
    expected_version: int
    """Version that the object has."""
    part_id: day_figures.PartId
    """Which part it is."""
    serial: int
    """Which writing of the part it is."""


class DayRecorder:
    """Figures of one day at one VM."""

    def __init__(
        self,
        date: str,
        vm: ids.VmId,
        incarnation: ids.Incarnation,
        now_s: float,
        rng: random.Random,
    ) -> None:
        self._date = date
        self._vm = vm
        self._incarnation = incarnation
        self._waiting: collections.deque[day_figures.Part] = collections.deque()
        self._next_number = 1
        self._number = 0
        self._serial = 0
        self._from_s = 0.0
        self._hour = 0
        self._size = 0
        self._open_part(now_s)
        self._version_by_number: dict[int, int] = {}
        self._rng = rng
        self._due_s = now_s + rng.uniform(0.0, MIDNIGHT_SPREAD_S)
        self._phase_s = rng.uniform(0.5, 1.0) * FLUSH_INTERVAL_S
        self._ended = False

    def record(self, now_s: float, observation: Observation) -> None:
        """Count a finished request.

        Args:
            now_s: Seconds since the start of the day.
            observation: The request.
        """
        self._roll(now_s)
        name = self._class(observation.class_name)
        content = self._content
        cell = content.cell_by_key.get((self._hour, name))
        if cell is None:
            cell = content.cell_by_key[self._hour, name] = day_figures.Cell()
            self._size += _NAME_BYTES + 4 * _ROW_BYTES
        kind = observation.outcome
        cell.count_by_outcome[kind] = cell.count_by_outcome.get(kind, 0) + 1
        if observation.in_target and kind is day_figures.OutcomeKind.DONE:
            cell.in_target += 1
        elif kind is not day_figures.OutcomeKind.REFUSED:
            minute = (int(now_s // day_figures.MINUTE_S), name)
            known = content.misses_by_minute.get(minute, 0)
            content.misses_by_minute[minute] = known + 1
            self._size += 0 if known else _NAME_BYTES + _ROW_BYTES
        buckets = len(cell.first_token.count_by_bucket) + len(cell.token_gap.count_by_bucket)
        if observation.first_token_s is not None:
            cell.first_token.add(observation.first_token_s)
        if observation.token_gaps is not None:
            cell.token_gap.merge(observation.token_gaps)
        buckets -= len(cell.first_token.count_by_bucket) + len(cell.token_gap.count_by_bucket)
        self._size -= buckets * _BUCKET_BYTES
        if kind is day_figures.OutcomeKind.UNKNOWN:
            self.record_harm(
                now_s,
                day_figures.Harm.UNKNOWN,
                observation.class_name,
                observation.organisation,
                observation.request_key,
            )

    def record_harm(
        self,
        now_s: float,
        harm: day_figures.Harm,
        class_name: ids.ClassName,
        organisation: ids.OrganisationId,
        request_key: ids.RequestKey | None = None,
    ) -> None:
        """Count a harmed request.

        Args:
            now_s: Seconds since the start of the day.
            harm: What happened to it.
            class_name: Its class.
            organisation: Who sent it.
            request_key: Its key; an unknown outcome with a key can be resolved later and counts
                once however often it is reported.
        """
        self._roll(now_s)
        name = self._class(class_name)
        minute = int(now_s // day_figures.MINUTE_S)
        organisation = self._organisation(organisation)
        if harm is day_figures.Harm.UNKNOWN and request_key is not None:
            digest = _digest(request_key)
            if digest not in self._content.unknown_by_digest:
                self._content.unknown_by_digest[digest] = (minute, name, organisation)
                self._size += _HARM_BYTES
            return
        key = (minute, name, harm, organisation)
        known = self._content.harm_by_key.get(key, 0)
        self._content.harm_by_key[key] = known + 1
        self._size += 0 if known else _HARM_BYTES

    def record_resolved(self, now_s: float, request_key: ids.RequestKey) -> None:
        """Note that the outcome of a request became known after its caller was told otherwise.

        Args:
            now_s: Seconds since the start of the day.
            request_key: Its key.
        """
        self._roll(now_s)
        self._content.resolved_digests.add(_digest(request_key))
        self._size += _ROW_BYTES

    def record_event(self, event: day_figures.Event) -> None:
        """Note what an operator did or what failed.

        Args:
            event: The event; `at_s` is also the time of recording.
        """
        self._roll(event.at_s)
        self._content.add_event(
            dataclasses.replace(
                event,
                id=event.id[:NAME_LIMIT],
                text=event.text[:TEXT_LIMIT],
                source=event.source[:NAME_LIMIT],
            )
        )
        self._size += _EVENT_BYTES

    def request_write(self, now_s: float) -> None:
        """Make the next write due now, for a reader that wants the latest figures.

        Args:
            now_s: Seconds since the start of the day.
        """
        self._due_s = now_s

    def due(self, now_s: float) -> bool:
        """Return whether `next_write` has something to write now.

        Args:
            now_s: Seconds since the start of the day.
        """
        return now_s >= self._due_s and not self.drained()

    def next_write(self, now_s: float) -> Write | None:
        """Return the write to make now; call only while no other write of this day is pending.

        Args:
            now_s: Seconds since the start of the day.

        Returns:
            The write, or None when nothing is due. Report its result to `written`.
        """
        if not self.due(now_s):
            return None
        if not self._ended:
            self._roll(now_s)
        self._due_s = now_s + FLUSH_INTERVAL_S
        part = self._waiting[0] if self._waiting else self._snapshot(now_s, False, False)
        return Write(
            key=part_key(part.date, part.id),
            value=day_codec.encode(part),
            expected_version=self._version_by_number.get(part.id.number, object_api.ABSENT_VERSION),
            part_id=part.id,
            serial=part.serial,
        )

    def written(self, now_s: float, write: Write, result: object_api.PutResult) -> None:
        """Take the result of a write.

        After `StoreUnavailable` or `AnswerLost` the part is written again when due. A conflict can
        only come from an own write whose answer was lost, so its version is adopted.

        Args:
            now_s: Seconds since the start of the day.
            write: The write.
            result: What the object API returned.
        """
        number = write.part_id.number
        if isinstance(result, object_api.VersionConflict):
            self._version_by_number[number] = result.current_version
            self._due_s = now_s
        elif isinstance(result, object_api.Written):
            self._version_by_number[number] = result.version
            if self._phase_s:
                self._due_s, self._phase_s = now_s + self._phase_s, 0.0
            waiting = self._waiting
            if waiting and waiting[0].id == write.part_id and waiting[0].serial == write.serial:
                waiting.popleft()
                del self._version_by_number[number]
                if waiting or self._ended:
                    self._due_s = now_s

    def finish(self, now_s: float, stopping: bool) -> None:
        """End the day or the process; go on with `next_write` until `drained`.

        Args:
            now_s: Seconds since the start of the day.
            stopping: The process stops, so the last write is due at once.
        """
        if not self._ended:
            self._roll(now_s)
            self._waiting.append(self._snapshot(now_s, True, True))
            self._ended = True
            spread_s = 0.0 if stopping else MIDNIGHT_SPREAD_S
            self._due_s = now_s + self._rng.uniform(0.0, spread_s)

    def drained(self) -> bool:
        """Return whether the day is ended and all of it is written."""
        return self._ended and not self._waiting

    def _roll(self, now_s: float) -> None:
        if self._ended:
            raise ValueError("the day of this recorder is ended")
        hour = int(now_s // day_figures.HOUR_S)
        if hour > self._hour or self._size > PART_BUDGET_BYTES:
            end_s = max(self._from_s, min(now_s, (self._hour + 1) * day_figures.HOUR_S))
            if len(self._waiting) < WAITING_PARTS_LIMIT:
                self._waiting.append(self._snapshot(end_s, True, False))
            self._open_part(end_s)
            self._hour = max(hour, self._hour)

    def _open_part(self, now_s: float) -> None:
        self._content = day_figures.Content()
        self._number = self._next_number
        self._next_number += 1
        self._serial = 0
        self._from_s = now_s
        self._hour = int(now_s // day_figures.HOUR_S)
        self._size = 0
        self._classes: set[ids.ClassName] = set()
        self._organisations: set[ids.OrganisationId] = set()

    def _snapshot(self, now_s: float, closed: bool, final: bool) -> day_figures.Part:
        self._serial += 1
        return day_figures.Part(
            date=self._date,
            id=day_figures.PartId(self._vm, self._incarnation, self._number),
            serial=self._serial,
            from_s=self._from_s,
            until_s=max(now_s, self._from_s),
            closed=closed,
            final=final,
            content=self._content,
        )

    def _class(self, name: ids.ClassName) -> ids.ClassName:
        name = ids.ClassName(name[:NAME_LIMIT])
        if name not in self._classes and len(self._classes) >= CLASSES_LIMIT:
            return ids.ClassName(OTHER)
        self._classes.add(name)
        return name

    def _organisation(self, name: ids.OrganisationId) -> ids.OrganisationId:
        name = ids.OrganisationId(name[:NAME_LIMIT])
        if name not in self._organisations and len(self._organisations) >= ORGANISATIONS_LIMIT:
            return ids.OrganisationId(OTHER)
        self._organisations.add(name)
        return name


def new_day_recorder(
    date: str, vm: ids.VmId, incarnation: ids.Incarnation, now_s: float, rng: random.Random
) -> DayRecorder:
    """Create the recorder of a day; its first write is due soon, so that the VM is known.

    Args:
        date: Day as YYYY-MM-DD.
        vm: This VM.
        incarnation: This process start.
        now_s: Seconds since the start of the day.
        rng: Source of the times of the writes.

    Returns:
        The recorder.
    """
    return DayRecorder(date, vm, incarnation, now_s, rng)


def part_key(date: str, part_id: day_figures.PartId) -> str:
    """Return the key of a part in the object API.

    Args:
        date: Day as YYYY-MM-DD.
        part_id: The part.

    Returns:
        A key below `days/<date>/`.
    """
    return f"days/{date}/{part_id.vm}/{part_id.incarnation}-{part_id.number}"


def _digest(request_key: ids.RequestKey) -> str:
    return hashlib.sha256(request_key.encode(errors="surrogatepass")).hexdigest()[
        :DIGEST_HEX_LENGTH
    ]
