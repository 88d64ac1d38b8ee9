"""Records the figures of one day at one VM and schedules their writes to the object API.

One part is open at a time. It is rewritten every `FLUSH_INTERVAL_S` and closed at the end of its
hour, when its size approaches the limit of the object API, and at the end of the day or process. A
VM that crashes loses the figures since its last write: at most those of `FLUSH_INTERVAL_S` plus the
duration of one write while the object API responds, otherwise those since it stopped responding.
"""

from __future__ import annotations

import collections
import dataclasses
import hashlib
import random

from gentianpaddle_core import day_codec, day_figures, histograms, ids, object_api

FLUSH_INTERVAL_S = 90.0
"""Interval between two writes; 360 VMs make 4 writes/s, which a random phase spreads evenly."""

MAX_MIDNIGHT_DELAY_S = 20.0
"""Upper bound of the random delay of the first write of a day, and of the last one at midnight: 360
VMs that start a new day at once make 36 writes/s instead of 720 in one second."""

PART_BUDGET_BYTES = 800_000
"""Estimated size above which a part is closed, below the value limit of the object API."""

MAX_QUEUED_PARTS = 48
"""Maximum number of closed parts kept while the object API is unavailable: two for each hour of a
day. Further ones are dropped and show up as a gap."""

MAX_NAMED_CLASSES = 64
"""Number of classes of work recorded by name in one part; others are recorded as `OTHER`."""

MAX_NAMED_ORGANISATIONS = 2_000
"""Number of organisations recorded by name in one part; others are recorded as `OTHER`."""

OTHER = "(other)"
"""Name under which classes and organisations beyond the limits are recorded."""

MAX_NAME_LENGTH = 64
"""Maximum length of a recorded name in characters; longer names are truncated."""

MAX_TEXT_LENGTH = 200
"""Maximum length of the recorded text of an event in characters; longer texts are truncated."""

DIGEST_HEX_LENGTH = 16

_MAX_EVENT_BYTES = 4 * (MAX_TEXT_LENGTH + 2 * MAX_NAME_LENGTH) * 2
_MAX_NAME_BYTES = 4 * MAX_NAME_LENGTH * 2
_BUCKET_BYTES = 16
_ROW_BYTES = 64
_MAX_HARM_BYTES = 2 * _MAX_NAME_BYTES + _ROW_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Finished request as the entry observed it."""

    class_name: ids.ClassName
    """Class of work."""
    organisation: ids.OrganisationId
    """Organisation that sent it."""
    outcome: day_figures.OutcomeKind
    """How the request ended; `UNKNOWN` is also recorded as `RequestFailure.UNKNOWN`."""
    in_target: bool
    """Whether the request was done and met all targets of its class."""
    first_token_s: float | None = None
    """Time to the first token, or to the complete response of a plain service."""
    token_gaps: histograms.Histogram | None = None
    """Times between tokens."""
    request_key: ids.RequestKey | None = None
    """Key of the request, required to resolve an unknown outcome later."""


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Conditional write to the object API that is due."""

    key: str
    """Key in the object API."""
    value: bytes
    """Encoded part."""
    expected_version: int
    """Version of the object at which the write is applied."""
    part_id: day_figures.PartId
    """Identifier of the part."""
    serial: int
    """Number of the snapshot of the part."""


class DayRecorder:
    """Recorder for the figures of one day at one VM."""

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
        self._queued_parts: collections.deque[day_figures.Part] = collections.deque()
        self._next_part_number = 1
        self._part_number = 0
        self._serial = 0
        self._from_s = 0.0
        self._hour = 0
        self._estimated_bytes = 0
        self._open_part(now_s)
        self._version_by_number: dict[int, int] = {}
        self._rng = rng
        self._next_write_s = now_s + rng.uniform(0.0, MAX_MIDNIGHT_DELAY_S)
        self._second_write_delay_s = rng.uniform(0.5, 1.0) * FLUSH_INTERVAL_S
        self._ended = False

    def record(self, now_s: float, observation: Observation) -> None:
        """Count a finished request.

        Args:
            now_s: Seconds since the start of the day.
            observation: Finished request.
        """
        self._close_part_if_due(now_s)
        recorded_class = self._recorded_class(observation.class_name)
        content = self._content
        cell = content.hour_figures_by_key.get((self._hour, recorded_class))
        if cell is None:
            cell = content.hour_figures_by_key[self._hour, recorded_class] = (
                day_figures.HourFigures()
            )
            self._estimated_bytes += _MAX_NAME_BYTES + 4 * _ROW_BYTES
        kind = observation.outcome
        cell.count_by_outcome[kind] = cell.count_by_outcome.get(kind, 0) + 1
        if observation.in_target and kind is day_figures.OutcomeKind.DONE:
            cell.in_target += 1
        elif kind is not day_figures.OutcomeKind.REFUSED:
            minute_key = (int(now_s // day_figures.MINUTE_S), recorded_class)
            previous_count = content.misses_by_minute.get(minute_key, 0)
            content.misses_by_minute[minute_key] = previous_count + 1
            self._estimated_bytes += 0 if previous_count else _MAX_NAME_BYTES + _ROW_BYTES
        bucket_count = len(cell.first_token.count_by_bucket) + len(cell.token_gap.count_by_bucket)
        if observation.first_token_s is not None:
            cell.first_token.add(observation.first_token_s)
        if observation.token_gaps is not None:
            cell.token_gap.merge(observation.token_gaps)
        bucket_count -= len(cell.first_token.count_by_bucket) + len(cell.token_gap.count_by_bucket)
        self._estimated_bytes -= bucket_count * _BUCKET_BYTES
        if kind is day_figures.OutcomeKind.UNKNOWN:
            self.record_failure(
                now_s,
                day_figures.RequestFailure.UNKNOWN,
                observation.class_name,
                observation.organisation,
                observation.request_key,
            )

    def record_failure(
        self,
        now_s: float,
        failure: day_figures.RequestFailure,
        class_name: ids.ClassName,
        organisation: ids.OrganisationId,
        request_key: ids.RequestKey | None = None,
    ) -> None:
        """Count a request that was affected by a failure.

        Args:
            now_s: Seconds since the start of the day.
            failure: Kind of failure.
            class_name: Class of the request.
            organisation: Organisation that sent the request.
            request_key: Key of the request. An unknown outcome with a key can be resolved later and
                is counted once, even if it is reported repeatedly.
        """
        self._close_part_if_due(now_s)
        recorded_class = self._recorded_class(class_name)
        minute_of_day = int(now_s // day_figures.MINUTE_S)
        organisation = self._recorded_organisation(organisation)
        if failure is day_figures.RequestFailure.UNKNOWN and request_key is not None:
            digest = _digest(request_key)
            if digest not in self._content.unknown_by_digest:
                self._content.unknown_by_digest[digest] = (
                    minute_of_day,
                    recorded_class,
                    organisation,
                )
                self._estimated_bytes += _MAX_HARM_BYTES
            return
        key = (minute_of_day, recorded_class, failure, organisation)
        previous_count = self._content.failures_by_key.get(key, 0)
        self._content.failures_by_key[key] = previous_count + 1
        self._estimated_bytes += 0 if previous_count else _MAX_HARM_BYTES

    def record_resolved(self, now_s: float, request_key: ids.RequestKey) -> None:
        """Record that the outcome of a request that was reported as unknown became known.

        Args:
            now_s: Seconds since the start of the day.
            request_key: Key of the request.
        """
        self._close_part_if_due(now_s)
        self._content.resolved_digests.add(_digest(request_key))
        self._estimated_bytes += _ROW_BYTES

    def record_event(self, event: day_figures.Event) -> None:
        """Record an action of an operator or a failure.

        Args:
            event: Event to record; `at_s` is also used as the time of recording.
        """
        self._close_part_if_due(event.at_s)
        self._content.add_event(
            dataclasses.replace(
                event,
                id=event.id[:MAX_NAME_LENGTH],
                text=event.text[:MAX_TEXT_LENGTH],
                source=event.source[:MAX_NAME_LENGTH],
            )
        )
        self._estimated_bytes += _MAX_EVENT_BYTES

    def request_write(self, now_s: float) -> None:
        """Make the next write due at once, for a reader that needs the latest figures.

        Args:
            now_s: Seconds since the start of the day.
        """
        self._next_write_s = now_s

    def due(self, now_s: float) -> bool:
        """Return whether `next_write` would return a write.

        Args:
            now_s: Seconds since the start of the day.
        """
        return now_s >= self._next_write_s and not self.is_drained()

    def next_write(self, now_s: float) -> Write | None:
        """Return the write that is due. Call it only while no other write of this day is pending.

        Args:
            now_s: Seconds since the start of the day.

        Returns:
            The write, or None if none is due. Pass its result to `on_write_result`.
        """
        if not self.due(now_s):
            return None
        if not self._ended:
            self._close_part_if_due(now_s)
        self._next_write_s = now_s + FLUSH_INTERVAL_S
        part = self._queued_parts[0] if self._queued_parts else self._snapshot(now_s, False, False)
        return Write(
            key=part_key(part.date, part.id),
            value=day_codec.encode(part),
            expected_version=self._version_by_number.get(part.id.number, object_api.ABSENT_VERSION),
            part_id=part.id,
            serial=part.serial,
        )

    def on_write_result(self, now_s: float, write: Write, result: object_api.PutResult) -> None:
        """Process the result of a write.

        After `StoreUnavailable` or `ResponseLost` the part is written again when due. A conflict
        can only be caused by an own write whose answer was lost, so its version is adopted.

        Args:
            now_s: Seconds since the start of the day.
            write: Write that was made.
            result: Result from the object API.
        """
        number = write.part_id.number
        if isinstance(result, object_api.VersionConflict):
            self._version_by_number[number] = result.current_version
            self._next_write_s = now_s
        elif isinstance(result, object_api.Written):
            self._version_by_number[number] = result.version
            if self._second_write_delay_s:
                self._next_write_s, self._second_write_delay_s = (
                    now_s + self._second_write_delay_s,
                    0.0,
                )
            queued_parts = self._queued_parts
            if (
                queued_parts
                and queued_parts[0].id == write.part_id
                and queued_parts[0].serial == write.serial
            ):
                queued_parts.popleft()
                del self._version_by_number[number]
                if queued_parts or self._ended:
                    self._next_write_s = now_s

    def finish(self, now_s: float, stopping: bool) -> None:
        """End the recording. Call `next_write` afterwards until `is_drained` returns True.

        Args:
            now_s: Seconds since the start of the day.
            stopping: Whether the process stops, so that the last write is due at once.
        """
        if not self._ended:
            self._close_part_if_due(now_s)
            self._queued_parts.append(self._snapshot(now_s, True, True))
            self._ended = True
            max_delay_s = 0.0 if stopping else MAX_MIDNIGHT_DELAY_S
            self._next_write_s = now_s + self._rng.uniform(0.0, max_delay_s)

    def is_drained(self) -> bool:
        """Return whether the recording has ended and all parts are written."""
        return self._ended and not self._queued_parts

    def _close_part_if_due(self, now_s: float) -> None:
        if self._ended:
            raise ValueError("the day of this recorder has ended")
        hour = int(now_s // day_figures.HOUR_S)
        if hour > self._hour or self._estimated_bytes > PART_BUDGET_BYTES:
            end_s = max(self._from_s, min(now_s, (self._hour + 1) * day_figures.HOUR_S))
            if len(self._queued_parts) < MAX_QUEUED_PARTS:
                self._queued_parts.append(self._snapshot(end_s, True, False))
            self._open_part(end_s)
            self._hour = max(hour, self._hour)

    def _open_part(self, now_s: float) -> None:
        self._content = day_figures.FigureSet()
        self._part_number = self._next_part_number
        self._next_part_number += 1
        self._serial = 0
        self._from_s = now_s
        self._hour = int(now_s // day_figures.HOUR_S)
        self._estimated_bytes = 0
        self._named_classes: set[ids.ClassName] = set()
        self._named_organisations: set[ids.OrganisationId] = set()

    def _snapshot(self, now_s: float, closed: bool, final: bool) -> day_figures.Part:
        self._serial += 1
        return day_figures.Part(
            date=self._date,
            id=day_figures.PartId(self._vm, self._incarnation, self._part_number),
            serial=self._serial,
            from_s=self._from_s,
            until_s=max(now_s, self._from_s),
            closed=closed,
            final=final,
            content=self._content,
        )

    def _recorded_class(self, name: ids.ClassName) -> ids.ClassName:
        name = ids.ClassName(name[:MAX_NAME_LENGTH])
        if name not in self._named_classes and len(self._named_classes) >= MAX_NAMED_CLASSES:
            return ids.ClassName(OTHER)
        self._named_classes.add(name)
        return name

    def _recorded_organisation(self, name: ids.OrganisationId) -> ids.OrganisationId:
        name = ids.OrganisationId(name[:MAX_NAME_LENGTH])
        if (
            name not in self._named_organisations
            and len(self._named_organisations) >= MAX_NAMED_ORGANISATIONS
        ):
            return ids.OrganisationId(OTHER)
        self._named_organisations.add(name)
        return name


def new_day_recorder(
    date: str, vm: ids.VmId, incarnation: ids.Incarnation, now_s: float, rng: random.Random
) -> DayRecorder:
    """Create the recorder of a day. Its first write is due soon, so that readers know the VM.

    Args:
        date: Day as YYYY-MM-DD.
        vm: VM that records.
        incarnation: Incarnation of this process.
        now_s: Seconds since the start of the day.
        rng: Random source for the times of the writes.

    Returns:
        The recorder.
    """
    return DayRecorder(date, vm, incarnation, now_s, rng)


def part_key(date: str, part_id: day_figures.PartId) -> str:
    """Return the key of a part in the object API.

    Args:
        date: Day as YYYY-MM-DD.
        part_id: Identifier of the part.

    Returns:
        A key below `days/<date>/`.
    """
    return f"days/{date}/{part_id.vm}/{part_id.incarnation}-{part_id.number}"


def _digest(request_key: ids.RequestKey) -> str:
    return hashlib.sha256(request_key.encode(errors="surrogatepass")).hexdigest()[
        :DIGEST_HEX_LENGTH
    ]
