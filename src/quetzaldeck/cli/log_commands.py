"""Commands ``quetzaldeck logs ...``."""

from __future__ import annotations

from datetime import UTC, datetime
from itertools import chain
from typing import TYPE_CHECKING

import click

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.telemetry.losses import (
    IN_TIME,
    count_outcomes,
    find_loss_windows,
    read_outcomes,
)
from quetzaldeck.telemetry.predictions import compare_predictions
from quetzaldeck.telemetry.request_trace import trace_request

if TYPE_CHECKING:
    from collections import Counter
    from typing import TextIO

    from quetzaldeck.telemetry.losses import LossWindow
    from quetzaldeck.telemetry.request_trace import TraceLine


_files_argument = click.argument(
    "files", type=click.File(errors="replace"), nargs=-1, required=True
)


@click.group("logs")
def logs_group() -> None:
    """Analyse the logs of entry VMs."""


@logs_group.command("predictions")
@_files_argument
def predictions_command(*, files: tuple[TextIO, ...]) -> None:
    """Compare predicted and measured times to first token.

    Prints a line for each length class of prompts. A median ratio of measured to
    predicted time far from 1 means that the engines are not as fast as configured.

    Example: quetzaldeck logs predictions entry-a.log entry-b.log
    """
    rows = compare_predictions(chain.from_iterable(files))
    click.echo("length        n  seen ms  ratio   p95  error ms")
    for row in rows:
        click.echo(
            f"{row.length:8} {row.n_requests:6d} {row.measured_ms:8.0f} "
            f"{row.median_ratio:6.2f} {row.p95_ratio:5.2f} {row.median_error_ms:9.0f}"
        )


@logs_group.command("losses")
@_files_argument
@click.option(
    "--moment-ms",
    type=click.FloatRange(min=1.0),
    default=2_000.0,
    show_default=True,
    help="Length of the compared time windows, in ms.",
)
@click.option(
    "--n-moments",
    type=click.IntRange(min=0),
    default=6,
    show_default=True,
    help="Number of time windows to print, those with most losses first.",
)
def losses_command(
    *, files: tuple[TextIO, ...], moment_ms: float, n_moments: int
) -> None:
    """Count late, refused and failed requests by route and time.

    Prints a line for each route, then one for each of the worst time windows.

    A request that was refused and sent again is counted each time.

    Example: quetzaldeck logs losses entry-a.log entry-b.log
    """
    outcomes = read_outcomes(chain.from_iterable(files))
    for route, counts in sorted(count_outcomes(outcomes).items()):
        click.echo(_describe_route(route, counts))
    for window in find_loss_windows(outcomes, moment_ms)[:n_moments]:
        click.echo(_describe_window(window))


@logs_group.command("request")
@click.argument("request_id")
@_files_argument
@click.option(
    "--margin-ms",
    type=click.FloatRange(min=0.0),
    default=2_000.0,
    show_default=True,
    help="Time before and after the request in which faults of its upstreams are "
    "shown, in ms.",
)
def request_command(
    *, request_id: str, files: tuple[TextIO, ...], margin_ms: float
) -> None:
    """Print the log lines about one request from all VMs.

    Then prints the faults of the upstreams that it was sent to, and of those that
    prefilled parts of its prompt: number of lines and first line of each fault.

    Example: quetzaldeck logs request 9c41d07be2a35f68 logs/*.log
    """
    logs = {file.name: file for file in files}
    trace = trace_request(request_id, logs, margin_ms=margin_ms)
    if not trace.own:
        msg = f"no line names request '{request_id}' in {len(files)} logs"
        raise click.ClickException(msg)
    for line in trace.own:
        click.echo(_describe_line(line))
    if trace.faults:
        click.echo(
            "its upstreams at the same time, number and first line of each fault:"
        )
    for fault in trace.faults:
        click.echo(f"{fault.n_lines:4} x {_describe_line(fault.first)}")


def _describe_line(line: TraceLine) -> str:
    at = datetime.fromtimestamp(line.at_ms / MS_PER_SECOND, UTC)
    return f"{at:%H:%M:%S}.{at.microsecond // 1_000:03} {line.log} {line.text}"


def _describe_route(route: str, counts: Counter[str]) -> str:
    total = counts.total()
    in_time = counts[IN_TIME] / total
    return f"{route or '-':20} {total:6d} {in_time:6.3f}  {_describe_counts(counts)}"


def _describe_window(window: LossWindow) -> str:
    started = datetime.fromtimestamp(window.started_ms / MS_PER_SECOND, UTC)
    n_lost = window.n_lost.total()
    counts = _describe_counts(window.n_lost)
    return f"{started:%H:%M:%S} {n_lost} of {window.n_all}: {counts}"


def _describe_counts(counts: Counter[str]) -> str:
    return " ".join(f"{result}={count}" for result, count in counts.most_common())


__all__ = ("logs_group",)
