"""Configuration in force in a process, and the procedure that changes the configuration.

The configuration is one object; its revision is the version of that object. The document is TOML
text. Its first line is a comment that lists the identifiers of the latest changes. It shows whether
a change with a lost response took effect, even if later changes have replaced the document.
"""

from __future__ import annotations

import dataclasses
import enum
import tomllib
import typing
from collections.abc import Mapping

from gentianpaddle_core import declarations, ids, object_api, store_calls, toml_reader

CONFIGURATION_KEY = "config/current"
"""Key of the configuration in the object API."""
HISTORY_PREFIX = "# changes:"
HISTORY_LIMIT = 32
"""Maximum number of change identifiers in a document; 32 cover 27 minutes at the design rate."""
LISTED_DIFFERENCE_LIMIT = 100
"""Maximum number of differences listed in a conflict; the rest are only counted."""
NO_REVISION = ids.Revision(object_api.ABSENT_VERSION)
"""Revision of a process without an accepted configuration."""


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """Configuration document with its revision, as sent between processes."""

    revision: ids.Revision
    """Version of the configuration object."""
    text: str
    """TOML text including the history line."""


EMPTY_DOCUMENT = Document(NO_REVISION, "")
"""Base document of the first change."""


class AdoptionResult(enum.StrEnum):
    """Result of offering a document."""

    ADOPTED = "adopted"
    SAME = "same_revision"
    OLDER = "older_revision"
    INVALID = "invalid"


class ConfigurationState:
    """Configuration in force in one process.

    Attributes:
        document: Accepted document, `EMPTY_DOCUMENT` before the first.
        declaration: Content of the accepted document, None before the first.
        invalid_revision: Highest revision rejected because its document had mistakes.
    """

    def __init__(self) -> None:
        self.document = EMPTY_DOCUMENT
        self.declaration: declarations.Declaration | None = None
        self.invalid_revision = NO_REVISION
        self._confirmed_s = -float("inf")

    def adopt_if_newer(self, document: Document) -> AdoptionResult:
        """Adopt a document if its revision is higher than the accepted one.

        Args:
            document: Document from the object API, a digest exchange or a stream.

        Returns:
            Result; the configuration in force only changes if it is `ADOPTED`.
        """
        if document.revision < self.document.revision:
            return AdoptionResult.OLDER
        if document.revision == self.document.revision:
            return AdoptionResult.SAME
        parsed = declarations.parse(document.text)
        if isinstance(parsed, declarations.Rejected):
            self.invalid_revision = max(self.invalid_revision, document.revision)
            return AdoptionResult.INVALID
        self.document = document
        self.declaration = parsed.declaration
        return AdoptionResult.ADOPTED

    def confirm(self, revision: ids.Revision, age_s: float, now_s: float) -> None:
        """Record that a revision was the newest at a past time.

        Args:
            revision: Revision that was confirmed.
            age_s: Time in seconds since a watching process got the revision from the object API.
            now_s: Monotonic time in seconds.
        """
        if revision >= self.document.revision:
            self._confirmed_s = max(self._confirmed_s, now_s - max(0.0, age_s))

    def age_s(self, now_s: float) -> float:
        """Return the time since the last confirmation of the revision in force.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            Time in seconds, infinite when no revision was confirmed yet.
        """
        return max(0.0, now_s - self._confirmed_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """A value that differs between two documents."""

    key: str
    """Dotted key."""
    base: str
    """Value in the base document of the change, empty when absent."""
    current: str
    """Value in the current document, empty when absent."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """The change was accepted."""

    document: Document
    """Document with the revision of the change, or a later document that includes the change."""
    superseded: bool = False
    """Whether later changes have been accepted since."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeConflict:
    """The change was not accepted because another change was accepted first."""

    document: Document
    """Current document."""
    differences: tuple[Difference, ...]
    """Differences between the base document of the change and the current document."""
    more_differences: int
    """Number of differences that are not listed."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeInvalid:
    """The change was rejected because its document has mistakes."""

    mistakes: tuple[toml_reader.Mistake, ...]
    """All mistakes in the document."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeNotAccepted:
    """The change was rejected because the object API is unavailable; nothing was written."""

    message: str
    """Description of the error."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeUnknown:
    """The change may have been accepted; a later read can determine the outcome."""

    message: str
    """Description of the error."""


ChangeResult: typing.TypeAlias = (
    ChangeAccepted | ChangeConflict | ChangeInvalid | ChangeNotAccepted | ChangeUnknown
)
"""Outcome of a change; `ChangeUnknown` may be resolved by further reads."""

ChangeStep: typing.TypeAlias = store_calls.Put | store_calls.Get | ChangeResult
"""Next call to perform, or the outcome of the change."""


class Change:
    """Procedure of one proposed change.

    Perform the call that `first_step` returns and pass its result to `after_write` or
    `after_read`. Repeat with the calls that these return, until they return a `ChangeResult`.
    """

    def __init__(self, base: Document, text: str, change_id: str) -> None:
        self._base = base
        self._change_id = change_id
        self._base_history = history(base.text)
        change_ids = (*self._base_history, change_id)[-HISTORY_LIMIT:]
        self._text = f"{HISTORY_PREFIX} {' '.join(change_ids)}\n{without_history(text)}"
        self._may_have_taken_effect = False

    def first_step(self) -> store_calls.Put | ChangeInvalid:
        """Validate the document and return the write.

        Returns:
            The conditional write, or the mistakes of the document.
        """
        parsed = declarations.parse(self._text)
        if isinstance(parsed, declarations.Rejected):
            return ChangeInvalid(parsed.mistakes)
        return self._write()

    def after_write(self, result: object_api.PutResult) -> ChangeStep:
        """Process the result of a write.

        Args:
            result: Result of the requested write.

        Returns:
            The next call or the outcome of the change.
        """
        match result:
            case object_api.Written(version):
                return ChangeAccepted(Document(ids.Revision(version), self._text))
            case object_api.VersionConflict():
                return store_calls.Get(CONFIGURATION_KEY)
            case object_api.ResponseLost():
                self._may_have_taken_effect = True
                return store_calls.Get(CONFIGURATION_KEY)
        if self._may_have_taken_effect:
            return ChangeUnknown(result.message)
        return ChangeNotAccepted(result.message)

    def after_read(self, result: object_api.GetResult) -> ChangeStep:
        """Process the result of a read; may also be called later to resolve `ChangeUnknown`.

        Args:
            result: Result of reading `CONFIGURATION_KEY`.

        Returns:
            The next call or the outcome of the change.
        """
        if isinstance(result, object_api.StoreUnavailable):
            if self._may_have_taken_effect:
                return ChangeUnknown(result.message)
            return ChangeNotAccepted(
                f"another change was applied first; it cannot be shown: {result.message}"
            )
        version = result.version if isinstance(result, object_api.StoredObject) else 0
        if version <= self._base.revision or isinstance(result, object_api.Absent):
            # The read was stale or the first write has not arrived yet. Repeating the same
            # conditional write is safe, because it takes effect at most once.
            return self._write()
        current = Document(ids.Revision(version), result.value.decode())
        if current.text == self._text:
            return ChangeAccepted(current)
        current_history = history(current.text)
        if self._change_id in current_history:
            return ChangeAccepted(current, superseded=True)
        if self._may_have_taken_effect and not self._covers_base(current_history):
            return ChangeUnknown(
                "too many changes followed to determine whether this one was accepted"
            )
        return describe_conflict(self._base, current)

    def _covers_base(self, current_history: tuple[str, ...]) -> bool:
        # Every change keeps the preceding identifiers, so a history that reaches back to the base
        # document lists every change since.
        if self._base_history:
            return self._base_history[-1] in current_history
        return len(current_history) < HISTORY_LIMIT

    def _write(self) -> store_calls.Put:
        return store_calls.Put(CONFIGURATION_KEY, self._text.encode(), self._base.revision)


def new_change(base: Document, text: str, change_id: str) -> Change:
    """Create a change.

    Args:
        base: Document on which the author based the change.
        text: New TOML text; a history line in it is ignored.
        change_id: Unique identifier of this change, without white space.

    Returns:
        The change, before its first step.
    """
    return Change(base, text, change_id)


def describe_conflict(base: Document, current: Document) -> ChangeConflict:
    r"""Describe the differences between two documents.

    Args:
        base: Document on which an author based a change.
        current: Current document.

    Returns:
        The conflict with its differences sorted by dotted key.

    >>> describe_conflict(Document(1, "[a]\nb = 1"), Document(2, "[a]\nb = 2")).differences
    (Difference(key='a.b', base='1', current='2'),)
    """
    base_by_key = _flatten(_parse_toml(base.text))
    current_by_key = _flatten(_parse_toml(current.text))
    differences = [
        Difference(key, base_by_key.get(key, ""), current_by_key.get(key, ""))
        for key in sorted(base_by_key.keys() | current_by_key.keys())
        if base_by_key.get(key) != current_by_key.get(key)
    ]
    listed = tuple(differences[:LISTED_DIFFERENCE_LIMIT])
    return ChangeConflict(current, listed, len(differences) - len(listed))


def history(text: str) -> tuple[str, ...]:
    r"""Return the identifiers of the latest changes, newest last.

    >>> history("# changes: x y\n")
    ('x', 'y')
    """
    first_line = text.partition("\n")[0]
    return (
        tuple(first_line.removeprefix(HISTORY_PREFIX).split())
        if _is_history_line(first_line)
        else ()
    )


def without_history(text: str) -> str:
    r"""Return a document without its history line.

    >>> without_history("# changes: x y\n[out]")
    '[out]'
    """
    first_line, _, rest = text.partition("\n")
    return rest if _is_history_line(first_line) else text


def _is_history_line(line: str) -> bool:
    return line.startswith(HISTORY_PREFIX)


def _parse_toml(text: str) -> toml_reader.Table:
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError:
        return {"document": text}


def _flatten(table: toml_reader.Table, prefix: str = "") -> dict[str, str]:
    value_by_key: dict[str, str] = {}
    for key, value in table.items():
        if isinstance(value, Mapping) and value:
            value_by_key |= _flatten(value, f"{prefix}{key}.")
        else:
            value_by_key[prefix + key] = str(value)
    return value_by_key
