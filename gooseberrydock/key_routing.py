"""Choice of the node for a call: the node of a chosen target, or the owner of the call's key.

Non-idempotent calls go to the node that probably owns their key. A refusal names the node that
may decide about the key, or reports that its owner is unreachable. In the latter case a key that
only this node knows is replaced by a key with another owner.
"""

from typing import Final

from gooseberrydock.attempt_failures import KEY_REPLACEABLE_CODES, AttemptFailure
from gooseberrydock.clock import Millis
from gooseberrydock.errorcodes import KEY_NOT_OWNED, OWNER_LOST
from gooseberrydock.exchanges import Exchange
from gooseberrydock.keys import derive_key
from gooseberrydock.members import Member
from gooseberrydock.routing import RoutingController

_MAX_KEY_REPLACEMENTS: Final = 3
_MAX_KEY_CANDIDATES: Final = 32


def choose_target(now_ms: Millis, routing: RoutingController, exchange: Exchange) -> Member | None:
    """Return the node for an attempt; a non-idempotent call goes to the owner of its key."""
    excluded = frozenset(exchange.tried_nodes)
    if exchange.is_idempotent:
        return routing.choose(now_ms, exchange.service, excluded)
    if exchange.owner_hint:
        return routing.member_by_id(exchange.service, exchange.owner_hint)
    return routing.choose_owner(exchange.service, exchange.idempotency_key, excluded)


def update_owner_hint(exchange: Exchange, node_id: str, failure: AttemptFailure) -> None:
    """Record from a node's refusal which node may decide about the key or is unreachable."""
    exchange.owner_hint = ""
    if failure.code is not KEY_NOT_OWNED:
        exchange.unreachable_nodes.add(failure.peer if failure.code is OWNER_LOST else node_id)
    elif failure.peer not in exchange.tried_nodes:
        exchange.owner_hint = failure.peer
    else:
        exchange.unreachable_nodes.add(failure.peer)


def find_replacement_key(
    now_ms: Millis, routing: RoutingController, exchange: Exchange, code: int
) -> str:
    """Return a key with a reachable owner, or an empty string if the key must not be replaced.

    Replacing a key is safe only while no copy of the call can have arrived at any node, and only
    if no other sender will send the key again.
    """
    if exchange.is_idempotent or not exchange.may_replace_key or code not in KEY_REPLACEABLE_CODES:
        return ""
    if exchange.has_unknown_attempt or now_ms >= exchange.deadline_at:
        return ""
    if exchange.key_replacement_count >= _MAX_KEY_REPLACEMENTS:
        return ""
    for index in range(_MAX_KEY_CANDIDATES):
        discriminator = f"instead-{index}"
        key = derive_key(
            exchange.idempotency_key, exchange.service, exchange.operation, discriminator
        )
        owner = routing.choose_owner(exchange.service, key, frozenset())
        if owner is not None and owner.node_id not in exchange.unreachable_nodes:
            return key
    return ""
