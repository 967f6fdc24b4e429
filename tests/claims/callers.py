"""Callers that resend bookings to any VM of an in-process fleet."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from typing import TYPE_CHECKING, NamedTuple

import aiohttp
import msgspec
import xxhash
from tests.support.fleet import API_KEY, Fleet

from quetzaldeck.claims import make_timed_key
from quetzaldeck.clock import Clock
from quetzaldeck.outcomes import Reason

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable
    from types import TracebackType

PATH = "/desk/bookings"
DEADLINE_MS = 3_000


class Outcome(NamedTuple):
    """What a caller received for one attempt; status 0 means no answer."""

    key: str
    status: int
    ran: str = ""
    reason: str = ""
    is_own_answer: bool = True
    vm: str = ""
    sent_ms: float = 0.0
    ended_ms: float = 0.0

    @property
    def is_unknown_to_the_vm(self) -> bool:
        """:returns: whether the VM ended its own run of the call without its answer"""
        return self.ran == "unknown" and self.reason != Reason.KEY_IN_PROGRESS

    @property
    def is_settled(self) -> bool:
        """:returns: whether the caller knows that its call ran once"""
        return self.status == 200 or self.reason == Reason.KEY_FINISHED


class Callers:
    """Makes calls and records the outcome of each."""

    def __init__(self, fleet: Fleet, *, random_state: random.Random) -> None:
        self._fleet = fleet
        self._random = random_state
        self._clock = Clock()
        self.outcomes: list[Outcome] = []
        self.path = PATH

    async def __aenter__(self) -> Callers:
        self._client = aiohttp.ClientSession()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._client.close()

    def make_key(self) -> str:
        return make_timed_key(self._clock, self._random)

    async def call(
        self, vm: str, key: str, *, body: bytes = b"", deadline_ms: int = DEADLINE_MS
    ) -> Outcome:
        body = body or key.encode()
        headers = {
            "Authorization": f"Bearer {API_KEY}",
            "Idempotency-Key": key,
            "X-Deadline-Ms": str(deadline_ms),
        }
        outcome = Outcome(key, 0)
        sent_ms = self._clock.now_ms()
        try:
            url = self._fleet.vms[vm].gateway.address + self.path
            async with self._client.post(url, data=body, headers=headers) as response:
                answer = msgspec.json.decode(await response.read())
                outcome = _judge(key, body, response.status, answer)
        except (aiohttp.ClientError, KeyError, RuntimeError) as error:
            outcome = outcome._replace(reason=type(error).__name__)
        outcome = outcome._replace(
            vm=vm, sent_ms=sent_ms, ended_ms=self._clock.now_ms()
        )
        self.outcomes.append(outcome)
        return outcome

    async def book(self, key: str, n_attempts: int = 4) -> None:
        """Send a key to two VMs at a time until one of them answers.

        The pause grows with the number of refusals. Without such a backoff 80 callers
        that retried 9 times a second each made 1,400 calls a second on the event loop
        that the voters share, and the voters never had a majority again.
        """
        for n_refused in range(n_attempts):
            vms = sorted(self._fleet.vms)
            chosen = self._random.sample(vms, min(2, len(vms)))
            results = await asyncio.gather(*(self.call(vm, key) for vm in chosen))
            if any(outcome.is_settled for outcome in results):
                return
            pause_s = self._random.uniform(0.02, 0.2)
            await asyncio.sleep(pause_s * (1.0 + n_refused / 5.0))

    def check(self) -> None:
        """Check every guarantee against what the service ran."""
        executions = Counter(run.key for run in self._fleet.executions)
        assert max(executions.values(), default=0) <= 1, self.describe(
            key for key, n_runs in executions.items() if n_runs > 1
        )
        by_key: defaultdict[str, list[Outcome]] = defaultdict(list)
        for outcome in self.outcomes:
            assert outcome.is_own_answer, self.describe([outcome.key])
            by_key[outcome.key].append(outcome)
        for key, outcomes in by_key.items():
            if any(outcome.status == 200 for outcome in outcomes):
                assert executions[key] == 1, self.describe([key])
            if all(outcome.ran == "no" for outcome in outcomes):
                assert executions[key] == 0, self.describe([key])

    def list_lost_with_vm(self) -> set[str]:
        """List the bookings that a VM may have claimed when it stopped.

        Only the VM knew whether it ran them, so callers may be told until the claims
        expire that this is unknown.

        :returns: keys of the calls that were at a VM when it stopped, or that it had
            ended before without knowing whether they ran
        """
        return {
            outcome.key
            for event in self._fleet.vm_events
            if event.action == "stop"
            for outcome in self.outcomes
            if outcome.vm == event.vm
            and outcome.sent_ms <= event.at_ms
            and (event.at_ms <= outcome.ended_ms or outcome.is_unknown_to_the_vm)
        }

    def describe(self, keys: Iterable[str]) -> str:
        """:returns: all events of some keys in order of time, one line each"""
        wanted = set(keys)
        events = [
            (o.sent_ms, f"{o.key} sent to {o.vm}")
            for o in self.outcomes
            if o.key in wanted
        ]
        events += [
            (o.ended_ms, f"{o.key} {o.vm}: {o.status} {o.reason} ran={o.ran}")
            for o in self.outcomes
            if o.key in wanted
        ]
        events += [
            (run.at_ms, f"{run.key} run by {run.service}, request {run.request_id}")
            for run in self._fleet.executions
            if run.key in wanted
        ]
        events += [(e.at_ms, f"{e.action} {e.vm}") for e in self._fleet.vm_events]
        events.sort()
        return "\n" + "\n".join(f"{at_ms:.0f} ms {text}" for at_ms, text in events)


def _judge(key: str, body: bytes, status: int, answer: dict[str, object]) -> Outcome:
    error = answer.get("error")
    if isinstance(error, dict):
        return Outcome(key, status, error["ran"], error["reason"])
    digest = xxhash.xxh3_64_hexdigest(body)
    is_own = answer["key"] == key and answer["digest"] == digest
    return Outcome(key, status, is_own_answer=is_own)


__all__ = ("Callers", "Outcome")
