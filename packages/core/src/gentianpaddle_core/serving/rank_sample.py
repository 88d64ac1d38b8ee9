"""Choice of the ranks of a group whose expert counts are read.

Load pattern: reading the counts of hundreds of ranks several times per second takes more time and
bandwidth than the coordinator's VM has, so that maps change too late or never. Requests are spread
over all ranks, so the counts of a part of them show the demand.
"""

from __future__ import annotations

from collections.abc import Sequence

from gentianpaddle_core import ids, rendezvous
from gentianpaddle_core.serving import members

MAX_SAMPLED_RANKS = 48
"""Maximum number of ranks in the sample, unless there are more data centres than that."""


def choose(candidates: Sequence[members.Member], epoch: int) -> list[members.Member]:
    """Choose the VMs whose engines are read.

    The sample stays the same while the candidates do: a rank returns what was added since it was
    read last, which has to be the same time for all. Each data centre has an equal part, because
    callers of different data centres may ask for different things.

    Args:
        candidates: VMs with engines of the group.
        epoch: Epoch of the group; another one gives another sample.
    """
    member_by_vm_by_data_centre: dict[ids.DataCentreId, dict[str, members.Member]] = {}
    for member in candidates:
        member_by_vm_by_data_centre.setdefault(member.data_centre, {})[member.vm] = member
    if len(candidates) <= MAX_SAMPLED_RANKS:
        return list(candidates)
    part = max(1, MAX_SAMPLED_RANKS // len(member_by_vm_by_data_centre))
    return [
        member_by_vm[vm]
        for member_by_vm in member_by_vm_by_data_centre.values()
        for vm in rendezvous.choose(f"sample {epoch}", member_by_vm, part)
    ]
