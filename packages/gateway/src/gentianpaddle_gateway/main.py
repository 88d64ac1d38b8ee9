"""Entry point of the platform processes. The settings file determines the role of the process.

Exit codes: 0 after a graceful stop, 3 if the settings are invalid.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import gc
import sys

from gentianpaddle_gateway import front, gateway_settings, log, side_process
from gentianpaddle_platform import settings

INVALID_SETTINGS_EXIT_CODE = 3

GC_THRESHOLD = 50_000
"""Threshold of the cyclic garbage collector. The default threshold causes pauses under load."""

MMAP_THRESHOLD_BYTES = 131_072
"""Size from which on the allocator of the C library takes each block from the system and gives it
back when it is freed. glibc raises this size by itself to that of the largest freed block. With 90
callers of large bodies at a setting of 152 MB, a front reached 140 MB without this and 130 MB with
it."""

_M_MMAP_THRESHOLD = -3
"""Number of the parameter of glibc, see mallopt(3)."""


def _set_mmap_threshold() -> None:
    """Set `MMAP_THRESHOLD_BYTES`; no effect with another C library."""
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)


def main() -> int:
    """Run the process in the role that the settings file determines.

    Returns:
        Exit code of the process.
    """
    loaded = settings.load()
    if isinstance(loaded, settings.Rejected):
        print(loaded.reason, file=sys.stderr)
        return INVALID_SETTINGS_EXIT_CODE
    own_settings = gateway_settings.load()
    if isinstance(own_settings, gateway_settings.Rejected):
        print(own_settings.reason, file=sys.stderr)
        return INVALID_SETTINGS_EXIT_CODE
    log.configure(loaded.vm)
    gc.set_threshold(GC_THRESHOLD)
    _set_mmap_threshold()
    if loaded.front_address is not None or loaded.directory_address is not None:
        asyncio.run(front.Front(loaded, own_settings).run())
    elif loaded.engine_address is not None:
        asyncio.run(side_process.SideProcess(loaded, loaded.engine_address, own_settings).run())
    else:
        print(
            "the settings configure nothing to serve for this process",
            file=sys.stderr,
        )
        return INVALID_SETTINGS_EXIT_CODE
    return 0
