"""Guards against orders that exceed memory, cause a shortage, or load weights repeatedly."""

from __future__ import annotations

import collections
import dataclasses
import random

import hypothesis
import pytest
from hypothesis import strategies

from gentianpaddle_core import ids, model_placement, version_ramp

Role = model_placement.Role
A, A2, B, C = (
    model_placement.WeightsId(ids.ModelName(name), version)
    for name, version in (("a", "1"), ("a", "2"), ("b", "1"), ("c", "1"))
)
ADAPTER = model_placement.WeightsId(ids.ModelName("a"), "1", "tone")
SIZES = {A: 40, A2: 40, B: 40, C: 70, ADAPTER: 5}
ServerById = dict[ids.BackendServerId, model_placement.Server]
Needs = dict[model_placement.WeightsId, model_placement.Need]


def new_servers(*models: model_placement.WeightsId, memory: int = 100) -> ServerById:
    servers = (
        model_placement.Server(
            ids.BackendServerId(f"s{index}"),
            memory,
            (model_placement.HeldWeights(model, Role.BOTH),),
        )
        for index, model in enumerate(models)
    )
    return {server.id: server for server in servers}


def need_both(count: int) -> model_placement.Need:
    return model_placement.Need({Role.BOTH: count})


def active_count(servers: ServerById, weights: model_placement.WeightsId) -> int:
    held = (held for server in servers.values() for held in server.held)
    return sum(1 for h in held if h.weights == weights and h.role is not Role.STANDBY)


def apply(servers: ServerById, order: model_placement.Order) -> None:
    """Carry out an order; loads complete at once."""
    server = servers[order.server]
    held = server.held
    assert server.available
    if isinstance(order, model_placement.LoadWeights):
        assert order.weights not in [h.weights for h in held]
        held += (model_placement.HeldWeights(order.weights, Role.STANDBY),)
    elif isinstance(order, model_placement.UnloadWeights):
        removed = next(h for h in held if h.weights == order.weights)
        assert removed.role is Role.STANDBY
        held = tuple(h for h in held if h is not removed)
    else:
        assert order.weights in [h.weights for h in held]
        held = tuple(
            dataclasses.replace(h, role=order.role if h.weights == order.weights else Role.STANDBY)
            for h in held
        )
    assert sum(SIZES[h.weights] for h in held) <= server.memory_bytes
    servers[order.server] = dataclasses.replace(server, held=held)


def run_round(
    placer: model_placement.ModelPlacer, servers: ServerById, now_s: float, needs: Needs
) -> list[model_placement.Order]:
    orders = placer.plan(now_s, tuple(servers.values()), needs).orders
    for order in orders:
        apply(servers, order)
    return list(orders)


def random_need(rng: random.Random) -> model_placement.Need:
    if rng.random() < 0.5:
        return need_both(rng.randrange(4))
    return model_placement.Need({Role.PREFILL: rng.randrange(3), Role.DECODE: rng.randrange(3)})


def counts(servers: ServerById) -> collections.Counter[tuple[model_placement.WeightsId, Role]]:
    return collections.Counter(
        (held.weights, held.role)
        for server in servers.values()
        if server.available
        for held in server.held
    )


@hypothesis.settings(max_examples=150)
@hypothesis.given(
    seed=strategies.integers(0, 10_000), store_bytes=strategies.sampled_from([0, 80, 1_000])
)
def test_orders_keep_memory_and_what_is_needed(seed: int, store_bytes: int):
    """Guards against orders that exceed memory or the store budget, or take needed servers."""
    rng = random.Random(seed)
    servers = new_servers(*(rng.choice((A, B, C)) for _ in range(8)), memory=rng.choice((100, 160)))
    placer = model_placement.new_model_placer(SIZES, store_bytes)
    for step in range(12):
        needs = {weights: random_need(rng) for weights in (A, B, C)}
        for server_id, server in servers.items():
            servers[server_id] = dataclasses.replace(server, available=rng.random() > 0.1)
        before = counts(servers)
        orders = run_round(placer, servers, step * 300.0, needs)
        loads = [o for o in orders if isinstance(o, model_placement.LoadWeights)]
        assert sum(SIZES[order.weights] for order in loads) <= store_bytes
        changed = [o.server for o in orders if isinstance(o, model_placement.ChangeRole)]
        assert len(changed) == len(set(changed))
        after = counts(servers)
        for weights, need in needs.items():
            for role, count in need.count_by_role.items():
                assert after[weights, role] >= min(before[weights, role], count)


def with_held_weights(
    servers: ServerById, name: str, *held: model_placement.HeldWeights
) -> ServerById:
    server_id = ids.BackendServerId(name)
    return servers | {server_id: dataclasses.replace(servers[server_id], held=held)}


def test_weights_that_load_get_no_role_and_no_second_load():
    """Guards against a role for weights that are not ready, and against loading them twice."""
    loading = model_placement.HeldWeights(A, Role.STANDBY, ready=False)
    servers = with_held_weights(
        new_servers(B, B, B), "s1", model_placement.HeldWeights(B, Role.BOTH), loading
    )
    placer = model_placement.new_model_placer(SIZES, 1_000)
    assert run_round(placer, servers, 0.0, {A: need_both(1), B: need_both(1)}) == []


def test_no_more_loads_than_servers_that_can_change():
    """Guards against a load at a server that its model still needs."""
    servers = new_servers(A, A, A, B)
    placer = model_placement.new_model_placer(SIZES, 1_000)
    orders = run_round(placer, servers, 0.0, {A: need_both(2), B: need_both(4)})
    assert [type(order) for order in orders] == [model_placement.LoadWeights]


@pytest.mark.parametrize(("now_s", "server"), [(600.0, "s2"), (3_000.0, "s0")])
def test_servers_of_models_needed_recently_are_taken_last(now_s: float, server: str):
    """Guards against taking a server from a model that was needed shortly before."""
    servers = new_servers(A, A, B, B)
    placer = model_placement.new_model_placer(SIZES, 1_000)
    run_round(placer, servers, 0.0, {A: need_both(2), B: need_both(1)})
    orders = run_round(placer, servers, now_s, {A: need_both(1), B: need_both(1), A2: need_both(1)})
    assert [order.server for order in orders] == [server]


@pytest.mark.parametrize(("now_s", "unloads"), [(600.0, 0), (3_000.0, 1)])
def test_spare_copies_are_unloaded_only_after_the_hold(now_s: float, unloads: int):
    """Guards against an unload of copies that were needed shortly before."""
    held = (model_placement.HeldWeights(B, Role.BOTH), model_placement.HeldWeights(A, Role.STANDBY))
    servers = with_held_weights(new_servers(A, A, B, B), "s2", *held)
    servers = with_held_weights(servers, "s3", *held)
    placer = model_placement.new_model_placer(SIZES, 1_000)
    run_round(placer, servers, 0.0, {A: need_both(4), B: need_both(2)})
    orders = run_round(placer, servers, now_s, {A: need_both(2), B: need_both(1), A2: need_both(1)})
    assert sum(isinstance(o, model_placement.UnloadWeights) for o in orders) == unloads


@pytest.mark.parametrize(("dip_s", "moves"), [(600.0, 0), (7_200.0, 0)])
def test_demand_that_comes_back_moves_no_weights(dip_s: float, moves: int):
    """Guards against reloading weights for demand that returns after a dip."""
    servers = new_servers(A, A, A, B, B)
    placer = model_placement.new_model_placer(SIZES, 1_000)
    run_round(placer, servers, 0.0, {A: need_both(3), B: need_both(2)})
    assert run_round(placer, servers, 300.0, {A: need_both(1), B: need_both(4)}) != []
    run_round(placer, servers, 600.0, {A: need_both(1), B: need_both(4)})
    assert active_count(servers, B) == 4
    orders = run_round(placer, servers, 600.0 + dip_s, {A: need_both(3), B: need_both(2)})
    assert active_count(servers, A) == 3
    assert sum(isinstance(o, model_placement.LoadWeights) for o in orders) == moves


@pytest.mark.parametrize(("now_s", "unloads"), [(600.0, 0), (3_000.0, 2)])
def test_weights_needed_recently_stay_in_memory(now_s: float, unloads: int):
    """Guards against a new model that evicts weights that were needed shortly before."""
    servers = new_servers(A, A, B, memory=100)
    servers[ids.BackendServerId("s2")] = dataclasses.replace(
        servers[ids.BackendServerId("s2")],
        held=(
            model_placement.HeldWeights(B, Role.BOTH),
            model_placement.HeldWeights(A, Role.STANDBY),
        ),
    )
    placer = model_placement.new_model_placer(SIZES, 1_000)
    needs: Needs = {A: need_both(3), B: need_both(1)}
    run_round(placer, servers, 0.0, needs)
    orders = []
    for round_ in range(3):
        needs = {A: need_both(2), B: need_both(0), C: need_both(1)}
        orders += run_round(placer, servers, now_s + round_, needs)
    assert active_count(servers, C) == unloads / 2
    assert sum(isinstance(o, model_placement.UnloadWeights) for o in orders) == unloads


@pytest.mark.parametrize(
    ("load", "split_before", "counts"),
    [
        ((0.0, 0.0), False, {}),
        ((0.1, 0.1), False, {Role.BOTH: 2}),
        ((1.0, 2.5), False, {Role.BOTH: 5}),
        ((1.0, 2.5), True, {Role.PREFILL: 2, Role.DECODE: 3}),
        ((1.0, 4.0), False, {Role.PREFILL: 2, Role.DECODE: 5}),
        ((1.0, 1.5), True, {Role.BOTH: 3}),
    ],
)
def test_roles_split_with_hysteresis(
    load: tuple[float, float], split_before: bool, counts: dict[Role, int]
):
    """Guards against roles that are split and merged again at a nearly constant load."""
    need = model_placement.need_for_load(model_placement.Load(*load), split_before)
    assert need.count_by_role == counts


def test_adapters_go_where_their_model_has_a_role():
    """Guards against adapters on servers where their model has no role."""
    servers = new_servers(B, A, A, B)
    placer = model_placement.new_model_placer(SIZES, 1_000)
    orders = run_round(
        placer, servers, 0.0, {A: need_both(2), B: need_both(2), ADAPTER: need_both(2)}
    )
    assert [(order.server, order.weights) for order in orders] == [
        ("s1", ADAPTER),
        ("s2", ADAPTER),
    ]


@pytest.mark.parametrize("fails_at_s", [None, 1_000.0])
def test_new_version_takes_over_beside_the_old_one(fails_at_s: float | None):
    """Guards against a share of the requests that the servers of a version cannot serve."""
    servers = new_servers(A, A, A, A, B)
    placer = model_placement.new_model_placer(SIZES, 1_000)
    ramp = version_ramp.new_version_ramp(0.0)
    shares = []
    for minute in range(80):
        now_s = minute * 60.0
        healthy = fails_at_s is None or now_s < fails_at_s
        step = ramp.advance(now_s, need_both(3), active_count(servers, A2), healthy)
        needs = {A: step.old_need, A2: step.new_need, B: need_both(1)}
        run_round(placer, servers, now_s, needs)
        assert active_count(servers, A) >= step.old_need.total()
        assert active_count(servers, A2) >= 3 * step.share - 1e-6
        shares.append(step.share)
    if fails_at_s is None:
        assert shares == sorted(shares)
        assert set(version_ramp.TRAFFIC_SHARES) <= set(shares)
        assert step.old_retired
    else:
        assert shares[-1] == 0.0
        assert 0.0 < max(shares) < 1.0
        assert active_count(servers, A) >= 3
