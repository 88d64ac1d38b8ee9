"""Decision logic of gentianpaddle, free of I/O."""

from __future__ import annotations
