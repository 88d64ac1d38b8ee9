"""Evacuated data centres, also while a store that has returned from a copy lacks some of them."""

from __future__ import annotations

import math
from collections.abc import Iterable

from gentianpaddle_core import ids

RESTORE_S = 10.0
"""Time after a return of the store for which an evacuation that is missing in it stays in force.
The operator writes it again. If it had been taken back, its servers are only used later."""


class Evacuations:
    """Evacuations known to one process."""

    def __init__(self) -> None:
        self._ends_s_by_data_centre: dict[ids.DataCentreId, float] = {}
        """Monotonic time at which each ends unless it is stated again; infinity if it is listed."""

    def replace(
        self, listed: Iterable[ids.DataCentreId], now_s: float, returned: bool = False
    ) -> None:
        """Replace the evacuations by a complete list.

        Args:
            listed: Evacuations in the store.
            now_s: Monotonic time in seconds.
            returned: Whether the store has returned from a copy since the last list.
        """
        kept = {
            name: min(end_s, now_s + RESTORE_S) if returned else end_s
            for name, end_s in self._ends_s_by_data_centre.items()
            if returned or end_s < math.inf
        }
        self._ends_s_by_data_centre = kept | dict.fromkeys(listed, math.inf)

    def put(self, data_centre: ids.DataCentreId) -> None:
        """Add an evacuation.

        Args:
            data_centre: The data centre.
        """
        self._ends_s_by_data_centre[data_centre] = math.inf

    def remove(self, data_centre: ids.DataCentreId) -> None:
        """Remove an evacuation that was taken back.

        Args:
            data_centre: The data centre.
        """
        self._ends_s_by_data_centre.pop(data_centre, None)

    def current(self, now_s: float) -> frozenset[ids.DataCentreId]:
        """Return the evacuations in force.

        Args:
            now_s: Monotonic time in seconds.
        """
        return frozenset(
            name for name, end_s in self._ends_s_by_data_centre.items() if now_s < end_s
        )

    def next_end_s(self) -> float | None:
        """Return the time of the next evacuation that ends unless it is stated again, or None."""
        ends_s = [end_s for end_s in self._ends_s_by_data_centre.values() if end_s < math.inf]
        return min(ends_s, default=None)
