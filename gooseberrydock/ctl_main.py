"""The ``gooseberrydock-ctl`` command, with which operators manage sheets and inspect nodes."""

import getpass
import json
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Final, TypeVar

import click
import trio

from gooseberrydock import defaults
from gooseberrydock.capacity_plan import TargetCapacity, plan_services
from gooseberrydock.clock import MS_PER_SECOND, system_clock
from gooseberrydock.configuration import Configuration, ServiceClass
from gooseberrydock.configuration_store import ConfigurationStore, create_configuration_store
from gooseberrydock.ctl_calls import calls
from gooseberrydock.ctl_nodes import query_nodes
from gooseberrydock.errors import GooseberrydockError
from gooseberrydock.http_client import ClientPool
from gooseberrydock.members import Address
from gooseberrydock.options import ADDRESS, setting
from gooseberrydock.sheet import describe_changes, parse_sheet, render_sheet
from gooseberrydock.store_client import create_store_client

_STATUS_POLL_PERIOD_S: Final = 0.1

STATUS_COLUMNS: Final = (
    "node",
    "service",
    "failure_domain",
    "state",
    "generation",
    "members",
    "in_flight",
    "runs",
    "limit",
    "cut_level",
)

Result = TypeVar("Result")

store_setting = setting("store", "Address of the key-value service.", required=True, type=ADDRESS)
admin_setting = setting(
    "admin", "Admin address of a node; may be repeated.", type=ADDRESS, multiple=True
)


@click.group()
def main() -> None:
    """Apply morning sheets and inspect nodes."""


@main.group()
def sheet() -> None:
    """Check, compare, apply and show morning sheets."""


@sheet.command()
@click.argument("path", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@admin_setting
def check(path: Path, admin: tuple[Address, ...]) -> None:
    """Check a sheet, and with admin addresses also whether the targets can complete its load."""
    classes = _load_sheet(path)
    click.echo(f"{path.name}: {len(classes)} service classes, no errors")
    _print_plan(classes, admin)


@sheet.command()
@click.argument("path", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@store_setting
def diff(path: Path, store: Address) -> None:
    """Show what applying a sheet would change."""
    classes = _load_sheet(path)
    current = _with_store(store, ConfigurationStore.read)
    lines = describe_changes(current.classes, classes)
    click.echo("\n".join(lines) if lines else "no difference")


@sheet.command()
@click.argument("path", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@store_setting
@admin_setting
@click.option("--author", default=getpass.getuser, help="Author to record in the history.")
@click.option("--expect", type=int, help="Apply only if this generation is in force.")
@click.option(
    "--timeout-s",
    default=30.0,
    show_default=True,
    help="Timeout for storing the sheet, and again for --wait.",
)
@click.option("--wait", is_flag=True, help="Wait until the sheet is in force on all given nodes.")
def apply(
    path: Path,
    store: Address,
    admin: tuple[Address, ...],
    author: str,
    expect: int | None,
    timeout_s: float,
    wait: bool,
) -> None:
    """Put a sheet in force."""
    if wait and not admin:
        raise click.UsageError("--wait needs the nodes to wait for: --admin")
    classes = _load_sheet(path)
    timeout_ms = timeout_s * MS_PER_SECOND
    _print_plan(classes, admin)

    async def apply_classes(configurations: ConfigurationStore) -> Configuration:
        return await configurations.apply(classes, author, expect, timeout_ms)

    applied = _with_store(store, apply_classes)
    click.echo(f"generation {applied.generation} applied, write id {applied.write_id}")
    if wait and not trio.run(_wait_in_force, admin, applied.generation, timeout_s):
        raise click.ClickException("not in force everywhere in time")


@sheet.command()
@store_setting
def show(store: Address) -> None:
    """Print the stored configuration as a sheet."""
    current = _with_store(store, ConfigurationStore.read)
    click.echo(f"# generation {current.generation} by {current.author}", err=True)
    click.echo(render_sheet(current.classes), nl=False)


@sheet.command()
@store_setting
def history(store: Address) -> None:
    """List the latest changes, newest first."""
    for entry in _with_store(store, ConfigurationStore.read).history:
        click.echo(f"{entry.generation}\t{entry.author}\t{entry.write_id}\t{entry.summary}")


@main.command()
@admin_setting
def status(admin: tuple[Address, ...]) -> None:
    """Print one line for each node."""
    rows = trio.run(query_nodes, admin, "GET", "/status")
    click.echo("  ".join(f"{name:>14}" for name in STATUS_COLUMNS))
    for address, response in rows:
        if response is None:
            click.echo(f"{str(address):>14}  no answer")
            continue
        fields = json.loads(response.body)
        click.echo("  ".join(f"{str(fields[name]):>14}" for name in STATUS_COLUMNS))
    if any(response is None for _, response in rows):
        sys.exit(1)


@main.command()
@admin_setting
def dump(admin: tuple[Address, ...]) -> None:
    """Print the whole state of nodes as JSON."""
    states: dict[str, Any] = {}
    for address, response in trio.run(query_nodes, admin, "GET", "/state"):
        states[str(address)] = json.loads(response.body) if response is not None else None
    click.echo(json.dumps(states, indent=2))


@main.command()
@admin_setting
def drain(admin: tuple[Address, ...]) -> None:
    """Drain nodes: they accept no new work and stop once all calls have ended."""
    rows = trio.run(query_nodes, admin, "POST", "/drain")
    for address, response in rows:
        click.echo(f"{address}: {'leaving' if response is not None else 'no answer'}")
    if any(response is None for _, response in rows):
        sys.exit(1)


def _load_sheet(path: Path) -> tuple[ServiceClass, ...]:
    try:
        parsed = parse_sheet(path.read_text(encoding="utf-8"))
    except UnicodeDecodeError as error:
        raise click.ClickException(f"{path.name}: not UTF-8: {error}") from error
    if not parsed.is_valid:
        lines = "\n".join(f"{path.name}: {error}" for error in parsed.errors)
        raise click.ClickException(f"the sheet has errors, nothing was changed\n{lines}")
    return parsed.classes


def _print_plan(classes: tuple[ServiceClass, ...], admin: tuple[Address, ...]) -> None:
    """Print a warning for each service whose expected load exceeds what its targets complete."""
    targets = []
    for _, response in trio.run(query_nodes, admin, "GET", "/status"):
        if response is not None:
            fields = json.loads(response.body)
            slots, service_ms = int(fields["slots"]), float(fields["service_ms"])
            targets.append(TargetCapacity(fields["service"], slots, service_ms))
    for plan in plan_services(classes, targets):
        if plan.exceeds_capacity:
            click.echo(
                f"warning: {plan.service}: {plan.demand:.0f} calls a minute expected, "
                f"its targets complete about {plan.capacity:.0f}",
                err=True,
            )


def _with_store(
    address: Address, action: Callable[[ConfigurationStore], Awaitable[Result]]
) -> Result:
    """Run an action on the stored configuration and return its result."""

    results: list[Result] = []
    errors: list[GooseberrydockError] = []

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            pool = ClientPool(address, nursery, defaults.MAX_PEER_MESSAGE_BYTES)
            configurations = create_configuration_store(create_store_client(pool), system_clock())
            try:
                results.append(await action(configurations))
            except GooseberrydockError as error:
                errors.append(error)
            nursery.cancel_scope.cancel()

    trio.run(run)
    if errors:
        raise click.ClickException(str(errors[0])) from errors[0]
    return results[0]


async def _wait_in_force(addresses: tuple[Address, ...], generation: int, timeout_s: float) -> bool:
    """Wait until all nodes report a generation, up to a timeout; print how many report it."""
    started_at = trio.current_time()
    while True:
        rows = await query_nodes(addresses, "GET", "/status")
        generations = [json.loads(r.body)["generation"] for _, r in rows if r is not None]
        reached = sum(1 for item in generations if item >= generation)
        elapsed_s = trio.current_time() - started_at
        if reached == len(addresses):
            click.echo(f"in force on {reached} of {len(addresses)} nodes after {elapsed_s:.2f} s")
            return True
        if elapsed_s > timeout_s:
            click.echo(f"in force on {reached} of {len(addresses)} nodes")
            return False
        await trio.sleep(_STATUS_POLL_PERIOD_S)


main.add_command(calls)

if __name__ == "__main__":
    sys.exit(main())
