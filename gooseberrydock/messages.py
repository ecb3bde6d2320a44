"""The typed messages between nodes.

``wire`` turns them into CBOR. Durations travel as remaining or elapsed milliseconds, never as
points in time, because hosts do not share a monotonic clock.
"""

import enum

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.http_messages import Headers
from gooseberrydock.outcomes import Outcome


@attrs.frozen
class CallContext:
    """Hold what a call inherits from its whole request.

    ``credit`` is the number of extra dispatches that this call and all below it may spend.
    ``charges_declared_calls`` is true below a repeated attempt, where even declared calls cost
    credit.
    ``is_suspect`` marks a request that was in flight when a target crashed.
    ``seal_code`` is not zero where the call is refused with that error code, and its key's owner
    is only to see to it that the key never runs.
    ``path_index`` is the position of the call on its class's path, or ``UNDECLARED_STEP``.
    """

    request_id: str
    class_name: str
    rank: float
    remaining_ms: Millis
    credit: int
    charges_declared_calls: bool
    idempotency_key: str
    is_idempotent: bool
    caller: str
    path_index: int
    depth: int
    is_suspect: bool
    seal_code: int


@attrs.frozen
class Call:
    """Ask a peer to run a request on its target."""

    call_id: int
    service: str
    operation: str
    method: str
    path: str
    headers: Headers
    body: bytes
    context: CallContext


@attrs.frozen
class ShedThresholdReport:
    """Report the rank above which a service sheds."""

    service: str
    level: float


@attrs.frozen
class LoadReport:
    """Report how busy a target is, as its node sees it."""

    in_flight: int
    queued: int
    limit: int


@attrs.frozen
class Answer:
    """Answer one call; ``code`` is zero where a target answered."""

    call_id: int
    outcome: Outcome
    code: int
    status: int
    headers: Headers
    body: bytes
    credit: int
    load: LoadReport
    shed_thresholds: tuple[ShedThresholdReport, ...]
    step: str = ""
    peer: str = ""


@attrs.frozen
class Cancel:
    """Tell a peer that nobody waits for a call any more."""

    call_id: int


@attrs.frozen
class Hello:
    """Introduce a node on a new link.

    ``proof`` authenticates the link under the shared key; ``nonce`` is what the other side must
    prove knowledge of the key over.
    """

    node_id: str
    incarnation: int
    nonce: bytes
    proof: bytes


@attrs.frozen
class Leaving:
    """Announce that the sender's target takes no new work."""

    node_id: str
    incarnation: int


@attrs.frozen
class ConfigurationRequest:
    """Ask a peer for its configuration if it is newer than this generation."""

    generation: int


@attrs.frozen
class ConfigurationPush:
    """Hand a peer a whole configuration, compressed."""

    generation: int
    payload: bytes


@attrs.frozen
class MemberSyncRequest:
    """Ask a peer for the members in the buckets whose digests differ from these."""

    digests: tuple[int, ...]


@attrs.frozen
class MemberSync:
    """Hand a peer encoded member records; ``requested_buckets`` lists buckets expected back."""

    members: tuple[bytes, ...]
    requested_buckets: tuple[int, ...]


@attrs.frozen
class KeepAlive:
    """Ask a peer to show that a link still passes bytes; ``is_reply`` marks the answer."""

    token: int
    is_reply: bool


@attrs.frozen
class CrashNotice:
    """Tell other nodes which request fingerprints may crash targets, and which surely do."""

    suspects: tuple[int, ...]
    quarantined: tuple[int, ...]


@attrs.frozen
class OwnerHeartbeat:
    """Tell another member of the same service what this one knows of the owners' register.

    ``echoed_token`` is the last token received from the other member. ``confirms_epoch`` says
    that the sender knows of no planned epoch after the one in ``version``.
    """

    incarnation: int
    token: int
    echoed_token: int
    version: int
    confirms_epoch: bool


@attrs.frozen
class OwnerRegister:
    """Hand another member of the same service an encoded register."""

    payload: bytes


@attrs.define
class RoutedCall:
    """Ask a target's node to run one request of a route."""

    call_id: int
    route: str
    service: str
    caller_service: str
    method: str
    target: str
    headers: Headers
    body: bytes
    remaining_ms: Millis
    priority: int


class RunResult(enum.IntEnum):
    """State what became of a routed call at the target's node."""

    ANSWERED = 1
    NOT_RUN = 2
    UNKNOWN = 3


@attrs.define
class TargetReport:
    """Tell the load of a target and how much of a route's requests may be admitted.

    ``service_ms`` is the recent mean of the route's run time there, 0 where none is known.
    ``admitted_share`` covers the calls below the route too; 1 means no limit. ``is_nested`` says
    that the route's requests are calls that other targets make, ``makes_calls`` that its runs make
    calls of their own.
    """

    in_flight: int
    limit: int
    service_ms: Millis
    admitted_share: float
    is_nested: bool = False
    makes_calls: bool = False


@attrs.define
class RoutedAnswer:
    """Answer a routed call.

    ``was_sent_to_target`` says that the call was sent to the target, also where the target refused
    it.
    """

    call_id: int
    result: RunResult
    code: int
    status: int
    headers: Headers
    body: bytes
    was_sent_to_target: bool
    report: TargetReport


@attrs.define
class ShareNotice:
    """Tell at once how much of some routes a target's node admits, and its limit."""

    admitted_shares: dict[str, float]
    limit: int


PeerMessage = (
    Call
    | Answer
    | Cancel
    | Hello
    | Leaving
    | ConfigurationRequest
    | ConfigurationPush
    | MemberSyncRequest
    | MemberSync
    | KeepAlive
    | CrashNotice
    | OwnerHeartbeat
    | OwnerRegister
    | RoutedCall
    | RoutedAnswer
    | ShareNotice
)
