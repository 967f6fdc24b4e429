"""What upstreams have said of themselves in their responses to this VM.

A statement holds for the incarnation that made it. The list of replicas does not revoke
it: a replica whose entry still says ready, or comes back after an outage of the store,
is bound by its own word.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.cold_replicas.registry import is_earlier

if TYPE_CHECKING:
    import random

MAX_UPSTREAMS = 8_192
"""Statements that are kept, ten times the upstreams of a large fleet: those of replicas
that are gone are dropped only when there are more."""

RETURN_SPREAD_MS = 400.0
"""Longest time by which a VM prolongs a rest at random, so that the VMs which were told
at the same moment do not return at the same moment."""

TRIAL_MS = 500.0
"""How long an upstream that has rested gets one request at a time from this VM, unless
it accepts one sooner. Requests that waited for the end of the rest would otherwise
arrive all at once, and the upstream would have to turn them away again."""


class Statement(NamedTuple):
    """What one incarnation of an upstream has said of itself.

    :param incarnation: ``""`` if not known
    :param rest_until_ms: monotonic time until which it wants nothing from this VM
    :param leaves_until_ms: monotonic time until which it counts as leaving
    :param has_returned: whether it has accepted a request since the rest
    """

    incarnation: str
    rest_until_ms: float = -math.inf
    leaves_until_ms: float = -math.inf
    has_returned: bool = False

    @property
    def is_leaving(self) -> bool:
        """:returns: whether it has said that it leaves"""
        return self.leaves_until_ms > -math.inf

    def trial_until_ms(self, now_ms: float) -> float | None:
        """:returns: until when it gets one request at a time; ``None``: it does not"""
        if self.has_returned or not 0.0 <= now_ms - self.rest_until_ms < TRIAL_MS:
            return None
        return self.rest_until_ms + TRIAL_MS


class UpstreamStatements:
    """Keeps the statements of all upstreams.

    :param random_state: source of the random part of the ends of rests
    """

    def __init__(self, *, random_state: random.Random) -> None:
        self._random_state = random_state
        self._statements: dict[str, Statement] = {}
        self._last_rest_ms = -math.inf
        self._has_new_leaving = False

    def __len__(self) -> int:
        return len(self._statements)

    def has_rests(self, now_ms: float) -> bool:
        """:returns: whether any upstream may be resting, or has only just returned"""
        return now_ms < self._last_rest_ms + TRIAL_MS

    def find(self, upstream: str, incarnation: str = "") -> Statement | None:
        """:returns: what an upstream has said of itself, if anything

        :param incarnation: its current incarnation, which owes nothing for another one
        """
        if not self._statements:
            return None
        statement = self._statements.get(upstream)
        if statement is None or _differ(statement.incarnation, incarnation):
            return None
        return statement

    def note_rest(
        self, upstream: str, incarnation: str, rest_ms: float, now_ms: float
    ) -> bool:
        """Record that an upstream wants nothing from this VM for some time.

        The longer of two rests holds.

        :returns: whether it was not resting before
        """
        before = self._find_own(upstream, incarnation)
        if before is None:
            return False
        spread_ms = min(RETURN_SPREAD_MS, rest_ms / 2.0)
        until_ms = now_ms + rest_ms + self._random_state.uniform(0.0, spread_ms)
        was_resting = before.rest_until_ms > now_ms
        until_ms = max(until_ms, before.rest_until_ms)
        self._keep(
            upstream, before._replace(rest_until_ms=until_ms, has_returned=False)
        )
        self._last_rest_ms = max(self._last_rest_ms, until_ms)
        return not was_resting

    def note_leaving(
        self, upstream: str, incarnation: str, until_ms: float = math.inf
    ) -> bool:
        """Record that an upstream says that it leaves.

        :param until_ms: monotonic time until which this counts; infinity: as long as
            the incarnation lives
        :returns: whether it had not said so before
        """
        before = self._find_own(upstream, incarnation)
        if before is None:
            return False
        self._keep(upstream, before._replace(leaves_until_ms=until_ms))
        is_new = not before.is_leaving
        self._has_new_leaving = self._has_new_leaving or is_new
        return is_new

    def note_accepted(self, upstream: str, sent_ms: float) -> None:
        """Record that an upstream has accepted a request that was sent at a time."""
        statement = self._statements.get(upstream)
        if statement is not None and sent_ms >= statement.rest_until_ms:
            self._statements[upstream] = statement._replace(has_returned=True)

    def pop_new_leaving(self) -> bool:
        """:returns: whether an upstream has said that it leaves since the last call"""
        has_new, self._has_new_leaving = self._has_new_leaving, False
        return has_new

    def expire(self, now_ms: float) -> None:
        """Forget what no longer holds."""
        for upstream, statement in tuple(self._statements.items()):
            if statement.is_leaving and statement.leaves_until_ms <= now_ms:
                statement = statement._replace(leaves_until_ms=-math.inf)
                self._statements[upstream] = statement
            is_over = statement.rest_until_ms + TRIAL_MS <= now_ms
            if is_over and not statement.is_leaving:
                del self._statements[upstream]

    def _find_own(self, upstream: str, incarnation: str) -> Statement | None:
        """:returns: the statement to add to; ``None``: a later incarnation made one"""
        statement = self._statements.get(upstream)
        if statement is None:
            return Statement(incarnation)
        if is_earlier(incarnation, statement.incarnation):
            return None
        is_other = _differ(statement.incarnation, incarnation)
        return Statement(incarnation) if is_other else statement

    def _keep(self, upstream: str, statement: Statement) -> None:
        self._statements.pop(upstream, None)
        if len(self._statements) >= MAX_UPSTREAMS:
            del self._statements[next(iter(self._statements))]
        self._statements[upstream] = statement


def _differ(stated: str, current: str) -> bool:
    """:returns: whether two incarnations are known to be different ones"""
    return bool(stated) and bool(current) and stated != current


__all__ = ("TRIAL_MS", "Statement", "UpstreamStatements")
