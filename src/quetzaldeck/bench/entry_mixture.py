"""Random calls to entry VMs: several kinds with latency targets, and bursts.

There are three kinds of prompts, of about 5,000, 45,000 and 130,000 tokens, of which
the first makes up nine in ten, and look-ups and bookings at a plain service. Lengths
within a kind vary by a factor of two or more either way, so they are drawn from a
log-normal distribution with an upper bound. Each kind has a target for the time to
first token and a limit on the gap between tokens.
"""

from __future__ import annotations

import math
import random
from typing import NamedTuple

from quetzaldeck.bench.call import Call
from quetzaldeck.bench.scenario import MODEL, SERVICE

MS_PER_SECOND = 1_000.0


class CallKind(NamedTuple):
    """One kind of call.

    :param per_second: arrival rate at scale 1
    :param n_tokens: mean length of the prompt; 0 for a plain call
    :param log_stddev: standard deviation of the logarithm of the length
    :param max_tokens: upper bound of the length
    :param n_output_tokens: mean length of the answer
    :param is_repeatable: whether it may run more than once
    """

    name: str
    per_second: float
    target_ms: float
    deadline_ms: float
    n_tokens: float = 0.0
    log_stddev: float = 0.0
    max_tokens: int = 1
    n_output_tokens: float = 1.0
    max_gap_ms: float = 0.0
    is_repeatable: bool = True


PLAN = CallKind("plan", 15.0, 300.0, 10_000.0, 5_000, 0.9, 24_000, 1_360, 250.0)
REVIEW = CallKind("review", 0.8, 1_500.0, 10_000.0, 45_000, 0.5, 110_000, 820, 600.0)
HISTORY = CallKind(
    "history", 0.7, 3_000.0, 15_000.0, 130_000, 0.55, 600_000, 680, 1_000.0
)
BOOKING = CallKind("booking", 1.5, 125.0, 1_000.0, is_repeatable=False)
LOOK_UP = CallKind("look-up", 1.5, 125.0, 1_000.0)
KINDS = (PLAN, REVIEW, HISTORY, BOOKING, LOOK_UP)

ANSWER_LOG_STDDEV = 0.6
"""Standard deviation of the logarithm of the answer length."""

N_CUSTOMERS = 10
N_LARGE_CUSTOMERS = 3
"""Number of large customers, who send half of all calls beside their equal share of
the other half."""


class Burst(NamedTuple):
    """A period in which the arrival rate of one kind of call is changed.

    :param factor: factor on the usual rate
    """

    kind: str
    from_ms: float
    until_ms: float
    factor: float


class EntryMixture(NamedTuple):
    """Generator of random calls to entry VMs.

    :param scale: factor on the arrival rates of the kinds
    :param hot_share: share of the calls that the first customer sends in addition to
        its usual ones
    :param disconnecting_share: share of the callers that disconnect, at a random time
        within the time-to-first-token target of their call
    """

    duration_ms: float
    scale: float = 1.0
    kinds: tuple[CallKind, ...] = KINDS
    bursts: tuple[Burst, ...] = ()
    hot_share: float = 0.0
    disconnecting_share: float = 0.0
    random_state: int = 1

    def draw_calls(self) -> tuple[Call, ...]:
        """:returns: calls in order of arrival; deterministic for a given seed"""
        random_state = random.Random(self.random_state)
        calls = [
            self._draw_call(f"{kind.name}/{n}", kind, at_ms, random_state)
            for kind in self.kinds
            for n, at_ms in enumerate(self._draw_arrivals(kind, random_state))
        ]
        return tuple(sorted(calls, key=_arrival_ms))

    def _draw_arrivals(
        self, kind: CallKind, random_state: random.Random
    ) -> list[float]:
        """Draw arrivals at the peak rate and thin them to the rate of each moment.

        Thinning makes it unnecessary to draw the arrivals of each burst separately.
        """
        bursts = [burst for burst in self.bursts if burst.kind == kind.name]
        highest = max([1.0, *(burst.factor for burst in bursts)])
        rate = kind.per_second * self.scale * highest
        arrivals: list[float] = []
        at_ms = 0.0
        while True:
            at_ms += random_state.expovariate(rate) * MS_PER_SECOND
            if at_ms >= self.duration_ms:
                return arrivals
            if random_state.random() < _factor_at(bursts, at_ms) / highest:
                arrivals.append(at_ms)

    def _draw_call(
        self, call_id: str, kind: CallKind, at_ms: float, random_state: random.Random
    ) -> Call:
        disconnects = random_state.random() < self.disconnecting_share
        disconnects_after_ms = random_state.uniform(0.0, kind.target_ms)
        call = Call(
            call_id,
            at_ms,
            self._draw_customer(random_state),
            deadline_ms=kind.deadline_ms,
            target_ms=kind.target_ms,
            is_repeatable=kind.is_repeatable,
            max_resends=1,
            disconnects_after_ms=disconnects_after_ms if disconnects else None,
        )
        if not kind.n_tokens:
            return call._replace(service=SERVICE)
        n_tokens = _draw_length(kind.n_tokens, kind.log_stddev, random_state)
        n_answer_tokens = _draw_length(
            kind.n_output_tokens, ANSWER_LOG_STDDEV, random_state
        )
        return call._replace(
            model=MODEL,
            n_prompt_tokens=min(n_tokens, kind.max_tokens),
            max_output_tokens=n_answer_tokens,
            max_gap_ms=kind.max_gap_ms,
        )

    def _draw_customer(self, random_state: random.Random) -> str:
        if random_state.random() < self.hot_share:
            return "customer-0"
        n_from = N_LARGE_CUSTOMERS if random_state.random() < 0.5 else N_CUSTOMERS
        return f"customer-{random_state.randrange(n_from)}"


def _draw_length(mean: float, log_stddev: float, random_state: random.Random) -> int:
    """:returns: a random length, log-normal with mean ``mean``"""
    mu = math.log(mean) - log_stddev * log_stddev / 2
    return max(1, round(random_state.lognormvariate(mu, log_stddev)))


def _factor_at(bursts: list[Burst], at_ms: float) -> float:
    factors = [b.factor for b in bursts if b.from_ms <= at_ms < b.until_ms]
    return math.prod(factors)


def _arrival_ms(call: Call) -> float:
    return call.at_ms


__all__ = (
    "BOOKING",
    "HISTORY",
    "KINDS",
    "LOOK_UP",
    "PLAN",
    "REVIEW",
    "Burst",
    "CallKind",
    "EntryMixture",
)
