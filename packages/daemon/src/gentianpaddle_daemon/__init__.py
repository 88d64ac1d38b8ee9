"""Daemon of gentianpaddle with the roles entry and agent."""

from __future__ import annotations
