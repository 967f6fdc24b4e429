"""Runs a range of seeds: ``python -m tests.soak.entry --seeds 50 --seconds 12``."""

from __future__ import annotations

import random
import sys
from pathlib import Path

import click
import uvloop
from tests.soak.entry.faults import FAULTS, plan_faults
from tests.soak.entry.run import RATE_PER_S, run_soak
from tests.soak.entry.world import MEMORY_MB


@click.command()
@click.option("--seeds", default=10, help="Number of runs.")
@click.option("--first", default=0, help="First seed; 0: a random one.")
@click.option("--seconds", default=12.0, help="Duration of a run.")
@click.option("--vms", default=3, help="Number of entry VMs.")
@click.option("--rate", default=RATE_PER_S, help="Calls per second.")
@click.option("--memory", default=MEMORY_MB, help="Memory of each VM, in MB.")
@click.option(
    "--fault",
    "faults",
    multiple=True,
    type=click.Choice(sorted(FAULTS)),
    help="Draw from these faults only; may be repeated.",
)
@click.option(
    "--logs",
    type=click.Path(path_type=Path),
    help="Directory for the logs of failed runs.",
)
def main(
    *,
    seeds: int,
    first: int,
    seconds: float,
    vms: int,
    rate: float,
    memory: float,
    faults: tuple[str, ...],
    logs: Path | None,
) -> None:
    """Run seeds one after the other and print the invariants that were violated."""
    start = first or random.SystemRandom().randrange(1, 1_000_000)
    n_failed = 0
    for seed in range(start, start + seeds):
        plan = plan_faults(random.Random(seed), seconds, faults or tuple(FAULTS))
        soak = run_soak(
            seed,
            duration_s=seconds,
            n_vms=vms,
            rate_per_s=rate,
            memory_mb=memory,
            plan=plan,
        )
        result = uvloop.run(soak)
        click.echo(
            f"seed {seed}: {len(result.faults)} faults, {result.n_answered} of "
            f"{result.n_calls} answered, {len(result.findings)} findings"
        )
        for finding in result.findings[:10]:
            click.echo(f"  {finding}")
        for cut_off in result.cut_off:
            click.echo(f"  at work in the last sixth of the grace: {cut_off}")
        if result.findings:
            n_failed += 1
            click.echo(f"  faults: {' '.join(result.faults)}")
            if logs is not None:
                for name, text in result.logs.items():
                    (logs / f"{seed}-{name}.log").write_text(text, encoding="utf-8")
    click.echo(f"{seeds - n_failed} passed, {n_failed} failed")
    sys.exit(1 if n_failed else 0)


if __name__ == "__main__":
    main()
