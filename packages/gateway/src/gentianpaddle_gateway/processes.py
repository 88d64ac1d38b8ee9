"""What the processes of both roles have in common."""

from __future__ import annotations

import asyncio
import logging
import typing

from gentianpaddle_gateway import log

_logger = logging.getLogger("gentianpaddle.process")


def end_on_defect(task: asyncio.Task[typing.Any]) -> None:
    """End the process when one of its lasting tasks fails.

    A process without one of its tasks would serve old beliefs; a new one starts clean.

    Args:
        task: The task, which has ended.
    """
    if not task.cancelled() and (error := task.exception()) is not None:
        log.event(_logger, "task_failed", logging.ERROR, error=repr(error))
        raise SystemExit(1)
