"""Runs the demo: four services in a chain, three failure domains, and an example sheet's load."""

import subprocess
import sys
from pathlib import Path

from bench import latency
from bench.fleet import Fleet, running_fleet
from bench.shapes import CARONI

_ROOT = Path(__file__).resolve().parent.parent
_SHEET = _ROOT / "examples" / "caroni.csv"
_OUT = _ROOT / "out"
_DURATION_S = 20
_SURGE = "6:6:3"
"""Start and duration in seconds, and factor on the arrival rate."""
_LATENCY_CALLS = 1_000


def main() -> None:
    """Run the fleet, apply the sheet, send the load and print the tables."""
    print("starting 1 store, 12 nodes and 12 targets ...", flush=True)
    with running_fleet(CARONI, _OUT) as fleet:
        print(fleet.apply_sheet(_SHEET).strip(), flush=True)
        print(
            f"sending the sheet's load for {_DURATION_S} s, surge 3x from 6 s to 12 s", flush=True
        )
        _send_load(fleet)
        print()
        print(fleet.ctl("status", *fleet.admin_arguments()), flush=True)
    print("added latency with two nodes on the path, one call at a time:", flush=True)
    latency.run(_OUT, _LATENCY_CALLS)
    print("stopped; nothing is left running")


def _send_load(fleet: Fleet) -> None:
    entries = [part for m in fleet.members_of("availability") for part in ("--entry", m.entry)]
    command = [sys.executable, "-m", "gooseberrydock.load_main", "run", "--sheet", str(_SHEET)]
    command += [*entries, "--duration-s", str(_DURATION_S), "--surge", _SURGE]
    subprocess.run(command, check=True)


if __name__ == "__main__":
    main()
