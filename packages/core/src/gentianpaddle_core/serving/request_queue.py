"""Queue of requests that wait for a server, and its admission control.

Under an overload of some seconds, a first-in, first-out queue would make every answer late.
Requests that can still meet their target therefore start first, by the latest start that meets it.
Late requests use the remaining capacity and a fixed share of the starts, by their deadlines, so
that none starves. A request that cannot be served before it is given up is rejected at once. One
that has waited until its caller is about to leave is rejected too, so that the caller comes back.

Classes of work of differing priority, and organisations of which some send in bursts, compete for
the same servers. Higher priorities therefore start first, then the organisation that has used the
least slot time in the last seconds. When more waits than can be served in time, the request that is
last in this order is rejected, and one start in four goes to those that the order leaves behind.
With one priority and without organisations, none of this has an effect.
"""

from __future__ import annotations

import collections
import math
import typing
from collections.abc import Callable

from gentianpaddle_core.serving import answer_times, queued_requests, recent_load, wait_estimate

T = typing.TypeVar("T")

QueuedRequest: typing.TypeAlias = queued_requests.QueuedRequest
RequestGroup: typing.TypeAlias = queued_requests.RequestGroup

DURATION_EWMA_WEIGHT = 0.05
"""Weight of the newest request in the moving average of durations; the last 45 requests have about
90 % of the total weight."""

INITIAL_DURATION_S = 1.0
"""Duration in seconds that is assumed until the first request has ended; a stream takes about
1.3 s."""

MIN_REMAINING_RATIO = 0.7
"""Minimum time left for a request to be started, relative to the mean duration."""

FIRST_EVENT_ALLOWANCE_S = 0.2
"""Minimum part of the latency target that an engine needs until the first event: about two passes
and the processing of a prompt."""

LATE_TURN_INTERVAL = 4
"""Every n-th start goes to a request that the order leaves behind: one of another priority than the
first one on time, or a late one. All lower priorities together get this share of the starts."""

STARVING_RATIO = 0.5
"""Share of its requests, relative to that of all, below which an organisation counts as starving.
Twice the quarter that each organisation must get, so that its starts come before that is missed."""

RETRY_AFTER_RANGE_S = (0.1, 2.0)
"""Minimum and maximum time in seconds after which a rejected caller is told to retry; callers
honour at most a third of the time they have left."""

HONOURED_SHARE = 1.0 / 3.0
"""Maximum Retry-After that callers honour, relative to the time they have left."""


class RequestQueue(typing.Generic[T]):
    """Queue of the requests of one service at one process."""

    def __init__(self) -> None:
        self._entries: list[QueuedRequest[T]] = []
        self._duration_s: float | None = None
        self._started_count = 0
        self.expected_times: answer_times.AnswerTimes | None = None
        """Times that answers take at the present pace of the engines, or None if not known."""
        self._lower_started = False
        """Whether, since the last start out of order, a request started while one of a higher
        priority waited."""
        self._load_by_level: recent_load.RecentLoad[queued_requests.Level] = (
            recent_load.RecentLoad()
        )
        self._load_by_organisation: recent_load.RecentLoad[str | None] = recent_load.RecentLoad()

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, waiting: QueuedRequest[T]) -> None:
        """Queue a request.

        Args:
            waiting: The request.
        """
        self._entries.append(waiting)

    def discard(self, item: T) -> None:
        """Remove a cancelled request.

        Args:
            item: The request.
        """
        self._entries = [entry for entry in self._entries if entry.item is not item]

    def waiting(self) -> list[QueuedRequest[T]]:
        """Return the queued requests in the order of their arrival."""
        return list(self._entries)

    def next_to_start(self, now_s: float) -> QueuedRequest[T] | None:
        """Return the request to start next, or None if the queue is empty.

        Args:
            now_s: Monotonic time in seconds.
        """
        late = [entry for entry in self._entries if entry.start_by_s < now_s]
        on_time = [entry for entry in self._entries if entry.start_by_s >= now_s]
        if self._started_count % LATE_TURN_INTERVAL == LATE_TURN_INTERVAL - 1:
            left_behind = self._left_behind(late, on_time, now_s)
            if left_behind:
                late = [entry for entry in left_behind if entry.start_by_s < now_s]
                on_time = [] if late else left_behind
        if on_time:
            return self._first_on_time(on_time, now_s)
        return min(late, key=queued_requests.late_order) if late else None

    def _first_on_time(self, on_time: list[QueuedRequest[T]], now_s: float) -> QueuedRequest[T]:
        organisations = queued_requests.organisations(self._entries)
        if len(organisations) < 2:
            return min(on_time, key=lambda entry: (entry.group.level, entry.start_by_s))
        used_s_by_organisation = {
            each: self._load_by_organisation.slot_time_s(each, now_s) for each in organisations
        }
        return min(
            on_time,
            key=lambda entry: (
                entry.group.level,
                used_s_by_organisation[entry.group.organisation],
                entry.start_by_s,
            ),
        )

    def _left_behind(
        self, late: list[QueuedRequest[T]], on_time: list[QueuedRequest[T]], now_s: float
    ) -> list[QueuedRequest[T]]:
        """Return the requests of which one may start out of order; empty if there are none."""
        first_level = min((entry.group.level for entry in on_time or late), default=None)
        others = [entry for entry in self._entries if entry.group.level != first_level]
        starving = self._starving_organisation(now_s)
        if starving:
            own = [
                entry
                for entry in (others or self._entries)
                if entry.group.organisation == starving[0]
            ]
            if own:
                return own
        if not others or self._lower_started:
            return late if on_time else []
        level = min(
            {entry.group.level for entry in others},
            key=lambda each: (self._load_by_level.served_ratio(each, now_s), each),
        )
        return [entry for entry in others if entry.group.level == level]

    def _starving_organisation(self, now_s: float) -> tuple[str | None] | None:
        """Return the waiting organisation that is served least, if that is far too little."""
        organisations = queued_requests.organisations(self._entries)
        if len(organisations) < 2:
            return None
        load = self._load_by_organisation
        ratio, name = min(
            ((load.served_ratio(each, now_s), each) for each in organisations),
            key=lambda item: (item[0], item[1] or ""),
        )
        return (name,) if ratio < STARVING_RATIO * load.mean_served_ratio(now_s) else None

    def remove_started(self, waiting: QueuedRequest[T]) -> None:
        """Remove a request that is started.

        Args:
            waiting: Request returned by `next_to_start`.
        """
        self._started_count += 1
        self._entries.remove(waiting)
        if self._started_count % LATE_TURN_INTERVAL == 0:
            self._lower_started = False
        elif any(entry.group.level < waiting.group.level for entry in self._entries):
            self._lower_started = True

    def limit_end(self, end_s: float) -> None:
        """Give up the queued requests that cannot be served until a time.

        Args:
            end_s: Monotonic time in seconds at which all work ends.
        """
        latest_start_s = self.latest_start_s(end_s, None)
        for entry in self._entries:
            entry.end_s = min(entry.end_s, latest_start_s)

    def pop_expired(self, now_s: float) -> list[QueuedRequest[T]]:
        """Remove and return the requests that are no longer worth starting.

        Args:
            now_s: Monotonic time in seconds.
        """
        return self._pop(lambda entry: entry.end_s <= now_s)

    def pop_items(self, condition: Callable[[T], bool]) -> list[QueuedRequest[T]]:
        """Remove and return the requests for which a condition holds.

        Args:
            condition: The condition.
        """
        return self._pop(lambda entry: condition(entry.item))

    def _pop(self, condition: Callable[[QueuedRequest[T]], bool]) -> list[QueuedRequest[T]]:
        popped = [entry for entry in self._entries if condition(entry)]
        self._remove(popped)
        return popped

    def _remove(self, entries: list[QueuedRequest[T]]) -> None:
        if entries:
            removed = {id(entry) for entry in entries}
            self._entries = [entry for entry in self._entries if id(entry) not in removed]

    def record_duration(self, duration_s: float) -> None:
        """Record the duration of a request of this service that has ended.

        Args:
            duration_s: Time for which the request occupied a slot, in seconds.
        """
        previous_mean_s = self._duration_s
        self._duration_s = (
            duration_s
            if previous_mean_s is None
            else previous_mean_s + DURATION_EWMA_WEIGHT * (duration_s - previous_mean_s)
        )

    @property
    def duration_s(self) -> float:
        """Mean time for which a request occupies a slot, in seconds."""
        if self.expected_times is not None:
            return self.expected_times.duration_s
        return self._duration_s if self._duration_s is not None else INITIAL_DURATION_S

    @property
    def first_event_allowance_s(self) -> float:
        """Time that is kept for an engine until the first event, in seconds."""
        if self.expected_times is None:
            return FIRST_EVENT_ALLOWANCE_S
        return max(FIRST_EVENT_ALLOWANCE_S, self.expected_times.first_event_s)

    def latest_start_s(self, end_s: float, leaves_s: float | None) -> float:
        """Return the time from which a request is no longer worth starting.

        Args:
            end_s: Monotonic time in seconds at which the request is given up.
            leaves_s: Monotonic time in seconds at which its caller leaves if no event has arrived,
                or None if the caller waits for the end.
        """
        by_duration_s = end_s - MIN_REMAINING_RATIO * self.duration_s
        if leaves_s is None:
            return by_duration_s
        return min(by_duration_s, leaves_s - self.first_event_allowance_s)

    def record_arrival(self, group: RequestGroup, now_s: float) -> None:
        """Record the arrival of a request, whether it has to wait or not.

        Args:
            group: Priority and organisation of the request.
            now_s: Monotonic time in seconds.
        """
        self._load_by_level.record_arrival(group.level, now_s)
        self._load_by_organisation.record_arrival(group.organisation, now_s)

    def record_start(self, group: RequestGroup, now_s: float) -> None:
        """Record the start of a request, whether it had to wait or not.

        Args:
            group: Priority and organisation of the request.
            now_s: Monotonic time in seconds.
        """
        self._load_by_level.record_start(group.level, self.duration_s, now_s)
        self._load_by_organisation.record_start(group.organisation, self.duration_s, now_s)

    def record_end(self, group: RequestGroup, duration_s: float | None, now_s: float) -> None:
        """Record that a started request has left its slot.

        Args:
            group: Priority and organisation of the request.
            duration_s: Time for which it occupied the slot, in seconds, or None if it was not
                served.
            now_s: Monotonic time in seconds.
        """
        self._load_by_organisation.correct_slot_time(
            group.organisation, (duration_s or 0.0) - self.duration_s, now_s
        )
        if duration_s is not None:
            self.record_duration(duration_s)

    def pop_unservable(
        self, newcomer: QueuedRequest[T], available_slots: float, now_s: float
    ) -> list[QueuedRequest[T]]:
        """Remove and return the requests that a new one makes impossible to serve in time.

        These are the new request itself, requests of lower priority, and, if the new one would have
        no place after all those that expire before it, requests of the same priority from other
        organisations. Requests that may have run at a server stay.

        Args:
            newcomer: Request that was just added.
            available_slots: Number of slots at the servers available to this process.
            now_s: Monotonic time in seconds.
        """
        popped: list[QueuedRequest[T]] = []
        levels = {entry.group.level for entry in self._entries}
        level = newcomer.group.level
        by_deadline = self._new_estimate(levels, available_slots, now_s)
        for entry in self._entries:
            each = entry.group.level
            is_ahead = each < level or (each == level and entry.expires_s <= newcomer.expires_s)
            if is_ahead and entry is not newcomer:
                by_deadline.add(each)
        too_long = now_s + by_deadline.wait_s(level) > newcomer.end_s
        estimate = self._new_estimate(levels, available_slots, now_s)
        for entry in queued_requests.expected_order(self._entries):
            group = entry.group
            yields = group.level > level or (
                too_long
                and group.level == level
                and group.organisation != newcomer.group.organisation
            )
            may_be_removed = entry is newcomer or (yields and entry.displaceable)
            if may_be_removed and now_s + estimate.wait_s(group.level) > entry.end_s:
                popped.append(entry)
            else:
                estimate.add(group.level)
        self._remove(popped)
        return popped

    def expected_wait_s(
        self,
        available_slots: float,
        expires_s: float = math.inf,
        group: RequestGroup | None = None,
        now_s: float = -math.inf,
    ) -> float:
        """Return the expected wait in seconds of a request that arrives now.

        The estimate uses the number of slots rather than the recent rate of completions: nothing
        completes while a group of engines is down, and queued requests are served when it is back.

        Args:
            available_slots: Number of slots at the servers available to this process.
            expires_s: Deadline of the request. Those that expire later do not delay it.
            group: Priority and organisation of the request.
            now_s: Monotonic time in seconds.
        """
        group = group or RequestGroup()
        estimate = self._new_estimate(
            {entry.group.level for entry in self._entries} | {group.level}, available_slots, now_s
        )
        own = 0
        others: collections.Counter[str | None] = collections.Counter()
        for entry in self._entries:
            each = entry.group
            if each.level < group.level:
                estimate.add(each.level)
            elif each.level == group.level and each.organisation == group.organisation:
                own += entry.expires_s <= expires_s
            elif each.level == group.level:
                others[each.organisation] += 1
        # The organisations of a priority take turns.
        estimate.add(group.level, own + sum(min(count, own + 1) for count in others.values()))
        return estimate.wait_s(group.level)

    def _new_estimate(
        self, waiting_levels: set[queued_requests.Level], available_slots: float, now_s: float
    ) -> wait_estimate.WaitEstimate:
        return wait_estimate.WaitEstimate(
            available_slots,
            self.duration_s,
            1.0 / LATE_TURN_INTERVAL,
            self._load_by_level.arrival_rates_per_s(now_s),
            waiting_levels,
        )

    def retry_after_s(
        self,
        available_slots: float,
        any_open: bool,
        draw: float,
        group: RequestGroup | None = None,
        remaining_s: float = math.inf,
        now_s: float = -math.inf,
    ) -> float:
        """Return the time in seconds after which a rejected caller may retry.

        Args:
            available_slots: Number of slots at the servers available to this process.
            any_open: Whether a server accepts requests at present. If none does, it is not known
                when one will, and an early retry would only be rejected again.
            draw: Random number from 0 to 1 that spreads the retries.
            group: Priority and organisation of the request.
            remaining_s: Time in seconds that the caller has left. It limits the result only while
                requests of differing priorities arrive.
            now_s: Monotonic time in seconds.
        """
        shortest, longest = RETRY_AFTER_RANGE_S
        wait_s = (
            self.expected_wait_s(available_slots, math.inf, group, now_s) if any_open else longest
        )
        latest_s = min(longest, max(2.0 * shortest, wait_s))
        if len(self._load_by_level.arrival_rates_per_s(now_s)) > 1:
            latest_s = min(latest_s, max(shortest, HONOURED_SHARE * remaining_s))
        return max(shortest, latest_s * (0.5 + 0.5 * draw))
