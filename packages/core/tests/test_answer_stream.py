"""Guards against answers that are out of order, cut short, or mixed with other requests."""

from __future__ import annotations

import random

import pytest

from gentianpaddle_core import answer_stream, ids

KEY = ids.RequestKey("o1/k1")
FIRST = ids.Attempt(1)


def chunk(sequence: int, data: bytes, attempt: int = 1, key: str = KEY) -> answer_stream.Chunk:
    return answer_stream.Chunk(ids.RequestKey(key), ids.Attempt(attempt), sequence, data)


def end(chunk_count: int, attempt: int = 1, key: str = KEY) -> answer_stream.End:
    return answer_stream.End(
        ids.RequestKey(key), ids.Attempt(attempt), chunk_count, 200, "text/plain"
    )


Messages = list[answer_stream.Chunk | answer_stream.End]


def receive(
    stream: answer_stream.AnswerStream, message: answer_stream.Chunk | answer_stream.End
) -> answer_stream.ReceiveResult:
    if isinstance(message, answer_stream.Chunk):
        return stream.receive_chunk(message)
    return stream.receive_end(message)


def receive_all(stream: answer_stream.AnswerStream, messages: Messages) -> list[str]:
    seen = []
    for message in messages:
        result = receive(stream, message)
        if isinstance(result, answer_stream.Delivered):
            seen.append(result.data.decode() + ("." if result.complete else ""))
        else:
            seen.append(getattr(result, "reason", "buffered"))
    return seen


ACCENT = "é".encode()


@pytest.mark.parametrize(
    ("messages", "seen", "closing"),
    [
        ([chunk(0, b"a"), chunk(1, b"b"), end(2)], ["a", "b", "."], "complete"),
        ([end(0)], ["."], "complete"),
        ([end(2), chunk(1, b"b"), chunk(0, b"a")], ["buffered", "buffered", "ab."], "complete"),
        ([chunk(0, b"a"), chunk(0, b"a"), end(1)], ["a", "duplicate", "."], "complete"),
        ([chunk(0, b"x", key="o2/k1"), end(0, key="o2/k1")], ["other_key"] * 2, "end_missing"),
        ([chunk(0, b"x", attempt=2)], ["future_attempt"], "end_missing"),
        ([chunk(0, b"a")], ["a"], "end_missing"),
        ([chunk(1, b"b")], ["buffered"], "chunk_missing"),
        ([chunk(0, b"a"), end(2)], ["a", "buffered"], "chunk_missing"),
        ([end(1), chunk(1, b"b"), chunk(0, b"a")], ["buffered", "beyond_end", "a"], "inconsistent"),
        ([chunk(0, b"a"), chunk(1, b"b"), end(1)], ["a", "b", "buffered"], "inconsistent"),
        ([end(2), end(1), chunk(0, b"a")], ["buffered", "duplicate", "a"], "inconsistent"),
        ([end(1), chunk(0, b"a"), chunk(0, b"a")], ["buffered", "a.", "closed"], "complete"),
        ([chunk(0, ACCENT[:1]), chunk(1, ACCENT[1:]), end(2)], ["", "é", "."], "complete"),
    ],
)
def test_messages_in_any_order_give_an_ordered_answer_or_a_reason(
    messages: Messages, seen: list[str], closing: str
):
    stream = answer_stream.new_answer_stream(KEY, FIRST)
    assert receive_all(stream, messages) == seen
    result = stream.close()
    assert getattr(result, "reason", "complete") == closing
    assert receive_all(stream, [chunk(9, b"late")]) == ["closed"]


def test_full_buffer_drops_chunks_and_the_answer_is_incomplete():
    stream = answer_stream.new_answer_stream(KEY, FIRST)
    count = answer_stream.MAX_BUFFERED_CHUNKS
    seen = receive_all(stream, [chunk(n, b"x") for n in range(1, count + 2)])
    assert seen == ["buffered"] * count + ["buffer_full"]
    receive_all(stream, [chunk(0, b"x"), chunk(count + 1, b"x"), end(count + 2)])
    assert isinstance(stream.close(), answer_stream.Incomplete)
    wide = answer_stream.new_answer_stream(KEY, FIRST)
    assert receive_all(wide, [chunk(1, bytes(answer_stream.MAX_BUFFERED_BYTES + 1))]) == [
        "buffer_full"
    ]


def test_resume_continues_after_complete_characters_and_drops_the_old_attempt():
    stream = answer_stream.new_answer_stream(KEY, FIRST)
    receive_all(stream, [chunk(0, b"caf" + ACCENT[:1]), chunk(2, b"x")])
    assert stream.resume(ids.Attempt(2)) == answer_stream.ResumePoint(ids.Attempt(2), "caf")
    late_messages = [chunk(1, ACCENT[1:]), end(3), chunk(0, ACCENT, attempt=2), end(1, attempt=2)]
    assert receive_all(stream, late_messages) == ["old_attempt", "old_attempt", "é", "."]
    with pytest.raises(ValueError, match="not above"):
        stream.resume(ids.Attempt(2))


@pytest.mark.parametrize("resumable", [True, False])
def test_long_or_binary_answer_cannot_be_resumed(resumable: bool):
    stream = answer_stream.new_answer_stream(KEY, FIRST, resumable)
    size = answer_stream.MAX_RESUMABLE_BYTES + 1 if resumable else 3
    stream.receive_chunk(chunk(0, b"\xff" * 3 if not resumable else b"x" * size))
    assert stream.resume(ids.Attempt(2)) == answer_stream.NotResumable(size)


@pytest.mark.parametrize("seed", range(40))
def test_reordered_duplicate_and_foreign_messages_give_the_same_answer(seed: int):
    rng = random.Random(seed)
    text = "".join(rng.choice("aé漢🙂") for _ in range(60)).encode()
    cuts = sorted(rng.sample(range(len(text)), 11))
    parts = [text[a:b] for a, b in zip([0, *cuts], [*cuts, len(text)], strict=True)]
    messages: Messages = [chunk(n, part) for n, part in enumerate(parts)] + [end(len(parts))]
    messages += rng.choices(messages, k=8)
    messages += [chunk(n, b"wrong", key="o2/k1") for n in range(3)]
    rng.shuffle(messages)
    stream = answer_stream.new_answer_stream(KEY, FIRST)
    delivered = b""
    for message in messages:
        result = receive(stream, message)
        delivered += result.data if isinstance(result, answer_stream.Delivered) else b""
        assert text.startswith(delivered)
    assert delivered == text
    assert stream.close() == answer_stream.Complete(200, "text/plain")
