"""Role agent: the only door to the backend server of its VM."""

from __future__ import annotations
