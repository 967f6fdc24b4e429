"""The in-process fleet answers calls through every VM."""

from __future__ import annotations

import uvloop
from tests.support.fleet import API_KEY, MODEL, Fleet, FleetSettings

from quetzaldeck.clock import Clock
from quetzaldeck.load import (
    KindSettings,
    LoadReport,
    LoadSettings,
    build_report,
    read_executions,
    run_load,
)


async def run_mixed_load(n_vms: int) -> LoadReport:
    async with Fleet(FleetSettings(n_vms=n_vms)) as fleet:
        services = tuple(service.address for service in fleet.services.values())
        load = LoadSettings(
            gateways=fleet.gateway_addresses,
            kinds=(
                KindSettings("plan", API_KEY, model=MODEL, max_prompt_tokens=4_000),
                KindSettings("booking", API_KEY, path="/desk/bookings"),
            ),
            requests_per_second=40,
            duration_ms=1_000,
            services=services,
        )
        results = await run_load(load, Clock())
        return build_report(results, await read_executions(services))


def test_fleet_answers_every_call() -> None:
    report = uvloop.run(run_mixed_load(n_vms=3))
    assert report.is_clean
    assert set(report.verdicts) == {"answered"}
