"""Guards against streams that a planned stop interrupts or pauses unnecessarily."""

from __future__ import annotations

import dataclasses
import random

import pytest

from gentianpaddle_core import evacuation, ids

COSTS = evacuation.TransferCosts(1e9, 0.1, 8_000.0, 0.2, targets=2)
NO_EXPORT = dataclasses.replace(COSTS, transfer_bytes_per_s=None)
NO_TARGET = dataclasses.replace(COSTS, targets=0)


Stream = evacuation.RemainingStream


def stream(left_s: float = 60.0, tokens: int = 16_000, key: str = "k", **values: object) -> Stream:
    default = Stream(ids.RequestKey(key), left_s, tokens, 0, 10**9)
    return dataclasses.replace(default, **values)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("remaining", "costs", "left_s", "result"),
    [
        (stream(6.0), COSTS, 10.0, ("finish", 0.0, False)),
        (stream(8.0), COSTS, 10.0, ("move", 1.1, False)),
        (stream(), NO_EXPORT, 10.0, ("resume", 2.2, False)),
        (stream(cached_tokens=15_200), COSTS, 10.0, ("resume", 0.3, False)),
        (stream(cached_tokens=99_999), COSTS, 10.0, ("resume", 0.2, False)),
        (stream(resumable=False), COSTS, 10.0, ("move", 1.1, False)),
        (stream(resumable=False), NO_EXPORT, 10.0, ("finish", 0.0, True)),
        (stream(8.0, resumable=False), NO_EXPORT, 10.0, ("finish", 0.0, False)),
        (stream(), NO_TARGET, 10.0, ("finish", 0.0, True)),
        (stream(), COSTS, 1.0, ("resume", 2.2, False)),
        (stream(), COSTS, -5.0, ("resume", 2.2, False)),
        (stream(resumable=False), COSTS, 1.0, ("move", 1.1, True)),
    ],
)
def test_choice_for_one_stream(
    remaining: Stream,
    costs: evacuation.TransferCosts,
    left_s: float,
    result: tuple[str, float, bool],
):
    (choice,) = evacuation.plan(100.0, 100.0 + left_s, (remaining,), costs)
    assert (choice.method, round(choice.predicted_pause_s, 6), choice.overruns) == result


def test_transfer_time_goes_to_the_streams_that_save_the_most_pause():
    streams = tuple(stream(tokens=8_000 * n, key=f"k{n}") for n in range(2, 12))
    choices = {c.key: c for c in evacuation.plan(0.0, 5.0, streams, COSTS)}
    moved = [key for key, choice in choices.items() if choice.method is evacuation.Method.MOVE]
    assert sorted(moved) == ["k10", "k11", "k8", "k9"]


def test_targets_resume_streams_concurrently():
    streams = tuple(stream(key=f"k{n}") for n in range(3))
    starts = [round(c.start_s, 3) for c in evacuation.plan(0.0, 10.0, streams, NO_EXPORT)]
    assert starts == [4.6, 6.8, 6.8]


@pytest.mark.parametrize("seed", range(30))
def test_plan_covers_every_stream_and_transfers_do_not_overlap(seed: int):
    rng = random.Random(seed)
    costs = rng.choice([COSTS, NO_EXPORT])
    streams = tuple(
        stream(rng.uniform(0.1, 90.0), rng.randint(10, 30_000), f"k{n}") for n in range(12)
    )
    left_s = rng.choice([2.0, 30.0, 60.0])
    choices = evacuation.plan(7.0, 7.0 + left_s, streams, costs)
    assert sorted(c.key for c in choices) == sorted(s.key for s in streams)
    by_key = {s.key: s for s in streams}
    stop_s = 7.0 + left_s
    for method, concurrency in (
        (evacuation.Method.MOVE, 1),
        (evacuation.Method.RESUME, costs.targets),
    ):
        duration = evacuation.move_s if method is evacuation.Method.MOVE else evacuation.resume_s
        spans = []
        for choice in choices:
            if choice.method is method:
                end_s = choice.start_s + choice.predicted_pause_s
                spans.append((end_s - duration(by_key[choice.key], costs), end_s))
                assert 7.0 <= choice.start_s <= stop_s
        for at_s, _ in spans:
            assert sum(a <= at_s + 1e-9 < b - 1e-9 for a, b in spans) <= concurrency
    for choice in choices:
        if choice.method is evacuation.Method.FINISH:
            assert by_key[choice.key].remaining_s <= evacuation.FINISH_SHARE * left_s
        else:
            assert choice.overruns is False
