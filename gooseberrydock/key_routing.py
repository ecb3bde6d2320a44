"""Where a call goes: to a chosen target, or to the owner of its key.

Calls that may not be repeated go to the node that probably owns their key. A refusal tells who
may decide about the key, or that its owner cannot be reached. Then a key that only this node knows
is replaced by one with another owner.
"""

from typing import Final

from gooseberrydock.attempt_failures import KEY_REPLACEABLE_CODES, AttemptFailure
from gooseberrydock.clock import Millis
from gooseberrydock.errorcodes import KEY_NOT_OWNED, OWNER_LOST
from gooseberrydock.exchanges import Exchange
from gooseberrydock.keys import derive_key
from gooseberrydock.members import Member
from gooseberrydock.routing import RoutingController

_MAX_REPLACED_KEYS: Final = 3
_KEY_TRIES: Final = 32


def choose_target(now_ms: Millis, routing: RoutingController, exchange: Exchange) -> Member | None:
    """Return the target's node for an attempt; keys go to their owner."""
    excluded = frozenset(exchange.tried_nodes)
    if exchange.is_idempotent:
        return routing.choose(now_ms, exchange.service, excluded)
    if exchange.owner_hint:
        return routing.member_by_id(exchange.service, exchange.owner_hint)
    return routing.choose_owner(exchange.service, exchange.idempotency_key, excluded)


def update_owner_hint(exchange: Exchange, node_id: str, failure: AttemptFailure) -> None:
    """Learn from a node's refusal who may decide about the key, and who cannot be reached."""
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
    """Return a key of an owner that can be reached, or an empty string where none may be taken.

    That is safe only while no copy can have arrived anywhere, and only for keys that nobody else
    will send again.
    """
    if exchange.is_idempotent or not exchange.may_replace_key or code not in KEY_REPLACEABLE_CODES:
        return ""
    if exchange.has_unknown_attempt or now_ms >= exchange.deadline_at:
        return ""
    if exchange.replaced_keys >= _MAX_REPLACED_KEYS:
        return ""
    for number in range(_KEY_TRIES):
        name = f"instead-{number}"
        key = derive_key(exchange.idempotency_key, exchange.service, exchange.operation, name)
        owner = routing.choose_owner(exchange.service, key, frozenset())
        if owner is not None and owner.node_id not in exchange.unreachable_nodes:
            return key
    return ""
