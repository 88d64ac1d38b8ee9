"""Era of the store, shared by all calls of a process; see `store_versions`."""

from __future__ import annotations

import logging
from collections.abc import Callable

from gentianpaddle_core.serving import store_versions
from gentianpaddle_gateway import log

_logger = logging.getLogger("gentianpaddle.store")


class StoreEras:
    """Tells the parts of a process that the store has returned from a copy.

    Implements `objects.Eras`.
    """

    def __init__(self) -> None:
        self._tracker = store_versions.EraTracker()
        self._listeners: list[Callable[[], None]] = []
        self.return_count = 0
        """Number of times that the store has returned from a copy since the start."""

    @property
    def era(self) -> store_versions.Era:
        """The last era that was observed."""
        return self._tracker.era

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Have a function called each time that the store has returned from a copy.

        Args:
            listener: Called while the answer that states the new era is received.
        """
        self._listeners.append(listener)

    def observe(self, stated: store_versions.Era | None, call: str) -> store_versions.AnswerOrder:
        """Record an answer of the store. See `objects.Eras`."""
        order = self._update(stated, call)
        if order is store_versions.AnswerOrder.OVERTAKEN:
            log.event(_logger, "store_answer_overtaken", era=stated, known=self.era, call=call)
        return order

    def learn(self, stated: store_versions.Era | None) -> None:
        """Record the era that another process knows, which may be an earlier one.

        Args:
            stated: The era, or None if it knows none.
        """
        self._update(stated, "peer")

    def _update(self, stated: store_versions.Era | None, call: str) -> store_versions.AnswerOrder:
        previous = self._tracker.era
        order = self._tracker.observe(stated)
        if order is not store_versions.AnswerOrder.NEW:
            return order
        if previous == store_versions.UNSTATED_ERA:
            log.event(_logger, "store_era", era=stated, call=call)
            return order
        log.event(_logger, "store_era", logging.WARNING, era=stated, previous=previous, call=call)
        self.return_count += 1
        for listener in self._listeners:
            listener()
        return order
