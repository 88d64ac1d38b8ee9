"""Parsing and validation of requests from callers, before any backend server is involved."""

from __future__ import annotations

import dataclasses
import hashlib
import http
import json
import typing
import uuid

from gentianpaddle_core import declarations, ids, outcomes

KEY_LENGTH_LIMIT = 200
PATH_LENGTH_LIMIT = 2_000
CHARACTERS_PER_TOKEN = 4
DEFAULT_ANSWER_TOKENS = 256
ANSWER_TOKENS_LIMIT = 32_768
CHAT_PATH = "/v1/chat/completions"
SERVICES_PREFIX = "/v1/services/"


@dataclasses.dataclass(frozen=True, slots=True)
class RawRequest:
    """An unchecked request as received over HTTP."""

    method: str
    """HTTP method."""
    path: str
    """Path including the query string."""
    authorization: str
    """Value of `Authorization`, empty when absent."""
    class_name: str
    """Value of `Gentianpaddle-Class`, empty when absent."""
    idempotency_key: str
    """Value of `Idempotency-Key`, empty when absent."""
    content_type: str
    """Media type of the body."""
    body: bytes
    """Complete body."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A validated request."""

    key: ids.RequestKey
    """Key that identifies the request at agents and in the claim log.

    It is the idempotency key scoped to the organisation. For an idempotent request it has a suffix
    that is unique to the submission.
    """
    fingerprint: ids.Fingerprint
    """Digest of organisation, method, path and body."""
    organisation: ids.OrganisationId
    """Organisation that sent the request."""
    work_class: declarations.ClassOfWork
    """Class of work, with its target and deadline."""
    target: ids.ModelName
    """Name of the model or service."""
    method: str
    """HTTP method to use at the backend server."""
    path: str
    """Path to request at the backend server."""
    body: bytes
    """Body to send to the backend server."""
    content_type: str
    """Media type of the body."""
    is_chat: bool
    """Whether this is a chat completion, which the backend server answers with a token stream."""
    streamed: bool
    """Whether the caller wants the tokens as server-sent events."""
    idempotent: bool
    """Whether the request may run more than once."""
    prompt: str
    """Text of the prompt, empty for a service."""
    prompt_tokens: int
    """Estimated number of tokens in the prompt."""
    answer_tokens: int
    """Largest number of tokens that the answer may have."""
    received_s: float
    """Monotonic time at which the request was received."""

    @property
    def deadline_s(self) -> float:
        """Monotonic time after which an answer is of no use to the caller."""
        return self.received_s + self.work_class.deadline_s


def parse(
    raw: RawRequest, declaration: declarations.Declaration, now_s: float
) -> CallerRequest | outcomes.Refused:
    """Validate a request of a caller.

    Args:
        raw: Request as received.
        declaration: Declaration in force.
        now_s: Current monotonic time.

    Returns:
        The validated request, or a refusal with a 4xx status.
    """
    organisation = organisation_of(raw.authorization, declaration)
    if organisation is None:
        return _refused("unauthorized", "unknown bearer token", http.HTTPStatus.UNAUTHORIZED)
    work_class = declaration.class_by_name.get(ids.ClassName(raw.class_name))
    if work_class is None:
        known = ", ".join(sorted(declaration.class_by_name))
        return _refused("unknown_class", f"header Gentianpaddle-Class must be one of: {known}")
    if len(raw.idempotency_key) > KEY_LENGTH_LIMIT or not raw.idempotency_key.isprintable():
        return _refused(
            "bad_key", f"Idempotency-Key: up to {KEY_LENGTH_LIMIT} printable characters"
        )
    if len(raw.path) > PATH_LENGTH_LIMIT:
        return _refused(
            "path_too_long", "the path is too long", http.HTTPStatus.REQUEST_URI_TOO_LONG
        )
    if raw.path.partition("?")[0] == CHAT_PATH:
        return _parse_chat(raw, declaration, organisation, work_class, now_s)
    return _parse_service(raw, declaration, organisation, work_class, now_s)


def scoped_key(organisation: ids.OrganisationId, idempotency_key: str) -> ids.RequestKey:
    """Return the request key of a non-idempotent call.

    Args:
        organisation: Organisation that chose the key.
        idempotency_key: Idempotency key as sent by the caller.

    Returns:
        The key prefixed with the organisation, so that keys of two organisations never collide.
    """
    return ids.RequestKey(f"{organisation}/{idempotency_key}")


def organisation_of(
    authorization: str, declaration: declarations.Declaration
) -> ids.OrganisationId | None:
    """Return the organisation that a bearer token belongs to.

    Args:
        authorization: Value of the header `Authorization`.
        declaration: Declaration in force.

    Returns:
        The organisation, None for an unknown token.
    """
    scheme, _, token = authorization.partition(" ")
    if scheme.lower() != "bearer" or not token:
        return None
    digest = hashlib.sha256(token.strip().encode()).hexdigest()
    for organisation in declaration.organisation_by_id.values():
        if digest in organisation.token_sha256:
            return organisation.id
    return None


def _parse_chat(
    raw: RawRequest,
    declaration: declarations.Declaration,
    organisation: ids.OrganisationId,
    work_class: declarations.ClassOfWork,
    now_s: float,
) -> CallerRequest | outcomes.Refused:
    if raw.method != "POST":
        return _refused("method", "use POST", http.HTTPStatus.METHOD_NOT_ALLOWED)
    try:
        body = json.loads(raw.body)
        prompt = _prompt(body)
        # JSON permits an unpaired surrogate, which cannot be encoded as UTF-8.
        prompt.encode()
        answer_tokens = int(body.get("max_tokens", DEFAULT_ANSWER_TOKENS))
        model = ids.ModelName(str(body["model"]))
        streamed = body.get("stream", False)
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return _refused("bad_body", "the body must be a JSON chat completion request")
    if model not in declaration.model_by_name:
        return _refused("unknown_model", f"no such model: {model[:80]}", http.HTTPStatus.NOT_FOUND)
    if not isinstance(streamed, bool) or not 0 < answer_tokens <= ANSWER_TOKENS_LIMIT:
        return _refused("bad_body", f"stream is a boolean, max_tokens 1 to {ANSWER_TOKENS_LIMIT}")
    suffix = uuid.uuid4().hex
    return CallerRequest(
        key=ids.RequestKey(f"{organisation}/{raw.idempotency_key}#{suffix}"),
        fingerprint=_fingerprint(organisation, raw, body),
        organisation=organisation,
        work_class=work_class,
        target=model,
        method="POST",
        path=CHAT_PATH,
        body=raw.body,
        content_type="application/json",
        is_chat=True,
        streamed=streamed,
        idempotent=True,
        prompt=prompt,
        prompt_tokens=max(1, len(prompt) // CHARACTERS_PER_TOKEN),
        answer_tokens=answer_tokens,
        received_s=now_s,
    )


def _parse_service(
    raw: RawRequest,
    declaration: declarations.Declaration,
    organisation: ids.OrganisationId,
    work_class: declarations.ClassOfWork,
    now_s: float,
) -> CallerRequest | outcomes.Refused:
    name, slash, service_path = raw.path.removeprefix(SERVICES_PREFIX).partition("/")
    service = declaration.service_by_name.get(ids.ModelName(name))
    if service is None:
        return _refused(
            "unknown_service", f"no such service: {name[:80]}", http.HTTPStatus.NOT_FOUND
        )
    idempotent = raw.method in service.idempotent_methods
    if not idempotent and not raw.idempotency_key:
        return _refused("key_required", f"{raw.method} to {name} needs an Idempotency-Key header")
    key = scoped_key(organisation, raw.idempotency_key)
    if idempotent:
        key = ids.RequestKey(f"{key}#{uuid.uuid4().hex}")
    return CallerRequest(
        key=key,
        fingerprint=_fingerprint(organisation, raw, None),
        organisation=organisation,
        work_class=work_class,
        target=service.name,
        method=raw.method,
        path=slash + service_path or "/",
        body=raw.body,
        content_type=raw.content_type or "application/octet-stream",
        is_chat=False,
        streamed=False,
        idempotent=idempotent,
        prompt="",
        prompt_tokens=1,
        answer_tokens=1,
        received_s=now_s,
    )


def _prompt(body: dict[str, typing.Any]) -> str:
    messages = body["messages"]
    if not isinstance(messages, list) or not messages:
        raise ValueError("messages must be a non-empty array")
    return "".join(str(message["content"]) for message in messages)


def _fingerprint(
    organisation: ids.OrganisationId, raw: RawRequest, body: dict[str, typing.Any] | None
) -> ids.Fingerprint:
    # A parsed body is normalised: requests that differ only in white space or key order are equal.
    content = raw.body if body is None else json.dumps(body, sort_keys=True).encode()
    parts = (organisation.encode(), raw.method.encode(), raw.path.encode(), content)
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return ids.Fingerprint(digest.hexdigest())


def _refused(
    code: str, message: str, status: http.HTTPStatus = http.HTTPStatus.BAD_REQUEST
) -> outcomes.Refused:
    return outcomes.Refused(code, message, status)
