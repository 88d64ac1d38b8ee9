"""Waiting queue of one entry: who is next, who waits and who is refused early.

Each model has its own queue, because backend servers of one model are no help to another. A queue
is divided by class and, within a class, by organisation.
"""

from __future__ import annotations

import bisect
import dataclasses
import enum
import typing

from gentianpaddle_core import _lane, _rates, declarations, ids

COST_LIMIT_TOKENS = 262_144.0
"""Largest expected tokens counted for one request, which bounds the rounds for one choice."""
MINIMUM_SHARE = 0.05
"""Share of the started tokens that a class with waiting requests gets at least."""
ADMITTED_SHARE = 0.45
"""Share of the first-token target that the predicted wait may take. The distance to
`_lane.IN_TIME_SHARE` absorbs errors of the prediction; without it many requests end just too late.
"""
SHORTEST_BUSY_S = 0.1
"""Time with waiting requests before a measured rate is used."""
SHORTEST_LATE_S = 1.0
"""The same for late requests, which start in the gaps that the others leave."""
RETRY_AFTER_LIMITS_S = (0.5, 120.0)
"""Bounds of the advice to callers."""


class Reason(enum.StrEnum):
    """Why a request is refused."""

    TARGET = "target"
    """The predicted wait exceeds what the first-token target leaves."""
    DEADLINE = "deadline"
    """The predicted wait exceeds the deadline."""
    QUEUE_FULL = "queue_full"
    """The queue is full of requests that go first."""
    DISPLACED = "displaced"
    """A request of a higher class, or of an organisation with less waiting, took the place."""


Ticket: typing.TypeAlias = _lane.Ticket
"""A waiting request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request is not queued, or no longer."""

    retry_after_s: float
    """Predicted time until such a request can be served."""
    reason: Reason
    """Why."""


@dataclasses.dataclass(frozen=True, slots=True)
class Displaced:
    """A waiting request that must be refused now."""

    ticket: Ticket
    """The request, no longer in the queue."""
    refused: Refused
    """What to tell its caller."""


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The request waits."""

    ticket: Ticket
    """Handle for `take` and `cancel`."""
    predicted_wait_s: float
    """Predicted time until it starts."""
    displaced: Displaced | None = None
    """Request that lost its place to this one."""


Admission: typing.TypeAlias = Queued | Refused
"""Result of offering a request."""


def rank(class_of_work: declarations.ClassOfWork) -> float:
    """Order of classes: the first-token target times the share that may miss it.

    A lower rank goes first.

    >>> quote = declarations.ClassOfWork(ids.ClassName("quote"), 1.8, 27.0, 0.95, 20.0)
    >>> batch = declarations.ClassOfWork(ids.ClassName("batch"), 30.0, 100.0, 0.9, 600.0)
    >>> rank(quote) < rank(batch)
    True
    """
    return class_of_work.first_token_s * (1.0 - class_of_work.share)


def priority(class_of_work: declarations.ClassOfWork) -> int:
    """Priority for an engine, where the lower number goes first; fits 32 bits."""
    return round(rank(class_of_work) * 1_000)


class _ModelQueue:
    """Waiting requests of one model."""

    def __init__(self) -> None:
        self.rate = _rates.ServiceRate(SHORTEST_BUSY_S)
        self._late_rate = _rates.ServiceRate(SHORTEST_LATE_S)
        self.lane_by_class: dict[ids.ClassName, _lane.Lane] = {}

    def lane(self, class_of_work: declarations.ClassOfWork) -> _lane.Lane:
        lane = self.lane_by_class.get(class_of_work.name)
        if lane is None:
            lane = self.lane_by_class[class_of_work.name] = _lane.Lane(class_of_work)
        # The targets of a class change with the configuration.
        lane.class_of_work = class_of_work
        return lane

    def lanes(self) -> list[_lane.Lane]:
        """Lanes with waiting requests, highest class first."""
        waiting = [lane for lane in self.lane_by_class.values() if lane]
        return sorted(waiting, key=lambda lane: (rank(lane.class_of_work), lane.class_of_work.name))

    def predicted_wait_s(
        self,
        class_of_work: declarations.ClassOfWork,
        organisation: ids.OrganisationId,
        cost: float,
        now_s: float,
    ) -> float:
        lanes = self.lanes()
        if not lanes:
            return 0.0
        own = self.lane(class_of_work)
        higher = [lane for lane in lanes if rank(lane.class_of_work) < rank(class_of_work)]
        rate = self.rate.at(now_s, cost)
        arriving = sum(lane.offered.rate(now_s) for lane in higher)
        left = max(MINIMUM_SHARE * rate, rate - arriving)
        before_s = sum(lane.tokens for lane in higher) / left
        return before_s + own.predicted_wait_s(organisation, cost, left, now_s)

    def next(self, passed_over: frozenset[ids.ClassName], now_s: float) -> Ticket | None:
        lanes = [lane for lane in self.lanes() if lane.class_of_work.name not in passed_over]
        heads = [(lane, lane.in_time(now_s)) for lane in lanes]
        if any(lane.late_tokens for lane in lanes):
            self._late_rate.begin(now_s)
        for lane, ticket in heads:
            owed = ticket or lane.late()
            if len(lanes) > 1 and owed is not None and lane.credit >= owed.cost_tokens:
                return owed
        for _, ticket in heads:
            if ticket is not None:
                return ticket
        return next((late for lane in lanes if (late := lane.late()) is not None), None)

    def hopeless(self, now_s: float) -> Ticket | None:
        """A late request that the gaps left by the others will not reach in time."""
        ahead = 0.0
        first = next((late for lane in self.lanes() if (late := lane.late()) is not None), None)
        rate = self._late_rate.at(now_s, first.cost_tokens if first is not None else 0.0)
        for lane in self.lanes():
            ahead += lane.late_tokens
            last = lane.last_late()
            if last is not None and now_s + ahead / rate > last.deadline_s:
                return last
        return None

    def take(self, ticket: Ticket, now_s: float) -> None:
        if ticket.in_time_until_s < now_s:
            self._late_rate.started(ticket.cost_tokens, now_s)
        self.rate.started(ticket.cost_tokens, now_s)
        for lane in self.lanes():
            if lane.class_of_work.name != ticket.class_of_work.name:
                credit = lane.credit + MINIMUM_SHARE * ticket.cost_tokens
                lane.credit = min(COST_LIMIT_TOKENS, credit)
        self.lane(ticket.class_of_work).take(ticket)
        self.settle(now_s)

    def settle(self, now_s: float) -> None:
        """Reset what only counts while requests wait."""
        for lane in self.lane_by_class.values():
            if not lane:
                lane.credit = 0.0
        if not self.lanes():
            self.rate.end(now_s)
        if not any(lane.late_tokens for lane in self.lane_by_class.values()):
            # A new overload starts without the memory of the last one, in which none were reached.
            self._late_rate = _rates.ServiceRate(SHORTEST_LATE_S)


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
        """Models with waiting requests."""
        return tuple(model for model, queue in self._queue_by_model.items() if queue.lanes())

    def waiting(self, model: ids.ModelName) -> int:
        """Number of requests that wait for a model."""
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
            organisation: Who sent it.
            class_of_work: Its class.
            cost_tokens: Expected tokens, prompt and answer; 1 for a plain service.
            now_s: Monotonic time.

        Returns:
            A ticket, or the predicted time until such a request can be served.
        """
        cost_tokens = min(COST_LIMIT_TOKENS, max(1.0, cost_tokens))
        queue = self._queue_by_model.setdefault(model, _ModelQueue())
        wait_s = queue.predicted_wait_s(class_of_work, organisation, cost_tokens, now_s)
        admitted_s = ADMITTED_SHARE * class_of_work.first_token_s
        if wait_s > min(admitted_s, class_of_work.deadline_s):
            late = wait_s > class_of_work.deadline_s
            reason = Reason.DEADLINE if late else Reason.TARGET
            return Refused(_retry_after_s(wait_s - admitted_s), reason)
        self._number += 1
        ticket = Ticket(self._number, model, organisation, class_of_work, now_s, cost_tokens)
        displaced = None
        if len(self._ticket_by_number) >= self._limit:
            loser = self._loser(queue, ticket)
            if loser is None:
                return Refused(_retry_after_s(wait_s), Reason.QUEUE_FULL)
            self.cancel(loser, now_s)
            displaced = Displaced(loser, Refused(_retry_after_s(wait_s), Reason.DISPLACED))
        lane = queue.lane(class_of_work)
        lane.offer(ticket, now_s)
        queue.rate.begin(now_s)
        self._ticket_by_number[ticket.number] = ticket
        bisect.insort(self._deadlines, (ticket.deadline_s, ticket.number))
        return Queued(ticket, wait_s, displaced)

    def next_ready(
        self,
        model: ids.ModelName,
        now_s: float,
        passed_over: frozenset[ids.ClassName] = frozenset(),
    ) -> Ticket | None:
        """Request of a model that goes next; it stays queued until `take`.

        Args:
            model: Model or plain service.
            now_s: Monotonic time.
            passed_over: Classes whose next request waits for a faster server. What is free now
                can still be good enough for the other classes.

        Returns:
            The request, None when nothing waits.
        """
        queue = self._queue_by_model.get(model)
        return None if queue is None else queue.next(passed_over, now_s)

    def take(self, ticket: Ticket, now_s: float) -> bool:
        """Remove a request that starts now; False when it is no longer queued."""
        if not self._forget(ticket):
            return False
        self._queue_by_model[ticket.model].take(ticket, now_s)
        return True

    def cancel(self, ticket: Ticket, now_s: float) -> bool:
        """Remove a request that will not start; False when it is no longer queued."""
        if not self._forget(ticket):
            return False
        queue = self._queue_by_model[ticket.model]
        queue.lane(ticket.class_of_work).remove(ticket)
        queue.settle(now_s)
        return True

    def expire(self, now_s: float) -> tuple[Ticket, ...]:
        """Remove and return the requests that cannot start before their deadline.

        These are requests whose deadline has passed, and late ones that will not be reached before
        theirs: they are told so now and not when it passes. Call `retry_after_s` for the advice.
        """
        expired = []
        for queue in self._queue_by_model.values():
            while (hopeless := queue.hopeless(now_s)) is not None:
                self.cancel(hopeless, now_s)
                expired.append(hopeless)
        while self._deadlines and self._deadlines[0][0] <= now_s:
            ticket = self._ticket_by_number[self._deadlines[0][1]]
            self.cancel(ticket, now_s)
            expired.append(ticket)
        return tuple(expired)

    def retry_after_s(self, ticket: Ticket, now_s: float) -> float:
        """Predicted time until a request like this one would be accepted."""
        queue = self._queue_by_model[ticket.model]
        work = ticket.class_of_work
        wait_s = queue.predicted_wait_s(work, ticket.organisation, ticket.cost_tokens, now_s)
        return _retry_after_s(wait_s - ADMITTED_SHARE * work.first_token_s)

    def _loser(self, queue: _ModelQueue, ticket: Ticket) -> Ticket | None:
        """Waiting request that gives way when the queue is full, None when none does."""
        lanes = queue.lanes()
        if not lanes:
            return None
        lowest = lanes[-1]
        own_rank, lowest_rank = rank(ticket.class_of_work), rank(lowest.class_of_work)
        loser = lowest.last_of_largest()
        if loser is None or own_rank > lowest_rank:
            return None
        if own_rank < lowest_rank:
            return loser
        own_tokens = lowest.tokens_by_organisation.get(ticket.organisation, 0.0)
        largest_tokens = lowest.tokens_by_organisation.get(loser.organisation, 0.0)
        return loser if own_tokens + ticket.cost_tokens < largest_tokens else None

    def _forget(self, ticket: Ticket) -> bool:
        if self._ticket_by_number.pop(ticket.number, None) is None:
            return False
        key = (ticket.deadline_s, ticket.number)
        del self._deadlines[bisect.bisect_left(self._deadlines, key)]
        return True


def new_admission_queue(limit: int = 1_000) -> AdmissionQueue:
    """Create an empty queue.

    Args:
        limit: Requests that wait at once, over all models.
    """
    return AdmissionQueue(limit)


def _retry_after_s(predicted_s: float) -> float:
    low, high = RETRY_AFTER_LIMITS_S
    return min(high, max(low, predicted_s))
