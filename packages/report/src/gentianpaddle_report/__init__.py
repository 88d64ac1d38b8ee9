"""Evening page of gentianpaddle as HTML and JSON."""

from __future__ import annotations
