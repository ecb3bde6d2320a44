"""The ``gooseberrydock-load`` command: sends open-loop load, or runs the emulator."""

import json
import sys
from pathlib import Path

import click
import trio

from gooseberrydock.emulated_scenario import SCENARIOS, SURGE
from gooseberrydock.emulator_report import results_table, run_modes, write_results_plot
from gooseberrydock.errors import GooseberrydockError
from gooseberrydock.load import LoadPlan, Surge, run_load
from gooseberrydock.load_report import report_table, result_to_json
from gooseberrydock.members import Address
from gooseberrydock.options import ADDRESS, setting
from gooseberrydock.sheet import parse_sheet


def parse_surge(text: str) -> Surge:
    """Parse ``start:duration:factor``, with times in seconds; raises BadParameter otherwise."""
    try:
        start_s, duration_s, factor = (float(part) for part in text.split(":"))
    except ValueError as error:
        raise click.BadParameter(f"{text!r} is not start:duration:factor") from error
    return Surge(start_s, duration_s, factor)


@click.group()
def main() -> None:
    """Send or emulate load and report the results."""


@main.command()
@setting(
    "entry", "Entry address of a node; may be repeated.", type=ADDRESS, multiple=True, required=True
)
@click.option(
    "--sheet",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    required=True,
    help="Morning sheet with the classes and expected rates to send.",
)
@click.option(
    "--duration-s", default=10.0, show_default=True, help="How long callers arrive, in seconds."
)
@click.option(
    "--scale", default=1.0, show_default=True, help="Factor on the expected rates of the sheet."
)
@click.option(
    "--surge", multiple=True, help="start:duration:factor, times in seconds; may be repeated."
)
@click.option("--resends", default=2, show_default=True, help="Retries by a caller.")
@click.option(
    "--patience-ms", default=3_000.0, show_default=True, help="Response timeout of a caller."
)
@click.option(
    "--resend-pause-ms", default=100.0, show_default=True, help="Mean pause before a retry."
)
@click.option("--callers", default=200, show_default=True, help="Number of different callers.")
@click.option("--seed", default=1, show_default=True, help="Seed of all random choices.")
@click.option(
    "--json",
    "json_path",
    type=click.Path(path_type=Path),
    help="File to which results are written.",
)
def run(
    entry: tuple[Address, ...],
    sheet: Path,
    duration_s: float,
    scale: float,
    surge: tuple[str, ...],
    resends: int,
    patience_ms: float,
    resend_pause_ms: float,
    callers: int,
    seed: int,
    json_path: Path | None,
) -> None:
    """Send the load that a morning sheet expects."""
    parsed = parse_sheet(sheet.read_text(encoding="utf-8"))
    if not parsed.is_valid:
        raise click.ClickException("\n".join(str(error) for error in parsed.errors))
    plan = LoadPlan(
        classes=parsed.classes,
        entries=entry,
        duration_s=duration_s,
        scale=scale,
        surges=tuple(parse_surge(text) for text in surge),
        retries=resends,
        response_timeout_ms=patience_ms,
        retry_pause_ms=resend_pause_ms,
        callers=callers,
        seed=seed,
    )
    result = trio.run(run_load, plan)
    click.echo(report_table(result))
    if json_path is not None:
        json_path.write_text(json.dumps(result_to_json(result)), encoding="utf-8")


@main.command()
@click.option("--day", type=click.Choice(list(SCENARIOS)), default=SURGE.name, show_default=True)
@click.option("--seeds", default=1, show_default=True, help="Number of seeds to run.")
@click.option("--plot", type=click.Path(path_type=Path), help="File to which a plot is written.")
def emulate(day: str, seeds: int, plot: Path | None) -> None:
    """Run a scenario on a virtual clock with the product and two baselines."""
    results_by_mode = run_modes(SCENARIOS[day], seeds)
    click.echo(results_table(results_by_mode))
    if plot is not None:
        try:
            write_results_plot(results_by_mode, SCENARIOS[day], plot)
        except GooseberrydockError as error:
            raise click.ClickException(str(error)) from error


if __name__ == "__main__":
    sys.exit(main())
