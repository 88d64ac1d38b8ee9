"""Messages of the digest exchange and the estimate of their size."""

from __future__ import annotations

import dataclasses

from gentianpaddle_core import configuration_parts, ids, membership

RECORD_LIMIT = 1_200
"""Largest number of records and digests in a message."""
MESSAGE_LIMIT_BYTES = 65_536
"""Largest message."""
UNKNOWN_AGE_MS = 2**32 - 1
"""View age of a process whose view was never confirmed."""
BASE_BYTES = 96
"""Size of an empty message with its framing."""
HASH_BYTES = 4
"""Size of one bucket hash."""
FIELD_BYTES = 32
"""Size of the fixed part of a record or digest."""


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRecord:
    """Crash count of a request's fingerprint."""

    fingerprint: ids.Fingerprint
    """Fingerprint of the request."""
    crashes: int
    """Number of crashes seen."""
    age_s: float
    """Seconds since the last crash."""
    cleared: bool
    """Whether a run completed since."""


@dataclasses.dataclass(frozen=True, slots=True)
class MemberDigest:
    """A member's record without its address, for members that the peer knows."""

    vm: ids.VmId
    """Name of the VM."""
    incarnation: ids.Incarnation
    """Number of the process start."""
    heartbeat: int
    """Heartbeat."""
    state: membership.State
    """State at this heartbeat."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeRequest:
    """What a process sends to a neighbour."""

    vm: ids.VmId
    """Sender, whose own record is the first of `records`."""
    records: tuple[membership.MemberRecord, ...]
    """Records that are new or differ."""
    digest: tuple[MemberDigest, ...]
    """Heartbeats that rose."""
    bucket_hashes: tuple[int, ...]
    """Summary of all records of the sender."""
    revision: ids.Revision
    """Configuration revision in force at the sender."""
    view_age_ms: int
    """Age of its view."""
    partial_revision: ids.Revision
    """Revision of which it holds a start."""
    partial_bytes: int
    """Bytes that it holds of that one."""
    parts: tuple[configuration_parts.ConfigurationPart, ...]
    """Configuration for a receiver that is known to be behind."""
    crashes: tuple[CrashRecord, ...]
    """Crash records."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeReply:
    """What the neighbour sends back."""

    vm: ids.VmId
    """Replying process, whose own record is the first of `records`."""
    records: tuple[membership.MemberRecord, ...]
    """Records that are new or differ."""
    digest: tuple[MemberDigest, ...]
    """Heartbeats that rose."""
    bucket_hashes: tuple[int, ...]
    """Summary of all records, empty when it equals that of the request."""
    revision: ids.Revision
    """Configuration revision in force at the replying process."""
    view_age_ms: int
    """Age of its view."""
    parts: tuple[configuration_parts.ConfigurationPart, ...]
    """Configuration, when the requester is behind."""
    crashes: tuple[CrashRecord, ...]
    """Crash records."""


def record_bytes(record: membership.MemberRecord) -> int:
    """Estimate the size of a record, from above.

    Args:
        record: A record.

    Returns:
        Bytes.
    """
    return FIELD_BYTES + len(record.vm) + len(record.data_centre) + len(record.host)


def digest_bytes(digest: MemberDigest) -> int:
    """Estimate the size of a digest, from above.

    Args:
        digest: A digest.

    Returns:
        Bytes.
    """
    return FIELD_BYTES + len(digest.vm)


def message_bytes(message: ExchangeRequest | ExchangeReply) -> int:
    """Estimate the size of a message, from above.

    Args:
        message: A message.

    Returns:
        Bytes.
    """
    return (
        BASE_BYTES
        + HASH_BYTES * len(message.bucket_hashes)
        + sum(map(record_bytes, message.records))
        + sum(map(digest_bytes, message.digest))
        + sum(2 * FIELD_BYTES + len(part.data) for part in message.parts)
        + sum(FIELD_BYTES + len(crash.fingerprint) for crash in message.crashes)
    )
