"""Figures of the day of one entry: recording, writing to the object API, and the evening page."""

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
PARTS_A_READ = 200
FLUSH_TRIES = 3
DATE_FORMAT = "%Y-%m-%d"

_logger = logging.getLogger("gentianpaddle.entry.day")


class DayFiguresOfVm:
    """Recorder of the present day, and of yesterday until it is written; event loop only."""

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
        self._ended: list[tuple[day_recorder.DayRecorder, float]] = []
        self._writing = asyncio.Lock()
        self._open()

    def record(self, observation: day_recorder.Observation) -> None:
        """Count a finished request."""
        self._roll().record(self._now_s(), observation)

    def record_harm(self, harm: day_figures.Harm, checked: request.CallerRequest) -> None:
        """Count a harmed request."""
        self._roll().record_harm(
            self._now_s(), harm, checked.work_class.name, checked.organisation, checked.key
        )

    def record_resolved(self, key: ids.RequestKey) -> None:
        """Note that the outcome of a request became known later."""
        self._roll().record_resolved(self._now_s(), key)

    def record_event(
        self, event_id: str, kind: day_figures.EventKind, text: str, source: str = ""
    ) -> None:
        """Note what an operator did or what failed.

        Args:
            event_id: Equal for all reports of one event.
            kind: Where it comes from.
            text: What happened, for a person.
            source: Operator or VM.
        """
        event = day_figures.Event(event_id, kind, self._now_s(), text, source)
        self._roll().record_event(event)

    async def run(self) -> None:
        """Write parts when they are due until cancelled."""
        while True:
            await asyncio.sleep(WRITE_PERIOD_S)
            self._roll()
            await self._write_due()

    async def flush(self) -> None:
        """Write the figures up to now."""
        for _ in range(FLUSH_TRIES):
            self._roll().request_write(self._now_s())
            if await self._write_due():
                return

    async def finish(self) -> None:
        """Write the final part before the process stops."""
        self._recorder.finish(self._now_s(), stopping=True)
        for _ in range(FLUSH_TRIES):
            await self._write_due()
            if self._recorder.drained():
                return
        logs.event(_logger, "final_part_not_written", logging.WARNING)

    async def read(
        self, date: str, expected_vms: tuple[ids.VmId, ...]
    ) -> day_figures.DayFigures | object_api.StoreUnavailable:
        """Merge the parts of all VMs.

        Args:
            date: Day as YYYY-MM-DD.
            expected_vms: VMs that must have reported.

        Returns:
            The figures, or why they cannot be read.
        """
        if date == self._date:
            await self.flush()
        parts = day_figures.new_part_set(date)
        after = ""
        loop = asyncio.get_running_loop()
        while True:
            found = await loop.run_in_executor(
                self._threads, self._store.list_after, f"days/{date}/", after, PARTS_A_READ
            )
            if isinstance(found, object_api.StoreUnavailable):
                return found
            for item in found:
                part = day_codec.decode(item.value)
                if isinstance(part, day_codec.Corrupt):
                    logs.event(_logger, "corrupt_part", logging.ERROR, key=item.key)
                else:
                    parts.add(part)
            if len(found) < PARTS_A_READ:
                break
            after = found[-1].key
        as_of_s = self._now_s() if date == self._date else day_figures.DAY_S
        is_today = date == self._date
        return parts.figures(as_of_s, expected_vms if is_today else ())

    async def _write_due(self) -> bool:
        async with self._writing:
            written = False
            for recorder, started_s in (*self._ended, (self._recorder, self._started_s)):
                now_s = time.time() - started_s
                write = recorder.next_write(now_s)
                if write is None:
                    continue
                loop = asyncio.get_running_loop()
                result = await loop.run_in_executor(
                    self._threads, self._store.put, write.key, write.value, write.expected_version
                )
                recorder.written(time.time() - started_s, write, result)
                written = isinstance(result, object_api.Written)
            self._ended = [pair for pair in self._ended if not pair[0].drained()]
            return written

    def _roll(self) -> day_recorder.DayRecorder:
        if _today().strftime(DATE_FORMAT) != self._date:
            self._recorder.finish(self._now_s(), stopping=False)
            self._ended.append((self._recorder, self._started_s))
            self._open()
        return self._recorder

    def _open(self) -> None:
        today = _today()
        self._date = today.strftime(DATE_FORMAT)
        self._started_s = today.timestamp()
        self._recorder = day_recorder.new_day_recorder(
            self._date, self._vm, self._incarnation, self._now_s(), self._rng
        )

    def _now_s(self) -> float:
        return time.time() - self._started_s


def render(
    figures: day_figures.DayFigures | object_api.StoreUnavailable,
    declaration: declarations.Declaration | None,
    date: str,
    form: str,
) -> responses.Response:
    """Render the evening page.

    Args:
        figures: Merged figures, or why there are none.
        declaration: Declaration in force.
        date: Day as YYYY-MM-DD.
        form: `html` or `json`.

    Returns:
        The page, or an error.
    """
    if isinstance(figures, object_api.StoreUnavailable) or declaration is None:
        message = "the object API does not answer" if declaration else "no configuration yet"
        error = {"code": "report_unavailable", "message": message}
        return responses.json_response(503, {"error": error})
    if form == "json":
        page = evening_page.render_json(figures, declaration, date)
        return responses.Response(200, page.encode())
    html = evening_page.render_html(figures, declaration, date)
    return responses.Response(200, html.encode(), "text/html; charset=utf-8")


def _today() -> datetime.datetime:
    return datetime.datetime.now().replace(hour=0, minute=0, second=0, microsecond=0)


def new_day_figures(
    vm: ids.VmId,
    incarnation: ids.Incarnation,
    store: object_api.ObjectApi,
    threads: futures.Executor,
    rng: random.Random,
) -> DayFiguresOfVm:
    """Create the figures of today.

    Args:
        vm: This VM.
        incarnation: This process start.
        store: Object API.
        threads: Threads for calls of the object API.
        rng: Spreads the writes of many VMs.

    Returns:
        Figures without requests.
    """
    return DayFiguresOfVm(vm, incarnation, store, threads, rng)
