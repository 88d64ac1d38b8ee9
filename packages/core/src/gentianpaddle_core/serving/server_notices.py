"""What backend servers say of themselves in their answers."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ServerNotices:
    """Notices of a server in one answer."""

    limit_per_s: float | None = None
    """Number of requests per second that the server takes from all VMs together, or None if it
    names no limit."""
    malformed: tuple[str, ...] = ()
    """Names of the notices that cannot be read. They say nothing, not even that none is given."""
