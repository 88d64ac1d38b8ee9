"""Calls that keep one process's view of a claim log in step with the object API."""

from __future__ import annotations

import collections
import dataclasses
import enum
import functools
import typing
import zlib

from gentianpaddle_core import _claim_log, _claim_table, claim_records, ids, object_api, store_steps

FIRST_BACKOFF_S = 0.1
LAST_BACKOFF_S = 2.0
STALE_PAUSE_S = 0.01
"""Pause after a reply that was older than what is known, so that it does not repeat at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Landed:
    """The batch in flight is in the log."""

    merged: _claim_log.Merged
    """The batch and which of its records took effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class Beaten:
    """The batch in flight is not in the log and never will be: another took its place."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotWritten:
    """The batch in flight is not in the log and never will be: it could not be written."""

    log_full: bool
    """True when the log has no free slot, False when the object API does not serve."""


@dataclasses.dataclass(frozen=True, slots=True)
class LookedUp:
    """A record that had to be read."""

    ticket: int
    """Number of the caller."""
    record: claim_records.Record | None
    """The record, None when it could not be read."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refreshed:
    """A range read has found nothing newer."""

    started_after_ticket: int
    """Highest ticket that the caller had given out before the read was asked for."""


Event: typing.TypeAlias = Landed | Beaten | NotWritten | LookedUp | Refreshed
"""What a result led to."""


class _Task(enum.Enum):
    LIST_SEGMENTS = enum.auto()
    REPLAY_SEGMENT = enum.auto()
    CATCH_UP = enum.auto()
    APPEND = enum.auto()
    FOLD = enum.auto()
    READ_FOLD = enum.auto()
    LOOK_UP = enum.auto()


@dataclasses.dataclass(slots=True)
class _InFlight:
    batch_id: str
    records: list[bytes]
    closed_unix_s: int
    sequence: int = 0
    may_have_effect: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _LookUp:
    ticket: int
    key: ids.RequestKey
    state: _claim_table.KeyState


class ShardStore:
    """Replays, follows, appends to, folds and reads one claim log, one call at a time."""

    def __init__(self, shard: str, ring_slots: int, segment_slots: int, retention_s: float) -> None:
        self._new_log = functools.partial(
            _claim_log.ClaimLog, shard, ring_slots, segment_slots, retention_s
        )
        self.log = self._new_log()
        self.in_flight: _InFlight | None = None
        self._landed: _claim_log.Merged | None = None
        self._phase = _Task.LIST_SEGMENTS
        self._list_after = ""
        self._to_replay: collections.deque[_claim_log.SegmentInfo] = collections.deque()
        self._needs_catch_up = False
        self._needs_read_fold = False
        self._refresh_ticket: int | None = None
        self._refreshing_ticket: int | None = None
        self._look_ups: collections.deque[_LookUp] = collections.deque()
        self._task: _Task | None = None
        self._failures = 0
        self._down_until_s = -float("inf")
        self._not_before_s = -float("inf")

    @property
    def is_ready(self) -> bool:
        """Whether the log has been replayed."""
        return self._phase is _Task.APPEND

    def is_down(self, now_s: float) -> bool:
        """Return whether the object API failed and is not to be called again yet."""
        return now_s < self._down_until_s

    def wake_s(self) -> float:
        """Return the monotonic time before which `next_call` returns nothing."""
        return float("inf") if self._task else max(self._down_until_s, self._not_before_s)

    def begin(self, batch_id: str, records: list[bytes], closed_unix_s: int) -> None:
        """Start to append a batch; nothing else may be in flight."""
        assert self.in_flight is None, "one batch is in flight at a time"
        self.in_flight = _InFlight(batch_id, records, closed_unix_s)

    def look_up(self, ticket: int, key: ids.RequestKey, state: _claim_table.KeyState) -> None:
        """Ask for the record that gave a state."""
        self._look_ups.append(_LookUp(ticket, key, state))

    def refresh(self, ticket: int) -> None:
        """Ask for a range read that starts from now on."""
        self._refresh_ticket = ticket

    def next_call(self, now_s: float, unix_s: float) -> store_steps.Call | None:
        """Return the next call, None when nothing is to do or the last one is not consumed."""
        if now_s < self.wake_s():
            return None
        if self._phase is _Task.LIST_SEGMENTS:
            return self._start(
                _Task.LIST_SEGMENTS,
                store_steps.Range(
                    self.log.segment_prefix, self._list_after, _claim_log.SEGMENT_PAGE
                ),
            )
        if self._phase is _Task.REPLAY_SEGMENT:
            key = self.log.segment_key(self._to_replay[0].index)
            return self._start(_Task.REPLAY_SEGMENT, store_steps.Get(key))
        if self._look_ups:
            key = self.log.segment_key_of(self._look_ups[0].state.sequence)
            return self._start(_Task.LOOK_UP, store_steps.Get(key))
        lost = self.in_flight is not None and self.in_flight.may_have_effect
        if self._needs_catch_up or (self._phase is _Task.CATCH_UP):
            return self._catch_up_call()
        if not lost and self.log.is_fold_due():
            call = self._fold_call(unix_s)
            if call:
                return call
        if self.in_flight:
            return self._append_call()
        return self._catch_up_call() if self._refresh_ticket is not None else None

    def consume(
        self, result: store_steps.CallResult, now_s: float, unix_s: float
    ) -> tuple[Event, ...]:
        """Take the result of the last call.

        Args:
            result: Result.
            now_s: Monotonic time in seconds.
            unix_s: Wall-clock time in seconds.

        Returns:
            What it led to.
        """
        task, self._task = self._task, None
        if isinstance(result, object_api.StoreUnavailable):
            return self._unavailable(task, now_s)
        self._failures = 0
        match task, result:
            case _Task.LIST_SEGMENTS, tuple():
                self._take_segment_list(result, unix_s, now_s)
            case _Task.REPLAY_SEGMENT, _:
                self._take_replayed(result, now_s)
            case _Task.CATCH_UP, tuple():
                return self._take_catch_up(result, now_s)
            case _Task.APPEND, _:
                return self._take_append(result)
            case _Task.FOLD, object_api.Written(version):
                self.log.adopt_own_segment(version)
            case _Task.FOLD, _:
                self._needs_read_fold = True
            case _Task.READ_FOLD, _:
                self._take_read_fold(result, now_s)
            case _Task.LOOK_UP, _:
                return (self._take_look_up(result),)
        return ()

    def log_is_full(self, unix_s: float) -> bool:
        """Return whether no slot is free and none can be freed."""
        return self.log.is_ring_full() and not self.log.may_replace_segment(unix_s)

    def fail_in_flight(self) -> tuple[Event, ...]:
        """Give up a batch that was never sent because the log is full."""
        self.in_flight = None
        return (NotWritten(log_full=True),)

    def _start(self, task: _Task, call: store_steps.Call) -> store_steps.Call:
        self._task = task
        return call

    def _catch_up_call(self) -> store_steps.Call:
        self._needs_catch_up = False
        self._refreshing_ticket = self._refresh_ticket
        call = store_steps.Range(
            self.log.ring_prefix, self.log.catch_up_after(), _claim_log.CATCH_UP_LIMIT
        )
        return self._start(_Task.CATCH_UP, call)

    def _fold_call(self, unix_s: float) -> store_steps.Call | None:
        version = self.log.segment_version()
        if self._needs_read_fold or version is None:
            return self._start(_Task.READ_FOLD, store_steps.Get(self.log.next_segment_key()))
        if not self.log.may_replace_segment(unix_s):
            return None
        key = self.log.next_segment_key()
        return self._start(_Task.FOLD, store_steps.Put(key, self.log.fold(), version))

    def _append_call(self) -> store_steps.Call | None:
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
        return self._start(_Task.APPEND, store_steps.Put(key, value, version))

    def _unavailable(self, task: _Task | None, now_s: float) -> tuple[Event, ...]:
        self._back_off(now_s)
        if task is _Task.LOOK_UP:
            return (LookedUp(self._look_ups.popleft().ticket, None),)
        if self.in_flight and not self.in_flight.may_have_effect:
            self.in_flight = None
            return (NotWritten(log_full=False),)
        return ()

    def _back_off(self, now_s: float) -> None:
        self._down_until_s = now_s + min(LAST_BACKOFF_S, FIRST_BACKOFF_S * 2**self._failures)
        self._failures = min(self._failures + 1, 16)

    def _take_append(self, result: store_steps.CallResult) -> tuple[Event, ...]:
        assert self.in_flight is not None
        if isinstance(result, object_api.Written):
            flight = self.in_flight
            value = claim_records.encode_batch(
                flight.batch_id, flight.sequence, flight.closed_unix_s, flight.records
            )
            self._note_landed(self.log.merge(value, result.version))
            return self._settle_in_flight()
        if isinstance(result, object_api.AnswerLost):
            self.in_flight.may_have_effect = True
        self._needs_catch_up = True
        return ()

    def _take_catch_up(
        self, objects: tuple[object_api.StoredObject, ...], now_s: float
    ) -> tuple[Event, ...]:
        caught = self.log.catch_up(objects)
        for merged in caught.merged:
            self._note_landed(merged)
        if caught.lapped:
            self._restart(now_s)
            return ()
        if self._phase is _Task.CATCH_UP and not caught.merged:
            self._phase = _Task.APPEND
        events = self._settle_in_flight()
        if not caught.merged:
            self._not_before_s = now_s + (STALE_PAUSE_S if self.in_flight else 0.0)
            if self.is_ready and self._refreshing_ticket is not None:
                events = (*events, Refreshed(self._refreshing_ticket))
                if self._refresh_ticket == self._refreshing_ticket:
                    self._refresh_ticket = None
        return events

    def _note_landed(self, merged: _claim_log.Merged) -> None:
        if self.in_flight and merged.batch.id == self.in_flight.batch_id:
            self._landed = merged

    def _settle_in_flight(self) -> tuple[Event, ...]:
        flight = self.in_flight
        if flight is None or not self.is_ready:
            return ()
        if self._landed is not None:
            landed, self._landed, self.in_flight = self._landed, None, None
            return (Landed(landed),)
        if 0 < flight.sequence < self.log.next_sequence:
            self.in_flight = None
            return (Beaten(),)
        return ()

    def _restart(self, now_s: float) -> None:
        self.log = self._new_log()
        self._phase = _Task.LIST_SEGMENTS
        self._list_after = ""
        self._needs_catch_up = False
        self._needs_read_fold = False
        self._not_before_s = now_s + STALE_PAUSE_S

    def _take_segment_list(
        self, objects: tuple[object_api.StoredObject, ...], unix_s: float, now_s: float
    ) -> None:
        self.log.list_segments(objects)
        if objects:
            self._list_after = objects[-1].key
            return
        order = self.log.replay_order(unix_s)
        if order is None:
            self._restart(now_s)
            return
        self._to_replay = collections.deque(order)
        self._phase = _Task.REPLAY_SEGMENT if order else _Task.CATCH_UP

    def _take_replayed(self, result: store_steps.CallResult, now_s: float) -> None:
        merged = None
        if isinstance(result, object_api.StoredObject):
            merged = self.log.replay_segment(result.value, self._to_replay[0].index)
        if merged is None:
            self._restart(now_s)
            return
        for item in merged:
            self._note_landed(item)
        self._to_replay.popleft()
        if not self._to_replay:
            self._phase = _Task.CATCH_UP

    def _take_read_fold(self, result: store_steps.CallResult, now_s: float) -> None:
        self._needs_read_fold = False
        if not isinstance(result, object_api.StoredObject):
            return
        note = self.log.note_segment(result)
        if note is _claim_log.SegmentNote.LAPPED:
            self._restart(now_s)
        elif note is _claim_log.SegmentNote.AHEAD:
            self._needs_catch_up = True

    def _take_look_up(self, result: store_steps.CallResult) -> LookedUp:
        wanted = self._look_ups.popleft()
        if not isinstance(result, object_api.StoredObject):
            return LookedUp(wanted.ticket, None)
        try:
            segment = claim_records.decode_segment(result.value)
        except (ValueError, zlib.error):
            return LookedUp(wanted.ticket, None)
        if not segment.first <= wanted.state.sequence <= segment.last:
            return LookedUp(wanted.ticket, None)
        batch = claim_records.decode_batch(segment.batches[wanted.state.sequence - segment.first])
        record = batch.records[wanted.state.position]
        claim = record if isinstance(record, claim_records.Claim) else record.claim
        return LookedUp(wanted.ticket, record if claim.key == wanted.key else None)
