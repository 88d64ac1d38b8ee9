"""Counts of calls to the store."""

from __future__ import annotations

import asyncio
import logging
import typing

import pytest

from gentianpaddle_core.serving import store_versions
from gentianpaddle_gateway import metrics, store_calls
from gentianpaddle_platform import objects


class _Transport:
    """Answers each call with the same response."""

    def __init__(self, answer: objects.Response | objects.Unavailable) -> None:
        self._answer = answer

    async def call(
        self, method: str, target: str, body: bytes | None, timeout_s: float
    ) -> objects.Response | objects.Unavailable:
        return self._answer


@pytest.mark.parametrize(
    ("call", "answer", "expected"),
    [
        (
            lambda store: store.list("k"),
            objects.Response(503, b""),
            {(objects.CallKind.READ, "p"): 1},
        ),
        (
            lambda store: store.list("k", allow_stale=True),
            objects.Unavailable("lost"),
            {(objects.CallKind.STALE_READ, "p"): 1},
        ),
        (
            lambda store: store.watch("k", store_versions.NOTHING_KNOWN, 1.0),
            objects.Response(410, b""),
            {(objects.CallKind.WATCH, "p"): 1},
        ),
        (
            lambda store: store.put("k", "n", {}),
            objects.Response(409, b""),
            {(objects.CallKind.WRITE, "p"): 2},
        ),
        (
            lambda store: store.delete("k", "n"),
            objects.Response(404, b""),
            {(objects.CallKind.DELETE, "p"): 1},
        ),
    ],
)
def test_each_charged_call_is_counted(
    call: typing.Callable[[objects.ObjectStore], typing.Coroutine[typing.Any, typing.Any, object]],
    answer: objects.Response | objects.Unavailable,
    expected: dict[tuple[objects.CallKind, str], int],
) -> None:
    """Guards against charged calls that no count shows, also refused and failed ones."""
    calls = store_calls.StoreCalls()
    asyncio.run(call(objects.ObjectStore(_Transport(answer), 1.0, "p", calls)))  # type: ignore[arg-type]
    assert calls.counts() == expected


def test_counts_are_logged_and_shown_as_metric(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against counts that operators cannot read."""
    calls = store_calls.StoreCalls()
    calls.count(objects.CallKind.WRITE, "members")
    monkeypatch.setattr(logging.getLogger("gentianpaddle"), "propagate", True)
    with caplog.at_level(logging.INFO):
        calls.log_summary(logging.INFO)
    assert caplog.records[-1].fields == {"total": 1, "members_write": 1}  # type: ignore[attr-defined]
    shown = metrics.new_metrics()
    shown.set_store_calls("write", "members", 1)
    line = b'gentianpaddle_front_store_calls_total{kind="write",purpose="members"} 1'
    assert line in shown.render()
