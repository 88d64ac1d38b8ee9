"""Validating reader for TOML tables that collects all mistakes instead of only the first."""

from __future__ import annotations

import dataclasses
import tomllib
import typing
from collections.abc import Iterable, Mapping

Table: typing.TypeAlias = Mapping[str, typing.Any]
"""TOML table as returned by `tomllib`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Mistake:
    """Mistake in a TOML document."""

    file: str
    """Name of the document."""
    key: str
    """Dotted key, or `syntax` for a document that cannot be parsed."""
    found: str
    """Value in the document, or the parser's message with line and column."""
    allowed: str
    """Description of the allowed values."""

    def __str__(self) -> str:
        """Return the mistake as one line of text."""
        return f"{self.file}: {self.key}: found {self.found}, allowed: {self.allowed}"


class TableReader:
    """Reads and validates the values of one TOML document and collects its mistakes."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.mistakes: list[Mistake] = []

    def add_mistake(self, key: str, found: object, allowed: str) -> None:
        """Record a mistake.

        Args:
            key: Dotted key.
            found: Value in the document.
            allowed: Description of the allowed values.
        """
        self.mistakes.append(Mistake(self.file, key, _format_value(found), allowed))

    def parse(self, text: str) -> Table | None:
        """Parse a document.

        Args:
            text: TOML text.

        Returns:
            The top-level table, or None after a syntax error, which is recorded as a mistake.
        """
        try:
            return tomllib.loads(text)
        except tomllib.TOMLDecodeError as error:
            found = _with_line_number(str(error), text)
            self.mistakes.append(Mistake(self.file, "syntax", found, "a valid TOML document"))
            return None

    def reject_unknown_keys(self, table: Table, prefix: str, known: Iterable[str]) -> None:
        """Record a mistake for each unknown key of a table.

        Args:
            table: Table to check.
            prefix: Dotted key of the table, empty for the top-level table.
            known: Allowed keys.
        """
        names = sorted(known)
        for key in table:
            if key not in names:
                self.add_mistake(
                    _dotted_key(prefix, key), "unknown key", "one of " + ", ".join(names)
                )

    def table(self, table: Table, prefix: str, key: str) -> Table:
        """Read a sub-table; an absent one reads as empty.

        Args:
            table: Table that contains the key.
            prefix: Dotted key of that table.
            key: Key of the sub-table.

        Returns:
            The sub-table, empty when absent or of another type.
        """
        value = table.get(key, {})
        if isinstance(value, Mapping):
            return value
        self.add_mistake(_dotted_key(prefix, key), value, "a table")
        return {}

    def string(self, table: Table, prefix: str, key: str, default: str | None = None) -> str:
        """Read a non-empty string.

        Args:
            table: Table that contains the key.
            prefix: Dotted key of that table.
            key: Key of the value.
            default: Value when absent; None makes the key required.

        Returns:
            The string, empty after a mistake.
        """
        value = table.get(key, default)
        if isinstance(value, str) and (value or default == ""):
            return value
        self.add_mistake(_dotted_key(prefix, key), value, "a non-empty string")
        return ""

    def number(
        self,
        table: Table,
        prefix: str,
        key: str,
        low: float,
        high: float,
        default: float | None = None,
    ) -> float:
        """Read a number within bounds.

        Args:
            table: Table that contains the key.
            prefix: Dotted key of that table.
            key: Key of the value.
            low: Smallest allowed value.
            high: Largest allowed value.
            default: Value when absent; None makes the key required.

        Returns:
            The number, `low` after a mistake.
        """
        value = table.get(key, default)
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if is_number and low <= typing.cast(float, value) <= high:
            return float(typing.cast(float, value))
        self.add_mistake(_dotted_key(prefix, key), value, f"a number from {low:g} to {high:g}")
        return low

    def integer(
        self,
        table: Table,
        prefix: str,
        key: str,
        low: int,
        high: int,
        default: int | None = None,
    ) -> int:
        """Read an integer within bounds.

        Args:
            table: Table that contains the key.
            prefix: Dotted key of that table.
            key: Key of the value.
            low: Smallest allowed value.
            high: Largest allowed value.
            default: Value when absent; None makes the key required.

        Returns:
            The integer, `low` after a mistake.
        """
        value = table.get(key, default)
        if isinstance(value, int) and not isinstance(value, bool) and low <= value <= high:
            return value
        self.add_mistake(_dotted_key(prefix, key), value, f"an integer from {low} to {high}")
        return low

    def boolean(self, table: Table, prefix: str, key: str, default: bool) -> bool:
        """Read a boolean.

        Args:
            table: Table that contains the key.
            prefix: Dotted key of that table.
            key: Key of the value.
            default: Value when absent.

        Returns:
            The boolean, `default` after a mistake.
        """
        value = table.get(key, default)
        if isinstance(value, bool):
            return value
        self.add_mistake(_dotted_key(prefix, key), value, "true or false")
        return default

    def strings(self, table: Table, prefix: str, key: str) -> tuple[str, ...]:
        """Read an array of strings; an absent one reads as empty.

        Args:
            table: Table that contains the key.
            prefix: Dotted key of that table.
            key: Key of the value.

        Returns:
            The strings, empty after a mistake.
        """
        value = table.get(key, [])
        if isinstance(value, list) and all(isinstance(item, str) for item in value):
            return tuple(value)
        self.add_mistake(_dotted_key(prefix, key), value, "an array of strings")
        return ()

    def choice(
        self, table: Table, prefix: str, key: str, choices: tuple[str, ...], default: str
    ) -> str:
        """Read one of several strings.

        Args:
            table: Table that contains the key.
            prefix: Dotted key of that table.
            key: Key of the value.
            choices: Allowed strings.
            default: Value when absent.

        Returns:
            The string, `default` after a mistake.
        """
        value = table.get(key, default)
        if value in choices:
            return str(value)
        self.add_mistake(_dotted_key(prefix, key), value, "one of " + ", ".join(choices))
        return default


def _dotted_key(prefix: str, key: str) -> str:
    return f"{prefix}.{key}" if prefix else key


def _with_line_number(message: str, text: str) -> str:
    # The message of tomllib contains no line number if the document ends too early.
    last_line = len(text.splitlines())
    return message.replace("at end of document", f"at line {last_line}, end of document")


def _format_value(found: object) -> str:
    if found is None:
        return "nothing"
    return found if found == "unknown key" else repr(found)
