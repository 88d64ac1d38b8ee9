"""Stand-ins for the backend servers and platform services that gentianpaddle uses."""

from __future__ import annotations
