"""A rolling restart of every node and target under load, with real processes.

Prints how the whole requests ended; a graceful stop lets none of them fail.
"""

import threading
import time
from pathlib import Path
from typing import Final

import trio

from bench.fleet import Fleet, FleetShape, Member, ServiceShape, running_fleet
from gooseberrydock.load import LoadPlan, LoadResult, run_load
from gooseberrydock.load_report import report_table
from gooseberrydock.members import parse_address
from gooseberrydock.sheet import parse_sheet

_SHAPE: Final = FleetShape(
    "rolling",
    ("one", "two"),
    (
        ServiceShape("shop", 2, 20, 5.0, ("book=stock/take", "look=stock/see")),
        ServiceShape("stock", 2, 20, 5.0),
    ),
)
_SHEET: Final = """\
service_class,priority,expected_per_minute,call_path,deadline_ms,idempotent
booking,0,600,shop/book > stock/take,5000,no
lookup,4,1200,shop/look > stock/see,5000,yes
"""
_STOP_TIMEOUT_S: Final = 45.0
_SETTLE_S: Final = 4.0


def restart(fleet: Fleet, member: Member) -> float:
    """Stop a target and its node gracefully, start both anew; return how long the stop took."""
    if member.target_process is None or member.node_process is None:
        raise RuntimeError(f"{member.node_id} does not run")
    started = time.monotonic()
    member.target_process.terminate()
    member.target_process.wait(_STOP_TIMEOUT_S)
    member.node_process.wait(_STOP_TIMEOUT_S)
    stopped_after = time.monotonic() - started
    fleet.start_node(member)
    fleet.start_target(member)
    fleet.wait_until_joined()
    return stopped_after


def run(out: Path, members_to_restart: int | None = None) -> tuple[LoadResult, list[float]]:
    """Restart members one after the other under load."""
    out.mkdir(exist_ok=True)
    sheet_path = out / "rolling.csv"
    sheet_path.write_text(_SHEET, encoding="utf-8")
    with running_fleet(_SHAPE, out) as fleet:
        fleet.apply_sheet(sheet_path)
        time.sleep(_SETTLE_S)
        stop = threading.Event()
        results: list[LoadResult] = []
        entries = tuple(parse_address(member.entry) for member in fleet.members)
        thread = threading.Thread(target=lambda: results.append(_load(entries, stop)), daemon=True)
        thread.start()
        times = []
        for member in fleet.members[:members_to_restart]:
            times.append(restart(fleet, member))
            time.sleep(_SETTLE_S)
        stop.set()
        thread.join()
    return results[0], times


def _load(entries: tuple[object, ...], stop: threading.Event) -> LoadResult:
    plan = LoadPlan(
        classes=parse_sheet(_SHEET).classes,
        entries=entries,  # type: ignore[arg-type]
        duration_s=600.0,
        scale=1.0,
        surges=(),
        retries=0,
        response_timeout_ms=6_000.0,
        retry_pause_ms=100.0,
        callers=50,
        seed=2,
        uses_entry_failover=True,
    )
    return trio.run(run_load, plan, stop)


def main() -> None:
    """Run and print."""
    result, times = run(Path("out"))
    print(report_table(result))
    print("stops took " + ", ".join(f"{value:.1f} s" for value in times))


if __name__ == "__main__":
    main()
