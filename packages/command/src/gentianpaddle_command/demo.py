"""Demo: takes a data centre out and back under load in a whole system on loopback."""

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
READY_TIMEOUT_S = 20.0
READY_POLL_INTERVAL_S = 0.1
OUT_LIMIT_S = 5.0
"""Time after the acceptance of `out` after which no new work may start in the data centre."""
OUT_AT_SHARE = 0.3
"""Share of the load time after which the data centre is taken out."""
BACK_AT_SHARE = 0.65
"""Share of the load time after which the data centre is brought back."""


@dataclasses.dataclass(frozen=True, slots=True)
class _ClassSummary:
    name: str
    requests: int
    in_target_share: float
    target_share: float
    count_by_result: dict[_demo_load.Result, int]


def run(seconds: float, output: pathlib.Path) -> int:
    """Run the demo and print its results.

    Args:
        seconds: Duration of the load in seconds.
        output: Directory for the evening page.

    Returns:
        Exit code: 1 when a request failed, ran twice or started in the data centre
        after it was out, a class missed its target or an engine was overloaded; else 0.
    """
    system = _demo_system.new_system()
    click.echo("starting 4 entries, 8 agents, 6 engines, 2 booking services, 1 object API")
    system.start()
    try:
        entry = client.new_client(tuple(system.entry_urls), _demo_system.OPERATOR_TOKEN)
        _apply(entry)
        _wait_ready(system, entry)
        observations, out_s, back_s = _run_load(system, entry, seconds)
        page = _write_page(system, output)
        return _print_results(system, observations, out_s, back_s, page)
    finally:
        system.stop()


def _payload_or_raise(response: client.Answer | client.Unreachable) -> dict[str, object]:
    if isinstance(response, client.Unreachable) or response.status >= 300:
        raise click.ClickException(f"the system refused: {response}")
    assert isinstance(response.payload, dict), "routes must return JSON objects"
    return response.payload


def _apply(entry: client.EntryClient) -> None:
    text = _demo_system.declaration_text().encode()
    payload = _payload_or_raise(entry.put("/v1/operator/configuration", text, {"If-Match": "0"}))
    click.echo(f"declaration accepted as revision {payload['revision']}")


def _wait_ready(system: _demo_system.System, entry: client.EntryClient) -> None:
    expected = len(system.entries) + len(system.agents)
    until_s = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < until_s:
        status = _payload_or_raise(entry.get("/v1/operator/status"))
        members = status["members"]
        assert isinstance(members, list), "members must be a list"
        confirmed = sum(member["confirmed"] for member in members)
        connected = all(len(each.board.vm_by_backend_server) == 8 for each in system.entries)
        if confirmed == expected and connected:
            click.echo(f"{confirmed} members confirmed the declaration")
            return
        time.sleep(READY_POLL_INTERVAL_S)
    raise click.ClickException("the system did not become ready")


def _callers(system: _demo_system.System) -> list[_demo_load.Caller]:
    caller_options = []
    for number in range(CALLERS_PER_CLASS):
        organisation = _demo_system.ORGANISATIONS[number % len(_demo_system.ORGANISATIONS)]
        token = _demo_system.token_of(organisation)
        caller_options.append(
            _demo_load.CallerOptions("confirmation", token, is_booking=True, streamed=False)
        )
        caller_options.append(
            _demo_load.CallerOptions("quote", token, is_booking=False, streamed=True)
        )
        caller_options.append(
            _demo_load.CallerOptions("crew-briefing", token, is_booking=False, streamed=False)
        )
    return [
        _demo_load.Caller(number, options, system.entry_urls, CALLER_PAUSE_S)
        for number, options in enumerate(caller_options)
    ]


def _run_load(
    system: _demo_system.System, entry: client.EntryClient, seconds: float
) -> tuple[list[_demo_load.Observation], float, float]:
    callers = _callers(system)
    stop = threading.Event()
    threads = [threading.Thread(target=caller.run, args=(stop,)) for caller in callers]
    click.echo(f"{len(threads)} callers send requests for {seconds:g} s")
    for thread in threads:
        thread.start()
    data_centre = _demo_system.DATA_CENTRES[1]
    body = {"data_centres": [data_centre], "vms": []}
    time.sleep(seconds * OUT_AT_SHARE)
    _payload_or_raise(entry.post("/v1/operator/out", body))
    out_s = time.monotonic()
    click.echo(f"took {data_centre} out")
    time.sleep(seconds * (BACK_AT_SHARE - OUT_AT_SHARE))
    back_s = time.monotonic()
    _payload_or_raise(entry.post("/v1/operator/back", body))
    click.echo(f"brought {data_centre} back")
    time.sleep(seconds * (1 - BACK_AT_SHARE))
    stop.set()
    for thread in threads:
        thread.join()
    return [observation for caller in callers for observation in caller.observations], out_s, back_s


def _write_page(system: _demo_system.System, output: pathlib.Path) -> pathlib.Path:
    response: client.Answer | client.Unreachable = client.Unreachable("no entry", False)
    # Each entry stores its latest figures when its report is requested, so that the page of the
    # last entry includes the figures of all.
    for url in system.entry_urls:
        entry = client.new_client((url,), _demo_system.OPERATOR_TOKEN)
        response = entry.get("/report?format=html")
    if isinstance(response, client.Unreachable) or response.status >= 300:
        raise click.ClickException(f"no evening page: {response}")
    output.mkdir(parents=True, exist_ok=True)
    page = output / "evening.html"
    page.write_text(str(response.payload), encoding="utf-8")
    return page


def _print_results(
    system: _demo_system.System,
    observations: list[_demo_load.Observation],
    out_s: float,
    back_s: float,
    page: pathlib.Path,
) -> int:
    """Print the results and return the exit code of the demo."""
    summaries = _summaries(observations)
    not_served = sum(s.count_by_result.get(_demo_load.Result.NOT_SERVED, 0) for s in summaries)
    cut = sum(s.count_by_result.get(_demo_load.Result.CUT_OFF, 0) for s in summaries)
    wrong = sum(s.count_by_result.get(_demo_load.Result.WRONG, 0) for s in summaries)
    unknown = sum(s.count_by_result.get(_demo_load.Result.UNKNOWN, 0) for s in summaries)
    runs = collections.Counter(run.key for b in system.bookings for run in b.service.request_starts)
    run_twice = sum(count > 1 for count in runs.values())
    late_starts = _count_late_starts(system, out_s, back_s)
    lowest_share = _lowest_in_target_share(observations)
    click.echo(f"{'class':<15}{'requests':>9}{'in target':>11}{'target':>8}  met")
    for each in summaries:
        met = "yes" if each.in_target_share >= each.target_share else "NO"
        click.echo(
            f"{each.name:<15}{each.requests:>9}{each.in_target_share:>11.1%}"
            f"{each.target_share:>8.0%}  {met}"
        )
    click.echo(
        f"worst second while the data centre left and returned: {lowest_share:.1%} in target"
    )
    click.echo(
        f"not served: {not_served}, unknown: {unknown}, run twice: {run_twice}, cut off: {cut}, "
        f"wrong answer: {wrong}"
    )
    click.echo(
        f"work started in the data centre more than {OUT_LIMIT_S:g} s after out: {late_starts}"
    )
    click.echo(f"engines overloaded: {sum(e.engine.overload_count for e in system.engines)}")
    click.echo(f"evening page: {page}")
    missed = any(each.in_target_share < each.target_share for each in summaries)
    overloads = sum(e.engine.overload_count for e in system.engines)
    return (
        1
        if not_served or cut or wrong or unknown or run_twice or late_starts or missed or overloads
        else 0
    )


def _targets() -> dict[str, tuple[float, float, float]]:
    """Return time to first token (s), time between tokens (s) and target share by class."""
    return {
        "confirmation": (2.0, 1.0, 0.95),
        "quote": (1.8, 0.027, 0.95),
        "crew-briefing": (4.0, 0.060, 0.9),
    }


def _summaries(observations: list[_demo_load.Observation]) -> list[_ClassSummary]:
    summaries = []
    for name, (_, _, share) in _targets().items():
        class_observations = [
            observation for observation in observations if observation.class_name == name
        ]
        count_by_result = collections.Counter(
            observation.result for observation in class_observations
        )
        met = sum(_in_target(observation) for observation in class_observations)
        summaries.append(
            _ClassSummary(
                name,
                len(class_observations),
                met / max(1, len(class_observations)),
                share,
                count_by_result,
            )
        )
    return summaries


def _in_target(observation: _demo_load.Observation) -> bool:
    first_token_target_s, gap_target_s, _ = _targets()[observation.class_name]
    complete = observation.result is _demo_load.Result.COMPLETE
    return (
        complete
        and observation.first_token_s <= first_token_target_s
        and observation.gap_s <= gap_target_s
    )


def _lowest_in_target_share(observations: list[_demo_load.Observation]) -> float:
    """Return the lowest share of requests in target of any second of the load."""
    met_by_second: dict[int, list[bool]] = collections.defaultdict(list)
    for observation in observations:
        met_by_second[int(observation.started_s)].append(_in_target(observation))
    shares = [sum(met) / len(met) for met in met_by_second.values()]
    return min(shares, default=0.0)


def _count_late_starts(system: _demo_system.System, out_s: float, back_s: float) -> int:
    data_centre = _demo_system.DATA_CENTRES[1]
    located_runs = [(e.data_centre, e.engine.request_starts) for e in system.engines]
    located_runs += [(b.data_centre, b.service.request_starts) for b in system.bookings]
    return sum(
        out_s + OUT_LIMIT_S < run.started_s < back_s
        for location, runs in located_runs
        if location == data_centre
        for run in runs
    )
