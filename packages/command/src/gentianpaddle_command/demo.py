"""Demo: a whole system on loopback, a data centre taken out and back under load, and a verdict."""

from __future__ import annotations

import collections
import dataclasses
import pathlib
import threading
import time

import click

from gentianpaddle_command import _demo_load, _demo_system, client

CALLERS_PER_CLASS = 6
CALLER_PAUSE_S = 0.25
READY_LIMIT_S = 20.0
READY_POLL_S = 0.1
OUT_LIMIT_S = 5.0
"""Seconds after the acceptance of `out` after which no new work may start there."""
OUT_AT_SHARE = 0.3
BACK_AT_SHARE = 0.65


@dataclasses.dataclass(frozen=True, slots=True)
class _ClassSummary:
    name: str
    requests: int
    in_target: float
    target_share: float
    counts: dict[_demo_load.Result, int]


def run(seconds: float, output: pathlib.Path) -> int:
    """Run the demo.

    Args:
        seconds: Length of the load.
        output: Directory for the evening page.

    Returns:
        Exit code: 1 when a promise was broken.
    """
    system = _demo_system.new_system()
    click.echo("starting 4 entries, 8 agents, 6 engines, 2 booking services, 1 object API")
    system.start()
    try:
        entry = client.new_client(tuple(system.entry_urls), _demo_system.OPERATOR_TOKEN)
        _apply(entry)
        _wait_ready(system, entry)
        observations, out_s, back_s = _load(system, entry, seconds)
        page = _write_page(system, output)
        return _judge(system, observations, out_s, back_s, page)
    finally:
        system.stop()


def _payload(answer: client.Answer | client.Unreachable) -> dict[str, object]:
    if isinstance(answer, client.Unreachable) or answer.status >= 300:
        raise click.ClickException(f"the system refused: {answer}")
    assert isinstance(answer.payload, dict), "routes answer with JSON objects"
    return answer.payload


def _apply(entry: client.EntryClient) -> None:
    text = _demo_system.declaration_text().encode()
    payload = _payload(entry.put("/v1/operator/configuration", text, {"If-Match": "0"}))
    click.echo(f"declaration accepted as revision {payload['revision']}")


def _wait_ready(system: _demo_system.System, entry: client.EntryClient) -> None:
    expected = len(system.entries) + len(system.agents)
    until_s = time.monotonic() + READY_LIMIT_S
    while time.monotonic() < until_s:
        status = _payload(entry.get("/v1/operator/status"))
        members = status["members"]
        assert isinstance(members, list), "members are a list"
        confirmed = sum(member["confirmed"] for member in members)
        linked = all(len(each.board.vm_by_backend_server) == 8 for each in system.entries)
        if confirmed == expected and linked:
            click.echo(f"{confirmed} members confirmed the declaration")
            return
        time.sleep(READY_POLL_S)
    raise click.ClickException("the system did not become ready")


def _callers(system: _demo_system.System) -> list[_demo_load.Caller]:
    plans = []
    for number in range(CALLERS_PER_CLASS):
        organisation = _demo_system.ORGANISATIONS[number % len(_demo_system.ORGANISATIONS)]
        token = _demo_system.token_of(organisation)
        plans.append(_demo_load.Plan("confirmation", token, is_booking=True, streamed=False))
        plans.append(_demo_load.Plan("quote", token, is_booking=False, streamed=True))
        plans.append(_demo_load.Plan("crew-briefing", token, is_booking=False, streamed=False))
    return [
        _demo_load.Caller(number, plan, system.entry_urls, CALLER_PAUSE_S)
        for number, plan in enumerate(plans)
    ]


def _load(
    system: _demo_system.System, entry: client.EntryClient, seconds: float
) -> tuple[list[_demo_load.Observation], float, float]:
    callers = _callers(system)
    stop = threading.Event()
    threads = [threading.Thread(target=each.run, args=(stop,)) for each in callers]
    click.echo(f"{len(threads)} callers send requests for {seconds:g} s")
    for thread in threads:
        thread.start()
    centre = _demo_system.DATA_CENTRES[1]
    body = {"data_centres": [centre], "vms": []}
    time.sleep(seconds * OUT_AT_SHARE)
    _payload(entry.post("/v1/operator/out", body))
    out_s = time.monotonic()
    click.echo(f"took {centre} out")
    time.sleep(seconds * (BACK_AT_SHARE - OUT_AT_SHARE))
    back_s = time.monotonic()
    _payload(entry.post("/v1/operator/back", body))
    click.echo(f"brought {centre} back")
    time.sleep(seconds * (1 - BACK_AT_SHARE))
    stop.set()
    for thread in threads:
        thread.join()
    return [each for caller in callers for each in caller.observations], out_s, back_s


def _write_page(system: _demo_system.System, output: pathlib.Path) -> pathlib.Path:
    answer: client.Answer | client.Unreachable = client.Unreachable("no entry", False)
    # Each entry writes its latest figures when it is asked; the last page holds those of all.
    for url in system.entry_urls:
        entry = client.new_client((url,), _demo_system.OPERATOR_TOKEN)
        answer = entry.get("/report?format=html")
    if isinstance(answer, client.Unreachable) or answer.status >= 300:
        raise click.ClickException(f"no evening page: {answer}")
    output.mkdir(parents=True, exist_ok=True)
    page = output / "evening.html"
    page.write_text(str(answer.payload), encoding="utf-8")
    return page


def _judge(
    system: _demo_system.System,
    observations: list[_demo_load.Observation],
    out_s: float,
    back_s: float,
    page: pathlib.Path,
) -> int:
    summaries = _summaries(observations)
    lost = sum(s.counts.get(_demo_load.Result.NOT_SERVED, 0) for s in summaries)
    cut = sum(s.counts.get(_demo_load.Result.CUT_OFF, 0) for s in summaries)
    wrong = sum(s.counts.get(_demo_load.Result.WRONG, 0) for s in summaries)
    unknown = sum(s.counts.get(_demo_load.Result.UNKNOWN, 0) for s in summaries)
    runs = collections.Counter(run.key for b in system.bookings for run in b.service.runs)
    twice = sum(count > 1 for count in runs.values())
    late = _late_starts(system, out_s, back_s)
    worst = _worst_second(observations)
    click.echo(f"{'class':<15}{'requests':>9}{'in target':>11}{'target':>8}  met")
    for each in summaries:
        met = "yes" if each.in_target >= each.target_share else "NO"
        click.echo(
            f"{each.name:<15}{each.requests:>9}{each.in_target:>11.1%}"
            f"{each.target_share:>8.0%}  {met}"
        )
    click.echo(f"worst second while the data centre left and returned: {worst:.1%} in target")
    click.echo(
        f"not served: {lost}, unknown: {unknown}, run twice: {twice}, cut off: {cut}, "
        f"wrong answer: {wrong}"
    )
    click.echo(f"work started in the data centre more than {OUT_LIMIT_S:g} s after out: {late}")
    click.echo(f"engines overloaded: {sum(e.engine.overloads for e in system.engines)}")
    click.echo(f"evening page: {page}")
    missed = any(each.in_target < each.target_share for each in summaries)
    overloads = sum(e.engine.overloads for e in system.engines)
    return 1 if lost or cut or wrong or unknown or twice or late or missed or overloads else 0


def _targets() -> dict[str, tuple[float, float, float]]:
    return {
        "confirmation": (2.0, 1.0, 0.95),
        "quote": (1.8, 0.027, 0.95),
        "crew-briefing": (4.0, 0.060, 0.9),
    }


def _summaries(observations: list[_demo_load.Observation]) -> list[_ClassSummary]:
    summaries = []
    for name, (_, _, share) in _targets().items():
        mine = [each for each in observations if each.class_name == name]
        counts = collections.Counter(each.result for each in mine)
        met = sum(_in_target(each) for each in mine)
        summaries.append(_ClassSummary(name, len(mine), met / max(1, len(mine)), share, counts))
    return summaries


def _in_target(seen: _demo_load.Observation) -> bool:
    first_s, gap_s, _ = _targets()[seen.class_name]
    whole = seen.result is _demo_load.Result.WHOLE
    return whole and seen.first_token_s <= first_s and seen.gap_s <= gap_s


def _worst_second(observations: list[_demo_load.Observation]) -> float:
    met_by_second: dict[int, list[bool]] = collections.defaultdict(list)
    for each in observations:
        met_by_second[int(each.started_s)].append(_in_target(each))
    shares = [sum(met) / len(met) for met in met_by_second.values()]
    return min(shares, default=0.0)


def _late_starts(system: _demo_system.System, out_s: float, back_s: float) -> int:
    centre = _demo_system.DATA_CENTRES[1]
    places = [(e.data_centre, e.engine.runs) for e in system.engines]
    places += [(b.data_centre, b.service.runs) for b in system.bookings]
    return sum(
        out_s + OUT_LIMIT_S < run.started_s < back_s
        for place, runs in places
        if place == centre
        for run in runs
    )
