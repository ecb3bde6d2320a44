"""Message types exchanged between nodes.

``wire`` encodes them as CBOR. Durations are sent as remaining or elapsed milliseconds, never as
points in time, because hosts do not share a monotonic clock.
"""

import enum

import attrs

from gooseberrydock.clock import MS_PER_SECOND, Millis
from gooseberrydock.http_messages import Headers
from gooseberrydock.long_body import LongBody
from gooseberrydock.outcomes import Outcome


@attrs.frozen
class CallContext:
    """Attributes that a call inherits from the request it belongs to.

    ``rank`` orders requests for shedding: large ranks are shed first.
    ``credit`` is the number of extra dispatches that this call and all calls below it may spend.
    ``charges_declared_calls`` is true below a retry, where even declared calls cost credit.
    ``is_suspect`` marks a request that may have crashed a target.
    ``seal_code`` is zero, or the error code with which the sending node refused the request. The
    owner of its idempotency key then does not run the call, but seals the key if it has no record
    of it, so that no copy of the request runs later.
    ``path_index`` is the position of the call on the declared path of its service class, or
    ``UNDECLARED_PATH_INDEX``. ``depth`` is the number of calls above it.
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
    """Request to a peer to run a request on its target."""

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
    """Rank above which a service sheds requests."""

    service: str
    threshold: float


@attrs.frozen
class LoadReport:
    """Load of a target as measured by its node."""

    in_flight: int
    queued: int
    limit: int


@attrs.frozen
class Answer:
    """Answer to one call.

    ``code`` is zero where a target answered. Otherwise ``step`` is where the call failed, and
    ``peer`` is the node at which it failed or the node that owns its idempotency key. ``credit`` is
    the part of the call's credit that was not spent.
    """

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
    """Notification to a peer that the caller no longer waits for a call."""

    call_id: int


@attrs.frozen
class Hello:
    """Handshake message of a node on a new link.

    ``proof`` authenticates the link under the shared key; ``nonce`` is the challenge over which
    the other side must prove that it knows the key.
    """

    node_id: str
    incarnation: int
    nonce: bytes
    proof: bytes


@attrs.frozen
class Leaving:
    """Announcement that the sender's target accepts no new work."""

    node_id: str
    incarnation: int


@attrs.frozen
class ConfigurationRequest:
    """Request for a peer's configuration if it is newer than this generation."""

    generation: int


@attrs.frozen
class ConfigurationPush:
    """Complete configuration in compressed form, sent to a peer."""

    generation: int
    payload: bytes


@attrs.frozen
class MemberSyncRequest:
    """Request for a peer's members in the buckets whose digests differ from these."""

    digests: tuple[int, ...]


@attrs.frozen
class MemberSync:
    """Encoded member records; ``requested_buckets`` lists the buckets expected in return."""

    members: tuple[bytes, ...]
    requested_buckets: tuple[int, ...]


@attrs.frozen
class KeepAlive:
    """Probe of whether a link still passes bytes; ``is_reply`` marks the reply."""

    token: int
    is_reply: bool


@attrs.frozen
class CrashNotice:
    """Fingerprints of requests suspected of crashing targets, and of those quarantined for it."""

    suspects: tuple[int, ...]
    quarantined: tuple[int, ...]


@attrs.frozen
class QuarantineNotice:
    """Remaining time of the quarantine of fingerprints, 0 if it is lifted."""

    remaining_ms: dict[int, Millis]


@attrs.frozen
class OwnerHeartbeat:
    """Heartbeat to another member of the same service, with the sender's owner register version.

    ``echoed_token`` is the last token received from the other member. ``confirms_epoch`` is true
    where the sender knows of no planned epoch after the one in ``version``.
    """

    incarnation: int
    token: int
    echoed_token: int
    version: int
    confirms_epoch: bool


@attrs.frozen
class OwnerRegister:
    """Encoded owner register, sent to another member of the same service."""

    payload: bytes


@attrs.define
class RoutedCall:
    """Request to a target's node to run one request of a route.

    ``has_alternative`` is true if the caller's node sends it to another host if this one is busy.
    A body that is sent in parts has its size in ``body_bytes`` and a hash of its content in
    ``body_hash``; the caller's node keeps it in ``long_body``, which is not encoded.
    """

    call_id: int
    route: str
    service: str
    caller_service: str
    method: str
    request_target: str
    headers: Headers
    body: bytes
    remaining_ms: Millis
    priority: int
    has_alternative: bool = False
    body_bytes: int = 0
    body_hash: int = 0
    long_body: LongBody | None = None


class RunResult(enum.IntEnum):
    """Result of a routed call at the target's node."""

    ANSWERED = 1
    NOT_RUN = 2
    UNKNOWN = 3


@attrs.define
class TargetReport:
    """Load of a target, and the share of a route's requests that may be admitted.

    ``mean_run_ms`` is the recent mean run time of the route on this target, 0 where none is known.
    ``admitted_share`` covers the calls below the route too; 1 means no limit. ``is_nested`` is
    true where the route's requests are calls made by other targets, ``makes_calls`` where its runs
    make calls themselves. ``rate_limit`` is the requests per second that the target takes, 0 if it
    named no limit, and ``rate_used`` the used share of the burst; from 1 on calls wait.
    ``is_leaving`` is true if the target leaves. ``start_id`` identifies the start of the target
    that stated a limit or its leaving; it is empty if nothing was stated.
    """

    in_flight: int
    limit: int
    mean_run_ms: Millis
    admitted_share: float
    is_nested: bool = False
    makes_calls: bool = False
    rate_limit: float = 0.0
    rate_used: float = 0.0
    is_leaving: bool = False
    start_id: str = ""

    @property
    def capacity(self) -> float:
        """Return how many calls run at once when the target is full or at its rate limit."""
        if not self.rate_limit or not self.mean_run_ms:
            return float(self.limit)
        return min(self.limit, self.rate_limit * self.mean_run_ms / MS_PER_SECOND)


@attrs.define
class RoutedAnswer:
    """Answer to a routed call.

    ``was_sent_to_target`` is true where the call was sent to the target, even if the target refused
    it. A body that is sent in parts has its size in ``body_bytes``; ``long_body`` is not encoded.
    """

    call_id: int
    result: RunResult
    code: int
    status: int
    headers: Headers
    body: bytes
    was_sent_to_target: bool
    report: TargetReport
    body_bytes: int = 0
    long_body: LongBody | None = None


@attrs.frozen
class BodyPart:
    """Part of the body of a routed call, or of the answer to one."""

    call_id: int
    of_answer: bool
    data: bytes


@attrs.frozen
class BodyCredit:
    """Request for the next bytes of the body of a routed call, or of the answer to one."""

    call_id: int
    of_answer: bool
    size: int


@attrs.define
class ShareNotice:
    """Immediate notice of the admitted share of each listed route, and of the target's limit."""

    admitted_shares: dict[str, float]
    limit: int


@attrs.frozen
class TargetNotice:
    """What a start of a target stated in its answers, sent to the node beside it after a restart.

    ``rate_limit`` is 0 if none is named, ``leaving_for_ms`` the time since it stated its leaving.
    """

    start_id: str
    rate_limit: float
    is_leaving: bool
    leaving_for_ms: Millis


@attrs.frozen
class LeavingNotice:
    """Notice that a start of the sender's target is leaving, which the receiver keeps for it.

    ``leaving_for_ms`` is the time since then. A ``LeavingReceipt`` confirms that it is kept.
    """

    start_id: str
    leaving_for_ms: Millis


@attrs.frozen
class LeavingReceipt:
    """Confirmation that the leaving of a start is kept."""

    start_id: str


@attrs.frozen
class LoadNotice:
    """Load of a target and its mean run times, sent regularly within the failure domain.

    ``rate_limit`` and ``rate_used`` are those of ``TargetReport``.
    """

    in_flight: int
    limit: int
    run_ms_by_route: dict[str, float]
    rate_limit: float = 0.0
    rate_used: float = 0.0


@attrs.frozen
class StoreStatus:
    """What a node knows of the store: the route table's version, and who reads the store.

    The receiver sends its table if it is newer and requests the other one if it is older.
    ``sent_at`` is the time by the sender's clock. ``read_id`` identifies the latest known read of
    the table, 0 if there is none. ``watch_age_ms`` is the time since a node of the sender's failure
    domain last watched the records, as far as known, 0 if the sender does.
    """

    version: int
    sent_at: Millis
    read_id: int
    read_age_ms: Millis
    watch_age_ms: Millis


@attrs.frozen
class RecordChange:
    """Change of a node's record in the store; the value is empty if the record was removed."""

    node_id: str
    value: bytes
    revision: int


@attrs.frozen
class RecordChanges:
    """Changes of node records in one era of the store, after one revision and up to another."""

    era: int
    after: int
    upto: int
    changes: tuple[RecordChange, ...]


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
    | QuarantineNotice
    | OwnerHeartbeat
    | OwnerRegister
    | RoutedCall
    | RoutedAnswer
    | ShareNotice
    | RecordChanges
    | TargetNotice
    | LeavingNotice
    | LeavingReceipt
    | LoadNotice
    | StoreStatus
    | BodyPart
    | BodyCredit
)
