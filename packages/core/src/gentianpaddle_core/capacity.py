"""Capacity of one backend server and its division among entries.

The agent owns the limit: how many attempts its backend server carries at once now. Entries learn
their part of it as grants. A grant is advice that saves declined attempts; the hard check is
`Capacity.take`, which no stale view can pass.
"""

from __future__ import annotations

import collections
import dataclasses
import enum

from gentianpaddle_core import ids

GRANT_LIFETIME_S = 2.0
"""Seconds after its last issue at which the agent stops counting a grant."""
GRANT_MARGIN_S = 0.5
"""An entry stops using a grant this much earlier, which covers the transfer of the message."""
TURN_S = 0.5
"""Shortest time for which an entry keeps a unit that rotates among entries."""
ENTRY_SILENCE_S = 2.0
"""An entry without a heartbeat for this long has no demand."""
MAX_ENTRIES = 1_024
"""Bound of the entries with grants; the design size has 360 entries, of which 9 are linked."""
GROWTH_PER_COMPLETION = 0.25
"""Growth of the limit by one timely completion, so at most 25 % in a round of completions."""
USED_SHARE = 0.5
"""The limit grows only while at least this share of it is in use, so it is always a tested one."""
COLD_RATE_SHARE = 0.4
"""A rate below this share of the recent one, in total and per attempt, is that of a cold engine."""
COLD_CACHE_SHARE = 0.1
"""A prefix cache that falls below this share between two reports was lost, not evicted."""
CACHE_FLOOR_TOKENS = 1_024
"""Caches smaller than this say nothing when they shrink."""
RATE_WEIGHT = 0.25
"""Weight of a new report in the recent rate."""
PRESSURE_HEADROOM = 0.9
"""Share of a configured maximum that admitted work may be expected to fill."""


class ColdCause(enum.StrEnum):
    """Why a backend server counts as cold."""

    STARTED = "started"
    ENGINE_INCARNATION = "engine_incarnation"
    CACHE_LOST = "cache_lost"
    RATE_FELL = "rate_fell"
    ENGINE_LOST = "engine_lost"
    NEW_VERSION = "new_version"


@dataclasses.dataclass(frozen=True, slots=True)
class CapacitySettings:
    """Settings of the limit."""

    maximum: int
    """Largest limit, in attempts at once."""
    expected_step_s: float
    """Step time above which a step is slow; for a plain service the response time, in seconds."""
    growth: float = GROWTH_PER_COMPLETION
    """Growth of the limit by one timely completion."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """Load report of an engine, which may lag behind."""

    incarnation: int
    """Number of the engine's start."""
    step_s: float | None = None
    """Time of the last step in seconds, None without a step since the last report."""
    tokens_per_s: float | None = None
    """Tokens processed per second, those of prompts included; None where not reported."""
    running: int = 0
    """Attempts that the engine runs."""
    cached_tokens: int | None = None
    """Tokens in the prefix cache, None where not reported."""


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Number of attempts that an entry may have at the backend server at once."""

    entry: ids.VmId
    """Entry that holds the grant."""
    amount: int
    """Attempts at once, 0 or more."""
    epoch: int
    """Order of issue within the agent's incarnation; a higher one replaces a lower one."""


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityView:
    """What the agent reports about its capacity."""

    limit: int
    """Attempts at once that are admitted now."""
    running: int
    """Attempts admitted and not ended."""
    outstanding: int
    """Sum of the grants that entries may still use."""
    cold_cause: ColdCause | None
    """Cause of the last fall to 1 while the limit has not reached its maximum since."""


@dataclasses.dataclass(slots=True)
class _Issued:
    epoch: int
    amount: int
    expires_s: float


@dataclasses.dataclass(slots=True)
class _Entry:
    heard_s: float
    demand: int = 0
    running: int = 0
    issued: collections.deque[_Issued] = dataclasses.field(default_factory=collections.deque)
    """Grants that may still be in use: rising epochs, strictly falling amounts."""
    turn_since_s: float | None = None
    """Since when the entry holds a unit that rotates."""

    def outstanding(self, now_s: float) -> int:
        while self.issued and self.issued[0].expires_s <= now_s:
            self.issued.popleft()
        return self.issued[0].amount if self.issued else 0


class Capacity:
    """Limit of one backend server, the attempts that count against it, and grants to entries."""

    def __init__(self, settings: CapacitySettings) -> None:
        """Start cold; use `new_capacity`."""
        self._settings = settings
        self._maximum = settings.maximum
        self._level = 1.0
        self._pressure_ceiling: int | None = None
        self._available = True
        self._cold_cause: ColdCause | None = ColdCause.STARTED
        self._round_left = 0
        self._running = 0
        self._epoch = 0
        self._entry_by_id: dict[ids.VmId, _Entry] = {}
        self._engine_incarnation: int | None = None
        self._rate: float | None = None
        self._rate_each: float | None = None
        self._cached_tokens: int | None = None

    @property
    def limit(self) -> int:
        """Attempts at once that are admitted now; 0 only while the engine is lost."""
        if not self._available:
            return 0
        ceiling = self._maximum
        if self._pressure_ceiling is not None:
            ceiling = min(ceiling, self._pressure_ceiling)
        return max(1, min(int(self._level), ceiling))

    @property
    def running(self) -> int:
        """Attempts admitted and not ended."""
        return self._running

    def view(self, now_s: float) -> CapacityView:
        """Return what the agent reports about its capacity."""
        outstanding = sum(entry.outstanding(now_s) for entry in self._entry_by_id.values())
        return CapacityView(self.limit, self._running, outstanding, self._cold_cause)

    def take(self, now_s: float, entry: ids.VmId) -> bool:
        """Take a place for one attempt.

        Args:
            now_s: Monotonic time in seconds.
            entry: Entry that sent the attempt.

        Returns:
            Whether there was a place. The limit decides, whatever the entry was granted.
        """
        if self._running >= self.limit:
            return False
        self._running += 1
        self._known(now_s, entry).running += 1
        return True

    def release(self, now_s: float, entry: ids.VmId, step_s: float | None) -> None:
        """Give a place back.

        Args:
            now_s: Monotonic time in seconds.
            entry: Entry whose attempt ended.
            step_s: Mean time of a step of the attempt in seconds, for a plain service its response
                time; None when the attempt did not complete.
        """
        used = self._running >= USED_SHARE * self.limit
        in_round = self._round_left > 0
        self._running -= 1
        self._known(now_s, entry).running -= 1
        if in_round:
            # Attempts from before a fall say nothing about the limit after it.
            self._round_left -= 1
        elif step_s is None:
            return
        elif step_s > self._settings.expected_step_s:
            self._slow_step()
        elif used:
            self._level = min(self._level + self._settings.growth, float(self._maximum))
            if self._level >= self._maximum:
                self._cold_cause = None

    def observe_engine(self, now_s: float, report: EngineReport) -> ColdCause | None:
        """Apply a load report of the engine.

        Args:
            now_s: Monotonic time in seconds.
            report: The report. One of an earlier incarnation of the engine is ignored.

        Returns:
            Why the backend server turned cold with this report, or None.
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
            self.turn_cold(now_s, cause)
        elif report.step_s is not None and report.step_s > self._settings.expected_step_s:
            self._slow_step()
        self._remember(report)
        return cause

    def suspend(self) -> None:
        """Admit nothing until the next report, because a call has just broken.

        Without this, entries would spend their retries on a server that is restarting. Unlike
        `lose_engine` it keeps the limit, in case only that one call was at fault.
        """
        self._available = False

    def lose_engine(self, now_s: float) -> None:
        """Admit nothing until the engine reports again, then ramp from 1."""
        self.turn_cold(now_s, ColdCause.ENGINE_LOST)
        self._available = False

    def turn_cold(self, now_s: float, cause: ColdCause) -> None:
        """Set the limit back to 1 at once.

        Args:
            now_s: Monotonic time in seconds.
            cause: Evidence for the loss of warmth.
        """
        self._level = 1.0
        self._round_left = self._running
        self._cold_cause = cause
        self._rate = self._rate_each = self._cached_tokens = None

    def set_maximum(self, now_s: float, maximum: int) -> None:
        """Change the configured maximum of attempts at once."""
        self._maximum = maximum
        self._level = min(self._level, float(maximum))

    def apply_pressure(self, now_s: float, used_share: float) -> None:
        """Cap the limit so that the fullest resource stays within its configured maximum.

        Args:
            now_s: Monotonic time in seconds.
            used_share: Share of the configured maximum of a resource (cache memory, waiting tokens)
                that the running attempts fill; above 1 when the maximum is exceeded.
        """
        if self._running == 0 or used_share <= 0.0:
            self._pressure_ceiling = None
        else:
            fitting = int(PRESSURE_HEADROOM * self._running / used_share)
            self._pressure_ceiling = max(1, fitting)

    def hear(self, now_s: float, entry: ids.VmId, demand: int, acknowledged_epoch: int = 0) -> None:
        """Apply a heartbeat of an entry.

        Args:
            now_s: Monotonic time in seconds.
            entry: Entry that sent it.
            demand: Attempts that wait or run at the entry for this backend server.
            acknowledged_epoch: Highest epoch of a grant that the entry has applied.
        """
        if entry not in self._entry_by_id and len(self._entry_by_id) >= MAX_ENTRIES:
            return
        known = self._known(now_s, entry)
        known.heard_s = now_s
        known.demand = max(0, demand)
        if known.issued and acknowledged_epoch <= known.issued[-1].epoch:
            while known.issued[0].epoch < acknowledged_epoch:
                known.issued.popleft()

    def forget(self, now_s: float, entry: ids.VmId) -> None:
        """Stop granting to an entry whose link is closed; its grant counts until it expires."""
        if entry in self._entry_by_id:
            known = self._entry_by_id[entry]
            known.demand = 0
            known.heard_s = now_s - ENTRY_SILENCE_S

    def refresh(self, now_s: float) -> tuple[Grant, ...]:
        """Issue a grant to each live entry.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            One grant for each entry, to send at once. A grant that is not issued again within
            `GRANT_LIFETIME_S` expires.
        """
        self._drop_idle(now_s)
        for name, entry in list(self._entry_by_id.items()):
            if entry.turn_since_s is not None and now_s - entry.turn_since_s >= TURN_S:
                entry.turn_since_s = None
                self._entry_by_id[name] = self._entry_by_id.pop(name)
        live = {n: e for n, e in self._entry_by_id.items() if now_s - e.heard_s < ENTRY_SILENCE_S}
        limit = self.limit
        shares = divide(limit, [entry.demand for entry in live.values()])
        held = [(e.outstanding(now_s), e.running) for e in self._entry_by_id.values()]
        ungranted = max(0, limit - sum(outstanding for outstanding, _ in held))
        exceeded = sum(outstanding for outstanding, _ in held) > limit
        free = max(0, limit - sum(max(pair) for pair in held))
        grants = []
        for (name, entry), share in zip(live.items(), shares, strict=True):
            before = entry.outstanding(now_s)
            committed = max(before, entry.running)
            amount = min(share.amount, before + ungranted, committed + free)
            if exceeded:
                # Renewing an earlier, larger grant would outlast the fall of the limit.
                amount = min(amount, entry.issued[-1].amount if entry.issued else 0)
            ungranted -= max(0, amount - before)
            free -= max(0, amount - committed)
            if not share.rotates or amount < share.amount:
                entry.turn_since_s = None
            elif entry.turn_since_s is None:
                entry.turn_since_s = now_s
            grants.append(self._issue(now_s, name, entry, amount))
        return tuple(grants)

    def _issue(self, now_s: float, name: ids.VmId, entry: _Entry, amount: int) -> Grant:
        self._epoch += 1
        while entry.issued and entry.issued[-1].amount <= amount:
            entry.issued.pop()
        entry.issued.append(_Issued(self._epoch, amount, now_s + GRANT_LIFETIME_S))
        return Grant(name, amount, self._epoch)

    def _known(self, now_s: float, name: ids.VmId) -> _Entry:
        entry = self._entry_by_id.get(name)
        if entry is None:
            entry = self._entry_by_id[name] = _Entry(heard_s=now_s)
        return entry

    def _drop_idle(self, now_s: float) -> None:
        for name, entry in list(self._entry_by_id.items()):
            silent = now_s - entry.heard_s >= ENTRY_SILENCE_S
            if silent and entry.running == 0 and entry.outstanding(now_s) == 0:
                del self._entry_by_id[name]

    def _slow_step(self) -> None:
        if self._round_left == 0:
            self._level = max(1.0, self._level / 2)
            self._round_left = max(1, self._running)

    def _cache_lost(self, report: EngineReport) -> bool:
        before = self._cached_tokens
        if before is None or report.cached_tokens is None or before < CACHE_FLOOR_TOKENS:
            return False
        return report.cached_tokens < COLD_CACHE_SHARE * before

    def _rate_fell(self, report: EngineReport) -> bool:
        # A larger batch lowers the rate of each attempt and a smaller one the total; only a
        # slower engine lowers both.
        if self._rate is None or self._rate_each is None:
            return False
        if report.tokens_per_s is None or report.running == 0:
            return False
        each = report.tokens_per_s / report.running
        return (
            report.tokens_per_s < COLD_RATE_SHARE * self._rate
            and each < COLD_RATE_SHARE * self._rate_each
        )

    def _remember(self, report: EngineReport) -> None:
        if report.cached_tokens is not None:
            self._cached_tokens = report.cached_tokens
        if report.tokens_per_s is None or report.running == 0:
            return
        each = report.tokens_per_s / report.running
        if self._rate is None or self._rate_each is None:
            self._rate, self._rate_each = report.tokens_per_s, each
        else:
            self._rate += RATE_WEIGHT * (report.tokens_per_s - self._rate)
            self._rate_each += RATE_WEIGHT * (each - self._rate_each)


def new_capacity(settings: CapacitySettings) -> Capacity:
    """Return the capacity of a backend server that has just started, with a limit of 1.

    >>> capacity = new_capacity(CapacitySettings(maximum=8, expected_step_s=0.03))
    >>> capacity.take(0.0, ids.VmId("e1")), capacity.take(0.0, ids.VmId("e2"))
    (True, False)
    """
    return Capacity(settings)


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Part of the limit for one entry."""

    amount: int
    """Attempts at once."""
    rotates: bool
    """Whether one unit of it is scarce and must pass on to other entries in turn."""


def divide(limit: int, demands: list[int]) -> list[Share]:
    """Divide a limit among entries so that the least served gets as much as possible.

    Args:
        limit: Attempts at once to divide.
        demands: Demand of each entry; earlier entries get the units that do not divide evenly.

    Returns:
        The share of each entry, in the same order. What demand leaves over is spread evenly, so
        that the first request of an idle entry need not wait for a grant.

    >>> [share.amount for share in divide(4, [1, 9, 9])]
    [1, 2, 1]
    >>> [share.amount for share in divide(7, [1, 0])]
    [4, 3]
    """
    level = _level(limit, demands)
    amounts = [min(demand, level) for demand in demands]
    left = limit - sum(amounts)
    unmet = [index for index, demand in enumerate(demands) if demand > level]
    if unmet:
        rotating = set(unmet[:left])
        return [Share(n + (i in rotating), i in rotating) for i, n in enumerate(amounts)]
    if not demands:
        return []
    each, extra = divmod(left, len(demands))
    return [Share(n + each + (i < extra), False) for i, n in enumerate(amounts)]


def _level(limit: int, demands: list[int]) -> int:
    left = limit
    ordered = sorted(demands)
    for index, demand in enumerate(ordered):
        count = len(ordered) - index
        if demand * count > left:
            return left // count
        left -= demand
    return max(demands, default=0)


class HeldGrant:
    """Grant as one entry sees it, for one incarnation of one agent."""

    def __init__(self) -> None:
        """Start without a grant; use `new_held_grant`."""
        self._amount = 0
        self._expires_s = 0.0
        self._epoch = 0

    @property
    def epoch(self) -> int:
        """Highest epoch applied, for the acknowledgement in the next heartbeat."""
        return self._epoch

    def receive(self, now_s: float, amount: int, epoch: int) -> None:
        """Apply a grant message; one that is late or doubled changes nothing."""
        if epoch > self._epoch:
            self._epoch = epoch
            self._amount = amount
            self._expires_s = now_s + GRANT_LIFETIME_S - GRANT_MARGIN_S

    def amount(self, now_s: float) -> int:
        """Return the attempts that the entry may have at the backend server at once."""
        return self._amount if now_s < self._expires_s else 0


def new_held_grant() -> HeldGrant:
    """Return an empty grant; make a new one for each agent incarnation."""
    return HeldGrant()
