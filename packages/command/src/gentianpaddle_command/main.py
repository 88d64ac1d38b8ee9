"""Command line of operators and owners.

Exit codes: 0 success; 1 a promise was broken or a change is not in force everywhere; 2 wrong use;
3 mistakes in a document; 4 refused or in conflict, nothing changed; 5 unknown whether it changed;
6 no entry answered.
"""

from __future__ import annotations

import enum
import json
import pathlib
import sys
import time
import typing

import click

from gentianpaddle_command import client
from gentianpaddle_core import declarations

CONFIRM_POLL_S = 0.25


class ExitCode(enum.IntEnum):
    """Exit codes of the command."""

    SUCCESS = 0
    BROKEN = 1
    MISTAKES = 3
    REFUSED = 4
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
    """State targets, take places out and back, and read whether targets were met.

    Exit codes: 0 success, 1 a promise was broken or a change is not in force everywhere,
    2 wrong use, 3 mistakes in a document, 4 refused or in conflict (nothing changed),
    5 unknown whether it changed, 6 no entry answered.
    """
    context.obj = _Session(client.new_client(entries, token), as_json)


class _Session:
    def __init__(self, entry: client.EntryClient, as_json: bool) -> None:
        self.entry = entry
        self.as_json = as_json

    def show(self, payload: typing.Any, text: str) -> None:
        click.echo(json.dumps(payload, indent=2) if self.as_json else text)

    def payload(self, answer: client.Answer | client.Unreachable) -> typing.Any:
        """Return the payload of a success; end the command otherwise."""
        if isinstance(answer, client.Unreachable):
            code = ExitCode.UNKNOWN if answer.may_have_run else ExitCode.UNREACHABLE
            self.show({"error": {"message": answer.message}}, f"no answer: {answer.message}")
            sys.exit(code)
        if answer.status < 300:
            return answer.payload
        self.show(answer.payload, _error_text(answer.payload))
        sys.exit(ExitCode.UNKNOWN if answer.status == 504 else ExitCode.REFUSED)


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
    _checked(session, file)
    session.show({"mistakes": []}, f"{file}: no mistakes")


def _checked(session: _Session, file: pathlib.Path) -> str:
    text = file.read_text(encoding="utf-8")
    result = declarations.parse(text, str(file))
    if isinstance(result, declarations.Rejected):
        mistakes = [str(mistake) for mistake in result.mistakes]
        session.show({"mistakes": mistakes}, "\n".join(mistakes))
        sys.exit(ExitCode.MISTAKES)
    return text


@main.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path))
@click.option("--base", type=int, help="Revision that the change is based on; default: present.")
@click.pass_obj
def apply(session: _Session, file: pathlib.Path, base: int | None) -> None:
    """Put a declaration in force; refused when somebody else changed it since the base."""
    text = _checked(session, file)
    if base is None:
        present = session.payload(session.entry.get("/v1/operator/configuration"))
        base = int(present["revision"])
    answer = session.entry.put("/v1/operator/configuration", text.encode(), {"If-Match": str(base)})
    payload = session.payload(answer)
    session.show(payload, f"accepted as revision {payload['revision']}")


@main.command()
@click.pass_obj
def status(session: _Session) -> None:
    """Show members, what is out, the revision in force and who has not confirmed it."""
    payload = session.payload(session.entry.get("/v1/operator/status"))
    session.show(payload, _status_text(payload))


def _status_text(payload: dict[str, typing.Any]) -> str:
    lines = [f"revision {payload['revision']}, out: {', '.join(payload['out']) or 'nothing'}"]
    for member in payload["members"]:
        fields = ("vm", "role", "data_centre", "state")
        confirmed = "confirmed" if member["confirmed"] else "not confirmed"
        lines.append("  ".join([*(str(member[field]) for field in fields), confirmed]))
    return "\n".join(lines)


def _place_options(function: typing.Any) -> typing.Any:
    for option in (
        click.option("--wait", default=13.0, help="Seconds to wait for confirmation by all VMs."),
        click.option("--vm", "vms", multiple=True, help="A VM; may be given several times."),
        click.option("--data-centre", "data_centres", multiple=True, help="A data centre."),
    ):
        function = option(function)
    return function


@main.command()
@_place_options
@click.pass_obj
def out(
    session: _Session, data_centres: tuple[str, ...], vms: tuple[str, ...], wait: float
) -> None:
    """Take data centres or VMs out: they receive no new work and finish what they have."""
    _change_places(session, "out", data_centres, vms, wait)


@main.command()
@_place_options
@click.pass_obj
def back(
    session: _Session, data_centres: tuple[str, ...], vms: tuple[str, ...], wait: float
) -> None:
    """Bring data centres or VMs back; their work returns by a ramp."""
    _change_places(session, "back", data_centres, vms, wait)


def _change_places(
    session: _Session,
    verb: str,
    data_centres: tuple[str, ...],
    vms: tuple[str, ...],
    wait_s: float,
) -> None:
    if not data_centres and not vms:
        raise click.UsageError("give --data-centre or --vm")
    body = {"data_centres": list(data_centres), "vms": list(vms)}
    payload = session.payload(session.entry.post(f"/v1/operator/{verb}", body))
    revision = int(payload["revision"])
    missing = _wait_confirmed(session, revision, wait_s)
    names = ", ".join((*data_centres, *vms))
    result = {"revision": revision, "not_confirmed": missing}
    if missing:
        unconfirmed = ", ".join(missing)
        session.show(result, f"{names}: {verb}, revision {revision}, not confirmed: {unconfirmed}")
        sys.exit(ExitCode.BROKEN)
    session.show(result, f"{names}: {verb}, revision {revision}, in force on all VMs")


def _wait_confirmed(session: _Session, revision: int, wait_s: float) -> list[str]:
    until_s = time.monotonic() + wait_s
    while True:
        payload = session.payload(session.entry.get("/v1/operator/status"))
        missing = [m["vm"] for m in payload["members"] if m["revision"] < revision]
        if not missing or time.monotonic() >= until_s:
            return missing
        time.sleep(CONFIRM_POLL_S)


@main.command()
@click.option("--date", default="", help="Day as YYYY-MM-DD; default: today.")
@click.option("--output", type=click.Path(path_type=pathlib.Path), help="Write HTML to this file.")
@click.pass_obj
def report(session: _Session, date: str, output: pathlib.Path | None) -> None:
    """Show the evening page: whether the day went well."""
    query = f"date={date}&" if date else ""
    payload = session.payload(session.entry.get(f"/report?{query}format=json"))
    if output is not None:
        page = session.payload(session.entry.get(f"/report?{query}format=html"))
        output.write_text(str(page), encoding="utf-8")
    session.show(payload, str(payload["verdict"]["sentence"]))
    if payload["verdict"]["bad"]:
        sys.exit(ExitCode.BROKEN)


@main.command()
@click.option("--seconds", default=30.0, help="Length of the load in seconds.")
@click.option("--output", default="build/demo", help="Directory for the evening page.")
def demo(seconds: float, output: str) -> None:
    """Run a whole system in this process on loopback and take a data centre out and back."""
    from gentianpaddle_command import demo as demo_run  # needs the extra `demo`

    sys.exit(demo_run.run(seconds, pathlib.Path(output)))
