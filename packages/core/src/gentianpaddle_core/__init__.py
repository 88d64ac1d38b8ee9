"""Decisions of gentianpaddle without I/O."""

from __future__ import annotations
