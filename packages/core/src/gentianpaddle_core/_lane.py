"""Waiting requests of one class at one model, by organisation and deadline."""

from __future__ import annotations

import bisect
import collections
import dataclasses

from gentianpaddle_core import _rates, declarations, ids

QUANTUM_TOKENS = 4_096.0
"""Expected tokens that an organisation may start per round of its class."""
IN_TIME_SHARE = 0.7
"""Share of the first-token target that may pass in the queue; the rest is for the server."""


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


class Lane:
    """Waiting requests of one class at one model."""

    def __init__(self, class_of_work: declarations.ClassOfWork) -> None:
        """Create an empty lane."""
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
        self.late_tokens = 0.0

    def __bool__(self) -> bool:
        return bool(self._queue_by_organisation or self._late)

    def remove(self, ticket: Ticket) -> None:
        """Remove a request that is in the lane."""
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
            self.late_tokens = self.late_tokens - ticket.cost_tokens if self._late else 0.0

    def take(self, ticket: Ticket) -> None:
        """Remove a request that starts, and charge it to its organisation."""
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
                self.late_tokens += late[2].cost_tokens
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
        """First of the requests that can no longer meet their target."""
        return self._late[0][2] if self._late else None

    def last_late(self) -> Ticket | None:
        """Last of the requests that can no longer meet their target."""
        return self._late[-1][2] if self._late else None

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
        key = (ticket.in_time_until_s, ticket.number, ticket)
        bisect.insort(self._queue_by_organisation.setdefault(ticket.organisation, []), key)
        self._count(ticket, ticket.cost_tokens)
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
