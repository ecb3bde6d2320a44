"""``gooseberrydock-ctl calls``: the state of nodes on the routed call path, and their refusals."""

import json
import sys
from collections.abc import Callable, Iterable
from typing import Any, Final
from urllib.parse import quote

import click
import trio

from gooseberrydock.ctl_nodes import query_nodes
from gooseberrydock.members import Address
from gooseberrydock.mesh.admin_http import REFUSALS_PATH, STATE_PATH
from gooseberrydock.options import ADDRESS, setting

_STATUS_OK: Final = 200

metrics_setting = setting(
    "metrics",
    "Metrics address of a node; may be repeated.",
    type=ADDRESS,
    multiple=True,
    required=True,
)


@click.group()
def calls() -> None:
    """Inspect nodes on the routed call path."""


@calls.command()
@metrics_setting
def routes(metrics: tuple[Address, ...]) -> None:
    """Print each route with the share of its requests that a node admits."""
    _print_rows(metrics, lambda state: state["routes"])


@calls.command()
@metrics_setting
def hosts(metrics: tuple[Address, ...]) -> None:
    """Print each node's recorded state of each host of a target."""
    _print_rows(metrics, lambda state: state["hosts"])


@calls.command()
@metrics_setting
def paths(metrics: tuple[Address, ...]) -> None:
    """Print which calls the runs of each route make, as learned at the targets."""
    _print_rows(metrics, lambda state: _path_rows(state["paths"]))


@calls.command()
@metrics_setting
def limits(metrics: tuple[Address, ...]) -> None:
    """Print the requests running, waiting and admitted at each target."""
    _print_rows(metrics, lambda state: [state["limits"]])


@calls.command()
@metrics_setting
def budget(metrics: tuple[Address, ...]) -> None:
    """Print the retries made, denied and still allowed by each node."""
    _print_rows(metrics, lambda state: [state["budget"]])


@calls.command()
@metrics_setting
@click.argument("request_id", default="")
def why(metrics: tuple[Address, ...], request_id: str) -> None:
    """Print why nodes refused a request, or their latest refusals."""
    query = f"?request={quote(request_id)}" if request_id else ""
    found = _print_rows(metrics, lambda page: page["refusals"], REFUSALS_PATH + query)
    if request_id and not found:
        raise click.ClickException(f"none of these nodes has a record of a refusal of {request_id}")


def _path_rows(needs_by_route: dict[str, dict[str, float]]) -> list[dict[str, Any]]:
    """Return a row for each route and each route that its runs call; a need is from 0 to 1."""
    return [
        {"route": route, "calls": called_route, "need": need}
        for route, needs_by_called_route in needs_by_route.items()
        for called_route, need in needs_by_called_route.items()
    ]


def _print_rows(
    addresses: tuple[Address, ...],
    select_rows: Callable[[Any], Iterable[dict[str, Any]]],
    path: str = STATE_PATH,
) -> int:
    """Print the rows of each node and return their number; exit with 1 if a node did not answer."""
    count = 0
    is_complete = True
    for address, response in trio.run(query_nodes, addresses, "GET", path):
        if response is None or response.status != _STATUS_OK:
            click.echo(f"{address}: no answer", err=True)
            is_complete = False
            continue
        for row in select_rows(json.loads(response.body)):
            count += 1
            click.echo(
                f"{address}  " + "  ".join(f"{k}={_format_value(v)}" for k, v in row.items())
            )
    if not is_complete:
        sys.exit(1)
    return count


def _format_value(value: Any) -> str:
    return json.dumps(value) if isinstance(value, dict | list) else str(value)
