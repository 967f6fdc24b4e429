"""Metrics of gateway and agent, and logs without secrets."""

from __future__ import annotations

import asyncio
import io
import re

import aiohttp
import uvloop
from tests.support.fleet import API_KEY, MODEL, Fleet, FleetSettings

from quetzaldeck.telemetry import configure_logging

SECRET_PROMPT = "the-provenance-of-the-painting"
LINE = re.compile(
    r"time=\S+ level=[A-Z]+ event=[a-z_]+( [a-z_0-9]+=([^\s\"=]+|\"([^\"\\]|\\.)*\"))*"
)
GATEWAY_METRICS = (
    'quetzaldeck_ttft_seconds_bucket{le="0.55",length_class="short"}',
    'quetzaldeck_queue_wait_seconds_count{length_class="short"} 1.0',
    'quetzaldeck_requests_total{kind="model"} 3.0',
    'quetzaldeck_completed_total{kind="model"} 1.0',
    'quetzaldeck_failures_total{ran="no",reason="unknown_customer"} 1.0',
    'quetzaldeck_failures_total{ran="no",reason="malformed_request"} 1.0',
    "quetzaldeck_bundle_version 1.0",
    'quetzaldeck_control_bytes_total{direction="sent"}',
)
AGENT_METRICS = (
    "quetzaldeck_agent_bundle_version 1.0",
    'quetzaldeck_agent_platform_calls_total{what="bundle"}',
    'quetzaldeck_agent_platform_calls_total{what="vm_list"}',
)


async def serve_three_calls() -> tuple[str, str]:
    """:returns: metrics of the gateway and of the agent after three calls"""
    settings = FleetSettings(n_vms=1, n_engines=1)
    async with Fleet(settings) as fleet, aiohttp.ClientSession() as client:
        url = fleet.gateway_addresses[0] + "/v1/completions"
        good = {"Authorization": f"Bearer {API_KEY}"}
        bad = {"Authorization": "Bearer another-secret-key"}
        body = {"model": MODEL, "prompt": SECRET_PROMPT, "max_tokens": 3}
        faulty = {**body, "max_tokens": SECRET_PROMPT}
        for call, headers in ((body, good), (body, bad), (faulty, good)):
            async with client.post(url, json=call, headers=headers) as response:
                await response.read()
        vm = fleet.vms["entry-1"]
        pages = []
        for program in (vm.gateway, vm.agent):
            async with client.get(program.address + "/metrics") as response:
                pages.append(await response.text())
        return pages[0], pages[1]


def test_metrics_and_logs_are_complete_without_secrets() -> None:
    """Logs and metrics are shipped to systems that others can read.

    They must not contain API keys and prompts of customers.
    """
    stream = io.StringIO()
    configure_logging(stream, level="TRACE")

    async def bounded() -> tuple[str, str]:
        async with asyncio.timeout(30):
            return await serve_three_calls()

    gateway_page, agent_page = uvloop.run(bounded())
    assert [name for name in GATEWAY_METRICS if name not in gateway_page] == []
    assert [name for name in AGENT_METRICS if name not in agent_page] == []
    log = stream.getvalue()
    for secret in (API_KEY, "another-secret-key", SECRET_PROMPT):
        assert secret not in log + gateway_page + agent_page
    lines = log.splitlines()
    assert [line for line in lines if LINE.fullmatch(line) is None] == []
    answered = [line for line in lines if "event=request_answered" in line]
    assert len(answered) == 1
    assert "request=" in answered[0]
