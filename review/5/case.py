"""A server says that it is gone to a node that was restarted; an earlier heartbeat arrives late."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import standins
from standins import Client, Fleet, Machine, Server, run_case

_LATE_S = 2.5
"""Time for which one heartbeat is on its way."""
_MARGIN_S = 0.5
_SERVES_ON_S = 9.0
"""Time for which the server serves on after the acknowledgement."""


async def start_late_path(machine: Machine) -> tuple[str, int]:
    """Start a proxy that passes bytes on to a node's control address late; return its address."""

    async def relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        data = await reader.read(65_536)
        await asyncio.sleep(_LATE_S)
        to_reader, to_writer = await asyncio.open_connection(*machine.control)
        to_writer.write(data)
        answer = await to_reader.read(65_536)
        machine.fleet.record.add("late-heartbeat-answered", answer=answer[:12])
        to_writer.close()
        writer.close()

    server = await asyncio.start_server(relay, machine.ip, 0)
    return server.sockets[0].getsockname()[:2]


async def play(fleet: Fleet) -> list[str]:
    """Let a server leave while clients send requests; return its runs after the drain time."""
    record = fleet.record
    leaving = fleet.add_machine("depots", "z1")
    staying = fleet.add_machine("depots", "z2")
    caller = fleet.add_machine("ledger", "z1")
    fleet.configure(
        {"r-stock": fleet.route("depots", "/stock/"), "r-hist": fleet.route("ledger", "/hist/")}
    )
    server = Server(leaving, "i-leaving")
    await fleet.start([server, Server(staying, "i-staying"), Server(caller, "i-ledger")])
    await asyncio.sleep(standins.STABLE_S)
    statuses: list[int] = []

    async def run_client(machine: Machine, name: str) -> None:
        client, count = Client(machine, name), 0
        while True:
            count += 1
            request_id = f"{name}{count:05d}"
            response = await client.send("GET", f"/stock/{request_id}", request_id, 2_000)
            statuses.append(response.status)
            await asyncio.sleep(0.05)

    clients = [
        asyncio.create_task(run_client(caller, "a")),
        asyncio.create_task(run_client(staying, "b")),
    ]
    await asyncio.sleep(1.0)
    server.beats = False
    started_at = record.now()
    if standins.TROUBLE:
        leaving.kill()
        await asyncio.sleep(standins.RESTART_S)
        leaving.start()
        await leaving.until_ready()
        started_at = record.now()
        # The heartbeat that is due now is on its way for some seconds.
        late_path = await start_late_path(leaving)
        record.add("heartbeat-sent", sequence=server.sequence + 1, late_s=_LATE_S)
        path, body = f"/-/instances/{server.instance_id}", server.beat_body()
        await standins.exchange_without_answer(late_path, "PUT", path, body)
        # The server has waited a second for the acknowledgement, and leaves as planned.
    status = await server.leave()
    acknowledged_at = record.now()
    record.add("leaving-acknowledged", status=status)
    if status != 200:
        raise standins.CannotRun("the leaving was not acknowledged")
    await asyncio.sleep(_SERVES_ON_S)
    for task in clients:
        task.cancel()
    server.crash()
    counts_from = (
        max(acknowledged_at + standins.DRAIN_S, started_at + standins.STABLE_S) + _MARGIN_S
    )
    late = [(at, request) for at, request in server.runs if at > counts_from]
    record.add(
        "summary",
        acknowledged_at=round(acknowledged_at, 3),
        counts_from=round(counts_from, 3),
        late_runs=len(late),
        served=statuses.count(200),
        requests=len(statuses),
    )
    if statuses.count(200) < len(statuses) / 4:
        raise standins.CannotRun("less than a quarter of the requests was served")
    return [
        f"DRAIN: {request.request_id} reached the server {at - acknowledged_at:.2f} s after its "
        "leaving was acknowledged"
        for at, request in late
    ]


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, ["z1", "z2"], play)
