"""Stand-ins for the platform services that gentianpaddle uses."""

from __future__ import annotations
