"""Command line of gentianpaddle for operators and owners."""

from __future__ import annotations
