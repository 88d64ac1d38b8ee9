"""Guards against mistakes in declarations that are not reported, or only one at a time."""

from __future__ import annotations

import pytest

from gentianpaddle_core import declarations

VALID = """
[classes.quote]
first_token_s = 1.8
share = 0.95
deadline_s = 30
[data_centres.cyberjaya]
region = "selangor"
[out]
data_centres = ["cyberjaya"]
"""


def test_valid_document_is_accepted():
    """Guards against a valid declaration that is rejected or loses its `[out]` section."""
    result = declarations.parse(VALID)
    assert isinstance(result, declarations.Accepted)
    assert result.declaration.data_centres_out == {"cyberjaya"}


@pytest.mark.parametrize(
    ("addition", "keys"),
    [
        ("[classes.quote2]\nshare = 1.5\nfirst_token_s = 1\ndeadline_s = 2", ["share"]),
        ("[colours]\nred = 1", ["colours"]),
        (
            '[classes.a]\nfirst_token_s = "x"\nshare = true',
            ["first_token_s", "share", "deadline_s"],
        ),
        ('[organisations.x]\ntoken_sha256 = ["AB"]', ["token_sha256"]),
        ("[services.a]\n[models.a]\nversion = '1'", ["services.a"]),
        ("[classes", ["syntax"]),
    ],
)
def test_every_mistake_is_reported(addition: str, keys: list[str]):
    """Guards against validation that stops at the first mistake."""
    result = declarations.parse(VALID + addition)
    assert isinstance(result, declarations.Rejected)
    assert [
        mistake.key.endswith(key) for mistake, key in zip(result.mistakes, keys, strict=True)
    ] == [True] * len(keys)


def test_syntax_error_names_its_line():
    """Guards against a syntax error without a line number at the end of the document."""
    result = declarations.parse("[out]\nvms = [")
    assert isinstance(result, declarations.Rejected)
    assert "line 2" in result.mistakes[0].found
