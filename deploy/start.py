"""Starts a gentianpaddle process on the platform from a source checkout."""

from __future__ import annotations

import pathlib
import signal
import sys

# The platform may signal a change of settings before the role has installed its handler, and SIGHUP
# would then end the process. A front reads its settings again once its handler is installed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

_ROOT = pathlib.Path(__file__).resolve().parent.parent
for source in ("packages/core", "packages/daemon", "packages/gateway", "platform"):
    sys.path.insert(0, str(_ROOT / source / "src"))

from gentianpaddle_gateway import main  # noqa: E402

sys.exit(main.main())
