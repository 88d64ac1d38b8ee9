"""Blackboards: state of one process that its controllers share.

Only the event loop of the process accesses a blackboard, so no locks are needed.
"""

from __future__ import annotations

import collections
import dataclasses

from gentianpaddle_core import (
    admission,
    capacity,
    configuration,
    digest,
    ids,
    ledger,
    quarantine,
    retries,
    routing,
    settings,
)

_NO_REVISION = ids.Revision(0)


@dataclasses.dataclass(slots=True)
class AgentBlackboard:
    """Shared state of an agent process."""

    own_settings: settings.AgentSettings
    """Settings of this process."""
    incarnation: ids.Incarnation
    """Number of this process start."""
    capacity: capacity.Capacity
    """Limit of concurrent attempts at the backend server, and grants to entries."""
    ledger: ledger.AttemptLedger
    """Ledger of the attempts of this agent."""
    configuration: configuration.ConfigurationState
    """Configuration in force."""
    exchanger: digest.Exchanger
    """Digest exchange with the membership table and the crash records."""
    quarantine: quarantine.Quarantine
    """Quarantine of requests that crash backend servers."""
    quarantine_version: int = 0
    """Version of the quarantine, increased with each change so that changes are sent once."""
    in_progress_at_backend_failure: frozenset[ids.Fingerprint] = frozenset()
    """Requests in progress when a backend call broke off, kept until the next health check."""
    leaving: bool = False
    """Whether the process is shutting down."""
    order_in_progress: bool = False
    """Whether an order is being carried out; meanwhile no health check ends a suspension."""
    out_revision: ids.Revision = _NO_REVISION
    """Highest configuration revision that an entry reported."""
    is_out_by_entry: bool = False
    """Whether this VM is out of service in `out_revision`."""
    engine_incarnation: int = 0
    """Last reported incarnation of the backend server, 0 before the first report."""
    step_s: float = 0.0
    """Last reported step time of the backend server, in seconds."""
    waiting_tokens: int = 0
    """Number of tokens that wait for prefill at the backend server."""

    def is_out_of_service(self) -> bool:
        """Return whether operators have taken this VM or its data centre out of service.

        Returns:
            Value according to the highest known configuration revision.
        """
        if self.out_revision > self.configuration.document.revision:
            return self.is_out_by_entry
        declaration = self.configuration.declaration
        process = self.own_settings.process
        return declaration is not None and (
            process.vm in declaration.vms_out or process.data_centre in declaration.data_centres_out
        )


@dataclasses.dataclass(slots=True)
class EntryBlackboard:
    """Shared state of an entry process."""

    own_settings: settings.EntrySettings
    """Settings of this process."""
    incarnation: ids.Incarnation
    """Number of this process start."""
    router: routing.Router
    """Router that selects backend servers."""
    admission: admission.AdmissionQueue
    """Queue of the waiting requests."""
    budget: retries.RetryBudget
    """Retry budget."""
    configuration: configuration.ConfigurationState
    """Configuration in force."""
    exchanger: digest.Exchanger
    """Digest exchange with the membership table and the crash records."""
    quarantine: quarantine.Quarantine
    """Quarantine of requests that crash backend servers."""
    quarantine_version: int = 0
    """Version of the quarantine, increased with each change so that changes are sent once."""
    vm_by_backend_server: dict[ids.BackendServerId, ids.VmId] = dataclasses.field(
        default_factory=dict
    )
    """VM of each backend server whose agent is connected."""
    revision_by_agent: dict[ids.VmId, ids.Revision] = dataclasses.field(default_factory=dict)
    """Configuration revision that each connected agent has confirmed."""
    in_progress: int = 0
    """Number of accepted requests that are not finished."""
    retrying_by_model: collections.Counter[ids.ModelName] = dataclasses.field(
        default_factory=collections.Counter
    )
    """Number of requests per model that wait outside the queue for another attempt."""
