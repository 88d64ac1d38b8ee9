"""Starts a process of gentianpaddle on the platform from a checkout."""

from __future__ import annotations

import pathlib
import signal
import sys

# The platform may tell of changed settings before a role listens for the signal, which would end
# the process. The role reads its settings again when it does.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

_ROOT = pathlib.Path(__file__).resolve().parent.parent
for folder in ("packages/core", "packages/daemon", "packages/gateway", "platform"):
    sys.path.insert(0, str(_ROOT / folder / "src"))

from gentianpaddle_gateway import main  # noqa: E402

sys.exit(main.main())
