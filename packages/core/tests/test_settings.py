"""Guards against a process that starts with invalid settings."""

from __future__ import annotations

import pytest

from gentianpaddle_core import settings

COMMON = """
vm = "e1"
data_centre = "d1"
region = "r1"
listen = "127.0.0.1:7000"
object_api_url = "http://127.0.0.1:9000"
shared_tokens = ["s"]
"""
ENTRY = COMMON + 'http = "127.0.0.1:8000"\noperator_tokens = ["o"]\n'
AGENT = (
    COMMON
    + '[backend]\nname = "b1"\nurl = "http://127.0.0.1:9100"\ntargets = ["m"]\ncapacity_limit = 8\n'
)


@pytest.mark.parametrize(
    ("text", "keys"),
    [
        (ENTRY, []),
        (ENTRY.replace(":8000", ":0"), ["http"]),
        (ENTRY.replace('["s"]', "[]"), ["shared_tokens"]),
        (ENTRY + "colour = 1\n[limits]\nbody_bytes = 0\n", ["colour", "limits.body_bytes"]),
    ],
)
def test_entry_settings(text: str, keys: list[str]):
    """Guards against invalid entry settings that are not reported under their key."""
    result = settings.parse_entry(text)
    reported_keys = (
        [mistake.key for mistake in result.mistakes]
        if isinstance(result, settings.Rejected)
        else []
    )
    assert reported_keys == keys


@pytest.mark.parametrize(
    ("text", "keys"),
    [
        (AGENT, []),
        (AGENT.replace("http://127.0.0.1:9100", "9100"), ["backend.url"]),
        (AGENT.replace('["m"]', "[]"), ["backend.targets"]),
        (AGENT + 'kind = "x"', ["backend.kind"]),
    ],
)
def test_agent_settings(text: str, keys: list[str]):
    """Guards against invalid agent settings that are not reported under their key."""
    result = settings.parse_agent(text)
    reported_keys = (
        [mistake.key for mistake in result.mistakes]
        if isinstance(result, settings.Rejected)
        else []
    )
    assert reported_keys == keys
