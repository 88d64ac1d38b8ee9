"""Benchmarks of routing, placement and control traffic, with bounds from the design targets."""

from __future__ import annotations
