"""Guards against reference pages that lack a name of the code or list a removed one."""

from __future__ import annotations

import ast
import dataclasses
import pathlib
import re
import typing

import pytest

from gentianpaddle_core import declarations, settings
from gentianpaddle_daemon import metrics
from gentianpaddle_gateway import gateway_settings

ROOT = pathlib.Path(__file__).parents[1]
DOCS = ROOT / "docs"
CORE = ROOT / "packages/core/src/gentianpaddle_core"
UNKNOWN_KEY = "no_such_key"
LEVELS = ("debug", "info", "warning", "error", "exception", "critical")
ENTRY_TABLES = ("", "limits")
AGENT_TABLES = ("", "backend")
DECLARATION_TABLES = (
    "",
    "out",
    *(f"{name}.<name>" for name in ("classes", "models", "services")),
    *(f"{name}.<name>" for name in ("organisations", "data_centres")),
)


def _parser_keys(parse: typing.Any, tables: tuple[str, ...]) -> set[str]:
    """Return the keys, without those of tables, that the parser reports as allowed."""
    text = "\n".join(
        (f"[{table.replace('<name>', 'x')}]\n" if table else "") + f"{UNKNOWN_KEY} = 1"
        for table in tables
    )
    prefix_by_key = {
        ".".join(filter(None, (table.replace("<name>", "x"), UNKNOWN_KEY))): table
        for table in tables
    }
    found = {
        ".".join(filter(None, (prefix_by_key[mistake.key], name)))
        for mistake in parse(text).mistakes
        if mistake.key in prefix_by_key
        for name in mistake.allowed.removeprefix("one of ").split(", ")
    }
    parents = {table.removesuffix(".<name>") for table in tables if table}
    assert parents <= found, "the parser lacks a table of the page"
    return found - parents


def _section(page: str, title: str) -> str:
    text = (DOCS / page).read_text(encoding="utf-8")
    return text.partition(f"\n## {title}\n")[2].partition("\n## ")[0]


def _table_rows(text: str) -> dict[str, set[str]]:
    """Return the names in the second cell of each table row by the name in its first cell."""
    rows = re.findall(r"^\| `([^`]+)` \|([^|]*)\|", text, re.MULTILINE)
    assert len(rows) == len({name for name, _ in rows}), "a name has more than one row"
    return {name: set(re.findall(r"`([^`]+)`", cell)) for name, cell in rows}


@pytest.mark.parametrize(
    ("parse", "tables", "page", "titles"),
    [
        (settings.parse_entry, ENTRY_TABLES, "settings.md", ("Both roles", "Entry")),
        (settings.parse_agent, AGENT_TABLES, "settings.md", ("Both roles", "Agent")),
        (declarations.parse, DECLARATION_TABLES, "declarations.md", ("Keys",)),
    ],
)
def test_documented_keys_match_the_parsers(
    parse: typing.Any, tables: tuple[str, ...], page: str, titles: tuple[str, ...]
):
    documented = _table_rows("\n".join(_section(page, title) for title in titles))
    assert set(documented) == _parser_keys(parse, tables)


def test_documented_limits_for_callers_match_the_settings():
    documented = _table_rows(_section("settings.md", "Limits for callers on the platform"))
    fields = dataclasses.fields(gateway_settings.CallerLimits)
    assert set(documented) == {f"caller_limits.{field.name}" for field in fields}


@pytest.mark.parametrize(
    ("page", "parse", "count"),
    [
        ("README.md", settings.parse_entry, 2),
        ("README.md", settings.parse_agent, 1),
        ("README.md", declarations.parse, 1),
        ("docs/declarations.md", declarations.parse, 1),
    ],
)
def test_documented_examples_are_valid(page: str, parse: typing.Any, count: int):
    blocks = re.findall(r"```toml\n(.*?)```", (ROOT / page).read_text(encoding="utf-8"), re.DOTALL)
    assert sum(not hasattr(parse(block), "mistakes") for block in blocks) == count


def _log_event(call: ast.Call) -> tuple[str, set[str | None]] | None:
    """Return the event name and fields of a logging call, or None for any other call."""
    function = ast.unparse(call.func)
    if function == "logs.event":
        fields = {keyword.arg for keyword in call.keywords} - {"level"}
        return ast.literal_eval(call.args[1]), fields
    if not function.startswith("_logger.") or function.rpartition(".")[2] not in LEVELS:
        return None
    extra: typing.Any = next((each.value for each in call.keywords if each.arg == "extra"), None)
    inner = extra.values[0].keys if extra else ()
    return ast.literal_eval(call.args[0]), {ast.literal_eval(key) for key in inner}


def test_documented_log_events_match_the_code():
    fields_by_event: dict[str, set[str | None]] = {}
    for path in (ROOT / "packages/daemon/src").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            event = _log_event(node) if isinstance(node, ast.Call) else None
            if event and path.name != "logs.py":
                fields_by_event.setdefault(event[0], set()).update(event[1])
    documented = _table_rows(_section("operators/logs-and-metrics.md", "Events"))
    assert documented == fields_by_event


def test_documented_metrics_match_the_code():
    text = metrics.new_metrics().render()[0].decode()
    documented = _table_rows(_section("operators/logs-and-metrics.md", "Metrics"))
    assert set(documented) == set(re.findall(r"^# TYPE (\S+)", text, re.MULTILINE))


def _core_imports(path: pathlib.Path) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module == "gentianpaddle_core":
            names |= {alias.name for alias in node.names}
    return names


def test_documented_unused_modules_match_the_imports():
    pending = set()
    for package in ("daemon", "command", "report"):
        for path in (ROOT / "packages" / package / "src").rglob("*.py"):
            pending |= _core_imports(path)
    used_modules = set()
    while pending - used_modules:
        name = (pending - used_modules).pop()
        used_modules.add(name)
        pending |= _core_imports(CORE / f"{name}.py")
    unused_modules = {path.stem for path in CORE.glob("*.py")} - used_modules - {"__init__"}
    assert (
        set(_table_rows(_section("status.md", "Library modules without a process")))
        == unused_modules
    )


def test_links_between_pages_resolve():
    pages = [*ROOT.glob("*.md"), *DOCS.rglob("*.md")]
    missing = [
        f"{page.relative_to(ROOT)}: {target}"
        for page in pages
        for target in re.findall(r"\]\((?!https?:)([^)#]+)", page.read_text(encoding="utf-8"))
        if not (page.parent / target).exists()
    ]
    assert missing == []
