"""Command line of ``make bench-entry``."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import click

from quetzaldeck.bench.entry_suite import run_entry_suite
from quetzaldeck.bench.entry_table import render_entry_table

if TYPE_CHECKING:
    from quetzaldeck.bench.entry_suite import EntryRun


@click.command()
@click.option(
    "--table",
    "table_path",
    type=click.Path(path_type=Path),
    default=Path("docs/design/bench-entry.md"),
    show_default=True,
    help="File for the results as Markdown tables.",
)
@click.option("--random-state", default=1, show_default=True, help="Seed of the calls.")
def main(*, table_path: Path, random_state: int) -> None:
    """Simulate entry VMs and the baselines under each load pattern and fleet."""
    runs = run_entry_suite(random_state=random_state, report=_print)
    table_path.parent.mkdir(parents=True, exist_ok=True)
    table_path.write_text(render_entry_table(runs))
    click.echo(f"written to {table_path}")


def _print(run: EntryRun) -> None:
    click.echo(f"{run.share_in_time:.3f}  {run.fleet}: {run.pattern}, {run.policy}")


if __name__ == "__main__":
    main()

__all__ = ("main",)
