"""Plan for the streams that remain at a backend server before a planned stop.

A stream either finishes where it runs, moves with its exported KV cache, or resumes on another
server from the last delivered chunk. It continues until its transfer starts. Transfers are planned
as late as the stop allows, because by then many streams have finished without one.
"""

from __future__ import annotations

import dataclasses
import enum

from gentianpaddle_core import ids

FINISH_SHARE = 0.7
"""Share of the time left within which a stream must be expected to end in order to stay. The rest
is a margin, because the expected remaining time is uncertain."""
TRANSFER_TIME_SHARE = 0.9
"""Share of the time left that is planned for transfers; the rest covers slow transfers."""


class Method(enum.StrEnum):
    """How a stream is handled before the stop."""

    FINISH = "finish"
    MOVE = "move"
    RESUME = "resume"


@dataclasses.dataclass(frozen=True, slots=True)
class RemainingStream:
    """A stream that runs at the leaving backend server."""

    key: ids.RequestKey
    """Key of the request."""
    remaining_s: float
    """Expected time until it finishes, in seconds."""
    context_tokens: int
    """Number of tokens of the prompt and of the answer so far."""
    cached_tokens: int
    """Number of these tokens that are in the prefix cache of the target."""
    kv_bytes: int
    """Size of its KV cache in bytes."""
    resumable: bool = True
    """Whether another backend server can continue the stream from its text."""


@dataclasses.dataclass(frozen=True, slots=True)
class TransferCosts:
    """Costs of transfers from the leaving backend server to the targets."""

    transfer_bytes_per_s: float | None
    """Transfer rate of the KV cache, None if an engine on either side cannot transfer it."""
    transfer_overhead_s: float
    """Fixed part of the time of a move, in seconds."""
    prefill_tokens_per_s: float
    """Rate at which a target processes a prompt, in tokens per second."""
    resume_overhead_s: float
    """Fixed part of the time of a resume, in seconds: the message, the queue and the first step."""
    targets: int
    """Number of backend servers that accept streams; each processes one prompt at a time."""


@dataclasses.dataclass(frozen=True, slots=True)
class StreamPlan:
    """Plan for one stream."""

    key: ids.RequestKey
    """Key of the request."""
    method: Method
    """How the stream is handled."""
    start_s: float
    """Monotonic time at which the transfer starts, or the expected end for `Method.FINISH`."""
    predicted_pause_s: float
    """Predicted time without a token for the caller, in seconds."""
    overruns: bool
    """Whether the stream is expected to need the server beyond the stop, which must then wait."""


def plan(
    now_s: float, stop_s: float, streams: tuple[RemainingStream, ...], costs: TransferCosts
) -> tuple[StreamPlan, ...]:
    """Plan each stream.

    The caller starts the transfers that are due and plans the remaining streams again a second
    later.

    Args:
        now_s: Monotonic time in seconds.
        stop_s: Monotonic time at which the backend server should stop.
        streams: Streams that run at the server, without those whose transfer has started.
        costs: Costs of transfers to the targets.

    Returns:
        One choice for each stream, ordered by start time.
    """
    left_s = max(0.0, stop_s - now_s)
    choices = []
    transferring = []
    for stream in streams:
        finishes = stream.remaining_s <= FINISH_SHARE * left_s
        if finishes or not _can_transfer(stream, costs):
            end_s = now_s + stream.remaining_s
            choices.append(StreamPlan(stream.key, Method.FINISH, end_s, 0.0, end_s > stop_s))
        else:
            transferring.append(stream)
    moving, resuming = _split_by_method(transferring, costs, TRANSFER_TIME_SHARE * left_s)
    sequences = [(Method.MOVE, moving)]
    sequences += [(Method.RESUME, sequence) for sequence in _assign_to_targets(resuming, costs)]
    for method, sequence in sequences:
        choices += _schedule(now_s, stop_s, method, sequence, costs)
    return tuple(sorted(choices, key=lambda choice: (choice.start_s, choice.key)))


def move_s(stream: RemainingStream, costs: TransferCosts) -> float:
    """Return the time of a move in seconds, infinite if it is not possible.

    >>> costs = TransferCosts(1e9, 0.1, 8_000.0, 0.2, 4)
    >>> move_s(RemainingStream(ids.RequestKey("k"), 60.0, 8_000, 0, 10**9), costs)
    1.1
    """
    if costs.transfer_bytes_per_s is None or costs.targets == 0:
        return float("inf")
    return costs.transfer_overhead_s + stream.kv_bytes / costs.transfer_bytes_per_s


def resume_s(stream: RemainingStream, costs: TransferCosts) -> float:
    """Return the time of a resume in seconds, infinite if it is not possible.

    >>> costs = TransferCosts(1e9, 0.1, 8_000.0, 0.2, 4)
    >>> resume_s(RemainingStream(ids.RequestKey("k"), 60.0, 8_000, 4_000, 10**9), costs)
    0.7
    """
    if not stream.resumable or costs.targets == 0:
        return float("inf")
    uncached_tokens = max(0, stream.context_tokens - stream.cached_tokens)
    return costs.resume_overhead_s + uncached_tokens / costs.prefill_tokens_per_s


def _can_transfer(stream: RemainingStream, costs: TransferCosts) -> bool:
    return min(move_s(stream, costs), resume_s(stream, costs)) < float("inf")


def _split_by_method(
    streams: list[RemainingStream], costs: TransferCosts, budget_s: float
) -> tuple[list[RemainingStream], list[RemainingStream]]:
    # All moves use the link of the leaving server one after the other. If the time does not suffice
    # for all, it is given to the streams with the largest saving of pause per second of transfer.
    moving, resuming = [], []
    used_s = 0.0
    for stream in sorted(streams, key=lambda s: _pause_saved_per_second(s, costs), reverse=True):
        time_s = move_s(stream, costs)
        shorter = time_s < resume_s(stream, costs)
        if shorter and (used_s + time_s <= budget_s or not stream.resumable):
            moving.append(stream)
            used_s += time_s
        else:
            resuming.append(stream)
    return moving, resuming


def _pause_saved_per_second(stream: RemainingStream, costs: TransferCosts) -> float:
    time_s = move_s(stream, costs)
    if time_s == float("inf"):
        return float("-inf")
    return (resume_s(stream, costs) - time_s) / max(time_s, 1e-9)


def _assign_to_targets(
    streams: list[RemainingStream], costs: TransferCosts
) -> list[list[RemainingStream]]:
    # Assigns the longest resume first, each to the least loaded target, which balances the targets.
    sequences: list[list[RemainingStream]] = [[] for _ in range(costs.targets)]
    load_s = [0.0] * costs.targets
    for stream in sorted(streams, key=lambda s: resume_s(s, costs), reverse=True):
        sequence = load_s.index(min(load_s))
        sequences[sequence].append(stream)
        load_s[sequence] += resume_s(stream, costs)
    return sequences


def _schedule(
    now_s: float,
    stop_s: float,
    method: Method,
    sequence: list[RemainingStream],
    costs: TransferCosts,
) -> list[StreamPlan]:
    # Transfers start as late as the time allows. The stream that ends soonest comes last, because
    # it may have finished by then. A stream whose transfer can only start after the stop is paused
    # from the stop on.
    duration = move_s if method is Method.MOVE else resume_s
    total_s = sum(duration(stream, costs) for stream in sequence)
    next_start_s = max(now_s, now_s + TRANSFER_TIME_SHARE * (stop_s - now_s) - total_s)
    choices = []
    for stream in sorted(sequence, key=lambda s: (-s.remaining_s, s.key)):
        start_s = min(next_start_s, max(now_s, stop_s))
        next_start_s += duration(stream, costs)
        overruns = method is Method.MOVE and next_start_s > stop_s
        choices.append(StreamPlan(stream.key, method, start_s, next_start_s - start_s, overruns))
    return choices
