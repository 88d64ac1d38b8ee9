"""Choice of a backend server for a request.

A decision weighs at most `CANDIDATES_LIMIT` servers and touches no others, so its cost does not
depend on the size of the fleet. The sample is seeded by the fingerprint of the request: repeated
copies of one request meet the same few servers.
"""

from __future__ import annotations

import dataclasses
import enum
import itertools
import typing

from gentianpaddle_core import _ring, declarations, ids, prefix_index, scoring

CANDIDATES_LIMIT = 16
"""Servers weighed in one decision."""
RETRY_WAIT_S = 0.05
"""Wait before the next look when no event is known that frees capacity."""
GAP_MARGIN = 0.9
"""Part of the target between tokens that a prediction may take. Other entries send to the same
server before the next report, and a request meets what is sent after it."""
NO_SERVER_RETRY_AFTER_S = 2.0
"""Advice to callers while no server of a model is available."""


class State(enum.StrEnum):
    """State of a backend server as this entry sees it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    OUT = "out"
    DEAD = "dead"


class Distance(enum.StrEnum):
    """How far apart two processes are."""

    OWN = "own"
    """In one data centre."""
    REGION = "region"
    """In one region."""
    OTHER = "other"
    """In different regions."""


DEFAULT_ONE_WAY_S = {Distance.OWN: 0.000_1, Distance.REGION: 0.001, Distance.OTHER: 0.02}
"""Delay to a server where it is not measured."""


class Reason(enum.StrEnum):
    """Why a server was chosen or none was."""

    PREFIX = "prefix"
    """Meets the target and holds a prefix of the prompt."""
    MEETS_TARGET = "meets_target"
    """Meets the target at the least cost."""
    LATE = "late"
    """No server meets the target any more; this one is the fastest within the deadline."""
    NO_GRANT = "no_grant"
    """All candidates are full."""
    TARGET_MISSED = "target_missed"
    """Waiting can still meet the target."""
    NO_SERVER = "no_server"
    """No server of the model may get work."""
    DEADLINE = "deadline"
    """No candidate can answer before the deadline."""


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where a process runs."""

    data_centre: ids.DataCentreId
    """Its data centre."""
    region: ids.RegionId
    """Its region."""


def distance(one: Place, other: Place) -> Distance:
    """How far apart two places are."""
    if one.data_centre == other.data_centre:
        return Distance.OWN
    return Distance.REGION if one.region == other.region else Distance.OTHER


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server that this entry is linked to."""

    id: ids.BackendServerId
    """Its name."""
    vm: ids.VmId
    """VM of its agent."""
    place: Place
    """Where it runs."""
    targets: tuple[ids.ModelName, ...]
    """Models or plain services that it serves."""
    one_way_s: float | None = None
    """Measured delay from this entry, None where it is not measured."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """What a decision needs to know of a request."""

    model: ids.ModelName
    """Model or plain service."""
    fingerprint: ids.Fingerprint
    """Digest of what it asks for."""
    class_of_work: declarations.ClassOfWork
    """Class with its targets."""
    arrived_s: float
    """Arrival at this entry."""
    prompt_tokens: int
    """Estimated length of the prompt, 0 for a plain service."""
    prefix_hashes: tuple[int, ...] = ()
    """Result of `prefix_index.prefix_hashes`."""
    tried: frozenset[ids.BackendServerId] = frozenset()
    """Servers that this request has been sent to already."""


@dataclasses.dataclass(frozen=True, slots=True)
class Routed:
    """Send the request to this server."""

    backend_server: ids.BackendServerId
    """The server."""
    reason: Reason
    """Why."""
    first_token_s: float
    """Predicted time to first token from now."""
    gap_s: float
    """Predicted time between tokens."""
    candidates: int
    """Servers weighed."""
    uncached_tokens: float
    """Prompt tokens expected not to be cached there; pass it to `Router.sent`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Ask again at a time, or when a load report or an end of a request comes first."""

    until_s: float
    """Time of the next look."""
    reason: Reason
    """Why."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoCapacity:
    """Refuse the request."""

    retry_after_s: float
    """Predicted time until there is capacity."""
    reason: Reason
    """Why."""


Decision: typing.TypeAlias = Routed | Wait | NoCapacity
"""Result of a routing decision."""


@dataclasses.dataclass(slots=True)
class _Entry:
    server: BackendServer
    score: scoring.ServerScore
    state: State = State.ALIVE


class _Weighed(typing.NamedTuple):
    misses: bool
    cost: float
    server: ids.BackendServerId
    first_token_s: float
    gap_s: float
    uncached_tokens: float


class Router:
    """Routing state of one entry."""

    def __init__(self, place: Place, index: prefix_index.PrefixIndex) -> None:
        """Create a router without servers; use `new_router`."""
        self._place = place
        self._index = index
        self._entry_by_id: dict[ids.BackendServerId, _Entry] = {}
        self._ring_by_model: dict[ids.ModelName, _ring.Ring[_Entry]] = {}
        self._lines_by_model: dict[ids.ModelName, scoring.ModelLines] = {}
        self._data_centres_out: frozenset[ids.DataCentreId] = frozenset()
        self._vms_out: frozenset[ids.VmId] = frozenset()

    def add(self, server: BackendServer) -> None:
        """Add a linked server, or change what is known of it; learned figures stay."""
        known = self._entry_by_id.get(server.id)
        if known is not None:
            self._leave_rings(known)
            known.server = server
            self._place_on_rings(known)
            return
        one_way_s = server.one_way_s
        if one_way_s is None:
            one_way_s = DEFAULT_ONE_WAY_S[distance(self._place, server.place)]
        lines = self._lines_by_model.setdefault(server.targets[0], scoring.new_model_lines())
        entry = _Entry(server, scoring.new_server_score(lines, one_way_s))
        self._entry_by_id[server.id] = entry
        self._place_on_rings(entry)

    def remove(self, server: ids.BackendServerId) -> None:
        """Remove a server to which there is no link any more."""
        entry = self._entry_by_id.pop(server, None)
        if entry is not None:
            self._leave_rings(entry)
            self._index.discard(server)

    def set_state(self, server: ids.BackendServerId, state: State, now_s: float) -> None:
        """Change the state of a server; only an alive one gets new work."""
        entry = self._entry_by_id.get(server)
        if entry is None:
            return
        entry.state = state
        if state is State.DEAD:
            self._index.forget(server, now_s)
        self._place_on_rings(entry)

    def set_out(self, data_centres: frozenset[ids.DataCentreId], vms: frozenset[ids.VmId]) -> None:
        """Set the places out of service of the accepted configuration."""
        self._data_centres_out, self._vms_out = data_centres, vms
        for entry in self._entry_by_id.values():
            self._place_on_rings(entry)

    def report(self, server: ids.BackendServerId, load: scoring.Load, now_s: float) -> None:
        """Take a load report of an agent."""
        entry = self._entry_by_id.get(server)
        if entry is None:
            return
        if entry.score.report(load, now_s):
            self._index.forget(server, now_s)
        self._place_on_rings(entry)

    def cache_lost(self, server: ids.BackendServerId, now_s: float) -> None:
        """Forget the prefixes of a server that lost its cache."""
        self._index.forget(server, now_s)

    def outstanding(self, server: ids.BackendServerId) -> int:
        """Own requests at a server that have not ended."""
        entry = self._entry_by_id.get(server)
        return 0 if entry is None else entry.score.outstanding

    def room(self, server: ids.BackendServerId, now_s: float) -> int:
        """Further requests that may be sent to a server now, 0 when it may get no work."""
        entry = self._entry_by_id.get(server)
        if entry is None or not self._eligible(entry) or not entry.score.usable(now_s):
            return 0
        return max(0, entry.score.room)

    def choose(self, request: Request, now_s: float) -> Decision:
        """Choose a backend server; changes nothing.

        Args:
            request: The request.
            now_s: Monotonic time.

        Returns:
            A server, a time to ask again, or a refusal.
        """
        ring = self._ring_by_model.get(request.model)
        if ring is None or ring.item_by_id.keys() <= request.tried:
            return NoCapacity(NO_SERVER_RETRY_AFTER_S, Reason.NO_SERVER)
        cached = {
            match.backend_server: match.expected_cached_tokens
            for match in self._index.matches(request.prefix_hashes, now_s)
        }
        candidates = self._candidates(ring, request, cached, now_s)
        if not candidates:
            if now_s >= request.arrived_s + request.class_of_work.deadline_s:
                return NoCapacity(RETRY_WAIT_S, Reason.DEADLINE)
            return Wait(now_s + RETRY_WAIT_S, Reason.NO_GRANT)
        return self._weigh(candidates, request, cached, now_s)

    def sent(
        self,
        server: ids.BackendServerId,
        attempt: tuple[ids.RequestKey, int],
        request: Request,
        uncached_tokens: float,
        now_s: float,
    ) -> None:
        """Count an attempt that was sent, and expect its prefix in the server's cache."""
        entry = self._entry_by_id.get(server)
        if entry is not None:
            entry.score.sent(attempt, uncached_tokens, now_s)
            self._index.record(request.prefix_hashes, server, now_s)

    def first_token(
        self, server: ids.BackendServerId, attempt: tuple[ids.RequestKey, int], now_s: float
    ) -> None:
        """Learn from the first token of an attempt, or from the whole answer of a service."""
        entry = self._entry_by_id.get(server)
        if entry is not None:
            entry.score.first_token(attempt, now_s)

    def finished(
        self,
        server: ids.BackendServerId,
        attempt: tuple[ids.RequestKey, int],
        gap_s: float | None,
        now_s: float,
    ) -> None:
        """Count an attempt as over: ended or cancelled.

        Args:
            server: Where it was sent.
            attempt: Request key and attempt number.
            gap_s: Mean time between its tokens, None when there is none to learn from.
            now_s: Monotonic time.
        """
        entry = self._entry_by_id.get(server)
        if entry is not None:
            entry.score.finished(attempt, gap_s, now_s)

    def declined(
        self, server: ids.BackendServerId, attempt: tuple[ids.RequestKey, int], now_s: float
    ) -> None:
        """Count an attempt that the agent declined.

        The grant is taken as used up until the next load report or end of a request. Otherwise
        all waiting requests would follow at once and be declined as well.
        """
        entry = self._entry_by_id.get(server)
        if entry is not None:
            entry.score.declined(attempt, now_s)

    def failed(
        self, server: ids.BackendServerId, attempt: tuple[ids.RequestKey, int], now_s: float
    ) -> None:
        """Count an attempt that ended because the server or its link failed.

        The server gets no new work from this entry for a while and not before its next load
        report, so a dead one gets none long before membership knows.

        Args:
            server: Where it was sent.
            attempt: Request key and attempt number.
            now_s: Monotonic time.
        """
        entry = self._entry_by_id.get(server)
        if entry is not None:
            entry.score.failed(attempt, now_s)

    def _candidates(
        self,
        ring: _ring.Ring[_Entry],
        request: Request,
        cached: dict[ids.BackendServerId, float],
        now_s: float,
    ) -> dict[ids.BackendServerId, scoring.ServerScore]:
        found: dict[ids.BackendServerId, scoring.ServerScore] = {}
        entry_by_id, tried = ring.item_by_id, request.tried
        for server in itertools.chain(
            cached, ring.candidates(request.fingerprint, CANDIDATES_LIMIT)
        ):
            entry = entry_by_id.get(server)
            if entry is None or entry.score.room <= 0 or server in tried:
                continue
            if entry.score.usable(now_s):
                found[server] = entry.score
                if len(found) >= CANDIDATES_LIMIT:
                    break
        return found

    def _weigh(
        self,
        candidates: dict[ids.BackendServerId, scoring.ServerScore],
        request: Request,
        cached: dict[ids.BackendServerId, float],
        now_s: float,
    ) -> Decision:
        target = request.class_of_work
        waited_s = now_s - request.arrived_s
        first_target_s = target.first_token_s - waited_s
        gap_target_s = target.token_gap_ms / 1_000
        best: _Weighed | None = None
        for server, score in candidates.items():
            uncached = max(1.0, request.prompt_tokens - cached.get(server, 0.0))
            first_token_s = score.first_token_s(uncached)
            gap_s = score.gap_s()
            misses = (
                first_token_s > first_target_s
                or score.gap_s(cautious=True) > GAP_MARGIN * gap_target_s
            )
            cost = (
                first_token_s / target.first_token_s
                + gap_s / gap_target_s
                + score.work_s(uncached) / target.first_token_s
            )
            if best is None or (misses, cost) < best[:2]:
                best = _Weighed(misses, cost, server, first_token_s, gap_s, uncached)
        assert best is not None
        hopeful = best.first_token_s <= first_target_s
        if best.misses and hopeful and self._full_one_meets(request, gap_target_s):
            return Wait(now_s + RETRY_WAIT_S, Reason.TARGET_MISSED)
        if best.first_token_s > target.deadline_s - waited_s:
            after_s = best.first_token_s - (target.deadline_s - waited_s)
            return NoCapacity(max(RETRY_WAIT_S, after_s), Reason.DEADLINE)
        reason = Reason.PREFIX if best.server in cached else Reason.MEETS_TARGET
        return Routed(
            backend_server=best.server,
            reason=Reason.LATE if best.misses else reason,
            first_token_s=best.first_token_s,
            gap_s=best.gap_s,
            candidates=len(candidates),
            uncached_tokens=best.uncached_tokens,
        )

    def _full_one_meets(self, request: Request, gap_target_s: float) -> bool:
        """Whether a server without room now would meet the target between tokens."""
        ring = self._ring_by_model[request.model]
        for server in ring.candidates(request.fingerprint, CANDIDATES_LIMIT):
            score = ring.item_by_id[server].score
            full = score.room <= 0 < score.load.limit and server not in request.tried
            if full and score.gap_s(cautious=True) <= GAP_MARGIN * gap_target_s:
                return True
        return False

    def _eligible(self, entry: _Entry) -> bool:
        load = entry.score.load
        return not (
            entry.state is not State.ALIVE
            or load.leaving
            or load.out
            or entry.server.vm in self._vms_out
            or entry.server.place.data_centre in self._data_centres_out
        )

    def _place_on_rings(self, entry: _Entry) -> None:
        if not self._eligible(entry):
            self._leave_rings(entry)
            return
        for model in entry.server.targets:
            self._ring_by_model.setdefault(model, _ring.Ring()).add(entry.server.id, entry)

    def _leave_rings(self, entry: _Entry) -> None:
        for model in entry.server.targets:
            ring = self._ring_by_model.get(model)
            if ring is not None:
                ring.remove(entry.server.id)


def new_router(place: Place, prefixes_limit: int = 20_000) -> Router:
    """Create a router without servers.

    Args:
        place: Where the entry runs.
        prefixes_limit: Prompt prefixes remembered.
    """
    return Router(place, prefix_index.new_prefix_index(prefixes_limit))
