"""Rate-limited, non-blocking structured logging to standard output.

Each event is one line of key=value pairs. Under load, lines about successful requests are sampled,
so that lines about refusals, failures and changes of state take precedence. Dropped lines are
counted.
"""

from __future__ import annotations

import logging
import os
import sys
import time

from gentianpaddle_daemon import logs

LINES_PER_S = 200.0
"""Maximum number of lines per second. Writing a line takes about 20 us of CPU time."""

SUCCESS_LINES_PER_S = 20.0
"""Maximum number of lines per second about requests that were served in time."""

LINE_LIMIT_BYTES = 4_096
"""Maximum length of a line. Writes of up to this size to a pipe are atomic."""


class _NonBlockingHandler(logging.Handler):
    """Writes lines to a non-blocking file descriptor, limited by two token buckets."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._line_tokens = LINES_PER_S
        self._success_line_tokens = SUCCESS_LINES_PER_S
        self._refilled_s = time.monotonic()
        self.dropped = 0
        """Number of lines dropped since the last line written."""

    def emit(self, record: logging.LogRecord) -> None:
        if not self._take_token(record.levelno):
            self.dropped += 1
            return
        if self.dropped:
            record.fields = {**getattr(record, "fields", {}), "lines_dropped": self.dropped}
        line = self.format(record).encode()[: LINE_LIMIT_BYTES - 1] + b"\n"
        try:
            os.write(self._descriptor, line)
            self.dropped = 0
        except BlockingIOError:
            self.dropped += 1
        except OSError:
            # The reading end of the pipe is closed. The process continues without logs.
            self.dropped += 1

    def _take_token(self, level: int) -> bool:
        now_s = time.monotonic()
        elapsed_s, self._refilled_s = now_s - self._refilled_s, now_s
        self._line_tokens = min(LINES_PER_S, self._line_tokens + elapsed_s * LINES_PER_S)
        self._success_line_tokens = min(
            SUCCESS_LINES_PER_S, self._success_line_tokens + elapsed_s * SUCCESS_LINES_PER_S
        )
        if self._line_tokens < 1.0 or (level <= logging.DEBUG and self._success_line_tokens < 1.0):
            return False
        self._line_tokens -= 1.0
        if level <= logging.DEBUG:
            self._success_line_tokens -= 1.0
        return True


def configure(vm: str) -> None:
    """Configure the logging of this process to standard output.

    Args:
        vm: Name of this VM, included in each line.
    """
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = _NonBlockingHandler(descriptor)
    handler.setFormatter(logs.new_formatter(vm, as_json=False))
    root = logging.getLogger("gentianpaddle")
    root.handlers[:] = [handler]
    root.setLevel(logging.DEBUG)
    root.propagate = False


event = logs.event
