"""Command line of ``make bench``."""

from __future__ import annotations

from pathlib import Path

import click

from quetzaldeck.bench.json_report import encode_report
from quetzaldeck.bench.suite import DURATION_MS, N_SEEDS, run_suite
from quetzaldeck.bench.table import render_tables


@click.command()
@click.option(
    "--report",
    "report_path",
    type=click.Path(path_type=Path),
    default=Path("bench/report.json"),
    show_default=True,
    help="File for the results as JSON.",
)
@click.option(
    "--table",
    "table_path",
    type=click.Path(path_type=Path),
    default=Path("bench/report.md"),
    show_default=True,
    help="File for the results as Markdown tables.",
)
@click.option("--duration-ms", default=DURATION_MS, show_default=True)
@click.option("--seeds", default=N_SEEDS, show_default=True)
def main(
    *, report_path: Path, table_path: Path, duration_ms: float, seeds: int
) -> None:
    """Simulate the call mixture under both profiles and both baselines."""
    report = run_suite(duration_ms=duration_ms, n_seeds=seeds)
    for path in (report_path, table_path):
        path.parent.mkdir(parents=True, exist_ok=True)
    report_path.write_bytes(encode_report(report))
    table = render_tables(report)
    table_path.write_text(table)
    click.echo(table)


if __name__ == "__main__":
    main()

__all__ = ("main",)
