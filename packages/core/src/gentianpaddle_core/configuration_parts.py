"""Transfer of the configuration document between peers: small differences, or bounded parts.

A document may be nearly 1 MB and changes 1,700 times a day, so that whole documents do not fit
into the control traffic of a node. A change is sent as the difference to an earlier revision.
"""

from __future__ import annotations

import dataclasses
import hashlib

from gentianpaddle_core import ids

DIFFERENCE_LIMIT_BYTES = 4_096
"""Largest difference that is kept; above it the document goes in parts."""
DIFFERENCES_KEPT = 64
"""Number of latest differences that a process can pass on."""
PART_LIMIT_BYTES = 4_096
"""Largest data of one part."""
DOCUMENT_LIMIT_BYTES = 1_000_000
"""Largest document, as the object API allows."""
CHECK_BYTES = 8
"""Size of the check value of a document in a difference."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationPart:
    """A piece of a document, or a whole difference between two documents."""

    revision: ids.Revision
    """Revision of the resulting document."""
    base_revision: ids.Revision
    """Revision that a difference applies to, 0 for a piece of the whole document."""
    offset: int
    """Position of a piece in bytes; for a difference the length of the common start."""
    total_bytes: int
    """Size of the resulting document."""
    data: bytes
    """The piece, or what a difference puts between the common start and the common end."""
    check: bytes = b""
    """Start of the SHA-256 of the document that a difference results in."""


def difference(
    base_revision: ids.Revision, base: bytes, revision: ids.Revision, document: bytes
) -> ConfigurationPart | None:
    """Describe a document by its difference to an earlier one.

    Args:
        base_revision: Revision of the earlier document.
        base: The earlier document.
        revision: Revision of the document.
        document: The document.

    Returns:
        The difference, None when it is larger than `DIFFERENCE_LIMIT_BYTES`.

    >>> old, new = b"out = []", b"out = ['d1']"
    >>> part = difference(ids.Revision(1), old, ids.Revision(2), new)
    >>> part.data, apply(part, old) == new
    (b"'d1'", True)
    """
    shorter = min(len(base), len(document))
    start = _common(base, document, shorter)
    end = _common(base[start:][::-1], document[start:][::-1], shorter - start)
    data = document[start : len(document) - end]
    if len(data) > DIFFERENCE_LIMIT_BYTES:
        return None
    return ConfigurationPart(revision, base_revision, start, len(document), data, _check(document))


def apply(part: ConfigurationPart, base: bytes) -> bytes | None:
    """Apply a difference.

    Args:
        part: A difference.
        base: Document of its base revision.

    Returns:
        The resulting document, None when the difference does not fit the base.
    """
    end = part.total_bytes - part.offset - len(part.data)
    if min(part.offset, end) < 0 or part.offset + end > len(base):
        return None
    document = base[: part.offset] + part.data + (base[len(base) - end :] if end else b"")
    return document if _check(document) == part.check else None


def _check(document: bytes) -> bytes:
    return hashlib.sha256(document).digest()[:CHECK_BYTES]


def _common(first: bytes, second: bytes, limit: int) -> int:
    low, high = 0, limit
    while low < high:
        middle = (low + high + 1) // 2
        if first[:middle] == second[:middle]:
            low = middle
        else:
            high = middle - 1
    return low


class ConfigurationExchange:
    """Configuration of one process with what it needs to pass it on and to take it in."""

    def __init__(self) -> None:
        """Start without a configuration; use `new_configuration_exchange`."""
        self.revision = ids.Revision(0)
        """Revision in force, 0 before the first one."""
        self.document = b""
        """Document in force."""
        self.seen_revision = ids.Revision(0)
        """Highest revision that any peer mentioned."""
        self.partial_revision = ids.Revision(0)
        """Revision of which only a start has arrived, 0 when none."""
        self._partial = b""
        self._confirmed_s = float("-inf")
        self._difference_by_base: dict[ids.Revision, ConfigurationPart] = {}

    @property
    def partial_bytes(self) -> int:
        """Bytes held of the partial revision."""
        return len(self._partial)

    def view_age_s(self, now_s: float) -> float:
        """Age of the view.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            Seconds since a time at which no revision above the one in force had been accepted;
            infinite when unknown.
        """
        return now_s - self._confirmed_s

    def put(self, revision: ids.Revision, document: bytes) -> bool:
        """Put a configuration in force if it is newer.

        Args:
            revision: Revision of the document.
            document: The document.

        Returns:
            True when it was newer; lower and equal revisions are dropped.
        """
        if revision <= self.revision or len(document) > DOCUMENT_LIMIT_BYTES:
            return False
        if self.revision:
            part = difference(self.revision, self.document, revision, document)
            if part is not None:
                self._difference_by_base[part.base_revision] = part
                while len(self._difference_by_base) > DIFFERENCES_KEPT:
                    del self._difference_by_base[next(iter(self._difference_by_base))]
        self.revision, self.document = revision, document
        self.seen_revision = ids.Revision(max(self.seen_revision, revision))
        if self.partial_revision <= revision:
            self.partial_revision, self._partial = ids.Revision(0), b""
        return True

    def confirm(self, revision: ids.Revision, confirmed_s: float) -> None:
        """Note that no revision above the given one had been accepted at some time.

        Args:
            revision: Revision that was the current one.
            confirmed_s: Monotonic time at which it was the current one, in seconds.
        """
        if 0 < revision <= self.revision:
            self._confirmed_s = max(self._confirmed_s, confirmed_s)

    def take_in(self, part: ConfigurationPart) -> bool:
        """Take in a part from a peer.

        Args:
            part: A piece or a difference.

        Returns:
            True when a newer configuration is in force now.
        """
        if part.revision <= self.revision:
            return False
        if part.base_revision:
            document = apply(part, self.document) if part.base_revision == self.revision else None
            return document is not None and self.put(part.revision, document)
        if part.revision > self.partial_revision:
            self.partial_revision, self._partial = part.revision, b""
        in_order = part.revision == self.partial_revision and part.offset == len(self._partial)
        if not in_order or part.total_bytes > DOCUMENT_LIMIT_BYTES:
            return False
        self._partial += part.data
        return len(self._partial) == part.total_bytes and self.put(part.revision, self._partial)

    def parts_for(
        self,
        revision: ids.Revision,
        partial_revision: ids.Revision,
        partial_bytes: int,
        budget_bytes: int,
    ) -> tuple[ConfigurationPart, ...]:
        """Choose what to send to a peer.

        Args:
            revision: Revision that the peer has in force.
            partial_revision: Revision of which it holds a start.
            partial_bytes: Bytes that it holds of that one.
            budget_bytes: Largest total of the data.

        Returns:
            Differences that follow one another, or one piece, or nothing.
        """
        if revision >= self.revision:
            return ()
        chain: list[ConfigurationPart] = []
        size, at = 0, revision
        while at in self._difference_by_base:
            part = self._difference_by_base[at]
            size += len(part.data)
            if size > budget_bytes:
                break
            chain.append(part)
            at = part.revision
        if chain or at in self._difference_by_base:
            return tuple(chain)
        if partial_revision > self.revision:
            return ()
        offset = partial_bytes if partial_revision == self.revision else 0
        data = self.document[offset : offset + min(PART_LIMIT_BYTES, max(budget_bytes, 0))]
        if not data and self.document:
            return ()
        none = ids.Revision(0)
        return (ConfigurationPart(self.revision, none, offset, len(self.document), data),)


def new_configuration_exchange() -> ConfigurationExchange:
    """Create the configuration state of a process.

    Returns:
        A state without a configuration.
    """
    return ConfigurationExchange()
