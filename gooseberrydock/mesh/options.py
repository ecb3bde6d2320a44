"""The settings of a node on the routed call path, as one object passed explicitly."""

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.http_messages import DEADLINE_HEADER
from gooseberrydock.members import Address


@attrs.frozen
class HeaderNames:
    """Name the headers that nodes share with callers and targets, in lower case.

    ``response_signature`` is a header that every complete answer of a target carries; empty means
    that targets do not mark their answers.
    """

    request_id: bytes = b"gooseberrydock-request-id"
    deadline_ms: bytes = DEADLINE_HEADER
    expected_instance: bytes = b"gooseberrydock-expected-instance"
    not_executed: bytes = b"gooseberrydock-not-executed"
    caller_service: bytes = b"gooseberrydock-caller-service"
    response_signature: bytes = b""


@attrs.frozen
class RetryBudgetOptions:
    """Bound repeats for each service over the whole fleet.

    In any window of some seconds, repeats stay below ``ratio`` of the requests plus ``slack``.
    """

    ratio: float = 0.2
    slack: float = 40.0


@attrs.frozen
class MeshOptions:
    """Hold the settings of one node.

    ``peer_advertised`` is where other nodes reach this one, if not where it listens.
    ``service`` is the service of the target beside this node, which its callers are told.
    ``store_reads_per_s`` is what the store allows all nodes together.
    ``drain_ms`` is how long a leaving target may still get requests.
    """

    node_id: str
    failure_domain: str
    service: str
    target_address: Address
    entry_listen: Address
    peer_listen: Address
    peer_advertised: Address
    control_listen: Address
    ready_listen: Address
    metrics_listen: Address | None
    store: Address
    headers: HeaderNames
    retry_budget: RetryBudgetOptions
    drain_ms: Millis
    stop_grace_ms: Millis
    lease_min_ms: Millis
    store_reads_per_s: float
