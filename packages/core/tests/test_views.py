"""Guards against models without links and against unnecessary changes of links."""

from __future__ import annotations

import collections

import pytest

from gentianpaddle_core import ids, routing, views

PLACE = routing.Place(ids.DataCentreId("d0"), ids.RegionId("r0"))


def fleet(size: int, models: int, centres: int) -> list[routing.BackendServer]:
    return [
        routing.BackendServer(
            ids.BackendServerId(f"b{number}"),
            ids.VmId(f"v{number}"),
            routing.Place(ids.DataCentreId(f"d{number % centres}"), ids.RegionId("r0")),
            (ids.ModelName(f"m{number // centres % models}"),),
        )
        for number in range(size)
    ]


@pytest.mark.parametrize(
    ("size", "models", "centres", "links", "uncovered"),
    [(2_000, 15, 5, 48, 0), (16, 1, 3, 16, 0), (400, 60, 2, 48, 12), (0, 1, 1, 0, 0)],
)
def test_models_and_data_centres_are_covered(
    size: int, models: int, centres: int, links: int, uncovered: int
):
    servers = fleet(size, models, centres)
    by_id = {server.id: server for server in servers}
    for entry in ("e1", "e2", "e3"):
        view = views.choose(ids.VmId(entry), PLACE, servers)
        assert len(view.backend_servers) == links
        assert len(view.models_uncovered) == uncovered
        places = collections.defaultdict(set)
        for linked in view.backend_servers:
            places[by_id[linked].targets].add(by_id[linked].place.data_centre)
        if not uncovered:
            assert all(len(found) >= min(2, centres) for found in places.values())


def test_loss_of_one_agent_changes_few_links_and_links_are_spread():
    servers = fleet(2_000, 15, 5)
    counts = collections.Counter[str]()
    for number in range(90):
        entry = ids.VmId(f"e{number}")
        before = set(views.choose(entry, PLACE, servers).backend_servers)
        counts.update(before)
        lost = next(server for server in servers if server.id in before)
        rest = [server for server in servers if server is not lost]
        after = set(views.choose(entry, PLACE, rest).backend_servers)
        assert len(before - after) <= 3
    assert max(counts.values()) <= 12


def test_other_regions_get_fewer_links():
    far = routing.Place(ids.DataCentreId("d9"), ids.RegionId("r9"))
    near = views.choose(ids.VmId("e1"), PLACE, fleet(200, 1, 2)).backend_servers
    servers = fleet(200, 1, 2)
    mixed = servers[:100] + [
        routing.BackendServer(server.id, server.vm, far, server.targets) for server in servers[100:]
    ]
    chosen = views.choose(ids.VmId("e1"), PLACE, mixed).backend_servers
    distant = {server.id for server in servers[100:]}
    assert len(distant & set(chosen)) < len(distant & set(near)) / 2
