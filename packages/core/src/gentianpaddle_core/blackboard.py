"""Blackboards: the shared state of one process, which its controllers read and write.

Only the event loop of the process touches a blackboard, so it needs no locks.
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
    """State of an agent."""

    own: settings.AgentSettings
    """Settings."""
    incarnation: ids.Incarnation
    """Number of this process start."""
    capacity: capacity.Capacity
    """Limit and grants."""
    ledger: ledger.AttemptLedger
    """Attempts."""
    configuration: configuration.ConfigurationState
    """Configuration in force."""
    exchanger: digest.Exchanger
    """Members, crash records and the exchange."""
    quarantine: quarantine.Quarantine
    """Requests that crash backend servers."""
    crash_version: int = 0
    """Rises with each change of the quarantine, so that changes are sent once."""
    in_progress_at_break: frozenset[ids.Fingerprint] = frozenset()
    """Requests in progress when a call broke, until the next health check judges it."""
    leaving: bool = False
    """Whether the process is being stopped."""
    order_in_progress: bool = False
    """Whether an order is being carried out, during which no health check ends a suspension."""
    out_revision: ids.Revision = _NO_REVISION
    """Highest revision that an entry reported."""
    out_by_entry: bool = False
    """Whether this VM is out of service in `out_revision`."""
    engine_incarnation: int = 0
    """Last reported incarnation of the backend server, 0 before the first report."""
    step_s: float = 0.0
    """Last reported step time in seconds."""
    waiting_tokens: int = 0
    """Tokens that wait for prefill at the backend server."""

    def is_out(self) -> bool:
        """Tell whether operators took this VM or its data centre out of service.

        Returns:
            What the highest known revision says.
        """
        if self.out_revision > self.configuration.document.revision:
            return self.out_by_entry
        declaration = self.configuration.declaration
        process = self.own.process
        return declaration is not None and (
            process.vm in declaration.vms_out or process.data_centre in declaration.data_centres_out
        )


@dataclasses.dataclass(slots=True)
class EntryBlackboard:
    """State of an entry."""

    own: settings.EntrySettings
    """Settings."""
    incarnation: ids.Incarnation
    """Number of this process start."""
    router: routing.Router
    """Choice of backend servers."""
    admission: admission.AdmissionQueue
    """Waiting requests."""
    budget: retries.RetryBudget
    """Retry budget."""
    configuration: configuration.ConfigurationState
    """Configuration in force."""
    exchanger: digest.Exchanger
    """Members, crash records and the exchange."""
    quarantine: quarantine.Quarantine
    """Requests that crash backend servers."""
    crash_version: int = 0
    """Rises with each change of the quarantine, so that changes are sent once."""
    vm_by_backend_server: dict[ids.BackendServerId, ids.VmId] = dataclasses.field(
        default_factory=dict
    )
    """VM of each linked backend server."""
    revision_by_agent: dict[ids.VmId, ids.Revision] = dataclasses.field(default_factory=dict)
    """Revision that each linked agent confirmed."""
    in_progress: int = 0
    """Requests accepted and not finished."""
    retrying_by_model: collections.Counter[ids.ModelName] = dataclasses.field(
        default_factory=collections.Counter
    )
    """Requests that wait outside the queue for another attempt."""
