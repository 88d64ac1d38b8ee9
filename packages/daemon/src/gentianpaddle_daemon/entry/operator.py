"""HTTP routes for operators, owners and health probes: all but requests to models and services."""

from __future__ import annotations

import http
import json
import time
import typing
import urllib.parse

from gentianpaddle_core import (
    blackboard,
    configuration,
    day_figures,
    declarations,
    ids,
    membership,
    out_section,
    outcomes,
)
from gentianpaddle_daemon import loop_thread, metrics, security, store_client
from gentianpaddle_daemon.entry import (
    claiming,
    configuration_watch,
    day_figures_store,
    front,
    recent_outcomes,
    responses,
)

CHANGE_TIMEOUT_S = 15.0
LOOK_UP_TIMEOUT_S = 5.0
MAX_CHANGE_ATTEMPTS = 3
DOCUMENT_LIMIT_BYTES = 1_000_000
REQUESTS_PREFIX = "/v1/requests/"
PLACE_NAMES = "names of data centres and VMs"


class Routes:
    """Answers HTTP requests on the serving threads; changes of state run on the event loop."""

    def __init__(
        self,
        board: blackboard.EntryBlackboard,
        loop: loop_thread.LoopThread,
        watch: configuration_watch.ConfigurationWatch,
        known: recent_outcomes.RecentOutcomes,
        claims: claiming.Claims,
        process_metrics: metrics.Metrics,
        store: store_client.StoreClient,
        statistics: day_figures_store.DayFiguresStore,
        entry_list: typing.Callable[[str], dict[str, typing.Any]],
        report: typing.Callable[[str, str], responses.Response],
    ) -> None:
        self._board = board
        self._loop = loop
        self._watch = watch
        self._latest_outcomes = known
        self._claims = claims
        self._metrics = process_metrics
        self._store = store
        self._day_figures_store = statistics
        self._entry_list = entry_list
        self._report = report

    def handle(
        self, method: str, path: str, query: str, environ: front.Environ
    ) -> responses.Response:
        """Answer one HTTP request.

        Args:
            method: HTTP method.
            path: Path without its query.
            query: Query string.
            environ: WSGI environment.

        Returns:
            The response.
        """
        if path.startswith("/v1/operator/") or path == "/report":
            if not self._is_operator(environ):
                return _error(http.HTTPStatus.UNAUTHORIZED, "unauthorized", "operator token needed")
            return self._operator(method, path, query, environ)
        if method != "GET":
            return _error(http.HTTPStatus.METHOD_NOT_ALLOWED, "method", "use GET")
        if path == "/v1/entries":
            data_centre = urllib.parse.parse_qs(query).get("data_centre", [""])[0]
            return responses.json_response(http.HTTPStatus.OK, self._entry_list(data_centre))
        if path.startswith(REQUESTS_PREFIX):
            return self._request_state(path.removeprefix(REQUESTS_PREFIX), environ)
        if path == "/metrics":
            self._metrics.set_store_calls(
                {kind.value: calls for kind, calls in self._store.calls_by_kind.items()}
            )
            content, content_type = self._metrics.render()
            return responses.Response(http.HTTPStatus.OK, content, content_type)
        if path == "/healthz":
            return responses.json_response(http.HTTPStatus.OK, {"alive": True})
        if path == "/readyz":
            ready = self._board.configuration.declaration is not None
            status = http.HTTPStatus.OK if ready else http.HTTPStatus.SERVICE_UNAVAILABLE
            return responses.json_response(status, {"ready": ready})
        return _error(http.HTTPStatus.NOT_FOUND, "not_found", "no such route")

    def _operator(
        self, method: str, path: str, query: str, environ: front.Environ
    ) -> responses.Response:
        route = (method, path)
        if route == ("GET", "/report"):
            fields = urllib.parse.parse_qs(query)
            date = fields.get("date", [time.strftime("%Y-%m-%d")])[0]
            return self._report(date, fields.get("format", ["html"])[0])
        if route == ("GET", "/v1/operator/configuration"):
            document = self._board.configuration.document
            payload = {"revision": document.revision, "document": document.text}
            return responses.json_response(http.HTTPStatus.OK, payload)
        if route == ("GET", "/v1/operator/status"):
            return responses.json_response(http.HTTPStatus.OK, self._status())
        if route == ("PUT", "/v1/operator/configuration"):
            return self._replace_configuration(environ)
        if route in (("POST", "/v1/operator/out"), ("POST", "/v1/operator/back")):
            return self._change_places(path.rpartition("/")[2], environ)
        return _error(http.HTTPStatus.NOT_FOUND, "not_found", "no such route")

    def _replace_configuration(self, environ: front.Environ) -> responses.Response:
        body = front.read_body(environ, DOCUMENT_LIMIT_BYTES)
        if isinstance(body, outcomes.Refused):
            return responses.outcome_response("", body)
        base = str(environ.get("HTTP_IF_MATCH", "")).strip('"')
        if not base.isdigit():
            return _error(http.HTTPStatus.BAD_REQUEST, "base_required", "If-Match: a revision")
        try:
            text = configuration.without_history(body.decode())
        except UnicodeDecodeError:
            return _error(http.HTTPStatus.BAD_REQUEST, "bad_encoding", "the document must be UTF-8")
        current = self._board.configuration.declaration
        if current is not None and isinstance(declarations.parse(text), declarations.Accepted):
            text = out_section.with_present_out_section(text, current)
        change = self._watch.change(ids.Revision(int(base)), text)
        result = self._loop.run_and_wait(change, CHANGE_TIMEOUT_S)
        if isinstance(result, configuration.ChangeAccepted):
            self._record_operator_event(result, "configuration changed")
        return _change_response(result)

    def _change_places(self, action: str, environ: front.Environ) -> responses.Response:
        body = front.read_body(environ, DOCUMENT_LIMIT_BYTES)
        place_names = _parse_places(body) if isinstance(body, bytes) else None
        if place_names is None:
            return _error(
                http.HTTPStatus.BAD_REQUEST, "bad_body", f"a JSON object with {PLACE_NAMES}"
            )
        unknown = self._unknown_vms(place_names[1]) if action == "out" else []
        if unknown:
            status = http.HTTPStatus.UNPROCESSABLE_ENTITY
            message = f"no such VM: {', '.join(unknown)}"
            return _error(status, "unknown_vm", message)
        result: configuration.ChangeResult | None = None
        # Taking a place out commutes with other changes, so on a conflict the change is applied to
        # the new revision.
        for _ in range(MAX_CHANGE_ATTEMPTS):
            document = self._board.configuration.document
            declaration = self._board.configuration.declaration
            if declaration is None:
                return _error(
                    http.HTTPStatus.SERVICE_UNAVAILABLE,
                    "not_ready",
                    "no configuration is in force yet",
                )
            text = _document_with_places(document.text, declaration, action, *place_names)
            change = self._watch.change(document.revision, text)
            result = self._loop.run_and_wait(change, CHANGE_TIMEOUT_S)
            if not isinstance(result, configuration.ChangeConflict):
                break
        assert result is not None, "at least one try was made"
        if isinstance(result, configuration.ChangeAccepted):
            self._record_operator_event(
                result, f"{', '.join((*place_names[0], *place_names[1]))}: {action}"
            )
        return _change_response(result)

    def _unknown_vms(self, vms: tuple[str, ...]) -> list[str]:
        # A mistyped name would be reported as out while the intended VM continues to serve.
        known = {str(record.vm) for record in list(self._board.exchanger.table.records())}
        return sorted(set(vms) - known)

    def _record_operator_event(self, accepted: configuration.ChangeAccepted, text: str) -> None:
        event_id = f"revision-{accepted.document.revision}"
        self._loop.call_soon(
            self._day_figures_store.record_event, event_id, day_figures.EventKind.OPERATOR, text
        )

    def _status(self) -> dict[str, typing.Any]:
        board = self._board
        declaration = board.configuration.declaration
        revision = board.configuration.document.revision
        out: list[str] = []
        if declaration is not None:
            out = sorted((*declaration.data_centres_out, *declaration.vms_out))
        members = [
            self._member_status(record, revision)
            for record in sorted(board.exchanger.table.records(), key=lambda item: item.vm)
            if record.state is not membership.State.DEAD
        ]
        return {"revision": revision, "out": out, "members": members}

    def _member_status(
        self, record: membership.MemberRecord, revision: ids.Revision
    ) -> dict[str, typing.Any]:
        is_own_vm = record.vm == self._board.own_settings.process.vm
        known = self._board.exchanger.revision_of(record.vm)
        reported = self._board.revision_by_agent.get(record.vm, ids.Revision(0))
        confirmed = revision if is_own_vm else max(known, reported)
        return {
            "vm": record.vm,
            "role": record.role.name.lower(),
            "data_centre": record.data_centre,
            "state": record.state.name.lower(),
            "revision": confirmed,
            "confirmed": confirmed >= revision,
        }

    def _request_state(self, key: str, environ: front.Environ) -> responses.Response:
        organisation = self._organisation(environ)
        name = urllib.parse.unquote(key)
        if organisation is None or not name.startswith(f"{organisation}/"):
            return _error(http.HTTPStatus.NOT_FOUND, "unknown_key", "no such request")
        request_key = ids.RequestKey(name)
        found = self._loop.run_and_wait(self._claims.look_up(request_key), LOOK_UP_TIMEOUT_S)
        if isinstance(found, claiming.Finished):
            return responses.outcome_response(name, found.outcome)
        if isinstance(found, claiming.Held):
            held = outcomes.Unknown("in_progress", "the result is not known yet", 1.0)
            return responses.outcome_response(name, held)
        outcome = self._latest_outcomes.get(request_key)
        if outcome is None or isinstance(outcome, outcomes.Done):
            return _error(http.HTTPStatus.NOT_FOUND, "unknown_key", "no such request here")
        return responses.outcome_response(name, outcome)

    def _organisation(self, environ: front.Environ) -> ids.OrganisationId | None:
        declaration = self._board.configuration.declaration
        if declaration is None:
            return None
        return front.organisation_of(environ, declaration)

    def _is_operator(self, environ: front.Environ) -> bool:
        offered = str(environ.get("HTTP_AUTHORIZATION", "")).removeprefix("Bearer ")
        return security.is_accepted_token(offered, self._board.own_settings.operator_tokens)


def _parse_places(body: bytes) -> tuple[tuple[str, ...], tuple[str, ...]] | None:
    try:
        payload = json.loads(body)
        centres, vms = payload.get("data_centres", []), payload.get("vms", [])
    except (ValueError, AttributeError):
        return None
    names = [*centres, *vms] if isinstance(centres, list) and isinstance(vms, list) else []
    if not names or not all(isinstance(name, str) for name in names):
        return None
    return tuple(centres), tuple(vms)


def _document_with_places(
    text: str,
    current: declarations.Declaration,
    action: str,
    centres: tuple[str, ...],
    vms: tuple[str, ...],
) -> str:
    centres_out, vms_out = set(current.data_centres_out), set(current.vms_out)
    if action == "out":
        centres_out |= set(map(ids.DataCentreId, centres))
        vms_out |= set(map(ids.VmId, vms))
    else:
        centres_out -= set(map(ids.DataCentreId, centres))
        vms_out -= set(map(ids.VmId, vms))
    return out_section.with_out_section(configuration.without_history(text), centres_out, vms_out)


def _change_response(result: configuration.ChangeResult) -> responses.Response:
    match result:
        case configuration.ChangeAccepted(document, superseded):
            payload = {"revision": document.revision, "superseded": superseded}
            return responses.json_response(http.HTTPStatus.OK, payload)
        case configuration.ChangeConflict(document, differences, more):
            changed = [f"{d.key}: {d.base or '-'} -> {d.current or '-'}" for d in differences]
            message = f"revision {document.revision} is in force; {more} more differences"
            return _error(http.HTTPStatus.CONFLICT, "conflict", message, changed)
        case configuration.ChangeInvalid(found):
            listed = [str(mistake) for mistake in found]
            status = http.HTTPStatus.UNPROCESSABLE_ENTITY
            return _error(status, "mistakes", "the document has mistakes", listed)
        case configuration.ChangeNotAccepted(message):
            return _error(http.HTTPStatus.SERVICE_UNAVAILABLE, "not_accepted", message)
    return _error(http.HTTPStatus.GATEWAY_TIMEOUT, "unknown", result.message)


def _error(
    status: http.HTTPStatus, code: str, message: str, changed: list[str] | None = None
) -> responses.Response:
    error = {"code": code, "message": message, "changed": changed or []}
    return responses.json_response(status, {"error": error})
