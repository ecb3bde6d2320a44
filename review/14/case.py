"""A server that was started again under its id leaves by DELETE before its first heartbeat arrives."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))

from deployment import (  # noqa: E402
    BOUNDS,
    CannotRun,
    Server,
    call_once,
    client_headers,
    main,
    read_message,
    request_bytes,
    route,
)

LATE_S = 5.0
"""Delay of the first heartbeat of the new start."""
DRAIN_S = BOUNDS["drainMs"] / 1000
STABLE_S = BOUNDS["stableWindowMs"] / 1000
SERVES_ON_S = 9.0
"""Time from the acknowledgement to the end of the server."""


class LeavingServer(Server):
    """Server that may start again under its id, and that leaves without reporting draining."""

    async def end(self):
        """End as a crash does."""
        self.server.close()
        for connection in list(self.connections):
            connection.transport.abort()

    async def start_again(self):
        """Start at the same address, under the same id; all counts begin anew."""
        self.born, self.sequence = int(time.time() * 1000), 0
        await self.start(self.address[1])
        self.deployment.record("server started", server=self.instance_id, born=self.born)

    async def announce_late(self):
        """Send the first heartbeat, which is on its way for some seconds."""
        self.sequence += 1
        fields = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": "z1",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        body = json.dumps(fields).encode()
        self.deployment.record("heartbeat sent", fields=fields)
        await asyncio.sleep(LATE_S)
        status = await self.call_control("PUT", body)
        self.deployment.record("heartbeat arrived", late_s=LATE_S, status=status)

    async def leave(self):
        """Send a deregistration until it is acknowledged; return the time of that."""
        for _ in range(10):
            status = await self.call_control("DELETE", json.dumps({"born": self.born}).encode())
            if status == 200:
                self.deployment.record("leaving acknowledged", server=self.instance_id)
                return self.deployment.now
            await asyncio.sleep(0.3)
        raise CannotRun("the leaving was not acknowledged")

    async def call_control(self, method, body):
        """Call the node beside this server; return the status, 0 without a response."""
        path, headers = f"/-/instances/{self.instance_id}", [("Content-Type", "application/json")]
        response = await call_once(self.control, method, path, headers, body, 1.0)
        return response.status if response is not None else 0


async def keep_sending(deployment, node, client):
    """Send short requests, one after the other, on connections that are kept."""
    number, connection = 0, None
    while True:
        number += 1
        request_id = f"{client}-{number}"
        try:
            connection = connection or await asyncio.open_connection(*node.entry)
            deployment.record("sent", id=request_id, node=node.name)
            connection[1].write(request_bytes("GET", "/look/it", client_headers(request_id)))
            response = await asyncio.wait_for(read_message(connection[0]), 6.0)
            if response is None:
                raise OSError("closed")
            deployment.record("answered", id=request_id, status=response.status)
            if response.header("connection").lower() == "close":
                connection = None
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            deployment.record("no answer", id=request_id, why=type(error).__name__)
            connection = None
        await asyncio.sleep(0.05)


async def play(deployment):
    """Let a server leave that was started again, and restart the node beside it."""
    first = await deployment.add("stock", zone="z1", server_class=LeavingServer)
    await deployment.add("stock", zone="z2")
    callers_node = await deployment.add("desk", zone="z1")
    deployment.configure({"look": route("stock", "/look/")}, ["stock", "desk"])
    beats = [deployment.run_task(node.server.keep_announcing()) for node in deployment.nodes]
    await deployment.wait_until_served("/look/warm")
    for number in range(4):
        deployment.run_task(keep_sending(deployment, callers_node, f"caller-{number}"))
    await asyncio.sleep(1.0)
    server = first.server
    beats[0].cancel()
    await server.end()
    deployment.record("server crashed", server=server.instance_id, born=server.born)
    await asyncio.sleep(1.0)
    await server.start_again()
    heartbeat = deployment.run_task(server.announce_late())
    await asyncio.sleep(1.0)
    acknowledged_at = await server.leave()
    await asyncio.sleep(0.2)
    in_touch_at = acknowledged_at
    if deployment.trouble:
        first.end()
        deployment.record("node killed", node=first.name)
        await asyncio.sleep(0.5)
        first.start()
        in_touch_at = deployment.now + STABLE_S
        deployment.record("node started", node=first.name)
    await heartbeat
    await asyncio.sleep(max(0.0, acknowledged_at + SERVES_ON_S - deployment.now))
    await server.end()
    deployment.record("server ended", server=server.instance_id)
    sent = {line["id"]: line for line in deployment.events("sent")}
    late = [
        run
        for run in deployment.events("run")
        if run["born"] == server.born
        and run["server"] == server.instance_id
        and run["id"] in sent
        and run["at"] > max(acknowledged_at + DRAIN_S, in_touch_at)
        and sent[run["id"]]["at"] > max(acknowledged_at + DRAIN_S, in_touch_at)
    ]
    if not late:
        return []
    return [
        f"DRAIN: {len(late)} requests reached {server.instance_id} from "
        f"{late[0]['at'] - acknowledged_at:.2f} to {late[-1]['at'] - acknowledged_at:.2f} s after "
        "its leaving was acknowledged"
    ]


main(Path(__file__).resolve().parent, play)
