"""Reasons for refusing a peer message."""

from __future__ import annotations

from enum import StrEnum


class PeerRefusal(StrEnum):
    """Label values of the metric ``quetzaldeck_agent_peer_refused``."""

    UNREADABLE = "unreadable"
    UNKNOWN_KEY = "unknown_key"
    BAD_SIGNATURE = "bad_signature"
    WRONG_RECIPIENT = "wrong_recipient"
    WRONG_EPOCH = "wrong_epoch"
    REPLAYED = "replayed"
    UNKNOWN_KIND = "unknown_kind"


class RefusedMessageError(ValueError):
    """A peer message was refused and has no effect.

    :param refusal: the reason, as counted in the metrics
    """

    def __init__(self, refusal: PeerRefusal, detail: str) -> None:
        super().__init__(f"{refusal.value}: {detail}")
        self._refusal = refusal

    @property
    def refusal(self) -> PeerRefusal:
        """:returns: the reason, as counted in the metrics"""
        return self._refusal


__all__ = ("PeerRefusal", "RefusedMessageError")
