"""Evening page of gentianpaddle."""

from __future__ import annotations
