"""What one entry VM tells another of its belief, in JSON over HTTP."""

from __future__ import annotations

import msgspec

from quetzaldeck.belief import (
    Change,
    ConfigurationRead,
    ReplicaRead,
    ReplicaRemoved,
    SourceAnswer,
)
from quetzaldeck.routing import Replica, RoutingConfiguration

BELIEF_PATH = "/belief"
AFTER_FIELD = "after"
VERSION_FIELD = "version"
WAIT_FIELD = "wait_ms"


class BeliefNews(msgspec.Struct, frozen=True, omit_defaults=True):
    """What the teller believes, or what of it is new to the one that asks.

    :param revision: the source's counter of changes that the teller has seen
    :param age_ms: age of the teller's belief when it told
    :param waited_ms: for how long the teller held the question
    :param is_complete: whether ``replicas`` lists all
    :param configuration: if it is newer than the asker's
    :param removed: ids of replicas that have no entry any more
    :param trouble_age_ms: how long ago the teller had trouble with the source
    """

    revision: int
    age_ms: float
    waited_ms: float = 0.0
    is_complete: bool = False
    configuration: RoutingConfiguration | None = None
    replicas: tuple[Replica, ...] = ()
    removed: tuple[str, ...] = ()
    trouble_age_ms: float | None = None

    def translate(self) -> SourceAnswer:
        """:returns: the news as any source of belief gives them"""
        changes: list[Change] = []
        if self.configuration is not None:
            changes.append(ConfigurationRead(self.configuration))
        changes.extend(ReplicaRead(replica) for replica in self.replicas)
        changes.extend(ReplicaRemoved(replica_id) for replica_id in self.removed)
        return SourceAnswer(
            self.revision,
            tuple(changes),
            is_complete=self.is_complete,
            waited_ms=self.waited_ms,
            age_ms=self.age_ms,
            trouble_age_ms=self.trouble_age_ms,
        )


_DECODER = msgspec.json.Decoder(BeliefNews)


def decode_belief_news(data: bytes) -> BeliefNews:
    """:returns: the news in a body

    :raises msgspec.DecodeError: with the place of the fault
    """
    return _DECODER.decode(data)


__all__ = (
    "AFTER_FIELD",
    "BELIEF_PATH",
    "VERSION_FIELD",
    "WAIT_FIELD",
    "BeliefNews",
    "decode_belief_news",
)
