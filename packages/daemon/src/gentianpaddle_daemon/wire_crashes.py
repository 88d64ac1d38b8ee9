"""Conversion of crash records to and from protobuf."""

from __future__ import annotations

from collections.abc import Iterable

from gentianpaddle_core import ids, quarantine
from gentianpaddle_daemon.wire import messages_pb2 as pb

MAX_RECORDS_PER_MESSAGE = 8
"""Highest number of crash records in one message."""


def to_wire(local_quarantine: quarantine.Quarantine, now_s: float) -> list[pb.Crash]:
    """Convert the newest crash records of a process to protobuf.

    Args:
        local_quarantine: Quarantine of this process, which holds the crash records.
        now_s: Monotonic time in seconds.

    Returns:
        Up to `MAX_RECORDS_PER_MESSAGE` protobuf messages.
    """
    return [
        pb.Crash(
            id=record.crash_id,
            fingerprints=sorted(record.fingerprints),
            cleared=sorted(record.cleared),
            age_ms=int(record.age_s * 1_000),
        )
        for record in local_quarantine.records(now_s, MAX_RECORDS_PER_MESSAGE)
    ]


def from_wire(messages: Iterable[pb.Crash]) -> tuple[quarantine.CrashRecord, ...]:
    """Convert received crash records from protobuf.

    Args:
        messages: Received protobuf messages.

    Returns:
        One crash record for each message.
    """
    return tuple(
        quarantine.CrashRecord(
            message.id,
            frozenset(map(ids.Fingerprint, message.fingerprints)),
            frozenset(map(ids.Fingerprint, message.cleared)),
            message.age_ms / 1_000,
        )
        for message in messages
    )
