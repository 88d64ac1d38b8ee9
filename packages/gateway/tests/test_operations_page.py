"""Checks that the operations page documents every event that the platform processes log."""

from __future__ import annotations

import ast
import pathlib

ROOT = pathlib.Path(__file__).resolve().parents[3]
SOURCES = ROOT / "packages" / "gateway" / "src" / "gentianpaddle_gateway"


def logged_events() -> set[str]:
    events = set()
    for path in SOURCES.glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr == "event"
                and len(node.args) > 1
            ):
                names = [
                    item.value
                    for item in ast.walk(node.args[1])
                    if isinstance(item, ast.Constant) and isinstance(item.value, str)
                ]
                events.update(names)
    return events


def test_every_log_event_is_documented() -> None:
    """Guards against log events that on-call engineers cannot look up."""
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    missing = {event for event in logged_events() if f"`{event}`" not in page}
    assert not missing
