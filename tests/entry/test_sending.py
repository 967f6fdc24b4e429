"""What the sendings of a call prove, and what its caller is told."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
from tests.support.platform.site import BOOK_PATH, run_site

from quetzaldeck.decisions import AttemptFault
from quetzaldeck.decisions.retries import RetryPolicy
from quetzaldeck.entry.sending import CallAccount, Evidence, find_evidence
from quetzaldeck.entry.settings import EntryBounds
from quetzaldeck.outcomes import Failure, Ran, Reason
from quetzaldeck.upstreams import UpstreamError

if TYPE_CHECKING:
    from tests.support.platform.replica import Arrival, Connection
    from tests.support.platform.site import Site

    from quetzaldeck.decisions import Request
    from quetzaldeck.decisions.retries import Retry

NOT_RUN = (Evidence.UNCONNECTED, Evidence.UPSTREAM, Evidence.VM)


@pytest.mark.parametrize(
    ("evidences", "ran"),
    [
        ((), Ran.NO),
        ((Evidence.UNSENT,), Ran.NO),
        (NOT_RUN, Ran.NO),
        ((Evidence.NONE,), Ran.UNKNOWN),
        ((Evidence.NONE, *NOT_RUN), Ran.UNKNOWN),
        ((*NOT_RUN, Evidence.NONE), Ran.UNKNOWN),
    ],
)
def test_not_run_is_stated_only_if_it_is_known_of_each_sending(
    evidences: tuple[Evidence, ...], ran: Ran
) -> None:
    """Guards against a proof about one sending that covers another one."""
    account = CallAccount()
    for evidence in evidences:
        sending = account.open("r")
        if evidence is not Evidence.UNSENT:
            sending.note_sent()
        if evidence is not Evidence.NONE:
            sending.note_not_run(evidence)
    assert account.word(Failure(Reason.NO_UPSTREAM)).ran is ran
    assert account.word(Failure(Reason.NO_UPSTREAM, Ran.YES)).ran is Ran.YES
    assert account.n_maybe_run == evidences.count(Evidence.NONE)


@pytest.mark.parametrize(
    ("fault", "may_have_run", "was_sent", "evidence"),
    [
        (AttemptFault.OVERLOADED, False, True, Evidence.UPSTREAM),
        (AttemptFault.CONNECT, False, True, Evidence.UPSTREAM),
        (AttemptFault.CONNECT, False, False, Evidence.UNCONNECTED),
        (AttemptFault.RESTING, False, False, Evidence.UNSENT),
        (AttemptFault.BROKEN, True, True, Evidence.NONE),
    ],
)
def test_fault_names_its_evidence(
    fault: AttemptFault, evidence: Evidence, *, may_have_run: bool, was_sent: bool
) -> None:
    error = UpstreamError(fault, "r", may_have_run=may_have_run, was_sent=was_sent)
    assert find_evidence(error) is evidence


def test_promise_is_logged_and_counted_with_its_evidence(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a promise that can't be traced from the id of its request."""

    async def refuse(arrival: Arrival, connection: Connection) -> None:
        await connection.answer_not_executed(arrival)

    async def test(site: Site) -> None:
        assert (await site.call(BOOK_PATH, deadline_ms=300)).status == 503
        promises = site.entry.session.state.metrics.promises
        assert promises.labels("upstream")._value.get() == 1

    run_site(test, desks=(refuse,))
    lines = capsys.readouterr().err.splitlines()
    (refused,) = [line for line in lines if "event=request_failed" in line]
    failed = [line for line in lines if "event=attempt_failed" in line]
    assert "ran=no" in refused
    assert "d0:upstream" in refused.partition("sendings=")[2]
    assert all("evidence=upstream connection=" in line for line in failed)
    labels = {line.partition(" connection=")[2].split(" ")[0] for line in failed}
    assert len(labels) == len(failed)


def test_booking_is_not_sent_again_though_the_scheduler_places_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against two accounts of one fact, of which the laxer one decides."""
    decide = RetryPolicy.decide

    def decide_laxly(
        policy: RetryPolicy, request: Request, *arguments: Any
    ) -> Retry | Failure:
        lax = request._replace(is_repeatable=True, max_attempts=3)
        return decide(policy, lax, *arguments)

    monkeypatch.setattr(RetryPolicy, "decide", decide_laxly)

    async def lose(arrival: Arrival, connection: Connection) -> None:
        connection.close()

    async def test(site: Site) -> None:
        assert (await site.call(BOOK_PATH)).status == 502
        assert sum(len(desk.calls) for desk in site.desks) == 1

    run_site(test, desks=(lose, lose), bounds=EntryBounds(retry_ratio=100.0))
