"""Orders to a backend server that may not check who gives them.

The agent checks the fencing number itself and remembers the results of recent orders, so that an
order repeated after a lost answer is not carried out again.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

from gentianpaddle_core import ids

REMEMBERED_ORDERS = 256
"""Results that are kept; the oldest is dropped."""


class OrderReason(enum.StrEnum):
    """Why an order was not carried out."""

    OLD_FENCE = "old_fence"
    IN_PROGRESS = "in_progress"
    """The same order is being carried out; ask again."""
    BUSY = "busy"
    """Another order is being carried out."""
    BACKEND_UNREACHABLE = "backend_unreachable"
    """The backend server could not be read, so nothing was ordered."""
    UNSUPPORTED = "unsupported"
    """The agent does not know the kind of order, or serves another model."""
    BACKEND_REFUSED = "backend_refused"
    NOT_CONFIRMED = "not_confirmed"
    """The backend server took the order but runs something else."""


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """What a backend server really runs, as it says itself."""

    model: ids.ModelName
    """Model, empty for none."""
    version: str
    """Version of the model."""
    role: str
    """Role."""


@dataclasses.dataclass(frozen=True, slots=True)
class Execute:
    """Carry the order out, read back, then call `finished`."""

    order_id: str
    """The order."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer the order without carrying it out again."""

    accepted: bool
    """Whether the backend server runs what was ordered."""
    reason: OrderReason | None
    """Why not."""
    highest_fence: ids.Fence
    """Highest fencing number seen here."""


Verdict: typing.TypeAlias = Execute | Answer
"""What the agent does with an order."""


class OrderDesk:
    """Checks the orders to one backend server."""

    def __init__(self) -> None:
        """Start without orders; use `new_order_desk`."""
        self._fence_by_group: dict[ids.GroupId, ids.Fence] = {}
        self._result_by_order: dict[str, tuple[bool, OrderReason | None]] = {}
        self._current: tuple[str, ids.GroupId, ids.Fence, Running] | None = None

    @property
    def is_busy(self) -> bool:
        """Whether an order is being carried out."""
        return self._current is not None

    def observe(self, group: ids.GroupId, fence: ids.Fence) -> bool:
        """Note the fencing number of a holder that reads back, before anything is read.

        An order of an earlier holder that was not yet passed on is then refused, so that what is
        read does not change behind the new holder.

        Args:
            group: Group whose lease holder asks.
            fence: Fencing number of the lease.

        Returns:
            False when a later holder is known.
        """
        if fence < self._fence_by_group.get(group, ids.Fence(0)):
            return False
        self._fence_by_group[group] = fence
        return True

    def highest_fence(self, group: ids.GroupId) -> ids.Fence:
        """Return the highest fencing number seen for a group."""
        return self._fence_by_group.get(group, ids.Fence(0))

    def check(
        self, order_id: str, group: ids.GroupId, fence: ids.Fence, wanted: Running
    ) -> Verdict:
        """Check an order.

        Args:
            order_id: Id of the order, the same when it is repeated.
            group: Group whose lease holder gives it.
            fence: Fencing number of the lease.
            wanted: What the backend server shall run.

        Returns:
            `Execute` exactly once for an order that is up to date.
        """
        known = self._fence_by_group.get(group, ids.Fence(0))
        if fence < known:
            return Answer(False, OrderReason.OLD_FENCE, known)
        self._fence_by_group[group] = fence
        if order_id in self._result_by_order:
            accepted, reason = self._result_by_order[order_id]
            return Answer(accepted, reason, fence)
        if self._current:
            same = self._current[0] == order_id
            return Answer(False, OrderReason.IN_PROGRESS if same else OrderReason.BUSY, fence)
        self._current = (order_id, group, fence, wanted)
        return Execute(order_id)

    def may_execute(self, order_id: str) -> bool:
        """Check again just before the backend server is told, for an engine that ignores fences.

        Args:
            order_id: The order.

        Returns:
            False when a later holder has given an order in the meantime.
        """
        if self._current is None or self._current[0] != order_id:
            return False
        _, group, fence, _ = self._current
        return fence >= self._fence_by_group[group]

    def finished(self, taken: bool, running: Running) -> Answer:
        """Note the end of the order that was carried out.

        Args:
            taken: Whether the backend server took it.
            running: What the backend server says that it runs now, read back after the order.

        Returns:
            The answer to the order and to its repeats. It is accepted when the backend server
            runs what was wanted, even if its own answer was lost.
        """
        assert self._current is not None, "an order is finished once"
        order_id, group, _, wanted = self._current
        self._current = None
        accepted = running == wanted
        reason = None
        if not accepted:
            reason = OrderReason.NOT_CONFIRMED if taken else OrderReason.BACKEND_REFUSED
        self._result_by_order[order_id] = (accepted, reason)
        while len(self._result_by_order) > REMEMBERED_ORDERS:
            del self._result_by_order[next(iter(self._result_by_order))]
        return Answer(accepted, reason, self._fence_by_group[group])


def new_order_desk() -> OrderDesk:
    """Create the checks of an agent that has just started.

    Returns:
        Checks without any order.
    """
    return OrderDesk()
