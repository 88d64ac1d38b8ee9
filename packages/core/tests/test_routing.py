"""Guards against work sent where it must not go and against choices that ignore the evidence."""

from __future__ import annotations

import collections.abc

import pytest
from gentianpaddle_core import declarations, ids, prefix_index, routing, scoring

MODEL = ids.ModelName("m")
OWN = routing.Place(ids.DataCentreId("d1"), ids.RegionId("r1"))
CLASS = declarations.ClassOfWork(ids.ClassName("quote"), 1.8, 27.0, 0.95, 20.0)
LOAD = scoring.Load(limit=16, running=2, waiting_tokens=0, grant=8, step_time_s=0.013)


def server(name: str, centre: str = "d1", region: str = "r1") -> routing.BackendServer:
    place = routing.Place(ids.DataCentreId(centre), ids.RegionId(region))
    return routing.BackendServer(ids.BackendServerId(name), ids.VmId("vm-" + name), place, (MODEL,))


def request(fingerprint: str = "f", prompt: bytes = b"", tried: str = "") -> routing.Request:
    return routing.Request(
        MODEL,
        ids.Fingerprint(fingerprint),
        CLASS,
        arrived_s=0.0,
        prompt_tokens=max(200, len(prompt) // 4),
        prefix_hashes=prefix_index.prefix_hashes(prompt),
        tried=frozenset(map(ids.BackendServerId, tried.split())),
    )


def router_of(names: str, load: scoring.Load = LOAD) -> routing.Router:
    router = routing.new_router(OWN)
    for name in names.split():
        router.add(server(name))
        router.report(ids.BackendServerId(name), load, 0.0)
    return router


@pytest.mark.parametrize(
    "exclude",
    [
        lambda r: r.set_state("b1", routing.State.SUSPECT, 0.1),
        lambda r: r.set_state("b1", routing.State.DEAD, 0.1),
        lambda r: r.set_state("b1", routing.State.LEAVING, 0.1),
        lambda r: r.set_out(frozenset(), frozenset({ids.VmId("vm-b1")})),
        lambda r: r.report("b1", scoring.Load(16, 0, 0, 8, 0.013, leaving=True), 0.1),
        lambda r: r.report("b1", scoring.Load(16, 0, 0, 8, 0.013, out=True), 0.1),
        lambda r: r.report("b1", scoring.Load(16, 0, 0, 0, 0.013), 0.1),
        lambda r: r.remove("b1"),
    ],
)
def test_excluded_server_gets_no_work(exclude: collections.abc.Callable[[routing.Router], None]):
    router = router_of("b1 b2", LOAD)
    router.report(ids.BackendServerId("b2"), scoring.Load(16, 15, 4_000, 8, 0.016), 0.0)
    before = router.choose(request(), 0.1)
    exclude(router)
    after = router.choose(request(), 0.1)
    assert isinstance(before, routing.Routed)
    assert before.backend_server == "b1"
    assert isinstance(after, routing.Routed)
    assert after.backend_server == "b2"


def test_tried_servers_are_not_chosen_again():
    router = router_of("b1 b2")
    chosen = router.choose(request(tried="b1"), 0.1)
    assert isinstance(chosen, routing.Routed)
    assert chosen.backend_server == "b2"
    assert isinstance(router.choose(request(tried="b1 b2"), 0.1), routing.NoCapacity)
