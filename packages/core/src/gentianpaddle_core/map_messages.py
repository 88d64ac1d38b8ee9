"""Messages and the stored record of the protocol that changes the expert map of a group."""

from __future__ import annotations

import base64
import dataclasses
import enum
import json

from gentianpaddle_core import ids


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class MapAttempt:
    """Identifier of an attempt to change the map; a later attempt compares greater."""

    fence: ids.Fence
    """Fencing number of the coordinator that started the attempt."""
    sequence: int
    """Sequence number of the attempt at that coordinator, from 1."""


NO_ATTEMPT = MapAttempt(ids.Fence(0), 0)
"""Stands for no attempt; compares lower than every real one."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertMap:
    """Versioned expert map whose content is opaque to the protocol."""

    version: int
    """Version of the map; each change increases it."""
    content: bytes
    """Encoded assignment of experts to ranks."""


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Change of the map from `before` to `after` at `step`; committed once it is in the record.

    A coordinator also uses it for its proposal, which is not committed yet.
    """

    attempt: MapAttempt
    """Attempt that makes the change, `NO_ATTEMPT` for the initial map."""
    before: ExpertMap
    """Map for the steps before `step`; equal to `after` once every rank uses the new map."""
    after: ExpertMap
    """Map for `step` and all later steps."""
    step: int
    """Activation step: the first step with the new map."""


@dataclasses.dataclass(frozen=True, slots=True)
class MapRecord:
    """Record of a group in the object API. Its conditional update commits or rejects an attempt."""

    fence: ids.Fence
    """Fencing number of the coordinator that wrote the record."""
    decision: Decision
    """Last committed change."""


class OrderKind(enum.StrEnum):
    """Kinds of orders that a coordinator sends to a rank."""

    READ_BACK = "read_back"
    ADOPT = "adopt"
    """Gives the current maps to a rank that has just started."""
    PREPARE = "prepare"
    """Tells the rank to load the weights of the new map."""
    ARM = "arm"
    """Tells the rank not to start the activation step before it knows the decision."""
    ACTIVATE = "activate"
    """Reports that the change is committed."""
    ABORT = "abort"
    """Reports that this attempt and all earlier uncommitted ones will never be committed."""


@dataclasses.dataclass(frozen=True, slots=True)
class MapOrder:
    """Order from a coordinator to a rank."""

    kind: OrderKind
    """Kind of the order."""
    fence: ids.Fence
    """Fencing number of the sender."""
    attempt: MapAttempt = NO_ATTEMPT
    """Attempt that a prepare, arm or abort order refers to."""
    incarnation: ids.Incarnation = ids.Incarnation(0)  # noqa: RUF009
    """Incarnation of the rank that an adopt order is meant for."""
    expert_map: ExpertMap | None = None
    """New map of a prepare order."""
    step: int = 0
    """Activation step of an arm order."""
    decision: Decision | None = None
    """Committed change, in an adopt or activate order."""


class GateReason(enum.StrEnum):
    """Reasons for which a rank rejects an order or does not start a step."""

    NONE = ""
    OLD_FENCE = "old_fence"
    OTHER_INCARNATION = "other_incarnation"
    NOT_ADOPTED = "not_adopted"
    LOADING = "loading"
    ATTEMPT_CLOSED = "attempt_closed"
    BUSY = "busy"
    NOT_PREPARED = "not_prepared"
    STEP_PASSED = "step_passed"
    STEP_UNKNOWN = "step_unknown"
    """The rank has not started a step in this incarnation."""
    UNDECIDED = "undecided"


@dataclasses.dataclass(frozen=True, slots=True)
class RankStatus:
    """State of a rank, sent in reply to every order."""

    rank: ids.RankIndex
    """Position in the group."""
    incarnation: ids.Incarnation
    """Incarnation of the rank, which has no state of an earlier one."""
    fence: ids.Fence
    """Highest fencing number that the rank has seen."""
    adopted: bool
    """Whether the rank has received the current maps."""
    active_version: int
    """Map version of the last started step, 0 before any step."""
    step: int
    """Last started step, -1 before any step."""
    committed_attempt: MapAttempt
    """Last committed attempt that the rank knows."""
    pending_attempt: MapAttempt
    """Undecided attempt that the rank is preparing or has prepared."""
    prepared: bool
    """Whether the weights of the pending attempt are loaded."""
    armed_step: int | None
    """Activation step, not started before the rank knows the decision; None if it is not armed."""
    reason: GateReason = GateReason.NONE
    """Reason for which the order was rejected, `NONE` for an order that was followed."""


def encode_record(record: MapRecord) -> bytes:
    """Encode a record for the object API.

    Args:
        record: Record to encode.

    Returns:
        JSON text.

    >>> first = ExpertMap(1, b"x")
    >>> record = MapRecord(ids.Fence(2), Decision(MapAttempt(ids.Fence(1), 1), first, first, 0))
    >>> decode_record(encode_record(record)) == record
    True
    """
    decision = record.decision
    return json.dumps(
        {
            "fence": record.fence,
            "attempt": [decision.attempt.fence, decision.attempt.sequence],
            "before": _encode_map(decision.before),
            "after": _encode_map(decision.after),
            "step": decision.step,
        }
    ).encode()


def decode_record(value: bytes) -> MapRecord:
    """Decode a record of the object API.

    Args:
        value: JSON text.

    Returns:
        The record.

    Raises:
        ValueError: The value is not a valid record.
    """
    try:
        data = json.loads(value)
        fence, sequence = data["attempt"]
        decision = Decision(
            attempt=MapAttempt(ids.Fence(int(fence)), int(sequence)),
            before=_decode_map(data["before"]),
            after=_decode_map(data["after"]),
            step=int(data["step"]),
        )
        return MapRecord(ids.Fence(int(data["fence"])), decision)
    except (KeyError, TypeError) as error:
        raise ValueError(f"not a valid expert map record: {error!r}") from error


def _encode_map(expert_map: ExpertMap) -> dict[str, object]:
    content = base64.b64encode(expert_map.content).decode()
    return {"version": expert_map.version, "content": content}


def _decode_map(data: dict[str, str]) -> ExpertMap:
    return ExpertMap(int(data["version"]), base64.b64decode(data["content"]))
