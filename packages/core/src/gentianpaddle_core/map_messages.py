"""Orders, statuses and the stored record of an expert map change."""

from __future__ import annotations

import base64
import dataclasses
import enum
import json

from gentianpaddle_core import ids


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class MapAttempt:
    """Number of an attempt to change the map; later attempts are greater."""

    fence: ids.Fence
    """Fencing number of the coordinator that made it."""
    sequence: int
    """Number of the attempt at that coordinator, from 1."""


NO_ATTEMPT = MapAttempt(ids.Fence(0), 0)
"""Lower than every attempt."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertMap:
    """An expert map."""

    version: int
    """Version; each change has a higher one."""
    content: bytes
    """Which rank holds which expert, opaque here."""


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """A committed change: all ranks use `after` from `step` on and `before` until then."""

    attempt: MapAttempt
    """Attempt that was committed."""
    before: ExpertMap
    """Map of the steps before; equal to `after` once every rank uses that one."""
    after: ExpertMap
    """Map from the step on."""
    step: int
    """First step with the new map."""


@dataclasses.dataclass(frozen=True, slots=True)
class MapRecord:
    """What the object API holds for a group; its conditional update decides every attempt."""

    fence: ids.Fence
    """Fencing number of the coordinator that wrote it."""
    decision: Decision
    """The last committed change."""


class OrderKind(enum.StrEnum):
    """Orders to a rank."""

    READ_BACK = "read_back"
    ADOPT = "adopt"
    """Gives the maps to a rank that has just started."""
    PREPARE = "prepare"
    """Load the weights of the new map."""
    ARM = "arm"
    """Do not start the named step without the decision."""
    ACTIVATE = "activate"
    """The change is committed."""
    ABORT = "abort"
    """The attempt and all earlier ones that were not committed never will be."""


@dataclasses.dataclass(frozen=True, slots=True)
class MapOrder:
    """Order from a coordinator to a rank."""

    kind: OrderKind
    """What to do."""
    fence: ids.Fence
    """Fencing number of the coordinator."""
    attempt: MapAttempt = NO_ATTEMPT
    """Attempt for prepare, arm and abort."""
    incarnation: ids.Incarnation = ids.Incarnation(0)  # noqa: RUF009
    """Start of the rank that an adoption is meant for."""
    expert_map: ExpertMap | None = None
    """New map for prepare."""
    step: int = 0
    """First step with the new map, for arm."""
    decision: Decision | None = None
    """Committed change, for adopt and activate."""


class GateReason(enum.StrEnum):
    """Why a gate did not follow an order, or holds a step."""

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
    """The rank has started no step since its own start."""
    UNDECIDED = "undecided"


@dataclasses.dataclass(frozen=True, slots=True)
class RankStatus:
    """What a rank really has, in reply to every order."""

    rank: ids.RankIndex
    """Position in the group."""
    incarnation: ids.Incarnation
    """Start of the rank; it remembers nothing of an earlier one."""
    fence: ids.Fence
    """Highest fencing number that it has seen."""
    adopted: bool
    """Whether it has the maps and may run."""
    active_version: int
    """Version that its last started step used, 0 before any."""
    step: int
    """Last started step, -1 before any."""
    decided: MapAttempt
    """Committed attempt that it knows of."""
    pending: MapAttempt
    """Attempt that it prepares or has prepared."""
    prepared: bool
    """Whether the weights of the pending attempt are loaded."""
    armed_step: int | None
    """Step that it does not start without the decision."""
    reason: GateReason = GateReason.NONE
    """Why the order was not followed."""


def encode_record(record: MapRecord) -> bytes:
    """Write a record for the object API.

    Args:
        record: The record.

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
    """Read a record of the object API.

    Args:
        value: JSON text.

    Returns:
        The record.

    Raises:
        ValueError: The value is no such record.
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
        raise ValueError(f"not a record of an expert map: {error!r}") from error


def _encode_map(expert_map: ExpertMap) -> dict[str, object]:
    content = base64.b64encode(expert_map.content).decode()
    return {"version": expert_map.version, "content": content}


def _decode_map(data: dict[str, str]) -> ExpertMap:
    return ExpertMap(int(data["version"]), base64.b64decode(data["content"]))
