"""Choice of a backend server for a request.

A decision scores at most `CANDIDATES_LIMIT` servers and reads no others, so its cost does not
depend on the size of the fleet. The sample is seeded by the fingerprint of the request, so repeated
copies of one request are sent to the same few servers only.
"""

from __future__ import annotations

import dataclasses
import enum
import itertools
import typing

from gentianpaddle_core import _ring, declarations, ids, prefix_index, scoring

CANDIDATES_LIMIT = 16
"""Largest number of servers scored in one decision."""
RETRY_WAIT_S = 0.05
"""Seconds until the decision is repeated when no event is known that frees capacity."""
USABLE_GAP_TARGET_SHARE = 0.9
"""Share of the target time between tokens that a prediction may use. The rest is reserved for
requests that other entries send to the same server before the next load report, and for those
that start after this one and slow it down."""
NO_SERVER_RETRY_AFTER_S = 2.0
"""Retry-After, in seconds, for callers while no server of a model is available."""


class State(enum.StrEnum):
    """State of a backend server as known to this entry."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    OUT = "out"
    DEAD = "dead"


class Distance(enum.StrEnum):
    """Network distance between two processes."""

    SAME_DATA_CENTRE = "own"
    """Both processes are in the same data centre."""
    SAME_REGION = "region"
    """They are in different data centres of the same region."""
    OTHER_REGION = "other"
    """They are in different regions."""


DEFAULT_ONE_WAY_S = {
    Distance.SAME_DATA_CENTRE: 0.000_1,
    Distance.SAME_REGION: 0.001,
    Distance.OTHER_REGION: 0.02,
}
"""One-way network delay, in seconds, assumed for a server without a measurement."""


class Reason(enum.StrEnum):
    """Reason for the choice of a server, for a wait or for a refusal."""

    PREFIX = "prefix"
    """The server meets the target and probably has a prefix of the prompt in its cache."""
    MEETS_TARGET = "meets_target"
    """The server meets the target at the lowest cost."""
    LATE = "late"
    """No candidate meets the target any more; this one has the lowest cost within the deadline."""
    NO_GRANT = "no_grant"
    """No candidate has capacity left in its grant."""
    TARGET_MISSED = "target_missed"
    """No free server meets the target, but a server that is full now would."""
    NO_SERVER = "no_server"
    """No server of the model is eligible for new work."""
    DEADLINE = "deadline"
    """No candidate is expected to answer before the deadline."""


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Location of a process."""

    data_centre: ids.DataCentreId
    """Data centre of the process."""
    region: ids.RegionId
    """Region of the data centre."""


def distance(one: Place, other: Place) -> Distance:
    """Return the network distance between two places."""
    if one.data_centre == other.data_centre:
        return Distance.SAME_DATA_CENTRE
    return Distance.SAME_REGION if one.region == other.region else Distance.OTHER_REGION


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server to whose agent this entry has a link."""

    id: ids.BackendServerId
    """Identifier of the server."""
    vm: ids.VmId
    """VM on which its agent runs."""
    place: Place
    """Location of the server."""
    targets: tuple[ids.ModelName, ...]
    """Models or plain services that the server serves."""
    one_way_s: float | None = None
    """Measured one-way network delay from this entry, None without a measurement."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Properties of a request on which a routing decision depends."""

    model: ids.ModelName
    """Requested model or plain service."""
    fingerprint: ids.Fingerprint
    """Digest of the content of the request."""
    class_of_work: declarations.ClassOfWork
    """Class of work, which carries the targets and the deadline."""
    arrived_s: float
    """Monotonic time of arrival at this entry."""
    prompt_tokens: int
    """Estimated length of the prompt in tokens, 0 for a plain service."""
    prefix_hashes: tuple[int, ...] = ()
    """Hashes of the prompt, from `prefix_index.prefix_hashes`."""
    tried: frozenset[ids.BackendServerId] = frozenset()
    """Servers to which earlier attempts of this request were sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Routed:
    """Decision to send the request to a server."""

    backend_server: ids.BackendServerId
    """The chosen server."""
    reason: Reason
    """Reason for the choice."""
    first_token_s: float
    """Predicted time to first token from now, in seconds."""
    gap_s: float
    """Predicted time between tokens, in seconds."""
    candidates: int
    """Number of servers scored."""
    uncached_tokens: float
    """Prompt tokens expected not to be in the cache of the server; pass it to
    `Router.record_sent`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Decision to keep the request queued.

    The caller repeats the decision at `until_s`, or earlier after a load report or the end of a
    request.
    """

    until_s: float
    """Monotonic time at which to repeat the decision."""
    reason: Reason
    """Reason for the wait."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoCapacity:
    """Decision to refuse the request."""

    retry_after_s: float
    """Predicted time until there is capacity, in seconds."""
    reason: Reason
    """Reason for the refusal."""


Decision: typing.TypeAlias = Routed | Wait | NoCapacity
"""Result of a routing decision."""


@dataclasses.dataclass(slots=True)
class _TrackedServer:
    server: BackendServer
    score: scoring.ServerScore
    state: State = State.ALIVE


class _ScoredCandidate(typing.NamedTuple):
    misses_target: bool
    cost: float
    server: ids.BackendServerId
    first_token_s: float
    gap_s: float
    uncached_tokens: float


class Router:
    """Chooses backend servers for one entry and tracks the load of each."""

    def __init__(self, place: Place, index: prefix_index.PrefixIndex) -> None:
        """Create a router without servers; use `new_router`."""
        self._place = place
        self._index = index
        self._tracked_by_id: dict[ids.BackendServerId, _TrackedServer] = {}
        self._ring_by_model: dict[ids.ModelName, _ring.Ring[_TrackedServer]] = {}
        self._fits_by_model: dict[ids.ModelName, scoring.ModelFits] = {}
        self._data_centres_out: frozenset[ids.DataCentreId] = frozenset()
        self._vms_out: frozenset[ids.VmId] = frozenset()

    def add(self, server: BackendServer) -> None:
        """Add a linked server, or update its properties; its learned latencies are kept."""
        existing = self._tracked_by_id.get(server.id)
        if existing is not None:
            self._remove_from_rings(existing)
            existing.server = server
            self._update_rings(existing)
            return
        one_way_s = server.one_way_s
        if one_way_s is None:
            one_way_s = DEFAULT_ONE_WAY_S[distance(self._place, server.place)]
        fits = self._fits_by_model.setdefault(server.targets[0], scoring.new_model_fits())
        tracked = _TrackedServer(server, scoring.new_server_score(fits, one_way_s))
        self._tracked_by_id[server.id] = tracked
        self._update_rings(tracked)

    def remove(self, server: ids.BackendServerId) -> None:
        """Remove a server to which the entry no longer has a link."""
        tracked = self._tracked_by_id.pop(server, None)
        if tracked is not None:
            self._remove_from_rings(tracked)
            self._index.discard(server)

    def set_state(self, server: ids.BackendServerId, state: State, now_s: float) -> None:
        """Set the state of a server; only a server in state `ALIVE` receives new work."""
        tracked = self._tracked_by_id.get(server)
        if tracked is None:
            return
        tracked.state = state
        if state is State.DEAD:
            self._index.invalidate(server, now_s)
        self._update_rings(tracked)

    def set_out_of_service(
        self, data_centres: frozenset[ids.DataCentreId], vms: frozenset[ids.VmId]
    ) -> None:
        """Set the data centres and VMs that the accepted configuration takes out of service."""
        self._data_centres_out, self._vms_out = data_centres, vms
        for tracked in self._tracked_by_id.values():
            self._update_rings(tracked)

    def apply_load_report(
        self, server: ids.BackendServerId, load: scoring.LoadReport, now_s: float
    ) -> None:
        """Apply a load report of an agent."""
        tracked = self._tracked_by_id.get(server)
        if tracked is None:
            return
        if tracked.score.apply_load_report(load, now_s):
            self._index.invalidate(server, now_s)
        self._update_rings(tracked)

    def forget_cache(self, server: ids.BackendServerId, now_s: float) -> None:
        """Discard the remembered prefixes of a server that lost its cache."""
        self._index.invalidate(server, now_s)

    def outstanding(self, server: ids.BackendServerId) -> int:
        """Return the number of requests of this entry at a server that have not ended."""
        tracked = self._tracked_by_id.get(server)
        return 0 if tracked is None else tracked.score.outstanding

    def remaining_grant(self, server: ids.BackendServerId, now_s: float) -> int:
        """Return how many more requests the server's grant allows now, 0 if it is not eligible."""
        tracked = self._tracked_by_id.get(server)
        if tracked is None or not self._eligible(tracked) or not tracked.score.usable(now_s):
            return 0
        return max(0, tracked.score.room)

    def choose(self, request: Request, now_s: float) -> Decision:
        """Choose a backend server for a request; does not change the state of the router.

        Args:
            request: The request.
            now_s: Monotonic time.

        Returns:
            A server, a time at which to repeat the decision, or a refusal.
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
        return self._choose_candidate(candidates, request, cached, now_s)

    def record_sent(
        self,
        server: ids.BackendServerId,
        attempt: tuple[ids.RequestKey, int],
        request: Request,
        uncached_tokens: float,
        now_s: float,
    ) -> None:
        """Record an attempt that was sent, and its prompt as cached by the server."""
        tracked = self._tracked_by_id.get(server)
        if tracked is not None:
            tracked.score.record_sent(attempt, uncached_tokens, now_s)
            self._index.record(request.prefix_hashes, server, now_s)

    def record_first_token(
        self, server: ids.BackendServerId, attempt: tuple[ids.RequestKey, int], now_s: float
    ) -> None:
        """Update the latency estimate with the first token or the answer of a plain service."""
        tracked = self._tracked_by_id.get(server)
        if tracked is not None:
            tracked.score.record_first_token(attempt, now_s)

    def record_finished(
        self,
        server: ids.BackendServerId,
        attempt: tuple[ids.RequestKey, int],
        gap_s: float | None,
        now_s: float,
    ) -> None:
        """Record the end of an attempt, completed or cancelled.

        Args:
            server: Server to which it was sent.
            attempt: Request key and attempt number.
            gap_s: Mean time between its tokens, None without a usable measurement.
            now_s: Monotonic time.
        """
        tracked = self._tracked_by_id.get(server)
        if tracked is not None:
            tracked.score.record_finished(attempt, gap_s, now_s)

    def record_declined(
        self, server: ids.BackendServerId, attempt: tuple[ids.RequestKey, int], now_s: float
    ) -> None:
        """Record an attempt that the agent declined.

        The grant counts as exhausted until the next load report or the end of a request. Otherwise
        all waiting requests would be sent at once and be declined as well.
        """
        tracked = self._tracked_by_id.get(server)
        if tracked is not None:
            tracked.score.record_declined(attempt, now_s)

    def record_failed(
        self, server: ids.BackendServerId, attempt: tuple[ids.RequestKey, int], now_s: float
    ) -> None:
        """Record an attempt that ended because the server or its link failed.

        This entry sends the server no new work during the back-off and until its next load report.
        A dead server is thus avoided long before membership detects the failure.

        Args:
            server: Server to which it was sent.
            attempt: Request key and attempt number.
            now_s: Monotonic time.
        """
        tracked = self._tracked_by_id.get(server)
        if tracked is not None:
            tracked.score.record_failed(attempt, now_s)

    def _candidates(
        self,
        ring: _ring.Ring[_TrackedServer],
        request: Request,
        cached: dict[ids.BackendServerId, float],
        now_s: float,
    ) -> dict[ids.BackendServerId, scoring.ServerScore]:
        score_by_server: dict[ids.BackendServerId, scoring.ServerScore] = {}
        tracked_by_id, tried = ring.item_by_id, request.tried
        for server in itertools.chain(
            cached, ring.candidates(request.fingerprint, CANDIDATES_LIMIT)
        ):
            tracked = tracked_by_id.get(server)
            if tracked is None or tracked.score.room <= 0 or server in tried:
                continue
            if tracked.score.usable(now_s):
                score_by_server[server] = tracked.score
                if len(score_by_server) >= CANDIDATES_LIMIT:
                    break
        return score_by_server

    def _choose_candidate(
        self,
        candidates: dict[ids.BackendServerId, scoring.ServerScore],
        request: Request,
        cached: dict[ids.BackendServerId, float],
        now_s: float,
    ) -> Decision:
        work = request.class_of_work
        waited_s = now_s - request.arrived_s
        first_token_budget_s = work.first_token_s - waited_s
        gap_target_s = work.token_gap_ms / 1_000
        best: _ScoredCandidate | None = None
        for server, score in candidates.items():
            uncached = max(1.0, request.prompt_tokens - cached.get(server, 0.0))
            first_token_s = score.first_token_s(uncached)
            gap_s = score.gap_s()
            misses_target = (
                first_token_s > first_token_budget_s
                or score.gap_s(pessimistic=True) > USABLE_GAP_TARGET_SHARE * gap_target_s
            )
            cost = (
                first_token_s / work.first_token_s
                + gap_s / gap_target_s
                + score.prefill_s(uncached) / work.first_token_s
            )
            if best is None or (misses_target, cost) < best[:2]:
                best = _ScoredCandidate(misses_target, cost, server, first_token_s, gap_s, uncached)
        assert best is not None
        first_token_in_time = best.first_token_s <= first_token_budget_s
        if (
            best.misses_target
            and first_token_in_time
            and self._full_server_meets_target(request, gap_target_s)
        ):
            return Wait(now_s + RETRY_WAIT_S, Reason.TARGET_MISSED)
        if best.first_token_s > work.deadline_s - waited_s:
            excess_s = best.first_token_s - (work.deadline_s - waited_s)
            return NoCapacity(max(RETRY_WAIT_S, excess_s), Reason.DEADLINE)
        reason = Reason.PREFIX if best.server in cached else Reason.MEETS_TARGET
        return Routed(
            backend_server=best.server,
            reason=Reason.LATE if best.misses_target else reason,
            first_token_s=best.first_token_s,
            gap_s=best.gap_s,
            candidates=len(candidates),
            uncached_tokens=best.uncached_tokens,
        )

    def _full_server_meets_target(self, request: Request, gap_target_s: float) -> bool:
        """Return whether a server with an exhausted grant would meet the target between tokens."""
        ring = self._ring_by_model[request.model]
        for server in ring.candidates(request.fingerprint, CANDIDATES_LIMIT):
            score = ring.item_by_id[server].score
            full = score.room <= 0 < score.load.limit and server not in request.tried
            if full and score.gap_s(pessimistic=True) <= USABLE_GAP_TARGET_SHARE * gap_target_s:
                return True
        return False

    def _eligible(self, tracked: _TrackedServer) -> bool:
        load = tracked.score.load
        return not (
            tracked.state is not State.ALIVE
            or load.leaving
            or load.out
            or tracked.server.vm in self._vms_out
            or tracked.server.place.data_centre in self._data_centres_out
        )

    def _update_rings(self, tracked: _TrackedServer) -> None:
        if not self._eligible(tracked):
            self._remove_from_rings(tracked)
            return
        for model in tracked.server.targets:
            self._ring_by_model.setdefault(model, _ring.Ring()).add(tracked.server.id, tracked)

    def _remove_from_rings(self, tracked: _TrackedServer) -> None:
        for model in tracked.server.targets:
            ring = self._ring_by_model.get(model)
            if ring is not None:
                ring.remove(tracked.server.id)


def new_router(place: Place, prefixes_limit: int = 20_000) -> Router:
    """Create a router without servers.

    Args:
        place: Location of the entry.
        prefixes_limit: Largest number of prompt prefixes remembered.
    """
    return Router(place, prefix_index.new_prefix_index(prefixes_limit))
