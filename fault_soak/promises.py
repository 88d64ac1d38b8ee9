"""Promises of the platform's rules, checked from what callers and backend servers saw."""

from __future__ import annotations

import collections
import json

from gentianpaddle_platform_standins import documents

from fault_soak import callers, system
from gentianpaddle_platform import headers

NOT_RUN = (408, 421, 429, 503)
"""Statuses that say that a request has not run and never will."""

DENIALS = (400, 401, 403, 404, 405)
"""Statuses that no proper request of these callers may get."""


def broken_promises(running: system.System, sent: list[callers.Sent]) -> list[str]:
    """Check all requests of a run.

    Args:
        running: The system with all runs of its backend servers.
        sent: All requests with what their callers got.

    Returns:
        One line for each broken promise.
    """
    sent_by_id = {item.id: item for item in sent}
    servers_by_id: dict[str, list[str]] = collections.defaultdict(list)
    found: list[str] = []
    for server in running.servers:
        for run in server.runs:
            servers_by_id[run.request_id].append(server.standin.server)
            origin = sent_by_id.get(run.request_id)
            if origin is None:
                found.append(f"{run.request_id}: run, but no caller sent it")
                continue
            found += _altered(run.path, run.body, run.headers, origin)
    for item in sent:
        found += _wrong_answer(item, servers_by_id[item.id])
    return found


def _altered(path: str, body: bytes, fields: dict[str, str], origin: callers.Sent) -> list[str]:
    found = []
    if (path, body) != (origin.path, origin.body):
        found.append(f"{origin.id}: run with another path or body")
    if headers.AUTHORIZATION.decode() in fields:
        found.append(f"{origin.id}: the caller's key reached a backend server")
    if fields.get(headers.ORGANISATION.decode()) != documents.ORGANISATION:
        found.append(f"{origin.id}: run for another organisation")
    return found


def _wrong_answer(item: callers.Sent, ran_at: list[str]) -> list[str]:
    found = []
    if item.once and len(ran_at) > 1:
        found.append(f"{item.id}: ran {len(ran_at)} times at {ran_at}")
    if item.once and item.status in NOT_RUN and ran_at:
        found.append(f"{item.id}: answered {item.status} at {item.front} and ran at {ran_at}")
    if item.status in DENIALS:
        found.append(f"{item.id}: {item.path} denied with {item.status} at {item.front}")
    if item.status is None:
        return found
    if item.complete and item.fields.get(headers.REQUEST_ID.decode(), item.id) != item.id:
        found.append(f"{item.id}: got the answer of another request")
    seal = item.fields.get(headers.SEAL.decode())
    if item.status != 200:
        if seal is not None and item.status != 500:
            found.append(f"{item.id}: {item.status} with the seal of a backend server")
        return found
    if seal not in {f"seal-{server}" for server in ran_at}:
        found.append(f"{item.id}: success with the seal {seal}, ran at {ran_at}")
    if item.path.startswith("/stream/"):
        if not callers.WHOLE_STREAM.startswith(item.answer):
            found.append(f"{item.id}: events are missing, doubled or out of order")
        elif item.complete and item.answer != callers.WHOLE_STREAM:
            found.append(f"{item.id}: a stream that ended early looks complete")
    elif item.complete:
        whole = {"server": (seal or "").removeprefix("seal-"), "echo": len(item.body)}
        if json.loads(item.answer) != whole:
            found.append(f"{item.id}: another body than the backend server's")
    return found
