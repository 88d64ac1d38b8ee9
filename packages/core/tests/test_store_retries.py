"""Retries of the watches of one front while the store is down."""

from __future__ import annotations

import random

import pytest

from gentianpaddle_core.serving import store_retries

KINDS = ("config", "servers", "evacuations")
CHANGE_LIMIT_S = 2.0
"""Maximum delay between a confirmed change and its effect."""
STEP_S = 0.005


def play(
    outage_s: float, call_s: float, refused_later: str | None, seed: int
) -> tuple[int, dict[str, float]]:
    """Play an outage that begins while all watches wait, and the time after it.

    Args:
        outage_s: Duration of the outage.
        call_s: Time after which a call fails.
        refused_later: Kind whose calls fail after the outage as well.
        seed: Seed of the pauses.

    Returns:
        Number of calls in the outage and, by kind, the delay of the first success after it.
    """
    rng = random.Random(seed)
    turns = store_retries.RetryTurns(KINDS)
    pause_end_s = {kind: turns.record_failure(kind, 0.0, rng.random()) for kind in KINDS}
    call_end_s: dict[str, float] = {}
    waiting: set[str] = set()
    success_s: dict[str, float] = {}
    call_count, now_s = 0, 0.0
    while now_s < outage_s + 6.0:
        for kind in KINDS:
            if kind in call_end_s and now_s >= call_end_s[kind]:
                del call_end_s[kind]
                pause_end_s[kind] = now_s + turns.record_failure(kind, call_s, rng.random())
            if kind in pause_end_s and now_s >= pause_end_s[kind]:
                del pause_end_s[kind]
                turns.end_pause(kind)
                waiting.add(kind)
            if kind in waiting and turns.may_call(kind):
                waiting.remove(kind)
                call_count += now_s < outage_s
                if now_s >= outage_s and kind != refused_later:
                    turns.record_success(kind)
                    success_s[kind] = now_s - outage_s
                else:
                    call_end_s[kind] = now_s + call_s
        now_s += STEP_S
    return call_count, success_s


@pytest.mark.parametrize("seed", range(20))
def test_calls_in_an_outage_do_not_grow_with_each_watch(seed: int) -> None:
    """Guards against three watches of each front that all call a store that refuses them.

    Each watch for itself makes 8 to 16 calls in 8 s.
    """
    call_count, _ = play(8.0, 0.0, None, seed)
    assert call_count <= 8.0 / (store_retries.MAX_TURN_PAUSE_S / 2.0) + 3


@pytest.mark.parametrize("call_s", [0.0, 0.7])
@pytest.mark.parametrize("refused_later", [None, *KINDS])
@pytest.mark.parametrize("outage_s", [0.2, 1.0, 5.0, 8.3])
def test_watches_learn_in_time_that_the_store_is_back(
    call_s: float, refused_later: str | None, outage_s: float
) -> None:
    """Guards against a watch that waits for the turn of one whose calls still fail.

    A call that is not answered lasts 0.7 s, also one that began just before the end of the outage.
    """
    for seed in range(20):
        _, success_s = play(outage_s, call_s, refused_later, seed)
        assert set(success_s) == set(KINDS) - {refused_later}
        assert max(success_s.values()) < CHANGE_LIMIT_S


def test_a_single_failing_watch_retries_by_itself() -> None:
    """Guards against a watch whose retries wait for others that do not fail."""
    turns = store_retries.RetryTurns(KINDS)
    for _ in range(5):
        assert turns.record_failure("config", 0.0, 0.0) <= store_retries.RETRY_PAUSE_RANGE_S[1]
        turns.end_pause("config")
        assert turns.may_call("config")
