"""Command ``quetzaldeck status``."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING, Any

import aiohttp
import click
import uvloop

from quetzaldeck.cli.common import EPILOG
from quetzaldeck.cli.exit_codes import ExitCode
from quetzaldeck.http.answer_bounds import open_client
from quetzaldeck.json_decoder import JsonDecoder
from quetzaldeck.telemetry.log import format_value

if TYPE_CHECKING:
    from collections.abc import Sequence

HTTP_OK = 200
TIMEOUT = aiohttp.ClientTimeout(total=5.0)


class StatusError(Exception):
    """Raised if a program does not return its status."""


@click.command("status", epilog=EPILOG)
@click.argument("addresses", metavar="URL...", nargs=-1, required=True)
def status_command(*, addresses: tuple[str, ...]) -> None:
    """Print the status of gateways and agents, one line each.

    Exits with 1 if one does not return its status within 5 s, or if their bundle
    versions differ.

    Example: quetzaldeck status http://127.0.0.1:21020 http://127.0.0.1:21010
    """
    results = uvloop.run(_read_all(addresses))
    versions = set()
    n_failed = 0
    for address, result in zip(addresses, results, strict=True):
        if isinstance(result, StatusError):
            n_failed += 1
            click.echo(f"{address} error={format_value(result)}")
            continue
        versions.add(result.get("bundle_version"))
        click.echo(f"{address} {_render(result)}")
    if len(versions) > 1:
        listed = ", ".join(str(version) for version in sorted(versions, key=str))
        click.echo(f"bundle versions differ: {listed}", err=True)
    is_ok = n_failed == 0 and len(versions) == 1
    sys.exit(ExitCode.OK if is_ok else ExitCode.FAILED)


async def _read_all(
    addresses: Sequence[str],
) -> list[dict[str, Any] | StatusError]:
    async with open_client(timeout=TIMEOUT) as client:
        return await asyncio.gather(*(_read(client, item) for item in addresses))


async def _read(
    client: aiohttp.ClientSession, address: str
) -> dict[str, Any] | StatusError:
    try:
        async with client.get(address.rstrip("/") + "/v1/status") as response:
            body = await response.read()
            if response.status != HTTP_OK:
                return StatusError(f"HTTP status {response.status}")
            return JsonDecoder(dict[str, Any]).decode(body)
    except (aiohttp.ClientError, ValueError, OSError) as error:
        return StatusError(str(error) or type(error).__name__)


def _render(status: dict[str, Any]) -> str:
    return " ".join(f"{key}={format_value(value)}" for key, value in status.items())


__all__ = ("status_command",)
