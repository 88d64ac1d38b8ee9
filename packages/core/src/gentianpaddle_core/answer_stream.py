"""Reassembly of one answer at an entry.

An entry forwards to its caller only what this module delivers, so an answer is in order, whole and
of the right request, however late, doubled or crossed its messages arrive.
"""

from __future__ import annotations

import codecs
import dataclasses
import enum
import typing

from gentianpaddle_core import ids

BUFFERED_CHUNKS = 64
"""Chunks kept out of order; at 10 ms a chunk this is 0.6 s of an answer."""
BUFFERED_BYTES = 1024 * 1024
"""Bytes kept out of order."""
RESUMABLE_BYTES = 4 * 1024 * 1024
"""Delivered bytes kept for a resume; a longer answer cannot be resumed."""


class DropReason(enum.StrEnum):
    """Why a message was dropped."""

    OTHER_KEY = "other_key"
    OLD_ATTEMPT = "old_attempt"
    FUTURE_ATTEMPT = "future_attempt"
    DUPLICATE = "duplicate"
    BEYOND_END = "beyond_end"
    BUFFER_FULL = "buffer_full"
    CLOSED = "closed"


class IncompleteReason(enum.StrEnum):
    """Why an answer is not complete."""

    END_MISSING = "end_missing"
    CHUNK_MISSING = "chunk_missing"
    CHUNK_DROPPED = "chunk_dropped"
    INCONSISTENT = "inconsistent"


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """A part of an answer."""

    key: ids.RequestKey
    """Key of the request."""
    attempt: ids.Attempt
    """Attempt that produced it."""
    sequence: int
    """Position among the chunks of the attempt, from 0."""
    data: bytes
    """Content."""


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """End mark of an attempt."""

    key: ids.RequestKey
    """Key of the request."""
    attempt: ids.Attempt
    """Attempt that ended."""
    chunks: int
    """Number of chunks of the attempt."""
    http_status: int
    """HTTP status."""
    content_type: str
    """Media type of the answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """The whole answer was delivered."""

    http_status: int
    """HTTP status."""
    content_type: str
    """Media type of the answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Incomplete:
    """The answer ended before it was whole."""

    reason: IncompleteReason
    """What is missing."""
    delivered_bytes: int
    """Bytes delivered over all attempts."""


@dataclasses.dataclass(frozen=True, slots=True)
class Delivered:
    """Content for the caller, in order."""

    data: bytes
    """Content to forward now; empty when only the end mark was missing."""
    complete: Complete | None
    """Set with the last content of the answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Buffered:
    """The message was kept; nothing can be delivered now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Dropped:
    """The message was not used."""

    reason: DropReason
    """Why."""


@dataclasses.dataclass(frozen=True, slots=True)
class ResumePoint:
    """Where another attempt continues."""

    attempt: ids.Attempt
    """Attempt that continues; messages of earlier ones are dropped from now on."""
    delivered_text: str
    """Text that the caller already has."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotResumable:
    """No other attempt can continue this answer."""

    delivered_bytes: int
    """Bytes delivered over all attempts."""


Received: typing.TypeAlias = Delivered | Buffered | Dropped
"""What became of a message."""


@dataclasses.dataclass(slots=True)
class _Assembly:
    next: int = 0
    data_by_sequence: dict[int, bytes] = dataclasses.field(default_factory=dict)
    buffered_bytes: int = 0
    end: End | None = None
    broken: IncompleteReason | None = None
    decoder: codecs.IncrementalDecoder = dataclasses.field(
        default_factory=lambda: codecs.getincrementaldecoder("utf-8")("replace")
    )

    def complete(self) -> Complete | None:
        if self.end is None or self.next != self.end.chunks or self.broken is not None:
            return None
        return Complete(self.end.http_status, self.end.content_type)

    def mark_broken(self, reason: IncompleteReason) -> None:
        self.broken = self.broken or reason


class AnswerStream:
    """One answer, from the first attempt to its completion."""

    def __init__(self, key: ids.RequestKey, attempt: ids.Attempt, resumable: bool) -> None:
        """Expect the first chunk; use `new_answer_stream`."""
        self._key = key
        self._attempt = attempt
        self._resumable = resumable
        self._delivered = bytearray()
        self._delivered_bytes = 0
        self._closed = False
        self._current = _Assembly()

    @property
    def attempt(self) -> ids.Attempt:
        """Attempt whose messages are used."""
        return self._attempt

    @property
    def delivered_bytes(self) -> int:
        """Bytes delivered over all attempts."""
        return self._delivered_bytes

    def receive_chunk(self, chunk: Chunk) -> Received:
        """Apply a chunk.

        Args:
            chunk: The chunk, in any order.

        Returns:
            What the caller gets now. For text, characters are delivered whole.
        """
        wrong = self._wrong(chunk.key, chunk.attempt)
        if wrong is not None:
            return Dropped(wrong)
        current = self._current
        if chunk.sequence < current.next or chunk.sequence in current.data_by_sequence:
            return Dropped(DropReason.DUPLICATE)
        if current.end is not None and chunk.sequence >= current.end.chunks:
            current.mark_broken(IncompleteReason.INCONSISTENT)
            return Dropped(DropReason.BEYOND_END)
        if chunk.sequence > current.next:
            full = len(current.data_by_sequence) >= BUFFERED_CHUNKS
            if full or current.buffered_bytes + len(chunk.data) > BUFFERED_BYTES:
                current.mark_broken(IncompleteReason.CHUNK_DROPPED)
                return Dropped(DropReason.BUFFER_FULL)
            current.data_by_sequence[chunk.sequence] = chunk.data
            current.buffered_bytes += len(chunk.data)
            return Buffered()
        parts = [chunk.data]
        current.next += 1
        while current.next in current.data_by_sequence:
            data = current.data_by_sequence.pop(current.next)
            current.buffered_bytes -= len(data)
            parts.append(data)
            current.next += 1
        return self._deliver(b"".join(parts))

    def receive_end(self, end: End) -> Received:
        """Apply an end mark.

        Args:
            end: The end mark, which may arrive before chunks.

        Returns:
            `Delivered` with `complete` once all chunks are delivered.
        """
        wrong = self._wrong(end.key, end.attempt)
        if wrong is not None:
            return Dropped(wrong)
        current = self._current
        if current.end is not None:
            if end != current.end:
                current.mark_broken(IncompleteReason.INCONSISTENT)
            return Dropped(DropReason.DUPLICATE)
        current.end = end
        if end.chunks < current.next or any(n >= end.chunks for n in current.data_by_sequence):
            current.mark_broken(IncompleteReason.INCONSISTENT)
        if current.complete() is not None:
            return self._deliver(b"")
        return Buffered()

    def resume(self, attempt: ids.Attempt) -> ResumePoint | NotResumable:
        """Continue with another attempt.

        Args:
            attempt: Number of the new attempt, above the current one.

        Returns:
            What the new attempt continues from.

        Raises:
            ValueError: The attempt is not above the current one.
        """
        if attempt <= self._attempt:
            raise ValueError(f"attempt {attempt} is not above attempt {self._attempt}")
        if self._closed or not self._resumable:
            return NotResumable(self._delivered_bytes)
        self._attempt = attempt
        self._current = _Assembly()
        return ResumePoint(attempt, self._delivered.decode())

    def close(self) -> Complete | Incomplete:
        """End the answer; later messages are dropped.

        Returns:
            `Complete` only when the end mark and all chunks were delivered.
        """
        self._closed = True
        current = self._current
        complete = current.complete()
        if complete is not None:
            return complete
        reason = current.broken
        if reason is None:
            missing_end = current.end is None and not current.data_by_sequence
            reason = IncompleteReason.END_MISSING if missing_end else IncompleteReason.CHUNK_MISSING
        return Incomplete(reason, self._delivered_bytes)

    def _wrong(self, key: ids.RequestKey, attempt: ids.Attempt) -> DropReason | None:
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
        complete = self._current.complete()
        self._closed = complete is not None
        if self._resumable:
            data = self._current.decoder.decode(data, complete is not None).encode()
            self._delivered += data
            if len(self._delivered) > RESUMABLE_BYTES:
                self._resumable = False
                self._delivered = bytearray()
        self._delivered_bytes += len(data)
        return Delivered(data, complete)


def new_answer_stream(
    key: ids.RequestKey, attempt: ids.Attempt, resumable: bool = True
) -> AnswerStream:
    """Return an answer that expects its first chunk.

    Args:
        key: Key of the request.
        attempt: Number of the first attempt.
        resumable: Whether the answer is UTF-8 text that another attempt can continue; False for
            the answer of a plain service, which is passed on byte for byte.

    Returns:
        An answer of which nothing was delivered.
    """
    return AnswerStream(key, attempt, resumable)
