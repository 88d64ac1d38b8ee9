"""An asyncio event loop in a thread of its own."""

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

_logger = logging.getLogger("gentianpaddle.loop")


class LoopThread:
    """Runs one event loop; other threads hand coroutines and callbacks to it."""

    def __init__(self, name: str) -> None:
        self.loop = asyncio.new_event_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._thread = threading.Thread(target=self.loop.run_forever, name=name, daemon=True)

    def start(self) -> None:
        """Start the loop."""
        self._thread.start()

    def run(self, coroutine: Coroutine[typing.Any, typing.Any, T], timeout_s: float) -> T:
        """Run a coroutine on the loop and wait for its result.

        Args:
            coroutine: Coroutine to run.
            timeout_s: Longest wait in seconds.

        Returns:
            Its result.

        Raises:
            TimeoutError: It did not end in time.
        """
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(timeout_s)

    def call(self, callback: Callable[..., object], *arguments: object) -> None:
        """Schedule a callback on the loop; does nothing once the loop is closed."""
        try:
            self.loop.call_soon_threadsafe(callback, *arguments)
        except RuntimeError:
            # The loop was closed during a stop; nobody waits for the result any more.
            return

    def spawn(self, coroutine: Coroutine[typing.Any, typing.Any, None]) -> None:
        """Run a controller on the loop; an exception in it is a broken invariant.

        The process is ended then, because a process without one of its controllers would keep
        serving on state that nobody maintains.

        Args:
            coroutine: Controller that runs until it is cancelled.
        """
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        _logger.critical("controller_failed", exc_info=task.exception())
        os.kill(os.getpid(), signal.SIGTERM)

    def stop(self) -> None:
        """Cancel all tasks and stop the loop."""
        with contextlib.suppress(TimeoutError):
            self.run(_cancel_all(), STOP_TIMEOUT_S)
        self.call(self.loop.stop)
        self._thread.join(STOP_TIMEOUT_S)


async def _cancel_all() -> None:
    current = asyncio.current_task()
    tasks = [task for task in asyncio.all_tasks() if task is not current]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def new_loop_thread(name: str) -> LoopThread:
    """Create an event loop in a thread.

    Args:
        name: Name of the thread.

    Returns:
        The loop thread, not started.
    """
    return LoopThread(name)
