"""Supervision of the background tasks of fronts and side processes."""

from __future__ import annotations

import asyncio
import logging
import typing

from gentianpaddle_gateway import log

_logger = logging.getLogger("gentianpaddle.process")


def exit_on_failure(task: asyncio.Task[typing.Any]) -> None:
    """Exit the process if a background task has failed.

    Without one of its tasks, the process would continue to serve with outdated state. A restarted
    process reads its state anew.

    Args:
        task: Task that has ended.
    """
    if not task.cancelled() and (error := task.exception()) is not None:
        log.event(_logger, "task_failed", logging.ERROR, error=repr(error))
        raise SystemExit(1)
