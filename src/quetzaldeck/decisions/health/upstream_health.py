"""Health of one upstream, judged by one VM from its own work there.

Load pattern: some engines of a pool are dead, restart over and over, hang behind a
lost flow, or run at a fraction of their speed, while requests keep arriving.
Without it every request goes on being tried at the faulty upstream first: a dead
one looks idle and attracts work, a silent one costs each request its idle bound,
and one slow engine sets the tail of the whole pool.

Each state has its own evidence and reaction:

========== ================================================ =======================
state      evidence                                         reaction
========== ================================================ =======================
warming    new, restarted or returned                       cost raised, falling
slow       first-token time over 1.5 times its peers'        cost raised in ratio
silent     reads without a byte, again on a fresh pool      no work until a probe
dead       refused connection, or broken answers in a row   no work until a probe
crash loop restarts in a short time                         no work until it stays up
========== ================================================ =======================

A probe is one real request, so nothing is sent that nobody asked for, and an
upstream that answers probes but not work is never trusted.
"""

from __future__ import annotations

import math
from collections import deque

from quetzaldeck.decisions.decision import AttemptFault
from quetzaldeck.decisions.health.bounds import HealthBounds
from quetzaldeck.decisions.health.state import HealthState

LATENCY_WEIGHT = 0.2
"""Weight of a new latency in the moving average: about the last ten answers."""

MIN_WARM_UP_SHARE = 0.1
"""Share of the usual work for an upstream that has just come back; less would leave it
without the answers that show that it is well."""
MAX_SLOW_FACTOR = 8.0
"""An upstream slower than that is avoided by other evidence; beyond it the factor would
only keep it from being seen again."""
N_TOKENS_BASE = 500
"""Added to a prompt's length so that fixed costs do not make short ones look slow."""


class UpstreamHealth:
    """Evidence about one upstream and what follows from it.

    :param bounds: figures of the judgement
    """

    def __init__(self, bounds: HealthBounds | None = None) -> None:
        self._bounds = bounds or HealthBounds()
        self._n_silent = 0
        self._n_broken = 0
        self._n_holds = 0
        self._hold_until_ms = 0.0
        self._ejected: HealthState | None = None
        self._warm_since_ms: float | None = None
        self._restarts: deque[float] = deque(maxlen=self._bounds.n_crashes)
        self._ms_per_token: float | None = None
        self._n_latencies = 0
        self._latency_ms = 0.0
        self._probe_id = ""
        self._last_fault: AttemptFault | None = None

    @property
    def ms_per_token(self) -> float | None:
        """:returns: first-token time per prompt token; ``None`` if too few answers"""
        if self._n_latencies < self._bounds.n_latencies:
            return None
        return self._ms_per_token

    @property
    def is_ejected(self) -> bool:
        """:returns: whether it gets no work except probes"""
        return self._ejected is not None

    @property
    def ejected_state(self) -> HealthState | None:
        """:returns: the state that it is ejected in, if it is"""
        return self._ejected

    @property
    def is_probing(self) -> bool:
        """:returns: whether a probe runs"""
        return bool(self._probe_id)

    @property
    def was_refused(self) -> bool:
        """:returns: whether its last fault was a connection that it did not take"""
        return self._last_fault is AttemptFault.CONNECT

    @property
    def hold_until_ms(self) -> float:
        """:returns: monotonic time of the next probe"""
        return self._hold_until_ms

    def state(self, now_ms: float, peer_ms_per_token: float | None) -> HealthState:
        """:returns: the state; latencies are judged against the peers' median"""
        if self._ejected is not None:
            return self._ejected
        if self.warm_up_share(now_ms) < 1.0:
            return HealthState.WARMING
        if self.slow_factor(peer_ms_per_token, now_ms) > 1.0:
            return HealthState.SLOW
        return HealthState.HEALTHY

    def warm_up_share(self, now_ms: float) -> float:
        """:returns: share of full load that it should get, up to 1"""
        if self._warm_since_ms is None:
            return 1.0
        elapsed_ms = now_ms - self._warm_since_ms
        return min(1.0, max(MIN_WARM_UP_SHARE, elapsed_ms / self._bounds.warm_up_ms))

    def slow_factor(
        self,
        peer_ms_per_token: float | None,
        now_ms: float,
        pending_ms_per_token: float = 0.0,
    ) -> float:
        """Compare with the peers.

        :param pending_ms_per_token: as :meth:`note_first_token` would compute it if
            the oldest attempt got its first token now; without it an upstream ten
            times too slow would look well until its first answers arrive
        :returns: 1 unless slow, else how many times slower than its peers
        """
        if not peer_ms_per_token:
            return 1.0
        remembered = (self.ms_per_token or 0.0) / peer_ms_per_token
        elapsed_ms = max(0.0, now_ms - self._latency_ms)
        memory = math.pow(0.5, elapsed_ms / self._bounds.slow_half_life_ms)
        ratio = max(
            1.0 + (remembered - 1.0) * memory, pending_ms_per_token / peer_ms_per_token
        )
        if ratio < self._bounds.slow_ratio:
            return 1.0
        return min(ratio, MAX_SLOW_FACTOR)

    def start_warm_up(self, now_ms: float) -> None:
        """Give a new or returned upstream its load step by step."""
        self._warm_since_ms = now_ms

    def note_restart(self, now_ms: float) -> None:
        """Take a report of a new incarnation.

        The process answers again, so a dead upstream may be probed at once; one
        that restarts over and over is held until it stays up.
        """
        self._restarts.append(now_ms)
        self.start_warm_up(now_ms)
        is_loop = (
            len(self._restarts) == self._bounds.n_crashes
            and now_ms - self._restarts[0] <= self._bounds.crash_window_ms
        )
        if is_loop:
            self._ejected = HealthState.CRASH_LOOPING
            self._hold_until_ms = now_ms + self._bounds.stable_ms
        elif self._ejected is not None:
            self._hold_until_ms = now_ms

    def reset_after_restart(self, now_ms: float) -> None:
        """Forget what was seen of an earlier start, but for how often it started."""
        self._n_silent = 0
        self._n_broken = 0
        self._n_holds = 0
        self._ejected = None
        self._ms_per_token = None
        self._n_latencies = 0
        self._probe_id = ""
        self._last_fault = None
        self.note_restart(now_ms)

    def note_fault(
        self, attempt_id: str, fault: AttemptFault, now_ms: float
    ) -> HealthState | None:
        """Take the failed end of an attempt.

        :returns: the state that it was ejected into by this, if any
        """
        if fault in _SIGNS_OF_LIFE:
            self.note_success(attempt_id, now_ms)
            return None
        self._last_fault = fault
        was_probe = attempt_id == self._probe_id
        if was_probe:
            self._probe_id = ""
        state = self._judge(fault)
        if state is None and not (was_probe and fault in _EVIDENCE):
            return None
        state = state or self._ejected or HealthState.DEAD
        is_held = self._ejected is not None and not was_probe
        if self._ejected is not HealthState.CRASH_LOOPING:
            self._ejected = state
        if not is_held:
            self._hold(now_ms)
        return state

    def note_success(self, attempt_id: str, now_ms: float) -> None:
        """Take the first token or the whole answer of an attempt."""
        if attempt_id == self._probe_id:
            self._probe_id = ""
        self._n_silent = 0
        self._n_broken = 0
        if self._ejected is HealthState.CRASH_LOOPING and now_ms < self._hold_until_ms:
            return
        if self._ejected is not None:
            self._ejected = None
            self._n_holds = 0
            self._restarts.clear()
            self.start_warm_up(now_ms)

    def note_first_token(
        self, n_tokens: int, duration_ms: float, now_ms: float
    ) -> None:
        """Take a first-token time for the judgement of slowness.

        :param n_tokens: prompt tokens queued before and with it at dispatch
        """
        self._latency_ms = now_ms
        sample = compute_ms_per_token(n_tokens, duration_ms)
        held = self._ms_per_token
        self._n_latencies += 1
        if held is None:
            self._ms_per_token = sample
        else:
            self._ms_per_token = held + LATENCY_WEIGHT * (sample - held)

    def may_probe(self, now_ms: float) -> bool:
        """:returns: whether one real request may be sent to find out"""
        return self.is_ejected and not self.is_probing and now_ms >= self._hold_until_ms

    def start_probe(self, attempt_id: str) -> None:
        """Note that an attempt is the probe of an ejected upstream."""
        self._probe_id = attempt_id

    def release_probe(self, attempt_id: str) -> None:
        """Forget an attempt that ended without evidence, e.g. its caller left.

        Otherwise the probe would count as running for ever and the upstream would
        never be probed again.
        """
        if attempt_id == self._probe_id:
            self._probe_id = ""

    def _judge(self, fault: AttemptFault) -> HealthState | None:
        if fault is AttemptFault.CONNECT:
            self._n_broken = self._bounds.n_broken
            return HealthState.DEAD
        if fault in _COUNTED:
            self._n_broken += 1
            return HealthState.DEAD if self._n_broken >= self._bounds.n_broken else None
        if fault is AttemptFault.SILENT:
            self._n_silent += 1
            is_silent = self._n_silent >= self._bounds.n_silent
            return HealthState.SILENT if is_silent else None
        return None

    def _hold(self, now_ms: float) -> None:
        hold_ms = self._bounds.first_hold_ms * 2**self._n_holds
        self._n_holds += 1
        due_ms = now_ms + min(hold_ms, self._bounds.max_hold_ms)
        self._hold_until_ms = max(self._hold_until_ms, due_ms)


def compute_ms_per_token(n_tokens: int, duration_ms: float) -> float:
    """:returns: first-token time per token, comparable between prompts"""
    return duration_ms / (n_tokens + N_TOKENS_BASE)


_COUNTED = frozenset((AttemptFault.BROKEN, AttemptFault.FAILED, AttemptFault.HELPER))
"""Faults of which several in a row, without a success between them, say that it is
dead. One may have another cause: a request that breaks what runs it, a full helper."""

_EVIDENCE = _COUNTED | {AttemptFault.CONNECT, AttemptFault.SILENT}
_SIGNS_OF_LIFE = frozenset(
    (AttemptFault.OVERLOADED, AttemptFault.REFUSED, AttemptFault.TOO_LONG)
)

__all__ = ("UpstreamHealth", "compute_ms_per_token")
