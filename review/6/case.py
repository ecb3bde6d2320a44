"""A leaving is acknowledged, all processes are killed, and a late heartbeat arrives.

Without the trouble, no process is killed; the late heartbeat arrives all the same.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from deployment import HAS_TROUBLE, CouldNotRun, main, route

DRAIN_S = 2.0
HEARTBEAT_DELAY_S = 5.5


async def play(deployment):
    await deployment.start(["orders", "orders", "shop", "shop"])
    deployment.configure({"r-orders": route("orders", "/orders/")})
    await deployment.wait_until_ready()
    leaving, shops = deployment.servers[0], deployment.nodes[2:]
    for number in range(40):
        await deployment.request(shops[number % 2], f"/orders/{number}")
        await asyncio.sleep(0.05)
    if not leaving.runs:
        raise CouldNotRun("the server got no request before it left")

    # The last heartbeat is on its way for some seconds.
    late_path, late_body = leaving.heartbeat()
    leaving.announces = False
    await asyncio.sleep(0.3)
    status = await leaving.deregister()
    acknowledged_at = deployment.record.now()
    deployment.record.add("leaving_answered", server=leaving.instance_id, status=status)
    if status != 200:
        raise CouldNotRun(f"the leaving was not acknowledged: {status}")
    await asyncio.sleep(0.2)
    if HAS_TROUBLE:
        for node in deployment.nodes:
            node.kill()
    await asyncio.sleep(HEARTBEAT_DELAY_S)
    await deployment.wait_until_ready(5.0)
    status = await leaving.send_heartbeat(late_path, late_body)
    deployment.record.add("late_heartbeat", server=leaving.instance_id, status=status)
    requests = []
    for number in range(60):
        requests.append(
            deployment.run(deployment.request(shops[number % 2], f"/orders/late-{number}"))
        )
        await asyncio.sleep(0.01)
    await asyncio.gather(*requests)
    late_runs = [run for run in leaving.runs if run["at"] > acknowledged_at + DRAIN_S]
    deployment.record.add(
        "verdict", server=leaving.instance_id, runs_after_drain_time=len(late_runs)
    )
    return bool(late_runs)


main(play)
