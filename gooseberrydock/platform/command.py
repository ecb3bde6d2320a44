"""The command that runs a node on the platform."""

from pathlib import Path

import attrs
import click
import trio

from gooseberrydock import defaults
from gooseberrydock.clock import system_clock
from gooseberrydock.errors import GooseberrydockError
from gooseberrydock.logs import LOG_LEVELS, configure_logging
from gooseberrydock.members import Address
from gooseberrydock.mesh.run import run_mesh_node
from gooseberrydock.options import ADDRESS, setting
from gooseberrydock.platform.environment import create_environment
from gooseberrydock.platform.settings import SETTINGS_PATH_VARIABLE


@click.command()
@click.option(
    "--settings",
    "path",
    envvar=SETTINGS_PATH_VARIABLE,
    show_envvar=True,
    required=True,
    type=click.Path(path_type=Path, dir_okay=False),
    help="Path of the platform's settings file.",
)
@setting(
    "advertise",
    "Address at which other nodes reach this one, if it is not the listen address.",
    type=ADDRESS,
)
@setting(
    "wall-offset-ms",
    "Milliseconds added to the wall clock, to test the effect of a wrong clock.",
    default=0.0,
    type=float,
)
@setting(
    "body-timeout-ms",
    "Time in which a request has to arrive whole, in milliseconds.",
    default=defaults.BODY_TIMEOUT_MS,
    type=click.FloatRange(min=0.0, min_open=True),
)
@setting("log-level", "Lowest level that is logged.", default="info", type=click.Choice(LOG_LEVELS))
def main(
    path: Path,
    advertise: Address | None,
    wall_offset_ms: float,
    body_timeout_ms: float,
    log_level: str,
) -> None:
    """Run the node of the target on this host."""
    try:
        environment = create_environment(path)
        options = attrs.evolve(environment.options, body_timeout_ms=body_timeout_ms)
        if advertise is not None:
            options = attrs.evolve(options, peer_advertised=advertise)
        configure_logging(log_level, f"node {options.node_id}")
        trio.run(run_mesh_node, options, environment, system_clock(wall_offset_ms))
    except GooseberrydockError as error:
        raise click.ClickException(str(error)) from error
    except OSError as error:
        raise click.ClickException(f"cannot start: {error}") from error
