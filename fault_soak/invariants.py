"""Checks of the platform's guarantees against the requests and runs recorded in a soak run."""

from __future__ import annotations

import collections
import json

from gentianpaddle_platform_standins import documents

from fault_soak import callers, system
from gentianpaddle_platform import headers

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that guarantee that a request has not run and will not run."""

CLIENT_ERROR_STATUSES = (400, 401, 403, 404, 405)
"""Client error statuses, which no request here may get since all of them are valid."""


def find_violations(sut: system.System, records: list[callers.RequestRecord]) -> list[str]:
    """Check all requests of a soak run.

    Args:
        sut: System under test, with the runs recorded by its backend servers.
        records: Records of all requests and their responses.

    Returns:
        One line for each violation.
    """
    records_by_id = {record.id: record for record in records}
    servers_by_id: dict[str, list[str]] = collections.defaultdict(list)
    violations: list[str] = []
    for server in sut.servers:
        for run in server.runs:
            servers_by_id[run.request_id].append(server.standin.server)
            original = records_by_id.get(run.request_id)
            if original is None:
                violations.append(f"{run.request_id}: ran, but no caller sent it")
                continue
            violations += _check_run(run.path, run.body, run.headers, original)
    for record in records:
        violations += _check_response(record, servers_by_id[record.id])
    return violations


def _check_run(
    path: str, body: bytes, run_headers: dict[str, str], record: callers.RequestRecord
) -> list[str]:
    violations = []
    if (path, body) != (record.path, record.body):
        violations.append(f"{record.id}: ran with a different path or body")
    if headers.AUTHORIZATION.decode() in run_headers:
        violations.append(f"{record.id}: the caller's key reached a backend server")
    if run_headers.get(headers.ORGANISATION.decode()) != documents.ORGANISATION:
        violations.append(f"{record.id}: ran for a different organisation")
    return violations


def _check_response(record: callers.RequestRecord, run_servers: list[str]) -> list[str]:
    violations = []
    if record.at_most_once and len(run_servers) > 1:
        violations.append(f"{record.id}: ran {len(run_servers)} times at {run_servers}")
    if record.at_most_once and record.status in NOT_RUN_STATUSES and run_servers:
        violations.append(
            f"{record.id}: answered {record.status} at {record.front_host} and ran at {run_servers}"
        )
    if record.status in CLIENT_ERROR_STATUSES:
        violations.append(
            f"{record.id}: {record.path} denied with {record.status} at {record.front_host}"
        )
    if record.status is None:
        return violations
    if (
        record.complete
        and record.response_headers.get(headers.REQUEST_ID.decode(), record.id) != record.id
    ):
        violations.append(f"{record.id}: got the response to a different request")
    seal = record.response_headers.get(headers.RESPONSE_SIGNATURE.decode())
    if record.status != 200:
        if seal is not None and record.status != 500:
            violations.append(f"{record.id}: {record.status} with the seal of a backend server")
        return violations
    if seal not in {f"seal-{server}" for server in run_servers}:
        violations.append(f"{record.id}: success with the seal {seal}, ran at {run_servers}")
    if record.path.startswith("/stream/"):
        if not callers.COMPLETE_STREAM.startswith(record.response_body):
            violations.append(f"{record.id}: events are missing, duplicated or out of order")
        elif record.complete and record.response_body != callers.COMPLETE_STREAM:
            violations.append(f"{record.id}: a stream that ended early looks complete")
    elif record.complete:
        expected_body = {"server": (seal or "").removeprefix("seal-"), "echo": len(record.body)}
        if json.loads(record.response_body) != expected_body:
            violations.append(f"{record.id}: response body differs from that of the backend server")
    return violations
