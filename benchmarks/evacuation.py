"""Pause that callers feel when a backend server with long streams leaves.

Compares the chosen ways with resuming every stream elsewhere and with waiting until the stop. The
expectations that the decision gets are wrong by a random factor, as are the rates.
"""

from __future__ import annotations

import dataclasses
import enum
import random

from benchmarks import figures
from gentianpaddle_core import evacuation, ids

RUNS = 40
STREAMS = 24
TIME_LEFT_S = 30.0
TICK_S = 0.05
PLAN_TICKS = 20
TOKEN_GAP_S = 0.02
KV_BYTES_PER_TOKEN = 131_072
DETECTION_S = 0.2
"""Time in which an entry notices a stream that the stop cut."""


class Policy(enum.StrEnum):
    """What is done with the remaining streams."""

    CHOSEN = "chosen"
    RESUME = "resume"
    RESUME_IN_TURN = "resume_in_turn"
    WAIT = "wait"


@dataclasses.dataclass(frozen=True, slots=True)
class Pauses:
    """Pauses of all streams under one policy, 0 for a stream without one."""

    p50_s: float
    """Median in seconds."""
    p95_s: float
    """95th percentile in seconds."""
    paused_share: float
    """Share of the streams that felt a pause."""
    cut: int
    """Streams that the stop interrupted."""
    prediction_ratio: float
    """Mean predicted pause over the mean pause of the changed streams; 1 without any."""


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Figures of a run, by policy and by whether the engines export their cache."""

    chosen: Pauses
    """Chosen ways, engines export."""
    chosen_without_export: Pauses
    """Chosen ways, engines do not export."""
    resume: Pauses
    """Every stream resumes elsewhere at once and waits for a target."""
    resume_in_turn: Pauses
    """Every stream resumes elsewhere, each when a target is free for it."""
    wait: Pauses
    """Every stream stays; those that remain at the stop are cut and resume then."""


@dataclasses.dataclass(slots=True)
class _Stream:
    expected: evacuation.RemainingStream
    end_s: float
    pause_s: float = 0.0
    predicted_s: float = 0.0
    gone: bool = False


class _Fleet:
    """Link and targets with their true rates; each serves one stream at a time."""

    def __init__(self, paths: evacuation.Paths, rng: random.Random) -> None:
        self._paths = paths
        self._rng = rng
        self._link_free_s = 0.0
        self._target_free_s = [0.0] * paths.targets

    def move(self, now_s: float, stream: _Stream) -> float:
        start_s = max(now_s, self._link_free_s)
        time_s = evacuation.move_s(stream.expected, self._paths) * self._error()
        self._link_free_s = start_s + time_s
        return self._link_free_s - now_s

    def resume(self, now_s: float, stream: _Stream) -> float:
        target = self._target_free_s.index(min(self._target_free_s))
        start_s = max(now_s, self._target_free_s[target])
        time_s = evacuation.resume_s(stream.expected, self._paths) * self._error()
        self._target_free_s[target] = start_s + time_s
        return self._target_free_s[target] - now_s

    def target_free_s(self) -> float:
        return min(self._target_free_s)

    def _error(self) -> float:
        return self._rng.lognormvariate(0.0, 0.2)


def run(seed: int = 1) -> Figures:
    """Return the pauses under each policy for the same streams."""
    export = evacuation.Paths(1.25e9, 0.1, 8_000.0, 0.25, 4)
    plain = dataclasses.replace(export, transfer_bytes_per_s=None)
    return Figures(
        chosen=_pauses(seed, Policy.CHOSEN, export),
        chosen_without_export=_pauses(seed, Policy.CHOSEN, plain),
        resume=_pauses(seed, Policy.RESUME, plain),
        resume_in_turn=_pauses(seed, Policy.RESUME_IN_TURN, plain),
        wait=_pauses(seed, Policy.WAIT, plain),
    )


def _pauses(seed: int, policy: Policy, paths: evacuation.Paths) -> Pauses:
    streams: list[_Stream] = []
    cut = 0
    for number in range(RUNS):
        rng = random.Random(seed * 1_000 + number)
        batch = [_new_stream(rng, f"{number}/{index}") for index in range(STREAMS)]
        cut += _leave(batch, policy, paths, rng)
        streams += batch
    pauses = sorted(stream.pause_s for stream in streams)
    changed = [stream for stream in streams if stream.predicted_s > 0.0]
    felt_s = sum(stream.pause_s for stream in changed)
    predicted_s = sum(stream.predicted_s for stream in changed)
    return Pauses(
        p50_s=pauses[len(pauses) // 2],
        p95_s=pauses[len(pauses) * 95 // 100],
        paused_share=sum(pause > 0.0 for pause in pauses) / len(pauses),
        cut=cut,
        prediction_ratio=predicted_s / felt_s if felt_s else 1.0,
    )


def _new_stream(rng: random.Random, key: str) -> _Stream:
    prompt = int(min(60_000.0, rng.lognormvariate(8.7, 0.9)))
    remaining_s = min(4_000.0, rng.lognormvariate(6.6, 1.0)) * TOKEN_GAP_S
    expected = evacuation.RemainingStream(
        key=ids.RequestKey(key),
        remaining_s=remaining_s * rng.lognormvariate(0.0, 0.4),
        context_tokens=prompt,
        cached_tokens=int(prompt * rng.choice([0.0, 0.0, 0.3, 0.8])),
        kv_bytes=prompt * KV_BYTES_PER_TOKEN,
    )
    return _Stream(expected, remaining_s)


def _leave(
    streams: list[_Stream], policy: Policy, paths: evacuation.Paths, rng: random.Random
) -> int:
    fleet = _Fleet(paths, rng)
    if policy is Policy.RESUME:
        for stream in streams:
            _change(fleet, 0.0, stream, evacuation.Way.RESUME)
    if policy is Policy.RESUME_IN_TURN:
        for stream in streams:
            start_s = fleet.target_free_s()
            if stream.end_s > start_s:
                _change(fleet, start_s, stream, evacuation.Way.RESUME)
    if policy is Policy.CHOSEN:
        for tick in range(int(TIME_LEFT_S / TICK_S)):
            now_s = tick * TICK_S
            if tick % PLAN_TICKS == 0:
                _plan(fleet, now_s, streams, paths)
    remaining = [stream for stream in streams if not stream.gone and stream.end_s > TIME_LEFT_S]
    for stream in remaining:
        stream.pause_s = DETECTION_S + fleet.resume(TIME_LEFT_S + DETECTION_S, stream)
    return len(remaining)


def _plan(fleet: _Fleet, now_s: float, streams: list[_Stream], paths: evacuation.Paths) -> None:
    stream_by_key = {s.expected.key: s for s in streams if not s.gone and s.end_s > now_s}
    waiting = tuple(
        dataclasses.replace(s.expected, remaining_s=max(1.0, s.expected.remaining_s - now_s))
        for s in stream_by_key.values()
    )
    for choice in evacuation.choose(now_s, TIME_LEFT_S, waiting, paths):
        stream = stream_by_key[choice.key]
        due = choice.start_s < now_s + PLAN_TICKS * TICK_S
        if choice.way is not evacuation.Way.FINISH and due and stream.end_s > choice.start_s:
            stream.predicted_s = choice.predicted_pause_s
            _change(fleet, choice.start_s, stream, choice.way)


def _change(fleet: _Fleet, now_s: float, stream: _Stream, way: evacuation.Way) -> None:
    change = fleet.move if way is evacuation.Way.MOVE else fleet.resume
    stream.pause_s = change(now_s, stream)
    stream.gone = True


def measure(seed: int = 1) -> list[figures.Figure]:
    """Measure the figures that have bounds.

    Args:
        seed: Seed of the streams.

    Returns:
        Cut streams, and pauses beside those of the simple ways.
    """
    bounds = figures.bounds("evacuation")
    test = f"tests/test_benchmark_evacuation.py::test_chosen_ways_against_simple_ways[{seed}]"
    result = run(seed)
    measured = []
    for name, chosen in (
        ("with export", result.chosen),
        ("without export", result.chosen_without_export),
    ):
        values = (
            ("cut streams", chosen.cut, "streams", "cut_streams"),
            (
                "p95 pause to resuming in turn",
                chosen.p95_s / result.resume_in_turn.p95_s,
                "ratio",
                "p95_over_resume_in_turn",
            ),
            ("p95 pause to waiting", chosen.p95_s / result.wait.p95_s, "ratio", "p95_over_wait"),
        )
        measured += [
            figures.Figure(f"{label}, {name}", value, unit, bounds[key], guard=test)
            for label, value, unit, key in values
        ]
    return measured


def main() -> None:
    """Print the figures."""
    for name, pauses in dataclasses.asdict(run()).items():
        print(name, " ".join(f"{key}={value:.3g}" for key, value in pauses.items()))


if __name__ == "__main__":
    main()
