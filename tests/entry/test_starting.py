"""Requests that arrive at a VM that has just started.

If all VMs restart under load, a caller that is refused by a VM without a configuration
retries at once, is refused by the next VM as well and gives up, although both would
serve 0.2 s later. So such requests wait for the first configuration.
"""

from __future__ import annotations

import asyncio
import time

from tests.support.platform.site import LOOK_PATH, Site, build_configuration, run_site
from tests.support.platform.store import CONFIGURATION_KEY

from quetzaldeck.decisions.admission.startup_wait import (
    MAX_STARTUP_WAIT_MS,
    STARTUP_RETRY_AFTER_MS,
    startup_wait_ms,
)

DEADLINE_MS = 1_500


def test_startup_wait_is_a_share_of_the_deadline() -> None:
    assert startup_wait_ms(900.0) == 300.0
    assert startup_wait_ms(60_000.0) == MAX_STARTUP_WAIT_MS
    assert startup_wait_ms(None) == MAX_STARTUP_WAIT_MS


def test_request_waits_for_the_first_configuration() -> None:
    async def test(site: Site) -> None:
        call = asyncio.create_task(site.call(LOOK_PATH, method="GET", body=None))
        await asyncio.sleep(0.2)
        assert not call.done()
        site.store.put(CONFIGURATION_KEY, build_configuration())
        answer = await call
        assert answer.status == 200
        assert len(site.desks[0].calls) == 1

    run_site(test, publishes=False)


def test_request_that_waited_in_vain_is_refused_before_its_deadline() -> None:
    """No configuration is loaded; the refusal must come in time for another retry."""

    async def test(site: Site) -> None:
        began_s = time.monotonic()
        answer = await site.call(
            LOOK_PATH, method="GET", body=None, deadline_ms=DEADLINE_MS
        )
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) * 1_000 == STARTUP_RETRY_AFTER_MS
        elapsed_ms = (time.monotonic() - began_s) * 1_000
        assert startup_wait_ms(DEADLINE_MS) <= elapsed_ms < DEADLINE_MS

    run_site(test, publishes=False)
