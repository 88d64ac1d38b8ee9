"""Waiting queue of one entry, which orders requests and refuses those that would wait too long.

Each model has its own queue, because backend servers of one model cannot serve another. A queue is
divided by class of work and, within a class, by organisation.
"""

from __future__ import annotations

import bisect
import dataclasses
import enum
import typing

from gentianpaddle_core import _class_queue, _rates, declarations, ids

COST_LIMIT_TOKENS = 262_144.0
"""Cap on the cost of one request in tokens. It bounds the round-robin rounds for one choice."""
MINIMUM_SHARE = 0.05
"""Minimum share of the started tokens for each class with waiting requests."""
ADMITTED_SHARE = 0.45
"""Share of the first-token target up to which a predicted wait is admitted. The margin to
`_class_queue.IN_TIME_SHARE` absorbs prediction errors; without it many requests miss the target
narrowly."""
MINIMUM_BUSY_S = 0.1
"""Time, in seconds, with waiting requests after which the measured service rate is used."""
MINIMUM_LATE_BUSY_S = 1.0
"""Time, in seconds, with waiting late requests after which their measured service rate is used.

A request is late when it can no longer meet its first-token target. Late requests start only with
capacity that the in-time requests leave unused or that the minimum share reserves for their class.
"""
RETRY_AFTER_LIMITS_S = (0.5, 120.0)
"""Lower and upper bound, in seconds, of the Retry-After returned to callers."""


class Reason(enum.StrEnum):
    """Reason for the refusal of a request."""

    TARGET = "target"
    """The predicted wait exceeds the admitted share of the first-token target."""
    DEADLINE = "deadline"
    """The predicted wait exceeds the deadline."""
    QUEUE_FULL = "queue_full"
    """The queue is full and the request may not displace any waiting one."""
    DISPLACED = "displaced"
    """A request of a higher class, or of an organisation with fewer waiting tokens, replaced it."""


Ticket: typing.TypeAlias = _class_queue.Ticket
"""A waiting request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Refusal of a request that was not queued or was removed from the queue."""

    retry_after_s: float
    """Predicted time until a similar request can be served, in seconds."""
    reason: Reason
    """Reason for the refusal."""


@dataclasses.dataclass(frozen=True, slots=True)
class Displaced:
    """A waiting request that was removed from a full queue and must be refused."""

    ticket: Ticket
    """The removed request."""
    refused: Refused
    """Refusal to return to its caller."""


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """Result for a request that was queued."""

    ticket: Ticket
    """Handle for `take` and `cancel`."""
    predicted_wait_s: float
    """Predicted time until the request starts, in seconds."""
    displaced: Displaced | None = None
    """Request that was removed in favour of this one, None if there was none."""


Admission: typing.TypeAlias = Queued | Refused
"""Result of offering a request."""


def rank(class_of_work: declarations.ClassOfWork) -> float:
    """Return the rank of a class: the first-token target times the share that may miss it.

    A class with a lower rank is served first.

    >>> quote = declarations.ClassOfWork(ids.ClassName("quote"), 1.8, 27.0, 0.95, 20.0)
    >>> batch = declarations.ClassOfWork(ids.ClassName("batch"), 30.0, 100.0, 0.9, 600.0)
    >>> rank(quote) < rank(batch)
    True
    """
    return class_of_work.first_token_s * (1.0 - class_of_work.share)


def priority(class_of_work: declarations.ClassOfWork) -> int:
    """Return the priority for an engine as a 32-bit integer; lower numbers are served first."""
    return round(rank(class_of_work) * 1_000)


class _ModelQueue:
    """Waiting requests of one model."""

    def __init__(self) -> None:
        self.rate = _rates.ServiceRate(MINIMUM_BUSY_S)
        self._late_rate = _rates.ServiceRate(MINIMUM_LATE_BUSY_S)
        self.queue_by_class: dict[ids.ClassName, _class_queue.ClassQueue] = {}

    def class_queue(self, class_of_work: declarations.ClassOfWork) -> _class_queue.ClassQueue:
        queue = self.queue_by_class.get(class_of_work.name)
        if queue is None:
            queue = self.queue_by_class[class_of_work.name] = _class_queue.ClassQueue(class_of_work)
        # A new configuration may have changed the targets of the class.
        queue.class_of_work = class_of_work
        return queue

    def class_queues(self) -> list[_class_queue.ClassQueue]:
        """Return the class queues with waiting requests, highest class first."""
        waiting = [queue for queue in self.queue_by_class.values() if queue]
        return sorted(
            waiting,
            key=lambda queue: (rank(queue.class_of_work), queue.class_of_work.name),
        )

    def predicted_wait_s(
        self,
        class_of_work: declarations.ClassOfWork,
        organisation: ids.OrganisationId,
        cost: float,
        now_s: float,
    ) -> float:
        queues = self.class_queues()
        if not queues:
            return 0.0
        own = self.class_queue(class_of_work)
        higher = [queue for queue in queues if rank(queue.class_of_work) < rank(class_of_work)]
        rate = self.rate.at(now_s, cost)
        arriving_rate = sum(queue.offered_rate.rate(now_s) for queue in higher)
        available_rate = max(MINIMUM_SHARE * rate, rate - arriving_rate)
        higher_classes_s = sum(queue.in_time_tokens for queue in higher) / available_rate
        return higher_classes_s + own.predicted_wait_s(organisation, cost, available_rate, now_s)

    def next(self, skipped_classes: frozenset[ids.ClassName], now_s: float) -> Ticket | None:
        queues = [
            queue
            for queue in self.class_queues()
            if queue.class_of_work.name not in skipped_classes
        ]
        next_by_queue = [(queue, queue.next_in_time(now_s)) for queue in queues]
        if any(queue.late_tokens for queue in queues):
            self._late_rate.start_waiting(now_s)
        for queue, ticket in next_by_queue:
            candidate = ticket or queue.first_late()
            if len(queues) > 1 and candidate is not None and queue.credit >= candidate.cost_tokens:
                return candidate
        for _, ticket in next_by_queue:
            if ticket is not None:
                return ticket
        return next(
            (late for queue in queues if (late := queue.first_late()) is not None),
            None,
        )

    def unservable(self, now_s: float) -> Ticket | None:
        """Return a late request that is not expected to start before its deadline."""
        tokens_ahead = 0.0
        first_late = next(
            (late for queue in self.class_queues() if (late := queue.first_late()) is not None),
            None,
        )
        rate = self._late_rate.at(now_s, first_late.cost_tokens if first_late is not None else 0.0)
        for queue in self.class_queues():
            tokens_ahead += queue.late_tokens
            last = queue.last_late()
            if last is not None and now_s + tokens_ahead / rate > last.deadline_s:
                return last
        return None

    def take(self, ticket: Ticket, now_s: float) -> None:
        if ticket.latest_start_s < now_s:
            self._late_rate.add_start(ticket.cost_tokens, now_s)
        self.rate.add_start(ticket.cost_tokens, now_s)
        for queue in self.class_queues():
            if queue.class_of_work.name != ticket.class_of_work.name:
                credit = queue.credit + MINIMUM_SHARE * ticket.cost_tokens
                queue.credit = min(COST_LIMIT_TOKENS, credit)
        self.class_queue(ticket.class_of_work).take(ticket)
        self.reset_idle(now_s)

    def reset_idle(self, now_s: float) -> None:
        """Reset the credits and rates that are valid only while requests wait."""
        for queue in self.queue_by_class.values():
            if not queue:
                queue.credit = 0.0
        if not self.class_queues():
            self.rate.stop_waiting(now_s)
        if not any(queue.late_tokens for queue in self.queue_by_class.values()):
            # The rate of the last overload, in which late requests did not start, does not apply to
            # the next one.
            self._late_rate = _rates.ServiceRate(MINIMUM_LATE_BUSY_S)


class AdmissionQueue:
    """Bounded waiting queue of one entry."""

    def __init__(self, limit: int) -> None:
        """Create an empty queue; use `new_admission_queue`."""
        self._limit = limit
        self._number = 0
        self._ticket_by_number: dict[int, Ticket] = {}
        self._deadlines: list[tuple[float, int]] = []
        self._queue_by_model: dict[ids.ModelName, _ModelQueue] = {}

    def __len__(self) -> int:
        return len(self._ticket_by_number)

    def models(self) -> tuple[ids.ModelName, ...]:
        """Return the models with waiting requests."""
        return tuple(model for model, queue in self._queue_by_model.items() if queue.class_queues())

    def waiting(self, model: ids.ModelName) -> int:
        """Return the number of requests that wait for a model."""
        return sum(ticket.model == model for ticket in self._ticket_by_number.values())

    def offer(
        self,
        model: ids.ModelName,
        organisation: ids.OrganisationId,
        class_of_work: declarations.ClassOfWork,
        cost_tokens: float,
        now_s: float,
    ) -> Admission:
        """Queue a request that has just arrived, or refuse it.

        Args:
            model: Model or plain service.
            organisation: Organisation that sent the request.
            class_of_work: Class of work of the request.
            cost_tokens: Expected tokens of prompt and answer; 1 for a plain service.
            now_s: Monotonic time.

        Returns:
            A ticket, or a refusal with the predicted time until a similar request can be served.
        """
        cost_tokens = min(COST_LIMIT_TOKENS, max(1.0, cost_tokens))
        queue = self._queue_by_model.setdefault(model, _ModelQueue())
        wait_s = queue.predicted_wait_s(class_of_work, organisation, cost_tokens, now_s)
        admitted_wait_s = ADMITTED_SHARE * class_of_work.first_token_s
        if wait_s > min(admitted_wait_s, class_of_work.deadline_s):
            exceeds_deadline = wait_s > class_of_work.deadline_s
            reason = Reason.DEADLINE if exceeds_deadline else Reason.TARGET
            return Refused(_retry_after_s(wait_s - admitted_wait_s), reason)
        self._number += 1
        ticket = Ticket(self._number, model, organisation, class_of_work, now_s, cost_tokens)
        displaced = None
        if len(self._ticket_by_number) >= self._limit:
            displaced_ticket = self._displaced_by(queue, ticket)
            if displaced_ticket is None:
                return Refused(_retry_after_s(wait_s), Reason.QUEUE_FULL)
            self.cancel(displaced_ticket, now_s)
            displaced = Displaced(
                displaced_ticket, Refused(_retry_after_s(wait_s), Reason.DISPLACED)
            )
        class_queue = queue.class_queue(class_of_work)
        class_queue.offer(ticket, now_s)
        queue.rate.start_waiting(now_s)
        self._ticket_by_number[ticket.number] = ticket
        bisect.insort(self._deadlines, (ticket.deadline_s, ticket.number))
        return Queued(ticket, wait_s, displaced)

    def next_ready(
        self,
        model: ids.ModelName,
        now_s: float,
        skipped_classes: frozenset[ids.ClassName] = frozenset(),
    ) -> Ticket | None:
        """Return the next request of a model to start; it stays queued until `take`.

        Args:
            model: Model or plain service.
            now_s: Monotonic time.
            skipped_classes: Classes to skip because their next request waits for a faster server. A
                server that is free now may still meet the targets of the other classes.

        Returns:
            The request, None if none of the remaining classes has a waiting request.
        """
        queue = self._queue_by_model.get(model)
        return None if queue is None else queue.next(skipped_classes, now_s)

    def take(self, ticket: Ticket, now_s: float) -> bool:
        """Remove a request that starts now; returns False if it is no longer queued."""
        if not self._unregister(ticket):
            return False
        self._queue_by_model[ticket.model].take(ticket, now_s)
        return True

    def cancel(self, ticket: Ticket, now_s: float) -> bool:
        """Remove a request that will not start; returns False if it is no longer queued."""
        if not self._unregister(ticket):
            return False
        queue = self._queue_by_model[ticket.model]
        queue.class_queue(ticket.class_of_work).remove(ticket)
        queue.reset_idle(now_s)
        return True

    def expire(self, now_s: float) -> tuple[Ticket, ...]:
        """Remove and return the requests that cannot start before their deadline.

        These are requests whose deadline has passed, and late requests that are not expected to
        start before their deadline. The latter are refused early instead of at the deadline. Call
        `retry_after_s` for the Retry-After of each.
        """
        expired = []
        for queue in self._queue_by_model.values():
            while (unservable := queue.unservable(now_s)) is not None:
                self.cancel(unservable, now_s)
                expired.append(unservable)
        while self._deadlines and self._deadlines[0][0] <= now_s:
            ticket = self._ticket_by_number[self._deadlines[0][1]]
            self.cancel(ticket, now_s)
            expired.append(ticket)
        return tuple(expired)

    def retry_after_s(self, ticket: Ticket, now_s: float) -> float:
        """Return the predicted time in seconds until a similar request would be accepted."""
        queue = self._queue_by_model[ticket.model]
        work = ticket.class_of_work
        wait_s = queue.predicted_wait_s(work, ticket.organisation, ticket.cost_tokens, now_s)
        return _retry_after_s(wait_s - ADMITTED_SHARE * work.first_token_s)

    def _displaced_by(self, queue: _ModelQueue, ticket: Ticket) -> Ticket | None:
        """Return the request that `ticket` displaces from a full queue, None if there is none."""
        class_queues = queue.class_queues()
        if not class_queues:
            return None
        lowest_queue = class_queues[-1]
        own_rank, lowest_rank = rank(ticket.class_of_work), rank(lowest_queue.class_of_work)
        displaced_ticket = lowest_queue.displacement_candidate()
        if displaced_ticket is None or own_rank > lowest_rank:
            return None
        if own_rank < lowest_rank:
            return displaced_ticket
        own_tokens = lowest_queue.tokens_by_organisation.get(ticket.organisation, 0.0)
        largest_tokens = lowest_queue.tokens_by_organisation.get(displaced_ticket.organisation, 0.0)
        return displaced_ticket if own_tokens + ticket.cost_tokens < largest_tokens else None

    def _unregister(self, ticket: Ticket) -> bool:
        if self._ticket_by_number.pop(ticket.number, None) is None:
            return False
        key = (ticket.deadline_s, ticket.number)
        del self._deadlines[bisect.bisect_left(self._deadlines, key)]
        return True


def new_admission_queue(limit: int = 1_000) -> AdmissionQueue:
    """Create an empty queue.

    Args:
        limit: Largest number of waiting requests over all models.
    """
    return AdmissionQueue(limit)


def _retry_after_s(predicted_s: float) -> float:
    shortest_s, longest_s = RETRY_AFTER_LIMITS_S
    return min(longest_s, max(shortest_s, predicted_s))
