"""Measures the cost of an agent as the fleet grows: ``make capacity-agents``.

All agents of a fleet run in this process with production intervals. The bundle lists
twice as many upstreams as agents (the ratio expected at 410 VMs), all served by one
stand-in. Bytes are those of peer messages and load reads, including their HTTP headers.
Processor time is that of the process, stand-ins included, divided by the number of
agents. The cost at 410 agents is extrapolated by a linear fit to the measurements of
14 agents and more.
"""

from __future__ import annotations

import asyncio
import resource
import statistics
import time
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, NamedTuple

import click
import uvloop
from tests.support.fleet.fleet import Fleet
from tests.support.fleet.settings import FleetSettings
from tests.support.fleet.waiting import wait_for

from quetzaldeck.commands import CommandSettings
from quetzaldeck.directory import VmState
from quetzaldeck.membership import MembershipSettings
from quetzaldeck.reclaim import ReclaimSettings

if TYPE_CHECKING:
    from quetzaldeck.agent import AgentService
    from quetzaldeck.bundle import Bundle

N_TARGET_VMS = 410
N_TARGET_UPSTREAMS = 780
UPSTREAMS_PER_VM = 2
N_ROLLOUTS = 5
SIZES = (3, 7, 14, 28, 56, 84)
N_FITTED_FROM = 14
# Gossip about the joins continues for a while: each agent forwards the update of each
# member about 3 log2(n) times, with at most 8 members in a message.
WARM_UP_S = 5.0
WARM_UP_S_PER_VM = 1.5
# Request and response of one load read with their headers, counted at the stand-in.
LOAD_READ_BYTES = 450


class Cost(NamedTuple):
    """Cost of one agent in a fleet of ``n_vms``.

    :param core_share: processor time, in percent of one core
    :param n_calls_per_s: calls of the whole fleet to the configuration service
    :param rollout_ms: time until a new bundle was in force on all agents, median and
        maximum
    :param n_restart_calls: calls to the configuration service while all agents started
    """

    n_vms: int
    peer_bytes_per_s: float
    read_bytes_per_s: float
    core_share: float
    rss_mb: float
    n_calls_per_s: float
    rollout_ms: tuple[float, float]
    n_restart_calls: int


async def measure(n_vms: int, duration_s: float) -> Cost:
    """:returns: the cost of an agent in a fleet of ``n_vms``"""
    settings = FleetSettings(
        n_vms=0,
        n_engines=1,
        n_services=0,
        membership=MembershipSettings(),
        commands=CommandSettings(),
        reclaim=ReclaimSettings(),
    )
    async with Fleet(settings) as fleet, AsyncExitStack() as stack:
        await fleet.publish(add_upstreams(fleet.build_bundle(2), n_vms))
        agents = [await start_agent(fleet, n, stack) for n in range(n_vms)]
        await wait_for(lambda: all_have(agents, 2))
        await wait_for(
            lambda: all(len(a.session.view.list_live()) == n_vms for a in agents),
            timeout_s=120.0,
        )
        n_restart_calls = fleet.configuration.n_calls
        await asyncio.sleep(WARM_UP_S + WARM_UP_S_PER_VM * n_vms)
        n_calls = fleet.configuration.n_calls
        peer_bytes, read_bytes = count_peer_bytes(agents), count_read_bytes(agents)
        cpu_s = time.process_time()
        await asyncio.sleep(duration_s)
        cpu_s = time.process_time() - cpu_s
        peer_bytes = count_peer_bytes(agents) - peer_bytes
        read_bytes = count_read_bytes(agents) - read_bytes
        n_calls = fleet.configuration.n_calls - n_calls
        rollouts = [
            await measure_rollout(fleet, agents, 3 + n) for n in range(N_ROLLOUTS)
        ]
        return Cost(
            n_vms,
            peer_bytes / duration_s / n_vms,
            read_bytes / duration_s / n_vms,
            100 * cpu_s / duration_s / n_vms,
            resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1_024,
            n_calls / duration_s,
            (statistics.median(rollouts), max(rollouts)),
            n_restart_calls,
        )


def add_upstreams(bundle: Bundle, n_vms: int) -> Bundle:
    """:returns: the bundle with upstreams for ``n_vms``, all at the same address"""
    spec = bundle.upstreams[0]
    upstreams = tuple(
        spec._replace(name=f"engine-{index + 1}")
        for index in range(UPSTREAMS_PER_VM * n_vms)
    )
    return bundle._replace(upstreams=upstreams)


async def start_agent(fleet: Fleet, index: int, stack: AsyncExitStack) -> AgentService:
    """:returns: an agent that runs until ``stack`` is closed"""
    name = f"entry-{index + 1}"
    agent = fleet.build_agent(fleet.build_agent_settings(name))
    agent.leaves_on_stop = False
    await agent.start()
    stack.push_async_callback(agent.stop)
    fleet.set_state(name, VmState.LIVE, agent.address)
    return agent


def all_have(agents: list[AgentService], version: int) -> bool:
    """:returns: whether ``version`` is in force on all agents"""
    return all(agent.session.store.version == version for agent in agents)


async def measure_rollout(
    fleet: Fleet, agents: list[AgentService], version: int
) -> float:
    """:returns: milliseconds until a new bundle was in force on all agents"""
    bundle = add_upstreams(fleet.build_bundle(version), len(agents))
    started_s = time.monotonic()
    await fleet.publish(bundle)
    await wait_for(lambda: all_have(agents, version))
    return 1_000 * (time.monotonic() - started_s)


def count_peer_bytes(agents: list[AgentService]) -> float:
    """:returns: bytes of peer messages so far, sent and received"""
    return sum(agent.session.channel.metrics.n_bytes for agent in agents)


def count_read_bytes(agents: list[AgentService]) -> float:
    """:returns: bytes of load reads so far"""
    name = "quetzaldeck_agent_load_reads_total"
    registries = (agent.session.metrics.registry for agent in agents)
    n_reads = sum(registry.get_sample_value(name) or 0 for registry in registries)
    return LOAD_READ_BYTES * n_reads


def extrapolate(sizes: list[int], values: list[float]) -> float:
    """:returns: the value at 410 VMs by a linear fit to the measured ones"""
    line = statistics.linear_regression(sizes, values)
    return line.intercept + line.slope * N_TARGET_VMS


@click.command()
@click.option("--seconds", default=20.0, help="Length of each measurement.")
@click.option("--sizes", default=",".join(map(str, SIZES)), help="Fleet sizes.")
def main(*, seconds: float, sizes: str) -> None:
    """Print the cost of an agent at several fleet sizes, and the estimate for 410."""
    costs = []
    for size in (int(text) for text in sizes.split(",")):
        cost = uvloop.run(measure(size, seconds))
        costs.append(cost)
        click.echo(
            f"n_vms={cost.n_vms} peer_bytes_per_s={cost.peer_bytes_per_s:.0f} "
            f"read_bytes_per_s={cost.read_bytes_per_s:.0f} "
            f"core_percent={cost.core_share:.2f} process_rss_mb={cost.rss_mb:.0f} "
            f"service_calls_per_s={cost.n_calls_per_s:.2f} "
            f"roll_ms_median={cost.rollout_ms[0]:.0f} "
            f"roll_ms_max={cost.rollout_ms[1]:.0f} "
            f"restart_calls={cost.n_restart_calls}"
        )
    fitted = [cost for cost in costs if cost.n_vms >= N_FITTED_FROM]
    if len(fitted) > 1:
        n_vms = [cost.n_vms for cost in fitted]
        n_bytes = extrapolate(n_vms, [cost.peer_bytes_per_s for cost in fitted])
        core = extrapolate(n_vms, [cost.core_share for cost in fitted])
        rss = extrapolate(n_vms, [cost.rss_mb for cost in fitted])
        click.echo(
            f"line at n_vms={N_TARGET_VMS}: peer_bytes_per_s={n_bytes:.0f} "
            f"core_percent={core:.2f} process_rss_mb={rss:.0f}"
        )


if __name__ == "__main__":
    main()

__all__ = ("Cost", "extrapolate", "measure")
