"""Operators see which upstream names a rate limit, since when, and what it got."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.support.platform.site import LOOK_PATH, run_site

if TYPE_CHECKING:
    import pytest
    from tests.support.platform.site import Site


def test_named_changed_and_ended_limits_are_logged_and_counted(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def test(site: Site) -> None:
        desk = site.desks[0]
        registry = site.entry.session.metrics.registry
        for rate in (50.0, 50.0, 20.0, None, None):
            desk.rate_limit = rate
            await asyncio.sleep(0.1)
            assert (await site.call(LOOK_PATH)).status == 200
            labels = {"upstream": "d0"}
            assert registry.get_sample_value("quetzaldeck_rate_limit", labels) == rate
        sends = "quetzaldeck_rate_limited_sends_total"
        assert registry.get_sample_value(sends, {"upstream": "d0"}) == 3

    run_site(test)
    lines = [
        line for line in capsys.readouterr().err.splitlines() if "rate_limit_" in line
    ]
    events = [line.partition("event=")[2].split(" since_ms")[0] for line in lines]
    who = 'upstream=d0 incarnation=""'
    assert events == [
        f"rate_limit_named {who} requests_per_s=50.000 before=None",
        f"rate_limit_named {who} requests_per_s=20.000 before=50.000",
        f"rate_limit_ended {who} requests_per_s=None before=20.000",
    ]
