"""Interface and registry of faults."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from quetzaldeck.registry import Registry

if TYPE_CHECKING:
    import random

    from tests.soak.own.fleet import SoakFleet


class Fault(ABC):
    """A fault that lasts for a while.

    :param fleet: the VMs and their environment
    :param random_state: chooses the targets
    """

    def __init__(self, fleet: SoakFleet, random_state: random.Random) -> None:
        self._fleet = fleet
        self._random_state = random_state

    @property
    def target(self) -> str:
        """:returns: what the fault affects, as recorded in the history"""
        return "all"

    @abstractmethod
    async def begin(self) -> None:
        """Inject the fault."""

    @abstractmethod
    async def end(self) -> None:
        """Remove the fault."""

    def _choose_vm(self) -> str:
        return self._random_state.choice(sorted(self._fleet.gateways))


faults: Registry[Fault] = Registry("fault")


@faults.register("none")
class NoFault(Fault):
    """No fault: the baseline of the other runs."""

    async def begin(self) -> None:
        """Do nothing."""

    async def end(self) -> None:
        """Do nothing."""


__all__ = ("Fault", "faults")
