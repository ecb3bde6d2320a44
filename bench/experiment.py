"""Overload experiments with real processes on loopback: product and two baselines in one run.

Each scenario runs three times: with the product, without any control, and with fixed limits and
per-hop retries. In all three, the same callers arrive at the same times and retry failed
requests. docs/OVERLOAD.md explains the figures.
"""

import argparse
import json
import math
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import attrs
import trio

from bench.fleet import Fleet, FleetMember, FleetSpec, Mode, fetch_json, running_fleet
from bench.shapes import ASSOCIATION, CARONI
from gooseberrydock.load import LoadPlan, LoadResult, RequestRecord, Surge, run_load
from gooseberrydock.load_report import goodput, records_between, recovery_time
from gooseberrydock.members import parse_address
from gooseberrydock.sheet import parse_sheet

_ROOT: Final = Path(__file__).resolve().parent.parent
_OUT: Final = _ROOT / "out"
_SETTLE_S: Final = 3.0
TRIGGER_START_S: Final = 8.0
TRIGGER_LENGTH_S: Final = 20.0
AFTER_TRIGGER_S: Final = 12.0
END_S: Final = TRIGGER_START_S + TRIGGER_LENGTH_S + AFTER_TRIGGER_S
_SURGE_FACTOR: Final = 3.0
_SLOWDOWN_FACTOR: Final = 5.0


@attrs.frozen
class Deployment:
    """A deployment under test; its deepest service bounds its capacity."""

    spec: FleetSpec
    sheet: Path
    scale: float
    entry_service: str
    deepest_service: str
    important_class: str
    deep_operations: tuple[str, ...]
    """Operations of the deepest service."""
    entry_operations: tuple[str, ...]
    """Operations that callers request and whose call paths reach the deepest service."""
    deep_classes: tuple[str, ...]
    """Service classes whose call paths reach the deepest service."""


DEPLOYMENTS: Final = {
    "caroni": Deployment(
        CARONI,
        _ROOT / "examples" / "caroni.csv",
        1.2,
        "availability",
        "depot-stock",
        "booking",
        ("reserve", "view"),
        ("book", "check"),
        ("booking", "availability"),
    ),
    "association": Deployment(
        ASSOCIATION,
        _ROOT / "examples" / "association.csv",
        2.5,
        "directory",
        "restoration-history",
        "job-booking",
        ("append", "view"),
        ("book", "follow"),
        ("job-booking", "restoration"),
    ),
}


@attrs.frozen
class Scenario:
    """A trigger, which overloads the fleet by more load, less capacity or both."""

    name: str
    capacity_left: float
    """Share of the deepest service's capacity that is left during the trigger."""
    surge: float = 1.0
    """Factor on the arrival rate during the trigger."""
    slow_factor: float = 1.0
    """Factor on the deepest service's service time during the trigger."""
    loses_domain: bool = False
    is_uneven: bool = False
    """Whether one host of the deepest service is slower than announced, also without a trigger."""

    @property
    def trigger_end_s(self) -> float:
        """Return when the trigger ends; the loss of a domain is permanent and has no duration."""
        has_duration = self.surge > 1.0 or self.slow_factor > 1.0
        return TRIGGER_START_S + TRIGGER_LENGTH_S if has_duration else TRIGGER_START_S


SCENARIOS: Final = (
    Scenario("surge", 1.0, surge=_SURGE_FACTOR),
    Scenario("slow", 1.0 / _SLOWDOWN_FACTOR, slow_factor=_SLOWDOWN_FACTOR),
    Scenario("domain", 2.0 / 3.0, loses_domain=True),
    Scenario("surge+domain", 2.0 / 3.0, surge=_SURGE_FACTOR, loses_domain=True),
    Scenario("uneven", 1.0, surge=1.5, is_uneven=True),
)


@attrs.frozen
class Figures:
    """Figures of one scenario in one mode.

    ``important_share`` and ``important_after`` are the success shares of the important class during
    and after the trigger interval. ``goodput_share`` is the goodput of the deep classes during it,
    as a share of the attainable goodput. The other goodputs are successful requests of all classes
    per second. ``recovery_s`` is infinite without recovery, and ``amplification`` is the number of
    runs at the deepest service per run of an entry operation.
    """

    scenario: str
    mode: str
    important_share: float
    important_after: float
    goodput_share: float
    goodput_during: float
    goodput_after: float
    recovery_s: float
    amplification: float


@attrs.define
class RunCounts:
    """Count the runs at all targets, including targets killed during the scenario."""

    deployment: Deployment
    fleet: Fleet
    _counts_of_killed: Counter[str] = attrs.field(factory=Counter)

    def save_before_kill(self, member: FleetMember) -> None:
        """Save the counts of a target that is about to be killed."""
        self._counts_of_killed.update(self._counts_of(member))

    def amplification(self, killed: list[FleetMember]) -> float:
        """Return the deepest service's runs per run of an entry operation, NaN without any."""
        total = Counter(self._counts_of_killed)
        for member in self.fleet.members:
            if member not in killed:
                total.update(self._counts_of(member))
        deepest_runs = sum(
            total[f"{self.deployment.deepest_service}/{name}"]
            for name in self.deployment.deep_operations
        )
        entry_runs = sum(
            count
            for name, count in total.items()
            if name.split("/")[1] in self.deployment.entry_operations
            and name.split("/")[0] != self.deployment.deepest_service
            and name.split("/")[0] in (self.deployment.entry_service, "job-booking")
        )
        return deepest_runs / entry_runs if entry_runs else math.nan

    def _counts_of(self, member: FleetMember) -> Counter[str]:
        try:
            ledger = fetch_json(f"http://{member.target}/_ledger")
        except OSError:
            return Counter()
        counts: dict[str, int] = ledger["by_operation"]
        return Counter({f"{member.service.name}/{name}": n for name, n in counts.items()})


def run_scenario(deployment: Deployment, scenario: Scenario, mode: Mode) -> tuple[Figures, Any]:
    """Run one scenario in one mode; return its figures and the result of the load."""
    with running_fleet(deployment.spec, _OUT, mode) as fleet:
        if mode is Mode.CONTROLLED:
            fleet.apply_sheet(deployment.sheet)
        if scenario.is_uneven:
            _set_uneven(deployment, fleet)
        time.sleep(_SETTLE_S)
        run_counts = RunCounts(deployment, fleet)
        killed: list[FleetMember] = []
        steps = _create_trigger_steps(deployment, scenario, fleet, run_counts, killed)
        result = _run_load_with_steps(_create_plan(deployment, scenario, fleet), steps)
        amplification = run_counts.amplification(killed)
    figures = _compute_figures(deployment, scenario, mode, result.records, amplification)
    return figures, result


def _create_plan(deployment: Deployment, scenario: Scenario, fleet: Fleet) -> LoadPlan:
    sheet = parse_sheet(deployment.sheet.read_text(encoding="utf-8"))
    remaining = [m for m in fleet.members if m.domain != _lost_domain(deployment, scenario)]
    first_services = {item.entry.service for item in sheet.classes}
    is_baseline = fleet.mode is not Mode.CONTROLLED
    entries_by_service: dict[str, list[FleetMember]] = {}
    for member in remaining:
        if member.service.name in first_services:
            entries_by_service.setdefault(member.service.name, []).append(member)
    surges = (
        (Surge(TRIGGER_START_S, TRIGGER_LENGTH_S, scenario.surge),) if scenario.surge > 1 else ()
    )
    all_entries = [m for members in entries_by_service.values() for m in members]
    return LoadPlan(
        classes=sheet.classes,
        entries=tuple(parse_address(m.entry) for m in all_entries),
        duration_s=END_S,
        scale=deployment.scale,
        surges=surges,
        retries=3,
        response_timeout_ms=2_500.0,
        retry_pause_ms=100.0,
        callers=500,
        seed=11,
        entries_by_service=(
            {
                name: tuple(parse_address(m.entry) for m in members)
                for name, members in entries_by_service.items()
            }
            if is_baseline
            else {}
        ),
    )


def _lost_domain(deployment: Deployment, scenario: Scenario) -> str:
    """Return the domain that a scenario loses; callers use only entries in other domains."""
    return deployment.spec.domains[-1] if scenario.loses_domain else ""


def _set_uneven(deployment: Deployment, fleet: Fleet) -> None:
    """Make one host of the deepest service three times as slow as announced."""
    slow = fleet.members_of(deployment.deepest_service)[0]
    fetch_json(f"http://{slow.target}/_fault", {"slow_factor": 3.0})


@attrs.frozen
class TriggerStep:
    """An action that starts or ends the trigger, at a given time of the run."""

    at_s: float
    action: Callable[[], None]


def _create_trigger_steps(
    deployment: Deployment,
    scenario: Scenario,
    fleet: Fleet,
    run_counts: RunCounts,
    killed: list[FleetMember],
) -> list[TriggerStep]:
    steps = []
    if scenario.slow_factor > 1.0:
        targets = [m.target for m in fleet.members_of(deployment.deepest_service)]
        end_s = TRIGGER_START_S + TRIGGER_LENGTH_S
        steps.append(
            TriggerStep(TRIGGER_START_S, lambda: _slow_down(targets, scenario.slow_factor))
        )
        steps.append(TriggerStep(end_s, lambda: _slow_down(targets, 1.0)))
    if scenario.loses_domain:
        lost = [m for m in fleet.members if m.domain == _lost_domain(deployment, scenario)]
        steps.append(TriggerStep(TRIGGER_START_S, lambda: _kill(fleet, lost, run_counts, killed)))
    return steps


def _slow_down(targets: list[str], factor: float) -> None:
    for target in targets:
        fetch_json(f"http://{target}/_fault", {"slow_factor": factor})


def _kill(
    fleet: Fleet, members: list[FleetMember], run_counts: RunCounts, killed: list[FleetMember]
) -> None:
    """Kill all processes of a failure domain at once."""
    for member in members:
        run_counts.save_before_kill(member)
    for member in members:
        killed.append(member)
        fleet.kill(member.target_process)
        fleet.kill(member.node_process)


def _run_load_with_steps(plan: LoadPlan, steps: list[TriggerStep]) -> LoadResult:
    results: list[LoadResult] = []
    thread = threading.Thread(target=lambda: results.append(trio.run(run_load, plan)), daemon=True)
    started = time.monotonic()
    thread.start()
    for step in steps:
        time.sleep(max(0.0, started + step.at_s - time.monotonic()))
        step.action()
    thread.join()
    return results[0]


def _compute_figures(
    deployment: Deployment,
    scenario: Scenario,
    mode: Mode,
    records: tuple[RequestRecord, ...],
    amplification: float,
) -> Figures:
    trigger_end = TRIGGER_START_S + TRIGGER_LENGTH_S
    deep = [r for r in records if r.class_name in deployment.deep_classes]
    important = [r for r in records if r.class_name == deployment.important_class]
    during = goodput(deep, TRIGGER_START_S, trigger_end)
    return Figures(
        scenario=scenario.name,
        mode=mode.value,
        important_share=_success_ratio(records_between(important, TRIGGER_START_S, trigger_end)),
        important_after=_success_ratio(records_between(important, trigger_end, END_S)),
        goodput_share=during / _attainable_goodput(deployment, scenario),
        goodput_during=goodput(records, TRIGGER_START_S, trigger_end),
        goodput_after=goodput(records, trigger_end, END_S - 2.0),
        recovery_s=recovery_time(records, (2.0, TRIGGER_START_S), scenario.trigger_end_s, END_S),
        amplification=amplification,
    )


def _success_ratio(records: list[RequestRecord]) -> float:
    return sum(r.is_success for r in records) / len(records) if records else math.nan


def _attainable_goodput(deployment: Deployment, scenario: Scenario) -> float:
    """Return the lower of the capacity left and the offered load of the deep classes."""
    service = next(s for s in deployment.spec.services if s.name == deployment.deepest_service)
    capacity = service.servers * service.slots / (service.service_ms / 1000)
    capacity *= scenario.capacity_left
    if scenario.is_uneven:
        capacity *= (service.servers - 1 + 1 / 3.0) / service.servers
    sheet = parse_sheet(deployment.sheet.read_text(encoding="utf-8"))
    deep = [item for item in sheet.classes if item.name in deployment.deep_classes]
    offered = sum(item.expected_per_minute for item in deep) / 60 * deployment.scale
    return min(capacity, offered * scenario.surge)


def print_table(rows: list[Figures]) -> None:
    """Print the figures as a table."""
    print(
        f"{'scenario':<14}{'mode':<32}{'bookings':>9}{'after':>8}{'of reach':>9}"
        f"{'goodput':>9}{'after':>8}{'recovery':>10}{'amplif.':>9}"
    )
    for row in rows:
        print(
            f"{row.scenario:<14}{row.mode:<32}{row.important_share:>9.3f}"
            f"{row.important_after:>8.3f}{row.goodput_share:>9.3f}{row.goodput_during:>9.1f}"
            f"{row.goodput_after:>8.1f}{row.recovery_s:>10.1f}{row.amplification:>9.2f}",
            flush=True,
        )


def write_plot(runs: dict[str, Any], path: Path) -> None:
    """Plot goodput over time, one panel for each scenario, where matplotlib is installed."""
    try:
        from matplotlib.figure import Figure
    except ImportError:
        print("no plot: matplotlib is not installed; install the extra 'plot'")
        return
    names = sorted({key.split("|")[0] for key in runs})
    figure = Figure(figsize=(9, 2.6 * len(names)))
    for index, name in enumerate(names, start=1):
        axes = figure.add_subplot(len(names), 1, index)
        for key, result in runs.items():
            if key.split("|")[0] == name:
                seconds = list(range(int(END_S)))
                axes.plot(
                    seconds,
                    [goodput(result.records, second, second + 1) for second in seconds],
                    label=key.split("|")[1],
                )
        axes.axvspan(TRIGGER_START_S, TRIGGER_START_S + TRIGGER_LENGTH_S, alpha=0.1)
        axes.set_title(name)
        axes.set_ylabel("goodput/s")
        axes.legend(loc="lower right", fontsize="small")
    figure.tight_layout()
    figure.savefig(path)


def main() -> None:
    """Run the selected scenarios and write table, JSON and plot."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="caroni")
    parser.add_argument(
        "--scenario", action="append", help="run only this scenario; may be given more than once"
    )
    parser.add_argument("--only-product", action="store_true", help="run without the baselines")
    arguments = parser.parse_args()
    deployment = DEPLOYMENTS[arguments.deployment]
    modes = [Mode.CONTROLLED] if arguments.only_product else list(Mode)
    rows: list[Figures] = []
    runs: dict[str, Any] = {}
    for scenario in SCENARIOS:
        if arguments.scenario and scenario.name not in arguments.scenario:
            continue
        for mode in modes:
            figures, result = run_scenario(deployment, scenario, mode)
            rows.append(figures)
            runs[f"{scenario.name}|{mode.value}"] = result
            print_table([figures])
    print()
    print_table(rows)
    name = f"experiment-{arguments.deployment}"
    plain = [attrs.asdict(row) for row in rows]
    (_OUT / f"{name}.json").write_text(json.dumps(plain, indent=2), encoding="utf-8")
    write_plot(runs, _OUT / f"{name}.png")


if __name__ == "__main__":
    main()
