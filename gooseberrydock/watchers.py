"""Selection of the nodes that watch the key-value service on behalf of their failure domain.

The watchers of a failure domain are the nodes with the highest hashes of domain and node id among
its members (rendezvous hashing). The selection needs no lease: while member tables differ, a few
more or fewer nodes watch, which is harmless because the configuration generation never decreases.
"""

from collections.abc import Iterable

import xxhash

from gooseberrydock import defaults
from gooseberrydock.members import Member, MemberState


def is_watcher(
    local_member: Member,
    members: Iterable[Member],
    watchers_per_domain: int = defaults.WATCHERS_PER_DOMAIN,
) -> bool:
    """Return whether this node watches the key-value service for its failure domain."""
    local_score = _score(local_member)
    higher_ranked = sum(
        1
        for member in members
        if member.failure_domain == local_member.failure_domain
        and member.state is MemberState.ALIVE
        and member.node_id != local_member.node_id
        and _score(member) > local_score
    )
    return higher_ranked < watchers_per_domain


def outranks(member: Member, other: Member) -> bool:
    """Return whether a member is chosen as a watcher of its failure domain before another one."""
    return _score(member) > _score(other)


def _score(member: Member) -> int:
    return xxhash.xxh3_64_intdigest(f"{member.failure_domain}\0{member.node_id}".encode())
