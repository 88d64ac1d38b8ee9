"""Conversion of the messages of the digest exchange to and from protobuf."""

from __future__ import annotations

from collections.abc import Iterable

from gentianpaddle_core import configuration_parts, digest_messages, ids, membership
from gentianpaddle_daemon.wire import messages_pb2 as pb


def request_to_wire(request: digest_messages.ExchangeRequest) -> pb.ExchangeRequest:
    """Convert an exchange request to protobuf.

    Args:
        request: Request that the exchanger built.

    Returns:
        The protobuf message.
    """
    return pb.ExchangeRequest(
        vm=request.vm,
        digest=_digests_to_wire(request.digest),
        records=_records_to_wire(request.records),
        revision=request.revision,
        view_age_ms=request.view_age_ms,
        crashes=crashes_to_wire(request.crashes),
        bucket_hashes=request.bucket_hashes,
        partial_revision=request.partial_revision,
        partial_bytes=request.partial_bytes,
        parts=_parts_to_wire(request.parts),
    )


def request_from_wire(message: pb.ExchangeRequest) -> digest_messages.ExchangeRequest:
    """Convert a received exchange request from protobuf.

    Args:
        message: Received protobuf message.

    Returns:
        The request for the exchanger.

    Raises:
        ValueError: A member record holds an unknown role or state.
    """
    return digest_messages.ExchangeRequest(
        vm=ids.VmId(message.vm),
        records=tuple(_record_from_wire(record) for record in message.records),
        digest=tuple(_digest_from_wire(digest) for digest in message.digest),
        bucket_hashes=tuple(message.bucket_hashes),
        revision=ids.Revision(message.revision),
        view_age_ms=message.view_age_ms,
        partial_revision=ids.Revision(message.partial_revision),
        partial_bytes=message.partial_bytes,
        parts=tuple(_part_from_wire(part) for part in message.parts),
        crashes=crashes_from_wire(message.crashes),
    )


def reply_to_wire(reply: digest_messages.ExchangeReply) -> pb.ExchangeReply:
    """Convert an exchange reply to protobuf.

    Args:
        reply: Reply that the exchanger built.

    Returns:
        The protobuf message.
    """
    return pb.ExchangeReply(
        vm=reply.vm,
        records=_records_to_wire(reply.records),
        revision=reply.revision,
        view_age_ms=reply.view_age_ms,
        crashes=crashes_to_wire(reply.crashes),
        digest=_digests_to_wire(reply.digest),
        bucket_hashes=reply.bucket_hashes,
        parts=_parts_to_wire(reply.parts),
    )


def reply_from_wire(message: pb.ExchangeReply) -> digest_messages.ExchangeReply:
    """Convert a received exchange reply from protobuf.

    Args:
        message: Received protobuf message.

    Returns:
        The reply for the exchanger.

    Raises:
        ValueError: A member record holds an unknown role or state.
    """
    return digest_messages.ExchangeReply(
        vm=ids.VmId(message.vm),
        records=tuple(_record_from_wire(record) for record in message.records),
        digest=tuple(_digest_from_wire(digest) for digest in message.digest),
        bucket_hashes=tuple(message.bucket_hashes),
        revision=ids.Revision(message.revision),
        view_age_ms=message.view_age_ms,
        parts=tuple(_part_from_wire(part) for part in message.parts),
        crashes=crashes_from_wire(message.crashes),
    )


def crashes_to_wire(crashes: Iterable[digest_messages.CrashRecord]) -> list[pb.CrashRecord]:
    """Convert crash records to protobuf.

    Args:
        crashes: Crash records by fingerprint.

    Returns:
        One protobuf message for each record.
    """
    return [
        pb.CrashRecord(
            fingerprint=crash.fingerprint,
            crashes=crash.crashes,
            age_s=int(crash.age_s),
            cleared=crash.cleared,
        )
        for crash in crashes
    ]


def crashes_from_wire(
    messages: Iterable[pb.CrashRecord],
) -> tuple[digest_messages.CrashRecord, ...]:
    """Convert received crash records from protobuf.

    Args:
        messages: Received protobuf messages.

    Returns:
        One crash record for each message.
    """
    return tuple(
        digest_messages.CrashRecord(
            fingerprint=ids.Fingerprint(message.fingerprint),
            crashes=message.crashes,
            age_s=float(message.age_s),
            cleared=message.cleared,
        )
        for message in messages
    )


def _records_to_wire(records: Iterable[membership.MemberRecord]) -> list[pb.MemberRecord]:
    return [
        pb.MemberRecord(
            vm=record.vm,
            data_centre=record.data_centre,
            host=record.host,
            port=record.port,
            role=int(record.role),
            incarnation=record.incarnation,
            heartbeat=record.heartbeat,
            state=int(record.state),
            caller_port=record.caller_port,
        )
        for record in records
    ]


def _record_from_wire(message: pb.MemberRecord) -> membership.MemberRecord:
    return membership.MemberRecord(
        vm=ids.VmId(message.vm),
        data_centre=ids.DataCentreId(message.data_centre),
        host=message.host,
        port=message.port,
        role=membership.Role(message.role),
        incarnation=ids.Incarnation(message.incarnation),
        heartbeat=message.heartbeat,
        state=membership.State(message.state),
        caller_port=message.caller_port,
    )


def _digests_to_wire(digests: Iterable[digest_messages.MemberDigest]) -> list[pb.MemberDigest]:
    return [
        pb.MemberDigest(
            vm=digest.vm,
            incarnation=digest.incarnation,
            heartbeat=digest.heartbeat,
            state=int(digest.state),
        )
        for digest in digests
    ]


def _digest_from_wire(message: pb.MemberDigest) -> digest_messages.MemberDigest:
    return digest_messages.MemberDigest(
        vm=ids.VmId(message.vm),
        incarnation=ids.Incarnation(message.incarnation),
        heartbeat=message.heartbeat,
        state=membership.State(message.state),
    )


def _parts_to_wire(
    parts: Iterable[configuration_parts.ConfigurationPart],
) -> list[pb.ConfigurationPart]:
    return [
        pb.ConfigurationPart(
            revision=part.revision,
            base_revision=part.base_revision,
            offset=part.offset,
            total_bytes=part.total_bytes,
            data=part.data,
            check=part.check,
        )
        for part in parts
    ]


def _part_from_wire(message: pb.ConfigurationPart) -> configuration_parts.ConfigurationPart:
    return configuration_parts.ConfigurationPart(
        revision=ids.Revision(message.revision),
        base_revision=ids.Revision(message.base_revision),
        offset=message.offset,
        total_bytes=message.total_bytes,
        data=message.data,
        check=message.check,
    )
