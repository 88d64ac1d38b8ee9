"""An asyncio event loop in a thread of its own."""

from __future__ import annotations

import asyncio
import contextlib
import threading
import typing
from collections.abc import Callable, Coroutine

T = typing.TypeVar("T")

STOP_TIMEOUT_S = 5.0


class LoopThread:
    """Runs one event loop; other threads hand coroutines and callbacks to it."""

    def __init__(self, name: str) -> None:
        self.loop = asyncio.new_event_loop()
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
