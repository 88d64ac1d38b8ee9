"""Registration of VMs, and how soon the VMs of a starting system know each other."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import typing

import pytest

from gentianpaddle_core import ids
from gentianpaddle_core.serving import members, store_versions
from gentianpaddle_gateway import peers, store_eras
from gentianpaddle_platform import documents, objects


class FakeStore:
    """Store that holds registrations and counts the listings."""

    def __init__(self) -> None:
        self.spec_by_name: dict[str, typing.Any] = {}
        self.list_count = 0
        self.put_count = 0
        self.delete_count = 0
        self.available = True

    async def put(
        self, kind: str, name: str, spec: typing.Any
    ) -> objects.StoredObject | objects.Unavailable:
        self.put_count += 1
        if not self.available:
            return objects.Unavailable("status 503")
        self.spec_by_name[name] = json.loads(json.dumps(spec))
        return objects.StoredObject(name, store_versions.NOTHING_KNOWN, spec)

    async def list(
        self, kind: str, allow_stale: bool = False
    ) -> objects.Listing | objects.Unavailable:
        self.list_count += 1
        if not self.available:
            return objects.Unavailable("status 503")
        version = store_versions.NOTHING_KNOWN
        items = [
            objects.StoredObject(name, version, spec) for name, spec in self.spec_by_name.items()
        ]
        return objects.Listing(tuple(items), version)

    async def delete(self, kind: str, name: str) -> objects.Response:
        self.delete_count += 1
        self.spec_by_name.pop(name, None)
        return objects.Response(200, b"")


def front(number: int) -> members.Member:
    ip = f"10.0.0.{number}"
    return members.Member(ids.VmId(f"f{number}"), ids.DataCentreId("a"), ip, 1, f"{ip}:2", None)


def side(number: int) -> members.Member:
    ip = f"10.0.1.{number}"
    return members.Member(ids.VmId(f"s{number}"), ids.DataCentreId("a"), ip, 1, None, f"{ip}:2")


async def run_scaled(
    registration: peers.Registration, monkeypatch: pytest.MonkeyPatch, duration_s: float
) -> None:
    """Run a registration a hundred times as fast."""
    for name in (
        "MEMBERS_INTERVAL_S",
        "RARE_MEMBERS_INTERVAL_S",
        "INITIAL_MEMBERS_INTERVAL_S",
        "CHECK_DELAY_S",
        "CHECK_RETRY_S",
        "KEEP_MISSING_S",
    ):
        monkeypatch.setattr(peers, name, getattr(peers, name) / 100.0)
    task = asyncio.create_task(registration.run())
    await asyncio.sleep(duration_s / 100.0)
    task.cancel()


def test_vms_that_register_later_are_known_soon(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against fronts that do not hear each other for 20 s after the start of all.

    The first VM knows one other one at once; the rest registers 2 s later.
    """

    async def scenario() -> None:
        store = FakeStore()
        view = members.MemberView(front(0))
        await store.put(documents.MEMBERS_KIND, "f1", documents.encode_member(front(1)))
        registration = peers.Registration(
            view, typing.cast("objects.ObjectStore", store), lambda: False
        )
        running = asyncio.create_task(run_scaled(registration, monkeypatch, 8.0))
        await asyncio.sleep(0.02)
        for number in range(2, 20):
            member = front(number)
            await store.put(documents.MEMBERS_KIND, member.vm, documents.encode_member(member))
        await running
        assert len(view.other_fronts()) == 19

    asyncio.run(scenario())


@pytest.mark.parametrize(("needs_all", "most"), [(False, 9), (True, 30)])
def test_listings_become_rare(monkeypatch: pytest.MonkeyPatch, needs_all: bool, most: int) -> None:
    """Guards against a number of charged reads that grows with the time and the fleet."""

    async def scenario() -> None:
        store = FakeStore()
        await store.put(documents.MEMBERS_KIND, "f1", documents.encode_member(front(1)))
        registration = peers.Registration(
            members.MemberView(front(0)),
            typing.cast("objects.ObjectStore", store),
            lambda: needs_all,
        )
        await run_scaled(registration, monkeypatch, 80.0)
        assert store.list_count <= most

    asyncio.run(scenario())


def test_side_process_lists_again_only_when_it_needs_all_vms(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against charged reads of each side process, and against a late coordinator."""

    async def scenario() -> None:
        store = FakeStore()
        await store.put(documents.MEMBERS_KIND, "f1", documents.encode_member(front(1)))
        needed = False
        registration = peers.Registration(
            members.MemberView(side(0)),
            typing.cast("objects.ObjectStore", store),
            lambda: needed,
        )
        task = asyncio.create_task(run_scaled(registration, monkeypatch, 30.0))
        await asyncio.sleep(0.14)
        assert store.list_count <= 2
        before, needed = store.list_count, True
        await asyncio.sleep(0.02)
        assert store.list_count == before + 1
        await task

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("own", "registered", "writes"),
    [
        (side(0), None, 1),
        (side(0), side(0), 0),
        (side(0), dataclasses.replace(side(0), ip="10.0.1.9"), 1),
        (front(0), front(0), 1),
    ],
)
def test_restarted_vm_writes_only_what_has_changed(
    monkeypatch: pytest.MonkeyPatch,
    own: members.Member,
    registered: members.Member | None,
    writes: int,
) -> None:
    """Guards against two charged writes of each side process that starts again.

    A front writes in any case, since it removes its registration when it stops and a stale read may
    still show it.
    """

    async def scenario() -> None:
        store = FakeStore()
        if registered is not None:
            store.spec_by_name[own.vm] = json.loads(json.dumps(documents.encode_member(registered)))
        registration = peers.Registration(
            members.MemberView(own), typing.cast("objects.ObjectStore", store), lambda: False
        )
        await run_scaled(registration, monkeypatch, 5.0)
        assert store.put_count == writes
        assert documents.decode_member(own.vm, store.spec_by_name[own.vm]) == own

    asyncio.run(scenario())


def test_side_process_reads_first_while_the_store_refuses(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a refused write each 0.5 s, and against a VM that never registers."""

    async def scenario() -> None:
        store = FakeStore()
        store.available = False
        registration = peers.Registration(
            members.MemberView(side(0)), typing.cast("objects.ObjectStore", store), lambda: False
        )
        task = asyncio.create_task(run_scaled(registration, monkeypatch, 40.0))
        await asyncio.sleep(0.2)
        assert store.list_count >= 2 * peers.FAILED_READS_PER_WRITE
        assert 1 <= store.put_count <= store.list_count // peers.FAILED_READS_PER_WRITE
        store.available = True
        await task
        assert "s0" in store.spec_by_name

    asyncio.run(scenario())


def test_front_does_not_register_while_its_watches_fail(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against calls beside those that already tell that the store is down."""

    async def scenario() -> None:
        store, answered = FakeStore(), asyncio.Event()
        registration = peers.Registration(
            members.MemberView(front(0)),
            typing.cast("objects.ObjectStore", store),
            lambda: False,
            answered.wait,
        )
        task = asyncio.create_task(run_scaled(registration, monkeypatch, 20.0))
        await asyncio.sleep(0.1)
        assert store.put_count == store.list_count == 0
        answered.set()
        await task
        assert "f0" in store.spec_by_name

    asyncio.run(scenario())


def test_one_live_front_removes_the_registration_of_a_lost_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a charged call of each front, and of side processes, which hear no heartbeats.

    Reads are stale: they show the lost front also after its registration was removed.
    """
    monkeypatch.setattr(peers, "DEREGISTER_AFTER_S", 0.05)

    async def scenario() -> None:
        live, lost = [front(number) for number in range(4)], front(9)
        stores = []
        for own in [*live, side(0), side(1)]:
            store = FakeStore()
            stores.append(store)
            for member in [*live, lost]:
                await store.put(documents.MEMBERS_KIND, member.vm, documents.encode_member(member))
            view = members.MemberView(own)
            for member in live if own in live else ():
                view.record_heartbeat(member, True, asyncio.get_running_loop().time())
            registration = peers.Registration(
                view, typing.cast("objects.ObjectStore", store), lambda: True
            )
            await run_scaled(registration, monkeypatch, 30.0)
            monkeypatch.undo()
            monkeypatch.setattr(peers, "DEREGISTER_AFTER_S", 0.05)
        assert sum(store.delete_count > 0 for store in stores) == 1

    asyncio.run(scenario())


CATCH_UP_S = 4.0
"""Time after a return of the store within which the entries of the system must be there again."""


@pytest.mark.parametrize("own", [front(0), side(0)])
@pytest.mark.parametrize("unavailable_s", [0.0, 1.0])
def test_vm_registers_again_after_a_return_of_the_store(
    monkeypatch: pytest.MonkeyPatch, own: members.Member, unavailable_s: float
) -> None:
    """Guards against VMs that the others do not know, as a copy of the store lacks their entries.

    Meanwhile another VM that the copy lacks too stays known, and no call is made without a return.
    """

    async def scenario() -> None:
        store, eras = FakeStore(), store_eras.StoreEras()
        await store.put(documents.MEMBERS_KIND, "s1", documents.encode_member(side(1)))
        view = members.MemberView(own)
        registration = peers.Registration(
            view, typing.cast("objects.ObjectStore", store), lambda: False, eras=eras
        )
        task = asyncio.create_task(run_scaled(registration, monkeypatch, 60.0))
        await asyncio.sleep(0.4)
        eras.learn(store_versions.Era(1))
        calls = store.list_count + store.put_count
        await asyncio.sleep(0.04)
        assert store.list_count + store.put_count <= calls + 1
        store.spec_by_name.clear()
        store.available = unavailable_s == 0.0
        eras.learn(store_versions.Era(2))
        await asyncio.sleep(unavailable_s / 100.0)
        store.available = True
        await asyncio.sleep(CATCH_UP_S / 100.0)
        assert own.vm in store.spec_by_name
        assert view.other_members() == [side(1)]
        task.cancel()

    asyncio.run(scenario())


def test_leaving_vm_does_not_register_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a stopped VM that stays registered, as a copy of the store shows it again."""

    async def scenario() -> None:
        store, eras = FakeStore(), store_eras.StoreEras()
        await store.put(documents.MEMBERS_KIND, "f1", documents.encode_member(front(1)))
        registration = peers.Registration(
            members.MemberView(front(0)),
            typing.cast("objects.ObjectStore", store),
            lambda: False,
            eras=eras,
        )
        task = asyncio.create_task(run_scaled(registration, monkeypatch, 60.0))
        await asyncio.sleep(0.1)
        eras.learn(store_versions.Era(1))
        copied = dict(store.spec_by_name)
        await registration.deregister()
        store.spec_by_name.update(copied)
        eras.learn(store_versions.Era(2))
        await asyncio.sleep(CATCH_UP_S / 100.0)
        assert list(store.spec_by_name) == ["f1"]
        task.cancel()

    asyncio.run(scenario())
