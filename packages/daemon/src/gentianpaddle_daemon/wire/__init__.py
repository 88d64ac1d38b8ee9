"""Messages between the processes; `messages.proto` is the source of the generated modules."""

from __future__ import annotations
