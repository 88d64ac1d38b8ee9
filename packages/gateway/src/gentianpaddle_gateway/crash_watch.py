"""Observes crashes of backend servers at one front and exchanges them with the other fronts."""

from __future__ import annotations

import asyncio
import hashlib
import logging
import random
from collections.abc import Callable, Sequence

from gentianpaddle_core import ids
from gentianpaddle_core.serving import attempts, crash_records, crash_suspects, routes, silence
from gentianpaddle_gateway import attempt, crash_messages, http_server, log
from gentianpaddle_platform import headers

_logger = logging.getLogger("gentianpaddle.crashes")

MAX_REPLY_DELAY_S = 0.1
"""Maximum delay of a reply that clears suspects. Of all processes that could reply, those with a
longer random delay see the reply of another one first."""

MAX_REPEATED_CRASHES = 8
"""Maximum number of crashes in a repeated message, and of those that are repeated once."""

REPEAT_INTERVAL_S = 2.0
"""Interval at which collectors repeat the crashes that make them hold requests."""

FINGERPRINT_BYTES = 8


class CrashWatch:
    """Crash suspects as known to this front.

    Args:
        broadcast: Sends a message to all other fronts.
        on_held: Called when more requests than before may be held.
    """

    def __init__(self, broadcast: Callable[[bytes], None], on_held: Callable[[], None]) -> None:
        self._broadcast = broadcast
        self._on_held = on_held
        self._suspects = crash_suspects.CrashSuspects()
        self._held_parts: set[crash_records.Cause] = set()
        self._unrepeated: list[crash_records.Crash] = []
        """Crashes that this front has sent once. Datagrams may be lost."""
        self._repeated_s = -REPEAT_INTERVAL_S

    @property
    def held_count(self) -> int:
        """Number of prompt parts that are held."""
        return len(self._held_parts)

    def held(self, causes: crash_records.RequestCauses) -> crash_suspects.Held | None:
        """Return why a request may not be sent now, or None if it may.

        Args:
            causes: What the request holds.
        """
        return self._suspects.held(causes, asyncio.get_running_loop().time())

    def record_send(self, causes: crash_records.RequestCauses) -> None:
        """Record that a request is sent; the other fronts learn of it if it is a trial of suspects.

        Args:
            causes: What the request holds.
        """
        now_s = asyncio.get_running_loop().time()
        suspects = self._suspects.start_trial(causes, now_s)
        if suspects:
            log.event(_logger, "suspect_tried", causes=",".join(suspects))
            self._broadcast(crash_messages.encode(crash_messages.CrashMessage([], suspects), now_s))

    def record_answer(self, causes: crash_records.RequestCauses) -> None:
        """Record that the answer to a request has begun.

        Args:
            causes: What the request holds.
        """
        now_s = asyncio.get_running_loop().time()
        cleared = self._suspects.record_answer(causes, now_s)
        if cleared:
            self._update_held()
            self._send(cleared)

    def record_loss(
        self,
        context: attempt.RequestContext,
        server: ids.BackendServerId,
        lost: attempts.Lost,
        progress: silence.ServiceProgress,
    ) -> None:
        """Record a lost attempt, which may show that its server has crashed.

        Args:
            context: The request.
            server: Server to which it was sent.
            lost: Result of the attempt.
            progress: Progress of the requests to the service.
        """
        now_s = asyncio.get_running_loop().time()
        if (
            not lost.closed_by_server
            or context.answer_stage is attempts.AnswerStage.BEGUN
            or not crash_suspects.proves_crash(progress, server, context.sent_s, now_s)
        ):
            return
        crash = crash_records.Crash(server, now_s, fingerprints={context.causes.fingerprint})
        if context.route.kind is routes.RouteKind.STREAMING:
            starting = context.answer_stage is attempts.AnswerStage.HEAD
            (crash.starting if starting else crash.waiting).update(context.causes.parts)
        self._merge([crash], now_s, "own")
        # The record may have been displaced at once by others.
        self._send([self._suspects.find(crash) or crash])

    def record_closed_group(self) -> None:
        """Record that a group of engines is reported closed."""
        if self._suspects.confirm(asyncio.get_running_loop().time()):
            self._update_held()

    def receive(self, message: crash_messages.CrashMessage) -> None:
        """Handle a message of another front.

        Args:
            message: The message.
        """
        loop = asyncio.get_running_loop()
        self._suspects.record_trial(message.trials, loop.time())
        self._merge(message.crashes, loop.time(), "peer")
        for crash in message.crashes:
            known = self._suspects.find(crash)
            if known is not None:
                known.announced |= crash.innocent
        if any(crash.innocent - crash.announced for crash in self._suspects.crashes(loop.time())):
            loop.call_later(random.uniform(0.0, MAX_REPLY_DELAY_S), self._send_unannounced)

    def repeat(self, collecting: bool) -> None:
        """Send crashes once more, in case a datagram was lost or a front has restarted.

        Args:
            collecting: Whether this front is a collector; collectors repeat what makes them hold
                requests until it expires.
        """
        crashes, self._unrepeated = self._unrepeated[-MAX_REPEATED_CRASHES:], []
        now_s = asyncio.get_running_loop().time()
        if collecting and now_s - self._repeated_s >= REPEAT_INTERVAL_S:
            self._repeated_s = now_s
            crashes += self._suspects.held_crashes(now_s)
        for start in range(0, len(crashes), MAX_REPEATED_CRASHES):
            self._send(crashes[start : start + MAX_REPEATED_CRASHES], repeated=True)

    def _merge(self, crashes: Sequence[crash_records.Crash], now_s: float, source: str) -> None:
        if not self._suspects.merge(crashes, now_s):
            return
        for crash in crashes:
            log.event(
                _logger,
                "crash",
                logging.WARNING,
                server=crash.server,
                source=source,
                age_s=now_s - crash.crashed_s,
                starting=",".join(sorted(crash.starting)),
                waiting=",".join(sorted(crash.waiting)),
                requests=",".join(sorted(crash.fingerprints)),
                innocent=len(crash.innocent),
            )
        self._update_held()

    def _update_held(self) -> None:
        blame_by_part = self._suspects.held_parts()
        for part in blame_by_part.keys() - self._held_parts:
            log.event(_logger, "part_held", logging.WARNING, part=part, blame=blame_by_part[part])
        for part in self._held_parts - blame_by_part.keys():
            log.event(_logger, "part_freed", part=part)
        self._held_parts = set(blame_by_part)
        self._on_held()

    def _send_unannounced(self) -> None:
        crashes = [
            crash
            for crash in self._suspects.crashes(asyncio.get_running_loop().time())
            if crash.innocent - crash.announced
        ]
        if crashes:
            self._send(crashes)

    def _send(self, crashes: Sequence[crash_records.Crash], repeated: bool = False) -> None:
        now_s = asyncio.get_running_loop().time()
        for crash in crashes:
            crash.announced |= crash.innocent
            if not repeated and crash not in self._unrepeated:
                self._unrepeated.append(crash)
        self._broadcast(
            crash_messages.encode(crash_messages.CrashMessage(list(crashes), []), now_s)
        )


def request_causes(
    request: http_server.Request, head: headers.RequestHead
) -> crash_records.RequestCauses:
    """Return what may make a request crash servers.

    Args:
        request: The request.
        head: Its decoded headers.
    """
    content = "\n".join((request.method, request.target, head.api_key or "")).encode()
    digest = hashlib.blake2b(content, digest_size=FINGERPRINT_BYTES)
    digest.update(request.body)
    return crash_records.RequestCauses(
        tuple(crash_records.Cause(part) for part in head.shared_prompt_parts),
        crash_records.Cause(f"request-{digest.hexdigest()}"),
    )
