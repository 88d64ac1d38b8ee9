"""Structured log lines on standard output, bounded in rate and never waited for.

One line an event as key=value pairs. Lines of successes are sampled under load; lines of refusals,
failures and changes of belief go first. What is left out is counted.
"""

from __future__ import annotations

import logging
import os
import sys
import time

from gentianpaddle_daemon import logs

LINES_PER_S = 200.0
"""Lines a second that a process writes at most; a line costs about 20 us of its VM's core."""

SUCCESS_LINES_PER_S = 20.0
"""Same for lines of requests that were served in time."""

PIPE_LIMIT_BYTES = 4_096
"""Longest line; a pipe takes so many bytes whole or not at all."""


class _Output(logging.Handler):
    """Writes lines to a descriptor that is never waited for."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._allowance = LINES_PER_S
        self._success_allowance = SUCCESS_LINES_PER_S
        self._filled_s = time.monotonic()
        self.dropped = 0
        """Lines that were not written since the last one that was."""

    def emit(self, record: logging.LogRecord) -> None:
        if not self._admit(record.levelno):
            self.dropped += 1
            return
        if self.dropped:
            record.fields = {**getattr(record, "fields", {}), "lines_dropped": self.dropped}
        line = self.format(record).encode()[: PIPE_LIMIT_BYTES - 1] + b"\n"
        try:
            os.write(self._descriptor, line)
            self.dropped = 0
        except BlockingIOError:
            self.dropped += 1
        except OSError:
            # Nobody reads the lines any more; serving goes on.
            self.dropped += 1

    def _admit(self, level: int) -> bool:
        now_s = time.monotonic()
        elapsed_s, self._filled_s = now_s - self._filled_s, now_s
        self._allowance = min(LINES_PER_S, self._allowance + elapsed_s * LINES_PER_S)
        self._success_allowance = min(
            SUCCESS_LINES_PER_S, self._success_allowance + elapsed_s * SUCCESS_LINES_PER_S
        )
        if self._allowance < 1.0 or (level <= logging.DEBUG and self._success_allowance < 1.0):
            return False
        self._allowance -= 1.0
        if level <= logging.DEBUG:
            self._success_allowance -= 1.0
        return True


def set_up(vm: str) -> None:
    """Send the log lines of this process to standard output.

    Args:
        vm: Name of this VM, written on each line.
    """
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = _Output(descriptor)
    handler.setFormatter(logs.formatter(vm, as_json=False))
    root = logging.getLogger("gentianpaddle")
    root.handlers[:] = [handler]
    root.setLevel(logging.DEBUG)
    root.propagate = False


event = logs.event
