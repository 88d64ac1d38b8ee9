"""Conversion between crash records and their protobuf form."""

from __future__ import annotations

from collections.abc import Iterable

from gentianpaddle_core import ids, quarantine
from gentianpaddle_daemon.wire import messages_pb2 as pb

RECORDS_A_MESSAGE = 8


def to_wire(known: quarantine.Quarantine, now_s: float) -> list[pb.Crash]:
    """Convert the newest crash records of a process.

    Args:
        known: What the process knows.
        now_s: Monotonic time in seconds.

    Returns:
        Up to `RECORDS_A_MESSAGE` records.
    """
    return [
        pb.Crash(
            id=record.crash_id,
            fingerprints=sorted(record.fingerprints),
            cleared=sorted(record.cleared),
            age_ms=int(record.age_s * 1_000),
        )
        for record in known.records(now_s, RECORDS_A_MESSAGE)
    ]


def from_wire(messages: Iterable[pb.Crash]) -> tuple[quarantine.CrashRecord, ...]:
    """Convert received crash records.

    Args:
        messages: Protobuf form.

    Returns:
        The records.
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
