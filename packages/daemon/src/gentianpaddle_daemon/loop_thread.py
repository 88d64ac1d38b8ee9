"""Asyncio event loop that runs in a dedicated thread."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
import threading
import typing
from collections.abc import Callable, Coroutine

T = typing.TypeVar("T")

STOP_TIMEOUT_S = 5.0
"""Longest wait for the cancelled tasks, and then for the thread, when the loop is stopped."""

_logger = logging.getLogger("gentianpaddle.loop")


class LoopThread:
    """Event loop in a dedicated thread; other threads submit coroutines and callbacks to it."""

    def __init__(self, name: str) -> None:
        self.loop = asyncio.new_event_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._thread = threading.Thread(target=self.loop.run_forever, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread and its event loop."""
        self._thread.start()

    def run_and_wait(self, coroutine: Coroutine[typing.Any, typing.Any, T], timeout_s: float) -> T:
        """Run a coroutine on the loop and wait for its result.

        Args:
            coroutine: Coroutine to run.
            timeout_s: Longest wait in seconds.

        Returns:
            The result of the coroutine.

        Raises:
            TimeoutError: The coroutine did not end within `timeout_s`; it goes on running.
        """
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(timeout_s)

    def call_soon(self, callback: Callable[..., object], *arguments: object) -> None:
        """Schedule a callback on the loop from any thread; does nothing once the loop is closed."""
        try:
            self.loop.call_soon_threadsafe(callback, *arguments)
        except RuntimeError:
            # The loop was closed while the process stops, so the callback is no longer needed.
            return

    def start_controller(self, coroutine: Coroutine[typing.Any, typing.Any, None]) -> None:
        """Run a controller on the loop; call this on the thread of the loop.

        An exception in a controller is a broken invariant and terminates the process: without one
        of its controllers it would keep serving from state that is no longer updated.

        Args:
            coroutine: Controller that runs until it is cancelled.
        """
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        _logger.critical("controller_failed", exc_info=task.exception())
        os.kill(os.getpid(), signal.SIGTERM)

    def stop(self) -> None:
        """Cancel all tasks, stop the loop and join its thread."""
        with contextlib.suppress(TimeoutError):
            self.run_and_wait(_cancel_all(), STOP_TIMEOUT_S)
        self.call_soon(self.loop.stop)
        self._thread.join(STOP_TIMEOUT_S)


async def _cancel_all() -> None:
    own_task = asyncio.current_task()
    tasks = [task for task in asyncio.all_tasks() if task is not own_task]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def new_loop_thread(name: str) -> LoopThread:
    """Create an event loop with its thread.

    Args:
        name: Name of the thread.

    Returns:
        The loop thread, not yet started.
    """
    return LoopThread(name)
