"""The ``gooseberrydock-node`` command, which reads the settings and runs the node."""

import sys

import click
import trio

from gooseberrydock import defaults
from gooseberrydock.errors import GooseberrydockError
from gooseberrydock.logs import LOG_LEVELS, configure_logging
from gooseberrydock.members import Address
from gooseberrydock.node_run import run_node
from gooseberrydock.options import ADDRESS, NodeOptions, check_node_options, setting


@click.command()
@setting("node-id", "Name of this node, unique in the fleet.", required=True)
@setting("region", "Region of this host.", default="default")
@setting("failure-domain", "Failure domain of this host.", required=True)
@setting("entry-listen", "Address for callers (HTTP).", default="127.0.0.1:7400", type=ADDRESS)
@setting("local-listen", "Address for the local target.", default="127.0.0.1:7401", type=ADDRESS)
@setting(
    "peer-listen", "Address for links from other nodes.", default="127.0.0.1:7402", type=ADDRESS
)
@setting("gossip-listen", "UDP address for gossip.", default="127.0.0.1:7403", type=ADDRESS)
@setting("admin-listen", "Address for operators (HTTP).", default="127.0.0.1:7404", type=ADDRESS)
@setting("seed", "Gossip address of a node to join; may be repeated.", type=ADDRESS, multiple=True)
@setting("store", "Address of the key-value service.", type=ADDRESS)
@setting("cluster-key", "Shared key with which all nodes authenticate.", default="")
@setting(
    "max-body-bytes", "Largest accepted body, in bytes.", default=defaults.MAX_BODY_BYTES, type=int
)
@setting(
    "memory-mb",
    "Memory that this process may use in all, in millions of bytes.",
    default=defaults.MEMORY_MB,
    type=int,
)
@setting(
    "max-fds",
    f"Descriptors of this process; {defaults.FILE_DESCRIPTORS} of them are kept for files.",
    default=defaults.MAX_DESCRIPTORS,
    type=int,
)
@setting(
    "stop-timeout-ms",
    "Longest wait for calls in flight at a stop, in milliseconds.",
    default=defaults.STOP_TIMEOUT_MS,
)
@setting("random-seed", "Seed for reproducible random choices; 0 means none.", default=0, type=int)
@setting("log-level", "Lowest level that is logged.", default="info", type=click.Choice(LOG_LEVELS))
def main(
    node_id: str,
    region: str,
    failure_domain: str,
    entry_listen: Address,
    local_listen: Address,
    peer_listen: Address,
    gossip_listen: Address,
    admin_listen: Address,
    seed: tuple[Address, ...],
    store: Address | None,
    cluster_key: str,
    max_body_bytes: int,
    memory_mb: int,
    max_fds: int,
    stop_timeout_ms: float,
    random_seed: int,
    log_level: str,
) -> None:
    """Run the node beside one target."""
    options = NodeOptions(
        node_id=node_id,
        region=region,
        failure_domain=failure_domain,
        entry_listen=entry_listen,
        local_listen=local_listen,
        peer_listen=peer_listen,
        gossip_listen=gossip_listen,
        admin_listen=admin_listen,
        seeds=seed,
        store=store,
        cluster_key=cluster_key.encode(),
        max_body_bytes=max_body_bytes,
        memory_mb=memory_mb,
        max_fds=max_fds,
        stop_timeout_ms=stop_timeout_ms,
        random_seed=random_seed,
    )
    configure_logging(log_level, f"node {node_id}")
    try:
        trio.run(run_node, check_node_options(options))
    except GooseberrydockError as error:
        raise click.ClickException(str(error)) from error
    except OSError as error:
        raise click.ClickException(f"cannot bind a socket: {error}") from error


if __name__ == "__main__":
    sys.exit(main())
