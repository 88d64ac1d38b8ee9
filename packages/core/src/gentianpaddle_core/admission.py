"""Waiting queue of one entry: who is next, who waits and who is refused early.

Each model has its own queue, because backend servers of one model are no help to another. A queue
is divided by class and, within a class, by organisation.
"""

from __future__ import annotations

import bisect
import collections
import dataclasses
import enum
import typing

from gentianpaddle_core import _rates, declarations, ids

QUANTUM_TOKENS = 4_096.0
"""Expected tokens that an organisation may start per round of its class."""
COST_LIMIT_TOKENS = 262_144.0
"""Largest expected tokens counted for one request, which bounds the rounds for one choice."""
MINIMUM_SHARE = 0.05
"""Share of the started tokens that a class with waiting requests gets at least."""
IN_TIME_SHARE = 0.7
"""Share of the first-token target that may pass in the queue; the rest is for the server."""
ADMITTED_SHARE = 0.45
"""Share of the first-token target that the predicted wait may take. The distance to
`IN_TIME_SHARE` absorbs errors of the prediction; without it most requests end just too late."""
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


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A waiting request."""

    number: int
    """Number in order of arrival."""
    model: ids.ModelName
    """Model or plain service."""
    organisation: ids.OrganisationId
    """Who sent it."""
    class_of_work: declarations.ClassOfWork
    """Its class."""
    arrived_s: float
    """Time of arrival."""
    cost_tokens: float
    """Expected tokens, prompt and answer."""

    @property
    def in_time_until_s(self) -> float:
        """Latest start that can still meet the first-token target."""
        return self.arrived_s + IN_TIME_SHARE * self.class_of_work.first_token_s

    @property
    def deadline_s(self) -> float:
        """Time after which an answer is worthless."""
        return self.arrived_s + self.class_of_work.deadline_s


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


class _Lane:
    """Waiting requests of one class at one model."""

    def __init__(self, class_of_work: declarations.ClassOfWork) -> None:
        self.class_of_work = class_of_work
        self.credit = 0.0
        self.tokens = 0.0
        """Tokens of requests that can still meet their target."""
        self.offered = _rates.OfferedRate()
        self.tokens_by_organisation: dict[ids.OrganisationId, float] = {}
        self._offered_by_organisation: dict[ids.OrganisationId, _rates.OfferedRate] = {}
        self._deficit_by_organisation: dict[ids.OrganisationId, float] = {}
        self._queue_by_organisation: collections.OrderedDict[
            ids.OrganisationId, list[tuple[float, int, Ticket]]
        ] = collections.OrderedDict()
        self._late: list[tuple[float, int, Ticket]] = []

    def __bool__(self) -> bool:
        return bool(self._queue_by_organisation or self._late)

    def add(self, ticket: Ticket) -> None:
        key = (ticket.in_time_until_s, ticket.number, ticket)
        bisect.insort(self._queue_by_organisation.setdefault(ticket.organisation, []), key)
        self._count(ticket, ticket.cost_tokens)

    def remove(self, ticket: Ticket) -> None:
        key = (ticket.in_time_until_s, ticket.number, ticket)
        queue = self._queue_by_organisation.get(ticket.organisation, [])
        position = bisect.bisect_left(queue, key)
        if position < len(queue) and queue[position] == key:
            del queue[position]
            if not queue:
                self._drop(ticket.organisation)
            self._count(ticket, -ticket.cost_tokens)
        else:
            del self._late[bisect.bisect_left(self._late, key)]

    def take(self, ticket: Ticket) -> None:
        self.remove(ticket)
        if ticket.organisation in self._deficit_by_organisation:
            self._deficit_by_organisation[ticket.organisation] -= ticket.cost_tokens
        self.credit = max(0.0, self.credit - ticket.cost_tokens)

    def in_time(self, now_s: float) -> Ticket | None:
        """Next request that can still meet its target, by deficit round robin."""
        queues = self._queue_by_organisation
        while queues:
            organisation, queue = next(iter(queues.items()))
            while queue and queue[0][0] < now_s:
                late = queue.pop(0)
                bisect.insort(self._late, late)
                self._count(late[2], -late[2].cost_tokens)
            if not queue:
                self._drop(organisation)
                continue
            cost = queue[0][2].cost_tokens
            if self._deficit_by_organisation.get(organisation, 0.0) >= cost:
                return queue[0][2]
            queues.move_to_end(organisation)
            deficit = self._deficit_by_organisation.get(organisation, 0.0)
            self._deficit_by_organisation[organisation] = deficit + QUANTUM_TOKENS
        return None

    def late(self) -> Ticket | None:
        return self._late[0][2] if self._late else None

    def last_of_largest(self) -> Ticket | None:
        """Request to give up first: the last one of the organisation with most waiting."""
        if self._late:
            return self._late[-1][2]
        if not self._queue_by_organisation:
            return None
        largest = max(self._queue_by_organisation, key=self.tokens_by_organisation.__getitem__)
        return self._queue_by_organisation[largest][-1][2]

    def offer(self, ticket: Ticket, now_s: float) -> None:
        """Add a new request and count it as demand."""
        self.add(ticket)
        self.offered.add(ticket.cost_tokens, now_s)
        own = self._offered_by_organisation.setdefault(ticket.organisation, _rates.OfferedRate())
        own.add(ticket.cost_tokens, now_s)

    def predicted_wait_s(
        self, organisation: ids.OrganisationId, cost: float, rate: float, now_s: float
    ) -> float:
        """Wait of a new request of an organisation when the class starts `rate` tokens a second.

        Requests of others that arrive later still go first while this organisation has more
        waiting than they have, so its own part of the rate counts.
        """
        own = self.tokens_by_organisation.get(organisation, 0.0)
        others = len(self.tokens_by_organisation) - (organisation in self.tokens_by_organisation)
        round_s = min(self.tokens, others * max(cost, QUANTUM_TOKENS)) / rate
        own_offered = self._offered_by_organisation.get(organisation)
        arriving = self.offered.rate(now_s) - (own_offered.rate(now_s) if own_offered else 0.0)
        return max(round_s, own / max(rate / (others + 1), rate - arriving))

    def _drop(self, organisation: ids.OrganisationId) -> None:
        del self._queue_by_organisation[organisation]
        self._deficit_by_organisation.pop(organisation, None)

    def _count(self, ticket: Ticket, tokens: float) -> None:
        by_organisation = self.tokens_by_organisation
        by_organisation[ticket.organisation] = (
            by_organisation.get(ticket.organisation, 0.0) + tokens
        )
        if by_organisation[ticket.organisation] <= 0.5:
            del by_organisation[ticket.organisation]
            self._offered_by_organisation.pop(ticket.organisation, None)
        # Setting 0 here keeps rounding errors from adding up.
        self.tokens = self.tokens + tokens if by_organisation else 0.0


class _ModelQueue:
    """Waiting requests of one model."""

    def __init__(self) -> None:
        self.rate = _rates.ServiceRate()
        self.lane_by_class: dict[ids.ClassName, _Lane] = {}

    def lane(self, class_of_work: declarations.ClassOfWork) -> _Lane:
        lane = self.lane_by_class.get(class_of_work.name)
        if lane is None:
            lane = self.lane_by_class[class_of_work.name] = _Lane(class_of_work)
        return lane

    def lanes(self) -> list[_Lane]:
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
        rate = self.rate.at(now_s)
        arriving = sum(lane.offered.rate(now_s) for lane in higher)
        left = max(MINIMUM_SHARE * rate, rate - arriving)
        before_s = sum(lane.tokens for lane in higher) / left
        return before_s + own.predicted_wait_s(organisation, cost, left, now_s)

    def next(self, passed_over: frozenset[ids.ClassName], now_s: float) -> Ticket | None:
        lanes = [lane for lane in self.lanes() if lane.class_of_work.name not in passed_over]
        heads = [(lane, lane.in_time(now_s)) for lane in lanes]
        for lane, ticket in heads:
            owed = ticket or lane.late()
            if len(lanes) > 1 and owed is not None and lane.credit >= owed.cost_tokens:
                return owed
        for _, ticket in heads:
            if ticket is not None:
                return ticket
        return next((late for lane in lanes if (late := lane.late()) is not None), None)

    def take(self, ticket: Ticket, now_s: float) -> None:
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
        """Remove and return the requests whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now_s:
            ticket = self._ticket_by_number[self._deadlines[0][1]]
            self.cancel(ticket, now_s)
            expired.append(ticket)
        return tuple(expired)

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
