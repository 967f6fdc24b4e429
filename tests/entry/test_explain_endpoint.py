"""Tests of the endpoint that explains placements, on one VM with stand-in replicas."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

import pytest
from tests.support.platform.site import (
    CUSTOMER,
    DESK,
    ENGINES,
    HOST,
    PLAN_PATH,
    build_configuration,
    run_site,
)
from tests.support.platform.store import CONFIGURATION_KEY

from quetzaldeck.entry.explain_endpoint import EXPLAIN_PATH, MIN_INTERVAL_MS

if TYPE_CHECKING:
    from tests.support.platform.site import Site

QUESTION = {
    "route": f"{HOST}{PLAN_PATH}",
    "customer": CUSTOMER,
    "prompt_tokens": "1000",
    "output_tokens": "100",
}


class Answer(NamedTuple):
    """Status, headers and decoded body of an answer."""

    status: int
    headers: Any
    body: dict[str, Any]


async def ask(site: Site, **changes: str) -> Answer:
    url = site.metrics.address + EXPLAIN_PATH
    async with site.client.get(url, params=QUESTION | changes) as response:
        return Answer(response.status, response.headers, await response.json())


async def wait_for_pace() -> None:
    await asyncio.sleep(MIN_INTERVAL_MS / 1_000)


def test_an_answer_names_its_vm_the_choice_and_all_replicas() -> None:
    async def test(site: Site) -> None:
        site.register(site.engines[1], ENGINES, state="draining")
        belief = site.entry.session.state.belief
        await site.wait(lambda: any(r.is_leaving for r in belief.replicas.values()))
        await asyncio.sleep(0.1)
        answer = await ask(site)
        assert answer.status == 200
        body = answer.body
        assert (body["vm"], body["version"]) == ("entry-a", 1)
        assert 0.0 <= body["fleet_state_age_ms"] < 5_000.0
        assert (body["route"], body["service"]) == ("plan", ENGINES)
        assert (body["customer"], body["priority"]) == (CUSTOMER, 1)
        assert body["outcome"] == "starts"
        assert body["rank"] == 2
        excluded = {item["name"]: item["excluded_by"] for item in body["candidates"]}
        assert excluded == {"e0": None, "e1": "leaving"}
        assert body["upstreams"] == ["e0"]
        assert [engine.arrivals for engine in site.engines] == [[], []]

    run_site(test, engines=(None, None))


def test_a_plain_service_needs_no_memory() -> None:
    async def test(site: Site) -> None:
        body = (await ask(site, route=f"{HOST}/look/1")).body
        assert body["service"] == DESK
        assert body["upstreams"] == ["d0"]
        assert body["candidates"][0]["n_kv_tokens"] == 0

    run_site(test)


def test_a_refusal_names_its_reason_and_retry_after() -> None:
    async def test(site: Site) -> None:
        site.register(site.desks[0], DESK, state="draining")
        belief = site.entry.session.state.belief
        await site.wait(lambda: any(r.is_leaving for r in belief.replicas.values()))
        await asyncio.sleep(0.1)
        body = (await ask(site, route=f"{HOST}/look/1")).body
        assert body["outcome"] == "refused"
        assert body["failure"]["reason"] == "no_upstream"
        assert body["failure"]["retry_after_ms"] > 0
        assert body["candidates"][0]["excluded_by"] == "leaving"

    run_site(test)


@pytest.mark.parametrize(
    ("changes", "status", "named"),
    [
        ({"route": "other.example/plan/1"}, 404, "no route for other.example /plan/1"),
        ({"route": HOST}, 400, "route must be a host and a path"),
        ({"customer": "nobody"}, 404, "'nobody'"),
        ({"customer": ""}, 404, "needs a customer"),
        ({"prompt_tokens": "-5"}, 400, "prompt_tokens must be a whole number"),
        ({"prompt_tokens": "9" * 4_000}, 400, "prompt_tokens must be a whole number"),
        ({"output_tokens": "1.5"}, 400, "output_tokens must be a whole number"),
        ({"customer": "x" * 2_000}, 400, "customer must not be longer"),
    ],
)
def test_a_faulty_question_is_answered_with_what_is_wrong(
    changes: dict[str, str], status: int, named: str
) -> None:
    async def test(site: Site) -> None:
        answer = await ask(site, **changes)
        assert answer.status == status
        assert named in answer.body["error"]

    run_site(test)


def test_answers_are_limited_to_a_few_a_second() -> None:
    """Guards against questions that take the processor time of requests."""

    async def test(site: Site) -> None:
        answers = [await ask(site) for _ in range(5)]
        assert [answer.status for answer in answers] == [200, 429, 429, 429, 429]
        assert answers[1].headers["Retry-After"] == "1"
        await wait_for_pace()
        assert (await ask(site)).status == 200

    run_site(test)


def test_a_vm_without_a_configuration_says_so() -> None:
    async def test(site: Site) -> None:
        answer = await ask(site)
        assert answer.status == 503
        assert "not loaded a configuration" in answer.body["error"]

    run_site(test, publishes=False)


def test_a_fault_of_the_explanation_does_not_stop_the_vm(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a question that ends the task that serves all requests."""

    def fail(*_: object) -> None:
        raise ZeroDivisionError

    monkeypatch.setattr("quetzaldeck.decisions.Scheduler.explain", fail)

    async def test(site: Site) -> None:
        answer = await ask(site)
        assert answer.status == 500
        assert "ZeroDivisionError" in answer.body["error"]
        assert (await site.call("/look/1")).status == 200

    run_site(test)


def test_an_answer_follows_the_configuration_in_force() -> None:
    async def test(site: Site) -> None:
        site.store.put(CONFIGURATION_KEY, build_configuration(version=2))
        state = site.entry.session.state
        await site.wait(lambda: state.view is not None and state.view.version == 2)
        assert (await ask(site)).body["version"] == 2

    run_site(test)
