"""Command line of the daemon with its two roles.

Exit codes: 0 stopped gracefully; 2 wrong use; 3 mistakes in the settings.
"""

from __future__ import annotations

import pathlib
import signal
import sys
import threading
import typing

import click

from gentianpaddle_core import settings
from gentianpaddle_daemon import logs

MISTAKES_EXIT_CODE = 3


class Process(typing.Protocol):
    """A running role."""

    def start(self) -> None:
        """Start serving."""

    def stop(self) -> None:
        """Stop gracefully: take no new work and finish what is in progress."""


@click.group()
def main() -> None:
    """Run one process of gentianpaddle.

    Exit codes: 0 stopped gracefully, 2 wrong use, 3 mistakes in the settings.
    """


_settings_option = click.option(
    "--settings",
    "file",
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    help="TOML file with the settings of this process.",
)


@main.command()
@_settings_option
def entry(file: pathlib.Path) -> None:
    """Accept requests of callers and dispatch them to backend servers."""
    # Imported here because an agent is installed without what only the entry needs.
    from gentianpaddle_daemon.entry import process

    parsed = settings.parse_entry(file.read_text(encoding="utf-8"), str(file))
    if isinstance(parsed, settings.Rejected):
        _reject(parsed)
        return
    logs.set_up(parsed.process.vm, parsed.process.log_format)
    _run_until_signal(process.new_entry_process(parsed))


@main.command()
@_settings_option
def agent(file: pathlib.Path) -> None:
    """Serve the backend server on this VM to the entries."""
    from gentianpaddle_daemon.agent import process

    parsed = settings.parse_agent(file.read_text(encoding="utf-8"), str(file))
    if isinstance(parsed, settings.Rejected):
        _reject(parsed)
        return
    logs.set_up(parsed.process.vm, parsed.process.log_format)
    _run_until_signal(process.new_agent_process(parsed))


def _reject(rejected: settings.Rejected) -> None:
    for mistake in rejected.mistakes:
        click.echo(str(mistake), err=True)
    sys.exit(MISTAKES_EXIT_CODE)


def _run_until_signal(process: Process) -> None:
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    process.start()
    stopping.wait()
    process.stop()
