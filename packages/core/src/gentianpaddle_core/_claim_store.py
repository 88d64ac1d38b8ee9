"""Calls of the object API that read and write the claim log of one shard for one process."""

from __future__ import annotations

import collections
import dataclasses
import enum
import functools
import typing
import zlib

from gentianpaddle_core import _claim_log, _claim_table, claim_records, ids, object_api, store_calls

MIN_BACKOFF_S = 0.1
"""Pause in seconds after the first failed call; it doubles with each further failure."""
MAX_BACKOFF_S = 2.0
"""Longest pause in seconds between failed calls."""
STALE_READ_PAUSE_S = 0.01
"""Pause in seconds after a stale reply, so that the read is not repeated at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The batch in flight has been appended to the log."""

    merged: _claim_log.MergedBatch
    """The batch and which of its records took effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class SlotTaken:
    """The batch in flight is not in the log and never will be: another batch took its slot."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotWritten:
    """The batch in flight is not in the log and never will be: it could not be written."""

    log_full: bool
    """True when the log has no free slot, False when the object API is unavailable."""


@dataclasses.dataclass(frozen=True, slots=True)
class RecordRead:
    """Result of a read of a record from a segment."""

    ticket: int
    """Ticket of the request for which the record was read."""
    record: claim_records.Record | None
    """The record, None when it could not be read."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refreshed:
    """The view is up to date: a range read has found no newer batch."""

    last_ticket: int
    """Highest ticket issued before the read was requested; later requests need another read."""


Event: typing.TypeAlias = Appended | SlotTaken | NotWritten | RecordRead | Refreshed
"""Event that follows from the result of a call."""


class _Task(enum.Enum):
    LIST_SEGMENTS = enum.auto()
    REPLAY_SEGMENT = enum.auto()
    CATCH_UP = enum.auto()
    APPEND = enum.auto()
    WRITE_SEGMENT = enum.auto()
    READ_SEGMENT = enum.auto()
    READ_RECORD = enum.auto()


@dataclasses.dataclass(slots=True)
class _InFlightBatch:
    batch_id: str
    records: list[bytes]
    closed_unix_s: int
    sequence: int = 0
    """Sequence under which the batch was last sent, 0 when it was never sent."""
    may_be_written: bool = False
    """Whether the answer to a write was lost, so that the batch may be in the log."""


@dataclasses.dataclass(frozen=True, slots=True)
class _RecordRequest:
    ticket: int
    key: ids.RequestKey
    state: _claim_table.KeyState


class ShardStore:
    """Replays, follows, appends to, compacts and reads one claim log, one call at a time."""

    def __init__(self, shard: str, ring_slots: int, segment_slots: int, retention_s: float) -> None:
        self._new_log = functools.partial(
            _claim_log.ClaimLog, shard, ring_slots, segment_slots, retention_s
        )
        self.log = self._new_log()
        self.in_flight: _InFlightBatch | None = None
        self._appended: _claim_log.MergedBatch | None = None
        self._phase = _Task.LIST_SEGMENTS
        self._list_after_key = ""
        self._segments_to_replay: collections.deque[_claim_log.SegmentInfo] = collections.deque()
        self._needs_catch_up = False
        self._needs_segment_read = False
        self._wanted_refresh_ticket: int | None = None
        self._running_refresh_ticket: int | None = None
        self._record_requests: collections.deque[_RecordRequest] = collections.deque()
        self._task: _Task | None = None
        self._failure_count = 0
        self._down_until_s = -float("inf")
        self._paused_until_s = -float("inf")

    @property
    def is_ready(self) -> bool:
        """Whether the log has been replayed."""
        return self._phase is _Task.APPEND

    def is_down(self, now_s: float) -> bool:
        """Return whether the object API failed and must not be called again yet."""
        return now_s < self._down_until_s

    def wake_s(self) -> float:
        """Return the monotonic time before which `next_call` returns None."""
        return float("inf") if self._task else max(self._down_until_s, self._paused_until_s)

    def begin(self, batch_id: str, records: list[bytes], closed_unix_s: int) -> None:
        """Start to append a batch; no other batch may be in flight."""
        assert self.in_flight is None, "one batch is in flight at a time"
        self.in_flight = _InFlightBatch(batch_id, records, closed_unix_s)

    def read_record(self, ticket: int, key: ids.RequestKey, state: _claim_table.KeyState) -> None:
        """Request a read of the record that set a state."""
        self._record_requests.append(_RecordRequest(ticket, key, state))

    def refresh(self, ticket: int) -> None:
        """Request a range read that starts after this call."""
        self._wanted_refresh_ticket = ticket

    def next_call(self, now_s: float, unix_s: float) -> store_calls.Call | None:
        """Return the next call.

        Returns:
            The call, None when there is nothing to do or the result of the last call has not been
            consumed.
        """
        if now_s < self.wake_s():
            return None
        if self._phase is _Task.LIST_SEGMENTS:
            return self._start_task(
                _Task.LIST_SEGMENTS,
                store_calls.Range(
                    self.log.segment_prefix, self._list_after_key, _claim_log.LIST_PAGE_SEGMENTS
                ),
            )
        if self._phase is _Task.REPLAY_SEGMENT:
            key = self.log.segment_key(self._segments_to_replay[0].index)
            return self._start_task(_Task.REPLAY_SEGMENT, store_calls.Get(key))
        if self._record_requests:
            key = self.log.segment_key_of(self._record_requests[0].state.sequence)
            return self._start_task(_Task.READ_RECORD, store_calls.Get(key))
        is_outcome_unknown = self.in_flight is not None and self.in_flight.may_be_written
        if self._needs_catch_up or (self._phase is _Task.CATCH_UP):
            return self._catch_up_call()
        if not is_outcome_unknown and self.log.is_compaction_due():
            call = self._compaction_call(unix_s)
            if call:
                return call
        if self.in_flight:
            return self._append_call()
        return self._catch_up_call() if self._wanted_refresh_ticket is not None else None

    def handle_result(
        self, result: store_calls.CallResult, now_s: float, unix_s: float
    ) -> tuple[Event, ...]:
        """Process the result of the last call.

        Args:
            result: Result of the call.
            now_s: Monotonic time in seconds.
            unix_s: Wall-clock time in seconds.

        Returns:
            Events that follow from the result.
        """
        task, self._task = self._task, None
        if isinstance(result, object_api.StoreUnavailable):
            return self._handle_unavailable(task, now_s)
        self._failure_count = 0
        match task, result:
            case _Task.LIST_SEGMENTS, tuple():
                self._handle_segment_list(result, unix_s, now_s)
            case _Task.REPLAY_SEGMENT, _:
                self._handle_replayed(result, now_s)
            case _Task.CATCH_UP, tuple():
                return self._handle_catch_up(result, now_s)
            case _Task.APPEND, _:
                return self._handle_append(result)
            case _Task.WRITE_SEGMENT, object_api.Written(version):
                self.log.adopt_written_segment(version)
            case _Task.WRITE_SEGMENT, _:
                self._needs_segment_read = True
            case _Task.READ_SEGMENT, _:
                self._handle_segment_read(result, now_s)
            case _Task.READ_RECORD, _:
                return (self._handle_record_read(result),)
        return ()

    def is_log_full(self, unix_s: float) -> bool:
        """Return whether the log has no free slot and none can be freed by compaction."""
        return self.log.is_ring_full() and not self.log.may_replace_segment(unix_s)

    def fail_in_flight(self) -> tuple[Event, ...]:
        """Drop the batch in flight, which was never sent because the log is full."""
        self.in_flight = None
        return (NotWritten(log_full=True),)

    def _start_task(self, task: _Task, call: store_calls.Call) -> store_calls.Call:
        self._task = task
        return call

    def _catch_up_call(self) -> store_calls.Call:
        self._needs_catch_up = False
        self._running_refresh_ticket = self._wanted_refresh_ticket
        call = store_calls.Range(
            self.log.ring_prefix, self.log.catch_up_after_key(), _claim_log.CATCH_UP_PAGE_SLOTS
        )
        return self._start_task(_Task.CATCH_UP, call)

    def _compaction_call(self, unix_s: float) -> store_calls.Call | None:
        version = self.log.expected_segment_version()
        if self._needs_segment_read or version is None:
            return self._start_task(
                _Task.READ_SEGMENT, store_calls.Get(self.log.next_segment_key())
            )
        if not self.log.may_replace_segment(unix_s):
            return None
        key = self.log.next_segment_key()
        return self._start_task(
            _Task.WRITE_SEGMENT, store_calls.Put(key, self.log.compact(), version)
        )

    def _append_call(self) -> store_calls.Call | None:
        assert self.in_flight is not None
        version = self.log.expected_version()
        if version is None:
            return self._catch_up_call()
        if self.log.is_ring_full():
            return None
        flight = self.in_flight
        flight.sequence = self.log.next_sequence
        value = claim_records.encode_batch(
            flight.batch_id, flight.sequence, flight.closed_unix_s, flight.records
        )
        key = self.log.ring_key(flight.sequence)
        return self._start_task(_Task.APPEND, store_calls.Put(key, value, version))

    def _handle_unavailable(self, task: _Task | None, now_s: float) -> tuple[Event, ...]:
        self._back_off(now_s)
        if task is _Task.READ_RECORD:
            return (RecordRead(self._record_requests.popleft().ticket, None),)
        if self.in_flight and not self.in_flight.may_be_written:
            self.in_flight = None
            return (NotWritten(log_full=False),)
        return ()

    def _back_off(self, now_s: float) -> None:
        self._down_until_s = now_s + min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**self._failure_count)
        self._failure_count = min(self._failure_count + 1, 16)

    def _handle_append(self, result: store_calls.CallResult) -> tuple[Event, ...]:
        assert self.in_flight is not None
        if isinstance(result, object_api.Written):
            flight = self.in_flight
            value = claim_records.encode_batch(
                flight.batch_id, flight.sequence, flight.closed_unix_s, flight.records
            )
            self._note_appended(self.log.merge(value, result.version))
            return self._resolve_in_flight()
        if isinstance(result, object_api.ResponseLost):
            self.in_flight.may_be_written = True
        self._needs_catch_up = True
        return ()

    def _handle_catch_up(
        self, objects: tuple[object_api.StoredObject, ...], now_s: float
    ) -> tuple[Event, ...]:
        caught_up = self.log.catch_up(objects)
        for merged in caught_up.merged:
            self._note_appended(merged)
        if caught_up.lapped:
            self._restart(now_s)
            return ()
        if self._phase is _Task.CATCH_UP and not caught_up.merged:
            self._phase = _Task.APPEND
        events = self._resolve_in_flight()
        if not caught_up.merged:
            self._paused_until_s = now_s + (STALE_READ_PAUSE_S if self.in_flight else 0.0)
            if self.is_ready and self._running_refresh_ticket is not None:
                events = (*events, Refreshed(self._running_refresh_ticket))
                if self._wanted_refresh_ticket == self._running_refresh_ticket:
                    self._wanted_refresh_ticket = None
        return events

    def _note_appended(self, merged: _claim_log.MergedBatch) -> None:
        if self.in_flight and merged.batch.id == self.in_flight.batch_id:
            self._appended = merged

    def _resolve_in_flight(self) -> tuple[Event, ...]:
        flight = self.in_flight
        if flight is None or not self.is_ready:
            return ()
        if self._appended is not None:
            appended, self._appended, self.in_flight = self._appended, None, None
            return (Appended(appended),)
        if 0 < flight.sequence < self.log.next_sequence:
            self.in_flight = None
            return (SlotTaken(),)
        return ()

    def _restart(self, now_s: float) -> None:
        self.log = self._new_log()
        self._phase = _Task.LIST_SEGMENTS
        self._list_after_key = ""
        self._needs_catch_up = False
        self._needs_segment_read = False
        self._paused_until_s = now_s + STALE_READ_PAUSE_S

    def _handle_segment_list(
        self, objects: tuple[object_api.StoredObject, ...], unix_s: float, now_s: float
    ) -> None:
        self.log.add_listed_segments(objects)
        if objects:
            self._list_after_key = objects[-1].key
            return
        order = self.log.replay_order(unix_s)
        if order is None:
            self._restart(now_s)
            return
        self._segments_to_replay = collections.deque(order)
        self._phase = _Task.REPLAY_SEGMENT if order else _Task.CATCH_UP

    def _handle_replayed(self, result: store_calls.CallResult, now_s: float) -> None:
        merged = None
        if isinstance(result, object_api.StoredObject):
            merged = self.log.replay_segment(result.value, self._segments_to_replay[0].index)
        if merged is None:
            self._restart(now_s)
            return
        for item in merged:
            self._note_appended(item)
        self._segments_to_replay.popleft()
        if not self._segments_to_replay:
            self._phase = _Task.CATCH_UP

    def _handle_segment_read(self, result: store_calls.CallResult, now_s: float) -> None:
        self._needs_segment_read = False
        if not isinstance(result, object_api.StoredObject):
            return
        slot_state = self.log.apply_segment_slot(result)
        if slot_state is _claim_log.SegmentSlotState.LAPPED:
            self._restart(now_s)
        elif slot_state is _claim_log.SegmentSlotState.AHEAD:
            self._needs_catch_up = True

    def _handle_record_read(self, result: store_calls.CallResult) -> RecordRead:
        request = self._record_requests.popleft()
        if not isinstance(result, object_api.StoredObject):
            return RecordRead(request.ticket, None)
        try:
            segment = claim_records.decode_segment(result.value)
        except (ValueError, zlib.error):
            return RecordRead(request.ticket, None)
        if not segment.first_sequence <= request.state.sequence <= segment.last_sequence:
            return RecordRead(request.ticket, None)
        batch = claim_records.decode_batch(
            segment.batches[request.state.sequence - segment.first_sequence]
        )
        record = batch.records[request.state.position]
        claim = record if isinstance(record, claim_records.Claim) else record.claim
        return RecordRead(request.ticket, record if claim.key == request.key else None)
