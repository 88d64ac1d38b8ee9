"""Which backend servers hold which weights, and in which role.

Weights go through the rate-limited weight store, so they are loaded only for a shortage and stay in
memory until their room is wanted. A server that holds weights on standby takes a role again without
any transfer.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
import typing
from collections.abc import Mapping, Sequence

from gentianpaddle_core import ids

HOLD_S = 1_800.0
"""Time for which the highest need of the past keeps weights in memory, so that demand that comes
back soon finds them."""

SPLIT_FROM = 4.0
"""Load in servers from which prefill and decode get servers of their own."""

JOIN_BELOW = 3.0
"""Load in servers below which they share servers again."""

HEADROOM = 1.2
"""Servers planned for each server of load, since demand goes on growing while weights load."""

LEAST_REPLICAS = 2
"""Servers of each model that is in demand, so that one can fail."""


class Role(enum.Enum):
    """What a backend server does with weights that it holds."""

    PREFILL = "prefill"
    """Prompts only."""
    DECODE = "decode"
    """Tokens after the first only."""
    BOTH = "both"
    """Whole requests."""
    STANDBY = "standby"
    """Nothing."""


class WeightsId(typing.NamedTuple):
    """A model or one of its adapters, in one version."""

    model: ids.ModelName
    """Model."""
    version: str
    """Version of the model or of the adapter."""
    adapter: str = ""
    """Name of the adapter, empty for the model itself."""


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """Weights at a backend server."""

    weights: WeightsId
    """Which weights."""
    role: Role
    """Role in force."""
    ready: bool = True
    """False while they load."""


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """A backend server as the agents report it."""

    id: ids.BackendServerId
    """Which server."""
    memory_bytes: int
    """Memory for weights."""
    held: tuple[Held, ...]
    """Weights in memory or loading; at most one model has a role other than standby."""
    available: bool = True
    """Whether it takes new work: not leaving and not out of service."""


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Demand for a model in servers that run it at the targets of its classes."""

    prefill: float
    """Servers that prompts keep busy."""
    decode: float
    """Servers that tokens after the first keep busy."""


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """Servers that the class targets need, by role; roles that are absent need none."""

    count_by_role: Mapping[Role, int]
    """Servers by role."""

    def total(self) -> int:
        """Return the servers over all roles."""
        return sum(self.count_by_role.values())


@dataclasses.dataclass(frozen=True, slots=True)
class LoadWeights:
    """Order to load weights, on standby until they are ready."""

    server: ids.BackendServerId
    """Receiver."""
    weights: WeightsId
    """What to load."""
    reason: str
    """Why, for the decision log."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnloadWeights:
    """Order to remove weights that have no role."""

    server: ids.BackendServerId
    """Receiver."""
    weights: WeightsId
    """What to remove."""
    reason: str
    """Why, for the decision log."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRole:
    """Order to take a role; another model at the server goes on standby after its requests."""

    server: ids.BackendServerId
    """Receiver."""
    weights: WeightsId
    """Weights that take the role."""
    role: Role
    """New role."""
    reason: str
    """Why, for the decision log."""


Order: typing.TypeAlias = LoadWeights | UnloadWeights | ChangeRole
"""Order to the agent of a backend server."""


@dataclasses.dataclass(frozen=True, slots=True)
class Orders:
    """Result of one round of planning."""

    orders: tuple[Order, ...]
    """Orders; unloads come before the load that takes their room."""
    blocked: tuple[str, ...]
    """Shortages for which nothing can be done now, for the decision log."""


def need_of(load: Load, split_before: bool) -> Need:
    """Return the servers that a load needs.

    Args:
        load: Demand in servers.
        split_before: Whether prefill and decode had servers of their own until now.

    Returns:
        Servers by role.

    >>> need_of(Load(0.5, 0.6), False).count_by_role[Role.BOTH]
    2
    """
    total = load.prefill + load.decode
    if total <= 0.0:
        return Need({})
    if total >= (JOIN_BELOW if split_before else SPLIT_FROM):
        return Need(
            {
                Role.PREFILL: max(1, math.ceil(load.prefill * HEADROOM)),
                Role.DECODE: max(1, math.ceil(load.decode * HEADROOM)),
            }
        )
    return Need({Role.BOTH: max(LEAST_REPLICAS, math.ceil(total * HEADROOM))})


class ModelPlacer:
    """Plans orders; remembers how many servers each model needed within `HOLD_S`."""

    def __init__(self, bytes_by_weights: Mapping[WeightsId, int], store_bytes: int) -> None:
        self._bytes_by_weights = dict(bytes_by_weights)
        self._store_bytes = store_bytes
        self._needs_by_weights: dict[WeightsId, list[tuple[float, int]]] = {}

    def plan(
        self, now_s: float, servers: Sequence[Server], need_by_weights: Mapping[WeightsId, Need]
    ) -> Orders:
        """Plan the next orders.

        Args:
            now_s: Monotonic time in seconds.
            servers: All backend servers with what they hold.
            need_by_weights: Need of each model version, and of each adapter in the role `BOTH`.

        Returns:
            Orders and what is blocked. A server gets at most one new role in a round.
        """
        self._remember(now_s, need_by_weights)
        round_ = _Round(
            servers, need_by_weights, self._bytes_by_weights, self._store_bytes, self._kept()
        )
        models = [weights for weights in need_by_weights if not weights.adapter]
        for weights in sorted(models, key=round_.shortage_share, reverse=True):
            round_.fill(weights)
        for weights in sorted(set(need_by_weights) - set(models)):
            round_.fill_adapter(weights)
        return Orders(tuple(round_.orders), tuple(round_.blocked))

    def _remember(self, now_s: float, need_by_weights: Mapping[WeightsId, Need]) -> None:
        for weights, need in need_by_weights.items():
            self._needs_by_weights.setdefault(weights, []).append((now_s, need.total()))
        for weights, needs in list(self._needs_by_weights.items()):
            kept = [(at_s, count) for at_s, count in needs if now_s - at_s < HOLD_S]
            if kept:
                self._needs_by_weights[weights] = kept
            else:
                del self._needs_by_weights[weights]

    def _kept(self) -> dict[WeightsId, int]:
        return {
            weights: max(count for _, count in needs)
            for weights, needs in self._needs_by_weights.items()
        }


def new_model_placer(bytes_by_weights: Mapping[WeightsId, int], store_bytes: int) -> ModelPlacer:
    """Create a placer.

    Args:
        bytes_by_weights: Size of all weights that may be needed.
        store_bytes: Bytes that may be loading at any time through the weight store.

    Returns:
        The placer.
    """
    return ModelPlacer(bytes_by_weights, store_bytes)


class _Round:
    """One round of planning over a changing picture of the servers."""

    def __init__(
        self,
        servers: Sequence[Server],
        need_by_weights: Mapping[WeightsId, Need],
        bytes_by_weights: Mapping[WeightsId, int],
        store_bytes: int,
        kept_by_weights: Mapping[WeightsId, int],
    ) -> None:
        self.orders: list[Order] = []
        self.blocked: list[str] = []
        self._need_by_weights = need_by_weights
        self._bytes_by_weights = bytes_by_weights
        self._kept_by_weights = kept_by_weights
        self._server_by_id: dict[ids.BackendServerId, Server] = {}
        self._active_by_role: collections.Counter[tuple[WeightsId, Role]] = collections.Counter()
        self._pledged: collections.Counter[tuple[WeightsId, Role]] = collections.Counter()
        self._holders: collections.Counter[WeightsId] = collections.Counter()
        self._loading: collections.Counter[WeightsId] = collections.Counter()
        for server in servers:
            if server.available:
                self._put(server)
        self._changed: set[ids.BackendServerId] = set()
        loading = (held.weights for s in servers for held in s.held if not held.ready)
        self._store_bytes = store_bytes - sum(bytes_by_weights[weights] for weights in loading)

    def shortage_share(self, weights: WeightsId) -> float:
        """Return the missing share of the servers that weights need."""
        need = self._need_by_weights[weights].total()
        return max(0, need - self._active(weights)) / need if need else 0.0

    def fill(self, weights: WeightsId) -> None:
        """Order roles and loads for what a model lacks."""
        need = self._need_by_weights[weights]
        for role, count in need.count_by_role.items():
            missing = count - self._active_by_role[weights, role]
            while missing > 0 and self._change_role(weights, role):
                missing -= 1
            wanted = missing - self._loading[weights]
            if wanted > 0 and self._load(weights, wanted, role) < wanted:
                name = f"{weights.model} {weights.version}"
                self.blocked.append(f"{name} lacks {missing} servers for {role.value}")

    def fill_adapter(self, weights: WeightsId) -> None:
        """Order loads of an adapter at servers that have a role for its model."""
        count = self._need_by_weights[weights].total()
        for server in list(self._server_by_id.values()):
            active = _active_of(server)
            if count <= self._holders[weights]:
                return
            if active and active.weights.model == weights.model and not _find(server, weights):
                self._load_at(server, weights, f"{count} servers needed for the adapter")
        if count > self._holders[weights]:
            self.blocked.append(f"adapter {weights.adapter} lacks servers")

    def _put(self, server: Server) -> None:
        """Replace a server and keep the counts, so that no count goes over all servers."""
        before = self._server_by_id.get(server.id)
        for known, sign in ((before, -1), (server, 1)):
            if known is None:
                continue
            if active := _active_of(known):
                self._active_by_role[active.weights, active.role] += sign
                if any(not held.ready and not held.weights.adapter for held in known.held):
                    self._pledged[active.weights, active.role] += sign
            for held in known.held:
                self._holders[held.weights] += sign
                self._loading[held.weights] += 0 if held.ready else sign
        self._server_by_id[server.id] = server

    def _active(self, weights: WeightsId) -> int:
        return sum(self._active_by_role[weights, role] for role in Role)

    def _can_give(
        self, server: Server, wanted: WeightsId, keep_recent: bool, beside_loads: bool
    ) -> bool:
        """Return whether a server can leave its role without a shortage in it.

        Args:
            server: The server.
            wanted: Model that takes its place.
            keep_recent: Whether the need of the last `HOLD_S` counts, too.
            beside_loads: Whether the servers that load another model count as gone.

        Returns:
            Whether enough servers remain.
        """
        held = _active_of(server)
        if held is None:
            return True
        need = self._need_by_weights.get(held.weights, Need({}))
        gone = self._pledged[held.weights, held.role] if beside_loads else 0
        in_role = self._active_by_role[held.weights, held.role] - gone
        spare_in_role = in_role > need.count_by_role.get(held.role, 0)
        if held.weights == wanted:
            return spare_in_role
        recent = self._kept_by_weights.get(held.weights, 0) if keep_recent else 0
        return spare_in_role and self._active(held.weights) - gone > max(need.total(), recent)

    def _change_role(self, weights: WeightsId, role: Role) -> bool:
        candidates = [
            server
            for server in self._server_by_id.values()
            if server.id not in self._changed
            and (held := _find(server, weights))
            and held.ready
            and held.role is not role
            and self._can_give(server, weights, keep_recent=False, beside_loads=False)
        ]
        if not candidates:
            return False
        server = min(candidates, key=lambda s: (_active_of(s) is not None, s.id))
        self._changed.add(server.id)
        held_now = tuple(
            dataclasses.replace(
                held, role=role if held.weights == weights else _after(held, weights)
            )
            for held in server.held
        )
        self._put(dataclasses.replace(server, held=held_now))
        reason = f"{weights.model} needs servers for {role.value}, and this one holds the weights"
        self.orders.append(ChangeRole(server.id, weights, role, reason))
        return True

    def _load(self, weights: WeightsId, wanted: int, role: Role) -> int:
        """Order loads at the servers that give up least, and return how many."""
        if self._bytes_by_weights[weights] > self._store_bytes:
            return 0
        ranked = []
        for server in self._server_by_id.values():
            if _find(server, weights) or not all(held.ready for held in server.held):
                continue
            removed = self._removable(server, weights)
            if removed is None or not self._can_give(server, weights, False, True):
                continue
            recent = not self._can_give(server, weights, True, True)
            ranked.append((recent, len(removed), _active_of(server) is not None, server.id))
        ordered = 0
        for *_, server_id in sorted(ranked):
            if ordered == wanted:
                break
            server = self._server_by_id[server_id]
            if not self._can_give(server, weights, False, True):
                continue
            reason = f"{wanted} more servers needed for {role.value}"
            ordered += self._load_at(server, weights, reason)
        if not ranked:
            self._clear(weights)
        return ordered

    def _clear(self, weights: WeightsId) -> None:
        """Put a model that is not needed on standby where only its memory makes room."""
        size = self._bytes_by_weights[weights]
        for server in self._server_by_id.values():
            active = _active_of(server)
            if (
                active is not None
                and server.id not in self._changed
                and server.memory_bytes >= size
                and not _find(server, weights)
                and self._can_give(server, weights, keep_recent=True, beside_loads=True)
            ):
                self._changed.add(server.id)
                idle = tuple(
                    held if held.weights.adapter else dataclasses.replace(held, role=Role.STANDBY)
                    for held in server.held
                )
                self._put(dataclasses.replace(server, held=idle))
                reason = f"not needed here, and {weights.model} needs its memory"
                self.orders.append(ChangeRole(server.id, active.weights, Role.STANDBY, reason))
                return

    def _load_at(self, server: Server, weights: WeightsId, reason: str) -> bool:
        size = self._bytes_by_weights[weights]
        removed = self._removable(server, weights)
        if removed is None or size > self._store_bytes:
            return False
        self._store_bytes -= size
        for held in removed:
            why = f"makes room for {weights.model} {weights.version}"
            self.orders.append(UnloadWeights(server.id, held.weights, why))
        self.orders.append(LoadWeights(server.id, weights, reason))
        remaining = tuple(held for held in server.held if held not in removed)
        held_now = (*remaining, Held(weights, Role.STANDBY, ready=False))
        self._put(dataclasses.replace(server, held=held_now))
        return True

    def _removable(self, server: Server, weights: WeightsId) -> tuple[Held, ...] | None:
        """Return what must go to make room, least needed first, or None if there is no way."""
        size = self._bytes_by_weights[weights]
        free = server.memory_bytes - sum(self._bytes_by_weights[h.weights] for h in server.held)
        removed: list[Held] = []
        idle = [held for held in server.held if held.role is Role.STANDBY and held.ready]
        for held in sorted(idle, key=lambda h: self._spare_copies(h.weights), reverse=True):
            if free >= size:
                break
            if self._spare_copies(held.weights) > 0:
                removed.append(held)
                free += self._bytes_by_weights[held.weights]
        return tuple(removed) if free >= size else None

    def _spare_copies(self, weights: WeightsId) -> int:
        """Return the copies beyond what was needed recently."""
        return self._holders[weights] - self._kept_by_weights.get(weights, 0)


def _find(server: Server, weights: WeightsId) -> Held | None:
    return next((held for held in server.held if held.weights == weights), None)


def _active_of(server: Server) -> Held | None:
    return next(
        (h for h in server.held if h.role is not Role.STANDBY and not h.weights.adapter), None
    )


def _after(held: Held, taking: WeightsId) -> Role:
    """Return the role of other weights once a model takes a role at their server."""
    same_model = held.weights.model == taking.model
    return held.role if held.weights.adapter and same_model else Role.STANDBY
