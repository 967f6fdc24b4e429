"""Command line of ``python -m quetzaldeck.capacity``: runs and prints measurements."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import click

from quetzaldeck.capacity.api import measurements, run_measurement
from quetzaldeck.capacity.relay_cost import measure_relay_cost
from quetzaldeck.cli.exit_codes import ExitCode
from quetzaldeck.telemetry import configure_logging

if TYPE_CHECKING:
    from quetzaldeck.capacity.api import Slope

RELAY_COST = "relay_cost"
RELAY_CONCURRENCY = (1, 4, 16)


@click.command()
@click.argument("names", nargs=-1)
def main(*, names: tuple[str, ...]) -> None:
    """Measure the slopes that docs/CAPACITY.md is derived from.

    Example: python -m quetzaldeck.capacity bundle_bytes relay_cost
    """
    configure_logging(level="ERROR")
    chosen = names or (*measurements.names, RELAY_COST)
    for name in chosen:
        if name == RELAY_COST:
            print_relay_cost()
        else:
            click.echo(render_slope(run_measurement(name)))
    sys.exit(ExitCode.OK)


def render_slope(slope: Slope) -> str:
    """:returns: points and fitted line of one measurement as text"""
    points = ", ".join(f"{p.size:g}: {p.value:.4g}" for p in slope.points)
    line = slope.line
    return (
        f"{slope.name} ({slope.info.value_unit} by {slope.info.size_unit})\n"
        f"  points {points}\n"
        f"  intercept {line.intercept:.4g}, slope {line.slope:.4g}, "
        f"residual {line.residual:.1%}"
    )


def print_relay_cost() -> None:
    """Measure and print the TTFT that the gateway adds at several concurrencies."""
    for concurrency in RELAY_CONCURRENCY:
        cost = measure_relay_cost(concurrency)
        click.echo(f"relay_cost, {concurrency} at a time:")
        for name, tails in (("direct", cost.direct), ("through", cost.through_gateway)):
            click.echo(
                f"  {name}: n {tails.n}, TTFT ms p50 {tails.p50:.2f}, "
                f"p95 {tails.p95:.2f}, p99 {tails.p99:.2f}"
            )
        click.echo(f"  added at p50: {cost.added_p50_ms:.2f} ms")


__all__ = ("main", "render_slope")
