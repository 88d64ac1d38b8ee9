"""Starts a process of gentianpaddle on the platform from a checkout."""

from __future__ import annotations

import pathlib
import signal
import sys

# A change of the settings may be signalled before a role handles the signal, which would end the
# process. A front reads its settings again once it does.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

_ROOT = pathlib.Path(__file__).resolve().parent.parent
for folder in ("packages/core", "packages/daemon", "packages/gateway", "platform"):
    sys.path.insert(0, str(_ROOT / folder / "src"))

from gentianpaddle_gateway import main  # noqa: E402

sys.exit(main.main())
