"""Edits of the `[out]` section of a declaration, which lists what receives no new work.

What is out stays out when operators apply a document without an `[out]` section: a declaration
kept in version control does not bring a data centre back by accident.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterable

from gentianpaddle_core import declarations

_SECTION = re.compile(r"^\[out\][^\n]*\n?(?:(?!\[)[^\n]*\n?)*", re.MULTILINE)


def has_section(text: str) -> bool:
    """Tell whether a document has an `[out]` section.

    >>> has_section("[classes]")
    False
    """
    return _SECTION.search(text) is not None


def with_out(text: str, data_centres: Iterable[str], vms: Iterable[str]) -> str:
    r"""Return the document with another `[out]` section.

    Args:
        text: TOML text of a valid declaration.
        data_centres: Data centres that are out.
        vms: VMs that are out.

    Returns:
        The document with its `[out]` section replaced or added at the end.

    >>> with_out("[models]\n", ["cyberjaya"], [])
    '[models]\n\n[out]\ndata_centres = ["cyberjaya"]\nvms = []\n'
    """
    rest = _SECTION.sub("", text).rstrip("\n")
    centres_text = json.dumps(sorted(set(data_centres)))
    vms_text = json.dumps(sorted(set(vms)))
    return f"{rest}\n\n[out]\ndata_centres = {centres_text}\nvms = {vms_text}\n"


def keep_out(text: str, present: declarations.Declaration) -> str:
    """Return a document that keeps what is out at present unless it says otherwise itself.

    Args:
        text: TOML text of a valid declaration.
        present: Declaration in force.

    Returns:
        The document, with the present `[out]` section added when it has none.
    """
    if has_section(text):
        return text
    return with_out(text, present.data_centres_out, present.vms_out)
