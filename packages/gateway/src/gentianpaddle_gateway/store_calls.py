"""Counts of the calls of this process to the platform's store, which are charged."""

from __future__ import annotations

import asyncio
import collections
import logging

from gentianpaddle_gateway import log
from gentianpaddle_platform import objects

_logger = logging.getLogger("gentianpaddle.store")

SUMMARY_INTERVAL_S = 30.0
"""Interval between log lines with the counts."""


class StoreCalls:
    """Number of calls since the start, by kind and purpose; implements `objects.CallCounter`.

    Refused and failed calls count as well, since the platform charges them.
    """

    def __init__(self) -> None:
        self._count_by_label: collections.Counter[tuple[objects.CallKind, str]] = (
            collections.Counter()
        )

    def count(self, kind: objects.CallKind, purpose: str) -> None:
        """Count one call. See `objects.CallCounter`."""
        self._count_by_label[kind, purpose] += 1

    def counts(self) -> dict[tuple[objects.CallKind, str], int]:
        """Return the number of calls by kind and purpose."""
        return dict(self._count_by_label)

    def log_summary(self, level: int) -> None:
        """Write a log line with the number of calls by purpose and kind.

        Args:
            level: Level of the line.
        """
        fields = {
            f"{purpose}_{kind.value}": count
            for (kind, purpose), count in sorted(
                self._count_by_label.items(), key=lambda item: (item[0][1], item[0][0].value)
            )
        }
        log.event(_logger, "store_calls", level, total=sum(fields.values()), **fields)

    async def log_regularly(self) -> None:
        """Write a debug line each `SUMMARY_INTERVAL_S` until cancelled."""
        while True:
            await asyncio.sleep(SUMMARY_INTERVAL_S)
            self.log_summary(logging.DEBUG)
