"""Checks a configuration document of the platform, and compares two of them."""

from __future__ import annotations

import pathlib
import typing

from gentianpaddle_core.serving import configuration_check


class Report(typing.NamedTuple):
    """Result of a check."""

    findings: list[configuration_check.Finding]
    differences: list[configuration_check.Difference]

    def payload(self) -> dict[str, typing.Any]:
        """Return the report for scripts."""
        return {
            "findings": [
                {"place": each.place, "category": each.category.value, "message": each.message}
                for each in self.findings
            ],
            "differences": [
                {"place": each.place, "before": each.before, "after": each.after}
                for each in self.differences
            ],
        }

    def text(self) -> str:
        """Return the report as tables."""
        parts = ["no findings"]
        if self.findings:
            rows = [(each.place, each.category.value, each.message) for each in self.findings]
            parts = [_table(("place", "category", "finding"), rows)]
        if self.differences:
            rows = [
                (each.place, _shown(each.before), _shown(each.after)) for each in self.differences
            ]
            parts.append(_table(("place", "before", "after"), rows))
        return "\n\n".join(parts)


def run(file: pathlib.Path, against: pathlib.Path | None) -> Report:
    """Check a document.

    Args:
        file: The document.
        against: Document to compare it with, or None.

    Returns:
        The findings and differences. Mistakes of the other document are not reported, unless it
        cannot be read at all.
    """
    from gentianpaddle_platform import configuration_reader  # needs the extra `platform`

    reading = configuration_reader.read(file.read_bytes())
    findings = [*reading.findings, *configuration_check.check(reading.configuration)]
    if against is None:
        return Report(findings, [])
    other = configuration_reader.read(against.read_bytes())
    findings += [
        configuration_check.Finding(f"--against: {each.place}", each.category, each.message)
        for each in other.findings
        if each.place == "document"
    ]
    return Report(
        findings, configuration_check.differences(other.value_by_place, reading.value_by_place)
    )


def _shown(value: str | None) -> str:
    return "-" if value is None else value


def _table(head: tuple[str, ...], rows: list[tuple[str, str, str]]) -> str:
    """Return rows as a table with aligned columns."""
    widths = [max(len(row[column]) for row in (head, *rows)) for column in range(len(head))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in (head, *rows)
    )
