"""The state of one upstream as one VM knows it."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

from quetzaldeck.decisions.availability import UpstreamStatements, find_closure
from quetzaldeck.decisions.health import UpstreamHealth, compute_ms_per_token
from quetzaldeck.decisions.health.help_refusals import HelpRefusals
from quetzaldeck.decisions.health.outcomes import DecayingOutcomes, Outcomes
from quetzaldeck.decisions.health.pace import Pace
from quetzaldeck.decisions.health.turn_aways import TurnAways
from quetzaldeck.decisions.loads.peer_load import PeerLoad, VmLoad
from quetzaldeck.decisions.memory import InFlightAttempt, MemoryLedger
from quetzaldeck.decisions.prefill_backlog import PrefillBacklog
from quetzaldeck.decisions.rate_limits import Pacing

if TYPE_CHECKING:
    from quetzaldeck.bundle.document import UpstreamSpec
    from quetzaldeck.decisions.availability import Closure, Statement
    from quetzaldeck.decisions.loads.load_report import LoadReport


MAX_REPORT_AGE_MS = 1_000.0
"""Age up to which a load report counts against the capacity of an upstream. Reports
arrive with responses, so they stop when an upstream looks full, and an old one would
keep it looking full for ever. Most answers to short prompts end within about this
time."""

MAX_IDLE_SHARE = 0.25
"""Share of its slots in use up to which an engine counts as idle in the metrics."""


class UpstreamState:
    """Combines reported load, this VM's attempts since the report and peer loads.

    An upstream may restart under the same name, with empty caches and no running
    requests. If the earlier state were kept, an idle engine that seems full, slow or
    dead would get no work, and one that seems to hold a prompt would be named as its
    helper. So a new incarnation resets the state. The attempts of the earlier
    incarnation are not ended here: their connections break, which also shows whether an
    answer was complete.

    :param spec: the upstream's entry in the bundle
    :param statements: what upstreams have said of themselves; by default nothing
    """

    def __init__(
        self, spec: UpstreamSpec, statements: UpstreamStatements | None = None
    ) -> None:
        self.spec = spec
        if statements is None:
            statements = UpstreamStatements(random_state=random.Random(0))
        self._statements = statements
        self.report: LoadReport | None = None
        self.reported_ms = 0.0
        self.is_listed_leaving = False
        """Whether the list of upstreams says that it leaves."""
        self.is_evacuated = False
        """Whether its zone is evacuated; its shutdown is not planned."""
        self.health = UpstreamHealth()
        self.ledger = MemoryLedger()
        self.peers = PeerLoad()
        self.outcomes = DecayingOutcomes()
        self.pace = Pace()
        self.pacing = Pacing()
        self._help_refusals = HelpRefusals()
        self._turn_aways = TurnAways()
        self._incarnation = ""
        self._backlog = PrefillBacklog()

    @property
    def is_leaving(self) -> bool:
        """:returns: whether it leaves, by the list of upstreams or its own word"""
        statement = self._statement
        said = statement is not None and statement.is_leaving
        return self.is_listed_leaving or said

    @property
    def accepts_work(self) -> bool:
        """:returns: whether new work may be placed here, now or once it has rested"""
        return not (self.is_leaving or self.is_evacuated)

    @property
    def _statement(self) -> Statement | None:
        return self._statements.find(self.spec.name, self.incarnation)

    def find_closure(self, now_ms: float) -> Closure | None:
        """:returns: why nothing new may be sent here now; ``None``: it may"""
        return find_closure(
            self._statement,
            now_ms,
            is_listed_leaving=self.is_listed_leaving,
            is_evacuated=self.is_evacuated,
        )

    def rest_wait_ms(self, now_ms: float) -> float:
        """:returns: time until the upstream has rested; 0: it does not rest

        After a rest, until the first request has been accepted, others wait.
        """
        statement = self._statement
        if statement is None:
            return 0.0
        trial_until_ms = statement.trial_until_ms(now_ms)
        if trial_until_ms is not None and self._runs_since(statement.rest_until_ms):
            return trial_until_ms - now_ms
        return max(0.0, statement.rest_until_ms - now_ms)

    def wait_ms(self, now_ms: float) -> float:
        """:returns: time until it has rested and its rate limit allows a request"""
        return max(self.rest_wait_ms(now_ms), self.pacing.wait_ms(now_ms))

    def is_restricted(self, now_ms: float) -> bool:
        """:returns: whether it rests, or takes only some requests a second"""
        return self.pacing.is_limited or self.rest_wait_ms(now_ms) > 0.0

    def note_accepted(self, sent_ms: float) -> None:
        """Record that it has accepted a request that was sent at a time."""
        self._turn_aways.note_accepted(sent_ms)
        self._statements.note_accepted(self.spec.name, sent_ms)

    def _runs_since(self, begin_ms: float) -> bool:
        """:returns: whether an attempt of this VM runs that was sent since a time"""
        return any(attempt.started_ms >= begin_ms for attempt in self.ledger)

    @property
    def incarnation(self) -> str:
        """:returns: the noted incarnation, else the last report's; ``""``: none"""
        reported = "" if self.report is None else self.report.incarnation
        return self._incarnation or reported

    def note_incarnation(self, incarnation: str, now_ms: float) -> None:
        """Set the incarnation; a change resets the state of the earlier one.

        :param incarnation: ``""`` if the upstream reports none
        """
        before = self._incarnation
        self._incarnation = incarnation
        if not before or before == incarnation:
            return
        self.report = None
        self.reported_ms = 0.0
        self.health.reset_after_restart(now_ms)
        self.ledger.drop_all()
        self.peers = PeerLoad()
        self.outcomes = DecayingOutcomes()
        self.pace = Pace()
        self.pacing = Pacing()
        self._help_refusals = HelpRefusals()
        self._turn_aways = TurnAways()
        self._backlog = PrefillBacklog()

    def is_other_incarnation(self, incarnation: str) -> bool:
        """:returns: whether an update is for an incarnation other than the known one"""
        return bool(self._incarnation) and incarnation != self._incarnation

    @property
    def n_in_flight(self) -> int:
        """:returns: number of this VM's attempts that run here"""
        return len(self.ledger)

    @property
    def in_flight(self) -> tuple[InFlightAttempt, ...]:
        """:returns: this VM's attempts that run here"""
        return tuple(self.ledger)

    def observe(self, report: LoadReport, now_ms: float) -> None:
        """Apply a report if it is newer than the last one and of this incarnation."""
        if self.is_other_incarnation(report.incarnation):
            return
        last_report = self.report
        measured_ms = now_ms - report.age_ms
        if last_report is not None and last_report.incarnation == report.incarnation:
            if report.sequence <= last_report.sequence:
                return
        elif last_report is not None:
            # A report delayed by a slow reader may be of the previous incarnation.
            # Applying it would look like another restart.
            if measured_ms < self.reported_ms:
                return
            self.health.note_restart(now_ms)
        self.report = report
        self.reported_ms = measured_ms
        self.ledger.note_report(measured_ms)

    def add(self, attempt: InFlightAttempt) -> None:
        """Reserve capacity for an attempt before it is sent.

        :raises ValueError: if the attempt has a reservation already
        """
        self.ledger.reserve(attempt)
        self._add_prefill_work(attempt.n_prefill_tokens, attempt.started_ms)

    def update_peer_load(self, vm: str, load: VmLoad, now_ms: float) -> None:
        """Replace the load that another VM puts on this upstream."""
        self._add_prefill_work(self.peers.update(vm, load, now_ms), now_ms)

    def is_idle(self, now_ms: float) -> bool:
        """:returns: whether at most a quarter of the engine's slots is in use"""
        figures = self.spec.figures
        if figures is None:
            return False
        return self.n_requests(now_ms) <= figures.n_slots * MAX_IDLE_SHARE

    def _add_prefill_work(self, n_tokens: int, now_ms: float) -> None:
        figures = self.spec.figures
        if figures is not None and n_tokens:
            self._backlog.add(n_tokens / figures.tokens_per_ms, now_ms)

    def mark_prefilled(self, attempt_id: str) -> None:
        """Record the first token of an attempt, which ends its prefill."""
        self.ledger.mark_prefilled(attempt_id)

    def discard(self, attempt_id: str) -> bool:
        """Release the capacity reserved for an attempt.

        :returns: whether it had any; ``False`` shows a second release
        """
        return self.ledger.release(attempt_id)

    def load_age_ms(self, now_ms: float) -> float | None:
        """:returns: age of the latest load that others reported; ``None``: no report

        The load of another VM counts from its receipt, since it names no time.
        """
        reported_ms = -math.inf if self.report is None else self.reported_ms
        newest_ms = max(reported_ms, self.peers.updated_ms)
        return None if newest_ms == -math.inf else max(0.0, now_ms - newest_ms)

    def own_load(self, now_ms: float) -> VmLoad:
        """:returns: load of this VM on the upstream, for the other VMs"""
        ledger = self.ledger
        return VmLoad(
            len(ledger),
            ledger.n_prefill_tokens,
            ledger.n_kv_tokens,
            ledger.n_parts,
            self.outcomes.last,
            self._incarnation,
            self._help_refusals.is_refusing(now_ms),
        )

    def outcomes_at(self, now_ms: float) -> Outcomes:
        """:returns: outcomes of the requests of all VMs"""
        return self.outcomes.at(now_ms).add(self.peers.outcomes.at(now_ms))

    def n_kv_tokens_used(self, now_ms: float | None = None) -> int:
        """:returns: KV cache in use: last report plus attempts since, at least own ones

        :param now_ms: if given, include the loads of the other VMs
        """
        own = self.ledger.n_kv_tokens
        if now_ms is not None:
            own += self.peers.total(now_ms).n_kv_tokens
        if self.report is None:
            return own
        since = self.ledger.n_unreported_kv_tokens
        return max(own, self.report.n_kv_tokens_used + since)

    def n_requests(self, now_ms: float | None = None) -> int:
        """Count the requests of the last report and this VM's attempts since.

        Excludes prompt parts, which occupy no slot.

        :param now_ms: if given, include the loads of the other VMs and ignore a report
            older than ``MAX_REPORT_AGE_MS``
        :returns: requests at the upstream
        """
        known = self.n_in_flight - self.ledger.n_parts
        if now_ms is not None:
            peer_total = self.peers.total(now_ms)
            known += peer_total.n_requests - peer_total.n_parts
        if self.report is None:
            return known
        if now_ms is not None and now_ms - self.reported_ms > MAX_REPORT_AGE_MS:
            return known
        reported = self.report.n_running + self.report.n_waiting
        return max(known, reported + self.ledger.n_unreported)

    def n_answers(self, now_ms: float) -> int:
        """:returns: requests of all VMs that run here, prompt parts excluded"""
        n_requests = len(self.ledger) + self.peers.total(now_ms).n_requests
        return n_requests - self.n_parts(now_ms)

    def n_parts(self, now_ms: float) -> int:
        """:returns: prompt parts of all VMs that the engine prefills for others"""
        return self.ledger.n_parts + self.peers.total(now_ms).n_parts

    def may_help(self, now_ms: float) -> bool:
        """Check whether the engine accepts one more prompt part.

        An engine helps as many other engines as it has slots and refuses more. A long
        prompt that names it then has to be sent again with other helpers.

        :returns: whether it may be named as a helper
        """
        if self._help_refusals.is_refusing(now_ms):
            return False
        if self.peers.total(now_ms).refuses_help:
            return False
        figures = self.spec.figures
        return figures is None or self.n_parts(now_ms) < figures.n_slots

    def note_help_refused(self, now_ms: float) -> None:
        """Record that the engine did not prefill the prompt part of an attempt."""
        figures = self.spec.figures
        if figures is not None:
            n_parts = self.n_parts(now_ms)
            self._help_refusals.note(n_parts, figures.n_slots, now_ms)

    def note_turned_away(self, now_ms: float) -> None:
        """Record that it refused an attempt of this VM, which is still counted."""
        max_requests = self.spec.max_requests
        if max_requests:
            n_others = self.n_requests(now_ms) - 1
            self._turn_aways.note_refused(n_others, max_requests, now_ms)

    def is_refusing(self, now_ms: float) -> bool:
        """:returns: whether it has just refused a request although it runs few"""
        return self._turn_aways.is_refusing(now_ms)

    def slow_factor(self, peer_ms_per_token: float | None, now_ms: float) -> float:
        """:returns: 1, or how many times slower than its peers if it is slow

        :param peer_ms_per_token: typical latency of its peers; ``None``: unknown
        """
        pending = max(
            (
                compute_ms_per_token(
                    attempt.n_queued_tokens, now_ms - attempt.started_ms
                )
                for attempt in self.ledger
                if attempt.n_prefill_tokens
            ),
            default=0.0,
        )
        return self.health.slow_factor(peer_ms_per_token, now_ms, pending)

    def prefill_backlog_ms(self, now_ms: float) -> float:
        """:returns: time that an engine needs to prefill the prompts of all VMs"""
        figures = self.spec.figures
        if figures is None:
            return 0.0
        n_unprefilled = self.ledger.n_prefill_tokens
        n_unprefilled += self.peers.total(now_ms).n_prefill_tokens
        return self._backlog.remaining_ms(n_unprefilled / figures.tokens_per_ms, now_ms)

    def n_prefill_tokens(self) -> int:
        """:returns: tokens to prefill: report plus attempts since, at least own ones"""
        own = self.ledger.n_prefill_tokens
        if self.report is None:
            return own
        since = self.ledger.n_unreported_prefill_tokens
        return max(own, self.report.n_prefill_tokens + since)


__all__ = ("InFlightAttempt", "UpstreamState")
