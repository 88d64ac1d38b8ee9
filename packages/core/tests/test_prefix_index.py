"""Guards against unbounded growth, full confidence in old records and matches in a lost cache."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from gentianpaddle_core import ids, prefix_index

B1, B2 = ids.BackendServerId("b1"), ids.BackendServerId("b2")


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.lists(strategies.integers(0, 50), max_size=6),
            strategies.sampled_from(["b1", "b2", "b3", "b4", "b5", "b6"]),
            strategies.sampled_from(["record", "forget", "discard"]),
        )
    )
)
def test_index_is_bounded_and_invalidated_servers_do_not_match(
    steps: list[tuple[list[int], str, str]],
):
    index = prefix_index.new_prefix_index(limit=8)
    for now_s, (hashes, name, action) in enumerate(steps):
        server = ids.BackendServerId(name)
        if action == "record":
            index.record(tuple(hashes), server, now_s + 0.5)
        elif action == "forget":
            index.invalidate(server, now_s + 0.5)
        else:
            index.discard(server)
        assert len(index) <= 8
        for prefix_hash in range(51):
            found = index.matches((prefix_hash,), now_s + 0.6)
            assert len(found) <= prefix_index.SERVERS_PER_PREFIX_LIMIT
            if action != "record":
                assert server not in {match.backend_server for match in found}


@pytest.mark.parametrize(
    ("now_s", "expected"), [(0.0, [(B2, 256.0), (B1, 128.0)]), (120.0, [(B2, 128.0), (B1, 64.0)])]
)
def test_longest_prefix_first_and_confidence_decreases_with_age(
    now_s: float, expected: list[tuple[ids.BackendServerId, float]]
):
    index = prefix_index.new_prefix_index()
    index.record((1,), B1, 0.0)
    index.record((1, 2), B2, 0.0)
    found = index.matches((1, 2, 3), now_s)
    assert [(m.backend_server, pytest.approx(m.expected_cached_tokens)) for m in found] == expected
