"""Lease of a group with a fencing number, stored in one object and changed by conditional writes.

The fencing number increases with each acquisition, even by the same holder. The holder measures
its term from just before it sends the write. Other processes measure it from when they first read
the current version of the lease. Clock readings of different processes are therefore never
compared; only the rates of the clocks must agree.
"""

from __future__ import annotations

import dataclasses
import json

from gentianpaddle_core import ids, object_api, store_calls

LEASE_TERM_S = 10.0
"""Time after the last renewal during which no other process acquires the lease."""
SAFETY_MARGIN_S = 2.0
"""Time before the end of the term at which the holder stops acting.

This is 20 % of the term, which covers differences between clock rates.
"""
RENEW_AFTER_S = 3.0
"""Age of the last renewal at which the holder renews; leaves three attempts before it stops."""
RETRY_DELAY_S = 0.5
"""Delay after a failed or stale call."""
POLL_INTERVAL_S = 2.0
"""Interval between reads of a lease that another process holds."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Time parameters of a lease; must be equal in all processes."""

    term_s: float = LEASE_TERM_S
    """Time after the last renewal during which no other process acquires the lease."""
    margin_s: float = SAFETY_MARGIN_S
    """Time before the end of the term at which the holder stops acting."""
    renew_after_s: float = RENEW_AFTER_S
    """Age of the last renewal at which the holder renews."""
    poll_interval_s: float = POLL_INTERVAL_S
    """Interval between reads of a lease that another process holds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """This process holds the lease and may act."""

    fence: ids.Fence
    """Fencing number to send with each order, so that orders of earlier holders are rejected."""
    until_s: float
    """Monotonic time at which this process must stop acting."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotHeld:
    """This process does not hold the lease and must not act."""

    holder: ids.VmId | None
    """Last observed holder, None when the lease was free or has not been read."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Record:
    holder: ids.VmId
    incarnation: ids.Incarnation
    fence: ids.Fence
    write_number: int
    is_released: bool = False

    def encode(self) -> bytes:
        return json.dumps(dataclasses.astuple(self)).encode()


@dataclasses.dataclass(frozen=True, slots=True)
class _ObservedLease:
    version: int
    record: _Record | None
    first_observed_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingWrite:
    record: _Record
    expected_version: int
    sent_s: float


class Lease:
    """State of one process that competes for a lease."""

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
        self._observed: _ObservedLease | None = None
        self._held: Held | None = None
        self._last_renewal_s = -float("inf")
        self._write_count = 0
        self._pending_write: _PendingWrite | None = None
        self._is_call_in_flight = False
        self._must_read = True
        self._earliest_call_s = -float("inf")
        self._is_releasing = False

    def status(self, now_s: float) -> Held | NotHeld:
        """Return whether this process may act; call before each order.

        Args:
            now_s: Monotonic time in seconds, read immediately before the call.

        Returns:
            The fencing number, or the last observed holder.
        """
        if self._held and now_s < self._held.until_s:
            return self._held
        record = self._observed.record if self._observed else None
        return NotHeld(record.holder if record and not record.is_released else None)

    def release(self) -> None:
        """Stop acting at once and release the lease, for a graceful shutdown."""
        self._is_releasing = True
        self._held = None

    def next_call(self, now_s: float) -> store_calls.Call | store_calls.Idle:
        """Return the next call to perform.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            The call, or the time until which no call is due.
        """
        if self._is_call_in_flight:
            return store_calls.Idle(float("inf"))
        if now_s < self._earliest_call_s:
            return store_calls.Idle(self._earliest_call_s)
        if self._must_read or self._observed is None:
            self._is_call_in_flight = True
            return store_calls.Get(self._key)
        record = self._observed.record
        if record is None or record.is_released:
            if self._is_releasing:
                return store_calls.Idle(float("inf"))
            return self._put(record, self._observed.version, now_s)
        if self._is_own(record):
            return self._next_call_as_holder(record, self._observed.version, now_s)
        expires_s = self._observed.first_observed_s + self._times.term_s
        if now_s >= expires_s and not self._is_releasing:
            return self._put(record, self._observed.version, now_s)
        if self._is_releasing:
            return store_calls.Idle(float("inf"))
        self._must_read = True
        self._earliest_call_s = min(expires_s, now_s + self._times.poll_interval_s)
        return store_calls.Idle(self._earliest_call_s)

    def handle_result(self, result: store_calls.CallResult, now_s: float) -> None:
        """Process the result of the last call.

        Args:
            result: Result of the call.
            now_s: Monotonic time in seconds.
        """
        self._is_call_in_flight = False
        match result:
            case object_api.StoreUnavailable():
                self._earliest_call_s = now_s + RETRY_DELAY_S
            case object_api.StoredObject(_, value, version):
                self._handle_read(version, _Record(*json.loads(value)), now_s)
            case object_api.Absent():
                self._handle_read(object_api.ABSENT_VERSION, None, now_s)
            case object_api.Written(version) if self._pending_write:
                self._handle_written(version, self._pending_write)
            case _:
                self._must_read = True

    def _next_call_as_holder(
        self, record: _Record, version: int, now_s: float
    ) -> store_calls.Call | store_calls.Idle:
        due_s = self._last_renewal_s + self._times.renew_after_s
        if now_s >= due_s or self._is_releasing or self._held is None:
            return self._put(record, version, now_s)
        return store_calls.Idle(due_s)

    def _put(self, current: _Record | None, version: int, now_s: float) -> store_calls.Call:
        fence = current.fence if current else 0
        is_renewal = (
            current is not None
            and self._is_own(current)
            and self._held is not None
            and now_s < self._held.until_s
        )
        self._write_count += 1
        record = _Record(
            self._holder,
            self._incarnation,
            ids.Fence(fence if is_renewal or self._is_releasing else fence + 1),
            self._write_count,
            self._is_releasing,
        )
        self._pending_write = _PendingWrite(record, version, now_s)
        self._is_call_in_flight = True
        return store_calls.Put(self._key, record.encode(), version)

    def _handle_read(self, version: int, record: _Record | None, now_s: float) -> None:
        if self._observed and version < self._observed.version:
            self._earliest_call_s = now_s + RETRY_DELAY_S
            return
        self._must_read = False
        if self._pending_write and record == self._pending_write.record:
            self._handle_written(version, self._pending_write)
            return
        if self._observed is None or version > self._observed.version:
            self._observed = _ObservedLease(version, record, now_s)
        if record is None or not self._is_own(record):
            self._held = None

    def _handle_written(self, version: int, write: _PendingWrite) -> None:
        self._pending_write = None
        # Other processes may have read the new version as soon as the write was sent.
        self._observed = _ObservedLease(version, write.record, write.sent_s)
        if write.record.is_released or self._is_releasing:
            self._held = None
            return
        self._last_renewal_s = write.sent_s
        until_s = write.sent_s + self._times.term_s - self._times.margin_s
        self._held = Held(write.record.fence, until_s)

    def _is_own(self, record: _Record) -> bool:
        return record.holder == self._holder and record.incarnation == self._incarnation


def new_lease(
    group: ids.GroupId,
    holder: ids.VmId,
    incarnation: ids.Incarnation,
    times: LeaseTimes | None = None,
) -> Lease:
    """Start competing for the lease of a group.

    Args:
        group: Name of the group.
        holder: VM of this process.
        incarnation: Incarnation of this process.
        times: Time parameters, equal in all processes; None for the defaults.

    Returns:
        The lease, not yet held.
    """
    return Lease(group, holder, incarnation, times or LeaseTimes())
