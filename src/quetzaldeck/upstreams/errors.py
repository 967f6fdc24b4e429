"""The error that adapters of upstreams raise."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzaldeck.decisions.decision import AttemptFault


class UpstreamError(Exception):
    """A request to an upstream failed.

    :param fault: kind of the failure
    :param detail: description of the failure for the logs
    :param may_have_run: whether the upstream may have started to run the request
    :param was_sent: whether the request was sent to the upstream, even if not run
    :param upstream: name of the upstream; ``""`` if no single one is at fault
    :param incarnation: incarnation of the upstream, if it had started to respond
    :param retry_after_ms: wait before a retry, if the upstream gave one
    :param is_gone: whether nothing listens at the address of the upstream
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
        is_gone: bool = False,
    ) -> None:
        super().__init__(f"{fault.value}: {detail}")
        self._fault = fault
        self._may_have_run = may_have_run
        self._was_sent = was_sent
        self._upstream = upstream
        self._incarnation = incarnation
        self._retry_after_ms = retry_after_ms
        self._is_gone = is_gone

    @property
    def fault(self) -> AttemptFault:
        """:returns: kind of the failure"""
        return self._fault

    @property
    def may_have_run(self) -> bool:
        """:returns: whether the upstream may have started to run the request"""
        return self._may_have_run

    @property
    def was_sent(self) -> bool:
        """:returns: whether the request was sent to the upstream, even if not run"""
        return self._was_sent

    @property
    def upstream(self) -> str:
        """:returns: name of the upstream at fault"""
        return self._upstream

    @property
    def incarnation(self) -> str:
        """:returns: incarnation of the upstream, if it had started to respond"""
        return self._incarnation

    @property
    def retry_after_ms(self) -> float | None:
        """:returns: wait before a retry, if the upstream gave one"""
        return self._retry_after_ms

    @property
    def is_gone(self) -> bool:
        """:returns: whether nothing listens at the address of the upstream"""
        return self._is_gone


__all__ = ("UpstreamError",)
