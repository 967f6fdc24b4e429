"""Thresholds and times for judging the path to upstreams."""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.decisions.loads.load_changes import MAX_SEND_DELAY_MS
from quetzaldeck.decisions.silence_thresholds import MIN_FIRST_BYTE_THRESHOLD_MS


class PathBounds(NamedTuple):
    """Thresholds and times for judging the path to upstreams.

    :param silence_ms: time for which an attempt waits while nothing comes from any
        upstream of its service, after which the path is probed
    :param n_probed: unanswered probes after which a path is taken for lost; of several
        upstreams if there are
    :param sound_silence_ms: time for which sound upstreams may be silent, a second or
        so, before a service is taken for down
    :param n_failed_connections: upstreams of which no new connection could be used,
        after which the path is probed although others answer on open connections
    :param probe_interval_ms: time between two rounds of probes of a lost path
    :param answered_interval_ms: time between two rounds while they are answered, and
        attempts are only silent
    :param peer_lag_ms: age that an answer may have when another VM reports it
    :param evidence_ms: time for which an answer to another VM shows that it reaches
        the upstreams
    :param return_ms: time in which all requests return to a path that is back
    """

    silence_ms: float = MIN_FIRST_BYTE_THRESHOLD_MS
    n_probed: int = 4
    sound_silence_ms: float = 1_500.0
    n_failed_connections: int = 2
    probe_interval_ms: float = 500.0
    answered_interval_ms: float = 1_000.0
    peer_lag_ms: float = 2 * MAX_SEND_DELAY_MS
    evidence_ms: float = 3_000.0
    return_ms: float = 2_000.0


__all__ = ("PathBounds",)
