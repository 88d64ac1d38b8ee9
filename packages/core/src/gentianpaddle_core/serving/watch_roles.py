"""Choice of the fronts whose calls to the store for changes end early.

Load pattern: connections fall silent without a reset, those of one kind of objects at all fronts or
all of them, and a change follows. Only the end of a call shows that its connection is silent. If
the calls of all fronts ended early, the store would get more calls with each front.

The calls of a few fronts end early, the prompt watchers. They find a silent connection and tell the
other fronts what has changed. In a small system all fronts are prompt watchers.
"""

from __future__ import annotations

from collections.abc import Iterable

from gentianpaddle_core import rendezvous
from gentianpaddle_core.serving import members

PROMPT_WATCHERS = 8
"""Number of prompt watchers in all data centres together; some of them may fail at the same time as
their connections."""


def is_prompt_watcher(own: members.Member, live_fronts: Iterable[members.Member]) -> bool:
    """Return whether a front is a prompt watcher.

    A front that knows no others is one.

    Args:
        own: The front.
        live_fronts: Other live fronts that it knows, in any data centre.
    """
    vms = [member.vm for member in live_fronts]
    return own.vm in rendezvous.choose("prompt watchers", [*vms, own.vm], PROMPT_WATCHERS)
