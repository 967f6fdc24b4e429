"""The path of one VM to the upstreams of one service."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quetzaldeck.decisions.paths.probe_targets import ProbeTargets
from quetzaldeck.decisions.paths.unanswered_probes import UnansweredProbes
from quetzaldeck.decisions.paths.verdict import PathVerdict

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence, Set

    from quetzaldeck.decisions.paths.bounds import PathBounds

N_PROBED_TOGETHER = 2
"""Upstreams that are probed at once where one may well be gone."""


class ServicePath:
    """Evidence of one VM on its path to the upstreams of one service.

    A failed attempt or a silence is a reason to probe; only probes decide, as they use
    new connections and upstreams that may well live.
    """

    def __init__(self, bounds: PathBounds) -> None:
        self._bounds = bounds
        self._targets = ProbeTargets()
        self._unanswered = UnansweredProbes()
        self._heard_ms = -math.inf
        self._failed: set[str] = set()
        self._n_failed_since = 0
        self._unusable: set[str] = set()
        self._suspected_ms: float | None = None
        self._lost_ms: float | None = None
        self._returned_ms: float | None = None
        self._shown_ms = -math.inf
        self._round_ms = -math.inf
        self._is_probing = False
        self._has_failure = False
        self._reached_ms = -math.inf
        self._n_unanswered = 0
        self._elsewhere_ms = -math.inf
        self._asked_ms = -math.inf

    @property
    def lost_ms(self) -> float | None:
        """:returns: since when nothing came on this path; ``None``: it is not lost"""
        return self._lost_ms

    @property
    def unanswered_ms(self) -> float | None:
        """:returns: when the first unanswered probe began since one was answered"""
        return self._unanswered.first_ms

    @property
    def heard_ms(self) -> float:
        """:returns: when an upstream of the service last sent anything"""
        return self._heard_ms

    @property
    def reached_ms(self) -> float:
        """:returns: when a probe was last answered"""
        return self._reached_ms

    @property
    def is_doubtful(self) -> bool:
        """:returns: whether the path has to be probed"""
        return self._suspected_ms is not None or self._lost_ms is not None

    @property
    def upstreams(self) -> Set[str]:
        """:returns: upstreams that get new work"""
        return self._targets.zones.keys()

    @property
    def failed(self) -> frozenset[str]:
        """:returns: upstreams that have failed and sent nothing since"""
        return frozenset(self._failed)

    @property
    def _is_heard_on_open_connections(self) -> bool:
        """Whether attempts are answered since new connections fail.

        Open connections end one by one. When as many attempts have failed in a row as
        probes that show a lost path, there are hardly any left.
        """
        assert self._lost_ms is not None
        if self._heard_ms <= self._lost_ms:
            return False
        return self._n_failed_since < self._bounds.n_probed

    def set_upstreams(self, zones: Mapping[str, str]) -> None:
        """Set the upstreams that get new work.

        :param zones: availability zone of each upstream
        """
        self._targets.set_upstreams(zones)
        self._unanswered.keep(zones.keys())
        self._failed &= zones.keys()
        self._unusable &= zones.keys()

    def note_heard(self, upstream: str, now_ms: float) -> None:
        """Record that an upstream has sent something, on any connection."""
        self._heard_ms = now_ms
        self._n_failed_since = 0
        self._failed.discard(upstream)
        self._unanswered.discard(upstream)

    def note_failed(
        self, upstream: str, begun_ms: float, *, is_new_connection: bool
    ) -> None:
        """Record an attempt that has failed.

        :param begun_ms: from when on it shows that nothing comes on this path: when a
            silent attempt was sent, or when a connection failed
        :param is_new_connection: whether nothing came on its connection
        """
        self._failed.add(upstream)
        self._n_failed_since += 1
        if is_new_connection:
            self._unusable.add(upstream)
        self._has_failure = True
        n_needed = min(self._bounds.n_failed_connections, len(self.upstreams))
        if begun_ms >= self._heard_ms or len(self._unusable) >= n_needed:
            self._suspect(begun_ms)

    def note_waiting(self, sent_ms: float, now_ms: float) -> None:
        """Record that an attempt is unanswered.

        :param sent_ms: when it was sent
        """
        silent_since_ms = max(sent_ms, self._heard_ms)
        if now_ms - silent_since_ms >= self._bounds.silence_ms:
            self._suspect(silent_since_ms)

    def demand_probe(self, now_ms: float) -> None:
        """Probe the path at once, whatever has come on it."""
        self._suspect(now_ms)
        if self._lost_ms is None:
            self._round_ms = -math.inf

    def note_served_elsewhere(self, now_ms: float) -> None:
        """Record that another VM had an answer of the service."""
        self._elsewhere_ms = max(self._elsewhere_ms, now_ms)

    def choose_probed(
        self, answered_ms: Mapping[str, float], now_ms: float
    ) -> tuple[str, ...]:
        """Start a round of probes if one is due.

        :param answered_ms: when the other VMs last had answers of the upstreams
        :returns: upstreams to probe
        """
        if not self.is_doubtful:
            return ()
        if now_ms - self._round_ms < self._interval_ms():
            return ()
        self._round_ms = now_ms
        self._is_probing = True
        n_probes = self._n_in_round(now_ms)
        return self._targets.choose(n_probes, self._failed, answered_ms, now_ms)

    def note_probes(
        self, answered: Sequence[str], unanswered: Sequence[str], now_ms: float
    ) -> None:
        """Record a round of probes."""
        self._is_probing = False
        for name in answered:
            self.note_heard(name, now_ms)
        self._failed.update(unanswered)
        if answered:
            self._note_reached(now_ms)
            return
        self._returned_ms = None
        begun_ms = {name: self._targets.probed_ms(name, now_ms) for name in unanswered}
        self._unanswered.add(begun_ms, self.upstreams)
        self._n_unanswered += len(unanswered)
        if self._lost_ms is None and self._n_unanswered >= self._bounds.n_probed:
            self._lost_ms = now_ms if self._suspected_ms is None else self._suspected_ms
            self._shown_ms = self._unanswered.last_ms(default=now_ms)

    def judge(self, answered_ms: Mapping[str, float], now_ms: float) -> PathVerdict:
        """:returns: what the evidence shows

        :param answered_ms: when the other VMs last had answers of the upstreams
        """
        if self._lost_ms is None:
            is_doubted = self._is_probing or bool(self._n_unanswered)
            return PathVerdict.DOUBTED if is_doubted else PathVerdict.REACHED
        if self._is_heard_on_open_connections:
            return PathVerdict.OPEN_ONLY
        lag_ms = self._bounds.peer_lag_ms
        for last_ms in self._unanswered.find_later(answered_ms, lag_ms):
            self.note_served_elsewhere(last_ms)
        if self._is_served_elsewhere(now_ms):
            return PathVerdict.PARTITIONED
        if self._may_be_down(now_ms) and self._failed >= self.upstreams:
            return PathVerdict.DOWN
        return PathVerdict.UNREACHED

    def may_ask(self, now_ms: float) -> bool:
        """Check whether one request may be handed over to find out if others serve it.

        Most requests are not, so that VMs do not flood each other while upstreams are
        down for all of them.
        """
        if now_ms - self._asked_ms < self._bounds.probe_interval_ms:
            return False
        self._asked_ms = now_ms
        return True

    def return_share(self, now_ms: float) -> float:
        """:returns: share of the requests that may use the path, up to 1"""
        if self._lost_ms is not None:
            return 0.0
        if self._returned_ms is None:
            return 1.0
        return min(1.0, (now_ms - self._returned_ms) / self._bounds.return_ms)

    def _may_be_down(self, now_ms: float) -> bool:
        """Whether sound upstreams would be known to answer, here or elsewhere."""
        assert self._lost_ms is not None
        if now_ms - self._lost_ms < self._bounds.sound_silence_ms:
            return False
        # Only answers younger than the probes count, and other VMs report them later.
        return now_ms - self._shown_ms >= 2 * self._bounds.peer_lag_ms

    def _is_served_elsewhere(self, now_ms: float) -> bool:
        return now_ms - self._elsewhere_ms <= self._bounds.evidence_ms

    def _suspect(self, since_ms: float) -> None:
        if self._suspected_ms is None:
            self._suspected_ms = since_ms

    def _n_in_round(self, now_ms: float) -> int:
        """:returns: number of upstreams to probe at once

        One answer suffices, and a false suspicion is the usual case, so the first round
        is a single probe. Two upstreams are probed if the path is lost, or if nothing
        was heard for long, as one may be gone.
        """
        if self._lost_ms is not None:
            return N_PROBED_TOGETHER
        if not self._n_unanswered:
            is_quiet = now_ms - self._heard_ms > self._bounds.evidence_ms
            return N_PROBED_TOGETHER if is_quiet else 1
        return self._bounds.n_probed - self._n_unanswered

    def _interval_ms(self) -> float:
        if self._n_unanswered and self._lost_ms is None:
            return 0.0
        if self._lost_ms is not None or self._has_failure:
            return self._bounds.probe_interval_ms
        return self._bounds.answered_interval_ms

    def _note_reached(self, now_ms: float) -> None:
        self._reached_ms = now_ms
        if self._lost_ms is not None and self._is_served_elsewhere(now_ms):
            self._returned_ms = now_ms
        self._lost_ms = None
        self._suspected_ms = None
        self._n_unanswered = 0
        self._has_failure = False
        self._unusable.clear()
        self._unanswered.clear()


__all__ = ("ServicePath",)
