"""Three fronts as processes, and a store that returns from a copy some seconds old."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import typing
from collections.abc import AsyncIterator

import pytest
from gentianpaddle_platform_standins import documents, front_system, replica

HOSTS = ("127.0.0.2", "127.0.0.3", "127.0.0.4")
AWAY_S = 1.0
FILLERS = 60
"""Number of revisions between the copy and the return."""

RETURN_LIMIT_S = 3.0
"""Time after the return from which what the store lacks must no longer be used: 2 s for servers to
register again, and 1 s for the calls of the fronts."""

CHANGE_LIMIT_S = 2.0
"""Maximum delay between a change and its effect."""


class Drill:
    """Fronts, and the servers whose entries the store loses or shows again.

    `stays` is in the copy and is written again, `came` is written again but is not in the copy,
    `lost` was there before the copy and left after it, `gone` came and left after it, and
    `vanished` came after it and left while the store was away.
    """

    def __init__(self, running: front_system.System) -> None:
        self.running = running
        self.stays, self.lost = running.replicas
        self.came, self.gone, self.vanished = (
            replica.ReplicaStandin(f"i-{number}") for number in (3, 4, 5)
        )
        self.all = [self.stays, self.lost, self.came, self.gone, self.vanished]

    def write(self, standin: replica.ReplicaStandin, **fields: typing.Any) -> None:
        entry = {**standin.entry("app", "north"), **fields}
        self.running.store.put("servers", standin.server, entry)

    async def runs(self, count: int = 12) -> dict[str, int]:
        """Send requests to all fronts and return the number of runs by server."""
        for standin in self.all:
            standin.runs.clear()
        calls = []
        for number in range(count):
            request = front_system.request("/look/1", name=f"r-{number}")
            calls += [front_system.call(host, front_system.PORT + 1, request) for host in HOSTS]
        answers = await asyncio.gather(*calls)
        assert {answer.status for answer in answers} == {200}
        return {standin.server: len(standin.runs) for standin in self.all}

    async def statuses(self, key: str) -> list[int]:
        """Return how each front answers a request with a key."""
        request = front_system.request("/look/1", key=key)
        calls = [front_system.call(host, front_system.PORT + 1, request) for host in HOSTS]
        return [answer.status for answer in await asyncio.gather(*calls)]


@contextlib.asynccontextmanager
async def drill(directory: pathlib.Path) -> AsyncIterator[Drill]:
    """Run the fronts until they know the store of the first era.

    The last front uses the second address of the store.
    """
    async with front_system.system(directory) as running:
        await running.start_front(HOSTS[1])
        await running.start_front(HOSTS[2], running.store.second_http.address)
        for host in HOSTS[1:]:
            await running.until(lambda host=host: running.ready(host))  # type: ignore[misc]
        found = Drill(running)
        for standin in (found.came, found.gone, found.vanished):
            await standin.http.listen()
        running.store.stated_era = "1"
        running.store.put("filler", "f", {})
        found.write(found.stays, slots=7)
        await asyncio.sleep(1.5)
        try:
            yield found
        finally:
            for standin in (found.came, found.gone, found.vanished):
                standin.http.close()


async def return_from_copy(found: Drill, away: str, revisions_ahead: int) -> None:
    """Lose the last seconds of the store, and write again what the operator and servers wrote."""
    store = found.running.store
    copied = store.take_copy()
    for number in range(FILLERS):
        store.put("filler", f"f{number}", {})
    found.write(found.came)
    found.write(found.gone)
    found.write(found.vanished)
    store.put("config", "main", documents.configuration(2, keys=("key-2",)))
    await asyncio.sleep(CHANGE_LIMIT_S)
    store.remove("servers", found.lost.server)
    store.remove("servers", found.gone.server)
    await asyncio.sleep(CHANGE_LIMIT_S)
    if away != "surviving":
        store.forced_status = 503 if away == "refusing" else None
        store.silent = away == "silent"
        store.abort_connections()
        await asyncio.sleep(AWAY_S)
        store.silent, store.forced_status = False, None
    store.return_from(copied, revisions_ahead)
    if away == "twice":
        store.abort_connections()
        await asyncio.sleep(AWAY_S)
        store.return_from(copied, revisions_ahead)
    if away != "surviving":
        store.abort_connections()
    store.put("config", "main", documents.configuration(2, keys=("key-2",)))
    found.write(found.stays, slots=7)
    found.write(found.came)


@pytest.mark.parametrize(
    ("away", "revisions_ahead"),
    [("refusing", 0), ("silent", 1_000), ("surviving", 0), ("surviving", 1_000), ("twice", 0)],
)
def test_fronts_follow_the_store_after_its_return(
    tmp_path: pathlib.Path, away: str, revisions_ahead: int
) -> None:
    """Guards against fronts that take the new revisions for old ones, and against forgetting.

    After the return, revisions are lower than those the fronts know, or already past them.
    """

    async def scenario() -> None:
        async with drill(tmp_path) as found:
            store = found.running.store
            await return_from_copy(found, away, revisions_ahead)
            # Nobody falls back to the configuration of the copy.
            assert 200 not in await found.statuses(documents.KEY)
            await asyncio.sleep(RETURN_LIMIT_S)
            assert await found.statuses(documents.KEY) == [401] * len(HOSTS)
            store.put("config", "main", documents.configuration(3))
            await asyncio.sleep(CHANGE_LIMIT_S)
            assert await found.statuses(documents.KEY) == [200] * len(HOSTS)
            runs = await found.runs()
            assert runs[found.stays.server] > 0
            assert runs[found.came.server] > 0
            # It had left; the copy shows it as it was before.
            assert runs[found.lost.server] == 0
            assert runs[found.gone.server] == 0
            assert runs[found.vanished.server] == 0
            found.write(found.came, state="draining")
            await asyncio.sleep(CHANGE_LIMIT_S)
            assert (await found.runs())[found.came.server] == 0
            store.put("evacuations", "north", {})
            await asyncio.sleep(CHANGE_LIMIT_S)
            assert await found.statuses(documents.KEY) == [503] * len(HOSTS)

    asyncio.run(scenario())


@pytest.mark.parametrize("status", [None, 429, 503])
def test_front_that_the_store_turns_away_learns_of_its_return(
    tmp_path: pathlib.Path, status: int | None
) -> None:
    """Guards against a front that holds to the store of before its return, as it cannot reach it.

    The store is silent at its second address, or answers only with a status that carries the era.
    """

    async def scenario() -> None:
        async with drill(tmp_path) as found:
            store = found.running.store
            store.second_http_status = status
            store.second_http_silent = status is None
            store.second_http.abort_connections()
            await return_from_copy(found, "surviving", 0)
            await asyncio.sleep(RETURN_LIMIT_S)
            store.put("config", "main", documents.configuration(3))
            await asyncio.sleep(CHANGE_LIMIT_S)
            assert await found.statuses(documents.KEY) == [200] * len(HOSTS)
            runs = await found.runs()
            assert runs[found.stays.server] > 0
            assert runs[found.lost.server] == runs[found.vanished.server] == 0
            store.put("evacuations", "north", {})
            await asyncio.sleep(CHANGE_LIMIT_S)
            assert await found.statuses(documents.KEY) == [503] * len(HOSTS)

    asyncio.run(scenario())
