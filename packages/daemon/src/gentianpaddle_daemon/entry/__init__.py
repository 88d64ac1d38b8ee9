"""Role entry: accepts requests of callers and dispatches them to agents."""

from __future__ import annotations
