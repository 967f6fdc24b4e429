"""What other VMs have sent to the upstreams: one view of load over all VMs.

Load pattern: seven to eighty VMs place requests on the same engines, each seeing a
small part of the traffic. Loads that come with answers are a second old, and do not
say that a prompt of 300,000 tokens is being read. Without a view of what the others
have sent, each VM takes the engine that it has not used for idle, and short requests
are placed behind long reads that their VM does not know of.

Each VM tells the others what of its own is at each upstream; a newer number replaces
the older one, so news that are lost or come twice do no harm. What is not repeated is
forgotten: a VM that died leaves nothing behind.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from quetzaldeck.decisions.health.outcomes import Outcomes
from quetzaldeck.decisions.health.peer_outcomes import PeerOutcomes

PEER_LOAD_TTL_MS = 4_500.0
"""Age at which what a VM told is forgotten: it repeats itself each two seconds, and may
lose a message. What a VM that died had at upstreams counts for that long."""


class VmLoad(NamedTuple):
    """What of one VM is at one upstream.

    :param n_requests: requests that run there
    :param n_prefill_tokens: prompt tokens that have yet to be read there
    :param n_kv_tokens: memory that its requests take there
    :param n_parts: parts of prompts, among the requests, that others answer
    :param outcomes: what came of its requests there, as of the last outcome
    :param incarnation: the start of the upstream that all this is of; ``""``: not told
    :param refuses_help: whether it refused to read a part of a prompt lately
    """

    n_requests: int = 0
    n_prefill_tokens: int = 0
    n_kv_tokens: int = 0
    n_parts: int = 0
    outcomes: Outcomes = Outcomes()
    incarnation: str = ""
    refuses_help: bool = False

    @property
    def has_load(self) -> bool:
        """:returns: whether anything of the VM is there now"""
        return any(self[:4])

    @property
    def is_repeated(self) -> bool:
        """:returns: whether it holds until the VM says otherwise or falls silent"""
        return self.has_load or self.refuses_help

    @property
    def says_anything(self) -> bool:
        """:returns: whether another VM learns anything from it"""
        return self.is_repeated or self.outcomes.n_all > 0

    def exceeds(self, other: VmLoad) -> bool:
        """:returns: whether there is more here to reckon with than in ``other``"""
        if self.refuses_help and not other.refuses_help:
            return True
        return any(own > told for own, told in zip(self[:4], other[:4], strict=True))


class PeerLoad:
    """Shares of the other VMs in one upstream.

    News come far more often than a request is placed here, and each placement looks at
    all upstreams several times: sums are made once for all looks after a change.
    """

    def __init__(self) -> None:
        self._shares: dict[str, tuple[float, VmLoad]] = {}
        self._total = _NOTHING
        self._total_until_ms = math.inf
        self.outcomes = PeerOutcomes()

    def take(self, vm: str, share: VmLoad, now_ms: float) -> int:
        """Take what a VM told.

        :returns: prompt tokens that it has to be read here beyond what it told before
        """
        before = self._shares.pop(vm, None)
        if share.is_repeated:
            self._shares[vm] = (now_ms, share)
        if before is not None or share.is_repeated:
            self._total_until_ms = -math.inf
        if share.outcomes.n_all:
            self.outcomes.take(vm, share.outcomes, now_ms)
        n_before = 0
        if before is not None and now_ms - before[0] <= PEER_LOAD_TTL_MS:
            n_before = before[1].n_prefill_tokens
        return max(0, share.n_prefill_tokens - n_before)

    def total(self, now_ms: float) -> VmLoad:
        """:returns: the sum over all VMs that were heard lately"""
        if now_ms > self._total_until_ms:
            self._add_up(now_ms)
        return self._total

    def _add_up(self, now_ms: float) -> None:
        oldest_ms = math.inf
        for vm, (heard_ms, _) in list(self._shares.items()):
            if now_ms - heard_ms > PEER_LOAD_TTL_MS:
                del self._shares[vm]
            else:
                oldest_ms = min(oldest_ms, heard_ms)
        shares = [share for _, share in self._shares.values()]
        self._total_until_ms = oldest_ms + PEER_LOAD_TTL_MS
        self._total = VmLoad(
            sum(share.n_requests for share in shares),
            sum(share.n_prefill_tokens for share in shares),
            sum(share.n_kv_tokens for share in shares),
            sum(share.n_parts for share in shares),
            refuses_help=any(share.refuses_help for share in shares),
        )


_NOTHING = VmLoad()

__all__ = ("PEER_LOAD_TTL_MS", "PeerLoad", "VmLoad")
