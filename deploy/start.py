"""Starts a process of gentianpaddle on the platform from a checkout."""

from __future__ import annotations

import pathlib
import sys

_ROOT = pathlib.Path(__file__).resolve().parent.parent
for folder in ("packages/core", "packages/daemon", "packages/gateway", "platform"):
    sys.path.insert(0, str(_ROOT / folder / "src"))

from gentianpaddle_gateway import main  # noqa: E402

sys.exit(main.main())
