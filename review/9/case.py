"""A request that crashes each server that runs it comes again, beside little other traffic.

Without the trouble, no server crashes.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from deployment import HAS_TROUBLE, main, route

STABLE_WINDOW_S = 3.0
DOWN_S = 2.0
RETRIES = 12
RETRY_INTERVAL_S = 4.0
CRASHING_PATH = "/orders/crash"
BOOKING_INTERVAL_S = 2.0
BOOKING_WORK_S = 1.5


async def play(deployment):
    await deployment.start(["orders", "orders", "orders", "shop"])
    deployment.configure(
        {
            "r-orders": route("orders", "/orders/"),
            "r-bookings": route("orders", "/bookings/", kind="non_idempotent"),
        }
    )
    await deployment.wait_until_ready()
    shop = deployment.nodes[3]
    for number in range(30):
        await deployment.wait_until_served(shop, f"/orders/{number}")
    for server in deployment.servers:
        server.work_s = BOOKING_WORK_S
        server.crashes_on = lambda path: HAS_TROUBLE and path == CRASHING_PATH
        deployment.run(restart_crashed(server))
    deployment.run(send_bookings(deployment, shop))
    for _ in range(RETRIES):
        await deployment.request(shop, CRASHING_PATH, "POST", b"the same body")
        await asyncio.sleep(RETRY_INTERVAL_S)
    runs = [run for server in deployment.servers for run in server.runs]
    crashing = [run for run in runs if HAS_TROUBLE and run["path"] == CRASHING_PATH]
    crashes = sorted(run["at"] for run in crashing)
    # A retry counts once, also where the node sends it to a second server.
    later = (
        {run["id"] for run in crashing if run["at"] > crashes[2] + STABLE_WINDOW_S}
        if len(crashes) > 2
        else set()
    )
    broken_off = [run for run in runs if run["path"].startswith("/bookings/") and run["is_dropped"]]
    deployment.record.add(
        "verdict",
        crashes=len(crashes),
        retries_after_the_third=len(later),
        bookings_broken_off=len(broken_off),
    )
    return len(later) > 3


async def restart_crashed(server):
    """Start the server again some seconds after each crash."""
    while True:
        await asyncio.sleep(0.05)
        if not server.is_up:
            await asyncio.sleep(DOWN_S)
            await server.restart()


async def send_bookings(deployment, shop):
    number = 0
    while True:
        await asyncio.sleep(BOOKING_INTERVAL_S)
        number += 1
        deployment.run(deployment.request(shop, f"/bookings/{number}", "POST", b"one"))


main(play)
