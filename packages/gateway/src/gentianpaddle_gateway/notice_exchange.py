"""Observes what servers say of themselves in answers, and exchanges it with the other fronts."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Collection

from gentianpaddle_core import ids
from gentianpaddle_core.serving import members, server_limits, server_notices
from gentianpaddle_gateway import http_client, limit_messages, log
from gentianpaddle_platform import headers

_logger = logging.getLogger("gentianpaddle.servers")

MAX_LOGGED_MISTAKES = 1_000
"""Maximum number of malformed headers that are remembered, to log each one once."""


class NoticeExchange:
    """Notices of servers at one front.

    Args:
        member_view: Known VMs of the system.
        broadcast: Sends a message to all other fronts.
    """

    def __init__(self, member_view: members.MemberView, broadcast: Callable[[bytes], None]) -> None:
        limits = server_limits.ServerLimits(
            member_view.own.vm,
            lambda now_s: [member.vm for member in member_view.live_fronts(now_s)],
        )
        self.board = server_notices.NoticeBoard(limits)
        self._broadcast = broadcast
        self._logged_mistakes: set[tuple[ids.BackendServerId, str]] = set()

    def record_answer(
        self, server: ids.BackendServerId, answer: http_client.ResponseHead, request_id: str
    ) -> None:
        """Record the head of an answer, whatever its status.

        Args:
            server: Server that answered.
            answer: Head of the answer.
            request_id: Id of the request.
        """
        notices = headers.decode_notices(answer.status, answer.headers)
        for name in notices.malformed:
            self._log_mistake(server, name, request_id)
        now_s = asyncio.get_running_loop().time()
        if notices.leaving and self.board.record_leaving(server):
            log.event(_logger, "server_leaving", server=server, request=request_id)
        if notices.wait_s is not None and self.board.record_wait(server, notices.wait_s, now_s):
            wait_ms = notices.wait_s * 1000.0
            log.event(_logger, "server_waits", server=server, wait_ms=wait_ms, request=request_id)
        if notices.limit_malformed:
            return
        if self.board.limits.record_answer(server, notices.limit_per_s, now_s):
            self._log_limit(server, notices.limit_per_s, "own", request_id)
            self.publish()

    def receive(self, news: list[server_limits.LimitNews]) -> None:
        """Record what another front has told.

        Args:
            news: Content of the message.
        """
        now_s = asyncio.get_running_loop().time()
        for item in news:
            if self.board.limits.record_news(item, now_s):
                self._log_limit(item.server, item.limit_per_s, "peer", None)

    def publish(self) -> None:
        """Tell the other fronts what is new or due again; called several times per second."""
        news = self.board.limits.take_news(asyncio.get_running_loop().time())
        if news:
            self._broadcast(limit_messages.encode(news))

    def remove_unlisted(self, listed: Collection[ids.BackendServerId]) -> None:
        """Forget servers that no longer exist.

        Args:
            listed: Servers that exist.
        """
        self.board.remove_unlisted(listed)

    def _log_limit(
        self,
        server: ids.BackendServerId,
        limit_per_s: float | None,
        source: str,
        request_id: str | None,
    ) -> None:
        log.event(
            _logger,
            "server_limit" if limit_per_s is not None else "server_limit_ended",
            server=server,
            limit_per_s=limit_per_s,
            source=source,
            request=request_id,
        )

    def _log_mistake(self, server: ids.BackendServerId, name: str, request_id: str) -> None:
        if (server, name) in self._logged_mistakes:
            return
        if len(self._logged_mistakes) >= MAX_LOGGED_MISTAKES:
            self._logged_mistakes.clear()
        self._logged_mistakes.add((server, name))
        log.event(
            _logger,
            "notice_unreadable",
            logging.WARNING,
            server=server,
            header=name,
            request=request_id,
        )
