"""Builds the agent's tasks from its session."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.agent.bundle_task import BundleTask
from quetzaldeck.agent.command_task import CommandSources, CommandTask
from quetzaldeck.agent.load_task import LoadTask
from quetzaldeck.agent.reclaim_task import ReclaimSources, ReclaimTask
from quetzaldeck.agent.vm_list_task import VmListTask
from quetzaldeck.directory import configuration_services, vm_lists

if TYPE_CHECKING:
    import aiohttp

    from quetzaldeck.agent.session_parts import SessionParts


def build_bundle_task(
    session: SessionParts, client: aiohttp.ClientSession
) -> BundleTask:
    """:returns: the task that reads the configuration service"""
    platform = session.settings.platform
    protocol = configuration_services.get(platform.configuration_protocol)
    return BundleTask(
        protocol(platform.configuration_address, client),
        session.bundle_exchange,
        platform,
        session.metrics,
        clock=session.clock,
        is_watcher=session.is_watcher,
        random_state=session.random_state,
    )


def build_vm_list_task(
    session: SessionParts, client: aiohttp.ClientSession
) -> VmListTask:
    """:returns: the task that reads the platform's list of VMs"""
    platform = session.settings.platform
    vm_list = vm_lists.get(platform.vm_list_protocol)
    return VmListTask(
        vm_list(platform.vm_list_address, client),
        platform,
        session.metrics,
        on_read=session.apply_list,
        count_live=lambda: len(session.view.list_live()),
        random_state=session.random_state,
    )


def build_load_task(session: SessionParts, client: aiohttp.ClientSession) -> LoadTask:
    """:returns: the task that reads the load reports of upstreams"""
    return LoadTask(
        session.store,
        client,
        session.clock,
        session.metrics,
        interval_ms=session.settings.load_interval_ms,
        records=session.records,
        read_view=lambda: session.view,
        vm=session.settings.vm,
    )


def build_command_task(
    session: SessionParts, client: aiohttp.ClientSession
) -> CommandTask:
    """:returns: the task that sends commands to engines"""
    sources = CommandSources(
        read_view=lambda: session.view,
        # The first bundle that a new agent reads may be stale, so no commands are
        # derived from it before peers have been asked for a newer one.
        read_bundle=lambda: session.store.bundle if session.is_ready else None,
        read_loads=session.list_loads,
        read_leaving=lambda: session.leaving_upstreams,
    )
    return CommandTask(
        session.identity,
        client,
        session.clock,
        session.settings.commands,
        sources,
        session.records,
        session.metrics,
    )


def build_reclaim_task(
    session: SessionParts, client: aiohttp.ClientSession
) -> ReclaimTask:
    """:returns: the task that releases orphaned memory on engines"""
    sources = ReclaimSources(
        read_view=lambda: session.view,
        read_bundle=lambda: session.store.bundle,
        find_member=session.membership.find,
    )
    return ReclaimTask(
        session.channel,
        client,
        session.clock,
        session.settings.reclaim,
        sources,
        session.owners,
        session.metrics,
    )


__all__ = (
    "build_bundle_task",
    "build_command_task",
    "build_reclaim_task",
    "build_vm_list_task",
)
