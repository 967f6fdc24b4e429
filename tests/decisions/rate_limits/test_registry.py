"""Limits that are named, raised, lowered and ended, heard by several VMs."""

from __future__ import annotations

from quetzaldeck.decisions.rate_limits import RateLimitRegistry, RateLimitStatement
from quetzaldeck.decisions.rate_limits.registry import ENDED_TTL_MS


def say(
    rate: float | None, heard_ms: float, incarnation: str = ""
) -> RateLimitStatement:
    return RateLimitStatement("e0", incarnation, rate, heard_ms)


def test_only_changes_are_returned_with_the_start_of_the_limit() -> None:
    registry = RateLimitRegistry()
    assert registry.note(say(None, 1.0)) is None
    assert registry.note(say(2.0, 2.0)) == (say(2.0, 2.0), None, 2.0)
    assert registry.note(say(2.0, 3.0)) is None
    assert registry.note(say(1.0, 4.0)) == (say(1.0, 4.0), 2.0, 2.0)
    assert registry.note(say(None, 5.0)) == (say(None, 5.0), 1.0, 2.0)
    assert registry.find("e0") is None


def test_older_statement_of_another_vm_does_not_revive_an_ended_limit() -> None:
    """Another VM repeats a limit that has ended, by way of a slow relay."""
    registry = RateLimitRegistry()
    registry.note(say(2.0, 1_000.0))
    registry.note(say(None, 2_000.0))
    registry.expire({"e0": ""}, 2_000.0 + ENDED_TTL_MS)
    assert registry.note(say(2.0, 1_500.0)) is None
    assert registry.find("e0") is None


def test_limit_of_an_earlier_start_is_forgotten() -> None:
    """A replica that starts again under its name is not in need any more."""
    registry = RateLimitRegistry()
    registry.note(say(2.0, 1_000.0, "born-1"))
    assert registry.expire({"e0": "born-2"}, 1_000.0) == ["e0"]
    assert registry.find("e0") is None
