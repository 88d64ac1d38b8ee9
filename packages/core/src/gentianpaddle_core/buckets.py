"""Assignment of member records to buckets, and the hash that summarises each bucket.

Peers compare the bucket hashes to find the records in which their tables differ.
"""

from __future__ import annotations

import hashlib

from gentianpaddle_core import ids

BUCKET_COUNT = 32
"""Number of buckets."""
CACHE_LIMIT = 16_384
"""Maximum number of VMs in the cache; the cache is cleared when it is full."""

_bucket_by_vm: dict[ids.VmId, int] = {}


def bucket_of(vm: ids.VmId) -> int:
    """Return the bucket of a member.

    Args:
        vm: Name of the VM.

    Returns:
        Index from 0 to `BUCKET_COUNT` - 1, equal in every process.
    """
    bucket = _bucket_by_vm.get(vm)
    if bucket is None:
        if len(_bucket_by_vm) >= CACHE_LIMIT:
            _bucket_by_vm.clear()
        digest = hashlib.blake2b(vm.encode(), digest_size=2).digest()
        bucket = _bucket_by_vm[vm] = int.from_bytes(digest, "big") % BUCKET_COUNT
    return bucket


def record_hash(vm: ids.VmId, incarnation: ids.Incarnation, state: int) -> int:
    """Return the hash of a record without its heartbeat.

    The hash of a bucket is the XOR of the hashes of its records.

    Args:
        vm: Name of the VM.
        incarnation: Number of the process start.
        state: Numeric value of the state.

    Returns:
        Hash from 0 to 2 ** 32 - 1.
    """
    text = f"{vm}\0{incarnation}\0{state:d}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=4).digest(), "big")
