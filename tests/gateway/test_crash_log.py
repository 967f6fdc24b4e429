"""Operators see which request is refused, what it ended, since and until when."""

from __future__ import annotations

import pytest
from prometheus_client import CollectorRegistry

from quetzaldeck.clock import ManualClock
from quetzaldeck.decisions.poison import PoisonBounds, PoisonRegistry
from quetzaldeck.gateway.crash_log import (
    CHECK_INTERVAL_MS,
    MAX_BLOCKED_SHOWN,
    CrashLog,
)
from quetzaldeck.telemetry import UpstreamMetrics

CULPRIT = 0xABC
NAME = "0000000000000abc"
METRICS = ("crashes", "since_seconds", "until_seconds")


class Setting:
    """A log with its clock, registry and metrics."""

    def __init__(self) -> None:
        self.clock = ManualClock(1_000.0)
        self.poison = PoisonRegistry()
        self.registry = CollectorRegistry()
        self.log = CrashLog(self.poison, self.clock, UpstreamMetrics(self.registry))

    def crash(self, fingerprint: int, *upstreams: str) -> None:
        for name in upstreams:
            self.poison.note_crash(fingerprint, name, "i", self.clock.now_ms())
        self.check()

    def check(self) -> None:
        self.clock.advance(CHECK_INTERVAL_MS)
        self.log.check(self.clock.now_ms())

    def read(self, name: str = NAME) -> list[float | None]:
        """:returns: values of the metrics of a refused request"""
        return [
            self.registry.get_sample_value(
                f"quetzaldeck_blocked_request_{metric}", {"fingerprint": name}
            )
            for metric in METRICS
        ]


@pytest.fixture
def setting() -> Setting:
    return Setting()


def test_refused_request_is_named_with_its_crashes_and_times(
    setting: Setting, capsys: pytest.CaptureFixture[str]
) -> None:
    since_s = setting.clock.wall_ms() / 1_000
    setting.crash(CULPRIT, "e0")
    assert setting.read() == [None, None, None]
    setting.crash(CULPRIT, "e1", "e2")
    forget_s = PoisonBounds().forget_ms / 1_000
    assert setting.read() == pytest.approx([3, since_s, since_s + forget_s])
    setting.poison.note_answered(CULPRIT, setting.clock.now_ms())
    setting.check()
    assert setting.read() == [None, None, None]
    lines = [line for line in capsys.readouterr().err.splitlines() if NAME in line]
    events = [line.partition("event=")[2] for line in lines]
    since_ms, until_ms = round(since_s * 1_000), round((since_s + forget_s) * 1_000)
    assert events == [
        f"request_suspected fingerprint={NAME} crashed=e0",
        f"request_blocked fingerprint={NAME} crashed=e0,e1,e2 "
        f"since_ms={since_ms} until_ms={until_ms}",
        f"request_cleared fingerprint={NAME}",
    ]


def test_number_of_requests_with_metrics_is_limited(setting: Setting) -> None:
    """Guards against metrics that grow with each request that crashes upstreams."""
    for fingerprint in range(1, 2 * MAX_BLOCKED_SHOWN):
        setting.clock.advance(20_000.0)
        setting.crash(fingerprint, *(f"{fingerprint}-{index}" for index in range(3)))
    shown = [
        sample
        for metric in setting.registry.collect()
        for sample in metric.samples
        if sample.name == "quetzaldeck_blocked_request_crashes"
    ]
    assert len(shown) == MAX_BLOCKED_SHOWN
