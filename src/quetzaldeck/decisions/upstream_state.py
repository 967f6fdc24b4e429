"""What one VM believes about one upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.health import UpstreamHealth, compute_ms_per_token
from quetzaldeck.decisions.health.help_refusals import HelpRefusals
from quetzaldeck.decisions.health.outcomes import DecayingOutcomes, Outcomes
from quetzaldeck.decisions.health.pace import Pace
from quetzaldeck.decisions.memory import InFlightAttempt, MemoryLedger
from quetzaldeck.decisions.peer_load import PeerLoad, VmLoad
from quetzaldeck.decisions.prefill_backlog import PrefillBacklog

if TYPE_CHECKING:
    from quetzaldeck.bundle.document import UpstreamSpec
    from quetzaldeck.decisions.load_report import LoadReport


REPORT_COUNTS_MS = 1_000.0
"""Age up to which a report counts against the room of an upstream. Reports that come
with answers stop when an upstream looks full, and would keep it looking full for ever;
most answers of short prompts end within about this time."""


class UpstreamState:
    """Reported load plus this VM's own attempts since the report.

    An upstream may start again under its name. It then runs, holds and knows nothing
    of before: an engine that still seemed full, slow or dead would get no work though
    it is idle, and one that seemed to hold a prompt would be named as a helper for it.
    So all of that is dropped with the news of its start. The attempts that it had are
    not ended here: their connections break, and tell whether an answer was complete.

    :param spec: the upstream's entry in the bundle
    """

    def __init__(self, spec: UpstreamSpec) -> None:
        self.spec = spec
        self.report: LoadReport | None = None
        self.reported_ms = 0.0
        self.is_leaving = False
        self.health = UpstreamHealth()
        self.ledger = MemoryLedger()
        self.peers = PeerLoad()
        self.outcomes = DecayingOutcomes()
        self.pace = Pace()
        self._help_refusals = HelpRefusals()
        self._incarnation = ""
        self._backlog = PrefillBacklog()

    @property
    def incarnation(self) -> str:
        """:returns: its own word, else that of the last report; ``""``: none told"""
        reported = "" if self.report is None else self.report.incarnation
        return self._incarnation or reported

    def note_incarnation(self, incarnation: str, now_ms: float) -> None:
        """Take which of its starts this is; what came of another one is dropped.

        :param incarnation: ``""`` if it does not tell
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
        self._help_refusals = HelpRefusals()
        self._backlog = PrefillBacklog()

    def is_of_another_start(self, incarnation: str) -> bool:
        """:returns: whether news are of an earlier start, or of one not heard of yet"""
        return bool(self._incarnation) and incarnation != self._incarnation

    @property
    def n_in_flight(self) -> int:
        """:returns: attempts of this VM that run here"""
        return len(self.ledger)

    @property
    def in_flight(self) -> tuple[InFlightAttempt, ...]:
        """:returns: this VM's attempts"""
        return tuple(self.ledger)

    def observe(self, report: LoadReport, now_ms: float) -> None:
        """Take a report if it is newer than the one held, and of the same start."""
        if self.is_of_another_start(report.incarnation):
            return
        held = self.report
        measured_ms = now_ms - report.age_ms
        if held is not None and held.incarnation == report.incarnation:
            if report.sequence <= held.sequence:
                return
        elif held is not None:
            # A report that waited in a slow reader may be of the incarnation before
            # the one held; taking it would look like one more restart.
            if measured_ms < self.reported_ms:
                return
            self.health.note_restart(now_ms)
        self.report = report
        self.reported_ms = measured_ms
        self.ledger.note_report(measured_ms)

    def add(self, attempt: InFlightAttempt) -> None:
        """Account for an attempt before it is sent.

        :raises ValueError: if the attempt is accounted for already
        """
        self.ledger.reserve(attempt)
        self._note_sent(attempt.n_prefill_tokens, attempt.started_ms)

    def update_peer_load(self, vm: str, share: VmLoad, now_ms: float) -> None:
        """Take what another VM has here."""
        self._note_sent(self.peers.take(vm, share, now_ms), now_ms)

    def _note_sent(self, n_tokens: int, now_ms: float) -> None:
        figures = self.spec.figures
        if figures is not None and n_tokens:
            self._backlog.add(n_tokens / figures.tokens_per_ms, now_ms)

    def mark_prefilled(self, attempt_id: str) -> None:
        """Note that the first token of an attempt arrived."""
        self.ledger.mark_prefilled(attempt_id)

    def discard(self, attempt_id: str) -> bool:
        """Release what an attempt holds.

        :returns: whether it held anything, so that a second release shows
        """
        return self.ledger.release(attempt_id)

    def own_load(self, now_ms: float) -> VmLoad:
        """:returns: what of this VM is here, for the other VMs"""
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
        """:returns: what came of the requests of all VMs"""
        return self.outcomes.at(now_ms).add(self.peers.outcomes.at(now_ms))

    def n_kv_tokens_used(self, now_ms: float | None = None) -> int:
        """:returns: memory in use by the report and by own attempts since

        :param now_ms: count what other VMs told as well
        """
        own = self.ledger.n_kv_tokens
        if now_ms is not None:
            own += self.peers.total(now_ms).n_kv_tokens
        if self.report is None:
            return own
        since = self.ledger.n_unreported_kv_tokens
        return max(own, self.report.n_kv_tokens_used + since)

    def n_requests(self, now_ms: float | None = None) -> int:
        """:returns: requests at the upstream, by report and own attempts since

        Parts of prompts that others answer take no slot, and no place here.

        :param now_ms: count what other VMs told as well, and leave a report out that is
            too old to say what runs now
        """
        known = self.n_in_flight - self.ledger.n_parts
        if now_ms is not None:
            told = self.peers.total(now_ms)
            known += told.n_requests - told.n_parts
        if self.report is None:
            return known
        if now_ms is not None and now_ms - self.reported_ms > REPORT_COUNTS_MS:
            return known
        reported = self.report.n_running + self.report.n_waiting
        return max(known, reported + self.ledger.n_unreported)

    def n_answers(self, now_ms: float) -> int:
        """:returns: requests of all VMs that it answers, parts for others left out"""
        n_requests = len(self.ledger) + self.peers.total(now_ms).n_requests
        return n_requests - self.n_parts(now_ms)

    def n_parts(self, now_ms: float) -> int:
        """:returns: parts of prompts that it reads for others, those of all VMs"""
        return self.ledger.n_parts + self.peers.total(now_ms).n_parts

    def may_help(self, now_ms: float) -> bool:
        """:returns: whether it takes one more part of a prompt that another answers

        An engine helps as many others as it has slots and refuses the next: a long
        prompt that names it has to be sent again, with another choice of helpers.
        """
        if self._help_refusals.is_refusing(now_ms):
            return False
        if self.peers.total(now_ms).refuses_help:
            return False
        figures = self.spec.figures
        return figures is None or self.n_parts(now_ms) < figures.n_slots

    def note_help_refused(self, now_ms: float) -> None:
        """Take that it did not read the part that an attempt asked it to read."""
        figures = self.spec.figures
        if figures is not None:
            n_parts = self.n_parts(now_ms)
            self._help_refusals.note(n_parts, figures.n_slots, now_ms)

    def slow_factor(self, peer_ms_per_token: float | None, now_ms: float) -> float:
        """:returns: 1 unless slow, else how many times slower than its peers"""
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
        """:returns: time that an engine needs for the prompts that all VMs sent it"""
        figures = self.spec.figures
        if figures is None:
            return 0.0
        n_unread = self.ledger.n_prefill_tokens
        n_unread += self.peers.total(now_ms).n_prefill_tokens
        return self._backlog.left_ms(n_unread / figures.tokens_per_ms, now_ms)

    def n_prefill_tokens(self) -> int:
        """:returns: prompt tokens still to be prefilled, best estimate"""
        own = self.ledger.n_prefill_tokens
        if self.report is None:
            return own
        since = self.ledger.n_unreported_prefill_tokens
        return max(own, self.report.n_prefill_tokens + since)


__all__ = ("InFlightAttempt", "UpstreamState")
