"""``python -m tests.soak``: fault runs on real processes, one table row each."""

from __future__ import annotations

import random
import sys
import time
from pathlib import Path
from tempfile import TemporaryDirectory

import click
import uvloop
from tests.ports import choose_port
from tests.soak.own import (
    TABLE_HEAD,
    FaultRun,
    RunResult,
    RunSettings,
    WorldSettings,
    faults,
)
from tests.soak.process_control import ProcessControl

from quetzaldeck.history import write_history
from quetzaldeck.history.events import FaultInjected
from quetzaldeck.telemetry import configure_logging

DEPLOYMENTS = {
    "himal": WorldSettings(),
    "regie": WorldSettings(
        n_engines=16, zones=("salle-nord", "salle-sud", "salle-annexe")
    ),
}
N_VIOLATIONS_SHOWN = 5


@click.command()
@click.option("--seed", default=1, help="Seed of targets, pairs and arrivals.")
@click.option("--seconds", default=300, help="No run starts after this time.")
@click.option("--only", default="", help="A single run: fault names joined by +.")
@click.option("--deployment", type=click.Choice(sorted(DEPLOYMENTS)), default="himal")
@click.option("--rate", default=60.0, help="Requests per second.")
@click.option(
    "--history",
    type=click.Path(path_type=Path),
    help="Directory that receives histories.",
)
def main(
    *,
    seed: int,
    seconds: int,
    only: str,
    deployment: str,
    rate: float,
    history: Path | None,
) -> None:
    """Run each fault alone, then pairs of faults, and print a table.

    Example: python -m tests.soak --seed 7 --seconds 600
    """
    configure_logging(level="ERROR")
    end_s = time.monotonic() + seconds
    runs = [tuple(only.split("+"))] if only else list_runs(random.Random(seed))
    n_violations = 0
    click.echo(TABLE_HEAD)
    for fault_names in runs:
        if time.monotonic() > end_s:
            break
        settings = RunSettings(
            fault_names,
            seed,
            world=DEPLOYMENTS[deployment],
            requests_per_second=rate,
        )
        result = uvloop.run(run_once(settings))
        n_violations += len(result.violations)
        show(result)
        if history is not None:
            history.mkdir(parents=True, exist_ok=True)
            name = "+".join(fault_names)
            write_history(history / f"{name}-{seed}.jsonl", result.events)
    click.echo(f"{n_violations} violations")
    sys.exit(1 if n_violations else 0)


def list_runs(random_state: random.Random) -> list[tuple[str, ...]]:
    """:returns: no fault, every fault alone, then all ordered pairs, shuffled"""
    names = [name for name in faults.names if name != "none"]
    pairs = [(first, second) for first in names for second in names if first != second]
    random_state.shuffle(pairs)
    return [("none",), *((name,) for name in names), *pairs]


async def run_once(settings: RunSettings) -> RunResult:
    """:returns: result of one run, which starts and ends its own processes"""
    with TemporaryDirectory() as directory:
        async with ProcessControl(Path(directory)) as control:
            return await FaultRun(settings, control, choose_port).run()


def show(result: RunResult) -> None:
    """Print the row of one run and its first violations."""
    click.echo(result.report.render_row())
    for violation in result.violations[:N_VIOLATIONS_SHOWN]:
        click.echo(f"  {violation.render()}")
    for event in result.events:
        if isinstance(event, FaultInjected) and event.is_over:
            click.echo(f"  {event.fault}: {event.target}", err=True)
    for reason, n_calls in sorted(result.report.reasons.items()):
        click.echo(f"  {reason}: {n_calls}", err=True)


main()
