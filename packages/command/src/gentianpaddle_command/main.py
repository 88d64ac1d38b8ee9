"""Command line for operators and owners.

Exit codes: 0 success; 1 a target was missed, a request was harmed, or not all VMs confirmed a
change; 2 invalid usage; 3 invalid declaration, or findings in a configuration; 4 rejected or in
conflict, nothing changed; 5 unknown whether anything changed; 6 no entry could be reached.
"""

from __future__ import annotations

import enum
import json
import pathlib
import sys
import time
import typing

import click

from gentianpaddle_command import client, config
from gentianpaddle_core import declarations

CONFIRMATION_POLL_INTERVAL_S = 0.25


class ExitCode(enum.IntEnum):
    """Exit codes of the command; click itself exits with 2 on invalid usage."""

    SUCCESS = 0
    UNFULFILLED = 1
    INVALID_DECLARATION = 3
    REJECTED = 4
    UNKNOWN = 5
    UNREACHABLE = 6


@click.group()
@click.option(
    "--entry",
    "entries",
    multiple=True,
    envvar="GENTIANPADDLE_ENTRIES",
    help="Base URL of an entry; give several to try them in turn.",
)
@click.option("--token", envvar="GENTIANPADDLE_TOKEN", default="", help="Token of the operator.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON for scripts.")
@click.pass_context
def main(context: click.Context, entries: tuple[str, ...], token: str, as_json: bool) -> None:
    """Set targets, take data centres or VMs out and back, and read whether targets were met.

    Exit codes: 0 success, 1 a target was missed, a request was harmed, or not all VMs confirmed
    a change, 2 invalid usage, 3 invalid declaration or findings in a configuration, 4 rejected or
    in conflict (nothing changed), 5 unknown whether anything changed, 6 no entry could be reached.
    """
    context.obj = _Session(client.new_client(entries, token), as_json)


class _Session:
    """Client and output format that all subcommands share."""

    def __init__(self, entry: client.EntryClient, as_json: bool) -> None:
        self.entry = entry
        self.as_json = as_json

    def print_output(self, payload: typing.Any, text: str) -> None:
        click.echo(json.dumps(payload, indent=2) if self.as_json else text)

    def payload_or_exit(self, response: client.Answer | client.Unreachable) -> typing.Any:
        """Return the payload of a successful response; otherwise print the error and exit."""
        if isinstance(response, client.Unreachable):
            code = ExitCode.UNKNOWN if response.may_have_run else ExitCode.UNREACHABLE
            self.print_output(
                {"error": {"message": response.message}}, f"no answer: {response.message}"
            )
            sys.exit(code)
        if response.status < 300:
            return response.payload
        self.print_output(response.payload, _error_text(response.payload))
        sys.exit(ExitCode.UNKNOWN if response.status == 504 else ExitCode.REJECTED)


def _error_text(payload: typing.Any) -> str:
    error = payload.get("error", {}) if isinstance(payload, dict) else {}
    lines = [f"{error.get('code', 'error')}: {error.get('message', payload)}"]
    lines += [f"  {line}" for line in error.get("changed", [])]
    return "\n".join(lines)


@main.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path))
@click.pass_obj
def check(session: _Session, file: pathlib.Path) -> None:
    """Check a declaration and report every mistake in it."""
    _read_valid_declaration(session, file)
    session.print_output({"mistakes": []}, f"{file}: no mistakes")


def _read_valid_declaration(session: _Session, file: pathlib.Path) -> str:
    text = file.read_text(encoding="utf-8")
    result = declarations.parse(text, str(file))
    if isinstance(result, declarations.Rejected):
        mistakes = [str(mistake) for mistake in result.mistakes]
        session.print_output({"mistakes": mistakes}, "\n".join(mistakes))
        sys.exit(ExitCode.INVALID_DECLARATION)
    return text


@main.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path))
@click.option("--base", type=int, help="Revision that the change is based on; default: current.")
@click.pass_obj
def apply(session: _Session, file: pathlib.Path, base: int | None) -> None:
    """Put a declaration in force; rejected if another change was made since the base revision."""
    text = _read_valid_declaration(session, file)
    if base is None:
        current = session.payload_or_exit(session.entry.get("/v1/operator/configuration"))
        base = int(current["revision"])
    response = session.entry.put(
        "/v1/operator/configuration", text.encode(), {"If-Match": str(base)}
    )
    payload = session.payload_or_exit(response)
    session.print_output(payload, f"accepted as revision {payload['revision']}")


@main.command()
@click.pass_obj
def status(session: _Session) -> None:
    """Show the members, which of them confirmed the revision in force, and what is out."""
    payload = session.payload_or_exit(session.entry.get("/v1/operator/status"))
    session.print_output(payload, _status_text(payload))


def _status_text(payload: dict[str, typing.Any]) -> str:
    lines = [f"revision {payload['revision']}, out: {', '.join(payload['out']) or 'nothing'}"]
    for member in payload["members"]:
        fields = ("vm", "role", "data_centre", "state")
        confirmed = "confirmed" if member["confirmed"] else "not confirmed"
        lines.append("  ".join([*(str(member[field]) for field in fields), confirmed]))
    return "\n".join(lines)


def _location_options(function: typing.Any) -> typing.Any:
    for option in (
        click.option("--wait", default=13.0, help="Seconds to wait for confirmation by all VMs."),
        click.option("--vm", "vms", multiple=True, help="A VM; may be given several times."),
        click.option(
            "--data-centre", "data_centres", multiple=True, help="A data centre; may be repeated."
        ),
    ):
        function = option(function)
    return function


@main.command()
@_location_options
@click.pass_obj
def out(
    session: _Session, data_centres: tuple[str, ...], vms: tuple[str, ...], wait: float
) -> None:
    """Take data centres or VMs out: they receive no new work and finish what they have."""
    _change_locations(session, "out", data_centres, vms, wait)


@main.command()
@_location_options
@click.pass_obj
def back(
    session: _Session, data_centres: tuple[str, ...], vms: tuple[str, ...], wait: float
) -> None:
    """Bring data centres or VMs back; their work returns by a ramp."""
    _change_locations(session, "back", data_centres, vms, wait)


def _change_locations(
    session: _Session,
    operation: str,
    data_centres: tuple[str, ...],
    vms: tuple[str, ...],
    wait_s: float,
) -> None:
    if not data_centres and not vms:
        raise click.UsageError("give --data-centre or --vm")
    body = {"data_centres": list(data_centres), "vms": list(vms)}
    payload = session.payload_or_exit(session.entry.post(f"/v1/operator/{operation}", body))
    revision = int(payload["revision"])
    unconfirmed_vms = _wait_for_confirmation(session, revision, wait_s)
    names = ", ".join((*data_centres, *vms))
    result = {"revision": revision, "not_confirmed": unconfirmed_vms}
    if unconfirmed_vms:
        unconfirmed = ", ".join(unconfirmed_vms)
        session.print_output(
            result, f"{names}: {operation}, revision {revision}, not confirmed: {unconfirmed}"
        )
        sys.exit(ExitCode.UNFULFILLED)
    session.print_output(result, f"{names}: {operation}, revision {revision}, in force on all VMs")


def _wait_for_confirmation(session: _Session, revision: int, wait_s: float) -> list[str]:
    until_s = time.monotonic() + wait_s
    while True:
        payload = session.payload_or_exit(session.entry.get("/v1/operator/status"))
        unconfirmed_vms = [m["vm"] for m in payload["members"] if m["revision"] < revision]
        if not unconfirmed_vms or time.monotonic() >= until_s:
            return unconfirmed_vms
        time.sleep(CONFIRMATION_POLL_INTERVAL_S)


@main.command()
@click.option("--date", default="", help="Day as YYYY-MM-DD; default: today.")
@click.option("--output", type=click.Path(path_type=pathlib.Path), help="Write HTML to this file.")
@click.pass_obj
def report(session: _Session, date: str, output: pathlib.Path | None) -> None:
    """Show the evening page: whether the day went well."""
    query = f"date={date}&" if date else ""
    payload = session.payload_or_exit(session.entry.get(f"/report?{query}format=json"))
    if output is not None:
        page = session.payload_or_exit(session.entry.get(f"/report?{query}format=html"))
        output.write_text(str(page), encoding="utf-8")
    session.print_output(payload, str(payload["verdict"]["sentence"]))
    if payload["verdict"]["bad"]:
        sys.exit(ExitCode.UNFULFILLED)


@main.command()
@click.option("--seconds", default=30.0, help="Length of the load in seconds.")
@click.option("--output", default="build/demo", help="Directory for the evening page.")
def demo(seconds: float, output: str) -> None:
    """Run a whole system in this process on loopback and take a data centre out and back."""
    from gentianpaddle_command import demo as demo_run  # needs the extra `demo`

    sys.exit(demo_run.run(seconds, pathlib.Path(output)))


@main.group(name="config")
def config_group() -> None:
    """Work with the configuration of a platform."""


@config_group.command(name="check")
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path))
@click.option(
    "--against",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    help="Another configuration; shows what differs from it.",
)
@click.pass_obj
def check_config(session: _Session, file: pathlib.Path, against: pathlib.Path | None) -> None:
    """Check a configuration document (JSON): mistakes, unreachable entries, contradictions."""
    found = config.run(file, against)
    session.print_output(found.payload(), found.text())
    if found.findings:
        sys.exit(ExitCode.INVALID_DECLARATION)
