"""Tests of ``quetzaldeck explain`` against an entry VM with stand-in replicas."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from click.testing import CliRunner, Result
from tests.support.platform.site import CUSTOMER, HOST, PLAN_PATH, run_site

from quetzaldeck.cli.exit_codes import ExitCode
from quetzaldeck.cli.operator import main

if TYPE_CHECKING:
    from tests.support.platform.site import Site

ROUTE = f"{HOST}{PLAN_PATH}"


def run(address: str, *words: str) -> Result:
    arguments = ("explain", address, "--route", ROUTE, "--customer", CUSTOMER, *words)
    return CliRunner().invoke(main, arguments)


async def run_beside(site: Site, *words: str) -> Result:
    """:returns: the result of the command, run beside the event loop of the site"""
    return await asyncio.to_thread(run, site.metrics.address, *words)


def test_a_table_shows_the_choice_and_each_replica() -> None:
    async def test(site: Site) -> None:
        result = await run_beside(site, "--prompt-tokens", "5000")
        assert result.exit_code == ExitCode.OK, result.output
        lines = result.output.splitlines()
        assert lines[0].startswith("vm=entry-a availability_zone=a version=1 ")
        assert lines[1] == "holds for this VM at the moment of the answer"
        assert lines[2].startswith("route=plan service=plans customer=gym priority=1 ")
        assert lines[3].startswith("outcome=starts upstreams=e")
        header, *rows = (line.split() for line in lines[5:])
        assert header[:4] == ["name", "availability_zone", "role", "excluded_by"]
        assert sorted(row[0] for row in rows) == ["e0", "e1"]
        assert sum(row[2] == "answers" for row in rows) == 1
        assert all(row[5:7] == ["0/8", "0/232000"] for row in rows)

    run_site(test, engines=(None, None), is_virtual=False)


def test_json_is_the_answer_of_the_vm() -> None:
    async def test(site: Site) -> None:
        result = await run_beside(site, "--prompt-tokens", "5000", "--json")
        assert result.exit_code == ExitCode.OK, result.output
        answer = json.loads(result.output)
        assert answer["n_prompt_tokens"] == 5_000
        assert answer["candidates"][0]["name"] == "e0"

    run_site(test, is_virtual=False)


def test_a_refusal_is_printed_with_its_reason() -> None:
    async def test(site: Site) -> None:
        result = await run_beside(site, "--prompt-tokens", "90000000")
        assert result.exit_code == ExitCode.OK, result.output
        assert "outcome=refused reason=prompt_too_large" in result.output

    run_site(test, is_virtual=False)


def test_the_error_of_a_vm_is_printed() -> None:
    async def test(site: Site) -> None:
        words = ("--prompt-tokens", "5000", "--customer", "nobody")
        result = await run_beside(site, *words)
        assert result.exit_code == ExitCode.FAILED
        assert "no customer 'nobody' has an API key" in result.output
        result = await run_beside(site, "--prompt-tokens", "5000")
        assert "retry after 1 s" in result.output

    run_site(test, is_virtual=False)


def test_an_address_that_is_not_reachable_is_named() -> None:
    result = run("127.0.0.1:1", "--prompt-tokens", "5000")
    assert result.exit_code == ExitCode.FAILED
    assert result.output.startswith("127.0.0.1:1 error=")


def test_negative_tokens_are_a_usage_error() -> None:
    result = run("127.0.0.1:1", "--prompt-tokens", "-1")
    assert result.exit_code == ExitCode.USAGE
    assert "--prompt-tokens" in result.output
