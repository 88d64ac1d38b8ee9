"""How the streams that remain at a leaving backend server end.

A stream either finishes where it is, moves with its exported KV cache, or resumes elsewhere from
the last delivered chunk. It runs on until its change starts, so a change is planned as late as the
stop allows: by then many streams have finished without one.
"""

from __future__ import annotations

import dataclasses
import enum

from gentianpaddle_core import ids

FINISH_SHARE = 0.7
"""A stream stays when its expected remaining time is within this share of the time left, because
the expectation is uncertain."""
USABLE_SHARE = 0.9
"""Share of the time left that changes may fill; the rest covers slow transfers."""


class Way(enum.StrEnum):
    """What becomes of a stream."""

    FINISH = "finish"
    MOVE = "move"
    RESUME = "resume"


@dataclasses.dataclass(frozen=True, slots=True)
class RemainingStream:
    """A stream at the leaving backend server."""

    key: ids.RequestKey
    """Key of the request."""
    remaining_s: float
    """Expected time until it finishes, in seconds."""
    context_tokens: int
    """Tokens of the prompt and of the answer so far."""
    cached_tokens: int
    """Tokens of them in the prefix cache of the target."""
    kv_bytes: int
    """Size of its KV cache in bytes."""
    resumable: bool = True
    """Whether another backend server can continue it from its text."""


@dataclasses.dataclass(frozen=True, slots=True)
class Paths:
    """Ways out of the leaving backend server."""

    transfer_bytes_per_s: float | None
    """Rate of the export; None where an engine on either side cannot export or import."""
    transfer_overhead_s: float
    """Fixed time of a move in seconds."""
    prefill_tokens_per_s: float
    """Rate at which a target processes a prompt."""
    resume_overhead_s: float
    """Fixed time of a resume in seconds: the message, the queue and the first step."""
    targets: int
    """Backend servers that can take streams, each processing one prompt at a time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """What becomes of one stream."""

    key: ids.RequestKey
    """Key of the request."""
    way: Way
    """The way."""
    start_s: float
    """Monotonic time at which the change starts; for `Way.FINISH`, when the stream should end."""
    predicted_pause_s: float
    """Time without a token that the caller feels, in seconds."""
    overruns: bool
    """Whether the stream is expected to need the server after the stop, which then has to wait."""


def choose(
    now_s: float, stop_s: float, streams: tuple[RemainingStream, ...], paths: Paths
) -> tuple[Choice, ...]:
    """Choose a way for each stream.

    The caller starts the changes whose time has come and asks again about the rest a second later.

    Args:
        now_s: Monotonic time in seconds.
        stop_s: Monotonic time at which the backend server should stop.
        streams: Streams that run there; those whose change has started are left out.
        paths: Ways out.

    Returns:
        One choice for each stream, in order of their start.
    """
    left_s = max(0.0, stop_s - now_s)
    choices = []
    changing = []
    for stream in streams:
        stays = stream.remaining_s <= FINISH_SHARE * left_s
        if stays or not _can_leave(stream, paths):
            end_s = now_s + stream.remaining_s
            choices.append(Choice(stream.key, Way.FINISH, end_s, 0.0, end_s > stop_s))
        else:
            changing.append(stream)
    moving, resuming = _split(changing, paths, USABLE_SHARE * left_s)
    lanes = [(Way.MOVE, moving)]
    lanes += [(Way.RESUME, lane) for lane in _lanes(resuming, paths)]
    for way, lane in lanes:
        choices += _schedule(now_s, stop_s, way, lane, paths)
    return tuple(sorted(choices, key=lambda choice: (choice.start_s, choice.key)))


def move_s(stream: RemainingStream, paths: Paths) -> float:
    """Return the time of a move in seconds, infinite where it is not possible.

    >>> paths = Paths(1e9, 0.1, 8_000.0, 0.2, 4)
    >>> move_s(RemainingStream(ids.RequestKey("k"), 60.0, 8_000, 0, 10**9), paths)
    1.1
    """
    if paths.transfer_bytes_per_s is None or paths.targets == 0:
        return float("inf")
    return paths.transfer_overhead_s + stream.kv_bytes / paths.transfer_bytes_per_s


def resume_s(stream: RemainingStream, paths: Paths) -> float:
    """Return the time of a resume in seconds, infinite where it is not possible.

    >>> paths = Paths(1e9, 0.1, 8_000.0, 0.2, 4)
    >>> resume_s(RemainingStream(ids.RequestKey("k"), 60.0, 8_000, 4_000, 10**9), paths)
    0.7
    """
    if not stream.resumable or paths.targets == 0:
        return float("inf")
    missing = max(0, stream.context_tokens - stream.cached_tokens)
    return paths.resume_overhead_s + missing / paths.prefill_tokens_per_s


def _can_leave(stream: RemainingStream, paths: Paths) -> bool:
    return min(move_s(stream, paths), resume_s(stream, paths)) < float("inf")


def _split(
    streams: list[RemainingStream], paths: Paths, budget_s: float
) -> tuple[list[RemainingStream], list[RemainingStream]]:
    # All moves share the link of the leaving server, one after the other. Where the time does not
    # suffice, it goes to the streams that save the longest pause for each second of transfer.
    moving, resuming = [], []
    used_s = 0.0
    for stream in sorted(streams, key=lambda s: _gain(s, paths), reverse=True):
        time_s = move_s(stream, paths)
        better = time_s < resume_s(stream, paths)
        if better and (used_s + time_s <= budget_s or not stream.resumable):
            moving.append(stream)
            used_s += time_s
        else:
            resuming.append(stream)
    return moving, resuming


def _gain(stream: RemainingStream, paths: Paths) -> float:
    time_s = move_s(stream, paths)
    if time_s == float("inf"):
        return float("-inf")
    return (resume_s(stream, paths) - time_s) / max(time_s, 1e-9)


def _lanes(streams: list[RemainingStream], paths: Paths) -> list[list[RemainingStream]]:
    # Longest first to the emptiest target, which keeps the targets evenly loaded.
    lanes: list[list[RemainingStream]] = [[] for _ in range(paths.targets)]
    busy_s = [0.0] * paths.targets
    for stream in sorted(streams, key=lambda s: resume_s(s, paths), reverse=True):
        lane = busy_s.index(min(busy_s))
        lanes[lane].append(stream)
        busy_s[lane] += resume_s(stream, paths)
    return lanes


def _schedule(
    now_s: float, stop_s: float, way: Way, lane: list[RemainingStream], paths: Paths
) -> list[Choice]:
    # As late as the time allows, and last the stream that ends soonest: it may be done by then. A
    # stream whose turn comes after the stop waits for it from the stop on.
    duration = move_s if way is Way.MOVE else resume_s
    total_s = sum(duration(stream, paths) for stream in lane)
    turn_s = max(now_s, now_s + USABLE_SHARE * (stop_s - now_s) - total_s)
    choices = []
    for stream in sorted(lane, key=lambda s: (-s.remaining_s, s.key)):
        start_s = min(turn_s, max(now_s, stop_s))
        turn_s += duration(stream, paths)
        overruns = way is Way.MOVE and turn_s > stop_s
        choices.append(Choice(stream.key, way, start_s, turn_s - start_s, overruns))
    return choices
