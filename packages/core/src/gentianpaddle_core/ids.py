"""Identifier types shared by all packages.

Identifiers are distinct types for the type checker and plain values at run time.
"""

from __future__ import annotations

import typing

VmId = typing.NewType("VmId", str)
"""Name of a VM, unique in the fleet."""

BackendServerId = typing.NewType("BackendServerId", str)
"""Name of a backend server, which is reached only through the agent on the same VM."""

DataCentreId = typing.NewType("DataCentreId", str)
"""Name of a data centre."""

RegionId = typing.NewType("RegionId", str)
"""Name of a region, which holds one or more data centres."""

OrganisationId = typing.NewType("OrganisationId", str)
"""Name of an organisation that sends requests."""

RequestKey = typing.NewType("RequestKey", str)
"""Key of a request: the caller's idempotency key with its organisation, or a generated key."""

Fingerprint = typing.NewType("Fingerprint", str)
"""Digest of the content of a request, equal for all copies of the request."""

ClassName = typing.NewType("ClassName", str)
"""Name of a class of work."""

ModelName = typing.NewType("ModelName", str)
"""Name of a model, or of a service without a model."""

GroupId = typing.NewType("GroupId", str)
"""Name of a group of ranks that advance in lock-step."""

RankIndex = typing.NewType("RankIndex", int)
"""Position of a rank in its group, from 0."""

ExpertId = typing.NewType("ExpertId", int)
"""Index of an expert within a layer, from 0."""

Incarnation = typing.NewType("Incarnation", int)
"""Number of a process start; increases with each restart."""

Revision = typing.NewType("Revision", int)
"""Version of the configuration object; never decreases."""

Fence = typing.NewType("Fence", int)
"""Fencing number of a lease; increases with each acquisition."""

Attempt = typing.NewType("Attempt", int)
"""Number of an attempt within its request, from 1."""
