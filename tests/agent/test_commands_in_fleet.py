"""A new model version is rolled out to the engines while requests are served."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.support.fleet import API_KEY, MODEL, Fleet, FleetSettings, wait_for
from tests.support.virtual_time import run_by_default

from quetzaldeck.bundle import ModelSpec
from quetzaldeck.clock import Clock
from quetzaldeck.load import KindSettings, LoadSettings, build_report, run_load

if TYPE_CHECKING:
    from quetzaldeck.load import LoadReport


async def roll_out_under_load() -> LoadReport:
    settings = FleetSettings(n_vms=3, n_engines=4, n_services=0)
    async with Fleet(settings) as fleet:
        await fleet.wait_until_members_agree()
        kinds = (KindSettings("plan", API_KEY, model=MODEL, max_prompt_tokens=4_000),)
        load = LoadSettings(
            gateways=fleet.gateway_addresses,
            kinds=kinds,
            requests_per_second=20,
            duration_ms=3_000,
        )
        calls = asyncio.create_task(run_load(load, Clock()))
        bundle = fleet.build_bundle(2)
        await fleet.publish(bundle._replace(models=(ModelSpec(MODEL, "2"),)))
        engines = fleet.engines.values()
        await wait_for(
            lambda: all(e.commands.models == [f"{MODEL}:2"] for e in engines)
        )
        for engine in engines:
            actions = [body["action"] for body in engine.commands.accepted]
            assert (actions[0], actions[-1]) == ("load_model", "unload_model")
        assert fleet.weight_store.n_loads == 4
        assert fleet.weight_store.n_refused == 0
        return build_report(await calls, {})


def test_a_model_version_is_rolled_out_under_load() -> None:
    """The bundle names a new version of the model while callers use the old one.

    Each engine loads the new weights once, commanded by one VM, and unloads the old
    ones only afterwards; no request fails.
    """
    report = run_by_default(roll_out_under_load())
    assert report.is_clean
    assert set(report.verdicts) == {"answered"}


async def roll_out_with_one_vm_lost() -> None:
    settings = FleetSettings(n_vms=3, n_engines=4, n_services=0)
    async with Fleet(settings) as fleet:
        await fleet.wait_until_members_agree()
        bundle = fleet.build_bundle(2)
        await fleet.publish(bundle._replace(models=(ModelSpec(MODEL, "2"),)))
        await wait_for(lambda: fleet.weight_store.n_loads > 0)
        await fleet.stop_vm("entry-1")
        engines = fleet.engines.values()
        await wait_for(
            lambda: all(e.commands.models == [f"{MODEL}:2"] for e in engines)
        )


def test_a_roll_out_continues_when_a_commander_dies() -> None:
    run_by_default(roll_out_with_one_vm_lost())


async def roll_out_without_spare_capacity() -> None:
    settings = FleetSettings(n_vms=3, n_engines=3, n_services=0, max_models=1)
    async with Fleet(settings) as fleet:
        await fleet.wait_until_members_agree()
        bundle = fleet.build_bundle(2)
        await fleet.publish(bundle._replace(models=(ModelSpec(MODEL, "2"),)))
        engines = list(fleet.engines.values())
        min_serving = len(engines)
        async with asyncio.timeout(30):
            while not all(e.commands.models == [f"{MODEL}:2"] for e in engines):
                min_serving = min(
                    min_serving, sum(bool(e.commands.models) for e in engines)
                )
                await asyncio.sleep(0.002)
        assert min_serving >= 1


def test_engines_with_one_model_slot_are_upgraded_one_after_another() -> None:
    """Engines hold one version at a time and serve no requests while they load.

    If all were unloaded at the same time, the model would be unavailable.
    """
    run_by_default(roll_out_without_spare_capacity())
