"""Which nodes watch the store on behalf of the others.

The watchers of a failure domain are the nodes with the highest hashes of domain and node id
among its members (rendezvous hashing). No lease guards this: while views differ a few more or
fewer nodes watch, which is harmless because configurations only move forward.
"""

from collections.abc import Iterable

import xxhash

from gooseberrydock import defaults
from gooseberrydock.members import Member, MemberState


def is_watcher(local_member: Member, members: Iterable[Member]) -> bool:
    """Say whether this node watches the store for its failure domain."""
    mine = _score(local_member)
    better = sum(
        1
        for member in members
        if member.failure_domain == local_member.failure_domain
        and member.state is MemberState.ALIVE
        and member.node_id != local_member.node_id
        and _score(member) > mine
    )
    return better < defaults.WATCHERS_PER_DOMAIN


def _score(member: Member) -> int:
    return xxhash.xxh3_64_intdigest(f"{member.failure_domain}\0{member.node_id}".encode())
