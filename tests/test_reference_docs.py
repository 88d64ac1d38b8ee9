"""Guards against reference pages that miss a name of the code or keep one that is gone."""

from __future__ import annotations

import ast
import pathlib
import re
import typing

import pytest

from gentianpaddle_core import declarations, settings
from gentianpaddle_daemon import metrics

ROOT = pathlib.Path(__file__).parents[1]
DOCS = ROOT / "docs"
CORE = ROOT / "packages/core/src/gentianpaddle_core"
UNKNOWN = "no_such_key"
LEVELS = ("debug", "info", "warning", "error", "exception", "critical")
ENTRY_TABLES = ("", "limits")
AGENT_TABLES = ("", "backend")
DECLARATION_TABLES = (
    "",
    "out",
    *(f"{name}.<name>" for name in ("classes", "models", "services")),
    *(f"{name}.<name>" for name in ("organisations", "data_centres")),
)


def _known(parse: typing.Any, tables: tuple[str, ...]) -> set[str]:
    """Return the keys without a table of their own, as the parser lists them for unknown keys."""
    text = "\n".join(
        (f"[{table.replace('<name>', 'x')}]\n" if table else "") + f"{UNKNOWN} = 1"
        for table in tables
    )
    prefix_by_key = {
        ".".join(filter(None, (table.replace("<name>", "x"), UNKNOWN))): table for table in tables
    }
    found = {
        ".".join(filter(None, (prefix_by_key[mistake.key], name)))
        for mistake in parse(text).mistakes
        if mistake.key in prefix_by_key
        for name in mistake.allowed.removeprefix("one of ").split(", ")
    }
    parents = {table.removesuffix(".<name>") for table in tables if table}
    assert parents <= found, "each table of the page is a key of the parser"
    return found - parents


def _section(page: str, title: str) -> str:
    text = (DOCS / page).read_text(encoding="utf-8")
    return text.partition(f"\n## {title}\n")[2].partition("\n## ")[0]


def _rows(text: str) -> dict[str, set[str]]:
    """Return the first cell of each table row with the names in its second cell."""
    rows = re.findall(r"^\| `([^`]+)` \|([^|]*)\|", text, re.MULTILINE)
    assert len(rows) == len({name for name, _ in rows}), "a name has two rows"
    return {name: set(re.findall(r"`([^`]+)`", cell)) for name, cell in rows}


@pytest.mark.parametrize(
    ("parse", "tables", "page", "titles"),
    [
        (settings.parse_entry, ENTRY_TABLES, "settings.md", ("Both roles", "Entry")),
        (settings.parse_agent, AGENT_TABLES, "settings.md", ("Both roles", "Agent")),
        (declarations.parse, DECLARATION_TABLES, "declarations.md", ("Keys",)),
    ],
)
def test_keys_of_documents(
    parse: typing.Any, tables: tuple[str, ...], page: str, titles: tuple[str, ...]
):
    listed = _rows("\n".join(_section(page, title) for title in titles))
    assert set(listed) == _known(parse, tables)


@pytest.mark.parametrize(
    ("page", "parse", "count"),
    [
        ("README.md", settings.parse_entry, 2),
        ("README.md", settings.parse_agent, 1),
        ("README.md", declarations.parse, 1),
        ("docs/declarations.md", declarations.parse, 1),
    ],
)
def test_examples_have_no_mistakes(page: str, parse: typing.Any, count: int):
    blocks = re.findall(r"```toml\n(.*?)```", (ROOT / page).read_text(encoding="utf-8"), re.DOTALL)
    assert sum(not hasattr(parse(block), "mistakes") for block in blocks) == count


def _event(call: ast.Call) -> tuple[str, set[str | None]] | None:
    """Return name and fields of a call that writes a log line, None for another call."""
    function = ast.unparse(call.func)
    if function == "logs.event":
        fields = {keyword.arg for keyword in call.keywords} - {"level"}
        return ast.literal_eval(call.args[1]), fields
    if not function.startswith("_logger.") or function.rpartition(".")[2] not in LEVELS:
        return None
    extra: typing.Any = next((each.value for each in call.keywords if each.arg == "extra"), None)
    inner = extra.values[0].keys if extra else ()
    return ast.literal_eval(call.args[0]), {ast.literal_eval(key) for key in inner}


def test_log_events():
    fields_by_event: dict[str, set[str | None]] = {}
    for path in (ROOT / "packages/daemon/src").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            event = _event(node) if isinstance(node, ast.Call) else None
            if event and path.name != "logs.py":
                fields_by_event.setdefault(event[0], set()).update(event[1])
    listed = _rows(_section("operators/logs-and-metrics.md", "Events"))
    assert listed == fields_by_event


def test_metrics():
    text = metrics.new_metrics().render()[0].decode()
    listed = _rows(_section("operators/logs-and-metrics.md", "Metrics"))
    assert set(listed) == set(re.findall(r"^# TYPE (\S+)", text, re.MULTILINE))


def _core_imports(path: pathlib.Path) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module == "gentianpaddle_core":
            names |= {alias.name for alias in node.names}
    return names


def test_modules_that_no_process_uses():
    todo = set()
    for package in ("daemon", "command", "report"):
        for path in (ROOT / "packages" / package / "src").rglob("*.py"):
            todo |= _core_imports(path)
    used = set()
    while todo - used:
        name = (todo - used).pop()
        used.add(name)
        todo |= _core_imports(CORE / f"{name}.py")
    unused = {path.stem for path in CORE.glob("*.py")} - used - {"__init__"}
    assert set(_rows(_section("status.md", "Library modules without a process"))) == unused


def test_links_between_pages():
    pages = [*ROOT.glob("*.md"), *DOCS.rglob("*.md")]
    missing = [
        f"{page.relative_to(ROOT)}: {target}"
        for page in pages
        for target in re.findall(r"\]\((?!https?:)([^)#]+)", page.read_text(encoding="utf-8"))
        if not (page.parent / target).exists()
    ]
    assert missing == []
