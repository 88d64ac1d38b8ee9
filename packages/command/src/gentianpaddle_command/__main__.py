"""Runs the command line as `python -m gentianpaddle_command`."""

from __future__ import annotations

from gentianpaddle_command import main

main.main()
