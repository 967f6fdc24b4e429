"""Whether a VM finds that it reaches no upstream of a service, and why."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import pytest

from quetzaldeck.decisions.paths import PathBounds, PathVerdict, ServicePath

if TYPE_CHECKING:
    from collections.abc import Mapping

BOUNDS = PathBounds()
ZONES = {f"r{index}": f"zone{index % 3}" for index in range(6)}
NEVER: dict[str, float] = dict.fromkeys(ZONES, -math.inf)
T0 = 10_000.0
PROBE_TIMEOUT_MS = 250.0


def open_path(zones: Mapping[str, str] = ZONES) -> ServicePath:
    """:returns: a path on which an upstream has just sent something"""
    path = ServicePath(BOUNDS)
    path.set_upstreams(zones)
    path.note_heard("r0", T0)
    return path


def fail_probes(path: ServicePath, now_ms: float, *, n_rounds: int = 2) -> list[str]:
    """:returns: the upstreams of rounds of probes that nobody answers"""
    probed: list[str] = []
    for _ in range(n_rounds):
        names = path.choose_probed(NEVER, now_ms)
        path.note_probes((), names, now_ms)
        probed += names
    return probed


def lose_path(zones: Mapping[str, str] = ZONES) -> ServicePath:
    """:returns: a path that was lost at ``T0``"""
    path = open_path(zones)
    path.note_failed("r1", T0, is_new_connection=True)
    fail_probes(path, T0)
    return path


def test_partitioned_vm_probes_upstreams_of_several_zones() -> None:
    """The loss of one zone is taken for that of the VM's own path."""
    path = open_path()
    path.note_failed("r1", T0, is_new_connection=True)
    probed = fail_probes(path, T0 + 1.0)
    assert len(probed) == len(set(probed)) == BOUNDS.n_probed
    assert {ZONES[name] for name in probed} == set(ZONES.values())
    assert path.lost_ms == T0


def test_answered_probe_ends_suspicion_of_a_single_crash() -> None:
    """A crash of one replica makes a VM give up all others."""
    path = open_path()
    path.note_failed("r1", T0, is_new_connection=True)
    (probed,) = path.choose_probed(NEVER, T0 + 1.0)
    assert probed != "r1"
    path.note_probes((probed,), (), T0 + 2.0)
    assert path.lost_ms is None
    assert path.choose_probed(NEVER, T0 + 3.0) == ()


def test_silence_of_all_attempts_leads_to_a_probe() -> None:
    """Connections hang, and the VM waits for the timeout of each attempt."""
    path = open_path()
    path.note_waiting(T0, T0 + BOUNDS.silence_ms - 1.0)
    assert path.choose_probed(NEVER, T0 + BOUNDS.silence_ms - 1.0) == ()
    path.note_waiting(T0, T0 + BOUNDS.silence_ms)
    assert len(path.choose_probed(NEVER, T0 + BOUNDS.silence_ms)) == 1


def test_bytes_of_any_upstream_show_that_a_silent_attempt_waits_in_a_queue() -> None:
    """A long prompt takes seconds to read, and the VM takes its path for lost."""
    path = open_path()
    path.note_heard("r2", T0 + 900.0)
    path.note_waiting(T0, T0 + 1_000.0)
    assert path.choose_probed(NEVER, T0 + 1_000.0) == ()


def test_refused_connections_are_probed_though_open_ones_are_answered() -> None:
    """New connections are refused while open ones live on, and nobody notices."""
    path = open_path()
    for name in ("r1", "r2"):
        path.note_heard("r0", T0 + 5.0)
        path.note_failed(name, T0 + 1.0, is_new_connection=True)
    fail_probes(path, T0 + 10.0)
    path.note_heard("r0", T0 + 11.0)
    assert path.lost_ms is not None


def test_open_connections_are_used_while_they_are_answered() -> None:
    """VMs whose new connections are refused all hand over to each other in vain."""
    path = lose_path()
    answered_ms = {**NEVER, "r3": T0 + BOUNDS.peer_lag_ms}
    now_ms = T0 + BOUNDS.peer_lag_ms
    path.note_heard("r0", now_ms)
    assert path.judge(answered_ms, now_ms) is PathVerdict.OPEN_ONLY
    for _ in range(BOUNDS.n_probed):
        path.note_failed("r1", now_ms, is_new_connection=True)
    assert path.judge(answered_ms, now_ms) is PathVerdict.PARTITIONED


def test_answers_of_other_vms_show_that_the_own_path_is_at_fault() -> None:
    """A partitioned VM takes replicas for down that answer all other VMs."""
    path = lose_path()
    answered_ms = {**NEVER, "r3": T0 + BOUNDS.peer_lag_ms}
    assert path.judge(NEVER, T0 + 10.0) is PathVerdict.UNREACHED
    now_ms = T0 + BOUNDS.peer_lag_ms
    assert path.judge(answered_ms, now_ms) is PathVerdict.PARTITIONED
    late_ms = now_ms + BOUNDS.evidence_ms + 1.0
    assert path.judge(answered_ms, late_ms) is not PathVerdict.PARTITIONED


def test_answers_from_before_the_loss_do_not_show_a_partition() -> None:
    """All replicas end at once, and VMs hand their requests to each other in vain."""
    path = lose_path()
    answered_ms = {**NEVER, "r3": T0 + BOUNDS.peer_lag_ms - 1.0}
    assert path.judge(answered_ms, T0 + 600.0) is PathVerdict.UNREACHED


def test_answers_from_before_the_probes_do_not_show_a_partition() -> None:
    """A VM waits for a replica that has ended; others end before it probes them."""
    path = open_path()
    path.note_waiting(T0, T0 + BOUNDS.silence_ms)
    probed_ms = T0 + 2 * BOUNDS.peer_lag_ms
    fail_probes(path, probed_ms)
    answered_ms = dict.fromkeys(ZONES, probed_ms + BOUNDS.peer_lag_ms - 1.0)
    now_ms = probed_ms + 2 * BOUNDS.peer_lag_ms
    assert path.judge(answered_ms, now_ms) is PathVerdict.UNREACHED
    answered_ms["r5"] = probed_ms + BOUNDS.peer_lag_ms
    assert path.judge(answered_ms, now_ms) is PathVerdict.PARTITIONED


def test_upstream_that_is_new_shows_nothing_until_it_is_probed() -> None:
    """Replicas that start again end one after the other before a VM probes them."""
    path = lose_path()
    path.set_upstreams({"new": "a", "newer": "a"})
    answered_ms = {"new": T0 + 2 * BOUNDS.peer_lag_ms}
    now_ms = T0 + 3 * BOUNDS.peer_lag_ms
    assert path.judge(answered_ms, now_ms) is not PathVerdict.PARTITIONED
    fail_probes(path, now_ms, n_rounds=1)
    assert path.judge(answered_ms, now_ms) is not PathVerdict.PARTITIONED
    answered_ms["new"] = now_ms + BOUNDS.peer_lag_ms
    assert path.judge(answered_ms, answered_ms["new"]) is PathVerdict.PARTITIONED


def test_service_is_down_once_each_of_its_upstreams_has_failed() -> None:
    """All replicas of a service are gone, and callers wait for their deadlines."""
    path = lose_path()
    now_ms = T0 + 1.0
    while path.judge(NEVER, now_ms) is PathVerdict.UNREACHED:
        now_ms += BOUNDS.probe_interval_ms
        fail_probes(path, now_ms, n_rounds=1)
    assert path.judge(NEVER, now_ms) is PathVerdict.DOWN
    assert now_ms - T0 <= BOUNDS.sound_silence_ms + BOUNDS.probe_interval_ms


def test_service_is_not_down_before_other_vms_can_report_its_answers() -> None:
    """A VM that probes late fails its callers, though other VMs reach the service."""
    path = open_path()
    path.note_waiting(T0, T0 + BOUNDS.silence_ms)
    probed_ms = T0 + BOUNDS.sound_silence_ms - BOUNDS.peer_lag_ms
    fail_probes(path, probed_ms)
    for name in ZONES:
        path.note_failed(name, T0, is_new_connection=True)
    reported_ms = probed_ms + 2 * BOUNDS.peer_lag_ms
    assert path.judge(NEVER, reported_ms - 1.0) is PathVerdict.UNREACHED
    assert path.judge(NEVER, reported_ms) is PathVerdict.DOWN


def test_service_is_not_down_before_answers_since_its_probes_are_reported() -> None:
    """Of two upstreams the second is probed later, and only that one has calls."""
    path = open_path({"r0": "zone0", "r1": "zone1"})
    path.note_waiting(T0, T0 + BOUNDS.silence_ms)
    now_ms = T0 + BOUNDS.silence_ms
    while path.lost_ms is None:
        probed_ms = now_ms
        probed = path.choose_probed(NEVER, now_ms)
        now_ms += PROBE_TIMEOUT_MS
        path.note_probes((), probed, now_ms)
    begun_ms = T0 + BOUNDS.silence_ms + PROBE_TIMEOUT_MS
    reported_ms = begun_ms + 2 * BOUNDS.peer_lag_ms
    assert begun_ms < probed_ms
    assert path.judge(NEVER, reported_ms - 1.0) is PathVerdict.UNREACHED
    assert path.judge(NEVER, reported_ms) is PathVerdict.DOWN


def test_replica_that_is_silent_for_a_second_is_no_lost_path() -> None:
    """A sound replica falls silent for a second, and its VMs are taken for cut off."""
    path = open_path()
    for now_ms in (T0 + 500.0, T0 + 600.0, T0 + 900.0):
        path.note_waiting(T0, now_ms)
        probed = path.choose_probed(NEVER, now_ms)
        answered = [name for name in probed if name != "r0"]
        path.note_probes(answered, [n for n in probed if n == "r0"], now_ms)
        assert path.lost_ms is None


def test_only_replica_of_a_service_that_is_silent_for_a_second_is_not_down() -> None:
    """The only replica falls silent for a second, and its requests are refused."""
    path = open_path({"r0": "zone0"})
    path.note_waiting(T0, T0 + BOUNDS.silence_ms)
    (probed,) = path.choose_probed(NEVER, T0 + BOUNDS.silence_ms)
    path.note_probes((), (probed,), T0 + 1_000.0)
    assert path.judge(NEVER, T0 + 1_000.0) is PathVerdict.DOUBTED
    (probed,) = path.choose_probed(NEVER, T0 + 1_000.0)
    path.note_probes((probed,), (), T0 + 1_200.0)
    assert path.judge(NEVER, T0 + 1_200.0) is PathVerdict.REACHED


def test_service_whose_replicas_are_all_silent_for_a_second_is_not_down() -> None:
    """All replicas fall silent for a second, and callers are refused at once."""
    path = lose_path()
    for now_ms in (T0 + 500.0, T0 + 1_000.0, T0 + BOUNDS.sound_silence_ms - 1.0):
        fail_probes(path, now_ms, n_rounds=1)
        assert path.judge(NEVER, now_ms) is PathVerdict.UNREACHED


def test_requests_return_to_a_path_over_time() -> None:
    """All work moves at the moment at which the path is back, to cold connections."""
    path = lose_path()
    back_ms = T0 + 5_000.0
    path.note_served_elsewhere(back_ms)
    (first, *_) = path.choose_probed(NEVER, back_ms)
    path.note_probes((first,), (), back_ms)
    shares = [path.return_share(back_ms + part * BOUNDS.return_ms) for part in (0, 1)]
    assert shares == [0.0, 1.0]
    assert 0.4 < path.return_share(back_ms + BOUNDS.return_ms / 2) < 0.6


def test_requests_return_at_once_to_upstreams_that_were_down_for_all() -> None:
    """Requests take a hop to VMs that reach the upstreams no sooner than this one."""
    path = lose_path()
    back_ms = T0 + 5_000.0
    (first, *_) = path.choose_probed(NEVER, back_ms)
    path.note_probes((first,), (), back_ms)
    assert path.return_share(back_ms) == 1.0


def test_path_that_comes_and_goes_each_second_is_probed_at_a_limited_rate() -> None:
    """A flapping link makes a VM open connections without end."""
    path = open_path()
    n_probes = 0
    for step in range(200):
        now_ms = T0 + step * 50.0
        is_open = (now_ms // 1_000.0) % 2 == 0
        if not is_open:
            path.note_failed("r1", now_ms, is_new_connection=True)
        probed = path.choose_probed(NEVER, now_ms)
        n_probes += len(probed)
        if probed:
            answered = probed if is_open else ()
            path.note_probes(answered, () if is_open else probed, now_ms)
    duration_ms = 200 * 50.0
    assert n_probes <= 2 * (BOUNDS.n_probed + duration_ms / BOUNDS.probe_interval_ms)


@pytest.mark.parametrize("n_calls", [1, 50])
def test_one_request_at_a_time_asks_other_vms_while_nobody_is_known_to_serve(
    n_calls: int,
) -> None:
    """All replicas are down, and all VMs flood each other with their requests."""
    path = lose_path()
    assert [path.may_ask(T0 + 10.0) for _ in range(n_calls)].count(True) == 1
    assert path.may_ask(T0 + 10.0 + BOUNDS.probe_interval_ms)
