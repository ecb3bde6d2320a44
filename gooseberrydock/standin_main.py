"""The ``gooseberrydock-standin`` command: stand-ins for the platform's store and for targets."""

import sys

import click
import trio

from gooseberrydock.logs import LOG_LEVELS, configure_logging
from gooseberrydock.members import Address
from gooseberrydock.options import ADDRESS, setting
from gooseberrydock.standin_store import run_store
from gooseberrydock.standin_target import (
    TargetOptions,
    parse_declared_call,
    parse_direct_service,
    run_target,
)


@click.group()
@setting("log-level", "Lowest level that is logged.", default="info", type=click.Choice(LOG_LEVELS))
def main(log_level: str) -> None:
    """Run a stand-in for tests, demos and measurements."""
    configure_logging(log_level, "standin")


@main.command()
@setting("listen", "Address to listen on.", default="127.0.0.1:7500", type=ADDRESS)
def store(listen: Address) -> None:
    """Run a stand-in for the platform's key-value service."""
    trio.run(run_store, listen)


@main.command()
@setting("service", "Name of the service.", required=True)
@setting(
    "listen",
    "Address to listen on; port 0 selects a free one.",
    default="127.0.0.1:0",
    type=ADDRESS,
)
@setting("node-local", "Local address of the node on the same host.", required=True, type=ADDRESS)
@setting("slots", "Requests processed concurrently.", default=8, type=click.IntRange(1))
@setting(
    "service-ms",
    "Mean processing time of a request, without its calls.",
    default=20.0,
    type=click.FloatRange(0.0),
)
@setting("calls", "Call to make, operation=service/operation; may be repeated.", multiple=True)
@setting(
    "cold-ms", "Time after the start during which the target is slower.", default=0.0, type=float
)
@setting(
    "queue",
    "Requests that may wait for a slot; more are refused.",
    default=0,
    type=click.IntRange(0),
)
@setting("seed", "Seed of all random choices.", default=1, type=int)
@setting("direct", "Baselines: service=ip:port,...; may be repeated.", multiple=True)
@setting("hop-retries", "Baselines: retries of each direct call.", default=0, type=int)
def target(
    service: str,
    listen: Address,
    node_local: Address,
    slots: int,
    service_ms: float,
    calls: tuple[str, ...],
    cold_ms: float,
    queue: int,
    seed: int,
    direct: tuple[str, ...],
    hop_retries: int,
) -> None:
    """Run a stand-in for a target."""
    try:
        declared = tuple(parse_declared_call(text) for text in calls)
        services = tuple(parse_direct_service(text) for text in direct)
    except ValueError as error:
        raise click.BadParameter(str(error)) from error
    options = TargetOptions(
        service=service,
        listen=listen,
        node_local=node_local,
        slots=slots,
        service_ms=service_ms,
        calls=declared,
        cold_ms=cold_ms,
        queue=queue,
        seed=seed,
        direct=services,
        hop_retries=hop_retries,
    )
    trio.run(run_target, options)


if __name__ == "__main__":
    sys.exit(main())
