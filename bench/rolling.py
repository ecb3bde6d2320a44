"""Restarts every node and target in turn under load, with real processes.

Prints the results of the requests; with graceful stops, none of them fails. Callers do not retry,
but send a request to another entry if one accepts no connection.
"""

import threading
import time
from pathlib import Path
from typing import Final

import trio

from bench.fleet import Fleet, FleetMember, FleetSpec, ServiceSpec, running_fleet
from gooseberrydock.load import LoadPlan, LoadResult, run_load
from gooseberrydock.load_report import report_table
from gooseberrydock.members import parse_address
from gooseberrydock.sheet import parse_sheet

_FLEET_SPEC: Final = FleetSpec(
    "rolling",
    ("one", "two"),
    (
        ServiceSpec("shop", 2, 20, 5.0, ("book=stock/take", "look=stock/see")),
        ServiceSpec("stock", 2, 20, 5.0),
    ),
)
_SHEET: Final = """\
service_class,priority,expected_per_minute,call_path,deadline_ms,idempotent
booking,0,600,shop/book > stock/take,5000,no
lookup,4,1200,shop/look > stock/see,5000,yes
"""
_STOP_TIMEOUT_S: Final = 45.0
_SETTLE_S: Final = 4.0


def restart(fleet: Fleet, member: FleetMember) -> float:
    """Restart a target and its node gracefully; return the seconds that their stop took."""
    if member.target_process is None or member.node_process is None:
        raise RuntimeError(f"{member.node_id} is not running")
    started = time.monotonic()
    # The stopping target requests a graceful stop of its node, which then exits by itself.
    member.target_process.terminate()
    member.target_process.wait(_STOP_TIMEOUT_S)
    member.node_process.wait(_STOP_TIMEOUT_S)
    stop_duration_s = time.monotonic() - started
    fleet.start_node(member)
    fleet.start_target(member)
    fleet.wait_until_joined()
    return stop_duration_s


def run(out: Path, members_to_restart: int | None = None) -> tuple[LoadResult, list[float]]:
    """Restart members one after another under load; return the result and the stop times."""
    out.mkdir(exist_ok=True)
    sheet_path = out / "rolling.csv"
    sheet_path.write_text(_SHEET, encoding="utf-8")
    with running_fleet(_FLEET_SPEC, out) as fleet:
        fleet.apply_sheet(sheet_path)
        time.sleep(_SETTLE_S)
        stop_load = threading.Event()
        results: list[LoadResult] = []
        entries = tuple(parse_address(member.entry) for member in fleet.members)
        thread = threading.Thread(
            target=lambda: results.append(_load(entries, stop_load)), daemon=True
        )
        thread.start()
        stop_durations_s = []
        for member in fleet.members[:members_to_restart]:
            stop_durations_s.append(restart(fleet, member))
            time.sleep(_SETTLE_S)
        stop_load.set()
        thread.join()
    return results[0], stop_durations_s


def _load(entries: tuple[object, ...], stop_load: threading.Event) -> LoadResult:
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
    return trio.run(run_load, plan, stop_load)


def main() -> None:
    """Run the rolling restart and print the results."""
    result, stop_durations_s = run(Path("out"))
    print(report_table(result))
    print("stops took " + ", ".join(f"{duration_s:.1f} s" for duration_s in stop_durations_s))


if __name__ == "__main__":
    main()
