"""One process's view of the claim log of a shard.

Batches are stored in a ring of slots, `claims/<shard>/r/<slot>`. The batch with sequence s is in
slot (s - 1) mod N, and each write expects the version of the batch that was in the slot one lap
earlier. Before a slot is reused, its batch is compacted into a segment, `claims/<shard>/s/<slot>`,
in a second ring whose slots are reused after the retention time. The object API therefore needs no
delete operation. A writer that was paused for any length of time finds another version in the slot,
so it cannot overwrite a batch.
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

SEGMENT_LIMIT_BYTES = 900_000
"""Size of the encoded batches in a segment before compression; below the limit of a value."""
CATCH_UP_PAGE_SLOTS = 64
"""Number of slots of the batch ring in one range read."""
LIST_PAGE_SEGMENTS = 8
"""Number of segments in one range read."""


@dataclasses.dataclass(frozen=True, slots=True)
class MergedBatch:
    """A batch that was merged into the state of the shard."""

    batch: claim_records.Batch
    """Decoded batch."""
    effective: tuple[bool, ...]
    """For each record by position, whether it changed the state of its key."""


@dataclasses.dataclass(frozen=True, slots=True)
class CatchUpResult:
    """Result of merging what a range read returned."""

    merged: tuple[MergedBatch, ...]
    """New batches that were merged, in order."""
    lapped: bool
    """Whether the next batch has been overwritten by one of a later lap; the log must be replayed
    from the segments."""


class SegmentSlotState(enum.Enum):
    """State of the slot of the next segment."""

    ADOPTED = "adopted"
    OLD = "old"
    AHEAD = "ahead of the merged batches"
    LAPPED = "lapped"


@dataclasses.dataclass(frozen=True, slots=True)
class SegmentInfo:
    """Location and extent of a segment."""

    index: int
    """Position of the segment among the segments of the shard, from 1."""
    first_sequence: int
    """Sequence of the first batch."""
    last_sequence: int
    """Sequence of the last batch."""
    closed_unix_s: int
    """Wall-clock time when the last batch was closed, in seconds."""
    version: int
    """Version of the object in the slot of the segment."""


@dataclasses.dataclass(frozen=True, slots=True)
class _SlotContent:
    """Sequence and version of the newest batch seen in a slot."""

    sequence: int
    version: int


class ClaimLog:
    """State of a shard, merged from its batches and segments.

    Attributes:
        next_sequence: Sequence of the next batch.
        last_compacted: Sequence of the last batch that is in a segment, 0 for none.
        next_segment_index: Index of the next segment.
        uncompacted_bytes: Size of the merged batches that are in no segment.
    """

    def __init__(self, shard: str, ring_slots: int, segment_slots: int, retention_s: float) -> None:
        self.ring_prefix = f"claims/{shard}/r/"
        self.segment_prefix = f"claims/{shard}/s/"
        self.table = _claim_table.KeyTable(retention_s)
        self.next_sequence = 1
        self.last_compacted = 0
        self.next_segment_index = 1
        self.uncompacted_bytes = 0
        self._ring_slots = ring_slots
        self._segment_slots = segment_slots
        self._retention_s = retention_s
        self._content_by_slot: dict[int, _SlotContent] = {}
        self._info_by_segment_slot: dict[int, SegmentInfo] = {}
        self._encoded_segment = b""
        self._uncompacted: collections.deque[tuple[int, bytes]] = collections.deque()

    def ring_key(self, sequence: int) -> str:
        """Return the object key of the slot of a batch."""
        return f"{self.ring_prefix}{self._slot(sequence):06d}"

    def catch_up_after_key(self) -> str:
        """Return the object key after which a range read starts with the next batch."""
        slot = self._slot(self.next_sequence)
        return f"{self.ring_prefix}{slot - 1:06d}" if slot else ""

    def expected_version(self) -> int | None:
        """Return the version expected in the slot of the next batch, None when it is unknown."""
        content = self._content_by_slot.get(self._slot(self.next_sequence))
        if content and content.sequence == self.next_sequence - self._ring_slots:
            return content.version
        # In the first lap a slot is either absent or taken by another writer. Expecting absence is
        # safe: the write fails when the slot is taken.
        first_lap = self.next_sequence <= self._ring_slots
        return object_api.ABSENT_VERSION if first_lap else None

    def is_ring_full(self) -> bool:
        """Return whether the slot of the next batch still holds a batch that is in no segment."""
        return self.next_sequence - self.last_compacted > self._ring_slots

    def state(self, key: ids.RequestKey) -> _claim_table.KeyState | None:
        """Return the state of a key, None when it is free."""
        return self.table.find(key)

    def merge(self, value: bytes, version: int) -> MergedBatch:
        """Merge the next batch.

        Args:
            value: Encoded batch.
            version: Version of the object in its slot.

        Returns:
            The batch and which of its records took effect.

        Raises:
            AssertionError: The batch is not the next one.
        """
        batch = claim_records.decode_batch(value)
        assert batch.sequence == self.next_sequence, "batches are merged in order"
        self._update_slot(self._slot(batch.sequence), _SlotContent(batch.sequence, version))
        self._uncompacted.append((batch.sequence, value))
        self.uncompacted_bytes += len(value)
        return self._apply_batch(batch)

    def catch_up(self, objects: tuple[object_api.StoredObject, ...]) -> CatchUpResult:
        """Merge the batches that a range read from `catch_up_after` returned.

        Args:
            objects: Objects in key order. The read may be stale or incomplete.

        Returns:
            The merged batches, and whether the log must be replayed.
        """
        merged: list[MergedBatch] = []
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
            self._update_slot(slot, _SlotContent(sequence, stored.version))
        return CatchUpResult(tuple(merged), lapped)

    def uncompacted_record(self, state: _claim_table.KeyState) -> claim_records.Record | None:
        """Return the record that set a state, None when its batch is in a segment."""
        if state.sequence <= self.last_compacted:
            return None
        _, value = self._uncompacted[state.sequence - self._uncompacted[0][0]]
        return claim_records.decode_batch(value).records[state.position]

    def segment_key(self, index: int) -> str:
        """Return the object key of the slot of a segment."""
        return f"{self.segment_prefix}{self._segment_slot(index):06d}"

    def segment_key_of(self, sequence: int) -> str:
        """Return the object key of the segment that holds a batch.

        When no known segment holds it, the key of the newest segment is returned.
        """
        for info in self._info_by_segment_slot.values():
            if info.first_sequence <= sequence <= info.last_sequence:
                return self.segment_key(info.index)
        return self.segment_key(max(1, self.next_segment_index - 1))

    def next_segment_key(self) -> str:
        """Return the object key of the slot of the next segment."""
        return self.segment_key(self.next_segment_index)

    def expected_segment_version(self) -> int | None:
        """Return the version expected in the slot of the next segment, None when it is unknown."""
        slot = self._segment_slot(self.next_segment_index)
        info = self._info_by_segment_slot.get(slot)
        if info and info.index == self.next_segment_index - self._segment_slots:
            return info.version
        first_lap = self.next_segment_index <= self._segment_slots
        return object_api.ABSENT_VERSION if first_lap else None

    def may_replace_segment(self, unix_s: float) -> bool:
        """Return whether the slot of the next segment is free or its content has expired."""
        info = self._info_by_segment_slot.get(self._segment_slot(self.next_segment_index))
        return info is None or info.closed_unix_s <= unix_s - self._retention_s

    def is_compaction_due(self) -> bool:
        """Return whether batches should be compacted before the next one is written."""
        is_nearly_full = len(self._uncompacted) >= self._ring_slots * 3 // 4
        return is_nearly_full or self.uncompacted_bytes >= SEGMENT_LIMIT_BYTES

    def compact(self) -> bytes:
        """Encode the oldest uncompacted batches as the next segment."""
        chosen: list[bytes] = []
        size = 0
        for _, value in self._uncompacted:
            if chosen and size + len(value) > SEGMENT_LIMIT_BYTES:
                break
            chosen.append(value)
            size += len(value)
        first_sequence = self._uncompacted[0][0]
        closed = claim_records.decode_batch(chosen[-1]).closed_unix_s
        last_sequence = first_sequence + len(chosen) - 1
        segment = claim_records.Segment(
            self.next_segment_index, first_sequence, last_sequence, closed, tuple(chosen)
        )
        self._encoded_segment = claim_records.encode_segment(segment)
        return self._encoded_segment

    def apply_segment_slot(self, stored: object_api.StoredObject) -> SegmentSlotState:
        """Apply the object that was read from the slot of the next segment.

        Args:
            stored: Object in that slot.

        Returns:
            State of the slot; `ADOPTED` when the object is the next segment.
        """
        info = _segment_info(stored)
        if info.index > self.next_segment_index:
            return SegmentSlotState.LAPPED
        if info.index == self.next_segment_index and info.last_sequence >= self.next_sequence:
            return SegmentSlotState.AHEAD
        self._update_segment_slot(info)
        if info.index < self.next_segment_index:
            return SegmentSlotState.OLD
        self.next_segment_index += 1
        self._drop_compacted(info.last_sequence)
        return SegmentSlotState.ADOPTED

    def adopt_written_segment(self, version: int) -> None:
        """Adopt the segment that the last `compact` encoded, after it was written."""
        key = self.next_segment_key()
        self.apply_segment_slot(object_api.StoredObject(key, self._encoded_segment, version))

    def add_listed_segments(self, objects: tuple[object_api.StoredObject, ...]) -> None:
        """Add the segments that a range read returned to the segments known for a replay.

        Args:
            objects: Objects of the segment ring.
        """
        for stored in objects:
            self._update_segment_slot(_segment_info(stored))

    def replay_order(self, unix_s: float) -> tuple[SegmentInfo, ...] | None:
        """Return the segments to replay.

        Args:
            unix_s: Wall-clock time in seconds.

        Returns:
            The segments within the retention time and always the newest one, in order; None when
            the range reads have missed a segment.
        """
        infos = sorted(self._info_by_segment_slot.values(), key=lambda info: info.index)
        if not infos:
            return ()
        newest = infos[-1].index
        if len(infos) != min(newest, self._segment_slots):
            return None
        limit = unix_s - self._retention_s
        return tuple(i for i in infos if i.closed_unix_s > limit or i.index == newest)

    def replay_segment(self, value: bytes, index: int) -> tuple[MergedBatch, ...] | None:
        """Merge all batches of a segment.

        Args:
            value: Content of the slot of the segment.
            index: Index that the segment must have.

        Returns:
            The merged batches, None when the slot holds another segment or when batches are missing
            before it.
        """
        segment = claim_records.decode_segment(value)
        has_gap = self.last_compacted and segment.first_sequence != self.last_compacted + 1
        if segment.index != index or has_gap:
            return None
        merged = tuple(
            self._apply_batch(claim_records.decode_batch(raw)) for raw in segment.batches
        )
        self.last_compacted = segment.last_sequence
        self.next_sequence = segment.last_sequence + 1
        self.next_segment_index = index + 1
        return merged

    def _apply_batch(self, batch: claim_records.Batch) -> MergedBatch:
        effective = tuple(
            self._apply_record(record, batch, position)
            for position, record in enumerate(batch.records)
        )
        self.next_sequence = batch.sequence + 1
        return MergedBatch(batch, effective)

    def _apply_record(
        self, record: claim_records.Record, batch: claim_records.Batch, position: int
    ) -> bool:
        claim = record if isinstance(record, claim_records.Claim) else record.claim
        state = self.table.find(claim.key)
        if isinstance(record, claim_records.Claim):
            kind = _claim_table.KeyKind.HELD
            if not takes_key(state, claim.attempt):
                return False
        else:
            kind = kind_after(record.outcome)
            if (
                state is None
                or state.attempt != claim.attempt
                or not _is_allowed_transition(state, kind)
            ):
                return False
        new_state = _claim_table.KeyState(kind, claim.attempt, batch.sequence, position)
        self.table.set_state(claim.key, new_state, batch.closed_unix_s)
        return True

    def _update_slot(self, slot: int, content: _SlotContent) -> None:
        previous = self._content_by_slot.get(slot)
        if previous is None or previous.sequence < content.sequence:
            self._content_by_slot[slot] = content

    def _update_segment_slot(self, info: SegmentInfo) -> None:
        slot = self._segment_slot(info.index)
        previous = self._info_by_segment_slot.get(slot)
        if previous is None or previous.index < info.index:
            self._info_by_segment_slot[slot] = info

    def _drop_compacted(self, last_sequence: int) -> None:
        while self._uncompacted and self._uncompacted[0][0] <= last_sequence:
            self.uncompacted_bytes -= len(self._uncompacted.popleft()[1])
        self.last_compacted = max(self.last_compacted, last_sequence)

    def _slot(self, sequence: int) -> int:
        return (sequence - 1) % self._ring_slots

    def _segment_slot(self, index: int) -> int:
        return (index - 1) % self._segment_slots


def takes_key(state: _claim_table.KeyState | None, attempt: int) -> bool:
    """Return whether a claim appended to the log takes its key."""
    if state is None:
        return True
    return state.kind is _claim_table.KeyKind.RELEASED and attempt > state.attempt


def kind_after(outcome: outcomes.Outcome) -> _claim_table.KeyKind:
    """Return the kind of state of a key after its claim was settled with an outcome."""
    if isinstance(outcome, outcomes.Done):
        return _claim_table.KeyKind.DONE
    if isinstance(outcome, outcomes.Unknown):
        return _claim_table.KeyKind.UNKNOWN
    return _claim_table.KeyKind.RELEASED


_NEXT_KINDS: typing.Final = {
    _claim_table.KeyKind.HELD: frozenset(
        {
            _claim_table.KeyKind.UNKNOWN,
            _claim_table.KeyKind.DONE,
            _claim_table.KeyKind.RELEASED,
        }
    ),
    # A call with an unknown outcome may later be found done or be proven not to have run.
    _claim_table.KeyKind.UNKNOWN: frozenset(
        {_claim_table.KeyKind.DONE, _claim_table.KeyKind.RELEASED}
    ),
    _claim_table.KeyKind.DONE: frozenset(),
    _claim_table.KeyKind.RELEASED: frozenset(),
}


def _is_allowed_transition(state: _claim_table.KeyState, kind: _claim_table.KeyKind) -> bool:
    return kind in _NEXT_KINDS[state.kind]


def _segment_info(stored: object_api.StoredObject) -> SegmentInfo:
    segment = claim_records.decode_segment(stored.value)
    return SegmentInfo(
        segment.index,
        segment.first_sequence,
        segment.last_sequence,
        segment.closed_unix_s,
        stored.version,
    )
