"""Records of the claim log and their encoding.

Every record is self-contained: a settlement repeats the claim that it settles, so the latest
effective record of a key holds everything that is known about the key.
"""

from __future__ import annotations

import dataclasses
import json
import typing
import zlib

from gentianpaddle_core import ids, outcomes

NO_FINGERPRINT = ids.Fingerprint("")
BODY_LIMIT_BYTES = 16_384
"""Size of the largest answer body kept in a settlement; a larger body is left out."""

_DONE = "done"
_NOT_RUN = "not_run"
_UNKNOWN = "unknown"
_REFUSED = "refused"

_Json: typing.TypeAlias = list[typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The right to run one attempt of a non-idempotent call."""

    key: ids.RequestKey
    """Key of the request."""
    attempt: ids.Attempt
    """Attempt that the claim allows."""
    entry: ids.VmId
    """VM of the entry that claimed."""
    agent: ids.VmId
    """VM of the only agent that may run the attempt."""
    agent_incarnation: ids.Incarnation
    """Incarnation of that agent."""
    fingerprint: ids.Fingerprint = NO_FINGERPRINT
    """Digest of the request, so that the key cannot be reused for another request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settlement:
    """Outcome of a claim."""

    claim: Claim
    """Claim that is settled."""
    outcome: outcomes.Outcome
    """Outcome of the call; `NotRun` and `Refused` release the key."""
    body_omitted: bool = False
    """Whether the body was left out because it was larger than `BODY_LIMIT_BYTES`."""


Record: typing.TypeAlias = Claim | Settlement
"""Record of the claim log."""


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records that were written in one object."""

    id: str
    """Identifier unique to one write."""
    sequence: int
    """Position of the batch in the log of the shard, from 1."""
    closed_unix_s: int
    """Wall-clock time at the writer when the batch was closed, in seconds."""
    records: tuple[Record, ...]
    """Records in the order in which they take effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """Consecutive batches compacted into one object."""

    index: int
    """Position of the segment among the segments of the shard, from 1."""
    first_sequence: int
    """Sequence of the first batch."""
    last_sequence: int
    """Sequence of the last batch."""
    closed_unix_s: int
    """Wall-clock time when the last batch was closed, in seconds."""
    batches: tuple[bytes, ...]
    """Encoded batches in order."""


def new_settlement(claim: Claim, outcome: outcomes.Outcome) -> Settlement:
    """Return a settlement of bounded size.

    Args:
        claim: Claim that is settled.
        outcome: Outcome of the call.

    Returns:
        The settlement, without the body of an answer above `BODY_LIMIT_BYTES`.
    """
    if isinstance(outcome, outcomes.Done) and len(outcome.body) > BODY_LIMIT_BYTES:
        return Settlement(claim, dataclasses.replace(outcome, body=b""), body_omitted=True)
    return Settlement(claim, outcome)


def encode_record(record: Record) -> bytes:
    """Encode one record as a JSON array without line breaks."""
    if isinstance(record, Claim):
        return _dump(["c", *_claim_fields(record)])
    outcome = record.outcome
    fields: _Json = ["s", *_claim_fields(record.claim)]
    match outcome:
        case outcomes.Done():
            # Latin-1 maps every byte to one character, so any body survives JSON.
            body = outcome.body.decode("latin-1")
            fields += [_DONE, outcome.http_status, outcome.code, outcome.content_type, body]
            fields.append(record.body_omitted)
        case outcomes.NotRun():
            fields += [_NOT_RUN, outcome.http_status, outcome.code, outcome.message]
        case outcomes.Unknown():
            fields += [_UNKNOWN, outcome.http_status, outcome.code, outcome.message]
        case outcomes.Refused():
            fields += [_REFUSED, outcome.http_status, outcome.code, outcome.message]
    return _dump(fields)


def encode_batch(batch_id: str, sequence: int, closed_unix_s: int, records: list[bytes]) -> bytes:
    """Encode a batch from its records, which are encoded already."""
    head = _dump([sequence, closed_unix_s, batch_id])
    return head[:-1] + b",[" + b",".join(records) + b"]]"


def decode_batch(value: bytes) -> Batch:
    """Decode a batch.

    Raises:
        ValueError: The value is not an encoded batch.
    """
    sequence, closed_unix_s, batch_id, records = json.loads(value)
    return Batch(batch_id, sequence, closed_unix_s, tuple(map(_record, records)))


def sequence_of(value: bytes) -> int:
    """Return the sequence of an encoded batch without decoding its records.

    >>> sequence_of(encode_batch("a", 7, 0, []))
    7
    """
    return int(value[1 : value.index(b",")])


def encode_segment(segment: Segment) -> bytes:
    """Encode a segment."""
    head = [segment.index, segment.first_sequence, segment.last_sequence, segment.closed_unix_s]
    return zlib.compress(b"\n".join((_dump(head), *segment.batches)))


def decode_segment(value: bytes) -> Segment:
    """Decode a segment.

    Raises:
        ValueError: The value is not an encoded segment.
        zlib.error: The value is not compressed.
    """
    head, *batches = zlib.decompress(value).split(b"\n")
    index, first_sequence, last_sequence, closed_unix_s = json.loads(head)
    return Segment(index, first_sequence, last_sequence, closed_unix_s, tuple(batches))


def _dump(fields: _Json) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode()


def _claim_fields(claim: Claim) -> _Json:
    return [
        claim.key,
        claim.attempt,
        claim.entry,
        claim.agent,
        claim.agent_incarnation,
        claim.fingerprint,
    ]


def _record(fields: _Json) -> Record:
    claim = Claim(*fields[1:7])
    if fields[0] == "c":
        return claim
    kind, http_status, code, message = fields[7:11]
    outcome: outcomes.Outcome
    if kind == _DONE:
        body = fields[11].encode("latin-1")
        outcome = outcomes.Done(body, message, http_status, code)
        return Settlement(claim, outcome, fields[12])
    if kind == _NOT_RUN:
        outcome = outcomes.NotRun(code, message, None, http_status)
    elif kind == _UNKNOWN:
        outcome = outcomes.Unknown(code, message, None, http_status)
    else:
        outcome = outcomes.Refused(code, message, http_status)
    return Settlement(claim, outcome)
