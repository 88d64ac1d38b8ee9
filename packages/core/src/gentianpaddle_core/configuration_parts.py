"""Transfer of the configuration document between peers as differences or bounded pieces.

A document may be nearly 1 MB and change 1,700 times a day, so whole documents do not fit into the
control traffic of a process. A change is therefore sent as the difference from an earlier revision.
"""

from __future__ import annotations

import dataclasses
import hashlib

from gentianpaddle_core import ids

DIFFERENCE_LIMIT_BYTES = 4_096
"""Maximum size of a stored difference; beyond it the document is sent in pieces."""
DIFFERENCE_HISTORY_LIMIT = 64
"""Number of latest differences that a process keeps for its peers."""
PART_LIMIT_BYTES = 4_096
"""Maximum size of the data of one piece."""
DOCUMENT_LIMIT_BYTES = 1_000_000
"""Maximum size of a document, set by the object API."""
CHECKSUM_BYTES = 8
"""Size of the checksum of the resulting document in a difference."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationPart:
    """Piece of a document, or complete difference between two documents."""

    revision: ids.Revision
    """Revision of the resulting document."""
    base_revision: ids.Revision
    """Revision to which a difference applies, 0 for a piece of a document."""
    offset: int
    """Offset of a piece in bytes; for a difference the length of the common prefix."""
    total_bytes: int
    """Size of the resulting document."""
    data: bytes
    """Content of the piece, or the bytes between the common prefix and the common suffix."""
    check: bytes = b""
    """First bytes of the SHA-256 of the document that a difference results in."""


def make_difference(
    base_revision: ids.Revision, base: bytes, revision: ids.Revision, document: bytes
) -> ConfigurationPart | None:
    """Return the difference from an earlier document to a newer one.

    Args:
        base_revision: Revision of the earlier document.
        base: The earlier document.
        revision: Revision of the newer document.
        document: The newer document.

    Returns:
        The difference, None if its data is larger than `DIFFERENCE_LIMIT_BYTES`.

    >>> old, new = b"out = []", b"out = ['d1']"
    >>> part = make_difference(ids.Revision(1), old, ids.Revision(2), new)
    >>> part.data, apply_difference(part, old) == new
    (b"'d1'", True)
    """
    shorter_length = min(len(base), len(document))
    prefix_length = _common_prefix_length(base, document, shorter_length)
    suffix_length = _common_prefix_length(
        base[prefix_length:][::-1], document[prefix_length:][::-1], shorter_length - prefix_length
    )
    data = document[prefix_length : len(document) - suffix_length]
    if len(data) > DIFFERENCE_LIMIT_BYTES:
        return None
    return ConfigurationPart(
        revision, base_revision, prefix_length, len(document), data, _checksum(document)
    )


def apply_difference(part: ConfigurationPart, base: bytes) -> bytes | None:
    """Apply a difference to its base document.

    Args:
        part: Difference to apply.
        base: Document of the base revision of the difference.

    Returns:
        The resulting document, None if the difference does not match the base.
    """
    suffix_length = part.total_bytes - part.offset - len(part.data)
    if min(part.offset, suffix_length) < 0 or part.offset + suffix_length > len(base):
        return None
    document = (
        base[: part.offset]
        + part.data
        + (base[len(base) - suffix_length :] if suffix_length else b"")
    )
    return document if _checksum(document) == part.check else None


def _checksum(document: bytes) -> bytes:
    return hashlib.sha256(document).digest()[:CHECKSUM_BYTES]


def _common_prefix_length(first: bytes, second: bytes, limit: int) -> int:
    low, high = 0, limit
    while low < high:
        middle = (low + high + 1) // 2
        if first[:middle] == second[:middle]:
            low = middle
        else:
            high = middle - 1
    return low


class ConfigurationExchange:
    """Configuration of one process, with the state for sending it to peers and receiving it."""

    def __init__(self) -> None:
        """Create an exchange at revision 0; use `new_configuration_exchange`."""
        self.revision = ids.Revision(0)
        """Revision in force, 0 before the first."""
        self.document = b""
        """Document in force."""
        self.highest_reported_revision = ids.Revision(0)
        """Highest revision that any peer reported."""
        self.partial_revision = ids.Revision(0)
        """Revision of which only the first pieces have arrived, 0 when none."""
        self._partial_document = b""
        self._confirmed_s = float("-inf")
        self._difference_by_base: dict[ids.Revision, ConfigurationPart] = {}

    @property
    def partial_bytes(self) -> int:
        """Number of bytes received of the partial revision."""
        return len(self._partial_document)

    def view_age_s(self, now_s: float) -> float:
        """Return the time since the configuration was last confirmed to be the newest.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            Time in seconds since the latest moment at which no revision above the one in force
            had been accepted; infinite when it was never confirmed.
        """
        return now_s - self._confirmed_s

    def put(self, revision: ids.Revision, document: bytes) -> bool:
        """Put a configuration in force if it is newer.

        Args:
            revision: Revision of the document.
            document: Content of the configuration.

        Returns:
            True if it was newer and not too large; lower and equal revisions are ignored.
        """
        if revision <= self.revision or len(document) > DOCUMENT_LIMIT_BYTES:
            return False
        if self.revision:
            part = make_difference(self.revision, self.document, revision, document)
            if part is not None:
                self._difference_by_base[part.base_revision] = part
                while len(self._difference_by_base) > DIFFERENCE_HISTORY_LIMIT:
                    del self._difference_by_base[next(iter(self._difference_by_base))]
        self.revision, self.document = revision, document
        self.highest_reported_revision = ids.Revision(max(self.highest_reported_revision, revision))
        if self.partial_revision <= revision:
            self.partial_revision, self._partial_document = ids.Revision(0), b""
        return True

    def confirm(self, revision: ids.Revision, confirmed_s: float) -> None:
        """Record that a revision was the latest one at a given time.

        Args:
            revision: Revision that was the latest one.
            confirmed_s: Monotonic time at which it was the latest one, in seconds.
        """
        if 0 < revision <= self.revision:
            self._confirmed_s = max(self._confirmed_s, confirmed_s)

    def apply_part(self, part: ConfigurationPart) -> bool:
        """Apply a part that a peer sent.

        Args:
            part: Piece or difference.

        Returns:
            True if a newer configuration came into force.
        """
        if part.revision <= self.revision:
            return False
        if part.base_revision:
            document = (
                apply_difference(part, self.document)
                if part.base_revision == self.revision
                else None
            )
            return document is not None and self.put(part.revision, document)
        if part.revision > self.partial_revision:
            self.partial_revision, self._partial_document = part.revision, b""
        is_next_piece = part.revision == self.partial_revision and part.offset == len(
            self._partial_document
        )
        if not is_next_piece or part.total_bytes > DOCUMENT_LIMIT_BYTES:
            return False
        self._partial_document += part.data
        return len(self._partial_document) == part.total_bytes and self.put(
            part.revision, self._partial_document
        )

    def parts_for(
        self,
        revision: ids.Revision,
        partial_revision: ids.Revision,
        partial_bytes: int,
        budget_bytes: int,
    ) -> tuple[ConfigurationPart, ...]:
        """Select the parts to send to a peer.

        Args:
            revision: Revision that the peer has in force.
            partial_revision: Revision that the peer has received in part, 0 when none.
            partial_bytes: Number of bytes of the partial revision that the peer has received.
            budget_bytes: Maximum total size of the data.

        Returns:
            Consecutive differences, or one piece, or nothing.
        """
        if revision >= self.revision:
            return ()
        chain: list[ConfigurationPart] = []
        chain_bytes, chain_revision = 0, revision
        while chain_revision in self._difference_by_base:
            part = self._difference_by_base[chain_revision]
            chain_bytes += len(part.data)
            if chain_bytes > budget_bytes:
                break
            chain.append(part)
            chain_revision = part.revision
        if chain or chain_revision in self._difference_by_base:
            return tuple(chain)
        if partial_revision > self.revision:
            return ()
        offset = partial_bytes if partial_revision == self.revision else 0
        data = self.document[offset : offset + min(PART_LIMIT_BYTES, max(budget_bytes, 0))]
        if not data and self.document:
            return ()
        no_base = ids.Revision(0)
        return (ConfigurationPart(self.revision, no_base, offset, len(self.document), data),)


def new_configuration_exchange() -> ConfigurationExchange:
    """Create the configuration exchange of a process.

    Returns:
        A configuration exchange at revision 0, which stands for no configuration.
    """
    return ConfigurationExchange()
