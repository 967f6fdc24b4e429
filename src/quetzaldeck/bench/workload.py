"""Random mixture of model calls of 1 K to 1 M prompt tokens, and plain calls.

The bands follow real prompts: they have a thousand to a million tokens, and one in
fifty has more than a hundred thousand. Most calls are drafts and look-ups, so six in
ten are short. Above 100 K the density falls with the square of the length, which makes
a million tokens rare but possible; these prompts still cause half of all prefill work.
The deadline of a band is how long its callers would wait. Model calls set no priority,
so that the scheduler must distinguish long prompts from short ones by itself.
"""

from __future__ import annotations

import math
import random
from typing import NamedTuple

from quetzaldeck.bench.call import Call
from quetzaldeck.bench.scenario import MODEL, SERVICE

MS_PER_SECOND = 1_000.0


class Band(NamedTuple):
    """A range of prompt lengths.

    :param share: share of the model calls
    :param exponent: the density of lengths is proportional to
        ``length ** -exponent``
    :param n_output_tokens: shortest and longest answer
    """

    share: float
    min_tokens: int
    max_tokens: int
    exponent: float
    n_output_tokens: tuple[int, int]
    deadline_ms: float

    def draw_length(self, random_state: random.Random) -> int:
        """:returns: a random prompt length of this band, in tokens"""
        u = random_state.random()
        if self.exponent == 1.0:
            ratio = self.max_tokens / self.min_tokens
            return round(self.min_tokens * math.pow(ratio, u))
        power = 1.0 - self.exponent
        low = math.pow(self.min_tokens, power)
        high = math.pow(self.max_tokens, power)
        return round(math.pow(low + u * (high - low), 1.0 / power))


BANDS = (
    Band(0.60, 1_000, 4_000, 1.0, (16, 256), 30_000.0),
    Band(0.30, 4_000, 32_000, 1.0, (16, 256), 60_000.0),
    Band(0.08, 32_000, 100_000, 1.0, (64, 256), 180_000.0),
    Band(0.02, 100_000, 1_000_000, 2.0, (64, 256), 600_000.0),
)


class Customer(NamedTuple):
    """A customer of the mixture.

    :param share: share of the calls
    """

    name: str
    share: float
    weight: float = 1.0


CUSTOMERS = (
    Customer("large-a", 0.30),
    Customer("large-b", 0.25),
    Customer("large-c", 0.15),
    *(Customer(f"small-{index}", 0.30 / 7) for index in range(7)),
)


class Mixture(NamedTuple):
    """Generator of random calls.

    :param calls_per_second: arrival rate of model calls
    :param plain_per_second: arrival rate of plain calls; half are not repeatable
    :param estimate_error: largest relative error of the gateway's token estimates; the
        error is the same for all calls of a customer
    :param prefix: prefix of the call ids
    """

    calls_per_second: float
    duration_ms: float
    start_ms: float = 0.0
    plain_per_second: float = 10.0
    plain_deadline_ms: float = 5_000.0
    bands: tuple[Band, ...] = BANDS
    customers: tuple[Customer, ...] = CUSTOMERS
    max_resends: int = 0
    estimate_error: float = 0.0
    random_state: int = 1
    prefix: str = "m"

    def draw_calls(self) -> tuple[Call, ...]:
        """:returns: calls in order of arrival; deterministic for a given seed"""
        random_state = random.Random(self.random_state)
        errors = {
            customer.name: 1.0 + random_state.uniform(-1, 1) * self.estimate_error
            for customer in self.customers
        }
        calls = [
            self._draw_model_call(f"{self.prefix}{n}", at_ms, errors, random_state)
            for n, at_ms in enumerate(
                self._draw_arrivals(self.calls_per_second, random_state)
            )
        ]
        calls.extend(
            self._draw_plain_call(f"{self.prefix}p{n}", at_ms, random_state)
            for n, at_ms in enumerate(
                self._draw_arrivals(self.plain_per_second, random_state)
            )
        )
        return tuple(sorted(calls, key=_arrival_ms))

    def mean_prefill_ms(self, prefill_tokens_per_s: float, attention: int) -> float:
        """:returns: mean prefill time of a model call on an otherwise idle engine"""
        random_state = random.Random(0)
        n_draws = 20_000
        total = 0.0
        for _ in range(n_draws):
            band = _choose_band(self.bands, random_state)
            n_tokens = band.draw_length(random_state)
            total += n_tokens * (1 + n_tokens / 2 / attention)
        return total / n_draws / prefill_tokens_per_s * MS_PER_SECOND

    def _draw_arrivals(self, rate: float, random_state: random.Random) -> list[float]:
        arrivals = []
        at_ms = self.start_ms
        while rate > 0:
            at_ms += random_state.expovariate(rate) * MS_PER_SECOND
            if at_ms >= self.start_ms + self.duration_ms:
                break
            arrivals.append(at_ms)
        return arrivals

    def _draw_model_call(
        self,
        call_id: str,
        at_ms: float,
        errors: dict[str, float],
        random_state: random.Random,
    ) -> Call:
        customer = _choose_customer(self.customers, random_state)
        band = _choose_band(self.bands, random_state)
        n_tokens = band.draw_length(random_state)
        n_answer = random_state.randint(*band.n_output_tokens)
        return Call(
            call_id,
            at_ms,
            customer.name,
            model=MODEL,
            n_prompt_tokens=n_tokens,
            n_estimated_tokens=max(1, math.ceil(n_tokens * errors[customer.name])),
            max_output_tokens=2 * n_answer,
            n_output_tokens=n_answer,
            weight=customer.weight,
            deadline_ms=band.deadline_ms,
            max_resends=self.max_resends,
        )

    def _draw_plain_call(
        self, call_id: str, at_ms: float, random_state: random.Random
    ) -> Call:
        customer = _choose_customer(self.customers, random_state)
        return Call(
            call_id,
            at_ms,
            customer.name,
            service=SERVICE,
            priority=0,
            weight=customer.weight,
            deadline_ms=self.plain_deadline_ms,
            is_repeatable=random_state.random() < 0.5,
            max_resends=self.max_resends,
        )


def _choose_band(bands: tuple[Band, ...], random_state: random.Random) -> Band:
    return random_state.choices(bands, [band.share for band in bands])[0]


def _choose_customer(
    customers: tuple[Customer, ...], random_state: random.Random
) -> Customer:
    return random_state.choices(customers, [c.share for c in customers])[0]


def _arrival_ms(call: Call) -> float:
    return call.at_ms


__all__ = ("BANDS", "CUSTOMERS", "Band", "Customer", "Mixture")
