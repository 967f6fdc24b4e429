"""The paths of one VM to the upstreams of all services."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.paths.bounds import PathBounds
from quetzaldeck.decisions.paths.service_path import ServicePath
from quetzaldeck.decisions.paths.verdict import PathVerdict

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Iterable, Mapping

    FindAnswered = Callable[[str], float]


class ProbedUpstream(NamedTuple):
    """An upstream of which this VM wants to know whether it reaches it.

    :param service: service that it belongs to
    """

    service: str
    upstream: str


class PathMonitor:
    """Passes evidence to the paths and reads their verdicts.

    :param find_answered_ms: returns when another VM last had an answer of an upstream
    :param random_state: chooses the requests that return first to a path that is back
    """

    def __init__(
        self,
        find_answered_ms: FindAnswered,
        *,
        random_state: random.Random,
        bounds: PathBounds | None = None,
    ) -> None:
        self._find_answered_ms = find_answered_ms
        self._random_state = random_state
        self._bounds = bounds or PathBounds()
        self._paths: dict[str, ServicePath] = {}
        self._services: dict[str, str] = {}
        self._verdicts: dict[str, PathVerdict] = {}
        self._sent: dict[str, tuple[str, float]] = {}

    @property
    def bounds(self) -> PathBounds:
        """:returns: the thresholds and times"""
        return self._bounds

    def find_path(self, service: str) -> ServicePath | None:
        """:returns: the path to a service; ``None`` if it has no upstreams"""
        return self._paths.get(service)

    def find_service(self, upstream: str) -> str:
        """:returns: service of an upstream; ``""`` if it is not known"""
        return self._services.get(upstream, "")

    def set_upstreams(self, upstreams: Iterable[tuple[str, str, str]]) -> None:
        """Set the upstreams that get new work.

        :param upstreams: name, service and availability zone of each
        """
        zones: dict[str, dict[str, str]] = {}
        self._services = {}
        for name, service, zone in upstreams:
            zones.setdefault(service, {})[name] = zone
            self._services[name] = service
        for service in self._paths.keys() - zones.keys():
            del self._paths[service]
        for service, names in zones.items():
            path = self._paths.setdefault(service, ServicePath(self._bounds))
            path.set_upstreams(names)

    def note_sent(self, attempt_id: str, upstream: str, now_ms: float) -> None:
        """Record that an attempt was sent."""
        self._sent[attempt_id] = upstream, now_ms

    def note_ended(self, attempt_id: str) -> None:
        """Record that an attempt is not awaited any more."""
        self._sent.pop(attempt_id, None)

    def note_heard(self, upstream: str, now_ms: float) -> None:
        """Record that an upstream has sent something."""
        path = self._paths.get(self.find_service(upstream))
        if path is not None:
            path.note_heard(upstream, now_ms)

    def note_failed(
        self, upstream: str, begun_ms: float, *, is_new_connection: bool
    ) -> None:
        """Record that an attempt failed; see :meth:`ServicePath.note_failed`."""
        path = self._paths.get(self.find_service(upstream))
        if path is not None:
            path.note_failed(upstream, begun_ms, is_new_connection=is_new_connection)

    def choose_probed(
        self, now_ms: float, skipped: Collection[str] = ()
    ) -> list[ProbedUpstream]:
        """:returns: upstreams to probe now

        :param skipped: services whose last probes are still under way
        """
        for upstream, sent_ms in self._sent.values():
            path = self._paths.get(self.find_service(upstream))
            if path is not None:
                path.note_waiting(sent_ms, now_ms)
        return [
            ProbedUpstream(service, name)
            for service, path in self._paths.items()
            if service not in skipped
            for name in path.choose_probed(self._list_answered(service), now_ms)
        ]

    def note_probes(
        self, results: Mapping[ProbedUpstream, bool], now_ms: float
    ) -> None:
        """Record probes that were chosen together.

        :param results: whether each was answered
        """
        for service in {probed.service for probed in results}:
            path = self._paths.get(service)
            if path is None:
                continue
            by_result: dict[bool, list[str]] = {True: [], False: []}
            for probed, is_answered in results.items():
                if probed.service == service:
                    by_result[is_answered].append(probed.upstream)
            path.note_probes(by_result[True], by_result[False], now_ms)

    def pop_changed_verdicts(self, now_ms: float) -> dict[str, PathVerdict]:
        """:returns: verdicts that have changed since the last call, by service"""
        verdicts = {
            service: path.judge(self._list_answered(service), now_ms)
            for service, path in self._paths.items()
        }
        if PathVerdict.PARTITIONED in verdicts.values():
            # Nobody may have called the other services since this VM lost its path.
            for service, verdict in verdicts.items():
                if not verdict.allows_attempts:
                    verdicts[service] = PathVerdict.PARTITIONED
        changed = {
            service: verdict
            for service, verdict in verdicts.items()
            if self._verdicts.get(service, PathVerdict.REACHED) is not verdict
        }
        for service in self._verdicts.keys() - verdicts.keys():
            if self._verdicts[service] is not PathVerdict.REACHED:
                changed[service] = PathVerdict.REACHED
        self._verdicts = verdicts
        if not all(verdict.allows_attempts for verdict in changed.values()):
            # What cuts this VM off from one service often cuts it off from all.
            for service, path in self._paths.items():
                if service not in changed:
                    path.demand_probe(now_ms)
        return changed

    def find_verdict(self, service: str) -> PathVerdict:
        """:returns: the last verdict on the path to a service"""
        return self._verdicts.get(service, PathVerdict.REACHED)

    def may_hand_over(self, service: str, now_ms: float) -> bool:
        """:returns: whether a request that this VM can't serve is offered to another"""
        verdict = self.find_verdict(service)
        if verdict is PathVerdict.PARTITIONED:
            return True
        path = self._paths.get(service)
        return (
            path is not None
            and verdict not in (PathVerdict.REACHED, PathVerdict.DOUBTED)
            and path.may_ask(now_ms)
        )

    def prefers_hand_over(self, service: str, now_ms: float) -> bool:
        """:returns: whether another VM should serve a request, as the path is just back

        The share of such requests falls with time, so that all the work does not move
        at one moment, and comes back if the path is lost again.
        """
        path = self._paths.get(service)
        if path is None or not self.find_verdict(service).allows_attempts:
            return False
        share = path.return_share(now_ms)
        return share < 1.0 and self._random_state.random() >= share

    def is_reached_since(self, upstream: str, since_ms: float) -> bool:
        """Check whether a probe has shown that this VM reaches upstreams.

        :param upstream: probes of other upstreams count: those of its service, or of
            any other if it has none
        """
        return any(path.reached_ms >= since_ms for path in self._list_beside(upstream))

    def judge_failure(
        self,
        upstream: str,
        service: str,
        since_ms: float,
        begun_ms: float,
        now_ms: float,
    ) -> bool | None:
        """Check whether a failure to reach an upstream says anything about it.

        No request can have crashed the upstreams of all services. So a service of which
        nothing answers is not judged before a probe of another one is answered.

        :param service: its service, also if it is not registered any more
        :param since_ms: when connections to it broke
        :param begun_ms: since when the result is waited for
        :returns: ``False`` if the path of this VM may be the fault; ``None``: not known
            yet
        """
        if self.is_reached_since(upstream, since_ms):
            return True
        if self.find_verdict(service) is PathVerdict.PARTITIONED:
            return False
        path = self._paths.get(service)
        is_lost = path is not None and path.lost_ms is not None
        shown_ms = path.unanswered_ms if path is not None and is_lost else None
        lag_ms = 2 * self._bounds.peer_lag_ms
        if now_ms < (begun_ms if shown_ms is None else shown_ms) + lag_ms:
            return None
        others = [
            other
            for other in self._paths.values()
            if other is not path and other.heard_ms > -math.inf
        ]
        if not others or any(other.reached_ms >= since_ms for other in others):
            return True
        if all(other.lost_ms is not None for other in others):
            return False
        for other in others:
            other.demand_probe(now_ms)
        return None if now_ms < begun_ms + 2 * lag_ms else False

    def demand_probes(self, upstream: str, now_ms: float) -> None:
        """Probe the paths that show whether this VM reaches others than an upstream."""
        for path in self._list_beside(upstream):
            path.demand_probe(now_ms)

    def _list_beside(self, upstream: str) -> list[ServicePath]:
        own = self._paths.get(self.find_service(upstream))
        if own is not None and len(own.upstreams) > 1:
            return [own]
        return [path for path in self._paths.values() if path is not own]

    def note_served_elsewhere(self, service: str, now_ms: float) -> None:
        """Record that another VM has served a request that was handed over."""
        path = self._paths.get(service)
        if path is not None:
            path.note_served_elsewhere(now_ms)

    def _list_answered(self, service: str) -> dict[str, float]:
        """:returns: when other VMs last had answers; empty while that is no matter"""
        path = self._paths[service]
        if not path.is_doubtful:
            return {}
        return {name: self._find_answered_ms(name) for name in path.upstreams}


__all__ = ("PathMonitor", "ProbedUpstream")
