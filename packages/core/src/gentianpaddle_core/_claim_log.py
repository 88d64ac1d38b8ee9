"""One process's view of the claim log of a shard.

Batches stand in a ring of slots, `claims/<shard>/r/<slot>`: the batch with sequence s stands in
slot (s - 1) mod N, and each write expects the version of the batch one lap before it. Before a
slot is used again its batch is folded into a segment, `claims/<shard>/s/<slot>`, in a second ring
whose slots are used again after the retention. So the object API needs no delete, and a writer
that was paused for any time finds another version and cannot overwrite.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import typing

from gentianpaddle_core import (
    _claim_table,
    claim_records,
    ids,
    object_api,
    outcomes,
)

SEGMENT_BYTES = 900_000
"""Encoded batches in one segment before compression, below the value limit."""
CATCH_UP_LIMIT = 64
"""Slots in one range read."""
SEGMENT_PAGE = 8
"""Segments in one range read."""


@dataclasses.dataclass(frozen=True, slots=True)
class Merged:
    """A batch that was merged."""

    batch: claim_records.Batch
    """The batch."""
    effective: tuple[bool, ...]
    """By position, whether the record changed the state of its key."""


@dataclasses.dataclass(frozen=True, slots=True)
class CaughtUp:
    """Result of merging what a range read returned."""

    merged: tuple[Merged, ...]
    """Batches that were new."""
    lapped: bool
    """True when the ring went on by a lap or more: replay from the segments."""


class SegmentNote(enum.Enum):
    """What stands in the slot of the next segment."""

    ADOPTED = "adopted"
    OLD = "old"
    AHEAD = "ahead of the merged batches"
    LAPPED = "lapped"


@dataclasses.dataclass(frozen=True, slots=True)
class SegmentInfo:
    """Where folded batches are."""

    index: int
    """Position among the segments."""
    first: int
    """Sequence of the first batch."""
    last: int
    """Sequence of the last batch."""
    closed_unix_s: int
    """Time of the last batch."""
    version: int
    """Version of its slot."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Content:
    sequence: int
    version: int


class ClaimLog:
    """Merged state of a shard.

    Attributes:
        next_sequence: Sequence of the next batch.
        folded_last: Sequence of the last batch that is in a segment.
        next_segment: Index of the next segment.
        pending_bytes: Size of the batches that are in no segment.
    """

    def __init__(self, shard: str, ring_slots: int, segment_slots: int, retention_s: float) -> None:
        self.ring_prefix = f"claims/{shard}/r/"
        self.segment_prefix = f"claims/{shard}/s/"
        self.table = _claim_table.KeyTable(retention_s)
        self.next_sequence = 1
        self.folded_last = 0
        self.next_segment = 1
        self.pending_bytes = 0
        self._ring_slots = ring_slots
        self._segment_slots = segment_slots
        self._retention_s = retention_s
        self._content_by_slot: dict[int, _Content] = {}
        self._info_by_segment_slot: dict[int, SegmentInfo] = {}
        self._folded = b""
        self._pending: collections.deque[tuple[int, bytes]] = collections.deque()

    def ring_key(self, sequence: int) -> str:
        """Return the key of the slot of a batch."""
        return f"{self.ring_prefix}{self._slot(sequence):06d}"

    def catch_up_after(self) -> str:
        """Return the key after which a range read starts with the next batch."""
        slot = self._slot(self.next_sequence)
        return f"{self.ring_prefix}{slot - 1:06d}" if slot else ""

    def expected_version(self) -> int | None:
        """Return the version that the slot of the next batch must have, None when unknown."""
        content = self._content_by_slot.get(self._slot(self.next_sequence))
        if content and content.sequence == self.next_sequence - self._ring_slots:
            return content.version
        # In the first lap a slot is absent or taken; expecting absence can only fail.
        first_lap = self.next_sequence <= self._ring_slots
        return object_api.ABSENT_VERSION if first_lap else None

    def is_ring_full(self) -> bool:
        """Return whether the slot of the next batch still holds one that is in no segment."""
        return self.next_sequence - self.folded_last > self._ring_slots

    def state(self, key: ids.RequestKey) -> _claim_table.KeyState | None:
        """Return the state of a key, None when it is free."""
        return self.table.find(key)

    def merge(self, value: bytes, version: int) -> Merged:
        """Merge the next batch.

        Args:
            value: Its encoding.
            version: Version of its slot.

        Returns:
            The batch and which of its records took effect.

        Raises:
            AssertionError: It is not the next batch.
        """
        batch = claim_records.decode_batch(value)
        assert batch.sequence == self.next_sequence, "batches are merged in order"
        self._note_content(self._slot(batch.sequence), _Content(batch.sequence, version))
        self._pending.append((batch.sequence, value))
        self.pending_bytes += len(value)
        return self._apply(batch)

    def catch_up(self, objects: tuple[object_api.StoredObject, ...]) -> CaughtUp:
        """Merge the batches that a range read from `catch_up_after` returned.

        Args:
            objects: Objects in key order; they may be stale or end early.

        Returns:
            What was merged.
        """
        merged: list[Merged] = []
        lapped = False
        in_order = True
        for stored in objects:
            slot = int(stored.key.removeprefix(self.ring_prefix))
            sequence = claim_records.sequence_of(stored.value)
            if in_order and slot == self._slot(self.next_sequence):
                if sequence == self.next_sequence:
                    merged.append(self.merge(stored.value, stored.version))
                    continue
                lapped = sequence > self.next_sequence
            in_order = False
            self._note_content(slot, _Content(sequence, stored.version))
        return CaughtUp(tuple(merged), lapped)

    def pending_record(self, state: _claim_table.KeyState) -> claim_records.Record | None:
        """Return the record that gave a state, None when its batch is in a segment."""
        if state.sequence <= self.folded_last:
            return None
        _, value = self._pending[state.sequence - self._pending[0][0]]
        return claim_records.decode_batch(value).records[state.position]

    def segment_key(self, index: int) -> str:
        """Return the key of the slot of a segment."""
        return f"{self.segment_prefix}{self._segment_slot(index):06d}"

    def segment_key_of(self, sequence: int) -> str:
        """Return the key of the segment that holds a batch, else of the newest one."""
        for info in self._info_by_segment_slot.values():
            if info.first <= sequence <= info.last:
                return self.segment_key(info.index)
        return self.segment_key(max(1, self.next_segment - 1))

    def next_segment_key(self) -> str:
        """Return the key of the slot of the next segment."""
        return self.segment_key(self.next_segment)

    def segment_version(self) -> int | None:
        """Return the version that the slot of the next segment must have, None when unknown."""
        slot = self._segment_slot(self.next_segment)
        info = self._info_by_segment_slot.get(slot)
        if info and info.index == self.next_segment - self._segment_slots:
            return info.version
        first_lap = self.next_segment <= self._segment_slots
        return object_api.ABSENT_VERSION if first_lap else None

    def may_replace_segment(self, unix_s: float) -> bool:
        """Return whether the slot of the next segment is free or past the retention."""
        info = self._info_by_segment_slot.get(self._segment_slot(self.next_segment))
        return info is None or info.closed_unix_s <= unix_s - self._retention_s

    def is_fold_due(self) -> bool:
        """Return whether batches should be folded before the next one is written."""
        many = len(self._pending) >= self._ring_slots * 3 // 4
        return many or self.pending_bytes >= SEGMENT_BYTES

    def fold(self) -> bytes:
        """Encode the oldest pending batches as the next segment."""
        chosen: list[bytes] = []
        size = 0
        for _, value in self._pending:
            if chosen and size + len(value) > SEGMENT_BYTES:
                break
            chosen.append(value)
            size += len(value)
        first = self._pending[0][0]
        closed = claim_records.decode_batch(chosen[-1]).closed_unix_s
        last = first + len(chosen) - 1
        segment = claim_records.Segment(self.next_segment, first, last, closed, tuple(chosen))
        self._folded = claim_records.encode_segment(segment)
        return self._folded

    def note_segment(self, stored: object_api.StoredObject) -> SegmentNote:
        """Note what stands in the slot of the next segment.

        Args:
            stored: Object of that slot.

        Returns:
            What it is.
        """
        info = _info(stored)
        if info.index > self.next_segment:
            return SegmentNote.LAPPED
        if info.index == self.next_segment and info.last >= self.next_sequence:
            return SegmentNote.AHEAD
        self._keep_info(info)
        if info.index < self.next_segment:
            return SegmentNote.OLD
        self.next_segment += 1
        self._drop_pending(info.last)
        return SegmentNote.ADOPTED

    def adopt_own_segment(self, version: int) -> None:
        """Note that the segment of the last `fold` was written."""
        key = self.next_segment_key()
        self.note_segment(object_api.StoredObject(key, self._folded, version))

    def list_segments(self, objects: tuple[object_api.StoredObject, ...]) -> None:
        """Note the segments of a range read, for a replay.

        Args:
            objects: Objects of the segment ring.
        """
        for stored in objects:
            self._keep_info(_info(stored))

    def replay_order(self, unix_s: float) -> tuple[SegmentInfo, ...] | None:
        """Return the segments to replay.

        Args:
            unix_s: Wall-clock time in seconds.

        Returns:
            The segments within the retention and always the newest, in order; None when the
            range reads have missed one.
        """
        infos = sorted(self._info_by_segment_slot.values(), key=lambda info: info.index)
        if not infos:
            return ()
        newest = infos[-1].index
        if len(infos) != min(newest, self._segment_slots):
            return None
        limit = unix_s - self._retention_s
        return tuple(i for i in infos if i.closed_unix_s > limit or i.index == newest)

    def replay_segment(self, value: bytes, index: int) -> tuple[Merged, ...] | None:
        """Merge a whole segment.

        Args:
            value: Content of its slot.
            index: Index that it should have.

        Returns:
            Its batches, None when the slot holds another segment or one is missing before it.
        """
        segment = claim_records.decode_segment(value)
        gap = self.folded_last and segment.first != self.folded_last + 1
        if segment.index != index or gap:
            return None
        merged = tuple(self._apply(claim_records.decode_batch(raw)) for raw in segment.batches)
        self.folded_last = segment.last
        self.next_sequence = segment.last + 1
        self.next_segment = index + 1
        return merged

    def _apply(self, batch: claim_records.Batch) -> Merged:
        effective = tuple(
            self._apply_record(record, batch, position)
            for position, record in enumerate(batch.records)
        )
        self.next_sequence = batch.sequence + 1
        return Merged(batch, effective)

    def _apply_record(
        self, record: claim_records.Record, batch: claim_records.Batch, position: int
    ) -> bool:
        claim = record if isinstance(record, claim_records.Claim) else record.claim
        state = self.table.find(claim.key)
        if isinstance(record, claim_records.Claim):
            kind = _claim_table.KeyKind.HELD
            if not wins(state, claim.attempt):
                return False
        else:
            kind = kind_of(record.outcome)
            if state is None or state.attempt != claim.attempt or not _may_follow(state, kind):
                return False
        new_state = _claim_table.KeyState(kind, claim.attempt, batch.sequence, position)
        self.table.store(claim.key, new_state, batch.closed_unix_s)
        return True

    def _note_content(self, slot: int, content: _Content) -> None:
        known = self._content_by_slot.get(slot)
        if known is None or known.sequence < content.sequence:
            self._content_by_slot[slot] = content

    def _keep_info(self, info: SegmentInfo) -> None:
        slot = self._segment_slot(info.index)
        known = self._info_by_segment_slot.get(slot)
        if known is None or known.index < info.index:
            self._info_by_segment_slot[slot] = info

    def _drop_pending(self, last: int) -> None:
        while self._pending and self._pending[0][0] <= last:
            self.pending_bytes -= len(self._pending.popleft()[1])
        self.folded_last = max(self.folded_last, last)

    def _slot(self, sequence: int) -> int:
        return (sequence - 1) % self._ring_slots

    def _segment_slot(self, index: int) -> int:
        return (index - 1) % self._segment_slots


def wins(state: _claim_table.KeyState | None, attempt: int) -> bool:
    """Return whether a claim at the end of the log takes its key."""
    if state is None:
        return True
    return state.kind is _claim_table.KeyKind.RELEASED and attempt > state.attempt


def kind_of(outcome: outcomes.Outcome) -> _claim_table.KeyKind:
    """Return the state that an outcome gives to its key."""
    if isinstance(outcome, outcomes.Done):
        return _claim_table.KeyKind.DONE
    if isinstance(outcome, outcomes.Unknown):
        return _claim_table.KeyKind.UNKNOWN
    return _claim_table.KeyKind.RELEASED


_FOLLOWERS: typing.Final = {
    _claim_table.KeyKind.HELD: frozenset(
        {
            _claim_table.KeyKind.UNKNOWN,
            _claim_table.KeyKind.DONE,
            _claim_table.KeyKind.RELEASED,
        }
    ),
    # An unknown call may still be found done or proven not run.
    _claim_table.KeyKind.UNKNOWN: frozenset(
        {_claim_table.KeyKind.DONE, _claim_table.KeyKind.RELEASED}
    ),
    _claim_table.KeyKind.DONE: frozenset(),
    _claim_table.KeyKind.RELEASED: frozenset(),
}


def _may_follow(state: _claim_table.KeyState, kind: _claim_table.KeyKind) -> bool:
    return kind in _FOLLOWERS[state.kind]


def _info(stored: object_api.StoredObject) -> SegmentInfo:
    segment = claim_records.decode_segment(stored.value)
    return SegmentInfo(
        segment.index, segment.first, segment.last, segment.closed_unix_s, stored.version
    )
