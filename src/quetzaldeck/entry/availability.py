"""Whether an entry VM may send something new to a replica now.

It is asked right before each send, apart from the placement: while a request waits for
a permit, for memory or for its turn, its replica may leave or ask for rest.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.availability import (
    Closure,
    UpstreamStatements,
    find_closure,
)
from quetzaldeck.gateway.closed_upstream import build_closed_error

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzaldeck.belief import FleetBelief
    from quetzaldeck.clock import Clock
    from quetzaldeck.routing import Replica


class Availability:
    """Judges replicas by the entries, the evacuated zones and their own statements.

    :param statements: what replicas have said of themselves
    """

    def __init__(
        self, belief: FleetBelief, statements: UpstreamStatements, clock: Clock
    ) -> None:
        self._belief = belief
        self._statements = statements
        self._clock = clock

    def find_closure(self, replica: Replica) -> Closure | None:
        """:returns: why a replica gets nothing new now; ``None``: it may"""
        return find_closure(
            self._statements.find(replica.replica_id, replica.incarnation),
            self._clock.now_ms(),
            is_listed_leaving=replica.is_leaving,
            is_evacuated=self._belief.is_evacuated(replica),
        )

    def is_leaving(self, replica: Replica) -> bool:
        """:returns: whether a replica leaves, by its entry or its own word"""
        said = self._statements.find(replica.replica_id, replica.incarnation)
        return replica.is_leaving or (said is not None and said.is_leaving)

    def accepts_work(self, replica: Replica) -> bool:
        """:returns: whether a replica may get new work, now or once it has rested"""
        return not (self.is_leaving(replica) or self._belief.is_evacuated(replica))

    def check(self, upstreams: Iterable[str]) -> None:
        """Check that the replicas of an attempt may get something new.

        Replicas that are gone are left to the caller.

        :raises UpstreamError: if one may not; nothing was sent
        """
        for name in upstreams:
            replica = self._belief.replicas.get(name)
            closure = None if replica is None else self.find_closure(replica)
            if closure is not None:
                raise build_closed_error(name, closure)


__all__ = ("Availability",)
