"""Keeps the limits of requests per second that servers name, for all fronts together.

Load pattern: a server in need names a limit far below its usual share of the requests, often less
than one request per second for eight fronts or for hundreds of them. Equal parts for all fronts
would let each of them send only once in many seconds, and its last answer would be as old.

A few fronts, the holders, therefore use a limit in equal parts, and the others send nothing to the
server. Rendezvous hashing of the live fronts selects the holders, so that all fronts agree, and a
front that joins or leaves changes one of them. What a holder learns from an answer, it tells the
others. While fronts disagree about who is alive, a limit may be used by one front more than
intended; `SAFETY_FACTOR` keeps that below the excess that servers bear.
"""

from __future__ import annotations

import dataclasses
import typing
from collections.abc import Callable, Collection

from gentianpaddle_core import ids, rendezvous

SAFETY_FACTOR = 0.8
"""Share of a limit that the holders use together."""

MIN_PART_PER_S = 1.0
"""Minimum part of a holder in requests per second, except of the only one."""

EXPIRY_S = 6.0
"""Time after the last answer with a limit for which it holds. The holders get answers more often,
unless no requests arrive at them."""

EXPIRY_STEP_S = 0.5
"""Additional time for each rank among the fronts, so that one of them asks first whether the limit
still holds."""

MAX_SAVED_REQUESTS = 0.5
"""Number of requests that all holders together may save up beyond one each. A request does not
always arrive just when one may be sent, and that time would be lost."""

MIN_RATE_PER_S = 1.0 / EXPIRY_S
"""Minimum rate of a holder. Only an answer can tell that a limit has ended."""

REORDERING_S = 0.3
"""Time after an answer with a limit for which answers without one are ignored: answers on different
connections overtake each other."""

REPEAT_INTERVAL_S = 1.0
"""Interval at which a holder tells the other fronts a limit that has not changed. A front that has
just started learns it so."""

MEMBERS_REFRESH_S = 0.25
"""Time for which the live fronts are cached."""


class LimitNews(typing.NamedTuple):
    """What a front tells the others of a server's limit."""

    server: ids.BackendServerId
    limit_per_s: float | None
    """The limit, or None if it has ended."""
    age_s: float
    """Time since the answer that told it, in seconds."""


@dataclasses.dataclass(slots=True)
class _Limit:
    per_s: float | None
    """The limit, or None if it has ended."""
    told_s: float
    """Monotonic time of the answer that told it."""
    tokens: float = 0.0
    """Number of requests that this process may send now, one and a bit at most."""
    refilled_s: float = 0.0
    told_here: bool = False
    """Whether the answer came to this process."""
    published_s: float = -REPEAT_INTERVAL_S
    """Monotonic time at which the other fronts were last told."""


class ServerLimits:
    """Limits of servers as known to one front.

    Args:
        own: VM of this front.
        other_fronts: Returns the VMs of the other live fronts at a monotonic time.
    """

    def __init__(
        self, own: ids.VmId, other_fronts: Callable[[float], Collection[ids.VmId]]
    ) -> None:
        self._own = own
        self._other_fronts = other_fronts
        self._limit_by_server: dict[ids.BackendServerId, _Limit] = {}
        self._live: frozenset[ids.VmId] = frozenset()
        self._live_read_s = -MEMBERS_REFRESH_S
        self._rank_by_server: dict[ids.BackendServerId, int] = {}

    def record_answer(
        self, server: ids.BackendServerId, limit_per_s: float | None, now_s: float
    ) -> bool:
        """Record an answer of a server to this process.

        Args:
            server: The server.
            limit_per_s: Limit that it names, or None.
            now_s: Monotonic time in seconds.

        Returns:
            Whether a limit began, changed or ended.
        """
        known = self._limit_by_server.get(server)
        if limit_per_s is None and (
            known is None or known.per_s is None or now_s - known.told_s < REORDERING_S
        ):
            return False
        return self._set(server, limit_per_s, now_s, told_here=True)

    def record_news(self, news: LimitNews, now_s: float) -> bool:
        """Record what another front has told.

        Args:
            news: The news; older ones than those known are ignored.
            now_s: Monotonic time in seconds.

        Returns:
            Whether a limit began, changed or ended.
        """
        told_s = now_s - news.age_s
        known = self._limit_by_server.get(news.server)
        if news.age_s > EXPIRY_S or (known is not None and known.told_s >= told_s):
            return False
        return self._set(news.server, news.limit_per_s, told_s, told_here=False)

    def _set(
        self,
        server: ids.BackendServerId,
        limit_per_s: float | None,
        told_s: float,
        told_here: bool,
    ) -> bool:
        known = self._limit_by_server.get(server)
        if known is None:
            known = _Limit(None, told_s, refilled_s=told_s)
            self._limit_by_server[server] = known
        changed = known.per_s != limit_per_s
        if known.per_s is None:
            known.tokens, known.refilled_s = 0.0, told_s
        known.per_s, known.told_s, known.told_here = limit_per_s, told_s, told_here
        if changed and told_here:
            # Due at once.
            known.published_s = told_s - REPEAT_INTERVAL_S
        return changed

    def allows(self, server: ids.BackendServerId, now_s: float) -> bool:
        """Return whether this front may send a request to a server now.

        Args:
            server: The server.
            now_s: Monotonic time in seconds.
        """
        limit = self._limit_by_server.get(server)
        if limit is None or limit.per_s is None:
            return True
        rank = self._rank(server, now_s)
        if now_s - limit.told_s > EXPIRY_S + rank * EXPIRY_STEP_S:
            return True
        usable_per_s = SAFETY_FACTOR * limit.per_s
        holders = max(1, min(1 + len(self._live), int(usable_per_s / MIN_PART_PER_S)))
        if rank >= holders:
            return False
        rate_per_s = max(usable_per_s / holders, MIN_RATE_PER_S)
        gained = rate_per_s * (now_s - limit.refilled_s)
        limit.tokens = min(1.0 + MAX_SAVED_REQUESTS / holders, limit.tokens + gained)
        limit.refilled_s = now_s
        return limit.tokens >= 1.0

    def record_send(self, server: ids.BackendServerId) -> None:
        """Record that this front sends a request to a server.

        Args:
            server: The server.
        """
        limit = self._limit_by_server.get(server)
        if limit is not None:
            limit.tokens = max(0.0, limit.tokens - 1.0)

    def take_news(self, now_s: float) -> list[LimitNews]:
        """Return what the other fronts are to be told now.

        Args:
            now_s: Monotonic time in seconds.
        """
        news = []
        for server, limit in list(self._limit_by_server.items()):
            age_s = now_s - limit.told_s
            if limit.per_s is None and age_s > EXPIRY_S:
                del self._limit_by_server[server]
            elif (
                limit.told_here
                and age_s <= EXPIRY_S
                and now_s - limit.published_s >= REPEAT_INTERVAL_S
            ):
                limit.published_s = now_s
                news.append(LimitNews(server, limit.per_s, age_s))
        return news

    def remove_unlisted(self, listed: Collection[ids.BackendServerId]) -> None:
        """Remove servers that no longer exist.

        Args:
            listed: Servers that exist.
        """
        for server in self._limit_by_server.keys() - listed:
            del self._limit_by_server[server]
            self._rank_by_server.pop(server, None)

    def _rank(self, server: ids.BackendServerId, now_s: float) -> int:
        """Return the rank of this front among the live ones for a server, from 0."""
        if now_s - self._live_read_s >= MEMBERS_REFRESH_S:
            self._live_read_s = now_s
            live = frozenset(self._other_fronts(now_s))
            if live != self._live:
                self._live = live
                self._rank_by_server.clear()
        rank = self._rank_by_server.get(server)
        if rank is None:
            own = rendezvous.weight(server, self._own)
            rank = sum(rendezvous.weight(server, vm) > own for vm in self._live)
            self._rank_by_server[server] = rank
        return rank
