"""The settings of a node on the routed call path, as one object that is passed explicitly."""

from typing import Final

import attrs

from gooseberrydock import defaults
from gooseberrydock.clock import Millis
from gooseberrydock.http_messages import DEADLINE_HEADER
from gooseberrydock.members import Address
from gooseberrydock.memory_account import BYTES_PER_MB


@attrs.frozen
class HeaderNames:
    """Names of the headers between nodes, callers and targets, in lower case.

    ``response_signature`` is a header in every complete answer of a target; if it is empty,
    targets do not mark their answers. In ``rate_limit`` an answer names the requests per
    second that its target takes, in ``leaving`` it states that the target is leaving, and in
    ``instance`` it names the instance that the target is.
    """

    request_id: bytes = b"gooseberrydock-request-id"
    deadline_ms: bytes = DEADLINE_HEADER
    expected_instance: bytes = b"gooseberrydock-expected-instance"
    not_executed: bytes = b"gooseberrydock-not-executed"
    caller_service: bytes = b"gooseberrydock-caller-service"
    response_signature: bytes = b""
    rate_limit: bytes = b"gooseberrydock-rate-limit"
    leaving: bytes = b"gooseberrydock-leaving"
    instance: bytes = b"gooseberrydock-instance"


@attrs.frozen
class RetryBudgetOptions:
    """Bounds on the retries to each service, over the whole fleet.

    In any window of some seconds, retries stay below ``ratio`` times the requests plus ``slack``.
    """

    ratio: float = 0.2
    slack: float = 40.0


@attrs.frozen
class MeshOptions:
    """Settings of one node.

    ``peer_advertised`` is the address at which other nodes reach this one, which may differ from
    ``peer_listen``.
    ``service`` is the service of the local target, which is reported with the calls it makes.
    ``store_reads_per_s`` is the read rate that the store allows all nodes together.
    ``drain_ms`` is how long a leaving target may still receive requests.
    ``stop_grace_ms`` is the time within which a stopping node must end.
    ``lease_min_ms`` is the minimum TTL of a lease in the store.
    ``body_timeout_ms`` is the time in which a request has to arrive whole.
    ``memory_bytes`` is the memory that this process may use in all, ``max_sockets`` the number of
    its sockets.
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
    memory_bytes: int = defaults.MEMORY_MB * BYTES_PER_MB
    max_sockets: int = defaults.MAX_DESCRIPTORS
    body_timeout_ms: Millis = defaults.BODY_TIMEOUT_MS


_LIVE_SETTINGS: Final = frozenset(("service", "retry_budget", "drain_ms", "stop_grace_ms"))
"""Settings that take effect without a restart; the others belong to sockets and tasks in use."""


@attrs.frozen
class SettingsChange:
    """Result of a change of settings: the options in force, and the names of what changed."""

    options: MeshOptions
    applied: tuple[str, ...]
    restart_required: tuple[str, ...]


def apply_settings(current: MeshOptions, wanted: MeshOptions) -> SettingsChange:
    """Return the options after a change, of which only some take effect without a restart."""
    changed = {
        field.name: getattr(wanted, field.name)
        for field in attrs.fields(MeshOptions)
        if getattr(wanted, field.name) != getattr(current, field.name)
    }
    live = {name: value for name, value in changed.items() if name in _LIVE_SETTINGS}
    restart_required = tuple(name for name in changed if name not in _LIVE_SETTINGS)
    return SettingsChange(attrs.evolve(current, **live), tuple(live), restart_required)
