"""Decode the platform's settings file into the options of a node."""

import tomllib
from typing import Any, Final

from gooseberrydock import defaults
from gooseberrydock.clock import MS_PER_SECOND
from gooseberrydock.decoding import MALFORMED_INPUT, describe_error, require_string
from gooseberrydock.errorcodes import OPTION_INVALID
from gooseberrydock.errors import GooseberrydockError, Step
from gooseberrydock.members import Address, parse_address
from gooseberrydock.memory_account import BYTES_PER_MB
from gooseberrydock.mesh.options import HeaderNames, MeshOptions, RetryBudgetOptions

SETTINGS_PATH_VARIABLE: Final = "GOOSEBERRYDOCK_CONFIG"
METRICS_PORT_OFFSET: Final = 1
"""Distance of the metrics port from the end of ``portRange``, the ports for the system's use."""

_FILES: Final = 200
"""Descriptors that the platform reserves for files; sockets share the others."""
_DEFAULT_FDS: Final = defaults.MAX_DESCRIPTORS + _FILES

HEADERS: Final = HeaderNames(
    request_id=b"request-id",
    deadline_ms=b"deadline-ms",
    expected_instance=b"expected-instance",
    not_executed=b"not-executed",
    caller_service=b"caller-service",
    # Every complete response of a target carries this header.
    response_signature=b"server-seal",
    rate_limit=b"server-limit",
    leaving=b"server-leaving",
    instance=b"instance-id",
)


def decode_settings(text: str) -> MeshOptions:
    """Decode the text of a settings file, raising ``OPTION_INVALID`` if it is invalid."""
    try:
        return _decode_options(tomllib.loads(text))
    except MALFORMED_INPUT as error:
        raise _invalid(describe_error(error)) from error


def _decode_options(fields: dict[str, Any]) -> MeshOptions:
    host, network = fields["self"], fields["network"]
    # The inner table, which also has the platform's name, describes its key-value store.
    store = fields["platform"]["platform"]
    bounds = fields["terms"]["bounds"]
    listen = network["listen"]
    limits = host.get("limits", {})
    last_port = int(network["portRange"][1])
    return MeshOptions(
        node_id=require_string(host["nodeName"]),
        failure_domain=require_string(host["zone"]),
        service=require_string(host["service"]),
        target_address=parse_address(host["appAddr"]),
        # "outbound" receives requests that begin on this host, "inbound" those for its target.
        entry_listen=parse_address(listen["outbound"]),
        peer_listen=parse_address(listen["inbound"]),
        peer_advertised=parse_address(listen["inbound"]),
        control_listen=parse_address(listen["control"]),
        ready_listen=parse_address(listen["ready"]),
        metrics_listen=Address(require_string(host["ip"]), last_port - METRICS_PORT_OFFSET),
        store=parse_address(store["address"]),
        headers=HEADERS,
        retry_budget=RetryBudgetOptions(
            ratio=float(bounds["budgetRatio"]),
            slack=float(bounds["budgetSlack"]),
        ),
        drain_ms=float(bounds["drainMs"]),
        stop_grace_ms=float(bounds["graceS"]) * MS_PER_SECOND,
        lease_min_ms=float(store["ttlMinMs"]),
        store_reads_per_s=max(1.0, float(store["readsPerS"])),
        memory_bytes=_decode_positive(limits.get("memoryMb", defaults.MEMORY_MB)) * BYTES_PER_MB,
        max_sockets=max(1, _decode_positive(limits.get("maxFds", _DEFAULT_FDS)) - _FILES),
    )


def _decode_positive(value: Any) -> int:
    if type(value) is not int or value <= 0:
        raise ValueError(f"{value!r} is not a positive whole number")
    return value


def _invalid(detail: str) -> GooseberrydockError:
    return GooseberrydockError(OPTION_INVALID, Step.SETTINGS, detail=detail)
