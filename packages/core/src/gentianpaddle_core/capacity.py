"""Concurrency limit of one backend server and its division among entries.

The agent owns the limit, which is the number of concurrent attempts that its backend server accepts
now. Each entry receives its part as a grant. A grant is advisory and avoids declined attempts; the
limit is enforced by `Capacity.try_acquire`, which does not depend on the view of an entry.
"""

from __future__ import annotations

import collections
import dataclasses
import enum

from gentianpaddle_core import ids

GRANT_LIFETIME_S = 2.0
"""Time, in seconds, after which the agent no longer counts a grant that was not issued again."""
GRANT_MARGIN_S = 0.5
"""Time, in seconds, by which an entry stops using a grant earlier than the agent stops counting
it; covers the transfer of the message."""
ROTATION_INTERVAL_S = 0.5
"""Shortest time, in seconds, for which an entry keeps a unit that rotates among entries."""
ENTRY_TIMEOUT_S = 2.0
"""Time without a heartbeat, in seconds, after which an entry counts as having no demand."""
MAX_ENTRIES = 1_024
"""Largest number of entries with grants; at the design size 9 of 360 entries are linked."""
GROWTH_PER_COMPLETION = 0.25
"""Growth of the limit per timely completion, thus at most 25 % per round of completions."""
GROWTH_MINIMUM_UTILISATION = 0.5
"""Minimum share of the limit that must be in use for it to grow, so that every limit has been
tested under load."""
COLD_RATE_SHARE = 0.4
"""Share of the recent token rate, in total and per attempt, below which an engine counts as
cold."""
COLD_CACHE_SHARE = 0.1
"""Share of the prefix cache below which a decrease between two reports counts as a loss of the
cache and not as eviction."""
MINIMUM_CACHE_TOKENS = 1_024
"""Prefix cache size in tokens below which a decrease is no evidence of a loss."""
RATE_WEIGHT = 0.25
"""Weight of a new report in the smoothed recent token rate."""
PRESSURE_HEADROOM = 0.9
"""Share of the configured maximum of a resource that admitted attempts may be expected to use."""


class ColdCause(enum.StrEnum):
    """Reason why a backend server counts as cold."""

    STARTED = "started"
    ENGINE_INCARNATION = "engine_incarnation"
    CACHE_LOST = "cache_lost"
    RATE_FELL = "rate_fell"
    ENGINE_LOST = "engine_lost"
    NEW_VERSION = "new_version"


@dataclasses.dataclass(frozen=True, slots=True)
class CapacitySettings:
    """Settings of the concurrency limit."""

    maximum: int
    """Largest limit, in concurrent attempts."""
    expected_step_s: float
    """Step time in seconds above which a step is slow; for a plain service the response time."""
    growth: float = GROWTH_PER_COMPLETION
    """Growth of the limit per timely completion."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """Load report of an engine, which may be delayed."""

    incarnation: int
    """Incarnation number, which increases with each start of the engine."""
    step_s: float | None = None
    """Duration of the last step in seconds, None without a step since the last report."""
    tokens_per_s: float | None = None
    """Tokens processed per second, prompt tokens included; None if not reported."""
    running: int = 0
    """Number of attempts that the engine runs."""
    cached_tokens: int | None = None
    """Number of tokens in the prefix cache, None if not reported."""


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Permission for a number of concurrent attempts of one entry at the backend server."""

    entry: ids.VmId
    """Entry that holds the grant."""
    amount: int
    """Number of concurrent attempts, 0 or more."""
    epoch: int
    """Sequence number within the incarnation of the agent; a higher epoch replaces a lower one."""


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityView:
    """Capacity state that the agent reports."""

    limit: int
    """Number of concurrent attempts that are admitted now."""
    running: int
    """Number of admitted attempts that have not ended."""
    outstanding: int
    """Sum of the grants that entries may still use."""
    cold_cause: ColdCause | None
    """Cause of the last reset to 1, None once the limit has reached its maximum since."""


@dataclasses.dataclass(slots=True)
class _IssuedGrant:
    epoch: int
    amount: int
    expires_s: float


@dataclasses.dataclass(slots=True)
class _EntryState:
    last_heartbeat_s: float
    demand: int = 0
    running: int = 0
    issued: collections.deque[_IssuedGrant] = dataclasses.field(default_factory=collections.deque)
    """Grants that may still be in use, with increasing epochs and strictly decreasing amounts."""
    rotating_since_s: float | None = None
    """Monotonic time since which the entry holds a rotating unit, None if it holds none."""

    def outstanding(self, now_s: float) -> int:
        while self.issued and self.issued[0].expires_s <= now_s:
            self.issued.popleft()
        return self.issued[0].amount if self.issued else 0


class Capacity:
    """Concurrency limit of one backend server, with the running attempts and the issued grants."""

    def __init__(self, settings: CapacitySettings) -> None:
        """Create the capacity of a cold server; use `new_capacity`."""
        self._settings = settings
        self._maximum = settings.maximum
        self._fractional_limit = 1.0
        self._pressure_ceiling: int | None = None
        self._available = True
        self._cold_cause: ColdCause | None = ColdCause.STARTED
        self._round_completions_left = 0
        self._running = 0
        self._epoch = 0
        self._entry_by_id: dict[ids.VmId, _EntryState] = {}
        self._engine_incarnation: int | None = None
        self._rate: float | None = None
        self._rate_per_attempt: float | None = None
        self._cached_tokens: int | None = None

    @property
    def limit(self) -> int:
        """Number of concurrent attempts admitted now; 0 only while the engine is unavailable."""
        if not self._available:
            return 0
        ceiling = self._maximum
        if self._pressure_ceiling is not None:
            ceiling = min(ceiling, self._pressure_ceiling)
        return max(1, min(int(self._fractional_limit), ceiling))

    @property
    def running(self) -> int:
        """Number of admitted attempts that have not ended."""
        return self._running

    def view(self, now_s: float) -> CapacityView:
        """Return the capacity state that the agent reports."""
        outstanding = sum(entry.outstanding(now_s) for entry in self._entry_by_id.values())
        return CapacityView(self.limit, self._running, outstanding, self._cold_cause)

    def try_acquire(self, now_s: float, entry: ids.VmId) -> bool:
        """Acquire a place for one attempt if the limit allows it.

        Args:
            now_s: Monotonic time in seconds.
            entry: Entry that sent the attempt.

        Returns:
            Whether there was a place, which depends only on the limit and not on the grant.
        """
        if self._running >= self.limit:
            return False
        self._running += 1
        self._entry_state(now_s, entry).running += 1
        return True

    def release(self, now_s: float, entry: ids.VmId, step_s: float | None) -> None:
        """Release the place of an attempt that has ended.

        Args:
            now_s: Monotonic time in seconds.
            entry: Entry whose attempt ended.
            step_s: Mean time of a step of the attempt in seconds, for a plain service its response
                time; None when the attempt did not complete.
        """
        utilised = self._running >= GROWTH_MINIMUM_UTILISATION * self.limit
        in_round = self._round_completions_left > 0
        self._running -= 1
        self._entry_state(now_s, entry).running -= 1
        if in_round:
            # Attempts that started before a decrease are no evidence about the limit after it.
            self._round_completions_left -= 1
        elif step_s is None:
            return
        elif step_s > self._settings.expected_step_s:
            self._decrease_limit()
        elif utilised:
            self._fractional_limit = min(
                self._fractional_limit + self._settings.growth, float(self._maximum)
            )
            if self._fractional_limit >= self._maximum:
                self._cold_cause = None

    def apply_engine_report(self, now_s: float, report: EngineReport) -> ColdCause | None:
        """Apply a load report of the engine.

        Args:
            now_s: Monotonic time in seconds.
            report: The report. A report of an earlier incarnation of the engine is ignored.

        Returns:
            Reason why the backend server turned cold with this report, None if it did not.
        """
        known = self._engine_incarnation
        if known is not None and report.incarnation < known:
            return None
        self._available = True
        self._engine_incarnation = report.incarnation
        cause = None
        if known is not None and report.incarnation > known:
            cause = ColdCause.ENGINE_INCARNATION
        elif self._cache_lost(report):
            cause = ColdCause.CACHE_LOST
        elif self._rate_fell(report):
            cause = ColdCause.RATE_FELL
        if cause is not None:
            self.reset_to_cold(now_s, cause)
        elif report.step_s is not None and report.step_s > self._settings.expected_step_s:
            self._decrease_limit()
        self._update_baseline(report)
        return cause

    def suspend(self) -> None:
        """Admit no attempts until the next report, because a call to the engine has just failed.

        Otherwise entries would spend their retries on a server that is restarting. Unlike
        `mark_engine_lost` this keeps the limit, because the failure may concern that one call only.
        """
        self._available = False

    def mark_engine_lost(self, now_s: float) -> None:
        """Admit no attempts until the engine reports again, then ramp up from a limit of 1."""
        self.reset_to_cold(now_s, ColdCause.ENGINE_LOST)
        self._available = False

    def reset_to_cold(self, now_s: float, cause: ColdCause) -> None:
        """Reset the limit to 1 immediately.

        Args:
            now_s: Monotonic time in seconds.
            cause: Reason why the backend server counts as cold.
        """
        self._fractional_limit = 1.0
        self._round_completions_left = self._running
        self._cold_cause = cause
        self._rate = self._rate_per_attempt = self._cached_tokens = None

    def set_maximum(self, now_s: float, maximum: int) -> None:
        """Change the configured maximum of concurrent attempts."""
        self._maximum = maximum
        self._fractional_limit = min(self._fractional_limit, float(maximum))

    def apply_pressure(self, now_s: float, used_share: float) -> None:
        """Cap the limit so that the most used resource stays within its configured maximum.

        Args:
            now_s: Monotonic time in seconds.
            used_share: Share of the configured maximum of a resource (cache memory, waiting tokens)
                that the running attempts use; above 1 when the maximum is exceeded.
        """
        if self._running == 0 or used_share <= 0.0:
            self._pressure_ceiling = None
        else:
            ceiling = int(PRESSURE_HEADROOM * self._running / used_share)
            self._pressure_ceiling = max(1, ceiling)

    def apply_heartbeat(
        self, now_s: float, entry: ids.VmId, demand: int, acknowledged_epoch: int = 0
    ) -> None:
        """Apply a heartbeat of an entry.

        Args:
            now_s: Monotonic time in seconds.
            entry: Entry that sent it.
            demand: Number of attempts for this backend server that wait or run at the entry.
            acknowledged_epoch: Highest epoch of a grant that the entry has applied.
        """
        if entry not in self._entry_by_id and len(self._entry_by_id) >= MAX_ENTRIES:
            return
        state = self._entry_state(now_s, entry)
        state.last_heartbeat_s = now_s
        state.demand = max(0, demand)
        if state.issued and acknowledged_epoch <= state.issued[-1].epoch:
            while state.issued[0].epoch < acknowledged_epoch:
                state.issued.popleft()

    def remove_entry(self, now_s: float, entry: ids.VmId) -> None:
        """Stop issuing grants to an entry whose link is closed.

        The grants it already has count until they expire.
        """
        if entry in self._entry_by_id:
            state = self._entry_by_id[entry]
            state.demand = 0
            state.last_heartbeat_s = now_s - ENTRY_TIMEOUT_S

    def issue_grants(self, now_s: float) -> tuple[Grant, ...]:
        """Issue a grant to each live entry.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            One grant for each entry, to send at once. A grant that is not issued again within
            `GRANT_LIFETIME_S` expires.
        """
        self._remove_idle_entries(now_s)
        for name, entry in list(self._entry_by_id.items()):
            if (
                entry.rotating_since_s is not None
                and now_s - entry.rotating_since_s >= ROTATION_INTERVAL_S
            ):
                entry.rotating_since_s = None
                self._entry_by_id[name] = self._entry_by_id.pop(name)
        live = {
            n: e
            for n, e in self._entry_by_id.items()
            if now_s - e.last_heartbeat_s < ENTRY_TIMEOUT_S
        }
        limit = self.limit
        shares = divide(limit, [entry.demand for entry in live.values()])
        outstanding_and_running = [
            (e.outstanding(now_s), e.running) for e in self._entry_by_id.values()
        ]
        ungranted = max(0, limit - sum(outstanding for outstanding, _ in outstanding_and_running))
        exceeded = sum(outstanding for outstanding, _ in outstanding_and_running) > limit
        free = max(0, limit - sum(max(pair) for pair in outstanding_and_running))
        grants = []
        for (name, entry), share in zip(live.items(), shares, strict=True):
            before = entry.outstanding(now_s)
            committed = max(before, entry.running)
            amount = min(share.amount, before + ungranted, committed + free)
            if exceeded:
                # A renewed grant from before the decrease of the limit would outlast the decrease.
                amount = min(amount, entry.issued[-1].amount if entry.issued else 0)
            ungranted -= max(0, amount - before)
            free -= max(0, amount - committed)
            if not share.rotates or amount < share.amount:
                entry.rotating_since_s = None
            elif entry.rotating_since_s is None:
                entry.rotating_since_s = now_s
            grants.append(self._issue(now_s, name, entry, amount))
        return tuple(grants)

    def _issue(self, now_s: float, name: ids.VmId, entry: _EntryState, amount: int) -> Grant:
        self._epoch += 1
        while entry.issued and entry.issued[-1].amount <= amount:
            entry.issued.pop()
        entry.issued.append(_IssuedGrant(self._epoch, amount, now_s + GRANT_LIFETIME_S))
        return Grant(name, amount, self._epoch)

    def _entry_state(self, now_s: float, name: ids.VmId) -> _EntryState:
        entry = self._entry_by_id.get(name)
        if entry is None:
            entry = self._entry_by_id[name] = _EntryState(last_heartbeat_s=now_s)
        return entry

    def _remove_idle_entries(self, now_s: float) -> None:
        for name, entry in list(self._entry_by_id.items()):
            timed_out = now_s - entry.last_heartbeat_s >= ENTRY_TIMEOUT_S
            if timed_out and entry.running == 0 and entry.outstanding(now_s) == 0:
                del self._entry_by_id[name]

    def _decrease_limit(self) -> None:
        """Halve the limit, at most once per round of completions."""
        if self._round_completions_left == 0:
            self._fractional_limit = max(1.0, self._fractional_limit / 2)
            self._round_completions_left = max(1, self._running)

    def _cache_lost(self, report: EngineReport) -> bool:
        before = self._cached_tokens
        if before is None or report.cached_tokens is None or before < MINIMUM_CACHE_TOKENS:
            return False
        return report.cached_tokens < COLD_CACHE_SHARE * before

    def _rate_fell(self, report: EngineReport) -> bool:
        # A larger batch lowers the rate per attempt and a smaller batch the total rate; only a
        # slower engine lowers both.
        if self._rate is None or self._rate_per_attempt is None:
            return False
        if report.tokens_per_s is None or report.running == 0:
            return False
        per_attempt = report.tokens_per_s / report.running
        return (
            report.tokens_per_s < COLD_RATE_SHARE * self._rate
            and per_attempt < COLD_RATE_SHARE * self._rate_per_attempt
        )

    def _update_baseline(self, report: EngineReport) -> None:
        if report.cached_tokens is not None:
            self._cached_tokens = report.cached_tokens
        if report.tokens_per_s is None or report.running == 0:
            return
        per_attempt = report.tokens_per_s / report.running
        if self._rate is None or self._rate_per_attempt is None:
            self._rate, self._rate_per_attempt = report.tokens_per_s, per_attempt
        else:
            self._rate += RATE_WEIGHT * (report.tokens_per_s - self._rate)
            self._rate_per_attempt += RATE_WEIGHT * (per_attempt - self._rate_per_attempt)


def new_capacity(settings: CapacitySettings) -> Capacity:
    """Return the capacity of a backend server that has just started, with a limit of 1.

    >>> capacity = new_capacity(CapacitySettings(maximum=8, expected_step_s=0.03))
    >>> capacity.try_acquire(0.0, ids.VmId("e1")), capacity.try_acquire(0.0, ids.VmId("e2"))
    (True, False)
    """
    return Capacity(settings)


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Part of the limit assigned to one entry."""

    amount: int
    """Number of concurrent attempts."""
    rotates: bool
    """Whether one unit of the amount is scarce and has to rotate among the entries."""


def divide(limit: int, demands: list[int]) -> list[Share]:
    """Divide a limit among entries with max-min fairness.

    Args:
        limit: Number of concurrent attempts to divide.
        demands: Demand of each entry; earlier entries get the units that do not divide evenly.

    Returns:
        The share of each entry, in the same order. The part of the limit that exceeds the demand is
        spread evenly, so that the first request of an idle entry need not wait for a grant.

    >>> [share.amount for share in divide(4, [1, 9, 9])]
    [1, 2, 1]
    >>> [share.amount for share in divide(7, [1, 0])]
    [4, 3]
    """
    level = _fair_level(limit, demands)
    amounts = [min(demand, level) for demand in demands]
    left = limit - sum(amounts)
    unmet = [index for index, demand in enumerate(demands) if demand > level]
    if unmet:
        rotating = set(unmet[:left])
        return [Share(n + (i in rotating), i in rotating) for i, n in enumerate(amounts)]
    if not demands:
        return []
    per_entry, extra = divmod(left, len(demands))
    return [Share(n + per_entry + (i < extra), False) for i, n in enumerate(amounts)]


def _fair_level(limit: int, demands: list[int]) -> int:
    left = limit
    ordered = sorted(demands)
    for index, demand in enumerate(ordered):
        count = len(ordered) - index
        if demand * count > left:
            return left // count
        left -= demand
    return max(demands, default=0)


class HeldGrant:
    """Grant held by one entry, for one incarnation of one agent."""

    def __init__(self) -> None:
        """Create an empty grant; use `new_held_grant`."""
        self._amount = 0
        self._expires_s = 0.0
        self._epoch = 0

    @property
    def epoch(self) -> int:
        """Highest applied epoch, which the next heartbeat acknowledges."""
        return self._epoch

    def receive(self, now_s: float, amount: int, epoch: int) -> None:
        """Apply a grant message; a delayed or duplicate one has no effect."""
        if epoch > self._epoch:
            self._epoch = epoch
            self._amount = amount
            self._expires_s = now_s + GRANT_LIFETIME_S - GRANT_MARGIN_S

    def amount(self, now_s: float) -> int:
        """Return how many concurrent attempts the entry may have at the backend server."""
        return self._amount if now_s < self._expires_s else 0


def new_held_grant() -> HeldGrant:
    """Return an empty grant; each incarnation of an agent needs a new one."""
    return HeldGrant()
