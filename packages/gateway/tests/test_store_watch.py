"""Watches of the store that fail or fall silent, one or all of them, while the store works."""

from __future__ import annotations

import asyncio
import pathlib
import typing

import pytest
from gentianpaddle_platform_standins import documents, front_system, store

from gentianpaddle_core.serving import store_versions
from gentianpaddle_gateway import store_eras, store_watch
from gentianpaddle_platform import objects

STABILITY_WINDOW_S = 3.0
"""Time after the fault from which the limits on the delay of changes apply again."""

CHANGE_LIMIT_S = 2.0
"""Maximum delay between a change and its effect."""


def withdraw_key(running: front_system.System) -> None:
    running.store.put("config", "main", documents.configuration(2, keys=("key-2",)))


def evacuate(running: front_system.System) -> None:
    running.store.put("evacuations", "north", {})


def drain_server(running: front_system.System) -> None:
    for standin in running.replicas:
        entry = {**standin.entry("app", "north"), "state": "draining"}
        running.store.put("servers", standin.server, entry)


@pytest.mark.parametrize(
    ("change", "status"), [(withdraw_key, 401), (evacuate, 503), (drain_server, 503)]
)
def test_changes_take_effect_after_store_connections_fell_silent(
    tmp_path: pathlib.Path,
    change: typing.Callable[[front_system.System], None],
    status: int,
) -> None:
    """Guards against fronts that apply an old configuration for the rest of a silent watch."""

    async def scenario() -> None:
        async with front_system.system(tmp_path) as running:
            await asyncio.sleep(0.5)
            running.store.http.silence_connections()
            await asyncio.sleep(STABILITY_WINDOW_S)
            change(running)
            await asyncio.sleep(CHANGE_LIMIT_S)
            assert (await running.ask("/look/1")).status == status

    asyncio.run(scenario())


EVACUATION_LIMIT_S = 5.0
"""Maximum delay between an evacuation and its effect."""


@pytest.mark.parametrize(
    ("kind", "change", "limit_s", "status"),
    [
        ("config", withdraw_key, CHANGE_LIMIT_S, 401),
        ("evacuations", evacuate, EVACUATION_LIMIT_S, 503),
        ("servers", drain_server, CHANGE_LIMIT_S, 503),
    ],
)
def test_changes_take_effect_after_the_watches_of_one_kind_fell_silent(
    tmp_path: pathlib.Path,
    kind: str,
    change: typing.Callable[[front_system.System], None],
    limit_s: float,
    status: int,
) -> None:
    """Guards against fronts that rely on another watch to find that this one is silent."""

    async def scenario() -> None:
        async with front_system.system(tmp_path) as running:
            await asyncio.sleep(0.5)
            assert running.store.silence_watches(kind)
            await asyncio.sleep(STABILITY_WINDOW_S)
            change(running)
            await asyncio.sleep(limit_s)
            assert (await running.ask("/look/1")).status == status

    asyncio.run(scenario())


def test_unknown_key_is_not_denied_while_the_configuration_cannot_be_read(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against denying a new key for good because another watch than its own works."""

    async def scenario() -> None:
        async with front_system.system(tmp_path) as running:
            assert (await running.ask("/look/1", key="key-2")).status == 401
            running.store.refused_kinds.add("config")
            running.store.http.abort_connections()
            await asyncio.sleep(0.5)
            running.store.put("config", "main", documents.configuration(2, keys=("key-2",)))
            assert (await running.ask("/look/1", key="key-2")).status == 503

    asyncio.run(scenario())


class _Handler:
    """Counts the listings, and the failed calls that a watch reports."""

    def __init__(self) -> None:
        self.listings = 0
        self.failures = 0

    def on_listing(self, stored: tuple[objects.StoredObject, ...], returned: bool) -> None:
        self.listings += 1

    def on_change(self, change: objects.Change) -> None:
        pass

    def on_store_lost(self, timed_out: bool) -> None:
        self.failures += 1

    def on_store_answered(self) -> None:
        pass


def test_call_in_progress_ends_when_the_store_has_returned() -> None:
    """Guards against a watch that waits 20 s for changes since a revision of an old era."""

    async def scenario() -> None:
        server, eras, handler = store.StoreStandin(), store_eras.StoreEras(), _Handler()
        await server.http.listen()
        eras.learn(store_versions.Era(1))
        watch = store_watch.Watch("config", handler, server.http.address, eras=eras)
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(0.3)
        assert handler.listings == 1
        eras.learn(store_versions.Era(2))
        await asyncio.sleep(0.3)
        assert (handler.listings, handler.failures) == (2, 0)
        task.cancel()
        server.http.close()

    asyncio.run(scenario())
