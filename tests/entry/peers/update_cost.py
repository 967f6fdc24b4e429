"""Measures the cost and the age of load updates for growing fleets.

Prints a row for each strategy and fleet size. To run it:
``python -m tests.entry.peers.update_cost``.
"""

from __future__ import annotations

import itertools
import random
from statistics import median, quantiles
from typing import NamedTuple

import click
from tests.entry.peers.peer_fleet import PeerFleet

from quetzaldeck.decisions.loads.peer_load import VmLoad
from quetzaldeck.decisions.relays import RelayBounds

SIZES = (7, 30, 77, 195, 300, 410)
N_ZONES = 5
N_ENGINES = 112
REQUESTS_PER_VM_S = 0.5
FIRST_TOKEN_MS = 180.0
ANSWER_MS = 2_000.0
WARM_UP_MS = 15_000.0
MEASURED_S = 4.0
STEP_MS = 10.0
NEVER = 1 << 30

STRATEGIES = {
    "direct": RelayBounds(n_peers_relayed=NEVER, n_peers_joining=NEVER),
    "relays": RelayBounds(),
    "one relay a zone": RelayBounds(n_members_per_core=float(NEVER)),
    "a third of that": RelayBounds(n_members_per_core=27.0),
}


class Cost(NamedTuple):
    """Rates per VM and second, and the age of received updates.

    :param most_datagrams: rate of the VM that sends most
    """

    datagrams: float
    most_datagrams: float
    n_bytes: float
    bytes_between_zones: float
    median_age_ms: float
    p99_age_ms: float


class Requests:
    """Simulates requests at random engines: their start, first token and end."""

    def __init__(self, fleet: PeerFleet, seed: int) -> None:
        self._fleet = fleet
        self._random_state = random.Random(seed)
        self._events: list[tuple[float, str, str, VmLoad]] = []
        self._ids = itertools.count(1)
        self.changed_ms: dict[int, float] = {}

    def step(self) -> None:
        """Start requests, and apply the load changes that are due."""
        now_ms = self._fleet.now_ms
        rate = REQUESTS_PER_VM_S * STEP_MS / 1_000
        for address in self._fleet.vms:
            if self._random_state.random() < rate:
                upstream = f"i-{self._random_state.randrange(N_ENGINES):010x}"
                sent = VmLoad(1, 5_000, 0)
                self._events += [
                    (now_ms, address, upstream, sent),
                    (now_ms + FIRST_TOKEN_MS, address, upstream, VmLoad(1)),
                    (now_ms + ANSWER_MS, address, upstream, VmLoad()),
                ]
        due = [event for event in self._events if event[0] <= now_ms]
        self._events = [event for event in self._events if event[0] > now_ms]
        for _, address, upstream, load in due:
            number = next(self._ids)
            self.changed_ms[number] = now_ms
            marked = load._replace(n_kv_tokens=number)
            self._fleet.vms[address].own_loads[upstream] = marked


def measure(n_vms: int, bounds: RelayBounds, seed: int = 1) -> Cost:
    """:returns: the cost at one fleet size"""
    fleet = PeerFleet(n_vms, n_zones=N_ZONES, seed=seed, bounds=bounds)
    requests = Requests(fleet, seed)
    fleet.run(WARM_UP_MS)
    fleet.take_counts()
    for vm in fleet.vms.values():
        vm.n_datagrams = 0
    for _ in range(int(MEASURED_S * 1_000 / STEP_MS)):
        requests.step()
        fleet.run(STEP_MS)
    counts = fleet.take_counts()
    ages = [
        received_ms - requests.changed_ms[load.n_kv_tokens]
        for vm in fleet.vms.values()
        for received_ms, load in vm.received
        if load.n_prefill_tokens
    ]
    scale = n_vms * MEASURED_S
    return Cost(
        counts.n_datagrams / scale,
        max(vm.n_datagrams for vm in fleet.vms.values()) / MEASURED_S,
        counts.n_bytes / scale,
        counts.n_bytes_between_zones / scale,
        median(ages),
        quantiles(ages, n=100)[98],
    )


@click.command()
@click.option("--most", type=int, default=SIZES[-1], show_default=True)
def main(*, most: int) -> None:
    """Measure all strategies at all sizes."""
    click.echo(
        "strategy          vms  datagrams  most  KB/s  between zones  age, p99 ms"
    )
    for name, bounds in STRATEGIES.items():
        for n_vms in SIZES:
            if n_vms > most:
                continue
            cost = measure(n_vms, bounds)
            click.echo(
                f"{name:16} {n_vms:4} {cost.datagrams:10.1f} "
                f"{cost.most_datagrams:5.0f} {cost.n_bytes / 1_000:5.1f} "
                f"{cost.bytes_between_zones / 1_000:14.2f} "
                f"{cost.median_age_ms:5.0f} {cost.p99_age_ms:6.0f}"
            )


if __name__ == "__main__":
    main()
