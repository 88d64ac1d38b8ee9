"""Claims of non-idempotent calls as one object for each key."""

from __future__ import annotations

import asyncio
import base64
import hashlib
import json
import typing
import uuid
from concurrent import futures

from gentianpaddle_core import ids, object_api, outcomes

from gentianpaddle_daemon.entry import claiming

PREFIX = "claims/"


class ObjectClaims:
    """Claims kept by create-if-absent and conditional updates of one object per key."""

    def __init__(self, store: object_api.ObjectApi, threads: futures.Executor) -> None:
        self._store = store
        self._threads = threads

    async def claim(self, wanted: claiming.ClaimRequest) -> claiming.ClaimResult:
        """Claim a key; see `claiming.Claims`."""
        found = await self._get(wanted.key)
        if isinstance(found, object_api.StoreUnavailable):
            return claiming.NotClaimed(found.message)
        version = object_api.ABSENT_VERSION
        if isinstance(found, object_api.StoredObject):
            held = _decode(wanted.key, found.value)
            if not isinstance(held, claiming.Free):
                return held
            version = found.version
        written = await self._put(wanted, "claimed", None, version)
        match written:
            case object_api.Written():
                return claiming.Won(wanted.attempt)
            case object_api.VersionConflict():
                return await self._after_conflict(wanted.key)
            case object_api.AnswerLost():
                return claiming.Unsettled(written.message)
        return claiming.NotClaimed(written.message)

    async def finish(self, claim: claiming.ClaimRequest, outcome: outcomes.Done) -> bool:
        """Record an outcome; see `claiming.Claims`."""
        return await self._replace(claim, "done", outcome)

    async def release(self, claim: claiming.ClaimRequest) -> bool:
        """Release a claim; see `claiming.Claims`."""
        return await self._replace(claim, "free", None)

    async def look_up(self, key: ids.RequestKey) -> claiming.LookUpResult:
        """Return what is known about a key; see `claiming.Claims`."""
        found = await self._get(key)
        if isinstance(found, object_api.StoreUnavailable):
            return claiming.NotClaimed(found.message)
        if isinstance(found, object_api.Absent):
            return claiming.Free()
        return _decode(key, found.value)

    async def _after_conflict(self, key: ids.RequestKey) -> claiming.ClaimResult:
        found = await self.look_up(key)
        if isinstance(found, claiming.Free):
            return claiming.NotClaimed("another claim of this key was released just now")
        return found

    async def _replace(
        self, claim: claiming.ClaimRequest, state: str, outcome: outcomes.Done | None
    ) -> bool:
        found = await self._get(claim.key)
        if not isinstance(found, object_api.StoredObject):
            return False
        held = _decode(claim.key, found.value)
        if isinstance(held, claiming.Finished):
            return True
        if isinstance(held, claiming.Held) and held.claim != claim:
            return True
        written = await self._put(claim, state, outcome, found.version)
        return isinstance(written, object_api.Written)

    async def _get(self, key: ids.RequestKey) -> object_api.GetResult:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._threads, self._store.get, _object_key(key))

    async def _put(
        self,
        claim: claiming.ClaimRequest,
        state: str,
        outcome: outcomes.Done | None,
        version: int,
    ) -> object_api.PutResult:
        value = _encode(claim, state, outcome)
        loop = asyncio.get_running_loop()
        key = _object_key(claim.key)
        return await loop.run_in_executor(self._threads, self._store.put, key, value, version)


def _object_key(key: ids.RequestKey) -> str:
    return PREFIX + hashlib.blake2b(key.encode(), digest_size=16).hexdigest()


def _encode(claim: claiming.ClaimRequest, state: str, outcome: outcomes.Done | None) -> bytes:
    document: dict[str, typing.Any] = {
        "state": state,
        "fingerprint": claim.fingerprint,
        "attempt": claim.attempt,
        "agent": claim.agent,
        "incarnation": claim.incarnation,
        # Makes the value unique to this write, so that a lost answer can be settled.
        "write": uuid.uuid4().hex,
    }
    if outcome is not None:
        document["status"] = outcome.http_status
        document["content_type"] = outcome.content_type
        document["body"] = base64.b64encode(outcome.body).decode()
    return json.dumps(document).encode()


def _decode(key: ids.RequestKey, value: bytes) -> claiming.Finished | claiming.Held | claiming.Free:
    document = json.loads(value)
    fingerprint = ids.Fingerprint(document["fingerprint"])
    if document["state"] == "free":
        return claiming.Free()
    if document["state"] == "done":
        body = base64.b64decode(document["body"])
        done = outcomes.Done(body, document["content_type"], document["status"])
        return claiming.Finished(fingerprint, done)
    return claiming.Held(
        claiming.ClaimRequest(
            key,
            fingerprint,
            ids.Attempt(document["attempt"]),
            ids.VmId(document["agent"]),
            ids.Incarnation(document["incarnation"]),
        )
    )
