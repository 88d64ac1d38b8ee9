"""What a front keeps and forgets when the store returns from an older copy, without I/O."""

from __future__ import annotations

import copy
import dataclasses

import hypothesis
import hypothesis.strategies as st
import pytest

from gentianpaddle_core import ids
from gentianpaddle_core.serving import evacuations, routes, servers, store_versions

SERVICE = routes.ServiceName("s")
NAMES = ("a", "b", "c")


def version(era: int, revision: int) -> store_versions.StoreVersion:
    return store_versions.StoreVersion(store_versions.Era(era), revision)


def entry(name: str, draining: bool = False, started_ms: int = 1) -> servers.ServerEntry:
    return servers.ServerEntry(
        id=ids.BackendServerId(name),
        service=SERVICE,
        address=f"10.0.0.1:{ord(name)}",
        data_centre=ids.DataCentreId("dc"),
        slots=6,
        draining=draining,
        started_ms=started_ms,
        cold_ms=0.0,
    )


@pytest.mark.parametrize(
    ("older", "newer"),
    [
        (version(1, 9), version(2, 1)),
        (version(1, 1), version(1, 2)),
        (version(1, 9), version(7, 1)),
        (store_versions.NOTHING_KNOWN, version(0, 0)),
        (version(store_versions.UNSTATED_ERA, 10**9), version(0, 1)),
    ],
)
def test_a_later_era_is_newer_whatever_its_revision(
    older: store_versions.StoreVersion, newer: store_versions.StoreVersion
) -> None:
    """Guards against knowledge of before a return that counts as newer than what followed."""
    assert older < newer
    assert max(older, newer) is newer


@pytest.mark.parametrize(
    ("stated", "orders"),
    [
        ([1, 1, None, 2], "current current current new"),
        ([3, 2, None, 3], "current overtaken current current"),
        ([1, 5, 4, 6], "current new overtaken new"),
    ],
)
def test_answers_are_ordered_by_their_era(stated: list[int | None], orders: str) -> None:
    """Guards against late answers of before a return, and against a missed return."""
    tracker = store_versions.EraTracker()
    first, *rest = stated
    tracker.observe(store_versions.Era(first) if first is not None else None)
    found = [tracker.observe(None if era is None else store_versions.Era(era)) for era in rest]
    assert ["current", *(order.value for order in found)] == orders.split()


@pytest.mark.parametrize(("fronts", "longest_s"), [(3, 0.05), (100, 1.0), (300, 2.0)])
def test_listings_after_a_return_stay_within_the_rate_of_the_store(
    fronts: int, longest_s: float
) -> None:
    """Guards against all fronts that list the store in the same moment."""
    delays_s = [store_versions.relist_delay_s(fronts, (n + 0.5) / fronts) for n in range(fronts)]
    assert max(delays_s) <= longest_s
    calls_per_s = fronts * store_versions.RELIST_CALLS / max(max(delays_s), 1.0)
    assert calls_per_s <= 2_000


@dataclasses.dataclass(frozen=True)
class Return:
    """What a front knew of server `a`, what a copy lists, and whether it is used then."""

    name: str
    before: list[servers.ServerEntry | None]
    """Entries in order of arrival; None for a removal."""
    listed: list[servers.ServerEntry]
    used_at_once: bool
    used_after_grace: bool


RETURNS = [
    Return("unchanged", [entry("a")], [entry("a")], True, True),
    Return("written after the copy", [entry("a")], [], True, False),
    Return("left after the copy", [entry("a"), None], [entry("a")], False, False),
    Return("began to drain after it", [entry("a", True)], [entry("a")], False, False),
    Return("drains in the copy", [entry("a")], [entry("a", True)], False, False),
    Return(
        "left, and another one has its id", [entry("a"), None], [entry("a", False, 2)], True, True
    ),
    Return("draining and gone", [entry("a", True)], [], False, False),
    Return("unknown before", [], [entry("a")], True, True),
]


@pytest.mark.parametrize("case", RETURNS, ids=[case.name for case in RETURNS])
def test_servers_after_a_return(case: Return) -> None:
    """Guards against servers that are lost with a copy, and against those that had left."""
    view = servers.ServerView()
    view.store_answered(-60.0)
    for item in case.before:
        if item is None:
            view.remove(ids.BackendServerId("a"), 0.0)
        else:
            view.put(item, 0.0)
    view.replace(case.listed, 10.0, returned=True)
    assert bool(view.usable(SERVICE, 10.1)) == case.used_at_once
    later_s = 10.1 + servers.REGISTRATION_GRACE_S
    assert bool(view.usable(SERVICE, later_s)) == case.used_after_grace
    # The same list once more, for example from another front, says nothing new.
    view.replace(case.listed, later_s)
    assert bool(view.usable(SERVICE, later_s)) == case.used_after_grace
    # What the server writes itself counts at once.
    view.put(entry("a"), later_s)
    assert view.usable(SERVICE, later_s)


def test_servers_that_a_copy_lacks_are_gone_also_without_the_store() -> None:
    """Guards against servers that a front keeps for as long as it cannot reach the store."""
    view = servers.ServerView()
    view.put(entry("a"), 0.0)
    view.store_lost()
    view.replace([], 10.0, returned=True)
    assert view.usable(SERVICE, 10.1)
    assert not view.usable(SERVICE, 10.1 + servers.REGISTRATION_GRACE_S)


def test_server_that_left_just_after_an_outage_is_not_used_again() -> None:
    """Guards against a removal in the grace time of an outage that a copy seems to take back.

    A server that a first copy lacks and a second one lists has only written its entry again.
    """
    view = servers.ServerView()
    for name in ("a", "b"):
        view.put(entry(name), 0.0)
    view.store_lost()
    view.store_answered(10.0)
    view.remove(ids.BackendServerId("a"), 10.1)
    assert len(view.usable(SERVICE, 10.2)) == 2
    view.replace([entry("a")], 11.0, returned=True)
    view.replace([entry("a"), entry("b")], 12.0, returned=True)
    assert [item.id for item in view.usable(SERVICE, 12.1)] == ["b"]
    view.put(entry("a"), 12.2)
    assert len(view.usable(SERVICE, 12.3)) == 2


def test_server_that_had_left_is_used_if_its_entry_stays() -> None:
    """Guards against a live server that is shut out for good, as the copy lists it as it was."""
    view = servers.ServerView()
    view.put(entry("a"), 0.0)
    view.remove(ids.BackendServerId("a"), 1.0)
    view.replace([entry("a")], 10.0, returned=True)
    assert not view.usable(SERVICE, 10.0)
    assert view.usable(SERVICE, 10.0 + servers.WITHHELD_S)


@pytest.mark.parametrize(
    ("known", "listed", "written", "at_once", "later"),
    [
        ("x", "", "", "x", ""),
        ("x", "", "x", "x", "x"),
        ("x", "x", "", "x", "x"),
        ("", "x", "", "x", "x"),
        ("x y", "y", "", "x y", "y"),
    ],
)
def test_evacuations_after_a_return(
    known: str, listed: str, written: str, at_once: str, later: str
) -> None:
    """Guards against requests to an evacuated data centre whose evacuation a copy lacks."""
    found = evacuations.Evacuations()
    found.replace([ids.DataCentreId(name) for name in known.split()], 0.0)
    found.replace([ids.DataCentreId(name) for name in listed.split()], 10.0, returned=True)
    assert found.current(10.0) == set(at_once.split())
    for name in written.split():
        found.put(ids.DataCentreId(name))
    assert found.current(10.0 + evacuations.RESTORE_S) == set(later.split())
    for name in at_once.split():
        found.remove(ids.DataCentreId(name))
    assert found.current(10.0) == set()


Action = tuple[str, str]
ACTIONS = st.one_of(
    st.tuples(st.sampled_from(("write", "drain", "remove")), st.sampled_from(NAMES)),
    st.tuples(st.sampled_from(("copy", "return", "cut", "heal", "pass")), st.just("")),
)


class Model:
    """Store that returns from copies, and one front that follows it while it is not cut off."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.started_ms = 0
        self.stored: dict[str, servers.ServerEntry] = {}
        self.copied: dict[str, servers.ServerEntry] = {}
        self.view = servers.ServerView()
        self.cut = self.returned = False
        self.returned_s = 0.0
        """Time of the last listing after a return."""
        self.left: dict[str, int] = {}
        """Start of the last incarnation that the front has seen leaving, by server."""

    def apply(self, action: Action) -> None:
        kind, name = action
        self.now_s += 0.1
        if kind == "write":
            self.started_ms += 1
            self.stored[name] = entry(name, started_ms=self.started_ms)
        elif kind == "drain" and name in self.stored:
            self.stored[name] = dataclasses.replace(self.stored[name], draining=True)
        elif kind == "remove":
            self.stored.pop(name, None)
        elif kind == "copy":
            self.copied = copy.copy(self.stored)
        elif kind == "return":
            # Live servers write their entries again, which is a later action.
            self.stored, self.returned = copy.copy(self.copied), True
        elif kind == "cut":
            self.cut = True
        elif kind == "heal":
            self.cut = False
            self.view.store_lost()
            self.view.store_answered(self.now_s)
        else:
            self.now_s += 5.0
        if not self.cut:
            self.deliver(name if kind in ("write", "drain", "remove") else "")

    def deliver(self, changed: str) -> None:
        """Deliver a change, or all that is stored after a return or a cut."""
        server = ids.BackendServerId(changed)
        before = {str(item.id): item for item in self.view.usable(SERVICE, self.now_s)}
        if self.returned or not changed:
            if self.returned:
                self.returned_s = self.now_s
            self.view.replace(self.stored.values(), self.now_s, self.returned)
            self.returned = False
        elif changed in self.stored:
            self.view.put(self.stored[changed], self.now_s)
        else:
            self.view.remove(server, self.now_s)
        for name, item in before.items():
            stored = self.stored.get(name)
            if stored is None or stored.draining:
                self.left[name] = item.started_ms


@hypothesis.given(st.lists(ACTIONS, max_size=40))
def test_front_ends_with_what_the_store_holds(actions: list[Action]) -> None:
    """Guards against fronts that differ from the store for good after any order of events."""
    model = Model()
    for action in actions:
        model.apply(action)
    model.apply(("heal", ""))
    model.now_s += servers.WITHHELD_S + servers.REGISTRATION_GRACE_S
    used = {str(item.id) for item in model.view.usable(SERVICE, model.now_s)}
    assert used == {name for name, item in model.stored.items() if not item.draining}


@hypothesis.given(st.lists(ACTIONS, max_size=40))
def test_server_is_not_used_again_after_it_has_left(actions: list[Action]) -> None:
    """Guards against requests to a server that the front has seen leaving, because of a copy."""
    model = Model()
    for action in actions:
        left = dict(model.left)
        model.apply(action)
        if model.now_s - model.returned_s >= servers.WITHHELD_S:
            continue
        used = model.view.usable(SERVICE, model.now_s)
        listed = [item for item in used if model.stored.get(str(item.id)) == item]
        assert [item for item in listed if left.get(str(item.id)) == item.started_ms] == []
