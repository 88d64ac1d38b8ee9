"""Runs admitted attempts on the backend server and reports their progress to the entry."""

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

CHUNK_COALESCE_S = 0.010
"""Time in which tokens of one attempt are collected into one chunk.

It is well below the target for the time between tokens.
"""
KEPT_BODY_LIMIT_BYTES = 65_536
"""Size up to which the response to a non-idempotent request is kept for later queries."""
EXTRA_CALL_THREADS = 8
"""Number of call threads beyond the capacity limit of the backend server."""

_logger = logging.getLogger("gentianpaddle.agent.runner")


class AttemptRun:
    """One attempt on the backend server.

    It is the listener of its call: the `on_` methods run in the thread of the call and pass the
    progress to the event loop. Everything else runs on the event loop.
    """

    def __init__(
        self,
        start: pb.Start,
        link: links.EntryLink,
        loop: loop_thread.LoopThread,
        on_ended: Callable[[AttemptRun], None],
    ) -> None:
        self.start = start
        self.link = link
        self.call_handle = backend.CallHandle()
        self.failure: tuple[bool, str] | None = None
        self.response_head: tuple[int, str] = (0, "")
        self.body = bytearray()
        self.tokens = 0
        self.started_s = time.monotonic()
        self.first_data_s = 0.0
        self.last_data_s = 0.0
        self._loop = loop
        self._on_ended = on_ended
        self._unsent_data = bytearray()
        self._unsent_tokens = 0
        self._sequence = 0
        self._flush_scheduled = False

    @property
    def chunks(self) -> int:
        """Number of chunks sent to the entry."""
        return self._sequence

    @property
    def step_s(self) -> float:
        """Mean time between tokens in seconds; the response time if there are fewer than two."""
        if self.tokens > 1:
            return (self.last_data_s - self.first_data_s) / (self.tokens - 1)
        return time.monotonic() - self.started_s

    def on_data(self, data: bytes, tokens: int) -> None:
        """Pass received data to the event loop; see `backend.CallListener`."""
        self._loop.call_soon(self._append_data, data, tokens)

    def on_end(self, http_status: int, content_type: str) -> None:
        """Pass the end of the response to the event loop; see `backend.CallListener`."""
        self._loop.call_soon(self._finish, http_status, content_type)

    def on_failure(self, may_have_run: bool, reason: str) -> None:
        """Pass a failure to the event loop; see `backend.CallListener`."""
        self._loop.call_soon(self._fail, may_have_run, reason)

    def _append_data(self, data: bytes, tokens: int) -> None:
        self.last_data_s = time.monotonic()
        self.first_data_s = self.first_data_s or self.last_data_s
        self.tokens += tokens
        if not self.start.idempotent and len(self.body) <= KEPT_BODY_LIMIT_BYTES:
            self.body += data
        self._unsent_data += data
        self._unsent_tokens += tokens
        if self._sequence == 0:
            self._flush()
        elif not self._flush_scheduled:
            self._flush_scheduled = True
            self._loop.loop.call_later(CHUNK_COALESCE_S, self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        if not self._unsent_data:
            return
        chunk = pb.Chunk(
            key=self.start.key,
            attempt=self.start.attempt,
            sequence=self._sequence,
            data=bytes(self._unsent_data),
            tokens=self._unsent_tokens,
        )
        self._sequence += 1
        self._unsent_data.clear()
        self._unsent_tokens = 0
        self.link.send(pb.FromAgent(chunk=chunk))

    def _finish(self, http_status: int, content_type: str) -> None:
        self._flush()
        self.response_head = (http_status, content_type)
        self._on_ended(self)

    def _fail(self, may_have_run: bool, reason: str) -> None:
        self._flush()
        self.failure = (may_have_run, reason)
        self._on_ended(self)


class Runner:
    """Runs the attempts of one agent, each in a thread of a pool."""

    def __init__(
        self,
        board: blackboard.AgentBlackboard,
        server: backend.HttpBackend,
        loop: loop_thread.LoopThread,
        process_metrics: metrics.Metrics,
        on_backend_failure: Callable[[], None],
    ) -> None:
        self._board = board
        self._backend_server = server
        self._loop = loop
        self._metrics = process_metrics
        self._on_backend_failure = on_backend_failure
        self._run_by_key: dict[ids.RequestKey, AttemptRun] = {}
        self._threads = concurrent.futures.ThreadPoolExecutor(
            board.own_settings.capacity_limit + EXTRA_CALL_THREADS,
            thread_name_prefix="backend-call",
        )

    def launch(self, start: pb.Start, link: links.EntryLink) -> None:
        """Send an admitted attempt to the backend server.

        Args:
            start: Message that started the attempt.
            link: Link on which the progress is reported.
        """
        key, attempt = ids.RequestKey(start.key), ids.Attempt(start.attempt)
        effect = self._board.ledger.start(time.monotonic(), key, attempt)
        if effect is ledger.ReportEffect.IGNORED:
            return
        run = AttemptRun(start, link, self._loop, self._on_run_ended)
        self._run_by_key[key] = run
        call = self._new_call(start)
        self._threads.submit(self._backend_server.run, call, run, run.call_handle)

    def cancel(self, key: ids.RequestKey, attempt: ids.Attempt) -> None:
        """Cancel a running attempt whose answer is no longer needed.

        Args:
            key: Key of the request.
            attempt: Number of the attempt.
        """
        run = self._run_by_key.get(key)
        if run is not None and run.start.attempt == attempt:
            run.call_handle.cancel()

    def cancel_idempotent_attempts(self, link: links.EntryLink) -> None:
        """Cancel the idempotent attempts of a closed link.

        Non-idempotent attempts continue, because their outcomes are kept for later queries.

        Args:
            link: The closed link.
        """
        for run in self._run_by_key.values():
            if run.link is link and run.start.idempotent:
                run.call_handle.cancel()

    def close(self) -> None:
        """Cancel all attempts and shut down the threads without waiting for them."""
        for run in self._run_by_key.values():
            run.call_handle.cancel()
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _new_call(self, start: pb.Start) -> backend.Call:
        is_engine = self._board.own_settings.kind == "engine"
        return backend.Call(
            key=start.key,
            method=start.method,
            path=start.path,
            body=_engine_body(start) if is_engine else start.body,
            content_type=start.content_type,
            token_stream=is_engine,
            read_timeout_s=max(1.0, start.deadline_ms / 1_000),
        )

    def _on_run_ended(self, run: AttemptRun) -> None:
        key, attempt = ids.RequestKey(run.start.key), ids.Attempt(run.start.attempt)
        now_s = time.monotonic()
        if run.failure is None:
            self._record_done(run, key, attempt, now_s)
        else:
            self._record_failed(run, key, attempt, now_s)
        # Removed last: a crash record lists the requests in progress when the first call failed.
        self._run_by_key.pop(key, None)

    def _record_done(
        self, run: AttemptRun, key: ids.RequestKey, attempt: ids.Attempt, now_s: float
    ) -> None:
        http_status, content_type = run.response_head
        body = bytes(run.body) if _should_keep_body(run) else None
        outcome = ledger.KeptAnswer(http_status, content_type, body)
        self._board.ledger.finish(now_s, key, attempt, outcome, run.step_s)
        if self._board.quarantine.record_completion(ids.Fingerprint(run.start.fingerprint), now_s):
            self._board.quarantine_version += 1
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
        crashed = may_have_run and not run.call_handle.cancelled
        if crashed or not may_have_run:
            self._on_backend_failure()
        self._board.ledger.fail(now_s, key, attempt, may_have_run)
        result = "cancelled" if run.call_handle.cancelled else "failed"
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


def _should_keep_body(run: AttemptRun) -> bool:
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
        server: Client of the backend server.
        loop: Event loop of the process.
        process_metrics: Metrics of the process.
        on_backend_failure: Called when a call failed without being cancelled.

    Returns:
        A runner without attempts.
    """
    return Runner(board, server, loop, process_metrics, on_backend_failure)
