"""Role agent: runs all requests to the backend server of its VM."""

from __future__ import annotations
