"""Command-line settings: how flags are declared, and the node's settings after validation."""

import ipaddress
from collections.abc import Callable
from typing import Any, Final

import attrs
import click

from gooseberrydock import defaults
from gooseberrydock.errorcodes import OPTION_INVALID
from gooseberrydock.errors import GooseberrydockError, Step
from gooseberrydock.http_server import max_body_bytes
from gooseberrydock.members import Address, parse_address
from gooseberrydock.memory_account import BYTES_PER_MB, create_memory_account

ENVIRONMENT_PREFIX: Final = "GOOSEBERRYDOCK"
_MIN_CLUSTER_KEY_BYTES: Final = 16
_MIN_DESCRIPTORS: Final = defaults.FILE_DESCRIPTORS + 64


class AddressType(click.ParamType[Address]):
    """Command-line parameter type for ``IP:port``."""

    name = "ip:port"

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> Address:
        """Parse and check the address."""
        if isinstance(value, Address):
            return value
        try:
            address = parse_address(str(value))
            ipaddress.ip_address(address.host)
        except ValueError as error:
            self.fail(f"{error} (give the host as an IP address)", param, ctx)
        return address


ADDRESS: Final = AddressType()


def setting(
    name: str, help_text: str, default: Any = None, **attributes: Any
) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    """Declare a flag with its environment variable ``GOOSEBERRYDOCK_<NAME>``."""
    variable = f"{ENVIRONMENT_PREFIX}_{name.upper().replace('-', '_')}"
    if default is not None:
        attributes["default"] = default
        attributes["show_default"] = True
    return click.option(
        f"--{name}", envvar=variable, show_envvar=True, help=help_text, **attributes
    )


@attrs.frozen
class NodeOptions:
    """Settings of ``gooseberrydock-node``."""

    node_id: str
    region: str
    failure_domain: str
    entry_listen: Address
    local_listen: Address
    peer_listen: Address
    gossip_listen: Address
    admin_listen: Address
    seeds: tuple[Address, ...]
    store: Address | None
    cluster_key: bytes
    max_body_bytes: int
    memory_mb: int
    max_fds: int
    stop_timeout_ms: float
    random_seed: int

    @property
    def memory_bytes(self) -> int:
        """Return the memory that the process may use in all."""
        return self.memory_mb * BYTES_PER_MB

    @property
    def max_sockets(self) -> int:
        """Return the number of descriptors for sockets."""
        return self.max_fds - defaults.FILE_DESCRIPTORS


def check_node_options(options: NodeOptions) -> NodeOptions:
    """Return the settings, or raise ``OPTION_INVALID`` where they are invalid or inconsistent."""
    for name in ("node_id", "region", "failure_domain"):
        if not getattr(options, name):
            raise _invalid(f"--{name.replace('_', '-')} must not be empty")
    if not options.seeds and options.store is None:
        raise _invalid("give --seed or --store; without either, the node cannot find other nodes")
    if 0 < len(options.cluster_key) < _MIN_CLUSTER_KEY_BYTES:
        raise _invalid(f"--cluster-key must have at least {_MIN_CLUSTER_KEY_BYTES} bytes")
    if not 0 < options.max_body_bytes <= defaults.MAX_PEER_MESSAGE_BYTES // 2:
        raise _invalid("--max-body-bytes is out of range")
    if options.memory_mb <= 0:
        raise _invalid("--memory-mb must be positive")
    if options.max_body_bytes > max_body_bytes(create_memory_account(options.memory_bytes)):
        raise _invalid("--memory-mb is too small for --max-body-bytes")
    if options.max_fds < _MIN_DESCRIPTORS:
        raise _invalid(f"--max-fds must be at least {_MIN_DESCRIPTORS}")
    if options.stop_timeout_ms <= 0:
        raise _invalid("--stop-timeout-ms must be positive")
    return options


def _invalid(detail: str) -> GooseberrydockError:
    return GooseberrydockError(OPTION_INVALID, Step.SETTINGS, detail=detail)
