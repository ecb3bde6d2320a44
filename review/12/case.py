"""A heartbeat from another writer, whose id cannot be read, reaches one node."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))

from deployment import (  # noqa: E402
    CannotRun,
    call_once,
    client_headers,
    main,
    read_message,
    request_bytes,
    route,
)

STOCK_CALLERS, PAY_CALLERS = 30, 12
"""Callers of a path at a node, each with one request at a time on a connection that it keeps."""
STOCK_SLOTS = 40
"""Slots of a server, of which three quarters are in use, so that both nodes use both servers."""
STOCK_WORK_S = 0.2
PAY_WORK_S = 0.4
UNREADABLE_ID = "i-%FF%FE%FD"
MAX_LOST = 3


async def keep_sending(deployment, node, path, caller):
    """Send requests, one after the other, on a connection that is kept."""
    number, connection, used = 0, None, 0
    while True:
        number += 1
        request_id = f"{caller}-{number}"
        try:
            if connection is None:
                connection, used = await asyncio.open_connection(*node.entry), 0
        except OSError:
            await asyncio.sleep(0.1)
            continue
        deployment.record("sent", id=request_id, node=node.name, kept=used > 0)
        try:
            connection[1].write(request_bytes("GET", path, client_headers(request_id)))
            response = await asyncio.wait_for(read_message(connection[0]), 6.0)
            if response is None:
                raise OSError("closed")
            used += 1
            deployment.record("answered", id=request_id, status=response.status)
            if response.header("connection").lower() == "close":
                connection = None
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            why = type(error).__name__
            deployment.record("closed", id=request_id, node=node.name, kept=used > 0, why=why)
            connection = None
            await asyncio.sleep(0.1)


async def keep_running(deployment, node):
    """Start a process again that has ended by itself, as the platform does."""
    while True:
        if node.process.poll() is not None:
            deployment.record("process ended", node=node.name, status=node.process.returncode)
            await asyncio.sleep(0.5)
            node.start()
        await asyncio.sleep(0.05)


async def send_foreign_heartbeat(deployment, node):
    """Send a heartbeat that names no server, since its id cannot be read."""
    server = node.server
    fields = {
        "service": server.service,
        "address": f"{server.address[0]}:{server.address[1]}",
        "zone": "z1",
        "version": "v1",
        "slots": server.slots,
        "state": "ready",
        "coldLeftMs": 0,
        "sequence": 1,
        "born": int(time.time() * 1000),
    }
    path, headers = f"/-/instances/{UNREADABLE_ID}", [("Content-Type", "application/json")]
    body = json.dumps(fields).encode()
    response = await call_once(node.control, "PUT", path, headers, body, 1.0)
    status = response.status if response is not None else 0
    deployment.record("foreign heartbeat", node=node.name, path=path, status=status)


async def play(deployment):
    """Count the requests that run while their callers' connections are closed."""
    routes = {"look": route("stock", "/look/"), "pay": route("pay", "/pay/")}
    deployment.configure(routes, ["stock", "pay"])
    other, payments = [await deployment.add(service) for service in ("stock", "pay")]
    payments.server.work_s = PAY_WORK_S
    for node in (other, payments):
        deployment.run_task(node.server.keep_announcing())
    await deployment.wait_until_served("/look/warm")
    hit = await deployment.add("stock")
    deployment.run_task(hit.server.keep_announcing())
    await deployment.wait_until_served("/look/warm")
    await deployment.wait_until_served("/pay/warm")
    for node in (other, hit):
        node.server.work_s, node.server.slots = STOCK_WORK_S, STOCK_SLOTS
    for node in deployment.nodes:
        deployment.run_task(keep_running(deployment, node))
    for node, path, callers in (
        (hit, "/look/it", STOCK_CALLERS),
        (hit, "/pay/it", PAY_CALLERS),
        (other, "/look/it", STOCK_CALLERS),
    ):
        for number in range(callers):
            caller = f"{node.name}-{path[1:4]}-{number}"
            deployment.run_task(keep_sending(deployment, node, path, caller))
    await asyncio.sleep(5.0)
    if not deployment.events("answered"):
        raise CannotRun("no request was answered")
    if deployment.trouble:
        await send_foreign_heartbeat(deployment, hit)
    await asyncio.sleep(8.0)
    ran = {line["id"] for line in deployment.events("run")}
    closed = deployment.events("closed")
    lost = [line for line in closed if line["kept"] and line["id"] in ran]
    ended = deployment.events("process ended")
    deployment.record("counted", closed=len(closed), lost=len(lost), processes_ended=len(ended))
    if len(lost) <= MAX_LOST:
        return []
    return [
        f"LOST: {len(lost)} kept connections were closed without an answer though their requests "
        f"ran, {len(closed)} connections in all; {len(ended)} processes ended by themselves"
    ]


main(Path(__file__).resolve().parent, play)
