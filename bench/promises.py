"""Checks at-most-once execution with real processes under kills, pauses and outages.

Callers send bookings with their own idempotency keys and retry them through any entry, while nodes
are paused, killed and restarted, targets are slowed, and the store is down or loses responses. The
targets count the runs of each key. At the end, each key must have run at most once at every
service, no key that was reported to a caller as "not run" may have run at the shop, and each key
that was reported as done must have run there.
"""

import argparse
import random
import signal
import time
from collections import Counter
from pathlib import Path
from typing import Final

import attrs
import trio

from bench.fleet import Fleet, FleetMember, FleetSpec, ServiceSpec, fetch_json, running_fleet
from gooseberrydock import keys
from gooseberrydock.clock import system_clock
from gooseberrydock.http_client import ClientPool, fetch
from gooseberrydock.http_messages import (
    ATTEMPT_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    OUTCOME_HEADER,
    HttpRequest,
    header_value,
)
from gooseberrydock.members import parse_address
from gooseberrydock.outcomes import Outcome

_FLEET_SPEC: Final = FleetSpec(
    "promises",
    ("one", "two", "three"),
    (
        ServiceSpec("shop", 3, 20, 15.0, ("book=stock/take",)),
        ServiceSpec("stock", 3, 20, 15.0),
    ),
)
_SHEET: Final = """\
service_class,priority,expected_per_minute,call_path,deadline_ms,idempotent
booking,0,600,shop/book > stock/take,3000,no
"""
_RESPONSE_TIMEOUT_S: Final = 0.7
_MAX_ATTEMPTS: Final = 6
_RETRY_DELAY_S: Final = 0.15
_SETTLE_S: Final = 4.0


@attrs.define
class BookingResults:
    """Outcomes that callers received, by key and in total."""

    not_run: set[str] = attrs.field(factory=set)
    done: set[str] = attrs.field(factory=set)
    bookings: int = 0
    outcomes: Counter[str] = attrs.field(factory=Counter)
    """Number of bookings by their last outcome; "none" means that no response was received."""


async def _send_booking(
    pools: list[ClientPool], results: BookingResults, generator: random.Random
) -> None:
    """Send one booking and retry it until it is done, with a new key after each "not run"."""
    key, attempts = keys.create_key(system_clock().wall_ms(), generator), 0
    outcome = "none"
    for _ in range(_MAX_ATTEMPTS):
        attempts += 1
        headers = [
            (IDEMPOTENCY_KEY_HEADER, key.encode()),
            (ATTEMPT_HEADER, str(attempts).encode()),
        ]
        request = HttpRequest("POST", "/shop/book", headers, key.encode())
        response = await fetch(generator.choice(pools), request, _RESPONSE_TIMEOUT_S)
        outcome = header_value(response.headers, OUTCOME_HEADER) if response else "none"
        if response is not None and outcome == Outcome.DONE.label:
            results.done.add(key)
            break
        if outcome == Outcome.NOT_RUN.label:
            results.not_run.add(key)
            key, attempts = keys.create_key(system_clock().wall_ms(), generator), 0
        await trio.sleep(_RETRY_DELAY_S)
    results.outcomes[outcome] += 1


async def _send_bookings(
    fleet: Fleet, results: BookingResults, rate_per_s: float, seconds: float, seed: int
) -> None:
    generator = random.Random(seed)
    async with trio.open_nursery() as connections:
        pools = [ClientPool(parse_address(m.entry), connections) for m in fleet.members]
        async with trio.open_nursery() as bookings:
            bookings.start_soon(trio.to_thread.run_sync, _inject_faults, fleet, seconds, seed)
            for _ in range(int(rate_per_s * seconds)):
                await trio.sleep(generator.expovariate(rate_per_s))
                results.bookings += 1
                bookings.start_soon(_send_booking, pools, results, generator)
        connections.cancel_scope.cancel()


def _inject_faults(fleet: Fleet, seconds: float, seed: int) -> None:
    """Inject one fault after another for the given time, and leave no fault active."""
    generator = random.Random(seed + 1)
    faults = (
        _pause_node,
        _kill_and_restart_node,
        _store_outage,
        _store_loses_responses,
        _slow_target,
    )
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        generator.choice(faults)(fleet, generator)
        time.sleep(generator.uniform(0.2, 1.0))


def _pause_node(fleet: Fleet, generator: random.Random) -> None:
    process = generator.choice(fleet.members).node_process
    if process is not None:
        process.send_signal(signal.SIGSTOP)
        time.sleep(generator.uniform(0.5, 4.0))
        process.send_signal(signal.SIGCONT)


def _kill_and_restart_node(fleet: Fleet, generator: random.Random) -> None:
    member = generator.choice(fleet.members)
    fleet.kill(member.node_process)
    time.sleep(generator.uniform(0.0, 2.0))
    fleet.start_node(member)


def _store_outage(fleet: Fleet, generator: random.Random) -> None:
    _inject_store_fault(fleet, "is_down", generator)


def _store_loses_responses(fleet: Fleet, generator: random.Random) -> None:
    _inject_store_fault(fleet, "loses_answers", generator)


def _inject_store_fault(fleet: Fleet, name: str, generator: random.Random) -> None:
    fetch_json(f"http://{fleet.store}/_fault", {name: True})
    time.sleep(generator.uniform(0.5, 3.0))
    fetch_json(f"http://{fleet.store}/_fault", {})


def _slow_target(fleet: Fleet, generator: random.Random) -> None:
    member = generator.choice(fleet.members)
    fetch_json(f"http://{member.target}/_fault", {"slow_factor": 40.0})
    time.sleep(generator.uniform(0.5, 2.0))
    fetch_json(f"http://{member.target}/_fault", {})


def _runs_by_key(members: list[FleetMember]) -> Counter[str]:
    """Return how often each key ran, summed over the targets of a service."""
    total: Counter[str] = Counter()
    for member in members:
        total.update(fetch_json(f"http://{member.target}/_ledger")["by_key"])
    return total


def main() -> None:
    """Run the bookings, sum the runs by key and check the guarantees."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--rate", type=float, default=25.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    out = Path("out")
    out.mkdir(exist_ok=True)
    sheet = out / "promises.csv"
    sheet.write_text(_SHEET, encoding="utf-8")
    results = BookingResults()
    with running_fleet(_FLEET_SPEC, out) as fleet:
        fleet.apply_sheet(sheet)
        time.sleep(_SETTLE_S)
        trio.run(_send_bookings, fleet, results, arguments.rate, arguments.seconds, arguments.seed)
        time.sleep(_SETTLE_S)
        shop = _runs_by_key(fleet.members_of("shop"))
        stock = _runs_by_key(fleet.members_of("stock"))
    run_twice = [key for runs in (shop, stock) for key, count in runs.items() if count > 1]
    false_not_run = sorted(results.not_run & set(shop))
    done_but_not_run = sorted(results.done - set(shop))
    print(f"bookings {results.bookings}, last outcome {dict(results.outcomes)}")
    print(f"keys run at the shop {len(shop)}, at the stock {len(stock)}")
    print(
        f"keys run twice {len(run_twice)}, untrue 'not run' {len(false_not_run)}, "
        f"'done' not run {len(done_but_not_run)}"
    )
    if run_twice or false_not_run or done_but_not_run:
        raise SystemExit(
            f"guarantee violated: {run_twice[:3]} {false_not_run[:3]} {done_but_not_run[:3]}"
        )


if __name__ == "__main__":
    main()
