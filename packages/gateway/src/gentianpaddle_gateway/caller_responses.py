"""Final responses to callers whose requests were not served, and the outcomes of all requests."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping

from gentianpaddle_core.serving import attempts, routes, servers
from gentianpaddle_gateway import (
    attempt,
    http_server,
    log,
    metrics,
    platform_state,
    service_queue,
)
from gentianpaddle_platform import headers

_logger = logging.getLogger("gentianpaddle.requests")

OUTDATED_RETRY_AFTER_S = 0.5
"""Time after which a caller should retry at a front whose state is missing or outdated. Updates
normally arrive in a fraction of this time."""


class CallerResponses:
    """Answers callers and records the outcomes of their requests.

    Args:
        state: Configuration and servers known to this front.
        process_metrics: Metrics of this process.
    """

    def __init__(
        self, state: platform_state.PlatformState, process_metrics: metrics.Metrics
    ) -> None:
        self._state = state
        self._metrics = process_metrics

    async def deny(
        self,
        head: headers.RequestHead,
        responder: http_server.Responder,
        status: int,
        reason: str,
        table: routes.RoutingTable,
    ) -> None:
        """Deny a request for good, or refuse it for now if the configuration here may be outdated.

        Args:
            head: Headers of the request.
            responder: Sends the response.
            status: HTTP status of a denial.
            reason: Reason, written to the log.
            table: Routing table that was applied.
        """
        now_s = asyncio.get_running_loop().time()
        if not self._state.is_current(now_s):
            await self.refuse(head, responder, f"{reason}_uncertain", OUTDATED_RETRY_AFTER_S)
            return
        self._metrics.count_request("", reason)
        log.event(
            _logger,
            "denied",
            request=head.request_id,
            status=status,
            reason=reason,
            version=table.version,
            store_age_s=self._state.answer_age_s(now_s),
        )
        await responder.respond(status, [], b"")

    async def refuse(
        self,
        head: headers.RequestHead,
        responder: http_server.Responder,
        reason: str,
        retry_after_s: float,
        route: str = "",
        arrived_s: float | None = None,
        inputs: Mapping[str, str | int | float | None] | None = None,
    ) -> None:
        """Refuse a request that has not run and will not run.

        Args:
            head: Headers of the request.
            responder: Sends the response.
            reason: Reason, written to the log.
            retry_after_s: Time after which the caller should retry.
            route: Name of the route; empty if none was found.
            arrived_s: Monotonic time at which the request arrived, or None.
            inputs: Further inputs of the decision, written to the log.
        """
        self._metrics.count_request(route, "refused")
        now_s = asyncio.get_running_loop().time()
        log.event(
            _logger,
            "refused",
            logging.INFO,
            request=head.request_id,
            route=route,
            reason=reason,
            retry_after_s=retry_after_s,
            after_ms=(now_s - arrived_s) * 1000.0 if arrived_s is not None else 0.0,
            version=self._state.table.version if self._state.table is not None else None,
            **(inputs or {}),
        )
        await responder.respond(503, [headers.encode_retry_after(retry_after_s)], b"")

    async def end_without_server(
        self,
        context: attempt.RequestContext,
        responder: http_server.Responder,
        refusal: service_queue.Refusal,
        last_outcome: attempt.AttemptOutcome | None,
    ) -> None:
        """Answer a request for which there is no further server.

        Args:
            context: The request.
            responder: Sends the response.
            refusal: Why there is none.
            last_outcome: Outcome of the last attempt, or None if there was none.
        """
        if isinstance(last_outcome, attempt.FailureResponse):
            await self.send_failure(context, responder, attempts.ForwardError(), last_outcome)
            return
        if context.history.runs:
            await self.send_failure(
                context, responder, attempts.FailRequest(502), attempts.Lost(refusal.reason)
            )
            return
        await self.refuse(
            context.head,
            responder,
            refusal.reason,
            refusal.retry_after_s,
            context.route.name,
            context.request.arrived_s,
            _queue_inputs(context, refusal),
        )

    async def send_failure(
        self,
        context: attempt.RequestContext,
        responder: http_server.Responder,
        step: attempts.NextStep,
        outcome: attempt.AttemptOutcome,
    ) -> None:
        """Answer a request after its last attempt has failed.

        Args:
            context: The request.
            responder: Sends the response.
            step: Decision that ended the attempts.
            outcome: Outcome of the last attempt.
        """
        name = context.route.name
        if responder.started:
            # An incomplete stream must not look complete: this exception resets the connection.
            self._record_failure(context, "stream_broken", outcome)
            raise http_server.ResponseAbortedError
        if isinstance(step, attempts.ForwardError) and isinstance(outcome, attempt.FailureResponse):
            self._metrics.count_request(name, "server_failure")
            fields = headers.end_to_end_headers(outcome.head.headers)
            await responder.respond(outcome.head.status, fields, outcome.body)
            return
        if isinstance(step, attempts.RejectNotRun):
            reason = getattr(outcome, "reason", "refused")
            await self.refuse(context.head, responder, reason, 0.1, name, context.request.arrived_s)
            return
        status = step.status if isinstance(step, attempts.FailRequest) else 502
        self._record_failure(context, f"status_{status}", outcome)
        await responder.respond(status, [], b"")

    def record_served(
        self, context: attempt.RequestContext, server: servers.ServerEntry, outcome: attempt.Served
    ) -> None:
        """Record that the caller has received the complete answer.

        Args:
            context: The request.
            server: Server that answered.
            outcome: Outcome of the last attempt.
        """
        arrived_s = context.request.arrived_s
        first_event_s = context.first_event_s or asyncio.get_running_loop().time()
        late = first_event_s - arrived_s > context.route.target_s
        self._metrics.count_request(context.route.name, "late" if late else "served")
        self._metrics.observe_first_event(context.route.name, first_event_s - arrived_s)
        log.event(
            _logger,
            "served",
            logging.INFO if late else logging.DEBUG,
            request=context.head.request_id,
            route=context.route.name,
            server=server.id,
            status=outcome.status,
            first_ms=(first_event_s - arrived_s) * 1000.0,
            total_ms=(asyncio.get_running_loop().time() - arrived_s) * 1000.0,
            repeats=context.history.total_attempts,
        )

    def _record_failure(
        self, context: attempt.RequestContext, outcome_name: str, outcome: attempt.AttemptOutcome
    ) -> None:
        self._metrics.count_request(context.route.name, "failed")
        log.event(
            _logger,
            "failed",
            logging.WARNING,
            request=context.head.request_id,
            route=context.route.name,
            outcome=outcome_name,
            reason=getattr(outcome, "reason", None),
            sends=context.history.total_attempts,
            runs=context.history.runs,
            after_ms=(asyncio.get_running_loop().time() - context.request.arrived_s) * 1000.0,
        )


def _queue_inputs(
    context: attempt.RequestContext, refusal: service_queue.Refusal
) -> dict[str, str | int | float | None]:
    """Return what the queue of a service knew when it refused a request."""
    inputs: dict[str, str | int | float | None] = {
        "priority": context.group.priority,
        "organisation": context.organisation,
        "waiting": refusal.waiting,
        "expected_wait_s": refusal.expected_wait_s,
    }
    if refusal.newcomer_priority is not None:
        inputs["newcomer_priority"] = refusal.newcomer_priority
    return inputs
