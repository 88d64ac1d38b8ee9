"""Guards against caller input that raises an exception instead of being refused with a 4xx."""

from __future__ import annotations

import hashlib
import json

import hypothesis
import pytest
from hypothesis import strategies

from gentianpaddle_core import declarations, outcomes
from gentianpaddle_daemon.entry import request

DIGEST = hashlib.sha256(b"token").hexdigest()
TEXT = f"""
[classes.quote]
first_token_s = 1
share = 0.9
deadline_s = 10
[models.m]
version = "1"
[services.s]
idempotent_methods = ["GET"]
[organisations.o]
token_sha256 = ["{DIGEST}"]
"""
PARSED = declarations.parse(TEXT)
assert isinstance(PARSED, declarations.Accepted)
DECLARATION = PARSED.declaration
JSON_VALUES = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.integers() | strategies.text(),
    lambda inner: strategies.lists(inner) | strategies.dictionaries(strategies.text(), inner),
    max_leaves=10,
)
FIELDS = {
    "model": strategies.just("m") | JSON_VALUES,
    "messages": strategies.just([{"role": "user", "content": "x"}]) | JSON_VALUES,
    "max_tokens": strategies.integers() | JSON_VALUES,
    "stream": strategies.booleans() | JSON_VALUES,
}


def raw(path: str, body: bytes, method: str = "POST", key: str = "k") -> request.RawRequest:
    return request.RawRequest(method, path, "Bearer token", "quote", key, "x", body)


@hypothesis.given(
    body=strategies.binary()
    | JSON_VALUES.map(lambda value: json.dumps(value).encode())
    | strategies.fixed_dictionaries({}, optional=FIELDS).map(lambda v: json.dumps(v).encode()),
    path=strategies.sampled_from([request.CHAT_PATH, "/v1/services/s/x", "/v1/services/"])
    | strategies.text(),
    method=strategies.sampled_from(["POST", "GET", "PUT"]),
    key=strategies.text(),
)
def test_any_input_is_parsed_or_refused(body: bytes, path: str, method: str, key: str):
    result = request.parse(raw(path, body, method, key), DECLARATION, 0.0)
    if isinstance(result, outcomes.Refused):
        assert 400 <= result.http_status < 500
    else:
        assert result.answer_tokens > 0


@pytest.mark.parametrize(
    ("first", "second", "equal"),
    [
        (
            b'{"model":"m","messages":[{"content":"a"}]}',
            b'{"messages":[{"content":"a"}], "model":"m"}',
            True,
        ),
        (
            b'{"model":"m","messages":[{"content":"a"}]}',
            b'{"model":"m","messages":[{"content":"b"}]}',
            False,
        ),
    ],
)
def test_fingerprint_ignores_only_json_formatting(first: bytes, second: bytes, equal: bool):
    results = [
        request.parse(raw(request.CHAT_PATH, body), DECLARATION, 0.0) for body in (first, second)
    ]
    assert all(isinstance(each, request.CallerRequest) for each in results)
    assert (results[0].fingerprint == results[1].fingerprint) is equal


@pytest.mark.parametrize("content", ["\ud800", "a\udfff"])
def test_prompt_with_unpaired_surrogate_is_refused(content: str):
    body = json.dumps({"model": "m", "messages": [{"content": content}]}).encode()
    result = request.parse(raw(request.CHAT_PATH, body), DECLARATION, 0.0)
    assert isinstance(result, outcomes.Refused)
