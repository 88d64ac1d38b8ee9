"""Start of the platform processes; the platform's settings file tells which role it is.

Exit codes: 0 stopped gracefully, 3 mistakes in the settings.
"""

from __future__ import annotations

import asyncio
import gc
import sys

from gentianpaddle_gateway import front, log, side
from gentianpaddle_platform import settings

MISTAKES_EXIT_CODE = 3

COLLECTION_THRESHOLD = 50_000
"""Allocations between looks for cycles; the default makes pauses under load."""


def main() -> int:
    """Run the role that the settings file names.

    Returns:
        Exit code.
    """
    read = settings.read()
    if isinstance(read, settings.Rejected):
        print(read.reason, file=sys.stderr)
        return MISTAKES_EXIT_CODE
    log.set_up(read.vm)
    gc.set_threshold(COLLECTION_THRESHOLD)
    if read.front_address is not None or read.directory_address is not None:
        asyncio.run(front.Front(read).run())
    elif read.engine_address is not None:
        asyncio.run(side.Side(read, read.engine_address).run())
    else:
        print("the settings give this process nothing to serve", file=sys.stderr)
        return MISTAKES_EXIT_CODE
    return 0
