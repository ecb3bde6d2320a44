"""Concurrent requests of ``gooseberrydock-ctl`` to many nodes."""

from typing import Final

import click
import trio

from gooseberrydock.http_client import fetch_on_new_connection
from gooseberrydock.http_messages import HttpRequest, HttpResponse
from gooseberrydock.members import Address

_NODE_TIMEOUT_S: Final = 3.0
"""Timeout of one node; the operator waits for the slowest one."""
_MAX_RESPONSE_BYTES: Final = 64 * 1024 * 1024
"""Limit of a response's size, above the whole state of a node in a fleet of thousands."""


async def query_nodes(
    addresses: tuple[Address, ...], method: str, path: str
) -> list[tuple[Address, HttpResponse | None]]:
    """Send a request to all nodes concurrently; a node without a success gets None.

    A response with another status comes from a program that is not a node, or not of this version.
    """
    responses: dict[Address, HttpResponse | None] = {}

    async def query(address: Address, nursery: trio.Nursery) -> None:
        request = HttpRequest(method, path, [], b"")
        response = await fetch_on_new_connection(
            address, nursery, request, _NODE_TIMEOUT_S, _MAX_RESPONSE_BYTES
        )
        if response is not None and not 200 <= response.status < 300:
            click.echo(f"{address}: status {response.status}", err=True)
            response = None
        responses[address] = response

    async with trio.open_nursery() as nursery:
        for address in addresses:
            nursery.start_soon(query, address, nursery)
    return [(address, responses[address]) for address in addresses]
