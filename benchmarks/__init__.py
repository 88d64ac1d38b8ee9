"""Benchmarks of the decisions, with bounds that come from the stated targets."""

from __future__ import annotations
