"""Fencing and deduplication of orders to a backend server that may not check fencing numbers.

The agent checks the fencing number itself and keeps the results of recent orders, so that an order
repeated after a lost answer is not carried out again.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

from gentianpaddle_core import ids

MAX_KEPT_RESULTS = 256
"""Maximum number of order results that are kept; the oldest is dropped first."""


class OrderReason(enum.StrEnum):
    """Reasons for which an order was not carried out."""

    OLD_FENCE = "old_fence"
    IN_PROGRESS = "in_progress"
    """The same order is being carried out; the caller should repeat it later."""
    BUSY = "busy"
    """Another order is being carried out."""
    BACKEND_UNREACHABLE = "backend_unreachable"
    """The state of the backend server could not be read, so the order was not passed on."""
    UNSUPPORTED = "unsupported"
    """The agent does not support the kind of order, or serves another model."""
    BACKEND_REFUSED = "backend_refused"
    NOT_CONFIRMED = "not_confirmed"
    """The backend server acknowledged the order but runs something else."""


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """Model, version and role that a backend server reports or is ordered to run."""

    model: ids.ModelName
    """Name of the model, empty for none."""
    version: str
    """Version of the model."""
    role: str
    """Role of the backend server."""


@dataclasses.dataclass(frozen=True, slots=True)
class Execute:
    """Tells the agent to carry out the order, read back the state and call `record_result`."""

    order_id: str
    """Id of the order."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer to an order that was refused, is in progress or has been carried out."""

    accepted: bool
    """Whether the backend server ran what was ordered when it was read back after the order."""
    reason: OrderReason | None
    """Reason for which the order was not accepted, else None."""
    highest_fence: ids.Fence
    """Highest fencing number that the agent has seen for the group."""


Verdict: typing.TypeAlias = Execute | Answer
"""Result of checking an order."""


class OrderChecker:
    """Checks the fencing numbers of orders to one backend server and removes duplicates."""

    def __init__(self) -> None:
        """Create a checker without orders; use `new_order_checker`."""
        self._fence_by_group: dict[ids.GroupId, ids.Fence] = {}
        self._result_by_order: dict[str, tuple[bool, OrderReason | None]] = {}
        self._order_in_progress: tuple[str, ids.GroupId, ids.Fence, Running] | None = None

    @property
    def is_busy(self) -> bool:
        """Whether an order is being carried out."""
        return self._order_in_progress is not None

    def record_fence(self, group: ids.GroupId, fence: ids.Fence) -> bool:
        """Record the fencing number of a request, which is an order or a read-back.

        Orders of earlier lease holders that have not been passed on yet are refused from then
        on, so that they do not change the state after the new holder has read it.

        Args:
            group: Group whose lease holder sent the request.
            fence: Fencing number of the request.

        Returns:
            Whether the fencing number is not lower than the highest one seen.
        """
        if fence < self._fence_by_group.get(group, ids.Fence(0)):
            return False
        self._fence_by_group[group] = fence
        return True

    def highest_fence(self, group: ids.GroupId) -> ids.Fence:
        """Return the highest fencing number seen for a group."""
        return self._fence_by_group.get(group, ids.Fence(0))

    def check_order(
        self, order_id: str, group: ids.GroupId, fence: ids.Fence, wanted: Running
    ) -> Verdict:
        """Check an order.

        Args:
            order_id: Id of the order, the same when it is repeated.
            group: Group whose lease holder sent the order.
            fence: Fencing number of the order.
            wanted: What the backend server is ordered to run; ignored unless `Execute` is returned.

        Returns:
            `Execute` for a new order with a valid fencing number, once per order id; otherwise the
            answer.
        """
        highest_known = self._fence_by_group.get(group, ids.Fence(0))
        if fence < highest_known:
            return Answer(False, OrderReason.OLD_FENCE, highest_known)
        self._fence_by_group[group] = fence
        if order_id in self._result_by_order:
            accepted, reason = self._result_by_order[order_id]
            return Answer(accepted, reason, fence)
        if self._order_in_progress:
            same = self._order_in_progress[0] == order_id
            return Answer(False, OrderReason.IN_PROGRESS if same else OrderReason.BUSY, fence)
        self._order_in_progress = (order_id, group, fence, wanted)
        return Execute(order_id)

    def may_execute(self, order_id: str) -> bool:
        """Check the fencing number again just before the order is passed on.

        This protects backend servers that do not check fencing numbers themselves.

        Args:
            order_id: Id of the order.

        Returns:
            False if the order is not in progress, or a request with a higher fencing number was
            seen in the meantime.
        """
        if self._order_in_progress is None or self._order_in_progress[0] != order_id:
            return False
        _, group, fence, _ = self._order_in_progress
        return fence >= self._fence_by_group[group]

    def record_result(self, acknowledged: bool, running: Running) -> Answer:
        """Record the result of the order that was carried out.

        Args:
            acknowledged: Whether the backend server acknowledged the order.
            running: What the backend server reports that it runs, read back after the order.

        Returns:
            The answer to the order and to its repeats. It is accepted when the backend server
            runs what was ordered, even if its own answer was lost.
        """
        assert self._order_in_progress is not None, (
            "a result is recorded once, for an order in progress"
        )
        order_id, group, _, wanted = self._order_in_progress
        self._order_in_progress = None
        accepted = running == wanted
        reason = None
        if not accepted:
            reason = OrderReason.NOT_CONFIRMED if acknowledged else OrderReason.BACKEND_REFUSED
        self._result_by_order[order_id] = (accepted, reason)
        while len(self._result_by_order) > MAX_KEPT_RESULTS:
            del self._result_by_order[next(iter(self._result_by_order))]
        return Answer(accepted, reason, self._fence_by_group[group])


def new_order_checker() -> OrderChecker:
    """Create the checker of an agent that has just started.

    Returns:
        A checker that has seen no order.
    """
    return OrderChecker()
