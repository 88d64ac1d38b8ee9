"""Records of crashes of backend servers, and what may have caused them."""

from __future__ import annotations

import dataclasses
import typing
from collections.abc import Iterator

from gentianpaddle_core import ids

Cause = typing.NewType("Cause", str)
"""What may make a request crash servers: a part of its prompt that other requests may share, or its
fingerprint, which is the same for all copies of the request."""

SAME_CRASH_S = 2.0
"""Maximum time between the observations of one crash. A server needs longer to restart."""

MAX_CAUSES = 64
"""Maximum number of causes in each set of a record."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestCauses:
    """What may make one request crash servers."""

    parts: tuple[Cause, ...]
    """Parts of its prompt that other requests may share."""
    fingerprint: Cause

    def __iter__(self) -> Iterator[Cause]:
        yield from self.parts
        yield self.fingerprint


@dataclasses.dataclass(slots=True)
class Crash:
    """One crash of a server."""

    server: ids.BackendServerId
    crashed_s: float
    """Monotonic time in seconds at which this process learned of it."""
    starting: set[Cause] = dataclasses.field(default_factory=set)
    """Parts of requests whose answer was about to begin."""
    waiting: set[Cause] = dataclasses.field(default_factory=set)
    """Parts of other requests whose answer had not begun."""
    fingerprints: set[Cause] = dataclasses.field(default_factory=set)
    """Requests whose answer had not begun."""
    innocent: set[Cause] = dataclasses.field(default_factory=set)
    """Causes among these that were part of an answer that began."""
    announced: set[Cause] = dataclasses.field(default_factory=set)
    """Innocent causes that the other processes have been told of."""
    confirmed: bool = False
    """Whether the group of the server was reported closed after the crash."""

    def add(self, other: Crash) -> bool:
        """Add what another observer knows of the crash.

        Args:
            other: The same crash.

        Returns:
            Whether something was new.
        """
        before = self._size()
        for own, added in (
            (self.starting, other.starting),
            (self.waiting, other.waiting),
            (self.fingerprints, other.fingerprints),
            (self.innocent, other.innocent),
        ):
            own.update(sorted(added - own)[: MAX_CAUSES - len(own)])
        return self._size() != before

    def _size(self) -> int:
        return len(self.starting) + len(self.waiting) + len(self.fingerprints) + len(self.innocent)

    @property
    def has_parts(self) -> bool:
        """Whether parts of prompts may have caused the crash."""
        return bool(self.starting or self.waiting)

    def causes(self) -> set[Cause]:
        """Return all possible causes, also those proven innocent."""
        return {*self.starting, *self.waiting, *self.fingerprints}
