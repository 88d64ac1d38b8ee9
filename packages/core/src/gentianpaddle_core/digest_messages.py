"""Messages of the digest exchange, and estimates of their size."""

from __future__ import annotations

import dataclasses

from gentianpaddle_core import configuration_parts, ids, membership

RECORD_LIMIT = 1_200
"""Maximum number of records and digests in a message."""
MESSAGE_LIMIT_BYTES = 65_536
"""Maximum size of a message."""
UNKNOWN_AGE_MS = 2**32 - 1
"""View age reported by a process whose configuration was never confirmed to be the newest."""
EMPTY_MESSAGE_BYTES = 96
"""Size of an empty message with its framing."""
HASH_BYTES = 4
"""Size of one bucket hash."""
FIELD_BYTES = 32
"""Size of the fixed part of a record or digest."""


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRecord:
    """Number of crashes attributed to a request fingerprint."""

    fingerprint: ids.Fingerprint
    """Fingerprint of the request."""
    crashes: int
    """Number of observed crashes."""
    age_s: float
    """Seconds since the last crash."""
    cleared: bool
    """Whether a run of the request has completed since the last crash."""


@dataclasses.dataclass(frozen=True, slots=True)
class MemberDigest:
    """Member record without the address, for members that the peer knows."""

    vm: ids.VmId
    """Name of the VM."""
    incarnation: ids.Incarnation
    """Number of the process start."""
    heartbeat: int
    """Heartbeat counter of the member."""
    state: membership.State
    """State at this heartbeat."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeRequest:
    """Request from a process to a neighbour."""

    vm: ids.VmId
    """VM of the sender, whose own record is the first of `records`."""
    records: tuple[membership.MemberRecord, ...]
    """Records that changed recently or lie in differing buckets."""
    digest: tuple[MemberDigest, ...]
    """Members whose heartbeat increased recently."""
    bucket_hashes: tuple[int, ...]
    """One hash per bucket over all records of the sender."""
    revision: ids.Revision
    """Configuration revision in force at the sender."""
    view_age_ms: int
    """Time since the sender's configuration was last confirmed to be the newest, in milliseconds;
    `UNKNOWN_AGE_MS` when it never was."""
    partial_revision: ids.Revision
    """Revision that the sender has received in part, 0 when none."""
    partial_bytes: int
    """Number of bytes of the partial revision that the sender has received."""
    parts: tuple[configuration_parts.ConfigurationPart, ...]
    """Configuration differences for a receiver that has an older revision."""
    crashes: tuple[CrashRecord, ...]
    """Crash records, changed ones first."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeReply:
    """Reply of the neighbour."""

    vm: ids.VmId
    """VM of the replying process, whose own record is the first of `records`."""
    records: tuple[membership.MemberRecord, ...]
    """Records that changed recently or lie in differing buckets."""
    digest: tuple[MemberDigest, ...]
    """Members whose heartbeat increased recently."""
    bucket_hashes: tuple[int, ...]
    """One hash per bucket over all records, empty when all equal those of the request."""
    revision: ids.Revision
    """Configuration revision in force at the replying process."""
    view_age_ms: int
    """Time since the sender's configuration was last confirmed to be the newest, in milliseconds;
    `UNKNOWN_AGE_MS` when it never was."""
    parts: tuple[configuration_parts.ConfigurationPart, ...]
    """Configuration parts for a requester that has an older revision."""
    crashes: tuple[CrashRecord, ...]
    """Crash records, changed ones first."""


def record_bytes(record: membership.MemberRecord) -> int:
    """Return an upper bound on the size of a record.

    Args:
        record: Record to send.

    Returns:
        Size in bytes.
    """
    return FIELD_BYTES + len(record.vm) + len(record.data_centre) + len(record.host)


def digest_bytes(digest: MemberDigest) -> int:
    """Return an upper bound on the size of a digest.

    Args:
        digest: Digest to send.

    Returns:
        Size in bytes.
    """
    return FIELD_BYTES + len(digest.vm)


def message_bytes(message: ExchangeRequest | ExchangeReply) -> int:
    """Return an upper bound on the size of a message.

    Args:
        message: Message to send.

    Returns:
        Size in bytes.
    """
    return (
        EMPTY_MESSAGE_BYTES
        + HASH_BYTES * len(message.bucket_hashes)
        + sum(map(record_bytes, message.records))
        + sum(map(digest_bytes, message.digest))
        + sum(2 * FIELD_BYTES + len(part.data) for part in message.parts)
        + sum(FIELD_BYTES + len(crash.fingerprint) for crash in message.crashes)
    )
