"""Lease of a group with a fencing number, kept by conditional updates of one object.

The fencing number goes up with each acquisition, also by the same holder. A holder counts its
term from before it sent the write. Others count it from when they first saw the present version
of the lease. So no clocks are compared, and only their rates must agree.
"""

from __future__ import annotations

import dataclasses
import json

from gentianpaddle_core import ids, object_api, store_steps

TERM_S = 10.0
"""Time after its last renewal in which nobody else takes a lease."""
SAFETY_MARGIN_S = 2.0
"""Time before the end of the term at which the holder stops; 20 % covers clock rates."""
RENEW_AFTER_S = 3.0
"""Age of the last renewal at which the holder renews; three tries fit before it stops."""
RETRY_S = 0.5
"""Pause after a failed call."""
LOOK_S = 2.0
"""Pause between looks at a lease that another process holds."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Times of a lease, the same in all processes."""

    term_s: float = TERM_S
    """Time after its last renewal in which nobody else takes the lease."""
    margin_s: float = SAFETY_MARGIN_S
    """Time before the end of the term at which the holder stops."""
    renew_after_s: float = RENEW_AFTER_S
    """Age of the last renewal at which the holder renews."""
    look_s: float = LOOK_S
    """Pause between looks at a lease that another process holds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """This process holds the lease and may act."""

    fence: ids.Fence
    """Fencing number to send with each order."""
    until_s: float
    """Monotonic time at which it must stop to act."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotHeld:
    """This process may not act."""

    holder: ids.VmId | None
    """Holder that was last seen, None when nobody was."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Record:
    holder: ids.VmId
    incarnation: ids.Incarnation
    fence: ids.Fence
    renewal: int
    is_released: bool = False

    def encode(self) -> bytes:
        return json.dumps(dataclasses.astuple(self)).encode()


@dataclasses.dataclass(frozen=True, slots=True)
class _Seen:
    version: int
    record: _Record | None
    first_seen_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Sent:
    record: _Record
    expected_version: int
    sent_s: float


class Lease:
    """One process's part in a lease."""

    def __init__(
        self,
        group: ids.GroupId,
        holder: ids.VmId,
        incarnation: ids.Incarnation,
        times: LeaseTimes,
    ) -> None:
        self._key = f"leases/{group}"
        self._holder = holder
        self._incarnation = incarnation
        self._times = times
        self._seen: _Seen | None = None
        self._held: Held | None = None
        self._renewed_s = -float("inf")
        self._writes = 0
        self._sent: _Sent | None = None
        self._is_outstanding = False
        self._must_read = True
        self._not_before_s = -float("inf")
        self._gives_up = False

    def status(self, now_s: float) -> Held | NotHeld:
        """Return whether this process may act; ask before each order.

        Args:
            now_s: Monotonic time in seconds, read after any pause of the process.

        Returns:
            The fencing number, or who was last seen as holder.
        """
        if self._held and now_s < self._held.until_s:
            return self._held
        record = self._seen.record if self._seen else None
        return NotHeld(record.holder if record and not record.is_released else None)

    def give_up(self) -> None:
        """Stop to act at once and release the lease, for a graceful shutdown."""
        self._gives_up = True
        self._held = None

    def next_call(self, now_s: float) -> store_steps.Call | store_steps.Idle:
        """Return the next call to do.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            The call, or until when there is nothing to do.
        """
        if self._is_outstanding:
            return store_steps.Idle(float("inf"))
        if now_s < self._not_before_s:
            return store_steps.Idle(self._not_before_s)
        if self._must_read or self._seen is None:
            self._is_outstanding = True
            return store_steps.Get(self._key)
        record = self._seen.record
        if record is None or record.is_released:
            if self._gives_up:
                return store_steps.Idle(float("inf"))
            return self._put(record, self._seen.version, now_s)
        if self._is_own(record):
            return self._next_as_holder(record, self._seen.version, now_s)
        lapses_s = self._seen.first_seen_s + self._times.term_s
        if now_s >= lapses_s and not self._gives_up:
            return self._put(record, self._seen.version, now_s)
        if self._gives_up:
            return store_steps.Idle(float("inf"))
        self._must_read = True
        self._not_before_s = min(lapses_s, now_s + self._times.look_s)
        return store_steps.Idle(self._not_before_s)

    def consume(self, result: store_steps.CallResult, now_s: float) -> None:
        """Take the result of the last call.

        Args:
            result: Its result.
            now_s: Monotonic time in seconds.
        """
        self._is_outstanding = False
        match result:
            case object_api.StoreUnavailable():
                self._not_before_s = now_s + RETRY_S
            case object_api.StoredObject(_, value, version):
                self._take_read(version, _Record(*json.loads(value)), now_s)
            case object_api.Absent():
                self._take_read(object_api.ABSENT_VERSION, None, now_s)
            case object_api.Written(version) if self._sent:
                self._take_written(version, self._sent)
            case _:
                self._must_read = True

    def _next_as_holder(
        self, record: _Record, version: int, now_s: float
    ) -> store_steps.Call | store_steps.Idle:
        due_s = self._renewed_s + self._times.renew_after_s
        if now_s >= due_s or self._gives_up or self._held is None:
            return self._put(record, version, now_s)
        return store_steps.Idle(due_s)

    def _put(self, present: _Record | None, version: int, now_s: float) -> store_steps.Call:
        fence = present.fence if present else 0
        renews = (
            present is not None
            and self._is_own(present)
            and self._held is not None
            and now_s < self._held.until_s
        )
        self._writes += 1
        record = _Record(
            self._holder,
            self._incarnation,
            ids.Fence(fence if renews or self._gives_up else fence + 1),
            self._writes,
            self._gives_up,
        )
        self._sent = _Sent(record, version, now_s)
        self._is_outstanding = True
        return store_steps.Put(self._key, record.encode(), version)

    def _take_read(self, version: int, record: _Record | None, now_s: float) -> None:
        if self._seen and version < self._seen.version:
            self._not_before_s = now_s + RETRY_S
            return
        self._must_read = False
        if self._sent and record == self._sent.record:
            self._take_written(version, self._sent)
            return
        if self._seen is None or version > self._seen.version:
            self._seen = _Seen(version, record, now_s)
        if record is None or not self._is_own(record):
            self._held = None

    def _take_written(self, version: int, sent: _Sent) -> None:
        self._sent = None
        # The others may have seen the write as soon as it was sent.
        self._seen = _Seen(version, sent.record, sent.sent_s)
        if sent.record.is_released or self._gives_up:
            self._held = None
            return
        self._renewed_s = sent.sent_s
        until_s = sent.sent_s + self._times.term_s - self._times.margin_s
        self._held = Held(sent.record.fence, until_s)

    def _is_own(self, record: _Record) -> bool:
        return record.holder == self._holder and record.incarnation == self._incarnation


def new_lease(
    group: ids.GroupId,
    holder: ids.VmId,
    incarnation: ids.Incarnation,
    times: LeaseTimes | None = None,
) -> Lease:
    """Start to compete for the lease of a group.

    Args:
        group: Name of the group.
        holder: VM of this process.
        incarnation: Incarnation of this process.
        times: Times; the same in all processes.

    Returns:
        The lease, not held.
    """
    return Lease(group, holder, incarnation, times or LeaseTimes())
