"""Questions of ``gooseberrydock-ctl`` to many nodes at once."""

from typing import Final

import trio

from gooseberrydock.http_client import fetch_on_new_connection
from gooseberrydock.http_messages import HttpRequest, HttpResponse
from gooseberrydock.members import Address

_NODE_TIMEOUT_S: Final = 3.0
"""How long a node may take: an operator waits for the slowest."""
_MAX_DUMP_BYTES: Final = 64 * 1024 * 1024
"""Largest answer taken, above the whole state of a node in a fleet of thousands."""


async def query_nodes(
    addresses: tuple[Address, ...], method: str, path: str
) -> list[tuple[Address, HttpResponse | None]]:
    """Ask all nodes at the same time."""
    answers: dict[Address, HttpResponse | None] = {}

    async def ask(address: Address, nursery: trio.Nursery) -> None:
        request = HttpRequest(method, path, [], b"")
        answers[address] = await fetch_on_new_connection(
            address, nursery, request, _NODE_TIMEOUT_S, _MAX_DUMP_BYTES
        )

    async with trio.open_nursery() as nursery:
        for address in addresses:
            nursery.start_soon(ask, address, nursery)
    return [(address, answers[address]) for address in addresses]
