"""A node is stopped while the server beside it makes calls, which the node still takes."""

import asyncio
import itertools
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import standins
from standins import Client, Fleet, Machine, Request, Server, encode_response, run_case

_OWN_WORK_S = 1.8
_CALL_WORK_S = 2.0
_DEADLINE_MS = 6_000
_CLIENTS = 24
_WARM_UP_S = 12.0
_EXCUSED_S = 3.0
"""Time after the SIGTERM from which a request that is cut is not excused by a long run."""


async def play(fleet: Fleet) -> list[str]:
    """Stop one node while requests go on; return the calls that were taken and broke off."""
    record = fleet.record
    fronts = [fleet.add_machine("registrar", "z1")]
    backs = [fleet.add_machine("scheduler", zone) for zone in ("z1", "z2")]
    others = [fleet.add_machine("gallery", zone) for zone in ("z1", "z2")]
    fleet.configure(
        {
            "r-fee": fleet.route("registrar", "/fee/", timeoutMs=_DEADLINE_MS),
            "r-plan": fleet.route("scheduler", "/plan/", timeoutMs=_DEADLINE_MS),
            "r-view": fleet.route("gallery", "/view/"),
        }
    )
    numbers = itertools.count(1)
    calls: dict[str, tuple[Machine, float, float, bool, int]] = {}

    async def call(server: Server, request: Request) -> int:
        """Make a call of a run through the node beside the server; return the status."""
        client = Client(server.machine, f"server-{server.instance_id}")
        call_id = f"call{next(numbers):05d}"
        left_ms = int(request.headers["deadline-ms"]) - int(_OWN_WORK_S * 1_000)
        sent_at = record.now()
        response = await client.send("GET", f"/plan/{call_id}", call_id, left_ms)
        is_own_failure = response.status >= 500 and "server-seal" not in response.headers
        is_cut = not response.is_complete or is_own_failure
        calls[call_id] = (server.machine, sent_at, record.now(), is_cut, left_ms)
        client.close()
        return response.status

    async def serve(
        server: Server, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        server.add_run(request)
        await asyncio.sleep(_OWN_WORK_S)
        status = await call(server, request)
        status = 200 if status == 200 else 500
        writer.write(encode_response(status, server.answer_headers(request), b"paid"))
        return True

    back_servers = [
        Server(machine, f"i-back-{machine.zone}", _CALL_WORK_S, slots=76) for machine in backs
    ]
    servers = [Server(machine, f"i-front-{machine.zone}", 0.0, serve, 76) for machine in fronts]
    servers += back_servers
    servers += [Server(machine, f"i-view-{machine.zone}", 0.05) for machine in others]
    await fleet.start(servers)
    await asyncio.sleep(standins.STABLE_S)
    statuses: list[int] = []

    async def pay(number: int) -> None:
        client = Client(others[number % 2], f"c{number}")
        await asyncio.sleep(number * 3.8 / _CLIENTS)
        for count in itertools.count(1):
            request_id = f"f{number:02d}{count:04d}"
            response = await client.send("GET", f"/fee/{request_id}", request_id, _DEADLINE_MS)
            statuses.append(response.status)

    clients = [asyncio.create_task(pay(number)) for number in range(_CLIENTS)]
    await asyncio.sleep(_WARM_UP_S)
    stopped = fronts[0]
    stopped_at = record.now()
    if standins.TROUBLE:
        stopped.signal(signal.SIGTERM)
        await asyncio.to_thread(stopped.process.wait)
        record.add("node-ended", after_s=round(record.now() - stopped_at, 3))
        if record.now() - stopped_at > standins.GRACE_S:
            raise standins.CannotRun("the node did not end within its grace time")
    await asyncio.sleep(2.0)
    for task in clients:
        task.cancel()
    ran = {request.request_id for server in back_servers for _, request in server.runs}
    breaches = []
    for call_id, (machine, sent_at, ended_at, is_cut, left_ms) in calls.items():
        was_in_time = (ended_at - sent_at) * 1_000 < left_ms - 500
        is_late_sent = sent_at > stopped_at + _EXCUSED_S
        has_run = call_id in ran
        if machine is stopped and is_cut and is_late_sent and was_in_time and has_run:
            breaches.append(
                f"LOST: {call_id}, sent {sent_at - stopped_at:.2f} s after the SIGTERM, was passed "
                f"on to a server and was broken off at {ended_at - stopped_at:.2f} s"
            )
    record.add("summary", calls=len(calls), cut=len(breaches), served=statuses.count(200))
    if statuses.count(200) < len(statuses) / 4:
        raise standins.CannotRun("less than a quarter of the requests was served")
    return breaches


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, ["z1", "z2"], play)
