"""Entry point of `python -m gentianpaddle_daemon`."""

from __future__ import annotations

from gentianpaddle_daemon import main

main.main()
