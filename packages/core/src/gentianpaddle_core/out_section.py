"""Edits of the `[out]` section of a declaration, which lists data centres and VMs without new work.

The section is kept when operators apply a document without one, so that a declaration from version
control does not put a data centre back into service by accident.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterable

from gentianpaddle_core import declarations

_OUT_SECTION = re.compile(r"^\[out\][^\n]*\n?(?:(?!\[)[^\n]*\n?)*", re.MULTILINE)


def has_out_section(text: str) -> bool:
    """Return whether a document has an `[out]` section.

    >>> has_out_section("[classes]")
    False
    """
    return _OUT_SECTION.search(text) is not None


def with_out_section(text: str, data_centres: Iterable[str], vms: Iterable[str]) -> str:
    r"""Return the document with a new `[out]` section.

    Args:
        text: TOML text of a valid declaration.
        data_centres: Data centres that receive no new work.
        vms: VMs that receive no new work.

    Returns:
        The document with its `[out]` section replaced or added at the end.

    >>> with_out_section("[models]\n", ["cyberjaya"], [])
    '[models]\n\n[out]\ndata_centres = ["cyberjaya"]\nvms = []\n'
    """
    other_sections = _OUT_SECTION.sub("", text).rstrip("\n")
    centres_text = json.dumps(sorted(set(data_centres)))
    vms_text = json.dumps(sorted(set(vms)))
    return f"{other_sections}\n\n[out]\ndata_centres = {centres_text}\nvms = {vms_text}\n"


def with_present_out_section(text: str, present: declarations.Declaration) -> str:
    """Return a document that keeps the present `[out]` section unless it has one itself.

    Args:
        text: TOML text of a valid declaration.
        present: Declaration in force.

    Returns:
        The document, with the present `[out]` section added if it has none.
    """
    if has_out_section(text):
        return text
    return with_out_section(text, present.data_centres_out, present.vms_out)
