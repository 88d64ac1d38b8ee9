"""Times that answers of engines take at their present pace.

Load pattern: a rank becomes slow or other experts come into demand, and all passes take several
times as long from one moment to the next. An average over answers that have ended learns of it only
after many long answers: requests are accepted that cannot be served in time, and requests that
waited are sent when no first event can arrive before their callers leave. The pauses between the
events of all streams show the change within a second.
"""

from __future__ import annotations

import dataclasses

from gentianpaddle_core.serving import routes

FIRST_EVENT_PASSES = 3.0
"""Passes until the first event: the one in progress, one or two for the prompt, and the first with
an event of the answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerTimes:
    """Expected times of an answer of usual size."""

    first_event_s: float
    """Time until the first event, in seconds."""
    duration_s: float
    """Time until the last event, in seconds."""


def at_pace(engine: routes.EngineCapacity, pause_s: float | None) -> AnswerTimes | None:
    """Return the expected times at a pace.

    Args:
        engine: Published capacity of the engines.
        pause_s: Present pause between two events in seconds, or None if not known.

    Returns:
        The times, or None if the pause or the usual size of an answer is not known.
    """
    if pause_s is None or engine.usual_answer_tokens <= 0.0:
        return None
    events = engine.usual_answer_tokens / max(1, engine.steps_per_pass)
    first_event_s = FIRST_EVENT_PASSES * pause_s
    return AnswerTimes(first_event_s, first_event_s + events * pause_s)
