"""VMs that learn of evacuated zones from the store or from each other."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.support.platform.fleet import run_fleet

if TYPE_CHECKING:
    from tests.support.platform.fleet import EntryFleet, EntryVm

TARGET_MS = 1_000.0
"""Time within which every VM that can learn of an evacuation acts on it."""

KEY = "op/evacuate/a"


def is_evacuated(vm: EntryVm) -> bool:
    """:returns: whether a VM's decisions and its checks keep zone a free of work"""
    names = ("e0", "d0")
    states = [vm.state.dispatch._scheduler.upstreams.get(name) for name in names]
    decides = all(s is not None and not s.accepts_work for s in states)
    replicas = vm.state.belief.replicas
    accepts_work = vm.state.availability.accepts_work
    checks = not any(accepts_work(replicas[name]) for name in names)
    assert checks or not decides
    return checks and decides


async def wait_until(fleet: EntryFleet, *, evacuated: bool) -> None:
    """Wait until all VMs have learned of a change."""
    await fleet.wait(
        lambda: all(is_evacuated(vm) is evacuated for vm in fleet.vms.values()),
        timeout_ms=TARGET_MS,
    )


def test_all_vms_act_within_a_second() -> None:
    """Guards against changes that are delayed by pauses between polls.

    The store changes at various times after a change for which the watcher pauses.
    """

    async def test(fleet: EntryFleet) -> None:
        for delay_s in (0.0, 0.05, 0.15, 0.4, 0.9):
            fleet.put_replica("e9", f"service-{delay_s}")
            await asyncio.sleep(delay_s)
            fleet.store.put(KEY, b"any")
            await wait_until(fleet, evacuated=True)
            fleet.store.delete(KEY)
            await wait_until(fleet, evacuated=False)

    run_fleet(test, n_vms=6, zones=("a", "a", "a", "b", "b", "c"))


def test_newest_change_wins_within_a_second() -> None:
    """The key is written, removed and written again, while a peer is behind."""

    async def test(fleet: EntryFleet) -> None:
        for _ in range(3):
            fleet.store.put(KEY, {})
            await asyncio.sleep(0.1)
            fleet.store.delete(KEY)
            await asyncio.sleep(0.1)
        fleet.store.put(KEY, {})
        await wait_until(fleet, evacuated=True)
        await asyncio.sleep(2.0)
        assert all(is_evacuated(vm) for vm in fleet.vms.values())

    run_fleet(test)


def test_vm_that_starts_knows_the_zones_before_it_is_ready() -> None:
    """Guards against requests that a new VM sends to an evacuated zone.

    Once it reads the store, and once it learns from a peer as the store is down.
    """

    async def test(fleet: EntryFleet) -> None:
        fleet.store.put(KEY, {})
        await wait_until(fleet, evacuated=True)
        for status in (200, 503):
            host = next(iter(fleet.vms))
            await fleet.stop(host)
            fleet.store.status = status
            vm = await fleet.start(host)
            await fleet.wait(lambda: vm.state.view is not None)  # noqa: B023
            assert vm.state.belief.evacuated_zones == {"a"}
            await fleet.wait(lambda: is_evacuated(vm))  # noqa: B023
            fleet.store.status = 200

    run_fleet(test)


def test_vm_that_lost_the_store_hears_from_a_peer() -> None:
    """Guards against a watcher that is cut off from the store and goes on sending."""

    async def test(fleet: EntryFleet) -> None:
        watcher = fleet.vms[fleet.list_watchers()[0]]
        watcher.sources.source._base = "http://127.0.0.1:9"  # type: ignore[attr-defined]
        await asyncio.sleep(1.0)
        fleet.store.put(KEY, {})
        await wait_until(fleet, evacuated=True)
        fleet.store.delete(KEY)
        await wait_until(fleet, evacuated=False)

    run_fleet(test)


def test_change_is_found_though_the_history_was_dropped() -> None:
    """Guards against an evacuation, or its end, that no watch reports any more."""

    async def test(fleet: EntryFleet) -> None:
        fleet.store.put(KEY, {})
        fleet.store.forget_history()
        await wait_until(fleet, evacuated=True)
        fleet.store.delete(KEY)
        fleet.store.forget_history()
        await wait_until(fleet, evacuated=False)

    run_fleet(test)


def test_zone_stays_evacuated_while_the_store_is_down() -> None:
    """Guards against state that expires with the source, as soft state does."""

    async def test(fleet: EntryFleet) -> None:
        fleet.store.put(KEY, {})
        await wait_until(fleet, evacuated=True)
        fleet.store.status = 503
        await asyncio.sleep(8.0)
        assert all(is_evacuated(vm) for vm in fleet.vms.values())
        fleet.store.delete(KEY)
        fleet.store.status = 200
        await wait_until(fleet, evacuated=False)

    run_fleet(test)


def test_polls_are_short_enough_for_the_bound() -> None:
    """Guards against polls that last longer than an evacuation may take."""

    async def test(fleet: EntryFleet) -> None:
        (vm,) = fleet.vms.values()
        before_ms = vm.sources.bounds.min_deadline_ms
        settings = vm.state.settings
        for evacuation_ms, expected_ms in ((5_000.0, before_ms), (800.0, 800.0)):
            bounds = settings.bounds._replace(evacuation_ms=evacuation_ms)
            vm.state.apply_settings(settings._replace(bounds=bounds))
            assert vm.sources.bounds.min_deadline_ms == expected_ms

    run_fleet(test, n_vms=1)
