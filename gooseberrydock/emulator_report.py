"""Tables and plots of emulated scenarios that compare the product with its baselines."""

from pathlib import Path
from typing import Any, Final

from gooseberrydock.clock import MS_PER_SECOND
from gooseberrydock.emulated_results import RequestResult, RouteResults
from gooseberrydock.emulated_scenario import EmulatedScenario
from gooseberrydock.emulator import Mode, create_emulator
from gooseberrydock.errorcodes import OPTION_INVALID
from gooseberrydock.errors import GooseberrydockError, Step

ResultsByRoute = dict[str, RouteResults]
_BIN_S: Final = 0.5
"""Width of the time bins of a plot."""
_HEADING: Final = (
    "| decides | class | asked | in time | late | refused | failed | p50 ms | p99 ms |"
)


def run_modes(scenario: EmulatedScenario, seeds: int) -> dict[Mode, ResultsByRoute]:
    """Run a scenario in each mode with the seeds 1 to ``seeds`` and merge the results."""
    results_by_mode: dict[Mode, ResultsByRoute] = {}
    for mode in Mode:
        results_by_route = results_by_mode.setdefault(mode, {})
        for seed in range(1, seeds + 1):
            for route, results in create_emulator(scenario, mode, seed).run().items():
                results_by_route.setdefault(route, RouteResults()).completed.extend(
                    results.completed
                )
    return results_by_mode


def results_table(results_by_mode: dict[Mode, ResultsByRoute]) -> str:
    """Return a table of the results by mode (``decides``) and route (``class``)."""
    lines = [_HEADING, "|" + " --- |" * 9]
    for mode, results_by_route in results_by_mode.items():
        for route, results in results_by_route.items():
            shares = [f"{results.share(result):.3f}" for result in RequestResult]
            times = [f"{results.latency_ms(quantile):.0f}" for quantile in (0.5, 0.99)]
            cells = [mode.value, route, str(results.request_count), *shares, *times]
            lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def write_results_plot(
    results_by_mode: dict[Mode, ResultsByRoute], scenario: EmulatedScenario, path: Path
) -> None:
    """Plot goodput, refusals and latency over time by route, with one column per mode.

    Raises ``OPTION_INVALID`` where matplotlib (the extra ``plot``) is not installed.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        detail = "a plot requires matplotlib, which the extra 'plot' installs"
        raise GooseberrydockError(OPTION_INVALID, Step.ADMIN, detail=detail) from error
    figure = Figure(figsize=(12, 9))
    rows = ("served in time, per s", "refused, per s", "median latency, ms")
    for column, (mode, results_by_route) in enumerate(results_by_mode.items()):
        for row, title in enumerate(rows):
            axes = figure.add_subplot(
                len(rows), len(results_by_mode), row * len(results_by_mode) + column + 1
            )
            axes.set_title(f"{mode.value}: {title}", fontsize=8)
            for route, results in results_by_route.items():
                _plot_route(axes, row, route, results, scenario)
            axes.legend(fontsize=6)
    figure.savefig(path)


def _plot_route(
    axes: Any, row: int, route: str, results: RouteResults, scenario: EmulatedScenario
) -> None:
    bins: list[RouteResults] = [
        RouteResults() for _ in range(int(scenario.duration_s / _BIN_S) + 1)
    ]
    for item in results.completed:
        bins[int(item.sent_at / MS_PER_SECOND / _BIN_S)].completed.append(item)
    times = [number * _BIN_S for number in range(len(bins))]
    if row == 2:
        values = [part.latency_ms(0.5) for part in bins]
    else:
        result = (RequestResult.IN_TIME, RequestResult.REFUSED)[row]
        values = [part.share(result) * part.request_count / _BIN_S for part in bins]
    axes.plot(times, values, label=route)
