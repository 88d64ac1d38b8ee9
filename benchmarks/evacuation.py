"""Pauses of long streams when a backend server is evacuated before a planned stop.

Compares `evacuation.plan` with resuming every stream elsewhere and with waiting until the stop.
The planner gets estimates of the remaining time, and of transfer and resume times, that are off by
random factors.
"""

from __future__ import annotations

import dataclasses
import enum
import random

from benchmarks import figures
from gentianpaddle_core import evacuation, ids

RUNS = 40
"""Number of simulated stops."""
STREAMS = 24
"""Number of streams on the server at each stop."""
STOP_S = 30.0
"""Virtual time of the stop in seconds; it is announced at 0 s."""
TICK_S = 0.05
PLAN_TICKS = 20
"""Number of ticks between two plans."""
TOKEN_GAP_S = 0.02
KV_BYTES_PER_TOKEN = 131_072
DETECTION_S = 0.2
"""Time until an entry notices that the stop cut a stream."""


class Policy(enum.StrEnum):
    """How the streams of the leaving server are handled."""

    CHOSEN = "chosen"
    RESUME = "resume"
    RESUME_IN_TURN = "resume_in_turn"
    WAIT = "wait"


@dataclasses.dataclass(frozen=True, slots=True)
class Pauses:
    """Pauses of all streams under one policy; a stream without a pause counts as 0 s."""

    p50_s: float
    """Median pause."""
    p95_s: float
    """95th percentile of the pauses."""
    paused_share: float
    """Share of the streams that were paused."""
    cut: int
    """Number of streams that the stop interrupted."""
    prediction_ratio: float
    """Predicted over actual pause, summed over the streams that a plan evacuated; 1 if none."""


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Pauses by policy, and by whether the engines export their KV cache."""

    chosen: Pauses
    """Methods chosen by `evacuation.plan`, with export of the KV cache."""
    chosen_without_export: Pauses
    """Methods chosen by `evacuation.plan`, without export of the KV cache."""
    resume: Pauses
    """Every stream stops at once and resumes elsewhere when a target is free."""
    resume_in_turn: Pauses
    """Every stream keeps running until a target is free, then resumes there."""
    wait: Pauses
    """Every stream stays; those that remain at the stop are cut and resume after it."""


@dataclasses.dataclass(slots=True)
class _Stream:
    estimate: evacuation.RemainingStream
    end_s: float
    pause_s: float = 0.0
    predicted_pause_s: float = 0.0
    evacuated: bool = False


class _Destinations:
    """Transfer link and target servers with actual times; each serves one stream at a time."""

    def __init__(self, costs: evacuation.TransferCosts, rng: random.Random) -> None:
        self._costs = costs
        self._rng = rng
        self._link_free_s = 0.0
        self._target_free_s = [0.0] * costs.targets

    def move(self, now_s: float, stream: _Stream) -> float:
        start_s = max(now_s, self._link_free_s)
        time_s = evacuation.move_s(stream.estimate, self._costs) * self._estimate_error()
        self._link_free_s = start_s + time_s
        return self._link_free_s - now_s

    def resume(self, now_s: float, stream: _Stream) -> float:
        target = self._target_free_s.index(min(self._target_free_s))
        start_s = max(now_s, self._target_free_s[target])
        time_s = evacuation.resume_s(stream.estimate, self._costs) * self._estimate_error()
        self._target_free_s[target] = start_s + time_s
        return self._target_free_s[target] - now_s

    def earliest_target_free_s(self) -> float:
        return min(self._target_free_s)

    def _estimate_error(self) -> float:
        return self._rng.lognormvariate(0.0, 0.2)


def run(seed: int = 1) -> Figures:
    """Simulate the same streams under each policy and return their pauses."""
    with_export = evacuation.TransferCosts(1.25e9, 0.1, 8_000.0, 0.25, 4)
    without_export = dataclasses.replace(with_export, transfer_bytes_per_s=None)
    return Figures(
        chosen=_pauses(seed, Policy.CHOSEN, with_export),
        chosen_without_export=_pauses(seed, Policy.CHOSEN, without_export),
        resume=_pauses(seed, Policy.RESUME, without_export),
        resume_in_turn=_pauses(seed, Policy.RESUME_IN_TURN, without_export),
        wait=_pauses(seed, Policy.WAIT, without_export),
    )


def _pauses(seed: int, policy: Policy, costs: evacuation.TransferCosts) -> Pauses:
    streams: list[_Stream] = []
    cut = 0
    for number in range(RUNS):
        rng = random.Random(seed * 1_000 + number)
        batch = [_new_stream(rng, f"{number}/{index}") for index in range(STREAMS)]
        cut += _evacuate(batch, policy, costs, rng)
        streams += batch
    pauses = sorted(stream.pause_s for stream in streams)
    evacuated_streams = [stream for stream in streams if stream.predicted_pause_s > 0.0]
    total_pause_s = sum(stream.pause_s for stream in evacuated_streams)
    predicted_pause_s = sum(stream.predicted_pause_s for stream in evacuated_streams)
    return Pauses(
        p50_s=pauses[len(pauses) // 2],
        p95_s=pauses[len(pauses) * 95 // 100],
        paused_share=sum(pause > 0.0 for pause in pauses) / len(pauses),
        cut=cut,
        prediction_ratio=predicted_pause_s / total_pause_s if total_pause_s else 1.0,
    )


def _new_stream(rng: random.Random, key: str) -> _Stream:
    context_tokens = int(min(60_000.0, rng.lognormvariate(8.7, 0.9)))
    remaining_s = min(4_000.0, rng.lognormvariate(6.6, 1.0)) * TOKEN_GAP_S
    estimate = evacuation.RemainingStream(
        key=ids.RequestKey(key),
        remaining_s=remaining_s * rng.lognormvariate(0.0, 0.4),
        context_tokens=context_tokens,
        cached_tokens=int(context_tokens * rng.choice([0.0, 0.0, 0.3, 0.8])),
        kv_bytes=context_tokens * KV_BYTES_PER_TOKEN,
    )
    return _Stream(estimate, remaining_s)


def _evacuate(
    streams: list[_Stream], policy: Policy, costs: evacuation.TransferCosts, rng: random.Random
) -> int:
    destinations = _Destinations(costs, rng)
    if policy is Policy.RESUME:
        for stream in streams:
            _evacuate_stream(destinations, 0.0, stream, evacuation.Method.RESUME)
    if policy is Policy.RESUME_IN_TURN:
        for stream in streams:
            start_s = destinations.earliest_target_free_s()
            if stream.end_s > start_s:
                _evacuate_stream(destinations, start_s, stream, evacuation.Method.RESUME)
    if policy is Policy.CHOSEN:
        for tick in range(int(STOP_S / TICK_S)):
            now_s = tick * TICK_S
            if tick % PLAN_TICKS == 0:
                _apply_plan(destinations, now_s, streams, costs)
    remaining = [stream for stream in streams if not stream.evacuated and stream.end_s > STOP_S]
    for stream in remaining:
        stream.pause_s = DETECTION_S + destinations.resume(STOP_S + DETECTION_S, stream)
    return len(remaining)


def _apply_plan(
    destinations: _Destinations,
    now_s: float,
    streams: list[_Stream],
    costs: evacuation.TransferCosts,
) -> None:
    stream_by_key = {
        stream.estimate.key: stream
        for stream in streams
        if not stream.evacuated and stream.end_s > now_s
    }
    # A stream that outlasts its estimate is expected to need one more second.
    remaining_streams = tuple(
        dataclasses.replace(
            stream.estimate, remaining_s=max(1.0, stream.estimate.remaining_s - now_s)
        )
        for stream in stream_by_key.values()
    )
    for choice in evacuation.plan(now_s, STOP_S, remaining_streams, costs):
        stream = stream_by_key[choice.key]
        is_due = choice.start_s < now_s + PLAN_TICKS * TICK_S
        if (
            choice.method is not evacuation.Method.FINISH
            and is_due
            and stream.end_s > choice.start_s
        ):
            stream.predicted_pause_s = choice.predicted_pause_s
            _evacuate_stream(destinations, choice.start_s, stream, choice.method)


def _evacuate_stream(
    destinations: _Destinations, now_s: float, stream: _Stream, method: evacuation.Method
) -> None:
    evacuate = destinations.move if method is evacuation.Method.MOVE else destinations.resume
    stream.pause_s = evacuate(now_s, stream)
    stream.evacuated = True


def measure(seed: int = 1) -> list[figures.Figure]:
    """Measure the figures that have bounds.

    Args:
        seed: Seed of the streams.

    Returns:
        Cut streams, and p95 pauses relative to resuming in turn and to waiting.
    """
    bounds = figures.bounds("evacuation")
    test = (
        "tests/test_benchmark_evacuation.py::"
        f"test_chosen_strategies_against_simple_strategies[{seed}]"
    )
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
            figures.Figure(f"{label}, {name}", value, unit, bounds[key], guard_test=test)
            for label, value, unit, key in values
        ]
    return measured


def main() -> None:
    """Print the pauses under each policy."""
    for name, pauses in dataclasses.asdict(run()).items():
        print(name, " ".join(f"{key}={value:.3g}" for key, value in pauses.items()))


if __name__ == "__main__":
    main()
