"""Health of one upstream, judged by one VM from its own requests there.

Failure scenario: some engines of a pool are dead, restart over and over, hang because
their connections went silent, or run at a fraction of their speed, while requests keep
arriving. Without this module requests would still be sent to the faulty upstreams
first: a dead one looks idle and attracts requests, a silent one costs each request its
idle timeout, and one slow engine determines the tail latency of the whole pool.

Each state has its own evidence and reaction:

========== ================================================ =========================
state      evidence                                         reaction
========== ================================================ =========================
warming    new, restarted or recovered                      cost raised, falling
slow       first-token time over 1.5 times its peers'       cost raised in proportion
silent     silent reads in a row, each on a new pool        ejected until a probe
dead       refused connection, or broken answers in a row   ejected until a probe
crash loop restarts in a short time                         ejected until it stays up
========== ================================================ =========================

A probe is one of the callers' requests: no artificial load is sent, and an upstream
that answers only health checks is never trusted.
"""

from __future__ import annotations

import math

from quetzaldeck.decisions.decision import AttemptFault
from quetzaldeck.decisions.health.bounds import HealthBounds
from quetzaldeck.decisions.health.state import HealthState

LATENCY_WEIGHT = 0.2
"""Weight of a new latency in the moving average, which spans about ten answers."""

MIN_WARM_UP_SHARE = 0.1
"""Share of the usual load of an upstream that has just recovered. With less it would
hardly get the requests whose answers show that it is healthy."""
MAX_SLOW_FACTOR = 8.0
"""Upper limit of the slow factor. A larger one would keep the upstream from ever being
measured again; an upstream that is even slower is avoided for other reasons."""
N_TOKENS_BASE = 500
"""Added to a prompt's length so that fixed costs do not make short ones look slow."""


class UpstreamHealth:
    """Collects evidence about one upstream and judges its health.

    :param bounds: thresholds and times
    """

    def __init__(self, bounds: HealthBounds | None = None) -> None:
        self._bounds = bounds or HealthBounds()
        self._n_silent = 0
        self._n_broken = 0
        self._n_holds = 0
        self._hold_until_ms = 0.0
        self._ejected: HealthState | None = None
        self._warm_up_started_ms: float | None = None
        self._restarts: tuple[float, ...] = ()
        self._ms_per_token: float | None = None
        self._n_latencies = 0
        self._measured_ms = 0.0
        self._probe_id = ""
        self._last_fault: AttemptFault | None = None

    @property
    def ms_per_token(self) -> float | None:
        """:returns: first-token time per prompt token; ``None``: too few answers"""
        if self._n_latencies < self._bounds.n_latencies:
            return None
        return self._ms_per_token

    @property
    def is_ejected(self) -> bool:
        """:returns: whether the upstream gets no requests except probes"""
        return self._ejected is not None

    @property
    def ejected_state(self) -> HealthState | None:
        """:returns: the state for which the upstream is ejected, if it is"""
        return self._ejected

    @property
    def is_probing(self) -> bool:
        """:returns: whether a probe is running"""
        return bool(self._probe_id)

    @property
    def was_refused(self) -> bool:
        """:returns: whether its last fault was a failure to connect"""
        return self._last_fault is AttemptFault.CONNECT

    @property
    def hold_until_ms(self) -> float:
        """:returns: monotonic time from which the upstream may be probed"""
        return self._hold_until_ms

    def state(self, now_ms: float, peer_ms_per_token: float | None) -> HealthState:
        """:returns: the state; latency is compared with the peers' median"""
        if self._ejected is not None:
            return self._ejected
        if self.warm_up_share(now_ms) < 1.0:
            return HealthState.WARMING
        if self.slow_factor(peer_ms_per_token, now_ms) > 1.0:
            return HealthState.SLOW
        return HealthState.HEALTHY

    def warm_up_share(self, now_ms: float) -> float:
        """:returns: share of its full load that the upstream should get, up to 1"""
        if self._warm_up_started_ms is None:
            return 1.0
        elapsed_ms = now_ms - self._warm_up_started_ms
        return min(1.0, max(MIN_WARM_UP_SHARE, elapsed_ms / self._bounds.warm_up_ms))

    def slow_factor(
        self,
        peer_ms_per_token: float | None,
        now_ms: float,
        pending_ms_per_token: float = 0.0,
    ) -> float:
        """Compare the first-token latency with the peers'.

        :param pending_ms_per_token: highest value that :meth:`note_first_token` would
            compute if a running attempt got its first token now; without it an
            upstream that is ten times too slow would look healthy until its first
            answers arrive
        :returns: 1 unless slow, else how many times slower than its peers
        """
        if not peer_ms_per_token:
            return 1.0
        measured = (self.ms_per_token or 0.0) / peer_ms_per_token
        elapsed_ms = max(0.0, now_ms - self._measured_ms)
        weight = math.pow(0.5, elapsed_ms / self._bounds.slow_half_life_ms)
        ratio = max(
            1.0 + (measured - 1.0) * weight, pending_ms_per_token / peer_ms_per_token
        )
        if ratio < self._bounds.slow_ratio:
            return 1.0
        return min(ratio, MAX_SLOW_FACTOR)

    def start_warm_up(self, now_ms: float) -> None:
        """Ramp up the load of a new or recovered upstream from now on."""
        self._warm_up_started_ms = now_ms

    def note_restart(self, now_ms: float) -> None:
        """Record a report of a new incarnation.

        The process answers again, so an ejected upstream may be probed at once; one
        that restarts over and over stays ejected until it stays up.
        """
        self._restarts = (*self._restarts, now_ms)[-self._bounds.n_crashes :]
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
        """Drop the evidence on earlier incarnations, except the number of restarts."""
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
        """Record an attempt that ended with a fault.

        :returns: the state for which the upstream was ejected by it, if any
        """
        if fault in _LIVENESS_FAULTS:
            self.note_success(attempt_id, now_ms)
            return None
        self._last_fault = fault
        was_probe = attempt_id == self._probe_id
        if was_probe:
            self._probe_id = ""
        state = self._judge(fault)
        if state is None and not (was_probe and fault in _PROBE_FAILURES):
            return None
        state = state or self._ejected or HealthState.DEAD
        is_held = self._ejected is not None and not was_probe
        if self._ejected is not HealthState.CRASH_LOOPING:
            self._ejected = state
        if not is_held:
            self._hold(now_ms)
        return state

    def note_success(self, attempt_id: str, now_ms: float) -> None:
        """Record the first token or the complete answer of an attempt."""
        if attempt_id == self._probe_id:
            self._probe_id = ""
        self._n_silent = 0
        self._n_broken = 0
        if self._ejected is HealthState.CRASH_LOOPING and now_ms < self._hold_until_ms:
            return
        if self._ejected is not None:
            self._ejected = None
            self._n_holds = 0
            self._restarts = ()
            self.start_warm_up(now_ms)

    def note_resumed(self) -> None:
        """Take back a silence: the upstream has gone on where it had stopped."""
        self._n_silent = 0
        if self._ejected is HealthState.SILENT:
            self._ejected = None
            self._n_holds = 0
            self._hold_until_ms = 0.0

    def note_first_token(
        self, n_tokens: int, duration_ms: float, now_ms: float
    ) -> None:
        """Record a first-token time, from which slowness is judged.

        :param n_tokens: prompt tokens queued at dispatch, including the attempt's own
        """
        self._measured_ms = now_ms
        sample = compute_ms_per_token(n_tokens, duration_ms)
        average = self._ms_per_token
        self._n_latencies += 1
        if average is None:
            self._ms_per_token = sample
        else:
            self._ms_per_token = average + LATENCY_WEIGHT * (sample - average)

    def may_probe(self, now_ms: float) -> bool:
        """:returns: whether one request may be sent as a probe"""
        return self.is_ejected and not self.is_probing and now_ms >= self._hold_until_ms

    def start_probe(self, attempt_id: str) -> None:
        """Record that an attempt is the probe of an ejected upstream."""
        self._probe_id = attempt_id

    def release_probe(self, attempt_id: str) -> None:
        """End a probe that yielded no evidence, e.g. because its caller disconnected.

        Otherwise the probe would count as running for ever, and the upstream would
        never be probed again.
        """
        if attempt_id == self._probe_id:
            self._probe_id = ""

    def _judge(self, fault: AttemptFault) -> HealthState | None:
        if fault is AttemptFault.CONNECT:
            self._n_broken = self._bounds.n_broken
            return HealthState.DEAD
        if fault in _COUNTED_FAULTS:
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
    """:returns: first-token time per token, comparable between prompt lengths"""
    return duration_ms / (n_tokens + N_TOKENS_BASE)


_COUNTED_FAULTS = frozenset(
    (AttemptFault.BROKEN, AttemptFault.FAILED, AttemptFault.HELPER)
)
"""Faults that show a dead upstream if several occur without a success in between. A
single one may have another cause, such as a request that crashes engines, or a helper
at capacity."""

_PROBE_FAILURES = _COUNTED_FAULTS | {AttemptFault.CONNECT, AttemptFault.SILENT}
"""Faults after which a failed probe keeps an upstream ejected."""

_LIVENESS_FAULTS = frozenset(
    (
        AttemptFault.OVERLOADED,
        AttemptFault.REFUSED,
        AttemptFault.RESTING,
        AttemptFault.TOO_LONG,
    )
)
"""Faults that an upstream reports itself, which proves that it is alive."""

__all__ = ("UpstreamHealth", "compute_ms_per_token")
