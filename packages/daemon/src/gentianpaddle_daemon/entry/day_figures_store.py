"""Daily statistics of one entry: recording, storage in the object API, and the evening page."""

from __future__ import annotations

import asyncio
import datetime
import logging
import random
import time
from concurrent import futures

from gentianpaddle_core import (
    day_codec,
    day_figures,
    day_recorder,
    declarations,
    ids,
    object_api,
)
from gentianpaddle_daemon import logs
from gentianpaddle_daemon.entry import request, responses
from gentianpaddle_report import evening_page

WRITE_PERIOD_S = 1.0
PARTS_PER_READ = 200
"""Largest number of parts that one call of the object API lists."""
MAX_FLUSH_ATTEMPTS = 3
DATE_FORMAT = "%Y-%m-%d"

_logger = logging.getLogger("gentianpaddle.entry.day")


class DayFiguresStore:
    """Recorder of the current day, and of past days until they are written.

    May be used on the event loop only.
    """

    def __init__(
        self,
        vm: ids.VmId,
        incarnation: ids.Incarnation,
        store: object_api.ObjectApi,
        threads: futures.Executor,
        rng: random.Random,
    ) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._store = store
        self._threads = threads
        self._rng = rng
        self._past_recorders: list[tuple[day_recorder.DayRecorder, float]] = []
        self._write_lock = asyncio.Lock()
        self._open_recorder()

    def record(self, observation: day_recorder.Observation) -> None:
        """Count a finished request."""
        self._current_recorder().record(self._now_s(), observation)

    def record_failure(
        self, failure: day_figures.RequestFailure, caller_request: request.CallerRequest
    ) -> None:
        """Count a failed request."""
        self._current_recorder().record_failure(
            self._now_s(),
            failure,
            caller_request.work_class.name,
            caller_request.organisation,
            caller_request.key,
        )

    def record_resolved(self, key: ids.RequestKey) -> None:
        """Record that the outcome of a request became known later."""
        self._current_recorder().record_resolved(self._now_s(), key)

    def record_event(
        self, event_id: str, kind: day_figures.EventKind, text: str, source: str = ""
    ) -> None:
        """Record an operator's action or a fault.

        Args:
            event_id: Identifier that all reports of the same event share.
            kind: Kind of event.
            text: Description for people.
            source: Operator or VM that the event comes from.
        """
        event = day_figures.Event(event_id, kind, self._now_s(), text, source)
        self._current_recorder().record_event(event)

    async def run(self) -> None:
        """Write the parts that are due until cancelled."""
        while True:
            await asyncio.sleep(WRITE_PERIOD_S)
            self._current_recorder()
            await self._write_due_parts()

    async def flush(self) -> None:
        """Write the statistics up to now, with up to `MAX_FLUSH_ATTEMPTS` tries."""
        for _ in range(MAX_FLUSH_ATTEMPTS):
            self._current_recorder().request_write(self._now_s())
            if await self._write_due_parts():
                return

    async def finish(self) -> None:
        """Write the final part before the process stops."""
        self._recorder.finish(self._now_s(), stopping=True)
        for _ in range(MAX_FLUSH_ATTEMPTS):
            await self._write_due_parts()
            if self._recorder.is_drained():
                return
        logs.event(_logger, "final_part_not_written", logging.WARNING)

    async def read(
        self, date: str, expected_vms: tuple[ids.VmId, ...]
    ) -> day_figures.DayFigures | object_api.StoreUnavailable:
        """Read and merge the parts of all VMs for one day.

        Args:
            date: Day as YYYY-MM-DD.
            expected_vms: VMs that must have reported; ignored unless the day is today.

        Returns:
            The merged statistics, or why they cannot be read.
        """
        if date == self._date:
            await self.flush()
        parts = day_figures.new_part_set(date)
        after = ""
        loop = asyncio.get_running_loop()
        while True:
            items = await loop.run_in_executor(
                self._threads, self._store.list_after, f"days/{date}/", after, PARTS_PER_READ
            )
            if isinstance(items, object_api.StoreUnavailable):
                return items
            for item in items:
                part = day_codec.decode(item.value)
                if isinstance(part, day_codec.CorruptPart):
                    logs.event(_logger, "corrupt_part", logging.ERROR, key=item.key)
                else:
                    parts.add(part)
            if len(items) < PARTS_PER_READ:
                break
            after = items[-1].key
        as_of_s = self._now_s() if date == self._date else day_figures.DAY_S
        is_today = date == self._date
        return parts.figures(as_of_s, expected_vms if is_today else ())

    async def _write_due_parts(self) -> bool:
        async with self._write_lock:
            written = False
            for recorder, started_s in (*self._past_recorders, (self._recorder, self._started_s)):
                now_s = time.time() - started_s
                write = recorder.next_write(now_s)
                if write is None:
                    continue
                loop = asyncio.get_running_loop()
                result = await loop.run_in_executor(
                    self._threads, self._store.put, write.key, write.value, write.expected_version
                )
                recorder.on_write_result(time.time() - started_s, write, result)
                written = isinstance(result, object_api.Written)
            self._past_recorders = [
                past for past in self._past_recorders if not past[0].is_drained()
            ]
            return written

    def _current_recorder(self) -> day_recorder.DayRecorder:
        if _today().strftime(DATE_FORMAT) != self._date:
            self._recorder.finish(self._now_s(), stopping=False)
            self._past_recorders.append((self._recorder, self._started_s))
            self._open_recorder()
        return self._recorder

    def _open_recorder(self) -> None:
        today = _today()
        self._date = today.strftime(DATE_FORMAT)
        self._started_s = today.timestamp()
        self._recorder = day_recorder.new_day_recorder(
            self._date, self._vm, self._incarnation, self._now_s(), self._rng
        )

    def _now_s(self) -> float:
        return time.time() - self._started_s


def render(
    statistics: day_figures.DayFigures | object_api.StoreUnavailable,
    declaration: declarations.Declaration | None,
    date: str,
    page_format: str,
) -> responses.Response:
    """Render the evening page.

    Args:
        statistics: Merged statistics, or why they cannot be read.
        declaration: Declaration in force.
        date: Day as YYYY-MM-DD.
        page_format: `json`, or `html` for any other value.

    Returns:
        The page, or an error response.
    """
    if isinstance(statistics, object_api.StoreUnavailable) or declaration is None:
        message = "the object API does not answer" if declaration else "no configuration yet"
        error = {"code": "report_unavailable", "message": message}
        return responses.json_response(503, {"error": error})
    if page_format == "json":
        page = evening_page.render_json(statistics, declaration, date)
        return responses.Response(200, page.encode())
    html = evening_page.render_html(statistics, declaration, date)
    return responses.Response(200, html.encode(), "text/html; charset=utf-8")


def _today() -> datetime.datetime:
    return datetime.datetime.now().replace(hour=0, minute=0, second=0, microsecond=0)


def new_day_figures_store(
    vm: ids.VmId,
    incarnation: ids.Incarnation,
    store: object_api.ObjectApi,
    threads: futures.Executor,
    rng: random.Random,
) -> DayFiguresStore:
    """Create the statistics of today.

    Args:
        vm: VM of this entry.
        incarnation: Incarnation of this process.
        store: Object API.
        threads: Executor for calls of the object API.
        rng: Random generator that spreads the writes of the VMs over time.

    Returns:
        Statistics without requests.
    """
    return DayFiguresStore(vm, incarnation, store, threads, rng)
