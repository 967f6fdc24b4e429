"""One sending of a call, and what proves that it was not run."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from quetzaldeck.decisions import AttemptFault

if TYPE_CHECKING:
    from quetzaldeck.upstreams import UpstreamError


class Evidence(StrEnum):
    """What is known of the execution of one sending.

    ``UNSENT``: nothing was sent. ``UNCONNECTED``: no connection was opened.
    ``UPSTREAM``: the upstream stated that it has not run it. ``VM``: the VM that it was
    handed over to stated so. ``NONE``: it may have run, or may yet run.
    """

    UNSENT = "unsent"
    UNCONNECTED = "unconnected"
    UPSTREAM = "upstream"
    VM = "vm"
    NONE = "none"


def find_evidence(error: UpstreamError) -> Evidence:
    """:returns: what a failed attempt proves"""
    if error.may_have_run:
        return Evidence.NONE
    if error.was_sent:
        return Evidence.UPSTREAM
    if error.fault is AttemptFault.CONNECT:
        return Evidence.UNCONNECTED
    return Evidence.UNSENT


__all__ = ("Evidence", "find_evidence")
