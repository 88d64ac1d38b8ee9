"""Reassembly of one answer at an entry.

An entry forwards to its caller only the content that this module delivers. The content is in order,
and an answer counts as complete only when all of it was delivered, even if messages are delayed,
duplicated, reordered or meant for another request.
"""

from __future__ import annotations

import codecs
import dataclasses
import enum
import typing

from gentianpaddle_core import ids

MAX_BUFFERED_CHUNKS = 64
"""Number of out-of-order chunks that are kept; at 10 ms a chunk this is 0.6 s of an answer."""
MAX_BUFFERED_BYTES = 1024 * 1024
"""Total size of the out-of-order chunks that are kept, in bytes."""
MAX_RESUMABLE_BYTES = 4 * 1024 * 1024
"""Size of the delivered content kept for a resume, in bytes; a longer answer cannot be resumed."""


class DropReason(enum.StrEnum):
    """Reason why a message was dropped."""

    OTHER_KEY = "other_key"
    OLD_ATTEMPT = "old_attempt"
    FUTURE_ATTEMPT = "future_attempt"
    DUPLICATE = "duplicate"
    BEYOND_END = "beyond_end"
    BUFFER_FULL = "buffer_full"
    CLOSED = "closed"


class IncompleteReason(enum.StrEnum):
    """Reason why an answer is not complete."""

    END_MISSING = "end_missing"
    CHUNK_MISSING = "chunk_missing"
    CHUNK_DROPPED = "chunk_dropped"
    INCONSISTENT = "inconsistent"


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """Message with a part of an answer."""

    key: ids.RequestKey
    """Key of the request."""
    attempt: ids.Attempt
    """Attempt that produced it."""
    sequence: int
    """Position among the chunks of the attempt, from 0."""
    data: bytes
    """Content of the chunk."""


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """Message that marks the end of the answer of an attempt."""

    key: ids.RequestKey
    """Key of the request."""
    attempt: ids.Attempt
    """Attempt that ended."""
    chunk_count: int
    """Number of chunks that the attempt produced."""
    http_status: int
    """HTTP status of the answer."""
    content_type: str
    """Media type of the answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """The whole answer was delivered."""

    http_status: int
    """HTTP status of the answer."""
    content_type: str
    """Media type of the answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Incomplete:
    """The answer ended before all of it was delivered."""

    reason: IncompleteReason
    """Reason why the answer is not complete."""
    delivered_bytes: int
    """Bytes delivered over all attempts."""


@dataclasses.dataclass(frozen=True, slots=True)
class Delivered:
    """The message made content available to the caller, in order."""

    data: bytes
    """Content to forward now; may be empty, for example when only the end mark was missing."""
    complete: Complete | None
    """Set with the last content of the answer, otherwise None."""


@dataclasses.dataclass(frozen=True, slots=True)
class Buffered:
    """The message was kept, but no content can be delivered yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class Dropped:
    """The message was discarded."""

    reason: DropReason
    """Reason why it was discarded."""


@dataclasses.dataclass(frozen=True, slots=True)
class ResumePoint:
    """Position from which another attempt continues the answer."""

    attempt: ids.Attempt
    """Attempt that continues the answer; messages of earlier attempts are dropped from now on."""
    delivered_text: str
    """Text that was already delivered to the caller."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotResumable:
    """No other attempt can continue this answer."""

    delivered_bytes: int
    """Bytes delivered over all attempts."""


ReceiveResult: typing.TypeAlias = Delivered | Buffered | Dropped
"""Result of processing a message."""


@dataclasses.dataclass(slots=True)
class _Assembly:
    """Reassembly state of one attempt."""

    next_sequence: int = 0
    data_by_sequence: dict[int, bytes] = dataclasses.field(default_factory=dict)
    buffered_bytes: int = 0
    end: End | None = None
    incomplete_reason: IncompleteReason | None = None
    decoder: codecs.IncrementalDecoder = dataclasses.field(
        default_factory=lambda: codecs.getincrementaldecoder("utf-8")("replace")
    )

    def complete(self) -> Complete | None:
        if (
            self.end is None
            or self.next_sequence != self.end.chunk_count
            or self.incomplete_reason is not None
        ):
            return None
        return Complete(self.end.http_status, self.end.content_type)

    def mark_incomplete(self, reason: IncompleteReason) -> None:
        self.incomplete_reason = self.incomplete_reason or reason


class AnswerStream:
    """Reassembly of one answer over all of its attempts."""

    def __init__(self, key: ids.RequestKey, attempt: ids.Attempt, resumable: bool) -> None:
        """Create a stream that expects its first chunk; use `new_answer_stream` instead."""
        self._key = key
        self._attempt = attempt
        self._resumable = resumable
        self._delivered = bytearray()
        self._delivered_bytes = 0
        self._closed = False
        self._assembly = _Assembly()

    @property
    def attempt(self) -> ids.Attempt:
        """Number of the current attempt; messages of other attempts are dropped."""
        return self._attempt

    @property
    def delivered_bytes(self) -> int:
        """Bytes delivered over all attempts."""
        return self._delivered_bytes

    def receive_chunk(self, chunk: Chunk) -> ReceiveResult:
        """Process a chunk.

        Args:
            chunk: Chunk to process; chunks may arrive in any order.

        Returns:
            `Delivered` with the content to forward now, `Buffered` or `Dropped`. Content of a
            resumable answer is never cut within a character.
        """
        drop_reason = self._drop_reason(chunk.key, chunk.attempt)
        if drop_reason is not None:
            return Dropped(drop_reason)
        assembly = self._assembly
        if chunk.sequence < assembly.next_sequence or chunk.sequence in assembly.data_by_sequence:
            return Dropped(DropReason.DUPLICATE)
        if assembly.end is not None and chunk.sequence >= assembly.end.chunk_count:
            assembly.mark_incomplete(IncompleteReason.INCONSISTENT)
            return Dropped(DropReason.BEYOND_END)
        if chunk.sequence > assembly.next_sequence:
            is_full = len(assembly.data_by_sequence) >= MAX_BUFFERED_CHUNKS
            if is_full or assembly.buffered_bytes + len(chunk.data) > MAX_BUFFERED_BYTES:
                assembly.mark_incomplete(IncompleteReason.CHUNK_DROPPED)
                return Dropped(DropReason.BUFFER_FULL)
            assembly.data_by_sequence[chunk.sequence] = chunk.data
            assembly.buffered_bytes += len(chunk.data)
            return Buffered()
        parts = [chunk.data]
        assembly.next_sequence += 1
        while assembly.next_sequence in assembly.data_by_sequence:
            data = assembly.data_by_sequence.pop(assembly.next_sequence)
            assembly.buffered_bytes -= len(data)
            parts.append(data)
            assembly.next_sequence += 1
        return self._deliver(b"".join(parts))

    def receive_end(self, end: End) -> ReceiveResult:
        """Process an end mark.

        Args:
            end: End mark; it may arrive before chunks.

        Returns:
            `Delivered` with `complete` set when all chunks were delivered, otherwise `Buffered` or
            `Dropped`.
        """
        drop_reason = self._drop_reason(end.key, end.attempt)
        if drop_reason is not None:
            return Dropped(drop_reason)
        assembly = self._assembly
        if assembly.end is not None:
            if end != assembly.end:
                assembly.mark_incomplete(IncompleteReason.INCONSISTENT)
            return Dropped(DropReason.DUPLICATE)
        assembly.end = end
        if end.chunk_count < assembly.next_sequence or any(
            n >= end.chunk_count for n in assembly.data_by_sequence
        ):
            assembly.mark_incomplete(IncompleteReason.INCONSISTENT)
        if assembly.complete() is not None:
            return self._deliver(b"")
        return Buffered()

    def resume(self, attempt: ids.Attempt) -> ResumePoint | NotResumable:
        """Continue the answer with another attempt.

        Args:
            attempt: Number of the new attempt; must be above the current one.

        Returns:
            The position from which the new attempt continues, or `NotResumable`.

        Raises:
            ValueError: The attempt is not above the current one.
        """
        if attempt <= self._attempt:
            raise ValueError(f"attempt {attempt} is not above attempt {self._attempt}")
        if self._closed or not self._resumable:
            return NotResumable(self._delivered_bytes)
        self._attempt = attempt
        self._assembly = _Assembly()
        return ResumePoint(attempt, self._delivered.decode())

    def close(self) -> Complete | Incomplete:
        """Close the answer; later messages are dropped.

        Returns:
            `Complete` when the end mark was received and all chunks were delivered, otherwise
            `Incomplete`.
        """
        self._closed = True
        assembly = self._assembly
        complete = assembly.complete()
        if complete is not None:
            return complete
        reason = assembly.incomplete_reason
        if reason is None:
            missing_end = assembly.end is None and not assembly.data_by_sequence
            reason = IncompleteReason.END_MISSING if missing_end else IncompleteReason.CHUNK_MISSING
        return Incomplete(reason, self._delivered_bytes)

    def _drop_reason(self, key: ids.RequestKey, attempt: ids.Attempt) -> DropReason | None:
        if key != self._key:
            return DropReason.OTHER_KEY
        if self._closed:
            return DropReason.CLOSED
        if attempt < self._attempt:
            return DropReason.OLD_ATTEMPT
        if attempt > self._attempt:
            return DropReason.FUTURE_ATTEMPT
        return None

    def _deliver(self, data: bytes) -> Delivered:
        complete = self._assembly.complete()
        self._closed = complete is not None
        if self._resumable:
            data = self._assembly.decoder.decode(data, complete is not None).encode()
            self._delivered += data
            if len(self._delivered) > MAX_RESUMABLE_BYTES:
                self._resumable = False
                self._delivered = bytearray()
        self._delivered_bytes += len(data)
        return Delivered(data, complete)


def new_answer_stream(
    key: ids.RequestKey, attempt: ids.Attempt, resumable: bool = True
) -> AnswerStream:
    """Return the reassembly of an answer, which expects its first chunk.

    Args:
        key: Key of the request.
        attempt: Number of the first attempt.
        resumable: Whether the answer is UTF-8 text that another attempt can continue; False for
            the answer of a plain service, which is forwarded byte for byte.

    Returns:
        A stream that has delivered nothing yet.
    """
    return AnswerStream(key, attempt, resumable)
