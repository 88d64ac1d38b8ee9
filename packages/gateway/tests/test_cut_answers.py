"""Fronts in front of servers that close or reset the connection within their answer."""

from __future__ import annotations

import asyncio
import pathlib

import pytest
from gentianpaddle_platform_standins import front_system, replica

from gentianpaddle_platform import headers

EVENT = b"id: 1\ndata: piece 1\n\n"

PARALLEL_CALLS = 8


def answer_head(status_line: str, content_type: str, framing: str) -> str:
    """Return the head of an answer; `NAME` stands for the id of the request."""
    lines = [
        status_line,
        f"{headers.REQUEST_ID.decode()}: NAME",
        f"Content-Type: {content_type}",
        f"{headers.RESPONSE_SIGNATURE.decode()}: seal-1",
        *filter(None, [framing]),
    ]
    return "\r\n".join(lines) + "\r\n\r\n"


def parts_to_cut(path: str, framing: str, version: str) -> tuple[bytes, bytes]:
    """Return the head and the body of an answer."""
    body = EVENT if path.startswith("/stream") else b'{"x":1}'
    content_type = "text/event-stream" if path.startswith("/stream") else "application/json"
    framing_field = {
        "length": f"Content-Length: {len(body)}",
        "chunks": "Transfer-Encoding: chunked",
        "none": "",
    }[framing]
    head = answer_head(f"HTTP/{version} 200 OK", content_type, framing_field)
    if framing == "chunks":
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    return head.encode(), body


def is_complete(framing: str, missing: int, body: bytes, reset: bool) -> bool:
    """Return whether a caller may take what was sent of an answer for all of it.

    An answer without length and chunks ends with its connection, so its body may be short if the
    server closes. It is not taken for complete after a reset, or if there is no body at all.
    """
    if framing == "none":
        return not reset and missing < len(body)
    return missing == 0


@pytest.mark.parametrize("path", ["/book/1", "/stream/1"])
@pytest.mark.parametrize(
    ("framing", "version"),
    [("length", "1.1"), ("chunks", "1.1"), ("none", "1.1"), ("length", "1.0"), ("none", "1.0")],
)
def test_cut_answer_does_not_look_complete(
    tmp_path: pathlib.Path, path: str, framing: str, version: str
) -> None:
    """Guards against a 200 with an empty or short body after a server stopped within its answer.

    The answer is cut at each byte of its head and body, by closing and by resetting.
    """
    head, body = parts_to_cut(path, framing, version)
    data = head + body
    cuts = [(missing, reset) for missing in range(len(data), -1, -1) for reset in (False, True)]

    async def check(running: front_system.System, missing: int, reset: bool) -> None:
        name = f"cut-{missing}-{reset}"
        request = front_system.request(path, "POST", b"x", name=name)
        answer = await front_system.call(running.host, front_system.PORT + 1, request)
        may_be_complete = is_complete(framing, missing, body, reset)
        looks_complete = answer.status == 200 and answer.complete
        assert may_be_complete or not looks_complete, (name, answer)
        if missing == 0 and not reset:
            assert looks_complete, answer

    async def scenario() -> None:
        async with front_system.system(tmp_path) as running:
            for standin in running.replicas:
                standin.response_delay_s = 0.0
                standin.raw_answer = raw_answer
            for first in range(0, len(cuts), PARALLEL_CALLS):
                calls = [check(running, *cut) for cut in cuts[first : first + PARALLEL_CALLS]]
                await asyncio.gather(*calls)

    def raw_answer(name: str) -> replica.RawAnswer:
        _, missing, reset = name.split("-")
        sent = data[: len(data) - int(missing)].replace(b"NAME", name.encode())
        return replica.RawAnswer(sent, reset == "True")

    asyncio.run(scenario())
