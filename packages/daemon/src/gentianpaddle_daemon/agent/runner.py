"""Runs admitted attempts at the backend server and reports their progress to the entry."""

from __future__ import annotations

import concurrent.futures
import json
import logging
import time
from collections.abc import Callable

from gentianpaddle_core import blackboard, ids, ledger
from gentianpaddle_daemon import logs, loop_thread, metrics
from gentianpaddle_daemon.agent import backend, links
from gentianpaddle_daemon.wire import messages_pb2 as pb

COALESCE_S = 0.010
"""Tokens of one attempt are sent together within this time, well inside the token gap target."""
KEPT_BODY_LIMIT_BYTES = 65_536
SPARE_THREADS = 8

_logger = logging.getLogger("gentianpaddle.agent.runner")


class AttemptRun:
    """One attempt at the backend server; its `on_` methods are called from the call's thread."""

    def __init__(
        self,
        start: pb.Start,
        link: links.EntryLink,
        loop: loop_thread.LoopThread,
        on_ended: Callable[[AttemptRun], None],
    ) -> None:
        self.start = start
        self.link = link
        self.handle = backend.RunningCall()
        self.failure: tuple[bool, str] | None = None
        self.status: tuple[int, str] = (0, "")
        self.body = bytearray()
        self.tokens = 0
        self.began_s = time.monotonic()
        self.first_s = 0.0
        self.last_s = 0.0
        self._loop = loop
        self._on_ended = on_ended
        self._pending = bytearray()
        self._pending_tokens = 0
        self._sequence = 0
        self._flush_scheduled = False

    @property
    def chunks(self) -> int:
        """Number of chunks sent."""
        return self._sequence

    @property
    def step_s(self) -> float:
        """Mean time of a step, or the response time where there are no tokens."""
        if self.tokens > 1:
            return (self.last_s - self.first_s) / (self.tokens - 1)
        return time.monotonic() - self.began_s

    def on_data(self, data: bytes, tokens: int) -> None:
        """Take a piece of the answer from the call's thread."""
        self._loop.call(self._take, data, tokens)

    def on_end(self, http_status: int, content_type: str) -> None:
        """Take the end of the answer from the call's thread."""
        self._loop.call(self._finish, http_status, content_type)

    def on_failure(self, may_have_run: bool, reason: str) -> None:
        """Take a failure from the call's thread."""
        self._loop.call(self._fail, may_have_run, reason)

    def _take(self, data: bytes, tokens: int) -> None:
        self.last_s = time.monotonic()
        self.first_s = self.first_s or self.last_s
        self.tokens += tokens
        if not self.start.idempotent and len(self.body) <= KEPT_BODY_LIMIT_BYTES:
            self.body += data
        self._pending += data
        self._pending_tokens += tokens
        if self._sequence == 0:
            self._flush()
        elif not self._flush_scheduled:
            self._flush_scheduled = True
            self._loop.loop.call_later(COALESCE_S, self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        if not self._pending:
            return
        chunk = pb.Chunk(
            key=self.start.key,
            attempt=self.start.attempt,
            sequence=self._sequence,
            data=bytes(self._pending),
            tokens=self._pending_tokens,
        )
        self._sequence += 1
        self._pending.clear()
        self._pending_tokens = 0
        self.link.send(pb.FromAgent(chunk=chunk))

    def _finish(self, http_status: int, content_type: str) -> None:
        self._flush()
        self.status = (http_status, content_type)
        self._on_ended(self)

    def _fail(self, may_have_run: bool, reason: str) -> None:
        self._flush()
        self.failure = (may_have_run, reason)
        self._on_ended(self)


class Runner:
    """All attempts of one agent."""

    def __init__(
        self,
        board: blackboard.AgentBlackboard,
        server: backend.HttpBackend,
        loop: loop_thread.LoopThread,
        process_metrics: metrics.Metrics,
        on_backend_failure: Callable[[], None],
    ) -> None:
        self._board = board
        self._server = server
        self._loop = loop
        self._metrics = process_metrics
        self._on_backend_failure = on_backend_failure
        self._run_by_key: dict[ids.RequestKey, AttemptRun] = {}
        self._threads = concurrent.futures.ThreadPoolExecutor(
            board.own.capacity_limit + SPARE_THREADS, thread_name_prefix="backend-call"
        )

    def launch(self, start: pb.Start, link: links.EntryLink) -> None:
        """Send an admitted attempt to the backend server.

        Args:
            start: The attempt.
            link: Where its progress is reported.
        """
        key, attempt = ids.RequestKey(start.key), ids.Attempt(start.attempt)
        effect = self._board.ledger.start(time.monotonic(), key, attempt)
        if effect is ledger.Effect.IGNORED:
            return
        run = AttemptRun(start, link, self._loop, self._ended)
        self._run_by_key[key] = run
        call = self._call(start)
        self._threads.submit(self._server.run, call, run, run.handle)

    def cancel(self, key: ids.RequestKey, attempt: ids.Attempt) -> None:
        """End a running attempt of which nobody wants the answer.

        Args:
            key: Key of the request.
            attempt: Number of the attempt.
        """
        run = self._run_by_key.get(key)
        if run is not None and run.start.attempt == attempt:
            run.handle.cancel()

    def link_closed(self, link: links.EntryLink) -> None:
        """Cancel the idempotent attempts of a link that is gone.

        A non-idempotent attempt goes on, because its outcome is kept for a later query.

        Args:
            link: The closed link.
        """
        for run in self._run_by_key.values():
            if run.link is link and run.start.idempotent:
                run.handle.cancel()

    def close(self) -> None:
        """End the threads of finished calls."""
        for run in self._run_by_key.values():
            run.handle.cancel()
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _call(self, start: pb.Start) -> backend.Call:
        is_engine = self._board.own.kind == "engine"
        return backend.Call(
            key=start.key,
            method=start.method,
            path=start.path,
            body=_engine_body(start) if is_engine else start.body,
            content_type=start.content_type,
            token_stream=is_engine,
            read_timeout_s=max(1.0, start.deadline_ms / 1_000),
        )

    def _ended(self, run: AttemptRun) -> None:
        key, attempt = ids.RequestKey(run.start.key), ids.Attempt(run.start.attempt)
        now_s = time.monotonic()
        if run.failure is None:
            self._record_done(run, key, attempt, now_s)
        else:
            self._record_failed(run, key, attempt, now_s)
        # Removed only now: a crash report lists what was in progress when the first stream broke.
        self._run_by_key.pop(key, None)

    def _record_done(
        self, run: AttemptRun, key: ids.RequestKey, attempt: ids.Attempt, now_s: float
    ) -> None:
        http_status, content_type = run.status
        body = bytes(run.body) if _keeps_body(run) else None
        outcome = ledger.KeptOutcome(http_status, content_type, body)
        self._board.ledger.finish(now_s, key, attempt, outcome, run.step_s)
        if self._board.quarantine.completed(ids.Fingerprint(run.start.fingerprint), now_s):
            self._board.crash_version += 1
        self._metrics.attempts.inc({"result": "done"})
        run.link.send(
            pb.FromAgent(
                end=pb.End(
                    key=key,
                    attempt=attempt,
                    chunks=run.chunks,
                    http_status=http_status,
                    content_type=content_type,
                )
            )
        )

    def _record_failed(
        self, run: AttemptRun, key: ids.RequestKey, attempt: ids.Attempt, now_s: float
    ) -> None:
        assert run.failure is not None, "a failed run has a failure"
        may_have_run, reason = run.failure
        crashed = may_have_run and not run.handle.cancelled
        if crashed or not may_have_run:
            self._on_backend_failure()
        self._board.ledger.fail(now_s, key, attempt, may_have_run)
        result = "cancelled" if run.handle.cancelled else "failed"
        self._metrics.attempts.inc({"result": result})
        logs.event(
            _logger, "attempt_failed", key=key, attempt=attempt, reason=reason, result=result
        )
        run.link.send(
            pb.FromAgent(
                failed=pb.Failed(
                    key=key,
                    attempt=attempt,
                    may_have_run=may_have_run,
                    reason=reason,
                    crashed=crashed,
                )
            )
        )


def _keeps_body(run: AttemptRun) -> bool:
    return not run.start.idempotent and len(run.body) <= KEPT_BODY_LIMIT_BYTES


def _engine_body(start: pb.Start) -> bytes:
    body = json.loads(start.body)
    body["stream"] = True
    body["priority"] = start.priority
    if start.delivered_text:
        body["continue_after"] = start.delivered_text
    return json.dumps(body).encode()


def new_runner(
    board: blackboard.AgentBlackboard,
    server: backend.HttpBackend,
    loop: loop_thread.LoopThread,
    process_metrics: metrics.Metrics,
    on_backend_failure: Callable[[], None],
) -> Runner:
    """Create the runner of an agent.

    Args:
        board: Blackboard of the agent.
        server: Backend server.
        loop: Event loop of the process.
        process_metrics: Metrics of the process.
        on_backend_failure: Called when a call broke without being cancelled.

    Returns:
        A runner without attempts.
    """
    return Runner(board, server, loop, process_metrics, on_backend_failure)
