"""Choice of the fronts whose watches of the store end early."""

from __future__ import annotations

import pytest

from gentianpaddle_core import ids
from gentianpaddle_core.serving import members, watch_roles


def front(number: int) -> members.Member:
    data_centre = ids.DataCentreId(f"dc-{number % 3}")
    vm = ids.VmId(f"front-{number}")
    return members.Member(vm, data_centre, f"10.0.0.{number}", 1, f"10.0.0.{number}:2", None)


@pytest.mark.parametrize(
    ("count", "watchers"), [(1, 1), (2, 2), (8, 8), (9, 8), (24, 8), (99, 8), (291, 8)]
)
def test_number_of_prompt_watchers_is_bounded(count: int, watchers: int) -> None:
    """Guards against calls to the store that grow with each front, and against no watcher."""
    fronts = [front(number) for number in range(count)]
    chosen = [
        own
        for own in fronts
        if watch_roles.is_prompt_watcher(own, [other for other in fronts if other != own])
    ]
    assert len(chosen) == watchers


def test_another_front_takes_over_when_a_prompt_watcher_leaves() -> None:
    """Guards against a number of prompt watchers that shrinks with each front that is lost."""
    fronts = [front(number) for number in range(24)]
    for _ in range(16):
        watchers = [
            own
            for own in fronts
            if watch_roles.is_prompt_watcher(own, [other for other in fronts if other != own])
        ]
        assert len(watchers) == watch_roles.PROMPT_WATCHERS
        fronts.remove(watchers[0])
