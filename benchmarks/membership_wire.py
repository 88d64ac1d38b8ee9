"""Size of the exchange messages as they go over the wire."""

from __future__ import annotations

from gentianpaddle_core import configuration_parts, digest_messages, membership
from gentianpaddle_daemon.wire import messages_pb2

FRAMING_BYTES = 40
"""gRPC length prefix and the HTTP/2 frames of a message on an open connection."""


def wire_bytes(message: digest_messages.ExchangeRequest | digest_messages.ExchangeReply) -> int:
    """Serialise a message and count its bytes.

    Args:
        message: Request or reply.

    Returns:
        Bytes with an allowance for framing.
    """
    wire: messages_pb2.ExchangeRequest | messages_pb2.ExchangeReply
    if isinstance(message, digest_messages.ExchangeRequest):
        wire = messages_pb2.ExchangeRequest(
            partial_revision=message.partial_revision, partial_bytes=message.partial_bytes
        )
    else:
        wire = messages_pb2.ExchangeReply()
    wire.vm = message.vm
    wire.revision = message.revision
    wire.view_age_ms = message.view_age_ms
    wire.bucket_hashes.extend(message.bucket_hashes)
    wire.records.extend(map(_record, message.records))
    wire.digest.extend(map(_digest, message.digest))
    wire.parts.extend(map(_part, message.parts))
    wire.crashes.extend(map(_crash, message.crashes))
    return len(wire.SerializeToString()) + FRAMING_BYTES


def _record(record: membership.MemberRecord) -> messages_pb2.MemberRecord:
    return messages_pb2.MemberRecord(
        vm=record.vm,
        data_centre=record.data_centre,
        host=record.host,
        port=record.port,
        role=record.role,
        incarnation=record.incarnation,
        heartbeat=record.heartbeat,
        state=record.state,
    )


def _digest(item: digest_messages.MemberDigest) -> messages_pb2.MemberDigest:
    return messages_pb2.MemberDigest(
        vm=item.vm, incarnation=item.incarnation, heartbeat=item.heartbeat, state=item.state
    )


def _part(part: configuration_parts.ConfigurationPart) -> messages_pb2.ConfigurationPart:
    return messages_pb2.ConfigurationPart(
        revision=part.revision,
        base_revision=part.base_revision,
        offset=part.offset,
        total_bytes=part.total_bytes,
        data=part.data,
        check=part.check,
    )


def _crash(crash: digest_messages.CrashRecord) -> messages_pb2.CrashRecord:
    return messages_pb2.CrashRecord(
        fingerprint=crash.fingerprint,
        crashes=crash.crashes,
        age_s=int(crash.age_s),
        cleared=crash.cleared,
    )
