"""Command line of the daemon, with one subcommand for each role.

Exit codes: 0 stopped gracefully; 2 usage error; 3 invalid settings.
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

INVALID_SETTINGS_EXIT_CODE = 3


class Process(typing.Protocol):
    """Process of one role, as the command line starts and stops it."""

    def start(self) -> None:
        """Listen and start to serve; returns once the process is ready."""

    def stop(self) -> None:
        """Stop gracefully: refuse new work, finish the work in progress and close."""


@click.group()
def main() -> None:
    """Run one process of gentianpaddle.

    Exit codes: 0 stopped gracefully, 2 usage error, 3 invalid settings.
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
    """Accept requests from callers and dispatch them to backend servers."""
    # Imported here because an agent is installed without the dependencies of the entry.
    from gentianpaddle_daemon.entry import process

    parsed = settings.parse_entry(file.read_text(encoding="utf-8"), str(file))
    if isinstance(parsed, settings.Rejected):
        _exit_with_errors(parsed)
        return
    logs.configure_logging(parsed.process.vm, parsed.process.log_format)
    _run_until_signal(process.new_entry_process(parsed))


@main.command()
@_settings_option
def agent(file: pathlib.Path) -> None:
    """Run requests from the entries on the backend server of this VM."""
    from gentianpaddle_daemon.agent import process

    parsed = settings.parse_agent(file.read_text(encoding="utf-8"), str(file))
    if isinstance(parsed, settings.Rejected):
        _exit_with_errors(parsed)
        return
    logs.configure_logging(parsed.process.vm, parsed.process.log_format)
    _run_until_signal(process.new_agent_process(parsed))


def _exit_with_errors(rejected: settings.Rejected) -> None:
    for mistake in rejected.mistakes:
        click.echo(str(mistake), err=True)
    sys.exit(INVALID_SETTINGS_EXIT_CODE)


def _run_until_signal(process: Process) -> None:
    stop_requested = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop_requested.set())
    process.start()
    stop_requested.wait()
    process.stop()
