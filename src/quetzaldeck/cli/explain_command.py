"""Command ``quetzaldeck explain``."""

from __future__ import annotations

import sys
from typing import Any

import aiohttp
import click
import msgspec
import uvloop

from quetzaldeck.cli.common import EPILOG
from quetzaldeck.cli.exit_codes import ExitCode
from quetzaldeck.entry.explain_query import MAX_TOKENS
from quetzaldeck.http.answer_bounds import open_client
from quetzaldeck.json_decoder import JsonDecoder
from quetzaldeck.telemetry.log import format_value

HTTP_OK = 200
TIMEOUT = aiohttp.ClientTimeout(total=5.0)

MAX_ANSWER_BYTES = 8 << 20
"""Limit on the answer: some 300 bytes for each upstream of a service."""

DEFAULT_OUTPUT_TOKENS = 256

COLUMNS = (
    "name",
    "availability_zone",
    "role",
    "excluded_by",
    "health",
    "requests",
    "kv_tokens",
    "backlog_ms",
    "load_age_ms",
    "limit_wait_ms",
    "closed_ms",
    "cost",
)


class ExplainError(Exception):
    """Raised if a VM does not explain a placement."""


@click.command("explain", epilog=EPILOG)
@click.argument("address", metavar="URL")
@click.option(
    "--route",
    required=True,
    metavar="HOST/PATH",
    help="Host and path of the request, as a caller sends them.",
)
@click.option("--customer", default="", help="Customer; none on a public route.")
@click.option(
    "--prompt-tokens",
    "n_prompt_tokens",
    type=click.IntRange(1, MAX_TOKENS),
    required=True,
    help="Tokens of the prompt; plain services ignore them.",
)
@click.option(
    "--output-tokens",
    "max_output_tokens",
    type=click.IntRange(0, MAX_TOKENS),
    default=DEFAULT_OUTPUT_TOKENS,
    show_default=True,
    help="Limit on the generated tokens.",
)
@click.option("--json", "is_json", is_flag=True, help="Print the answer as JSON.")
def explain_command(
    *,
    address: str,
    route: str,
    customer: str,
    n_prompt_tokens: int,
    max_output_tokens: int,
    is_json: bool,
) -> None:
    """Print where an entry VM would send a request now, and why, without sending it.

    URL is the metrics address of the VM. The answer holds for this VM at this moment.
    Exits with 1 if the VM does not answer within 5 s, or knows no such route or
    customer.

    Example: quetzaldeck explain http://127.0.0.1:21001 --route gym.example/plan/
    --customer gym --prompt-tokens 5000
    """
    query = {
        "route": route,
        "customer": customer,
        "prompt_tokens": str(n_prompt_tokens),
        "output_tokens": str(max_output_tokens),
    }
    try:
        answer = uvloop.run(_ask(address, query))
    except ExplainError as error:
        click.echo(f"{address} error={format_value(error)}", err=True)
        sys.exit(ExitCode.FAILED)
    if is_json:
        click.echo(msgspec.json.format(msgspec.json.encode(answer)).decode())
    else:
        click.echo("\n".join(render(answer)))


async def _ask(address: str, query: dict[str, str]) -> dict[str, Any]:
    url = address if "://" in address else f"http://{address}"
    try:
        async with (
            open_client(timeout=TIMEOUT) as client,
            client.get(url.rstrip("/") + "/v1/explain", params=query) as response,
        ):
            body = await response.content.read(MAX_ANSWER_BYTES)
            while not response.content.at_eof() and len(body) < MAX_ANSWER_BYTES:
                body += await response.content.read(MAX_ANSWER_BYTES - len(body))
            if response.status == HTTP_OK:
                return JsonDecoder(dict[str, Any]).decode(body)
            raise ExplainError(_describe_error(response, body))
    except TimeoutError as error:
        raise ExplainError("no answer within 5 s") from error
    except (aiohttp.ClientError, ValueError, OSError) as error:
        raise ExplainError(str(error) or type(error).__name__) from error


def _describe_error(response: aiohttp.ClientResponse, body: bytes) -> str:
    """:returns: what the VM says, else the status"""
    try:
        detail = JsonDecoder(dict[str, str]).decode(body)["error"]
    except (msgspec.DecodeError, KeyError):
        return f"HTTP status {response.status}"
    retry_after = response.headers.get("Retry-After")
    return detail if retry_after is None else f"{detail}; retry after {retry_after} s"


def render(answer: dict[str, Any]) -> list[str]:
    """:returns: the lines that describe an answer"""
    vm_fields = ("vm", "availability_zone", "version", "fleet_state_age_ms")
    request_fields = (
        "route",
        "service",
        "customer",
        "priority",
        "n_prompt_tokens",
        "max_output_tokens",
    )
    lines = [
        _render_fields(answer, vm_fields),
        f"holds for {answer['holds_for']}",
        _render_fields(answer, request_fields),
        _render_outcome(answer),
    ]
    if answer.get("candidates"):
        lines.extend(["", *_render_table(answer["candidates"])])
    return lines


def _render_fields(answer: dict[str, Any], names: tuple[str, ...]) -> str:
    return " ".join(
        f"{name}={format_value(answer[name])}" for name in names if name in answer
    )


def _render_outcome(answer: dict[str, Any]) -> str:
    text = f"outcome={answer['outcome']}"
    failure = answer.get("failure")
    if failure is not None:
        return f"{text} {_render_present(failure)}"
    shown = {
        "upstreams": ",".join(answer["upstreams"]),
        "helpers": ",".join(answer["helpers"]),
        "rank": answer["rank"],
        "wait_cause": answer["wait_cause"],
        "predicted_wait_ms": answer["predicted_wait_ms"],
        "n_queued": answer["n_queued"],
        "is_probe": answer["is_probe"] or None,
    }
    return f"{text} {_render_present(shown)}"


def _render_present(fields: dict[str, Any]) -> str:
    return _render_fields(
        fields, tuple(name for name in fields if fields[name] not in (None, ""))
    )


def _render_table(candidates: list[dict[str, Any]]) -> list[str]:
    rows = [COLUMNS, *map(_render_row, candidates)]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        "  ".join(
            text.ljust(width) for text, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]


def _render_row(candidate: dict[str, Any]) -> tuple[str, ...]:
    n_kv_tokens = candidate["n_kv_tokens"]
    kv_tokens = f"{candidate['n_kv_tokens_used']}/{n_kv_tokens}" if n_kv_tokens else "-"
    return (
        candidate["name"],
        candidate["availability_zone"] or "-",
        candidate["role"] or "-",
        candidate["excluded_by"] or "-",
        candidate["health"],
        f"{candidate['n_requests']}/{candidate['n_slots']}",
        kv_tokens,
        _render_number(candidate["prefill_backlog_ms"]),
        _render_number(candidate["load_age_ms"]),
        _render_number(candidate["rate_limit_wait_ms"]),
        _render_number(candidate.get("closed_ms")),
        _render_number(candidate["cost"]),
    )


def _render_number(value: float | None) -> str:
    return "-" if value is None else f"{value:.1f}"


__all__ = ("explain_command",)
