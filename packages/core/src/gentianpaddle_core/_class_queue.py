"""Queue of the waiting requests of one class and model, by organisation and deadline."""

from __future__ import annotations

import bisect
import collections
import dataclasses

from gentianpaddle_core import _rates, declarations, ids

QUANTUM_TOKENS = 4_096.0
"""Deficit round robin quantum: tokens that an organisation may start per round of its class."""
IN_TIME_SHARE = 0.7
"""Share of the first-token target that may pass in the queue; the rest is left for the server."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A waiting request."""

    number: int
    """Sequence number in order of arrival."""
    model: ids.ModelName
    """Requested model or plain service."""
    organisation: ids.OrganisationId
    """Organisation that sent the request."""
    class_of_work: declarations.ClassOfWork
    """Class of work of the request."""
    arrived_s: float
    """Monotonic time of arrival."""
    cost_tokens: float
    """Expected tokens of prompt and answer."""

    @property
    def latest_start_s(self) -> float:
        """Latest monotonic time of a start that can still meet the first-token target."""
        return self.arrived_s + IN_TIME_SHARE * self.class_of_work.first_token_s

    @property
    def deadline_s(self) -> float:
        """Monotonic time after which an answer is of no use to the caller."""
        return self.arrived_s + self.class_of_work.deadline_s


class ClassQueue:
    """Queue of the waiting requests of one class and model."""

    def __init__(self, class_of_work: declarations.ClassOfWork) -> None:
        """Create an empty queue."""
        self.class_of_work = class_of_work
        self.credit = 0.0
        self.in_time_tokens = 0.0
        """Cost, in tokens, of the waiting requests that can still meet their target."""
        self.offered_rate = _rates.OfferedRate()
        self.tokens_by_organisation: dict[ids.OrganisationId, float] = {}
        self._offered_rate_by_organisation: dict[ids.OrganisationId, _rates.OfferedRate] = {}
        self._deficit_by_organisation: dict[ids.OrganisationId, float] = {}
        self._queue_by_organisation: collections.OrderedDict[
            ids.OrganisationId, list[tuple[float, int, Ticket]]
        ] = collections.OrderedDict()
        self._late: list[tuple[float, int, Ticket]] = []
        self.late_tokens = 0.0

    def __bool__(self) -> bool:
        return bool(self._queue_by_organisation or self._late)

    def remove(self, ticket: Ticket) -> None:
        """Remove a request that is in the queue."""
        key = (ticket.latest_start_s, ticket.number, ticket)
        queue = self._queue_by_organisation.get(ticket.organisation, [])
        position = bisect.bisect_left(queue, key)
        if position < len(queue) and queue[position] == key:
            del queue[position]
            if not queue:
                self._remove_organisation(ticket.organisation)
            self._add_tokens(ticket, -ticket.cost_tokens)
        else:
            del self._late[bisect.bisect_left(self._late, key)]
            self.late_tokens = self.late_tokens - ticket.cost_tokens if self._late else 0.0

    def take(self, ticket: Ticket) -> None:
        """Remove a request that starts, and charge its cost to its organisation and class."""
        self.remove(ticket)
        if ticket.organisation in self._deficit_by_organisation:
            self._deficit_by_organisation[ticket.organisation] -= ticket.cost_tokens
        self.credit = max(0.0, self.credit - ticket.cost_tokens)

    def next_in_time(self, now_s: float) -> Ticket | None:
        """Return the next request that can still meet its target, by deficit round robin."""
        queues = self._queue_by_organisation
        while queues:
            organisation, queue = next(iter(queues.items()))
            while queue and queue[0][0] < now_s:
                late = queue.pop(0)
                bisect.insort(self._late, late)
                self.late_tokens += late[2].cost_tokens
                self._add_tokens(late[2], -late[2].cost_tokens)
            if not queue:
                self._remove_organisation(organisation)
                continue
            cost = queue[0][2].cost_tokens
            if self._deficit_by_organisation.get(organisation, 0.0) >= cost:
                return queue[0][2]
            queues.move_to_end(organisation)
            deficit = self._deficit_by_organisation.get(organisation, 0.0)
            self._deficit_by_organisation[organisation] = deficit + QUANTUM_TOKENS
        return None

    def first_late(self) -> Ticket | None:
        """Return the first of the requests that can no longer meet their target."""
        return self._late[0][2] if self._late else None

    def last_late(self) -> Ticket | None:
        """Return the last of the requests that can no longer meet their target."""
        return self._late[-1][2] if self._late else None

    def displacement_candidate(self) -> Ticket | None:
        """Return the request to displace first when the queue is full.

        This is the last late request, else the last one of the organisation with the most waiting
        tokens.
        """
        if self._late:
            return self._late[-1][2]
        if not self._queue_by_organisation:
            return None
        largest = max(self._queue_by_organisation, key=self.tokens_by_organisation.__getitem__)
        return self._queue_by_organisation[largest][-1][2]

    def offer(self, ticket: Ticket, now_s: float) -> None:
        """Add a new request and count its cost in the offered rates."""
        key = (ticket.latest_start_s, ticket.number, ticket)
        bisect.insort(self._queue_by_organisation.setdefault(ticket.organisation, []), key)
        self._add_tokens(ticket, ticket.cost_tokens)
        self.offered_rate.add(ticket.cost_tokens, now_s)
        own = self._offered_rate_by_organisation.setdefault(
            ticket.organisation, _rates.OfferedRate()
        )
        own.add(ticket.cost_tokens, now_s)

    def predicted_wait_s(
        self, organisation: ids.OrganisationId, cost: float, rate: float, now_s: float
    ) -> float:
        """Return the wait of a new request when the class starts `rate` tokens per second.

        Requests of other organisations that arrive later still start first while this organisation
        has more tokens waiting than they have. The wait therefore depends on the share of the rate
        that is left for this organisation.
        """
        own = self.tokens_by_organisation.get(organisation, 0.0)
        others = len(self.tokens_by_organisation) - (organisation in self.tokens_by_organisation)
        round_s = min(self.in_time_tokens, others * max(cost, QUANTUM_TOKENS)) / rate
        own_offered_rate = self._offered_rate_by_organisation.get(organisation)
        arriving_rate = self.offered_rate.rate(now_s) - (
            own_offered_rate.rate(now_s) if own_offered_rate else 0.0
        )
        return max(round_s, own / max(rate / (others + 1), rate - arriving_rate))

    def _remove_organisation(self, organisation: ids.OrganisationId) -> None:
        del self._queue_by_organisation[organisation]
        self._deficit_by_organisation.pop(organisation, None)

    def _add_tokens(self, ticket: Ticket, delta: float) -> None:
        by_organisation = self.tokens_by_organisation
        by_organisation[ticket.organisation] = by_organisation.get(ticket.organisation, 0.0) + delta
        if by_organisation[ticket.organisation] <= 0.5:
            del by_organisation[ticket.organisation]
            self._offered_rate_by_organisation.pop(ticket.organisation, None)
        # The reset to 0 prevents rounding errors from accumulating.
        self.in_time_tokens = self.in_time_tokens + delta if by_organisation else 0.0
