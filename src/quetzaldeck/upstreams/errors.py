"""How talking to an upstream fails."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzaldeck.decisions.decision import AttemptFault


class UpstreamError(Exception):
    """An attempt failed.

    :param fault: the evidence
    :param may_have_run: whether the upstream may have begun to run it
    :param was_sent: whether the upstream was asked, though it did not run it
    :param upstream: name of the upstream; ``""`` if no single one is at fault
    :param incarnation: incarnation that had begun to answer, if it said so
    :param retry_after_ms: when to come back, if the upstream said so
    """

    def __init__(
        self,
        fault: AttemptFault,
        detail: str,
        *,
        may_have_run: bool = True,
        was_sent: bool = True,
        upstream: str = "",
        incarnation: str = "",
        retry_after_ms: float | None = None,
    ) -> None:
        super().__init__(f"{fault.value}: {detail}")
        self._fault = fault
        self._may_have_run = may_have_run
        self._was_sent = was_sent
        self._upstream = upstream
        self._incarnation = incarnation
        self._retry_after_ms = retry_after_ms

    @property
    def fault(self) -> AttemptFault:
        """:returns: the evidence"""
        return self._fault

    @property
    def may_have_run(self) -> bool:
        """:returns: whether any byte may have reached the upstream"""
        return self._may_have_run

    @property
    def was_sent(self) -> bool:
        """:returns: whether the upstream was asked, though it did not run it"""
        return self._was_sent

    @property
    def upstream(self) -> str:
        """:returns: name of the upstream at fault"""
        return self._upstream

    @property
    def incarnation(self) -> str:
        """:returns: incarnation of the upstream, if it had begun to answer"""
        return self._incarnation

    @property
    def retry_after_ms(self) -> float | None:
        """:returns: when to come back, in milliseconds, if the upstream said so"""
        return self._retry_after_ms


__all__ = ("UpstreamError",)
