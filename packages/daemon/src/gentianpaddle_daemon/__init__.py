"""Daemon of gentianpaddle, which runs as an entry or as an agent."""

from __future__ import annotations
