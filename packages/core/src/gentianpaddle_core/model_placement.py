"""Placement of model weights on backend servers, and the role of each server.

The weight store is rate-limited, so weights are loaded only for a shortage and stay in memory until
the memory is needed. A server that holds weights on standby can take a role without a transfer.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
import typing
from collections.abc import Mapping, Sequence

from gentianpaddle_core import ids

NEED_RETENTION_S = 1_800.0
"""Time for which the peak need keeps weights in memory, so that demand that returns within it needs
no load."""

SPLIT_ROLES_LOAD = 4.0
"""Load, in servers, from which prefill and decode get separate servers."""

MERGE_ROLES_LOAD = 3.0
"""Load, in servers, below which prefill and decode share servers again."""

HEADROOM_FACTOR = 1.2
"""Number of servers planned per server of load, since demand keeps growing while weights load."""

MIN_REPLICAS = 2
"""Minimum number of servers of a model that is in demand, so that one can fail."""


class Role(enum.Enum):
    """Roles of weights at a backend server."""

    PREFILL = "prefill"
    """Serves prompts only."""
    DECODE = "decode"
    """Generates tokens after the first only."""
    BOTH = "both"
    """Serves whole requests."""
    STANDBY = "standby"
    """Holds the weights in memory without serving requests."""


class WeightsId(typing.NamedTuple):
    """Identifies the weights of a model or of one of its adapters in one version."""

    model: ids.ModelName
    """Name of the model."""
    version: str
    """Version of the model or of the adapter."""
    adapter: str = ""
    """Name of the adapter, empty for the model itself."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldWeights:
    """Weights in the memory of a backend server, with their role."""

    weights: WeightsId
    """Identifier of the weights."""
    role: Role
    """Current role."""
    ready: bool = True
    """Whether loading is complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """State of a backend server as reported by its agent."""

    id: ids.BackendServerId
    """Identifier of the backend server."""
    memory_bytes: int
    """Memory for weights in bytes."""
    held: tuple[HeldWeights, ...]
    """Weights in memory or being loaded; at most one model has a role other than standby."""
    available: bool = True
    """Whether it accepts new requests, that is, is neither leaving nor out of service."""


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Demand for a model, in servers that are fully used while the class targets are met."""

    prefill: float
    """Number of servers that prompts occupy."""
    decode: float
    """Number of servers that tokens after the first occupy."""


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """Number of servers required to meet the class targets, by role."""

    count_by_role: Mapping[Role, int]
    """Number of servers by role; a missing role needs none."""

    def total(self) -> int:
        """Return the number of servers over all roles."""
        return sum(self.count_by_role.values())


@dataclasses.dataclass(frozen=True, slots=True)
class LoadWeights:
    """Order to load weights, which are on standby until they get a role."""

    server: ids.BackendServerId
    """Server that receives the order."""
    weights: WeightsId
    """Weights to load."""
    reason: str
    """Reason for the decision log."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnloadWeights:
    """Order to unload weights that are on standby."""

    server: ids.BackendServerId
    """Server that receives the order."""
    weights: WeightsId
    """Weights to unload."""
    reason: str
    """Reason for the decision log."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRole:
    """Order to take a role.

    Another model at the server goes on standby once its running requests are done.
    """

    server: ids.BackendServerId
    """Server that receives the order."""
    weights: WeightsId
    """Weights that get the role."""
    role: Role
    """New role."""
    reason: str
    """Reason for the decision log."""


Order: typing.TypeAlias = LoadWeights | UnloadWeights | ChangeRole
"""Order to the agent of a backend server."""


@dataclasses.dataclass(frozen=True, slots=True)
class Orders:
    """Result of one planning round."""

    orders: tuple[Order, ...]
    """Orders; unloads precede the load that needs their memory."""
    blocked: tuple[str, ...]
    """Shortages that cannot be remedied now, for the decision log."""


def need_for_load(load: Load, split_before: bool) -> Need:
    """Return the number of servers that a load requires.

    Args:
        load: Demand in servers.
        split_before: Whether prefill and decode have separate servers at present.

    Returns:
        Number of servers by role.

    >>> need_for_load(Load(0.5, 0.6), False).count_by_role[Role.BOTH]
    2
    """
    total = load.prefill + load.decode
    if total <= 0.0:
        return Need({})
    if total >= (MERGE_ROLES_LOAD if split_before else SPLIT_ROLES_LOAD):
        return Need(
            {
                Role.PREFILL: max(1, math.ceil(load.prefill * HEADROOM_FACTOR)),
                Role.DECODE: max(1, math.ceil(load.decode * HEADROOM_FACTOR)),
            }
        )
    return Need({Role.BOTH: max(MIN_REPLICAS, math.ceil(total * HEADROOM_FACTOR))})


class ModelPlacer:
    """Plans orders, based on the current need and the peak need within `NEED_RETENTION_S`."""

    def __init__(self, bytes_by_weights: Mapping[WeightsId, int], max_loading_bytes: int) -> None:
        self._bytes_by_weights = dict(bytes_by_weights)
        self._max_loading_bytes = max_loading_bytes
        self._needs_by_weights: dict[WeightsId, list[tuple[float, int]]] = {}

    def plan(
        self, now_s: float, servers: Sequence[Server], need_by_weights: Mapping[WeightsId, Need]
    ) -> Orders:
        """Plan the next orders.

        Args:
            now_s: Monotonic time in seconds.
            servers: All backend servers.
            need_by_weights: Need of each model version, and of each adapter in role `BOTH`.

        Returns:
            Orders and shortages. A server gets at most one new role per round.
        """
        self._record_needs(now_s, need_by_weights)
        planning_round = _PlanningRound(
            servers,
            need_by_weights,
            self._bytes_by_weights,
            self._max_loading_bytes,
            self._recent_need(),
        )
        models = [weights for weights in need_by_weights if not weights.adapter]
        for weights in sorted(models, key=planning_round.shortage_share, reverse=True):
            planning_round.order_missing(weights)
        for weights in sorted(set(need_by_weights) - set(models)):
            planning_round.order_missing_adapter(weights)
        return Orders(tuple(planning_round.orders), tuple(planning_round.blocked))

    def _record_needs(self, now_s: float, need_by_weights: Mapping[WeightsId, Need]) -> None:
        for weights, need in need_by_weights.items():
            self._needs_by_weights.setdefault(weights, []).append((now_s, need.total()))
        for weights, needs in list(self._needs_by_weights.items()):
            recent_needs = [
                (at_s, count) for at_s, count in needs if now_s - at_s < NEED_RETENTION_S
            ]
            if recent_needs:
                self._needs_by_weights[weights] = recent_needs
            else:
                del self._needs_by_weights[weights]

    def _recent_need(self) -> dict[WeightsId, int]:
        return {
            weights: max(count for _, count in needs)
            for weights, needs in self._needs_by_weights.items()
        }


def new_model_placer(
    bytes_by_weights: Mapping[WeightsId, int], max_loading_bytes: int
) -> ModelPlacer:
    """Create a placer.

    Args:
        bytes_by_weights: Size of all weights that may be needed, in bytes.
        max_loading_bytes: Maximum total size of the weights that load at the same time.

    Returns:
        The placer.
    """
    return ModelPlacer(bytes_by_weights, max_loading_bytes)


class _PlanningRound:
    """One planning round, which applies each order to its own copy of the server states."""

    def __init__(
        self,
        servers: Sequence[Server],
        need_by_weights: Mapping[WeightsId, Need],
        bytes_by_weights: Mapping[WeightsId, int],
        max_loading_bytes: int,
        recent_need_by_weights: Mapping[WeightsId, int],
    ) -> None:
        self.orders: list[Order] = []
        self.blocked: list[str] = []
        self._need_by_weights = need_by_weights
        self._bytes_by_weights = bytes_by_weights
        self._recent_need_by_weights = recent_need_by_weights
        self._server_by_id: dict[ids.BackendServerId, Server] = {}
        self._active_by_role: collections.Counter[tuple[WeightsId, Role]] = collections.Counter()
        self._leaving_by_role: collections.Counter[tuple[WeightsId, Role]] = collections.Counter()
        self._copies_by_weights: collections.Counter[WeightsId] = collections.Counter()
        self._loading_by_weights: collections.Counter[WeightsId] = collections.Counter()
        for server in servers:
            if server.available:
                self._update_server(server)
        self._changed_ids: set[ids.BackendServerId] = set()
        loading_weights = (held.weights for s in servers for held in s.held if not held.ready)
        self._free_loading_bytes = max_loading_bytes - sum(
            bytes_by_weights[weights] for weights in loading_weights
        )

    def shortage_share(self, weights: WeightsId) -> float:
        """Return the share of the required servers that is missing, 0 to 1."""
        need = self._need_by_weights[weights].total()
        return max(0, need - self._active_count(weights)) / need if need else 0.0

    def order_missing(self, weights: WeightsId) -> None:
        """Order role changes and loads for the missing servers of a model."""
        need = self._need_by_weights[weights]
        for role, count in need.count_by_role.items():
            missing = count - self._active_by_role[weights, role]
            while missing > 0 and self._change_role(weights, role):
                missing -= 1
            wanted = missing - self._loading_by_weights[weights]
            if wanted > 0 and self._order_loads(weights, wanted, role) < wanted:
                name = f"{weights.model} {weights.version}"
                self.blocked.append(f"{name} lacks {missing} servers for {role.value}")

    def order_missing_adapter(self, weights: WeightsId) -> None:
        """Order loads of an adapter at servers on which its model has a role."""
        count = self._need_by_weights[weights].total()
        for server in list(self._server_by_id.values()):
            active = _active_model_weights(server)
            if count <= self._copies_by_weights[weights]:
                return
            if active and active.weights.model == weights.model and not _find_held(server, weights):
                self._order_load_at(server, weights, f"{count} servers needed for the adapter")
        if count > self._copies_by_weights[weights]:
            self.blocked.append(f"adapter {weights.adapter} lacks servers")

    def _update_server(self, server: Server) -> None:
        """Replace the state of a server and update the counts incrementally."""
        before = self._server_by_id.get(server.id)
        for counted_server, delta in ((before, -1), (server, 1)):
            if counted_server is None:
                continue
            if active := _active_model_weights(counted_server):
                self._active_by_role[active.weights, active.role] += delta
                if any(not held.ready and not held.weights.adapter for held in counted_server.held):
                    self._leaving_by_role[active.weights, active.role] += delta
            for held in counted_server.held:
                self._copies_by_weights[held.weights] += delta
                self._loading_by_weights[held.weights] += 0 if held.ready else delta
        self._server_by_id[server.id] = server

    def _active_count(self, weights: WeightsId) -> int:
        return sum(self._active_by_role[weights, role] for role in Role)

    def _can_leave_role(
        self, server: Server, wanted: WeightsId, include_recent_need: bool, exclude_leaving: bool
    ) -> bool:
        """Return whether a server can leave its role without causing a shortage.

        Args:
            server: Server that leaves its role.
            wanted: Model that gets the server.
            include_recent_need: Whether the peak need within `NEED_RETENTION_S` must be met, too.
            exclude_leaving: Whether servers that load another model count as having left.

        Returns:
            Whether enough servers remain.
        """
        held = _active_model_weights(server)
        if held is None:
            return True
        need = self._need_by_weights.get(held.weights, Need({}))
        leaving_count = self._leaving_by_role[held.weights, held.role] if exclude_leaving else 0
        count_in_role = self._active_by_role[held.weights, held.role] - leaving_count
        spare_in_role = count_in_role > need.count_by_role.get(held.role, 0)
        if held.weights == wanted:
            return spare_in_role
        recent_need = (
            self._recent_need_by_weights.get(held.weights, 0) if include_recent_need else 0
        )
        return spare_in_role and self._active_count(held.weights) - leaving_count > max(
            need.total(), recent_need
        )

    def _change_role(self, weights: WeightsId, role: Role) -> bool:
        candidates = [
            server
            for server in self._server_by_id.values()
            if server.id not in self._changed_ids
            and (held := _find_held(server, weights))
            and held.ready
            and held.role is not role
            and self._can_leave_role(
                server, weights, include_recent_need=False, exclude_leaving=False
            )
        ]
        if not candidates:
            return False
        server = min(candidates, key=lambda s: (_active_model_weights(s) is not None, s.id))
        self._changed_ids.add(server.id)
        new_held = tuple(
            dataclasses.replace(
                held, role=role if held.weights == weights else _role_after_change(held, weights)
            )
            for held in server.held
        )
        self._update_server(dataclasses.replace(server, held=new_held))
        reason = f"{weights.model} needs servers for {role.value}, and this one holds the weights"
        self.orders.append(ChangeRole(server.id, weights, role, reason))
        return True

    def _order_loads(self, weights: WeightsId, wanted: int, role: Role) -> int:
        """Order loads at the servers that are affected least.

        Servers whose active model was not needed recently come first, then those on which the
        fewest weights are evicted.

        If no server can take the load, a standby is ordered that allows an eviction later.

        Returns:
            Number of loads ordered.
        """
        if self._bytes_by_weights[weights] > self._free_loading_bytes:
            return 0
        ranked = []
        for server in self._server_by_id.values():
            if _find_held(server, weights) or not all(held.ready for held in server.held):
                continue
            evicted = self._weights_to_evict(server, weights)
            if evicted is None or not self._can_leave_role(server, weights, False, True):
                continue
            needed_recently = not self._can_leave_role(server, weights, True, True)
            ranked.append(
                (
                    needed_recently,
                    len(evicted),
                    _active_model_weights(server) is not None,
                    server.id,
                )
            )
        ordered = 0
        for *_, server_id in sorted(ranked):
            if ordered == wanted:
                break
            server = self._server_by_id[server_id]
            if not self._can_leave_role(server, weights, False, True):
                continue
            reason = f"{wanted} more servers needed for {role.value}"
            ordered += self._order_load_at(server, weights, reason)
        if not ranked:
            self._order_standby(weights)
        return ordered

    def _order_standby(self, weights: WeightsId) -> None:
        """Order one server to put an unneeded model on standby, so that it can be evicted later."""
        size = self._bytes_by_weights[weights]
        for server in self._server_by_id.values():
            active = _active_model_weights(server)
            if (
                active is not None
                and server.id not in self._changed_ids
                and server.memory_bytes >= size
                and not _find_held(server, weights)
                and self._can_leave_role(
                    server, weights, include_recent_need=True, exclude_leaving=True
                )
            ):
                self._changed_ids.add(server.id)
                held_on_standby = tuple(
                    held if held.weights.adapter else dataclasses.replace(held, role=Role.STANDBY)
                    for held in server.held
                )
                self._update_server(dataclasses.replace(server, held=held_on_standby))
                reason = f"not needed on this server, and {weights.model} needs the memory"
                self.orders.append(ChangeRole(server.id, active.weights, Role.STANDBY, reason))
                return

    def _order_load_at(self, server: Server, weights: WeightsId, reason: str) -> bool:
        size = self._bytes_by_weights[weights]
        evicted = self._weights_to_evict(server, weights)
        if evicted is None or size > self._free_loading_bytes:
            return False
        self._free_loading_bytes -= size
        for held in evicted:
            unload_reason = f"frees memory for {weights.model} {weights.version}"
            self.orders.append(UnloadWeights(server.id, held.weights, unload_reason))
        self.orders.append(LoadWeights(server.id, weights, reason))
        remaining = tuple(held for held in server.held if held not in evicted)
        new_held = (*remaining, HeldWeights(weights, Role.STANDBY, ready=False))
        self._update_server(dataclasses.replace(server, held=new_held))
        return True

    def _weights_to_evict(
        self, server: Server, weights: WeightsId
    ) -> tuple[HeldWeights, ...] | None:
        """Return the weights to unload for a load, or None if too little memory can be freed.

        Only weights on standby with spare copies are evicted, those with the most first.
        """
        size = self._bytes_by_weights[weights]
        free = server.memory_bytes - sum(self._bytes_by_weights[h.weights] for h in server.held)
        evicted: list[HeldWeights] = []
        on_standby_ready = [
            held for held in server.held if held.role is Role.STANDBY and held.ready
        ]
        for held in sorted(
            on_standby_ready, key=lambda h: self._spare_copies(h.weights), reverse=True
        ):
            if free >= size:
                break
            if self._spare_copies(held.weights) > 0:
                evicted.append(held)
                free += self._bytes_by_weights[held.weights]
        return tuple(evicted) if free >= size else None

    def _spare_copies(self, weights: WeightsId) -> int:
        """Return the number of copies in excess of the recent peak need."""
        return self._copies_by_weights[weights] - self._recent_need_by_weights.get(weights, 0)


def _find_held(server: Server, weights: WeightsId) -> HeldWeights | None:
    return next((held for held in server.held if held.weights == weights), None)


def _active_model_weights(server: Server) -> HeldWeights | None:
    return next(
        (h for h in server.held if h.role is not Role.STANDBY and not h.weights.adapter), None
    )


def _role_after_change(held: HeldWeights, model_taking_role: WeightsId) -> Role:
    """Return the role of held weights after a model takes a role at the same server."""
    same_model = held.weights.model == model_taking_role.model
    return held.role if held.weights.adapter and same_model else Role.STANDBY
