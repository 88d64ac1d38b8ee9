"""What backend servers say of themselves in their answers, and which of them may get a request.

Load pattern: a server leaves, is full for a while, or is in need, and says so in an answer before
the directory does, or while the directory cannot be read. Requests that are sent to it all the same
are lost or turned away, although other servers would take them.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Collection

from gentianpaddle_core import ids
from gentianpaddle_core.serving import server_limits

MAX_WAIT_S = 30.0
"""Maximum time for which a server gets no requests because it asked for a pause. A longer pause is
shortened to it, so that a mistake does not shut a server out."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServerNotices:
    """Notices of a server in one answer."""

    limit_per_s: float | None = None
    """Number of requests per second that the server takes from all VMs together, or None if it
    names no limit."""
    leaving: bool = False
    """Whether the server is about to leave."""
    wait_s: float | None = None
    """Time in seconds for which a server that turned a request away wants none from this VM."""
    malformed: tuple[str, ...] = ()
    """Names of the notices that cannot be read. They say nothing, not even that none is given."""
    limit_malformed: bool = False
    """Whether the limit is one of them."""


class NoticeBoard:
    """Notices of all servers as known to one front.

    Args:
        limits: Limits of the servers, which the fronts keep together.
    """

    def __init__(self, limits: server_limits.ServerLimits) -> None:
        self.limits = limits
        self._leaving: set[ids.BackendServerId] = set()
        self._wait_until_s: dict[ids.BackendServerId, float] = {}

    def record_leaving(self, server: ids.BackendServerId) -> bool:
        """Record that a server is about to leave. It holds until the directory has lost the server.

        Args:
            server: The server. One that starts again at the same address has another id.

        Returns:
            Whether that is new.
        """
        is_new = server not in self._leaving
        self._leaving.add(server)
        return is_new

    def record_wait(self, server: ids.BackendServerId, wait_s: float, now_s: float) -> bool:
        """Record that a server wants no requests for a time.

        Args:
            server: The server.
            wait_s: The time in seconds; at most `MAX_WAIT_S` of it count.
            now_s: Monotonic time in seconds.

        Returns:
            Whether the server was not waited for until now.
        """
        is_new = self._wait_until_s.get(server, now_s) <= now_s
        until_s = now_s + min(wait_s, MAX_WAIT_S)
        self._wait_until_s[server] = max(until_s, self._wait_until_s.get(server, until_s))
        return is_new

    def allows(self, server: ids.BackendServerId, now_s: float) -> bool:
        """Return whether this front may send a request to a server now.

        Args:
            server: The server.
            now_s: Monotonic time in seconds.
        """
        return (
            server not in self._leaving
            and now_s >= self._wait_until_s.get(server, now_s)
            and self.limits.allows(server, now_s)
        )

    def is_leaving(self, server: ids.BackendServerId) -> bool:
        """Return whether a server has said that it leaves.

        Args:
            server: The server.
        """
        return server in self._leaving

    def pause_s(self, servers: Collection[ids.BackendServerId], now_s: float) -> float:
        """Return the time in seconds until the first of some servers takes requests again.

        Args:
            servers: Servers of a service.
            now_s: Monotonic time in seconds.

        Returns:
            The time; 0 if one of them takes requests now, or if none asked for a pause.
        """
        remaining_s = [
            self._wait_until_s.get(server, now_s) - now_s
            for server in servers
            if server not in self._leaving
        ]
        return max(0.0, min(remaining_s, default=0.0))

    def remove_unlisted(self, listed: Collection[ids.BackendServerId]) -> None:
        """Remove servers that the directory has lost.

        Args:
            listed: Servers that exist.
        """
        self.limits.remove_unlisted(listed)
        self._leaving &= set(listed)
        for server in self._wait_until_s.keys() - listed:
            del self._wait_until_s[server]
