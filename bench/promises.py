"""Bookings with real processes under kills, freezes and outages; the targets keep the books.

Callers send bookings with keys of their own, again and again through any entry, while nodes are
frozen, killed and restarted, targets are slowed, and the store is down or loses answers. In the
end each key must have run at most once at every service, and no key that a caller was told was
"not run" may have run at all.
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

from bench.fleet import Fleet, FleetShape, Member, ServiceShape, fetch_json, running_fleet
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

_SHAPE: Final = FleetShape(
    "promises",
    ("one", "two", "three"),
    (
        ServiceShape("shop", 3, 20, 15.0, ("book=stock/take",)),
        ServiceShape("stock", 3, 20, 15.0),
    ),
)
_SHEET: Final = """\
service_class,priority,expected_per_minute,call_path,deadline_ms,idempotent
booking,0,600,shop/book > stock/take,3000,no
"""
_PATIENCE_S: Final = 0.7
_MAX_SENDINGS: Final = 6
_PAUSE_S: Final = 0.15
_SETTLE_S: Final = 4.0


@attrs.define
class Books:
    """Hold what callers were told about each key."""

    not_run: set[str] = attrs.field(factory=set)
    done: set[str] = attrs.field(factory=set)
    requests: int = 0
    outcomes: Counter[str] = attrs.field(factory=Counter)


async def _book(pools: list[ClientPool], books: Books, generator: random.Random) -> None:
    """Send one booking until it is done, with a new key after each "not run"."""
    key, sendings = keys.create_key(system_clock().wall_ms(), generator), 0
    outcome = "none"
    for _ in range(_MAX_SENDINGS):
        sendings += 1
        headers = [
            (IDEMPOTENCY_KEY_HEADER, key.encode()),
            (ATTEMPT_HEADER, str(sendings).encode()),
        ]
        request = HttpRequest("POST", "/shop/book", headers, key.encode())
        response = await fetch(generator.choice(pools), request, _PATIENCE_S)
        outcome = header_value(response.headers, OUTCOME_HEADER) if response else "none"
        if response is not None and outcome == Outcome.DONE.label:
            books.done.add(key)
            break
        if outcome == Outcome.NOT_RUN.label:
            books.not_run.add(key)
            key, sendings = keys.create_key(system_clock().wall_ms(), generator), 0
        await trio.sleep(_PAUSE_S)
    books.outcomes[outcome] += 1


async def _send_bookings(
    fleet: Fleet, books: Books, rate: float, seconds: float, seed: int
) -> None:
    generator = random.Random(seed)
    async with trio.open_nursery() as connections:
        pools = [ClientPool(parse_address(m.entry), connections) for m in fleet.members]
        async with trio.open_nursery() as bookings:
            bookings.start_soon(trio.to_thread.run_sync, _make_faults, fleet, seconds, seed)
            for _ in range(int(rate * seconds)):
                await trio.sleep(generator.expovariate(rate))
                books.requests += 1
                bookings.start_soon(_book, pools, books, generator)
        connections.cancel_scope.cancel()


def _make_faults(fleet: Fleet, seconds: float, seed: int) -> None:
    """Bring about one fault after the other until the time is over; leave all well."""
    generator = random.Random(seed + 1)
    faults = (_freeze, _kill_and_restart, _store_down, _store_loses_answers, _slow_target)
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        generator.choice(faults)(fleet, generator)
        time.sleep(generator.uniform(0.2, 1.0))


def _freeze(fleet: Fleet, generator: random.Random) -> None:
    process = generator.choice(fleet.members).node_process
    if process is not None:
        process.send_signal(signal.SIGSTOP)
        time.sleep(generator.uniform(0.5, 4.0))
        process.send_signal(signal.SIGCONT)


def _kill_and_restart(fleet: Fleet, generator: random.Random) -> None:
    member = generator.choice(fleet.members)
    fleet.kill(member.node_process)
    time.sleep(generator.uniform(0.0, 2.0))
    fleet.start_node(member)


def _store_down(fleet: Fleet, generator: random.Random) -> None:
    _store_fault(fleet, "is_down", generator)


def _store_loses_answers(fleet: Fleet, generator: random.Random) -> None:
    _store_fault(fleet, "loses_answers", generator)


def _store_fault(fleet: Fleet, name: str, generator: random.Random) -> None:
    fetch_json(f"http://{fleet.store}/_fault", {name: True})
    time.sleep(generator.uniform(0.5, 3.0))
    fetch_json(f"http://{fleet.store}/_fault", {})


def _slow_target(fleet: Fleet, generator: random.Random) -> None:
    member = generator.choice(fleet.members)
    fetch_json(f"http://{member.target}/_fault", {"slow_factor": 40.0})
    time.sleep(generator.uniform(0.5, 2.0))
    fetch_json(f"http://{member.target}/_fault", {})


def _runs_by_key(members: list[Member]) -> Counter[str]:
    """Add up how often each key ran on the targets of a service."""
    total: Counter[str] = Counter()
    for member in members:
        total.update(fetch_json(f"http://{member.target}/_ledger")["by_key"])
    return total


def main() -> None:
    """Run, add up and judge."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--rate", type=float, default=25.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    out = Path("out")
    out.mkdir(exist_ok=True)
    sheet = out / "promises.csv"
    sheet.write_text(_SHEET, encoding="utf-8")
    books = Books()
    with running_fleet(_SHAPE, out) as fleet:
        fleet.apply_sheet(sheet)
        time.sleep(_SETTLE_S)
        trio.run(_send_bookings, fleet, books, arguments.rate, arguments.seconds, arguments.seed)
        time.sleep(_SETTLE_S)
        shop = _runs_by_key(fleet.members_of("shop"))
        stock = _runs_by_key(fleet.members_of("stock"))
    twice = [key for runs in (shop, stock) for key, count in runs.items() if count > 1]
    untrue = sorted(books.not_run & set(shop))
    lost = sorted(books.done - set(shop))
    print(f"bookings {books.requests}, last outcome {dict(books.outcomes)}")
    print(f"keys run at the shop {len(shop)}, at the stock {len(stock)}")
    print(
        f"keys run twice {len(twice)}, untrue 'not run' {len(untrue)}, 'done' not run {len(lost)}"
    )
    if twice or untrue or lost:
        raise SystemExit(f"broken promise: {twice[:3]} {untrue[:3]} {lost[:3]}")


if __name__ == "__main__":
    main()
