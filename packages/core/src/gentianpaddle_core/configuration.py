"""The accepted configuration of a process, and the procedure that changes it.

The configuration is one object; its revision is the version of that object. The document is TOML
text. Its first line is a comment that lists the identifiers of the latest changes, so that the
author of a change whose answer was lost can see whether the change took effect, even after others
have replaced it.
"""

from __future__ import annotations

import dataclasses
import enum
import tomllib
import typing
from collections.abc import Mapping

from gentianpaddle_core import declarations, ids, mistakes, object_api, store_steps

CONFIGURATION_KEY = "config/current"
"""Key of the configuration in the object API."""
HISTORY_PREFIX = "# changes:"
HISTORY_LIMIT = 32
"""Change identifiers kept in a document; the design rate makes 32 changes in 27 minutes."""
DIFFERENCES_LIMIT = 100
"""Differences listed in a conflict; the rest is only counted."""
NO_REVISION = ids.Revision(object_api.ABSENT_VERSION)
"""Revision before the first accepted configuration."""


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A configuration as it travels between processes."""

    revision: ids.Revision
    """Version of the configuration object."""
    text: str
    """TOML text with its history line."""


EMPTY_DOCUMENT = Document(NO_REVISION, "")
"""Base of the first change."""


class OfferResult(enum.StrEnum):
    """What became of an offered document."""

    ADOPTED = "adopted"
    SAME = "same_revision"
    OLDER = "older_revision"
    INVALID = "invalid"


class ConfigurationState:
    """Configuration in force in one process.

    Attributes:
        document: Accepted document, `EMPTY_DOCUMENT` before the first.
        declaration: Its content, None before the first.
        invalid_revision: Highest revision dropped because its document had mistakes.
    """

    def __init__(self) -> None:
        self.document = EMPTY_DOCUMENT
        self.declaration: declarations.Declaration | None = None
        self.invalid_revision = NO_REVISION
        self._confirmed_s = -float("inf")

    def offer(self, document: Document) -> OfferResult:
        """Adopt a document if its revision is higher than the accepted one.

        Args:
            document: Document from the object API, an exchange or a stream.

        Returns:
            What became of it; whatever was in force stays so unless it is `ADOPTED`.
        """
        if document.revision < self.document.revision:
            return OfferResult.OLDER
        if document.revision == self.document.revision:
            return OfferResult.SAME
        parsed = declarations.parse(document.text)
        if isinstance(parsed, declarations.Rejected):
            self.invalid_revision = max(self.invalid_revision, document.revision)
            return OfferResult.INVALID
        self.document = document
        self.declaration = parsed.declaration
        return OfferResult.ADOPTED

    def confirm(self, revision: ids.Revision, age_s: float, now_s: float) -> None:
        """Note that a revision was the newest a while ago.

        Args:
            revision: Revision that was confirmed.
            age_s: Seconds since the object API gave it to the process that watches.
            now_s: Monotonic time in seconds.
        """
        if revision >= self.document.revision:
            self._confirmed_s = max(self._confirmed_s, now_s - max(0.0, age_s))

    def age_s(self, now_s: float) -> float:
        """Return the age of the last confirmation.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            Seconds, infinite when nothing was ever confirmed.
        """
        return max(0.0, now_s - self._confirmed_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """A value that differs between two documents."""

    key: str
    """Dotted key."""
    base: str
    """Value in the document that the change started from, empty when absent."""
    current: str
    """Value in the present document, empty when absent."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """The change is accepted."""

    document: Document
    """Document with the revision that the change got, or a later one that includes it."""
    superseded: bool = False
    """True when later changes were accepted since."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeConflict:
    """The change was not accepted: another one was first."""

    document: Document
    """Present document."""
    differences: tuple[Difference, ...]
    """What changed between the base of the change and the present document."""
    more_differences: int
    """Count of differences that are not listed."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeInvalid:
    """The change was refused: its document has mistakes."""

    mistakes: tuple[mistakes.Mistake, ...]
    """All of them."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeNotAccepted:
    """The change was refused: the object API does not serve, nothing was written."""

    message: str
    """What went wrong."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeUnknown:
    """The change may have been accepted; a further read tells."""

    message: str
    """What went wrong."""


ChangeResult: typing.TypeAlias = (
    ChangeAccepted | ChangeConflict | ChangeInvalid | ChangeNotAccepted | ChangeUnknown
)
"""End of a change; `ChangeUnknown` may be followed by further reads."""

ChangeStep: typing.TypeAlias = store_steps.Put | store_steps.Get | ChangeResult
"""What to do next, or the result."""


class Change:
    """One proposed change: do `first_step`, then feed results until a result comes back."""

    def __init__(self, base: Document, text: str, change_id: str) -> None:
        self._base = base
        self._change_id = change_id
        self._base_history = history(base.text)
        kept = (*self._base_history, change_id)[-HISTORY_LIMIT:]
        self._text = f"{HISTORY_PREFIX} {' '.join(kept)}\n{without_history(text)}"
        self._may_have_effect = False

    def first_step(self) -> store_steps.Put | ChangeInvalid:
        """Check the document and return the write.

        Returns:
            The conditional write, or the mistakes of the document.
        """
        parsed = declarations.parse(self._text)
        if isinstance(parsed, declarations.Rejected):
            return ChangeInvalid(parsed.mistakes)
        return self._write()

    def after_write(self, result: object_api.PutResult) -> ChangeStep:
        """Consume the result of a write.

        Args:
            result: Result of the write that was asked for.

        Returns:
            The next step or the result of the change.
        """
        match result:
            case object_api.Written(version):
                return ChangeAccepted(Document(ids.Revision(version), self._text))
            case object_api.VersionConflict():
                return store_steps.Get(CONFIGURATION_KEY)
            case object_api.AnswerLost():
                self._may_have_effect = True
                return store_steps.Get(CONFIGURATION_KEY)
        if self._may_have_effect:
            return ChangeUnknown(result.message)
        return ChangeNotAccepted(result.message)

    def after_read(self, result: object_api.GetResult) -> ChangeStep:
        """Consume the result of a read; may also be called later to settle `ChangeUnknown`.

        Args:
            result: Result of reading `CONFIGURATION_KEY`.

        Returns:
            The next step or the result of the change.
        """
        if isinstance(result, object_api.StoreUnavailable):
            if self._may_have_effect:
                return ChangeUnknown(result.message)
            return ChangeNotAccepted(f"another change was first; {result.message}")
        version = result.version if isinstance(result, object_api.StoredObject) else 0
        if version <= self._base.revision or isinstance(result, object_api.Absent):
            # Stale, or the first write is still on its way: the same conditional write again
            # takes effect at most once.
            return self._write()
        present = Document(ids.Revision(version), result.value.decode())
        if present.text == self._text:
            return ChangeAccepted(present)
        present_history = history(present.text)
        if self._change_id in present_history:
            return ChangeAccepted(present, superseded=True)
        if self._may_have_effect and not self._covers_base(present_history):
            return ChangeUnknown("too many later changes to tell whether this one was accepted")
        return conflict(self._base, present)

    def _covers_base(self, present_history: tuple[str, ...]) -> bool:
        # Every change keeps the identifiers before it, so a history that reaches back to the
        # base lists every change since.
        if self._base_history:
            return self._base_history[-1] in present_history
        return len(present_history) < HISTORY_LIMIT

    def _write(self) -> store_steps.Put:
        return store_steps.Put(CONFIGURATION_KEY, self._text.encode(), self._base.revision)


def new_change(base: Document, text: str, change_id: str) -> Change:
    """Start a change.

    Args:
        base: Document that the author started from.
        text: TOML text that the author wants; a history line in it is ignored.
        change_id: Identifier unique to this change, without white space.

    Returns:
        The change, of which nothing has been done yet.
    """
    return Change(base, text, change_id)


def conflict(base: Document, present: Document) -> ChangeConflict:
    r"""Describe what changed between two documents.

    Args:
        base: Document that an author started from.
        present: Present document.

    Returns:
        The conflict with its differences in order of their dotted keys.

    >>> conflict(Document(1, "[a]\nb = 1"), Document(2, "[a]\nb = 2")).differences
    (Difference(key='a.b', base='1', current='2'),)
    """
    base_by_key = _flat(_parsed(base.text))
    present_by_key = _flat(_parsed(present.text))
    differences = [
        Difference(key, base_by_key.get(key, ""), present_by_key.get(key, ""))
        for key in sorted(base_by_key.keys() | present_by_key.keys())
        if base_by_key.get(key) != present_by_key.get(key)
    ]
    listed = tuple(differences[:DIFFERENCES_LIMIT])
    return ChangeConflict(present, listed, len(differences) - len(listed))


def history(text: str) -> tuple[str, ...]:
    r"""Return the identifiers of the latest changes, the newest last.

    >>> history("# changes: x y\n")
    ('x', 'y')
    """
    first = text.partition("\n")[0]
    return tuple(first.removeprefix(HISTORY_PREFIX).split()) if _has_history(first) else ()


def without_history(text: str) -> str:
    r"""Return a document without its history line.

    >>> without_history("# changes: x y\n[out]")
    '[out]'
    """
    first, _, rest = text.partition("\n")
    return rest if _has_history(first) else text


def _has_history(line: str) -> bool:
    return line.startswith(HISTORY_PREFIX)


def _parsed(text: str) -> mistakes.Table:
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError:
        return {"document": text}


def _flat(table: mistakes.Table, prefix: str = "") -> dict[str, str]:
    value_by_key: dict[str, str] = {}
    for key, value in table.items():
        if isinstance(value, Mapping) and value:
            value_by_key |= _flat(value, f"{prefix}{key}.")
        else:
            value_by_key[prefix + key] = str(value)
    return value_by_key
