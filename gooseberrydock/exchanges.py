"""State of requests in flight: exchanges on the calling side, runs on the side of the target."""

import enum
from functools import cached_property

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.configuration import UNDECLARED_PATH_INDEX, ServiceClass
from gooseberrydock.credit import UNDECLARED_SUBTREE_SIZE, CreditPool, DispatchTerms
from gooseberrydock.errorcodes import ErrorCode
from gooseberrydock.fingerprint import request_fingerprint
from gooseberrydock.http_messages import HttpRequest
from gooseberrydock.messages import Call


class Source(enum.Enum):
    """Where a request came from."""

    ENTRY = "entry"
    LOCAL = "local"


@attrs.frozen
class Refusal:
    """The refusal of a request before it was dispatched."""

    code: ErrorCode
    detail: str = ""


@attrs.define
class Run:
    """State of one call to the local target, which this node admits and supervises.

    ``link_id`` identifies the link that the call arrived on, because a restarted peer may reuse
    call ids on a new link.
    """

    run_id: int
    link_id: str
    call: Call
    deadline_at: Millis
    pool: CreditPool
    service_class: ServiceClass | None
    token: str
    started_at: Millis = -1.0
    calls_made: int = 0
    is_suspect: bool = False
    call_ordinals: dict[tuple[str, str], int] = attrs.field(factory=dict)
    replaced_keys: dict[str, str] = attrs.field(factory=dict)

    @cached_property
    def fingerprint(self) -> int:
        """Return the hash of the call's content, computed on demand as most calls never need it."""
        call = self.call
        return request_fingerprint(call.service, call.method, call.path, call.body)

    @property
    def has_started(self) -> bool:
        """Return whether the call was sent to the target."""
        return self.started_at >= 0


@attrs.define
class Attempt:
    """State of one dispatch of an exchange."""

    call_id: int
    node_id: str
    terms: DispatchTerms
    sent_at: Millis


@attrs.define
class Exchange:
    """State of one request from its arrival on this node until it is answered.

    ``is_first_attempt`` is true if the same key cannot have been sent before, ``may_replace_key``
    if in addition no other sender will ever send it. ``owner_hint`` is the id of the node that may
    decide about the key. ``seal_code`` is the error code of a refusal that the owner of the key
    still has to confirm. ``joined_id`` is the id of the exchange with the same key whose answer is
    awaited.
    """

    exchange_id: int
    source: Source
    request: HttpRequest
    caller: str
    received_at: Millis
    service: str
    operation: str
    target_path: str
    request_id: str = ""
    class_name: str = ""
    service_class: ServiceClass | None = None
    rank: float = 0.0
    deadline_at: Millis = 0.0
    is_idempotent: bool = True
    idempotency_key: str = ""
    path_index: int = UNDECLARED_PATH_INDEX
    depth: int = 0
    is_suspect: bool = False
    pool: CreditPool = attrs.field(factory=lambda: CreditPool(0, None))
    parent: Run | None = None
    attempt: Attempt | None = None
    tried_nodes: set[str] = attrs.field(factory=set)
    unreachable_nodes: set[str] = attrs.field(factory=set)
    reroutes: int = 0
    is_first_attempt: bool = True
    may_replace_key: bool = False
    key_replacement_count: int = 0
    owner_hint: str = ""
    seal_code: int = 0
    has_unknown_attempt: bool = False
    joined_id: int | None = None
    is_caller_gone: bool = False
    admitted_filter_count: int = 0

    @property
    def subtree_size(self) -> int:
        """Return the number of declared dispatches of this call and of all calls below it."""
        if self.service_class is None or self.path_index == UNDECLARED_PATH_INDEX:
            return UNDECLARED_SUBTREE_SIZE
        return self.service_class.subtree_size(self.path_index)
